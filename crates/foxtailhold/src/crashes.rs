//! Evidence against requests that crash backend servers, joined over all instances.
//!
//! A backend server crashes once in each of its starts, so the evidence against a request is a set of
//! starts. Sets of several instances and of the store are joined by union: hearing of a crash twice,
//! late or in another order changes nothing, and many copies of a request in flight at one crash
//! count once. A neighbour of a crashing request collects evidence too, until it is seen to run.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::quarantine::{CrashId, Fingerprint, MAX_ENTRIES, PROBATION_MS, SUSPECT_TTL_MS};
use crate::time::WallMs;

/// Crashes after which a request is refused. A neighbour on the same backend servers has to be hit
/// three times in a row before it has run, which is rare; each more costs a backend server.
pub const MAX_CRASHES: usize = 3;
/// Runs of a request after that. What was refused may be innocent: connections also end where a backend
/// server has too many of them. The contract allows one more, which is left for a run whose only witness
/// was lost and for instances that do not agree yet who decides.
pub const MAX_PROBES: usize = 2;
/// Time of refusal after [`MAX_CRASHES`], and after the crash of each late run. The first one is short, so
/// that an innocent request is soon served again; after the last late run nobody waits for the end.
pub const REFUSED_MS: [u64; MAX_PROBES + 1] = [10_000, 60_000, 86_400_000];
/// Events after which a run has shown that its request does not crash what begins to run it.
pub const STABLE_AFTER_EVENTS: u64 = 8;

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashStatus {
    /// It may run.
    Free,
    /// It was refused for its time, and may run once, alone, to show whether it is innocent.
    OnProbation,
    /// It is refused.
    Refused {
        /// How long.
        left_ms: u64,
    },
}

/// The crashes of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Which starts of backend servers ended under it.
    pub crashes: BTreeSet<CrashId>,
    /// Time of the last crash, by the clock of the instance that saw it.
    pub last_unix_ms: u64,
}

impl CrashEvidence {
    /// Adds what another one knows; returns whether that was new.
    pub fn join(&mut self, other: &CrashEvidence) -> bool {
        let before = self.crashes.len();
        self.crashes.extend(other.crashes.iter().cloned());
        self.last_unix_ms = self.last_unix_ms.max(other.last_unix_ms);
        self.crashes.len() > before
    }

    /// Until when the request is refused.
    fn refused_until(&self) -> Option<u64> {
        let late = self.crashes.len().checked_sub(MAX_CRASHES)?;
        let refused_ms = REFUSED_MS[late.min(MAX_PROBES)];
        Some(self.last_unix_ms.saturating_add(refused_ms))
    }

    fn expires(&self) -> u64 {
        match self.refused_until() {
            Some(until) => until.saturating_add(PROBATION_MS),
            None => self.last_unix_ms.saturating_add(SUSPECT_TTL_MS),
        }
    }
}

/// What one instance knows against requests.
#[derive(Debug, Clone, Default)]
pub struct CrashRegistry {
    known: HashMap<Fingerprint, CrashEvidence>,
}

impl CrashRegistry {
    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Notes a crash that this instance saw. `None`: it was known.
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
        self.known.get(&fingerprint)
    }

    /// Joins the evidence of another instance or of the store; returns whether that was new.
    pub fn join(&mut self, fingerprint: Fingerprint, evidence: &CrashEvidence) -> bool {
        let is_new = self.known.entry(fingerprint).or_default().join(evidence);
        if self.known.len() > MAX_ENTRIES {
            self.drop_oldest();
        }
        is_new
    }

    fn drop_oldest(&mut self) {
        let by_end = self.known.iter().min_by_key(|(_, known)| known.expires());
        if let Some(oldest) = by_end.map(|(fingerprint, _)| *fingerprint) {
            self.known.remove(&oldest);
        }
    }

    /// Forgets what is known against a request that was seen to run; returns whether there was any.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.known.remove(&fingerprint).is_some()
    }

    /// The evidence against a request.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<&CrashEvidence> {
        self.known.get(&fingerprint)
    }

    /// How many backend servers a request has crashed.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.known.get(&fingerprint).map_or(0, |e| e.crashes.len())
    }

    /// How a request stands.
    pub fn status(&self, fingerprint: Fingerprint, now: WallMs) -> CrashStatus {
        let evidence = self.known.get(&fingerprint);
        match evidence.and_then(CrashEvidence::refused_until) {
            None => CrashStatus::Free,
            Some(until) if until > now.0 => CrashStatus::Refused {
                left_ms: until - now.0,
            },
            Some(_) => CrashStatus::OnProbation,
        }
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: WallMs) -> Vec<Fingerprint> {
        let is_over = |evidence: &CrashEvidence| evidence.expires() <= now.0;
        let over = self.known.iter().filter(|(_, evidence)| is_over(evidence));
        let over: Vec<Fingerprint> = over.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &over {
            self.known.remove(fingerprint);
        }
        over
    }
}

/// Pause of a batch item before the run whose crash would be one too many: engines that end for a reason
/// of their own often do so together, and are known to be down by then.
const ITEM_PAUSE_MS: u64 = 1_000;
/// Rest of a batch item after [`MAX_CRASHES`]. An innocent one is soon done.
const ITEM_FIRST_REST_MS: u64 = 2_500;
/// Later rests, as parts of the time until the item is given up.
const ITEM_REST_PARTS: [u64; 2] = [6, 3];

/// When a batch item may run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemBackoff {
    /// At once.
    None,
    /// After this time.
    Delay {
        /// How long.
        pause_ms: u64,
    },
    /// Not any more.
    NoMoreAttempts,
}

/// Decides the rest of a batch item that has crashed so many backend servers and is given up in
/// `left_ms`. It cannot be listed as failed before, so its late runs are spread over that time.
pub fn item_backoff(crashes: usize, left_ms: u64) -> ItemBackoff {
    let Some(late) = crashes.checked_sub(MAX_CRASHES) else {
        return match crashes + 1 == MAX_CRASHES {
            true => ItemBackoff::Delay {
                pause_ms: ITEM_PAUSE_MS,
            },
            false => ItemBackoff::None,
        };
    };
    let Some(later) = late.checked_sub(1) else {
        return ItemBackoff::Delay {
            pause_ms: ITEM_FIRST_REST_MS,
        };
    };
    match ITEM_REST_PARTS.get(later) {
        None => ItemBackoff::NoMoreAttempts,
        Some(part) => ItemBackoff::Delay {
            pause_ms: left_ms / part,
        },
    }
}
