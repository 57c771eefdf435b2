//! Backend servers as the request path sees them: a published table of cells with counters.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use foxtailhold::breaker::{Availability, Breaker};
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::quarantine::{CrashId, Fingerprint, InFlightRequest};
use foxtailhold::replicas::{Backend, BackendKind, FleetState, LoadReport, ReplicaLoad};
use foxtailhold::routing::{Candidate, Candidates, affinity_seed};
use foxtailhold::stall::{self, Pace};
use foxtailhold::time::MonoMs;
use parking_lot::Mutex;
use tokio::time::Instant;

/// Sends this long before a report's own time are counted again, for the way of the report.
const REPORT_MARGIN_MS: u64 = 20;

#[derive(Debug)]
struct Sent {
    number: u64,
    at: Instant,
    fingerprint: Option<Fingerprint>,
}

/// Requests in flight, each with its time, and the breaker. Held for a few instructions only.
#[derive(Debug, Default)]
struct Flights {
    sent: Vec<Sent>,
    next: u64,
    reported_until: Option<Instant>,
    breaker: Breaker,
}

impl Flights {
    fn since_report(&self) -> u32 {
        let Some(until) = self.reported_until else {
            return self.sent.len() as u32;
        };
        self.sent.iter().filter(|sent| sent.at > until).count() as u32
    }
}

/// Counters of one backend server. They outlive changes of its entry in the fleet list.
#[derive(Debug, Default)]
pub struct Counters {
    flights: Mutex<Flights>,
    in_flight: AtomicU32,
    sent_since_report: AtomicU32,
    failures: AtomicBool,
    set_aside_until: AtomicU64,
    on_trial: AtomicBool,
    marked_leaving: AtomicBool,
    refused_leaving: AtomicBool,
    gap_us: AtomicU64,
    service_ms: AtomicU64,
    report: ArcSwapOption<(LoadReport, MonoMs)>,
}

impl Counters {
    fn publish_breaker(&self, breaker: &Breaker) {
        let until = breaker.blocked_until().0;
        self.set_aside_until.store(until, Ordering::Relaxed);
        let failures = *breaker != Breaker::default();
        self.failures.store(failures, Ordering::Relaxed);
    }

    fn publish_flights(&self, flights: &Flights) {
        let in_flight = flights.sent.len() as u32;
        self.in_flight.store(in_flight, Ordering::Relaxed);
        let since_report = flights.since_report();
        self.sent_since_report
            .store(since_report, Ordering::Relaxed);
    }
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// Its entry in the fleet list.
    pub backend: Backend,
    /// Its counters.
    pub counters: Arc<Counters>,
    affinity_seed: u64,
}

impl BackendState {
    fn new(backend: Backend, counters: Arc<Counters>) -> Self {
        BackendState {
            affinity_seed: affinity_seed(&backend.id),
            backend,
            counters,
        }
    }

    /// Its load as estimated here.
    pub fn load(&self) -> ReplicaLoad {
        let report = self.counters.report.load();
        let (report, reported_at) = match report.as_deref() {
            Some((report, at)) => (*report, Some(*at)),
            None => (LoadReport::default(), None),
        };
        ReplicaLoad {
            report,
            reported_at,
            sent_since_report: self.counters.sent_since_report.load(Ordering::Relaxed),
            in_flight: self.counters.in_flight.load(Ordering::Relaxed),
        }
    }

    /// Takes a load report in. Own sends after the time of which it speaks go on counting.
    pub fn record_load_report(&self, report: LoadReport, now: MonoMs) {
        let back = Duration::from_millis(report.age_ms.saturating_add(REPORT_MARGIN_MS));
        let mut flights = self.counters.flights.lock();
        flights.reported_until = Instant::now().checked_sub(back);
        self.counters.publish_flights(&flights);
        self.counters.report.store(Some(Arc::new((report, now))));
    }

    /// Whether it takes new work by the list, its own report, its refusals and what peers tell.
    pub fn state(&self) -> FleetState {
        if self.counters.marked_leaving.load(Ordering::Relaxed) || self.reports_leaving() {
            return FleetState::Leaving;
        }
        self.backend.state
    }

    /// Whether this instance has seen since the last call that it is leaving.
    pub fn take_leaving_observation(&self) -> bool {
        let refused = self.counters.refused_leaving.swap(false, Ordering::Relaxed);
        refused || self.reports_leaving() || self.backend.state == FleetState::Leaving
    }

    /// Notes that it refused a request because it is leaving.
    pub fn refused_as_leaving(&self) {
        self.counters.refused_leaving.store(true, Ordering::Relaxed);
        self.set_marked_leaving(true);
    }

    /// Sets what instances tell each other.
    pub fn set_marked_leaving(&self, marked: bool) {
        self.counters
            .marked_leaving
            .store(marked, Ordering::Relaxed);
    }

    fn reports_leaving(&self) -> bool {
        let report = self.counters.report.load();
        report.as_deref().is_some_and(|(report, _)| report.leaving)
    }

    /// Whether it is the process that crashed, as far as its load report tells.
    pub fn is_crashed_process(&self, crash: &CrashId) -> bool {
        let report = self.counters.report.load();
        let started = report
            .as_deref()
            .map_or(0, |(report, _)| report.started_unix_ms);
        self.backend.id == crash.backend && started == crash.started_unix_ms
    }

    /// Sets it aside after a failure, for longer with each one.
    pub fn record_failure(&self, now: MonoMs) {
        let mut flights = self.counters.flights.lock();
        flights.breaker.failed(now, rand::random());
        self.counters.publish_breaker(&flights.breaker);
    }

    /// Notes that it served a request.
    pub fn record_success(&self) {
        if !self.counters.failures.load(Ordering::Relaxed) {
            return;
        }
        let mut flights = self.counters.flights.lock();
        flights.breaker.succeeded();
        self.counters.publish_breaker(&flights.breaker);
    }

    /// Notes that it was chosen; after failures that is its trial.
    pub fn note_sent_after_failure(&self, now: MonoMs) {
        if !self.counters.failures.load(Ordering::Relaxed) {
            return;
        }
        let mut flights = self.counters.flights.lock();
        flights.breaker.sent(now);
        self.counters.publish_breaker(&flights.breaker);
    }

    /// Whether it may be used.
    pub fn availability(&self, now: MonoMs) -> Availability {
        if !self.counters.failures.load(Ordering::Relaxed) {
            return Availability::Available;
        }
        if self.counters.set_aside_until.load(Ordering::Relaxed) > now.0 {
            return Availability::Ejected;
        }
        Availability::HalfOpen
    }

    /// Whether it is set aside.
    pub fn is_ejected(&self, now: MonoMs) -> bool {
        self.availability(now) == Availability::Ejected
    }

    /// Whether a request suspected of crashes is tried there.
    pub fn set_probing(&self, on_trial: bool) {
        self.counters.on_trial.store(on_trial, Ordering::Relaxed);
    }

    /// Its pace.
    pub fn latency(&self) -> Pace {
        Pace {
            gap_us: self.counters.gap_us.load(Ordering::Relaxed),
            service_ms: self.counters.service_ms.load(Ordering::Relaxed),
        }
    }

    /// Notes the time between two events of a stream.
    pub fn record_token_gap(&self, gap: Duration) {
        let mean_us = self.counters.gap_us.load(Ordering::Relaxed);
        let moved = stall::moving_average(mean_us, gap.as_micros() as u64);
        self.counters.gap_us.store(moved, Ordering::Relaxed);
    }

    /// Notes the time of a whole request.
    pub fn record_service_time(&self, time: Duration) {
        let mean_ms = self.counters.service_ms.load(Ordering::Relaxed);
        let moved = stall::moving_average(mean_ms, time.as_millis() as u64);
        self.counters.service_ms.store(moved, Ordering::Relaxed);
    }

    /// Counts a request as sent until the guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        self.start_tracked_request(None)
    }

    /// Counts a request with a fingerprint as sent until the guard is dropped.
    pub fn start_tracked_request(&self, fingerprint: Option<Fingerprint>) -> InFlightGuard {
        let mut flights = self.counters.flights.lock();
        let number = flights.next;
        flights.next += 1;
        flights.sent.push(Sent {
            number,
            at: Instant::now(),
            fingerprint,
        });
        self.counters.publish_flights(&flights);
        drop(flights);
        let report = self.counters.report.load();
        InFlightGuard {
            counters: self.counters.clone(),
            number,
            started_unix_ms: report
                .as_deref()
                .map_or(0, |(report, _)| report.started_unix_ms),
        }
    }

    /// Requests now in flight there.
    pub fn tracked_requests(&self) -> Vec<InFlightRequest> {
        let mut flights = Vec::new();
        for sent in &self.counters.flights.lock().sent {
            let Some(fingerprint) = sent.fingerprint else {
                continue;
            };
            flights.push(InFlightRequest {
                fingerprint,
                age_ms: sent.at.elapsed().as_millis() as u64,
            });
        }
        flights
    }
}

/// A request in flight at a backend server.
#[derive(Debug)]
pub struct InFlightGuard {
    counters: Arc<Counters>,
    number: u64,
    started_unix_ms: u64,
}

impl InFlightGuard {
    /// When the process that got it had started, in ms since the Unix epoch by its own clock; 0
    /// where its load report did not say.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut flights = self.counters.flights.lock();
        let place = flights.sent.iter().position(|s| s.number == self.number);
        if let Some(place) = place {
            flights.sent.swap_remove(place);
        }
        self.counters.publish_flights(&flights);
    }
}

/// All backend servers, by what they serve.
#[derive(Debug, Default)]
pub struct BackendTable {
    /// All of them.
    pub servers: Vec<Arc<BackendState>>,
    engines: HashMap<TargetName, Vec<Arc<BackendState>>>,
    services: HashMap<TargetName, Vec<Arc<BackendState>>>,
}

impl BackendTable {
    /// A table of the list's backend servers that keeps the counters of those known before at the
    /// same address.
    pub fn with_fleet_list(&self, backends: &[Backend]) -> Self {
        let mut known: HashMap<&BackendId, &BackendState> = HashMap::new();
        for server in &self.servers {
            known.insert(&server.backend.id, server);
        }
        let mut table = BackendTable::default();
        for backend in backends {
            let before = known.get(&backend.id);
            let before = before.filter(|server| server.backend.address == backend.address);
            let counters = before.map(|server| server.counters.clone());
            let server = BackendState::new(backend.clone(), counters.unwrap_or_default());
            table.add(Arc::new(server));
        }
        table
    }

    fn add(&mut self, server: Arc<BackendState>) {
        let by_target = match server.backend.kind {
            BackendKind::Engine => &mut self.engines,
            BackendKind::Service => &mut self.services,
        };
        for target in &server.backend.targets {
            let serving = by_target.entry(target.clone()).or_default();
            serving.push(server.clone());
        }
        self.servers.push(server);
    }

    fn by_target(&self, kind: BackendKind) -> &HashMap<TargetName, Vec<Arc<BackendState>>> {
        match kind {
            BackendKind::Engine => &self.engines,
            BackendKind::Service => &self.services,
        }
    }

    /// The backend servers of a model or service.
    pub fn serving(&self, kind: BackendKind, target: &TargetName) -> &[Arc<BackendState>] {
        let servers = self.by_target(kind).get(target);
        servers.map(Vec::as_slice).unwrap_or_default()
    }

    /// Names served by any backend server of a kind.
    pub fn targets(&self, kind: BackendKind) -> Vec<TargetName> {
        let mut names: Vec<TargetName> = self.by_target(kind).keys().cloned().collect();
        names.sort();
        names
    }
}

/// The backend servers of one model or service at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Serving<'a> {
    /// The backend servers.
    pub servers: &'a [Arc<BackendState>],
    /// The moment.
    pub now: MonoMs,
}

impl Candidates for Serving<'_> {
    fn len(&self) -> usize {
        self.servers.len()
    }

    fn get(&self, index: usize) -> Candidate<'_> {
        let server = &self.servers[index];
        Candidate {
            id: &server.backend.id,
            availability_zone: &server.backend.availability_zone,
            affinity_seed: server.affinity_seed,
            state: server.state(),
            load: server.load(),
            availability: server.availability(self.now),
            under_probe: server.counters.on_trial.load(Ordering::Relaxed),
            gap_us: server.counters.gap_us.load(Ordering::Relaxed),
        }
    }
}
