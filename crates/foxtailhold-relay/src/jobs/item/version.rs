//! At which service and software version a batch item goes on. Output of two services or versions
//! does not fit together, so an item with output resumes where it was written, or starts again from
//! nothing.

use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold_platform::{ObjectStore, RowStore};
use tokio::time::Instant;

use super::{GrantedSlot, ItemRunner};
use crate::dialect::Dialect;
use crate::fleet::BackendServer;
use crate::jobs::Job;
use crate::peers::{SlotError, SlotQuery};

/// Time limit of one slot request; afterwards route, job and deadline are checked again.
const SLOT_TIMEOUT_MS: u64 = 2_000;

/// Slack of an attempt that other items wait for, so that it goes before these and is preempted after
/// them. It lasts for one slot request.
const FIRST_SLACK_MS: u64 = SLOT_TIMEOUT_MS;

/// Whether other items wait for what an attempt shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Precedence {
    /// None does.
    None,
    /// Those do that are tried after it.
    BeforeItems,
    /// All those with the same suspected parts do.
    First,
}

/// Wait of an item for a slot at the version that wrote its output, over several slot requests.
#[derive(Debug, Default)]
pub(super) struct VersionWait {
    /// From then on a slot at any version is taken; `None` before the first request.
    ends_at: Option<Instant>,
}

impl<S: RowStore + ObjectStore, D: Dialect> ItemRunner<'_, S, D> {
    /// Requests a slot for an attempt, at a backend server that is not in `avoid`. An item with
    /// output asks for its version, as long as that is served and for at most the time in which the
    /// output could be written again.
    pub(super) async fn request_slot(
        &self,
        route: &Route,
        job: &Job,
        avoid: &[BackendId],
        wait: &mut VersionWait,
    ) -> Result<GrantedSlot, SlotError> {
        let relay = &self.jobs.relay;
        let written_by = self.partial_outputs.origin(&self.item.id);
        let (pool, mut version) = self.select_service(route, written_by.as_ref());
        let remaining_ms = self.jobs.item_durations().remaining_ms(self.events());
        let done_unix_ms = relay.clock.wall().0.saturating_add(remaining_ms);
        let (urgency, slack_ms, late_ms) = match self.precedence {
            Precedence::First => (Urgency::ITEM_PROBE, FIRST_SLACK_MS, 0),
            Precedence::BeforeItems => (Urgency::Batch, FIRST_SLACK_MS, 0),
            Precedence::None => (
                Urgency::Batch,
                job.due_unix_ms.saturating_sub(done_unix_ms),
                done_unix_ms.saturating_sub(job.due_unix_ms),
            ),
        };
        let timeout_ms = SLOT_TIMEOUT_MS.min(self.jobs.time_left_ms(job));
        let timeout_at = Instant::now() + Duration::from_millis(timeout_ms);
        let wait_ends_at = *wait.ends_at.get_or_insert_with(|| self.version_wait_end());
        let mut avoid_with_others = avoid.to_vec();
        loop {
            version = version.filter(|_| Instant::now() < wait_ends_at);
            let query = SlotQuery {
                pool,
                urgency,
                slack_ms,
                late_ms,
                avoid: version.map_or(avoid, |_| &avoid_with_others),
                deadline: version.map_or(timeout_at, |_| timeout_at.min(wait_ends_at)),
                version,
            };
            match relay.acquire_slot(&query).await {
                Ok((slot, backend)) => {
                    if version.is_none_or(|version| *version == backend.version) {
                        return Ok((slot, backend));
                    }
                    avoid_with_others.push(backend.id.clone());
                    slot.close(SlotOutcome::Abandoned);
                }
                Err(SlotError::VersionGone) if version.is_some() => version = None,
                Err(SlotError::TimedOut) if Instant::now() < timeout_at => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Selects a service of the route. For an item with output that is the service that wrote it if
    /// the route still leads there and the service has backend servers of the version that wrote it,
    /// which is then returned too.
    fn select_service<'r>(
        &self,
        route: &'r Route,
        written_by: Option<&'r StreamOrigin>,
    ) -> (&'r TargetName, Option<&'r SoftwareVersion>) {
        match written_by {
            Some(origin) if self.jobs.relay.backends.load().serves(route, origin) => {
                (&origin.service, Some(&origin.version))
            }
            _ => (route.service(rand::random()), None),
        }
    }

    /// End of a wait that begins now and lasts as long as writing the output again would take.
    fn version_wait_end(&self) -> Instant {
        let durations = self.jobs.item_durations();
        let whole_ms = durations.remaining_ms(0);
        let lost_ms = whole_ms.saturating_sub(durations.remaining_ms(self.events()));
        Instant::now() + Duration::from_millis(lost_ms)
    }

    /// Drops the output of the item if another service or version than that of `backend` has written
    /// it.
    pub(super) fn drop_output_of_other_origin(&self, backend: &BackendServer) {
        let Some(origin) = self.partial_outputs.origin(&self.item.id) else {
            return;
        };
        if origin == backend.origin() {
            return;
        }
        self.jobs.relay.metrics.item_outcome("started_again");
        log::info!(
            job = self.id.as_str(), item = self.item.id.as_str(),
            backend = backend.id.as_str(), after = self.events(),
            from_service = origin.service.as_str(), from = origin.version.as_str(),
            to_service = backend.service.as_str(), to = backend.version.as_str();
            "no slot at the software version of an item's output, item starts again from nothing"
        );
        self.partial_outputs.clear(&self.item.id);
    }
}
