//! Backoff of a batch item whose attempts failed.

use std::time::Duration;

use foxtailhold::crashes::{MAX_CRASHES, item_backoff_ms};
use tokio::time::Instant;

/// Delays are shortened by a random amount of up to one part in this many. Three delays in a row
/// last 10 s, which bounds how often an item comes back.
const JITTER_DIVISOR: u64 = 10;

/// Backoff of one item. Delays for several reasons run side by side.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    /// Number of crashes at the last backoff because of crashes.
    crashes: usize,
    ends_at: Option<Instant>,
}

impl Backoff {
    /// Begins a backoff if more backend servers may have crashed under the item than at the last one,
    /// and returns its length.
    pub(crate) fn begin_after_crashes(&mut self, crashes: usize) -> Option<u64> {
        let before = std::mem::replace(&mut self.crashes, crashes);
        if crashes <= before {
            return None;
        }
        let delay_ms = with_jitter(item_backoff_ms(crashes)?);
        self.extend(delay_ms);
        Some(delay_ms)
    }

    /// Begins a backoff after another crash of an item under which `crashes` backend servers are known
    /// to have crashed. The crash may have been that of a start which is not known yet.
    pub(crate) fn begin_after_failure(&mut self, crashes: usize) {
        if crashes < MAX_CRASHES {
            return;
        }
        if let Some(delay_ms) = item_backoff_ms(crashes) {
            self.extend(with_jitter(delay_ms));
        }
    }

    /// Ends the backoff no earlier than in `delay_ms`.
    pub(crate) fn extend(&mut self, delay_ms: u64) {
        let ends_at = Instant::now() + Duration::from_millis(delay_ms);
        self.ends_at = self.ends_at.max(Some(ends_at));
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
