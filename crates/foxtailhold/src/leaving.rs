//! Notices of leaving backend servers that instances exchange.
//!
//! An instance that observes a leaving backend server itself, in the fleet list, in a load report
//! or in a refusal, creates a notice and renews it under a higher number as long as the observation
//! lasts. The newest number wins, after Perlman (1983). A notice that is not renewed expires
//! [`NOTICE_TTL_MS`] after its number first arrived. The number is remembered for longer, so that
//! late messages do not revive an expired notice.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::BackendId;
use crate::time::{MonoMs, WallMs};

/// A notice that is not renewed for this long expires.
pub const NOTICE_TTL_MS: u64 = 12_000;
/// A notice is renewed at this age.
pub const RENEWAL_AGE_MS: u64 = 3_000;
/// The number of a notice is remembered for this long.
pub const NUMBER_TTL_MS: u64 = 120_000;
/// Largest number of notices in one message, the newest first.
pub const NOTICES_PER_MESSAGE: usize = 32;
/// Largest number of notices kept.
const MAX_NOTICES: usize = 1_000;

/// Notice that a backend server is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The leaving backend server.
    pub backend: BackendId,
    /// Sequence number of the notice: the wall clock of the instance that created it, or one more
    /// than the last number.
    pub number: u64,
}

#[derive(Debug, Clone, Copy)]
struct NoticeRecord {
    number: u64,
    received_at: MonoMs,
}

impl NoticeRecord {
    fn is_valid(&self, now: MonoMs) -> bool {
        now.since_ms(self.received_at) < NOTICE_TTL_MS
    }
}

/// The notices known to one instance.
#[derive(Debug, Clone, Default)]
pub struct LeavingBackends {
    records: BTreeMap<BackendId, NoticeRecord>,
}

impl LeavingBackends {
    /// Records that this instance itself observes the backend server leaving. Returns whether no
    /// valid notice existed before.
    pub fn observe(&mut self, backend: &BackendId, wall: WallMs, now: MonoMs) -> bool {
        let record = self.records.get(backend);
        if record.is_some_and(|record| now.since_ms(record.received_at) < RENEWAL_AGE_MS) {
            return false;
        }
        let next = record.map_or(0, |record| record.number + 1);
        self.store(backend, next.max(wall.0), now)
    }

    /// Merges the notices of a peer. Returns whether any backend server is newly marked as leaving.
    pub fn merge(&mut self, notices: &[LeavingNotice], now: MonoMs) -> bool {
        let mut is_new = false;
        for notice in notices {
            is_new |= self.store(&notice.backend, notice.number, now);
        }
        is_new
    }

    /// Whether a valid notice exists for a backend server.
    pub fn is_leaving(&self, backend: &BackendId, now: MonoMs) -> bool {
        self.records
            .get(backend)
            .is_some_and(|record| record.is_valid(now))
    }

    /// Notices to send to peers, the newest first.
    pub fn outgoing(&self, now: MonoMs) -> Vec<LeavingNotice> {
        let valid = self
            .records
            .iter()
            .filter(|(_, record)| record.is_valid(now));
        let mut notices: Vec<(&BackendId, &NoticeRecord)> = valid.collect();
        notices.sort_by_key(|(_, record)| Reverse(record.received_at));
        notices.truncate(NOTICES_PER_MESSAGE);
        let mut outgoing = Vec::with_capacity(notices.len());
        for (backend, record) in notices {
            outgoing.push(LeavingNotice {
                backend: backend.clone(),
                number: record.number,
            });
        }
        outgoing
    }

    /// Drops notices after [`NUMBER_TTL_MS`].
    pub fn tick(&mut self, now: MonoMs) {
        self.records
            .retain(|_, record| now.since_ms(record.received_at) < NUMBER_TTL_MS);
    }

    /// Stores a number if it is the newest. Returns whether the backend server had no valid notice.
    fn store(&mut self, backend: &BackendId, number: u64, now: MonoMs) -> bool {
        let record = self.records.get(backend);
        if record.is_some_and(|record| record.number >= number) {
            return false;
        }
        if record.is_none() && self.records.len() >= MAX_NOTICES {
            return false;
        }
        let is_new = !self.is_leaving(backend, now);
        let record = NoticeRecord {
            number,
            received_at: now,
        };
        self.records.insert(backend.clone(), record);
        is_new
    }
}
