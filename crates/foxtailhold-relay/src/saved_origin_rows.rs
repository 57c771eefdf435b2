//! Rows of the platform's store with the origins of single streams: written while streams of several
//! origins run, read when one is taken up whose origin no instance remembers.

use std::collections::HashSet;
use std::time::Duration;

use foxtailhold::origin_log::{LogChanges, OriginRow, StaleRows};
use foxtailhold::stream_origins::ORIGIN_TTL_MS;
use foxtailhold_platform::{Changes, Committed, PlatformError, RowKey, RowStore, VersionedRow};
use tokio::time::Instant;

use crate::metrics::RelayMetrics;
use crate::peers::Peers;
use crate::retry_delay::RetryDelay;

/// Table of the saved origins.
pub const SAVED_ORIGINS_TABLE: &str = "origins";
/// Partition of the rows. It keeps their transactions from delaying those of batch jobs.
const SAVED_ORIGINS_PART: &str = "origins";
/// Time for which origins are gathered before the first transaction.
const GATHER_MS: u64 = 15;
/// First and longest delay before a failed transaction is retried.
const RETRY_DELAY_MS: (u64, u64) = (250, 4_000);
/// Name of the rows in metrics.
const ROWS: &str = "saved_origins";
/// Shortest interval between two reads of all rows.
const MIN_LOAD_INTERVAL_MS: u64 = 200;
/// Largest number of rows that are deleted at once.
const MAX_DELETES: usize = 50;
/// Key of the sweep in the order of the instances.
const SWEEP_KEY: &[u8] = b"origins/sweep";

/// Result of calls of the store.
type Result<T> = std::result::Result<T, PlatformError>;

fn row_key(key: &str) -> RowKey {
    RowKey {
        table: SAVED_ORIGINS_TABLE.into(),
        part: SAVED_ORIGINS_PART.into(),
        key: key.into(),
    }
}

/// Saves the origins of the streams that begin here, until the task is aborted.
pub(crate) async fn save_origins<S: RowStore>(store: S, peers: Peers, metrics: RelayMetrics) {
    loop {
        // Without new origins, rows still have to be deleted after their time.
        let expiry = Duration::from_millis(ORIGIN_TTL_MS);
        tokio::select! {
            () = peers.wait_origin_log_due() => {}
            () = tokio::time::sleep(expiry) => {}
        }
        tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        let mut retry_delay = RetryDelay::new(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
        loop {
            let changes = peers.origin_log_changes();
            if changes.is_empty() {
                break;
            }
            let next_at = Instant::now() + peers.origin_log_interval();
            match save(&store, &peers, &metrics, &changes).await {
                Ok(()) => {
                    peers.origin_log_committed(&changes);
                    retry_delay.reset();
                }
                Err(error) => {
                    log::warn!(rows = changes.puts.len(); "origins not saved, retrying: {error}");
                    tokio::time::sleep(retry_delay.next_delay()).await;
                }
            }
            tokio::time::sleep_until(next_at).await;
        }
    }
}

/// Writes rows of this instance. Those that the store refuses are written in smaller transactions, and
/// one that it refuses alone is left out.
async fn save<S: RowStore>(
    store: &S,
    peers: &Peers,
    metrics: &RelayMetrics,
    changes: &LogChanges,
) -> Result<()> {
    let mut left = vec![changes.clone()];
    while let Some(changes) = left.pop() {
        let detail = match write(store, peers, &changes).await? {
            Committed::At(_) => continue,
            Committed::Refused(detail) => detail,
            Committed::Conflict(_) => "a conflict without a condition".into(),
        };
        if let Some(halves) = changes.halves() {
            left.extend(halves);
            continue;
        }
        metrics.row_refused(ROWS);
        log::warn!(rows = changes.puts.len(); "saved origins refused, left out: {detail}");
    }
    Ok(())
}

/// Writes rows of this instance, which no other one writes.
async fn write<S: RowStore>(store: &S, peers: &Peers, changes: &LogChanges) -> Result<Committed> {
    let key = |number: &u64| row_key(&format!("{}/{number:08}", peers.me()));
    let mut transaction = Changes {
        deletes: changes.deletes.iter().map(key).collect(),
        ..Changes::default()
    };
    for (number, row) in &changes.puts {
        match serde_json::to_vec(row) {
            Ok(value) => transaction.puts.push((key(number), value.into())),
            Err(error) => log::error!("cannot encode saved origins: {error}"),
        }
    }
    store.commit(&transaction).await
}

async fn read<S: RowStore>(store: &S) -> Result<Vec<VersionedRow>> {
    let snapshot = store
        .read(SAVED_ORIGINS_TABLE, SAVED_ORIGINS_PART, "", "")
        .await?;
    Ok(snapshot.rows)
}

fn decode(row: &VersionedRow) -> Option<OriginRow> {
    let value = row.value.as_ref()?;
    serde_json::from_slice(value)
        .inspect_err(
            |error| log::warn!(version = row.version; "cannot decode saved origins: {error}"),
        )
        .ok()
}

/// Reads the saved origins whenever a stream is taken up that may be among them, until the task is
/// aborted.
pub(crate) async fn load_origins<S: RowStore>(store: S, peers: Peers) {
    loop {
        peers.wait_origin_load_due().await;
        let next_at = Instant::now() + Duration::from_millis(MIN_LOAD_INTERVAL_MS);
        match read(&store).await {
            Ok(rows) => {
                let rows: Vec<OriginRow> = rows.iter().filter_map(decode).collect();
                log::info!(rows = rows.len(); "saved origins read");
                peers.record_saved_origins(&rows);
            }
            Err(error) => {
                log::warn!("saved origins not read: {error}");
                peers.saved_origins_not_read();
            }
        }
        tokio::time::sleep_until(next_at).await;
    }
}

/// Deletes the rows of instances that are lost, until the task is aborted. The first instance in their
/// order looks for them at each check, the second one at every second check, and so on: lists of
/// instances may differ, so that none takes itself for the first.
pub(crate) async fn sweep_origins<S: RowStore>(store: S, peers: Peers, metrics: RelayMetrics) {
    let mut sweep = Sweep::default();
    let mut checks = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(ORIGIN_TTL_MS)).await;
        if sweep.stale_rows.is_empty() && !peers.has_mixed_origins() {
            continue;
        }
        checks += 1;
        if checks % (peers.rank(SWEEP_KEY) + 1) != 0 {
            continue;
        }
        match sweep.run(&store, &metrics).await {
            Ok(0) => {}
            Ok(rows) => log::info!(rows = rows; "saved origins of lost instances deleted"),
            Err(error) => log::warn!("saved origins of lost instances not deleted: {error}"),
        }
    }
}

#[derive(Debug, Default)]
struct Sweep {
    stale_rows: StaleRows,
    /// Keys whose deletion the store has refused.
    refused: HashSet<String>,
}

impl Sweep {
    /// Deletes the rows that have not changed since the last run. Returns their number.
    async fn run<S: RowStore>(&mut self, store: &S, metrics: &RelayMetrics) -> Result<usize> {
        let rows = read(store).await?;
        let rows = rows.iter().map(|row| (row.key.key.as_str(), row.version));
        let mut stale = self.stale_rows.observe(rows);
        stale.retain(|key| !self.refused.contains(key));
        let mut deleted = 0;
        for keys in stale.chunks(MAX_DELETES) {
            let changes = Changes {
                deletes: keys.iter().map(|key| row_key(key)).collect(),
                ..Changes::default()
            };
            match store.commit(&changes).await? {
                Committed::At(_) => deleted += keys.len(),
                Committed::Conflict(_) => {}
                Committed::Refused(detail) => {
                    metrics.row_refused(ROWS);
                    log::warn!(rows = keys.len(); "deletion of saved origins refused: {detail}");
                    self.refused.extend(keys.iter().cloned());
                }
            }
        }
        Ok(deleted)
    }
}
