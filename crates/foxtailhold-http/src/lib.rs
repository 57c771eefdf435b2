//! HTTP client and server plumbing shared by the crates that speak HTTP, with the clocks that their
//! timeouts count by.
#![warn(clippy::unwrap_used)]

pub mod body;
pub mod client;
pub mod clock;
pub mod server;
