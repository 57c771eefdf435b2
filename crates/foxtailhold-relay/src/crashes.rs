//! Crash evidence against requests as known to this instance: its own observations, reports of
//! other instances, and rows of the platform's store.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use foxtailhold::crashes::{
    CrashEvidence, CrashRegistry, CrashStatus, EvidenceMark, Exoneration, MAX_CRASHES,
};
use foxtailhold::ids::TargetName;
use foxtailhold::part_crashes::{PartCrashRegistry, SuspectedGroup};
use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::quarantine::{CrashId, Fingerprint, RequestFingerprints};
use foxtailhold::recent_parts::RecentParts;
use foxtailhold::recent_table::RecentTable;
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold::trials::TrialQueue;
use foxtailhold_http::lock::Mutex;
use foxtailhold_platform::{Snapshot, VersionedRow};
use tokio::sync::{Notify, watch};

use crate::group_probes::{GroupProbes, is_recent};
use crate::life_signs::LifeSigns;
use crate::part_rows::PartRow;

/// Key prefix of the rows with crash evidence.
pub const CRASH_PREFIX: &str = "crash/";
/// Evidence is persisted from this number of crashes on. One crash is recorded against every
/// request that was running at the same backend server, and is all that is lost if all instances
/// stop at once.
const MIN_PERSISTED_CRASHES: usize = 2;
/// Least time from a crash under such an item, at any instance, to the next trial at this one. Up to
/// as long again is added at random, so that the instances do not begin together.
const TRIAL_GAP_MS: u64 = 1_000;
/// Time after which the next instance in order may probe, if no caller asks those before it.
pub const PROBE_TURN_MS: u64 = 2_000;
/// A row of the store as last read or written.
#[derive(Debug, Clone, Default)]
struct KnownRow {
    version: u64,
    crashes: BTreeSet<CrashId>,
}

#[derive(Debug)]
pub(crate) struct CrashState {
    pub(crate) registry: CrashRegistry,
    pub(crate) parts: PartCrashRegistry,
    /// When the suspected groups last followed the evidence.
    pub(crate) refreshed: Option<Instant>,
    /// Whether the groups have changed since they were applied to the other evidence.
    pub(crate) needs_review: bool,
    /// Suspected groups that are in the log, with the number of probes that crashed.
    pub(crate) logged_groups: BTreeSet<(TargetName, Vec<PartId>, usize)>,
    /// Probes of suspected groups.
    pub(crate) group_probes: GroupProbes,
    /// Known rows.
    rows: HashMap<Fingerprint, KnownRow>,
    /// When this instance last admitted a probe, by request.
    last_probes: HashMap<Fingerprint, MonoMs>,
    /// Requests whose row differs from the evidence of this instance.
    dirty: BTreeSet<Fingerprint>,
    /// Known rows of crashes with shared parts, by key.
    pub(crate) part_rows: HashMap<String, PartRow>,
    /// Crashes whose row differs from the evidence of this instance.
    pub(crate) dirty_parts: BTreeSet<CrashId>,
    /// Responses of starts that were taken for crashed.
    pub(crate) life_signs: LifeSigns,
    /// Trials of batch items under which [`MAX_CRASHES`] or more backend servers crashed.
    pub(crate) trials: TrialQueue,
}

impl Default for CrashState {
    fn default() -> Self {
        CrashState {
            registry: CrashRegistry::default(),
            parts: PartCrashRegistry::with_refresh(),
            refreshed: None,
            needs_review: false,
            logged_groups: BTreeSet::new(),
            group_probes: GroupProbes::default(),
            rows: HashMap::new(),
            last_probes: HashMap::new(),
            dirty: BTreeSet::new(),
            part_rows: HashMap::new(),
            dirty_parts: BTreeSet::new(),
            life_signs: LifeSigns::default(),
            trials: TrialQueue::default(),
        }
    }
}

impl CrashState {
    /// Delays the next trial if another backend server has crashed under a suspected request.
    fn delay_trials(&mut self, fingerprint: Fingerprint, now: MonoMs) {
        if self.registry.crashes(fingerprint) >= MAX_CRASHES {
            let delay_ms = TRIAL_GAP_MS + rand::random_range(0..TRIAL_GAP_MS);
            self.trials.record_crash(delay_ms, now);
        }
    }

    /// Forgets the probes of groups that are no longer suspected.
    fn expire_group_probes(&mut self) {
        if self.parts.is_empty() {
            self.group_probes.clear();
        }
    }

    /// Applies the deletion of a row. Crashes that were never in it are newer.
    fn remove_row(&mut self, fingerprint: Fingerprint) {
        if let Some(known) = self.rows.remove(&fingerprint) {
            self.registry.remove(fingerprint, &known.crashes);
        }
    }

    /// Applies that the evidence against a request was removed.
    pub(crate) fn evidence_removed(&mut self, fingerprint: Fingerprint) {
        self.last_probes.remove(&fingerprint);
        if self.rows.contains_key(&fingerprint) {
            self.dirty.insert(fingerprint);
        }
    }
}

fn log_removal(fingerprint: Fingerprint, cause: &str, removed: &Exoneration) {
    let crashes = removed.before.len() + removed.during.len();
    log::info!(
        fingerprint:% = fingerprint, cause = cause, crashes = crashes; "crash evidence removed"
    );
}

/// Crash evidence of all instances; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    pub(crate) state: Arc<Mutex<CrashState>>,
    pub(crate) recent_parts: Arc<RecentParts>,
    /// Requests that were seen in complete responses lately, by fingerprint.
    recent_requests: Arc<RecentTable>,
    dirty_added: Arc<Notify>,
    /// Changes whenever a part is acquitted.
    pub(crate) acquittals: Arc<watch::Sender<()>>,
}

impl CrashTracker {
    /// Whether there is no evidence against any request or part.
    pub fn is_empty(&self) -> bool {
        let state = self.state.lock();
        state.registry.is_empty() && state.parts.is_empty()
    }

    /// Number of requests with evidence, and of those that are refused.
    pub fn suspected_requests(&self, now: WallMs) -> (usize, usize) {
        let state = self.state.lock();
        let all = state.registry.newest_first();
        let is_refused = |(fingerprint, _): &&(Fingerprint, &CrashEvidence)| {
            let status = state.registry.status(*fingerprint, now);
            matches!(status, CrashStatus::Refused { .. })
        };
        (all.len(), all.iter().filter(is_refused).count())
    }

    /// Position in the evidence, for the start of an attempt.
    pub fn mark(&self) -> EvidenceMark {
        self.state.lock().registry.mark()
    }

    /// Whether a request may run, may run only as a probe, or is refused, by its fingerprints alone.
    pub fn request_status(&self, request: RequestFingerprints, now: WallMs) -> CrashStatus {
        let state = self.state.lock();
        let of = |fingerprint| state.registry.status(fingerprint, now);
        of(request.path).and(of(request.target))
    }

    /// Whether a request with these parts may run at `service`, by its parts alone, and the suspected
    /// group that decides it. The request was never lost in a crash.
    pub fn group_status(
        &self,
        parts: &SharedParts,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<Vec<PartId>>) {
        self.status_by_groups(|registry| registry.status(parts, service, now))
    }

    /// The same for a request that may have been lost in crashes before.
    pub fn group_status_of(
        &self,
        request: Fingerprint,
        parts: &SharedParts,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<Vec<PartId>>) {
        self.status_by_groups(|registry| registry.status_of(request, parts, service, now))
    }

    /// The same for a request that is owed whatever happens.
    pub fn group_status_of_owed(
        &self,
        request: Fingerprint,
        parts: &SharedParts,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<Vec<PartId>>) {
        self.status_by_groups(|registry| registry.status_of_owed(request, parts, service, now))
    }

    /// Whether a request was lost in a crash, as the evidence against parts knows it.
    pub fn has_lost(&self, request: Fingerprint) -> bool {
        self.state.lock().parts.has_lost(request)
    }

    fn status_by_groups(
        &self,
        status: impl FnOnce(&mut PartCrashRegistry) -> (CrashStatus, Option<&SuspectedGroup>),
    ) -> (CrashStatus, Option<Vec<PartId>>) {
        let mut state = self.state.lock();
        state.refresh_groups();
        let (status, group) = status(&mut state.parts);
        (status, group.map(|group| group.parts.clone()))
    }

    /// Admits a probe of a request whose refusal is over. At most one is admitted at a time.
    pub fn admit_probe(&self, request: RequestFingerprints, now: MonoMs) -> bool {
        let mut state = self.state.lock();
        for fingerprint in request.distinct() {
            if is_recent(state.last_probes.get(&fingerprint), now) {
                return false;
            }
        }
        for fingerprint in request.distinct() {
            if state.registry.crashes(fingerprint) >= MAX_CRASHES {
                state.last_probes.insert(fingerprint, now);
            }
        }
        true
    }

    /// Number of backend servers that crashed under a request.
    pub fn crash_count(&self, request: RequestFingerprints) -> usize {
        let state = self.state.lock();
        let counts = request.distinct().map(|key| state.registry.crashes(key));
        counts.max().unwrap_or(0)
    }

    /// Records a crash seen by this instance at the time `now` of both clocks, under an attempt sent
    /// at `begun`. Returns the evidence to send to other instances, or `None` if the crash was known.
    pub fn record_crash(
        &self,
        fingerprint: Fingerprint,
        crash: CrashId,
        begun: WallMs,
        now: (MonoMs, WallMs),
    ) -> Option<CrashEvidence> {
        let mut state = self.state.lock();
        let backend = crash.backend.clone();
        let registry = &mut state.registry;
        let evidence = registry.crashed(fingerprint, crash, begun, now.1)?.clone();
        self.set_proven(registry, fingerprint, now.1);
        state.delay_trials(fingerprint, now.0);
        let crashes = evidence.count();
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

    /// Up to `limit` entries of evidence with a crash after `since`, the newest first.
    pub fn evidence_since(&self, since: WallMs, limit: usize) -> Vec<(Fingerprint, CrashEvidence)> {
        let mut newest = self.newest_evidence(limit);
        newest.retain(|(_, evidence)| evidence.last_unix_ms >= since.0);
        newest
    }

    /// Records a complete response to a request, also while there is no evidence.
    pub fn record_request(&self, request: RequestFingerprints, now: WallMs) {
        for fingerprint in request.distinct() {
            self.recent_requests.record(fingerprint.0 as u64, now);
        }
    }

    fn set_proven(&self, registry: &mut CrashRegistry, fingerprint: Fingerprint, at: WallMs) {
        let recent = &self.recent_requests;
        if recent.was_seen_before(fingerprint.0 as u64, at) {
            registry.set_proven(fingerprint);
        }
    }

    /// Merges the evidence of another instance.
    pub fn merge(&self, fingerprint: Fingerprint, evidence: &CrashEvidence, now: MonoMs) {
        let mut state = self.state.lock();
        if state.registry.join(fingerprint, evidence) {
            let last = WallMs(evidence.last_unix_ms);
            self.set_proven(&mut state.registry, fingerprint, last);
            state.delay_trials(fingerprint, now);
        }
    }

    /// Removes the evidence that a complete response to an attempt speaks against. Returns what
    /// other instances need to know. A single crash need not be announced: it is held against every
    /// request at the same backend server, restricts none of them and expires.
    pub fn completed(&self, fingerprint: Fingerprint, begun: EvidenceMark) -> Option<Exoneration> {
        let mut state = self.state.lock();
        let crashes = state.registry.crashes(fingerprint);
        let exoneration = state.registry.completed(fingerprint, begun);
        if exoneration.is_empty() {
            return None;
        }
        state.last_probes.remove(&fingerprint);
        if state.rows.contains_key(&fingerprint) {
            state.dirty.insert(fingerprint);
            self.dirty_added.notify_one();
        }
        (crashes >= MIN_PERSISTED_CRASHES).then_some(exoneration)
    }

    /// Applies an exoneration by another instance.
    pub fn exonerate(&self, fingerprint: Fingerprint, exoneration: Exoneration) {
        let mut state = self.state.lock();
        let removed = state.registry.exonerate(fingerprint, exoneration);
        if !removed.is_empty() {
            log_removal(fingerprint, "peer", &removed);
            state.last_probes.remove(&fingerprint);
        }
    }

    /// Applies the news of an instance of the previous version, which does not say what it knew: it
    /// removes evidence only from a request that is not refused.
    pub fn exonerate_unknown(&self, fingerprint: Fingerprint) {
        let during = {
            let state = self.state.lock();
            let evidence = state.registry.evidence(fingerprint);
            evidence.map_or_else(BTreeSet::new, |evidence| evidence.crashes.clone())
        };
        let before = BTreeSet::new();
        self.exonerate(fingerprint, Exoneration { before, during });
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
        let known = state.rows.get(&fingerprint);
        if known.is_some_and(|known| known.version >= row.version) {
            return;
        }
        let Some(value) = &row.value else {
            state.remove_row(fingerprint);
            return;
        };
        let evidence = match serde_json::from_slice::<CrashEvidence>(value) {
            Ok(evidence) => evidence,
            Err(error) => {
                log::warn!("cannot decode crash evidence of {fingerprint}: {error}");
                CrashEvidence::default()
            }
        };
        state.registry.join(fingerprint, &evidence);
        let known = KnownRow {
            version: row.version,
            crashes: evidence.crashes,
        };
        state.rows.insert(fingerprint, known);
    }

    /// Applies the deletion of the rows that a complete table does not have.
    pub fn remove_deleted_rows(&self, snapshot: &Snapshot) {
        let rows = snapshot.rows.iter();
        let keys: HashSet<&str> = rows.map(|row| row.key.key.as_str()).collect();
        let mut state = self.state.lock();
        state
            .part_rows
            .retain(|key, row| row.version > snapshot.version || keys.contains(key.as_str()));
        let deleted = state.rows.iter().filter(|(fingerprint, row)| {
            let key = format!("{CRASH_PREFIX}{fingerprint}");
            row.version <= snapshot.version && !keys.contains(key.as_str())
        });
        let deleted: Vec<Fingerprint> = deleted.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in deleted {
            state.remove_row(fingerprint);
        }
    }

    /// Wakes the task that writes the rows.
    pub(crate) fn notify_dirty(&self) {
        self.dirty_added.notify_one();
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
        let version = state.rows.get(&fingerprint).map_or(0, |row| row.version);
        (state.registry.evidence(fingerprint).cloned(), version)
    }

    /// Records the version of a row that was written with `evidence`, or deleted.
    pub fn record_persisted(
        &self,
        fingerprint: Fingerprint,
        version: u64,
        evidence: Option<CrashEvidence>,
    ) {
        let mut state = self.state.lock();
        match evidence.map(|evidence| evidence.crashes) {
            Some(crashes) => state
                .rows
                .insert(fingerprint, KnownRow { version, crashes }),
            None => state.rows.remove(&fingerprint),
        };
    }

    /// Drops expired evidence. Returns the fingerprints of rows that no longer have any.
    pub fn expire(&self, now: WallMs) -> Vec<Fingerprint> {
        let mut state = self.state.lock();
        state.parts.expire(now);
        state.expire_group_probes();
        for fingerprint in state.registry.expire(now) {
            log::info!(fingerprint:% = fingerprint, cause = "expired"; "crash evidence removed");
            state.last_probes.remove(&fingerprint);
        }
        let is_empty_row =
            |fingerprint: &&Fingerprint| state.registry.evidence(**fingerprint).is_none();
        state.rows.keys().filter(is_empty_row).copied().collect()
    }
}
