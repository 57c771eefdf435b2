//! What items have given so far, kept in the store so that another owner goes on from there.
//!
//! An item runs for seconds; without this each lost owner would cost all its items from the start.
//! A piece is written once, for a range of events; overlapping pieces of two owners are harmless,
//! since an item's output is the same at every backend server.

use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::attempt_counts::AttemptCounts;
use foxtailhold::ids::JobId;
use foxtailhold_platform::VersionedRow;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// End of the key of an item's account; pieces have a range of events there.
pub const ACCOUNT_KEY: &str = "account";
/// An item is kept again when it has gone on by so many events, about a second of work.
pub const KEEP_EVENTS: u64 = 40;

/// A piece of an item's output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The event before the first one.
    pub after: u64,
    /// The last event.
    pub last: u64,
    /// The data of the events, separated by line feeds.
    pub text: String,
}

/// What an item has given so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Given {
    /// The data of the events, separated by line feeds.
    pub text: Vec<u8>,
    /// The last event, 0 before the first one.
    pub last: u64,
    /// Events and bytes that the store has.
    kept: (u64, usize),
}

impl Given {
    /// Joins pieces in order, as far as nothing is missing.
    pub fn from_pieces(mut pieces: Vec<Piece>) -> Self {
        pieces.sort_by_key(|piece| (piece.after, std::cmp::Reverse(piece.last)));
        let mut given = Given::default();
        for piece in pieces {
            if piece.after != given.last || piece.last <= given.last {
                continue;
            }
            if given.last > 0 {
                given.text.push(b'\n');
            }
            given.text.extend_from_slice(piece.text.as_bytes());
            given.last = piece.last;
        }
        given.kept = (given.last, given.text.len());
        given
    }

    /// The next piece, where enough is new.
    fn next_piece(&self, least_events: u64) -> Option<Piece> {
        let (after, bytes) = self.kept;
        if self.last < after + least_events.max(1) {
            return None;
        }
        // The line feed between the two pieces belongs to neither.
        let start = if after > 0 { bytes + 1 } else { 0 };
        let text = std::str::from_utf8(self.text.get(start..)?).ok()?;
        Some(Piece {
            after,
            last: self.last,
            text: text.to_owned(),
        })
    }
}

/// The items of a job that run here, with what they have given.
#[derive(Debug, Clone, Default)]
pub struct Partials {
    items: Arc<Mutex<HashMap<String, Given>>>,
    accounts: Arc<Mutex<HashMap<String, AttemptCounts>>>,
}

impl Partials {
    /// What an item has given.
    pub fn get(&self, item: &str) -> Given {
        self.items.lock().get(item).cloned().unwrap_or_default()
    }

    /// The last event that an item has given, 0 before the first one.
    pub fn last(&self, item: &str) -> u64 {
        self.items.lock().get(item).map_or(0, |given| given.last)
    }

    /// The account that an owner before has written down.
    pub fn account(&self, item: &str) -> Option<AttemptCounts> {
        self.accounts.lock().get(item).copied()
    }

    /// Changes what an item has given.
    pub fn update(&self, item: &str, change: impl FnOnce(&mut Given)) {
        change(self.items.lock().entry(item.to_owned()).or_default());
    }

    /// Drops an item.
    pub fn remove(&self, item: &str) {
        self.items.lock().remove(item);
    }

    /// Pieces of at least `least_events` events that the store does not have.
    pub fn unkept(&self, least_events: u64) -> Vec<(String, Piece)> {
        let items = self.items.lock();
        let unkept = items.iter().filter_map(|(item, given)| {
            let piece = given.next_piece(least_events)?;
            Some((item.clone(), piece))
        });
        unkept.collect()
    }

    /// Notes that the store has a piece.
    pub fn kept(&self, item: &str, piece: &Piece) {
        let mut items = self.items.lock();
        let Some(given) = items.get_mut(item) else {
            return;
        };
        let start = if piece.after > 0 { given.kept.1 + 1 } else { 0 };
        given.kept = (piece.last, start + piece.text.len());
    }

    fn restore_account(&self, job: &JobId, item: &str, value: &[u8]) {
        match serde_json::from_slice(value) {
            Ok(account) => {
                self.accounts.lock().insert(item.to_owned(), account);
            }
            Err(error) => log::warn!(job = job.as_str(); "an account cannot be read: {error}"),
        }
    }

    /// Takes over what the store has of a job's items.
    pub fn restore(&self, job: &JobId, rows: &[VersionedRow]) {
        let mut pieces: HashMap<String, Vec<Piece>> = HashMap::new();
        for row in rows {
            let mut parts = row.key.key.split('/');
            let (Some(_), Some(item)) = (parts.next(), parts.next()) else {
                log::warn!(job = job.as_str(); "row {} is no piece of an item", row.key.key);
                continue;
            };
            let value = row.value.as_deref().unwrap_or_default();
            if parts.next() == Some(ACCOUNT_KEY) {
                self.restore_account(job, item, value);
                continue;
            }
            match serde_json::from_slice(value) {
                Ok(piece) => pieces.entry(item.to_owned()).or_default().push(piece),
                Err(error) => log::warn!(job = job.as_str(); "a piece cannot be read: {error}"),
            }
        }
        let mut items = self.items.lock();
        for (item, pieces) in pieces {
            items.insert(item, Given::from_pieces(pieces));
        }
    }
}
