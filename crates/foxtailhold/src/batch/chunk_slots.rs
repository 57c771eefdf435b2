//! Assigns the chunk slots of an instance to the job with the least_slack_ms slack before its deadline
//! (least_slack_ms laxity first; Mok, 1983).
//!
//! A slot is held from the start of a chunk until its commit is confirmed. The slots therefore also
//! bound the results held in memory while the store is down: no chunk starts while all slots are
//! held.

use std::collections::HashMap;

use crate::ids::JobId;
use crate::time::WallMs;

/// Weight of the newest chunk in the moving average of the duration, in percent.
const NEWEST_PERCENT: u64 = 20;

/// The chunk slots of one instance and the jobs that wait for one.
#[derive(Debug, Clone)]
pub struct ChunkSlots {
    free: usize,
    waiting: HashMap<JobId, i64>,
    mean_chunk_ms: Option<u64>,
}

impl ChunkSlots {
    /// Creates `slots` free slots.
    pub fn new(slots: usize) -> Self {
        ChunkSlots {
            free: slots,
            waiting: HashMap::new(),
            mean_chunk_ms: None,
        }
    }

    /// Acquires a slot for `job` if one is free and no other waiting job has less slack. Otherwise
    /// the job is recorded as waiting and `false` is returned.
    pub fn try_acquire(&mut self, job: &JobId, slack_ms: i64) -> bool {
        let least_slack_ms = self.waiting.iter().filter(|(other, _)| *other != job);
        let least_slack_ms = least_slack_ms.map(|(_, slack_ms)| *slack_ms).min();
        if self.free == 0 || least_slack_ms.is_some_and(|least_slack_ms| least_slack_ms < slack_ms)
        {
            self.waiting.insert(job.clone(), slack_ms);
            return false;
        }
        self.waiting.remove(job);
        self.free -= 1;
        true
    }

    /// Removes a job from the waiting jobs.
    pub fn cancel_wait(&mut self, job: &JobId) {
        self.waiting.remove(job);
    }

    /// Returns a slot.
    pub fn release(&mut self) {
        self.free += 1;
    }

    /// Number of free slots.
    pub fn free(&self) -> usize {
        self.free
    }

    /// Records the duration of a committed chunk.
    pub fn record_chunk_duration(&mut self, chunk_ms: u64) {
        let mean_ms = self.mean_chunk_ms.unwrap_or(chunk_ms);
        let sum_ms = mean_ms * (100 - NEWEST_PERCENT) + chunk_ms * NEWEST_PERCENT;
        self.mean_chunk_ms = Some(sum_ms / 100);
    }

    /// Time that a job with `chunks_left` chunks could wait and still finish by its deadline with
    /// one slot; negative if it would be late.
    pub fn slack_ms(&self, deadline_wall_ms: u64, chunks_left: usize, now: WallMs) -> i64 {
        let work_ms = chunks_left as u64 * self.mean_chunk_ms.unwrap_or(0);
        deadline_wall_ms as i64 - now.0 as i64 - work_ms as i64
    }
}
