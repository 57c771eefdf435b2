//! Writes the attempt counts of the items of one job. Those that are due while a commit is under way
//! are written with the next one, since the store takes a limited number of transactions a second.

use std::sync::Arc;

use foxtailhold::attempt_counts::AttemptCounts;
use foxtailhold::ids::JobId;
use foxtailhold_http::lock::Mutex;
use foxtailhold_platform::{Committed, ObjectStore, RowStore};
use tokio::sync::{OwnedMutexGuard, oneshot};

use crate::dialect::Dialect;
use crate::jobs::{Jobs, Result};

/// Items written with one commit: two entries each and the job's row, below the limit of a
/// transaction.
const MAX_ITEMS_PER_COMMIT: usize = 40;

/// The attempt counts of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountsWrite {
    /// Identifier of the item.
    pub item: String,
    /// The counts.
    pub counts: AttemptCounts,
    /// Version of the row that they replace; 0 if there is none.
    pub counts_version: u64,
}

/// Result of a write; `None` if this instance does not run the job any more.
type Written = Result<Option<Committed>>;

type PendingWrite = (CountsWrite, oneshot::Sender<Written>);

/// Writes the attempt counts of the items of one job.
#[derive(Debug)]
pub struct CountsWriter<S, D> {
    jobs: Arc<Jobs<S, D>>,
    id: JobId,
    pending: Mutex<Vec<PendingWrite>>,
    /// Held while a commit is under way.
    turn: Arc<tokio::sync::Mutex<()>>,
}

impl<S: RowStore + ObjectStore, D: Dialect> CountsWriter<S, D> {
    /// Creates the writer of the items of a job.
    pub fn new(jobs: Arc<Jobs<S, D>>, id: JobId) -> Self {
        CountsWriter {
            jobs,
            id,
            pending: Mutex::default(),
            turn: Arc::default(),
        }
    }

    /// Writes the counts of an item, in place of an earlier write of it that has not begun. If this
    /// is dropped, the write may still be made.
    pub async fn write(self: &Arc<Self>, write: CountsWrite) -> Written {
        let (sender, mut written) = oneshot::channel();
        {
            let mut pending = self.pending.lock();
            pending.retain(|(other, _)| other.item != write.item);
            pending.push((write, sender));
        }
        loop {
            let turn = tokio::select! {
                biased;
                written = &mut written => return written.unwrap_or(Ok(None)),
                turn = Arc::clone(&self.turn).lock_owned() => turn,
            };
            // An earlier commit has taken it.
            if let Ok(written) = written.try_recv() {
                return written;
            }
            let mut pending = self.pending.lock();
            let count = pending.len().min(MAX_ITEMS_PER_COMMIT);
            let group: Vec<PendingWrite> = pending.drain(..count).collect();
            drop(pending);
            if group.is_empty() {
                continue;
            }
            tokio::spawn(Arc::clone(self).commit(group, turn));
        }
    }

    async fn commit(self: Arc<Self>, group: Vec<PendingWrite>, turn: OwnedMutexGuard<()>) {
        let (writes, senders): (Vec<CountsWrite>, Vec<_>) = group.into_iter().unzip();
        let written = self.commit_writes(&writes).await;
        // One row that the store refuses holds up no other.
        let is_refused = matches!(written, Ok(Some(Committed::Refused(_))));
        for (write, sender) in writes.iter().zip(senders) {
            let written = match is_refused && writes.len() > 1 {
                true => self.commit_writes(std::slice::from_ref(write)).await,
                false => written.clone(),
            };
            // Nobody waits for it any more.
            let _ = sender.send(written);
        }
        drop(turn);
    }

    async fn commit_writes(&self, writes: &[CountsWrite]) -> Written {
        let Some(version) = self.jobs.owned_version(&self.id) else {
            return Ok(None);
        };
        let store = &self.jobs.store;
        let committed = store
            .write_attempt_counts(&self.id, version, writes)
            .await?;
        if let Committed::Conflict(rows) = &committed {
            self.jobs.cache.apply_conflict(&self.id, version, rows);
        }
        Ok(Some(committed))
    }
}
