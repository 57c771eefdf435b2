//! Origins of streams that are saved in the platform's store, for the loss of all instances.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foxtailhold::origin_log::{LogChanges, OriginLog, OriginRow, commit_interval_ms};
use foxtailhold::stream_origins::{AttemptHash, AttemptOrigin, StreamOrigin};
use foxtailhold_http::lock::Mutex;
use tokio::sync::{Notify, watch};

use super::Peers;

/// Longest time for which a stream that is taken up waits for the saved origins.
const LOAD_TIMEOUT_MS: u64 = 500;

/// Origins that this instance saves, and the loads of those that all have saved.
#[derive(Debug, Default)]
pub(super) struct SavedOrigins {
    log: Mutex<OriginLog>,
    /// Origins have been added to the log. One task waits for it.
    log_due: Notify,
    /// The saved origins are to be loaded. One task waits for it.
    load_due: Notify,
    /// Number of loads that have succeeded.
    loads: watch::Sender<u64>,
    has_loader: AtomicBool,
}

impl Peers {
    pub(super) fn save_origins(&self, origins: &[AttemptOrigin]) {
        let saved = &self.inner.saved_origins;
        {
            let (mut log, now) = (saved.log.lock(), self.now());
            for origin in origins {
                log.push(now, origin.clone());
            }
        }
        saved.log_due.notify_one();
    }

    /// Waits until origins have been added to the log.
    pub(crate) async fn wait_origin_log_due(&self) {
        self.inner.saved_origins.log_due.notified().await;
    }

    /// Interval between two transactions of the log.
    pub(crate) fn origin_log_interval(&self) -> Duration {
        let instances = self.members().count();
        Duration::from_millis(commit_interval_ms(instances))
    }

    /// The next transaction of the log.
    pub(crate) fn origin_log_changes(&self) -> LogChanges {
        self.inner.saved_origins.log.lock().changes(self.now())
    }

    /// Records that a transaction of the log took effect.
    pub(crate) fn origin_log_committed(&self, changes: &LogChanges) {
        self.inner.saved_origins.log.lock().committed(changes);
    }

    /// Waits until a stream is taken up whose origin may be among the saved ones.
    pub(crate) async fn wait_origin_load_due(&self) {
        let saved = &self.inner.saved_origins;
        saved.has_loader.store(true, Ordering::Relaxed);
        saved.load_due.notified().await;
    }

    /// Remembers saved origins as read from the store.
    pub(crate) fn record_saved_origins(&self, rows: &[OriginRow]) {
        let now = self.now();
        {
            let mut state = self.inner.origins.lock();
            for (attempt, origin) in rows.iter().flat_map(OriginRow::origins) {
                state.origins.record_shared(now, attempt, origin);
            }
        }
        let loads = &self.inner.saved_origins.loads;
        loads.send_modify(|loads| *loads += 1);
    }

    /// Records that the saved origins could not be read.
    pub(crate) fn saved_origins_not_read(&self) {
        self.inner.saved_origins.loads.send_modify(|_| {});
    }

    /// Finds the origin of a stream among the saved ones. That the store was away before does not
    /// count: this instance may have stood still since.
    pub(super) async fn find_saved_origin(&self, attempt: AttemptHash) -> Option<StreamOrigin> {
        let saved = &self.inner.saved_origins;
        if !saved.has_loader.load(Ordering::Relaxed) {
            return None;
        }
        let mut loads = saved.loads.subscribe();
        saved.load_due.notify_one();
        let limit = Duration::from_millis(LOAD_TIMEOUT_MS);
        let loaded = tokio::time::timeout(limit, loads.changed()).await;
        loaded.ok()?.ok()?;
        let state = self.inner.origins.lock();
        state.origins.find(self.now(), attempt).cloned()
    }
}
