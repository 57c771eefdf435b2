//! Crash evidence against parts of prompts as known to this instance.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use foxtailhold::ids::BackendId;
use foxtailhold::part_crashes::{LostRequest, PartCrash};
use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::quarantine::CrashId;
use foxtailhold::recent_parts::OriginHash;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_platform::VersionedRow;
use tokio::sync::watch;

use crate::crashes::{CrashState, CrashTracker};
use crate::fleet::{BackendFate, BackendServer};
use crate::part_rows::{PartRow, StoredPartCrash};
use crate::pending_attempts::TrackedAttempt;

/// Least time between two searches for suspected groups.
const GROUP_REFRESH_MS: u64 = 25;

/// What has changed in the record of a crash, for the other instances.
pub type PartCrashNews = (CrashId, PartCrash);

impl CrashState {
    /// Drops the evidence against requests of what was taken for a crash and was none. Rows of the
    /// store are rewritten.
    fn dismiss_refuted(&mut self, now: WallMs) {
        for crash in self.parts.refuted() {
            for fingerprint in self.registry.dismiss(&crash, now) {
                log::info!(
                    fingerprint:% = fingerprint, cause = "refuted",
                    backend = crash.backend.as_str();
                    "crash evidence removed"
                );
                self.evidence_removed(fingerprint);
            }
        }
    }

    /// Marks the rows that differ from the evidence. Only crashes of suspected groups are stored.
    fn mark_dirty_parts(&mut self) {
        for crash in self.parts.suspected_crashes() {
            let row = self.part_rows.get(&StoredPartCrash::key(&crash));
            if row.map(|row| &row.stored.record) != self.parts.crash(&crash) {
                self.dirty_parts.insert(crash);
            }
        }
    }

    fn log_new_groups(&mut self) {
        let mut groups = BTreeSet::new();
        for service in self.parts.services() {
            for group in self.parts.groups(&service) {
                let key = (service.clone(), group.parts.clone(), group.probes);
                if !self.logged_groups.contains(&key) {
                    log::warn!(
                        parts:% = SharedParts::from(group.parts.as_slice()),
                        service = service.as_str(), crashes = group.crashes.len(),
                        probes = group.probes,
                        refused_until_unix_ms = group.refused_until_unix_ms;
                        "parts of prompts are suspected of crashing backend servers"
                    );
                }
                groups.insert(key);
            }
        }
        self.logged_groups = groups;
    }

    /// Lets the suspected groups follow the evidence, at most once in [`GROUP_REFRESH_MS`].
    pub(crate) fn refresh_groups(&mut self) {
        let interval = Duration::from_millis(GROUP_REFRESH_MS);
        if self.refreshed.is_some_and(|at| at.elapsed() < interval) {
            return;
        }
        self.refreshed = Some(Instant::now());
        self.needs_review |= self.parts.refresh();
    }
}

impl CrashTracker {
    /// Records a crash under a request. Returns what has changed.
    pub fn record_part_crash(
        &self,
        attempt: &TrackedAttempt,
        now: WallMs,
    ) -> Option<PartCrashNews> {
        let lost = LostRequest {
            request: attempt.keys.fingerprints.path,
            parts: attempt.keys.parts.clone(),
            begun_unix_ms: attempt.begun_at.0,
            is_probe: attempt.is_probe,
        };
        let at = attempt.quiet_since.unwrap_or(now);
        let mut news = PartCrash::new(attempt.backend.origin(), at, Some(lost));
        let id = attempt.backend.crash_id();
        news.proven = self.proven_parts(&id, &news);
        if !self.merge_part_crash(&id, &news) {
            return None;
        }
        if attempt.is_probe {
            log::warn!(
                fingerprint:% = attempt.keys.fingerprints.path, parts:% = attempt.keys.parts,
                backend = id.backend.as_str(), begun_unix_ms = attempt.begun_at.0;
                "backend server crashed under a probe"
            );
        }
        Some((id, news))
    }

    /// Parts of lost requests that this instance has seen in complete responses shortly before the
    /// crash, and that are not known as such.
    fn proven_parts(&self, id: &CrashId, news: &PartCrash) -> BTreeSet<PartId> {
        let state = self.state.lock();
        self.recent_parts.proven_parts(news, state.parts.crash(id))
    }

    /// What this instance can add to the news of another one. Returns what has changed.
    pub fn add_proven_parts(&self, id: &CrashId, news: &PartCrash) -> Option<PartCrashNews> {
        let proven = self.proven_parts(id, news);
        if proven.is_empty() {
            return None;
        }
        let added = PartCrash::with_proven_parts(news.at_unix_ms, proven);
        self.merge_part_crash(id, &added)
            .then_some((id.clone(), added))
    }

    /// Records a complete response, also while there is no evidence.
    pub fn record_parts(&self, attempt: &TrackedAttempt, now: WallMs) {
        let parts = attempt.keys.parts.as_slice();
        if parts.is_empty() {
            return;
        }
        let origin = OriginHash::from(&attempt.backend.origin());
        self.recent_parts.record(parts, origin, now);
    }

    /// Merges what is known of a crash. Returns whether it said anything new.
    pub fn merge_part_crash(&self, id: &CrashId, news: &PartCrash) -> bool {
        let is_new = {
            let mut state = self.state.lock();
            let is_new = state.parts.join(id, news);
            if is_new && !news.lost.is_empty() {
                state.life_signs.forget(id);
                state.group_probes.record_crash(news.at_unix_ms);
            }
            is_new
        };
        if is_new && !news.acquitted.is_empty() {
            self.acquittals.send_replace(());
        }
        is_new
    }

    /// Sees the acquittals from now on.
    pub fn acquittals(&self) -> watch::Receiver<()> {
        self.acquittals.subscribe()
    }

    /// Waits until a part is acquitted and the suspected groups have followed, at most for `limit`.
    /// `acquittals` dates from before the groups were looked at.
    pub async fn wait_acquittal(&self, mut acquittals: watch::Receiver<()>, limit: Duration) {
        if tokio::time::timeout(limit, acquittals.changed())
            .await
            .is_ok()
        {
            tokio::time::sleep(Duration::from_millis(GROUP_REFRESH_MS)).await;
        }
    }

    /// Applies the suspected groups to the evidence against requests and to the rows, if they may have
    /// changed. It is called from time to time, because each message of a storm may change them.
    pub fn review_parts(&self, now: WallMs) {
        {
            let mut state = self.state.lock();
            state.refresh_groups();
            if !std::mem::take(&mut state.needs_review) {
                return;
            }
            state.log_new_groups();
            state.dismiss_refuted(now);
            state.mark_dirty_parts();
        }
        self.notify_dirty();
    }

    /// Acquits the parts of a request after a complete response. Returns what has changed.
    pub fn acquit_parts(&self, attempt: &TrackedAttempt) -> Vec<PartCrashNews> {
        let (parts, begun) = (&attempt.keys.parts, attempt.begun_at);
        let origin = attempt.backend.origin();
        let news = self.state.lock().parts.completed(parts, &origin, begun);
        if !news.is_empty() {
            self.acquittals.send_replace(());
        }
        news
    }

    /// Records that a backend server responded to a request sent at `begun`. If that was right after
    /// what was taken for its crash, it was none; a later response has to be proved. Returns what has
    /// changed.
    pub fn refute_crash(
        &self,
        backend: &BackendServer,
        begun: WallMs,
        now: MonoMs,
    ) -> Option<PartCrashNews> {
        let id = backend.crash_id();
        let mut state = self.state.lock();
        let crash = state.parts.crash(&id).filter(|crash| !crash.is_refuted)?;
        let since_ms = begun.0.checked_sub(crash.at_unix_ms)?;
        if since_ms > MAX_REFUTATION_MS {
            state.life_signs.record(backend, now);
            return None;
        }
        let news = state.parts.refute(&id)?;
        Some((id, news))
    }

    /// Refutes the crashes of starts that are proved to have lived on. Returns what has changed.
    pub fn refute_proved(
        &self,
        now: MonoMs,
        healthy_since: Option<MonoMs>,
        fate: impl Fn(&BackendId, &CrashId) -> BackendFate,
    ) -> Vec<PartCrashNews> {
        let mut state = self.state.lock();
        let proved = state.life_signs.take_proved(now, healthy_since, fate);
        let mut news = Vec::new();
        for id in proved {
            let refuted = state.parts.refute(&id);
            news.extend(refuted.map(|refuted| (id, refuted)));
        }
        news
    }

    /// Records which services and versions are listed.
    pub fn set_listed(&self, origins: impl IntoIterator<Item = StreamOrigin>, now: WallMs) {
        self.state.lock().parts.set_listed(origins, now);
    }

    /// Applies a row of the store.
    pub fn apply_part_row(&self, row: &VersionedRow) {
        let key = &row.key.key;
        let Some(value) = &row.value else {
            self.state.lock().part_rows.remove(key);
            return;
        };
        let stored = match serde_json::from_slice::<StoredPartCrash>(value) {
            Ok(stored) => stored,
            Err(error) => {
                log::warn!("cannot decode crash evidence in row {key}: {error}");
                return;
            }
        };
        self.merge_part_crash(&stored.crash, &stored.record);
        let version = row.version;
        let row = PartRow { version, stored };
        self.state.lock().part_rows.insert(key.clone(), row);
    }

    /// Takes the crashes whose rows have to be written.
    pub fn take_dirty_parts(&self) -> BTreeSet<CrashId> {
        std::mem::take(&mut self.state.lock().dirty_parts)
    }

    /// What to store of a crash, `None` if nothing is known of it, and the version of its row, 0 if
    /// there is none. `None` if its row is as it should be.
    pub fn desired_part_row(&self, crash: &CrashId) -> Option<(Option<StoredPartCrash>, u64)> {
        let state = self.state.lock();
        let row = state.part_rows.get(&StoredPartCrash::key(crash));
        let record = state.parts.crash(crash).cloned();
        let stored = record.map(|record| {
            let stored = StoredPartCrash {
                crash: crash.clone(),
                record,
            };
            stored.within_row()
        });
        let is_stored = row.map(|row| &row.stored) == stored.as_ref();
        (!is_stored).then(|| (stored, row.map_or(0, |row| row.version)))
    }

    /// Records a row that was written, or deleted if `stored` is `None`.
    pub fn record_part_row(&self, key: &str, version: u64, stored: Option<StoredPartCrash>) {
        let mut state = self.state.lock();
        match stored {
            Some(stored) => {
                let row = PartRow { version, stored };
                state.part_rows.insert(key.to_owned(), row)
            }
            None => state.part_rows.remove(key),
        };
    }

    /// Crashes whose row is still there although the evidence has expired.
    pub fn expired_part_rows(&self) -> Vec<CrashId> {
        let state = self.state.lock();
        let rows = state.part_rows.values().map(|row| &row.stored.crash);
        rows.filter(|crash| state.parts.crash(crash).is_none())
            .cloned()
            .collect()
    }

    /// Marks the rows that are missing or outdated.
    pub fn refresh_part_rows(&self) {
        self.state.lock().mark_dirty_parts();
    }

    /// Up to `limit` records of crashes since `since`, the newest first.
    pub fn part_crashes_since(&self, since: WallMs, limit: usize) -> Vec<PartCrashNews> {
        let state = self.state.lock();
        let newest = state.parts.newest_first().into_iter();
        let newest = newest.filter(|(_, crash)| crash.at_unix_ms >= since.0);
        newest
            .take(limit)
            .map(|(id, crash)| (id.clone(), crash.clone()))
            .collect()
    }
}

/// A response to a request that was sent within this time after a crash is one of the same start: a
/// backend server needs longer to start again. What a later one shows is decided by [`LifeSigns`].
///
/// [`LifeSigns`]: crate::life_signs::LifeSigns
const MAX_REFUTATION_MS: u64 = 250;
