//! Limits how often one request of a caller is attempted. One budget covers buffered responses and
//! all attempts of a stream.

use foxtailhold::ids::BackendId;
use foxtailhold::routes::Route;
use tokio::time::Instant;

use crate::upstream::AttemptFailure;

/// Retries of a request that backend servers did not run, in addition to the attempts that the
/// route allows. Each refusal costs one network round trip, so further retries would come too late.
const MAX_NOT_RUN_RETRIES: u32 = 3;

/// Attempts made for one request and what is left to it.
#[derive(Debug, Clone)]
pub struct AttemptBudget {
    /// Backend servers that failed to answer this request, oldest first.
    pub failed_backends: Vec<BackendId>,
    /// Failed attempts in which the request may have run.
    pub maybe_executed: u32,
    /// Failed attempts in which the request did not run, since it last ran.
    pub not_executed: u32,
    /// Deadline for the response.
    pub deadline: Instant,
}

impl AttemptBudget {
    /// Returns the budget of a request that has not been sent yet.
    pub fn new(deadline: Instant) -> Self {
        AttemptBudget {
            failed_backends: Vec::new(),
            maybe_executed: 0,
            not_executed: 0,
            deadline,
        }
    }

    /// Records a failed attempt. Returns whether the request may be sent again.
    pub fn record_failure(
        &mut self,
        failure: AttemptFailure,
        backend: &BackendId,
        route: &Route,
    ) -> bool {
        self.failed_backends.push(backend.clone());
        let may_retry = match failure.may_have_run() {
            true => {
                let may_retry = self.may_retry(route);
                self.maybe_executed += 1;
                may_retry
            }
            false => {
                self.not_executed += 1;
                self.not_executed <= MAX_NOT_RUN_RETRIES
            }
        };
        may_retry && Instant::now() < self.deadline
    }

    /// Records an attempt that was closed here because another one went on first. It may have run.
    pub fn record_superseded(&mut self, backend: &BackendId) {
        self.failed_backends.push(backend.clone());
        self.maybe_executed += 1;
    }

    /// Records that the request is running, which resets the count of attempts in which it did not
    /// run.
    pub fn record_running(&mut self) {
        self.not_executed = 0;
    }

    /// Whether the request may be retried if the current attempt fails.
    pub fn may_retry(&self, route: &Route) -> bool {
        self.may_start(route, 1)
    }

    /// Whether another attempt may be started beside `open` ones.
    pub fn may_start(&self, route: &Route, open: u32) -> bool {
        route.kind.is_idempotent() && self.maybe_executed + open < route.attempts.max(1)
    }

    /// Identifiers of the backend servers that failed, separated by commas, for log lines.
    pub fn failed_backend_names(&self) -> String {
        let names: Vec<&str> = self.failed_backends.iter().map(BackendId::as_str).collect();
        names.join(",")
    }
}
