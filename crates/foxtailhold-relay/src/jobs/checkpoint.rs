//! Checkpoints of unfinished items, stored so that another owner resumes from there.
//!
//! An item runs for seconds; without checkpoints each lost owner would restart all its items. A
//! checkpoint is written once, for a range of events. Overlapping checkpoints of two owners are
//! harmless because the output of an item is the same at every backend server of one service and
//! software version. Those of two origins are never joined, and the text of a row that names no origin
//! is not used: what wrote it is not known, and the item costs one run more at most.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use foxtailhold::attempt_counts::AttemptCounts;
use foxtailhold::ids::JobId;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold_platform::VersionedRow;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Last part of the key of an item's attempt counts; checkpoints have a range of events there.
pub const ATTEMPT_COUNTS_KEY: &str = "account";
/// Events after which the next checkpoint of an item is written, about one second of work.
pub const CHECKPOINT_EVENTS: u64 = 40;

/// A stored range of an item's output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Event before the first one of the range.
    pub after: u64,
    /// Last event of the range.
    pub last: u64,
    /// Data of the events, separated by line feeds.
    pub text: String,
    /// Service and software version of the backend servers that wrote the text; `None` in rows of
    /// builds that did not record both.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<StreamOrigin>,
}

/// Output of an unfinished item.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartialOutput {
    /// Data of the events, separated by line feeds.
    pub text: Vec<u8>,
    /// Last event, 0 before the first one.
    pub last: u64,
    /// Service and software version of the backend servers that wrote the text; `None` before the
    /// first event.
    pub origin: Option<StreamOrigin>,
    /// Last event and number of bytes in the stored checkpoints.
    saved: (u64, usize),
}

impl PartialOutput {
    /// Joins the checkpoints of one origin in the order of their events up to the first gap. Of
    /// several origins, the longest text of one for which `is_served` holds is taken, or else the
    /// longest.
    pub fn from_checkpoints(
        checkpoints: Vec<Checkpoint>,
        is_served: impl Fn(&StreamOrigin) -> bool,
    ) -> Self {
        let mut by_origin: BTreeMap<StreamOrigin, Vec<Checkpoint>> = BTreeMap::new();
        for mut checkpoint in checkpoints {
            let Some(origin) = checkpoint.origin.take() else {
                continue;
            };
            by_origin.entry(origin).or_default().push(checkpoint);
        }
        let outputs = by_origin
            .into_iter()
            .map(|(origin, checkpoints)| PartialOutput::join(origin, checkpoints))
            .filter(|output| output.last > 0);
        let longest = outputs.max_by_key(|output| {
            let is_served = output.origin.as_ref().is_some_and(&is_served);
            (is_served, output.last)
        });
        longest.unwrap_or_default()
    }

    /// Joins checkpoints that `origin` has written.
    fn join(origin: StreamOrigin, mut checkpoints: Vec<Checkpoint>) -> Self {
        checkpoints
            .sort_by_key(|checkpoint| (checkpoint.after, std::cmp::Reverse(checkpoint.last)));
        let mut output = PartialOutput {
            origin: Some(origin),
            ..PartialOutput::default()
        };
        for checkpoint in checkpoints {
            if checkpoint.after != output.last || checkpoint.last <= output.last {
                continue;
            }
            if output.last > 0 {
                output.text.push(b'\n');
            }
            output.text.extend_from_slice(checkpoint.text.as_bytes());
            output.last = checkpoint.last;
        }
        output.saved = (output.last, output.text.len());
        output
    }

    /// Number of bytes and last event.
    pub fn position(&self) -> (usize, u64) {
        (self.text.len(), self.last)
    }

    /// Drops what came after `position`.
    pub fn truncate(&mut self, position: (usize, u64)) {
        let (bytes, last) = position;
        self.text.truncate(bytes);
        self.last = last;
        self.saved = self.saved.min((last, bytes));
        if last == 0 {
            self.origin = None;
        }
    }

    /// Next checkpoint to write; `None` if there are fewer than `min_events` new events.
    fn next_checkpoint(&self, min_events: u64) -> Option<Checkpoint> {
        let (after, bytes) = self.saved;
        if self.last < after + min_events.max(1) {
            return None;
        }
        // The line feed between two checkpoints belongs to neither.
        let start = if after > 0 { bytes + 1 } else { 0 };
        let text = std::str::from_utf8(self.text.get(start..)?).ok()?;
        Some(Checkpoint {
            after,
            last: self.last,
            text: text.to_owned(),
            origin: self.origin.clone(),
        })
    }
}

/// Partial outputs of the items of a job that run here; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PartialOutputs {
    items: Arc<Mutex<HashMap<String, PartialOutput>>>,
    attempt_counts: Arc<Mutex<HashMap<String, AttemptCounts>>>,
}

impl PartialOutputs {
    /// Output of an item so far; empty if there is none.
    pub fn get(&self, item: &str) -> PartialOutput {
        self.items.lock().get(item).cloned().unwrap_or_default()
    }

    /// Last event of an item, 0 before the first one.
    pub fn last(&self, item: &str) -> u64 {
        self.items.lock().get(item).map_or(0, |output| output.last)
    }

    /// Service and software version that wrote the output of an item; `None` before the first event.
    pub fn origin(&self, item: &str) -> Option<StreamOrigin> {
        self.items.lock().get(item)?.origin.clone()
    }

    /// Attempt counts recorded by an earlier owner; `None` if there are none.
    pub fn attempt_counts(&self, item: &str) -> Option<AttemptCounts> {
        self.attempt_counts.lock().get(item).copied()
    }

    /// Changes the partial output of an item.
    pub fn update(&self, item: &str, change: impl FnOnce(&mut PartialOutput)) {
        change(self.items.lock().entry(item.to_owned()).or_default());
    }

    /// Drops the output of an item, which starts again from nothing.
    pub fn clear(&self, item: &str) {
        self.update(item, |output| *output = PartialOutput::default());
    }

    /// Removes an item that has a result.
    pub fn remove(&self, item: &str) {
        self.items.lock().remove(item);
    }

    /// Checkpoints of at least `min_events` events that have not been stored.
    pub fn unsaved_checkpoints(&self, min_events: u64) -> Vec<(String, Checkpoint)> {
        let items = self.items.lock();
        let unsaved_checkpoints = items.iter().filter_map(|(item, output)| {
            let checkpoint = output.next_checkpoint(min_events)?;
            Some((item.clone(), checkpoint))
        });
        unsaved_checkpoints.collect()
    }

    /// Records that a checkpoint has been stored, unless the output that it belongs to has been
    /// dropped since.
    pub fn mark_saved(&self, item: &str, checkpoint: &Checkpoint) {
        let mut items = self.items.lock();
        let Some(output) = items.get_mut(item) else {
            return;
        };
        let is_current = output.origin == checkpoint.origin
            && output.saved.0 == checkpoint.after
            && output.last >= checkpoint.last;
        if !is_current {
            return;
        }
        let start = if checkpoint.after > 0 {
            output.saved.1 + 1
        } else {
            0
        };
        output.saved = (checkpoint.last, start + checkpoint.text.len());
    }

    fn restore_attempt_counts(&self, job: &JobId, item: &str, value: &[u8]) {
        match serde_json::from_slice(value) {
            Ok(counts) => {
                self.attempt_counts.lock().insert(item.to_owned(), counts);
            }
            Err(error) => {
                log::warn!(job = job.as_str(); "ignoring attempt counts of an item: {error}")
            }
        }
    }

    /// Loads the stored checkpoints and attempt counts of a job's items. `is_served` says whether
    /// there are backend servers of an origin.
    pub fn restore(
        &self,
        job: &JobId,
        rows: &[VersionedRow],
        is_served: impl Fn(&StreamOrigin) -> bool,
    ) {
        let mut without_origin = 0;
        let mut checkpoints: HashMap<String, Vec<Checkpoint>> = HashMap::new();
        for row in rows {
            let mut parts = row.key.key.split('/');
            let (Some(_), Some(item)) = (parts.next(), parts.next()) else {
                log::warn!(job = job.as_str(); "ignoring row {}: its key names no item", row.key.key);
                continue;
            };
            let value = row.value.as_deref().unwrap_or_default();
            if parts.next() == Some(ATTEMPT_COUNTS_KEY) {
                self.restore_attempt_counts(job, item, value);
                continue;
            }
            match serde_json::from_slice::<Checkpoint>(value) {
                Ok(checkpoint) if checkpoint.origin.is_none() => without_origin += 1,
                Ok(checkpoint) => checkpoints
                    .entry(item.to_owned())
                    .or_default()
                    .push(checkpoint),
                Err(error) => {
                    log::warn!(job = job.as_str(); "ignoring checkpoint of an item: {error}")
                }
            }
        }
        if without_origin > 0 {
            log::info!(
                job = job.as_str(), checkpoints = without_origin;
                "ignoring checkpoints that name no service and version, their items start again"
            );
        }
        let mut items = self.items.lock();
        for (item, checkpoints) in checkpoints {
            let count = checkpoints.len();
            let output = PartialOutput::from_checkpoints(checkpoints, &is_served);
            log::info!(
                job = job.as_str(), item = item.as_str(), checkpoints = count,
                events = output.last,
                service = output.origin.as_ref().map(|origin| origin.service.as_str()),
                version = output.origin.as_ref().map(|origin| origin.version.as_str());
                "output of an item restored"
            );
            items.insert(item, output);
        }
    }
}
