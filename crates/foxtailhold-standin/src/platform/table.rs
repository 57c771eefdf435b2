//! An in-memory table service with conditional multi-row transactions.

use std::collections::BTreeMap;

use std::collections::VecDeque;
use std::time::Duration;

use foxtailhold_platform::table::Write;
use foxtailhold_platform::{Expect, KeyedRow, Operation, Row, Transacted};
use tokio::time::Instant;

/// Retention of replaced rows, and so the maximum lag of reads.
const HISTORY_RETENTION: Duration = Duration::from_secs(30);

/// All tables. The version of a row starts at 1 and rises by one with each write; it starts again
/// after the row was deleted.
#[derive(Debug, Clone, Default)]
pub struct MemoryTable {
    rows: BTreeMap<(String, String), Row>,
    history: VecDeque<PreviousRow>,
}

/// The state of a row before a write; `None` if the row was absent.
#[derive(Debug, Clone)]
struct PreviousRow {
    at: Instant,
    key: (String, String),
    row: Option<Row>,
}

fn matches(expect: Expect, current: Option<&Row>) -> bool {
    match (expect, current) {
        (Expect::Any, _) | (Expect::Absent, None) | (Expect::Present, Some(_)) => true,
        (Expect::Version(version), Some(row)) => row.version == version,
        _ => false,
    }
}

impl MemoryTable {
    /// Returns a row; `None` if it is absent.
    pub fn get(&self, table: &str, key: &str) -> Option<Row> {
        self.rows.get(&(table.to_owned(), key.to_owned())).cloned()
    }

    /// Returns at most `limit` rows in key order whose keys start with `prefix` and follow `after`.
    /// An empty `after` starts at the first row.
    pub fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Vec<KeyedRow> {
        let mut found = Vec::new();
        let from = (table.to_owned(), prefix.max(after).to_owned());
        for ((name, key), row) in self.rows.range(from..) {
            if name != table || !key.starts_with(prefix) && key.as_str() > prefix {
                break;
            }
            if key.as_str() <= after && !after.is_empty() {
                continue;
            }
            if found.len() >= limit {
                break;
            }
            found.push(KeyedRow {
                key: key.clone(),
                row: row.clone(),
            });
        }
        found
    }

    /// Returns a copy of the tables as they were `lag_ms` ago.
    pub fn as_of(&self, lag_ms: u64) -> MemoryTable {
        let lag = Duration::from_millis(lag_ms);
        let mut rows = self.rows.clone();
        for previous in self.history.iter().rev() {
            if previous.at.elapsed() >= lag {
                break;
            }
            match &previous.row {
                Some(row) => rows.insert(previous.key.clone(), row.clone()),
                None => rows.remove(&previous.key),
            };
        }
        MemoryTable {
            rows,
            history: VecDeque::new(),
        }
    }

    fn record_previous(&mut self, key: &(String, String)) {
        while self
            .history
            .front()
            .is_some_and(|old| old.at.elapsed() > HISTORY_RETENTION)
        {
            self.history.pop_front();
        }
        self.history.push_back(PreviousRow {
            at: Instant::now(),
            key: key.clone(),
            row: self.rows.get(key).cloned(),
        });
    }

    /// Applies all operations, or none if an expectation fails. The conflict names the first
    /// operation that failed.
    pub fn transact(&mut self, operations: Vec<Operation>) -> Transacted {
        for (index, operation) in operations.iter().enumerate() {
            let current = self.get(&operation.table, &operation.key);
            if !matches(operation.expect, current.as_ref()) {
                return Transacted::Conflict {
                    operation: index,
                    current,
                };
            }
        }
        for operation in operations {
            let key = (operation.table, operation.key);
            if operation.write != Write::None {
                self.record_previous(&key);
            }
            match operation.write {
                Write::None => {}
                Write::Put(value) => {
                    let version = self.rows.get(&key).map_or(0, |row| row.version) + 1;
                    self.rows.insert(key, Row { version, value });
                }
                Write::Delete => {
                    self.rows.remove(&key);
                }
            }
        }
        Transacted::Committed
    }
}
