//! Estimates whether a new job can finish by its deadline, from the measured rate of this instance.
//!
//! The rate is sampled only over periods in which items waited for a slot all the time, because a
//! job of three items says nothing about the capacity of the instance. Without a measured rate
//! every job is accepted.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::JobId;
use crate::time::{MonoMs, WallMs};

/// Period of one sample of the rate.
pub const SAMPLE_MS: u64 = 2_000;
/// Weight of the newest sample in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;

/// Remaining work of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// Deadline of the job.
    pub deadline_wall_ms: u64,
    /// Number of items without a result.
    pub items_left: u64,
    /// Whether some of these items wait for a slot.
    pub waiting: bool,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    since: MonoMs,
    items: u64,
    saturated: bool,
}

/// Remaining work of the jobs on one instance and the rate at which it finishes items.
#[derive(Debug, Clone, Default)]
pub struct DeadlineEstimator {
    jobs: HashMap<JobId, Backlog>,
    sample: Option<Sample>,
    items_per_s: Option<f64>,
}

/// Estimate of whether a job can finish by its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeadlineCheck {
    /// The job can finish in time, or no rate has been measured yet.
    #[serde(rename = "Lands")]
    Feasible,
    /// The job would finish after its deadline.
    #[serde(rename = "CannotLand")]
    Infeasible {
        /// Estimated time until the job would finish.
        needed_ms: u64,
        /// Time after which the job could be accepted; absent if it would be late even as the only
        /// job.
        retry_after_ms: Option<u64>,
    },
}

impl DeadlineEstimator {
    /// Records the remaining work of a job that runs on this instance.
    pub fn update(&mut self, job: &JobId, backlog: Backlog, now: MonoMs) {
        self.jobs.insert(job.clone(), backlog);
        self.update_rate(now);
    }

    /// Removes a job that no longer runs on this instance.
    pub fn remove(&mut self, job: &JobId, now: MonoMs) {
        self.jobs.remove(job);
        self.update_rate(now);
    }

    /// Counts finished items towards the current sample.
    pub fn record_finished_items(&mut self, items: u64) {
        if let Some(sample) = &mut self.sample {
            sample.items += items;
        }
    }

    /// The measured rate; `None` before the first valid sample.
    pub fn items_per_s(&self) -> Option<f64> {
        self.items_per_s
    }

    fn update_rate(&mut self, now: MonoMs) {
        let waiting = self.jobs.values().any(|backlog| backlog.waiting);
        let sample = self.sample.get_or_insert(Sample {
            since: now,
            items: 0,
            saturated: waiting,
        });
        sample.saturated &= waiting;
        let elapsed_ms = now.since_ms(sample.since);
        if elapsed_ms < SAMPLE_MS {
            return;
        }
        let completed = *sample;
        *sample = Sample {
            since: now,
            items: 0,
            saturated: waiting,
        };
        if !completed.saturated || completed.items == 0 {
            return;
        }
        let rate = completed.items as f64 * 1_000.0 / elapsed_ms as f64;
        let mean = self.items_per_s.unwrap_or(rate);
        self.items_per_s = Some(mean * (1.0 - NEWEST_WEIGHT) + rate * NEWEST_WEIGHT);
    }

    fn needed_ms(&self, items: u64) -> Option<u64> {
        let rate = self.items_per_s?;
        Some((items as f64 * 1_000.0 / rate).ceil() as u64)
    }

    /// Checks whether a job of `items` items can finish within `window_ms` from `now`. The jobs on
    /// this instance that are due no later are served first; later arrivals are not considered.
    pub fn check(&self, items: u64, window_ms: u64, now: WallMs) -> DeadlineCheck {
        let deadline_wall_ms = now.0.saturating_add(window_ms);
        let earlier = self.jobs.values();
        let earlier = earlier.filter(|backlog| backlog.deadline_wall_ms <= deadline_wall_ms);
        let ahead: u64 = earlier.map(|backlog| backlog.items_left).sum();
        let (Some(needed_ms), Some(alone_ms)) =
            (self.needed_ms(ahead + items), self.needed_ms(items))
        else {
            return DeadlineCheck::Feasible;
        };
        if needed_ms <= window_ms {
            return DeadlineCheck::Feasible;
        }
        DeadlineCheck::Infeasible {
            needed_ms,
            retry_after_ms: (alone_ms <= window_ms).then_some(needed_ms - window_ms),
        }
    }
}
