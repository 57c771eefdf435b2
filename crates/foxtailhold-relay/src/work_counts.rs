//! Counts work that grows with the number of instances and jobs, so that a process that falls behind
//! shows by what.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::{Registry, Unit};

/// Work since the counts were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkDone {
    /// Microseconds in which the checks of job owners let no other task run.
    pub owner_checks_us: u64,
    /// Open jobs looked at by these checks.
    pub jobs_checked: u64,
    /// Store calls made for other instances.
    pub peer_store_calls: u64,
}

#[derive(Debug, Default)]
struct Counts {
    owner_checks_us: AtomicU64,
    jobs_checked: AtomicU64,
    peer_store_calls: AtomicU64,
}

/// Counters of work; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct WorkCounts {
    since_taken: Arc<Counts>,
    owner_check_time: Counter<f64, AtomicU64>,
    peer_store_calls: Counter,
}

impl WorkCounts {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Time in checks of the owners of batch jobs, in which no other task runs";
        let time = self.owner_check_time.clone();
        registry.register_with_unit("owner_checks", help, Unit::Seconds, time);
        let help = "Store calls made for other instances";
        registry.register("peer_store_calls", help, self.peer_store_calls.clone());
    }

    /// Records a check of the owners of `jobs` open jobs.
    pub fn owners_checked(&self, jobs: usize, took: Duration) {
        self.owner_check_time.inc_by(took.as_secs_f64());
        let counts = &self.since_taken;
        counts
            .owner_checks_us
            .fetch_add(took.as_micros() as u64, Ordering::Relaxed);
        counts
            .jobs_checked
            .fetch_add(jobs as u64, Ordering::Relaxed);
    }

    /// Counts a store call made for another instance.
    pub fn peer_store_call(&self) {
        self.peer_store_calls.inc();
        let counts = &self.since_taken;
        counts.peer_store_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the work since the last call.
    pub fn take(&self) -> WorkDone {
        let counts = &self.since_taken;
        WorkDone {
            owner_checks_us: counts.owner_checks_us.swap(0, Ordering::Relaxed),
            jobs_checked: counts.jobs_checked.swap(0, Ordering::Relaxed),
            peer_store_calls: counts.peer_store_calls.swap(0, Ordering::Relaxed),
        }
    }
}
