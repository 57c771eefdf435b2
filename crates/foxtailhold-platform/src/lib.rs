//! Client of the platform: table service, object store, weight store, fleet list.
//!
//! The traits are what the system needs of a platform; [`http::HttpPlatform`] meets them over a
//! small HTTP form. Every error says whether the call may have taken effect.
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

/// A whole platform.
pub trait Platform: TableService + ObjectStore + WeightStore + FleetList {}

impl<T: TableService + ObjectStore + WeightStore + FleetList> Platform for T {}
