//! Attempt counts of one batch item over all owners of its job, and whether it may be tried again.
//!
//! An owner stores each failed response, and from the second attempt on also the start of the
//! attempt before it sends the request. If the owner is lost during an attempt, that attempt
//! therefore counts as one with an unknown outcome.

use serde::{Deserialize, Serialize};

/// Number of attempts with an unknown outcome after which an item backs off. Any of them may have
/// been answered with a permanent error.
pub const MAX_PENDING_ATTEMPTS: u32 = 3;

/// Counts of the attempts at one item, stored as JSON.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Number of failed responses.
    pub failed: u32,
    /// Number of attempts that were started and whose outcome is not stored.
    #[serde(rename = "open")]
    pub pending: u32,
}

/// Decision on the next attempt at an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptDecision {
    /// The next attempt may start.
    Allowed,
    /// The item has failed too often and ends with an error.
    GiveUp,
    /// The next attempt may start only after a long delay, because too many attempts have an unknown
    /// outcome.
    Backoff,
}

impl AttemptCounts {
    /// Returns the counts of an item without a stored record. The first owner stores nothing before
    /// the first attempt, so if an owner was lost, one attempt is counted as pending.
    pub fn without_record(lost_owners: u32) -> Self {
        AttemptCounts {
            failed: 0,
            pending: lost_owners.min(1),
        }
    }

    /// Whether the start of the next attempt has to be stored before the attempt is sent.
    pub fn must_record_start(&self, lost_owners: u32) -> bool {
        lost_owners > 0 || *self != AttemptCounts::default()
    }

    /// Decides on the next attempt. `max_failed` is the number of failed responses that the route
    /// allows.
    pub fn next_attempt(&self, max_failed: u32) -> AttemptDecision {
        if self.failed >= max_failed.max(1) {
            return AttemptDecision::GiveUp;
        }
        if self.pending >= MAX_PENDING_ATTEMPTS {
            return AttemptDecision::Backoff;
        }
        AttemptDecision::Allowed
    }

    /// Returns the counts with one more pending attempt.
    pub fn with_pending_attempt(self) -> Self {
        AttemptCounts {
            pending: self.pending + 1,
            ..self
        }
    }

    /// Records a failed response.
    pub fn record_failure(&mut self) {
        self.failed += 1;
    }

    /// Records that the item received events, which shows that no attempt was answered with a
    /// permanent error.
    pub fn record_events(&mut self) {
        self.pending = 0;
    }
}
