//! What this instance knows against requests that crash backend servers: what it saw, what others
//! told, and what the platform's store keeps.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use foxtailhold::crashes::{CrashEvidence, CrashRegistry, CrashStatus, MAX_CRASHES};
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_platform::VersionedRow;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Prefix of the keys of evidence.
pub const CRASH_PREFIX: &str = "crash/";
/// Evidence is persisted from so many crashes on: one is what each neighbour of a crash has,
/// and all that the loss of all instances can make forgotten.
const PERSISTED_CRASHES: usize = 2;
/// A request on probation may run again after this time where its run came to nothing, longer than runs
/// usually last.
const PROBATION_RUN_MS: u64 = 5_000;

#[derive(Debug, Default)]
struct Known {
    book: CrashRegistry,
    /// Versions of the rows.
    rows: HashMap<Fingerprint, u64>,
    /// When requests on probation were admitted here.
    probation_runs: HashMap<Fingerprint, MonoMs>,
    /// Rows that differ from what this instance saw itself.
    dirty: BTreeSet<Fingerprint>,
}

/// Evidence of all instances, cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    known: Arc<Mutex<Known>>,
    changed: Arc<Notify>,
}

impl Crashes {
    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.known.lock().book.is_empty()
    }

    /// How a request stands.
    pub fn standing(&self, fingerprint: Fingerprint, now: WallMs) -> CrashStatus {
        self.known.lock().book.status(fingerprint, now)
    }

    /// Whether a request on probation may run now: one at a time.
    pub fn admit_on_probation(&self, fingerprint: Fingerprint, now: MonoMs) -> bool {
        let mut known = self.known.lock();
        let before = known.probation_runs.get(&fingerprint);
        if before.is_some_and(|at| now.since_ms(*at) < PROBATION_RUN_MS) {
            return false;
        }
        known.probation_runs.insert(fingerprint, now);
        true
    }

    /// How many backend servers a request has crashed.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.known.lock().book.crashes(fingerprint)
    }

    /// Notes a crash that this instance saw; returns what others should hear.
    pub fn crashed(
        &self,
        fingerprint: Fingerprint,
        crash: CrashId,
        now: WallMs,
    ) -> Option<CrashEvidence> {
        let mut known = self.known.lock();
        let backend = crash.backend.clone();
        let evidence = known.book.crashed(fingerprint, crash, now)?.clone();
        let crashes = evidence.crashes.len();
        log::warn!(
            fingerprint:% = fingerprint, backend = backend.as_str(), crashes = crashes,
            refused = crashes >= MAX_CRASHES;
            "a backend server was lost under a request"
        );
        if crashes >= PERSISTED_CRASHES {
            known.dirty.insert(fingerprint);
            self.changed.notify_one();
        }
        Some(evidence)
    }

    /// Merges what another instance knows.
    pub fn merge(&self, fingerprint: Fingerprint, evidence: &CrashEvidence) {
        self.known.lock().book.join(fingerprint, evidence);
    }

    /// Notes that a request was seen to run; returns whether others should hear of it. One crash is held
    /// against every neighbour of one, does no harm and expires.
    pub fn clear(&self, fingerprint: Fingerprint) -> bool {
        let mut known = self.known.lock();
        let crashes = known.book.crashes(fingerprint);
        known.book.clear(fingerprint);
        known.probation_runs.remove(&fingerprint);
        if known.rows.contains_key(&fingerprint) {
            known.dirty.insert(fingerprint);
            self.changed.notify_one();
        }
        crashes >= PERSISTED_CRASHES
    }

    /// Takes a row; `key` is without its prefix.
    pub fn take_row(&self, key: &str, row: &VersionedRow) {
        let fingerprint: Fingerprint = match key.parse() {
            Ok(fingerprint) => fingerprint,
            Err(error) => {
                log::warn!("row {CRASH_PREFIX}{key} has no fingerprint: {error}");
                return;
            }
        };
        let mut known = self.known.lock();
        if known
            .rows
            .get(&fingerprint)
            .is_some_and(|version| *version >= row.version)
        {
            return;
        }
        let Some(value) = &row.value else {
            known.rows.remove(&fingerprint);
            known.book.clear(fingerprint);
            return;
        };
        known.rows.insert(fingerprint, row.version);
        match serde_json::from_slice::<CrashEvidence>(value) {
            Ok(evidence) => {
                known.book.join(fingerprint, &evidence);
            }
            Err(error) => log::warn!("evidence {fingerprint} cannot be read: {error}"),
        }
    }

    /// Waits until a row has to be written or deleted.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the rows that have to be written or deleted.
    pub fn take_dirty(&self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut self.known.lock().dirty)
    }

    /// A row as it should be, `None` where it should be deleted, and the version that it has, 0 where
    /// there is none.
    pub fn row(&self, fingerprint: Fingerprint) -> (Option<CrashEvidence>, u64) {
        let known = self.known.lock();
        let version = known.rows.get(&fingerprint).copied().unwrap_or(0);
        (known.book.evidence(fingerprint).cloned(), version)
    }

    /// Notes the version of a row that was written; `None`: it was deleted.
    pub fn persisted(&self, fingerprint: Fingerprint, version: Option<u64>) {
        let mut known = self.known.lock();
        match version {
            Some(version) => known.rows.insert(fingerprint, version),
            None => known.rows.remove(&fingerprint),
        };
    }

    /// Forgets what has expired; returns the fingerprints of rows without evidence.
    pub fn expire(&self, now: WallMs) -> Vec<Fingerprint> {
        let mut known = self.known.lock();
        for fingerprint in known.book.expire(now) {
            known.probation_runs.remove(&fingerprint);
        }
        let is_over = |fingerprint: &&Fingerprint| known.book.evidence(**fingerprint).is_none();
        known.rows.keys().filter(is_over).copied().collect()
    }
}
