//! Decides which jobs this instance runs.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::rendezvous;
use foxtailhold::time::MonoMs;
use foxtailhold_platform::{Committed, ObjectStore, RowStore};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::dialect::Dialect;
use crate::jobs::cache::CachedJob;
use crate::jobs::run::run_job;
use crate::jobs::store::JOB_ROWS;
use crate::jobs::succession::{LostOwner, Succession, turn_ms};
use crate::jobs::{Job, JobError, Jobs};
use crate::retry_delay::RetryDelay;

/// Interval between checks of the owners if no job changes.
const CHECK_INTERVAL_MS: u64 = 300;
/// Delay after a failed attempt to take over, and the bound of its jitter.
const RETRY_DELAY_MS: u64 = 300;

/// First and longest delay before a hand-over is tried again.
const TRANSFER_DELAY_MS: (u64, u64) = (100, 600);

/// Jobs that are taken over at the same time.
const MAX_TAKEOVERS: usize = 16;
/// Delay before a job is run again whose run has ended while it is open; it doubles up to the
/// second one.
const RESTART_DELAY_MS: (u64, u64) = (250, 4_000);

/// Runs the jobs of this instance and takes over those of instances that are down. From the
/// hand-over on it moves its jobs to others instead, until it is aborted.
pub async fn own_jobs<S: RowStore + ObjectStore, D: Dialect>(jobs: Arc<Jobs<S, D>>) {
    let mut running = RunningJobs::default();
    // When to try again to take over each job whose owner is down; `None` before a first attempt.
    let mut lost_seen: HashMap<JobId, (InstanceId, Option<MonoMs>)> = HashMap::new();
    let mut takeovers = JoinSet::new();
    // Versions of rows for which the store has refused this instance as the owner.
    let mut refused: HashMap<JobId, u64> = HashMap::new();
    let mut changes = jobs.cache.changes();
    loop {
        let started = Instant::now();
        let open: HashMap<JobId, CachedJob> = jobs.cache.open().into_iter().collect();
        let open_count = open.len();
        running.reconcile(&jobs, &open);
        lost_seen.retain(|id, _| open.contains_key(id));
        refused.retain(|id, version| open.get(id).is_some_and(|job| job.version == *version));
        let now = jobs.relay.clock.mono();
        let succession = succession(&jobs, now, &open);
        let may_take_over = jobs.may_take_over();
        for (id, cached) in open {
            let Some(lost) = succession.lost_owner(&id, &cached.job.owner) else {
                lost_seen.remove(&id);
                continue;
            };
            let before = lost_seen.get(&id);
            if before.is_none_or(|(owner, _)| *owner != lost.owner) {
                log_lost(&id, &lost);
            }
            let retry_at = before.and_then(|(_, retry_at)| *retry_at);
            let may_try =
                may_take_over && retry_at.is_none_or(|at| at <= now) && !refused.contains_key(&id);
            let is_due = lost.is_due() && may_try;
            let is_admitted = is_due && takeovers.len() < MAX_TAKEOVERS;
            let retry_at = match is_admitted {
                true => Some(now + retry_delay_ms(lost.rank)),
                false => retry_at,
            };
            lost_seen.insert(id.clone(), (lost.owner, retry_at));
            if is_admitted {
                takeovers.spawn(take_over(Arc::clone(&jobs), id, cached));
            }
        }
        let work = jobs.relay.metrics.work();
        work.owners_checked(open_count, started.elapsed());
        let check = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS));
        tokio::select! {
            _ = changes.changed() => {}
            Some(takeover) = takeovers.join_next() => {
                if let Ok(Takeover { id, version, change: OwnerChange::Refused }) = takeover {
                    refused.insert(id, version);
                }
            }
            () = check => {}
            () = jobs.hand_over.cancelled() => break,
        }
    }
    hand_over(&jobs, running, takeovers).await;
}

/// The owners of open jobs that are down, except this instance.
fn succession<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    now: MonoMs,
    open: &HashMap<JobId, CachedJob>,
) -> Succession {
    let owners = open.values().map(|cached| &cached.job.owner);
    let others = match jobs.relay.peers.is_table_read() {
        true => owners.filter(|owner| *owner != jobs.me()).collect(),
        false => HashSet::new(),
    };
    Succession::new(&mut jobs.relay.peers.members(), now, others)
}

/// Candidates that come later try less often.
fn retry_delay_ms(rank: usize) -> u64 {
    RETRY_DELAY_MS + turn_ms(rank) + rand::random_range(0..RETRY_DELAY_MS)
}

fn log_lost(id: &JobId, lost: &LostOwner) {
    log::info!(
        job = id.as_str(), owner = lost.owner.as_str(), down_ms = lost.down_ms,
        rank = lost.rank, candidates = lost.candidates,
        takeover_after_ms = lost.takeover_after_ms;
        "owner of the job is down"
    );
}

async fn take_over<S: RowStore + ObjectStore, D: Dialect>(
    jobs: Arc<Jobs<S, D>>,
    id: JobId,
    cached: CachedJob,
) -> Takeover {
    let next = Job {
        owner: jobs.me().clone(),
        lost_owners: cached.job.lost_owners.saturating_add(1),
        ..Job::clone(&cached.job)
    };
    let change = change_owner(&jobs, &id, &cached, next).await;
    let version = cached.version;
    Takeover {
        id,
        version,
        change,
    }
}

/// A takeover that was tried.
struct Takeover {
    id: JobId,
    /// Version of the job's row that it was to replace.
    version: u64,
    change: OwnerChange,
}

/// Whether the owner of a job can be changed.
enum OwnerChange {
    /// It was changed, or may be at another version of the row or another time.
    Tried,
    /// The store refuses this change.
    Refused,
}

/// A job that runs here and the token that stops it.
struct RunningJob {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// A job whose last runs ended while it was open.
struct EndedRuns {
    count: u32,
    restart_at: MonoMs,
}

#[derive(Default)]
struct RunningJobs {
    tasks: HashMap<JobId, RunningJob>,
    ended: HashMap<JobId, EndedRuns>,
}

impl RunningJobs {
    /// Stops the jobs that are not open here any more, and starts those that no task runs.
    fn reconcile<S: RowStore + ObjectStore, D: Dialect>(
        &mut self,
        jobs: &Arc<Jobs<S, D>>,
        open: &HashMap<JobId, CachedJob>,
    ) {
        let now = jobs.relay.clock.mono();
        let is_mine = |id: &JobId| {
            let cached = open.get(id);
            cached.is_some_and(|cached| cached.job.owner == *jobs.me())
        };
        self.ended.retain(|id, _| is_mine(id));
        let ended = &mut self.ended;
        self.tasks.retain(|id, running| {
            if !is_mine(id) {
                running.stop.cancel();
                return false;
            }
            if !running.task.is_finished() {
                return true;
            }
            // The run may have ended the job since `open` was read.
            if jobs
                .cache
                .get(id)
                .is_none_or(|cached| !jobs.cache.is_open(id, &cached.job))
            {
                return false;
            }
            let count = ended.get(id).map_or(1, |runs| runs.count.saturating_add(1));
            let (first_ms, max_ms) = RESTART_DELAY_MS;
            let delay_ms = (first_ms << (count - 1).min(8)).min(max_ms);
            log::warn!(
                job = id.as_str(), runs = count, restart_in_ms = delay_ms;
                "run of the job ended while it is open, starting it again"
            );
            let restart_at = now + delay_ms;
            ended.insert(id.clone(), EndedRuns { count, restart_at });
            false
        });
        for id in open.keys().filter(|id| is_mine(id)) {
            let is_waiting = self.ended.get(id).is_some_and(|runs| runs.restart_at > now);
            if is_waiting || self.tasks.contains_key(id) {
                continue;
            }
            let stop = CancellationToken::new();
            let task = tokio::spawn(run_job(Arc::clone(jobs), id.clone(), stop.clone()));
            self.tasks.insert(id.clone(), RunningJob { stop, task });
        }
    }
}

/// Writes the new owner in `next` to the row of a job.
async fn change_owner<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    cached: &CachedJob,
    next: Job,
) -> OwnerChange {
    match jobs.store.update(id, &next, cached.version, 0, &[]).await {
        Ok(Committed::At(version)) => {
            log::info!(
                job = id.as_str(), from = cached.job.owner.as_str(), to = next.owner.as_str(),
                lost_owners = next.lost_owners, version = version; "owner of the job changed"
            );
            jobs.cache.put(id, next, version);
        }
        Ok(Committed::Conflict(rows)) => jobs.cache.apply_conflict(id, cached.version, &rows),
        Ok(Committed::Refused(detail)) => {
            jobs.relay.metrics.row_refused(JOB_ROWS);
            log::error!(job = id.as_str(); "change of the owner refused: {detail}");
            return OwnerChange::Refused;
        }
        Err(error @ JobError::Unknown(_)) => {
            log::warn!(job = id.as_str(); "unknown whether the owner of the job changed: {error}");
        }
        Err(error) => log::warn!(job = id.as_str(); "owner of the job not changed: {error}"),
    }
    OwnerChange::Tried
}

/// Moves the jobs of this instance to others, with checkpoints of their items, until the process ends:
/// those that are open, and those that it is made the owner of meanwhile, by an acceptance or by a
/// takeover under way.
async fn hand_over<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Arc<Jobs<S, D>>,
    mut running: RunningJobs,
    mut takeovers: JoinSet<Takeover>,
) {
    let mut moving = HashSet::new();
    let mut transfers = JoinSet::new();
    let mut changes = jobs.cache.changes();
    loop {
        for (id, cached) in jobs.cache.open() {
            if cached.job.owner != *jobs.me() || !moving.insert(id.clone()) {
                continue;
            }
            let jobs = Arc::clone(jobs);
            let job = running.tasks.remove(&id);
            transfers.spawn(async move {
                transfer(&jobs, &id, job).await;
                id
            });
        }
        // What is left has ended or belongs to others.
        for (_, job) in running.tasks.drain() {
            job.stop.cancel();
        }
        tokio::select! {
            _ = changes.changed() => {}
            Some(_) = takeovers.join_next() => {}
            Some(moved) = transfers.join_next() => {
                if let Ok(id) = moved {
                    moving.remove(&id);
                }
            }
        }
    }
}

/// Waits until this instance owns no open job that another one could run.
pub async fn wait_handed_over<S: RowStore + ObjectStore, D: Dialect>(jobs: &Jobs<S, D>) {
    let mut changes = jobs.cache.changes();
    loop {
        let open = jobs.cache.open();
        let mut own = open
            .iter()
            .filter(|(_, cached)| cached.job.owner == *jobs.me());
        if own.all(|(id, _)| next_owner(jobs, id).is_none()) {
            return;
        }
        let check = Duration::from_millis(CHECK_INTERVAL_MS);
        if let Ok(Err(_)) = tokio::time::timeout(check, changes.changed()).await {
            return;
        }
    }
}

/// Moves a job to another instance, and tries again until it has another owner or has ended.
async fn transfer<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    running: Option<RunningJob>,
) {
    if let Some(RunningJob { stop, task }) = running {
        stop.cancel();
        if let Err(error) = task.await {
            log::error!(job = id.as_str(); "task of the job failed: {error}");
        }
    }
    let mut retry_delay = RetryDelay::new(TRANSFER_DELAY_MS.0, TRANSFER_DELAY_MS.1);
    let mut was_alone = false;
    loop {
        let cached = jobs.cache.get(id);
        let is_mine = |cached: &CachedJob| {
            jobs.cache.is_open(id, &cached.job) && cached.job.owner == *jobs.me()
        };
        let Some(cached) = cached.filter(is_mine) else {
            return;
        };
        match next_owner(jobs, id) {
            Some(owner) => {
                let next = Job {
                    owner,
                    ..Job::clone(&cached.job)
                };
                if let OwnerChange::Refused = change_owner(jobs, id, &cached, next).await {
                    log::error!(job = id.as_str(); "job not handed over");
                    return std::future::pending().await;
                }
            }
            None if was_alone => {}
            None => {
                log::info!(job = id.as_str(); "no other instance to hand the job over to");
                was_alone = true;
            }
        }
        tokio::time::sleep(retry_delay.next_delay()).await;
    }
}

/// The instance that is to run a job instead of this one, which is about to end; `None` if it knows no
/// other.
pub(super) fn next_owner<S: RowStore + ObjectStore, D: Dialect>(
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
