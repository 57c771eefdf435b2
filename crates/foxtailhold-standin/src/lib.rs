//! Stand-ins for the platform, engines and plain services, and the commands that use them: the
//! demo, the load command and the benchmarks.
//!
//! The stand-ins run as processes or embedded in a test. They are not part of a release.
#![warn(clippy::unwrap_used)]

pub mod answer;
pub mod bench;
pub mod cli;
pub mod cluster;
pub mod command;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod error;
pub mod load;
pub mod platform;
pub mod process;
pub mod registry;
pub mod service;
pub mod slopes;

pub use error::{Result, StandinError};
