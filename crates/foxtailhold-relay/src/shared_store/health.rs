//! Tracks whether this instance reaches the platform's store directly.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Result of the latest direct call; shared by all users of the store. It decides which path is
/// tried first here, and whether calls of other instances are refused.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    is_unreachable: Arc<AtomicBool>,
}

impl StoreHealth {
    /// Records the result of a direct call.
    pub fn record(&self, is_ok: bool) {
        let was_unreachable = self.is_unreachable.swap(!is_ok, Ordering::Relaxed);
        match (was_unreachable, is_ok) {
            (false, false) => {
                log::warn!("store not reachable, calling it through other instances");
            }
            (true, true) => log::info!("store reachable again"),
            _ => {}
        }
    }

    /// Whether the latest direct call failed.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable.load(Ordering::Relaxed)
    }
}
