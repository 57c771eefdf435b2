//! Attempts that are in flight or ended here without a result, so that it is not known yet
//! whether they crashed their backend server. A backend server may crash without closing its
//! connections; the crash then shows only by its next start.

use std::collections::HashMap;

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::time::MonoMs;
use parking_lot::Mutex;

use crate::fleet::BackendServer;

/// A backend server that crashed has restarted, and its new entry has been read, within this time
/// after the attempt ended here.
const RESTART_WINDOW_MS: u64 = 10_000;
/// Limit of tracked attempts.
const MAX_PENDING_ATTEMPTS: usize = 4_096;

#[derive(Debug, Clone)]
struct PendingAttempt {
    fingerprint: Fingerprint,
    identity: BackendId,
    crash: CrashId,
    /// When the attempt ended here; `None` while it is in flight.
    ended: Option<MonoMs>,
}

#[derive(Debug, Default)]
struct PendingAttemptMap {
    last_number: u64,
    by_number: HashMap<u64, PendingAttempt>,
}

/// Pending attempts of one instance.
#[derive(Debug, Default)]
pub struct PendingAttempts(Mutex<PendingAttemptMap>);

impl PendingAttempts {
    /// Starts tracking an attempt and returns its number.
    pub fn begin(&self, fingerprint: Fingerprint, backend: &BackendServer) -> u64 {
        let mut attempts = self.0.lock();
        attempts.last_number += 1;
        let number = attempts.last_number;
        if attempts.by_number.len() < MAX_PENDING_ATTEMPTS {
            let attempt = PendingAttempt {
                fingerprint,
                identity: backend.identity.clone(),
                crash: backend.crash_id(),
                ended: None,
            };
            attempts.by_number.insert(number, attempt);
        }
        number
    }

    /// Stops tracking an attempt that has a response or a known failure.
    pub fn resolve(&self, number: u64) {
        self.0.lock().by_number.remove(&number);
    }

    /// Records that an attempt ended here without a result.
    pub fn end(&self, number: u64, now: MonoMs) {
        if let Some(attempt) = self.0.lock().by_number.get_mut(&number) {
            attempt.ended = Some(now);
        }
    }

    /// Removes and returns the attempts whose backend server has restarted since, which counts as a
    /// crash. `newest_start` gives the newest known start of an identity in Unix milliseconds.
    pub fn take_crashed(
        &self,
        now: MonoMs,
        newest_start: impl Fn(&BackendId) -> Option<u64>,
    ) -> Vec<(Fingerprint, CrashId)> {
        let mut crashed = Vec::new();
        self.0.lock().by_number.retain(|_, attempt| {
            let is_over = |ended| now.since_ms(ended) >= RESTART_WINDOW_MS;
            if attempt.ended.is_some_and(is_over) {
                return false;
            }
            let newest = newest_start(&attempt.identity);
            let has_restarted = newest.is_some_and(|at| at > attempt.crash.started_unix_ms);
            if has_restarted {
                crashed.push((attempt.fingerprint, attempt.crash.clone()));
            }
            !has_restarted
        });
        crashed
    }
}
