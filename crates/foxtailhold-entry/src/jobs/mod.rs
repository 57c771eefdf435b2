//! Batch jobs owned by this instance: taking them over, running their items, committing chunks.

pub mod chunk;
pub mod item;
pub mod item_body;
pub mod deadline_check;
pub mod ordinary;
pub mod owner;
pub mod chunk_slots;
pub mod policy;
pub mod runner;
pub mod streamed_item;
pub mod item_attempt;
pub mod slot_wait;
pub mod store;
pub mod sweep;
