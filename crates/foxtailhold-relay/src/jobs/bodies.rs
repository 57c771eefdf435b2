//! Bodies of the items of jobs that are held in memory.

use std::sync::Arc;

use foxtailhold::ids::JobId;
use foxtailhold_http::lock::Mutex;
use foxtailhold_http::memory::{MemoryBudget, MemoryExhausted, Reservation};

use crate::jobs::Item;

/// Number of jobs whose bodies are cached: the latest ones, most of which run now.
const MAX_CACHED_JOBS: usize = 12;
/// Memory of an item beside its texts and its body, with the task that runs it.
const ITEM_BYTES: usize = 8 << 10;
/// Memory of a header beside its texts.
const HEADER_BYTES: usize = 96;

/// The items of a job, with the memory that they take.
#[derive(Debug)]
pub struct JobBodies {
    items: Vec<Item>,
    _reservation: Reservation,
}

impl JobBodies {
    /// The items in the order of submission.
    pub fn items(&self) -> &[Item] {
        &self.items
    }
}

/// Memory that an item takes.
fn item_bytes(item: &Item) -> usize {
    let headers = item.headers.iter();
    let header_bytes = headers.map(|(name, value)| HEADER_BYTES + name.len() + value.len());
    ITEM_BYTES + item.id.len() + item.target.len() + item.body.len() + header_bytes.sum::<usize>()
}

type CachedBodies = Vec<(JobId, Arc<JobBodies>)>;

/// Bodies of the latest jobs; clones share them.
#[derive(Debug, Clone)]
pub(super) struct BodyCache {
    memory: MemoryBudget,
    cached: Arc<Mutex<CachedBodies>>,
}

impl BodyCache {
    /// An empty cache, whose bodies and those that are used elsewhere share `memory`.
    pub(super) fn new(memory: MemoryBudget) -> Self {
        BodyCache {
            memory,
            cached: Arc::default(),
        }
    }

    /// The bodies of a job; `None` if they are not cached.
    pub(super) fn get(&self, id: &JobId) -> Option<Arc<JobBodies>> {
        let cached = self.cached.lock();
        let found = cached.iter().find(|(job, _)| job == id);
        found.map(|(_, bodies)| Arc::clone(bodies))
    }

    /// Takes the bodies of a job into memory. Those of other jobs that are not in use make room.
    pub(super) fn insert(
        &self,
        id: &JobId,
        items: Vec<Item>,
    ) -> Result<Arc<JobBodies>, MemoryExhausted> {
        let bytes = items.iter().map(item_bytes).sum();
        let bodies = Arc::new(JobBodies {
            items,
            _reservation: self.reserve(bytes)?,
        });
        let mut cached = self.cached.lock();
        cached.retain(|(job, _)| job != id);
        let evicted = match cached.len() >= MAX_CACHED_JOBS {
            true => Some(cached.remove(0)),
            false => None,
        };
        cached.push((id.clone(), Arc::clone(&bodies)));
        drop(cached);
        drop(evicted);
        Ok(bodies)
    }

    /// Whether `bytes` may fit now.
    pub(super) fn may_fit(&self, bytes: usize) -> bool {
        self.reserve(bytes).is_ok()
    }

    /// Drops the bodies of a job that was not accepted.
    pub(super) fn remove(&self, id: &JobId) {
        let removed = {
            let mut cached = self.cached.lock();
            let index = cached.iter().position(|(job, _)| job == id);
            index.map(|index| cached.remove(index))
        };
        drop(removed);
    }

    fn reserve(&self, bytes: usize) -> Result<Reservation, MemoryExhausted> {
        loop {
            let exhausted = match self.memory.reserve_to_finish(bytes) {
                Ok(reservation) => return Ok(reservation),
                Err(exhausted) => exhausted,
            };
            let unused = {
                let mut cached = self.cached.lock();
                let is_unused =
                    |(_, bodies): &(JobId, Arc<JobBodies>)| Arc::strong_count(bodies) == 1;
                cached
                    .iter()
                    .position(is_unused)
                    .map(|index| cached.remove(index))
            };
            // The reservation of what was removed is returned here.
            if unused.is_none() {
                return Err(exhausted);
            }
        }
    }
}
