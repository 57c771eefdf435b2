//! Fault switches of the platform stand-in.

use foxtailhold_platform::Operation;
use serde::{Deserialize, Serialize};

/// The faults that are switched on. `POST /standin/faults` sets all of them at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Table service and object store refuse every call with status 503, without effect.
    pub store_down: bool,
    /// The table service refuses every call with status 503, without effect; the object store
    /// works.
    pub table_down: bool,
    /// Reads and scans of this table are refused with status 503; empty for none.
    pub unreadable_table: String,
    /// The fleet list is refused with status 503.
    pub fleet_down: bool,
    /// Reads and scans of tables return their state of this long ago.
    pub read_lag_ms: u64,
    /// Delay added to each call of table service and object store.
    pub delay_ms: u64,
    /// Number of next writes that take effect but are answered with status 504.
    pub lose_write_answers: u32,
    /// Number of next writes that have no effect and are answered with status 504.
    pub lose_writes: u32,
    /// Restricts lost writes and lost answers to transactions that touch this table; empty for all
    /// writes.
    pub only_table: String,
}

/// Effect of the fault switches on one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteEffect {
    /// The write takes effect and is answered.
    Answered,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write has no effect and its answer is lost.
    Lost,
}

impl PlatformFaults {
    /// Returns the effect on the next write and counts it. `operations` are those of the
    /// transaction, empty for the write of an object.
    pub fn next_write(&mut self, operations: &[Operation]) -> WriteEffect {
        let named = |operation: &Operation| operation.table == self.only_table;
        if !self.only_table.is_empty() && !operations.iter().any(named) {
            return WriteEffect::Answered;
        }
        if self.lose_writes > 0 {
            self.lose_writes -= 1;
            return WriteEffect::Lost;
        }
        if self.lose_write_answers > 0 {
            self.lose_write_answers -= 1;
            return WriteEffect::AnswerLost;
        }
        WriteEffect::Answered
    }
}
