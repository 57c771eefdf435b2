//! For how long something has been missing from a copy of shared state.
//!
//! Only time up to which the copy has every change counts, and it counts anew after the copy was late:
//! meanwhile what is missing may have been there.

use crate::time::MonoMs;

/// Something that a copy lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    since: MonoMs,
    /// Moment up to which the copy has every change.
    as_of: MonoMs,
}

impl Absence {
    /// Something that is missing, at `now`, from a copy that has every change made before `as_of`.
    pub fn new(now: MonoMs, as_of: MonoMs) -> Self {
        Absence { since: now, as_of }
    }

    /// Records that it is still missing. A copy that gets further by `bound_ms` or more at once has been
    /// late.
    pub fn observe(&mut self, now: MonoMs, as_of: MonoMs, bound_ms: u64) {
        if as_of.since_ms(self.as_of) >= bound_ms {
            self.since = now;
        }
        self.as_of = self.as_of.max(as_of);
    }

    /// Milliseconds for which it is known to have been missing.
    pub fn known_ms(&self) -> u64 {
        self.as_of.since_ms(self.since)
    }
}
