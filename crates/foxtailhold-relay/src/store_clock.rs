//! The steady clock of the platform's store, which all instances share.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use tokio::time::Instant;

/// No answer has stated the time yet.
const UNKNOWN: i64 = i64::MIN;
/// A time that is earlier by this much comes from another clock, which counts from then on.
const OTHER_CLOCK_MS: i64 = 60_000;

/// The time of the store, as its answers state it; cheap to clone. It is never ahead of the store, and
/// behind by the time that the fastest answer took.
#[derive(Debug, Clone)]
pub struct StoreClock {
    start: Instant,
    /// Time of the store at `start`, in ms.
    offset_ms: Arc<AtomicI64>,
}

impl Default for StoreClock {
    fn default() -> Self {
        StoreClock {
            start: Instant::now(),
            offset_ms: Arc::new(AtomicI64::new(UNKNOWN)),
        }
    }
}

impl StoreClock {
    fn elapsed_ms(&self) -> i64 {
        i64::try_from(self.start.elapsed().as_millis()).unwrap_or(i64::MAX)
    }

    /// Records the time in ms that an answer of the store states.
    pub fn observe(&self, store_ms: u64) {
        let Ok(store_ms) = i64::try_from(store_ms) else {
            return;
        };
        let offset_ms = store_ms - self.elapsed_ms();
        let known_ms = self.offset_ms.load(Ordering::Relaxed);
        let is_other = known_ms != UNKNOWN && known_ms - offset_ms > OTHER_CLOCK_MS;
        if is_other || offset_ms > known_ms {
            self.offset_ms.store(offset_ms, Ordering::Relaxed);
        }
    }

    /// The time of the store in ms; `None` before its first answer.
    pub fn now_ms(&self) -> Option<u64> {
        let offset_ms = self.offset_ms.load(Ordering::Relaxed);
        if offset_ms == UNKNOWN {
            return None;
        }
        u64::try_from(offset_ms + self.elapsed_ms()).ok()
    }
}
