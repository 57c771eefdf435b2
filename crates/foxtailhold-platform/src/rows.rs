//! Tables whose versions come from one counter, with transactions and a feed of changes.

use std::future::Future;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::Result;

/// Where a row is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// Table.
    pub table: String,
    /// Partition, within which transactions run one after another; may be empty.
    pub part: String,
    /// Key within the partition.
    pub key: String,
}

impl RowKey {
    /// A key in the partition without a name.
    pub fn new(table: &str, key: &str) -> Self {
        RowKey {
            table: table.into(),
            part: String::new(),
            key: key.into(),
        }
    }
}

/// A row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// Where it is.
    pub key: RowKey,
    /// Its value; `None` where a feed tells that the row was deleted.
    pub value: Option<Bytes>,
    /// Version of its newest change.
    pub version: u64,
}

/// Writes that take effect together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Rows with the version that each must have; 0: there is no such row.
    pub expected: Vec<(RowKey, u64)>,
    /// New values.
    pub puts: Vec<(RowKey, Bytes)>,
    /// Rows to delete.
    pub deletes: Vec<RowKey>,
}

/// What became of changes that were answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Committed {
    /// All took effect at this version.
    At(u64),
    /// None took effect: the expected rows as they are, without those that do not exist.
    Conflict(Vec<VersionedRow>),
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The rows in order of their keys.
    pub rows: Vec<VersionedRow>,
    /// Newest version of the store at that moment.
    pub version: u64,
}

/// Changes of a table since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    /// The changed rows in order; continue from `version`.
    Changed {
        /// The rows.
        rows: Vec<VersionedRow>,
        /// Where to continue.
        version: u64,
    },
    /// The store no longer knows that far back: read the whole table.
    HistoryGone,
}

/// A store of versioned rows.
pub trait RowStore: Clone + Send + Sync + 'static {
    /// Applies changes. An error that may have taken effect is only settled by reading.
    fn commit(&self, changes: &Changes) -> impl Future<Output = Result<Committed>> + Send;

    /// Reads the rows of a partition from key `from` up to, without, `to`; an empty text: no bound.
    fn read(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> impl Future<Output = Result<Snapshot>> + Send;

    /// Waits up to `wait_ms` for changes of a table after a version.
    fn follow(
        &self,
        table: &str,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Feed>> + Send;
}
