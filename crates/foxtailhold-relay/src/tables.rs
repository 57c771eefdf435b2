//! The tables that every instance follows, and how current this instance's copy of each one is.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold_platform::VersionedRow;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::shared_store::StoreAccess;

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
    confirmed: Option<Confirmation>,
}

/// Status of the followed tables; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct TableStatus {
    states: Arc<Mutex<[TableState; FollowedTable::ALL.len()]>>,
}

impl TableStatus {
    /// Records that the store has answered about a table. Returns the time since it last did.
    pub fn confirm(&self, table: FollowedTable, access: StoreAccess) -> Option<Duration> {
        let at = Instant::now();
        let state = &mut self.states.lock()[table as usize];
        let before = state.confirmed.replace(Confirmation { at, access });
        before.map(|before| at.duration_since(before.at))
    }

    /// Records that rows of a table were applied.
    pub fn record_changes(&self, table: FollowedTable, rows: &[VersionedRow]) {
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        let state = &mut self.states.lock()[table as usize];
        state.newest_change = state.newest_change.max(newest);
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
