//! Admission of online requests in front of the backend servers of one model.
//!
//! The requests in flight from one instance are bounded by a window ([`ConcurrencyWindow`]) that
//! follows the load reports of the backend servers. Above it, requests wait in bounded queues, one
//! for each customer, served by self-clocked fair queueing (Golestani, 1994). The weights follow
//! the contract's urgency, so that a flood of one customer delays its own requests. A request that
//! cannot be served in time is refused on arrival.
//!
//! Batch items are not admitted here; they never share a queue with online requests.

mod queue;
mod service_time;
mod window;

pub use queue::{AdmissionQueue, Arrival, DequeueOutcome, EnqueueOutcome, WaiterId};
pub use service_time::ServiceTime;
pub use window::{Capacity, ConcurrencyWindow};

/// Largest number of waiting requests of one customer.
pub const WAITING_PER_CUSTOMER: usize = 64;
/// Largest number of waiting requests of all customers.
pub const WAITING_IN_ALL: usize = 1_024;
/// Longest time that a request waits whose caller states no deadline: he hears soon that he has to come
/// back. A caller who states one waits until his request can no longer be served by then.
pub const MAX_WAIT_MS: u64 = 2_000;
/// Least retry time after a refusal: `Retry-After` has whole seconds.
pub const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Longest retry time after a refusal.
pub const MAX_RETRY_AFTER_MS: u64 = 30_000;
