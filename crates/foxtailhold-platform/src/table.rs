//! Interface of the transactional table service.

use std::future::Future;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{PlatformError, Result};

/// Name of the table service in errors.
pub const TABLE_SERVICE: &str = "table service";

/// The value of a row, with the version that the service increments at each write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Version, starting at 1.
    pub version: u64,
    /// Value as JSON.
    pub value: Value,
}

impl Row {
    /// Deserializes the value as `T`.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_value(self.value.clone()).map_err(|error| PlatformError::Malformed {
            service: TABLE_SERVICE,
            detail: error.to_string(),
        })
    }
}

/// A row with its key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyedRow {
    /// Key of the row within its table.
    pub key: String,
    /// Value and version.
    #[serde(flatten)]
    pub row: Row,
}

/// Precondition of an operation on its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists, with any version.
    Present,
    /// The row has exactly this version.
    Version(u64),
}

/// One operation of a transaction: a precondition and a write on one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Table name.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Precondition, checked before the write.
    pub expect: Expect,
    /// Write that takes effect if the preconditions of all operations hold.
    pub write: Write,
}

/// The write of one operation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// No write; the operation only checks its precondition.
    None,
    /// Set the row to this value.
    Put(Value),
    /// Delete the row.
    Delete,
}

impl Operation {
    /// Creates an operation that checks a row without writing it.
    pub fn check(table: &str, key: &str, expect: Expect) -> Self {
        Operation {
            table: table.into(),
            key: key.into(),
            expect,
            write: Write::None,
        }
    }

    /// Creates an operation that writes `value` as JSON.
    pub fn put<T: Serialize>(table: &str, key: &str, expect: Expect, value: &T) -> Self {
        let value = serde_json::to_value(value).unwrap_or(Value::Null);
        Operation {
            write: Write::Put(value),
            ..Operation::check(table, key, expect)
        }
    }

    /// Creates an operation that deletes a row.
    pub fn delete(table: &str, key: &str, expect: Expect) -> Self {
        Operation {
            write: Write::Delete,
            ..Operation::check(table, key, expect)
        }
    }
}

/// Result of a transaction that was answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transacted {
    /// All operations took effect.
    Committed,
    /// A precondition failed and no operation took effect.
    Conflict {
        /// Index of the first operation whose precondition failed.
        operation: usize,
        /// Current row of that operation; `None` if it does not exist.
        current: Option<Row>,
    },
}

/// A table service with conditional multi-row transactions.
pub trait TableService: Clone + Send + Sync + 'static {
    /// Reads one row; `None` if it does not exist.
    fn get(&self, table: &str, key: &str) -> impl Future<Output = Result<Option<Row>>> + Send;

    /// Reads, in key order, at most `limit` rows whose keys start with `prefix` and are greater
    /// than `after`.
    fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<KeyedRow>>> + Send;

    /// Applies all operations atomically, or none of them.
    fn transact(&self, operations: &[Operation])
    -> impl Future<Output = Result<Transacted>> + Send;
}
