//! Limits of the machine, and what a process lets its peers hold within them.
//!
//! | part | what may hold it |
//! |---|---|
//! | 1/4 of the memory | connections of all listeners, with the bytes that were received and not yet read |
//! | 1/3 | heads and bodies of requests, requests that are served, and responses until they are written |
//! | 1/8 | bodies of batch items that wait or run; in the OpenAI form chunks that run, with their results |
//! | 1/16 | answers of the platform, for each of its clients; at least 10 MiB |
//! | the rest | the program and its tables |
//!
//! At most 3/8 of the sockets are for connections from outside; the others are for connections to
//! backend servers, the platform and other instances.

use crate::connections::ConnectionLimit;
use crate::memory::MemoryBudget;

/// Memory of the machine if the settings state none, in MB.
pub const DEFAULT_MEMORY_MB: u64 = 256;
/// Descriptors of the process if the settings state none.
pub const DEFAULT_MAX_DESCRIPTORS: u64 = 4_096;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Memory of one connection: the receive buffer of the operating system and the buffers and the state
/// here.
const CONNECTION_BYTES: u64 = 48 << 10;
/// Least numbers with which an instance can serve at all.
const MIN_CONNECTIONS: u64 = 32;
const MIN_ANSWER_BYTES: u64 = 10 << 20;
const MAX_ANSWER_BYTES: u64 = 24 << 20;

/// What the machine has for one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Open files, sockets and pipes.
    pub max_descriptors: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            memory_mb: DEFAULT_MEMORY_MB,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
        }
    }
}

/// Listeners of a process by who uses them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Requests and batch jobs of callers.
    Callers,
    /// Calls of other instances.
    Peers,
    /// Short calls without bodies, or calls of few clients: readiness, addresses, operators.
    Control,
}

impl MachineLimits {
    fn memory_bytes(&self) -> u64 {
        self.memory_mb.saturating_mul(1 << 20)
    }

    /// The memory for requests and responses.
    pub fn request_memory(&self) -> MemoryBudget {
        MemoryBudget::shared(to_usize(self.memory_bytes() / 3))
    }

    /// The memory for the bodies of batch items that wait or run.
    pub fn item_memory(&self) -> MemoryBudget {
        MemoryBudget::shared(to_usize(self.memory_bytes() / 8))
    }

    /// Memory for the answers that one client of the platform reads at the same time, in bytes.
    pub fn answer_bytes(&self) -> usize {
        let share = self.memory_bytes() / 16;
        to_usize(share.clamp(MIN_ANSWER_BYTES, MAX_ANSWER_BYTES))
    }

    /// The connections that a listener may have, which carry what is in `memory`.
    pub fn connections(&self, kind: ListenerKind, memory: &MemoryBudget) -> ConnectionLimit {
        let sockets = self.max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_memory = self.memory_bytes() / 6 / CONNECTION_BYTES;
        let total = (sockets / 4).min(by_memory).max(MIN_CONNECTIONS);
        let share = match kind {
            ListenerKind::Callers | ListenerKind::Peers => total / 2,
            ListenerKind::Control => total / 4,
        };
        ConnectionLimit::new(to_usize(share), memory.clone())
    }
}

fn to_usize(amount: u64) -> usize {
    usize::try_from(amount).unwrap_or(usize::MAX)
}
