//! The operator API (server and client) and the `foxtail` command line.
#![warn(clippy::unwrap_used)]

pub mod cli;
pub mod client;
pub mod command;
pub mod error;
pub mod gateway;
pub mod handler;
pub mod lines;
pub mod options;
pub mod order;
pub mod output;
pub mod route;
pub mod view;

pub use error::{OperatorError, Result};
pub use gateway::OperatorGateway;
pub use handler::OperatorHandler;
