//! The quota of a route, and how fast the items of its jobs end.

use std::collections::VecDeque;
use std::time::Duration;

use foxtailhold_platform::VersionedRow;
use tokio::time::Instant;

use crate::jobs::QuotaRow;

/// Key prefix of the rows of quotas.
pub const QUOTA_PREFIX: &str = "quota/";
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

/// Quota of a route as known to this instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaView {
    /// Version of the row, 0 if there is none.
    pub version: u64,
    /// Decoded row.
    pub row: QuotaRow,
    /// Tokens of unfinished items now; `None` if the job accepted together with the row is not
    /// known yet.
    pub waiting_tokens: Option<u64>,
    /// Tokens of items that end in a second; `None` if none has ended for a while.
    pub tokens_per_s: Option<f64>,
}

impl QuotaView {
    /// Time in ms until items with `tokens` have ended; `None` if nothing tells.
    pub fn drain_ms(&self, tokens: u64) -> Option<u64> {
        let seconds = tokens as f64 / self.tokens_per_s?;
        Some((1_000.0 * seconds) as u64)
    }

    /// Upper bound of the waiting tokens. After an acceptance their number only falls until the
    /// next acceptance.
    pub fn max_waiting_tokens(&self) -> u64 {
        self.waiting_tokens.unwrap_or(self.row.waiting_tokens)
    }
}

/// Reads the quota row in the answer to a conflicting commit.
pub fn parse_quota(row: &VersionedRow) -> Option<QuotaView> {
    row.key.key.strip_prefix(QUOTA_PREFIX)?;
    let value = row.value.as_deref()?;
    Some(QuotaView {
        version: row.version,
        row: serde_json::from_slice(value).ok()?,
        waiting_tokens: None,
        tokens_per_s: None,
    })
}
