//! Leave to act on what is known of shared state, up to a moment.
//!
//! Whoever acts on the strength of a copy, or of ownership that others may have taken over, holds such
//! a lease and acts before it ends. A copy that has every change made before some moment gives one of
//! the bound that the act allows for (bounded staleness). Acts that the store itself fences, by a
//! condition on the row that they replace, need none.

use crate::time::MonoMs;

/// Leave to act until a moment on the monotonic clock of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[must_use]
pub struct ActLease {
    until: MonoMs,
}

impl ActLease {
    /// The lease of knowledge that was complete at `as_of`, for acts that allow for changes of the
    /// last `bound_ms`.
    pub fn new(as_of: MonoMs, bound_ms: u64) -> Self {
        ActLease {
            until: as_of + bound_ms,
        }
    }

    /// When it ends.
    pub fn until(self) -> MonoMs {
        self.until
    }

    /// Whether an act may be done now.
    pub fn covers(self, now: MonoMs) -> bool {
        now < self.until
    }
}
