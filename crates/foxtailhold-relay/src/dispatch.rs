//! Serves opaque requests: chooses backend servers and retries within the limits of the route.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold_http::body;
use foxtailhold_http::clock::Clock;
use http::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::attempts::AttemptBudget;
use crate::connections::BusyConnection;
use crate::dialect::Dialect;
use crate::events::{EventReader, StreamRead};
use crate::fleet::BackendServer;
use crate::metrics::AttemptOutcome;
use crate::peers::{Slot, SlotError, SlotQuery};
use crate::plain::PlainServiceLoads;
use crate::relay::{
    FIRST_EVENT_TIMEOUT_MS, FailedAttempt, PLAIN_RETRY_AFTER_MS, Relay, upstream_request,
};
use crate::request::{NotRunReason, OpaqueRequest, RelayOutcome, Unserved};
use crate::stream::{StreamAttempt, StreamForwarder};
use crate::upstream::{self, AttemptFailure};

/// Time reserved for returning the response before the caller's timeout.
const RETURN_MARGIN_MS: u64 = 15;
/// An attempt of an idempotent request with a buffered response times out after this many times the
/// latency objective of the route; the request is then retried at another backend server.
const BUFFERED_TIMEOUT_OBJECTIVES: u64 = 2;
/// Retry delay given to callers if no backend server is known.
const NO_BACKEND_RETRY_AFTER_MS: u64 = 400;

/// State of one request while it is being served.
#[derive(Debug)]
pub struct RequestProgress {
    /// Attempts made and left.
    pub attempts: AttemptBudget,
    /// Backend server whose response is passed on; `None` while there is none.
    pub served_by: Option<BackendId>,
    /// Total time spent waiting for slots.
    pub waited_ms: u64,
    /// Fingerprint under which the request is refused because it crashes backend servers.
    pub refused_as: Option<Fingerprint>,
}

impl RequestProgress {
    fn new(request: &OpaqueRequest, route: &Route) -> Self {
        let mut left_ms = u64::MAX >> 20;
        if route.timeout_ms > 0 {
            left_ms = route.timeout_ms;
        }
        if let Some(caller_timeout_ms) = request.caller_timeout_ms {
            left_ms = left_ms.min(caller_timeout_ms.saturating_sub(RETURN_MARGIN_MS));
        }
        RequestProgress {
            attempts: AttemptBudget::new(request.received + Duration::from_millis(left_ms)),
            served_by: None,
            waited_ms: 0,
            refused_as: None,
        }
    }

    fn unserved(&self, reason: NotRunReason, retry_after_ms: u64) -> Unserved {
        if self.attempts.maybe_executed == 0 {
            return Unserved::NotRun {
                reason,
                retry_after_ms,
            };
        }
        if Instant::now() >= self.attempts.deadline {
            return Unserved::TimedOut;
        }
        Unserved::MayHaveRun
    }
}

impl<D: Dialect> Relay<D> {
    /// Serves one request of `route`.
    pub async fn serve(self: &Arc<Self>, route: &Route, request: OpaqueRequest) -> RelayOutcome {
        let mut progress = RequestProgress::new(&request, route);
        if let Some(retry_after_ms) = self.refusal_ms(&request) {
            let reason = NotRunReason::Crashing;
            progress.refused_as = Some(request.fingerprints().path);
            let result = RelayOutcome::Unserved(progress.unserved(reason, retry_after_ms));
            self.record_outcome(route, &request.id, request.received, &progress, &result);
            return result;
        }
        let service = route.service(rand::random()).clone();
        let is_engine = self
            .routes
            .load()
            .service(&service)
            .is_some_and(|limits| limits.is_engine);
        let (id, received) = (request.id.clone(), request.received);
        let result = if is_engine {
            self.serve_engine(route, &service, request, &mut progress)
                .await
        } else {
            self.serve_plain(route, &service, &request, &mut progress)
                .await
        };
        self.record_outcome(route, &id, received, &progress, &result);
        result
    }

    fn record_outcome(
        &self,
        route: &Route,
        id: &str,
        received: Instant,
        progress: &RequestProgress,
        result: &RelayOutcome,
    ) {
        let outcome = match result {
            RelayOutcome::Served(_) => "served",
            RelayOutcome::Unserved(Unserved::NotRun { .. }) => "not_run",
            RelayOutcome::Unserved(Unserved::MayHaveRun) => "may_have_run",
            RelayOutcome::Unserved(Unserved::TimedOut) => "timed_out",
        };
        let took_ms = received.elapsed().as_millis() as u64;
        self.metrics.record_response(&route.name, outcome, took_ms);
        let (reason, retry_after_ms) = match result {
            RelayOutcome::Unserved(Unserved::NotRun {
                reason,
                retry_after_ms,
            }) => (Some(*reason), Some(*retry_after_ms)),
            _ => (None, None),
        };
        if let Some(reason) = reason {
            self.metrics.refused(reason);
        }
        let now = self.clock.mono();
        let allocator = self
            .peers
            .members()
            .allocator(now)
            .map(|m| m.instance.clone());
        log::info!(
            request = id,
            route = route.name.as_str(),
            outcome = outcome,
            reason = reason.map(NotRunReason::as_str),
            took_ms = took_ms,
            waited_ms = progress.waited_ms,
            backend = progress.served_by.as_ref().map(BackendId::as_str),
            retry_after_ms = retry_after_ms,
            fingerprint = progress.refused_as.map(|fingerprint| fingerprint.to_string()),
            allocator = allocator.as_ref().map_or("self", |instance| instance.as_str()),
            attempts = progress.attempts.maybe_executed,
            not_run = progress.attempts.not_executed,
            missed = progress.attempts.failed_backend_names(),
            config = self.routes.load().version();
            "request answered"
        );
    }

    /// Records a failed attempt. Returns whether the request may be retried.
    fn record_failed_attempt(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        progress: &mut RequestProgress,
        backend: &BackendServer,
        failure: AttemptFailure,
    ) -> bool {
        let failed = FailedAttempt {
            backend,
            cause: failure,
            events: 0,
        };
        self.log_failed_attempt(request, &failed, &progress.attempts);
        let may_retry = progress
            .attempts
            .record_failure(failure, &backend.id, route);
        may_retry && self.refusal_ms(request).is_none()
    }

    async fn serve_plain(
        &self,
        route: &Route,
        service: &TargetName,
        request: &OpaqueRequest,
        progress: &mut RequestProgress,
    ) -> RelayOutcome {
        loop {
            let now = self.clock.mono();
            let chosen = {
                let backends = self.backends.load();
                let (all, zone) = (backends.for_service(service), self.peers.zone());
                let tried = &progress.attempts.failed_backends;
                self.plain.choose(now, all, tried, zone, rand::random())
            };
            let Some(backend) = chosen else {
                let reason = NotRunReason::NoBackend;
                return RelayOutcome::Unserved(
                    progress.unserved(reason, NO_BACKEND_RETRY_AFTER_MS),
                );
            };
            let mut in_flight = InFlightGuard {
                loads: &self.plain,
                clock: &self.clock,
                backend: &backend.id,
                outcome: SlotOutcome::Abandoned,
            };
            let started = Instant::now();
            let evidence =
                self.begin_attempt(request.fingerprints(), &backend, request.after_event);
            let response = self
                .fetch_buffered(route, request, progress, &backend)
                .await;
            match response {
                Ok(response) => {
                    let load = self.dialect.load(response.headers());
                    if let Some(load) = load {
                        self.plain.record_load(self.clock.mono(), &backend.id, load);
                    }
                    let has_failed = response.status().is_server_error();
                    self.metrics
                        .attempt_ended(&backend.id, buffered_outcome(has_failed), started);
                    in_flight.outcome = match has_failed {
                        true => SlotOutcome::Broken,
                        false => SlotOutcome::Done { held_ms: 0 },
                    };
                    match has_failed {
                        true => evidence.failed(AttemptFailure::Failed),
                        false => evidence.completed(),
                    }
                    let is_final = !has_failed
                        || !self.record_failed_attempt(
                            route,
                            request,
                            progress,
                            &backend,
                            AttemptFailure::Failed,
                        );
                    if is_final {
                        progress.served_by = Some(backend.id.clone());
                        return self.relay_response(response.map(body::whole));
                    }
                }
                Err(failure) => {
                    self.metrics.attempt_ended(
                        &backend.id,
                        AttemptOutcome::Failed(failure),
                        started,
                    );
                    in_flight.outcome = failure.outcome();
                    evidence.failed(failure);
                    if !self.record_failed_attempt(route, request, progress, &backend, failure) {
                        let reason = NotRunReason::NotTaken;
                        return RelayOutcome::Unserved(
                            progress.unserved(reason, PLAIN_RETRY_AFTER_MS),
                        );
                    }
                }
            }
        }
    }

    async fn fetch_buffered(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        progress: &RequestProgress,
        backend: &BackendServer,
    ) -> Result<Response<bytes::Bytes>, AttemptFailure> {
        let timeout_ms = route.objective_ms * BUFFERED_TIMEOUT_OBJECTIVES;
        let response_deadline = progress.attempts.response_deadline(route, timeout_ms);
        let to_send = upstream_request(request, route, request.after_event);
        let (response, connection) = self
            .send_to(
                backend,
                &to_send,
                progress.attempts.deadline,
                response_deadline,
            )
            .await?;
        upstream::read_buffered(response, connection, response_deadline, &self.read_budget).await
    }

    /// Removes the headers meant for this process and passes the response on to the caller.
    fn relay_response(&self, mut response: Response<body::AnswerBody>) -> RelayOutcome {
        self.dialect.strip(response.headers_mut());
        RelayOutcome::Served(response)
    }

    async fn serve_engine(
        self: &Arc<Self>,
        route: &Route,
        service: &TargetName,
        request: OpaqueRequest,
        progress: &mut RequestProgress,
    ) -> RelayOutcome {
        loop {
            let spent_ms = request.received.elapsed().as_millis() as u64;
            let requested = Instant::now();
            let (slot, backend) = {
                let query = SlotQuery {
                    pool: service,
                    urgency: Urgency::Online {
                        priority: route.priority,
                    },
                    slack_ms: route.objective_ms.saturating_sub(spent_ms),
                    avoid: &progress.attempts.failed_backends,
                    deadline: progress.attempts.deadline,
                    version: None,
                };
                let granted = self.acquire_slot(&query).await;
                progress.waited_ms += requested.elapsed().as_millis() as u64;
                match granted {
                    Ok(granted) => granted,
                    Err(SlotError::Refused { retry_after_ms }) => {
                        let reason = NotRunReason::NoSlot;
                        return RelayOutcome::Unserved(progress.unserved(reason, retry_after_ms));
                    }
                    Err(SlotError::TimedOut | SlotError::VersionGone) => {
                        let reason = NotRunReason::Waited;
                        return RelayOutcome::Unserved(
                            progress.unserved(reason, PLAIN_RETRY_AFTER_MS),
                        );
                    }
                }
            };
            let started = Instant::now();
            progress.served_by = Some(backend.id.clone());
            let evidence =
                self.begin_attempt(request.fingerprints(), &backend, request.after_event);
            let response = self
                .open_response(route, &request, progress, &backend, &slot)
                .await;
            match response {
                Ok(OpenedResponse::Buffered(response)) => {
                    let has_failed = response.status().is_server_error();
                    self.metrics
                        .attempt_ended(&backend.id, buffered_outcome(has_failed), started);
                    slot.close(match has_failed {
                        true => SlotOutcome::Broken,
                        false => SlotOutcome::Done {
                            held_ms: started.elapsed().as_millis() as u64,
                        },
                    });
                    match has_failed {
                        true => evidence.failed(AttemptFailure::Failed),
                        false => evidence.completed(),
                    }
                    if has_failed
                        && self.record_failed_attempt(
                            route,
                            &request,
                            progress,
                            &backend,
                            AttemptFailure::Failed,
                        )
                    {
                        continue;
                    }
                    return self.relay_response(response.map(body::whole));
                }
                Ok(OpenedResponse::Stream(head, reader, first)) => {
                    let (sender, stream) = body::streamed();
                    let forwarder = StreamForwarder {
                        relay: Arc::clone(self),
                        route: route.clone(),
                        service: service.clone(),
                        request,
                        attempts: progress.attempts.clone(),
                    };
                    let attempt = StreamAttempt {
                        slot,
                        backend,
                        started,
                        reader,
                        events: 0,
                        evidence,
                    };
                    tokio::spawn(forwarder.run(sender, attempt, first));
                    let response = Response::from_parts(head, stream);
                    return self.relay_response(response);
                }
                Err(failure) => {
                    self.metrics.attempt_ended(
                        &backend.id,
                        AttemptOutcome::Failed(failure),
                        started,
                    );
                    slot.close(failure.outcome());
                    evidence.failed(failure);
                    progress.served_by = None;
                    if !self.record_failed_attempt(route, &request, progress, &backend, failure) {
                        let reason = NotRunReason::NotTaken;
                        return RelayOutcome::Unserved(
                            progress.unserved(reason, PLAIN_RETRY_AFTER_MS),
                        );
                    }
                }
            }
        }
    }

    async fn open_response(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        progress: &RequestProgress,
        backend: &BackendServer,
        slot: &Slot,
    ) -> Result<OpenedResponse, AttemptFailure> {
        let response_deadline = progress
            .attempts
            .response_deadline(route, FIRST_EVENT_TIMEOUT_MS);
        let to_send = upstream_request(request, route, request.after_event);
        let (response, connection) = self
            .send_to(
                backend,
                &to_send,
                progress.attempts.deadline,
                response_deadline,
            )
            .await?;
        slot.record_activity();
        if !route.kind.is_stream() || !response.status().is_success() {
            let buffered = upstream::read_buffered(
                response,
                connection,
                progress.attempts.deadline,
                &self.read_budget,
            )
            .await?;
            return Ok(OpenedResponse::Buffered(buffered));
        }
        self.first_event(response, connection, request.after_event, response_deadline)
            .await
    }

    async fn first_event(
        &self,
        response: Response<Incoming>,
        connection: BusyConnection,
        after: Option<u64>,
        response_deadline: Instant,
    ) -> Result<OpenedResponse, AttemptFailure> {
        let (head, body) = response.into_parts();
        let mut reader = EventReader::new(body, connection, after);
        let timeout_ms = response_deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        match reader.read_event(timeout_ms, response_deadline).await {
            StreamRead::Silent => Err(AttemptFailure::Silent),
            StreamRead::Closed => Err(AttemptFailure::Closed),
            StreamRead::Broken => Err(AttemptFailure::Broken),
            first => Ok(OpenedResponse::Stream(head, Box::new(reader), first)),
        }
    }
}

fn buffered_outcome(has_failed: bool) -> AttemptOutcome {
    match has_failed {
        true => AttemptOutcome::Failed(AttemptFailure::Failed),
        false => AttemptOutcome::Done,
    }
}

enum OpenedResponse {
    Buffered(Response<bytes::Bytes>),
    Stream(http::response::Parts, Box<EventReader>, StreamRead),
}

/// Counts a request as in flight at a plain backend server until dropped, which also covers callers
/// that disconnect.
struct InFlightGuard<'a> {
    loads: &'a PlainServiceLoads,
    clock: &'a Clock,
    backend: &'a BackendId,
    outcome: SlotOutcome,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.clock.mono();
        self.loads
            .record_end(now, self.backend, self.outcome, rand::random());
    }
}
