//! Finds the jobs this instance should own and runs them.

use std::collections::HashMap;

use foxtailhold::batch::OpenJobRow;
use foxtailhold::batch::claim::{OwnedJob, WatchedLeases};
use foxtailhold::batch::registry::{JobRegistry, StopAction};
use foxtailhold::ids::JobId;
use foxtailhold::membership::MemberState;
use foxtailhold::rendezvous;
use foxtailhold_platform::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio_util::sync::CancellationToken;

use crate::actors::{log_undelivered, tick};
use crate::jobs::owner::{self, scan_all};
use crate::jobs::runner::{self, RunStop};
use crate::jobs::sweep;
use crate::messages::{JobScan, JobsMessage};
use crate::shared::Shared;
use crate::tables;

/// Open jobs are looked through this often, unless there are more than [`FLEET_LOOKS_PER_S`]
/// instances.
pub const SCAN_PERIOD_MS: u64 = 1_000;
/// Periodic looks of all instances together at most, on average.
const FLEET_LOOKS_PER_S: f64 = 40.0;
/// Orphaned result objects are looked for at least this often.
const MAX_SWEEP_PERIOD_MS: u64 = 60_000;

/// The actor.
#[derive(Debug)]
pub struct JobsActor<P>(pub Shared<P>);

/// Its state.
#[derive(Debug, Default)]
pub struct JobsState {
    registry: JobRegistry,
    runs: HashMap<JobId, CancellationToken>,
    waiting: HashMap<JobId, Vec<RpcReplyPort<()>>>,
    watched: WatchedLeases,
    stopping: Vec<RpcReplyPort<()>>,
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
            JobsMessage::Tick if !self.is_drawn() => {}
            JobsMessage::Tick | JobsMessage::Scan => self.look(&myself, state),
            JobsMessage::Sweep => self.sweep(),
            JobsMessage::Scanned(look) => self.looked(&myself, state, look),
            JobsMessage::Ended(job) => {
                state.runs.remove(&job);
                state.registry.ended(&job);
                answer_all(state.waiting.remove(&job).unwrap_or_default());
            }
            JobsMessage::Stop(job, reply) => state.stop(&job, reply),
            JobsMessage::StopAll(reply) => {
                state.registry.close();
                for stop in state.runs.values() {
                    stop.cancel();
                }
                state.stopping.push(reply);
            }
        }
        if state.registry.is_idle() {
            answer_all(std::mem::take(&mut state.stopping));
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
        if let Some(stop) = self.runs.get(job) {
            stop.cancel();
        }
        self.waiting.entry(job.clone()).or_default().push(reply);
    }

    /// Answers the stops that waited for a look.
    fn settle(&mut self) {
        let runs = &self.runs;
        let settled = self.waiting.extract_if(|job, _| !runs.contains_key(job));
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
    /// Whether this instance is among those that look this time.
    fn is_drawn(&self) -> bool {
        let instances = self.0.live_members().len() as f64;
        rand::random::<f64>() * instances < FLEET_LOOKS_PER_S
    }

    /// Looks through open jobs in the background, one look at a time.
    fn look(&self, myself: &ActorRef<JobsMessage>, state: &mut JobsState) {
        if self.0.is_stopping() || self.0.lease_epoch().is_none() {
            return;
        }
        let Some(running) = state.registry.begin_scan() else {
            return;
        };
        let watched = std::mem::take(&mut state.watched);
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            let look = look_through(&shared, &running, watched).await;
            log_undelivered(myself.send_message(JobsMessage::Scanned(look)));
        });
    }

    /// Sweeps in the background. A sweep beside another one only deletes what is gone already.
    fn sweep(&self) {
        if self.0.is_stopping() {
            return;
        }
        let shared = self.0.clone();
        tokio::spawn(async move {
            if let Err(error) = sweep::run(&shared).await {
                log::warn!("orphaned objects could not be deleted: {error}");
            }
        });
    }

    fn looked(&self, myself: &ActorRef<JobsMessage>, state: &mut JobsState, look: JobScan) {
        state.watched = look.watched;
        let started = state.registry.end_scan(&look.claimed);
        for owned in look.claimed {
            if started.contains(&owned.row.job) {
                self.start(myself, state, owned);
                continue;
            }
            let shared = self.0.clone();
            tokio::spawn(async move { owner::release(&shared, &owned).await });
        }
        for job in look.cancelling {
            if let Some(stop) = state.runs.get(&job)
                && state.registry.must_stop(&job)
            {
                stop.cancel();
            }
        }
        state.settle();
    }

    fn start(&self, myself: &ActorRef<JobsMessage>, state: &mut JobsState, owned: OwnedJob) {
        let stop = CancellationToken::new();
        let job = owned.row.job.clone();
        state.runs.insert(job.clone(), stop.clone());
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            let end = runner::run(&shared, owned.clone(), &stop).await;
            log::info!("the run of job {job} ended: {end:?}");
            if end == RunStop::Stopped && shared.is_stopping() {
                owner::release(&shared, &owned).await;
            }
            log_undelivered(myself.send_message(JobsMessage::Ended(job)));
        });
    }
}

async fn look_through<P: Platform>(
    shared: &Shared<P>,
    running: &[JobId],
    watched: WatchedLeases,
) -> JobScan {
    let mut look = JobScan {
        watched,
        ..JobScan::default()
    };
    let open = match scan_all(&shared.platform, tables::JOB_OPEN, "").await {
        Ok(open) => open,
        Err(error) => {
            log::warn!("open jobs could not be read: {error}");
            return look;
        }
    };
    for keyed in open {
        let Ok(open) = keyed.row.read::<OpenJobRow>() else {
            continue;
        };
        if running.contains(&open.job) {
            if open.cancelling {
                look.cancelling.push(open.job);
            }
            continue;
        }
        if !may_claim(shared, &open.job) {
            continue;
        }
        match owner::claim(shared, &keyed.key, &open.job, &mut look.watched).await {
            Ok(Some(owned)) => look.claimed.push(owned),
            Ok(None) => {}
            Err(error) => log::warn!("job {} could not be taken: {error}", open.job),
        }
    }
    look
}

/// Whether this instance is the job's home, or would be without the members under suspicion: it
/// then starts to watch the owner's lease before the suspicion is confirmed. Several instances may
/// say so at once; the claim's transaction lets one win.
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
