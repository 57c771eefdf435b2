//! Routes one request to an engine, and to another one if a retry is allowed.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::crashes::CrashStatus;
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::quarantine::QuarantineStatus;
use foxtailhold::refusal::{RefusalReason, Result};
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::routing::{BoundedAffinity, LeastLoaded, RoutePolicy, RouteQuery};
use foxtailhold::stall;
use foxtailhold::suspect::{ProbeNegotiation, SuspectAction};
use foxtailhold_engine::{EngineAnswer, EngineError};
use foxtailhold_platform::Platform;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::backends::{BackendState, InFlightGuard, RoutingCandidates};
use crate::crashes::{self, ProbeGuard};
pub use crate::gateway::outgoing::{
    AttemptHistory, BACKEND_RETRY_AFTER_MS, OutgoingRequest, OwnedUnder,
};
use crate::gateway::part_check::{admit_parts, check_parts};
use crate::shared::Shared;

/// Attempts that may have run the request, for one request.
pub const MAX_ATTEMPTS: usize = 3;
/// All attempts for one request, including those that a backend server refused before running them.
pub const MAX_ATTEMPTS_NOT_RUN: usize = 8;
/// Time limit for an answer if the caller gives no deadline.
pub const DEFAULT_WAIT_MS: u64 = 300_000;
/// Longest wait for a probe of a request that was in flight at a crash.
pub const PROBE_WAIT_MS: u64 = 15_000;
/// Bytes at the start of the body that are hashed for prefix affinity.
const PREFIX_BYTES: usize = 512;
/// Backend servers offered to the coordinator for a probe.
const MAX_PROBE_BACKENDS: usize = 8;
/// Backoff before a probe is requested again after the probe coordinator did not answer.
const COORDINATOR_RETRY_MS: u64 = 100;

/// An answer that has begun, with its attempt still counted as in flight.
#[derive(Debug)]
pub struct StartedAnswer<P: Platform> {
    /// Backend server that answers.
    pub server: Arc<BackendState>,
    /// Counts the attempt as in flight until dropped.
    pub in_flight: InFlightGuard,
    /// The probe that this attempt is, for a stream of a suspect request.
    pub probe: Option<ProbeGuard<P>>,
    /// Full response or stream.
    pub answer: EngineAnswer,
}

/// Routes a request to a backend server that is not in `tried`; `None` if none is left.
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
    let candidates = RoutingCandidates { servers, now };
    let query = RouteQuery {
        availability_zone: &shared.settings.availability_zone,
        prefix_hash: xxh3_64(&body[..body.len().min(PREFIX_BYTES)]),
        tried,
        draw: rand::random(),
    };
    let index = match kind {
        BackendKind::Engine => BoundedAffinity.choose(&query, &candidates),
        BackendKind::Service => LeastLoaded.choose(&query, &candidates),
    };
    let server = &servers[index?];
    server.note_sent_after_failure(now);
    Some(server.clone())
}

/// Time until the caller's deadline, or [`DEFAULT_WAIT_MS`] without one. Refuses if the deadline
/// has passed.
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
            Err(attempts.refusal_for(reason, BACKEND_RETRY_AFTER_MS))
        }
        left_ms => Ok(left_ms),
    }
}

/// Time limit for the full response of a backend server, or for the first event of a stream.
pub fn answer_timeout_ms(server: &BackendState, outgoing: &OutgoingRequest) -> u64 {
    let (load, latency) = (server.load(), server.latency());
    let bytes = outgoing.body.len() as u64;
    match outgoing.streamed {
        true => stall::first_event_bound_ms(&load, latency, bytes),
        false => stall::full_response_bound_ms(&load, latency, bytes, outgoing.max_tokens),
    }
}

/// Whether another attempt could go to a backend server now, besides those that are tried.
pub fn has_untried<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> bool {
    let exhausted = attempts.run_attempts >= MAX_ATTEMPTS;
    outgoing.retry_allowed && !exhausted && !probe_servers(shared, outgoing, attempts).is_empty()
}

/// Where an attempt goes.
#[derive(Debug)]
pub struct Route<P: Platform> {
    /// Backend server that gets the attempt.
    pub server: Arc<BackendState>,
    /// The probe that the attempt is, for a suspect request.
    pub probe: Option<ProbeGuard<P>>,
    /// Whether the attempt is a probe of suspected parts.
    pub is_part_probe: bool,
}

/// Backend servers that the next attempt may not use: those that are tried, and those that run
/// another version than the one that began the output.
fn excluded<'a, P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &'a AttemptHistory,
) -> Cow<'a, [BackendId]> {
    let Some(version) = &attempts.version else {
        return Cow::Borrowed(&attempts.tried);
    };
    let mut excluded = attempts.tried.clone();
    let backends = shared.backends.load();
    for server in backends.serving(BackendKind::Engine, &outgoing.model) {
        if server.backend.software_version != *version {
            excluded.push(server.backend.id.clone());
        }
    }
    Cow::Owned(excluded)
}

fn route_normally<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Result<Route<P>> {
    let model = &outgoing.model;
    let excluded = excluded(shared, outgoing, attempts);
    let chosen = choose(
        shared,
        BackendKind::Engine,
        model,
        &outgoing.body,
        &excluded,
    );
    let server = chosen.ok_or_else(|| attempts.refusal(model))?;
    Ok(Route {
        server,
        probe: None,
        is_part_probe: false,
    })
}

/// Backend servers that may run a probe or take over from a silent one, the least loaded first.
fn probe_servers<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Vec<Arc<BackendState>> {
    let excluded = excluded(shared, outgoing, attempts);
    let backends = shared.backends.load();
    let now = shared.clock.mono();
    let mut servers = Vec::new();
    for server in backends.serving(BackendKind::Engine, &outgoing.model) {
        let excluded = excluded.contains(&server.backend.id);
        if excluded || server.state() != FleetState::Live || server.is_ejected(now) {
            continue;
        }
        servers.push(server.clone());
    }
    servers.sort_by_key(|server| server.load().estimate());
    servers.truncate(MAX_PROBE_BACKENDS);
    servers
}

async fn pause(after_ms: u64) {
    let jitter_ms = rand::rng().random_range(0..=after_ms);
    tokio::time::sleep(Duration::from_millis(after_ms + jitter_ms)).await;
}

/// Routes an attempt. A suspect request first waits for a probe, and a convicted one is refused, as
/// is one with parts that crash backend servers.
pub async fn route<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Result<Route<P>> {
    let is_part_probe = admit_parts(shared, outgoing, attempts).await?;
    let route = route_request(shared, outgoing, attempts).await?;
    if !is_part_probe && outgoing.part_status(shared).0 != CrashStatus::Allowed {
        return Err(attempts.quarantined(BACKEND_RETRY_AFTER_MS));
    }
    check_parts(shared, outgoing, attempts)?;
    Ok(Route {
        is_part_probe,
        ..route
    })
}

/// Routes an attempt by the status of its fingerprint.
async fn route_request<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Result<Route<P>> {
    let fingerprint = outgoing.fingerprint;
    let started_at = shared.clock.mono();
    let mut negotiation = ProbeNegotiation::default();
    loop {
        time_left_ms(shared, outgoing, attempts)?;
        check_parts(shared, outgoing, attempts)?;
        match shared.crash_status(fingerprint) {
            QuarantineStatus::Clear => return route_normally(shared, outgoing, attempts),
            QuarantineStatus::Convicted { left_ms } => return Err(attempts.quarantined(left_ms)),
            QuarantineStatus::Suspect => {}
        }
        if shared.clock.mono().since_ms(started_at) >= PROBE_WAIT_MS {
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
            pause(COORDINATOR_RETRY_MS).await;
            continue;
        };
        match negotiation.handle_response(answer, shared.clock.mono()) {
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
                return Ok(Route {
                    server,
                    probe,
                    is_part_probe: false,
                });
            }
            SuspectAction::Refuse { left_ms } => return Err(attempts.quarantined(left_ms)),
            SuspectAction::Send => return route_normally(shared, outgoing, attempts),
            SuspectAction::Retry { after_ms } => pause(after_ms).await,
        }
    }
}

/// Whether another attempt is allowed; a retry is taken from the retry budget.
pub fn may_attempt<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> bool {
    if attempts.run_attempts >= MAX_ATTEMPTS || attempts.tried.len() >= MAX_ATTEMPTS_NOT_RUN {
        return false;
    }
    if attempts.may_have_run && !outgoing.retry_allowed {
        return false;
    }
    if attempts.last_error.is_none() {
        shared.retries.record_first_attempt();
        return true;
    }
    if !shared.retries.try_retry(shared.clock.mono()) {
        shared.metrics.retries_refused.inc();
        return false;
    }
    shared.metrics.retries.inc();
    true
}

/// Checks whether a failure was a crash, and ends the attempt's probe with that result.
pub async fn record_failed_attempt<P: Platform>(
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
