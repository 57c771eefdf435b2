//! Attempts that are in flight or ended here without a result, so that it is not known yet
//! whether they crashed their backend server. A backend server may crash without closing its
//! connections; the crash then shows only by what becomes of its entry.

use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{CrashId, RequestFingerprints};
use foxtailhold::time::MonoMs;
use parking_lot::Mutex;

use crate::fleet::{BackendFate, BackendServer};

/// A backend server that crashed has restarted, and its new entry has been read, within this time
/// after the attempt ended here.
const RESTART_WINDOW_MS: u64 = 10_000;
/// Limit of tracked attempts.
const MAX_PENDING_ATTEMPTS: usize = 4_096;

/// How an attempt without a result ended here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndWithoutResult {
    /// The backend server sent nothing more.
    Silent,
    /// It was ended here, as when its caller disconnects or its slot is preempted.
    Abandoned,
}

#[derive(Debug, Clone)]
struct PendingAttempt {
    request: RequestFingerprints,
    identity: BackendId,
    crash: CrashId,
    /// When and how the attempt ended here; `None` while it is in flight.
    ended: Option<(MonoMs, EndWithoutResult)>,
    /// Whether its backend server is silent while it is in flight, or was when it ended here.
    is_silent: bool,
}

impl PendingAttempt {
    /// Whether the attempt counts as a crash, given what became of its backend server. An entry that
    /// is gone may also belong to a backend server that goes on with what it has; only its silence
    /// shows that it does not.
    fn has_crashed(&self, fate: BackendFate) -> bool {
        match fate {
            BackendFate::Unchanged => false,
            BackendFate::Restarted => true,
            BackendFate::Gone => self.is_silent,
        }
    }
}

#[derive(Debug, Default)]
struct PendingAttemptMap {
    last_number: u64,
    by_number: HashMap<u64, PendingAttempt>,
}

/// Pending attempts of one instance; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PendingAttempts(Arc<Mutex<PendingAttemptMap>>);

impl PendingAttempts {
    /// Starts tracking an attempt and returns its number.
    pub fn begin(&self, request: RequestFingerprints, backend: &BackendServer) -> u64 {
        let mut attempts = self.0.lock();
        attempts.last_number += 1;
        let number = attempts.last_number;
        if attempts.by_number.len() < MAX_PENDING_ATTEMPTS {
            let attempt = PendingAttempt {
                request,
                identity: backend.identity.clone(),
                crash: backend.crash_id(),
                ended: None,
                is_silent: false,
            };
            attempts.by_number.insert(number, attempt);
        }
        number
    }

    /// Stops tracking an attempt that has a response or a known failure.
    pub fn resolve(&self, number: u64) {
        self.0.lock().by_number.remove(&number);
    }

    /// Records that an attempt ended here without a result. The first end counts.
    pub fn end(&self, number: u64, now: MonoMs, end: EndWithoutResult) {
        if let Some(attempt) = self.0.lock().by_number.get_mut(&number) {
            if attempt.ended.is_none() && end == EndWithoutResult::Silent {
                attempt.is_silent = true;
            }
            attempt.ended.get_or_insert((now, end));
        }
    }

    /// Records whether the backend server of an attempt in flight is silent.
    pub fn set_silent(&self, number: u64, is_silent: bool) {
        if let Some(attempt) = self.0.lock().by_number.get_mut(&number) {
            attempt.is_silent = is_silent;
        }
    }

    /// Removes and returns the attempts whose backend server has crashed since. `fate` says what
    /// became of a start of an identity.
    pub fn take_crashed(
        &self,
        now: MonoMs,
        fate: impl Fn(&BackendId, &CrashId) -> BackendFate,
    ) -> Vec<(RequestFingerprints, CrashId)> {
        let mut crashed = Vec::new();
        self.0.lock().by_number.retain(|_, attempt| {
            let is_over = |(ended, _)| now.since_ms(ended) >= RESTART_WINDOW_MS;
            if attempt.ended.is_some_and(is_over) {
                return false;
            }
            let has_crashed = attempt.has_crashed(fate(&attempt.identity, &attempt.crash));
            if has_crashed {
                crashed.push((attempt.request, attempt.crash.clone()));
            }
            !has_crashed
        });
        crashed
    }
}
