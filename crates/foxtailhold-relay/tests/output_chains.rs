//! Outputs of items as chains of runs. Each run writes a text of its own, so that a text joined from
//! two runs of which none was asked to go on after the other is seen.

use std::collections::BTreeMap;

use foxtailhold::ids::JobId;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::jobs::{
    CHECKPOINTS_TABLE, Checkpoint, PartialOutput, PartialOutputs, RunEvent, RunId, Writer,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "writers".try_into().unwrap(),
        version: "v1".try_into().unwrap(),
    }
}

fn writer(run: u64, resumed: Option<(u64, u64)>) -> Writer {
    Writer {
        origin: origin(),
        run: RunId::from(run),
        resumed: resumed.map(|(run, event)| RunEvent {
            run: RunId::from(run),
            event,
        }),
    }
}

fn text(run: u64, after: u64, last: u64) -> String {
    let events = (after + 1..=last).map(|event| format!("run {run} event {event}"));
    events.collect::<Vec<_>>().join("\n")
}

fn append(output: &mut PartialOutput, writer: &Writer, run: u64, event: u64) -> bool {
    output.append(writer, event, |all, is_first| {
        if !is_first {
            all.push(b'\n');
        }
        all.extend_from_slice(text(run, event - 1, event).as_bytes());
    })
}

/// A stored range: its run, the run and event after which that one was asked to go on, and the range.
type Stored = (u64, Option<(u64, u64)>, u64, u64);

fn checkpoint(&(run, resumed, after, last): &Stored) -> Checkpoint {
    Checkpoint {
        after,
        last,
        text: text(run, after, last),
        writer: Some(writer(run, resumed)),
    }
}

#[test_case(&[(1, None, 0, 4), (2, None, 0, 4), (2, None, 4, 9)], &[(2, 0, 9)] ; "two runs from nothing with equal first ranges")]
#[test_case(&[(1, None, 0, 4), (2, None, 4, 9)], &[(1, 0, 4)] ; "the start of a run from nothing is missing")]
#[test_case(&[(1, None, 0, 4), (2, Some((1, 4)), 4, 9)], &[(1, 0, 4), (2, 4, 9)] ; "a run that went on")]
#[test_case(&[(1, None, 0, 4), (1, None, 4, 8), (2, Some((1, 4)), 4, 9)], &[(1, 0, 4), (2, 4, 9)] ; "a run that went on after a prefix")]
#[test_case(&[(1, None, 0, 4), (1, None, 4, 12), (2, Some((1, 4)), 4, 9)], &[(1, 0, 12)] ; "the paused run has written more")]
#[test_case(&[(1, None, 0, 4), (2, Some((3, 4)), 4, 9)], &[(1, 0, 4)] ; "a run that went on after another one")]
#[test_case(&[(1, None, 0, 5), (2, Some((1, 4)), 4, 9)], &[(1, 0, 5)] ; "no stored range ends where the run went on")]
#[test_case(&[(1, None, 0, 4), (2, Some((1, 4)), 5, 9)], &[(1, 0, 4)] ; "the first event of the run is missing")]
#[test_case(&[(1, None, 0, 4), (2, Some((1, 4)), 4, 6), (3, Some((1, 4)), 4, 6), (3, Some((1, 4)), 6, 9)], &[(1, 0, 4), (3, 4, 9)] ; "two runs that went on after the same event")]
#[test_case(&[(1, None, 0, 4), (2, Some((1, 4)), 4, 6), (3, Some((2, 6)), 6, 7)], &[(1, 0, 4), (2, 4, 6), (3, 6, 7)] ; "three runs")]
#[test_case(&[(1, Some((2, 4)), 4, 9), (2, Some((1, 9)), 9, 12)], &[] ; "two runs that went on after each other")]
#[test_case(&[(1, Some((1, 4)), 4, 9)], &[] ; "a run that went on after itself")]
#[test_case(&[(1, None, 0, 4), (1, None, 0, 6), (1, None, 4, 8), (1, None, 8, 9)], &[(1, 0, 9)] ; "overlapping ranges of one run")]
#[test_case(&[(1, None, 0, 4), (1, None, 0, 6), (2, Some((1, 4)), 4, 9)], &[(1, 0, 4), (2, 4, 9)] ; "a run that went on after the shorter of two ranges")]
fn ranges_are_joined_only_along_a_chain_of_runs(stored: &[Stored], joined: &[(u64, u64, u64)]) {
    let is_served = |_: &StreamOrigin| true;
    let expected: Vec<String> = joined
        .iter()
        .map(|(run, after, last)| text(*run, *after, *last))
        .collect();
    for is_reversed in [false, true] {
        let mut checkpoints: Vec<Checkpoint> = stored.iter().map(checkpoint).collect();
        if is_reversed {
            checkpoints.reverse();
        }
        let output = PartialOutput::from_checkpoints(checkpoints, is_served);
        assert_eq!(
            String::from_utf8_lossy(output.text()),
            expected.join("\n"),
            "reversed: {is_reversed}"
        );
        assert_eq!(output.last(), joined.last().map_or(0, |part| part.2));
        assert_eq!(output.runs(), joined.len());
        assert_eq!(output.unsaved_checkpoints(1), []);
    }
}

#[test]
fn an_event_that_does_not_follow_is_not_appended() {
    let mut output = PartialOutput::default();
    assert!(!append(&mut output, &writer(1, None), 1, 2));
    assert!(!append(&mut output, &writer(1, Some((2, 0))), 1, 1));
    assert!(append(&mut output, &writer(1, None), 1, 1));
    assert!(append(&mut output, &writer(1, None), 1, 2));
    for event in [1, 2, 4] {
        assert!(!append(&mut output, &writer(1, None), 1, event));
    }
    // Runs that were asked for something else.
    for resumed in [None, Some((1, 1)), Some((3, 2))] {
        assert!(!append(&mut output, &writer(2, resumed), 2, 3));
    }
    assert_eq!(output.text(), text(1, 0, 2).as_bytes());
    assert!(append(&mut output, &writer(2, Some((1, 2))), 2, 3));
    assert_eq!((output.last(), output.runs()), (3, 2));
}

#[test]
fn each_range_is_of_one_run() {
    let mut output = PartialOutput::default();
    for event in 1..=3 {
        assert!(append(&mut output, &writer(1, None), 1, event));
    }
    for event in 4..=9 {
        assert!(append(&mut output, &writer(2, Some((1, 3))), 2, event));
    }
    assert_eq!(output.unsaved_checkpoints(10), []);
    let unsaved = output.unsaved_checkpoints(9);
    let expected = [
        checkpoint(&(1, None, 0, 3)),
        checkpoint(&(2, Some((1, 3)), 3, 9)),
    ];
    assert_eq!(unsaved, expected);
    output.mark_saved(&unsaved[1]);
    assert_eq!(output.unsaved_checkpoints(1), expected[..1]);
    output.mark_saved(&unsaved[0]);
    assert_eq!(output.unsaved_checkpoints(1), []);
}

#[test]
fn a_dropped_run_is_not_counted_as_saved() {
    let mut output = PartialOutput::default();
    for event in 1..=3 {
        assert!(append(&mut output, &writer(1, None), 1, event));
    }
    for event in 4..=9 {
        assert!(append(&mut output, &writer(2, Some((1, 3))), 2, event));
    }
    let saving = output.unsaved_checkpoints(1);
    output.drop_run(RunId::from(1));
    assert_eq!(output.last(), 9, "only the last run can be dropped");
    output.drop_run(RunId::from(2));
    assert_eq!(
        (output.last(), output.text()),
        (3, text(1, 0, 3).as_bytes())
    );
    for event in 4..=9 {
        assert!(append(&mut output, &writer(3, Some((1, 3))), 3, event));
    }
    for checkpoint in &saving {
        output.mark_saved(checkpoint);
    }
    let expected = [checkpoint(&(3, Some((1, 3)), 3, 9))];
    assert_eq!(output.unsaved_checkpoints(1), expected);
}

/// An instance that has the job open, rightly or not.
struct Owner {
    outputs: PartialOutputs,
    /// Checkpoints that are being written.
    writing: Vec<(String, Checkpoint)>,
    run: Option<(u64, Writer)>,
}

/// Several owners of an item at once, which restore it from what is stored at the time. Runs end,
/// start and are dropped at any time, and writes take effect late or not at all.
struct Play {
    rng: StdRng,
    owners: Vec<Owner>,
    rows: BTreeMap<String, Checkpoint>,
    late: Vec<Checkpoint>,
    next_run: u64,
    /// Event after which each run was asked to go on.
    asked: BTreeMap<u64, u64>,
}

impl Play {
    fn restored(&self) -> PartialOutputs {
        let row = |(key, checkpoint): (&String, &Checkpoint)| VersionedRow {
            key: RowKey::new(CHECKPOINTS_TABLE, key),
            value: Some(serde_json::to_vec(checkpoint).unwrap().into()),
            version: 1,
        };
        let rows: Vec<VersionedRow> = self.rows.iter().map(row).collect();
        let outputs = PartialOutputs::default();
        outputs.restore(&JobId::try_from("job").unwrap(), &rows, |_| true);
        outputs
    }

    /// The key is that of the store.
    fn store(&mut self, checkpoint: Checkpoint) {
        let run = checkpoint.writer.as_ref().unwrap().run;
        let range = format!("{:06}.{:06}", checkpoint.after, checkpoint.last);
        self.rows.insert(format!("job/a/{range}.{run}"), checkpoint);
    }

    fn step(&mut self) {
        let number = self.rng.random_range(0..self.owners.len());
        match self.rng.random_range(0..100) {
            0..60 => self.append(number),
            60..72 => {
                let outputs = &self.owners[number].outputs;
                self.owners[number].writing = outputs.unsaved_checkpoints(1);
            }
            72..82 => {
                for (item, checkpoint) in std::mem::take(&mut self.owners[number].writing) {
                    self.store(checkpoint.clone());
                    self.owners[number].outputs.mark_saved(&item, &checkpoint);
                }
            }
            82..86 => {
                // No response; the write takes effect later.
                let writing = std::mem::take(&mut self.owners[number].writing);
                self.late.extend(writing.into_iter().map(|(_, late)| late));
            }
            86..90 if !self.late.is_empty() => {
                let place = self.rng.random_range(0..self.late.len());
                let late = self.late.swap_remove(place);
                self.store(late);
            }
            90..95 => self.owners[number].run = None,
            95..97 => {
                if let Some((_, writer)) = self.owners[number].run.take() {
                    let outputs = &self.owners[number].outputs;
                    outputs.update("a", |output| output.drop_run(writer.run));
                }
            }
            97 => {
                self.owners[number].run = None;
                self.owners[number].outputs.clear("a");
            }
            98 => {
                self.owners[number] = Owner {
                    outputs: self.restored(),
                    writing: Vec::new(),
                    run: None,
                };
            }
            _ => {}
        }
    }

    fn append(&mut self, number: usize) {
        let owner = &mut self.owners[number];
        let (run, writer) = owner.run.get_or_insert_with(|| {
            let run = self.next_run;
            self.next_run += 1;
            let writer = Writer {
                resumed: owner.outputs.resume_after("a"),
                ..writer(run, None)
            };
            self.asked.insert(run, writer.after());
            (run, writer)
        });
        for _ in 0..self.rng.random_range(1..4) {
            let (run, writer) = (*run, &*writer);
            let is_appended = owner.outputs.update("a", |output| {
                let event = output.last() + 1;
                append(output, writer, run, event)
            });
            assert!(is_appended);
        }
    }

    /// Each event follows the one before, by its run or by a run that was asked to go on there.
    fn check(&self, output: &PartialOutput) {
        let (mut last, mut last_run) = (0, None);
        for line in std::str::from_utf8(output.text()).unwrap().lines() {
            let words: Vec<&str> = line.split(' ').collect();
            let ["run", run, "event", event] = words[..] else {
                panic!("not an event: {line:?}");
            };
            let (run, event): (u64, u64) = (run.parse().unwrap(), event.parse().unwrap());
            assert_eq!(event, last + 1);
            if last_run != Some(run) {
                assert_eq!(self.asked[&run], last, "run {run} goes on after {last}");
            }
            (last, last_run) = (event, Some(run));
        }
        assert_eq!(output.last(), last);
    }
}

#[test]
fn texts_of_several_owners_with_late_writes_are_chains() {
    let mut restored_events = 0;
    for seed in 0..300 {
        let mut play = Play {
            rng: StdRng::seed_from_u64(seed),
            owners: Vec::new(),
            rows: BTreeMap::new(),
            late: Vec::new(),
            next_run: 1,
            asked: BTreeMap::new(),
        };
        for _ in 0..3 {
            play.owners.push(Owner {
                outputs: PartialOutputs::default(),
                writing: Vec::new(),
                run: None,
            });
        }
        for _ in 0..400 {
            play.step();
        }
        let outputs = play.owners.iter().map(|owner| owner.outputs.get("a"));
        for output in outputs.chain([play.restored().get("a")]) {
            play.check(&output);
        }
        restored_events += play.restored().last("a");
    }
    assert!(restored_events > 300, "{restored_events}");
}
