//! Which backend servers are leaving, as instances tell each other.
//!
//! An instance that sees it first-hand, in the fleet list, in a load report or in a refusal, marks
//! the backend server and renews the mark under a higher number as long as it sees it. The newest
//! number wins, after Perlman (1983). A mark that is not renewed expires [`MARK_TTL_MS`] after its
//! number first came; the number is remembered for longer, so that late messages revive nothing.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::BackendId;
use crate::time::{MonoMs, WallMs};

/// A mark that is not renewed for this long is void.
pub const MARK_TTL_MS: u64 = 12_000;
/// A mark is renewed when it is this old.
pub const RENEW_MS: u64 = 3_000;
/// The number of a void mark is remembered for this long.
pub const REMEMBER_MS: u64 = 120_000;
/// Most marks in one message, the newest first.
pub const MARKS_PER_MESSAGE: usize = 32;
/// Most marks kept.
const MARKS_KEPT: usize = 1_000;

/// What one instance tells of one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The backend server.
    pub backend: BackendId,
    /// Number of the mark: the wall clock of the instance that set it, or one more than the last.
    pub number: u64,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    number: u64,
    heard_at: MonoMs,
}

impl Known {
    fn is_valid(&self, now: MonoMs) -> bool {
        now.since_ms(self.heard_at) < MARK_TTL_MS
    }
}

/// The marks that one instance knows.
#[derive(Debug, Clone, Default)]
pub struct LeavingBackends {
    known: BTreeMap<BackendId, Known>,
}

impl LeavingBackends {
    /// Notes that this instance sees it first-hand. Returns whether it was not marked before.
    pub fn observe(&mut self, backend: &BackendId, wall: WallMs, now: MonoMs) -> bool {
        let known = self.known.get(backend);
        if known.is_some_and(|known| now.since_ms(known.heard_at) < RENEW_MS) {
            return false;
        }
        let next = known.map_or(0, |known| known.number + 1);
        self.take(backend, next.max(wall.0), now)
    }

    /// Takes a peer's marks in. Returns whether any was news.
    pub fn merge(&mut self, marks: &[LeavingNotice], now: MonoMs) -> bool {
        let mut news = false;
        for mark in marks {
            news |= self.take(&mark.backend, mark.number, now);
        }
        news
    }

    /// Whether a backend server is marked.
    pub fn is_leaving(&self, backend: &BackendId, now: MonoMs) -> bool {
        self.known
            .get(backend)
            .is_some_and(|known| known.is_valid(now))
    }

    /// What peers are told.
    pub fn outgoing(&self, now: MonoMs) -> Vec<LeavingNotice> {
        let valid = self.known.iter().filter(|(_, known)| known.is_valid(now));
        let mut marks: Vec<(&BackendId, &Known)> = valid.collect();
        marks.sort_by_key(|(_, known)| Reverse(known.heard_at));
        marks.truncate(MARKS_PER_MESSAGE);
        let mut told = Vec::with_capacity(marks.len());
        for (backend, known) in marks {
            told.push(LeavingNotice {
                backend: backend.clone(),
                number: known.number,
            });
        }
        told
    }

    /// Forgets marks long void.
    pub fn tick(&mut self, now: MonoMs) {
        self.known
            .retain(|_, known| now.since_ms(known.heard_at) < REMEMBER_MS);
    }

    /// Takes a number in if it is the newest. Returns whether the backend server was not marked.
    fn take(&mut self, backend: &BackendId, number: u64, now: MonoMs) -> bool {
        let known = self.known.get(backend);
        if known.is_some_and(|known| known.number >= number) {
            return false;
        }
        if known.is_none() && self.known.len() >= MARKS_KEPT {
            return false;
        }
        let news = !self.is_leaving(backend, now);
        let heard = Known {
            number,
            heard_at: now,
        };
        self.known.insert(backend.clone(), heard);
        news
    }
}
