//! Allocates slots on behalf of all instances.

use foxtailhold::ids::{InstanceId, TargetName};
use foxtailhold::slots::{SlotDecision, SlotNotice, SlotOutcome, SlotRequest, SlotRequestId};
use foxtailhold::time::MonoMs;

use crate::peers::{InstanceHash, PeerMessage, Peers};

impl Peers {
    pub(super) fn decide(&self, now: MonoMs, request: SlotRequest) -> SlotDecision {
        let mut notices = Vec::new();
        let decision = self
            .inner
            .allocator
            .lock()
            .request_slot(now, request, &mut notices);
        self.send_slot_notices(notices);
        decision
    }

    pub(super) fn free_slot(
        &self,
        now: MonoMs,
        pool: &TargetName,
        request: &SlotRequestId,
        outcome: SlotOutcome,
    ) {
        let mut notices = Vec::new();
        self.inner
            .allocator
            .lock()
            .release(now, pool, request, outcome, &mut notices);
        self.send_slot_notices(notices);
    }

    /// Frees the slots of instances that are no longer heard from, so that a killed instance does
    /// not hold them until it is replaced.
    pub(super) fn free_slots_of_lost_instances(&self, now: MonoMs) {
        let live = self.members().live_hashes(now);
        let mut notices = Vec::new();
        let is_live = |instance: &InstanceId| {
            *instance == self.inner.me || live.contains(&InstanceHash::from(instance))
        };
        self.inner
            .allocator
            .lock()
            .keep_only(now, is_live, &mut notices);
        self.send_slot_notices(notices);
    }

    /// Delivers slot notices to the instances that requested the slots.
    fn send_slot_notices(&self, notices: Vec<SlotNotice>) {
        for SlotNotice { request, decision } in notices {
            if request.instance == self.inner.me {
                match decision {
                    Some(decision) => self.deliver(&request, decision),
                    None => self.preempt_slot(&request),
                }
                continue;
            }
            let Some(address) = self.members().address(&request.instance) else {
                continue;
            };
            let message = match decision {
                Some(decision) => PeerMessage::SlotDecision { request, decision },
                None => PeerMessage::Preempt { request },
            };
            self.send(address, &message);
        }
    }
}
