//! How long callers wait, by what they state, by their route and by the contract.

use std::time::Duration;

use foxtailhold::routes::Route;
use foxtailhold_http::lock::Mutex;
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::relay::Relay;
use crate::request::OpaqueRequest;
use crate::run_durations::RunDurations;

/// Callers leave a stream, also before its first event, after a gap of the longest of this time, this
/// many latency objectives and this many regular gaps.
pub const MIN_PATIENCE_MS: u64 = 2_000;
const PATIENCE_OBJECTIVES: u64 = 4;
const PATIENCE_PAUSES: u64 = 8;

/// Gap between two events of a stream, or before its first one, after which callers leave.
pub fn stream_patience_ms(route: &Route) -> u64 {
    let by_objective_ms = PATIENCE_OBJECTIVES * route.objective_ms;
    let by_pause_ms = PATIENCE_PAUSES * route.pause_ms;
    MIN_PATIENCE_MS.max(by_objective_ms).max(by_pause_ms)
}

/// Times to the first event of streams, by route.
#[derive(Debug, Default)]
pub struct FirstEventTimes(Mutex<RunDurations>);

impl FirstEventTimes {
    /// Records a first event that came `took_ms` after its request was sent.
    pub fn record(&self, route: &Route, took_ms: u64) {
        self.0.lock().record(&route.name, None, took_ms);
    }

    /// The usual time in ms; `None` if none is known.
    pub fn usual_ms(&self, route: &Route) -> Option<u64> {
        self.0.lock().usual_ms(&route.name, None)
    }
}

impl<D: Dialect> Relay<D> {
    /// Time in ms for which a request that has to be answered by `deadline` may still wait for a slot: it
    /// has to run by then, and the first event of a stream has to come while its caller waits.
    pub(crate) fn wait_left_ms(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        deadline: Instant,
    ) -> u64 {
        let left = deadline.saturating_duration_since(Instant::now());
        // The rest of a stream takes an unknown part of a whole run.
        let run_ms = match request.after_event {
            Some(_) => None,
            None => {
                let output_tokens = self.dialect.output_tokens(&request.headers);
                self.planned_end.usual_run_ms(route, output_tokens)
            }
        };
        let by_deadline = left.saturating_sub(Duration::from_millis(run_ms.unwrap_or(0)));
        if !route.kind.is_stream() {
            return by_deadline.as_millis() as u64;
        }
        let first_event_ms = self.first_events.usual_ms(route).unwrap_or(0);
        let patience_ms = stream_patience_ms(route).saturating_sub(first_event_ms);
        let patience = Duration::from_millis(patience_ms);
        let patience = patience.saturating_sub(request.received.elapsed());
        by_deadline.min(patience).as_millis() as u64
    }
}
