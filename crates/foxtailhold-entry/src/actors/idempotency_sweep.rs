//! Deletes expired claims of idempotency keys, a bounded page at a time.
//!
//! Every sweep writes the fence row in the transaction that deletes the claims, on condition that
//! the fence has not changed. A sweep that the store applies late therefore fails and deletes
//! nothing. Otherwise it could delete a row that was written again after another sweep, since
//! versions start again at 1 after a row was deleted.

use foxtailhold::idempotency::{ClaimRow, ClaimState, StoredBody, is_expired};
use foxtailhold_platform::{Expect, KeyedRow, Operation, Platform, Result};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::actors::tick;
use crate::shared::Shared;
use crate::tables;

/// Period at which the instance that is assigned the sweep reads a page.
pub const SWEEP_PERIOD_MS: u64 = 5_000;
/// Rows read, and deleted at most, per sweep.
const PAGE_ROWS: usize = 500;
/// Rendezvous key that assigns the sweep to one instance.
const SWEEP_KEY: &[u8] = b"once-sweep";

/// Messages to the sweep actor.
#[derive(Debug)]
pub enum IdempotencySweepMessage {
    /// Periodic: read a page and delete its expired claims.
    Sweep,
}

/// The actor that sweeps expired claims.
#[derive(Debug)]
pub struct IdempotencySweepActor<P>(pub Shared<P>);

/// Progress of the sweep through the table.
#[derive(Debug, Default)]
pub struct OnceSweepState {
    /// Last key of the previous page; empty at the start of the table.
    after: String,
}

impl<P: Platform> Actor for IdempotencySweepActor<P> {
    type Msg = IdempotencySweepMessage;
    type State = OnceSweepState;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> std::result::Result<OnceSweepState, ActorProcessingErr> {
        tick(&myself, || IdempotencySweepMessage::Sweep, SWEEP_PERIOD_MS);
        Ok(OnceSweepState::default())
    }

    async fn handle(
        &self,
        _: ActorRef<Self::Msg>,
        IdempotencySweepMessage::Sweep: Self::Msg,
        state: &mut OnceSweepState,
    ) -> std::result::Result<(), ActorProcessingErr> {
        if !self.0.is_coordinator_for(SWEEP_KEY) {
            return Ok(());
        }
        if let Err(error) = self.sweep(state).await {
            log::warn!("expired claims could not be swept, retrying at the next period: {error}");
        }
        Ok(())
    }
}

impl<P: Platform> IdempotencySweepActor<P> {
    async fn sweep(&self, state: &mut OnceSweepState) -> Result<()> {
        let platform = &self.0.platform;
        let fence = platform.get(tables::ONCE_FENCE, tables::FENCE_KEY).await?;
        let page = platform
            .scan(tables::ONCE, "", &state.after, PAGE_ROWS)
            .await?;
        state.after = next_after(&page);
        let now = self.0.clock.wall();
        let mut deletes = Vec::new();
        for keyed in &page {
            let Ok(row) = keyed.row.read::<ClaimRow>() else {
                continue;
            };
            if !is_expired(&row, now) {
                continue;
            }
            self.delete_body(&keyed.key, &row).await?;
            let expect = Expect::Version(keyed.row.version);
            deletes.push(Operation::delete(tables::ONCE, &keyed.key, expect));
        }
        if deletes.is_empty() {
            return Ok(());
        }
        let expect = fence.map_or(Expect::Absent, |row| Expect::Version(row.version));
        let raise = Operation::put(tables::ONCE_FENCE, tables::FENCE_KEY, expect, &now);
        deletes.insert(0, raise);
        platform.transact(&deletes).await?;
        Ok(())
    }

    /// Deletes the stored answer body of a claim. This comes before the deletion of the row, so
    /// that no body is left without a row that refers to it.
    async fn delete_body(&self, key: &str, row: &ClaimRow) -> Result<()> {
        let may_have_body = match &row.state {
            ClaimState::Answered(answer) => answer.body == StoredBody::Object,
            ClaimState::Claimed => true,
            ClaimState::Released => false,
        };
        if !may_have_body {
            return Ok(());
        }
        let name = tables::once_object(key, &row.claim_id);
        self.0.platform.delete_object(&name).await
    }
}

/// The key after which the next page begins; empty after the last page, to start again.
fn next_after(page: &[KeyedRow]) -> String {
    match page.last() {
        Some(last) if page.len() == PAGE_ROWS => last.key.clone(),
        _ => String::new(),
    }
}
