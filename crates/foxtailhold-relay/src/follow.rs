//! Follows a table of the platform's store.
//!
//! The table is read in full, then its change feed is followed. Every call has its own time limit,
//! since a connection may go silent without a reset.

use std::time::Duration;

use foxtailhold_platform::{Feed, ObjectStore, Result, RowStore, Snapshot, VersionedRow};
use rand::Rng;
use tokio::time::Instant;

use crate::shared_store::{FeedCall, SharedStore};
use crate::store_access::StoreAccess;
use crate::tables::{Announcement, FollowedTable, TableStatus};

/// Longest wait of one direct call for changes, and its time limit beyond that. A silent connection
/// must be noticed, and the change read on another one, within the time in which a change has to be
/// in effect.
const FEED_WAIT_AND_MARGIN_MS: (u64, u64) = (1_000, 400);
/// The same for a call through another instance, which may have stopped responding. It is shorter,
/// so that the next one is soon tried.
const PEER_FEED_WAIT_AND_MARGIN_MS: (u64, u64) = (600, 400);
/// First and longest delay after a failed call.
const RETRY_DELAY_MS: (u64, u64) = (40, 800);
/// A table that the store has not answered about for this time is reported when it does.
const LATE_CONFIRMATION_MS: u64 = 2_000;

/// Consumer of the rows of one table.
pub trait TableSink: Send {
    /// Applies the complete table.
    fn replace(&mut self, snapshot: Snapshot);
    /// Applies changed rows in order.
    fn change(&mut self, rows: Vec<VersionedRow>);
    /// Called after every store call; `is_ok` is `false` if it failed.
    fn call_ended(&mut self, is_ok: bool);
    /// Delay after a batch of changes, so that several are read with one call.
    fn batch_delay_ms(&self) -> u64 {
        0
    }
}

/// A table to follow and where it is stored.
#[derive(Debug, Clone, Copy)]
pub struct TableSource {
    /// The table.
    pub table: FollowedTable,
    /// Its name in the store.
    pub name: &'static str,
}

/// Follows one table into a sink.
struct Follower<S, K> {
    store: SharedStore<S>,
    source: TableSource,
    status: TableStatus,
    sink: K,
    direct_retries: RetrySchedule,
}

/// When the next call on a failing way is due. It outlives the wait for that call, which ends when
/// another way answers.
#[derive(Debug)]
struct RetrySchedule {
    next_at: Instant,
    delay_ms: u64,
}

impl Default for RetrySchedule {
    fn default() -> Self {
        RetrySchedule {
            next_at: Instant::now(),
            delay_ms: RETRY_DELAY_MS.0,
        }
    }
}

impl RetrySchedule {
    /// Waits until the next call is due and schedules the one after it, with jitter, so that
    /// instances do not retry in step.
    async fn wait(&mut self) {
        tokio::time::sleep_until(self.next_at).await;
        let jittered_ms = rand::rng().random_range(self.delay_ms / 2..=self.delay_ms);
        self.next_at = Instant::now() + Duration::from_millis(jittered_ms);
        self.delay_ms = RETRY_DELAY_MS.1.min(self.delay_ms * 2);
    }
}

/// Follows a table until the task is aborted.
pub async fn follow<S: RowStore + ObjectStore, K: TableSink>(
    store: SharedStore<S>,
    source: TableSource,
    status: TableStatus,
    sink: K,
) {
    let mut follower = Follower {
        store,
        source,
        status,
        sink,
        direct_retries: RetrySchedule::default(),
    };
    let mut retries = RetrySchedule::default();
    loop {
        retries.wait().await;
        // A read that begins now covers every change that has been announced.
        let announced = follower.status.newest_announced(source.table);
        match follower.store.read_table(source.name).await {
            Ok((snapshot, access)) => {
                retries = RetrySchedule::default();
                let complete_up_to = snapshot.version.max(announced);
                let version = snapshot.version;
                follower.confirm(access);
                log::info!(table = source.name, version = version, rows = snapshot.rows.len(); "table read");
                follower.status.record_changes(source.table, &snapshot.rows);
                follower.sink.replace(snapshot);
                follower
                    .status
                    .record_complete(source.table, complete_up_to);
                follower.follow_changes(version).await;
            }
            Err(error) => {
                follower.sink.call_ended(false);
                log::warn!(table = source.name, error = error.to_string().as_str(); "table not read, retrying");
            }
        }
    }
}

impl<S: RowStore + ObjectStore, K: TableSink> Follower<S, K> {
    fn confirm(&mut self, access: StoreAccess) {
        self.sink.call_ended(true);
        let Some(gap) = self.status.confirm(self.source.table, access) else {
            return;
        };
        let gap_ms = gap.as_millis() as u64;
        if gap_ms >= LATE_CONFIRMATION_MS {
            log::warn!(table = self.source.name, gap_ms = gap_ms, access:% = access; "table confirmed late");
        }
    }

    /// Follows the change feed until the whole table has to be read: its history no longer reaches
    /// back, or it has left out a change.
    async fn follow_changes(&mut self, mut after: u64) {
        let table = self.source.table;
        let name = self.source.name;
        let mut is_direct = true;
        let mut missing: Option<Announcement> = None;
        loop {
            let (feed, access) = match is_direct {
                true => match self.follow_until_behind(after).await {
                    Ok(Ok(feed)) => (feed, StoreAccess::Direct),
                    Ok(Err(error)) => {
                        log::warn!(
                            table = name, version = after, error = error.to_string().as_str();
                            "change feed failed, trying all ways to the store"
                        );
                        self.sink.call_ended(false);
                        is_direct = false;
                        continue;
                    }
                    Err(announcement) => {
                        after = self.status.known_up_to(table);
                        log::info!(
                            table = name, version = after, announced = announcement.version,
                            from:% = announcement.from; "behind another instance, trying all ways to the store"
                        );
                        missing = Some(announcement);
                        is_direct = false;
                        continue;
                    }
                },
                false => {
                    let answered = self.follow_on_all_ways(after).await;
                    is_direct = answered.1 == StoreAccess::Direct;
                    if is_direct {
                        log::info!(table = name, version = after; "change feed answers again");
                    }
                    answered
                }
            };
            self.confirm(access);
            let Feed::Changed { rows, version } = feed else {
                log::info!(table = name, version = after; "change feed no longer covers this version, reading the whole table");
                return;
            };
            after = after.max(version);
            if !rows.is_empty() {
                self.status.record_changes(table, &rows);
                self.sink.change(rows);
                tokio::time::sleep(Duration::from_millis(self.sink.batch_delay_ms())).await;
            }
            let is_missing =
                |announcement: Announcement| announcement.version > self.status.known_up_to(table);
            if missing.take().is_some_and(is_missing) {
                log::warn!(table = name, version = after; "change feed left out a change, reading the whole table");
                return;
            }
        }
    }

    /// Follows the feed directly, unless another instance has a change that does not arrive here.
    async fn follow_until_behind(
        &self,
        after: u64,
    ) -> std::result::Result<Result<Feed>, Announcement> {
        tokio::select! {
            feed = self.follow_directly(after) => Ok(feed),
            announcement = self.status.wait_until_behind(self.source.table) => Err(announcement),
        }
    }

    async fn follow_directly(&self, after: u64) -> Result<Feed> {
        let (wait_ms, margin_ms) = FEED_WAIT_AND_MARGIN_MS;
        let call = FeedCall {
            table: self.source.name,
            after,
            wait_ms,
            margin_ms,
        };
        self.store.follow_by(StoreAccess::Direct, &call).await
    }

    /// Calls the store directly, through random instances, and through one that has a change which
    /// this one lacks, side by side and each until it is answered. The first answer counts.
    async fn follow_on_all_ways(&mut self, after: u64) -> (Feed, StoreAccess) {
        let (store, source) = (&self.store, self.source);
        let answered = tokio::select! {
            feed = retry_directly(store, source.name, after, &mut self.direct_retries) => {
                (feed, StoreAccess::Direct)
            }
            answered = retry_through_peers(store, source.name, after) => answered,
            answered = retry_through_announcer(store, source, &self.status, after) => answered,
        };
        if answered.1 == StoreAccess::Direct {
            self.direct_retries = RetrySchedule::default();
        }
        answered
    }
}

/// Calls the store without a wait for changes, so that an answer shows at once that it is
/// reachable.
async fn retry_directly<S: RowStore + ObjectStore>(
    store: &SharedStore<S>,
    table: &str,
    after: u64,
    retries: &mut RetrySchedule,
) -> Feed {
    let call = FeedCall {
        table,
        after,
        wait_ms: 0,
        margin_ms: FEED_WAIT_AND_MARGIN_MS.1,
    };
    loop {
        retries.wait().await;
        match store.follow_by(StoreAccess::Direct, &call).await {
            Ok(feed) => return feed,
            Err(error) => log::debug!("change feed of {table} failed again: {error}"),
        }
    }
}

async fn retry_through_peers<S: RowStore + ObjectStore>(
    store: &SharedStore<S>,
    table: &str,
    after: u64,
) -> (Feed, StoreAccess) {
    let (wait_ms, margin_ms) = PEER_FEED_WAIT_AND_MARGIN_MS;
    let call = FeedCall {
        table,
        after,
        wait_ms,
        margin_ms,
    };
    let mut retries = RetrySchedule::default();
    loop {
        retries.wait().await;
        for address in store.random_peers(1) {
            let access = StoreAccess::Peer(address);
            match store.follow_by(access, &call).await {
                Ok(feed) => return (feed, access),
                Err(error) => log::debug!("change feed of {table} failed {access}: {error}"),
            }
        }
    }
}

/// Calls the store through the instance that has announced a change which this one lacks.
async fn retry_through_announcer<S: RowStore + ObjectStore>(
    store: &SharedStore<S>,
    source: TableSource,
    status: &TableStatus,
    after: u64,
) -> (Feed, StoreAccess) {
    let call = FeedCall {
        table: source.name,
        after,
        wait_ms: 0,
        margin_ms: PEER_FEED_WAIT_AND_MARGIN_MS.1,
    };
    let mut retries = RetrySchedule::default();
    loop {
        let announcement = status.wait_until_behind(source.table).await;
        retries.wait().await;
        let access = StoreAccess::Peer(announcement.from);
        match store.follow_by(access, &call).await {
            Ok(feed) => return (feed, access),
            Err(error) => log::debug!("change feed of {} failed {access}: {error}", source.name),
        }
    }
}
