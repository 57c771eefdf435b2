//! The chunk slots of one instance, shared by all jobs that it executes. A slot is the right to
//! have one chunk in progress.

use std::sync::Arc;

use foxtailhold::batch::chunk_slots::ChunkSlots;
use foxtailhold::batch::deadline_check::DeadlineEstimator;
use parking_lot::{Mutex, MutexGuard};

/// Most chunks of one instance that are started and not yet committed. With chunks of 200 items
/// this bounds the results held in memory while the store is down.
pub const CHUNK_SLOTS: usize = 8;

/// Shared handle of the chunk slots and of the backlog that waits for them. Clones share one state.
#[derive(Debug, Clone)]
pub struct SharedChunkSlots {
    slots: Arc<Mutex<ChunkSlots>>,
    estimator: Arc<Mutex<DeadlineEstimator>>,
}

impl Default for SharedChunkSlots {
    fn default() -> Self {
        SharedChunkSlots {
            slots: Arc::new(Mutex::new(ChunkSlots::new(CHUNK_SLOTS))),
            estimator: Arc::default(),
        }
    }
}

impl SharedChunkSlots {
    /// Locks the slots. Don't hold the guard across an await.
    pub fn lock(&self) -> MutexGuard<'_, ChunkSlots> {
        self.slots.lock()
    }

    /// Locks the completion estimate. Don't hold the guard across an await.
    pub fn estimator(&self) -> MutexGuard<'_, DeadlineEstimator> {
        self.estimator.lock()
    }

    /// Returns a guard that releases one acquired slot when it is dropped.
    pub fn guard(&self) -> ChunkSlotGuard {
        ChunkSlotGuard(self.clone())
    }
}

/// Guard of an acquired chunk slot; dropping it releases the slot.
#[derive(Debug)]
pub struct ChunkSlotGuard(SharedChunkSlots);

impl Drop for ChunkSlotGuard {
    fn drop(&mut self) {
        self.0.lock().release();
    }
}
