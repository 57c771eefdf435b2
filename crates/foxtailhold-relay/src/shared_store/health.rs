//! Whether this instance reaches the platform's store itself.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Set by the newest direct call; shared by all users of the store.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    is_lost: Arc<AtomicBool>,
    lost: Arc<Notify>,
}

impl StoreHealth {
    /// Notes how a direct call ended.
    pub fn note(&self, is_sound: bool) {
        let was_lost = self.is_lost.swap(!is_sound, Ordering::Relaxed);
        match (was_lost, is_sound) {
            (false, false) => {
                log::warn!("the store is lost");
                self.lost.notify_one();
            }
            (true, true) => log::info!("the store is back"),
            _ => {}
        }
    }

    /// Whether the newest direct call failed.
    pub fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Waits until the store is lost.
    pub async fn wait_lost(&self) {
        while !self.is_lost() {
            self.lost.notified().await;
        }
    }
}
