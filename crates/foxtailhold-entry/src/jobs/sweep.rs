//! Deletes orphaned result objects: those of ended jobs that no chunk row refers to.

use foxtailhold::batch::sweep::{self, SweepRow};
use foxtailhold::ids::JobId;
use foxtailhold_platform::{Expect, Operation, Platform, Result};

use crate::jobs::owner;
use crate::shared::Shared;
use crate::tables;

/// Sweeps the jobs that ended at least the settings' `sweep_after_ms` ago and are assigned to this
/// instance.
pub async fn run<P: Platform>(shared: &Shared<P>) -> Result<()> {
    let after_ms = shared.settings.sweep_after_ms;
    let rows = shared
        .platform
        .scan(tables::SWEEP, "", "", tables::PAGE)
        .await?;
    for keyed in rows {
        let row: SweepRow = keyed.row.read()?;
        if !row.is_due(after_ms, shared.clock.wall()) {
            return Ok(());
        }
        if !shared.is_coordinator_for(row.job.as_str().as_bytes()) {
            continue;
        }
        let deleted = sweep_job(shared, &row.job).await?;
        if deleted > 0 {
            log::info!(
                "deleted {deleted} orphaned result objects of job {}",
                row.job
            );
        }
        let delete = Operation::delete(tables::SWEEP, &keyed.key, Expect::Any);
        shared.platform.transact(&[delete]).await?;
    }
    Ok(())
}

async fn sweep_job<P: Platform>(shared: &Shared<P>, job: &JobId) -> Result<usize> {
    let chunks = owner::finished_chunks(&shared.platform, job).await?;
    let prefix = tables::result_prefix(job);
    let mut after = String::new();
    let mut deleted = 0;
    loop {
        let listed = shared
            .platform
            .list_objects(&prefix, &after, tables::PAGE)
            .await?;
        for name in sweep::orphans(&listed, &chunks) {
            shared.platform.delete_object(name).await?;
            deleted += 1;
        }
        match listed.last() {
            Some(last) if listed.len() == tables::PAGE => after.clone_from(last),
            _ => return Ok(deleted),
        }
    }
}
