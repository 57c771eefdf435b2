//! Probes of suspected groups, as the requests of this instance and the announcements of others see
//! them.

use foxtailhold::crashes::CrashStatus;
use foxtailhold::ids::TargetName;
use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::time::MonoMs;

use crate::crashes::CrashTracker;
use crate::dialect::Dialect;
use crate::group_probes::{HarmlessProbe, probe_share, probe_subject};
use crate::relay::Relay;
use crate::request::EvidenceKeys;

impl CrashTracker {
    /// Reserves the probe of a suspected group for a request of this instance, which may seek a slot
    /// for it. Other instances may do so too; the first one with a slot is admitted.
    pub fn reserve_group_probe(&self, group: &[PartId], now: MonoMs) -> bool {
        self.state.lock().group_probes.reserve(group, now)
    }

    /// Lets another request of this instance seek a slot for a probe of the groups that a request
    /// holds, because it has not reached a backend server.
    pub fn release_reservation(&self, held: &SharedParts) {
        self.state.lock().group_probes.release_reservation(held);
    }

    /// Whether no probe of a suspected group runs, as far as is known here.
    pub fn is_group_probe_free(&self, group: &[PartId], now: MonoMs) -> bool {
        !self.state.lock().group_probes.is_running(group, now)
    }

    /// Admits a probe of a suspected group whose refusal is over, for a request that is sent right
    /// after. At most one is admitted at a time, of all requests that hold the group.
    pub fn admit_group_probe(&self, group: &[PartId], now: MonoMs) -> bool {
        self.state.lock().group_probes.admit(group, now)
    }

    /// Whether the probe that was admitted here still goes first.
    pub fn keeps_group_probe(&self, group: &[PartId]) -> bool {
        self.state.lock().group_probes.is_own(group)
    }

    /// Admits the next probe of the groups that a request holds at once, because its own has ended.
    pub fn release_probe(&self, held: &SharedParts) {
        self.state.lock().group_probes.release(held);
    }

    /// Records that another instance has admitted a probe of a suspected group. `goes_first`: of two
    /// that are announced side by side, it is the one that is sent.
    pub fn record_probe(&self, group: Vec<PartId>, goes_first: bool, now: MonoMs) {
        let mut state = self.state.lock();
        state.group_probes.record(group, goes_first, now);
    }

    /// Records that a probe of a suspected group, here or elsewhere, goes on or has ended without a
    /// crash.
    pub fn record_harmless_probe(&self, probe: HarmlessProbe, now: MonoMs) {
        self.state.lock().group_probes.record_harmless(probe, now);
        self.acquittals.send_replace(());
    }

    /// Whether a probe of a suspected group has run on lately without a crash.
    pub fn has_passed_probe(&self, group: &[PartId], now: MonoMs) -> bool {
        self.state.lock().group_probes.passes(group, now) > 0
    }

    /// Probes of a suspected group that the instance at place `rank` of `instances` may run beside
    /// others; 0 if it takes its turn.
    pub fn share_beside(
        &self,
        group: &[PartId],
        (rank, instances): (usize, usize),
        now: MonoMs,
    ) -> usize {
        match self.state.lock().group_probes.passes(group, now) {
            0 => 0,
            passes => probe_share(passes, rank, instances),
        }
    }

    /// Whether fewer than `share` probes of a suspected group run here beside others.
    pub fn is_free_beside(&self, group: &[PartId], share: usize, now: MonoMs) -> bool {
        let probes = &mut self.state.lock().group_probes;
        probes.is_free_beside(group, share, now)
    }

    /// Admits a probe of a suspected group beside others, if fewer than `share` run here.
    pub fn admit_beside(&self, group: &[PartId], share: usize, now: MonoMs) -> bool {
        let probes = &mut self.state.lock().group_probes;
        probes.admit_beside(group, share, now)
    }
}

impl<D: Dialect> Relay<D> {
    /// Number of probes of a suspected group that this instance may run beside others for a request
    /// like this one; 0 if it takes its turn.
    pub(crate) fn share_beside(&self, keys: &EvidenceKeys, group: &[PartId]) -> usize {
        if !keys.is_owed {
            return 0;
        }
        let rank = self.peers.rank_of(&probe_subject(group));
        let crashes = self.peers.crashes();
        crashes.share_beside(group, rank, self.clock.mono())
    }

    /// Records that the probe of a request at `service` goes on, or has ended, without a crash.
    pub(crate) fn record_harmless_probe(
        &self,
        keys: &EvidenceKeys,
        service: &TargetName,
        has_passed: bool,
    ) {
        let (status, group) = self.group_status(keys, service);
        if let (CrashStatus::ProbeAllowed { .. }, Some(group)) = (status, group) {
            self.peers.record_harmless_probe(group, has_passed);
        }
    }
}
