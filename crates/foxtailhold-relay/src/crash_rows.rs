//! Persists evidence against requests in the platform's store, so that it outlives all instances.

use std::time::Duration;

use foxtailhold::quarantine::Fingerprint;
use foxtailhold_platform::{Changes, Committed, PlatformError, RowKey, RowStore};

use crate::crashes::{CRASH_PREFIX, Crashes};
use crate::peers::{INSTANCES_TABLE, Peers};

/// Pause between two looks at evidence that has expired.
const LOOK_MS: u64 = 10_000;
/// Pause before a failed write is tried again.
const PAUSE_MS: u64 = 250;

/// Writes, deletes and sweeps rows until aborted.
pub async fn persist_crashes<S: RowStore>(store: S, peers: Peers) {
    let crashes = peers.crashes();
    loop {
        tokio::select! {
            () = crashes.changed() => {}
            () = tokio::time::sleep(Duration::from_millis(LOOK_MS)) => sweep(&store, &peers).await,
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

/// Deletes rows of expired evidence; one instance does so.
async fn sweep<S: RowStore>(store: &S, peers: &Peers) {
    let over = peers.crashes().expire(peers.wall());
    if peers.members().allocator(peers.now()).is_some() {
        return;
    }
    for fingerprint in over {
        persist(store, peers.crashes(), fingerprint).await;
    }
}

async fn persist<S: RowStore>(store: &S, crashes: &Crashes, fingerprint: Fingerprint) {
    loop {
        match write(store, crashes, fingerprint).await {
            Ok(true) => return,
            Ok(false) => {}
            // A write without an answer may take effect later; then the next one finds its version.
            Err(error) => {
                log::warn!(fingerprint:% = fingerprint; "evidence not persisted: {error}");
                tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            }
        }
    }
}

/// Writes or deletes a row; `false`: another instance came first, whose evidence is joined now.
async fn write<S: RowStore>(
    store: &S,
    crashes: &Crashes,
    fingerprint: Fingerprint,
) -> Result<bool, PlatformError> {
    let key = RowKey::new(INSTANCES_TABLE, &format!("{CRASH_PREFIX}{fingerprint}"));
    let (evidence, version) = crashes.row(fingerprint);
    let mut changes = Changes {
        expected: vec![(key.clone(), version)],
        ..Changes::default()
    };
    let has_evidence = evidence.is_some();
    match evidence {
        None if version == 0 => return Ok(true),
        None => changes.deletes.push(key),
        Some(evidence) => match serde_json::to_vec(&evidence) {
            Ok(value) => changes.puts.push((key, value.into())),
            Err(error) => {
                log::error!(fingerprint:% = fingerprint; "evidence cannot be written: {error}");
                return Ok(true);
            }
        },
    }
    match store.commit(&changes).await? {
        Committed::At(version) => {
            crashes.persisted(fingerprint, has_evidence.then_some(version));
            Ok(true)
        }
        Committed::Conflict(rows) => {
            if rows.is_empty() {
                crashes.persisted(fingerprint, None);
            }
            for row in &rows {
                if let Some(key) = row.key.key.strip_prefix(CRASH_PREFIX) {
                    crashes.take_row(key, row);
                }
            }
            Ok(false)
        }
    }
}
