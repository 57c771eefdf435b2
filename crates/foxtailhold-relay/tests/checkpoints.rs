//! Checkpoints of unfinished items. When a job changes its owner the output must continue without a
//! gap or a repeated event.

use foxtailhold::attempt_counts::AttemptCounts;
use foxtailhold::ids::JobId;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold_engine::sse::RawEvent;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::events::push_data;
use foxtailhold_relay::jobs::{
    CHECKPOINTS_TABLE, Checkpoint, PartialOutput, PartialOutputs, RunEvent, RunId, Writer,
};
use test_case::test_case;

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "writers".try_into().unwrap(),
        version: "v1".try_into().unwrap(),
    }
}

fn all_served(_: &StreamOrigin) -> bool {
    true
}

fn writer(run: u64, resumed: Option<RunEvent>) -> Writer {
    Writer {
        origin: origin(),
        run: RunId::from(run),
        resumed,
    }
}

/// A range of a run that began from nothing.
fn checkpoint(after: u64, last: u64) -> Checkpoint {
    let events: Vec<String> = (after + 1..=last)
        .map(|event| format!("e{event}"))
        .collect();
    Checkpoint {
        after,
        last,
        text: events.join("\n"),
        writer: Some(writer(1, None)),
    }
}

fn full_output(last: u64) -> String {
    checkpoint(0, last).text
}

#[test_case(&[(0, 3)], 3 ; "one checkpoint")]
#[test_case(&[(0, 3), (3, 5)], 5 ; "two checkpoints")]
#[test_case(&[(3, 5), (0, 3)], 5 ; "in the wrong order")]
#[test_case(&[(0, 3), (4, 6)], 3 ; "one is missing")]
#[test_case(&[(2, 5)], 0 ; "the first is missing")]
#[test_case(&[(0, 3), (0, 5), (3, 4), (5, 6)], 6 ; "of two owners")]
#[test_case(&[(0, 3), (2, 6), (3, 4)], 4 ; "overlapping")]
fn checkpoints_are_joined_up_to_the_first_gap(checkpoints: &[(u64, u64)], last: u64) {
    let checkpoints = checkpoints
        .iter()
        .map(|(after, last)| checkpoint(*after, *last));
    let output = PartialOutput::from_checkpoints(checkpoints.collect(), all_served);
    assert_eq!(output.last(), last);
    assert_eq!(output.text(), full_output(last).as_bytes());
}

/// Appends events of a run, which goes on after the output so far if it has not written any.
fn append_events(partial_outputs: &PartialOutputs, item: &str, run: u64, upto: u64) {
    partial_outputs.update(item, |output| {
        let is_new = output
            .last_writer()
            .is_none_or(|last| last.run != RunId::from(run));
        let writer = match is_new {
            true => writer(run, output.resume_after()),
            false => output.last_writer().unwrap().clone(),
        };
        for event in output.last() + 1..=upto {
            let is_appended = output.append(&writer, event, |text, is_first| {
                if !is_first {
                    text.push(b'\n');
                }
                text.extend_from_slice(format!("e{event}").as_bytes());
            });
            assert!(is_appended, "event {event}");
        }
    });
}

#[test]
fn only_new_events_are_saved_again() {
    let partial_outputs = PartialOutputs::default();
    append_events(&partial_outputs, "a", 1, 50);
    assert_eq!(
        partial_outputs.unsaved_checkpoints(40),
        [("a".to_owned(), checkpoint(0, 50))]
    );
    partial_outputs.mark_saved("a", &checkpoint(0, 50));
    append_events(&partial_outputs, "a", 1, 89);
    assert_eq!(partial_outputs.unsaved_checkpoints(40), []);
    assert_eq!(
        partial_outputs.unsaved_checkpoints(1),
        [("a".to_owned(), checkpoint(50, 89))]
    );
}

#[test]
fn an_unsaved_checkpoint_is_offered_again_with_later_events() {
    let partial_outputs = PartialOutputs::default();
    append_events(&partial_outputs, "a", 1, 50);
    assert_eq!(partial_outputs.unsaved_checkpoints(40).len(), 1);
    append_events(&partial_outputs, "a", 1, 60);
    assert_eq!(
        partial_outputs.unsaved_checkpoints(40),
        [("a".to_owned(), checkpoint(0, 60))]
    );
}

#[test]
fn another_owner_resumes_after_the_last_checkpoint() {
    let first = PartialOutputs::default();
    append_events(&first, "a", 1, 45);
    let mut rows = Vec::new();
    for least in [40, 1] {
        for (item, checkpoint) in first.unsaved_checkpoints(least) {
            first.mark_saved(&item, &checkpoint);
            rows.push(row(&item, &checkpoint));
        }
        append_events(&first, "a", 1, 60);
    }
    let second = PartialOutputs::default();
    second.restore(&JobId::try_from("job").unwrap(), &rows, all_served);
    assert_eq!(second.last("a"), 60);
    assert_eq!(second.get("a").text(), full_output(60).as_bytes());
    append_events(&second, "a", 2, 70);
    let resumed = RunEvent {
        run: RunId::from(1),
        event: 60,
    };
    let next = Checkpoint {
        writer: Some(writer(2, Some(resumed))),
        ..checkpoint(60, 70)
    };
    assert_eq!(second.unsaved_checkpoints(1), [("a".to_owned(), next)]);
}

#[test]
fn an_unreadable_row_costs_only_its_checkpoint() {
    let unreadable = VersionedRow {
        value: Some("no checkpoint".into()),
        ..row("b", &checkpoint(0, 1))
    };
    let partial_outputs = PartialOutputs::default();
    partial_outputs.restore(
        &JobId::try_from("job").unwrap(),
        &[unreadable, row("a", &checkpoint(0, 9))],
        all_served,
    );
    assert_eq!(
        (partial_outputs.last("a"), partial_outputs.last("b")),
        (9, 0)
    );
}

#[test]
fn another_owner_knows_how_often_an_item_has_failed() {
    let counts = AttemptCounts {
        failed: 2,
        pending: 1,
    };
    let written = VersionedRow {
        key: RowKey::new(CHECKPOINTS_TABLE, "job/a/account"),
        value: Some(serde_json::to_vec(&counts).unwrap().into()),
        version: 2,
    };
    let partial_outputs = PartialOutputs::default();
    let job = JobId::try_from("job").unwrap();
    partial_outputs.restore(&job, &[row("a", &checkpoint(0, 9)), written], all_served);
    assert_eq!(partial_outputs.attempt_counts("a"), Some(counts));
    assert_eq!(partial_outputs.attempt_counts("b"), None);
    assert_eq!(partial_outputs.last("a"), 9);
}

fn row(item: &str, checkpoint: &Checkpoint) -> VersionedRow {
    VersionedRow {
        key: RowKey::new(
            CHECKPOINTS_TABLE,
            &format!("job/{item}/{:06}", checkpoint.after),
        ),
        value: Some(serde_json::to_vec(checkpoint).unwrap().into()),
        version: 1,
    }
}

/// Guards against a checkpoint that is split at the wrong event: an event without data and one with
/// two lines of it are two lines of text, as two events with one line each.
#[test_case(&["id: 1\ndata: a\n\n", "id: 2\n\n", "id: 3\ndata: b\ndata: c\n\n"], "a\n\nb\nc" ; "in between")]
#[test_case(&["id: 1\n\n", "id: 2\ndata: a\ndata: b\n\n"], "\na\nb" ; "first")]
#[test_case(&["id: 1\ndata: a\n\n", "id: 2\ndata\n\n"], "a\n" ; "last")]
fn each_event_has_a_line_in_the_text(events: &[&'static str], text: &str) {
    let mut output = PartialOutput::default();
    for (raw, number) in events.iter().zip(1..) {
        let event = RawEvent { raw: (*raw).into() };
        let push = |text: &mut Vec<u8>, is_first| push_data(text, &event, is_first);
        assert!(output.append(&writer(1, None), number, push));
    }
    assert_eq!(output.text(), text.as_bytes());
    let [checkpoint] = &output.unsaved_checkpoints(1)[..] else {
        panic!("one range");
    };
    assert_eq!(checkpoint.text, text);
    let lines = checkpoint.text.split('\n').count();
    assert!(lines >= events.len(), "{lines} lines of {}", events.len());
}
