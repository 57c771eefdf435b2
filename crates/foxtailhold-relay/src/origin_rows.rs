//! Keeps the record of the listed origins in the platform's store, for instances that start later.

use std::time::Duration;

use foxtailhold::origin_history::OriginRecord;
use foxtailhold_platform::{Changes, Committed, PlatformError, RowKey, RowStore, VersionedRow};

use crate::metrics::RelayMetrics;
use crate::peers::{INSTANCES_TABLE, Peers};
use crate::retry_delay::RetryDelay;

/// Key of the row with the record.
pub const ORIGIN_RECORD_KEY: &str = "origins/listed";
/// Interval between checks for origins that were listed too long ago.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Time after which the next instance in order writes the record, if it is not there yet.
const TURN_MS: u64 = 400;
/// Instances that take turns one after the other; all others write at the last turn.
const MAX_TURNS: usize = 4;
/// First and longest delay before a write that had no effect is retried.
const RETRY_DELAY_MS: (u64, u64) = (250, 4_000);
/// Name of the row in metrics.
const ROWS: &str = "origin_record";

/// Applies the row with the record; `None` if the store has none. A record that cannot be decoded
/// counts as incomplete and is replaced.
pub(crate) fn apply_record(peers: &Peers, row: Option<&VersionedRow>) {
    let Some((row, value)) = row.and_then(|row| Some((row, row.value.as_ref()?))) else {
        peers.set_origin_record(0, None);
        return;
    };
    let record = serde_json::from_slice::<OriginRecord>(value).unwrap_or_else(|error| {
        log::warn!(version = row.version; "cannot decode the record of origins: {error}");
        OriginRecord::default()
    });
    log::info!(
        version = row.version, origins = record.origins.len(), complete = record.is_complete;
        "record of origins read"
    );
    peers.set_origin_record(row.version, Some(record));
}

/// Keeps the record in the store up to date until the task is aborted. `is_first_start`: nothing was
/// served before this instance started. A record that the store refuses is not written again as it is.
pub(crate) async fn persist_origins<S: RowStore>(
    store: S,
    peers: Peers,
    metrics: RelayMetrics,
    is_first_start: bool,
) {
    let mut refused: Option<OriginRecord> = None;
    loop {
        tokio::select! {
            () = peers.wait_origin_record_due() => {}
            () = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)) => {}
        }
        let desired = || {
            let desired = peers.desired_origin_record(is_first_start);
            desired.filter(|(record, _)| Some(record) != refused.as_ref())
        };
        if desired().is_none() {
            continue;
        }
        // All instances see the same change at the same time.
        let turn = peers.rank(ORIGIN_RECORD_KEY.as_bytes()).min(MAX_TURNS);
        tokio::time::sleep(Duration::from_millis(TURN_MS * turn as u64)).await;
        let mut retry_delay = RetryDelay::new(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
        while let Some((record, version)) = desired() {
            match write(&store, &peers, record.clone(), version).await {
                Ok(WriteEnd::Written) => continue,
                Ok(WriteEnd::Conflict) => {}
                Ok(WriteEnd::Refused(detail)) => {
                    metrics.row_refused(ROWS);
                    log::warn!(origins = record.origins.len(); "record of origins refused: {detail}");
                    refused = Some(record);
                    break;
                }
                Err(error) => log::warn!("record of origins not written, retrying: {error}"),
            }
            tokio::time::sleep(retry_delay.next_delay()).await;
        }
    }
}

/// How a write ended that the store has answered.
enum WriteEnd {
    Written,
    /// The row had another version and has been applied.
    Conflict,
    /// Holds what the store stated.
    Refused(String),
}

/// Writes the record, if the row still has the version `before`. Otherwise the current one is applied.
async fn write<S: RowStore>(
    store: &S,
    peers: &Peers,
    record: OriginRecord,
    before: u64,
) -> Result<WriteEnd, PlatformError> {
    let key = RowKey::new(INSTANCES_TABLE, ORIGIN_RECORD_KEY);
    let value = match serde_json::to_vec(&record) {
        Ok(value) => value,
        Err(error) => return Ok(WriteEnd::Refused(format!("it cannot be encoded: {error}"))),
    };
    let changes = Changes {
        expected: vec![(key.clone(), before)],
        puts: vec![(key, value.into())],
        ..Changes::default()
    };
    match store.commit(&changes).await? {
        Committed::At(version) => {
            log::info!(version = version, origins = record.origins.len(); "record of origins written");
            peers.set_origin_record(version, Some(record));
            Ok(WriteEnd::Written)
        }
        Committed::Conflict(rows) => {
            apply_record(peers, rows.first());
            Ok(WriteEnd::Conflict)
        }
        Committed::Refused(detail) => Ok(WriteEnd::Refused(detail)),
    }
}
