//! What the runs of one batch item came to, over all its owners, and whether it may run again.
//!
//! An owner writes down each failed answer, and each further run before it begins, so that a run whose
//! owner was lost in the middle of it counts as one whose outcome is not known.

use serde::{Deserialize, Serialize};

/// Runs without a known outcome after which an item rests: any of them may have been the answer
/// that it can never be done.
pub const MOST_OPEN_RUNS: u32 = 3;

/// The account of one item.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Answers that count as failed.
    pub failed: u32,
    /// Runs that began and whose outcome nobody has written down.
    #[serde(rename = "open")]
    pub pending: u32,
}

/// Whether an item may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptDecision {
    /// It may.
    Allowed,
    /// It has failed too often.
    GiveUp,
    /// It rests until it may be given up: too many runs have no known outcome.
    Backoff,
}

impl AttemptCounts {
    /// The account of an item of which nothing is written down: its first owner writes nothing before
    /// the first run, and may be lost in it.
    pub fn without_record(lost_owners: u32) -> Self {
        AttemptCounts {
            failed: 0,
            pending: lost_owners.min(1),
        }
    }

    /// Whether the beginning of the next run is written down first.
    pub fn must_record_start(&self, lost_owners: u32) -> bool {
        lost_owners > 0 || *self != AttemptCounts::default()
    }

    /// Whether the item may run, on a route that allows so many failed answers.
    pub fn next_attempt(&self, most_failed: u32) -> AttemptDecision {
        if self.failed >= most_failed.max(1) {
            return AttemptDecision::GiveUp;
        }
        if self.pending >= MOST_OPEN_RUNS {
            return AttemptDecision::Backoff;
        }
        AttemptDecision::Allowed
    }

    /// The account while one more run is under way.
    pub fn with_pending_attempt(self) -> Self {
        AttemptCounts {
            pending: self.pending + 1,
            ..self
        }
    }

    /// Notes a failed answer.
    pub fn record_failure(&mut self) {
        self.failed += 1;
    }

    /// Notes that the item gave events: no run of it was the answer that it can never be done.
    pub fn record_events(&mut self) {
        self.pending = 0;
    }
}
