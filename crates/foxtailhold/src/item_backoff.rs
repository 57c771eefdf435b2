//! Backoff of batch items under which backend servers crashed.

use crate::crash_status::MAX_CRASHES;

/// Backoff of a batch item before the attempt whose crash would be one too many. Engines that end
/// for their own reasons often end together, and they are known to be down after this time.
const ITEM_DELAY_MS: u64 = 1_000;
/// Backoff of a batch item after [`MAX_CRASHES`]. It is short, so that an innocent item is soon
/// done.
const ITEM_FIRST_BACKOFF_MS: u64 = 2_500;
/// Every later backoff. It bounds how often an item that crashes engines comes back; an innocent one
/// is placed within this time once engines stay up.
const ITEM_MAX_BACKOFF_MS: u64 = 4_600;
/// Trials of an item that ended with a crash from which on it is likelier to crash engines by itself
/// than to have met crashes of another cause.
const MIN_CRASHED_TRIALS: u32 = 2;
/// Backoff of such an item. It is owed an attempt every 20 s.
const CRASHED_TRIALS_BACKOFF_MS: u64 = 9_000;

/// Backoff in ms of a batch item under which this number of backend servers crashed, before its next
/// attempt; `None` if it may run at once. The attempts have no end: an item is owed until it is
/// given up.
pub fn item_backoff_ms(crashes: usize) -> Option<u64> {
    match crashes.checked_sub(MAX_CRASHES) {
        None if crashes + 1 == MAX_CRASHES => Some(ITEM_DELAY_MS),
        None => None,
        Some(0) => Some(ITEM_FIRST_BACKOFF_MS),
        Some(_) => Some(ITEM_MAX_BACKOFF_MS),
    }
}

/// Backoff in ms of a batch item after this number of trials that ended with the crash of a backend
/// server; `None` if [`item_backoff_ms`] alone decides.
pub fn crashed_trials_backoff_ms(crashed_trials: u32) -> Option<u64> {
    (crashed_trials >= MIN_CRASHED_TRIALS).then_some(CRASHED_TRIALS_BACKOFF_MS)
}
