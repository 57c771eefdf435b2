//! Controls the batch work at the engines whose batch controller is this instance, and schedules
//! the items of jobs owned here to slots. The state machines of the core crate make the decisions;
//! this actor carries the messages.

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

/// Period at which congestion windows, slot grants and due slot requests are checked.
pub const TICK_MS: u64 = 20;
/// Period at which a batch controller reads the load report of an engine that has batch work.
pub const POLL_MS: u64 = 100;
/// Maximum wait for the answer to a slot request, and for an owner to confirm a grant.
const SLOT_REQUEST_TIMEOUT_MS: u64 = 500;
/// Attempts to push a grant to an owner. After that the owner learns of it by its next slot
/// request.
const PUSH_ATTEMPTS: u32 = 3;

/// The actor that controls batch work at engines and schedules the items of jobs owned here.
#[derive(Debug)]
pub struct BatchControllerActor<P>(pub Shared<P>);

#[derive(Debug)]
struct ControlledEngine {
    controller: BatchController,
    polled_at: MonoMs,
}

/// State of the batch controller actor, rebuilt after a restart.
#[derive(Debug)]
pub struct BatchControllerState {
    term: u64,
    scheduler: BatchScheduler,
    signals: HashMap<ItemKey, UnboundedSender<SlotSignal>>,
    controlled: HashMap<BackendId, ControlledEngine>,
    members: Option<Arc<Vec<Member>>>,
    backends: Option<Arc<BackendTable>>,
}

impl<P: Platform> Actor for BatchControllerActor<P> {
    type Msg = BatchControllerMessage;
    type State = BatchControllerState;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> Result<BatchControllerState, ActorProcessingErr> {
        tick(&myself, || BatchControllerMessage::Tick, TICK_MS);
        Ok(BatchControllerState {
            term: self.0.clock.wall().0,
            scheduler: BatchScheduler::new(self.0.settings.instance.clone()),
            signals: HashMap::new(),
            controlled: HashMap::new(),
            members: None,
            backends: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut BatchControllerState,
    ) -> Result<(), ActorProcessingErr> {
        let now = self.0.clock.mono();
        match message {
            BatchControllerMessage::Tick => self.tick(&myself, state, now),
            BatchControllerMessage::SlotsRequested(slot_request, reply) => {
                let grant = self.handle_slot_request(&myself, state, slot_request, now);
                let _ = reply.send(grant);
            }
            BatchControllerMessage::SlotsGranted(grant, reply) => {
                let _ = reply.send(self.apply_grant(state, &grant, now));
            }
            BatchControllerMessage::SlotsInUse(slot_request) => {
                if let Some(engine) = state.controlled.get_mut(&slot_request.backend) {
                    engine.controller.record_usage(slot_request, now);
                }
            }
            BatchControllerMessage::RequestAnswered(grant, requested_at) => {
                let actions = state.scheduler.handle_response(&grant, requested_at, now);
                self.perform(state, actions);
            }
            BatchControllerMessage::OnlineWork(notice, reply) => {
                let engine = state.controlled.get_mut(&notice.backend);
                let _ = reply.send(engine.is_some());
                if let Some(engine) = engine {
                    let grants = engine.controller.apply_online_load(&notice, now);
                    self.push_grants(&myself, state, grants, now);
                }
            }
            BatchControllerMessage::LoadReported(backend, report) => {
                if let Some(engine) = state.controlled.get_mut(&backend) {
                    let grants = engine.controller.apply_load_report(&report, now);
                    self.push_grants(&myself, state, grants, now);
                }
            }
            BatchControllerMessage::ItemWaiting(item, waiting, signals) => {
                state.signals.insert(item, signals);
                let actions = state.scheduler.enqueue(item, waiting, now);
                self.perform(state, actions);
                self.send_slot_requests(&myself, state, now);
            }
            BatchControllerMessage::ItemLeft(item) => {
                state.signals.remove(&item);
                let actions = state.scheduler.remove(item, now);
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
        state: &mut BatchControllerState,
        now: MonoMs,
    ) {
        self.assign_controllers(state, now);
        online_load::notify_changes(&self.0);
        let actions = state.scheduler.act(now);
        self.perform(state, actions);
        self.send_slot_requests(myself, state, now);
        let backends: Vec<BackendId> = state.controlled.keys().cloned().collect();
        for backend in backends {
            let Some(engine) = state.controlled.get_mut(&backend) else {
                continue;
            };
            let grants = engine.controller.tick(now);
            if engine.controller.is_idle() {
                state.controlled.remove(&backend);
                continue;
            }
            if now.since_ms(engine.polled_at) >= POLL_MS {
                engine.polled_at = now;
                self.poll(myself, &backend);
            }
            self.push_grants(myself, state, grants, now);
        }
        self.0
            .metrics
            .batch_in_flight
            .set(state.scheduler.running() as i64);
    }

    /// Assigns the batch controllers again if the members or the engines have changed.
    fn assign_controllers(&self, state: &mut BatchControllerState, now: MonoMs) {
        let members = self.0.members.load_full();
        let backends = self.0.backends.load_full();
        let same_members = state
            .members
            .as_ref()
            .is_some_and(|previous| Arc::ptr_eq(previous, &members));
        let same_backends = state
            .backends
            .as_ref()
            .is_some_and(|previous| Arc::ptr_eq(previous, &backends));
        if same_members && same_backends {
            return;
        }
        let before = self.0.batch_controllers.load();
        let live = self.0.live_members();
        let mut controllers = BatchControllers::default();
        let mut replicas = Vec::new();
        for server in &backends.servers {
            if server.backend.kind != BackendKind::Engine {
                continue;
            }
            let backend = &server.backend.id;
            let controller = controller_of(&live, backend);
            replicas.push(SchedulerReplica {
                backend: backend.clone(),
                targets: server.backend.targets.clone(),
                controller: controller.map(|member| member.id.clone()),
            });
            let Some(controller) = controller else {
                continue;
            };
            let notification = before
                .0
                .get(backend)
                .map(|entry| entry.notification.clone());
            let entry = BatchControllerEntry {
                batch_controller: controller.id.clone(),
                address: controller.peer_address,
                notification: notification.unwrap_or_default(),
            };
            controllers.0.insert(backend.clone(), entry);
        }
        self.0.batch_controllers.store(Arc::new(controllers));
        state.members = Some(members);
        state.backends = Some(backends);
        let actions = state.scheduler.set_replicas(replicas, now);
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

    fn handle_slot_request(
        &self,
        myself: &ActorRef<BatchControllerMessage>,
        state: &mut BatchControllerState,
        slot_request: BatchSlotRequest,
        now: MonoMs,
    ) -> BatchSlotGrant {
        let backend = slot_request.backend.clone();
        let (me, term) = (self.0.settings.instance.clone(), state.term);
        let share = self.0.settings.batch_share_percent;
        let entry = state.controlled.entry(backend.clone());
        let engine = entry.or_insert_with(|| {
            self.poll(myself, &backend);
            ControlledEngine {
                controller: BatchController::new(me, backend, term, share),
                polled_at: now,
            }
        });
        let (grant, others) = engine.controller.handle_request(slot_request, now);
        self.push_grants(myself, state, others, now);
        grant
    }

    fn apply_grant(
        &self,
        state: &mut BatchControllerState,
        grant: &BatchSlotGrant,
        now: MonoMs,
    ) -> BatchSlotRequest {
        let actions = state.scheduler.handle_pushed_grant(grant, now);
        self.perform(state, actions);
        state
            .scheduler
            .slot_request(&grant.backend, self.0.clock.wall())
    }

    /// Pushes grants to their owners. A grant to this instance is applied without a message.
    fn push_grants(
        &self,
        myself: &ActorRef<BatchControllerMessage>,
        state: &mut BatchControllerState,
        grants: Vec<(InstanceId, BatchSlotGrant)>,
        now: MonoMs,
    ) {
        for (owner, grant) in grants {
            if owner == self.0.settings.instance {
                let slot_request = self.apply_grant(state, &grant, now);
                if let Some(engine) = state.controlled.get_mut(&grant.backend) {
                    engine.controller.record_usage(slot_request, now);
                }
                continue;
            }
            let Some(member) = self.0.member(&owner) else {
                continue;
            };
            let (shared, myself) = (self.0.clone(), myself.clone());
            tokio::spawn(async move {
                let request = PeerRequest::SlotsGranted(grant);
                for _ in 0..PUSH_ATTEMPTS {
                    let address = member.peer_address;
                    let answer = shared
                        .peers
                        .call(address, &request, SLOT_REQUEST_TIMEOUT_MS)
                        .await;
                    if let Ok(PeerAnswer::SlotsInUse(slot_request)) = answer {
                        let message = BatchControllerMessage::SlotsInUse(slot_request);
                        log_undelivered(myself.send_message(message));
                        return;
                    }
                }
                log::debug!(
                    "slot grant could not be delivered to {}; its next slot request corrects this",
                    member.id
                );
            });
        }
    }

    /// Sends the slot requests that are due.
    fn send_slot_requests(
        &self,
        myself: &ActorRef<BatchControllerMessage>,
        state: &mut BatchControllerState,
        now: MonoMs,
    ) {
        for (controller, slot_request) in state.scheduler.due_requests(now, self.0.clock.wall()) {
            if controller == self.0.settings.instance {
                let grant = self.handle_slot_request(myself, state, slot_request, now);
                let actions = state.scheduler.handle_response(&grant, now, now);
                self.perform(state, actions);
                let slot_request = state
                    .scheduler
                    .slot_request(&grant.backend, self.0.clock.wall());
                if let Some(engine) = state.controlled.get_mut(&grant.backend) {
                    engine.controller.record_usage(slot_request, now);
                }
                continue;
            }
            let Some(member) = self.0.member(&controller) else {
                continue;
            };
            let (shared, myself) = (self.0.clone(), myself.clone());
            tokio::spawn(async move {
                let request = PeerRequest::SlotsRequested(slot_request);
                let address = member.peer_address;
                match shared
                    .peers
                    .call(address, &request, SLOT_REQUEST_TIMEOUT_MS)
                    .await
                {
                    Ok(PeerAnswer::SlotGrant(grant)) => {
                        let message = BatchControllerMessage::RequestAnswered(grant, now);
                        log_undelivered(myself.send_message(message));
                    }
                    Ok(_) => log::debug!("batch controller {controller} sent no slot grant"),
                    Err(error) => log::debug!(
                        "batch controller {controller} did not answer a slot request: {error}"
                    ),
                }
            });
        }
    }

    fn perform(&self, state: &mut BatchControllerState, actions: Vec<SchedulerAction>) {
        let mut preempted: HashMap<BackendId, u32> = HashMap::new();
        for action in actions {
            let (item, signal) = match action {
                SchedulerAction::Start { item, backend } => (item, SlotSignal::Start(backend)),
                SchedulerAction::Preempt { item, backend } => {
                    *preempted.entry(backend).or_default() += 1;
                    (item, SlotSignal::Preempt)
                }
            };
            if let Some(signals) = state.signals.get(&item) {
                let _ = signals.send(signal);
            }
        }
        for (backend, items) in preempted {
            self.0.metrics.batch_preemptions.inc_by(u64::from(items));
            self.0
                .timeline
                .note(TimelineEvent::BatchPreempted { backend, items });
        }
    }
}

/// The batch controller of an engine among the live members, chosen by rendezvous hashing.
fn controller_of<'a>(live: &'a [Member], backend: &BackendId) -> Option<&'a Member> {
    let key = format!("steward/{backend}");
    let assigned = rendezvous::select(live.iter().map(|member| &member.id), key.as_bytes())?;
    live.iter().find(|member| member.id == *assigned)
}
