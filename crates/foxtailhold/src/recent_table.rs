//! What was seen lately, in a table of fixed size. It is written with every response, so it takes no
//! lock and may forget what was seen when its place is taken.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::time::WallMs;

/// Places of the table.
const PLACES: usize = 4_096;
/// Bits of a place that hold the time; the others identify what was seen.
const TIME_BITS: u32 = 40;
const TIME_MASK: u64 = (1 << TIME_BITS) - 1;
/// Time for which what was seen is remembered.
const RETENTION_MS: u64 = 600_000;

/// When each hash was seen last.
#[derive(Debug)]
pub struct RecentTable(Box<[AtomicU64]>);

impl Default for RecentTable {
    fn default() -> Self {
        RecentTable((0..PLACES).map(|_| AtomicU64::new(0)).collect())
    }
}

impl RecentTable {
    fn place(&self, hash: u64) -> (&AtomicU64, u64) {
        (&self.0[hash as usize % PLACES], hash & !TIME_MASK)
    }

    /// Records that a hash was seen at `now`.
    pub fn record(&self, hash: u64, now: WallMs) {
        let (place, tag) = self.place(hash);
        place.store(tag | now.0 & TIME_MASK, Ordering::Relaxed);
    }

    /// Whether a hash was seen last before `at`, and not long before.
    pub fn was_seen_before(&self, hash: u64, at: WallMs) -> bool {
        let (place, tag) = self.place(hash);
        let value = place.load(Ordering::Relaxed);
        let before_ms = (at.0 & TIME_MASK).checked_sub(value & TIME_MASK);
        value & !TIME_MASK == tag && before_ms.is_some_and(|before| before < RETENTION_MS)
    }
}
