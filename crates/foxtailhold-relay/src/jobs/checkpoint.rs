//! Checkpoints of unfinished items, stored so that another owner resumes from there.
//!
//! An item runs for seconds; without checkpoints each lost owner would restart all its items. A
//! checkpoint is written once, for a range of events. Overlapping checkpoints of two owners are
//! harmless because each states the run that wrote it, and ranges are joined only along a chain of
//! runs ([`PartialOutput`]). A row that states no run is not used: what wrote it is not known, and the
//! item costs one run more at most.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::attempt_counts::AttemptCounts;
use foxtailhold::ids::JobId;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold_http::lock::Mutex;
use foxtailhold_platform::VersionedRow;
use foxtailhold_platform::rows::MAX_NAME_BYTES;
use xxhash_rust::xxh3::xxh3_128;

use crate::jobs::{Checkpoint, Job, PartialOutput, RunEvent};

/// Last part of the key of an item's attempt counts; checkpoints have a range of events there.
pub const ATTEMPT_COUNTS_KEY: &str = "account";
/// Events after which the next checkpoint of an item is written, about one second of work.
pub const CHECKPOINT_EVENTS: u64 = 40;

/// Bytes of a key beside the identifiers of the job and the item: a range of events and a run.
const KEY_SUFFIX_BYTES: usize = 32;
/// First character of an identifier that is hashed in keys, and the length of the hash.
const HASHED: char = '~';
const HASH_DIGITS: usize = 32;

/// An item in keys of the store: its identifier, or the hash of one that does not fit into a key or
/// that would not be told apart from the other parts. Earlier builds read the identifier only.
pub(super) fn item_key<'a>(job: &JobId, item: &'a str) -> Cow<'a, str> {
    let fits = job.as_str().len() + item.len() + KEY_SUFFIX_BYTES <= MAX_NAME_BYTES;
    let looks_hashed = item.starts_with(HASHED) && item.len() == HASH_DIGITS + 1;
    if fits && !item.contains('/') && !looks_hashed {
        return Cow::Borrowed(item);
    }
    Cow::Owned(format!("{HASHED}{:032x}", xxh3_128(item.as_bytes())))
}

/// Attempt counts of an item and the version of their row.
type StoredCounts = (AttemptCounts, u64);

/// Partial outputs of the items of a job that run here; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PartialOutputs {
    /// Identifiers of the items that are hashed in keys.
    hashed: Arc<HashMap<String, String>>,
    items: Arc<Mutex<HashMap<String, PartialOutput>>>,
    attempt_counts: Arc<Mutex<HashMap<String, StoredCounts>>>,
}

impl PartialOutputs {
    /// Outputs of the items of a job, all empty.
    pub fn of(id: &JobId, job: &Job) -> Self {
        let mut hashed = HashMap::new();
        for (item, _) in &job.items {
            if let Cow::Owned(key) = item_key(id, item) {
                hashed.insert(key, item.clone());
            }
        }
        PartialOutputs {
            hashed: Arc::new(hashed),
            ..PartialOutputs::default()
        }
    }

    /// Output of an item so far; empty if there is none.
    pub fn get(&self, item: &str) -> PartialOutput {
        self.items.lock().get(item).cloned().unwrap_or_default()
    }

    /// Last event of an item, 0 before the first one.
    pub fn last(&self, item: &str) -> u64 {
        self.items.lock().get(item).map_or(0, PartialOutput::last)
    }

    /// Service and software version that wrote the output of an item; `None` before the first event.
    pub fn origin(&self, item: &str) -> Option<StreamOrigin> {
        let items = self.items.lock();
        let writer = items.get(item)?.last_writer()?;
        Some(writer.origin.clone())
    }

    /// Event after which the next run of an item has to go on; `None` if it has to begin from nothing.
    pub fn resume_after(&self, item: &str) -> Option<RunEvent> {
        self.items.lock().get(item)?.resume_after()
    }

    /// Attempt counts recorded by an earlier owner; `None` if there are none.
    pub fn attempt_counts(&self, item: &str) -> Option<AttemptCounts> {
        self.stored_counts(item).map(|(counts, _)| counts)
    }

    /// Version of the row of an item's attempt counts as read; 0 if there was none.
    pub fn attempt_counts_version(&self, item: &str) -> u64 {
        self.stored_counts(item).map_or(0, |(_, version)| version)
    }

    fn stored_counts(&self, item: &str) -> Option<StoredCounts> {
        self.attempt_counts.lock().get(item).copied()
    }

    /// Changes the partial output of an item.
    pub fn update<T>(&self, item: &str, change: impl FnOnce(&mut PartialOutput) -> T) -> T {
        change(self.items.lock().entry(item.to_owned()).or_default())
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
        let unsaved_checkpoints = items.iter().flat_map(|(item, output)| {
            let checkpoints = output.unsaved_checkpoints(min_events).into_iter();
            checkpoints.map(|checkpoint| (item.clone(), checkpoint))
        });
        unsaved_checkpoints.collect()
    }

    /// Records that a checkpoint has been stored, unless the output that it belongs to has been
    /// dropped since.
    pub fn mark_saved(&self, item: &str, checkpoint: &Checkpoint) {
        if let Some(output) = self.items.lock().get_mut(item) {
            output.mark_saved(checkpoint);
        }
    }

    fn restore_attempt_counts(&self, job: &JobId, item: &str, row: &VersionedRow) {
        let value = row.value.as_deref().unwrap_or_default();
        match serde_json::from_slice(value) {
            Ok(counts) => {
                let stored = (counts, row.version);
                self.attempt_counts.lock().insert(item.to_owned(), stored);
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
        let mut without_writer = 0;
        let mut checkpoints: HashMap<String, Vec<Checkpoint>> = HashMap::new();
        for row in rows {
            let mut parts = row.key.key.split('/');
            let (Some(_), Some(item)) = (parts.next(), parts.next()) else {
                log::warn!(job = job.as_str(); "ignoring row {}: its key names no item", row.key.key);
                continue;
            };
            let item = self.hashed.get(item).map_or(item, String::as_str);
            let value = row.value.as_deref().unwrap_or_default();
            if parts.next() == Some(ATTEMPT_COUNTS_KEY) {
                self.restore_attempt_counts(job, item, row);
                continue;
            }
            match serde_json::from_slice::<Checkpoint>(value) {
                Ok(checkpoint) if checkpoint.writer.is_none() => without_writer += 1,
                Ok(checkpoint) => checkpoints
                    .entry(item.to_owned())
                    .or_default()
                    .push(checkpoint),
                Err(error) => {
                    log::warn!(job = job.as_str(); "ignoring checkpoint of an item: {error}")
                }
            }
        }
        if without_writer > 0 {
            log::info!(
                job = job.as_str(), checkpoints = without_writer;
                "ignoring checkpoints that name no run, their items start again"
            );
        }
        let mut items = self.items.lock();
        for (item, checkpoints) in checkpoints {
            let count = checkpoints.len();
            let output = PartialOutput::from_checkpoints(checkpoints, &is_served);
            let writer = output.last_writer();
            log::info!(
                job = job.as_str(), item = item.as_str(), checkpoints = count,
                events = output.last(), runs = output.runs(),
                service = writer.map(|writer| writer.origin.service.as_str()),
                version = writer.map(|writer| writer.origin.version.as_str()),
                run = writer.map(|writer| writer.run.to_string());
                "output of an item restored"
            );
            items.insert(item, output);
        }
    }
}
