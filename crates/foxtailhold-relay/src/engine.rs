//! Serves a request at an engine up to the head of its response and its first event. A silent
//! attempt stays open while another engine is sought, and the first response is passed on.

use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use foxtailhold::ids::BackendId;
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold_http::body;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::attempt_evidence::AttemptEvidence;
use crate::attempts::AttemptBudget;
use crate::connections::BusyConnection;
use crate::dialect::Dialect;
use crate::dispatch::{END_RETRY_AFTER_MS, RequestProgress, buffered_outcome};
use crate::events::{EventReader, StreamRead};
use crate::fleet::BackendServer;
use crate::metrics::{AttemptOutcome, RelayMetrics};
use crate::peers::{Slot, SlotActivity, SlotError, SlotQuery};
use crate::relay::{Admission, FIRST_EVENT_TIMEOUT_MS, Relay, upstream_request};
use crate::request::{
    EvidenceKeys, NotRunReason, OpaqueRequest, RelayOutcome, RequestStage, UnansweredRequest,
};
use crate::stream::StreamForwarder;
use crate::stream_attempt::StreamAttempt;
use crate::take_up::Destination;
use crate::upstream::{self, AttemptFailure, ResponseEnd};

/// Attempts of one request that are open at the same time.
const MAX_OPEN_ATTEMPTS: usize = 2;
/// Least and largest delay before a refused slot request is repeated; it is doubled each time.
const SLOT_RETRY_DELAY_MS: (u64, u64) = (100, 1_600);

/// Retry delay for callers of a request that no engine has taken: the next attempt waits for a slot at
/// others.
const NOT_TAKEN_RETRY_AFTER_MS: u64 = 0;

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
    /// When its backend server counts as silent; `None` if it does already.
    silent_at: Option<Instant>,
    response: Pin<Box<F>>,
}

impl<F> OpenAttempt<F> {
    /// Records that the backend server is silent once its time is up. Returns whether it is new.
    fn record_silence(&mut self, now: Instant) -> bool {
        if self.silent_at.is_none_or(|at| at > now) {
            return false;
        }
        let quiet_ms = self.slot.quiet_ms();
        if quiet_ms < FIRST_EVENT_TIMEOUT_MS {
            let left = Duration::from_millis(FIRST_EVENT_TIMEOUT_MS - quiet_ms);
            self.silent_at = Some(now + left);
            return false;
        }
        self.silent_at = None;
        self.evidence.set_silent(true);
        true
    }

    /// The cause of a failure. A backend server that has sent nothing for the usual time is silent, also
    /// if the time of the request is over.
    fn cause(&self, failure: AttemptFailure) -> AttemptFailure {
        let is_silent = self.silent_at.is_none() || self.slot.quiet_ms() >= FIRST_EVENT_TIMEOUT_MS;
        match failure {
            AttemptFailure::TimeOver if is_silent => AttemptFailure::Silent,
            failure => failure,
        }
    }

    fn fail(self, failure: AttemptFailure, metrics: &RelayMetrics) {
        let outcome = AttemptOutcome::Failed(failure);
        metrics.attempt_ended(&self.backend.id, outcome, self.started);
        self.slot.close(failure.outcome());
        self.evidence.failed(failure);
    }

    /// Closes the attempt because another one has responded first.
    fn supersede(self, metrics: &RelayMetrics) {
        if self.silent_at.is_none() {
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
    /// When a slot is requested for another attempt; `None` if only a silence is a reason.
    seek_at: Option<Instant>,
    /// Delay before the next slot request if that one is refused.
    retry_delay_ms: u64,
    /// Failure of a backend server itself, passed on if no other attempt responds.
    failure_response: Option<(BackendId, Response<bytes::Bytes>)>,
}

enum Step {
    Opened(usize, Opened),
    Granted(Granted),
    Timer,
}

impl<S, F> Attempts<S, F>
where
    S: Future<Output = Granted>,
    F: Future<Output = Opened>,
{
    async fn next(&mut self) -> Step {
        let (open, slot_request) = (&mut self.open, &mut self.slot_request);
        let silent_at = open.iter().filter_map(|attempt| attempt.silent_at);
        let seek_at = self.seek_at.filter(|_| slot_request.is_none());
        let timer = silent_at.chain(seek_at).min();
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
        match timer {
            None => responses.await,
            Some(at) => tokio::time::timeout_at(at, responses)
                .await
                .unwrap_or(Step::Timer),
        }
    }

    fn stage(&self) -> RequestStage {
        match self.open.is_empty() {
            true => RequestStage::Slot,
            false => RequestStage::Backend,
        }
    }

    /// Records which attempts are silent. Returns whether another one is to be sought.
    fn handle_timer(&mut self, budget: &AttemptBudget, route: &Route) -> bool {
        let now = Instant::now();
        let mut is_due = self.seek_at.is_some_and(|at| at <= now);
        if is_due {
            self.seek_at = None;
        }
        for attempt in &mut self.open {
            is_due |= attempt.record_silence(now);
        }
        let open = self.open.len();
        let may_start = open < MAX_OPEN_ATTEMPTS
            && self.open.iter().all(|attempt| attempt.silent_at.is_none())
            && (open == 0 || budget.may_start(route, open as u32));
        is_due && may_start && self.slot_request.is_none()
    }

    /// Plans to repeat a refused slot request.
    fn retry_later(&mut self) {
        let jitter_ms = rand::random::<u64>() % self.retry_delay_ms;
        let delay = Duration::from_millis(self.retry_delay_ms + jitter_ms);
        self.seek_at = Some(Instant::now() + delay);
        self.retry_delay_ms = (2 * self.retry_delay_ms).min(SLOT_RETRY_DELAY_MS.1);
    }

    /// Takes one attempt out of the open ones and closes the others.
    fn keep_only(
        &mut self,
        index: usize,
        progress: &mut RequestProgress,
        metrics: &RelayMetrics,
    ) -> OpenAttempt<F> {
        self.slot_request = None;
        let kept = self.open.swap_remove(index);
        for attempt in self.open.drain(..) {
            progress.attempts.record_superseded(&attempt.backend.id);
            attempt.supersede(metrics);
        }
        progress.served_by = Some(kept.backend.id.clone());
        kept
    }
}

impl<D: Dialect> Relay<D> {
    pub(crate) async fn serve_engine(
        self: &Arc<Self>,
        route: &Route,
        destination: &Destination,
        request: OpaqueRequest,
        keys: &EvidenceKeys,
        progress: &mut RequestProgress,
        unanswered: &mut UnansweredRequest,
    ) -> RelayOutcome {
        let service = &destination.service;
        let deadline = progress.attempts.deadline;
        let request_slot = |avoid: Vec<BackendId>, has_open: bool| {
            // While an attempt is open, its caller does not wait for the slot.
            let slack_ms = match has_open {
                true => u64::from(u32::MAX),
                false => self.wait_left_ms(route, &request, deadline),
            };
            Box::pin(self.request_slot(route, destination, avoid, slack_ms, deadline))
        };
        let mut attempts = Attempts {
            open: Vec::new(),
            slot_request: Some(request_slot(Vec::new(), false)),
            seek_at: None,
            retry_delay_ms: SLOT_RETRY_DELAY_MS.0,
            failure_response: None,
        };
        let mut waiting_since = Instant::now();
        let output_tokens = self.dialect.output_tokens(&request.headers);
        let mut too_late = pin!(self.planned_end.too_late(route, output_tokens, deadline));
        loop {
            unanswered.enter(attempts.stage());
            let has_begun = !attempts.open.is_empty() || progress.attempts.maybe_executed > 0;
            let step = tokio::select! {
                biased;
                () = &mut too_late, if !has_begun => {
                    let reason = NotRunReason::Ending;
                    let unserved = progress.unserved(reason, END_RETRY_AFTER_MS);
                    return RelayOutcome::Unserved(unserved);
                }
                step = attempts.next() => step,
            };
            let (index, opened) = match step {
                Step::Timer => {
                    let is_due = attempts.handle_timer(&progress.attempts, route);
                    if is_due {
                        progress.admission = self.admit_to_slot(keys, service);
                    }
                    if is_due && !progress.admission.is_refused() {
                        let open = attempts.open.iter().map(|open| open.backend.id.clone());
                        let mut avoid = progress.attempts.failed_backends.clone();
                        avoid.extend(open);
                        let has_open = !attempts.open.is_empty();
                        attempts.slot_request = Some(request_slot(avoid, has_open));
                    } else if attempts.open.is_empty() && attempts.slot_request.is_none() {
                        return self.without_response(
                            attempts.failure_response,
                            NOT_TAKEN_RETRY_AFTER_MS,
                            progress,
                        );
                    }
                    continue;
                }
                Step::Granted(granted) => {
                    attempts.slot_request = None;
                    if attempts.open.is_empty() {
                        progress.waited_ms += waiting_since.elapsed().as_millis() as u64;
                        waiting_since = Instant::now();
                    }
                    let (slot, backend) = match granted {
                        Ok(granted) => granted,
                        Err(error) => {
                            if attempts.open.is_empty() {
                                if attempts.failure_response.is_some() {
                                    return self.without_response(
                                        attempts.failure_response,
                                        NOT_TAKEN_RETRY_AFTER_MS,
                                        progress,
                                    );
                                }
                                return RelayOutcome::Unserved(no_slot(progress, error));
                            }
                            attempts.retry_later();
                            continue;
                        }
                    };
                    progress.admission = self.admit(keys, service, progress.admission);
                    if let Admission::Refused { retry_after_ms } = progress.admission {
                        slot.close(SlotOutcome::Abandoned);
                        if attempts.open.is_empty() {
                            progress.refused_as = Some(keys.fingerprints.path);
                            let reason = NotRunReason::Crashing;
                            let unserved = progress.unserved(reason, retry_after_ms);
                            return RelayOutcome::Unserved(unserved);
                        }
                        continue;
                    }
                    progress.served_by = Some(backend.id.clone());
                    let evidence = self.begin_attempt(keys.clone(), &backend, request.after_event);
                    let server = Arc::clone(&backend);
                    let activity = slot.activity();
                    let response = self.open_response(route, &request, server, activity, deadline);
                    let started = Instant::now();
                    attempts.open.push(OpenAttempt {
                        slot,
                        backend,
                        evidence,
                        started,
                        silent_at: Some(started + Duration::from_millis(FIRST_EVENT_TIMEOUT_MS)),
                        response: Box::pin(response),
                    });
                    continue;
                }
                Step::Opened(index, opened) => (index, opened),
            };
            let failure = match opened {
                Ok(OpenedResponse::Stream(head, reader, first)) => {
                    let kept = attempts.keep_only(index, progress, &self.metrics);
                    let version = kept.backend.version.clone();
                    let started = kept.started;
                    if matches!(first, StreamRead::Event(_)) {
                        let took_ms = started.elapsed().as_millis() as u64;
                        self.first_events.record(route, took_ms);
                    }
                    let granted = (kept.slot, kept.backend);
                    let attempt =
                        StreamAttempt::opened(granted, started, reader, kept.evidence, route);
                    let (sender, stream) = body::streamed();
                    let forwarder = StreamForwarder {
                        relay: Arc::clone(self),
                        route: route.clone(),
                        service: service.clone(),
                        version,
                        attempt: destination.attempt,
                        request: request.clone(),
                        keys: keys.clone(),
                        started,
                    };
                    let budget = progress.attempts.clone();
                    tokio::spawn(forwarder.run(sender, attempt, first, budget));
                    return self.relay_response(Response::from_parts(head, stream));
                }
                Ok(OpenedResponse::Buffered(response)) if !response.status().is_server_error() => {
                    let kept = attempts.keep_only(index, progress, &self.metrics);
                    let outcome = buffered_outcome(false);
                    self.metrics
                        .attempt_ended(&kept.backend.id, outcome, kept.started);
                    let held_ms = kept.started.elapsed().as_millis() as u64;
                    if response.status().is_success() {
                        self.record_run(route, &request, kept.started);
                    }
                    kept.slot.close(SlotOutcome::Done { held_ms });
                    match response.status().is_success() {
                        true => kept
                            .evidence
                            .completed(ResponseEnd::from(response.headers()), 0),
                        false => kept.evidence.answered(),
                    }
                    return self.relay_response(response.map(body::whole));
                }
                Ok(OpenedResponse::Buffered(response)) => {
                    let backend = attempts.open[index].backend.id.clone();
                    attempts.failure_response = Some((backend, response));
                    AttemptFailure::Failed
                }
                Err(failure) => failure,
            };
            let failed = attempts.open.remove(index);
            let failure = failed.cause(failure);
            let may_retry =
                self.record_failed_attempt(route, &request, progress, &failed.backend, failure);
            failed.fail(failure, &self.metrics);
            if !attempts.open.is_empty() {
                attempts.seek_at = Some(Instant::now());
                continue;
            }
            progress.served_by = None;
            if !may_retry {
                return self.without_response(
                    attempts.failure_response,
                    NOT_TAKEN_RETRY_AFTER_MS,
                    progress,
                );
            }
            waiting_since = Instant::now();
            attempts.seek_at = Some(waiting_since);
            // It may wait for as long as an attempt is open.
            attempts.slot_request = None;
        }
    }

    async fn request_slot(
        &self,
        route: &Route,
        destination: &Destination,
        avoid: Vec<BackendId>,
        slack_ms: u64,
        deadline: Instant,
    ) -> Granted {
        let query = SlotQuery {
            pool: &destination.service,
            urgency: Urgency::of_caller(route.priority),
            slack_ms,
            late_ms: 0,
            avoid: &avoid,
            deadline,
            version: destination.version.as_ref(),
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
            let response = response.map(|body| {
                body.map_frame(move |frame| {
                    activity.record();
                    frame
                })
            });
            let reading = upstream::read_buffered(response, connection, deadline, &self.memory);
            let (response, is_proved) = reading.await?;
            self.check_end(&backend, is_proved).await?;
            return Ok(OpenedResponse::Buffered(response));
        }
        let opened = first_event(response, connection, request.after_event, deadline).await?;
        if let OpenedResponse::Stream(_, reader, StreamRead::End) = &opened {
            self.check_end_of_events(&backend, reader.is_end_proved())
                .await?;
        }
        Ok(opened)
    }
}

async fn first_event(
    response: Response<Incoming>,
    connection: BusyConnection,
    after: Option<u64>,
    deadline: Instant,
) -> Opened {
    let (head, body) = response.into_parts();
    let end = ResponseEnd::from(&head.headers);
    let mut reader = EventReader::new(body, end, connection, after);
    // A comment does not decide which of several attempts goes on.
    match reader.read_event_until(deadline).await {
        StreamRead::Silent => Err(AttemptFailure::TimeOver),
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
        // No time is left.
        SlotError::TimedOut => progress.unserved(NotRunReason::Waited, None),
        SlotError::VersionGone => progress.unserved(NotRunReason::VersionGone, None),
    }
}
