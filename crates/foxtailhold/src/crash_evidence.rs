//! The crashes that occurred under one request, as instances send and store them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::quarantine::CrashId;

/// Set in the start of a crash that is in the set a second time, because a probe met it.
const MET_BY_PROBE: u64 = 1 << 63;

/// The crashes that occurred under one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Starts of backend servers that ended while the request was in flight there. Those that a
    /// probe met are in the set twice.
    pub crashes: BTreeSet<CrashId>,
    /// Time of the last crash in Unix ms, by the clock of the instance that saw it.
    pub last_unix_ms: u64,
}

fn is_met_by_probe(crash: &CrashId) -> bool {
    crash.started_unix_ms & MET_BY_PROBE != 0
}

/// The crash without the mark that a probe met it.
pub(crate) fn without_mark(crash: &CrashId) -> CrashId {
    CrashId {
        backend: crash.backend.clone(),
        started_unix_ms: crash.started_unix_ms & !MET_BY_PROBE,
    }
}

pub(crate) fn met_by_probe(crash: &CrashId) -> CrashId {
    CrashId {
        backend: crash.backend.clone(),
        started_unix_ms: crash.started_unix_ms | MET_BY_PROBE,
    }
}

impl CrashEvidence {
    /// Number of crashes.
    pub fn count(&self) -> usize {
        self.crashes.len() - self.met_by_probes().count()
    }

    /// The marks of the crashes that probes met.
    pub(crate) fn met_by_probes(&self) -> impl Iterator<Item = &CrashId> {
        self.crashes.iter().filter(|crash| is_met_by_probe(crash))
    }

    /// Merges the evidence of another instance or of the store. Returns whether it added a crash.
    pub fn join(&mut self, other: &CrashEvidence) -> bool {
        let before = self.crashes.len();
        self.crashes.extend(other.crashes.iter().cloned());
        self.last_unix_ms = self.last_unix_ms.max(other.last_unix_ms);
        self.crashes.len() > before
    }
}
