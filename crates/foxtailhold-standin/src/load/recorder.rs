//! Statistics of the online callers in one phase.

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Upper bound of the histograms; longer times are recorded as this value.
const MAX_US: u64 = 120_000_000;
/// Significant decimal digits of a recorded time.
const DIGITS: u8 = 3;

/// Outcome of an online request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete answer was received.
    Complete,
    /// The response had a status other than 200 to 299.
    Refused,
    /// No connection, no answer in time, or a truncated answer.
    Failed,
}

/// Quantiles of a histogram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// Counts and latencies of the online requests in one phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerStatistics {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers.
    pub whole: u64,
    /// Number of requests refused by status.
    pub refused: u64,
    /// Number of requests without a complete answer, refusals not included.
    pub failed: u64,
    /// Time from the planned arrival of a request to its first token.
    pub first_token: Quantiles,
    /// Time between successive tokens of an answer.
    pub between_tokens: Quantiles,
}

#[derive(Debug)]
struct State {
    first_token_us: Histogram<u64>,
    between_us: Histogram<u64>,
    sent: u64,
    whole: u64,
    refused: u64,
    failed: u64,
}

/// Counts and histograms shared by all callers of a phase.
#[derive(Debug)]
pub struct PhaseRecorder(Mutex<State>);

/// Creates an empty histogram of times in µs.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, DIGITS).expect("the bounds are constant and valid")
}

/// Records a time in µs; 0 counts as 1.
pub fn record_us(histogram: &mut Histogram<u64>, us: u64) {
    histogram.saturating_record(us.max(1));
}

/// Computes the quantiles of a histogram of times in µs.
pub fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        p50_ms: at(0.50),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

impl Default for PhaseRecorder {
    fn default() -> Self {
        PhaseRecorder(Mutex::new(State {
            first_token_us: histogram(),
            between_us: histogram(),
            sent: 0,
            whole: 0,
            refused: 0,
            failed: 0,
        }))
    }
}

impl PhaseRecorder {
    /// Counts a request that is sent.
    pub fn sent(&self) {
        self.0.lock().sent += 1;
    }

    /// Records the time from a request's planned arrival to its first token.
    pub fn first_token(&self, us: u64) {
        record_us(&mut self.0.lock().first_token_us, us);
    }

    /// Records the time since the previous token of the same answer.
    pub fn next_token(&self, us: u64) {
        record_us(&mut self.0.lock().between_us, us);
    }

    /// Counts the outcome of a request.
    pub fn ended(&self, outcome: RequestOutcome) {
        let mut state = self.0.lock();
        match outcome {
            RequestOutcome::Complete => state.whole += 1,
            RequestOutcome::Refused => state.refused += 1,
            RequestOutcome::Failed => state.failed += 1,
        }
    }

    /// Returns the statistics recorded so far.
    pub fn statistics(&self) -> CallerStatistics {
        let state = self.0.lock();
        CallerStatistics {
            sent: state.sent,
            whole: state.whole,
            refused: state.refused,
            failed: state.failed,
            first_token: quantiles(&state.first_token_us),
            between_tokens: quantiles(&state.between_us),
        }
    }
}
