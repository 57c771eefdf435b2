//! Which requests probe a suspected group of parts. The first is admitted alone over all instances, and
//! only if it holds a slot, so that none waits for a probe that is not sent. Each probe that runs on
//! without a crash lets more of them run beside it, until one of them is complete.

use std::collections::HashMap;

use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::time::MonoMs;
use serde::{Deserialize, Serialize};

/// Time after which the next probe of a request or a suspected group is admitted if the previous one
/// gave no result. It is longer than attempts usually take.
const PROBE_INTERVAL_MS: u64 = 5_000;
/// Time after which the next instance in order may probe a suspected group. Probes are announced to
/// the other instances, and once more with the next report.
const GROUP_PROBE_TURN_MS: u64 = 500;
/// Instances that take turns of this length; those of the others only outlast an announcement.
const FULL_GROUP_TURNS: usize = 3;
const SHORT_GROUP_TURN_MS: u64 = 50;
/// Time for which a reserved probe keeps other requests of this instance from seeking a slot for one,
/// as long as an item waits for a slot at a time.
const PROBE_RESERVATION_MS: u64 = 2_000;
/// Probes that two instances announce within this time are announced side by side: a datagram between
/// availability zones takes 3 ms at most. Only the instance that goes first sends its probe.
pub(crate) const PROBE_SETTLE_MS: u64 = 25;

/// Probes over all instances that each one which runs on adds to those that may run side by side.
const PROBES_PER_PASS: usize = 3;

/// Number of probes of a group that the instance at place `rank` of `instances` may run side by side,
/// once `passes` of them have run on without a crash.
pub(crate) fn probe_share(passes: usize, rank: usize, instances: usize) -> usize {
    let all = 1 + PROBES_PER_PASS * passes;
    let instances = instances.max(1);
    all / instances + usize::from(rank < all % instances)
}

/// Subject by which all instances rank each other for the probes of a suspected group.
pub(crate) fn probe_subject(group: &[PartId]) -> [u8; 8] {
    group.first().map_or([0; 8], |part| part.0.to_be_bytes())
}

/// Time after the refusal of a group from which the instance at this place in order may probe it.
pub(crate) fn group_probe_turn_ms(rank: usize) -> u64 {
    let full = rank.min(FULL_GROUP_TURNS) as u64;
    full * GROUP_PROBE_TURN_MS + (rank as u64 - full) * SHORT_GROUP_TURN_MS
}

/// Whether the result of a probe may still come.
pub(crate) fn is_recent(last_probe: Option<&MonoMs>, now: MonoMs) -> bool {
    last_probe.is_some_and(|at| now.since_ms(*at) < PROBE_INTERVAL_MS)
}

/// A probe of a suspected group of parts that goes on, or has ended, without a crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HarmlessProbe {
    /// The group.
    pub group: Vec<PartId>,
    /// Identifies the probe, since the message is sent twice.
    pub probe: u64,
    /// When it was seen to be harmless, in Unix ms.
    pub at_unix_ms: u64,
    /// Whether it has run for long enough to let others run beside it.
    pub has_passed: bool,
}

/// A probe of a suspected group.
#[derive(Debug, Clone, Copy)]
struct GroupProbe {
    at: MonoMs,
    /// Whether this instance admitted it.
    is_own: bool,
}

/// Probes of suspected groups, as known to one instance.
#[derive(Debug, Default)]
pub(crate) struct GroupProbes {
    /// The last probe of each group, admitted here or announced by another instance.
    last: HashMap<Vec<PartId>, GroupProbe>,
    /// When a request of this instance began to seek a slot for a probe.
    reserved: HashMap<Vec<PartId>, MonoMs>,
    /// Number of probes of each group, here or elsewhere, that have run on without a crash, and when
    /// the last one was known here.
    passes: HashMap<Vec<PartId>, (usize, MonoMs)>,
    /// Harmless probes of which this instance knows, and since when.
    harmless: HashMap<u64, MonoMs>,
    /// Time of the last crash, in Unix ms.
    last_crash_unix_ms: u64,
    /// When each probe that this instance runs beside others was admitted.
    beside: HashMap<Vec<PartId>, Vec<MonoMs>>,
}

impl GroupProbes {
    pub(crate) fn clear(&mut self) {
        self.last.clear();
        self.reserved.clear();
        self.forget_passes();
    }

    /// Probes run one at a time again, because a backend server has crashed.
    pub(crate) fn record_crash(&mut self, at_unix_ms: u64) {
        self.last_crash_unix_ms = self.last_crash_unix_ms.max(at_unix_ms);
        self.forget_passes();
    }

    fn forget_passes(&mut self) {
        self.passes.clear();
        self.beside.clear();
    }

    /// Lets the next probe begin after one that is harmless, and more beside it if it has passed.
    pub(crate) fn record_harmless(&mut self, probe: HarmlessProbe, now: MonoMs) {
        self.harmless
            .retain(|_, at| now.since_ms(*at) < PROBE_INTERVAL_MS);
        let is_known = self.harmless.insert(probe.probe, now).is_some();
        if is_known || probe.at_unix_ms <= self.last_crash_unix_ms {
            return;
        }
        self.last.remove(&probe.group);
        if probe.has_passed {
            let passes = 1 + self.passes(&probe.group, now);
            self.passes.insert(probe.group, (passes, now));
        }
    }

    /// Number of probes of a group that have run on without a crash. It lapses with the last of them,
    /// so that others take turns again.
    pub(crate) fn passes(&self, group: &[PartId], now: MonoMs) -> usize {
        let passes = self.passes.get(group);
        let passes = passes.filter(|(_, at)| now.since_ms(*at) < PROBE_INTERVAL_MS);
        passes.map_or(0, |(passes, _)| *passes)
    }

    /// Whether fewer than `share` probes of this instance run beside others.
    pub(crate) fn is_free_beside(&mut self, group: &[PartId], share: usize, now: MonoMs) -> bool {
        let running = self.beside.entry(group.to_vec()).or_default();
        running.retain(|at| now.since_ms(*at) < PROBE_INTERVAL_MS);
        running.len() < share
    }

    /// Admits a probe beside others if fewer than `share` of this instance run.
    pub(crate) fn admit_beside(&mut self, group: &[PartId], share: usize, now: MonoMs) -> bool {
        let is_free = self.is_free_beside(group, share, now);
        if is_free && let Some(running) = self.beside.get_mut(group) {
            running.push(now);
        }
        is_free
    }

    pub(crate) fn is_running(&self, group: &[PartId], now: MonoMs) -> bool {
        let probe = self.last.get(group);
        is_recent(probe.map(|probe| &probe.at), now)
    }

    pub(crate) fn reserve(&mut self, group: &[PartId], now: MonoMs) -> bool {
        let is_held = |at: &MonoMs| now.since_ms(*at) < PROBE_RESERVATION_MS;
        if self.is_running(group, now) || self.reserved.get(group).is_some_and(is_held) {
            return false;
        }
        self.reserved.insert(group.to_vec(), now);
        true
    }

    pub(crate) fn admit(&mut self, group: &[PartId], now: MonoMs) -> bool {
        if self.is_running(group, now) {
            return false;
        }
        self.reserved.remove(group);
        let probe = GroupProbe {
            at: now,
            is_own: true,
        };
        self.last.insert(group.to_vec(), probe);
        true
    }

    pub(crate) fn record(&mut self, group: Vec<PartId>, goes_first: bool, now: MonoMs) {
        let is_beside = |own: &GroupProbe| own.is_own && now.since_ms(own.at) < PROBE_SETTLE_MS;
        if self.last.get(&group).is_some_and(is_beside) && !goes_first {
            return;
        }
        let probe = GroupProbe {
            at: now,
            is_own: false,
        };
        self.last.insert(group, probe);
    }

    pub(crate) fn release_reservation(&mut self, held: &SharedParts) {
        self.reserved.retain(|group, _| !held.contains_all(group));
        self.release_beside(held);
    }

    pub(crate) fn release(&mut self, held: &SharedParts) {
        self.last.retain(|group, _| !held.contains_all(group));
        self.release_beside(held);
    }

    fn release_beside(&mut self, held: &SharedParts) {
        for (group, running) in &mut self.beside {
            if held.contains_all(group) {
                running.pop();
            }
        }
    }

    pub(crate) fn is_own(&self, group: &[PartId]) -> bool {
        self.last.get(group).is_some_and(|probe| probe.is_own)
    }
}
