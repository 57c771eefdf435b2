//! Trials of batch items under which backend servers crashed.
//!
//! Such an item runs as a trial until it has shown that it runs. How many trials run side by side
//! bounds what items that crash backend servers cost the fleet. In calm the number doubles with each
//! trial that is passed, and it falls back to one with each crash, so that many items which merely ran
//! beside crashes are tried within a few rounds.

use std::collections::BTreeSet;

use crate::time::MonoMs;

/// Time without a crash under an item that needs trials, from which on passed trials raise their number.
const CALM_MS: u64 = 3_000;
/// Most trials that an instance runs side by side.
const MAX_TRIALS: usize = 64;

/// Place of an item among those that wait for a trial. The smaller one goes first: items that crashed
/// backend servers in trials yield to those that did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrialOrder {
    /// Trials of the item that ended with a crash.
    pub crashed_trials: u32,
    /// Trials in a row that ended before the item was sent, as when it found no slot.
    pub missed_trials: u32,
    /// Backend servers that crashed under the item.
    pub crashes: usize,
    /// When the item last ran.
    pub idle_since: MonoMs,
    /// Tells items apart that are equal otherwise.
    pub number: u64,
}

/// The trials of one instance and the items that wait for one.
#[derive(Debug, Clone)]
pub struct TrialQueue {
    waiting: BTreeSet<TrialOrder>,
    running: usize,
    limit: usize,
    /// No trial begins before this time.
    next: Option<MonoMs>,
    /// Number of crashes so far.
    crashes: u64,
    /// When the last crash is long enough ago.
    calm_from: Option<MonoMs>,
}

/// What was known when a trial began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialBegin {
    /// Number of crashes by then.
    crashes: u64,
    /// Whether there was calm, and the item had crashed no backend server in a trial.
    raises_limit: bool,
}

impl Default for TrialQueue {
    fn default() -> Self {
        TrialQueue {
            waiting: BTreeSet::new(),
            running: 0,
            limit: 1,
            next: None,
            crashes: 0,
            calm_from: None,
        }
    }
}

impl TrialQueue {
    /// Adds an item that asks for a trial from now on.
    pub fn join(&mut self, order: TrialOrder) {
        self.waiting.insert(order);
    }

    /// Removes an item that no longer asks.
    pub fn leave(&mut self, order: &TrialOrder) {
        self.waiting.remove(order);
    }

    /// Begins the trial of a waiting item if it is its turn. Each admitted trial is ended by
    /// [`TrialQueue::end`].
    pub fn admit(&mut self, order: &TrialOrder, now: MonoMs) -> Option<TrialBegin> {
        let is_early = self.next.is_some_and(|next| now < next);
        let free = self.limit.saturating_sub(self.running);
        if is_early || !self.waiting.iter().take(free).any(|first| first == order) {
            return None;
        }
        self.waiting.remove(order);
        self.running += 1;
        Some(TrialBegin {
            crashes: self.crashes,
            raises_limit: order.crashed_trials == 0
                && self.calm_from.is_none_or(|calm_from| now >= calm_from),
        })
    }

    /// Ends a trial.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that an item has shown in its trial that it runs. It says nothing about the crashes
    /// since the trial began, nor about items that crash backend servers later than they are passed.
    pub fn record_pass(&mut self, begin: TrialBegin) {
        if begin.raises_limit && begin.crashes == self.crashes {
            self.limit = (2 * self.limit).min(MAX_TRIALS);
        }
    }

    /// Records that a backend server crashed under an item that needs trials. No trial begins within the
    /// next `delay_ms`.
    pub fn record_crash(&mut self, delay_ms: u64, now: MonoMs) {
        self.limit = 1;
        self.crashes += 1;
        self.next = Some(now + delay_ms);
        self.calm_from = Some(now + CALM_MS);
    }
}
