//! Accepts batch jobs.

use std::time::Duration;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::outage_return::return_after_ms;
use foxtailhold::routes::{BatchLimits, Route};
use foxtailhold_platform::{Committed, ObjectStore, PlatformError, RowStore, VersionedRow};
use tokio::sync::MutexGuard;
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::jobs::cache::{CachedJob, JOB_PREFIX};
use crate::jobs::owner::next_owner;
use crate::jobs::quota::{QuotaView, parse_quota};
use crate::jobs::store::JOB_ROWS;
use crate::jobs::{Job, JobError, Jobs, NewJob, QuotaRow, Result};
use crate::relay::DEFAULT_RETRY_AFTER_MS;
use crate::tables::FollowedTable;

/// Time limit for an acceptance against those of other instances, well within the time that callers
/// wait.
const ACCEPT_TIMEOUT_MS: u64 = 1_500;
/// Longest delay after a conflict between acceptances; the delay is random.
const MAX_CONFLICT_DELAY_MS: u64 = 20;
/// Time limit for the change feed to deliver the change that won a conflict.
const CATCH_UP_TIMEOUT_MS: u64 = 500;
/// Time for which a commit without a response is looked up; afterwards its outcome counts as
/// unknown.
const LOOKUP_TIMEOUT_MS: u64 = 1_500;
/// Interval between two lookups.
const LOOKUP_INTERVAL_MS: u64 = 150;
/// Changes that an acceptance competes with.
const ACCEPTANCES: &str = "acceptances of the route";
/// Time limit of the read that shows whether the store is back.
const OUTAGE_PROBE_MS: u64 = 80;
/// Items are given up this much later than the contract allows where only the clocks of instances tell
/// the time, which differ by seconds.
const GIVE_UP_MARGIN_MS: u64 = 6_000;
/// The same by the clock of the store, of which an instance is behind by the time of an answer.
const STORE_CLOCK_MARGIN_MS: u64 = 500;
/// The internal deadline of results is this much earlier than the promised one: callers read twice per
/// second, and a commit comes before.
const DUE_MARGIN_MS: u64 = 600;

/// Outcome of submitting a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The job has been stored.
    Created,
    /// The job had been stored before.
    AlreadyAccepted,
}

fn check_quota(
    view: &QuotaView,
    limits: BatchLimits,
    new_tokens: u64,
) -> Result<Option<(u64, QuotaRow)>> {
    let quota_tokens = limits.quota_tokens;
    if quota_tokens == 0 {
        return Ok(None);
    }
    let waiting_tokens = view.max_waiting_tokens();
    if waiting_tokens + new_tokens > quota_tokens {
        let excess_tokens = waiting_tokens + new_tokens - quota_tokens;
        return Err(JobError::OverQuota {
            waiting_tokens,
            new_tokens,
            quota_tokens,
            retry_after_ms: match new_tokens > quota_tokens {
                true => None,
                false => Some(
                    view.drain_ms(excess_tokens)
                        .unwrap_or(DEFAULT_RETRY_AFTER_MS),
                ),
            },
        });
    }
    let row = QuotaRow {
        waiting_tokens: waiting_tokens + new_tokens,
    };
    Ok(Some((view.version, row)))
}

fn is_job(row: &VersionedRow) -> bool {
    row.key.key.starts_with(JOB_PREFIX)
}

impl<S: RowStore + ObjectStore, D: Dialect> Jobs<S, D> {
    /// Accepts a job exactly once, however often it is submitted.
    pub async fn accept(
        &self,
        route: &Route,
        limits: BatchLimits,
        new: &NewJob,
    ) -> Result<AcceptOutcome> {
        let outcome = match self.try_accept(route, limits, new).await {
            // The job may have been accepted elsewhere, or fit since.
            Err(JobError::OverQuota { .. }) if !self.may_tell_now() => {
                let deadline = Instant::now() + self.store_reads_limit();
                self.ensure_current(deadline).await?;
                self.try_accept(route, limits, new).await
            }
            outcome => outcome,
        };
        if outcome.is_err() && self.cache.get(&new.id).is_none() {
            self.store.forget_bodies(&new.id);
        }
        outcome
    }

    async fn try_accept(
        &self,
        route: &Route,
        limits: BatchLimits,
        new: &NewJob,
    ) -> Result<AcceptOutcome> {
        if self.cache.get(&new.id).is_some() {
            return Ok(AcceptOutcome::AlreadyAccepted);
        }
        self.check_store(&new.id).await?;
        let job = self.new_row(route, limits, new);
        self.store.check_size(&new.id, &job)?;
        let new_tokens: u64 = new.items.iter().map(|item| item.tokens).sum();
        check_quota(&self.cache.quota(&route.name), limits, new_tokens)?;
        let bodies = self.store.put_bodies(new).await?;
        // All acceptances with a quota change the same row. One at a time, they only compete with
        // those of other instances.
        let deadline = Instant::now() + Duration::from_millis(ACCEPT_TIMEOUT_MS);
        let _turn = match limits.quota_tokens {
            0 => None,
            _ => Some(self.wait_for_turn(deadline).await?),
        };
        let mut newer: Option<QuotaView> = None;
        while Instant::now() < deadline {
            let quota = self.next_quota(route, limits, new_tokens, newer).await?;
            let accepted = self.store.accept(&new.id, &job, &bodies, quota).await;
            match accepted {
                Ok(Committed::At(version)) => {
                    self.cache.put(&new.id, job, version);
                    return Ok(AcceptOutcome::Created);
                }
                Ok(Committed::Conflict(rows)) => {
                    // The row of the quota reaches the cache only by the change feed, together with
                    // the job that was accepted with it. Without that job the count of waiting
                    // tokens would be too low.
                    for row in rows.iter().filter(|row| is_job(row)) {
                        self.cache.put_row(row);
                    }
                    if self.cache.get(&new.id).is_some() {
                        return Ok(AcceptOutcome::AlreadyAccepted);
                    }
                    newer = rows.iter().find_map(parse_quota);
                    let delay_ms = rand::random_range(0..MAX_CONFLICT_DELAY_MS);
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                }
                Ok(Committed::Refused(detail)) => {
                    self.relay.metrics.row_refused(JOB_ROWS);
                    log::error!(job = new.id.as_str(); "acceptance of the job refused: {detail}");
                    return Err(JobError::refused(detail));
                }
                Err(JobError::Unknown(error)) => {
                    return match self.look_up(&new.id).await {
                        true => Ok(AcceptOutcome::Created),
                        false => Err(JobError::Unknown(error)),
                    };
                }
                Err(error) => return Err(error),
            }
        }
        Err(JobError::Contended {
            changes: ACCEPTANCES,
        })
    }

    /// Refuses a change of a job at once while the store is known to be away, with nothing done. A
    /// commit would end late, and may leave its effect unknown.
    pub(super) async fn check_store(&self, id: &JobId) -> Result<()> {
        let tables = self.relay.metrics.tables();
        let Some(outage) = tables.outage(FollowedTable::Jobs) else {
            return Ok(());
        };
        let limit = Duration::from_millis(OUTAGE_PROBE_MS);
        let detail = match tokio::time::timeout(limit, self.store.read_job(id)).await {
            Ok(Ok(row)) => {
                row.iter().for_each(|row| self.cache.put_row(row));
                return Ok(());
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {OUTAGE_PROBE_MS} ms"),
        };
        Err(JobError::Unavailable(PlatformError::Unavailable {
            service: "row store",
            detail: format!("away for {} ms: {detail}", outage.as_millis()),
        }))
    }

    /// Time after which the caller of a change that the store did not take should come back. `left_ms`:
    /// the time that the caller has left, if it says.
    pub fn return_after_ms(&self, left_ms: Option<u64>) -> u64 {
        let tables = self.relay.metrics.tables();
        let outage = tables.outage(FollowedTable::Jobs).unwrap_or_default();
        return_after_ms(Some(outage.as_millis() as u64), left_ms)
    }

    async fn wait_for_turn(&self, deadline: Instant) -> Result<MutexGuard<'_, ()>> {
        let turn = tokio::time::timeout_at(deadline, self.acceptances.lock()).await;
        turn.map_err(|_| JobError::Contended {
            changes: ACCEPTANCES,
        })
    }

    fn new_row(&self, route: &Route, limits: BatchLimits, new: &NewJob) -> Job {
        let now = self.relay.clock.wall().0;
        let items = new.items.iter();
        Job {
            route: route.name.clone(),
            host: new.host.clone(),
            path: route.prefix.clone(),
            items: items.map(|item| (item.id.clone(), item.tokens)).collect(),
            owner: self.new_owner(&new.id),
            lost_owners: 0,
            listed: Vec::new(),
            long_results: Vec::new(),
            is_ended: false,
            accepted_unix_ms: now,
            due_unix_ms: now + limits.due_ms.saturating_sub(DUE_MARGIN_MS),
            give_up_unix_ms: now + limits.give_up_ms + GIVE_UP_MARGIN_MS,
            give_up_store_ms: self
                .relay
                .metrics
                .store_clock()
                .now_ms()
                .map_or(0, |now_ms| {
                    now_ms + limits.give_up_ms + STORE_CLOCK_MARGIN_MS
                }),
        }
    }

    /// The instance that runs a new job: this one, unless its process is about to end.
    fn new_owner(&self, id: &JobId) -> InstanceId {
        let other = match self.hand_over.is_cancelled() {
            true => next_owner(self, id),
            false => None,
        };
        other.unwrap_or_else(|| self.me().clone())
    }

    /// Returns the version of the quota row that the commit replaces, and the new row. After a
    /// conflict the row that won suffices if the job fits by it; otherwise the job accepted with
    /// that row must be known first.
    async fn next_quota(
        &self,
        route: &Route,
        limits: BatchLimits,
        new_tokens: u64,
        newer: Option<QuotaView>,
    ) -> Result<Option<(u64, QuotaRow)>> {
        let mut view = self.cache.quota(&route.name);
        if let Some(newer) = newer.filter(|newer| newer.version > view.version) {
            if let Ok(quota) = check_quota(&newer, limits, new_tokens) {
                return Ok(quota);
            }
            self.catch_up().await;
            view = self.cache.quota(&route.name);
        }
        check_quota(&view, limits, new_tokens)
    }

    async fn catch_up(&self) {
        let mut changes = self.cache.changes();
        let wait = Duration::from_millis(CATCH_UP_TIMEOUT_MS);
        if tokio::time::timeout(wait, changes.changed()).await.is_err() {
            log::debug!("no job change received within {CATCH_UP_TIMEOUT_MS} ms");
        }
    }

    /// Looks up a job whose commit had no response.
    async fn look_up(&self, id: &JobId) -> bool {
        let deadline = Instant::now() + Duration::from_millis(LOOKUP_TIMEOUT_MS);
        while Instant::now() < deadline {
            if self.cache.get(id).is_some() {
                return true;
            }
            if let Ok(Some(row)) = self.store.read_job(id).await {
                self.cache.put_row(&row);
                return true;
            }
            tokio::time::sleep(Duration::from_millis(LOOKUP_INTERVAL_MS)).await;
        }
        false
    }

    /// Returns a job, read from the store if the change feed has not delivered it yet.
    pub async fn find(&self, id: &JobId) -> Result<Option<CachedJob>> {
        if let Some(cached) = self.cache.get(id) {
            return Ok(Some(cached));
        }
        match self.store.read_job(id).await.map_err(JobError::of_read)? {
            Some(row) => self.read_row(id, &row),
            None => Ok(self.cache.get(id)),
        }
    }
}
