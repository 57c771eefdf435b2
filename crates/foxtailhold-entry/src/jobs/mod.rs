//! Batch jobs owned by this instance: claiming jobs, running their items, committing their chunks.

pub mod chunk;
pub mod chunk_memory;
pub mod chunk_slots;
pub mod deadline_check;
pub mod item;
pub mod item_attempt;
pub mod item_body;
pub mod ordinary;
pub mod owner;
pub mod policy;
pub mod runner;
pub mod silence;
pub mod slot_wait;
pub mod store;
pub mod streamed_item;
pub mod sweep;
