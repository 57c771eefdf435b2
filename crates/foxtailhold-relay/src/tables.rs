//! The tables that every instance follows, and how current this instance's copy of each one is.
//!
//! Instances announce the newest change of each table with their heartbeats. An instance whose own
//! feed is late, or leaves out a change, learns of it that way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::act_lease::ActLease;
use foxtailhold::time::MonoMs;
use foxtailhold_http::clock::Clock;
use foxtailhold_http::lock::Mutex;
use foxtailhold_platform::{Snapshot, VersionedRow};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::store_access::StoreAccess;

/// A table of the platform's store that every instance follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowedTable {
    /// The route table.
    Routes,
    /// The backend servers.
    Backends,
    /// The instances and the crash evidence.
    Instances,
    /// The batch jobs.
    Jobs,
}

impl FollowedTable {
    /// All followed tables.
    pub const ALL: [FollowedTable; 4] = [
        FollowedTable::Routes,
        FollowedTable::Backends,
        FollowedTable::Instances,
        FollowedTable::Jobs,
    ];

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FollowedTable::Routes => "routes",
            FollowedTable::Backends => "backends",
            FollowedTable::Instances => "instances",
            FollowedTable::Jobs => "jobs",
        }
    }
}

/// Time for which an instance may lack an announced change that its own feed is about to deliver.
const FEED_LAG_MS: u64 = 200;

/// Version of the newest change of each table that an instance has applied, in the order of
/// [`FollowedTable::ALL`]. It is encoded with bincode.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableVersions([u64; FollowedTable::ALL.len()]);

/// A change that another instance has and this one lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// Version of the change.
    pub version: u64,
    /// Peer address of the instance that has it.
    pub from: SocketAddr,
}

/// Latest answer of the store about a table.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    at: Instant,
    access: StoreAccess,
}

#[derive(Debug, Default)]
struct TableState {
    /// Version of the newest change that was applied.
    newest_change: u64,
    /// No change up to this version is missing.
    complete_up_to: u64,
    newest_announcement: Option<Announcement>,
    /// Every change made before this moment has been applied, as far as the answers of the store tell.
    current_as_of: Option<MonoMs>,
    /// Since when this copy has lacked a change that another instance has.
    missing_since: Option<MonoMs>,
    confirmed: Option<Confirmation>,
    /// Since when the store has not answered, though it was called.
    failing_since: Option<Instant>,
}

impl TableState {
    fn known_up_to(&self) -> u64 {
        self.newest_change.max(self.complete_up_to)
    }

    /// Notes when this copy begins and ceases to lack a change that another instance has.
    fn review_missing(&mut self, now: MonoMs) {
        self.missing_since = match self.missing() {
            Some(_) => self.missing_since.or(Some(now)),
            None => None,
        };
    }

    fn missing(&self) -> Option<Announcement> {
        self.newest_announcement
            .filter(|announcement| announcement.version > self.known_up_to())
    }
}

/// Status of the followed tables; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct TableStatus {
    states: Arc<Mutex<[TableState; FollowedTable::ALL.len()]>>,
    announced: Arc<[Notify; FollowedTable::ALL.len()]>,
    clock: Clock,
}

impl TableStatus {
    /// The clock on which the ages of copies are counted.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Records that the store has answered about a table. Returns the time since it last did.
    pub fn confirm(&self, table: FollowedTable, access: StoreAccess) -> Option<Duration> {
        let at = Instant::now();
        let state = &mut self.states.lock()[table as usize];
        state.failing_since = None;
        let before = state.confirmed.replace(Confirmation { at, access });
        before.map(|before| at.duration_since(before.at))
    }

    /// Records that a call about a table had no answer of the store.
    pub fn record_failure(&self, table: FollowedTable) {
        let state = &mut self.states.lock()[table as usize];
        state.failing_since.get_or_insert_with(Instant::now);
    }

    /// How long the store has been away, as far as the calls about a table show; `None` if the last
    /// one was answered.
    pub fn outage(&self, table: FollowedTable) -> Option<Duration> {
        let since = self.states.lock()[table as usize].failing_since?;
        Some(since.elapsed())
    }

    /// Records that rows of the change feed of a table were applied.
    pub fn record_changes(&self, table: FollowedTable, rows: &[VersionedRow]) {
        let newest = rows.iter().map(|row| row.version).max();
        self.record_newest(table, newest.unwrap_or(0));
    }

    /// Records that a whole table was read and its rows are applied. The pages of a large table are read
    /// one after the other: a row that is newer than the first page may be newer than a change that an
    /// earlier page lacks, and does not count.
    pub fn record_snapshot(&self, table: FollowedTable, snapshot: &Snapshot) {
        let versions = snapshot.rows.iter().map(|row| row.version);
        let newest = versions
            .filter(|version| *version <= snapshot.version)
            .max();
        self.record_newest(table, newest.unwrap_or(0));
    }

    fn record_newest(&self, table: FollowedTable, newest: u64) {
        let state = &mut self.states.lock()[table as usize];
        state.newest_change = state.newest_change.max(newest);
        state.review_missing(self.clock.mono());
    }

    /// Records that no change of a table up to `version` is missing.
    pub fn record_complete(&self, table: FollowedTable, version: u64) {
        let state = &mut self.states.lock()[table as usize];
        state.complete_up_to = state.complete_up_to.max(version);
        state.review_missing(self.clock.mono());
    }

    /// Records that every change of a table made before `as_of` has been applied.
    pub fn record_current(&self, table: FollowedTable, as_of: MonoMs) {
        let state = &mut self.states.lock()[table as usize];
        state.current_as_of = state.current_as_of.max(Some(as_of));
    }

    /// Up to which moment the copy of a table has every change; `None` if it never had.
    pub fn as_of(&self, table: FollowedTable) -> Option<MonoMs> {
        let state = &self.states.lock()[table as usize];
        let as_of = state.current_as_of?;
        Some(state.missing_since.map_or(as_of, |since| as_of.min(since)))
    }

    /// Leave to act on the copy of a table, for acts that allow for changes of the last `bound_ms`;
    /// `None` if the copy was never complete.
    pub fn lease(&self, table: FollowedTable, bound_ms: u64) -> Option<ActLease> {
        Some(ActLease::new(self.as_of(table)?, bound_ms))
    }

    /// Whether the copy of a table may be acted on now.
    pub fn covers_now(&self, table: FollowedTable, bound_ms: u64) -> bool {
        let lease = self.lease(table, bound_ms);
        lease.is_some_and(|lease| lease.covers(self.clock.mono()))
    }

    /// Time since the moment up to which the copy of a table has every change; `None` if it never had.
    pub fn copy_age(&self, table: FollowedTable) -> Option<Duration> {
        let age_ms = self.clock.mono().since_ms(self.as_of(table)?);
        Some(Duration::from_millis(age_ms))
    }

    /// Version up to which no change of a table is known to be missing.
    pub fn known_up_to(&self, table: FollowedTable) -> u64 {
        self.states.lock()[table as usize].known_up_to()
    }

    /// Newest version that another instance has announced; 0 if none has.
    pub fn newest_announced(&self, table: FollowedTable) -> u64 {
        let announcement = self.states.lock()[table as usize].newest_announcement;
        announcement.map_or(0, |announcement| announcement.version)
    }

    /// The versions to announce to other instances.
    pub fn versions(&self) -> TableVersions {
        let states = self.states.lock();
        TableVersions(FollowedTable::ALL.map(|table| states[table as usize].newest_change))
    }

    /// Applies the versions that another instance has announced.
    pub fn apply_announcement(&self, from: SocketAddr, versions: &TableVersions) {
        let mut states = self.states.lock();
        for table in FollowedTable::ALL {
            let (state, version) = (&mut states[table as usize], versions.0[table as usize]);
            let newest = state.newest_announcement;
            if newest.is_some_and(|newest| newest.version > version) {
                continue;
            }
            state.newest_announcement = Some(Announcement { version, from });
            state.review_missing(self.clock.mono());
            if state.missing().is_some() {
                self.announced[table as usize].notify_one();
            }
        }
    }

    fn missing(&self, table: FollowedTable) -> Option<Announcement> {
        self.states.lock()[table as usize].missing()
    }

    /// Waits until another instance has announced a change of a table that does not arrive here.
    /// One task may wait for each table.
    pub async fn wait_until_behind(&self, table: FollowedTable) -> Announcement {
        loop {
            if self.missing(table).is_some() {
                tokio::time::sleep(Duration::from_millis(FEED_LAG_MS)).await;
                if let Some(announcement) = self.missing(table) {
                    return announcement;
                }
            }
            self.announced[table as usize].notified().await;
        }
    }

    /// Version of the newest change of a table that was applied; 0 if none was.
    pub fn newest_change(&self, table: FollowedTable) -> u64 {
        self.states.lock()[table as usize].newest_change
    }

    /// Time since the store last answered about a table, and how the answer came; `None` if it
    /// never did.
    pub fn age(&self, table: FollowedTable) -> Option<(Duration, StoreAccess)> {
        let confirmed = self.states.lock()[table as usize].confirmed?;
        Some((confirmed.at.elapsed(), confirmed.access))
    }
}
