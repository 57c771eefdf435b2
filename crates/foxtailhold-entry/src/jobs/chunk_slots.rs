//! The chunk places of one instance, shared by its runs.

use std::sync::Arc;

use foxtailhold::batch::chunk_slots::ChunkSlots;
use foxtailhold::batch::deadline_check::DeadlineEstimator;
use parking_lot::{Mutex, MutexGuard};

/// Chunks of one instance started and not committed at most. With chunks of 200 items this bounds
/// the results that wait in memory while the store is down.
pub const CHUNK_PLACES: usize = 8;

/// A handle of the places and of the work that waits for them.
#[derive(Debug, Clone)]
pub struct SharedChunkSlots {
    places: Arc<Mutex<ChunkSlots>>,
    landing: Arc<Mutex<DeadlineEstimator>>,
}

impl Default for SharedChunkSlots {
    fn default() -> Self {
        SharedChunkSlots {
            places: Arc::new(Mutex::new(ChunkSlots::new(CHUNK_PLACES))),
            landing: Arc::default(),
        }
    }
}

impl SharedChunkSlots {
    /// The places, for one short step.
    pub fn lock(&self) -> MutexGuard<'_, ChunkSlots> {
        self.places.lock()
    }

    /// The work that waits, for one short step.
    pub fn landing(&self) -> MutexGuard<'_, DeadlineEstimator> {
        self.landing.lock()
    }

    /// One place, held until dropped.
    pub fn held(&self) -> HeldPlace {
        HeldPlace(self.clone())
    }
}

/// A place taken before.
#[derive(Debug)]
pub struct HeldPlace(SharedChunkSlots);

impl Drop for HeldPlace {
    fn drop(&mut self) {
        self.0.lock().release();
    }
}
