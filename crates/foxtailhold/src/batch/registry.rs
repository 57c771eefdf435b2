//! Which jobs run on one instance, and the order of looks, starts and stops.
//!
//! A stop is answered only when no item of the job runs here and none will be started by a claim
//! that was committed before: a look at open jobs in flight may hold such a claim, so a stop that
//! comes meanwhile waits for the look and keeps the job from being started by it.

use std::collections::{HashMap, HashSet};

use crate::batch::claim::OwnedJob;
use crate::batch::rows::JobStatus;
use crate::ids::JobId;

/// The jobs of one instance.
#[derive(Debug, Clone, Default)]
pub struct JobRegistry {
    /// Jobs that run, with the status under which they were claimed.
    running: HashMap<JobId, JobStatus>,
    looking: bool,
    kept_out: HashSet<JobId>,
    closed: bool,
}

/// What a stop has to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAction {
    /// Nothing: no item runs or will run.
    Stopped,
    /// The run has to be stopped; its end settles the stop.
    StopExecution,
    /// The look in flight; its end settles the stop.
    AwaitScan,
}

impl JobRegistry {
    /// Begins a look at open jobs, unless one is in flight or jobs are no longer taken. Gives the
    /// jobs to leave out because they run.
    pub fn begin_scan(&mut self) -> Option<Vec<JobId>> {
        if self.looking || self.closed {
            return None;
        }
        self.looking = true;
        Some(self.running.keys().cloned().collect())
    }

    /// Ends a look that claimed `claimed`. Gives the jobs to start; the others were stopped while
    /// the look was in flight, and are to be given up.
    pub fn end_scan(&mut self, claimed: &[OwnedJob]) -> HashSet<JobId> {
        self.looking = false;
        let kept_out = std::mem::take(&mut self.kept_out);
        let mut started = HashSet::new();
        for owned in claimed {
            let job = &owned.row.job;
            if self.closed || kept_out.contains(job) || self.running.contains_key(job) {
                continue;
            }
            self.running.insert(job.clone(), owned.row.status);
            started.insert(job.clone());
        }
        started
    }

    /// Whether the run of a job whose cancel a look has seen must be stopped. A run that claimed it
    /// as cancelled already only writes the final status and is left alone: stopping it at each
    /// look would keep a slow store from ever being written.
    pub fn must_stop(&self, job: &JobId) -> bool {
        self.running.get(job) == Some(&JobStatus::InProgress)
    }

    /// Whether a look is in flight.
    pub fn is_looking(&self) -> bool {
        self.looking
    }

    /// Stops a job.
    pub fn stop(&mut self, job: &JobId) -> StopAction {
        if self.running.contains_key(job) {
            return StopAction::StopExecution;
        }
        if self.looking {
            self.kept_out.insert(job.clone());
            return StopAction::AwaitScan;
        }
        StopAction::Stopped
    }

    /// Notes the end of a run.
    pub fn ended(&mut self, job: &JobId) {
        self.running.remove(job);
    }

    /// Takes no more jobs.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether nothing runs and no look is in flight.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && !self.looking
    }
}
