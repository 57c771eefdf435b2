//! Trust in one backend server, from the answers that all instances got.

use crate::breaker::{Availability, Breaker};
use crate::slots::SlotOutcome;
use crate::time::MonoMs;

/// Broken answers in a row after which a backend server is set aside. One alone is usual on a
/// fleet that loses a few answers in a hundred, and setting aside costs all its places.
pub const BROKEN_IN_A_ROW: u32 = 3;
/// Weight of the newest answer in the running share of broken ones.
const SHARE_WEIGHT: f64 = 0.2;
/// A backend server whose running share of broken answers is over this is set aside: three broken ones
/// of five reach it.
const MOST_BROKEN_SHARE: f64 = 0.45;
/// A running share up to this, one broken answer, costs no place: it is usual, and places are dear.
const USUAL_BROKEN_SHARE: f64 = 0.2;
/// What is over it takes so many times that share of its places, until it has served well for a while:
/// one that fails half of its requests must not get all of them back with its first success.
const PLACES_PER_SHARE: f64 = 4.0;
/// After saying that it is full a backend server gets nothing new for this time, about two requests
/// of a step each.
pub const FULL_MS: u64 = 40;
/// Longest time that a backend server is set aside: it is back some seconds after a crash.
pub const MOST_ASIDE_MS: u64 = 4_000;

/// What is known against one backend server.
#[derive(Debug, Clone, Default)]
pub struct BackendHealth {
    breaker: Breaker,
    broken: u32,
    broken_share: f64,
    full_until: MonoMs,
}

impl BackendHealth {
    /// Notes how a use of it ended.
    pub fn note(&mut self, now: MonoMs, outcome: SlotOutcome, draw: u64) {
        match outcome {
            SlotOutcome::Done { .. } => {
                self.broken = 0;
                self.broken_share *= 1.0 - SHARE_WEIGHT;
                self.breaker.succeeded();
            }
            SlotOutcome::Full => self.full_until = now + FULL_MS,
            SlotOutcome::Unreachable | SlotOutcome::Silent => self.set_aside(now, draw),
            SlotOutcome::Broken => {
                self.broken += 1;
                self.broken_share += SHARE_WEIGHT * (1.0 - self.broken_share);
                if self.broken >= BROKEN_IN_A_ROW || self.broken_share > MOST_BROKEN_SHARE {
                    self.set_aside(now, draw);
                }
            }
            SlotOutcome::Abandoned => {}
        }
    }

    fn set_aside(&mut self, now: MonoMs, draw: u64) {
        if self.breaker.availability(now) == Availability::Ejected {
            return;
        }
        self.breaker.failed(now, draw);
    }

    /// The places that its answers of late have earned, at least one.
    fn trusted(&self, slots: u32) -> u32 {
        let unusual_share = (self.broken_share - USUAL_BROKEN_SHARE).max(0.0);
        let kept_share = 1.0 - PLACES_PER_SHARE * unusual_share;
        let kept = (f64::from(slots) * kept_share).ceil() as u32;
        kept.clamp(1, slots.max(1))
    }

    /// How many of its `slots` may be in use now.
    pub fn limit(&self, now: MonoMs, slots: u32) -> u32 {
        if self.full_until > now {
            return 0;
        }
        match self.breaker.availability(now) {
            Availability::Available => self.trusted(slots),
            Availability::HalfOpen => 1,
            Availability::Ejected if self.breaker.blocked_until().since_ms(now) > MOST_ASIDE_MS => {
                1
            }
            Availability::Ejected => 0,
        }
    }
}
