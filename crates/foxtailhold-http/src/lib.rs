//! HTTP client and server parts shared by the crates that speak HTTP, and the clocks that their
//! time-outs use.
#![warn(clippy::unwrap_used)]

pub mod body;
pub mod client;
pub mod clock;
pub mod server;
