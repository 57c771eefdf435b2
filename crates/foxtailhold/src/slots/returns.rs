//! When refused callers come back, one after another as slots become free.

use std::collections::BTreeMap;

use crate::time::MonoMs;

/// The latest time at which a caller was told to come back.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: MonoMs,
    /// Time between two slots that become free, as it was then.
    interval_ms: u64,
}

impl Told {
    /// Time in ms until a slot is likely to be free after those for everyone told so far. It is shorter
    /// than was told then if slots become free more often by now.
    fn next_ms(self, now: MonoMs, interval_ms: u64) -> u64 {
        let left_ms = self.at.since_ms(now);
        if left_ms == 0 || interval_ms >= self.interval_ms {
            return (self.at + interval_ms).since_ms(now);
        }
        left_ms * interval_ms / self.interval_ms + interval_ms
    }
}

/// The latest time at which a caller of each priority was told to come back.
#[derive(Debug, Default)]
pub(super) struct ReturnTimes {
    latest: BTreeMap<u8, Told>,
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
        let told_before = self.latest.range(..=priority).map(|(_, told)| told);
        let after_others_ms = told_before.map(|told| told.next_ms(now, interval_ms)).max();
        let wait_ms = after_others_ms.unwrap_or(0).max(earliest_ms);
        let at = now + wait_ms;
        self.latest.insert(priority, Told { at, interval_ms });
        wait_ms
    }
}
