//! Deletes stored data of jobs whose retention period has passed.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::rendezvous;
use foxtailhold_platform::{ObjectStore, RowStore};

use crate::dialect::Dialect;
use crate::jobs::cache::CachedJob;
use crate::jobs::{Jobs, Result};

/// Interval between sweeps; jobs are kept for minutes.
const SWEEP_INTERVAL_MS: u64 = 2_000;
/// Sweeps are not assigned to an instance that has been down for this time.
const SWEEPER_DOWN_MS: u64 = 5_000;
/// Jobs are kept this much longer than promised, because the clocks of instances differ.
const RETENTION_MARGIN_MS: u64 = 10_000;

/// Sweeps until aborted. Jobs are kept for `retention_ms` after their acceptance, and while they
/// are open.
pub async fn sweep_jobs<S: RowStore + ObjectStore, D: Dialect>(
    jobs: Arc<Jobs<S, D>>,
    retention_ms: u64,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
        let now_unix_ms = jobs.relay.clock.wall().0;
        let sweepers = {
            let now = jobs.relay.clock.mono();
            jobs.relay.peers.members().not_down(now, SWEEPER_DOWN_MS)
        };
        for (id, cached) in jobs.cache.closed() {
            let until = cached.job.accepted_unix_ms + retention_ms + RETENTION_MARGIN_MS;
            if now_unix_ms < until || !is_mine(&jobs, &sweepers, &id) {
                continue;
            }
            match sweep(&jobs, &id, &cached).await {
                Ok(()) => log::info!(job = id.as_str(); "stored data of an expired job deleted"),
                Err(error) => {
                    log::info!(job = id.as_str(); "stored data of an expired job not deleted, retrying: {error}")
                }
            }
        }
    }
}

fn is_mine<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    sweepers: &[InstanceId],
    id: &JobId,
) -> bool {
    let sweeper = rendezvous::select(sweepers, id.as_str().as_bytes());
    sweeper.is_none_or(|sweeper| sweeper == jobs.me())
}

/// Deletes the row of the job last, so that an interrupted sweep is repeated.
async fn sweep<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    cached: &CachedJob,
) -> Result<()> {
    jobs.store.delete_contents(id).await?;
    jobs.store.delete_job(id, cached.version).await
}
