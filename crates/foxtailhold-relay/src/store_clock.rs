//! The steady clock of the platform's store, which all instances share.

use std::sync::Arc;

use foxtailhold_http::lock::Mutex;
use tokio::time::Instant;

/// A time that differs by more than this from what is known counts once two answers agree on it.
const MAX_STEP_MS: i64 = 60_000;

/// Times of the store at the start of the process, in ms.
#[derive(Debug, Default)]
struct Offsets {
    /// By the answers so far; `None` before the first one.
    known_ms: Option<i64>,
    /// By the latest answer, if it differs much.
    doubtful_ms: Option<i64>,
}

/// The time of the store, as its answers state it; cheap to clone. It is never ahead of the store, and
/// behind by the time that the fastest answer took.
#[derive(Debug, Clone)]
pub struct StoreClock {
    start: Instant,
    offsets: Arc<Mutex<Offsets>>,
}

impl Default for StoreClock {
    fn default() -> Self {
        StoreClock {
            start: Instant::now(),
            offsets: Arc::default(),
        }
    }
}

/// Whether two offsets can be of one clock.
fn agree(a_ms: i64, b_ms: i64) -> bool {
    a_ms.abs_diff(b_ms) <= MAX_STEP_MS.unsigned_abs()
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
        let mut offsets = self.offsets.lock();
        let doubtful_ms = offsets.doubtful_ms.take();
        match offsets.known_ms {
            Some(known_ms) if agree(known_ms, offset_ms) => {
                offsets.known_ms = Some(known_ms.max(offset_ms));
            }
            Some(_) if doubtful_ms.is_none_or(|doubtful_ms| !agree(doubtful_ms, offset_ms)) => {
                offsets.doubtful_ms = Some(offset_ms);
            }
            _ => offsets.known_ms = Some(offset_ms),
        }
    }

    /// The time of the store in ms; `None` before its first answer.
    pub fn now_ms(&self) -> Option<u64> {
        let offset_ms = self.offsets.lock().known_ms?;
        u64::try_from(offset_ms + self.elapsed_ms()).ok()
    }
}
