//! Crash evidence against requests, merged over all instances.
//!
//! A backend server crashes at most once per start, so the evidence against a request is a set of
//! starts. The sets of several instances and of the store are merged by union: learning of a crash
//! twice, late or in another order changes nothing, and many copies of a request in flight at one
//! crash count once. A request that merely ran beside a crashing one collects evidence too, until
//! it is seen to run.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::quarantine::{CrashId, Fingerprint, MAX_ENTRIES, PROBATION_MS, SUSPECT_TTL_MS};
use crate::time::WallMs;

/// Crashes after which a request is refused. An innocent request on the same backend servers must
/// be hit three times in a row before it has run, which is rare, and each further crash costs a
/// backend server.
pub const MAX_CRASHES: usize = 3;
/// Probes of a request after that. A refused request may be innocent, since connections also end
/// where a backend server has too many of them. The contract allows one more, which is left for an
/// attempt whose only witness was lost and for instances that do not agree yet on who decides.
pub const MAX_PROBES: usize = 2;
/// Duration of the refusal after [`MAX_CRASHES`] and after the crash of each probe. The first is
/// short, so that an innocent request is soon served again. After the last probe no caller waits
/// for the end.
pub const REFUSAL_MS: [u64; MAX_PROBES + 1] = [10_000, 60_000, 86_400_000];
/// Events after which an attempt has shown that its request does not crash the backend server.
pub const STABLE_AFTER_EVENTS: u64 = 8;

/// Status of a request, given its crash evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashStatus {
    /// The request may run.
    Allowed,
    /// The refusal is over. The request may run once, alone, as a probe that shows whether it is
    /// innocent.
    ProbeAllowed,
    /// The request is refused.
    Refused {
        /// Remaining duration of the refusal in ms.
        left_ms: u64,
    },
}

/// The crashes that occurred under one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Starts of backend servers that ended while the request was in flight there.
    pub crashes: BTreeSet<CrashId>,
    /// Time of the last crash in Unix ms, by the clock of the instance that saw it.
    pub last_unix_ms: u64,
}

impl CrashEvidence {
    /// Merges the evidence of another instance or of the store. Returns whether it added a crash.
    pub fn join(&mut self, other: &CrashEvidence) -> bool {
        let before = self.crashes.len();
        self.crashes.extend(other.crashes.iter().cloned());
        self.last_unix_ms = self.last_unix_ms.max(other.last_unix_ms);
        self.crashes.len() > before
    }

    /// Time in Unix ms until which the request is refused; `None` below [`MAX_CRASHES`] crashes.
    fn refused_until(&self) -> Option<u64> {
        let probes = self.crashes.len().checked_sub(MAX_CRASHES)?;
        let refused_ms = REFUSAL_MS[probes.min(MAX_PROBES)];
        Some(self.last_unix_ms.saturating_add(refused_ms))
    }

    fn expires(&self) -> u64 {
        match self.refused_until() {
            Some(until) => until.saturating_add(PROBATION_MS),
            None => self.last_unix_ms.saturating_add(SUSPECT_TTL_MS),
        }
    }
}

/// The crash evidence known to one instance.
#[derive(Debug, Clone, Default)]
pub struct CrashRegistry {
    records: HashMap<Fingerprint, CrashEvidence>,
}

impl CrashRegistry {
    /// Whether there is no evidence against any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a crash that this instance saw. Returns the updated evidence, or `None` if the crash
    /// was already known.
    pub fn crashed(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        now: WallMs,
    ) -> Option<&CrashEvidence> {
        let new = CrashEvidence {
            crashes: BTreeSet::from([crash]),
            last_unix_ms: now.0,
        };
        if !self.join(fingerprint, &new) {
            return None;
        }
        self.records.get(&fingerprint)
    }

    /// Merges evidence of another instance or of the store. Returns whether it added a crash.
    pub fn join(&mut self, fingerprint: Fingerprint, evidence: &CrashEvidence) -> bool {
        let is_new = self.records.entry(fingerprint).or_default().join(evidence);
        if self.records.len() > MAX_ENTRIES {
            self.drop_oldest();
        }
        is_new
    }

    fn drop_oldest(&mut self) {
        let by_end = self
            .records
            .iter()
            .min_by_key(|(_, evidence)| evidence.expires());
        if let Some(oldest) = by_end.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&oldest);
        }
    }

    /// Drops the evidence against a request that was seen to run. Returns whether there was any.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&fingerprint).is_some()
    }

    /// All evidence, the newest first.
    pub fn newest_first(&self) -> Vec<(Fingerprint, &CrashEvidence)> {
        let records = self.records.iter();
        let mut all: Vec<_> = records
            .map(|(request, evidence)| (*request, evidence))
            .collect();
        all.sort_by_key(|(_, evidence)| std::cmp::Reverse(evidence.last_unix_ms));
        all
    }

    /// The evidence against a request.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<&CrashEvidence> {
        self.records.get(&fingerprint)
    }

    /// Number of crashes that occurred under a request.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.records
            .get(&fingerprint)
            .map_or(0, |e| e.crashes.len())
    }

    /// The status of a request.
    pub fn status(&self, fingerprint: Fingerprint, now: WallMs) -> CrashStatus {
        let evidence = self.records.get(&fingerprint);
        match evidence.and_then(CrashEvidence::refused_until) {
            None => CrashStatus::Allowed,
            Some(until) if until > now.0 => CrashStatus::Refused {
                left_ms: until - now.0,
            },
            Some(_) => CrashStatus::ProbeAllowed,
        }
    }

    /// Drops expired evidence and returns the requests concerned.
    pub fn expire(&mut self, now: WallMs) -> Vec<Fingerprint> {
        let is_expired = |evidence: &CrashEvidence| evidence.expires() <= now.0;
        let expired = self
            .records
            .iter()
            .filter(|(_, evidence)| is_expired(evidence));
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &expired {
            self.records.remove(fingerprint);
        }
        expired
    }
}

/// Backoff of a batch item before the attempt whose crash would be one too many. Engines that end
/// for their own reasons often end together, and they are known to be down after this time.
const ITEM_DELAY_MS: u64 = 1_000;
/// Backoff of a batch item after [`MAX_CRASHES`]. It is short, so that an innocent item is soon
/// done.
const ITEM_FIRST_BACKOFF_MS: u64 = 2_500;
/// Every later backoff. It bounds how often an item that crashes engines comes back; an innocent one
/// is placed within this time once engines stay up.
const ITEM_MAX_BACKOFF_MS: u64 = 4_600;

/// Backoff of a batch item under which this number of backend servers crashed, before its next
/// attempt; `None` if it may run at once. The attempts have no end: an item is owed until it is
/// given up.
pub fn item_backoff_ms(crashes: usize) -> Option<u64> {
    match crashes.checked_sub(MAX_CRASHES) {
        None if crashes + 1 == MAX_CRASHES => Some(ITEM_DELAY_MS),
        None => None,
        Some(0) => Some(ITEM_FIRST_BACKOFF_MS),
        Some(_) => Some(ITEM_MAX_BACKOFF_MS),
    }
}
