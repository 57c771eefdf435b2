//! When refused callers come back, one after another as slots become free.

use std::collections::BTreeMap;

use crate::time::MonoMs;

/// The latest time at which a caller of each priority was told to come back.
#[derive(Debug, Default)]
pub(super) struct ReturnTimes {
    latest: BTreeMap<u8, MonoMs>,
}

impl ReturnTimes {
    /// Time in ms after which the next refused caller of a priority comes back: not before
    /// `earliest_ms`, and `interval_ms` after those of its priority and more urgent ones that were told
    /// before it.
    pub(super) fn assign(
        &mut self,
        now: MonoMs,
        priority: u8,
        earliest_ms: u64,
        interval_ms: u64,
    ) -> u64 {
        let told_before = self.latest.range(..=priority).map(|(_, at)| *at).max();
        let after_others = told_before.map_or(now, |at| at + interval_ms);
        let at = after_others.max(now + earliest_ms);
        self.latest.insert(priority, at);
        at.since_ms(now)
    }
}
