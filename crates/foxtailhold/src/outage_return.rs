//! When callers that are turned away during an outage of the platform's store should come back.
//!
//! Nobody knows the end of an outage, and by the contract callers retry a few times. An attempt during
//! the outage is lost, so callers come back after about as long again as the outage has lasted. The same
//! holds for a service without a backend server.

/// Least length that is assumed of an outage: a call of the store may take this long until it shows that
/// the store is back.
pub const SHORT_OUTAGE_MS: u64 = 1_500;
/// Longest time after which a caller should come back.
pub const MAX_RETURN_MS: u64 = 10_000;
/// Time after which a caller should come back if the store is not known to be away.
pub const NO_OUTAGE_RETURN_MS: u64 = 300;
/// A caller waits at most for one part in this many of the time that it has left, and keeps the rest
/// for the next attempt.
const TIME_PARTS: u64 = 3;

/// Time after which a caller should come back. `outage_ms`: how long the store has been away, if it
/// is. `left_ms`: the time that the caller has left, if it says.
pub fn return_after_ms(outage_ms: Option<u64>, left_ms: Option<u64>) -> u64 {
    let Some(outage_ms) = outage_ms else {
        return NO_OUTAGE_RETURN_MS;
    };
    let wanted_ms = outage_ms.clamp(SHORT_OUTAGE_MS, MAX_RETURN_MS);
    let useful_ms = left_ms.map_or(wanted_ms, |left_ms| left_ms / TIME_PARTS);
    wanted_ms.min(useful_ms).max(NO_OUTAGE_RETURN_MS)
}
