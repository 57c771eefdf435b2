//! Load estimates count the requests that this instance sent after the last load report.

use std::time::Duration;

use foxtailhold::replicas::{Backend, BackendKind, FleetState, LoadReport};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;
use foxtailhold_entry::backends::BackendTable;

fn table() -> BackendTable {
    BackendTable::default().with_fleet_list(&[Backend {
        id: "engine-0".try_into().unwrap(),
        kind: BackendKind::Engine,
        address: "127.0.0.1:9".parse().unwrap(),
        availability_zone: "concord-hall".try_into().unwrap(),
        state: FleetState::Live,
        targets: vec!["ranger".try_into().unwrap()],
        software_version: SoftwareVersion::default(),
    }])
}

fn report(running: u32, age_ms: u64) -> LoadReport {
    LoadReport {
        running,
        age_ms,
        slots: 16,
        ..LoadReport::default()
    }
}

#[tokio::test]
async fn sends_made_after_a_report_was_taken_go_on_counting() {
    let table = table();
    let server = &table.servers[0];
    let first = server.start_request();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let second = server.start_request();
    let third = server.start_request();
    server.record_load_report(report(5, 200), MonoMs(1));
    let load = server.load();
    assert_eq!((load.sent_since_report, load.in_flight), (2, 3));
    assert_eq!(load.estimate(), 7);
    drop(second);
    assert_eq!(server.load().estimate(), 6);
    drop(first);
    assert_eq!(
        server.load().estimate(),
        6,
        "the report counts the first one"
    );
    drop(third);
    assert_eq!(server.load().estimate(), 5);
    assert_eq!(server.load().in_flight, 0);
}

#[tokio::test]
async fn counters_outlive_a_change_of_the_list_but_not_of_the_address() {
    let table = table();
    let _sent = table.servers[0].start_request();
    table.servers[0].record_failure(MonoMs(1));
    let mut backend = table.servers[0].backend.clone();
    backend.state = FleetState::Leaving;
    let changed = table.with_fleet_list(std::slice::from_ref(&backend));
    assert_eq!(changed.servers[0].load().in_flight, 1);
    assert!(changed.servers[0].is_ejected(MonoMs(2)));
    backend.address = "127.0.0.1:10".parse().unwrap();
    let moved = changed.with_fleet_list(&[backend]);
    assert_eq!(moved.servers[0].load().in_flight, 0);
    assert!(!moved.servers[0].is_ejected(MonoMs(2)));
}
