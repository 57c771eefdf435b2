//! Time values that callers pass to the state machines, which never read a clock.

use std::ops::Add;

use serde::{Deserialize, Serialize};

/// Milliseconds on the monotonic clock of one process. Not comparable between processes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoMs(pub u64);

impl MonoMs {
    /// Milliseconds since `earlier`; 0 if `earlier` is later than `self`.
    pub fn since_ms(self, earlier: MonoMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for MonoMs {
    type Output = MonoMs;

    fn add(self, rhs_ms: u64) -> MonoMs {
        MonoMs(self.0.saturating_add(rhs_ms))
    }
}

/// Milliseconds since the Unix epoch on the wall clock of one process.
///
/// Used in the timeline and for deadlines that callers and operators see, never for leases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WallMs(pub u64);
