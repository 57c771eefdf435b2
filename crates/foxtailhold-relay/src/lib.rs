//! Forwards opaque requests and runs ordered batch jobs at backend servers chosen by routes.
#![warn(clippy::unwrap_used)]

pub mod attempt_evidence;
pub mod attempts;
pub mod connections;
pub mod crash_rows;
pub mod crashes;
pub mod dialect;
pub mod dispatch;
mod engine;
pub mod events;
mod feeds;
pub mod fleet;
pub mod follow;
pub mod instance;
pub mod jobs;
pub mod life_signs;
pub mod metrics;
pub mod origin_rows;
pub mod outcomes;
pub mod part_evidence;
pub mod part_rows;
pub mod peers;
pub mod pending_attempts;
pub mod plain;
mod plain_dispatch;
pub mod platform_tables;
pub mod relay;
pub mod request;
pub mod saved_origin_rows;
pub mod shared_store;
pub mod store_access;
pub mod stream;
pub mod stream_attempt;
pub mod tables;
mod take_up;
mod timers;
pub mod upstream;
