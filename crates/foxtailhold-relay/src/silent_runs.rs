//! Runs that ended here before anything showed that their backend server is alive: it may have crashed
//! without its connections being closed.

use std::collections::VecDeque;

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::time::MonoMs;
use parking_lot::Mutex;

use crate::fleet::BackendServer;

/// A backend server that crashed has started again, and its entry has been read, within this time.
const SETTLED_MS: u64 = 10_000;
/// Runs that are remembered.
const MOST_RUNS: usize = 1_024;

#[derive(Debug, Clone)]
struct SilentRun {
    fingerprint: Fingerprint,
    identity: BackendId,
    crash: CrashId,
    lost: MonoMs,
}

/// The silent runs of one instance that are not settled yet.
#[derive(Debug, Default)]
pub struct SilentRuns(Mutex<VecDeque<SilentRun>>);

impl SilentRuns {
    /// Notes a run that ended here without a sign.
    pub fn note(&self, fingerprint: Fingerprint, backend: &BackendServer, now: MonoMs) {
        let mut runs = self.0.lock();
        if runs.len() >= MOST_RUNS {
            runs.pop_front();
        }
        runs.push_back(SilentRun {
            fingerprint,
            identity: backend.identity.clone(),
            crash: backend.crash_id(),
            lost: now,
        });
    }

    /// Takes the runs whose backend server has started again: it crashed under them. `newest_start` is
    /// the Unix millisecond of the newest start of an identity.
    pub fn take_crashed(
        &self,
        now: MonoMs,
        newest_start: impl Fn(&BackendId) -> Option<u64>,
    ) -> Vec<(Fingerprint, CrashId)> {
        let mut crashed = Vec::new();
        self.0.lock().retain(|run| {
            let newest = newest_start(&run.identity);
            let has_restarted = newest.is_some_and(|at| at > run.crash.started_unix_ms);
            if has_restarted {
                crashed.push((run.fingerprint, run.crash.clone()));
            }
            !has_restarted && now.since_ms(run.lost) < SETTLED_MS
        });
        crashed
    }
}
