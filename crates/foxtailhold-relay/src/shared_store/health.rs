//! Tracks whether this instance reaches the platform's store directly.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Result of the latest direct call; shared by all users of the store.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    is_lost: Arc<AtomicBool>,
    lost: Arc<Notify>,
}

impl StoreHealth {
    /// Records the result of a direct call.
    pub fn note(&self, is_ok: bool) {
        let was_lost = self.is_lost.swap(!is_ok, Ordering::Relaxed);
        match (was_lost, is_ok) {
            (false, false) => {
                log::warn!("store not reachable, calling it through other instances");
                self.lost.notify_one();
            }
            (true, true) => log::info!("store reachable again"),
            _ => {}
        }
    }

    /// Whether the latest direct call failed.
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Waits until a direct call fails.
    pub async fn wait_until_lost(&self) {
        while !self.is_lost() {
            self.lost.notified().await;
        }
    }
}
