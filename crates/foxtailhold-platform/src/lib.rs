//! Client for the platform services: table service, object store, weight store and fleet list.
//!
//! The traits define what the system requires of a platform. [`http::HttpPlatform`] implements the
//! traits of [`Platform`] over HTTP. Every error tells whether the call may have taken effect.
#![warn(clippy::unwrap_used)]

pub mod error;
pub mod fleet;
pub mod http;
pub mod objects;
pub mod rows;
pub mod table;

pub use error::{PlatformError, Result};
pub use fleet::{Fleet, FleetInstance, FleetList};
pub use http::HttpPlatform;
pub use objects::{ObjectStore, WeightStore};
pub use rows::{Changes, Committed, Feed, RowKey, RowStore, Snapshot, VersionedRow};
pub use table::{Expect, KeyedRow, Operation, Row, TableService, Transacted};

/// A platform that provides all four services.
pub trait Platform: TableService + ObjectStore + WeightStore + FleetList {}

impl<T: TableService + ObjectStore + WeightStore + FleetList> Platform for T {}
