//! Where the platform keeps routes and backend servers.

use foxtailhold::routes::RouteTable;
use thiserror::Error;

use crate::fleet::BackendServer;

/// Why a row of the platform cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("row {key} cannot be used: {detail}")]
pub struct RowError {
    /// Its key.
    pub key: String,
    /// What is wrong.
    pub detail: String,
}

/// Where the platform keeps routes and backend servers, and how they are read.
pub trait PlatformTables: Clone + Send + Sync + 'static {
    /// Table and key of the routes.
    fn routes_location(&self) -> (&'static str, &'static str);

    /// Table of backend servers, one row each.
    fn backends_table(&self) -> &'static str;

    /// Reads the routes.
    fn read_routes(&self, value: &[u8]) -> std::result::Result<RouteTable, RowError>;

    /// Reads a backend server; `key` is its identifier.
    fn read_backend(&self, key: &str, value: &[u8])
    -> std::result::Result<BackendServer, RowError>;
}
