//! Retry budget of one instance (Google SRE book, chapter 22): retries are a share of first tries,
//! with a floor, so that a failing fleet sees little more load than a sound one.

use crate::time::MonoMs;

/// Retries for each first try.
pub const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Retries a second that are there without any traffic.
pub const MIN_RETRIES_PER_S: f64 = 5.0;
/// Retries saved up at most: enough for the streams of a lost engine.
pub const MAX_SAVED_RETRIES: f64 = 256.0;

/// The budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    level: f64,
    filled_at: MonoMs,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(now: MonoMs) -> Self {
        RetryBudget {
            level: MAX_SAVED_RETRIES,
            filled_at: now,
        }
    }

    /// Notes a first try.
    pub fn record_first_attempt(&mut self) {
        self.level = (self.level + RETRIES_PER_FIRST_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry; `false` where none is left.
    pub fn try_retry(&mut self, now: MonoMs) -> bool {
        let elapsed_ms = now.since_ms(self.filled_at) as f64;
        self.level = (self.level + elapsed_ms * MIN_RETRIES_PER_S / 1_000.0).min(MAX_SAVED_RETRIES);
        self.filled_at = self.filled_at.max(now);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
