//! Circuit breaker of one backend server (Nygard, "Release It!"). After failures the server is
//! ejected for a growing, jittered time, then probed by one request at a time.

use crate::time::MonoMs;

/// Ejection time after the first failure.
pub const BASE_MS: u64 = 500;
/// Longest ejection time before jitter.
pub const MAX_MS: u64 = 30_000;
/// A probe without an outcome after this time is replaced by another one.
pub const PROBE_TIMEOUT_MS: u64 = 10_000;

/// Whether a backend server may be used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Availability {
    /// It may be used without restriction.
    #[default]
    Available,
    /// The ejection time is over; the next request is a probe.
    HalfOpen,
    /// It failed, or a probe is in progress.
    Ejected,
}

/// Breaker state of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Breaker {
    failures: u32,
    blocked_until: MonoMs,
}

impl Breaker {
    /// Records a failure. `draw` is a random number for the jitter, which is up to half of the
    /// ejection time in either direction.
    pub fn failed(&mut self, now: MonoMs, draw: u64) {
        let base_ms = MAX_MS.min(BASE_MS << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        let jittered_ms = base_ms / 2 + draw % base_ms;
        self.blocked_until = self.blocked_until.max(now + jittered_ms);
    }

    /// Records a success, which ends the ejection.
    pub fn succeeded(&mut self) {
        *self = Breaker::default();
    }

    /// Records that a request is sent. If it is the probe, other requests wait for its outcome.
    pub fn sent(&mut self, now: MonoMs) {
        if self.availability(now) == Availability::HalfOpen {
            self.blocked_until = now + PROBE_TIMEOUT_MS;
        }
    }

    /// End of the ejection time.
    pub fn blocked_until(&self) -> MonoMs {
        self.blocked_until
    }

    /// Whether the backend server may be used at `now`.
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
