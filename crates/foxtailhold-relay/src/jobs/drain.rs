//! How fast the items of a route's jobs end.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time over which ended items are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Tokens of the items that ended a short time ago, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Drain {
    ended: VecDeque<(Instant, u64)>,
}

impl Drain {
    /// Records that items with `tokens` have ended.
    pub(super) fn record(&mut self, now: Instant, tokens: u64) {
        self.ended.push_back((now, tokens));
        while self.ended.front().is_some_and(|(at, _)| now - *at > WINDOW) {
            self.ended.pop_front();
        }
    }

    /// Tokens that end in a second; `None` if none has ended in the last ten.
    pub(super) fn tokens_per_s(&self, now: Instant) -> Option<f64> {
        let recent = self.ended.iter().filter(|(at, _)| now - *at <= WINDOW);
        let tokens: u64 = recent.clone().map(|(_, tokens)| tokens).sum();
        let (first, _) = recent.clone().next()?;
        // The first ones ended over an unknown time, and count as over a second at least.
        let seconds = (now - *first).as_secs_f64().max(1.0);
        Some(tokens as f64 / seconds).filter(|rate| *rate > 0.0)
    }
}
