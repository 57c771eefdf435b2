//! Finds the batch jobs that this instance should own, claims them and runs them.

use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::batch::claim::{OwnedJob, WatchedLeases};
use foxtailhold::batch::registry::{JobRegistry, StopAction};
use foxtailhold::batch::start_leases::StartLeases;
use foxtailhold::batch::{JobStatus, OpenJobRow};
use foxtailhold::ids::JobId;
use foxtailhold::membership::MemberState;
use foxtailhold::rendezvous;
use foxtailhold_platform::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio_util::sync::CancellationToken;

use crate::actors::{log_undelivered, tick};
use crate::jobs::owner::{self, scan_all};
use crate::jobs::runner::{self, JobRunOutcome};
use crate::jobs::sweep;
use crate::messages::{JobScan, JobsMessage, OpenJobs};
use crate::shared::Shared;
use crate::tables;

/// Period at which an instance scans the open jobs. Where there are more than
/// `MAX_FLEET_SCANS_PER_S` instances, each skips a random part of its scans.
pub const SCAN_PERIOD_MS: u64 = 1_000;
/// Most periodic scans per second of all instances together, on average.
const MAX_FLEET_SCANS_PER_S: f64 = 40.0;
/// Longest period between two sweeps for orphaned result objects.
const MAX_SWEEP_PERIOD_MS: u64 = 60_000;

/// The actor that owns the executions of batch jobs on this instance.
#[derive(Debug)]
pub struct JobsActor<P>(pub Shared<P>);

/// Which jobs run here, and who waits for them to stop.
#[derive(Debug, Default)]
pub struct JobsState {
    registry: JobRegistry,
    executions: HashMap<JobId, CancellationToken>,
    /// Requests to stop a job that wait for its execution to end.
    stop_replies: HashMap<JobId, Vec<RpcReplyPort<()>>>,
    /// Leases of other owners, observed to see when they expire.
    watched: WatchedLeases,
    start_leases: StartLeases,
    /// Whether the open jobs are being read beside the scans.
    is_reading: bool,
    /// Requests to stop all jobs that wait for the last execution to end.
    stop_all_replies: Vec<RpcReplyPort<()>>,
}

impl<P: Platform> Actor for JobsActor<P> {
    type Msg = JobsMessage;
    type State = JobsState;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> Result<JobsState, ActorProcessingErr> {
        tick(&myself, || JobsMessage::Tick, SCAN_PERIOD_MS);
        let sweep_ms = (self.0.settings.sweep_after_ms / 2).clamp(100, MAX_SWEEP_PERIOD_MS);
        tick(&myself, || JobsMessage::Sweep, sweep_ms);
        Ok(JobsState::default())
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut JobsState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            JobsMessage::Tick => {
                if self.draws_scan() {
                    self.start_scan(&myself, state);
                }
                self.read_if_due(&myself, state);
            }
            JobsMessage::Scan => self.start_scan(&myself, state),
            JobsMessage::OpenJobs(open) => self.confirm(state, &open),
            JobsMessage::ReadEnded => state.is_reading = false,
            JobsMessage::Sweep => self.sweep(),
            JobsMessage::Scanned(scan) => self.scan_ended(&myself, state, scan),
            JobsMessage::Ended(job) => {
                state.executions.remove(&job);
                state.registry.ended(&job);
                state.start_leases.remove(&job);
                self.publish(state);
                answer_all(state.stop_replies.remove(&job).unwrap_or_default());
            }
            JobsMessage::Stop(job, reply) => state.stop(&job, reply),
            JobsMessage::StopAll(reply) => {
                state.registry.close();
                for stop in state.executions.values() {
                    stop.cancel();
                }
                state.stop_all_replies.push(reply);
            }
        }
        if state.registry.is_idle() {
            answer_all(std::mem::take(&mut state.stop_all_replies));
        }
        Ok(())
    }
}

impl JobsState {
    fn stop(&mut self, job: &JobId, reply: RpcReplyPort<()>) {
        let step = self.registry.stop(job);
        if step == StopAction::Stopped {
            answer_all(vec![reply]);
            return;
        }
        if let Some(stop) = self.executions.get(job) {
            stop.cancel();
        }
        self.stop_replies
            .entry(job.clone())
            .or_default()
            .push(reply);
    }

    /// Answers the requests to stop a job that a scan may have been about to start and that does
    /// not run here after all.
    fn answer_settled_stops(&mut self) {
        let executions = &self.executions;
        let settled = self
            .stop_replies
            .extract_if(|job, _| !executions.contains_key(job));
        for (_, replies) in settled {
            answer_all(replies);
        }
    }
}

fn answer_all(replies: Vec<RpcReplyPort<()>>) {
    for reply in replies {
        let _ = reply.send(());
    }
}

impl<P: Platform> JobsActor<P> {
    /// Draws whether this instance scans this time, so that all instances together make at most
    /// [`MAX_FLEET_SCANS_PER_S`] scans a second on average.
    fn draws_scan(&self) -> bool {
        let instances = self.0.live_members().len() as f64;
        rand::random::<f64>() * instances < MAX_FLEET_SCANS_PER_S
    }

    /// Starts a scan of the open jobs in the background, unless one is running.
    fn start_scan(&self, myself: &ActorRef<JobsMessage>, state: &mut JobsState) {
        if self.0.is_stopping() || self.0.lease_epoch().is_none() {
            return;
        }
        let Some(running) = state.registry.begin_scan() else {
            return;
        };
        let watched = std::mem::take(&mut state.watched);
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            let scan = scan_open_jobs(&shared, &myself, &running, watched).await;
            log_undelivered(myself.send_message(JobsMessage::Scanned(scan)));
        });
    }

    /// Starts a sweep in the background. Two sweeps at once are harmless: deletion is idempotent.
    fn sweep(&self) {
        if self.0.is_stopping() {
            return;
        }
        let shared = self.0.clone();
        tokio::spawn(async move {
            if let Err(error) = sweep::run(&shared).await {
                log::warn!(
                    "sweep of orphaned result objects failed, retrying at the next period: {error}"
                );
            }
        });
    }

    fn scan_ended(&self, myself: &ActorRef<JobsMessage>, state: &mut JobsState, scan: JobScan) {
        state.watched = scan.watched;
        let (claimed, sent_at): (Vec<_>, Vec<_>) = scan.claimed.into_iter().unzip();
        let started = state.registry.end_scan(&claimed);
        for (owned, sent_at) in claimed.into_iter().zip(sent_at) {
            let job = &owned.row.job;
            if started.contains(job) {
                if owned.row.status == JobStatus::InProgress {
                    state.start_leases.insert(job, sent_at);
                }
                self.start(myself, state, owned);
                continue;
            }
            let shared = self.0.clone();
            tokio::spawn(async move { owner::release(&shared, &owned).await });
        }
        self.publish(state);
        self.read_if_due(myself, state);
        state.answer_settled_stops();
    }

    fn publish(&self, state: &JobsState) {
        let start_leases = Arc::new(state.start_leases.clone());
        self.0.start_leases.store(start_leases);
    }

    /// Reads the open jobs in the background if what is known of the jobs that run here gets old:
    /// scans are rare where there are many instances, and one may be slow.
    fn read_if_due(&self, myself: &ActorRef<JobsMessage>, state: &mut JobsState) {
        if state.is_reading || !state.start_leases.needs_read(self.0.clock.mono()) {
            return;
        }
        state.is_reading = true;
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            if let Some(open) = read_open_jobs(&shared).await {
                log_undelivered(myself.send_message(JobsMessage::OpenJobs(open)));
            }
            log_undelivered(myself.send_message(JobsMessage::ReadEnded));
        });
    }

    /// Confirms the jobs that a read found in progress and stops those that it found cancelled.
    fn confirm(&self, state: &mut JobsState, open: &OpenJobs) {
        for (_, row) in &open.rows {
            if !row.cancelling {
                state.start_leases.confirm(&row.job, open.sent_at);
                continue;
            }
            if let Some(stop) = state.executions.get(&row.job)
                && state.registry.must_stop(&row.job)
            {
                stop.cancel();
            }
        }
        self.publish(state);
    }

    fn start(&self, myself: &ActorRef<JobsMessage>, state: &mut JobsState, owned: OwnedJob) {
        let stop = CancellationToken::new();
        let job = owned.row.job.clone();
        state.executions.insert(job.clone(), stop.clone());
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            let end = runner::run(&shared, owned.clone(), &stop).await;
            log::info!("execution of job {job} ended: {end:?}");
            if end == JobRunOutcome::Stopped && shared.is_stopping() {
                owner::release(&shared, &owned).await;
            }
            log_undelivered(myself.send_message(JobsMessage::Ended(job)));
        });
    }
}

async fn read_open_jobs<P: Platform>(shared: &Shared<P>) -> Option<OpenJobs> {
    let sent_at = shared.clock.mono();
    let read = scan_all(&shared.platform, tables::JOB_OPEN, "").await;
    let open = read.inspect_err(|error| {
        log::warn!("open jobs could not be read, retrying at the next scan: {error}");
    });
    let mut rows = Vec::new();
    for keyed in open.ok()? {
        let row = keyed.row.read::<OpenJobRow>();
        rows.extend(row.map(|row| (keyed.key, row)));
    }
    Some(OpenJobs { sent_at, rows })
}

async fn scan_open_jobs<P: Platform>(
    shared: &Shared<P>,
    myself: &ActorRef<JobsMessage>,
    running: &[JobId],
    watched: WatchedLeases,
) -> JobScan {
    let mut scan = JobScan {
        watched,
        ..JobScan::default()
    };
    let Some(open) = read_open_jobs(shared).await else {
        return scan;
    };
    log_undelivered(myself.send_message(JobsMessage::OpenJobs(open.clone())));
    for (key, open) in open.rows {
        if running.contains(&open.job) {
            continue;
        }
        if !may_claim(shared, &open.job) {
            continue;
        }
        match owner::claim(shared, &key, &open.job, &mut scan.watched).await {
            Ok(Some(owned)) => scan.claimed.push(owned),
            Ok(None) => {}
            Err(error) => log::warn!(
                "job {} could not be claimed, retrying at the next scan: {error}",
                open.job
            ),
        }
    }
    scan
}

/// Whether rendezvous hashing assigns the job to this instance, among all members or among those
/// not suspected: it then starts to watch the owner's lease before the suspicion is confirmed.
/// Several instances may try at once; the transaction of the claim lets one of them win.
fn may_claim<P: Platform>(shared: &Shared<P>, job: &JobId) -> bool {
    let members = shared.members.load();
    let mut alive = Vec::new();
    for member in members.iter() {
        if member.state == MemberState::Alive {
            alive.push(&member.id);
        }
    }
    let key = job.as_str().as_bytes();
    rendezvous::select(alive, key) == Some(&shared.settings.instance)
        || shared.is_coordinator_for(key)
}
