//! Follows a table of the platform's store.
//!
//! A whole read, then the feed of changes. Every call has a limit of its own, since a connection
//! may go silent without a reset.

use std::time::Duration;

use foxtailhold_platform::{Feed, RowStore, Snapshot, VersionedRow};
use rand::Rng;

/// Longest wait of one call for changes. A silent connection must be noticed, and the state read
/// anew, well within the 3 s after which an instance counts as in touch again.
pub const FEED_WAIT_MS: u64 = 1_200;
/// First and longest pause after a failed call.
const PAUSE_MS: (u64, u64) = (40, 400);

/// What is learnt from a table.
pub trait Sink: Send {
    /// Takes the whole table.
    fn replace(&mut self, snapshot: Snapshot);
    /// Takes changed rows in order.
    fn change(&mut self, rows: Vec<VersionedRow>);
    /// Notes that a call was answered; `false`: it failed.
    fn answered(&mut self, is_sound: bool);
    /// Pause after changes, so that several are read with one call.
    fn rest_ms(&self) -> u64 {
        0
    }
}

/// Follows `table` until the task is aborted.
pub async fn follow<S: RowStore, K: Sink>(store: S, table: &str, mut sink: K) {
    let mut pause_ms = PAUSE_MS.0;
    loop {
        match store.read(table, "", "", "").await {
            Ok(snapshot) => {
                pause_ms = PAUSE_MS.0;
                let version = snapshot.version;
                sink.answered(true);
                log::info!(table = table, version = version, rows = snapshot.rows.len(); "table read");
                sink.replace(snapshot);
                follow_changes(&store, table, version, &mut sink).await;
            }
            Err(error) => {
                sink.answered(false);
                log::warn!(table = table, error = error.to_string().as_str(); "table not read");
                pause(&mut pause_ms).await;
            }
        }
    }
}

/// Follows the feed until its history is gone.
async fn follow_changes<S: RowStore, K: Sink>(
    store: &S,
    table: &str,
    mut after: u64,
    sink: &mut K,
) {
    let mut pause_ms = PAUSE_MS.0;
    let mut is_sound = true;
    loop {
        match store.follow(table, after, FEED_WAIT_MS).await {
            Ok(Feed::Changed { rows, version }) => {
                if !is_sound {
                    log::info!(table = table, version = version; "feed is back");
                }
                (is_sound, pause_ms) = (true, PAUSE_MS.0);
                sink.answered(true);
                after = after.max(version);
                if rows.is_empty() {
                    continue;
                }
                sink.change(rows);
                tokio::time::sleep(Duration::from_millis(sink.rest_ms())).await;
            }
            Ok(Feed::HistoryGone) => {
                log::info!(table = table, version = after; "history gone, the table is read anew");
                return;
            }
            Err(error) => {
                if is_sound {
                    log::warn!(
                        table = table, version = after, error = error.to_string().as_str();
                        "feed lost"
                    );
                }
                is_sound = false;
                sink.answered(false);
                pause(&mut pause_ms).await;
            }
        }
    }
}

/// Waits with jitter, so that instances do not come back in step, and doubles the next wait.
async fn pause(pause_ms: &mut u64) {
    let jittered_ms = rand::rng().random_range(*pause_ms / 2..=*pause_ms);
    *pause_ms = PAUSE_MS.1.min(*pause_ms * 2);
    tokio::time::sleep(Duration::from_millis(jittered_ms)).await;
}
