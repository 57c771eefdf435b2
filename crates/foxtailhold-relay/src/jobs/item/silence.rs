//! What a batch item does while its backend server is silent. A sound one may send nothing for a
//! second or so and go on, so the run stays open while a slot is sought elsewhere.

use std::time::Duration;

use foxtailhold::slots::SlotOutcome;
use foxtailhold_platform::{ObjectStore, RowStore};
use tokio::sync::watch;
use tokio::time::Instant;

use super::attempt::{AttemptEnd, MAX_RUN_SILENCE_MS};
use super::version::VersionWait;
use super::{GrantedSlot, ItemRunner, RETRY_DELAY_MS};
use crate::dialect::Dialect;
use crate::jobs::Job;
use crate::peers::{BackendLiveness, Slot, SlotError};
use crate::upstream::AttemptFailure;

/// A run without a head or an event for this time counts as silent.
const EVENT_TIMEOUT_MS: u64 = 900;

impl<S: RowStore + ObjectStore, D: Dialect> ItemRunner<'_, S, D> {
    /// Waits until the run at `slot` is silent and a slot has been granted elsewhere. If the run
    /// speaks before, the slot request is withdrawn. An error ends the run without another slot.
    pub(super) async fn slot_after_silence(
        &self,
        job: &Job,
        slot: &Slot,
        mut heard: watch::Receiver<Instant>,
    ) -> Result<GrantedSlot, AttemptEnd> {
        loop {
            let silent_at = *heard.borrow_and_update() + self.event_timeout();
            if tokio::time::timeout_at(silent_at, heard.changed())
                .await
                .is_ok()
            {
                continue;
            }
            log::info!(
                job = self.id.as_str(), item = self.item.id.as_str(),
                backend = slot.backend().as_str(), after = self.events();
                "backend server of an item is silent, requesting a slot elsewhere"
            );
            tokio::select! {
                biased;
                _ = heard.changed() => {}
                found = self.slot_elsewhere(job, slot) => return found,
            }
        }
    }

    /// Time without a head or an event after which a slot is sought elsewhere. An item that may have
    /// been answered before that it can never be completed stays for as long as the answer may come,
    /// because each further run may be one too many.
    fn event_timeout(&self) -> Duration {
        let unanswered = self.unanswered + self.counts.pending;
        match self.events() == 0 && unanswered > 0 {
            true => Duration::from_millis(MAX_RUN_SILENCE_MS),
            false => Duration::from_millis(EVENT_TIMEOUT_MS),
        }
    }

    /// Requests slots until one is granted at a backend server that is not known to be silent too.
    async fn slot_elsewhere(&self, job: &Job, silent: &Slot) -> Result<GrantedSlot, AttemptEnd> {
        let mut avoid = vec![silent.backend().clone()];
        let mut wait = VersionWait::default();
        while self.is_still_owned() {
            let routes = self.jobs.relay.routes.load_full();
            let Some(route) = routes.find(&job.host, &job.path) else {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            };
            match self.request_slot(route, job, &avoid, &mut wait).await {
                Ok((slot, backend)) => {
                    if slot.backend_liveness() != BackendLiveness::Silent {
                        return Ok((slot, backend));
                    }
                    avoid.push(backend.id.clone());
                    slot.close(SlotOutcome::Abandoned);
                    continue;
                }
                Err(SlotError::TimedOut | SlotError::VersionGone) => {}
                Err(SlotError::Refused { .. }) => {
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                    continue;
                }
            }
            if silent.backend_liveness() == BackendLiveness::Speaking {
                // The backend server has lost this run.
                return Err(AttemptEnd::Interrupted(AttemptFailure::Silent));
            }
            avoid.truncate(1);
        }
        Err(AttemptEnd::Suspended)
    }
}
