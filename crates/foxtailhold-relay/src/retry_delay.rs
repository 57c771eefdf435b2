//! Delays between the attempts at a write to the platform's store.

use std::time::Duration;

/// Delays of one write after another: each is random, between half and all of a bound that doubles
/// with every delay up to a maximum.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryDelay {
    first_ms: u64,
    next_ms: u64,
    max_ms: u64,
}

impl RetryDelay {
    /// Delays from `first_ms` up to `max_ms`.
    pub(crate) const fn new(first_ms: u64, max_ms: u64) -> Self {
        RetryDelay {
            first_ms,
            next_ms: first_ms,
            max_ms,
        }
    }

    /// The next delay.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay_ms = rand::random_range(self.next_ms / 2..=self.next_ms);
        self.next_ms = self.max_ms.min(self.next_ms.saturating_mul(2));
        Duration::from_millis(delay_ms)
    }

    /// Begins again with the first delay, after a success.
    pub(crate) fn reset(&mut self) {
        self.next_ms = self.first_ms;
    }
}
