//! Deadline check: refuses a new batch job that cannot be finished by its deadline.

use foxtailhold::batch::deadline_check::DeadlineCheck;
use foxtailhold::ids::JobId;
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold::rendezvous;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::Platform;

use crate::shared::Shared;

/// Maximum wait for another instance's completion estimate.
const ESTIMATE_TIMEOUT_MS: u64 = 500;

/// Estimates from this instance's backlog and throughput whether a job of `items` can be finished
/// within `window_ms`.
pub fn estimate_locally<P: Platform>(
    shared: &Shared<P>,
    items: u64,
    window_ms: u64,
) -> DeadlineCheck {
    let estimator = shared.chunk_slots.estimator();
    estimator.check(items, window_ms, shared.clock.wall())
}

/// Refuses a job that cannot be finished in time by the estimate of the instance that would own it.
/// If that instance does not answer, the job is accepted.
pub async fn check<P: Platform>(
    shared: &Shared<P>,
    job: &JobId,
    items: u64,
    window_ms: u64,
) -> Result<()> {
    let DeadlineCheck::Infeasible {
        needed_ms,
        retry_after_ms,
    } = request_estimate(shared, job, items, window_ms).await
    else {
        return Ok(());
    };
    let mut refusal = Refusal::not_run(RefusalReason::DeadlineInfeasible {
        needed_ms,
        window_ms,
    });
    refusal.retry_after_ms = retry_after_ms;
    Err(refusal)
}

async fn request_estimate<P: Platform>(
    shared: &Shared<P>,
    job: &JobId,
    items: u64,
    window_ms: u64,
) -> DeadlineCheck {
    let members = shared.live_members();
    let ids = members.iter().map(|member| &member.id);
    let assigned = rendezvous::select(ids, job.as_str().as_bytes());
    let assigned = assigned.filter(|assigned| **assigned != shared.settings.instance);
    let Some(member) = assigned.and_then(|assigned| shared.member(assigned)) else {
        return estimate_locally(shared, items, window_ms);
    };
    let request = PeerRequest::CheckJobDeadline { items, window_ms };
    let address = member.peer_address;
    match shared
        .peers
        .call(address, &request, ESTIMATE_TIMEOUT_MS)
        .await
    {
        Ok(PeerAnswer::JobDeadline(check)) => check,
        _ => DeadlineCheck::Feasible,
    }
}
