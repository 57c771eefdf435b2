//! Deletes stored data of jobs whose retention period has passed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::JobId;
use foxtailhold::rendezvous;
use foxtailhold::turns::Turns;
use foxtailhold_platform::{Committed, ObjectStore, RowStore};

use crate::dialect::Dialect;
use crate::jobs::cache::CachedJob;
use crate::jobs::store::JOB_ROWS;
use crate::jobs::{JobError, Jobs, Result};

/// Interval between sweeps; jobs are kept for minutes.
const SWEEP_INTERVAL_MS: u64 = 2_000;
/// Sweeps after which the next instance in order deletes the data of a job that is still there.
const SWEEPS_PER_TURN: usize = 5;
/// Sweeps are not left to an instance that has been down for this time.
const SWEEPER_DOWN_MS: u64 = 5_000;
/// Jobs are kept this much longer than promised, because the clocks of instances differ.
const RETENTION_MARGIN_MS: u64 = 10_000;

/// Sweeps until aborted. Jobs are kept for `retention_ms` after their acceptance, and while they
/// are open.
pub async fn sweep_jobs<S: RowStore + ObjectStore, D: Dialect>(
    jobs: Arc<Jobs<S, D>>,
    retention_ms: u64,
) {
    let mut turns = Turns::default();
    // Versions of jobs whose deletion the store has refused.
    let mut refused: HashMap<JobId, u64> = HashMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
        let now_unix_ms = jobs.relay.clock.wall().0;
        let mut expired: HashMap<JobId, CachedJob> = jobs.cache.closed().into_iter().collect();
        expired.retain(|_, cached| {
            now_unix_ms >= cached.job.accepted_unix_ms + retention_ms + RETENTION_MARGIN_MS
        });
        refused.retain(|id, version| expired.get(id).is_some_and(|job| job.version == *version));
        expired.retain(|id, _| !refused.contains_key(id));
        let sweepers = {
            let now = jobs.relay.clock.mono();
            jobs.relay.peers.members().not_down(now, SWEEPER_DOWN_MS)
        };
        let rank = |id: &JobId| {
            rendezvous::rank(&sweepers, id.as_str().as_bytes(), jobs.me()) * SWEEPS_PER_TURN
        };
        for id in turns.due(expired.keys().cloned(), rank) {
            let Some(cached) = expired.get(&id) else {
                continue;
            };
            match sweep(&jobs, &id, cached).await {
                Ok(()) => log::info!(job = id.as_str(); "stored data of an expired job deleted"),
                Err(JobError::Rejected(error)) => {
                    jobs.relay.metrics.row_refused(JOB_ROWS);
                    log::error!(job = id.as_str(); "deletion of an expired job refused: {error}");
                    refused.insert(id, cached.version);
                }
                Err(error) => {
                    log::info!(job = id.as_str(); "stored data of an expired job not deleted, retrying: {error}")
                }
            }
        }
    }
}

/// Deletes the row of the job last, so that an interrupted sweep is repeated.
async fn sweep<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    cached: &CachedJob,
) -> Result<()> {
    jobs.store.delete_contents(id).await?;
    match jobs.store.delete_job(id, cached.version).await? {
        Committed::At(_) => Ok(()),
        Committed::Conflict(rows) => {
            jobs.cache.apply_conflict(id, cached.version, &rows);
            Ok(())
        }
        Committed::Refused(detail) => Err(JobError::refused(detail)),
    }
}
