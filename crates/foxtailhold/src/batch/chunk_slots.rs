//! Which job gets the next chunk place of an instance: the one with the least slack against its
//! deadline (least laxity first; Mok, 1983).
//!
//! A place is held from the start of a chunk until its commit is known, so the places also bound
//! the results that wait in memory while the store is down: dispatch stops when all are held.

use std::collections::HashMap;

use crate::ids::JobId;
use crate::time::WallMs;

/// Weight of the newest chunk in the mean duration, in percent.
const NEWEST_PERCENT: u64 = 20;

/// The chunk places of one instance.
#[derive(Debug, Clone)]
pub struct ChunkSlots {
    free: usize,
    wanted: HashMap<JobId, i64>,
    chunk_ms: Option<u64>,
}

impl ChunkSlots {
    /// So many places.
    pub fn new(places: usize) -> Self {
        ChunkSlots {
            free: places,
            wanted: HashMap::new(),
            chunk_ms: None,
        }
    }

    /// Takes a place for `job` if one is free and no other waiting job has less slack; otherwise
    /// the job waits.
    pub fn try_acquire(&mut self, job: &JobId, slack_ms: i64) -> bool {
        let least = self.wanted.iter().filter(|(other, _)| *other != job);
        let least = least.map(|(_, slack_ms)| *slack_ms).min();
        if self.free == 0 || least.is_some_and(|least| least < slack_ms) {
            self.wanted.insert(job.clone(), slack_ms);
            return false;
        }
        self.wanted.remove(job);
        self.free -= 1;
        true
    }

    /// Notes that a job waits for no place.
    pub fn cancel_wait(&mut self, job: &JobId) {
        self.wanted.remove(job);
    }

    /// Gives a place back.
    pub fn release(&mut self) {
        self.free += 1;
    }

    /// Places not taken.
    pub fn free(&self) -> usize {
        self.free
    }

    /// Notes how long a committed chunk took.
    pub fn record_chunk_duration(&mut self, chunk_ms: u64) {
        let mean_ms = self.chunk_ms.unwrap_or(chunk_ms);
        let sum_ms = mean_ms * (100 - NEWEST_PERCENT) + chunk_ms * NEWEST_PERCENT;
        self.chunk_ms = Some(sum_ms / 100);
    }

    /// Time that a job with `chunks_left` could still be idle and be finished by its deadline if it
    /// had one place; negative where it is late.
    pub fn slack_ms(&self, deadline_wall_ms: u64, chunks_left: usize, now: WallMs) -> i64 {
        let work_ms = chunks_left as u64 * self.chunk_ms.unwrap_or(0);
        deadline_wall_ms as i64 - now.0 as i64 - work_ms as i64
    }
}
