//! How often one request of a caller may run: one account for whole answers and for all legs of a
//! stream.

use std::time::Duration;

use foxtailhold::ids::BackendId;
use foxtailhold::routes::Route;
use tokio::time::Instant;

use crate::upstream::Miss;

/// Requests that did not run are sent again at other backend servers at most so often, beside the
/// runs that the route allows: a refusal costs a crossing, and more would come too late.
const NOT_RUN_AGAIN: u32 = 3;

/// The account of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    /// Backend servers that it was sent to in vain.
    pub tried: Vec<BackendId>,
    /// Lost runs: how many of them may have run it.
    pub runs: u32,
    /// How many of them did not, since it ran last.
    pub not_run: u32,
    /// Until when it must be answered.
    pub until: Instant,
}

impl Attempts {
    /// The account of a request that was not sent yet.
    pub fn new(until: Instant) -> Self {
        Attempts {
            tried: Vec::new(),
            runs: 0,
            not_run: 0,
            until,
        }
    }

    /// Notes a lost run; `true`: the request may be sent once more.
    pub fn lost(&mut self, miss: Miss, backend: &BackendId, route: &Route) -> bool {
        self.tried.push(backend.clone());
        let may_repeat = match miss.may_have_run() {
            true => {
                let may_repeat = self.may_repeat(route);
                self.runs += 1;
                may_repeat
            }
            false => {
                self.not_run += 1;
                self.not_run <= NOT_RUN_AGAIN
            }
        };
        may_repeat && Instant::now() < self.until
    }

    /// Notes that the request runs: refusals count anew should the run be lost.
    pub fn runs_now(&mut self) {
        self.not_run = 0;
    }

    /// Whether the request may run once more if its present run is lost.
    pub fn may_repeat(&self, route: &Route) -> bool {
        route.kind.is_idempotent() && self.runs + 1 < route.attempts.max(1)
    }

    /// Until when the next backend server may be silent: shorter where another one can be tried.
    pub fn patience_until(&self, route: &Route, patience_ms: u64) -> Instant {
        if !self.may_repeat(route) || patience_ms == 0 {
            return self.until;
        }
        let patience = Duration::from_millis(patience_ms);
        self.until.min(Instant::now() + patience)
    }

    /// The backend servers tried in vain, for lines.
    pub fn tried_names(&self) -> String {
        let names: Vec<&str> = self.tried.iter().map(BackendId::as_str).collect();
        names.join(",")
    }
}
