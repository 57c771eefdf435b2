//! Which of several about equally loaded engines an instance gets.
//!
//! Load pattern: many instances at many engines, so that each pair is used less often than an idle
//! connection lasts, and most requests open a new one. An instance gets an engine to which it has an
//! idle connection if that is hardly busier.

use std::collections::{HashMap, VecDeque};

use crate::ids::{BackendId, InstanceId};
use crate::time::MonoMs;

/// Time for which a returned connection is expected to be usable. Servers close idle ones after a
/// few seconds.
const IDLE_CONNECTION_MS: u64 = 2_000;
/// Requests that an engine may have more than the least loaded one to be chosen for its connection.
const MAX_BUSIER: u32 = 1;

/// An engine with a free slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) backend: &'a BackendId,
    /// Slots in use, and one more if it is far.
    pub(super) load: u32,
    /// Whether it is in another availability zone than the instance.
    pub(super) is_far: bool,
}

/// When connections were returned, the oldest first.
type Returned = HashMap<BackendId, VecDeque<MonoMs>>;

/// The connections that instances are expected to keep idle, by the requests that have ended.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    by_instance: HashMap<InstanceId, Returned>,
}

impl IdleConnections {
    /// Records that a request of an instance ended, and its connection can be used again.
    pub(super) fn put(&mut self, now: MonoMs, instance: &InstanceId, backend: &BackendId) {
        let all = self.by_instance.entry(instance.clone()).or_default();
        for returned in all.values_mut() {
            while returned.front().is_some_and(|at| !is_usable(now, *at)) {
                returned.pop_front();
            }
        }
        all.retain(|_, returned| !returned.is_empty());
        all.entry(backend.clone()).or_default().push_back(now);
    }

    /// Records that a request of an instance is sent to an engine.
    pub(super) fn take(&mut self, instance: &InstanceId, backend: &BackendId) {
        let all = self.by_instance.get_mut(instance);
        if let Some(returned) = all.and_then(|all| all.get_mut(backend)) {
            returned.pop_front();
        }
    }

    /// Forgets the instances for which `is_live` is false.
    pub(super) fn keep_only(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.by_instance.retain(|instance, _| is_live(instance));
    }

    /// Chooses one of the engines for a request of an instance.
    pub(super) fn choose<'a>(
        &self,
        now: MonoMs,
        instance: &InstanceId,
        candidates: &[Candidate<'a>],
    ) -> Option<&'a BackendId> {
        let least = candidates.iter().map(|candidate| candidate.load).min()?;
        let all = self.by_instance.get(instance);
        let rank = |candidate: &Candidate<'a>| {
            let returned = all.and_then(|all| all.get(candidate.backend));
            let newest = returned.and_then(|returned| returned.back());
            let has_idle = newest.is_some_and(|at| is_usable(now, *at));
            (!has_idle, candidate.load, candidate.is_far)
        };
        let alike = candidates
            .iter()
            .filter(|candidate| candidate.load <= least + MAX_BUSIER);
        alike
            .min_by_key(|candidate| rank(candidate))
            .map(|c| c.backend)
    }
}

fn is_usable(now: MonoMs, returned_at: MonoMs) -> bool {
    now.since_ms(returned_at) < IDLE_CONNECTION_MS
}
