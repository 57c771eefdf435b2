//! Runs that have not shown yet whether their backend server is alive, under way or ended here without a
//! sign: it may have crashed without its connections being closed.

use std::collections::HashMap;

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::time::MonoMs;
use parking_lot::Mutex;

use crate::fleet::BackendServer;

/// A backend server that crashed has started again, and its entry has been read, within this time after a
/// run has ended here.
const SETTLED_MS: u64 = 10_000;
/// Runs that are remembered.
const MOST_RUNS: usize = 4_096;

#[derive(Debug, Clone)]
struct Run {
    fingerprint: Fingerprint,
    identity: BackendId,
    crash: CrashId,
    /// When it ended here.
    ended: Option<MonoMs>,
}

#[derive(Debug, Default)]
struct Runs {
    next: u64,
    by_number: HashMap<u64, Run>,
}

/// The unsettled runs of one instance.
#[derive(Debug, Default)]
pub struct UnsettledRuns(Mutex<Runs>);

impl UnsettledRuns {
    /// Notes a run that begins; returns its number.
    pub fn begin(&self, fingerprint: Fingerprint, backend: &BackendServer) -> u64 {
        let mut runs = self.0.lock();
        runs.next += 1;
        let number = runs.next;
        if runs.by_number.len() < MOST_RUNS {
            let run = Run {
                fingerprint,
                identity: backend.identity.clone(),
                crash: backend.crash_id(),
                ended: None,
            };
            runs.by_number.insert(number, run);
        }
        number
    }

    /// Forgets a run: it has an answer, or it is known how it was lost.
    pub fn settle(&self, number: u64) {
        self.0.lock().by_number.remove(&number);
    }

    /// Notes that a run ended here without a sign.
    pub fn end(&self, number: u64, now: MonoMs) {
        if let Some(run) = self.0.lock().by_number.get_mut(&number) {
            run.ended = Some(now);
        }
    }

    /// Takes the runs whose backend server has started again: it crashed under them. `newest_start` is
    /// the Unix millisecond of the newest start of an identity.
    pub fn take_crashed(
        &self,
        now: MonoMs,
        newest_start: impl Fn(&BackendId) -> Option<u64>,
    ) -> Vec<(Fingerprint, CrashId)> {
        let mut crashed = Vec::new();
        self.0.lock().by_number.retain(|_, run| {
            let is_over = |ended| now.since_ms(ended) >= SETTLED_MS;
            if run.ended.is_some_and(is_over) {
                return false;
            }
            let newest = newest_start(&run.identity);
            let has_restarted = newest.is_some_and(|at| at > run.crash.started_unix_ms);
            if has_restarted {
                crashed.push((run.fingerprint, run.crash.clone()));
            }
            !has_restarted
        });
        crashed
    }
}
