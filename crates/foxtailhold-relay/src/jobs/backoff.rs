//! Backoff of a batch item under which backend servers crashed.

use std::time::Duration;

use foxtailhold::crashes::{ItemBackoff, item_backoff};
use tokio::time::Instant;

/// Delays are shortened by a random amount of up to one part in this many.
const JITTER_DIVISOR: u64 = 4;

/// Backoff of one item.
#[derive(Debug, Default)]
pub(crate) struct CrashBackoff {
    /// Number of crashes at the last backoff.
    crashes: usize,
    ends_at: Option<Instant>,
}

impl CrashBackoff {
    /// Starts a backoff if the item has crashed more backend servers than at the last one, and
    /// returns its length. The item is given up in `left_ms`.
    pub(crate) fn begin(&mut self, crashes: usize, left_ms: u64) -> Option<u64> {
        if crashes <= self.crashes {
            return None;
        }
        self.crashes = crashes;
        let delay_ms = match item_backoff(crashes, left_ms) {
            ItemBackoff::None => return None,
            ItemBackoff::Delay { pause_ms } => with_jitter(pause_ms),
            ItemBackoff::NoMoreAttempts => left_ms,
        };
        self.ends_at = Some(Instant::now() + Duration::from_millis(delay_ms));
        Some(delay_ms)
    }

    /// Time left of the current backoff.
    pub(crate) fn remaining(&self) -> Duration {
        let remaining = |ends_at: Instant| ends_at.saturating_duration_since(Instant::now());
        self.ends_at.map_or(Duration::ZERO, remaining)
    }
}

/// Adds jitter, so that items interrupted by the same crash are not retried together with the item
/// that caused it.
fn with_jitter(delay_ms: u64) -> u64 {
    delay_ms - rand::random_range(0..=delay_ms / JITTER_DIVISOR)
}
