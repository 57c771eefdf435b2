//! Sends one request to an engine, and to another one where the first did not run it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::{BackendId, RequestId, TargetName};
use foxtailhold::quarantine::{Fingerprint, ProbeOutcome, QuarantineStatus};
use foxtailhold::refusal::{Ran, Refusal, RefusalReason, Result};
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::routing::{BoundedAffinity, LeastLoaded, RoutePolicy, RouteQuery};
use foxtailhold::stall;
use foxtailhold::suspect::{ProbeNegotiation, SuspectAction};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::Event;
use foxtailhold_engine::{EngineAnswer, EngineError, EngineRequest, Resume};
use foxtailhold_platform::Platform;
use rand::Rng;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::backends::{Cell, InFlight, Serving};
use crate::crashes::{self, TrialGuard};
use crate::online;
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
pub struct Outgoing {
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
    pub repeatable: bool,
    /// The epoch of this instance's lease under which alone it may be sent, where that is bounded.
    pub lease_epoch: Option<u64>,
}

impl Outgoing {
    /// Until when it may be sent, where that is bounded.
    pub fn not_after<P: Platform>(&self, shared: &Shared<P>) -> Option<Instant> {
        self.lease_epoch.map(|epoch| shared.acts_until(epoch))
    }
}

/// An answer that has begun, with the place it takes at its backend server.
#[derive(Debug)]
pub struct Opened<P: Platform> {
    /// The backend server.
    pub cell: Arc<Cell>,
    /// Frees the place when dropped.
    pub in_flight: InFlight,
    /// The trial it is, for a stream of a suspect.
    pub trial: Option<TrialGuard<P>>,
    /// The answer.
    pub answer: EngineAnswer,
}

/// What is known after some tries.
#[derive(Debug, Clone, Default)]
pub struct Tries {
    /// Backend servers tried.
    pub tried: Vec<BackendId>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
    runs: usize,
    last_error: Option<EngineError>,
}

impl Tries {
    /// Notes a failure at a backend server.
    pub fn failed(&mut self, cell: &Cell, error: EngineError, now: MonoMs) {
        self.tried.push(cell.backend.id.clone());
        if !error.is_not_run() {
            self.may_have_run = true;
            self.runs += 1;
        }
        match error {
            EngineError::Full => {}
            EngineError::Leaving => cell.refused_as_leaving(),
            _ => cell.failed(now),
        }
        log::warn!("backend server {} failed: {error}", cell.backend.id);
        self.last_error = Some(error);
    }

    /// After progress only the last backend server counts as tried.
    pub fn progressed(&mut self) {
        let last = self.tried.pop();
        self.tried.clear();
        self.tried.extend(last);
        self.runs = 1;
    }

    fn ran(&self) -> Ran {
        if self.may_have_run {
            return Ran::MayHaveRun;
        }
        Ran::NotRun
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
) -> Option<Arc<Cell>> {
    let backends = shared.backends.load();
    let now = shared.clock.mono();
    let cells = backends.serving(kind, target);
    let serving = Serving { cells, now };
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
    let cell = &cells[index?];
    cell.chosen(now);
    Some(cell.clone())
}

/// Time left to the caller's deadline; a refusal at once where none is left.
pub fn time_left_ms<P: Platform>(
    shared: &Shared<P>,
    outgoing: &Outgoing,
    tries: &Tries,
) -> Result<u64> {
    let Some((deadline, deadline_ms)) = outgoing.deadline else {
        return Ok(DEFAULT_WAIT_MS);
    };
    match deadline.since_ms(shared.clock.mono()) {
        0 => {
            let reason = RefusalReason::DeadlinePassed { deadline_ms };
            Err(tries.refused(reason, BACKEND_RETRY_AFTER_MS))
        }
        left_ms => Ok(left_ms),
    }
}

/// How long the answer of a backend server may take to come, or to begin for a stream.
pub fn bound_ms(cell: &Cell, outgoing: &Outgoing) -> u64 {
    let (load, pace) = (cell.load(), cell.pace());
    let bytes = outgoing.body.len() as u64;
    match outgoing.streamed {
        true => stall::first_event_bound_ms(&load, pace, bytes),
        false => stall::full_response_bound_ms(&load, pace, bytes, outgoing.max_tokens),
    }
}

struct Route<P: Platform> {
    cell: Arc<Cell>,
    trial: Option<TrialGuard<P>>,
}

fn plain_route<P: Platform>(
    shared: &Shared<P>,
    outgoing: &Outgoing,
    tries: &Tries,
) -> Result<Route<P>> {
    let (model, tried) = (&outgoing.model, &tries.tried);
    let chosen = choose(shared, BackendKind::Engine, model, &outgoing.body, tried);
    let cell = chosen.ok_or_else(|| tries.refusal(model))?;
    Ok(Route { cell, trial: None })
}

/// Backend servers for a trial, the least loaded first.
fn trial_cells<P: Platform>(
    shared: &Shared<P>,
    outgoing: &Outgoing,
    tries: &Tries,
) -> Vec<Arc<Cell>> {
    let backends = shared.backends.load();
    let now = shared.clock.mono();
    let mut cells = Vec::new();
    for cell in backends.serving(BackendKind::Engine, &outgoing.model) {
        let tried = tries.tried.contains(&cell.backend.id);
        if tried || cell.state() != FleetState::Live || cell.set_aside(now) {
            continue;
        }
        cells.push(cell.clone());
    }
    cells.sort_by_key(|cell| cell.load().estimate());
    cells.truncate(TRIAL_BACKENDS);
    cells
}

async fn pause(after_ms: u64) {
    let jitter_ms = rand::rng().random_range(0..=after_ms);
    tokio::time::sleep(Duration::from_millis(after_ms + jitter_ms)).await;
}

/// Chooses a backend server; a suspect waits for its trial, a convicted request is refused.
async fn route<P: Platform>(
    shared: &Shared<P>,
    outgoing: &Outgoing,
    tries: &Tries,
) -> Result<Route<P>> {
    let fingerprint = outgoing.fingerprint;
    let begun = shared.clock.mono();
    let mut asking = ProbeNegotiation::default();
    loop {
        time_left_ms(shared, outgoing, tries)?;
        match shared.standing(fingerprint) {
            QuarantineStatus::Clear => return plain_route(shared, outgoing, tries),
            QuarantineStatus::Convicted { left_ms } => return Err(tries.quarantined(left_ms)),
            QuarantineStatus::Suspect => {}
        }
        if shared.clock.mono().since_ms(begun) >= TRIAL_WAIT_MS {
            return Err(tries.refusal(&outgoing.model));
        }
        let cells = trial_cells(shared, outgoing, tries);
        if cells.is_empty() {
            return Err(tries.refusal(&outgoing.model));
        }
        let ids = cells.iter().map(|cell| cell.backend.id.clone()).collect();
        let Some(answer) = crashes::ask(shared, fingerprint, ids).await else {
            pause(HOME_PAUSE_MS).await;
            continue;
        };
        match asking.answered(answer, shared.clock.mono()) {
            SuspectAction::Probe {
                backend,
                strict,
                quiet_ms,
            } => {
                let cell = cells.iter().find(|cell| cell.backend.id == backend);
                let Some(cell) = cell else {
                    continue;
                };
                let trial = Some(TrialGuard::new(shared, fingerprint, cell, strict));
                tokio::time::sleep(Duration::from_millis(quiet_ms)).await;
                let cell = cell.clone();
                return Ok(Route { cell, trial });
            }
            SuspectAction::Refuse { left_ms } => return Err(tries.quarantined(left_ms)),
            SuspectAction::Send => return plain_route(shared, outgoing, tries),
            SuspectAction::Retry { after_ms } => pause(after_ms).await,
        }
    }
}

/// Whether another try is allowed; takes it out of the retry budget.
fn may_try<P: Platform>(shared: &Shared<P>, outgoing: &Outgoing, tries: &Tries) -> bool {
    if tries.runs >= MAX_TRIES || tries.tried.len() >= MAX_TRIES_NOT_RUN {
        return false;
    }
    if tries.may_have_run && !outgoing.repeatable {
        return false;
    }
    if tries.last_error.is_none() {
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
    outgoing: &Outgoing,
    resume: Option<Resume<'_>>,
    cell: &Cell,
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
    let answer = shared.engines.send(cell.backend.address, &request).await?;
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
    outgoing: &Outgoing,
    resume: Option<Resume<'_>>,
    tries: &mut Tries,
) -> Result<Opened<P>> {
    while may_try(shared, outgoing, tries) {
        let Route { cell, trial } = route(shared, outgoing, tries).await?;
        let left_ms = time_left_ms(shared, outgoing, tries)?;
        let timeout_ms = left_ms.min(bound_ms(&cell, outgoing));
        let in_flight = cell.send_known(Some(outgoing.fingerprint));
        online::sent(shared, &cell);
        shared.timeline.note(Event::Sent {
            request: outgoing.id.clone(),
            backend: cell.backend.id.clone(),
        });
        let begun = Instant::now();
        let error = match send(shared, outgoing, resume, &cell, timeout_ms).await {
            Ok(answer) => {
                let trial = answered(&cell, &answer, trial, begun);
                return Ok(Opened {
                    cell,
                    in_flight,
                    trial,
                    answer,
                });
            }
            Err(error) => error,
        };
        failed(shared, &cell, &in_flight, trial, &error).await;
        tries.failed(&cell, error, shared.clock.mono());
    }
    Err(tries.refusal(&outgoing.model))
}

/// A whole answer ends its trial; a stream goes on with it.
fn answered<P: Platform>(
    cell: &Cell,
    answer: &EngineAnswer,
    trial: Option<TrialGuard<P>>,
    begun: Instant,
) -> Option<TrialGuard<P>> {
    if matches!(answer, EngineAnswer::Stream(_)) {
        return trial;
    }
    cell.succeeded();
    cell.note_service(begun.elapsed());
    if let Some(trial) = trial {
        trial.close(ProbeOutcome::Survived);
    }
    None
}

/// Finds out whether a failure was a crash and ends the trial, if it was one.
pub async fn failed<P: Platform>(
    shared: &Shared<P>,
    cell: &Cell,
    in_flight: &InFlight,
    trial: Option<TrialGuard<P>>,
    error: &EngineError,
) {
    let end = crashes::examine(shared, cell, in_flight, error).await;
    if let Some(trial) = trial {
        trial.close(end);
    }
}
