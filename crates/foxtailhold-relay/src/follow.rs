//! Follows a table of the platform's store.
//!
//! The table is read in full, then its change feed is followed. Every call has its own time limit,
//! since a connection may go silent without a reset.

use std::time::Duration;

use foxtailhold_platform::{Feed, ObjectStore, RowStore, Snapshot, VersionedRow};
use rand::Rng;

use crate::shared_store::{SharedStore, StoreAccess};
use crate::tables::{FollowedTable, TableStatus};

/// Longest wait of one call for changes. A silent connection must be noticed, and the table read
/// again, well within the 3 s after which an instance counts as connected again.
pub const FEED_WAIT_MS: u64 = 1_200;
/// First and longest delay after a failed call.
const RETRY_DELAY_MS: (u64, u64) = (40, 400);
/// A table that the store has not answered about for this time is reported when it does.
const LATE_CONFIRMATION_MS: u64 = 2_000;

/// Consumer of the rows of one table.
pub trait TableSink: Send {
    /// Applies the complete table.
    fn replace(&mut self, snapshot: Snapshot);
    /// Applies changed rows in order.
    fn change(&mut self, rows: Vec<VersionedRow>);
    /// Called after every store call; `is_ok` is `false` if it failed.
    fn call_ended(&mut self, is_ok: bool);
    /// Delay after a batch of changes, so that several are read with one call.
    fn batch_delay_ms(&self) -> u64 {
        0
    }
}

/// A table to follow and where it is stored.
#[derive(Debug, Clone, Copy)]
pub struct TableSource {
    /// The table.
    pub table: FollowedTable,
    /// Its name in the store.
    pub name: &'static str,
}

/// Follows one table into a sink.
struct Follower<S, K> {
    store: SharedStore<S>,
    source: TableSource,
    status: TableStatus,
    sink: K,
}

/// Follows a table until the task is aborted.
pub async fn follow<S: RowStore + ObjectStore, K: TableSink>(
    store: SharedStore<S>,
    source: TableSource,
    status: TableStatus,
    sink: K,
) {
    let mut follower = Follower {
        store,
        source,
        status,
        sink,
    };
    let mut delay_ms = RETRY_DELAY_MS.0;
    loop {
        match follower.store.read_table(source.name).await {
            Ok((snapshot, access)) => {
                delay_ms = RETRY_DELAY_MS.0;
                let version = snapshot.version;
                follower.confirm(access);
                log::info!(table = source.name, version = version, rows = snapshot.rows.len(); "table read");
                follower.status.record_changes(source.table, &snapshot.rows);
                follower.sink.replace(snapshot);
                follower.follow_changes(version).await;
            }
            Err(error) => {
                follower.sink.call_ended(false);
                log::warn!(table = source.name, error = error.to_string().as_str(); "table not read, retrying");
                back_off(&mut delay_ms).await;
            }
        }
    }
}

impl<S: RowStore + ObjectStore, K: TableSink> Follower<S, K> {
    fn confirm(&mut self, access: StoreAccess) {
        self.sink.call_ended(true);
        let Some(gap) = self.status.confirm(self.source.table, access) else {
            return;
        };
        let gap_ms = gap.as_millis() as u64;
        if gap_ms >= LATE_CONFIRMATION_MS {
            log::warn!(table = self.source.name, gap_ms = gap_ms, access:% = access; "table confirmed late");
        }
    }

    /// Follows the change feed until its history no longer reaches back to `after`.
    async fn follow_changes(&mut self, mut after: u64) {
        let table = self.source.name;
        let mut delay_ms = RETRY_DELAY_MS.0;
        let mut is_ok = true;
        loop {
            match self.store.follow_table(table, after, FEED_WAIT_MS).await {
                Ok((Feed::Changed { rows, version }, access)) => {
                    if !is_ok {
                        log::info!(table = table, version = version; "change feed answers again");
                    }
                    (is_ok, delay_ms) = (true, RETRY_DELAY_MS.0);
                    self.confirm(access);
                    after = after.max(version);
                    if rows.is_empty() {
                        continue;
                    }
                    self.status.record_changes(self.source.table, &rows);
                    self.sink.change(rows);
                    tokio::time::sleep(Duration::from_millis(self.sink.batch_delay_ms())).await;
                }
                Ok((Feed::HistoryGone, _)) => {
                    log::info!(table = table, version = after; "change feed no longer covers this version, reading the whole table");
                    return;
                }
                Err(error) => {
                    if is_ok {
                        log::warn!(
                            table = table, version = after, error = error.to_string().as_str();
                            "change feed failed, retrying"
                        );
                    }
                    is_ok = false;
                    self.sink.call_ended(false);
                    back_off(&mut delay_ms).await;
                }
            }
        }
    }
}

/// Waits with jitter, so that instances do not retry in step, and doubles the next delay.
async fn back_off(delay_ms: &mut u64) {
    let jittered_ms = rand::rng().random_range(*delay_ms / 2..=*delay_ms);
    *delay_ms = RETRY_DELAY_MS.1.min(*delay_ms * 2);
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
}
