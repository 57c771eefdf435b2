//! Crash evidence against requests as known to this instance: its own observations, reports of
//! other instances, and rows of the platform's store.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use foxtailhold::crashes::{CrashEvidence, CrashRegistry, CrashStatus, MAX_CRASHES};
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_platform::VersionedRow;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Key prefix of the rows with crash evidence.
pub const CRASH_PREFIX: &str = "crash/";
/// Evidence is persisted from this number of crashes on. One crash is recorded against every
/// request that was running at the same backend server, and is all that is lost if all instances
/// stop at once.
const MIN_PERSISTED_CRASHES: usize = 2;
/// Trials that an instance runs at once. A trial is an attempt at a batch item under which
/// [`MAX_CRASHES`] or more backend servers crashed, until it has shown that it runs.
const MAX_TRIALS: usize = 1;
/// Least time from a crash under such an item, at any instance, to the next trial at this one. Up to
/// as long again is added at random, so that the instances do not begin together.
const TRIAL_GAP_MS: u64 = 1_000;
/// Time after which the next probe of a request is admitted if the previous one gave no result. It
/// is longer than attempts usually take.
const PROBE_INTERVAL_MS: u64 = 5_000;

#[derive(Debug, Default)]
struct CrashState {
    registry: CrashRegistry,
    /// Version of each known row.
    row_versions: HashMap<Fingerprint, u64>,
    /// When this instance last admitted a probe, by request.
    last_probes: HashMap<Fingerprint, MonoMs>,
    /// Requests whose row differs from the evidence of this instance.
    dirty: BTreeSet<Fingerprint>,
    /// Trials that are running here.
    trials: usize,
    /// No trial begins before this time.
    next_trial: Option<MonoMs>,
}

impl CrashState {
    /// Delays the next trial if another backend server has crashed under a suspected request.
    fn delay_trials(&mut self, fingerprint: Fingerprint, now: MonoMs) {
        if self.registry.crashes(fingerprint) >= MAX_CRASHES {
            let delay_ms = TRIAL_GAP_MS + rand::random_range(0..TRIAL_GAP_MS);
            self.next_trial = Some(now + delay_ms);
        }
    }
}

/// Permit for a trial of a batch item; dropping it ends the trial.
#[derive(Debug)]
pub struct TrialPermit {
    tracker: CrashTracker,
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        self.tracker.state.lock().trials -= 1;
    }
}

/// Crash evidence of all instances; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    state: Arc<Mutex<CrashState>>,
    dirty_added: Arc<Notify>,
}

impl CrashTracker {
    /// Whether there is no evidence against any request.
    pub fn is_empty(&self) -> bool {
        self.state.lock().registry.is_empty()
    }

    /// Whether a request may run, may run only as a probe, or is refused.
    pub fn status(&self, fingerprint: Fingerprint, now: WallMs) -> CrashStatus {
        self.state.lock().registry.status(fingerprint, now)
    }

    /// Admits a probe of a request whose refusal is over. At most one is admitted at a time.
    pub fn admit_probe(&self, fingerprint: Fingerprint, now: MonoMs) -> bool {
        let mut state = self.state.lock();
        let last_admitted = state.last_probes.get(&fingerprint);
        if last_admitted.is_some_and(|at| now.since_ms(*at) < PROBE_INTERVAL_MS) {
            return false;
        }
        state.last_probes.insert(fingerprint, now);
        true
    }

    /// Number of backend servers that crashed under a request.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.state.lock().registry.crashes(fingerprint)
    }

    /// Admits a trial of a batch item; `None` while others are running or a backend server has just
    /// crashed under one. This bounds what items that crash backend servers cost the fleet.
    pub fn admit_trial(&self, now: MonoMs) -> Option<TrialPermit> {
        let mut state = self.state.lock();
        let is_early = state.next_trial.is_some_and(|next| now < next);
        if is_early || state.trials >= MAX_TRIALS {
            return None;
        }
        state.trials += 1;
        Some(TrialPermit {
            tracker: self.clone(),
        })
    }

    /// Records a crash seen by this instance at the time `now` of both clocks. Returns the evidence
    /// to send to other instances, or `None` if the crash was known.
    pub fn record_crash(
        &self,
        fingerprint: Fingerprint,
        crash: CrashId,
        now: (MonoMs, WallMs),
    ) -> Option<CrashEvidence> {
        let mut state = self.state.lock();
        let backend = crash.backend.clone();
        let evidence = state.registry.crashed(fingerprint, crash, now.1)?.clone();
        state.delay_trials(fingerprint, now.0);
        let crashes = evidence.crashes.len();
        log::warn!(
            fingerprint:% = fingerprint, backend = backend.as_str(), crashes = crashes,
            refused = crashes >= MAX_CRASHES;
            "backend server crashed under a request"
        );
        if crashes >= MIN_PERSISTED_CRASHES {
            state.dirty.insert(fingerprint);
            self.dirty_added.notify_one();
        }
        Some(evidence)
    }

    /// Up to `limit` entries of evidence, the newest first.
    pub fn newest_evidence(&self, limit: usize) -> Vec<(Fingerprint, CrashEvidence)> {
        let state = self.state.lock();
        let newest = state.registry.newest_first().into_iter().take(limit);
        newest
            .map(|(fingerprint, evidence)| (fingerprint, evidence.clone()))
            .collect()
    }

    /// Merges the evidence of another instance.
    pub fn merge(&self, fingerprint: Fingerprint, evidence: &CrashEvidence, now: MonoMs) {
        let mut state = self.state.lock();
        if state.registry.join(fingerprint, evidence) {
            state.delay_trials(fingerprint, now);
        }
    }

    /// Clears a request that was seen to run. Returns whether other instances need to know. A
    /// single crash need not be announced: it is held against every request at the same backend
    /// server, restricts none of them and expires.
    pub fn clear(&self, fingerprint: Fingerprint) -> bool {
        let mut state = self.state.lock();
        let crashes = state.registry.crashes(fingerprint);
        state.registry.clear(fingerprint);
        state.last_probes.remove(&fingerprint);
        if state.row_versions.contains_key(&fingerprint) {
            state.dirty.insert(fingerprint);
            self.dirty_added.notify_one();
        }
        crashes >= MIN_PERSISTED_CRASHES
    }

    /// Applies a row of the store; `key` has no prefix.
    pub fn apply_row(&self, key: &str, row: &VersionedRow) {
        let fingerprint: Fingerprint = match key.parse() {
            Ok(fingerprint) => fingerprint,
            Err(error) => {
                log::warn!("ignoring row {CRASH_PREFIX}{key}, its key has no fingerprint: {error}");
                return;
            }
        };
        let mut state = self.state.lock();
        if state
            .row_versions
            .get(&fingerprint)
            .is_some_and(|version| *version >= row.version)
        {
            return;
        }
        let Some(value) = &row.value else {
            state.row_versions.remove(&fingerprint);
            state.registry.clear(fingerprint);
            return;
        };
        state.row_versions.insert(fingerprint, row.version);
        match serde_json::from_slice::<CrashEvidence>(value) {
            Ok(evidence) => {
                state.registry.join(fingerprint, &evidence);
            }
            Err(error) => log::warn!("cannot decode crash evidence of {fingerprint}: {error}"),
        }
    }

    /// Waits until a row has to be written or deleted.
    pub async fn wait_dirty(&self) {
        self.dirty_added.notified().await;
    }

    /// Takes the fingerprints whose rows have to be written or deleted.
    pub fn take_dirty(&self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut self.state.lock().dirty)
    }

    /// Returns the evidence to store, `None` if the row has to be deleted, and the version of the
    /// stored row, 0 if there is none.
    pub fn desired_row(&self, fingerprint: Fingerprint) -> (Option<CrashEvidence>, u64) {
        let state = self.state.lock();
        let version = state.row_versions.get(&fingerprint).copied().unwrap_or(0);
        (state.registry.evidence(fingerprint).cloned(), version)
    }

    /// Records the version of a row that was written; `None` if it was deleted.
    pub fn record_persisted(&self, fingerprint: Fingerprint, version: Option<u64>) {
        let mut state = self.state.lock();
        match version {
            Some(version) => state.row_versions.insert(fingerprint, version),
            None => state.row_versions.remove(&fingerprint),
        };
    }

    /// Drops expired evidence. Returns the fingerprints of rows that no longer have any.
    pub fn expire(&self, now: WallMs) -> Vec<Fingerprint> {
        let mut state = self.state.lock();
        for fingerprint in state.registry.expire(now) {
            state.last_probes.remove(&fingerprint);
        }
        let is_empty_row =
            |fingerprint: &&Fingerprint| state.registry.evidence(**fingerprint).is_none();
        state
            .row_versions
            .keys()
            .filter(is_empty_row)
            .copied()
            .collect()
    }
}
