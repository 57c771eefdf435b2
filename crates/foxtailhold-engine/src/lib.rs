//! Client for model engines: inference requests, token streams, load reports and orders.
#![warn(clippy::unwrap_used)]

pub mod check;
pub mod chunk;
pub mod client;
pub mod deadline_body;
pub mod error;
pub mod orders;
pub mod sse;
pub mod stream;

pub use client::{EngineAnswer, EngineClient, EngineRequest, Resume, WholeAnswer};
pub use error::{EngineError, Result};
pub use stream::{EngineStream, TokenEvent};
