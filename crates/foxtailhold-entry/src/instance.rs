//! Start and planned stop of one instance.

use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use foxtailhold::contract_sync::ListingState;
use foxtailhold::membership::{Member, MemberState};
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::CallerHandler;
use foxtailhold_http::machine::ListenerKind;
use foxtailhold_http::server::{self, Server};
use foxtailhold_operator::OperatorHandler;
use foxtailhold_peer::PeerServer;
use foxtailhold_platform::Platform;
use ractor::{Actor, ActorRef};

use crate::actors::batch_controller::BatchControllerActor;
use crate::actors::contracts::ContractsActor;
use crate::actors::crashes::CrashesActor;
use crate::actors::fleet::FleetActor;
use crate::actors::idempotency_sweep::{IdempotencySweepActor, IdempotencySweepMessage};
use crate::actors::jobs::JobsActor;
use crate::actors::lease::{LeaseActor, LeaseMessage};
use crate::actors::limits::LimitsActor;
use crate::actors::membership::MembershipActor;
use crate::actors::orders::{OrdersActor, OrdersMessage};
use crate::error::{EntryError, Result};
use crate::gateway::EntryGateway;
use crate::messages::{JobsMessage, MembershipMessage};
use crate::metered_platform::MeteredPlatform;
use crate::metrics::Metrics;
use crate::peer::EntryPeer;
use crate::settings::Settings;
use crate::shared::{Actors, Shared};

/// Time in which gossip announces a planned stop to all instances.
pub const LEAVE_PROPAGATION_MS: u64 = 1_500;
/// Upper limit of the wait for the contracts at start, before requests of callers are taken.
const LOAD_WAIT_MS: u64 = 5_000;
/// Interval at which the start checks whether the contracts are loaded.
const LOAD_CHECK_MS: u64 = 10;
/// Time limit for announcing a planned stop to all instances directly.
const LEAVE_TIMEOUT_MS: u64 = 2_000;
/// Time limit for ending the lease in a planned stop.
const LEASE_END_TIMEOUT_MS: u64 = 3_000;
/// Time limit for the batch jobs to stop in a planned stop.
const JOBS_STOP_TIMEOUT_MS: u64 = 10_000;

/// A running instance with its listeners and actors.
#[derive(Debug)]
pub struct Instance<P> {
    shared: Shared<MeteredPlatform<P>>,
    actors: Actors,
    lease: ActorRef<LeaseMessage>,
    idempotency_sweep: ActorRef<IdempotencySweepMessage>,
    orders: ActorRef<OrdersMessage>,
    callers: Server,
    operators: Server,
    peers: PeerServer,
}

/// Start time in ms since the Unix epoch. Each start has a higher incarnation than the one before,
/// as long as the wall clock is not set back.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |duration| duration.as_millis() as u64)
}

/// Waits until the contracts are loaded, because no API key is known before. Requests wait in the
/// listener's backlog meanwhile.
async fn wait_for_contracts<P: Platform>(shared: &Shared<P>) {
    let start = tokio::time::Instant::now();
    let limit = Duration::from_millis(LOAD_WAIT_MS);
    while !shared.contract_sync.load().is_loaded() && start.elapsed() < limit {
        tokio::time::sleep(Duration::from_millis(LOAD_CHECK_MS)).await;
    }
}

impl<P: Platform> Instance<P> {
    /// Binds the three addresses, starts the actors and begins to serve.
    pub async fn start(mut settings: Settings, platform: P) -> Result<Self> {
        let caller_listener = server::bind(settings.caller_address).await?;
        let operator_listener = server::bind(settings.operator_address).await?;
        let (peer_listener, peer_address) = PeerServer::listen(settings.peer_address).await?;
        settings.caller_address = caller_listener.local_addr()?;
        settings.operator_address = operator_listener.local_addr()?;
        settings.peer_address = peer_address;
        let me = Member {
            id: settings.instance.clone(),
            incarnation: incarnation(),
            state: MemberState::Alive,
            caller_address: settings.caller_address,
            peer_address,
            operator_address: settings.operator_address,
            availability_zone: settings.availability_zone.clone(),
            listing: ListingState::Loading,
        };
        let metrics = Metrics::default();
        let platform = MeteredPlatform::new(platform, metrics.platform.clone());
        let shared = Shared::new(settings, platform, metrics, me.clone());
        let membership = MembershipActor(shared.clone());
        let (membership, _) = Actor::spawn(None, membership, me).await?;
        let (contracts, _) = Actor::spawn(None, ContractsActor(shared.clone()), ()).await?;
        let (crashes, _) = Actor::spawn(None, CrashesActor(shared.clone()), ()).await?;
        let (lease, _) = Actor::spawn(None, LeaseActor(shared.clone()), ()).await?;
        let (jobs, _) = Actor::spawn(None, JobsActor(shared.clone()), ()).await?;
        let (fleet, _) = Actor::spawn(None, FleetActor(shared.clone()), ()).await?;
        let (limits, _) = Actor::spawn(None, LimitsActor(shared.clone()), ()).await?;
        let (batch_controller, _) =
            Actor::spawn(None, BatchControllerActor(shared.clone()), ()).await?;
        let (idempotency_sweep, _) =
            Actor::spawn(None, IdempotencySweepActor(shared.clone()), ()).await?;
        let (orders, _) = Actor::spawn(None, OrdersActor(shared.clone()), ()).await?;
        let actors = Actors {
            membership,
            contracts,
            limits,
            crashes,
            fleet,
            jobs,
            batch_controller,
        };
        shared.set_actors(actors.clone());
        shared.timeline.note(TimelineEvent::Started);
        let gateway = EntryGateway(shared.clone());
        let settings = &shared.settings;
        let (machine, memory) = (settings.machine_limits, &shared.memory);
        let resources = &shared.metrics.resources;
        resources.add_memory("requests", memory);
        resources.add_memory("items", shared.chunk_memory.budget());
        let listener = |name, kind| {
            let connections = machine.connections(kind, memory);
            resources.add_listener(name, &connections);
            connections
        };
        let peers = PeerServer::start_with_limits(
            peer_listener,
            peer_address,
            EntryPeer(shared.clone()),
            listener("peers", ListenerKind::Peers),
        );
        wait_for_contracts(&shared).await;
        let callers = CallerHandler::new(gateway.clone()).memory(memory.clone());
        let callers = Server::start_on_terms(
            caller_listener,
            settings.caller_address,
            callers,
            listener("callers", ListenerKind::Callers).into(),
        );
        let operators = OperatorHandler::new(gateway, &settings.operator_token);
        let operators = Server::start_on_terms(
            operator_listener,
            settings.operator_address,
            operators.memory(memory.clone()),
            listener("operators", ListenerKind::Control).into(),
        );
        log::info!(
            "listening for callers on {}, for peers on {peer_address}, for operators on {}",
            settings.caller_address,
            settings.operator_address
        );
        Ok(Instance {
            actors,
            lease,
            idempotency_sweep,
            orders,
            callers,
            operators,
            peers,
            shared,
        })
    }

    /// State shared by the parts of the instance.
    pub fn shared(&self) -> &Shared<MeteredPlatform<P>> {
        &self.shared
    }

    /// One JSON line with the bound addresses, for the process that started this one.
    pub fn announcement(&self) -> String {
        let settings = &self.shared.settings;
        serde_json::json!({
            "instance": settings.instance,
            "caller_address": settings.caller_address,
            "peer_address": settings.peer_address,
            "operator_address": settings.operator_address,
        })
        .to_string()
    }

    /// Planned stop: the instance leaves the list of addresses, still takes requests for as long as
    /// callers may keep an old list, gives up its jobs, and then waits for the requests in flight.
    ///
    /// Fails with [`EntryError::CutRequests`] if they do not finish within `stop_wait_ms`.
    pub async fn close(self) -> Result<()> {
        let shared = &self.shared;
        shared.stopping.store(true, Ordering::Relaxed);
        shared.timeline.note(TimelineEvent::Stopping);
        let leave_timeout = Some(Duration::from_millis(LEAVE_TIMEOUT_MS));
        let announced = self
            .actors
            .membership
            .call(MembershipMessage::Leave, leave_timeout);
        if announced.await.is_err() {
            log::warn!("planned stop not announced to all instances within {LEAVE_TIMEOUT_MS} ms");
        }
        self.callers.end_connections();
        let wait = Some(Duration::from_millis(JOBS_STOP_TIMEOUT_MS));
        if self
            .actors
            .jobs
            .call(JobsMessage::StopAll, wait)
            .await
            .is_err()
        {
            log::warn!("batch jobs did not stop within {JOBS_STOP_TIMEOUT_MS} ms");
        }
        let keep_ms = shared.settings.keep_for_ms + LEAVE_PROPAGATION_MS;
        tokio::time::sleep(Duration::from_millis(keep_ms)).await;
        let stop_wait_ms = shared.settings.stop_wait_ms;
        let finished = self.callers.close(stop_wait_ms).await;
        shared.timeline.note(TimelineEvent::Stopped);
        let lease_timeout = Some(Duration::from_millis(LEASE_END_TIMEOUT_MS));
        if self
            .lease
            .call(LeaseMessage::End, lease_timeout)
            .await
            .is_err()
        {
            log::warn!("lease not ended within {LEASE_END_TIMEOUT_MS} ms, it will expire");
        }
        self.idempotency_sweep.stop(None);
        self.orders.stop(None);
        self.actors.fleet.stop(None);
        self.actors.jobs.stop(None);
        self.actors.batch_controller.stop(None);
        self.actors.contracts.stop(None);
        self.actors.limits.stop(None);
        self.actors.crashes.stop(None);
        self.actors.membership.stop(None);
        self.peers.close().await;
        self.operators.close(1_000).await;
        if finished {
            return Ok(());
        }
        Err(EntryError::CutRequests { stop_wait_ms })
    }
}
