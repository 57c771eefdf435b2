//! Serves a request at an engine up to the head of its response and its first event. A silent
//! attempt stays open while another engine is sought, and the first response is passed on.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold_http::body;
use http::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::attempt_evidence::AttemptEvidence;
use crate::attempts::AttemptBudget;
use crate::connections::BusyConnection;
use crate::dialect::Dialect;
use crate::dispatch::{RequestProgress, buffered_outcome};
use crate::events::{EventReader, StreamRead};
use crate::fleet::BackendServer;
use crate::metrics::{AttemptOutcome, RelayMetrics};
use crate::peers::{Slot, SlotActivity, SlotError, SlotQuery};
use crate::relay::{FIRST_EVENT_TIMEOUT_MS, PLAIN_RETRY_AFTER_MS, Relay, upstream_request};
use crate::request::{NotRunReason, OpaqueRequest, RelayOutcome};
use crate::stream::StreamForwarder;
use crate::stream_attempt::StreamAttempt;
use crate::upstream::{self, AttemptFailure};

/// Attempts of one request that are open at the same time.
const MAX_OPEN_ATTEMPTS: usize = 2;
/// Delay before a refused slot request is repeated while an attempt is open.
const SLOT_RETRY_DELAY_MS: u64 = 250;

type Granted = Result<(Slot, Arc<BackendServer>), SlotError>;
type Opened = Result<OpenedResponse, AttemptFailure>;

enum OpenedResponse {
    Buffered(Response<bytes::Bytes>),
    Stream(http::response::Parts, Box<EventReader>, StreamRead),
}

/// An attempt whose response has not begun.
struct OpenAttempt<F> {
    slot: Slot,
    backend: Arc<BackendServer>,
    evidence: AttemptEvidence,
    started: Instant,
    is_silent: bool,
    response: Pin<Box<F>>,
}

impl<F> OpenAttempt<F> {
    fn fail(self, failure: AttemptFailure, metrics: &RelayMetrics) {
        let outcome = AttemptOutcome::Failed(failure);
        metrics.attempt_ended(&self.backend.id, outcome, self.started);
        self.slot.close(failure.outcome());
        self.evidence.failed(failure);
    }

    /// Closes the attempt because another one has responded first.
    fn supersede(self, metrics: &RelayMetrics) {
        if self.is_silent {
            self.fail(AttemptFailure::Silent, metrics);
            return;
        }
        metrics.attempt_ended(&self.backend.id, AttemptOutcome::Superseded, self.started);
    }
}

/// Open attempts, and the slot request for another one.
struct Attempts<S, F> {
    open: Vec<OpenAttempt<F>>,
    slot_request: Option<Pin<Box<S>>>,
    seek_at: Option<Instant>,
}

enum Step {
    Opened(usize, Opened),
    Granted(Granted),
    SeekSlot,
}

impl<S, F> Attempts<S, F>
where
    S: Future<Output = Granted>,
    F: Future<Output = Opened>,
{
    async fn next(&mut self) -> Step {
        let (open, slot_request) = (&mut self.open, &mut self.slot_request);
        let seek_at = self.seek_at.filter(|_| slot_request.is_none());
        let responses = std::future::poll_fn(|context| {
            for (index, attempt) in open.iter_mut().enumerate() {
                if let Poll::Ready(opened) = attempt.response.as_mut().poll(context) {
                    return Poll::Ready(Step::Opened(index, opened));
                }
            }
            let Some(request) = slot_request.as_mut() else {
                return Poll::Pending;
            };
            request.as_mut().poll(context).map(Step::Granted)
        });
        match seek_at {
            None => responses.await,
            Some(at) => tokio::time::timeout_at(at, responses)
                .await
                .unwrap_or(Step::SeekSlot),
        }
    }

    /// Plans a slot request for another attempt, if one may be started beside the open ones.
    fn plan_slot_request(&mut self, budget: &AttemptBudget, route: &Route, after_ms: u64) {
        let open = self.open.len();
        let may_start = open < MAX_OPEN_ATTEMPTS && budget.may_start(route, open as u32);
        let at = Instant::now() + Duration::from_millis(after_ms);
        self.seek_at = may_start.then_some(at);
    }

    /// Takes one attempt out of the open ones and closes the others.
    fn keep_only(
        &mut self,
        index: usize,
        budget: &mut AttemptBudget,
        metrics: &RelayMetrics,
    ) -> OpenAttempt<F> {
        self.slot_request = None;
        let kept = self.open.swap_remove(index);
        for attempt in self.open.drain(..) {
            budget.record_superseded(&attempt.backend.id);
            attempt.supersede(metrics);
        }
        kept
    }
}

impl<D: Dialect> Relay<D> {
    pub(crate) async fn serve_engine(
        self: &Arc<Self>,
        route: &Route,
        service: &TargetName,
        request: OpaqueRequest,
        progress: &mut RequestProgress,
    ) -> RelayOutcome {
        let deadline = progress.attempts.deadline;
        let first_slack_ms = || {
            let spent_ms = request.received.elapsed().as_millis() as u64;
            route.objective_ms.saturating_sub(spent_ms)
        };
        let request_slot = |avoid: Vec<BackendId>, slack_ms: u64| {
            Box::pin(self.request_slot(route, service, avoid, slack_ms, deadline))
        };
        let mut attempts = Attempts {
            open: Vec::new(),
            slot_request: Some(request_slot(Vec::new(), first_slack_ms())),
            seek_at: None,
        };
        let mut waiting_since = Instant::now();
        loop {
            match attempts.next().await {
                Step::SeekSlot => {
                    attempts.seek_at = None;
                    for attempt in &mut attempts.open {
                        attempt.is_silent = true;
                        attempt.evidence.set_silent(true);
                    }
                    if self.refusal_ms(&request).is_some() {
                        continue;
                    }
                    let open = attempts.open.iter().map(|open| open.backend.id.clone());
                    let mut avoid = progress.attempts.failed_backends.clone();
                    avoid.extend(open);
                    attempts.slot_request = Some(request_slot(avoid, u64::from(u32::MAX)));
                }
                Step::Granted(granted) => {
                    attempts.slot_request = None;
                    if attempts.open.is_empty() {
                        progress.waited_ms += waiting_since.elapsed().as_millis() as u64;
                    }
                    let (slot, backend) = match granted {
                        Ok(granted) => granted,
                        Err(_) if !attempts.open.is_empty() => {
                            let budget = &progress.attempts;
                            attempts.plan_slot_request(budget, route, SLOT_RETRY_DELAY_MS);
                            continue;
                        }
                        Err(error) => return RelayOutcome::Unserved(no_slot(progress, error)),
                    };
                    progress.served_by = Some(backend.id.clone());
                    let evidence =
                        self.begin_attempt(request.fingerprints(), &backend, request.after_event);
                    let server = Arc::clone(&backend);
                    let activity = slot.activity();
                    let response = self.open_response(route, &request, server, activity, deadline);
                    attempts.open.push(OpenAttempt {
                        slot,
                        backend,
                        evidence,
                        started: Instant::now(),
                        is_silent: false,
                        response: Box::pin(response),
                    });
                    attempts.plan_slot_request(&progress.attempts, route, FIRST_EVENT_TIMEOUT_MS);
                }
                Step::Opened(index, Ok(OpenedResponse::Stream(head, reader, first))) => {
                    let kept = attempts.keep_only(index, &mut progress.attempts, &self.metrics);
                    progress.served_by = Some(kept.backend.id.clone());
                    let OpenAttempt {
                        slot,
                        backend,
                        evidence,
                        started,
                        response,
                        ..
                    } = kept;
                    drop(response);
                    drop(attempts);
                    let (sender, stream) = body::streamed();
                    let forwarder = StreamForwarder {
                        relay: Arc::clone(self),
                        route: route.clone(),
                        service: service.clone(),
                        request: request.clone(),
                    };
                    let attempt = StreamAttempt::opened((slot, backend), started, reader, evidence);
                    let budget = progress.attempts.clone();
                    tokio::spawn(forwarder.run(sender, attempt, first, budget));
                    return self.relay_response(Response::from_parts(head, stream));
                }
                Step::Opened(index, Ok(OpenedResponse::Buffered(response))) => {
                    let has_failed = response.status().is_server_error();
                    if !has_failed {
                        let kept = attempts.keep_only(index, &mut progress.attempts, &self.metrics);
                        progress.served_by = Some(kept.backend.id.clone());
                        let outcome = buffered_outcome(false);
                        self.metrics
                            .attempt_ended(&kept.backend.id, outcome, kept.started);
                        let held_ms = kept.started.elapsed().as_millis() as u64;
                        kept.slot.close(SlotOutcome::Done { held_ms });
                        kept.evidence.completed();
                        return self.relay_response(response.map(body::whole));
                    }
                    let failed = attempts.open.remove(index);
                    let may_retry = self.record_failed_attempt(
                        route,
                        &request,
                        progress,
                        &failed.backend,
                        AttemptFailure::Failed,
                    );
                    let backend = failed.backend.id.clone();
                    failed.fail(AttemptFailure::Failed, &self.metrics);
                    if !attempts.open.is_empty() {
                        attempts.plan_slot_request(&progress.attempts, route, 0);
                        continue;
                    }
                    if !may_retry {
                        progress.served_by = Some(backend);
                        return self.relay_response(response.map(body::whole));
                    }
                    waiting_since = Instant::now();
                    let avoid = progress.attempts.failed_backends.clone();
                    attempts.slot_request = Some(request_slot(avoid, first_slack_ms()));
                }
                Step::Opened(index, Err(failure)) => {
                    let failed = attempts.open.remove(index);
                    let may_retry = self.record_failed_attempt(
                        route,
                        &request,
                        progress,
                        &failed.backend,
                        failure,
                    );
                    failed.fail(failure, &self.metrics);
                    if !attempts.open.is_empty() {
                        attempts.plan_slot_request(&progress.attempts, route, 0);
                        continue;
                    }
                    progress.served_by = None;
                    if !may_retry {
                        let reason = NotRunReason::NotTaken;
                        return RelayOutcome::Unserved(
                            progress.unserved(reason, PLAIN_RETRY_AFTER_MS),
                        );
                    }
                    waiting_since = Instant::now();
                    let avoid = progress.attempts.failed_backends.clone();
                    attempts.slot_request = Some(request_slot(avoid, first_slack_ms()));
                }
            }
        }
    }

    async fn request_slot(
        &self,
        route: &Route,
        service: &TargetName,
        avoid: Vec<BackendId>,
        slack_ms: u64,
        deadline: Instant,
    ) -> Granted {
        let query = SlotQuery {
            pool: service,
            urgency: Urgency::Online {
                priority: route.priority,
            },
            slack_ms,
            avoid: &avoid,
            deadline,
        };
        self.acquire_slot(&query).await
    }

    async fn open_response(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        backend: Arc<BackendServer>,
        activity: SlotActivity,
        deadline: Instant,
    ) -> Opened {
        let to_send = upstream_request(request, route, request.after_event);
        let sent = self.send_to(&backend, &to_send, deadline, deadline).await?;
        let (response, connection) = sent;
        activity.record();
        if !route.kind.is_stream() || !response.status().is_success() {
            let reading =
                upstream::read_buffered(response, connection, deadline, &self.read_budget);
            return Ok(OpenedResponse::Buffered(reading.await?));
        }
        first_event(response, connection, request.after_event, deadline).await
    }
}

async fn first_event(
    response: Response<Incoming>,
    connection: BusyConnection,
    after: Option<u64>,
    deadline: Instant,
) -> Opened {
    let (head, body) = response.into_parts();
    let mut reader = EventReader::new(body, connection, after);
    match reader.read_until(deadline).await {
        StreamRead::Silent => Err(AttemptFailure::Silent),
        StreamRead::Closed => Err(AttemptFailure::Closed),
        StreamRead::Broken => Err(AttemptFailure::Broken),
        first => Ok(OpenedResponse::Stream(head, Box::new(reader), first)),
    }
}

fn no_slot(progress: &RequestProgress, error: SlotError) -> crate::request::Unserved {
    match error {
        SlotError::Refused { retry_after_ms } => {
            progress.unserved(NotRunReason::NoSlot, retry_after_ms)
        }
        SlotError::TimedOut => progress.unserved(NotRunReason::Waited, PLAIN_RETRY_AFTER_MS),
    }
}
