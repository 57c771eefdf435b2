//! Until when items of the jobs that run on one instance may start.
//!
//! The lease of an instance says that it owns its jobs, not that none of them has been cancelled: the
//! message that tells it so may be lost. A start therefore needs both the lease of the instance and a
//! confirmation that the job was in progress, from its claim or from a read of the open jobs.

use std::collections::HashMap;

use crate::act_lease::ActLease;
use crate::ids::JobId;
use crate::lease::{ACT_BOUND_MS, HeldLease, LeaseState};
use crate::time::MonoMs;

/// Age of the oldest confirmation at which the open jobs are read again, whether or not a periodic
/// scan is due. The rest of the bound is left for the read and for one more.
const REFRESH_AGE_MS: u64 = ACT_BOUND_MS / 2;

/// Confirmations of the jobs that run on one instance.
#[derive(Debug, Clone, Default)]
pub struct StartLeases {
    /// The latest time at which each job is known to have been in progress.
    in_progress_at: HashMap<JobId, MonoMs>,
}

impl StartLeases {
    /// Begins with a job that was claimed by a transaction sent at `sent_at`.
    pub fn insert(&mut self, job: &JobId, sent_at: MonoMs) {
        self.in_progress_at.insert(job.clone(), sent_at);
    }

    /// Records that a read of the open jobs, sent at `sent_at`, found the job in progress. Has no
    /// effect on jobs that do not run here.
    pub fn confirm(&mut self, job: &JobId, sent_at: MonoMs) {
        if let Some(in_progress_at) = self.in_progress_at.get_mut(job) {
            *in_progress_at = sent_at.max(*in_progress_at);
        }
    }

    /// Ends with a job that no longer runs here.
    pub fn remove(&mut self, job: &JobId) {
        self.in_progress_at.remove(job);
    }

    /// Whether the open jobs have to be read for the jobs that run here.
    pub fn needs_read(&self, now: MonoMs) -> bool {
        let mut confirmed = self.in_progress_at.values();
        confirmed.any(|at| now.since_ms(*at) >= REFRESH_AGE_MS)
    }

    /// Leave to start items of a job that is owned under `epoch`; `None` if the lease of the instance
    /// has a different epoch or the job does not run here.
    pub fn lease(&self, job: &JobId, epoch: u64, held: &HeldLease) -> Option<ActLease> {
        let in_progress_at = *self.in_progress_at.get(job)?;
        let known = ActLease::new(in_progress_at, ACT_BOUND_MS);
        Some(known.min(held.valid_until(epoch)?))
    }

    /// State of the lease of the instance for a job that it owns under `epoch`, and of the leave to
    /// start the job's items.
    pub fn state(&self, job: &JobId, epoch: u64, held: &HeldLease, now: MonoMs) -> LeaseState {
        let state = held.lease_state(epoch, now);
        let lease = self.lease(job, epoch, held);
        match state {
            LeaseState::Held if !lease.is_some_and(|lease| lease.covers(now)) => {
                LeaseState::Unconfirmed
            }
            _ => state,
        }
    }
}
