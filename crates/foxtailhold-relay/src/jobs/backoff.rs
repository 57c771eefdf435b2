//! Rests of a batch item under which backend servers crashed.

use std::time::Duration;

use foxtailhold::crashes::{ItemBackoff, item_backoff};
use tokio::time::Instant;

/// Rests are shortened by up to this part of their time.
const JITTER_PART: u64 = 4;

/// The rest of one item.
#[derive(Debug, Default)]
pub(crate) struct CrashRest {
    /// The crashes after which it last rested.
    crashes: usize,
    until: Option<Instant>,
}

impl CrashRest {
    /// Begins a rest where the item has crashed more backend servers than when it last rested; returns how
    /// long it is. The item is given up in `left_ms`.
    pub(crate) fn begin(&mut self, crashes: usize, left_ms: u64) -> Option<u64> {
        if crashes <= self.crashes {
            return None;
        }
        self.crashes = crashes;
        let rest_ms = match item_backoff(crashes, left_ms) {
            ItemBackoff::None => return None,
            ItemBackoff::Delay { pause_ms } => shortened_at_random(pause_ms),
            ItemBackoff::NoMoreAttempts => left_ms,
        };
        self.until = Some(Instant::now() + Duration::from_millis(rest_ms));
        Some(rest_ms)
    }

    /// How long it still lasts.
    pub(crate) fn left(&self) -> Duration {
        let left = |until: Instant| until.saturating_duration_since(Instant::now());
        self.until.map_or(Duration::ZERO, left)
    }
}

/// Items that lost the same engines must not come back together with the one that crashed them.
fn shortened_at_random(rest_ms: u64) -> u64 {
    rest_ms - rand::random_range(0..=rest_ms / JITTER_PART)
}
