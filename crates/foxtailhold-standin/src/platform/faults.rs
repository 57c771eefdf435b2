//! Fault switches of the platform's stand-in.

use foxtailhold_platform::Operation;
use serde::{Deserialize, Serialize};

/// Which faults are on. `POST /standin/faults` sets all of them at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Table and objects refuse at once, without effect.
    pub store_down: bool,
    /// The table refuses at once, without effect, while objects are served.
    pub table_down: bool,
    /// The fleet list refuses.
    pub fleet_down: bool,
    /// Reads and scans of tables see them as they were this long ago.
    pub read_lag_ms: u64,
    /// Each call to table and objects takes this much longer.
    pub delay_ms: u64,
    /// The next so many writes take effect and their answers are lost.
    pub lose_write_answers: u32,
    /// The next so many writes are lost without effect, and so are their answers.
    pub lose_writes: u32,
    /// Only transactions that touch this table lose writes and answers; empty for all writes.
    pub only_table: String,
}

/// What becomes of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteEffect {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It is lost.
    Lost,
}

impl PlatformFaults {
    /// The fate of the next write, a transaction of `operations`, none for an object.
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
