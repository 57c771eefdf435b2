//! One instance: start, planned stop.

use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use foxtailhold::contract_sync::ListingState;
use foxtailhold::membership::{Member, MemberState};
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::CallerHandler;
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

/// Time for the news of a planned stop to reach all instances by gossip.
pub const LEAVE_LAG_MS: u64 = 1_500;
/// A start waits for the contracts at most this long before it takes requests of callers.
const LOAD_WAIT_MS: u64 = 5_000;
/// Time between looks at them.
const LOAD_CHECK_MS: u64 = 10;
/// Limit for telling all instances directly.
const LEAVE_TOLD_MS: u64 = 2_000;
/// Limit for ending the lease.
const LEASE_END_MS: u64 = 3_000;
/// Limit for the jobs to stop in a planned stop.
const JOBS_STOP_MS: u64 = 10_000;

/// A running instance.
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

/// Each start has a higher incarnation than the one before, on a clock that does not go back.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |duration| duration.as_millis() as u64)
}

/// Waits until requests can be told from those of strangers; they wait in the listener's backlog.
async fn wait_for_contracts<P: Platform>(shared: &Shared<P>) {
    let start = tokio::time::Instant::now();
    let limit = Duration::from_millis(LOAD_WAIT_MS);
    while !shared.contract_sync.load().is_loaded() && start.elapsed() < limit {
        tokio::time::sleep(Duration::from_millis(LOAD_CHECK_MS)).await;
    }
}

impl<P: Platform> Instance<P> {
    /// Binds the three addresses, starts the actors and serves.
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
        let peers = PeerServer::start(peer_listener, peer_address, EntryPeer(shared.clone()));
        wait_for_contracts(&shared).await;
        let callers = CallerHandler::new(gateway.clone());
        let callers = Server::start(caller_listener, settings.caller_address, callers);
        let operators = OperatorHandler::new(gateway, &settings.operator_token);
        let operators = Server::start(operator_listener, settings.operator_address, operators);
        log::info!(
            "callers on {}, peers on {peer_address}, operators on {}",
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

    /// What the parts of the instance share.
    pub fn shared(&self) -> &Shared<MeteredPlatform<P>> {
        &self.shared
    }

    /// One JSON line with the addresses really bound, for whoever started the process.
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

    /// A planned stop: leaves the list of addresses, goes on taking requests while callers may
    /// keep an old list, gives its jobs up, then lets requests in flight finish.
    pub async fn close(self) -> Result<()> {
        let shared = &self.shared;
        shared.stopping.store(true, Ordering::Relaxed);
        shared.timeline.note(TimelineEvent::Stopping);
        let told = Some(Duration::from_millis(LEAVE_TOLD_MS));
        let left = self.actors.membership.call(MembershipMessage::Leave, told);
        if left.await.is_err() {
            log::warn!("not all instances were told of the stop");
        }
        self.callers.end_connections();
        let wait = Some(Duration::from_millis(JOBS_STOP_MS));
        if self
            .actors
            .jobs
            .call(JobsMessage::StopAll, wait)
            .await
            .is_err()
        {
            log::warn!("the jobs could not be stopped");
        }
        let keep_ms = shared.settings.keep_for_ms + LEAVE_LAG_MS;
        tokio::time::sleep(Duration::from_millis(keep_ms)).await;
        let stop_wait_ms = shared.settings.stop_wait_ms;
        let finished = self.callers.close(stop_wait_ms).await;
        shared.timeline.note(TimelineEvent::Stopped);
        let ended = Some(Duration::from_millis(LEASE_END_MS));
        if self.lease.call(LeaseMessage::End, ended).await.is_err() {
            log::warn!("the lease was not ended, it runs out");
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
