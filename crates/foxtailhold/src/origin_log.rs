//! Origins of single streams as rows of the platform's store, which outlive all instances.
//!
//! They are kept only while streams of several origins can be taken up. Each instance appends to rows
//! of its own, and deletes those whose streams nobody takes up any more.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::stream_origins::{AttemptHash, AttemptOrigin, ORIGIN_TTL_MS, StreamOrigin};
use crate::time::MonoMs;

/// Largest number of origins in one row.
pub const MAX_ORIGINS_PER_ROW: usize = 64;
/// Largest number of rows that one transaction writes or deletes.
pub const MAX_ROWS_PER_COMMIT: usize = 32;
/// Largest number of rows of one instance. The oldest ones are dropped first.
pub const MAX_LOG_ROWS: usize = 1_024;
/// Shortest interval between two transactions of one instance.
const MIN_COMMIT_INTERVAL_MS: u64 = 50;
/// Largest number of transactions of all instances together, per second.
const MAX_COMMITS_PER_S: u64 = 100;

/// Interval between two transactions of one of `instances`.
pub fn commit_interval_ms(instances: usize) -> u64 {
    (instances as u64 * 1_000 / MAX_COMMITS_PER_S).max(MIN_COMMIT_INTERVAL_MS)
}

/// Attempts whose streams have the same origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct SharedOrigin {
    origin: StreamOrigin,
    attempts: Vec<AttemptHash>,
}

/// Value of a row: origins of streams, each origin once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRow {
    shared: Vec<SharedOrigin>,
}

impl OriginRow {
    /// The origins of the row.
    pub fn origins(&self) -> impl Iterator<Item = (AttemptHash, &StreamOrigin)> {
        let shared = self.shared.iter();
        shared.flat_map(|shared| {
            let attempts = shared.attempts.iter();
            attempts.map(|attempt| (*attempt, &shared.origin))
        })
    }
}

impl FromIterator<AttemptOrigin> for OriginRow {
    fn from_iter<I: IntoIterator<Item = AttemptOrigin>>(origins: I) -> Self {
        let mut by_origin: BTreeMap<StreamOrigin, Vec<AttemptHash>> = BTreeMap::new();
        for (attempt, origin) in origins {
            by_origin.entry(origin).or_default().push(attempt);
        }
        let shared = by_origin.into_iter();
        let shared = shared.map(|(origin, attempts)| SharedOrigin { origin, attempts });
        OriginRow {
            shared: shared.collect(),
        }
    }
}

/// A transaction on the rows of one instance, which are known by their numbers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogChanges {
    /// Rows to write.
    pub puts: Vec<(u64, OriginRow)>,
    /// Rows to delete.
    pub deletes: Vec<u64>,
    /// Number of origins in each row to write.
    lengths: HashMap<u64, usize>,
}

impl LogChanges {
    /// Whether there is nothing to change.
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.deletes.is_empty()
    }

    /// The same changes as two transactions; `None` if there is only one.
    pub fn halves(&self) -> Option<[LogChanges; 2]> {
        if self.puts.len() + self.deletes.len() < 2 {
            return None;
        }
        let (puts, deletes) = (self.puts.len() / 2, self.deletes.len().div_ceil(2));
        let half = |puts: &[(u64, OriginRow)], deletes: &[u64]| LogChanges {
            puts: puts.to_vec(),
            deletes: deletes.to_vec(),
            lengths: self.lengths.clone(),
        };
        Some([
            half(&self.puts[..puts], &self.deletes[..deletes]),
            half(&self.puts[puts..], &self.deletes[deletes..]),
        ])
    }
}

#[derive(Debug)]
struct LogRow {
    number: u64,
    origins: Vec<AttemptOrigin>,
    changed_at: MonoMs,
    /// Number of origins that are in the store.
    saved: usize,
}

/// The rows of one instance.
#[derive(Debug, Default)]
pub struct OriginLog {
    /// Oldest first. Only the last one has room.
    rows: VecDeque<LogRow>,
    next_number: u64,
    /// Rows that may be in the store and have to go.
    expired: BTreeSet<u64>,
    dropped: u64,
}

impl OriginLog {
    /// Appends the origin of a stream.
    pub fn push(&mut self, now: MonoMs, origin: AttemptOrigin) {
        let has_room = |row: &LogRow| row.origins.len() < MAX_ORIGINS_PER_ROW;
        if !self.rows.back().is_some_and(has_room) {
            self.rows.push_back(LogRow {
                number: self.next_number,
                origins: Vec::new(),
                changed_at: now,
                saved: 0,
            });
            self.next_number += 1;
        }
        if self.rows.len() > MAX_LOG_ROWS {
            self.remove_oldest();
            self.dropped += 1;
        }
        if let Some(row) = self.rows.back_mut() {
            row.origins.push(origin);
            row.changed_at = now;
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(row) = self.rows.pop_front() {
            self.expired.insert(row.number);
        }
    }

    fn expire(&mut self, now: MonoMs) {
        while let Some(row) = self.rows.front() {
            if now.since_ms(row.changed_at) < ORIGIN_TTL_MS {
                return;
            }
            self.remove_oldest();
        }
    }

    /// The next transaction, with the newest rows first. It stays due until it is
    /// [committed](OriginLog::committed).
    pub fn changes(&mut self, now: MonoMs) -> LogChanges {
        self.expire(now);
        let mut changes = LogChanges::default();
        for row in self.rows.iter().rev() {
            if changes.puts.len() >= MAX_ROWS_PER_COMMIT {
                break;
            }
            if row.saved == row.origins.len() {
                continue;
            }
            changes.lengths.insert(row.number, row.origins.len());
            let value = row.origins.iter().cloned().collect();
            changes.puts.push((row.number, value));
        }
        let room = MAX_ROWS_PER_COMMIT - changes.puts.len();
        changes.deletes = self.expired.iter().take(room).copied().collect();
        changes
    }

    /// Records that a transaction took effect.
    pub fn committed(&mut self, changes: &LogChanges) {
        for row in &mut self.rows {
            if let Some(length) = changes.lengths.get(&row.number) {
                row.saved = row.saved.max(*length);
            }
        }
        for number in &changes.deletes {
            self.expired.remove(number);
        }
    }

    /// Number of rows that were dropped before their time.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Finds the rows that no instance changes any more, by comparing what is read every
/// [`ORIGIN_TTL_MS`].
#[derive(Debug, Default)]
pub struct StaleRows {
    versions: HashMap<String, u64>,
}

impl StaleRows {
    /// Takes the rows as read now, with their versions. Returns the keys of those that have not changed
    /// since the rows were read before.
    pub fn observe<'a>(&mut self, rows: impl Iterator<Item = (&'a str, u64)>) -> Vec<String> {
        let before = std::mem::take(&mut self.versions);
        let mut stale = Vec::new();
        for (key, version) in rows {
            if before.get(key) == Some(&version) {
                stale.push(key.to_owned());
            }
            self.versions.insert(key.to_owned(), version);
        }
        stale
    }

    /// Whether there were no rows when they were read last.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}
