//! Limits of the machine, and what a process lets its peers hold within them.
//!
//! | part | what may hold it |
//! |---|---|
//! | 1/3 of the memory | heads and bodies of requests, requests that are served, and responses until they are written |
//! | 1/16 | answers of the platform, for each of its clients; at least 10 MiB |
//! | the rest | the program and its tables |

use crate::memory::MemoryBudget;

/// Memory of the machine if the settings state none, in MB.
pub const DEFAULT_MEMORY_MB: u64 = 256;
/// Least with which the largest object can be read.
const MIN_ANSWER_BYTES: u64 = 10 << 20;
const MAX_ANSWER_BYTES: u64 = 24 << 20;

/// What the machine has for one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in MB.
    pub memory_mb: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            memory_mb: DEFAULT_MEMORY_MB,
        }
    }
}

impl MachineLimits {
    fn memory_bytes(&self) -> u64 {
        self.memory_mb.saturating_mul(1 << 20)
    }

    /// The memory for requests and responses.
    pub fn request_memory(&self) -> MemoryBudget {
        MemoryBudget::shared(to_usize(self.memory_bytes() / 3))
    }

    /// Memory for the answers that one client of the platform reads at the same time, in bytes.
    pub fn answer_bytes(&self) -> usize {
        let share = self.memory_bytes() / 16;
        to_usize(share.clamp(MIN_ANSWER_BYTES, MAX_ANSWER_BYTES))
    }
}

fn to_usize(amount: u64) -> usize {
    usize::try_from(amount).unwrap_or(usize::MAX)
}
