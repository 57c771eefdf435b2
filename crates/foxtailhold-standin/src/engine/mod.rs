//! Stand-in for a model engine: continuous batching with a bounded step, no priorities, a prefix
//! cache, delayed load reports, server-sent events, cancellation by closing the connection, and
//! continuation of answers that another engine began.

pub mod counters;
pub mod faults;
pub mod handler;
pub mod instant;
pub mod orders;
pub mod scheduler;
pub mod text;

pub use counters::EngineCounters;
pub use faults::EngineFaults;
pub use handler::EngineStandin;
pub use instant::InstantEngine;
pub use orders::EngineOrders;
pub use scheduler::EngineShape;
