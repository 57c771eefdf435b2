//! Usage counters of an engine's slots, kept by the engine itself.

use serde::{Deserialize, Serialize};

/// Text that marks a prompt as a batch item. Marked requests are counted separately, so that a
/// measurement can tell batch items from online requests; the engine serves both alike.
pub const BATCH_MARKER: &str = "overnight report";

/// Counters since the engine's start. One slot busy for one second is 1,000,000 µs of slot time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Maximum number of requests that the engine runs at once.
    pub slots: u64,
    /// Time since the engine's start, or between two samples in a difference.
    pub elapsed_us: u64,
    /// Slot time used by all requests.
    pub busy_slot_us: u64,
    /// Slot time used by batch items.
    #[serde(rename = "apart_slot_us")]
    pub batch_slot_us: u64,
    /// Requests that generated all their tokens, batch items included.
    pub finished: u64,
    /// Batch items that generated all their tokens.
    #[serde(rename = "apart_finished")]
    pub batch_finished: u64,
    /// Tokens generated, those for batch items included.
    pub tokens: u64,
    /// Tokens generated for batch items.
    #[serde(rename = "apart_tokens")]
    pub batch_tokens: u64,
}

impl EngineCounters {
    /// Returns the difference between `self` and the sample `earlier` of the same engine.
    pub fn since(&self, earlier: &EngineCounters) -> EngineCounters {
        EngineCounters {
            slots: self.slots,
            elapsed_us: self.elapsed_us.saturating_sub(earlier.elapsed_us),
            busy_slot_us: self.busy_slot_us.saturating_sub(earlier.busy_slot_us),
            batch_slot_us: self.batch_slot_us.saturating_sub(earlier.batch_slot_us),
            finished: self.finished.saturating_sub(earlier.finished),
            batch_finished: self.batch_finished.saturating_sub(earlier.batch_finished),
            tokens: self.tokens.saturating_sub(earlier.tokens),
            batch_tokens: self.batch_tokens.saturating_sub(earlier.batch_tokens),
        }
    }

    /// Returns the slot time that online requests did not use, in µs.
    pub fn idle_slot_us(&self) -> u64 {
        let others = self.busy_slot_us.saturating_sub(self.batch_slot_us);
        (self.slots * self.elapsed_us).saturating_sub(others)
    }
}
