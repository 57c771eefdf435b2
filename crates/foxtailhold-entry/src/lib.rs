//! The entry instance: settings, actors, gateways and planned stop.
#![warn(clippy::unwrap_used)]

pub mod actors;
pub mod admission;
pub mod backends;
pub mod cli;
pub mod contract_store;
pub mod crashes;
pub mod error;
pub mod gateway;
pub mod gauges;
pub mod instance;
pub mod jobs;
pub mod limits;
pub use foxtailhold_logs as logging;
pub mod batch_controllers;
pub mod messages;
pub mod metered_platform;
pub mod metrics;
pub mod online_load;
pub mod part_evidence;
pub mod part_news;
pub mod peer;
pub mod prompt;
pub mod retries;
pub mod settings;
pub mod shared;
pub mod tables;
pub mod timeline;

pub use error::{EntryError, Result};
pub use instance::Instance;
pub use settings::Settings;
