//! Circuit breaker of one backend server (Nygard, "Release It!"): set aside for a growing, jittered
//! time after failures, then tried again by one request at a time.

use crate::time::MonoMs;

/// Time set aside after the first failure.
pub const BASE_MS: u64 = 500;
/// Longest time set aside.
pub const MAX_MS: u64 = 30_000;
/// A trial whose outcome is not known by then gives way to another one.
pub const TRIAL_MS: u64 = 10_000;

/// Whether a backend server may be used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Availability {
    /// It serves.
    #[default]
    Available,
    /// It failed before; the next request is its trial.
    HalfOpen,
    /// It failed, or its trial runs.
    Ejected,
}

/// The breaker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Breaker {
    failures: u32,
    blocked_until: MonoMs,
}

impl Breaker {
    /// Notes a failure; `draw` is a random number for the jitter of a half up or down.
    pub fn failed(&mut self, now: MonoMs, draw: u64) {
        let base_ms = MAX_MS.min(BASE_MS << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let jittered_ms = base_ms / 2 + draw % base_ms;
        self.blocked_until = self.blocked_until.max(now + jittered_ms);
    }

    /// Notes a success: it serves again.
    pub fn succeeded(&mut self) {
        *self = Breaker::default();
    }

    /// Notes that a request is sent; where that is the trial, others wait for its outcome.
    pub fn sent(&mut self, now: MonoMs) {
        if self.availability(now) == Availability::HalfOpen {
            self.blocked_until = now + TRIAL_MS;
        }
    }

    /// Until when it is set aside.
    pub fn blocked_until(&self) -> MonoMs {
        self.blocked_until
    }

    /// Whether it may be used.
    pub fn availability(&self, now: MonoMs) -> Availability {
        if self.failures == 0 {
            return Availability::Available;
        }
        if self.blocked_until > now {
            return Availability::Ejected;
        }
        Availability::HalfOpen
    }
}
