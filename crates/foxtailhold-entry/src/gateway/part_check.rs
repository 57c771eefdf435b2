//! What the evidence against parts of prompts allows a request.

use foxtailhold::crashes::CrashStatus;
use foxtailhold::refusal::Result;
use foxtailhold_platform::Platform;

use crate::gateway::outgoing::{AttemptHistory, BACKEND_RETRY_AFTER_MS, OutgoingRequest};
use crate::part_news;
use crate::shared::Shared;

/// Refuses a request whose parts are refused now.
pub fn check_parts<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Result<()> {
    match outgoing.part_status(shared).0 {
        CrashStatus::Refused { left_ms } => Err(attempts.quarantined(left_ms)),
        CrashStatus::Allowed | CrashStatus::ProbeAllowed { .. } => Ok(()),
    }
}

/// Looks at the evidence against the parts of a request. Requests a probe if only that is allowed; a
/// granted one lasts until an attempt may have run. Returns whether the attempt is a probe.
pub async fn admit_parts<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    attempts: &AttemptHistory,
) -> Result<bool> {
    let (status, group) = outgoing.part_status(shared);
    match (status, group) {
        (CrashStatus::Refused { left_ms }, _) => Err(attempts.quarantined(left_ms)),
        (CrashStatus::ProbeAllowed { .. }, _) if attempts.has_unused_part_probe() => Ok(true),
        (CrashStatus::ProbeAllowed { .. }, Some(group)) => {
            if !part_news::request_probe(shared, group).await {
                return Err(attempts.quarantined(BACKEND_RETRY_AFTER_MS));
            }
            check_parts(shared, outgoing, attempts)?;
            Ok(true)
        }
        _ => Ok(false),
    }
}
