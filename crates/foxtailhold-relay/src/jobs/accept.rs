//! Taking in jobs, and ending them.

use std::time::Duration;

use foxtailhold::ids::JobId;
use foxtailhold::routes::{BatchLimits, Route};
use foxtailhold_platform::{Committed, ObjectStore, PlatformError, RowStore, VersionedRow};
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::jobs::cache::{JOB_PREFIX, KnownJob, QuotaView, quota_view};
use crate::jobs::{Job, JobError, Jobs, NewJob, QuotaRow, Result};

/// Tries against others that change the same rows.
const TRIES: u32 = 8;
/// Time for the feed to bring the change that won.
const CATCH_UP_MS: u64 = 500;
/// A commit without an answer is looked for so long; later it counts as not known.
const SETTLE_MS: u64 = 1_500;
/// Pause between two looks.
const LOOK_MS: u64 = 150;
/// Items are given up this much later than allowed, for clocks that differ by seconds between instances.
const GIVE_UP_MARGIN_MS: u64 = 6_000;
/// Results are due this much earlier inside, for the last commit and the caller's next read.
const DUE_MARGIN_MS: u64 = 300;

/// What became of a job that was handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// It is kept from now on.
    Created,
    /// It was kept before.
    AlreadyAccepted,
}

fn check_quota(
    view: &QuotaView,
    bounds: BatchLimits,
    new_tokens: u64,
) -> Result<Option<(u64, QuotaRow)>> {
    let quota_tokens = bounds.quota_tokens;
    if quota_tokens == 0 {
        return Ok(None);
    }
    let waiting_tokens = view.most_waiting_tokens();
    if waiting_tokens + new_tokens > quota_tokens {
        return Err(JobError::OverQuota {
            waiting_tokens,
            new_tokens,
            quota_tokens,
        });
    }
    let row = QuotaRow {
        waiting_tokens: waiting_tokens + new_tokens,
    };
    Ok(Some((view.version, row)))
}

fn others_came_first(what: &str) -> JobError {
    JobError::Unavailable(PlatformError::Unavailable {
        service: "row store",
        detail: format!("other {what} came first each time"),
    })
}

fn is_job(row: &VersionedRow) -> bool {
    row.key.key.starts_with(JOB_PREFIX)
}

impl<S: RowStore + ObjectStore, D: Dialect> Jobs<S, D> {
    /// Takes in a job, once, however often it is handed in.
    pub async fn accept(
        &self,
        route: &Route,
        bounds: BatchLimits,
        new: &NewJob,
    ) -> Result<AcceptOutcome> {
        if self.book.get(&new.id).is_some() {
            return Ok(AcceptOutcome::AlreadyAccepted);
        }
        let new_tokens: u64 = new.items.iter().map(|item| item.tokens).sum();
        check_quota(&self.book.quota(&route.name), bounds, new_tokens)?;
        let bodies = self.store.put_bodies(new).await?;
        let job = self.row(route, bounds, new);
        let mut newer: Option<QuotaView> = None;
        for _ in 0..TRIES {
            let quota = self.quota_for(route, bounds, new_tokens, newer).await?;
            let accepted = self.store.accept(&new.id, &job, &bodies, quota).await;
            match accepted {
                Ok(Committed::At(version)) => {
                    self.book.put(&new.id, job, version);
                    return Ok(AcceptOutcome::Created);
                }
                Ok(Committed::Conflict(rows)) => {
                    // The quota's row goes into the book by the feed only, together with the job
                    // that was accepted with it: ahead of that job the count would be too low.
                    for row in rows.iter().filter(|row| is_job(row)) {
                        self.book.put_row(row);
                    }
                    if self.book.get(&new.id).is_some() {
                        return Ok(AcceptOutcome::AlreadyAccepted);
                    }
                    newer = rows.iter().find_map(quota_view);
                }
                Err(JobError::Unknown(error)) => {
                    return match self.look_for(&new.id).await {
                        true => Ok(AcceptOutcome::Created),
                        false => Err(JobError::Unknown(error)),
                    };
                }
                Err(error) => return Err(error),
            }
        }
        Err(others_came_first("acceptances of the route"))
    }

    fn row(&self, route: &Route, bounds: BatchLimits, new: &NewJob) -> Job {
        let now = self.relay.clock.wall().0;
        let items = new.items.iter();
        Job {
            route: route.name.clone(),
            host: new.host.clone(),
            path: route.prefix.clone(),
            items: items.map(|item| (item.id.clone(), item.tokens)).collect(),
            owner: self.me().clone(),
            lost_owners: 0,
            listed: Vec::new(),
            is_ended: false,
            accepted_unix_ms: now,
            due_unix_ms: now + bounds.due_ms.saturating_sub(DUE_MARGIN_MS),
            give_up_unix_ms: now + bounds.give_up_ms + GIVE_UP_MARGIN_MS,
        }
    }

    /// The row that the commit replaces and the new one. Where another acceptance came first, its row
    /// tells enough as long as the job fits by it; else the job that came with it must be known.
    async fn quota_for(
        &self,
        route: &Route,
        bounds: BatchLimits,
        new_tokens: u64,
        newer: Option<QuotaView>,
    ) -> Result<Option<(u64, QuotaRow)>> {
        let mut view = self.book.quota(&route.name);
        if let Some(newer) = newer.filter(|newer| newer.version > view.version) {
            if let Ok(quota) = check_quota(&newer, bounds, new_tokens) {
                return Ok(quota);
            }
            self.catch_up().await;
            view = self.book.quota(&route.name);
        }
        check_quota(&view, bounds, new_tokens)
    }

    async fn catch_up(&self) {
        let mut changes = self.book.changes();
        let wait = Duration::from_millis(CATCH_UP_MS);
        if tokio::time::timeout(wait, changes.changed()).await.is_err() {
            log::debug!("no change of jobs came within {CATCH_UP_MS} ms");
        }
    }

    /// Looks for a job whose commit had no answer.
    async fn look_for(&self, id: &JobId) -> bool {
        let until = Instant::now() + Duration::from_millis(SETTLE_MS);
        while Instant::now() < until {
            if self.book.get(id).is_some() {
                return true;
            }
            if let Ok(Some(row)) = self.store.read_job(id).await {
                self.book.put_row(&row);
                return true;
            }
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        false
    }

    /// A job, read from the store where the feed has not brought it yet.
    pub async fn find(&self, id: &JobId) -> Result<Option<KnownJob>> {
        if let Some(known) = self.book.get(id) {
            return Ok(Some(known));
        }
        if let Some(row) = self.store.read_job(id).await? {
            self.book.put_row(&row);
        }
        Ok(self.book.get(id))
    }

    /// Ends a job; what is listed stays.
    pub async fn end(&self, id: &JobId) -> Result<()> {
        for _ in 0..TRIES {
            let Some(known) = self.find(id).await? else {
                return Err(JobError::NotFound);
            };
            if known.job.is_ended {
                return Ok(());
            }
            let ended = Job {
                is_ended: true,
                ..Job::clone(&known.job)
            };
            match self.store.update(id, &ended, known.version, 0, &[]).await {
                Ok(Committed::At(version)) => {
                    self.book.put(id, ended, version);
                    log::info!(job = id.as_str(), listed = known.job.listed.len(); "job ended");
                    return Ok(());
                }
                Ok(Committed::Conflict(rows)) => {
                    for row in &rows {
                        self.book.put_row(row);
                    }
                }
                // Ending is idempotent: the next try, or the caller's, finds out.
                Err(error) => return Err(error),
            }
        }
        Err(others_came_first("changes of the job"))
    }
}
