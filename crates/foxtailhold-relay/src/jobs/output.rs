//! Output of an unfinished item, and which runs wrote it.
//!
//! Two runs of an item may write different texts, also at one software version. An output is therefore
//! a chain of runs: the first one began from nothing, and each further one was asked to go on after
//! the last event of the one before. Ranges of events are joined only along such a chain.

use std::collections::BTreeMap;
use std::fmt;

use foxtailhold::stream_origins::StreamOrigin;
use serde::{Deserialize, Serialize};

/// Identifier of one run of an item, different for all runs of all owners.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(u64);

impl RunId {
    /// Draws an identifier for a new run.
    pub fn random() -> Self {
        RunId(rand::random())
    }
}

impl From<u64> for RunId {
    fn from(number: u64) -> Self {
        RunId(number)
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RunId({self})")
    }
}

/// An event of the text of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEvent {
    /// Run that wrote the event.
    pub run: RunId,
    /// Number of the event.
    pub event: u64,
}

/// What wrote a part of an output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Service and software version of the backend server.
    pub origin: StreamOrigin,
    /// The run of the item.
    pub run: RunId,
    /// Event after which the run was asked to go on; `None` if it began from nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resumed: Option<RunEvent>,
}

impl Writer {
    /// Event after which the run was asked to go on, 0 if it began from nothing.
    pub fn after(&self) -> u64 {
        self.resumed.map_or(0, |resumed| resumed.event)
    }
}

/// A stored range of an item's output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Event before the first one of the range.
    pub after: u64,
    /// Last event of the range.
    pub last: u64,
    /// Data of the events, separated by line feeds.
    pub text: String,
    /// What wrote the text; `None` in rows of builds that did not record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub writer: Option<Writer>,
}

/// Part of an output that one run has written.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RunPart {
    writer: Writer,
    /// Number of bytes of the output before the part.
    start_bytes: usize,
    /// Last event.
    last: u64,
    /// Last event that is stored, and the number of bytes of the output up to it.
    saved: (u64, usize),
}

impl RunPart {
    fn new(writer: Writer, start_bytes: usize) -> Self {
        let after = writer.after();
        RunPart {
            writer,
            start_bytes,
            last: after,
            saved: (after, start_bytes),
        }
    }

    fn unsaved_events(&self) -> u64 {
        self.last - self.saved.0
    }
}

/// Where the text of an unsaved or stored range begins. The line feed before it belongs to no range.
fn range_start(after: u64, bytes: usize) -> usize {
    if after > 0 { bytes + 1 } else { bytes }
}

/// Output of an unfinished item.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartialOutput {
    text: Vec<u8>,
    /// Parts in the order of their events, each resumed after the last event of the one before.
    parts: Vec<RunPart>,
}

impl PartialOutput {
    /// Data of the events, separated by line feeds.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Last event, 0 before the first one.
    pub fn last(&self) -> u64 {
        self.parts.last().map_or(0, |part| part.last)
    }

    /// What wrote the last event; `None` before the first one.
    pub fn last_writer(&self) -> Option<&Writer> {
        self.parts.last().map(|part| &part.writer)
    }

    /// Number of runs that have written a part.
    pub fn runs(&self) -> usize {
        self.parts.len()
    }

    /// Event after which a further run has to go on; `None` if it has to begin from nothing.
    pub fn resume_after(&self) -> Option<RunEvent> {
        let part = self.parts.last()?;
        Some(RunEvent {
            run: part.writer.run,
            event: part.last,
        })
    }

    /// Appends an event of a run with what `push` adds to the text, for which it is told whether the
    /// text is empty so far. Returns `false` and changes nothing if the event does not follow.
    pub fn append(
        &mut self,
        writer: &Writer,
        event: u64,
        push: impl FnOnce(&mut Vec<u8>, bool),
    ) -> bool {
        if event != self.last() + 1 {
            return false;
        }
        let is_new = self.last_writer().is_none_or(|last| last.run != writer.run);
        if is_new {
            let is_other_origin = self
                .last_writer()
                .is_some_and(|last| last.origin != writer.origin);
            if writer.resumed != self.resume_after() || is_other_origin {
                return false;
            }
            self.parts
                .push(RunPart::new(writer.clone(), self.text.len()));
        }
        push(&mut self.text, event == 1);
        if let Some(part) = self.parts.last_mut() {
            part.last = event;
        }
        true
    }

    /// Drops what a run has added at the end.
    pub fn drop_run(&mut self, run: RunId) {
        let Some(part) = self.parts.pop_if(|part| part.writer.run == run) else {
            return;
        };
        self.text.truncate(part.start_bytes);
    }

    /// Ranges to write, of one run each; none if there are fewer than `min_events` new events.
    pub fn unsaved_checkpoints(&self, min_events: u64) -> Vec<Checkpoint> {
        let unsaved_events: u64 = self.parts.iter().map(RunPart::unsaved_events).sum();
        if unsaved_events < min_events.max(1) {
            return Vec::new();
        }
        let mut ends = self.parts.iter().skip(1).map(|part| part.start_bytes);
        let unsaved = self.parts.iter().filter_map(|part| {
            let end = ends.next().unwrap_or(self.text.len());
            let (after, bytes) = part.saved;
            if part.unsaved_events() == 0 {
                return None;
            }
            let text = self.text.get(range_start(after, bytes)..end)?;
            Some(Checkpoint {
                after,
                last: part.last,
                text: std::str::from_utf8(text).ok()?.to_owned(),
                writer: Some(part.writer.clone()),
            })
        });
        unsaved.collect()
    }

    /// Records that a range has been stored, unless the run has been dropped since.
    pub fn mark_saved(&mut self, checkpoint: &Checkpoint) {
        let Some(writer) = &checkpoint.writer else {
            return;
        };
        let mut parts = self.parts.iter_mut();
        let Some(part) = parts.find(|part| part.writer.run == writer.run) else {
            return;
        };
        let (after, bytes) = part.saved;
        if after == checkpoint.after && part.last >= checkpoint.last {
            let start = range_start(after, bytes);
            part.saved = (checkpoint.last, start + checkpoint.text.len());
        }
    }

    /// Joins stored ranges along the chains of their runs. Of several chains, the longest one for
    /// whose origin `is_served` holds is taken, or else the longest.
    pub fn from_checkpoints(
        checkpoints: Vec<Checkpoint>,
        is_served: impl Fn(&StreamOrigin) -> bool,
    ) -> Self {
        let runs = StoredRuns::from(checkpoints);
        let outputs = runs.0.values().filter_map(|run| {
            let (last, _) = run.reachable.last_key_value()?;
            runs.output(run, *last)
        });
        let longest = outputs.max_by_key(|output| {
            let origin = output.last_writer().map(|writer| &writer.origin);
            (origin.is_some_and(&is_served), output.last())
        });
        longest.unwrap_or_default()
    }

    /// Appends a stored range, which begins after the last event.
    fn append_stored(&mut self, writer: &Writer, range: &Checkpoint) {
        let is_new = self.last_writer().is_none_or(|last| last.run != writer.run);
        if is_new {
            self.parts
                .push(RunPart::new(writer.clone(), self.text.len()));
        }
        if range.after > 0 {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(range.text.as_bytes());
        if let Some(part) = self.parts.last_mut() {
            part.last = range.last;
            part.saved = (range.last, self.text.len());
        }
    }
}

/// The stored ranges of one run.
#[derive(Debug)]
struct StoredRun {
    writer: Writer,
    ranges: Vec<Checkpoint>,
    /// Events at which ranges without a gap since the start of the run end, each with the index of
    /// the last range.
    reachable: BTreeMap<u64, usize>,
}

impl StoredRun {
    fn find_reachable(&mut self) {
        self.ranges.sort_by_key(|range| (range.after, range.last));
        let start = self.writer.after();
        for (index, range) in self.ranges.iter().enumerate() {
            let is_joined = range.after == start || self.reachable.contains_key(&range.after);
            if is_joined && range.last > range.after {
                self.reachable.entry(range.last).or_insert(index);
            }
        }
    }

    /// Ranges without a gap from the start of the run to exactly `last`.
    fn ranges_to(&self, last: u64) -> Option<Vec<&Checkpoint>> {
        let mut ranges = Vec::new();
        let mut end = last;
        while end != self.writer.after() {
            let range = &self.ranges[*self.reachable.get(&end)?];
            ranges.push(range);
            end = range.after;
        }
        ranges.reverse();
        Some(ranges)
    }
}

/// The stored ranges of an item by their runs.
#[derive(Debug)]
struct StoredRuns(BTreeMap<RunId, StoredRun>);

impl From<Vec<Checkpoint>> for StoredRuns {
    fn from(checkpoints: Vec<Checkpoint>) -> Self {
        let mut runs: BTreeMap<RunId, StoredRun> = BTreeMap::new();
        for mut range in checkpoints {
            let Some(writer) = range.writer.take() else {
                continue;
            };
            let run = runs.entry(writer.run).or_insert_with(|| StoredRun {
                writer: writer.clone(),
                ranges: Vec::new(),
                reachable: BTreeMap::new(),
            });
            if run.writer == writer {
                run.ranges.push(range);
            }
        }
        runs.values_mut().for_each(StoredRun::find_reachable);
        StoredRuns(runs)
    }
}

impl StoredRuns {
    /// Output up to an event of a run; `None` if its chain is not complete.
    fn output(&self, run: &StoredRun, last: u64) -> Option<PartialOutput> {
        let mut chain = vec![(run, run.ranges_to(last)?)];
        let mut first = run;
        while let Some(resumed) = first.writer.resumed {
            let before = self.0.get(&resumed.run)?;
            // Each run of a chain begins before the next one, so the chain ends.
            let is_earlier = before.writer.after() < resumed.event;
            if !is_earlier || before.writer.origin != first.writer.origin {
                return None;
            }
            chain.push((before, before.ranges_to(resumed.event)?));
            first = before;
        }
        let mut output = PartialOutput::default();
        for (run, ranges) in chain.into_iter().rev() {
            for range in ranges {
                output.append_stored(&run.writer, range);
            }
        }
        Some(output)
    }
}
