//! Checkpoints of two services or software versions, whose texts do not fit together, and rows of
//! builds that recorded no writer.

use foxtailhold::ids::JobId;
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::jobs::{
    CHECKPOINTS_TABLE, Checkpoint, PartialOutput, PartialOutputs, RunEvent, RunId, Writer,
};
use serde::{Deserialize, Serialize};
use test_case::test_case;

/// A checkpoint as the build before writers reads and writes it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerCheckpoint {
    after: u64,
    last: u64,
    text: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    version: Option<SoftwareVersion>,
}

/// The origin `v1` is that version of the service `writers`, `other/v1` that of another service.
fn origin(text: &str) -> StreamOrigin {
    let (service, version) = text.split_once('/').unwrap_or(("writers", text));
    StreamOrigin {
        service: service.try_into().unwrap(),
        version: version.try_into().unwrap(),
    }
}

fn text(origin: &str, after: u64, last: u64) -> String {
    let events = (after + 1..=last).map(|event| format!("{origin} e{event}"));
    events.collect::<Vec<_>>().join("\n")
}

/// A run from nothing; each origin has one run, unless `run` differs.
fn writer(origin_text: &str, run: u64) -> Writer {
    let origins = ["v1", "v2", "other/v1"];
    let place = origins.iter().position(|known| *known == origin_text);
    Writer {
        origin: origin(origin_text),
        run: RunId::from(run + place.unwrap() as u64),
        resumed: None,
    }
}

fn checkpoint(origin_text: &str, after: u64, last: u64) -> Checkpoint {
    Checkpoint {
        after,
        last,
        text: text(origin_text, after, last),
        writer: Some(writer(origin_text, 1)),
    }
}

fn former(version: Option<&str>, after: u64, last: u64) -> FormerCheckpoint {
    FormerCheckpoint {
        after,
        last,
        text: text("unknown", after, last),
        version: version.map(|version| version.try_into().unwrap()),
    }
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
#[test_case(&[("v1", 0, 3), ("other/v1", 3, 5)], "v1", 3 ; "one goes on after the other service")]
#[test_case(&[("other/v1", 0, 3), ("v1", 0, 4), ("other/v1", 3, 9)], "other/v1", 9 ; "the longer one of two services")]
fn checkpoints_of_two_origins_are_not_joined(
    checkpoints: &[(&str, u64, u64)],
    taken: &str,
    last: u64,
) {
    let checkpoints = checkpoints
        .iter()
        .map(|(version, after, last)| checkpoint(version, *after, *last));
    let output = PartialOutput::from_checkpoints(checkpoints.collect(), |_| true);
    assert_eq!(output.last_writer(), Some(&writer(taken, 1)));
    assert_eq!(output.last(), last);
    assert_eq!(output.text(), text(taken, 0, last).as_bytes());
}

#[test]
fn a_shorter_text_of_an_origin_that_is_served_is_taken() {
    for new in ["v2", "other/v1"] {
        let checkpoints = || vec![checkpoint("v1", 0, 9), checkpoint(new, 0, 4)];
        let is_new = |served: &StreamOrigin| *served == origin(new);
        let output = PartialOutput::from_checkpoints(checkpoints(), is_new);
        assert_eq!(
            (output.last_writer(), output.last()),
            (Some(&writer(new, 1)), 4)
        );
        let output = PartialOutput::from_checkpoints(checkpoints(), |_| false);
        assert_eq!(
            (output.last_writer(), output.last()),
            (Some(&writer("v1", 1)), 9)
        );
    }
}

#[test_case(None ; "without a version")]
#[test_case(Some("v1") ; "with a version")]
fn a_row_without_a_writer_is_read_and_its_text_is_not_used(version: Option<&str>) {
    let former = |after, last| former(version, after, last);
    let read: Checkpoint =
        serde_json::from_slice(&serde_json::to_vec(&former(0, 4)).unwrap()).unwrap();
    assert_eq!((read.last, read.writer), (4, None));
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
        assert_eq!(output.last(), 2, "{item}");
        assert_eq!(output.text(), text("v1", 0, 2).as_bytes(), "{item}");
    }
}

/// The build before joins texts by version alone and uses none that names no version.
#[test]
fn the_build_before_reads_a_row_and_does_not_use_its_text() {
    let written = serde_json::to_vec(&checkpoint("v1", 3, 5)).unwrap();
    let read: FormerCheckpoint = serde_json::from_slice(&written).unwrap();
    let text = text("v1", 3, 5);
    assert_eq!((read.after, read.last, read.text), (3, 5, text));
    assert_eq!(read.version, None);
}

#[test]
fn a_checkpoint_without_a_writer_has_the_layout_of_the_build_before() {
    let current = Checkpoint {
        writer: None,
        text: former(None, 0, 4).text,
        ..checkpoint("v1", 0, 4)
    };
    assert_eq!(
        serde_json::to_string(&current).unwrap(),
        serde_json::to_string(&former(None, 0, 4)).unwrap()
    );
}

/// Appends the events of a run that begins or goes on where the output ends.
fn write(partial_outputs: &PartialOutputs, by: &str, run: u64, last: u64) {
    partial_outputs.update("a", |output| {
        for event in output.last() + 1..=last {
            let is_appended = output.append(&writer(by, run), event, |text, is_first| {
                if !is_first {
                    text.push(b'\n');
                }
                text.extend_from_slice(format!("{by} e{event}").as_bytes());
            });
            assert!(is_appended, "event {event}");
        }
    });
}

#[test]
fn a_checkpoint_of_dropped_output_that_is_saved_late_counts_for_nothing() {
    let partial_outputs = PartialOutputs::default();
    write(&partial_outputs, "v1", 1, 40);
    let saving = partial_outputs.unsaved_checkpoints(40);
    for (by, run) in [("v1", 10), ("v2", 20), ("other/v1", 30)] {
        partial_outputs.clear("a");
        assert_eq!(partial_outputs.origin("a"), None);
        write(&partial_outputs, by, run, 5);
        partial_outputs.mark_saved("a", &saving[0].1);
        write(&partial_outputs, by, run, 85);
        let unsaved = partial_outputs.unsaved_checkpoints(40);
        let expected = Checkpoint {
            writer: Some(writer(by, run)),
            ..checkpoint(by, 0, 85)
        };
        assert_eq!(unsaved, [("a".to_owned(), expected)]);
    }
}

#[test]
fn output_that_is_dropped_to_the_start_has_no_origin() {
    let mut output = PartialOutput::from_checkpoints(vec![checkpoint("v1", 0, 4)], |_| true);
    output.drop_run(writer("v1", 1).run);
    assert_eq!(output, PartialOutput::default());
}

/// A run that was asked to go on after the text of another origin.
#[test_case("v2" ; "another version")]
#[test_case("other/v1" ; "another service")]
fn a_run_is_not_joined_to_the_text_of_another_origin(by: &str) {
    let resumed = RunEvent {
        run: writer("v1", 1).run,
        event: 4,
    };
    let next = Writer {
        resumed: Some(resumed),
        ..writer(by, 1)
    };
    let checkpoints = vec![
        checkpoint("v1", 0, 4),
        Checkpoint {
            writer: Some(next.clone()),
            ..checkpoint(by, 4, 9)
        },
    ];
    let mut output = PartialOutput::from_checkpoints(checkpoints, |_| true);
    assert_eq!(output.last_writer(), Some(&writer("v1", 1)));
    assert_eq!(output.text(), text("v1", 0, 4).as_bytes());
    assert!(!output.append(&next, 5, |_, _| panic!("nothing to append")));
}
