//! Refuses a job at the door that cannot be finished by its deadline.

use foxtailhold::batch::deadline_check::DeadlineCheck;
use foxtailhold::ids::JobId;
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold::rendezvous;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::Platform;

use crate::shared::Shared;

/// Limit for the home to judge a job.
const JUDGE_TIMEOUT_MS: u64 = 500;

/// Judges a job of `items` due within `window_ms`, by the work and the rate of this instance.
pub fn estimate_locally<P: Platform>(
    shared: &Shared<P>,
    items: u64,
    window_ms: u64,
) -> DeadlineCheck {
    let landing = shared.chunk_slots.landing();
    landing.check(items, window_ms, shared.clock.wall())
}

/// Refuses a job that its home says cannot land. A home that does not answer is no reason to
/// refuse.
pub async fn check<P: Platform>(
    shared: &Shared<P>,
    job: &JobId,
    items: u64,
    window_ms: u64,
) -> Result<()> {
    let DeadlineCheck::Infeasible {
        needed_ms,
        retry_after_ms,
    } = judge(shared, job, items, window_ms).await
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

async fn judge<P: Platform>(
    shared: &Shared<P>,
    job: &JobId,
    items: u64,
    window_ms: u64,
) -> DeadlineCheck {
    let members = shared.live_members();
    let ids = members.iter().map(|member| &member.id);
    let home = rendezvous::select(ids, job.as_str().as_bytes());
    let home = home.filter(|home| **home != shared.settings.instance);
    let Some(member) = home.and_then(|home| shared.member(home)) else {
        return estimate_locally(shared, items, window_ms);
    };
    let request = PeerRequest::CheckJobDeadline { items, window_ms };
    let address = member.peer_address;
    match shared.peers.ask(address, &request, JUDGE_TIMEOUT_MS).await {
        Ok(PeerAnswer::JobDeadline(verdict)) => verdict,
        _ => DeadlineCheck::Feasible,
    }
}
