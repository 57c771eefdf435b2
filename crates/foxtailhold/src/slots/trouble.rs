//! Trust in one backend server, from the answers that all instances got.

use crate::breaker::{Availability, Breaker};
use crate::slots::Outcome;
use crate::time::MonoMs;

/// Broken answers in a row after which a backend server is set aside. One alone is usual on a
/// fleet that loses a few answers in a hundred, and setting aside costs all its places.
pub const BROKEN_IN_A_ROW: u32 = 3;
/// After saying that it is full a backend server gets nothing new for this time, about two requests
/// of a step each.
pub const FULL_MS: u64 = 40;
/// Longest time that a backend server is set aside: it is back some seconds after a crash.
pub const MOST_ASIDE_MS: u64 = 4_000;

/// What is known against one backend server.
#[derive(Debug, Clone, Default)]
pub struct Trouble {
    breaker: Breaker,
    broken: u32,
    full_until: MonoMs,
}

impl Trouble {
    /// Notes how a use of it ended.
    pub fn note(&mut self, now: MonoMs, outcome: Outcome, draw: u64) {
        match outcome {
            Outcome::Done { .. } => {
                self.broken = 0;
                self.breaker.succeeded();
            }
            Outcome::Full => self.full_until = now + FULL_MS,
            Outcome::Unreachable | Outcome::Silent => self.set_aside(now, draw),
            Outcome::Broken => {
                self.broken += 1;
                if self.broken >= BROKEN_IN_A_ROW {
                    self.set_aside(now, draw);
                }
            }
            Outcome::Abandoned => {}
        }
    }

    /// Notes that it answers to at least one request.
    pub fn alive(&mut self) {
        self.breaker.succeeded();
    }

    fn set_aside(&mut self, now: MonoMs, draw: u64) {
        if self.breaker.availability(now) == Availability::SetAside {
            return;
        }
        self.breaker.failed(now, draw);
    }

    /// How many of its `slots` may be in use now.
    pub fn limit(&self, now: MonoMs, slots: u32) -> u32 {
        if self.full_until > now {
            return 0;
        }
        match self.breaker.availability(now) {
            Availability::Open => slots,
            Availability::HalfOpen => 1,
            Availability::SetAside
                if self.breaker.blocked_until().since_ms(now) > MOST_ASIDE_MS =>
            {
                1
            }
            Availability::SetAside => 0,
        }
    }
}
