//! Messages between entry instances over h2 and bincode.
#![warn(clippy::unwrap_used)]

pub mod client;
pub mod codec;
pub mod error;
pub mod message;
pub mod server;
pub mod stamp;
pub mod traffic;

pub use client::PeerClient;
pub use error::{PeerError, Result};
pub use message::{PartCrashNews, PeerAnswer, PeerRequest};
pub use server::{PeerHandler, PeerServer};
pub use stamp::MessageClock;
