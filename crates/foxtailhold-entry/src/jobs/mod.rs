//! Batch jobs owned by this instance: taking them over, running their items, committing chunks.

pub mod chunk;
pub mod item;
pub mod item_body;
pub mod landing;
pub mod ordinary;
pub mod owner;
pub mod places;
pub mod policy;
pub mod runner;
pub mod steward_item;
pub mod steward_leg;
pub mod steward_line;
pub mod store;
pub mod sweep;
