//! State shared by the parts of one instance: settings, clients and published snapshots.

use std::collections::HashMap;
use std::ops::Deref;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::{ArcSwap, ArcSwapOption};
use foxtailhold::act_lease::ActLease;
use foxtailhold::batch::start_leases::StartLeases;
use foxtailhold::batch_control::scheduler::ItemKey;
use foxtailhold::contract_registry::ContractRegistry;
use foxtailhold::contract_sync::ContractSync;
use foxtailhold::ids::{InstanceId, JobId, RequestId};
use foxtailhold::lease::HeldLease;
use foxtailhold::leaving::LeavingBackends;
use foxtailhold::membership::{Member, MemberState};
use foxtailhold::quarantine::{Fingerprint, QuarantineStatus};
use foxtailhold::rendezvous;
use foxtailhold_engine::EngineClient;
use foxtailhold_peer::PeerClient;
use foxtailhold_platform::Platform;
use foxtailhold_service::ServiceClient;
use ractor::ActorRef;
use tokio::sync::Semaphore;

use crate::admission::Admission;
use crate::backends::BackendTable;
use crate::batch_controllers::BatchControllers;
use crate::jobs::chunk_memory::ChunkMemory;
use crate::jobs::chunk_slots::SharedChunkSlots;
use crate::limits::Limits;
use crate::messages::{
    BatchControllerMessage, ContractsMessage, CrashesMessage, FleetMessage, JobsMessage,
    LimitsMessage, MembershipMessage,
};
use crate::metrics::Metrics;
use crate::part_evidence::PartEvidence;
use crate::retries::RetryGate;
use crate::settings::{BatchPolicy, Settings};
use crate::timeline::{ProcessClock, Timeline};
use foxtailhold_http::clock::Clock;
use foxtailhold_http::memory::MemoryBudget;

/// The actors of one instance that others send messages to.
#[derive(Debug, Clone)]
pub struct Actors {
    /// Keeps the membership view.
    pub membership: ActorRef<MembershipMessage>,
    /// Keeps the contracts in force.
    pub contracts: ActorRef<ContractsMessage>,
    /// Exchanges shares of customers' limits.
    pub limits: ActorRef<LimitsMessage>,
    /// Tracks requests that crash backend servers.
    pub crashes: ActorRef<CrashesMessage>,
    /// Reads the fleet list and load reports.
    pub fleet: ActorRef<FleetMessage>,
    /// Runs the batch jobs owned here.
    pub jobs: ActorRef<JobsMessage>,
    /// Controls batch work at engines and schedules the items of jobs owned here.
    pub batch_controller: ActorRef<BatchControllerMessage>,
}

/// Shared state. The request path reads snapshots and never waits for an actor.
#[derive(Debug)]
pub struct SharedState<P> {
    /// Settings, with the addresses that were bound.
    pub settings: Settings,
    /// Monotonic clock, and wall clock with the configured offset.
    pub clock: Clock,
    /// Memory for requests and responses of callers, peers and operators.
    pub memory: MemoryBudget,
    /// Platform client.
    pub platform: P,
    /// Client for engines.
    pub engines: EngineClient,
    /// Client for plain services.
    pub services: ServiceClient,
    /// Client for peers.
    pub peers: PeerClient<ProcessClock>,
    /// Known instances, this one first.
    pub members: ArcSwap<Vec<Member>>,
    /// Contracts in force.
    pub contracts: ArcSwap<ContractRegistry>,
    /// Contracts in force with the state of their synchronization.
    pub contract_sync: ArcSwap<ContractSync>,
    /// Backend servers of the fleet list.
    pub backends: ArcSwap<BackendTable>,
    /// Leave to refuse what is not in the fleet list.
    fleet_lease: ArcSwapOption<ActLease>,
    /// Backend servers that are leaving, by the notices that instances exchange.
    pub leaving: ArcSwap<LeavingBackends>,
    /// Suspect and convicted requests; a request that is not listed is clear.
    pub crash_statuses: ArcSwap<HashMap<Fingerprint, QuarantineStatus>>,
    /// Crash evidence against parts of prompts.
    pub part_evidence: PartEvidence,
    /// Retry budget of this instance.
    pub retries: RetryGate,
    /// Lease of this instance.
    pub lease: ArcSwap<HeldLease>,
    /// Confirmations that the jobs that run here are in progress.
    pub start_leases: ArcSwap<StartLeases>,
    /// Admission queues of the models.
    pub admission: Admission,
    /// Limits of customers.
    pub limits: Limits,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Time line of recent events.
    pub timeline: Timeline,
    /// Slots for the batch items that this instance runs or lets wait for a slot of a batch
    /// controller.
    pub batch_slots: Semaphore,
    /// Slots for chunks, and the work that waits for them.
    pub chunk_slots: SharedChunkSlots,
    /// Memory of the chunks that run.
    pub chunk_memory: ChunkMemory,
    /// Batch controllers of the engines.
    pub batch_controllers: ArcSwap<BatchControllers>,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    actors: OnceLock<Actors>,
    next_request: AtomicU64,
    request_prefix: String,
}

/// Batch items that run or wait for a slot at once, under [`BatchPolicy::Controlled`].
const MAX_CONTROLLED_ITEMS: usize = 1_024;

fn batch_slots(settings: &Settings) -> usize {
    match settings.batch_policy {
        BatchPolicy::Ordinary => settings.batch_slots as usize,
        BatchPolicy::Controlled | BatchPolicy::Off => MAX_CONTROLLED_ITEMS,
    }
}

/// Cheaply cloned handle of [`SharedState`].
#[derive(Debug)]
pub struct Shared<P>(Arc<SharedState<P>>);

impl<P> Clone for Shared<P> {
    fn clone(&self) -> Self {
        Shared(self.0.clone())
    }
}

impl<P> Deref for Shared<P> {
    type Target = SharedState<P>;

    fn deref(&self) -> &SharedState<P> {
        &self.0
    }
}

impl<P: Platform> Shared<P> {
    /// State of an instance that starts as `me`.
    pub fn new(settings: Settings, platform: P, metrics: Metrics, me: Member) -> Self {
        let clock = Clock::new(settings.wall_offset_ms);
        let timeline = Timeline::new(settings.instance.clone(), clock);
        let limits = Limits::new(settings.instance.clone(), clock.mono(), clock.wall());
        let memory = settings.machine_limits.request_memory();
        Shared(Arc::new(SharedState {
            peers: PeerClient::new(timeline.clock().clone()),
            timeline,
            request_prefix: format!("{}-{:08x}", settings.instance, rand::random::<u32>()),
            chunk_slots: SharedChunkSlots::default(),
            chunk_memory: ChunkMemory::new(settings.machine_limits.item_memory()),
            batch_slots: Semaphore::new(batch_slots(&settings)),
            settings,
            clock,
            platform,
            metrics,
            engines: EngineClient::with_memory(memory.clone()),
            services: ServiceClient::with_memory(memory.clone()),
            memory,
            members: ArcSwap::from_pointee(vec![me]),
            contracts: ArcSwap::default(),
            batch_controllers: ArcSwap::default(),
            contract_sync: ArcSwap::default(),
            backends: ArcSwap::default(),
            fleet_lease: ArcSwapOption::empty(),
            leaving: ArcSwap::default(),
            crash_statuses: ArcSwap::default(),
            part_evidence: PartEvidence::default(),
            retries: RetryGate::default(),
            lease: ArcSwap::default(),
            start_leases: ArcSwap::default(),
            admission: Admission::new(clock),
            limits,
            stopping: AtomicBool::new(false),
            actors: OnceLock::new(),
            next_request: AtomicU64::new(1),
        }))
    }

    /// Publishes the actors, once, when all are started.
    pub fn set_actors(&self, actors: Actors) {
        if self.actors.set(actors).is_err() {
            log::error!("bug: the actors were published twice, the first ones stay");
        }
    }

    /// The actors; `None` while the instance starts.
    pub fn actors(&self) -> Option<&Actors> {
        self.actors.get()
    }

    /// Leave to refuse what is not in the fleet list; `None` before it has been read.
    pub fn fleet_lease(&self) -> Option<ActLease> {
        self.fleet_lease.load().as_deref().copied()
    }

    /// Publishes the lease of a fleet list that was read, unless a later one is known.
    pub fn extend_fleet_lease(&self, lease: ActLease) {
        let latest = self.fleet_lease().max(Some(lease));
        self.fleet_lease.store(latest.map(Arc::new));
    }

    /// A new id, unique over all instances and restarts.
    pub fn unique(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.request_prefix)
    }

    /// A new key for a batch item, unique in this process.
    pub fn item_key(&self) -> ItemKey {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// A new request id.
    pub fn request_id(&self) -> RequestId {
        RequestId::try_from(self.unique().as_str())
            .expect("an instance id of at most 64 bytes with two numbers is a request id")
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Instances that take work, including this one unless it stops.
    pub fn live_members(&self) -> Vec<Member> {
        let members = self.members.load();
        let live =
            |member: &&Member| matches!(member.state, MemberState::Alive | MemberState::Suspect);
        members.iter().filter(live).cloned().collect()
    }

    /// Whether rendezvous hashing over the live instances assigns `key` to this instance.
    pub fn is_coordinator_for(&self, key: &[u8]) -> bool {
        let members = self.live_members();
        let ids = members.iter().map(|member| &member.id);
        rendezvous::select(ids, key) == Some(&self.settings.instance)
    }

    /// A member by its id; `None` if it is not known.
    pub fn member(&self, id: &InstanceId) -> Option<Member> {
        let members = self.members.load();
        members.iter().find(|member| member.id == *id).cloned()
    }

    /// Leave of this instance to start items of a job that it owns under `epoch`; `None` if it has
    /// none.
    pub fn start_lease(&self, job: &JobId, epoch: u64) -> Option<ActLease> {
        let start_leases = self.start_leases.load();
        start_leases.lease(job, epoch, &self.lease.load())
    }

    /// Fencing number of this instance's lease; `None` while the lease is not valid.
    pub fn lease_epoch(&self) -> Option<u64> {
        self.lease.load().epoch_at(self.clock.mono())
    }
}
