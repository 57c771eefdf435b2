//! What callers saw in one phase.

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Longest time that a histogram holds.
const MAX_US: u64 = 120_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer came.
    Whole,
    /// It was refused with a status of 400 or higher.
    Refused,
    /// No connection, no answer in time, or an answer cut short.
    Failed,
}

/// Three quantiles of a histogram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50_ms: f64,
    /// 95 of 100 are below.
    pub p95_ms: f64,
    /// 99 of 100 are below.
    pub p99_ms: f64,
}

/// What callers saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CallerStatistics {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Failures.
    pub failed: u64,
    /// Time from the planned arrival to the first token.
    pub first_token: Quantiles,
    /// Time between two tokens.
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

/// An empty histogram of µs.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, DIGITS).expect("the bounds are constant and valid")
}

/// Notes a time.
pub fn record_us(histogram: &mut Histogram<u64>, us: u64) {
    histogram.saturating_record(us.max(1));
}

/// Quantiles of a histogram of µs.
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
    /// A request is due.
    pub fn sent(&self) {
        self.0.lock().sent += 1;
    }

    /// A request's first token came.
    pub fn first_token(&self, us: u64) {
        record_us(&mut self.0.lock().first_token_us, us);
    }

    /// Another token came.
    pub fn next_token(&self, us: u64) {
        record_us(&mut self.0.lock().between_us, us);
    }

    /// A request ended.
    pub fn ended(&self, outcome: RequestOutcome) {
        let mut state = self.0.lock();
        match outcome {
            RequestOutcome::Whole => state.whole += 1,
            RequestOutcome::Refused => state.refused += 1,
            RequestOutcome::Failed => state.failed += 1,
        }
    }

    /// What was seen so far.
    pub fn seen(&self) -> CallerStatistics {
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
