//! Memory of the chunks that run, from the reading of their items to the storing of their results.

use std::time::Duration;

use foxtailhold::batch::BatchItem;
use foxtailhold_http::memory::{MemoryBudget, Reservation};
use tokio::sync::{Mutex, MutexGuard};

/// Forms of an item that may be in memory at the same time: its line, its body as it is sent, and while
/// its prompt is read the messages and their texts.
const FORMS: usize = 4;
/// Memory of an item beside its line.
const ITEM_BYTES: usize = 8 << 10;
/// Wait before memory is asked for again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Memory that the items of a chunk take while they run.
pub fn chunk_bytes(items: &[BatchItem]) -> usize {
    let lines = items.iter().map(|item| item.body.get().len());
    lines.map(|bytes| ITEM_BYTES + FORMS * bytes).sum()
}

/// Memory of the chunks of one instance. They take it in turns, in which they also read their items, so
/// that what is read before its size is known is bounded too.
#[derive(Debug)]
pub struct ChunkMemory {
    budget: MemoryBudget,
    turns: Mutex<()>,
}

impl ChunkMemory {
    /// All chunks together use `budget`. A chunk that is larger than what one may use runs alone.
    pub fn new(budget: MemoryBudget) -> Self {
        ChunkMemory {
            budget,
            turns: Mutex::default(),
        }
    }

    /// The budget of all chunks.
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Waits for the turn of a chunk, in the order in which chunks ask.
    pub async fn turn(&self) -> ChunkTurn<'_> {
        ChunkTurn {
            budget: &self.budget,
            _guard: self.turns.lock().await,
        }
    }
}

/// The turn of a chunk. The next one has its turn when this is dropped.
#[derive(Debug)]
pub struct ChunkTurn<'a> {
    budget: &'a MemoryBudget,
    _guard: MutexGuard<'a, ()>,
}

impl ChunkTurn<'_> {
    /// Takes the memory of a chunk; `None` if there is not enough now.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        self.budget.reserve_to_run(bytes).ok()
    }

    /// Waits for the memory of a chunk.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        loop {
            if let Some(reservation) = self.try_reserve(bytes) {
                return reservation;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
