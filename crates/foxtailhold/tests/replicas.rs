//! Entries of the fleet list are read across builds.

use foxtailhold::replicas::Backend;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// An entry as the build before software versions reads and writes it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldBackend {
    id: String,
    kind: String,
    address: String,
    availability_zone: String,
    state: String,
    targets: Vec<String>,
}

fn entry() -> Value {
    json!({
        "id": "engine-0",
        "kind": "engine",
        "address": "127.0.0.1:9",
        "availability_zone": "concord-hall",
        "state": "live",
        "targets": ["ranger"],
    })
}

#[test]
fn entry_without_a_version_has_the_empty_one() {
    let backend: Backend = serde_json::from_value(entry()).unwrap();
    assert_eq!(backend.software_version.as_str(), "");
}

#[test]
fn the_last_build_reads_an_entry_with_a_version() {
    let mut versioned = entry();
    versioned["software_version"] = json!("v1.2");
    let backend: Backend = serde_json::from_value(versioned).unwrap();
    assert_eq!(backend.software_version.as_str(), "v1.2");
    let written = serde_json::to_value(&backend).unwrap();
    let read: OldBackend = serde_json::from_value(written).unwrap();
    let expected: OldBackend = serde_json::from_value(entry()).unwrap();
    assert_eq!(read, expected);
}

#[test]
fn entry_with_an_invalid_version_is_rejected() {
    let mut versioned = entry();
    versioned["software_version"] = json!("v1\n");
    assert!(serde_json::from_value::<Backend>(versioned).is_err());
}
