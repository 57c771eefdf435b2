//! Follows a table of the platform's store.
//!
//! The table is read in full, then its change feed is followed. Every call has its own time limit,
//! since a connection may go silent without a reset.

use std::time::Duration;

use foxtailhold_platform::{Feed, RowStore, Snapshot, VersionedRow};
use rand::Rng;

/// Longest wait of one call for changes. A silent connection must be noticed, and the table read
/// again, well within the 3 s after which an instance counts as connected again.
pub const FEED_WAIT_MS: u64 = 1_200;
/// First and longest delay after a failed call.
const RETRY_DELAY_MS: (u64, u64) = (40, 400);

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

/// Follows `table` until the task is aborted.
pub async fn follow<S: RowStore, K: TableSink>(store: S, table: &str, mut sink: K) {
    let mut delay_ms = RETRY_DELAY_MS.0;
    loop {
        match store.read(table, "", "", "").await {
            Ok(snapshot) => {
                delay_ms = RETRY_DELAY_MS.0;
                let version = snapshot.version;
                sink.call_ended(true);
                log::info!(table = table, version = version, rows = snapshot.rows.len(); "table read");
                sink.replace(snapshot);
                follow_changes(&store, table, version, &mut sink).await;
            }
            Err(error) => {
                sink.call_ended(false);
                log::warn!(table = table, error = error.to_string().as_str(); "table not read, retrying");
                back_off(&mut delay_ms).await;
            }
        }
    }
}

/// Follows the change feed until its history no longer reaches back to `after`.
async fn follow_changes<S: RowStore, K: TableSink>(
    store: &S,
    table: &str,
    mut after: u64,
    sink: &mut K,
) {
    let mut delay_ms = RETRY_DELAY_MS.0;
    let mut is_ok = true;
    loop {
        match store.follow(table, after, FEED_WAIT_MS).await {
            Ok(Feed::Changed { rows, version }) => {
                if !is_ok {
                    log::info!(table = table, version = version; "change feed answers again");
                }
                (is_ok, delay_ms) = (true, RETRY_DELAY_MS.0);
                sink.call_ended(true);
                after = after.max(version);
                if rows.is_empty() {
                    continue;
                }
                sink.change(rows);
                tokio::time::sleep(Duration::from_millis(sink.batch_delay_ms())).await;
            }
            Ok(Feed::HistoryGone) => {
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
                sink.call_ended(false);
                back_off(&mut delay_ms).await;
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
