//! Serves opaque requests: chooses backend servers and retries within the limits of the route.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::routes::{Route, RouteTable};
use foxtailhold_http::body;
use http::Response;
use tokio::time::Instant;

use crate::attempts::AttemptBudget;
use crate::dialect::Dialect;
use crate::fleet::BackendServer;
use crate::metrics::AttemptOutcome;
use crate::relay::{Admission, FailedAttempt, Relay};
use crate::request::{
    NotRunReason, OpaqueRequest, RelayOutcome, RequestStage, UnansweredRequest, Unserved,
};
use crate::upstream::AttemptFailure;

/// Time reserved for returning the response before the caller's timeout.
const RETURN_MARGIN_MS: u64 = 15;

/// Retry delay for callers whose request has not run when the instance is about to end: other
/// instances serve it at once.
pub const END_RETRY_AFTER_MS: u64 = 0;

/// When a request received at `received` has to be answered, by the time limit of its route and the
/// time for which its caller waits.
pub fn answer_deadline(
    received: Instant,
    route_limit_ms: Option<u64>,
    caller_timeout_ms: Option<u64>,
) -> Instant {
    let caller_limit_ms = caller_timeout_ms.map(|ms| ms.saturating_sub(RETURN_MARGIN_MS));
    let limits_ms = [route_limit_ms, caller_limit_ms].into_iter().flatten();
    received + Duration::from_millis(limits_ms.min().unwrap_or(u64::MAX >> 20))
}

/// State of one request while it is being served.
#[derive(Debug)]
pub struct RequestProgress {
    /// Attempts made and left.
    pub attempts: AttemptBudget,
    /// Backend server whose response is passed on; `None` while there is none.
    pub served_by: Option<BackendId>,
    /// Total time spent waiting for slots.
    pub waited_ms: u64,
    /// Whether the request may run, given the evidence that it crashes backend servers.
    pub(crate) admission: Admission,
    /// Fingerprint under which the request is refused because it crashes backend servers.
    pub refused_as: Option<Fingerprint>,
}

impl RequestProgress {
    fn new(request: &OpaqueRequest, route: &Route) -> Self {
        let route_limit_ms = (route.timeout_ms > 0).then_some(route.timeout_ms);
        let deadline = answer_deadline(request.received, route_limit_ms, request.caller_timeout_ms);
        RequestProgress {
            attempts: AttemptBudget::new(deadline),
            served_by: None,
            waited_ms: 0,
            admission: Admission::Free,
            refused_as: None,
        }
    }

    pub(crate) fn unserved(
        &self,
        reason: NotRunReason,
        retry_after_ms: impl Into<Option<u64>>,
    ) -> Unserved {
        if self.attempts.maybe_executed == 0 {
            let retry_after_ms = retry_after_ms.into();
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

    /// The end of a request that waits at `stage` when the instance is about to end.
    fn unserved_at_end(&self, stage: RequestStage) -> Unserved {
        if self.attempts.maybe_executed == 0 && stage != RequestStage::Backend {
            return self.unserved(NotRunReason::Ending, END_RETRY_AFTER_MS);
        }
        Unserved::TimedOut
    }
}

impl<D: Dialect> Relay<D> {
    /// Serves one request of `route`, a route of `routes`. `unanswered` is told what it waits for.
    pub async fn serve(
        self: &Arc<Self>,
        routes: &RouteTable,
        route: &Route,
        request: OpaqueRequest,
        unanswered: &mut UnansweredRequest,
    ) -> RelayOutcome {
        let mut progress = RequestProgress::new(&request, route);
        let (id, received) = (request.id.clone(), request.received);
        unanswered.enter(RequestStage::Origin);
        let result = if self.admits_before_end(route, &request, progress.attempts.deadline) {
            let served = {
                let serving =
                    self.serve_until_answered(routes, route, request, &mut progress, unanswered);
                // An async function holds the futures that it is given twice.
                self.ending.run_until_cancelled(pin!(serving)).await
            };
            match served {
                Some(result) => result,
                None => RelayOutcome::Unserved(progress.unserved_at_end(unanswered.stage())),
            }
        } else {
            RelayOutcome::Unserved(progress.unserved(NotRunReason::Ending, END_RETRY_AFTER_MS))
        };
        self.record_outcome(route, &id, received, &progress, &result);
        result
    }

    async fn serve_until_answered(
        self: &Arc<Self>,
        routes: &RouteTable,
        route: &Route,
        request: OpaqueRequest,
        progress: &mut RequestProgress,
        unanswered: &mut UnansweredRequest,
    ) -> RelayOutcome {
        let destination = match self.destination(routes, route, &request).await {
            Ok(destination) => destination,
            Err(reason) => {
                let retry_after_ms = self.retry_take_up_ms(&request, reason);
                return RelayOutcome::Unserved(progress.unserved(reason, retry_after_ms));
            }
        };
        let service = &destination.service;
        let keys = request.evidence_keys();
        let limits = routes.service(service);
        let is_engine = limits.is_some_and(|limits| limits.is_engine);
        progress.admission = match is_engine {
            true => self.admit_to_slot(&keys, service),
            false => self.admit(&keys, service, Admission::Free),
        };
        if let Admission::Refused { retry_after_ms } = progress.admission {
            let reason = NotRunReason::Crashing;
            progress.refused_as = Some(keys.fingerprints.path);
            return RelayOutcome::Unserved(progress.unserved(reason, retry_after_ms));
        }
        if is_engine {
            return self
                .serve_engine(route, &destination, request, &keys, progress, unanswered)
                .await;
        }
        unanswered.enter(RequestStage::Backend);
        let started = Instant::now();
        let result = self
            .serve_plain(route, service, &request, &keys, progress)
            .await;
        if matches!(&result, RelayOutcome::Served(response) if response.status().is_success()) {
            self.record_run(route, &request, started);
        }
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
            }) => (Some(*reason), *retry_after_ms),
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

    /// Records a failed attempt. Returns whether the limits of the route allow a retry.
    pub(crate) fn record_failed_attempt(
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
        progress
            .attempts
            .record_failure(failure, &backend.id, route)
    }

    /// The failure of a backend server itself if there is one, otherwise the end of a request whose
    /// attempts failed; if it has not run, its caller should retry after `retry_after_ms`.
    pub(crate) fn without_response(
        &self,
        failure_response: Option<(BackendId, Response<bytes::Bytes>)>,
        retry_after_ms: u64,
        progress: &mut RequestProgress,
    ) -> RelayOutcome {
        let Some((backend, response)) = failure_response else {
            let reason = NotRunReason::NotTaken;
            return RelayOutcome::Unserved(progress.unserved(reason, retry_after_ms));
        };
        progress.served_by = Some(backend);
        self.relay_response(response.map(body::whole))
    }

    /// Removes the headers meant for this process and passes the response on to the caller.
    pub(crate) fn relay_response(&self, mut response: Response<body::AnswerBody>) -> RelayOutcome {
        self.dialect.strip(response.headers_mut());
        RelayOutcome::Served(response)
    }
}

pub(crate) fn buffered_outcome(has_failed: bool) -> AttemptOutcome {
    match has_failed {
        true => AttemptOutcome::Failed(AttemptFailure::Failed),
        false => AttemptOutcome::Done,
    }
}
