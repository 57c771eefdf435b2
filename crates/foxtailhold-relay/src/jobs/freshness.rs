//! Leave to act on the copy of the table of jobs.
//!
//! Each act that rests on the copy has a bound: the age up to which the copy may be acted on. An act on
//! an older copy first brings it up to date, with one call for all acts that wait, or is not done.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::act_lease::ActLease;
use foxtailhold::ids::JobId;
use foxtailhold::time::MonoMs;
use foxtailhold_platform::{Feed, ObjectStore, PlatformError, RowStore};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::follow::FeedTiming;
use crate::jobs::cache::CachedJob;
use crate::jobs::{JobError, Jobs, Result};
use crate::tables::FollowedTable;

/// Time without an answer of the change feed after which the whole table is read too.
const READ_HEDGE_DELAY_MS: u64 = 200;
/// Time limit of one attempt to learn whether a job has ended before an item of it starts.
const START_CONFIRM_MS: u64 = 1_000;
/// Time limit of one attempt to bring the copy up to date, far longer than a slow store needs.
const REFRESH_LIMIT_MS: u64 = 5_000;
/// Delay after a failed attempt.
const RETRY_DELAY_MS: u64 = 50;
/// Time without an answer of the store after which other instances are asked too.
const ASK_DELAY_MS: u64 = 250;

/// Ages up to which a copy may be acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActBounds {
    /// For what is told to a caller: that there is no further result, or that a job does not fit.
    pub tell_ms: u64,
    /// For the start of an item.
    pub start_ms: u64,
    /// For the takeover of a job.
    pub take_over_ms: u64,
    /// For what is done because a route is missing: a request denied, or an item given up.
    pub no_route_ms: u64,
}

impl ActBounds {
    /// The bounds where what one instance has shown must be seen at each after `settle_ms`, where items
    /// of an ended job may start for `cancel_ms`, and where the tables are followed with `timing`.
    pub fn new(settle_ms: u64, cancel_ms: u64, timing: &FeedTiming) -> Self {
        ActBounds {
            // The other half is left for the answers on their way.
            tell_ms: settle_ms / 2,
            // The rest is left for the request on its way to the backend server.
            start_ms: cancel_ms - cancel_ms / 5,
            // A slow store is no reason to leave the jobs of a lost owner alone.
            take_over_ms: timing.largest_age_ms(),
            no_route_ms: timing.change_bound_ms,
        }
    }
}

/// Whether an item of a job may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartLeave {
    /// Until the end of a lease.
    Granted(ActLease),
    /// Not before it is known that the job has not ended.
    Unknown,
    /// The job has ended or has another owner.
    Denied,
}

/// Calls of the store that bring the copy up to date, one at a time for all who want one.
#[derive(Debug, Default)]
pub struct Refreshes {
    wanted: Notify,
    /// Number of those that have ended.
    ended: watch::Sender<u64>,
    /// Held while other instances are asked for ends of jobs.
    asking: tokio::sync::Mutex<()>,
}

impl Refreshes {
    fn want(&self) {
        self.wanted.notify_one();
    }

    fn refreshed(&self) -> watch::Receiver<u64> {
        self.ended.subscribe()
    }
}

/// Brings the copy of the table of jobs up to date whenever that is wanted. A call that has begun goes on
/// when whoever wanted it has left: what it brings serves those who come later.
pub async fn refresh_when_wanted<S: RowStore + ObjectStore, D: Dialect>(jobs: Arc<Jobs<S, D>>) {
    loop {
        jobs.refreshes.wanted.notified().await;
        let limit = Duration::from_millis(REFRESH_LIMIT_MS);
        let refreshed = tokio::time::timeout(limit, jobs.refresh()).await;
        let is_refreshed = matches!(refreshed, Ok(Ok(())));
        if !is_refreshed {
            log::debug!("copy of the table of jobs not refreshed: {refreshed:?}");
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
        jobs.refreshes.ended.send_modify(|count| *count += 1);
    }
}

impl<S: RowStore + ObjectStore, D: Dialect> Jobs<S, D> {
    fn now(&self) -> MonoMs {
        self.relay.metrics.tables().clock().mono()
    }

    /// Whether an item of a job may start here now.
    pub(super) fn start_leave(&self, id: &JobId) -> StartLeave {
        if self.owned_version(id).is_none() {
            return StartLeave::Denied;
        }
        match self.lease_to_start() {
            Some(lease) => StartLeave::Granted(lease),
            None => StartLeave::Unknown,
        }
    }

    /// Whether a job of an instance that is down may be taken over now.
    pub(super) fn may_take_over(&self) -> bool {
        let tables = [FollowedTable::Jobs, FollowedTable::Instances];
        let status = self.relay.metrics.tables();
        let bound_ms = self.bounds.take_over_ms;
        let mut are_current = tables
            .map(|table| status.covers_now(table, bound_ms))
            .into_iter();
        are_current.all(|is_current| is_current)
    }

    /// Up to which moment the copy of the routes has every change.
    pub(super) fn routes_as_of(&self) -> Option<MonoMs> {
        let tables = self.relay.metrics.tables();
        tables.as_of(FollowedTable::Routes)
    }

    /// Like [`Jobs::start_leave`], after an attempt to learn whether the job has ended if that is not
    /// known.
    pub(super) async fn leave_to_start(&self, id: &JobId) -> StartLeave {
        let leave = self.start_leave(id);
        if leave != StartLeave::Unknown {
            return leave;
        }
        self.confirm_ends().await;
        self.start_leave(id)
    }

    /// Brings the copy up to date if it is too old to tell a caller what it shows. Fails if that takes
    /// until `deadline`.
    pub(super) async fn ensure_current(&self, deadline: Instant) -> Result<()> {
        let asked_at = self.now();
        let mut refreshed = self.refreshes.refreshed();
        while !self.may_tell(asked_at) {
            self.refreshes.want();
            let ended = tokio::time::timeout_at(deadline, refreshed.changed()).await;
            if !matches!(ended, Ok(Ok(()))) {
                return Err(no_answer("no answer while the caller waits"));
            }
        }
        Ok(())
    }

    /// A job as every instance may have shown it up to now: from the copy, which is brought up to date,
    /// or from its row, whichever is there first. `None` if it has been deleted.
    pub(super) async fn find_current(
        &self,
        id: &JobId,
        deadline: Instant,
    ) -> Result<Option<CachedJob>> {
        let row_delay_ms = match self.is_store_away() {
            true => 0,
            false => READ_HEDGE_DELAY_MS,
        };
        let reading = async {
            tokio::time::sleep(Duration::from_millis(row_delay_ms)).await;
            self.find_in_store(id, deadline).await
        };
        tokio::select! {
            biased;
            Ok(()) = self.ensure_current(deadline) => Ok(self.cache.get(id)),
            found = reading => found,
        }
    }

    /// Whether a caller may be told now what the copy shows.
    pub(super) fn may_tell_now(&self) -> bool {
        self.may_tell(self.now())
    }

    /// Whether the copy may be shown to a caller who asked at `asked_at`.
    fn may_tell(&self, asked_at: MonoMs) -> bool {
        let tables = self.relay.metrics.tables();
        let lease = tables.lease(FollowedTable::Jobs, self.bounds.tell_ms);
        lease.is_some_and(|lease| lease.covers(asked_at))
    }

    /// Tries to learn of all ends of jobs up to now, from the store or from all other instances.
    async fn confirm_ends(&self) {
        let refreshing = async {
            let mut refreshed = self.refreshes.refreshed();
            while self.lease_to_start().is_none() {
                self.refreshes.want();
                if refreshed.changed().await.is_err() {
                    return std::future::pending().await;
                }
            }
        };
        let asking = async {
            // The store knows of ends at instances that are not known here.
            tokio::time::sleep(Duration::from_millis(ASK_DELAY_MS)).await;
            let _turn = self.refreshes.asking.lock().await;
            while self.lease_to_start().is_none() {
                if !self.knows_instances() || !self.relay.peers.ask_ended().await {
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                }
            }
        };
        let limit = Duration::from_millis(START_CONFIRM_MS);
        let confirming = async {
            tokio::select! {
                () = refreshing => {}
                () = asking => {}
            }
        };
        if tokio::time::timeout(limit, confirming).await.is_err() {
            log::debug!("ends of jobs not confirmed within {START_CONFIRM_MS} ms");
        }
    }

    /// Whether the copy of the instances is about as new as that of the jobs, so that all instances that
    /// may have ended a job since are asked.
    fn knows_instances(&self) -> bool {
        let tables = self.relay.metrics.tables();
        let lease = tables.lease(FollowedTable::Instances, self.bounds.take_over_ms);
        let jobs_as_of = tables.as_of(FollowedTable::Jobs).unwrap_or_default();
        lease.is_some_and(|lease| lease.covers(jobs_as_of))
    }

    fn lease_to_start(&self) -> Option<ActLease> {
        let lease = ActLease::new(self.ends_known_as_of()?, self.bounds.start_ms);
        Some(lease).filter(|lease| lease.covers(self.now()))
    }

    /// Up to which moment all acknowledged ends of jobs are known here.
    fn ends_known_as_of(&self) -> Option<MonoMs> {
        let copy_as_of = self.relay.metrics.tables().as_of(FollowedTable::Jobs);
        copy_as_of.max(self.relay.peers.ended().complete_as_of())
    }

    pub(super) fn is_store_away(&self) -> bool {
        let tables = self.relay.metrics.tables();
        tables.outage(FollowedTable::Jobs).is_some()
    }

    /// Brings the copy up to date with one call of the change feed. If that is not answered soon, the
    /// whole table is read beside it.
    async fn refresh(&self) -> Result<()> {
        let hedge_delay_ms = match self.is_store_away() {
            true => 0,
            false => READ_HEDGE_DELAY_MS,
        };
        let reading = async {
            tokio::time::sleep(Duration::from_millis(hedge_delay_ms)).await;
            self.read_all().await
        };
        tokio::pin!(reading);
        tokio::select! {
            is_complete = self.read_changes() => match is_complete {
                true => Ok(()),
                false => reading.await,
            },
            read = &mut reading => read,
        }
    }

    /// Reads the changes since the newest known one. Returns whether the copy has all changes then.
    async fn read_changes(&self) -> bool {
        let tables = self.relay.metrics.tables();
        let (called_at, after) = (self.now(), tables.known_up_to(FollowedTable::Jobs));
        if after == 0 {
            return false;
        }
        match self.store.changes(after).await {
            Ok(Feed::Changed { rows, .. }) => {
                self.cache.put_rows(&rows);
                tables.record_changes(FollowedTable::Jobs, &rows);
                tables.record_current(FollowedTable::Jobs, called_at);
                tables.as_of(FollowedTable::Jobs) >= Some(called_at)
            }
            Ok(Feed::HistoryGone) => false,
            Err(error) => {
                log::debug!("changes of the table of jobs not read: {error}");
                false
            }
        }
    }

    async fn read_all(&self) -> Result<()> {
        let tables = self.relay.metrics.tables();
        let called_at = self.now();
        let announced = tables.newest_announced(FollowedTable::Jobs);
        let snapshot = self.store.read_table().await.map_err(JobError::of_read)?;
        self.cache.replace(&snapshot);
        tables.record_snapshot(FollowedTable::Jobs, &snapshot);
        tables.record_complete(FollowedTable::Jobs, snapshot.version.max(announced));
        tables.record_current(FollowedTable::Jobs, called_at);
        Ok(())
    }
}

fn no_answer(detail: &str) -> JobError {
    JobError::Unavailable(PlatformError::Unavailable {
        service: "row store",
        detail: detail.into(),
    })
}
