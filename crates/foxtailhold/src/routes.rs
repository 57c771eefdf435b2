//! Routes of a contract: which requests go to which service, and under which limits.
//!
//! A route is found by host and longest path prefix. Whether a request may be repeated follows from
//! the route's [`RouteKind`] alone, never from the method or the name of a request.

use std::collections::{BTreeMap, HashMap};

use thiserror::Error;

use crate::ids::TargetName;

/// Result of validating routes.
pub type Result<T> = std::result::Result<T, RouteError>;

/// Reason why a route table is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RouteError {
    /// A path prefix does not begin and end with a slash.
    #[error("the prefix {prefix:?} of route {route} must begin and end with '/'")]
    BadPrefix {
        /// Name of the route.
        route: String,
        /// The invalid prefix.
        prefix: String,
    },
    /// A route has no service with a weight above zero.
    #[error("route {route} names no service with a weight over 0")]
    NoService {
        /// Name of the route.
        route: String,
    },
}

/// How requests of a route are answered, and whether they may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Complete responses; a request may run more than once.
    Idempotent,
    /// Complete responses; a request may run at most once.
    Once,
    /// A stream of events; a request may run at most once.
    Stream,
    /// A stream of events that another backend server can continue after a given event.
    ResumableStream,
    /// Batch jobs.
    Batch,
}

impl RouteKind {
    /// Whether a request may be sent again when it may already have run.
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::ResumableStream | RouteKind::Batch
        )
    }

    /// Whether another backend server can continue a response.
    pub fn is_resumable(self) -> bool {
        self == RouteKind::ResumableStream
    }

    /// Whether responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// Limits of a batch route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchLimits {
    /// Time from the first submission of a job until all its results are due.
    pub due_ms: u64,
    /// Time from the first submission of a job after which an item may be given up.
    pub give_up_ms: u64,
    /// Largest number of tokens of all unfinished items over all instances; 0 means no limit.
    pub quota_tokens: u64,
}

/// A route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// Host name that the route serves, without a port.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// How requests are answered and whether they may be repeated.
    pub kind: RouteKind,
    /// Services with their weights.
    pub services: Vec<(TargetName, u32)>,
    /// Longest time that a caller waits; 0 means no limit.
    pub timeout_ms: u64,
    /// Latency objective of a response.
    pub objective_ms: u64,
    /// Longest time between two events of a stream that is still on time.
    pub pause_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Largest number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Limits of a batch route; `None` for other routes.
    pub batch: Option<BatchLimits>,
}

impl Route {
    /// Selects a service by weight, for a random number `draw`.
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

    /// Services that requests are sent to.
    pub fn active_services(&self) -> impl Iterator<Item = &TargetName> {
        let active = self.services.iter().filter(|(_, weight)| *weight > 0);
        active.map(|(name, _)| name)
    }
}

/// Limits on what clients send and how long they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest size of a request body.
    pub body_bytes: usize,
    /// Time limit for a request head.
    pub header_ms: u64,
    /// Idle connections are closed after this time.
    pub idle_ms: u64,
}

/// Properties of a service that routes refer to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Connections that each of its backend servers accepts, from all callers together.
    pub connections: u32,
    /// Whether it is a model engine, with slots for a fixed number of requests.
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
    /// Validates and indexes routes.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<TargetName, ServiceLimits>,
        limits: Option<ClientLimits>,
    ) -> Result<Self> {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            validate(&route)?;
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

    /// Version of the configuration; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what clients send; `None` if the configuration has none.
    pub fn limits(&self) -> Option<ClientLimits> {
        self.limits
    }

    /// The properties of a service; `None` if the configuration does not name it.
    pub fn service(&self, name: &TargetName) -> Option<&ServiceLimits> {
        self.services.get(name)
    }

    /// Services that are model engines.
    pub fn engines(&self) -> impl Iterator<Item = &TargetName> {
        let engines = self.services.iter().filter(|(_, bounds)| bounds.is_engine);
        engines.map(|(name, _)| name)
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten()
    }

    /// The route of a host and path. A port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn validate(route: &Route) -> Result<()> {
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
