//! Rounds of questions to all other instances: which batch jobs have you ended?
//!
//! While the store is away no further job can be ended, but one may have been just before, and its owner
//! may not have read that. When every instance that is alive has answered, the owner knows all ends that
//! were acknowledged there before it asked. One that is lost told the owner of each end before it
//! acknowledged it.

use std::collections::HashSet;
use std::hash::Hash;

use crate::time::MonoMs;

/// Rounds of questions. `M` identifies an instance.
#[derive(Debug)]
pub struct EndRounds<M> {
    round: u64,
    asked_at: MonoMs,
    waiting: HashSet<M>,
    complete_as_of: Option<MonoMs>,
}

impl<M> Default for EndRounds<M> {
    fn default() -> Self {
        EndRounds {
            round: 0,
            asked_at: MonoMs(0),
            waiting: HashSet::new(),
            complete_as_of: None,
        }
    }
}

impl<M: Copy + Eq + Hash> EndRounds<M> {
    /// Begins a round. `members` are all other instances that are alive. Returns its number, which
    /// answers repeat.
    pub fn ask(&mut self, now: MonoMs, members: &[M]) -> u64 {
        self.round += 1;
        self.asked_at = now;
        self.waiting = members.iter().copied().collect();
        self.review();
        self.round
    }

    /// Applies an answer to round `round`.
    pub fn answer(&mut self, round: u64, member: M) {
        if round != self.round {
            return;
        }
        self.waiting.remove(&member);
        self.review();
    }

    /// Members whose answer to the latest round is missing.
    pub fn waiting(&self) -> impl Iterator<Item = M> {
        self.waiting.iter().copied()
    }

    /// All ends that were acknowledged before this moment are known; `None` if no round was complete.
    pub fn complete_as_of(&self) -> Option<MonoMs> {
        self.complete_as_of
    }

    fn review(&mut self) {
        if self.waiting.is_empty() {
            self.complete_as_of = Some(self.asked_at);
        }
    }
}
