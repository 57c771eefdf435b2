//! Steers batch at the engines whose steward this instance is, and gives the items of jobs owned
//! here their places. The decisions are those of [`foxtailhold::batch_control`].

use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::batch_control::controller::BatchController;
use foxtailhold::batch_control::scheduler::{
    BatchScheduler, ItemKey, SchedulerAction, SchedulerReplica,
};
use foxtailhold::batch_control::{BatchSlotGrant, BatchSlotRequest};
use foxtailhold::ids::{BackendId, InstanceId};
use foxtailhold::membership::Member;
use foxtailhold::rendezvous;
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::mpsc::UnboundedSender;

use crate::actors::{log_undelivered, tick};
use crate::backends::{BackendState, BackendTable};
use crate::batch_controllers::{BatchControllerEntry, BatchControllers};
use crate::messages::{BatchControllerMessage, SlotSignal};
use crate::online_load;
use crate::shared::Shared;

/// Marks, grants and questions are looked at this often.
pub const TICK_MS: u64 = 20;
/// The load report of an engine with batch is read this often by its steward.
pub const POLL_MS: u64 = 100;
/// Limit for a question to a steward and for telling an owner.
const ASK_TIMEOUT_MS: u64 = 500;
/// Attempts to tell an owner of a grant; after that its next question does.
const PUSH_TRIES: u32 = 3;

/// The actor.
#[derive(Debug)]
pub struct BatchControllerActor<P>(pub Shared<P>);

#[derive(Debug)]
struct Stewarded {
    machine: BatchController,
    polled_at: MonoMs,
}

/// Its state.
#[derive(Debug)]
pub struct StewardState {
    term: u64,
    desk: BatchScheduler,
    signals: HashMap<ItemKey, UnboundedSender<SlotSignal>>,
    replicas: HashMap<BackendId, Stewarded>,
    members: Option<Arc<Vec<Member>>>,
    backends: Option<Arc<BackendTable>>,
}

impl<P: Platform> Actor for BatchControllerActor<P> {
    type Msg = BatchControllerMessage;
    type State = StewardState;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> Result<StewardState, ActorProcessingErr> {
        tick(&myself, || BatchControllerMessage::Tick, TICK_MS);
        Ok(StewardState {
            term: self.0.clock.wall().0,
            desk: BatchScheduler::new(self.0.settings.instance.clone()),
            signals: HashMap::new(),
            replicas: HashMap::new(),
            members: None,
            backends: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut StewardState,
    ) -> Result<(), ActorProcessingErr> {
        let now = self.0.clock.mono();
        match message {
            BatchControllerMessage::Tick => self.tick(&myself, state, now),
            BatchControllerMessage::SlotsRequested(ask, reply) => {
                let grant = self.asked(&myself, state, ask, now);
                let _ = reply.send(grant);
            }
            BatchControllerMessage::SlotsGranted(grant, reply) => {
                let _ = reply.send(self.granted(state, &grant, now));
            }
            BatchControllerMessage::SlotsInUse(ask) => {
                if let Some(stewarded) = state.replicas.get_mut(&ask.backend) {
                    stewarded.machine.told(ask, now);
                }
            }
            BatchControllerMessage::RequestAnswered(grant, asked_at) => {
                let actions = state.desk.answered(&grant, asked_at, now);
                self.perform(state, actions);
            }
            BatchControllerMessage::OnlineWork(notice, reply) => {
                let stewarded = state.replicas.get_mut(&notice.backend);
                let _ = reply.send(stewarded.is_some());
                if let Some(stewarded) = stewarded {
                    let grants = stewarded.machine.noticed(&notice, now);
                    self.push(&myself, state, grants, now);
                }
            }
            BatchControllerMessage::LoadReported(backend, report) => {
                if let Some(stewarded) = state.replicas.get_mut(&backend) {
                    let grants = stewarded.machine.reported(&report, now);
                    self.push(&myself, state, grants, now);
                }
            }
            BatchControllerMessage::ItemWaiting(item, waiting, signals) => {
                state.signals.insert(item, signals);
                let actions = state.desk.wait(item, waiting, now);
                self.perform(state, actions);
                self.ask(&myself, state, now);
            }
            BatchControllerMessage::ItemLeft(item) => {
                state.signals.remove(&item);
                let actions = state.desk.leave(item, now);
                self.perform(state, actions);
            }
        }
        Ok(())
    }
}

impl<P: Platform> BatchControllerActor<P> {
    fn tick(
        &self,
        myself: &ActorRef<BatchControllerMessage>,
        state: &mut StewardState,
        now: MonoMs,
    ) {
        self.refresh(state, now);
        online_load::notify_changes(&self.0);
        let actions = state.desk.act(now);
        self.perform(state, actions);
        self.ask(myself, state, now);
        let backends: Vec<BackendId> = state.replicas.keys().cloned().collect();
        for backend in backends {
            let Some(stewarded) = state.replicas.get_mut(&backend) else {
                continue;
            };
            let grants = stewarded.machine.tick(now);
            if stewarded.machine.is_idle() {
                state.replicas.remove(&backend);
                continue;
            }
            if now.since_ms(stewarded.polled_at) >= POLL_MS {
                stewarded.polled_at = now;
                self.poll(myself, &backend);
            }
            self.push(myself, state, grants, now);
        }
        self.0
            .metrics
            .batch_in_flight
            .set(state.desk.running() as i64);
    }

    /// Names the stewards anew where members or engines have changed.
    fn refresh(&self, state: &mut StewardState, now: MonoMs) {
        let members = self.0.members.load_full();
        let backends = self.0.backends.load_full();
        let same_members = state
            .members
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &members));
        let same_backends = state
            .backends
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &backends));
        if same_members && same_backends {
            return;
        }
        let before = self.0.batch_controllers.load();
        let live = self.0.live_members();
        let mut stewards = BatchControllers::default();
        let mut replicas = Vec::new();
        for server in &backends.servers {
            if server.backend.kind != BackendKind::Engine {
                continue;
            }
            let backend = &server.backend.id;
            let steward = steward_of(&live, backend);
            replicas.push(SchedulerReplica {
                backend: backend.clone(),
                targets: server.backend.targets.clone(),
                controller: steward.map(|member| member.id.clone()),
            });
            let Some(steward) = steward else {
                continue;
            };
            let gauge = before.0.get(backend).map(|entry| entry.gauge.clone());
            let entry = BatchControllerEntry {
                batch_controller: steward.id.clone(),
                address: steward.peer_address,
                gauge: gauge.unwrap_or_default(),
            };
            stewards.0.insert(backend.clone(), entry);
        }
        self.0.batch_controllers.store(Arc::new(stewards));
        state.members = Some(members);
        state.backends = Some(backends);
        let actions = state.desk.set_replicas(replicas, now);
        self.perform(state, actions);
    }

    fn server(&self, backend: &BackendId) -> Option<Arc<BackendState>> {
        let backends = self.0.backends.load();
        let mut servers = backends.servers.iter();
        servers
            .find(|server| server.backend.id == *backend)
            .cloned()
    }

    fn poll(&self, myself: &ActorRef<BatchControllerMessage>, backend: &BackendId) {
        let Some(server) = self.server(backend) else {
            return;
        };
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            let Ok(mut report) = shared.engines.load(server.backend.address).await else {
                return;
            };
            if report.leaving || server.state() == FleetState::Leaving {
                report.slots = 0;
            }
            let message = BatchControllerMessage::LoadReported(server.backend.id.clone(), report);
            log_undelivered(myself.send_message(message));
        });
    }

    fn asked(
        &self,
        myself: &ActorRef<BatchControllerMessage>,
        state: &mut StewardState,
        ask: BatchSlotRequest,
        now: MonoMs,
    ) -> BatchSlotGrant {
        let backend = ask.backend.clone();
        let (me, term) = (self.0.settings.instance.clone(), state.term);
        let share = self.0.settings.batch_share_percent;
        let entry = state.replicas.entry(backend.clone());
        let stewarded = entry.or_insert_with(|| {
            self.poll(myself, &backend);
            Stewarded {
                machine: BatchController::new(me, backend, term, share),
                polled_at: now,
            }
        });
        let (grant, others) = stewarded.machine.asked(ask, now);
        self.push(myself, state, others, now);
        grant
    }

    fn granted(
        &self,
        state: &mut StewardState,
        grant: &BatchSlotGrant,
        now: MonoMs,
    ) -> BatchSlotRequest {
        let actions = state.desk.pushed(grant, now);
        self.perform(state, actions);
        state.desk.ask(&grant.backend, self.0.clock.wall())
    }

    /// Tells owners of their grants; the one of this instance at once.
    fn push(
        &self,
        myself: &ActorRef<BatchControllerMessage>,
        state: &mut StewardState,
        grants: Vec<(InstanceId, BatchSlotGrant)>,
        now: MonoMs,
    ) {
        for (owner, grant) in grants {
            if owner == self.0.settings.instance {
                let ask = self.granted(state, &grant, now);
                if let Some(stewarded) = state.replicas.get_mut(&grant.backend) {
                    stewarded.machine.told(ask, now);
                }
                continue;
            }
            let Some(member) = self.0.member(&owner) else {
                continue;
            };
            let (shared, myself) = (self.0.clone(), myself.clone());
            tokio::spawn(async move {
                let request = PeerRequest::SlotsGranted(grant);
                for _ in 0..PUSH_TRIES {
                    let address = member.peer_address;
                    let answer = shared.peers.ask(address, &request, ASK_TIMEOUT_MS).await;
                    if let Ok(PeerAnswer::SlotsInUse(ask)) = answer {
                        let message = BatchControllerMessage::SlotsInUse(ask);
                        log_undelivered(myself.send_message(message));
                        return;
                    }
                }
                log::debug!("{} was not told of its places", member.id);
            });
        }
    }

    /// Sends the questions that are due.
    fn ask(
        &self,
        myself: &ActorRef<BatchControllerMessage>,
        state: &mut StewardState,
        now: MonoMs,
    ) {
        for (steward, ask) in state.desk.asks(now, self.0.clock.wall()) {
            if steward == self.0.settings.instance {
                let grant = self.asked(myself, state, ask, now);
                let actions = state.desk.answered(&grant, now, now);
                self.perform(state, actions);
                let ask = state.desk.ask(&grant.backend, self.0.clock.wall());
                if let Some(stewarded) = state.replicas.get_mut(&grant.backend) {
                    stewarded.machine.told(ask, now);
                }
                continue;
            }
            let Some(member) = self.0.member(&steward) else {
                continue;
            };
            let (shared, myself) = (self.0.clone(), myself.clone());
            tokio::spawn(async move {
                let request = PeerRequest::SlotsRequested(ask);
                let address = member.peer_address;
                match shared.peers.ask(address, &request, ASK_TIMEOUT_MS).await {
                    Ok(PeerAnswer::SlotGrant(grant)) => {
                        let message = BatchControllerMessage::RequestAnswered(grant, now);
                        log_undelivered(myself.send_message(message));
                    }
                    Ok(_) => log::debug!("steward {steward} gave no places"),
                    Err(error) => log::debug!("steward {steward} gave no answer: {error}"),
                }
            });
        }
    }

    fn perform(&self, state: &mut StewardState, actions: Vec<SchedulerAction>) {
        let mut cuts: HashMap<BackendId, u32> = HashMap::new();
        for action in actions {
            let (item, signal) = match action {
                SchedulerAction::Start { item, backend } => (item, SlotSignal::Start(backend)),
                SchedulerAction::Preempt { item, backend } => {
                    *cuts.entry(backend).or_default() += 1;
                    (item, SlotSignal::Preempt)
                }
            };
            if let Some(signals) = state.signals.get(&item) {
                let _ = signals.send(signal);
            }
        }
        for (backend, items) in cuts {
            self.0.metrics.batch_yields.inc_by(u64::from(items));
            self.0
                .timeline
                .note(TimelineEvent::BatchPreempted { backend, items });
        }
    }
}

/// The steward of an engine among the live members.
fn steward_of<'a>(live: &'a [Member], backend: &BackendId) -> Option<&'a Member> {
    let key = format!("steward/{backend}");
    let home = rendezvous::select(live.iter().map(|member| &member.id), key.as_bytes())?;
    live.iter().find(|member| member.id == *home)
}
