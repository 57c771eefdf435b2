//! What the parts of one instance share: settings, clients and published snapshots.

use std::collections::HashMap;
use std::ops::Deref;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwap;
use foxtailhold::batch_control::scheduler::ItemKey;
use foxtailhold::contract_registry::ContractRegistry;
use foxtailhold::contract_sync::ContractSync;
use foxtailhold::ids::{InstanceId, RequestId};
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
use tokio::time::Instant;

use crate::admission::Admission;
use crate::backends::BackendTable;
use crate::batch_controllers::BatchControllers;
use crate::jobs::chunk_slots::SharedChunkSlots;
use crate::limits::Limits;
use crate::messages::{
    BatchControllerMessage, ContractsMessage, CrashesMessage, FleetMessage, JobsMessage,
    LimitsMessage, MembershipMessage,
};
use crate::metrics::Metrics;
use crate::retries::RetryGate;
use crate::settings::{BatchPolicy, Settings};
use crate::timeline::{ProcessClock, Timeline};
use foxtailhold_http::clock::Clock;

/// The actors of one instance.
#[derive(Debug, Clone)]
pub struct Actors {
    /// Keeps the view of instances.
    pub membership: ActorRef<MembershipMessage>,
    /// Keeps the contracts in force.
    pub contracts: ActorRef<ContractsMessage>,
    /// Exchanges shares of limits.
    pub limits: ActorRef<LimitsMessage>,
    /// Keeps the requests that crash backend servers.
    pub crashes: ActorRef<CrashesMessage>,
    /// Reads the fleet list and load reports.
    pub fleet: ActorRef<FleetMessage>,
    /// Runs the batch jobs owned here.
    pub jobs: ActorRef<JobsMessage>,
    /// Steers batch at replicas and gives places to the items of jobs owned here.
    pub batch_controller: ActorRef<BatchControllerMessage>,
}

/// What is shared. The request path reads snapshots and never waits for an actor.
#[derive(Debug)]
pub struct SharedState<P> {
    /// Settings, with the addresses really bound.
    pub settings: Settings,
    /// Clocks.
    pub clock: Clock,
    /// The platform.
    pub platform: P,
    /// Client of engines.
    pub engines: EngineClient,
    /// Client of plain services.
    pub services: ServiceClient,
    /// Client of peers.
    pub peers: PeerClient<ProcessClock>,
    /// Instances, this one first.
    pub members: ArcSwap<Vec<Member>>,
    /// Contracts in force.
    pub contracts: ArcSwap<ContractRegistry>,
    /// The same with what is known of their currency.
    pub contract_sync: ArcSwap<ContractSync>,
    /// Backend servers.
    pub backends: ArcSwap<BackendTable>,
    /// Which of them are leaving, by what instances tell each other.
    pub leaving: ArcSwap<LeavingBackends>,
    /// Requests that do not stand clear of crashes.
    pub crash_statuses: ArcSwap<HashMap<Fingerprint, QuarantineStatus>>,
    /// Retries this instance may make.
    pub retries: RetryGate,
    /// This instance's lease.
    pub lease: ArcSwap<HeldLease>,
    /// Queues in front of the engines.
    pub admission: Admission,
    /// Limits of customers.
    pub limits: Limits,
    /// Metrics.
    pub metrics: Metrics,
    /// Events.
    pub timeline: Timeline,
    /// Places for batch items that run or wait for a steward's place in this instance.
    pub batch_slots: Semaphore,
    /// Places for chunks, and the work that waits for them.
    pub chunk_slots: SharedChunkSlots,
    /// Stewards of engines.
    pub batch_controllers: ArcSwap<BatchControllers>,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    actors: OnceLock<Actors>,
    next_request: AtomicU64,
    request_prefix: String,
}

/// Batch items that run or wait for a place at once, under [`BatchPolicy::Steward`].
const STEWARD_ITEMS: usize = 1_024;

fn batch_slots(settings: &Settings) -> usize {
    match settings.batch_policy {
        BatchPolicy::Ordinary => settings.batch_slots as usize,
        BatchPolicy::Controlled | BatchPolicy::Off => STEWARD_ITEMS,
    }
}

/// A handle of [`SharedState`].
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
    /// The state of an instance that starts as `me`.
    pub fn new(settings: Settings, platform: P, metrics: Metrics, me: Member) -> Self {
        let clock = Clock::new(settings.wall_offset_ms);
        let timeline = Timeline::new(settings.instance.clone(), clock);
        let limits = Limits::new(settings.instance.clone(), clock.mono(), clock.wall());
        Shared(Arc::new(SharedState {
            peers: PeerClient::new(timeline.clock().clone()),
            timeline,
            request_prefix: format!("{}-{:08x}", settings.instance, rand::random::<u32>()),
            chunk_slots: SharedChunkSlots::default(),
            batch_slots: Semaphore::new(batch_slots(&settings)),
            settings,
            clock,
            platform,
            metrics,
            engines: EngineClient::default(),
            services: ServiceClient::default(),
            members: ArcSwap::from_pointee(vec![me]),
            contracts: ArcSwap::default(),
            batch_controllers: ArcSwap::default(),
            contract_sync: ArcSwap::default(),
            backends: ArcSwap::default(),
            leaving: ArcSwap::default(),
            crash_statuses: ArcSwap::default(),
            retries: RetryGate::default(),
            lease: ArcSwap::default(),
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
            log::error!("the actors were published twice");
        }
    }

    /// The actors; `None` while the instance starts.
    pub fn actors(&self) -> Option<&Actors> {
        self.actors.get()
    }

    /// A new identifier, unique over all instances and over restarts.
    pub fn unique(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.request_prefix)
    }

    /// A number for an item, unique in this process.
    pub fn item_key(&self) -> ItemKey {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// A new identifier of a request.
    pub fn request_id(&self) -> RequestId {
        RequestId::try_from(self.unique().as_str())
            .expect("an instance id of at most 64 bytes with two numbers is a request id")
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Instances that take work, this one among them unless it stops.
    pub fn live_members(&self) -> Vec<Member> {
        let members = self.members.load();
        let live =
            |member: &&Member| matches!(member.state, MemberState::Alive | MemberState::Suspect);
        members.iter().filter(live).cloned().collect()
    }

    /// Whether this instance is the home of `key` among the live ones.
    pub fn is_coordinator_for(&self, key: &[u8]) -> bool {
        let members = self.live_members();
        let ids = members.iter().map(|member| &member.id);
        rendezvous::select(ids, key) == Some(&self.settings.instance)
    }

    /// A member by its identifier.
    pub fn member(&self, id: &InstanceId) -> Option<Member> {
        let members = self.members.load();
        members.iter().find(|member| member.id == *id).cloned()
    }

    /// Until when this instance may act on work owned under `epoch`; the present where it may not.
    pub fn acts_until(&self, epoch: u64) -> Instant {
        let until = self.lease.load().valid_until(epoch);
        until.map_or_else(Instant::now, |until| self.clock.instant(until))
    }

    /// The fencing number of this instance's lease, while it may act on it.
    pub fn lease_epoch(&self) -> Option<u64> {
        self.lease.load().epoch_at(self.clock.mono())
    }
}
