//! Routes of a contract: which requests go to which service, and under which limits.
//!
//! A route is found by host and longest path prefix. What may be repeated follows from its
//! [`RouteKind`] alone, never from the method or the name of a request.

use std::collections::{BTreeMap, HashMap};

use thiserror::Error;

use crate::ids::TargetName;

/// Result of checking routes.
pub type Result<T> = std::result::Result<T, RouteError>;

/// Why a table of routes is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RouteError {
    /// A prefix does not begin and end with a slash.
    #[error("the prefix {prefix:?} of route {route} must begin and end with '/'")]
    BadPrefix {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// A route has no service with a weight.
    #[error("route {route} names no service with a weight over 0")]
    NoService {
        /// The route.
        route: String,
    },
}

/// What may be repeated, and how a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Whole answers; may run more than once.
    Idempotent,
    /// Whole answers; may run at most once.
    Once,
    /// A stream of events; may run at most once.
    Stream,
    /// A stream of events that another backend server can continue after a given event.
    ResumableStream,
    /// Batch jobs.
    Batch,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::ResumableStream | RouteKind::Batch
        )
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// Bounds of a batch route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchLimits {
    /// All results are due this long after the job was first sent.
    pub due_ms: u64,
    /// An item may be given up this long after the job was first sent.
    pub give_up_ms: u64,
    /// Tokens of all unfinished items, over all instances; 0: no bound.
    pub quota_tokens: u64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services with their weights.
    pub services: Vec<(TargetName, u32)>,
    /// Longest time that a caller is kept waiting; 0: no limit.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most.
    pub objective_ms: u64,
    /// Longest pause between two events of a stream that is still on time.
    pub pause_ms: u64,
    /// Rank, 0 the most urgent.
    pub priority: u8,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Bounds of a batch route.
    pub batch: Option<BatchLimits>,
}

impl Route {
    /// The service for a draw from 0 to `u32::MAX`, by weight.
    pub fn service(&self, draw: u32) -> &TargetName {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = (u64::from(draw) * total) >> 32;
        for (name, weight) in &self.services {
            if left < u64::from(*weight) {
                return name;
            }
            left -= u64::from(*weight);
        }
        &self.services[self.services.len() - 1].0
    }
}

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest head of a request.
    pub header_bytes: usize,
    /// Largest body.
    pub body_bytes: usize,
    /// Time for a head.
    pub header_ms: u64,
    /// Idle connections are closed after this time.
    pub idle_ms: u64,
}

/// A service that routes name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Connections that one of its backend servers takes, from all callers together.
    pub connections: u32,
    /// Whether it generates tokens, with places for a fixed number of requests.
    pub is_engine: bool,
}

/// All routes of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<String, Vec<Route>>,
    services: BTreeMap<TargetName, ServiceLimits>,
    limits: Option<ClientLimits>,
}

impl RouteTable {
    /// Checks and indexes routes.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<TargetName, ServiceLimits>,
        limits: Option<ClientLimits>,
    ) -> Result<Self> {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            check(&route)?;
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(RouteTable {
            version,
            hosts,
            services,
            limits,
        })
    }

    /// Version of the configuration, 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What clients may send.
    pub fn limits(&self) -> Option<ClientLimits> {
        self.limits
    }

    /// A service's bounds.
    pub fn service(&self, name: &TargetName) -> Option<&ServiceLimits> {
        self.services.get(name)
    }

    /// Services that hold places for requests.
    pub fn engines(&self) -> impl Iterator<Item = &TargetName> {
        let engines = self.services.iter().filter(|(_, bounds)| bounds.is_engine);
        engines.map(|(name, _)| name)
    }

    /// The route of a host and path; a port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn check(route: &Route) -> Result<()> {
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(RouteError::BadPrefix {
            route: route.name.clone(),
            prefix: prefix.clone(),
        });
    }
    if route.services.iter().all(|(_, weight)| *weight == 0) {
        let route = route.name.clone();
        return Err(RouteError::NoService { route });
    }
    Ok(())
}
