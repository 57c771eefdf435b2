//! One instance: the tables that it follows, its readiness and its planned stop.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use foxtailhold::ids::{AvailabilityZone, InstanceId};
use foxtailhold::outage_return::return_after_ms;
use foxtailhold::routes::RouteTable;
use foxtailhold::turns::Turns;
use foxtailhold_http::lock::Mutex;
use foxtailhold_http::machine::{ListenerKind, MachineLimits};
use foxtailhold_http::server::{Server, ServerError};
use foxtailhold_platform::{Changes, Committed, ObjectStore, RowKey, RowStore};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::absences::ServiceAbsences;
use crate::caller_time::FirstEventTimes;
use crate::connections::Connections;
use crate::crash_rows::persist_crashes;
use crate::dialect::Dialect;
use crate::feeds::{BackendsSink, MembersSink, RoutesSink};
use crate::fleet::{Backends, FleetTable};
use crate::follow::{FeedTiming, TableSource, follow};
use crate::jobs::{
    ActBounds, EndsUnderWay, JOBS_TABLE, JobCache, JobCacheSink, JobProgress, JobStore, Jobs,
    Refreshes, own_jobs, refresh_when_wanted, store_told_ends, sweep_jobs, wait_handed_over,
};
use crate::metrics::{GaugeValues, RelayMetrics};
use crate::origin_confirmation::confirm_origins;
use crate::origin_rows::persist_origins;
use crate::own_row::{OwnRow, row_key};
use crate::peers::{INSTANCES_TABLE, Member, Peers};
use crate::pending_attempts::PendingAttempts;
use crate::plain::PlainServiceLoads;
use crate::planned_end::PlannedEnd;
use crate::platform_tables::PlatformTables;
use crate::relay::Relay;
use crate::saved_origin_rows::{load_origins, save_origins, sweep_origins};
use crate::shared_store::SharedStore;
use crate::tables::FollowedTable;
use crate::timers::watch_timers;

/// Result of starting an instance.
pub type Result<T> = std::result::Result<T, InstanceError>;

/// Rows of instances that have been down for this time are deleted.
const DOWN_ROW_TTL_MS: u64 = 15_000;
/// Longest wait for an answer about the routes that is on its way, and the interval between two checks.
const ROUTES_WAIT_MS: u64 = 100;
const ROUTES_CHECK_MS: u64 = 5;
/// Name of the rows of instances in metrics.
const ROWS: &str = "instance";

/// Why an instance could not start.
#[derive(Debug, Error)]
pub enum InstanceError {
    /// The UDP socket for messages of other instances cannot be opened.
    #[error("cannot bind the UDP socket for other instances at {address}: {source}")]
    Bind {
        /// Configured peer address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The server for calls of other instances cannot be started.
    #[error(transparent)]
    Serve(#[from] ServerError),
}

/// Identity and settings of an instance.
#[derive(Debug, Clone)]
pub struct InstanceIdentity {
    /// Identifier, new at each start.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: AvailabilityZone,
    /// Address for datagrams and calls of other instances.
    pub peer_address: SocketAddr,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// CPU share, in thousandths of a core.
    pub core_permille: u32,
    /// Limits of the machine.
    pub machine: MachineLimits,
    /// Time for which batch jobs stay readable after their acceptance.
    pub job_retention_ms: u64,
    /// Time within which a change of the platform's tables has to be in effect.
    pub change_bound_ms: u64,
    /// Time after which what one instance has shown of a batch job must be seen at each.
    pub settle_ms: u64,
    /// Time after the acknowledged end of a batch job for which items of it may still start.
    pub cancel_ms: u64,
    /// Time after which the end of a batch job without an acknowledgement counts as acknowledged.
    pub ack_ms: u64,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
}

/// A running instance.
#[derive(Debug)]
pub struct Instance<S, D> {
    /// Forwards opaque requests.
    pub relay: Arc<Relay<D>>,
    /// Batch jobs of all instances.
    pub jobs: Arc<Jobs<SharedStore<S>, D>>,
    identity: InstanceIdentity,
    store: SharedStore<S>,
    peer_server: Server,
    backends_loaded: watch::Receiver<bool>,
    leaving: CancellationToken,
    closing: CancellationToken,
}

impl<S: RowStore + ObjectStore, D: Dialect> Instance<S, D> {
    /// Starts following the platform's tables and communicating with other instances.
    pub async fn start<R: PlatformTables>(
        identity: InstanceIdentity,
        store: S,
        dialect: D,
        tables: R,
        metrics: RelayMetrics,
    ) -> Result<Arc<Self>> {
        let address = identity.peer_address;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|source| InstanceError::Bind { address, source })?;
        let clock = metrics.tables().clock();
        let (instance, zone) = (identity.instance.clone(), identity.zone.clone());
        let status = metrics.tables().clone();
        let peers = Peers::new(instance, zone, socket, clock, status.clone());
        let memory = identity.machine.request_memory();
        let answer_bytes = identity.machine.answer_bytes();
        let store =
            SharedStore::with_answer_memory(store, peers.clone(), metrics.clone(), answer_bytes);
        let peer_connections = identity.machine.connections(ListenerKind::Peers, &memory);
        let item_memory = identity.machine.item_memory();
        let resources = metrics.resources();
        resources.add_memory("requests", &memory);
        resources.add_memory("items", &item_memory);
        resources.add_listener("peers", &peer_connections);
        let store_server = store.server(memory.clone());
        let peer_server =
            Server::bind_on_terms(address, store_server, peer_connections.into()).await?;
        let relay = Arc::new(Relay {
            dialect,
            connections: Connections::default(),
            peers: peers.clone(),
            plain: PlainServiceLoads::default(),
            backends: Arc::new(ArcSwap::from_pointee(Backends::default())),
            routes: Arc::new(ArcSwap::from_pointee(RouteTable::default())),
            clock,
            pending_attempts: PendingAttempts::default(),
            memory,
            ending: CancellationToken::new(),
            absences: ServiceAbsences::default(),
            first_events: FirstEventTimes::default(),
            planned_end: PlannedEnd::default(),
            metrics,
        });
        let timing = FeedTiming::new(identity.change_bound_ms);
        let cache = Arc::new(JobCache::new(peers.ended().clone()));
        let jobs = Arc::new(Jobs {
            store: JobStore::with_item_memory(store.clone(), item_memory),
            cache: Arc::clone(&cache),
            relay: Arc::clone(&relay),
            item_durations: Mutex::default(),
            acceptances: tokio::sync::Mutex::default(),
            progress: JobProgress::default(),
            ends: EndsUnderWay::new(identity.ack_ms),
            bounds: ActBounds::new(identity.settle_ms, identity.cancel_ms, &timing),
            refreshes: Refreshes::default(),
            hand_over: CancellationToken::new(),
        });
        let (loaded, backends_loaded) = watch::channel(false);
        let backends_sink = BackendsSink {
            relay: Arc::clone(&relay),
            table: Arc::new(Mutex::new(FleetTable::default())),
            tables: tables.clone(),
            loaded,
        };
        let routes = RoutesSink {
            relay: Arc::clone(&relay),
            backends_sink: backends_sink.clone(),
            tables: tables.clone(),
        };
        let source = |table, name| TableSource {
            table,
            name,
            timing,
            status: status.clone(),
        };
        let routes_source = source(FollowedTable::Routes, tables.routes_location().0);
        let backends_source = source(FollowedTable::Backends, tables.backends_table());
        let members_source = source(FollowedTable::Instances, INSTANCES_TABLE);
        // An end has to be known while the bound of a start still runs.
        let jobs_timing = FeedTiming::new(identity.change_bound_ms.min(identity.cancel_ms));
        let jobs_source = TableSource {
            timing: jobs_timing,
            ..source(FollowedTable::Jobs, JOBS_TABLE)
        };
        let members_sink = MembersSink(peers.clone());
        let jobs_sink = JobCacheSink::new(cache, peers.clone());
        tokio::spawn(follow(store.clone(), routes_source, routes));
        tokio::spawn(follow(
            store.clone(),
            backends_source,
            backends_sink.clone(),
        ));
        tokio::spawn(follow(store.clone(), members_source, members_sink));
        tokio::spawn(follow(store.clone(), jobs_source, jobs_sink));
        tokio::spawn(watch_timers(relay.metrics.clone(), peers.clone()));
        tokio::spawn(peers.run());
        tokio::spawn(backends_sink.expire());
        tokio::spawn(persist_crashes(
            store.clone(),
            relay.peers.clone(),
            relay.metrics.clone(),
        ));
        tokio::spawn(persist_origins(
            store.clone(),
            relay.peers.clone(),
            relay.metrics.clone(),
            identity.is_first_start,
        ));
        tokio::spawn(save_origins(
            store.clone(),
            relay.peers.clone(),
            relay.metrics.clone(),
        ));
        tokio::spawn(load_origins(store.clone(), relay.peers.clone()));
        tokio::spawn(confirm_origins(
            store.clone(),
            relay.peers.clone(),
            tables.clone(),
            status.clone(),
        ));
        tokio::spawn(sweep_origins(
            store.clone(),
            relay.peers.clone(),
            relay.metrics.clone(),
        ));
        tokio::spawn(sweep_jobs(Arc::clone(&jobs), identity.job_retention_ms));
        tokio::spawn(own_jobs(Arc::clone(&jobs)));
        tokio::spawn(store_told_ends(Arc::clone(&jobs)));
        tokio::spawn(refresh_when_wanted(Arc::clone(&jobs)));
        let instance = Arc::new(Instance {
            relay,
            jobs,
            identity,
            store,
            peer_server,
            backends_loaded,
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
        });
        tokio::spawn(instance.own_row().keep());
        tokio::spawn(Arc::clone(&instance).delete_down_rows());
        Ok(instance)
    }

    /// Whether the tables needed for serving have been read: routes, backend servers and instances.
    pub fn has_loaded_tables(&self) -> bool {
        let knows_routes = self.relay.routes.load().version() > 0;
        knows_routes && *self.backends_loaded.borrow() && self.relay.peers.is_table_read()
    }

    /// Time after which a caller that is turned away should come back, because this instance has not
    /// read its tables yet. `left_ms`: the time that the caller has left, if it says.
    pub fn return_after_start_ms(&self, left_ms: Option<u64>) -> u64 {
        let tables = self.relay.metrics.tables();
        let outages = FollowedTable::ALL.into_iter();
        let longest = outages.filter_map(|table| tables.outage(table)).max();
        return_after_ms(longest.map(|outage| outage.as_millis() as u64), left_ms)
    }

    /// Whether a request may be denied because the routes known here now do not match it. Otherwise one
    /// that does may have been in effect for longer than the bound of a change.
    pub fn may_deny_by_routes(&self) -> bool {
        let tables = self.relay.metrics.tables();
        tables.covers_now(FollowedTable::Routes, self.jobs.bounds.no_route_ms)
    }

    /// The routes, once a request may be denied by them. `None` if that is not so shortly, because the
    /// store does not answer.
    pub async fn routes_to_deny_by(&self) -> Option<Arc<RouteTable>> {
        let tables = self.relay.metrics.tables();
        let until = Instant::now() + Duration::from_millis(ROUTES_WAIT_MS);
        loop {
            if self.may_deny_by_routes() {
                return Some(self.relay.routes.load_full());
            }
            if tables.outage(FollowedTable::Routes).is_some() || Instant::now() >= until {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(ROUTES_CHECK_MS)).await;
        }
    }

    /// Time after which a caller that is turned away should come back, because the routes known here may
    /// have changed. `left_ms`: the time that the caller has left, if it says.
    pub fn return_after_late_routes_ms(&self, left_ms: Option<u64>) -> u64 {
        let outage = self.relay.metrics.tables().outage(FollowedTable::Routes);
        return_after_ms(outage.map(|outage| outage.as_millis() as u64), left_ms)
    }

    /// Whether callers should be sent to this instance.
    pub fn is_ready(&self) -> bool {
        self.has_loaded_tables() && !self.leaving.is_cancelled()
    }

    /// Addresses for callers; only this instance's own address if no other is known.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let now = self.relay.clock.mono();
        let members = self.relay.peers.members();
        let is_leaving = self.leaving.is_cancelled();
        let live = members.live(now);
        let others = live
            .iter()
            .filter(|member| !is_leaving || member.instance != self.identity.instance);
        let mut addresses: Vec<SocketAddr> = others.map(|member| member.caller_address).collect();
        if addresses.is_empty() {
            addresses.push(self.identity.caller_address);
        }
        addresses
    }

    fn member(&self) -> Member {
        let identity = &self.identity;
        Member {
            instance: identity.instance.clone(),
            peer_address: identity.peer_address,
            caller_address: identity.caller_address,
            zone: identity.zone.clone(),
            core_permille: identity.core_permille,
            is_leaving: false,
        }
    }

    fn own_row(&self) -> OwnRow<SharedStore<S>> {
        OwnRow {
            store: self.store.clone(),
            peers: self.relay.peers.clone(),
            metrics: self.relay.metrics.clone(),
            member: self.member(),
            leaving: self.leaving.clone(),
            closing: self.closing.clone(),
        }
    }

    /// Deletes rows of instances that have been down for long, in turn with the other instances.
    async fn delete_down_rows(self: Arc<Self>) {
        let peers = &self.relay.peers;
        let mut turns = Turns::default();
        let mut refused = HashSet::new();
        loop {
            tokio::time::sleep(Duration::from_millis(DOWN_ROW_TTL_MS / 3)).await;
            let now = self.relay.clock.mono();
            let (mut down_rows, hears_others) = {
                let mut members = peers.members();
                let down_rows = members.down_rows(now, DOWN_ROW_TTL_MS);
                (down_rows, members.hears_others(now))
            };
            // One that hears nobody may itself be cut off.
            if !hears_others {
                turns = Turns::default();
                continue;
            }
            down_rows.retain(|row| !refused.contains(row));
            let rank = |(_, instance): &(u64, InstanceId)| peers.rank(instance.as_str().as_bytes());
            for (version, instance) in turns.due(down_rows, rank) {
                let key = RowKey::new(INSTANCES_TABLE, instance.as_str());
                let changes = Changes {
                    expected: vec![(key.clone(), version)],
                    deletes: vec![key],
                    ..Changes::default()
                };
                match self.store.commit(&changes).await {
                    Ok(Committed::At(_)) => {
                        log::info!(instance = instance.as_str(); "row of an instance deleted because it is down");
                    }
                    Ok(Committed::Conflict(_)) => {}
                    Ok(Committed::Refused(detail)) => {
                        self.relay.metrics.row_refused(ROWS);
                        log::warn!(instance = instance.as_str(); "deletion of the row of an instance refused: {detail}");
                        refused.insert((version, instance));
                    }
                    Err(error) => log::debug!("row of {instance} not deleted: {error}"),
                }
            }
        }
    }

    /// Begins a planned stop: callers are no longer sent here, accepted work continues. Requests that
    /// do not end by `end_at` are refused from here on.
    pub fn leave(&self, end_at: Instant) {
        self.relay.planned_end.begin(end_at);
        self.leaving.cancel();
    }

    /// Starts to hand over batch jobs to other instances.
    pub fn hand_over_jobs(&self) {
        self.jobs.hand_over.cancel();
    }

    /// Waits until no open job is left here that another instance could run.
    pub async fn wait_jobs_handed_over(&self) {
        wait_handed_over(&self.jobs).await;
    }

    /// Waits until no end of a job goes on here. Others that know of an end store it too.
    pub async fn wait_ends_settled(&self) {
        self.jobs.ends.wait_settled().await;
    }

    /// Number of ends of jobs that go on here.
    pub fn ends_under_way(&self) -> usize {
        self.jobs.ends.count()
    }

    /// Answers the requests that have no answer yet, because the process is about to end. Those that
    /// have not run are refused.
    pub fn end_requests(&self) {
        self.relay.ending.cancel();
    }

    /// Values of the gauges at this moment.
    pub fn gauge_values(&self) -> GaugeValues {
        let (slots_in_use, requests_waiting) = self.slot_usage();
        let open = self.jobs.cache.open();
        let me = self.jobs.me();
        let owned = open.iter().filter(|(_, cached)| cached.job.owner == *me);
        let running = self.jobs.progress.jobs();
        let idle = owned.clone().filter(|(id, _)| !running.contains(id));
        let oldest_unlisted = self.jobs.progress.oldest_unlisted();
        let now = self.relay.clock.mono();
        GaugeValues {
            slots_in_use,
            requests_waiting,
            batch_jobs_open: open.len(),
            batch_jobs_owned: owned.count(),
            batch_jobs_without_task: idle.count(),
            unlisted_result_ms: oldest_unlisted.map_or(0, |since| now.since_ms(since)),
            config_version: self.relay.routes.load().version(),
            suspected_requests: self
                .relay
                .peers
                .crashes()
                .suspected_requests(self.relay.peers.wall()),
            origins: self.relay.peers.origin_counts(),
        }
    }

    /// Number of slots held and of slot requests waiting.
    pub fn slot_usage(&self) -> (usize, usize) {
        self.relay.peers.slot_usage()
    }

    /// Stops serving calls of other instances and deletes the row of this instance, for at most
    /// `wait_ms`.
    pub async fn close(self: Arc<Self>, wait_ms: u64) {
        self.peer_server.end_connections();
        self.closing.cancel();
        let changes = Changes {
            deletes: vec![row_key(&self.member())],
            ..Changes::default()
        };
        let limit = Duration::from_millis(wait_ms);
        match tokio::time::timeout(limit, self.store.commit(&changes)).await {
            Ok(Ok(Committed::At(_) | Committed::Conflict(_))) => {}
            Ok(Ok(Committed::Refused(detail))) => {
                log::info!("row of this instance not deleted: {detail}")
            }
            Ok(Err(error)) => log::info!("row of this instance not deleted: {error}"),
            Err(_) => log::info!("row of this instance not deleted: no answer within {wait_ms} ms"),
        }
    }
}
