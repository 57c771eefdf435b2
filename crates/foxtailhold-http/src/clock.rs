//! Clocks of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use foxtailhold::time::{MonoMs, WallMs};
use tokio::time::Instant;

/// Reads the monotonic and the wall clock. The monotonic clock follows tokio's paused time in
/// tests.
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
    /// Starts the monotonic clock at 0; `wall_offset_ms` is added to the wall clock.
    pub fn new(wall_offset_ms: i64) -> Self {
        Clock {
            start: Instant::now(),
            wall_offset_ms,
        }
    }

    /// Milliseconds since this clock was created.
    pub fn mono(&self) -> MonoMs {
        MonoMs(self.start.elapsed().as_millis() as u64)
    }

    /// Converts a time of [`Clock::mono`] to an instant.
    pub fn instant(&self, at: MonoMs) -> Instant {
        self.start + Duration::from_millis(at.0)
    }

    /// Milliseconds since the Unix epoch, with the offset added.
    pub fn wall(&self) -> WallMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = since.map_or(0, |duration| duration.as_millis() as u64);
        WallMs(wall_ms.saturating_add_signed(self.wall_offset_ms))
    }
}
