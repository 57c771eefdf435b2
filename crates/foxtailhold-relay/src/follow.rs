//! Follows a table of the platform's store.
//!
//! The table is read in full, then its change feed is followed. Every call has its own time limit,
//! since a connection may go silent without a reset. While calls fail, a patient one is made beside
//! them.

use std::time::Duration;

use foxtailhold::time::MonoMs;
use foxtailhold_http::clock::Clock;
use foxtailhold_platform::{Feed, ObjectStore, PlatformError, RowStore, Snapshot, VersionedRow};
use rand::Rng;
use tokio::time::Instant;

use crate::shared_store::{FeedCall, SharedStore};
use crate::store_access::StoreAccess;
use crate::tables::{Announcement, FollowedTable, TableStatus};

/// Range of the time within which a change has to be in effect. Shorter ones would keep the store
/// busy with calls, longer ones would find a silent connection late.
const CHANGE_BOUND_RANGE_MS: (u64, u64) = (1_000, 6_000);
/// First delay after a failed call.
const MIN_RETRY_DELAY_MS: u64 = 40;
/// Other instances that are called one after the other before a delay.
const PEERS_PER_ROUND: usize = 2;

/// Times of the calls that follow a table. All are parts of the time within which a change has to
/// be in effect: a call that hangs from its start, and one on another connection after it, end
/// within that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTiming {
    /// Time within which a change has to be in effect.
    pub change_bound_ms: u64,
    /// Longest wait of a direct call for changes.
    pub wait_ms: u64,
    /// Longest wait of a call through another instance. It is shorter, because an instance that has
    /// stopped responding only shows by silence.
    pub peer_wait_ms: u64,
    /// Time limit of a call, in addition to its wait.
    pub margin_ms: u64,
    /// Longest time limit of the patient call that is made beside the others while they fail: an answer
    /// has all changes since the last one and may take long on a slow link.
    pub max_margin_ms: u64,
    /// Longest delay after a failed call.
    pub max_retry_delay_ms: u64,
}

impl FeedTiming {
    /// The times for changes that have to be in effect within `change_bound_ms`.
    pub fn new(change_bound_ms: u64) -> Self {
        let (min_ms, max_ms) = CHANGE_BOUND_RANGE_MS;
        let bound_ms = change_bound_ms.clamp(min_ms, max_ms);
        FeedTiming {
            change_bound_ms: bound_ms,
            wait_ms: bound_ms / 2,
            peer_wait_ms: bound_ms * 3 / 10,
            margin_ms: bound_ms / 5,
            max_margin_ms: bound_ms * 3,
            max_retry_delay_ms: bound_ms * 2 / 5,
        }
    }

    /// Largest age of a copy while each direct call is answered within its time limit: the copy has what
    /// was there when the last answered call began.
    pub fn largest_age_ms(&self) -> u64 {
        2 * (self.wait_ms + self.margin_ms)
    }

    /// Longest time from the start of a direct call that hangs to the end of the next call.
    pub fn longest_gap_ms(&self) -> u64 {
        self.wait_ms + 2 * self.margin_ms
    }
}

/// Consumer of the rows of one table.
pub trait TableSink: Send {
    /// Applies the complete table.
    fn replace(&mut self, snapshot: Snapshot);
    /// Applies changed rows in order.
    fn change(&mut self, rows: Vec<VersionedRow>);
    /// Called after every store call; `is_ok` is `false` if it failed.
    fn call_ended(&mut self, is_ok: bool);
    /// Called when all changes that an answer of the store covers have been applied.
    fn caught_up(&mut self) {}
    /// Delay after a batch of changes, so that several are read with one call.
    fn batch_delay_ms(&self) -> u64 {
        0
    }
}

/// A table to follow.
#[derive(Debug, Clone)]
pub struct TableSource {
    /// The table.
    pub table: FollowedTable,
    /// Its name in the store.
    pub name: &'static str,
    /// Times of the calls.
    pub timing: FeedTiming,
    /// Status of all followed tables.
    pub status: TableStatus,
}

/// Follows one table into a sink.
struct Follower<S, K> {
    store: SharedStore<S>,
    source: TableSource,
    sink: K,
    direct_retries: RetrySchedule,
}

/// What ends a wait for changes.
enum FeedEvent {
    /// The store answered, on this path, a call made at this moment.
    Answered(Feed, StoreAccess, MonoMs),
    /// The direct call failed.
    Failed(PlatformError),
    /// Another instance has a change that does not arrive here.
    Behind(Announcement),
}

/// When the next call on a failing path is due. It outlives the wait for that call, which ends when
/// another path answers.
#[derive(Debug)]
struct RetrySchedule {
    next_at: Instant,
    delay_ms: u64,
    max_delay_ms: u64,
}

impl RetrySchedule {
    /// A schedule whose first call is due now.
    fn new(timing: &FeedTiming) -> Self {
        RetrySchedule {
            next_at: Instant::now(),
            delay_ms: MIN_RETRY_DELAY_MS,
            max_delay_ms: timing.max_retry_delay_ms,
        }
    }

    /// Waits until the next call is due and schedules the one after it, with jitter, so that
    /// instances do not retry in step.
    async fn wait(&mut self) {
        tokio::time::sleep_until(self.next_at).await;
        let jittered_ms = rand::rng().random_range(self.delay_ms / 2..=self.delay_ms);
        self.next_at = Instant::now() + Duration::from_millis(jittered_ms);
        self.delay_ms = self.max_delay_ms.min(self.delay_ms * 2);
    }
}

/// Follows a table until the task is aborted.
pub async fn follow<S: RowStore + ObjectStore, K: TableSink>(
    store: SharedStore<S>,
    source: TableSource,
    sink: K,
) {
    let (table, name, timing) = (source.table, source.name, source.timing);
    let status = source.status.clone();
    let mut follower = Follower {
        store,
        source,
        sink,
        direct_retries: RetrySchedule::new(&timing),
    };
    let mut retries = RetrySchedule::new(&timing);
    loop {
        retries.wait().await;
        // A read that begins now covers every change that has been announced.
        let announced = status.newest_announced(table);
        let called_at = status.clock().mono();
        match follower.store.read_table(name).await {
            Ok((snapshot, access)) => {
                retries = RetrySchedule::new(&timing);
                let complete_up_to = snapshot.version.max(announced);
                let version = snapshot.version;
                follower.confirm(access);
                log::info!(table = name, version = version, rows = snapshot.rows.len(); "table read");
                status.record_snapshot(table, &snapshot);
                follower.sink.replace(snapshot);
                follower.sink.caught_up();
                status.record_complete(table, complete_up_to);
                status.record_current(table, called_at);
                follower.follow_changes(version).await;
            }
            Err(error) => {
                follower.fail();
                log::warn!(table = name, error = error.to_string().as_str(); "table not read, retrying");
            }
        }
    }
}

impl<S: RowStore + ObjectStore, K: TableSink> Follower<S, K> {
    fn fail(&mut self) {
        self.sink.call_ended(false);
        self.source.status.record_failure(self.source.table);
    }

    fn confirm(&mut self, access: StoreAccess) {
        self.sink.call_ended(true);
        let Some(gap) = self.source.status.confirm(self.source.table, access) else {
            return;
        };
        let gap_ms = gap.as_millis() as u64;
        if gap_ms >= self.source.timing.change_bound_ms {
            log::warn!(table = self.source.name, gap_ms = gap_ms, access:% = access; "table confirmed late");
        }
    }

    /// Follows the change feed until the whole table has to be read: its history no longer reaches
    /// back, or it has left out a change.
    async fn follow_changes(&mut self, mut after: u64) {
        let name = self.source.name;
        let mut is_direct = true;
        let mut missing: Option<Announcement> = None;
        loop {
            let event = match is_direct {
                true => self.follow_until_behind(after).await,
                false => self.follow_on_all_paths(after).await,
            };
            let (feed, access, called_at) = match event {
                FeedEvent::Answered(feed, access, called_at) => (feed, access, called_at),
                FeedEvent::Failed(error) => {
                    log::warn!(
                        table = name, version = after, error = error.to_string().as_str();
                        "change feed failed, trying all paths to the store"
                    );
                    self.fail();
                    is_direct = false;
                    continue;
                }
                FeedEvent::Behind(announcement) => {
                    after = self.known_up_to();
                    log::info!(
                        table = name, version = after, announced = announcement.version,
                        from:% = announcement.from; "behind another instance, trying all paths to the store"
                    );
                    missing = Some(announcement);
                    is_direct = false;
                    continue;
                }
            };
            if !is_direct && access == StoreAccess::Direct {
                log::info!(table = name, version = after; "change feed answers again");
                self.direct_retries = self.new_retry_schedule();
                is_direct = true;
            }
            self.confirm(access);
            let Feed::Changed { rows, version } = feed else {
                log::info!(table = name, version = after; "change feed no longer covers this version, reading the whole table");
                return;
            };
            after = after.max(version);
            let has_changes = !rows.is_empty();
            if has_changes {
                self.source.status.record_changes(self.source.table, &rows);
                self.sink.change(rows);
            }
            self.source
                .status
                .record_current(self.source.table, called_at);
            if has_changes {
                let delay = Duration::from_millis(self.sink.batch_delay_ms());
                tokio::time::sleep(delay).await;
            }
            let is_missing = |announced: Announcement| announced.version > self.known_up_to();
            if missing.take().is_some_and(is_missing) {
                log::warn!(table = name, version = after; "change feed left out a change, reading the whole table");
                return;
            }
            self.sink.caught_up();
        }
    }

    fn known_up_to(&self) -> u64 {
        self.source.status.known_up_to(self.source.table)
    }

    fn new_retry_schedule(&self) -> RetrySchedule {
        RetrySchedule::new(&self.source.timing)
    }

    /// Follows the feed directly, unless another instance has a change that does not arrive here.
    async fn follow_until_behind(&self, after: u64) -> FeedEvent {
        let call = self.feed_call(after, self.source.timing.wait_ms);
        let called_at = self.source.status.clock().mono();
        tokio::select! {
            answer = self.store.follow_by(StoreAccess::Direct, &call) => match answer {
                Ok(feed) => FeedEvent::Answered(feed, StoreAccess::Direct, called_at),
                Err(error) => FeedEvent::Failed(error),
            },
            announcement = self.source.status.wait_until_behind(self.source.table) => {
                FeedEvent::Behind(announcement)
            }
        }
    }

    fn feed_call(&self, after: u64, wait_ms: u64) -> FeedCall<'static> {
        FeedCall {
            table: self.source.name,
            after,
            wait_ms,
            margin_ms: self.source.timing.margin_ms,
        }
    }

    /// Calls the store directly, through random instances, and through one that has a change which
    /// this one lacks, side by side and each until it is answered. The first answer counts.
    async fn follow_on_all_paths(&mut self, after: u64) -> FeedEvent {
        // Without a wait for changes, an answer shows at once that the store is reachable.
        let call = self.feed_call(after, 0);
        let peer_call = self.feed_call(after, self.source.timing.peer_wait_ms);
        let (peer_retries, holder_retries) = (self.new_retry_schedule(), self.new_retry_schedule());
        let (store, source) = (&self.store, &self.source);
        let clock = source.status.clock();
        let (feed, access, called_at) = tokio::select! {
            answered = retry_directly(store, &call, &mut self.direct_retries, clock) => answered,
            answered = retry_patiently(store, &call, source) => answered,
            answered = retry_through_peers(store, &peer_call, peer_retries, clock) => answered,
            answered = retry_through_holder(store, &call, holder_retries, source) => answered,
        };
        FeedEvent::Answered(feed, access, called_at)
    }
}

async fn retry_directly<S: RowStore + ObjectStore>(
    store: &SharedStore<S>,
    call: &FeedCall<'_>,
    retries: &mut RetrySchedule,
    clock: Clock,
) -> (Feed, StoreAccess, MonoMs) {
    loop {
        retries.wait().await;
        let called_at = clock.mono();
        match store.follow_by(StoreAccess::Direct, call).await {
            Ok(feed) => return (feed, StoreAccess::Direct, called_at),
            Err(error) => log::debug!("change feed of {} failed directly: {error}", call.table),
        }
    }
}

/// Calls the store directly with a time limit that doubles. The calls with the usual limit go on
/// meanwhile, since a call whose answer was lost gets none however long it waits.
async fn retry_patiently<S: RowStore + ObjectStore>(
    store: &SharedStore<S>,
    call: &FeedCall<'_>,
    source: &TableSource,
) -> (Feed, StoreAccess, MonoMs) {
    let (timing, clock) = (&source.timing, source.status.clock());
    let mut margin_ms = timing.margin_ms;
    loop {
        // Where the usual limit suffices, the other calls have an answer by then.
        tokio::time::sleep(Duration::from_millis(timing.margin_ms)).await;
        margin_ms = timing.max_margin_ms.min(margin_ms * 2);
        let call = FeedCall { margin_ms, ..*call };
        let called_at = clock.mono();
        match store.follow_by(StoreAccess::Direct, &call).await {
            Ok(feed) => return (feed, StoreAccess::Direct, called_at),
            Err(error) => log::debug!("patient call of {} failed: {error}", call.table),
        }
    }
}

async fn retry_through_peers<S: RowStore + ObjectStore>(
    store: &SharedStore<S>,
    call: &FeedCall<'_>,
    mut retries: RetrySchedule,
    clock: Clock,
) -> (Feed, StoreAccess, MonoMs) {
    loop {
        retries.wait().await;
        for address in store.random_peers(PEERS_PER_ROUND) {
            let (access, called_at) = (StoreAccess::Peer(address), clock.mono());
            match store.follow_by(access, call).await {
                Ok(feed) => return (feed, access, called_at),
                Err(error) => log::debug!("change feed of {} failed {access}: {error}", call.table),
            }
        }
    }
}

/// Calls the store through the instance that holds a change which this one lacks.
async fn retry_through_holder<S: RowStore + ObjectStore>(
    store: &SharedStore<S>,
    call: &FeedCall<'_>,
    mut retries: RetrySchedule,
    source: &TableSource,
) -> (Feed, StoreAccess, MonoMs) {
    loop {
        let announcement = source.status.wait_until_behind(source.table).await;
        retries.wait().await;
        let access = StoreAccess::Peer(announcement.from);
        let called_at = source.status.clock().mono();
        match store.follow_by(access, call).await {
            Ok(feed) => return (feed, access, called_at),
            Err(error) => log::debug!("change feed of {} failed {access}: {error}", call.table),
        }
    }
}
