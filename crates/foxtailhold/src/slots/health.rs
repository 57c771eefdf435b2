//! Health of one backend server, estimated from the responses that all instances received from it.

use crate::breaker::{Availability, Breaker};
use crate::slots::SlotOutcome;
use crate::time::MonoMs;

/// Consecutive broken responses after which a backend server is ejected. A single one is usual in a
/// fleet that loses a few responses in a hundred, and ejection costs all slots of the server.
pub const MAX_CONSECUTIVE_BROKEN: u32 = 3;
/// Weight of the newest response in the moving average of broken responses.
const SHARE_WEIGHT: f64 = 0.2;
/// A backend server whose share of broken responses exceeds this is ejected. Three broken responses
/// out of five reach it.
const MAX_BROKEN_SHARE: f64 = 0.45;
/// A share of broken responses up to this, which is one broken response, costs no slot: it is
/// usual, and slots are scarce.
const USUAL_BROKEN_SHARE: f64 = 0.2;
/// Factor by which the share above [`USUAL_BROKEN_SHARE`] reduces the slots, until the server has
/// responded well for a while. A server that fails half of its requests must not get all slots back
/// with its first success.
const SLOTS_PER_SHARE: f64 = 4.0;
/// A backend server that reported itself full gets no new request for this time, while it is not known
/// how long its requests take.
pub const FULL_BACKOFF_MS: u64 = 40;
/// Longest time for which an ejection blocks all slots. While more than this remains of the
/// ejection, one slot stays usable for a probe, since a backend server is usually back a few
/// seconds after a crash.
pub const MAX_EJECTION_MS: u64 = 4_000;

/// Recent failures of one backend server.
#[derive(Debug, Clone, Default)]
pub struct BackendHealth {
    breaker: Breaker,
    consecutive_broken: u32,
    broken_share: f64,
    full_until: MonoMs,
}

impl BackendHealth {
    /// Records how a request at the backend server ended. `draw` is a random number for the jitter
    /// of the ejection time.
    pub fn note(&mut self, now: MonoMs, outcome: SlotOutcome, draw: u64) {
        match outcome {
            SlotOutcome::Done { .. } => {
                self.consecutive_broken = 0;
                self.broken_share *= 1.0 - SHARE_WEIGHT;
                self.breaker.succeeded();
            }
            SlotOutcome::Full => self.record_full(now, FULL_BACKOFF_MS),
            SlotOutcome::Unreachable | SlotOutcome::Silent => self.eject(now, draw),
            SlotOutcome::Broken => {
                self.consecutive_broken += 1;
                self.broken_share += SHARE_WEIGHT * (1.0 - self.broken_share);
                if self.consecutive_broken >= MAX_CONSECUTIVE_BROKEN
                    || self.broken_share > MAX_BROKEN_SHARE
                {
                    self.eject(now, draw);
                }
            }
            SlotOutcome::Abandoned => {}
        }
    }

    /// Records that the backend server is full, and likely to have a free slot after `for_ms`.
    pub fn record_full(&mut self, now: MonoMs, for_ms: u64) {
        self.full_until = now + for_ms;
    }

    fn eject(&mut self, now: MonoMs, draw: u64) {
        if self.breaker.availability(now) == Availability::Ejected {
            return;
        }
        self.breaker.failed(now, draw);
    }

    /// Number of slots that the recent responses justify, at least one.
    fn trusted_slots(&self, slots: u32) -> u32 {
        let unusual_share = (self.broken_share - USUAL_BROKEN_SHARE).max(0.0);
        let kept_share = 1.0 - SLOTS_PER_SHARE * unusual_share;
        let kept = (f64::from(slots) * kept_share).ceil() as u32;
        kept.clamp(1, slots.max(1))
    }

    /// When a slot may be in use, if none may now.
    pub fn usable_at(&self, now: MonoMs) -> MonoMs {
        match self.breaker.availability(now) {
            Availability::Ejected => self.full_until.max(self.breaker.blocked_until()),
            Availability::Available | Availability::HalfOpen => self.full_until,
        }
    }

    /// Number of its `slots` that may be in use now.
    pub fn limit(&self, now: MonoMs, slots: u32) -> u32 {
        if self.full_until > now {
            return 0;
        }
        match self.breaker.availability(now) {
            Availability::Available => self.trusted_slots(slots),
            Availability::HalfOpen => 1,
            Availability::Ejected
                if self.breaker.blocked_until().since_ms(now) > MAX_EJECTION_MS =>
            {
                1
            }
            Availability::Ejected => 0,
        }
    }
}
