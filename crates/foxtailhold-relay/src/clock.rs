//! The process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use foxtailhold::time::{MonoMs, WallMs};

/// Milliseconds since the first use, and the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }
}

impl Clock {
    /// Monotonic time, for every decision.
    pub fn mono(&self) -> MonoMs {
        MonoMs(self.origin.elapsed().as_millis() as u64)
    }

    /// Time of day, for deadlines that outlive the process.
    pub fn wall(&self) -> WallMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallMs(since.map_or(0, |duration| duration.as_millis() as u64))
    }
}
