//! Where the platform stores routes and backend servers.

use foxtailhold::routes::RouteTable;
use thiserror::Error;

use crate::fleet::BackendServer;

/// Why a row of the platform cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("row {key} cannot be used: {detail}")]
pub struct RowError {
    /// Key of the row.
    pub key: String,
    /// What is wrong with it.
    pub detail: String,
}

/// Location and format of the rows with routes and backend servers.
pub trait PlatformTables: Clone + Send + Sync + 'static {
    /// Table and key of the routes.
    fn routes_location(&self) -> (&'static str, &'static str);

    /// Table of the backend servers, one row each.
    fn backends_table(&self) -> &'static str;

    /// Decodes the routes.
    fn read_routes(&self, value: &[u8]) -> std::result::Result<RouteTable, RowError>;

    /// Decodes a backend server; `key` is the key of its row.
    fn read_backend(&self, key: &str, value: &[u8])
    -> std::result::Result<BackendServer, RowError>;
}
