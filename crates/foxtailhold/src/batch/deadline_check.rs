//! Whether a job that is offered can be finished by its deadline, by the rate measured here.
//!
//! Only time in which items waited for a place all along counts for the rate: a job of three items
//! says nothing of what the instance can do. Without a measured rate every job is taken.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::ids::JobId;
use crate::time::{MonoMs, WallMs};

/// Time over which one sample of the rate is taken.
pub const SAMPLE_MS: u64 = 2_000;
/// Weight of the newest sample.
const NEWEST: f64 = 0.3;

/// What a job still needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// When it must be finished.
    pub deadline_wall_ms: u64,
    /// Items without a result.
    pub items_left: u64,
    /// Whether some of them wait for a place.
    pub waiting: bool,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    since: MonoMs,
    items: u64,
    saturated: bool,
}

/// The work of one instance and the rate at which it is done.
#[derive(Debug, Clone, Default)]
pub struct DeadlineEstimator {
    jobs: HashMap<JobId, Backlog>,
    sample: Option<Sample>,
    items_per_s: Option<f64>,
}

/// Whether a job can be finished by its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeadlineCheck {
    /// It can, as far as is known.
    #[serde(rename = "Lands")]
    Feasible,
    /// It cannot.
    #[serde(rename = "CannotLand")]
    Infeasible {
        /// Estimated time to finish.
        needed_ms: u64,
        /// When it could be taken; absent where it would be late even alone.
        retry_after_ms: Option<u64>,
    },
}

impl DeadlineEstimator {
    /// Notes what a job that runs here still needs.
    pub fn update(&mut self, job: &JobId, backlog: Backlog, now: MonoMs) {
        self.jobs.insert(job.clone(), backlog);
        self.roll(now);
    }

    /// Notes that a job runs here no more.
    pub fn remove(&mut self, job: &JobId, now: MonoMs) {
        self.jobs.remove(job);
        self.roll(now);
    }

    /// Notes items that ended.
    pub fn record_finished_items(&mut self, items: u64) {
        if let Some(sample) = &mut self.sample {
            sample.items += items;
        }
    }

    /// The measured rate.
    pub fn items_per_s(&self) -> Option<f64> {
        self.items_per_s
    }

    fn roll(&mut self, now: MonoMs) {
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
        let ended = *sample;
        *sample = Sample {
            since: now,
            items: 0,
            saturated: waiting,
        };
        if !ended.saturated || ended.items == 0 {
            return;
        }
        let rate = ended.items as f64 * 1_000.0 / elapsed_ms as f64;
        let mean = self.items_per_s.unwrap_or(rate);
        self.items_per_s = Some(mean * (1.0 - NEWEST) + rate * NEWEST);
    }

    fn needed_ms(&self, items: u64) -> Option<u64> {
        let rate = self.items_per_s?;
        Some((items as f64 * 1_000.0 / rate).ceil() as u64)
    }

    /// Judges a job of `items` that must be finished within `window_ms` from `now`. Jobs due before
    /// it go first; of those not yet here, nothing is known.
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
