//! Deletes expired claims of requests that must not be repeated, a bounded page at a time.
//!
//! Every sweep raises the fence row in its own transaction, so that a sweep that the store applies
//! late finds another fence and deletes nothing. Otherwise it could delete a row that was written
//! anew after another sweep, since versions start again at 1 where a row was deleted.

use foxtailhold::idempotency::{ClaimRow, ClaimState, StoredBody, is_expired};
use foxtailhold_platform::{Expect, KeyedRow, Operation, Platform, Result};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::actors::tick;
use crate::shared::Shared;
use crate::tables;

/// A page is read this often while this instance is the sweep's home.
pub const SWEEP_PERIOD_MS: u64 = 5_000;
/// Rows in a page.
const PAGE_ROWS: usize = 500;
/// What the sweep's home is found by.
const HOME_KEY: &[u8] = b"once-sweep";

/// Messages to the actor.
#[derive(Debug)]
pub enum IdempotencySweepMessage {
    /// Time to read a page.
    Sweep,
}

/// The actor.
#[derive(Debug)]
pub struct IdempotencySweepActor<P>(pub Shared<P>);

/// Its state.
#[derive(Debug, Default)]
pub struct OnceSweepState {
    /// The last key of the page before.
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
        if !self.0.is_coordinator_for(HOME_KEY) {
            return Ok(());
        }
        if let Err(error) = self.sweep(state).await {
            log::warn!("expired claims could not be swept: {error}");
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

    /// The body goes before its row, so that none is left without a row that names it.
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

/// Where the next page begins; from the start after the last page.
fn next_after(page: &[KeyedRow]) -> String {
    match page.last() {
        Some(last) if page.len() == PAGE_ROWS => last.key.clone(),
        _ => String::new(),
    }
}
