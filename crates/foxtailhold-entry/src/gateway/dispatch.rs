//! Sends one request to an engine, and to another one where the first did not run it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::{BackendId, RequestId, TargetName};
use foxtailhold::quarantine::{Fingerprint, ProbeOutcome, QuarantineStatus};
use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason, Result};
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::routing::{BoundedAffinity, LeastLoaded, RoutePolicy, RouteQuery};
use foxtailhold::stall;
use foxtailhold::suspect::{ProbeNegotiation, SuspectAction};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_engine::{EngineAnswer, EngineError, EngineRequest, Resume};
use foxtailhold_platform::Platform;
use rand::Rng;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::backends::{BackendState, InFlightGuard, Serving};
use crate::crashes::{self, ProbeGuard};
use crate::online_load;
use crate::shared::Shared;

/// Backend servers that may have run it, for one request.
pub const MAX_TRIES: usize = 3;
/// Backend servers tried in all, those that refused it before they ran it included.
pub const MAX_TRIES_NOT_RUN: usize = 8;
/// Wait for an answer where the caller gives no deadline.
pub const DEFAULT_WAIT_MS: u64 = 300_000;
/// When to come back after no backend server could serve.
pub const BACKEND_RETRY_AFTER_MS: u64 = 1_000;
/// Longest wait for a trial of a request that was in flight at a crash.
pub const TRIAL_WAIT_MS: u64 = 15_000;
/// Bytes at the start of the body that name the prefix.
const PREFIX_BYTES: usize = 512;
/// Backend servers offered for a trial.
const TRIAL_BACKENDS: usize = 8;
/// Pause before the home of trials is asked again after it did not answer.
const HOME_PAUSE_MS: u64 = 100;

/// A request as it is sent to engines.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Identifier.
    pub id: RequestId,
    /// Path at the engine.
    pub path: &'static str,
    /// The model.
    pub model: TargetName,
    /// Body.
    pub body: Bytes,
    /// What tells it from others when backend servers crash.
    pub fingerprint: Fingerprint,
    /// Whether a stream is asked for.
    pub streamed: bool,
    /// Most tokens to generate, where the body says so.
    pub max_tokens: Option<u64>,
    /// When the caller gives up, on this process's clock, with the deadline it gave.
    pub deadline: Option<(MonoMs, u64)>,
    /// Whether it may be sent to a backend server after another one may have run it.
    pub retry_allowed: bool,
    /// The epoch of this instance's lease under which alone it may be sent, where that is bounded.
    pub lease_epoch: Option<u64>,
}

impl OutgoingRequest {
    /// Until when it may be sent, where that is bounded.
    pub fn not_after<P: Platform>(&self, shared: &Shared<P>) -> Option<Instant> {
        self.lease_epoch.map(|epoch| shared.acts_until(epoch))
    }
}

/// An answer that has begun, with the place it takes at its backend server.
#[derive(Debug)]
pub struct StartedAnswer<P: Platform> {
    /// The backend server.
    pub server: Arc<BackendState>,
    /// Frees the place when dropped.
    pub in_flight: InFlightGuard,
    /// The trial it is, for a stream of a suspect.
    pub probe: Option<ProbeGuard<P>>,
    /// The answer.
    pub answer: EngineAnswer,
}

/// What is known after some tries.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Backend servers tried.
    pub tried: Vec<BackendId>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
    runs: usize,
    last_error: Option<EngineError>,
}

impl AttemptHistory {
    /// Notes a failure at a backend server.
    pub fn record_failure(&mut self, server: &BackendState, error: EngineError, now: MonoMs) {
        self.tried.push(server.backend.id.clone());
        if !error.is_not_run() {
            self.may_have_run = true;
            self.runs += 1;
        }
        match error {
            EngineError::Full => {}
            EngineError::Leaving => server.refused_as_leaving(),
            _ => server.record_failure(now),
        }
        log::warn!("backend server {} failed: {error}", server.backend.id);
        self.last_error = Some(error);
    }

    /// After progress only the last backend server counts as tried.
    pub fn progressed(&mut self) {
        let last = self.tried.pop();
        self.tried.clear();
        self.tried.extend(last);
        self.runs = 1;
    }

    fn ran(&self) -> ExecutionStatus {
        if self.may_have_run {
            return ExecutionStatus::MayHaveRun;
        }
        ExecutionStatus::NotRun
    }

    fn refused(&self, reason: RefusalReason, after_ms: u64) -> Refusal {
        Refusal::not_run(reason)
            .with_ran(self.ran())
            .retry_after_ms(after_ms)
    }

    /// The refusal after the last try.
    pub fn refusal(&self, target: &TargetName) -> Refusal {
        let target = target.clone();
        let reason = match &self.last_error {
            None => RefusalReason::NoBackend { target },
            Some(EngineError::Full) => RefusalReason::Overloaded { target },
            Some(error) => RefusalReason::BackendFailed {
                target,
                detail: error.to_string(),
            },
        };
        self.refused(reason, BACKEND_RETRY_AFTER_MS)
    }

    /// The refusal of a convicted request.
    pub fn quarantined(&self, left_ms: u64) -> Refusal {
        self.refused(RefusalReason::Quarantined, left_ms.max(1))
    }
}

/// Chooses a backend server that was not tried.
pub fn choose<P: Platform>(
    shared: &Shared<P>,
    kind: BackendKind,
    target: &TargetName,
    body: &[u8],
    tried: &[BackendId],
) -> Option<Arc<BackendState>> {
    let backends = shared.backends.load();
    let now = shared.clock.mono();
    let servers = backends.serving(kind, target);
    let serving = Serving { servers, now };
    let query = RouteQuery {
        availability_zone: &shared.settings.availability_zone,
        prefix_hash: xxh3_64(&body[..body.len().min(PREFIX_BYTES)]),
        tried,
        draw: rand::random(),
    };
    let index = match kind {
        BackendKind::Engine => BoundedAffinity.choose(&query, &serving),
        BackendKind::Service => LeastLoaded.choose(&query, &serving),
    };
    let server = &servers[index?];
    server.note_sent_after_failure(now);
    Some(server.clone())
}

/// Time left to the caller's deadline; a refusal at once where none is left.
pub fn time_left_ms<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Result<u64> {
    let Some((deadline, deadline_ms)) = outgoing.deadline else {
        return Ok(DEFAULT_WAIT_MS);
    };
    match deadline.since_ms(shared.clock.mono()) {
        0 => {
            let reason = RefusalReason::DeadlinePassed { deadline_ms };
            Err(attempts.refused(reason, BACKEND_RETRY_AFTER_MS))
        }
        left_ms => Ok(left_ms),
    }
}

/// How long the answer of a backend server may take to come, or to begin for a stream.
pub fn answer_timeout_ms(server: &BackendState, outgoing: &OutgoingRequest) -> u64 {
    let (load, pace) = (server.load(), server.latency());
    let bytes = outgoing.body.len() as u64;
    match outgoing.streamed {
        true => stall::first_event_bound_ms(&load, pace, bytes),
        false => stall::full_response_bound_ms(&load, pace, bytes, outgoing.max_tokens),
    }
}

struct Route<P: Platform> {
    server: Arc<BackendState>,
    probe: Option<ProbeGuard<P>>,
}

fn plain_route<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Result<Route<P>> {
    let (model, tried) = (&outgoing.model, &attempts.tried);
    let chosen = choose(shared, BackendKind::Engine, model, &outgoing.body, tried);
    let server = chosen.ok_or_else(|| attempts.refusal(model))?;
    Ok(Route {
        server,
        probe: None,
    })
}

/// Backend servers for a trial, the least loaded first.
fn probe_servers<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Vec<Arc<BackendState>> {
    let backends = shared.backends.load();
    let now = shared.clock.mono();
    let mut servers = Vec::new();
    for server in backends.serving(BackendKind::Engine, &outgoing.model) {
        let tried = attempts.tried.contains(&server.backend.id);
        if tried || server.state() != FleetState::Live || server.is_ejected(now) {
            continue;
        }
        servers.push(server.clone());
    }
    servers.sort_by_key(|server| server.load().estimate());
    servers.truncate(TRIAL_BACKENDS);
    servers
}

async fn pause(after_ms: u64) {
    let jitter_ms = rand::rng().random_range(0..=after_ms);
    tokio::time::sleep(Duration::from_millis(after_ms + jitter_ms)).await;
}

/// Chooses a backend server; a suspect waits for its trial, a convicted request is refused.
async fn route<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Result<Route<P>> {
    let fingerprint = outgoing.fingerprint;
    let begun = shared.clock.mono();
    let mut asking = ProbeNegotiation::default();
    loop {
        time_left_ms(shared, outgoing, attempts)?;
        match shared.crash_status(fingerprint) {
            QuarantineStatus::Clear => return plain_route(shared, outgoing, attempts),
            QuarantineStatus::Convicted { left_ms } => return Err(attempts.quarantined(left_ms)),
            QuarantineStatus::Suspect => {}
        }
        if shared.clock.mono().since_ms(begun) >= TRIAL_WAIT_MS {
            return Err(attempts.refusal(&outgoing.model));
        }
        let servers = probe_servers(shared, outgoing, attempts);
        if servers.is_empty() {
            return Err(attempts.refusal(&outgoing.model));
        }
        let ids = servers
            .iter()
            .map(|server| server.backend.id.clone())
            .collect();
        let Some(answer) = crashes::request_probe(shared, fingerprint, ids).await else {
            pause(HOME_PAUSE_MS).await;
            continue;
        };
        match asking.answered(answer, shared.clock.mono()) {
            SuspectAction::Probe {
                backend,
                strict,
                quiet_ms,
            } => {
                let server = servers.iter().find(|server| server.backend.id == backend);
                let Some(server) = server else {
                    continue;
                };
                let probe = Some(ProbeGuard::new(shared, fingerprint, server, strict));
                tokio::time::sleep(Duration::from_millis(quiet_ms)).await;
                let server = server.clone();
                return Ok(Route { server, probe });
            }
            SuspectAction::Refuse { left_ms } => return Err(attempts.quarantined(left_ms)),
            SuspectAction::Send => return plain_route(shared, outgoing, attempts),
            SuspectAction::Retry { after_ms } => pause(after_ms).await,
        }
    }
}

/// Whether another try is allowed; takes it out of the retry budget.
fn may_try<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> bool {
    if attempts.runs >= MAX_TRIES || attempts.tried.len() >= MAX_TRIES_NOT_RUN {
        return false;
    }
    if attempts.may_have_run && !outgoing.retry_allowed {
        return false;
    }
    if attempts.last_error.is_none() {
        shared.retries.first_try();
        return true;
    }
    if !shared.retries.retry(shared.clock.mono()) {
        shared.metrics.retries_refused.inc();
        return false;
    }
    shared.metrics.retries.inc();
    true
}

async fn send<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    resume: Option<Resume<'_>>,
    server: &BackendState,
    timeout_ms: u64,
) -> std::result::Result<EngineAnswer, EngineError> {
    let request = EngineRequest {
        id: &outgoing.id,
        path: outgoing.path,
        body: &outgoing.body,
        streamed: outgoing.streamed,
        resume,
        timeout_ms,
        not_after: outgoing.not_after(shared),
    };
    let answer = shared
        .engines
        .send(server.backend.address, &request)
        .await?;
    match &answer {
        EngineAnswer::Whole(whole) if resume.is_some() => {
            let status = whole.status.as_u16();
            Err(EngineError::Failed { status })
        }
        _ => Ok(answer),
    }
}

/// Sends the request until an answer begins, no try is left, or repeating it is not allowed.
pub async fn open<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    resume: Option<Resume<'_>>,
    attempts: &mut AttemptHistory,
) -> Result<StartedAnswer<P>> {
    while may_try(shared, outgoing, attempts) {
        let Route { server, probe } = route(shared, outgoing, attempts).await?;
        let left_ms = time_left_ms(shared, outgoing, attempts)?;
        let timeout_ms = left_ms.min(answer_timeout_ms(&server, outgoing));
        let in_flight = server.start_tracked_request(Some(outgoing.fingerprint));
        online_load::sent(shared, &server);
        shared.timeline.note(TimelineEvent::Sent {
            request: outgoing.id.clone(),
            backend: server.backend.id.clone(),
        });
        let begun = Instant::now();
        let error = match send(shared, outgoing, resume, &server, timeout_ms).await {
            Ok(answer) => {
                let probe = answered(&server, &answer, probe, begun);
                return Ok(StartedAnswer {
                    server,
                    in_flight,
                    probe,
                    answer,
                });
            }
            Err(error) => error,
        };
        failed(shared, &server, &in_flight, probe, &error).await;
        attempts.record_failure(&server, error, shared.clock.mono());
    }
    Err(attempts.refusal(&outgoing.model))
}

/// A whole answer ends its trial; a stream goes on with it.
fn answered<P: Platform>(
    server: &BackendState,
    answer: &EngineAnswer,
    probe: Option<ProbeGuard<P>>,
    begun: Instant,
) -> Option<ProbeGuard<P>> {
    if matches!(answer, EngineAnswer::Stream(_)) {
        return probe;
    }
    server.record_success();
    server.record_service_time(begun.elapsed());
    if let Some(probe) = probe {
        probe.close(ProbeOutcome::Survived);
    }
    None
}

/// Finds out whether a failure was a crash and ends the trial, if it was one.
pub async fn failed<P: Platform>(
    shared: &Shared<P>,
    server: &BackendState,
    in_flight: &InFlightGuard,
    probe: Option<ProbeGuard<P>>,
    error: &EngineError,
) {
    let end = crashes::report_if_crashed(shared, server, in_flight, error).await;
    if let Some(probe) = probe {
        probe.close(end);
    }
}
