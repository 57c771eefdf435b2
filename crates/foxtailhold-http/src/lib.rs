//! HTTP client and server parts shared by the crates that speak HTTP, the clocks that their time-outs
//! use, and their locks.
#![warn(clippy::unwrap_used)]

pub mod body;
pub mod client;
pub mod clock;
mod connect;
pub mod connections;
pub mod lock;
mod lock_order;
pub mod machine;
pub mod memory;
pub mod paced;
pub mod response_end;
pub mod server;
