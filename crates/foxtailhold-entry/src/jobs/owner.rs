//! Ownership of batch jobs: claiming, releasing and cancelling them.

use std::time::Duration;

use foxtailhold::batch::cancel::{CancelPlan, CancelTransaction, CancellingJob};
use foxtailhold::batch::claim::{self, Claim, ClaimView, OwnedJob, WatchedLeases};
use foxtailhold::batch::finish::{FinishResult, FinishTransaction};
use foxtailhold::batch::transaction::Versioned;
use foxtailhold::batch::{ChunkRow, JobCounts, JobRow, OwnerRow};
use foxtailhold::ids::{CustomerId, InstanceId, JobId};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::{KeyedRow, Platform, Result, TableService};

use crate::jobs::store::{self, Backoff};
use crate::messages::JobsMessage;
use crate::shared::Shared;
use crate::tables;

/// Maximum wait for a job's owner to stop the job's items.
pub const STOP_TIMEOUT_MS: u64 = 3_000;
/// Attempts at a write whose outcome is unknown because its answer was lost. Small, because a
/// caller waits meanwhile.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Reads all rows of table `name` whose keys start with `prefix`, page by page.
pub async fn scan_all<T: TableService>(
    table: &T,
    name: &str,
    prefix: &str,
) -> Result<Vec<KeyedRow>> {
    let mut rows: Vec<KeyedRow> = Vec::new();
    loop {
        let after = rows.last().map_or("", |row| row.key.as_str()).to_owned();
        let page = table.scan(name, prefix, &after, tables::PAGE).await?;
        let last = page.len() < tables::PAGE;
        rows.extend(page);
        if last {
            return Ok(rows);
        }
    }
}

/// Reads the committed chunks of a job with their indices, in ascending order.
pub async fn finished_chunks<T: TableService>(
    table: &T,
    job: &JobId,
) -> Result<Vec<(u32, ChunkRow)>> {
    let prefix = format!("{job}/");
    let mut chunks = Vec::new();
    for keyed in scan_all(table, tables::CHUNK, &prefix).await? {
        let index = keyed.key.strip_prefix(&prefix);
        let Some(index) = index.and_then(|text| text.parse().ok()) else {
            continue;
        };
        chunks.push((index, keyed.row.read()?));
    }
    Ok(chunks)
}

/// Sums the item counts of the job's committed chunks.
pub async fn counts<T: TableService>(table: &T, job: &JobId) -> Result<JobCounts> {
    let mut counts = JobCounts::default();
    for (_, chunk) in finished_chunks(table, job).await? {
        counts.add(&chunk);
    }
    Ok(counts)
}

async fn read_claim_view<P: Platform>(
    shared: &Shared<P>,
    key: &str,
    job: &JobId,
) -> Result<ClaimView> {
    let mut view = ClaimView {
        job: store::read(shared, tables::JOB, key).await?,
        owner: store::read(shared, tables::OWNER, job.as_str()).await?,
        ..ClaimView::default()
    };
    let me = &shared.settings.instance;
    if let Some(holder) = claim::other_owner(me, view.owner.as_ref()).cloned() {
        view.sent_at = shared.clock.mono();
        view.owner_lease = store::read(shared, tables::LEASE, tables::lease_key(&holder)).await?;
        view.received_at = shared.clock.mono();
    }
    Ok(view)
}

/// Claims a job that has no owner, whose owner's lease has ended, or that an earlier process of
/// this instance owned. Returns the job and when the claim was sent, or `None` if another instance
/// owns it or this instance holds no lease.
pub async fn claim<P: Platform>(
    shared: &Shared<P>,
    key: &str,
    job: &JobId,
    watched: &mut WatchedLeases,
) -> Result<Option<(OwnedJob, MonoMs)>> {
    let Some(epoch) = shared.lease_epoch() else {
        return Ok(None);
    };
    let view = read_claim_view(shared, key, job).await?;
    let Some(claim) = Claim::plan(&shared.settings.instance, epoch, view, watched) else {
        return Ok(None);
    };
    let sent_at = shared.clock.mono();
    let outcome = store::send(&shared.platform, claim.transaction()).await;
    let owned = claim.close(&outcome);
    if owned.is_some() {
        let job = job.clone();
        shared.timeline.note(TimelineEvent::JobOwned { job, epoch });
    }
    Ok(owned.map(|owned| (owned, sent_at)))
}

/// Releases ownership of a job, so that another instance can claim it without waiting for the lease
/// to expire. A failed write is not retried; the lease then expires by itself.
pub async fn release<P: Platform>(shared: &Shared<P>, owned: &OwnedJob) {
    let release = claim::release(owned, &shared.settings.instance);
    store::send(&shared.platform, &release).await;
}

/// Records the job's final status in the time line.
pub fn record_job_ended<P: Platform>(shared: &Shared<P>, row: &JobRow) {
    shared.timeline.note(TimelineEvent::JobEnded {
        job: row.job.clone(),
        status: row.status.as_str().to_owned(),
    });
}

/// How far the cancellation of a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job's final status is committed.
    Final,
    /// The cancellation is committed, but the owner did not confirm that it stopped. The job
    /// becomes final once the owner reads the cancellation or its lease expires.
    Pending,
    /// Whether the cancellation was committed is not known: each write's answer was lost.
    Unconfirmed,
    /// The customer has no such job.
    NoJob,
}

/// Cancels a job: commits the request to cancel, stops the job at its owner, commits the final
/// status.
pub async fn cancel<P: Platform>(
    shared: &Shared<P>,
    customer: &CustomerId,
    job: &JobId,
) -> Result<CancelOutcome> {
    let key = tables::job_key(customer, job);
    let mut pause = Backoff::default();
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let Some(row) = store::read(shared, tables::JOB, &key).await? else {
            return Ok(CancelOutcome::NoJob);
        };
        let owner: Option<Versioned<OwnerRow>> =
            store::read(shared, tables::OWNER, job.as_str()).await?;
        let cancelling = match CancelTransaction::plan(row, owner.as_ref()) {
            CancelPlan::Final => return Ok(CancelOutcome::Final),
            CancelPlan::Cancelling(cancelling) => Some(cancelling),
            CancelPlan::Begin(cancel) => {
                let outcome = store::send(&shared.platform, cancel.transaction()).await;
                cancel.close(&outcome)
            }
        };
        if let Some(cancelling) = cancelling {
            return stop_and_finish(shared, &cancelling).await;
        }
        pause.pause().await;
    }
    Ok(CancelOutcome::Unconfirmed)
}

async fn stop_and_finish<P: Platform>(
    shared: &Shared<P>,
    cancelling: &CancellingJob,
) -> Result<CancelOutcome> {
    let job = &cancelling.job.row.job;
    if let Some(holder) = &cancelling.owner
        && !stop_at_owner(shared, holder, job).await
    {
        return Ok(CancelOutcome::Pending);
    }
    let counts = counts(&shared.platform, job).await?;
    let finish = FinishTransaction::cancelled(&cancelling.job, counts, shared.clock.wall());
    let mut pause = Backoff::default();
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let outcome = store::send(&shared.platform, finish.transaction()).await;
        match finish.handle_outcome(outcome) {
            FinishResult::Ended => {
                record_job_ended(shared, finish.ended());
                return Ok(CancelOutcome::Final);
            }
            FinishResult::JobChanged(_) => return Ok(CancelOutcome::Final),
            FinishResult::OwnerChanged => return Ok(CancelOutcome::Pending),
            FinishResult::Resend => pause.pause().await,
        }
    }
    Ok(CancelOutcome::Pending)
}

async fn stop_at_owner<P: Platform>(shared: &Shared<P>, holder: &InstanceId, job: &JobId) -> bool {
    if *holder == shared.settings.instance {
        return stop_local(shared, job).await;
    }
    let Some(member) = shared.member(holder) else {
        return false;
    };
    let request = PeerRequest::JobCancelled { job: job.clone() };
    let address = member.peer_address;
    let answer = shared.peers.call(address, &request, STOP_TIMEOUT_MS).await;
    matches!(answer, Ok(PeerAnswer::Done))
}

/// Stops a job that runs on this instance. Returns `false` if it did not stop within
/// [`STOP_TIMEOUT_MS`].
pub async fn stop_local<P: Platform>(shared: &Shared<P>, job: &JobId) -> bool {
    let Some(actors) = shared.actors() else {
        return false;
    };
    let message = |reply| JobsMessage::Stop(job.clone(), reply);
    let wait = Duration::from_millis(STOP_TIMEOUT_MS);
    let call = actors.jobs.call(message, Some(wait)).await;
    matches!(call, Ok(ractor::rpc::CallResult::Success(())))
}
