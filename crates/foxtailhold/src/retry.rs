//! Retry budget of one instance (Google SRE book, chapter 22). Retries are limited to a share of
//! the first attempts plus a small fixed rate, so that a failing fleet gets little more load than a
//! healthy one.

use crate::time::MonoMs;

/// Retries that each first attempt adds to the budget.
pub const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Retries per second that are allowed without any traffic.
pub const MIN_RETRIES_PER_S: f64 = 5.0;
/// Upper limit of the budget, enough to retry the streams of one lost engine.
pub const MAX_SAVED_RETRIES: f64 = 256.0;

/// Number of retries that an instance may still send.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    available: f64,
    refilled_at: MonoMs,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: MonoMs) -> Self {
        RetryBudget {
            available: MAX_SAVED_RETRIES,
            refilled_at: now,
        }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + RETRIES_PER_FIRST_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_retry(&mut self, now: MonoMs) -> bool {
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.available =
            (self.available + elapsed_ms * MIN_RETRIES_PER_S / 1_000.0).min(MAX_SAVED_RETRIES);
        self.refilled_at = self.refilled_at.max(now);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
