//! Items as ordinary unstreamed requests to the least loaded replica: a baseline for measurements.

use std::time::Duration;

use foxtailhold::batch::MAX_ITEM_ATTEMPTS;
use foxtailhold::refusal::{Refusal, RefusalReason};
use foxtailhold_engine::EngineAnswer;
use foxtailhold_platform::Platform;

use crate::gateway::dispatch::{self, AttemptHistory};
use crate::jobs::item::{EndedItem, ItemPolicy, ItemRun};
use crate::jobs::item_body::ItemBody;
use crate::shared::Shared;

/// Pause before an item is offered again to full engines.
const FULL_PAUSE_MS: u64 = 200;

/// Items as ordinary requests. Waits while engines are full or none is there; failures count
/// against the item.
#[derive(Debug, Clone, Copy)]
pub struct OrdinaryItems;

impl ItemPolicy for OrdinaryItems {
    async fn run<P: Platform>(
        &self,
        shared: &Shared<P>,
        run: &ItemRun<'_>,
        body: ItemBody,
    ) -> EndedItem {
        let id = shared.request_id();
        let unstreamed = ItemBody {
            streamed: None,
            ..body
        };
        let outgoing = run.outgoing(id.clone(), unstreamed);
        let mut failures = 0;
        loop {
            if !run.is_owned(shared) {
                tokio::time::sleep(Duration::from_millis(FULL_PAUSE_MS)).await;
                continue;
            }
            let mut attempts = AttemptHistory::default();
            match dispatch::open(shared, &outgoing, None, &mut attempts).await {
                Ok(opened) => {
                    if let EngineAnswer::Whole(answer) = opened.answer
                        && let Some(ended) = run.answered(&id, &answer)
                    {
                        return ended;
                    }
                    failures += 1;
                }
                Err(refusal) if is_full(&refusal) => {}
                Err(refusal) if refusal.reason == RefusalReason::Quarantined => {
                    return run.failed(&id, "quarantined", refusal.to_string());
                }
                Err(refusal) => {
                    failures += attempts.tried.len() as u32;
                    if failures >= MAX_ITEM_ATTEMPTS {
                        return run.failed(&id, "backend_failed", refusal.to_string());
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(FULL_PAUSE_MS)).await;
        }
    }
}

fn is_full(refusal: &Refusal) -> bool {
    matches!(
        refusal.reason,
        RefusalReason::NoBackend { .. } | RefusalReason::Overloaded { .. }
    )
}
