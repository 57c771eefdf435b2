//! Keeps the record of the listed origins in the platform's store, for instances that start later.

use std::time::Duration;

use foxtailhold::origin_history::OriginRecord;
use foxtailhold_platform::{Changes, Committed, PlatformError, RowKey, RowStore, VersionedRow};

use crate::peers::{INSTANCES_TABLE, Peers};

/// Key of the row with the record.
pub const ORIGIN_RECORD_KEY: &str = "origins/listed";
/// Interval between checks for origins that were listed too long ago.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Time after which the next instance in order writes the record, if it is not there yet.
const TURN_MS: u64 = 400;
/// Instances that take turns one after the other; all others write at the last turn.
const MAX_TURNS: usize = 4;
/// Delay before a failed write is retried.
const RETRY_DELAY_MS: u64 = 250;

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
/// served before this instance started.
pub(crate) async fn persist_origins<S: RowStore>(store: S, peers: Peers, is_first_start: bool) {
    loop {
        tokio::select! {
            () = peers.wait_origin_record_due() => {}
            () = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)) => {}
        }
        if peers.desired_origin_record(is_first_start).is_none() {
            continue;
        }
        // All instances see the same change at the same time.
        let turn = peers.rank(ORIGIN_RECORD_KEY.as_bytes()).min(MAX_TURNS);
        tokio::time::sleep(Duration::from_millis(TURN_MS * turn as u64)).await;
        while let Some((record, version)) = peers.desired_origin_record(is_first_start) {
            if let Err(error) = write(&store, &peers, record, version).await {
                log::warn!("record of origins not written, retrying: {error}");
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// Writes the record, if the row still has the version `before`. Otherwise the current one is applied.
async fn write<S: RowStore>(
    store: &S,
    peers: &Peers,
    record: OriginRecord,
    before: u64,
) -> Result<(), PlatformError> {
    let key = RowKey::new(INSTANCES_TABLE, ORIGIN_RECORD_KEY);
    let value = match serde_json::to_vec(&record) {
        Ok(value) => value,
        Err(error) => {
            log::error!("cannot encode the record of origins: {error}");
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            return Ok(());
        }
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
        }
        Committed::Conflict(rows) => apply_record(peers, rows.first()),
    }
    Ok(())
}
