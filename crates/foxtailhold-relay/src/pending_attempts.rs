//! Attempts that are in flight or ended here without a result, so that it is not known yet
//! whether they crashed their backend server. A backend server may crash without closing its
//! connections; the crash then shows only by what becomes of its entry.

use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::crashes::EvidenceMark;
use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::CrashId;
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_http::lock::Mutex;

use crate::fleet::{BackendFate, BackendServer};
use crate::request::EvidenceKeys;

/// A backend server that crashed has restarted, and its new entry has been read, within this time
/// after the attempt ended here.
pub const RESTART_WINDOW_MS: u64 = 10_000;
/// Limit of tracked attempts.
const MAX_PENDING_ATTEMPTS: usize = 4_096;

/// How an attempt without a result ended here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndWithoutResult {
    /// The backend server sent nothing more.
    Silent,
    /// It was ended here, as when its caller disconnects or its slot is preempted.
    Abandoned,
    /// Its response ended with its connection. It is complete if the backend server has lived on.
    WithConnection,
}

/// An attempt, as crash evidence sees it.
#[derive(Debug, Clone)]
pub struct TrackedAttempt {
    /// What evidence about its request is kept under.
    pub keys: EvidenceKeys,
    /// The backend server.
    pub backend: Arc<BackendServer>,
    /// What was known when it was sent.
    pub begun: EvidenceMark,
    /// When it was sent.
    pub begun_at: WallMs,
    /// Whether it resumes after an event. Its response says nothing about the part before that.
    pub is_resumed: bool,
    /// Whether it was sent as a probe of suspected parts.
    pub is_probe: bool,
    /// Events that it brought, once its response is complete.
    pub events: u64,
    /// When the backend server was heard last, if it has been silent since or ended the connection.
    pub quiet_since: Option<WallMs>,
}

#[derive(Debug)]
struct PendingAttempt {
    attempt: TrackedAttempt,
    begun: MonoMs,
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
            BackendFate::Gone => self.is_silent || self.ended_with_connection().is_some(),
        }
    }

    fn ended_with_connection(&self) -> Option<MonoMs> {
        let (at, end) = self.ended?;
        (end == EndWithoutResult::WithConnection).then_some(at)
    }
}

#[derive(Debug, Default)]
struct PendingAttemptMap {
    last_number: u64,
    by_number: HashMap<u64, PendingAttempt>,
    /// Attempts that ended with their connection, by backend server.
    unproved: HashMap<BackendId, Vec<u64>>,
}

/// Pending attempts of one instance; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PendingAttempts(Arc<Mutex<PendingAttemptMap>>);

impl PendingAttempts {
    /// Starts tracking an attempt that is sent at `begun`, and returns its number.
    pub fn begin(&self, attempt: TrackedAttempt, begun: MonoMs) -> u64 {
        let mut attempts = self.0.lock();
        attempts.last_number += 1;
        let number = attempts.last_number;
        if attempts.by_number.len() < MAX_PENDING_ATTEMPTS {
            let attempt = PendingAttempt {
                attempt,
                begun,
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

    /// Whether it is not known yet if an attempt crashed its backend server.
    pub fn is_pending(&self, number: u64) -> bool {
        self.0.lock().by_number.contains_key(&number)
    }

    /// Records that an attempt ended here without a result. The first end counts.
    pub fn end(&self, number: u64, (now, wall): (MonoMs, WallMs), end: EndWithoutResult) {
        let mut attempts = self.0.lock();
        let Some(pending) = attempts.by_number.get_mut(&number) else {
            return;
        };
        if pending.ended.is_none() && end == EndWithoutResult::Silent {
            pending.is_silent = true;
        }
        pending.ended.get_or_insert((now, end));
        if end != EndWithoutResult::Abandoned {
            pending.attempt.quiet_since.get_or_insert(wall);
        }
        if end == EndWithoutResult::WithConnection {
            let backend = pending.attempt.backend.id.clone();
            attempts.unproved.entry(backend).or_default().push(number);
        }
    }

    /// Records that the response of an attempt ended with its connection, after `events`.
    pub fn end_with_connection(&self, number: u64, now: (MonoMs, WallMs), events: u64) {
        if let Some(pending) = self.0.lock().by_number.get_mut(&number) {
            pending.attempt.events = events;
        }
        self.end(number, now, EndWithoutResult::WithConnection);
    }

    /// Records since when the backend server of an attempt in flight is silent, if it is.
    pub fn set_silent(&self, number: u64, quiet_since: Option<WallMs>) {
        if let Some(pending) = self.0.lock().by_number.get_mut(&number) {
            pending.is_silent = quiet_since.is_some();
            pending.attempt.quiet_since = quiet_since;
        }
    }

    /// Removes and returns the attempts whose backend server has crashed since. `fate` says what
    /// became of a start of an identity since an attempt was sent: a start that was known to have
    /// ended before did not end under it.
    pub fn take_crashed(
        &self,
        now: MonoMs,
        fate: impl Fn(&BackendId, &CrashId, MonoMs) -> BackendFate,
    ) -> Vec<TrackedAttempt> {
        let mut crashed = Vec::new();
        let mut attempts = self.0.lock();
        let PendingAttemptMap {
            by_number,
            unproved,
            ..
        } = &mut *attempts;
        by_number.retain(|_, attempt| {
            let is_over = |(ended, _)| now.since_ms(ended) >= RESTART_WINDOW_MS;
            if attempt.ended.is_some_and(is_over) {
                return false;
            }
            let backend = &attempt.attempt.backend;
            let fate = fate(&backend.identity, &backend.crash_id(), attempt.begun);
            let has_crashed = attempt.has_crashed(fate);
            if has_crashed {
                crashed.push(attempt.attempt.clone());
            }
            !has_crashed
        });
        unproved.retain(|_, numbers| {
            numbers.retain(|number| by_number.contains_key(number));
            !numbers.is_empty()
        });
        crashed
    }

    /// Removes and returns the attempts at a start of a backend server that ended with their
    /// connection before `at`, because it has responded to a request sent then: they are complete.
    pub fn take_completed(&self, backend: &BackendId, at: MonoMs) -> Vec<TrackedAttempt> {
        let mut attempts = self.0.lock();
        let Some(numbers) = attempts.unproved.remove(backend) else {
            return Vec::new();
        };
        let mut completed = Vec::new();
        let mut later = Vec::new();
        for number in numbers {
            let Some(pending) = attempts.by_number.get(&number) else {
                continue;
            };
            if pending.ended_with_connection().is_some_and(|end| end >= at) {
                later.push(number);
                continue;
            }
            completed.extend(attempts.by_number.remove(&number).map(|p| p.attempt));
        }
        if !later.is_empty() {
            attempts.unproved.insert(backend.clone(), later);
        }
        completed
    }
}
