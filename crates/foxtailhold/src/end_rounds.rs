//! Rounds of questions to all other instances: which batch jobs have you ended?
//!
//! While the store is away no further job can be ended, but one may have been just before, and its owner
//! may not have read that. When every instance that may have ended one has answered, the owner knows all
//! ends that were acknowledged before it asked. An instance that has fallen silent counts as answered if
//! the store was away for it when it last answered: without the store it could not end a job.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use crate::time::MonoMs;

/// What an instance last answered.
#[derive(Debug, Clone, Copy)]
struct LastAnswer {
    is_store_away: bool,
}

/// An instance that is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AskedMember<M> {
    /// Identifies it.
    pub member: M,
    /// Whether it has been heard from recently, by this instance or by one that it hears.
    pub is_alive: bool,
}

/// What an instance answers, beside the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndAnswer {
    /// Time up to its answer of which it tells all ends. It is shorter after a restart.
    pub covers_ms: u64,
    /// Whether the store has not answered its last call.
    pub is_store_away: bool,
}

/// Rounds of questions. `M` identifies an instance.
#[derive(Debug)]
pub struct EndRounds<M> {
    round: u64,
    asked_at: MonoMs,
    /// Moment up to which all ends were known when the round began.
    known_as_of: MonoMs,
    waiting: HashSet<M>,
    last_answers: HashMap<M, LastAnswer>,
    complete_as_of: Option<MonoMs>,
}

impl<M> Default for EndRounds<M> {
    fn default() -> Self {
        EndRounds {
            round: 0,
            asked_at: MonoMs(0),
            known_as_of: MonoMs(0),
            waiting: HashSet::new(),
            last_answers: HashMap::new(),
            complete_as_of: None,
        }
    }
}

impl<M: Copy + Eq + Hash> EndRounds<M> {
    /// Begins a round. `members` are all other instances that may have ended a job since
    /// `known_as_of`, up to which moment the copy of the table of jobs has all ends. Returns its number,
    /// which answers repeat.
    pub fn ask(&mut self, now: MonoMs, known_as_of: MonoMs, members: &[AskedMember<M>]) -> u64 {
        self.round += 1;
        self.asked_at = now;
        self.known_as_of = self
            .complete_as_of
            .max(Some(known_as_of))
            .unwrap_or(known_as_of);
        self.last_answers
            .retain(|member, _| members.iter().any(|asked| asked.member == *member));
        let needed = members.iter().filter(|asked| {
            let last = self.last_answers.get(&asked.member);
            asked.is_alive || last.is_none_or(|last| !last.is_store_away)
        });
        self.waiting = needed.map(|asked| asked.member).collect();
        self.review();
        self.round
    }

    /// Applies an answer to round `round`. One that does not reach back far enough counts only after an
    /// earlier one without the store.
    pub fn answer(&mut self, round: u64, member: M, answer: EndAnswer) {
        if round != self.round {
            return;
        }
        let last = self.last_answers.get(&member);
        let reaches_back = self.asked_at.since_ms(self.known_as_of) <= answer.covers_ms;
        if !reaches_back && last.is_none_or(|last| !last.is_store_away) {
            return;
        }
        let is_store_away = answer.is_store_away;
        self.last_answers
            .insert(member, LastAnswer { is_store_away });
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
