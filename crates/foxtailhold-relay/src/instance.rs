//! One instance: what it follows, when it is ready, how it stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use foxtailhold::ids::{AvailabilityZone, InstanceId};
use foxtailhold::routes::RouteTable;
use foxtailhold_http::server::{Server, ServerError};
use foxtailhold_platform::{Changes, Committed, ObjectStore, RowKey, RowStore};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::connections::Connections;
use crate::crash_rows::persist_crashes;
use crate::dialect::Dialect;
use crate::feeds::{Fleet, MembersSink, RoutesSink};
use crate::fleet::{Backends, FleetBook};
use crate::follow::follow;
use crate::jobs::{BookSink, JOBS_TABLE, JobBook, JobStore, Jobs, own_jobs, sweep_jobs};
use crate::metrics::{GaugeValues, RelayMetrics};
use crate::peers::{INSTANCES_TABLE, Member, Peers};
use crate::pending_attempts::UnsettledRuns;
use crate::plain::PlainLoads;
use crate::platform_tables::PlatformTables;
use crate::relay::Relay;
use crate::shared_store::SharedStore;
use foxtailhold_http::clock::Clock;

/// Result of starting an instance.
pub type Result<T> = std::result::Result<T, InstanceError>;

/// Rows of instances that are down for this time are deleted.
const LAPSED_MS: u64 = 15_000;
/// Pause before a failed write of the own row is tried again.
const PAUSE_MS: u64 = 250;

/// Why an instance could not start.
#[derive(Debug, Error)]
pub enum InstanceError {
    /// The address for other instances cannot be used.
    #[error("cannot take datagrams at {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The address for calls of other instances cannot be used.
    #[error(transparent)]
    Serve(#[from] ServerError),
}

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct InstanceIdentity {
    /// Its identity, new at each start.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Where it takes datagrams of other instances.
    pub peer_address: SocketAddr,
    /// Where it takes requests of callers.
    pub caller_address: SocketAddr,
    /// Its share of a core, in thousandths.
    pub core_permille: u32,
    /// How long batch jobs stay readable after their acceptance.
    pub job_retention_ms: u64,
}

/// A running instance.
#[derive(Debug)]
pub struct Instance<S, D> {
    /// Passes requests on.
    pub relay: Arc<Relay<D>>,
    /// Batch jobs.
    pub jobs: Arc<Jobs<SharedStore<S>, D>>,
    identity: InstanceIdentity,
    store: SharedStore<S>,
    peer_server: Server,
    backends_known: watch::Receiver<bool>,
    leaving: CancellationToken,
    jobs_leave: CancellationToken,
}

impl<S: RowStore + ObjectStore, D: Dialect> Instance<S, D> {
    /// Starts following the platform and talking to other instances.
    pub async fn start<R: PlatformTables>(
        identity: InstanceIdentity,
        store: S,
        dialect: D,
        sources: R,
        metrics: RelayMetrics,
    ) -> Result<Arc<Self>> {
        let address = identity.peer_address;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|source| InstanceError::Bind { address, source })?;
        let clock = Clock::default();
        let (instance, zone) = (identity.instance.clone(), identity.zone.clone());
        let peers = Peers::new(instance, zone, socket, clock);
        let store = SharedStore::new(store, peers.clone());
        let peer_server = Server::bind(address, store.server()).await?;
        tokio::spawn(store.clone().probe(INSTANCES_TABLE));
        let relay = Arc::new(Relay {
            dialect,
            connections: Connections::default(),
            peers: peers.clone(),
            plain: PlainLoads::default(),
            backends: Arc::new(ArcSwap::from_pointee(Backends::default())),
            routes: Arc::new(ArcSwap::from_pointee(RouteTable::default())),
            clock,
            unsettled_runs: UnsettledRuns::default(),
            metrics,
        });
        let book = Arc::new(JobBook::default());
        let jobs = Arc::new(Jobs {
            store: JobStore::new(store.clone()),
            book: Arc::clone(&book),
            relay: Arc::clone(&relay),
            pace: Mutex::default(),
        });
        let (known, backends_known) = watch::channel(false);
        let fleet = Fleet {
            relay: Arc::clone(&relay),
            book: Arc::new(Mutex::new(FleetBook::default())),
            sources: sources.clone(),
            known,
        };
        let routes = RoutesSink {
            relay: Arc::clone(&relay),
            fleet: fleet.clone(),
            sources: sources.clone(),
        };
        tokio::spawn(follow(store.clone(), sources.routes_location().0, routes));
        let followed = follow(store.clone(), sources.backends_table(), fleet.clone());
        tokio::spawn(followed);
        let members = MembersSink(peers.clone());
        tokio::spawn(follow(store.clone(), INSTANCES_TABLE, members));
        let sink = BookSink::new(book, peers.clone());
        tokio::spawn(follow(store.clone(), JOBS_TABLE, sink));
        tokio::spawn(peers.run());
        tokio::spawn(fleet.expire());
        tokio::spawn(persist_crashes(store.clone(), relay.peers.clone()));
        tokio::spawn(sweep_jobs(Arc::clone(&jobs), identity.job_retention_ms));
        let (leaving, jobs_leave) = (CancellationToken::new(), CancellationToken::new());
        tokio::spawn(own_jobs(Arc::clone(&jobs), jobs_leave.clone()));
        let instance = Arc::new(Instance {
            relay,
            jobs,
            identity,
            store,
            peer_server,
            backends_known,
            leaving,
            jobs_leave,
        });
        tokio::spawn(Arc::clone(&instance).announce());
        tokio::spawn(Arc::clone(&instance).sweep_members());
        Ok(instance)
    }

    /// Whether it has read what it needs to serve: routes, backend servers, and what all instances know.
    pub fn has_loaded_tables(&self) -> bool {
        let knows_routes = self.relay.routes.load().version() > 0;
        knows_routes && *self.backends_known.borrow() && self.relay.peers.is_table_read()
    }

    /// Whether it should get requests.
    pub fn is_ready(&self) -> bool {
        self.has_loaded_tables() && !self.leaving.is_cancelled()
    }

    /// Addresses that callers should use, this instance's own where nobody else is known.
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

    fn row(&self, is_leaving: bool) -> (RowKey, Bytes) {
        let identity = &self.identity;
        let member = Member {
            instance: identity.instance.clone(),
            peer_address: identity.peer_address,
            caller_address: identity.caller_address,
            zone: identity.zone.clone(),
            core_permille: identity.core_permille,
            is_leaving,
        };
        let key = RowKey::new(INSTANCES_TABLE, identity.instance.as_str());
        let value = serde_json::to_vec(&member).unwrap_or_else(|error| {
            log::error!("the own row cannot be written: {error}");
            Vec::new()
        });
        (key, value.into())
    }

    async fn write_row(&self, is_leaving: bool) -> bool {
        let changes = Changes {
            puts: vec![self.row(is_leaving)],
            ..Changes::default()
        };
        match self.store.commit(&changes).await {
            Ok(_) => true,
            Err(error) => {
                log::warn!(leaving = is_leaving; "own row not written: {error}");
                false
            }
        }
    }

    /// Writes the own row until that is known to be done.
    async fn announce(self: Arc<Self>) {
        while !self.leaving.is_cancelled() && !self.write_row(false).await {
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }

    /// Deletes rows of instances that are long gone; one instance does so.
    async fn sweep_members(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(LAPSED_MS / 3)).await;
            let now = self.relay.clock.mono();
            let lapsed = {
                let mut members = self.relay.peers.members();
                let is_mine = members.allocator(now).is_none() && members.hears_others(now);
                let lapsed = members.lapsed(now, LAPSED_MS);
                if is_mine { lapsed } else { Vec::new() }
            };
            for (version, instance) in lapsed {
                let key = RowKey::new(INSTANCES_TABLE, instance.as_str());
                let changes = Changes {
                    expected: vec![(key.clone(), version)],
                    deletes: vec![key],
                    ..Changes::default()
                };
                match self.store.commit(&changes).await {
                    Ok(Committed::At(_)) => {
                        log::info!(instance = instance.as_str(); "an instance is gone");
                    }
                    Ok(Committed::Conflict(_)) => {}
                    Err(error) => log::debug!("row of {instance} not deleted: {error}"),
                }
            }
        }
    }

    /// Begins a planned stop: no new callers are sent here, work goes on.
    pub async fn leave(&self) {
        self.leaving.cancel();
        self.write_row(true).await;
    }

    /// Hands batch jobs over to other instances.
    pub fn hand_over_jobs(&self) {
        self.jobs_leave.cancel();
    }

    /// What the metrics tell of the moment at which they are read.
    pub fn gauge_values(&self) -> GaugeValues {
        let (places_in_use, requests_waiting) = self.slot_usage();
        GaugeValues {
            places_in_use,
            requests_waiting,
            batch_jobs_open: self.jobs.book.open().len(),
            config_version: self.relay.routes.load().version(),
        }
    }

    /// Places in use and requests that wait.
    pub fn slot_usage(&self) -> (usize, usize) {
        self.relay.peers.slot_usage()
    }

    /// Deletes the own row and stops making calls for other instances.
    pub async fn close(self: Arc<Self>) {
        self.peer_server.end_connections();
        let changes = Changes {
            deletes: vec![self.row(true).0],
            ..Changes::default()
        };
        if let Err(error) = self.store.commit(&changes).await {
            log::info!("own row not deleted: {error}");
        }
    }
}
