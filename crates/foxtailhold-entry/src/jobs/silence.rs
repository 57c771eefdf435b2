//! Notices when the run of an item is silent.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// The time from which the run of an item counts as silent. Each event moves it on.
#[derive(Debug)]
pub struct SilenceWatch {
    silent_at: watch::Sender<Instant>,
}

impl SilenceWatch {
    /// Expects the first sign of life within `bound_ms`.
    pub fn new(bound_ms: u64) -> Self {
        let (silent_at, _) = watch::channel(Instant::now() + Duration::from_millis(bound_ms));
        SilenceWatch { silent_at }
    }

    /// Records a sign of life, and expects the next one within `bound_ms`.
    pub fn record_event(&self, bound_ms: u64) {
        let silent_at = Instant::now() + Duration::from_millis(bound_ms);
        self.silent_at.send_replace(silent_at);
    }

    /// Waits until the run is silent.
    pub async fn wait_for_silence(&self) {
        loop {
            let silent_at = *self.silent_at.borrow();
            if silent_at <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(silent_at).await;
        }
    }

    /// Waits for the next sign of life.
    pub async fn wait_for_event(&self) {
        let mut events = self.silent_at.subscribe();
        if events.changed().await.is_err() {
            std::future::pending().await
        }
    }
}
