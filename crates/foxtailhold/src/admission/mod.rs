//! Admission of online requests in front of the backend servers of one model.
//!
//! Requests in flight from one instance are bounded by a window ([`ConcurrencyWindow`]) that follows what the
//! replicas report. Above it requests wait in bounded queues, one for each customer, served by
//! self-clocked fair queueing (Golestani, 1994) with weights by the contract's urgency, so that a
//! flood waits behind itself. What cannot be served in time is refused when it comes.
//!
//! Batch items are not admitted here; they never share a queue with online requests.

mod queue;
mod window;

pub use queue::{AdmissionQueue, Arrival, DequeueOutcome, EnqueueOutcome, WaiterId};
pub use window::{Capacity, ConcurrencyWindow};

/// Requests of one customer that may wait.
pub const WAITING_PER_CUSTOMER: usize = 64;
/// Requests of all customers that may wait.
pub const WAITING_IN_ALL: usize = 1_024;
/// Longest wait of a request, in milliseconds.
pub const MAX_WAIT_MS: u64 = 2_000;
/// Least time to come back after a refusal, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Longest time to come back after a refusal, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 30_000;
