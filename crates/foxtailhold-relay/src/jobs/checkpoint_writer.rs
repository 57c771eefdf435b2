//! Writes checkpoints of the unfinished items of one job.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::JobId;
use foxtailhold_platform::{Committed, ObjectStore, RowStore};

use crate::dialect::Dialect;
use crate::jobs::checkpoint::{CHECKPOINT_EVENTS, PartialOutputs};
use crate::jobs::split::split_checkpoint;
use crate::jobs::{Checkpoint, Jobs};
use crate::retry_delay::RetryDelay;

/// Interval between checkpoints. Together with [`CHECKPOINT_EVENTS`] it bounds the output that
/// items lose with their owner.
const CHECKPOINT_INTERVAL_MS: u64 = 800;
/// First and longest delay after a change of the row of the job that came first.
pub(super) const CONFLICT_DELAY_MS: (u64, u64) = (20, 1_000);
/// Conflicts after which checkpoints are left to the next interval.
const MAX_CONFLICTS: usize = 4;
/// Name of the rows of checkpoints in metrics.
const CHECKPOINT_ROWS: &str = "checkpoints";

/// Writes checkpoints of the items until aborted.
pub(super) async fn write_checkpoints<S: RowStore + ObjectStore, D: Dialect>(
    jobs: Arc<Jobs<S, D>>,
    id: JobId,
    partial_outputs: PartialOutputs,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(CHECKPOINT_INTERVAL_MS)).await;
        save_checkpoints_once(&jobs, &id, &partial_outputs, CHECKPOINT_EVENTS).await;
    }
}

pub(super) async fn save_checkpoints_once<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    partial_outputs: &PartialOutputs,
    min_events: u64,
) {
    let unsaved = partial_outputs.unsaved_checkpoints(min_events);
    let mut checkpoints = Vec::new();
    for (item, checkpoint) in unsaved {
        let parts = split_checkpoint(&checkpoint).into_iter();
        checkpoints.extend(parts.map(|part| (item.clone(), part)));
    }
    for group in jobs.store.pack_checkpoints(id, checkpoints) {
        if !save_group(jobs, id, &group).await {
            return;
        }
        for (item, checkpoint) in &group {
            partial_outputs.mark_saved(item, checkpoint);
        }
    }
}

/// Saves checkpoints that fit into one transaction. `false`: they have to be saved again, if the job
/// is still run here.
async fn save_group<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    group: &[(String, Checkpoint)],
) -> bool {
    let mut conflict_delay = RetryDelay::new(CONFLICT_DELAY_MS.0, CONFLICT_DELAY_MS.1);
    // Listed results change the row of the job.
    for _ in 0..MAX_CONFLICTS {
        let Some(version) = jobs.owned_version(id) else {
            return false;
        };
        match jobs.store.save_checkpoints(id, version, group).await {
            Ok(Committed::At(_)) => return true,
            Ok(Committed::Conflict(rows)) => {
                jobs.cache.apply_conflict(id, version, &rows);
                tokio::time::sleep(conflict_delay.next_delay()).await;
            }
            Ok(Committed::Refused(detail)) => {
                jobs.relay.metrics.row_refused(CHECKPOINT_ROWS);
                log::warn!(job = id.as_str(); "checkpoints refused, their items go on without: {detail}");
                return true;
            }
            Err(error) => {
                log::info!(job = id.as_str(); "checkpoints not saved, retrying with the next ones: {error}");
                return false;
            }
        }
    }
    false
}
