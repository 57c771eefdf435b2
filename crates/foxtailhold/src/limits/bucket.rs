//! A token bucket whose rate and burst can change at run time.

use crate::limits::MAX_RETRY_AFTER_MS;
use crate::time::MonoMs;

/// A token bucket. Its level falls below zero where a request used more than it was charged.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    refilled_at: MonoMs,
}

impl TokenBucket {
    /// Creates a bucket that holds `level`, at most `burst`.
    pub fn new(rate_per_s: f64, burst: f64, level: f64, now: MonoMs) -> Self {
        TokenBucket {
            rate_per_s,
            burst,
            level: level.min(burst),
            refilled_at: now,
        }
    }

    /// Sets rate and burst. The current level is kept, up to the new burst.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: f64, now: MonoMs) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Time in ms until the level reaches `amount`, zero if it has, at most [`MAX_RETRY_AFTER_MS`].
    pub fn wait_ms(&mut self, amount: f64, now: MonoMs) -> u64 {
        self.refill(now);
        if self.level >= amount {
            return 0;
        }
        let wait_ms = ((amount - self.level) / self.rate_per_s * 1_000.0).ceil();
        wait_ms.clamp(1.0, MAX_RETRY_AFTER_MS as f64) as u64
    }

    /// Takes `amount` out; the level may fall below zero.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Adds `amount`, up to the burst.
    pub fn give(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.burst);
    }

    /// Removes and returns everything above zero.
    pub fn drain(&mut self, now: MonoMs) -> f64 {
        self.refill(now);
        let drained = self.level.max(0.0);
        self.level -= drained;
        drained
    }

    /// The level after refilling up to `now`.
    pub fn level(&mut self, now: MonoMs) -> f64 {
        self.refill(now);
        self.level
    }

    /// Whether the level has reached the burst.
    pub fn is_full(&mut self, now: MonoMs) -> bool {
        self.level(now) >= self.burst
    }

    fn refill(&mut self, now: MonoMs) {
        let elapsed_ms = now.since_ms(self.refilled_at) as f64;
        self.level = (self.level + elapsed_ms * self.rate_per_s / 1_000.0).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
