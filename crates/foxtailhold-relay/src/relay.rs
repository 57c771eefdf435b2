//! What passing requests on needs: connections, places, loads, and how backend servers are spoken to.

use std::sync::Arc;

use arc_swap::ArcSwap;
use foxtailhold::crashes::{CrashStatus, MAX_CRASHES, STABLE_AFTER_EVENTS};
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::routes::{Route, RouteTable};
use foxtailhold::slots::SlotOutcome;
use foxtailhold_http::clock::Clock;
use http::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::attempts::Attempts;
use crate::connections::{Connections, InUse};
use crate::dialect::Dialect;
use crate::fleet::{BackendServer, Backends};
use crate::metrics::RelayMetrics;
use crate::peers::{NoPlace, Peers, Place, PlaceQuery};
use crate::pending_attempts::UnsettledRuns;
use crate::plain::PlainLoads;
use crate::request::OpaqueRequest;
use crate::upstream::{Exchange, Miss};

/// Without word for this time an engine counts as silent for a stream that may be repeated: many
/// times its time to a first event, and time is left to be on time late.
pub const FIRST_EVENT_PATIENCE_MS: u64 = 650;
/// A pause of this many times the route's longest good pause counts as silence.
const PAUSE_FACTOR: u64 = 3;
/// Shortest pause that counts as silence.
const LEAST_PAUSE_MS: u64 = 600;
/// Callers of a request on probation come back after this time, perhaps at the instance that admits
/// it.
const PROBATION_RETRY_AFTER_MS: u64 = 1_000;
/// Places asked for where the backend servers granted are not known here: instances learn of changes
/// within milliseconds of each other.
const PLACE_TRIES: u32 = 3;
/// Callers of a plain service without room come back after this time: some requests are done then.
pub const PLAIN_RETRY_AFTER_MS: u64 = 120;

/// What passes requests on.
#[derive(Debug)]
pub struct Relay<D> {
    /// How backend servers are spoken to.
    pub dialect: D,
    /// Connections to them.
    pub connections: Connections,
    /// Other instances, and places.
    pub peers: Peers,
    /// Loads of plain services.
    pub plain: PlainLoads,
    /// Backend servers in use.
    pub backends: Arc<ArcSwap<Backends>>,
    /// Routes in force.
    pub routes: Arc<ArcSwap<RouteTable>>,
    /// Clocks.
    pub clock: Clock,
    /// Runs that have not shown yet whether their backend server is alive.
    pub unsettled_runs: UnsettledRuns,
    /// Metrics.
    pub metrics: RelayMetrics,
}

/// A run that gave no answer that could be passed on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LostRun<'a> {
    /// Where.
    pub(crate) backend: &'a BackendServer,
    /// Why.
    pub(crate) cause: Miss,
    /// Events that it gave.
    pub(crate) events: u64,
}

impl<D: Dialect> Relay<D> {
    /// Sends to one backend server, which is given the time until `until`, and waits for the head of
    /// its answer until `patience_until`.
    pub async fn send_to(
        &self,
        backend: &BackendServer,
        exchange: &Exchange<'_>,
        until: Instant,
        patience_until: Instant,
    ) -> Result<(Response<Incoming>, InUse), Miss> {
        let (dialect, connections) = (&self.dialect, &self.connections);
        exchange
            .send(dialect, connections, backend, until, patience_until)
            .await
    }

    /// Logs and counts a run of a request that gave no answer to pass on.
    pub(crate) fn note_miss(
        &self,
        request: &OpaqueRequest,
        lost: &LostRun<'_>,
        attempts: &Attempts,
    ) {
        self.metrics.run_lost(lost.cause.as_str());
        let fingerprint = request.fingerprint();
        let left = attempts.until.saturating_duration_since(Instant::now());
        log::info!(
            request = request.id.as_str(),
            fingerprint:% = fingerprint,
            backend = lost.backend.id.as_str(),
            cause = lost.cause.as_str(),
            events = lost.events,
            attempts = attempts.runs,
            left_ms = left.as_millis() as u64;
            "a run was lost"
        );
        self.note_crash(fingerprint, lost.backend, lost.cause, lost.events);
    }

    /// Notes that a backend server may have crashed under what it had just begun to run. What is known to
    /// crash them has no run to spare: its late runs count however they were lost.
    pub(crate) fn note_crash(
        &self,
        fingerprint: Fingerprint,
        backend: &BackendServer,
        cause: Miss,
        events: u64,
    ) {
        if events >= STABLE_AFTER_EVENTS {
            return;
        }
        let is_late = self.peers.crashes().count(fingerprint) >= MAX_CRASHES;
        match cause {
            Miss::Closed => self.peers.crashed(fingerprint, backend.crash_id()),
            Miss::Silent | Miss::Broken if is_late => {
                self.peers.crashed(fingerprint, backend.crash_id());
            }
            Miss::Silent => self.note_silent_run(fingerprint, backend),
            Miss::Unreachable | Miss::NotRun | Miss::Broken | Miss::Failed => {}
        }
    }

    /// Notes a run that ended here before it showed whether it crashes its backend server.
    pub(crate) fn note_silent_run(&self, fingerprint: Fingerprint, backend: &BackendServer) {
        let number = self.unsettled_runs.begin(fingerprint, backend);
        self.unsettled_runs.end(number, self.clock.mono());
    }

    /// Watches a run until it is settled.
    pub(crate) fn watch_run(
        &self,
        request: &OpaqueRequest,
        backend: &BackendServer,
    ) -> UnsettledRun<'_, D> {
        UnsettledRun {
            relay: self,
            number: self.unsettled_runs.begin(request.fingerprint(), backend),
        }
    }

    /// Notes that a request was seen to run.
    pub(crate) fn note_run(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        if !self.peers.crashes().is_empty() {
            self.peers.cleared(fingerprint());
        }
    }

    /// How long a request is refused because it crashes backend servers, if it is.
    pub(crate) fn refused_ms(&self, request: &OpaqueRequest) -> Option<u64> {
        let crashes = self.peers.crashes();
        if crashes.is_empty() {
            return None;
        }
        let fingerprint = request.fingerprint();
        match crashes.standing(fingerprint, self.clock.wall()) {
            CrashStatus::Free => None,
            CrashStatus::Refused { left_ms } => Some(left_ms),
            CrashStatus::OnProbation => {
                let may_run = self.peers.is_home(&fingerprint.0.to_be_bytes())
                    && crashes.admit_on_probation(fingerprint, self.clock.mono());
                (!may_run).then_some(PROBATION_RETRY_AFTER_MS)
            }
        }
    }

    /// Asks for a place at an engine and finds the engine.
    pub(crate) async fn place(
        &self,
        query: &PlaceQuery<'_>,
    ) -> Result<(Place, Arc<BackendServer>), NoPlace> {
        let mut avoid = query.avoid.to_vec();
        for _ in 0..PLACE_TRIES {
            let query = PlaceQuery {
                avoid: &avoid,
                ..query.clone()
            };
            let place = self.peers.acquire(&query).await?;
            let backends = self.backends.load();
            if let Some(backend) = backends.find(query.pool, place.backend()) {
                return Ok((place, Arc::clone(backend)));
            }
            // The allocator has heard of a start that is not known here yet, or the other way round.
            log::info!(backend = place.backend().as_str(); "a place where no backend server is known");
            avoid.push(place.backend().clone());
            place.close(SlotOutcome::Abandoned);
        }
        Err(NoPlace::Refused {
            retry_after_ms: PLAIN_RETRY_AFTER_MS,
        })
    }
}

/// A run of which nothing is known yet. Dropped so, as when its caller leaves, it has ended without a sign.
#[derive(Debug)]
pub(crate) struct UnsettledRun<'a, D: Dialect> {
    relay: &'a Relay<D>,
    number: u64,
}

impl<D: Dialect> UnsettledRun<'_, D> {
    /// Ends the watch: the run has an answer or was lost.
    pub(crate) fn settle(self) {
        self.relay.unsettled_runs.settle(self.number);
    }
}

impl<D: Dialect> Drop for UnsettledRun<'_, D> {
    fn drop(&mut self) {
        let now = self.relay.clock.mono();
        self.relay.unsettled_runs.end(self.number, now);
    }
}

/// The exchange of a request.
pub fn exchange<'a>(request: &'a OpaqueRequest, route: &Route, after: Option<u64>) -> Exchange<'a> {
    Exchange {
        request_id: &request.id,
        method: &request.method,
        target: &request.target,
        headers: &request.headers,
        body: &request.body,
        after_event: after,
        is_idempotent: route.kind.is_idempotent(),
    }
}

/// Time without an event after which a stream's backend server counts as silent.
pub fn pause_patience_ms(route: &Route) -> u64 {
    (route.pause_ms * PAUSE_FACTOR).max(LEAST_PAUSE_MS)
}
