//! Deletes what is stored of jobs that nobody may read any more.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::rendezvous;
use foxtailhold_platform::{ObjectStore, RowStore};

use crate::dialect::Dialect;
use crate::jobs::cache::KnownJob;
use crate::jobs::{Jobs, Result};

/// Pause between two sweeps; jobs are kept for minutes.
const SWEEP_MS: u64 = 2_000;
/// An instance that is down for this time sweeps nothing; another one does.
const DOWN_MS: u64 = 5_000;
/// Jobs are kept this much longer than promised, for clocks that differ between instances.
const KEEP_MARGIN_MS: u64 = 10_000;

/// Sweeps until aborted. Jobs are kept for `keep_ms` after their acceptance, and while they are open.
pub async fn sweep_jobs<S: RowStore + ObjectStore, D: Dialect>(
    jobs: Arc<Jobs<S, D>>,
    keep_ms: u64,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(SWEEP_MS)).await;
        let now_unix_ms = jobs.relay.clock.wall().0;
        let sweepers = {
            let now = jobs.relay.clock.mono();
            jobs.relay.peers.members().not_down(now, DOWN_MS)
        };
        for (id, known) in jobs.book.closed() {
            let until = known.job.accepted_unix_ms + keep_ms + KEEP_MARGIN_MS;
            if now_unix_ms < until || !is_mine(&jobs, &sweepers, &id) {
                continue;
            }
            match sweep(&jobs, &id, &known).await {
                Ok(()) => log::info!(job = id.as_str(); "job swept"),
                Err(error) => log::info!(job = id.as_str(); "job not swept: {error}"),
            }
        }
    }
}

fn is_mine<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    sweepers: &[InstanceId],
    id: &JobId,
) -> bool {
    let home = rendezvous::select(sweepers, id.as_str().as_bytes());
    home.is_none_or(|home| home == jobs.me())
}

/// The job's row goes last: what is left of a sweep that was interrupted is swept again.
async fn sweep<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    known: &KnownJob,
) -> Result<()> {
    jobs.store.delete_contents(id).await?;
    jobs.store.delete_job(id, known.version).await
}
