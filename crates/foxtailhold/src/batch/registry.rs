//! Tracks the jobs that run on one instance and orders scans, starts and stops.
//!
//! A stop is confirmed only when no item of the job runs on this instance and none will be started
//! by a claim that is already committed. A scan of open jobs in progress may hold such a claim, so
//! a stop that arrives during a scan waits for its end and keeps the scan from starting the job.

use std::collections::{HashMap, HashSet};

use crate::batch::claim::OwnedJob;
use crate::batch::rows::JobStatus;
use crate::ids::JobId;

/// Jobs that run on one instance and the state of its scan of open jobs.
#[derive(Debug, Clone, Default)]
pub struct JobRegistry {
    /// Running jobs, with the status that each had when it was claimed.
    running: HashMap<JobId, JobStatus>,
    scanning: bool,
    stopped_during_scan: HashSet<JobId>,
    closed: bool,
}

/// What has to happen before a stop of a job can be confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAction {
    /// Nothing: no item of the job runs or will be started.
    Stopped,
    /// The execution of the job has to be stopped; the stop is confirmed when it has ended.
    StopExecution,
    /// The scan in progress has to end; the stop is confirmed then.
    AwaitScan,
}

impl JobRegistry {
    /// Begins a scan of open jobs and returns the running jobs, which the scan skips. Returns
    /// `None` if a scan is in progress or the registry is closed.
    pub fn begin_scan(&mut self) -> Option<Vec<JobId>> {
        if self.scanning || self.closed {
            return None;
        }
        self.scanning = true;
        Some(self.running.keys().cloned().collect())
    }

    /// Ends a scan that claimed `claimed` and returns the jobs to start. The caller has to release
    /// the others, which must not start here: a stop for them arrived during the scan, they run
    /// already, or the registry was closed.
    pub fn end_scan(&mut self, claimed: &[OwnedJob]) -> HashSet<JobId> {
        self.scanning = false;
        let stopped_during_scan = std::mem::take(&mut self.stopped_during_scan);
        let mut to_start = HashSet::new();
        for owned in claimed {
            let job = &owned.row.job;
            if self.closed || stopped_during_scan.contains(job) || self.running.contains_key(job) {
                continue;
            }
            self.running.insert(job.clone(), owned.row.status);
            to_start.insert(job.clone());
        }
        to_start
    }

    /// Whether the execution of a job that a scan found `cancelling` has to be stopped. An
    /// execution that claimed the job as `cancelling` only writes the final status and is not
    /// stopped. With a slow store, stopping it at each scan would keep the final status from ever
    /// being written.
    pub fn must_stop(&self, job: &JobId) -> bool {
        self.running.get(job) == Some(&JobStatus::InProgress)
    }

    /// Whether a scan is in progress.
    pub fn is_scanning(&self) -> bool {
        self.scanning
    }

    /// Requests the stop of a job. If a scan is in progress, the scan will not start the job.
    pub fn stop(&mut self, job: &JobId) -> StopAction {
        if self.running.contains_key(job) {
            return StopAction::StopExecution;
        }
        if self.scanning {
            self.stopped_during_scan.insert(job.clone());
            return StopAction::AwaitScan;
        }
        StopAction::Stopped
    }

    /// Records that the execution of a job has ended.
    pub fn ended(&mut self, job: &JobId) {
        self.running.remove(job);
    }

    /// Accepts no more jobs.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether no job runs and no scan is in progress.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && !self.scanning
    }
}
