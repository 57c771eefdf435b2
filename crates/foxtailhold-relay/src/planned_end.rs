//! When a planned stop ends the requests that are still unanswered, and which requests end before.

use std::sync::OnceLock;
use std::time::Duration;

use foxtailhold::routes::{Route, RouteKind};
use foxtailhold_http::lock::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::run_durations::RunDurations;

/// Times of a planned stop.
#[derive(Debug, Clone, Copy)]
struct StopTimes {
    began_at: Instant,
    end_at: Instant,
}

/// The end of a planned stop, and what is known about the durations of requests.
#[derive(Debug, Default)]
pub struct PlannedEnd {
    times: OnceLock<StopTimes>,
    /// Cancelled once the times are known.
    is_known: CancellationToken,
    durations: Mutex<RunDurations>,
}

impl PlannedEnd {
    /// Begins a planned stop, which ends the requests that are unanswered at `end_at`. A second call
    /// has no effect.
    pub fn begin(&self, end_at: Instant) {
        let began_at = Instant::now();
        self.times.get_or_init(|| StopTimes { began_at, end_at });
        self.is_known.cancel();
    }

    /// When a planned stop ends what is unanswered; `None` while there is none.
    pub fn end_at(&self) -> Option<Instant> {
        self.times.get().map(|times| times.end_at)
    }

    /// Records a complete run, which took the time since `started`, of a request for at most
    /// `output_tokens`; `None` if it states none.
    pub fn record_run(&self, route: &Route, output_tokens: Option<u64>, started: Instant) {
        let took_ms = started.elapsed().as_millis() as u64;
        let mut durations = self.durations.lock();
        durations.record(&route.name, output_tokens, took_ms);
    }

    /// Usual duration in ms of a complete run of such a request; `None` if none is known.
    pub fn usual_run_ms(&self, route: &Route, output_tokens: Option<u64>) -> Option<u64> {
        self.durations.lock().usual_ms(&route.name, output_tokens)
    }

    /// Longest duration in ms of the latest complete runs of such a request; `None` if none is known.
    pub fn longest_run_ms(&self, route: &Route, output_tokens: Option<u64>) -> Option<u64> {
        let durations = self.durations.lock();
        durations.longest_ms(&route.name, output_tokens)
    }

    /// Whether a request may begin to run now: it ends by `deadline`, or as others of its route did,
    /// before the end of a planned stop. One of which nothing is known may run if its answer comes
    /// whole and it may be repeated.
    pub fn admits(&self, route: &Route, output_tokens: Option<u64>, deadline: Instant) -> bool {
        let latest = self.latest_begin(route, output_tokens, deadline);
        latest.is_none_or(|latest| Instant::now() <= latest)
    }

    /// Waits until a request may no longer begin to run.
    pub async fn too_late(&self, route: &Route, output_tokens: Option<u64>, deadline: Instant) {
        self.is_known.cancelled().await;
        match self.latest_begin(route, output_tokens, deadline) {
            Some(latest) => tokio::time::sleep_until(latest).await,
            None => std::future::pending().await,
        }
    }

    /// The latest time at which a request may begin to run; `None` if it may at any time.
    fn latest_begin(
        &self,
        route: &Route,
        output_tokens: Option<u64>,
        deadline: Instant,
    ) -> Option<Instant> {
        let &StopTimes { began_at, end_at } = self.times.get()?;
        if deadline <= end_at {
            return None;
        }
        match self.longest_run_ms(route, output_tokens) {
            Some(longest_ms) => {
                let latest = end_at.checked_sub(Duration::from_millis(longest_ms));
                Some(latest.unwrap_or(began_at))
            }
            None if route.kind == RouteKind::Idempotent => None,
            None => Some(began_at),
        }
    }
}
