//! What an engine's slots were used for, counted by the engine itself.

use serde::{Deserialize, Serialize};

/// Prompts that contain this text are counted apart, so that a measurement can tell batch items
/// from online requests. The engine treats both alike.
pub const BATCH_MARKER: &str = "overnight report";

/// Counters since the start. One slot busy for one second is 1,000,000 µs of slot time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Slots of the engine.
    pub slots: u64,
    /// Time since the start.
    pub elapsed_us: u64,
    /// Slot time used by all requests.
    pub busy_slot_us: u64,
    /// Slot time used by requests counted apart.
    #[serde(rename = "apart_slot_us")]
    pub batch_slot_us: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests counted apart that were finished.
    #[serde(rename = "apart_finished")]
    pub batch_finished: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens generated for requests counted apart.
    #[serde(rename = "apart_tokens")]
    pub batch_tokens: u64,
}

impl EngineCounters {
    /// What was counted between `earlier` and `self`.
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

    /// Slot time that requests not counted apart left unused.
    pub fn idle_slot_us(&self) -> u64 {
        let others = self.busy_slot_us.saturating_sub(self.batch_slot_us);
        (self.slots * self.elapsed_us).saturating_sub(others)
    }
}
