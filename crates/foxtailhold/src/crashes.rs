//! Crash evidence against requests, merged over all instances.
//!
//! A backend server crashes at most once per start, so the evidence against a request is a set of
//! starts. The sets of several instances and of the store are merged by union: learning of a crash
//! twice, late or in another order changes nothing, and many copies of a request in flight at one
//! crash count once. How far an attempt had come does not matter: a request may crash its backend
//! server at any point of its run.
//!
//! A request that merely ran beside a crashing one collects evidence too. Only a complete response
//! speaks for a request, and what it removes is named crash by crash, so that news of an old
//! response cannot remove newer crashes:
//!
//! - It removes the crashes that were known when its attempt began.
//! - It also removes crashes that became known during the attempt, as long as there are fewer than
//!   [`MAX_CRASHES`]. A request that is already refused is cleared by a later attempt only.
//!
//! Many backend servers may crash together under an innocent request that runs at all of them. Only
//! the crash of an attempt that was sent well after the limit was reached was met by a probe and
//! makes the next refusal longer. The instance that saw it puts it into the set a second time,
//! marked, so that all instances agree on it. A probe may also meet a crash that another refused
//! request causes: the one with more crashes explains it, and it is not held against the other.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

pub use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::{met_by_probe, without_mark};
pub use crate::crash_status::{CrashStatus, MAX_CRASHES};
pub use crate::item_backoff::{ITEM_RETURN_MS, item_backoff_ms};
use crate::quarantine::{CrashId, Fingerprint, MAX_ENTRIES, PROBATION_MS, SUSPECT_TTL_MS};
use crate::time::WallMs;

/// Probes of a request after that. A refused request may be innocent, since connections also end
/// where a backend server has too many of them. The contract allows one more, which is left for an
/// attempt whose only witness was lost and for instances that do not agree yet on who decides.
pub const MAX_PROBES: usize = 2;
/// Duration of the refusal after [`MAX_CRASHES`] and after the crash of each probe. The first is
/// short, so that an innocent request is soon served again. The second is as short once no backend
/// server crashes any more: it ends [`CALM_MS`] after the last crash under any request, and
/// [`MAX_UNCALM_REFUSAL_MS`] after its own at the latest. After the last probe no caller waits for
/// the end.
pub const REFUSAL_MS: [u64; MAX_PROBES + 1] = [10_000, 10_000, 86_400_000];
/// Time in ms without a crash under any request after which a probe that met one is repeated. The
/// last probes of an innocent request are not spent on crashes of another cause.
pub const CALM_MS: u64 = 3_000;
/// Longest refusal in ms that waits for the end of other crashes.
pub const MAX_UNCALM_REFUSAL_MS: u64 = 60_000;
/// Duration of the first refusal of requests that the same crashes are held against: at most one of
/// them is the cause.
pub const DOUBTFUL_REFUSAL_MS: u64 = 2_000;
/// Durations of the refusals of a request that was seen to run shortly before its crashes. Its
/// probes are more, as one that meets a crash of another cause is likely. Before the last probe it
/// waits for calm like others.
pub const PROVEN_REFUSAL_MS: [u64; 4] = [DOUBTFUL_REFUSAL_MS, 5_000, 10_000, 86_400_000];
/// The probes of such requests are spread over this time, so that they do not run side by side.
pub const PROBE_SPREAD_MS: u64 = 1_000;
/// Attempts that are sent within this time after the limit was reached are no probes: not all
/// instances knew of it.
const BURST_MS: u64 = 2_000;
/// Crashes that two refused requests have in common where at most one of them is the cause.
const MIN_SHARED_CRASHES: usize = MAX_CRASHES - 1;
/// Time for which a removed crash is remembered, longer than evidence is under way.
const REMOVED_TTL_MS: u64 = 600_000;

/// Crashes that a complete response removes from the evidence against its request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exoneration {
    /// Crashes that were known when the attempt began.
    pub before: BTreeSet<CrashId>,
    /// Crashes that became known during the attempt. They are only removed where the request is not
    /// refused yet.
    pub during: BTreeSet<CrashId>,
}

impl Exoneration {
    /// Whether it removes no crash.
    pub fn is_empty(&self) -> bool {
        self.before.is_empty() && self.during.is_empty()
    }
}

/// Position in the order in which one instance learned of crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvidenceMark(u64);

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    evidence: CrashEvidence,
    learned: BTreeMap<CrashId, EvidenceMark>,
    /// Time of the crash with which the limit was reached, in Unix ms; `None` below it.
    limit_unix_ms: Option<u64>,
    /// Whether the same crashes are held against another request.
    is_doubtful: bool,
    /// Whether a complete response was seen here shortly before a crash.
    is_proven: bool,
    /// Probes that met a crash which no other refused request explains.
    unexplained_probes: usize,
}

impl CrashRecord {
    fn count(&self) -> usize {
        self.evidence.count()
    }

    /// Whether an attempt that was sent at `begun` was a probe.
    fn is_probe(&self, begun: WallMs) -> bool {
        let burst_end = self.limit_unix_ms.map(|at| at.saturating_add(BURST_MS));
        burst_end.is_some_and(|end| begun.0 > end)
    }

    /// Adds crashes. Returns whether any is new.
    fn add(&mut self, new: CrashEvidence, mark: EvidenceMark) -> bool {
        if !self.evidence.join(&new) {
            return false;
        }
        for crash in new.crashes {
            self.learned.entry(crash).or_insert(mark);
        }
        if self.count() >= MAX_CRASHES {
            let last_unix_ms = self.evidence.last_unix_ms;
            self.limit_unix_ms.get_or_insert(last_unix_ms);
        }
        true
    }

    fn remove(&mut self, crashes: &BTreeSet<CrashId>) {
        for crash in crashes {
            self.evidence.crashes.remove(crash);
            self.learned.remove(crash);
        }
        if self.count() < MAX_CRASHES {
            self.limit_unix_ms = None;
            self.is_doubtful = false;
        }
    }

    /// Time in Unix ms until which the request is refused, given the last crash under any request;
    /// `None` below [`MAX_CRASHES`] crashes.
    fn refused_until(&self, fingerprint: Fingerprint, last_of_all_unix_ms: u64) -> Option<u64> {
        if self.count() < MAX_CRASHES {
            return None;
        }
        let probes = self.unexplained_probes;
        let schedule_ms: &[u64] = match self.is_proven {
            true => &PROVEN_REFUSAL_MS,
            false => &REFUSAL_MS,
        };
        let max_probes = schedule_ms.len() - 1;
        let refused_ms = match probes {
            0 if self.is_doubtful || self.is_proven => {
                DOUBTFUL_REFUSAL_MS + (fingerprint.0 % u128::from(PROBE_SPREAD_MS)) as u64
            }
            probes => schedule_ms[probes.min(max_probes)],
        };
        let last_unix_ms = self.evidence.last_unix_ms;
        let until = last_unix_ms.saturating_add(refused_ms);
        if probes + 1 != max_probes {
            return Some(until);
        }
        let calm = last_of_all_unix_ms.saturating_add(CALM_MS);
        let latest = last_unix_ms.saturating_add(MAX_UNCALM_REFUSAL_MS);
        Some(until.max(calm.min(latest)))
    }

    fn expires(&self, fingerprint: Fingerprint, last_of_all_unix_ms: u64) -> u64 {
        match self.refused_until(fingerprint, last_of_all_unix_ms) {
            Some(until) => until.saturating_add(PROBATION_MS),
            None => self.evidence.last_unix_ms.saturating_add(SUSPECT_TTL_MS),
        }
    }
}

/// Crashes that were removed from the evidence against a request.
#[derive(Debug, Clone, Default)]
struct RemovedCrashes {
    exoneration: Exoneration,
    last_unix_ms: u64,
}

impl RemovedCrashes {
    fn extend(&mut self, exoneration: &Exoneration, last_unix_ms: u64) {
        let Exoneration { before, during } = &mut self.exoneration;
        before.extend(exoneration.before.iter().cloned());
        during.extend(exoneration.during.iter().cloned());
        self.last_unix_ms = self.last_unix_ms.max(last_unix_ms);
    }

    /// Drops what was removed from evidence of another instance. Where that one refuses the request,
    /// crashes during a complete attempt count again.
    fn filter(&self, evidence: &mut CrashEvidence) {
        let is_refused = evidence.count() >= MAX_CRASHES;
        let Exoneration { before, during } = &self.exoneration;
        let is_removed =
            |crash: &CrashId| before.contains(crash) || !is_refused && during.contains(crash);
        evidence.crashes.retain(|crash| !is_removed(crash));
    }
}

/// The crash evidence known to one instance.
#[derive(Debug, Clone, Default)]
pub struct CrashRegistry {
    records: HashMap<Fingerprint, CrashRecord>,
    /// Removed crashes by request; late evidence must not bring them back.
    removed: HashMap<Fingerprint, RemovedCrashes>,
    /// What was taken for a crash and was none, and when that became known.
    dismissed: HashMap<CrashId, WallMs>,
    last_mark: EvidenceMark,
    /// Time of the last crash under any request, in Unix ms.
    last_crash_unix_ms: u64,
}

impl CrashRegistry {
    /// Whether there is no evidence against any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The position now, for the start of an attempt.
    pub fn mark(&self) -> EvidenceMark {
        self.last_mark
    }

    /// Records a crash that this instance saw under an attempt which it sent at `begun`. Returns the
    /// updated evidence, or `None` if the crash was already known.
    pub fn crashed(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        begun: WallMs,
        now: WallMs,
    ) -> Option<&CrashEvidence> {
        let mut new = CrashEvidence {
            crashes: BTreeSet::from([crash]),
            last_unix_ms: now.0,
        };
        let known = self.records.get(&fingerprint);
        if known.is_some_and(|record| record.is_probe(begun)) {
            let marked: Vec<CrashId> = new.crashes.iter().map(met_by_probe).collect();
            new.crashes.extend(marked);
        }
        if !self.join(fingerprint, &new) {
            return None;
        }
        self.evidence(fingerprint)
    }

    /// Merges evidence of another instance or of the store. Returns whether it added a crash.
    pub fn join(&mut self, fingerprint: Fingerprint, evidence: &CrashEvidence) -> bool {
        let mut new = evidence.clone();
        if let Some(removed) = self.removed.get(&fingerprint) {
            removed.filter(&mut new);
        }
        new.crashes
            .retain(|crash| !self.dismissed.contains_key(&without_mark(crash)));
        if new.crashes.is_empty() {
            return false;
        }
        let record = self.records.entry(fingerprint).or_default();
        let mark = EvidenceMark(self.last_mark.0 + 1);
        let new_unix_ms = new.last_unix_ms;
        if !record.add(new, mark) {
            return false;
        }
        self.last_mark = mark;
        self.last_crash_unix_ms = self.last_crash_unix_ms.max(new_unix_ms);
        if record.count() >= MAX_CRASHES {
            self.find_doubts(fingerprint);
            self.explain_probes();
        }
        if self.records.len() > MAX_ENTRIES {
            self.drop_oldest();
        }
        true
    }

    /// States that a complete response to the request was seen here shortly before its crashes.
    pub fn set_proven(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.is_proven = true;
        }
    }

    /// Marks a request that has reached the limit and the others that most of its crashes are held
    /// against.
    fn find_doubts(&mut self, fingerprint: Fingerprint) {
        let Some(record) = self.records.get(&fingerprint) else {
            return;
        };
        let crashes = record.evidence.crashes.clone();
        let mut is_doubtful = record.is_doubtful;
        for (other, record) in &mut self.records {
            let shared = record.evidence.crashes.intersection(&crashes).count();
            let is_shared = record.count() >= MAX_CRASHES && shared >= MIN_SHARED_CRASHES;
            if *other == fingerprint || !is_shared {
                continue;
            }
            record.is_doubtful = true;
            is_doubtful = true;
        }
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.is_doubtful = is_doubtful;
        }
    }

    /// Counts the probes of each refused request that met a crash which no other one explains. Of two
    /// requests that were lost in a crash, the one with more crashes explains it.
    fn explain_probes(&mut self) {
        let refused = self.records.iter();
        let refused = refused.filter(|(_, record)| record.count() >= MAX_CRASHES);
        let mut likeliest: HashMap<CrashId, (usize, Fingerprint)> = HashMap::new();
        for (fingerprint, record) in refused {
            let rank = (record.count(), *fingerprint);
            for crash in &record.evidence.crashes {
                let held = likeliest.entry(without_mark(crash)).or_insert(rank);
                *held = (*held).max(rank);
            }
        }
        for (fingerprint, record) in &mut self.records {
            let probes = record.evidence.met_by_probes().map(without_mark);
            let is_unexplained = |crash: &CrashId| {
                let likeliest = likeliest.get(crash);
                likeliest.is_none_or(|(_, other)| other == fingerprint)
            };
            record.unexplained_probes = probes.filter(is_unexplained).count();
        }
    }

    fn drop_oldest(&mut self) {
        let last_unix_ms = self.last_crash_unix_ms;
        let by_end = self
            .records
            .iter()
            .min_by_key(|(fingerprint, record)| record.expires(**fingerprint, last_unix_ms));
        if let Some(oldest) = by_end.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&oldest);
        }
    }

    /// Removes the evidence that a complete response speaks against, given the position at the start
    /// of its attempt. Returns what was removed.
    pub fn completed(&mut self, fingerprint: Fingerprint, begun: EvidenceMark) -> Exoneration {
        let Some(record) = self.records.get(&fingerprint) else {
            return Exoneration::default();
        };
        let is_before = |crash: &&CrashId| record.learned.get(*crash) <= Some(&begun);
        let all = record.evidence.crashes.iter();
        let (before, during): (BTreeSet<CrashId>, BTreeSet<CrashId>) =
            all.cloned().partition(|crash| is_before(&crash));
        let exoneration = Exoneration { before, during };
        self.exonerate(fingerprint, exoneration)
    }

    /// Applies the exoneration of a request, also one from another instance. Returns what was
    /// removed.
    pub fn exonerate(
        &mut self,
        fingerprint: Fingerprint,
        mut exoneration: Exoneration,
    ) -> Exoneration {
        let record = self.records.get_mut(&fingerprint);
        if record
            .as_ref()
            .is_some_and(|record| record.count() >= MAX_CRASHES)
        {
            exoneration.during.clear();
        }
        let last_unix_ms = record.as_ref().map_or(0, |r| r.evidence.last_unix_ms);
        if !exoneration.is_empty() {
            let removed = self.removed.entry(fingerprint).or_default();
            removed.extend(&exoneration, last_unix_ms);
        }
        if self.removed.len() > MAX_ENTRIES {
            self.removed.clear();
        }
        let Some(record) = record else {
            return Exoneration::default();
        };
        let held = record.evidence.crashes.clone();
        let was_refused = record.count() >= MAX_CRASHES;
        record.remove(&exoneration.before);
        record.remove(&exoneration.during);
        if record.evidence.crashes.is_empty() {
            self.records.remove(&fingerprint);
        }
        if was_refused {
            self.explain_probes();
        }
        exoneration.before.retain(|crash| held.contains(crash));
        exoneration.during.retain(|crash| held.contains(crash));
        exoneration
    }

    /// Drops what was taken for a crash: the backend server has lived on. Returns the requests whose
    /// evidence has changed.
    pub fn dismiss(&mut self, crash: &CrashId, now: WallMs) -> Vec<Fingerprint> {
        if self.dismissed.insert(crash.clone(), now).is_some() {
            return Vec::new();
        }
        let marked = BTreeSet::from([crash.clone(), met_by_probe(crash)]);
        let concerned = self.records.iter();
        let concerned =
            concerned.filter(|(_, record)| !record.evidence.crashes.is_disjoint(&marked));
        let concerned: Vec<Fingerprint> = concerned.map(|(request, _)| *request).collect();
        for request in &concerned {
            self.remove(*request, &marked);
        }
        if self.dismissed.len() > MAX_ENTRIES {
            self.dismissed.retain(|_, at| *at == now);
        }
        concerned
    }

    /// Removes crashes whose row in the store was deleted.
    pub fn remove(&mut self, fingerprint: Fingerprint, crashes: &BTreeSet<CrashId>) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        let was_refused = record.count() >= MAX_CRASHES;
        record.remove(crashes);
        if record.evidence.crashes.is_empty() {
            self.records.remove(&fingerprint);
        }
        if was_refused {
            self.explain_probes();
        }
    }

    /// All evidence, the newest first.
    pub fn newest_first(&self) -> Vec<(Fingerprint, &CrashEvidence)> {
        let records = self.records.iter();
        let mut all: Vec<_> = records
            .map(|(request, record)| (*request, &record.evidence))
            .collect();
        all.sort_by_key(|(_, evidence)| std::cmp::Reverse(evidence.last_unix_ms));
        all
    }

    /// The evidence against a request.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<&CrashEvidence> {
        self.records
            .get(&fingerprint)
            .map(|record| &record.evidence)
    }

    /// Number of crashes that occurred under a request.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, CrashRecord::count)
    }

    /// The status of a request.
    pub fn status(&self, fingerprint: Fingerprint, now: WallMs) -> CrashStatus {
        let record = self.records.get(&fingerprint);
        let last_unix_ms = self.last_crash_unix_ms;
        match record.and_then(|record| record.refused_until(fingerprint, last_unix_ms)) {
            None => CrashStatus::Allowed,
            Some(until) if until > now.0 => CrashStatus::Refused {
                left_ms: until - now.0,
            },
            Some(until) => CrashStatus::ProbeAllowed {
                for_ms: now.0 - until,
            },
        }
    }

    /// Drops expired evidence and returns the requests concerned.
    pub fn expire(&mut self, now: WallMs) -> Vec<Fingerprint> {
        let last_unix_ms = self.last_crash_unix_ms;
        let is_expired = |(fingerprint, record): &(&Fingerprint, &CrashRecord)| {
            record.expires(**fingerprint, last_unix_ms) <= now.0
        };
        let expired = self.records.iter().filter(is_expired);
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &expired {
            self.records.remove(fingerprint);
        }
        if !expired.is_empty() {
            self.explain_probes();
        }
        self.dismissed
            .retain(|_, at| at.0.saturating_add(REMOVED_TTL_MS) > now.0);
        self.removed
            .retain(|_, removed| removed.last_unix_ms.saturating_add(REMOVED_TTL_MS) > now.0);
        expired
    }
}
