//! Serves a request at a plain service. A silent attempt stays open while another backend server is
//! tried, and the first response is passed on.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::outage_return::return_after_ms;
use foxtailhold::routes::Route;
use foxtailhold::slots::SlotOutcome;
use foxtailhold_http::body;
use foxtailhold_http::clock::Clock;
use http::Response;
use tokio::time::Instant;

use crate::attempt_evidence::AttemptEvidence;
use crate::dialect::Dialect;
use crate::dispatch::{RequestProgress, buffered_outcome};
use crate::fleet::BackendServer;
use crate::metrics::AttemptOutcome;
use crate::plain::PlainServiceLoads;
use crate::relay::{Admission, DEFAULT_RETRY_AFTER_MS, Relay, upstream_request};
use crate::request::{EvidenceKeys, NotRunReason, OpaqueRequest, RelayOutcome};
use crate::upstream::{self, AttemptFailure, ResponseEnd};

/// Attempts of one request that are open at the same time.
const MAX_OPEN_ATTEMPTS: usize = 2;
/// An attempt counts as silent after this many times the longest of the latest answers on the route;
/// another backend server is then tried beside it.
const SILENT_AFTER_ANSWERS: u64 = 3;
/// Least time after which an attempt counts as silent: a lost packet is sent again after 200 ms.
const MIN_SILENCE_MS: u64 = 250;
/// Time after which an attempt counts as silent while no answer on the route is known.
const UNKNOWN_SILENCE_MS: u64 = 1_000;
/// An attempt counts as silent after this part of the time left at the latest, so that another one can
/// answer.
const MAX_SILENCE_PARTS: u32 = 3;

type Fetched = Result<Response<bytes::Bytes>, AttemptFailure>;

/// An attempt without a response.
struct OpenAttempt<'a, F> {
    backend: Arc<BackendServer>,
    in_flight: InFlightGuard<'a>,
    evidence: AttemptEvidence,
    started: Instant,
    /// Time without a response after which the backend server counts as silent.
    silent_after: Duration,
    is_silent: bool,
    response: Pin<Box<F>>,
}

impl<F> OpenAttempt<'_, F> {
    fn complete(mut self, end: ResponseEnd) {
        self.in_flight.outcome = SlotOutcome::Done { held_ms: 0 };
        self.evidence.completed(end, 0);
    }

    /// Ends the attempt after a response that says nothing about whether the request runs.
    fn answer(mut self) {
        self.in_flight.outcome = SlotOutcome::Done { held_ms: 0 };
        self.evidence.answered();
    }

    /// The cause of a failure. A backend server that has not responded for the usual time is silent, also
    /// if the time of the request is over.
    fn cause(&self, failure: AttemptFailure) -> AttemptFailure {
        let is_silent = self.is_silent || self.started.elapsed() >= self.silent_after;
        match failure {
            AttemptFailure::TimeOver if is_silent => AttemptFailure::Silent,
            failure => failure,
        }
    }

    fn fail(mut self, failure: AttemptFailure) {
        self.in_flight.outcome = failure.outcome();
        self.evidence.failed(failure);
    }
}

async fn next_response<F>(
    open: &mut [OpenAttempt<'_, F>],
    silent_at: Option<Instant>,
) -> Option<(usize, Fetched)>
where
    F: Future<Output = Fetched>,
{
    let responses = std::future::poll_fn(|context| {
        for (index, attempt) in open.iter_mut().enumerate() {
            if let Poll::Ready(fetched) = attempt.response.as_mut().poll(context) {
                return Poll::Ready((index, fetched));
            }
        }
        Poll::Pending
    });
    match silent_at {
        None => Some(responses.await),
        Some(at) => tokio::time::timeout_at(at, responses).await.ok(),
    }
}

impl<D: Dialect> Relay<D> {
    pub(crate) async fn serve_plain(
        &self,
        route: &Route,
        service: &TargetName,
        request: &OpaqueRequest,
        keys: &EvidenceKeys,
        progress: &mut RequestProgress,
    ) -> RelayOutcome {
        let deadline = progress.attempts.deadline;
        let silent_after = self.silent_after(route, request, deadline);
        let mut open = Vec::new();
        let mut may_start = true;
        let mut failure_response = None;
        loop {
            if may_start {
                let tried = tried_backends(progress, &open);
                let chosen = self.choose_plain(service, &tried);
                if chosen.is_none() && !open.is_empty() {
                    may_start = false;
                    continue;
                }
                let Some(backend) = chosen else {
                    if failure_response.is_some() {
                        let retry_after_ms = self.usual_answer_ms(route, request);
                        return self.without_response(failure_response, retry_after_ms, progress);
                    }
                    let away_ms = self.absences.observe(service, self.clock.mono());
                    let retry_after_ms = return_after_ms(Some(away_ms), request.caller_left_ms());
                    let reason = NotRunReason::NoBackend;
                    return RelayOutcome::Unserved(progress.unserved(reason, retry_after_ms));
                };
                self.absences.end(service);
                open.push(OpenAttempt {
                    in_flight: InFlightGuard {
                        loads: &self.plain,
                        clock: &self.clock,
                        backend: backend.id.clone(),
                        outcome: SlotOutcome::Abandoned,
                    },
                    evidence: self.begin_attempt(keys.clone(), &backend, request.after_event),
                    started: Instant::now(),
                    silent_after,
                    is_silent: false,
                    response: Box::pin(self.fetch_buffered(
                        route,
                        request,
                        Arc::clone(&backend),
                        deadline,
                    )),
                    backend,
                });
            }
            let may_seek = open.len() < MAX_OPEN_ATTEMPTS
                && progress.attempts.may_start(route, open.len() as u32)
                && open.iter().all(|attempt| !attempt.is_silent);
            let silent_at = may_seek.then(|| Instant::now() + silent_after);
            let Some((index, fetched)) = next_response(&mut open, silent_at).await else {
                for attempt in &mut open {
                    attempt.is_silent = true;
                    attempt.evidence.set_silent(true);
                }
                may_start = !self.admit(keys, service, Admission::Free).is_refused();
                continue;
            };
            let attempt = open.remove(index);
            let backend = Arc::clone(&attempt.backend);
            let (response, failure) = match fetched {
                Ok(response) => {
                    if let Some(load) = self.dialect.load(response.headers()) {
                        self.plain.record_load(self.clock.mono(), &backend.id, load);
                    }
                    let has_failed = response.status().is_server_error();
                    let outcome = buffered_outcome(has_failed);
                    self.metrics
                        .attempt_ended(&backend.id, outcome, attempt.started);
                    if !has_failed {
                        match response.status().is_success() {
                            true => attempt.complete(ResponseEnd::from(response.headers())),
                            false => attempt.answer(),
                        }
                        for other in open.drain(..) {
                            self.supersede(progress, other);
                        }
                        progress.served_by = Some(backend.id.clone());
                        return self.relay_response(response.map(body::whole));
                    }
                    (Some(response), AttemptFailure::Failed)
                }
                Err(failure) => {
                    let failure = attempt.cause(failure);
                    let outcome = AttemptOutcome::Failed(failure);
                    self.metrics
                        .attempt_ended(&backend.id, outcome, attempt.started);
                    (None, failure)
                }
            };
            attempt.fail(failure);
            let may_retry = self.record_failed_attempt(route, request, progress, &backend, failure);
            if let Some(response) = response {
                failure_response = Some((backend.id.clone(), response));
            }
            let open_count = open.len() as u32;
            may_start = may_retry
                && (open_count == 0 || progress.attempts.may_start(route, open_count))
                && !self.admit(keys, service, Admission::Free).is_refused();
            if !may_start && open.is_empty() {
                let retry_after_ms = self.usual_answer_ms(route, request);
                return self.without_response(failure_response, retry_after_ms, progress);
            }
        }
    }

    /// Time without a response after which a backend server counts as silent.
    fn silent_after(&self, route: &Route, request: &OpaqueRequest, deadline: Instant) -> Duration {
        let output_tokens = self.dialect.output_tokens(&request.headers);
        let longest_ms = self.planned_end.longest_run_ms(route, output_tokens);
        let silent_after_ms = longest_ms.map_or(UNKNOWN_SILENCE_MS, |longest_ms| {
            MIN_SILENCE_MS.max(SILENT_AFTER_ANSWERS * longest_ms)
        });
        let left = deadline.saturating_duration_since(Instant::now());
        Duration::from_millis(silent_after_ms).min(left / MAX_SILENCE_PARTS)
    }

    /// Time in ms after which a full backend server is likely to have answered one of its requests.
    fn usual_answer_ms(&self, route: &Route, request: &OpaqueRequest) -> u64 {
        let output_tokens = self.dialect.output_tokens(&request.headers);
        let usual_ms = self.planned_end.usual_run_ms(route, output_tokens);
        usual_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS)
    }

    fn supersede<F>(&self, progress: &mut RequestProgress, attempt: OpenAttempt<'_, F>) {
        progress.attempts.record_superseded(&attempt.backend.id);
        let outcome = match attempt.is_silent {
            true => AttemptOutcome::Failed(AttemptFailure::Silent),
            false => AttemptOutcome::Superseded,
        };
        self.metrics
            .attempt_ended(&attempt.backend.id, outcome, attempt.started);
        if attempt.is_silent {
            attempt.fail(AttemptFailure::Silent);
        }
    }

    fn choose_plain(
        &self,
        service: &TargetName,
        tried: &[BackendId],
    ) -> Option<Arc<BackendServer>> {
        let now = self.clock.mono();
        let backends = self.backends.load();
        let (all, zone) = (backends.for_service(service), self.peers.zone());
        self.plain.choose(now, all, tried, zone, rand::random())
    }

    async fn fetch_buffered(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        backend: Arc<BackendServer>,
        deadline: Instant,
    ) -> Fetched {
        let to_send = upstream_request(request, route, request.after_event);
        let sent = self.send_to(&backend, &to_send, deadline, deadline).await?;
        let (response, connection) = sent;
        let read = upstream::read_buffered(response, connection, deadline, &self.memory);
        let (response, is_proved) = read.await?;
        self.check_end(&backend, is_proved).await?;
        Ok(response)
    }
}

fn tried_backends<F>(progress: &RequestProgress, open: &[OpenAttempt<'_, F>]) -> Vec<BackendId> {
    let open = open.iter().map(|attempt| attempt.backend.id.clone());
    let failed = progress.attempts.failed_backends.iter().cloned();
    failed.chain(open).collect()
}

/// Counts a request as in flight at a plain backend server until dropped, which also covers callers
/// that disconnect.
struct InFlightGuard<'a> {
    loads: &'a PlainServiceLoads,
    clock: &'a Clock,
    backend: BackendId,
    outcome: SlotOutcome,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.clock.mono();
        self.loads
            .record_end(now, &self.backend, self.outcome, rand::random());
    }
}
