//! Persists crash evidence in the platform's store so that it survives a stop of all instances.

use std::time::Duration;

use foxtailhold::quarantine::Fingerprint;
use foxtailhold_platform::{Changes, Committed, PlatformError, RowKey, RowStore};

use crate::crashes::{CRASH_PREFIX, CrashTracker};
use crate::peers::{INSTANCES_TABLE, Peers};

/// Interval between checks for expired evidence.
const EXPIRY_CHECK_MS: u64 = 10_000;
/// Delay before a failed write is retried.
const RETRY_DELAY_MS: u64 = 250;

/// Writes and deletes rows of crash evidence until the task is aborted.
pub async fn persist_crashes<S: RowStore>(store: S, peers: Peers) {
    let crashes = peers.crashes();
    loop {
        tokio::select! {
            () = crashes.wait_dirty() => {}
            () = tokio::time::sleep(Duration::from_millis(EXPIRY_CHECK_MS)) => {
                sweep(&store, &peers).await
            }
        }
        loop {
            let dirty = crashes.take_dirty();
            if dirty.is_empty() {
                break;
            }
            for fingerprint in dirty {
                persist(&store, crashes, fingerprint).await;
            }
        }
    }
}

/// Deletes rows of expired evidence. Only the instance that is the allocator does so.
async fn sweep<S: RowStore>(store: &S, peers: &Peers) {
    let expired = peers.crashes().expire(peers.wall());
    if peers.members().allocator(peers.now()).is_some() {
        return;
    }
    for fingerprint in expired {
        persist(store, peers.crashes(), fingerprint).await;
    }
}

async fn persist<S: RowStore>(store: &S, crashes: &CrashTracker, fingerprint: Fingerprint) {
    loop {
        match write(store, crashes, fingerprint).await {
            Ok(true) => return,
            Ok(false) => {}
            // A write without a response may still take effect; the retry then finds its version.
            Err(error) => {
                log::warn!(fingerprint:% = fingerprint; "crash evidence not persisted, retrying: {error}");
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// Writes or deletes one row. `false`: another instance changed the row first and its evidence has
/// been merged.
async fn write<S: RowStore>(
    store: &S,
    crashes: &CrashTracker,
    fingerprint: Fingerprint,
) -> Result<bool, PlatformError> {
    let key = RowKey::new(INSTANCES_TABLE, &format!("{CRASH_PREFIX}{fingerprint}"));
    let (evidence, version) = crashes.desired_row(fingerprint);
    let mut changes = Changes {
        expected: vec![(key.clone(), version)],
        ..Changes::default()
    };
    match &evidence {
        None if version == 0 => return Ok(true),
        None => changes.deletes.push(key),
        Some(evidence) => match serde_json::to_vec(evidence) {
            Ok(value) => changes.puts.push((key, value.into())),
            Err(error) => {
                log::error!(fingerprint:% = fingerprint; "cannot encode crash evidence: {error}");
                return Ok(true);
            }
        },
    }
    match store.commit(&changes).await? {
        Committed::At(version) => {
            crashes.record_persisted(fingerprint, version, evidence);
            Ok(true)
        }
        Committed::Conflict(rows) => {
            if rows.is_empty() {
                crashes.record_persisted(fingerprint, 0, None);
            }
            for row in &rows {
                if let Some(key) = row.key.key.strip_prefix(CRASH_PREFIX) {
                    crashes.apply_row(key, row);
                }
            }
            Ok(false)
        }
    }
}
