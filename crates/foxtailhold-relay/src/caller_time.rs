//! How long callers wait for an event, and how long the first one usually takes.

use foxtailhold::routes::Route;
use foxtailhold_http::lock::Mutex;

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
