//! HTTP API for callers: models, completions, files and batch jobs in the format of the OpenAI API,
//! calls to plain services, and the list of instances to use.
//!
//! This crate parses and validates requests and writes responses. A [`Gateway`] processes them.
#![warn(clippy::unwrap_used)]

pub mod batches;
pub mod error_body;
pub mod files;
pub mod gateway;
pub mod handler;
pub mod head;
pub mod inference;
pub mod list;
pub mod models;
pub mod no_memory;
pub mod route;
pub mod service;

pub use gateway::{EventSource, Gateway};
pub use handler::CallerHandler;
