//! Backoff of batch items under which backend servers crashed.

use crate::crash_status::MAX_CRASHES;

/// Backoff of a batch item before the attempt whose crash would be one too many. Engines that end
/// for their own reasons often end together, and they are known to be down after this time.
const ITEM_DELAY_MS: u64 = 1_000;
/// Backoff of a batch item after [`MAX_CRASHES`]. It is short, so that an innocent item is soon
/// done.
const ITEM_FIRST_BACKOFF_MS: u64 = 2_500;
/// Contract: once backend servers are calm, an owed item is at one of them again within this time.
pub const ITEM_RETURN_MS: u64 = 5_000;
/// Time in which an item whose backoff is over is at a backend server.
const PLACEMENT_MS: u64 = 400;
/// Every later backoff. An item that crashes engines comes back as seldom as the contract allows.
const ITEM_MAX_BACKOFF_MS: u64 = ITEM_RETURN_MS - PLACEMENT_MS;

/// Backoff of a batch item under which this number of backend servers crashed, before its next
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
