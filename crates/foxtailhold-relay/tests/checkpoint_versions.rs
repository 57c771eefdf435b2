//! Checkpoints of two software versions, whose texts do not fit together, and rows of builds that
//! recorded none.

use foxtailhold::ids::JobId;
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::jobs::{CHECKPOINTS_TABLE, Checkpoint, PartialOutput, PartialOutputs};
use serde::{Deserialize, Serialize};
use test_case::test_case;

/// A checkpoint as the build before versions reads and writes it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerCheckpoint {
    after: u64,
    last: u64,
    text: String,
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(text).unwrap()
}

fn text(version: &str, after: u64, last: u64) -> String {
    let events = (after + 1..=last).map(|event| format!("{version} e{event}"));
    events.collect::<Vec<_>>().join("\n")
}

fn checkpoint(version_text: &str, after: u64, last: u64) -> Checkpoint {
    Checkpoint {
        after,
        last,
        text: text(version_text, after, last),
        version: Some(version(version_text)),
    }
}

fn former(after: u64, last: u64) -> FormerCheckpoint {
    let text = text("unknown", after, last);
    FormerCheckpoint { after, last, text }
}

fn row(item: &str, value: &impl Serialize) -> VersionedRow {
    VersionedRow {
        key: RowKey::new(CHECKPOINTS_TABLE, &format!("job/{item}/0")),
        value: Some(serde_json::to_vec(value).unwrap().into()),
        version: 1,
    }
}

fn restored(rows: &[VersionedRow]) -> PartialOutputs {
    let partial_outputs = PartialOutputs::default();
    let job = JobId::try_from("job").unwrap();
    partial_outputs.restore(&job, rows, |_| true);
    partial_outputs
}

#[test_case(&[("v1", 0, 3), ("v2", 3, 5)], "v1", 3 ; "one goes on after the other")]
#[test_case(&[("v2", 3, 9), ("v1", 0, 3), ("v1", 3, 5)], "v1", 5 ; "only one begins at the start")]
#[test_case(&[("v1", 0, 3), ("v2", 0, 2), ("v2", 2, 6)], "v2", 6 ; "the longer one")]
#[test_case(&[("v2", 0, 3), ("v1", 3, 5), ("v2", 5, 9), ("v1", 0, 3)], "v1", 5 ; "interleaved")]
fn checkpoints_of_two_versions_are_not_joined(
    checkpoints: &[(&str, u64, u64)],
    taken: &str,
    last: u64,
) {
    let checkpoints = checkpoints
        .iter()
        .map(|(version, after, last)| checkpoint(version, *after, *last));
    let output = PartialOutput::from_checkpoints(checkpoints.collect(), |_| true);
    assert_eq!(output.version, Some(version(taken)));
    assert_eq!(output.last, last);
    assert_eq!(
        String::from_utf8(output.text).unwrap(),
        text(taken, 0, last)
    );
}

#[test]
fn a_shorter_text_of_a_version_that_is_served_is_taken() {
    let checkpoints = || vec![checkpoint("v1", 0, 9), checkpoint("v2", 0, 4)];
    let is_new = |served: &SoftwareVersion| *served == version("v2");
    let output = PartialOutput::from_checkpoints(checkpoints(), is_new);
    assert_eq!((output.version, output.last), (Some(version("v2")), 4));
    let output = PartialOutput::from_checkpoints(checkpoints(), |_| false);
    assert_eq!((output.version, output.last), (Some(version("v1")), 9));
}

#[test]
fn a_row_without_a_version_is_read_and_its_text_is_not_used() {
    let read: Checkpoint =
        serde_json::from_slice(&serde_json::to_vec(&former(0, 4)).unwrap()).unwrap();
    assert_eq!((read.last, read.version), (4, None));
    let rows = [
        row("a", &former(0, 4)),
        row("b", &former(0, 4)),
        row("b", &checkpoint("v1", 0, 2)),
        row("c", &checkpoint("v1", 0, 2)),
        row("c", &former(2, 4)),
    ];
    let partial_outputs = restored(&rows);
    assert_eq!(partial_outputs.get("a"), PartialOutput::default());
    for item in ["b", "c"] {
        let output = partial_outputs.get(item);
        assert_eq!(output.last, 2, "{item}");
        assert_eq!(output.text, text("v1", 0, 2).into_bytes(), "{item}");
    }
}

#[test]
fn the_build_before_reads_a_row_with_a_version() {
    let written = serde_json::to_vec(&checkpoint("v1", 3, 5)).unwrap();
    let read: FormerCheckpoint = serde_json::from_slice(&written).unwrap();
    let text = text("v1", 3, 5);
    assert_eq!((read.after, read.last, read.text), (3, 5, text));
}

#[test]
fn a_checkpoint_without_a_version_has_the_layout_of_the_build_before() {
    let current = Checkpoint {
        version: None,
        text: former(0, 4).text,
        ..checkpoint("v1", 0, 4)
    };
    assert_eq!(
        serde_json::to_string(&current).unwrap(),
        serde_json::to_string(&former(0, 4)).unwrap()
    );
}

#[test]
fn a_checkpoint_of_dropped_output_that_is_saved_late_counts_for_nothing() {
    let write = |partial_outputs: &PartialOutputs, by: &str, last: u64| {
        partial_outputs.update("a", |output| {
            output.text = text(by, 0, last).into_bytes();
            output.last = last;
            output.version = Some(version(by));
        });
    };
    let partial_outputs = PartialOutputs::default();
    write(&partial_outputs, "v1", 40);
    let saving = partial_outputs.unsaved_checkpoints(40);
    for by in ["v1", "v2"] {
        partial_outputs.clear("a");
        assert_eq!(partial_outputs.version("a"), None);
        write(&partial_outputs, by, 5);
        partial_outputs.mark_saved("a", &saving[0].1);
        write(&partial_outputs, by, 85);
        let unsaved = partial_outputs.unsaved_checkpoints(40);
        assert_eq!(unsaved, [("a".to_owned(), checkpoint(by, 0, 85))]);
    }
}

#[test]
fn output_that_is_dropped_to_the_start_is_of_no_version() {
    let mut output = PartialOutput::from_checkpoints(vec![checkpoint("v1", 0, 4)], |_| true);
    output.truncate((0, 0));
    assert_eq!(output, PartialOutput::default());
}
