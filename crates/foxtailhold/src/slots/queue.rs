//! The requests that wait for a slot, their order, and which of them a free slot may go to.

use crate::slots::{SlotRequest, Urgency};
use crate::software_version::SoftwareVersion;
use crate::time::MonoMs;

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: SlotRequest,
    pub(super) queued_at: MonoMs,
    pub(super) slack_until: MonoMs,
    pub(super) last_request_at: MonoMs,
}

impl QueuedRequest {
    /// Its place in the queue.
    pub(super) fn key(&self, now: MonoMs) -> QueueKey {
        queue_key(now, &self.request, self.slack_until)
    }
}

/// Free slots that remain during one round of grants.
#[derive(Debug)]
pub(super) struct FreeSlots {
    pub(super) free: u64,
    pub(super) headroom: u64,
    /// Time for which batch items usually wait: one with less slack may use the headroom.
    pub(super) urgent_slack_ms: u64,
    /// Free slots of each listed version; empty if no queued request names a version.
    pub(super) by_version: Vec<(SoftwareVersion, u64)>,
}

impl FreeSlots {
    /// Whether a slot may be granted to the waiting request. A batch item that would miss its deadline
    /// by the usual wait may use the headroom, since it is preempted anyway when an online request
    /// needs its slot.
    pub(super) fn allows(&self, now: MonoMs, waiting: &QueuedRequest) -> bool {
        let until = waiting.slack_until;
        let is_urgent = until > now && until < now + self.urgent_slack_ms;
        if let Some(version) = &waiting.request.version {
            let mut versions = self.by_version.iter();
            if !versions.any(|(listed, free)| listed == version && *free > 0) {
                return false;
            }
        }
        match waiting.request.urgency {
            Urgency::Batch if !is_urgent => self.free > self.headroom,
            _ => self.free > 0,
        }
    }

    /// Whether no engine of a version is listed. Without any engine, nothing can be told.
    pub(super) fn is_gone(&self, version: &SoftwareVersion) -> bool {
        let mut versions = self.by_version.iter();
        !self.by_version.is_empty() && versions.all(|(listed, _)| listed != version)
    }

    pub(super) fn take(&mut self, version: &SoftwareVersion) {
        self.free -= 1;
        let mut versions = self.by_version.iter_mut();
        if let Some((_, free)) = versions.find(|(listed, _)| listed == version) {
            *free -= 1;
        }
    }
}

/// Place of a request in the queue, the first one being the least.
pub(super) type QueueKey = (bool, u8, bool, bool, i128);

/// Queue order: online before batch, then by priority. Streams that are resumed, which name a
/// version, go before new ones: their callers have a part of the answer already, and other engines
/// cannot complete it. Then whoever has the least time left, so that no caller waits without end behind
/// later ones. Batch items that can still meet their deadline go before late ones, which keep their
/// deadline however often they ask anew.
pub(super) fn queue_key(now: MonoMs, request: &SlotRequest, slack_until: MonoMs) -> QueueKey {
    // An item may have become late before the clock of the allocator started.
    let due_ms = i128::from(slack_until.0) - i128::from(request.late_ms);
    match request.urgency {
        Urgency::Online { priority } => {
            let is_new = request.version.is_none();
            (false, priority, is_new, false, due_ms)
        }
        Urgency::Batch => (true, 0, false, slack_until <= now, due_ms),
    }
}
