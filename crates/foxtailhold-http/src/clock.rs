//! The process's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use foxtailhold::time::{MonoMs, WallMs};
use tokio::time::Instant;

/// Reads the monotonic and the wall clock. Follows tokio's paused time in tests.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    wall_offset_ms: i64,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new(0)
    }
}

impl Clock {
    /// Clocks of a process that starts now, with `wall_offset_ms` added to the wall clock.
    pub fn new(wall_offset_ms: i64) -> Self {
        Clock {
            start: Instant::now(),
            wall_offset_ms,
        }
    }

    /// Milliseconds since the process started.
    pub fn mono(&self) -> MonoMs {
        MonoMs(self.start.elapsed().as_millis() as u64)
    }

    /// The instant of a time of [`Clock::mono`].
    pub fn instant(&self, at: MonoMs) -> Instant {
        self.start + Duration::from_millis(at.0)
    }

    /// Milliseconds since the Unix epoch.
    pub fn wall(&self) -> WallMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = since.map_or(0, |duration| duration.as_millis() as u64);
        WallMs(wall_ms.saturating_add_signed(self.wall_offset_ms))
    }
}
