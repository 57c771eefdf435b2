//! Runs items as ordinary unstreamed requests to the least loaded backend server: a baseline for
//! measurements.

use std::time::Duration;

use foxtailhold::batch::MAX_ITEM_ATTEMPTS;
use foxtailhold::refusal::{Refusal, RefusalReason};
use foxtailhold_engine::EngineAnswer;
use foxtailhold_platform::Platform;

use crate::gateway::dispatch::AttemptHistory;
use crate::gateway::sending;
use crate::jobs::item::{FinishedItem, ItemPolicy, ItemTask, is_quarantine_over_soon};
use crate::jobs::item_body::ItemBody;
use crate::shared::Shared;

/// Wait before an item is sent again after any failure or refusal, or while the lease is not held.
const RETRY_DELAY_MS: u64 = 200;

/// Item policy that sends items as ordinary requests. Waits while no engine is available or all are
/// full; other failures count against the item.
#[derive(Debug, Clone, Copy)]
pub struct OrdinaryItemPolicy;

impl ItemPolicy for OrdinaryItemPolicy {
    async fn run<P: Platform>(
        &self,
        shared: &Shared<P>,
        task: &ItemTask<'_>,
        body: ItemBody,
    ) -> FinishedItem {
        let id = shared.request_id();
        let unstreamed = ItemBody {
            streamed: None,
            ..body
        };
        let outgoing = task.outgoing(id.clone(), unstreamed);
        let mut failures = 0;
        loop {
            if !task.may_start(shared) {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            }
            let mut attempts = AttemptHistory::default();
            match sending::open(shared, &outgoing, None, &mut attempts).await {
                Ok(opened) => {
                    if let EngineAnswer::Whole(answer) = opened.answer
                        && let Some(ended) = task.handle_answer(&id, &answer)
                    {
                        return ended;
                    }
                    failures += 1;
                }
                Err(refusal) if is_full(&refusal) => {}
                Err(refusal) if is_quarantine_over_soon(&refusal) => {}
                Err(refusal) if refusal.reason == RefusalReason::Quarantined => {
                    return task.failed(&id, "quarantined", refusal.to_string());
                }
                Err(refusal) => {
                    failures += attempts.tried.len() as u32;
                    if failures >= MAX_ITEM_ATTEMPTS {
                        return task.failed(&id, "backend_failed", refusal.to_string());
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

fn is_full(refusal: &Refusal) -> bool {
    matches!(
        refusal.reason,
        RefusalReason::NoBackend { .. } | RefusalReason::Overloaded { .. }
    )
}
