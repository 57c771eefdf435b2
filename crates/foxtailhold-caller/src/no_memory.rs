//! Refuses requests for which there is no memory.

use std::fmt::Display;

use foxtailhold::refusal::{Refusal, RefusalReason};

/// Time after which the caller should come back.
const RETRY_AFTER_MS: u64 = 1_000;

/// The refusal of a request that did not run; `cause` goes into the log.
pub fn refusal(cause: &impl Display) -> Refusal {
    log::info!("request refused: {cause}");
    Refusal::not_run(RefusalReason::NoMemory).retry_after_ms(RETRY_AFTER_MS)
}
