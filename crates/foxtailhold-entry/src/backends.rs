//! Backend servers as the request path sees them: a published table with the fleet list entry, load
//! report, breaker and in-flight counters of each one.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use foxtailhold::breaker::{Availability, Breaker};
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::part_crashes::LostRequest;
use foxtailhold::quarantine::{CrashId, Fingerprint, InFlightRequest};
use foxtailhold::replicas::{Backend, BackendKind, FleetState, LoadReport, ReplicaLoad};
use foxtailhold::routing::{Candidate, Candidates, affinity_seed};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::stall::{self, EngineLatency};
use foxtailhold::time::{MonoMs, WallMs};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::prompt::Prompt;

/// Requests sent up to this long before the time at which a load report was taken are still counted
/// on top of it, because the report may have been taken before the backend server received them.
const REPORT_MARGIN_MS: u64 = 20;

#[derive(Debug)]
struct SentRequest {
    number: u64,
    at: Instant,
    tracked: Option<TrackedRequest>,
}

/// A request that is reported if its backend server crashes.
#[derive(Debug, Clone)]
pub struct TrackedRequest {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Its prompt.
    pub prompt: Prompt,
    /// Whether it is a probe of parts that are suspected of crashing backend servers.
    pub is_part_probe: bool,
}

/// Requests in flight, each with its start time, and the circuit breaker. The lock is held for a
/// few instructions only.
#[derive(Debug, Default)]
struct InFlightRequests {
    sent: Vec<SentRequest>,
    next: u64,
    reported_until: Option<Instant>,
    breaker: Breaker,
}

impl InFlightRequests {
    fn since_report(&self) -> u32 {
        let Some(until) = self.reported_until else {
            return self.sent.len() as u32;
        };
        self.sent.iter().filter(|sent| sent.at > until).count() as u32
    }
}

/// Counters of one backend server. They are kept when its entry in the fleet list changes, as long
/// as its address stays the same.
#[derive(Debug, Default)]
pub struct Counters {
    in_flight_requests: Mutex<InFlightRequests>,
    in_flight: AtomicU32,
    sent_since_report: AtomicU32,
    has_failures: AtomicBool,
    ejected_until: AtomicU64,
    probing: AtomicBool,
    announced_leaving: AtomicBool,
    refused_leaving: AtomicBool,
    gap_us: AtomicU64,
    service_ms: AtomicU64,
    report: ArcSwapOption<(LoadReport, MonoMs)>,
}

impl Counters {
    fn publish_breaker(&self, breaker: &Breaker) {
        let until = breaker.blocked_until().0;
        self.ejected_until.store(until, Ordering::Relaxed);
        let has_failures = *breaker != Breaker::default();
        self.has_failures.store(has_failures, Ordering::Relaxed);
    }

    fn publish_in_flight(&self, in_flight_requests: &InFlightRequests) {
        let in_flight = in_flight_requests.sent.len() as u32;
        self.in_flight.store(in_flight, Ordering::Relaxed);
        let since_report = in_flight_requests.since_report();
        self.sent_since_report
            .store(since_report, Ordering::Relaxed);
    }
}

/// What this instance knows of one backend server.
#[derive(Debug, Clone)]
pub struct BackendState {
    /// Entry in the fleet list.
    pub backend: Backend,
    /// Counters, shared with older versions of the table.
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

    /// Estimated load: the last report plus the requests sent from here since then.
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

    /// Stores a load report. Requests sent after the report was taken are still counted on top of
    /// it.
    pub fn record_load_report(&self, report: LoadReport, now: MonoMs) {
        let back = Duration::from_millis(report.age_ms.saturating_add(REPORT_MARGIN_MS));
        let mut in_flight_requests = self.counters.in_flight_requests.lock();
        in_flight_requests.reported_until = Instant::now().checked_sub(back);
        self.counters.publish_in_flight(&in_flight_requests);
        self.counters.report.store(Some(Arc::new((report, now))));
    }

    /// State from the fleet list, or `Leaving` if its own report or a leaving notice
    /// ([`Self::set_announced_leaving`]) says so.
    pub fn state(&self) -> FleetState {
        if self.counters.announced_leaving.load(Ordering::Relaxed) || self.report_says_leaving() {
            return FleetState::Leaving;
        }
        self.backend.state
    }

    /// Whether this instance itself has observed since the last call that the backend server is
    /// leaving. Clears the observation of a refused request.
    pub fn take_leaving_observation(&self) -> bool {
        let refused = self.counters.refused_leaving.swap(false, Ordering::Relaxed);
        refused || self.report_says_leaving() || self.backend.state == FleetState::Leaving
    }

    /// Records that it refused a request because it is leaving.
    pub fn refused_as_leaving(&self) {
        self.counters.refused_leaving.store(true, Ordering::Relaxed);
        self.set_announced_leaving(true);
    }

    /// Sets whether an instance has announced by a leaving notice that it is leaving.
    pub fn set_announced_leaving(&self, is_leaving: bool) {
        self.counters
            .announced_leaving
            .store(is_leaving, Ordering::Relaxed);
    }

    fn report_says_leaving(&self) -> bool {
        let report = self.counters.report.load();
        report.as_deref().is_some_and(|(report, _)| report.leaving)
    }

    /// Whether it still runs as the process that crashed, by the start time in its load report.
    pub fn is_crashed_process(&self, crash: &CrashId) -> bool {
        let report = self.counters.report.load();
        let started = report
            .as_deref()
            .map_or(0, |(report, _)| report.started_unix_ms);
        self.backend.id == crash.backend && started == crash.started_unix_ms
    }

    /// Records a failed request; the breaker ejects the backend server, for longer with each
    /// failure.
    pub fn record_failure(&self, now: MonoMs) {
        let mut in_flight_requests = self.counters.in_flight_requests.lock();
        in_flight_requests.breaker.failed(now, rand::random());
        self.counters.publish_breaker(&in_flight_requests.breaker);
    }

    /// Records a served request, which closes the breaker.
    pub fn record_success(&self) {
        if !self.counters.has_failures.load(Ordering::Relaxed) {
            return;
        }
        let mut in_flight_requests = self.counters.in_flight_requests.lock();
        in_flight_requests.breaker.succeeded();
        self.counters.publish_breaker(&in_flight_requests.breaker);
    }

    /// Records that it was selected. After failures this request tests whether it has recovered,
    /// and others are held back until it ends or the test times out.
    pub fn note_sent_after_failure(&self, now: MonoMs) {
        if !self.counters.has_failures.load(Ordering::Relaxed) {
            return;
        }
        let mut in_flight_requests = self.counters.in_flight_requests.lock();
        in_flight_requests.breaker.sent(now);
        self.counters.publish_breaker(&in_flight_requests.breaker);
    }

    /// Whether the breaker lets requests through.
    pub fn availability(&self, now: MonoMs) -> Availability {
        if !self.counters.has_failures.load(Ordering::Relaxed) {
            return Availability::Available;
        }
        if self.counters.ejected_until.load(Ordering::Relaxed) > now.0 {
            return Availability::Ejected;
        }
        Availability::HalfOpen
    }

    /// Whether the breaker has ejected it.
    pub fn is_ejected(&self, now: MonoMs) -> bool {
        self.availability(now) == Availability::Ejected
    }

    /// Sets whether a probe of a suspect request runs there, so that other requests avoid it.
    pub fn set_probing(&self, probing: bool) {
        self.counters.probing.store(probing, Ordering::Relaxed);
    }

    /// Moving averages of the time between two tokens and of the time of a full response.
    pub fn latency(&self) -> EngineLatency {
        EngineLatency {
            gap_us: self.counters.gap_us.load(Ordering::Relaxed),
            service_ms: self.counters.service_ms.load(Ordering::Relaxed),
        }
    }

    /// Records the time between two events of a stream.
    pub fn record_token_gap(&self, gap: Duration) {
        let mean_us = self.counters.gap_us.load(Ordering::Relaxed);
        let moved = stall::moving_average(mean_us, gap.as_micros() as u64);
        self.counters.gap_us.store(moved, Ordering::Relaxed);
    }

    /// Records the time of a full response.
    pub fn record_service_time(&self, time: Duration) {
        let mean_ms = self.counters.service_ms.load(Ordering::Relaxed);
        let moved = stall::moving_average(mean_ms, time.as_millis() as u64);
        self.counters.service_ms.store(moved, Ordering::Relaxed);
    }

    /// Counts a request as in flight until the guard is dropped. It is not reported when the
    /// backend server crashes.
    pub fn start_request(&self) -> InFlightGuard {
        self.start_tracked_request(None)
    }

    /// Counts a request as in flight until the guard is dropped, and reports it if the backend
    /// server crashes meanwhile.
    pub fn start_tracked_request(&self, tracked: Option<TrackedRequest>) -> InFlightGuard {
        let at = Instant::now();
        let mut in_flight_requests = self.counters.in_flight_requests.lock();
        let number = in_flight_requests.next;
        in_flight_requests.next += 1;
        in_flight_requests.sent.push(SentRequest {
            number,
            at,
            tracked,
        });
        self.counters.publish_in_flight(&in_flight_requests);
        drop(in_flight_requests);
        let report = self.counters.report.load();
        InFlightGuard {
            counters: self.counters.clone(),
            number,
            at,
            version: self.backend.software_version.clone(),
            started_unix_ms: report
                .as_deref()
                .map_or(0, |(report, _)| report.started_unix_ms),
        }
    }

    /// Requests in flight from this instance whose fingerprints are known.
    pub fn tracked_requests(&self) -> Vec<InFlightRequest> {
        let mut in_flight_requests = Vec::new();
        for sent in &self.counters.in_flight_requests.lock().sent {
            let Some(tracked) = &sent.tracked else {
                continue;
            };
            in_flight_requests.push(InFlightRequest {
                fingerprint: tracked.fingerprint,
                age_ms: sent.at.elapsed().as_millis() as u64,
            });
        }
        in_flight_requests
    }

    /// Requests in flight from this instance whose prompts share parts with others, at `now`.
    pub fn lost_requests(&self, now: WallMs) -> BTreeSet<LostRequest> {
        let mut in_flight = Vec::new();
        for sent in &self.counters.in_flight_requests.lock().sent {
            let tracked = sent.tracked.clone();
            in_flight.extend(tracked.map(|tracked| (sent.at, tracked)));
        }
        let mut lost = BTreeSet::new();
        for (at, tracked) in in_flight {
            let parts = tracked.prompt.shared_parts();
            if parts.is_empty() {
                continue;
            }
            lost.insert(LostRequest {
                request: tracked.fingerprint,
                parts: parts.clone(),
                begun_unix_ms: now.0.saturating_sub(at.elapsed().as_millis() as u64),
                is_probe: tracked.is_part_probe,
            });
        }
        lost
    }
}

/// Counts one request as in flight at a backend server until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    counters: Arc<Counters>,
    number: u64,
    at: Instant,
    version: SoftwareVersion,
    started_unix_ms: u64,
}

impl InFlightGuard {
    /// When the request was sent, given the time `now`; rather too early than too late.
    pub fn begun(&self, now: WallMs) -> WallMs {
        let age_ms = self.at.elapsed().as_millis() as u64 + 1;
        WallMs(now.0.saturating_sub(age_ms))
    }

    /// Software version of the backend server that received the request.
    pub fn version(&self) -> &SoftwareVersion {
        &self.version
    }

    /// Start time of the process that received the request, in ms since the Unix epoch by that
    /// machine's clock; 0 if no load report had stated it.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight_requests = self.counters.in_flight_requests.lock();
        let index = in_flight_requests
            .sent
            .iter()
            .position(|s| s.number == self.number);
        if let Some(index) = index {
            in_flight_requests.sent.swap_remove(index);
        }
        self.counters.publish_in_flight(&in_flight_requests);
    }
}

/// All backend servers, indexed by the models and services that they serve.
#[derive(Debug, Default)]
pub struct BackendTable {
    /// Every backend server of the fleet list.
    pub servers: Vec<Arc<BackendState>>,
    engines: HashMap<TargetName, Vec<Arc<BackendState>>>,
    services: HashMap<TargetName, Vec<Arc<BackendState>>>,
}

impl BackendTable {
    /// Builds the table of a new fleet list. A backend server with the same id and address keeps
    /// its counters.
    pub fn with_fleet_list(&self, backends: &[Backend]) -> Self {
        let mut previous: HashMap<&BackendId, &BackendState> = HashMap::new();
        for server in &self.servers {
            previous.insert(&server.backend.id, server);
        }
        let mut table = BackendTable::default();
        for backend in backends {
            let same_id = previous.get(&backend.id);
            let same_server = same_id.filter(|server| server.backend.address == backend.address);
            let counters = same_server.map(|server| server.counters.clone());
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

    /// Backend servers of a model or service; empty if nothing serves it.
    pub fn serving(&self, kind: BackendKind, target: &TargetName) -> &[Arc<BackendState>] {
        let servers = self.by_target(kind).get(target);
        servers.map(Vec::as_slice).unwrap_or_default()
    }

    /// Sorted names of the models or services served by any backend server of the kind.
    pub fn targets(&self, kind: BackendKind) -> Vec<TargetName> {
        let mut names: Vec<TargetName> = self.by_target(kind).keys().cloned().collect();
        names.sort();
        names
    }
}

/// Routing candidates: the backend servers of one model or service at one time.
#[derive(Debug, Clone, Copy)]
pub struct RoutingCandidates<'a> {
    /// Backend servers of the target.
    pub servers: &'a [Arc<BackendState>],
    /// Time at which the breakers are evaluated.
    pub now: MonoMs,
}

impl Candidates for RoutingCandidates<'_> {
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
            under_probe: server.counters.probing.load(Ordering::Relaxed),
            gap_us: server.counters.gap_us.load(Ordering::Relaxed),
        }
    }
}
