//! Which jobs this instance runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::rendezvous;
use foxtailhold_platform::{Committed, ObjectStore, RowStore};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use crate::dialect::Dialect;
use crate::jobs::cache::KnownJob;
use crate::jobs::run::run_job;
use crate::jobs::{Job, JobError, Jobs};

/// Pause between two looks at owners without a change of a job.
const LOOK_MS: u64 = 300;
/// An owner that is down for this time loses its jobs: longer than a usual restart of the talk
/// between instances, far shorter than the slack of an item.
const OWNER_DOWN_MS: u64 = 1_200;

/// An instance that hears of nobody may be the one that is cut off, and waits longer.
const OWNER_DOWN_ALONE_MS: u64 = 3_600;

/// Runs this instance's jobs and takes over those of instances that are down, until `leave` is
/// cancelled; then hands over what is left and returns.
pub async fn own_jobs<S: RowStore + ObjectStore, D: Dialect>(
    jobs: Arc<Jobs<S, D>>,
    leave: CancellationToken,
) {
    let mut running: HashMap<JobId, Running> = HashMap::new();
    let mut changes = jobs.book.changes();
    loop {
        let open = jobs.book.open();
        running.retain(|id, job| {
            let is_mine = open
                .iter()
                .any(|(known, job)| known == id && job.job.owner == *jobs.me());
            if !is_mine {
                job.stop.cancel();
            }
            is_mine
        });
        for (id, known) in open {
            if known.job.owner == *jobs.me() {
                start(&jobs, &mut running, id);
                continue;
            }
            if is_heir(&jobs, &id, &known.job.owner) {
                let next = Job {
                    owner: jobs.me().clone(),
                    lost_owners: known.job.lost_owners + 1,
                    ..Job::clone(&known.job)
                };
                change_owner(&jobs, &id, &known, next).await;
            }
        }
        let look = tokio::time::sleep(Duration::from_millis(LOOK_MS));
        tokio::select! {
            _ = changes.changed() => {}
            () = look => {}
            () = leave.cancelled() => break,
        }
    }
    hand_over(&jobs, running).await;
}

/// A job that runs here.
struct Running {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

fn start<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Arc<Jobs<S, D>>,
    running: &mut HashMap<JobId, Running>,
    id: JobId,
) {
    if running.contains_key(&id) {
        return;
    }
    let stop = CancellationToken::new();
    let task = tokio::spawn(run_job(Arc::clone(jobs), id.clone(), stop.clone()));
    running.insert(id, Running { stop, task });
}

/// Whether the owner is down and this instance is the one to take over.
fn is_heir<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    owner: &InstanceId,
) -> bool {
    if !jobs.relay.peers.is_table_read() {
        return false;
    }
    let now = jobs.relay.clock.mono();
    let mut members = jobs.relay.peers.members();
    let down_ms = match members.hears_others(now) {
        true => OWNER_DOWN_MS,
        false => OWNER_DOWN_ALONE_MS,
    };
    if !members.is_down(now, owner, down_ms) {
        return false;
    }
    let heirs = members.not_down(now, down_ms);
    let heir = rendezvous::select(&heirs, id.as_str().as_bytes());
    heir.is_none_or(|heir| heir == jobs.me())
}

/// Writes a new owner into a job's row.
async fn change_owner<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    known: &KnownJob,
    next: Job,
) {
    match jobs.store.update(id, &next, known.version, 0, &[]).await {
        Ok(Committed::At(version)) => {
            log::info!(
                job = id.as_str(), from = known.job.owner.as_str(), to = next.owner.as_str(),
                lost_owners = next.lost_owners, version = version; "job has a new owner"
            );
            jobs.book.put(id, next, version);
        }
        Ok(Committed::Conflict(rows)) => {
            for row in &rows {
                jobs.book.put_row(row);
            }
        }
        Err(error @ JobError::Unknown(_)) => {
            log::warn!(job = id.as_str(); "new owner not known: {error}");
        }
        Err(error) => log::warn!(job = id.as_str(); "no new owner: {error}"),
    }
}

/// Gives this instance's open jobs to others, with what their items have given so far.
async fn hand_over<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Arc<Jobs<S, D>>,
    mut running: HashMap<JobId, Running>,
) {
    let mut handed = JoinSet::new();
    for (id, known) in jobs.book.open() {
        if known.job.owner != *jobs.me() {
            continue;
        }
        let jobs = Arc::clone(jobs);
        let job = running.remove(&id);
        handed.spawn(async move { give_away(&jobs, &id, job).await });
    }
    for job in running.values() {
        job.stop.cancel();
    }
    handed.join_all().await;
}

async fn give_away<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    running: Option<Running>,
) {
    if let Some(Running { stop, task }) = running {
        stop.cancel();
        if let Err(error) = task.await {
            log::error!(job = id.as_str(); "the job's task failed: {error}");
        }
    }
    let (Some(owner), Some(known)) = (other_owner(jobs, id), jobs.book.get(id)) else {
        log::info!(job = id.as_str(); "nobody to hand the job over to");
        return;
    };
    let next = Job {
        owner,
        ..Job::clone(&known.job)
    };
    change_owner(jobs, id, &known, next).await;
}

fn other_owner<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
) -> Option<InstanceId> {
    let now = jobs.relay.clock.mono();
    let members = jobs.relay.peers.members();
    let live = members.live(now);
    let others = live.iter().map(|member| &member.instance);
    let others = others.filter(|instance| *instance != jobs.me());
    rendezvous::select(others, id.as_str().as_bytes()).cloned()
}
