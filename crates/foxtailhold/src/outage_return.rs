//! When callers that are turned away during an outage of the platform's store should come back.
//!
//! Load pattern: every instance that has just started, and every call that the store has to make
//! durable, turns all its callers away for seconds, nobody knows the end of the outage, and each
//! caller has only a few attempts. An attempt during the outage is lost, so callers come back after
//! about as long again as the outage has lasted.

/// Length of an outage that has only just begun, as far as anyone can tell.
pub const SHORT_OUTAGE_MS: u64 = 1_500;
/// Longest time after which a caller should come back.
pub const MAX_RETURN_MS: u64 = 10_000;
/// Time after which a caller should come back if the store is not known to be away.
pub const NO_OUTAGE_RETURN_MS: u64 = 300;
/// Attempts that are left to a caller which comes back after this share of its time: one third of the
/// time is for the wait, the rest for being served and for another attempt.
const SHARE_OF_TIME: u64 = 3;

/// Time after which a caller should come back. `outage_ms`: how long the store has been away, if it
/// is. `left_ms`: the time that the caller has left, if it says.
pub fn return_after_ms(outage_ms: Option<u64>, left_ms: Option<u64>) -> u64 {
    let Some(outage_ms) = outage_ms else {
        return NO_OUTAGE_RETURN_MS;
    };
    let wanted_ms = outage_ms.clamp(SHORT_OUTAGE_MS, MAX_RETURN_MS);
    let useful_ms = left_ms.map_or(wanted_ms, |left_ms| left_ms / SHARE_OF_TIME);
    wanted_ms.min(useful_ms).max(NO_OUTAGE_RETURN_MS)
}
