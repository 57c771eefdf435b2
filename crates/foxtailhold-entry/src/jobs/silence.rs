//! Notices when the run of an item is silent.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// The time from which the run of an item counts as silent. Each event moves it on.
#[derive(Debug)]
pub struct SilenceWatch {
    silent_at: watch::Sender<Instant>,
    has_output: AtomicBool,
}

impl SilenceWatch {
    /// Expects the first sign of life within `bound_ms`. `has_output` states whether the run goes on
    /// with output of an earlier one.
    pub fn new(bound_ms: u64, has_output: bool) -> Self {
        let (silent_at, _) = watch::channel(Instant::now() + Duration::from_millis(bound_ms));
        SilenceWatch {
            silent_at,
            has_output: AtomicBool::new(has_output),
        }
    }

    /// Records a sign of life, and expects the next one within `bound_ms`.
    pub fn record_event(&self, bound_ms: u64) {
        let silent_at = Instant::now() + Duration::from_millis(bound_ms);
        self.silent_at.send_replace(silent_at);
    }

    /// Records that the run has output.
    pub fn record_output(&self) {
        self.has_output.store(true, Ordering::Relaxed);
    }

    /// Whether there is output, which only engines of the same software version may go on with.
    pub fn has_output(&self) -> bool {
        self.has_output.load(Ordering::Relaxed)
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
