//! Selects the batch items that are preempted for queued online requests.

use std::cmp::Reverse;

use crate::slots::{BackendSlots, SlotNotice, SlotRequest, SlotRequestId};
use crate::software_version::SoftwareVersion;
use crate::time::MonoMs;

/// A batch item whose slot an online request may get.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    /// The slot request of the item.
    pub(super) request: &'a SlotRequestId,
    /// Its backend server.
    pub(super) config: &'a BackendSlots,
    /// Whether the backend server has a free slot once the item has ended.
    pub(super) frees_slot: bool,
    /// Whether the item was late when it was granted its slot.
    pub(super) is_late: bool,
    /// Time until which it could wait and meet its deadline.
    pub(super) slack_until: MonoMs,
    /// Since when it is being preempted.
    pub(super) preempting_since: &'a mut Option<MonoMs>,
    /// Whether it ends for one of the queued requests.
    pub(super) is_claimed: bool,
}

impl Candidate<'_> {
    fn is_free_for(&self, version: &SoftwareVersion) -> bool {
        !self.is_claimed && self.frees_slot && self.config.version == *version
    }

    fn claim(&mut self, now: MonoMs, decisions: &mut Vec<SlotNotice>) {
        self.is_claimed = true;
        if self.preempting_since.is_some() {
            return;
        }
        *self.preempting_since = Some(now);
        decisions.push(SlotNotice {
            request: self.request.clone(),
            decision: None,
        });
    }
}

/// Preempts as many batch items as there are `online` requests: first items that are already late,
/// then those with the most slack. A request for a version preempts only at backend servers that
/// it may be granted.
pub(super) fn preempt<'a>(
    now: MonoMs,
    mut candidates: Vec<Candidate<'_>>,
    online: impl Iterator<Item = &'a SlotRequest>,
    decisions: &mut Vec<SlotNotice>,
) {
    candidates.sort_by_key(|candidate| {
        let slack_until = Reverse(candidate.slack_until);
        (
            candidate.preempting_since.is_none(),
            !candidate.is_late,
            slack_until,
        )
    });
    let mut wanted_anywhere = 0;
    let mut exhausted: Vec<&SoftwareVersion> = Vec::new();
    for request in online {
        let Some(version) = &request.version else {
            wanted_anywhere += 1;
            continue;
        };
        if exhausted.contains(&version) {
            continue;
        }
        if let Some(candidate) = find_at_version(&mut candidates, request, version) {
            candidate.claim(now, decisions);
            continue;
        }
        if !candidates.iter().any(|c| c.is_free_for(version)) {
            exhausted.push(version);
        }
    }
    let unclaimed = candidates.iter_mut().filter(|c| !c.is_claimed);
    for candidate in unclaimed.take(wanted_anywhere) {
        candidate.claim(now, decisions);
    }
}

fn find_at_version<'c, 'a>(
    candidates: &'c mut [Candidate<'a>],
    request: &SlotRequest,
    version: &SoftwareVersion,
) -> Option<&'c mut Candidate<'a>> {
    let mut candidates = candidates.iter_mut();
    candidates.find(|c| c.is_free_for(version) && !request.avoid.contains(&c.config.backend))
}
