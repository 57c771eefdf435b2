//! Tracks whether this instance reaches the platform's store directly.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Result of the latest direct call; shared by all users of the store.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    is_unreachable: Arc<AtomicBool>,
    became_unreachable: Arc<Notify>,
}

impl StoreHealth {
    /// Records the result of a direct call.
    pub fn record(&self, is_ok: bool) {
        let was_unreachable = self.is_unreachable.swap(!is_ok, Ordering::Relaxed);
        match (was_unreachable, is_ok) {
            (false, false) => {
                log::warn!("store not reachable, calling it through other instances");
                self.became_unreachable.notify_one();
            }
            (true, true) => log::info!("store reachable again"),
            _ => {}
        }
    }

    /// Whether the latest direct call failed.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable.load(Ordering::Relaxed)
    }

    /// Waits until a direct call fails.
    pub async fn wait_until_unreachable(&self) {
        while !self.is_unreachable() {
            self.became_unreachable.notified().await;
        }
    }
}
