//! Ownership of jobs: claims, releases and stops.

use std::time::Duration;

use foxtailhold::batch::cancel::{CancelPlan, CancelTransaction, CancellingJob};
use foxtailhold::batch::claim::{self, Claim, ClaimView, OwnedJob, WatchedLeases};
use foxtailhold::batch::finish::{FinishResult, FinishTransaction};
use foxtailhold::batch::transaction::Versioned;
use foxtailhold::batch::{ChunkRow, JobCounts, JobRow, OwnerRow};
use foxtailhold::ids::{CustomerId, InstanceId, JobId};
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::{KeyedRow, Platform, Result, TableService};

use crate::jobs::store::{self, Backoff};
use crate::messages::JobsMessage;
use crate::shared::Shared;
use crate::tables;

/// Limit for the owner to stop a job.
pub const STOP_TIMEOUT_MS: u64 = 3_000;
/// Attempts to learn what became of a write whose answer was lost, while a caller waits.
const MAX_WRITE_TRIES: u32 = 4;

/// Reads all rows of a prefix.
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

/// The finished chunks of a job, in order.
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

/// What the finished chunks of a job hold together.
pub async fn counts<T: TableService>(table: &T, job: &JobId) -> Result<JobCounts> {
    let mut counts = JobCounts::default();
    for (_, chunk) in finished_chunks(table, job).await? {
        counts.add(&chunk);
    }
    Ok(counts)
}

async fn look<P: Platform>(shared: &Shared<P>, key: &str, job: &JobId) -> Result<ClaimView> {
    let mut view = ClaimView {
        job: store::read(shared, tables::JOB, key).await?,
        owner: store::read(shared, tables::OWNER, job.as_str()).await?,
        ..ClaimView::default()
    };
    let me = &shared.settings.instance;
    if let Some(holder) = claim::other_owner(me, view.owner.as_ref()).cloned() {
        view.asked_at = shared.clock.mono();
        view.owner_lease = store::read(shared, tables::LEASE, tables::lease_key(&holder)).await?;
        view.answered_at = shared.clock.mono();
    }
    Ok(view)
}

/// Takes a job that has no owner, whose owner's lease has ended, or that an earlier run of this
/// instance owned. `None` where another instance owns it.
pub async fn claim<P: Platform>(
    shared: &Shared<P>,
    key: &str,
    job: &JobId,
    watched: &mut WatchedLeases,
) -> Result<Option<OwnedJob>> {
    let Some(epoch) = shared.lease_epoch() else {
        return Ok(None);
    };
    let view = look(shared, key, job).await?;
    let Some(claim) = Claim::plan(&shared.settings.instance, epoch, view, watched) else {
        return Ok(None);
    };
    let outcome = store::send(&shared.platform, claim.transaction()).await;
    let owned = claim.close(&outcome);
    if owned.is_some() {
        let job = job.clone();
        shared.timeline.note(TimelineEvent::JobOwned { job, epoch });
    }
    Ok(owned)
}

/// Gives a job up so that another instance may take it at once.
pub async fn release<P: Platform>(shared: &Shared<P>, owned: &OwnedJob) {
    let release = claim::release(owned, &shared.settings.instance);
    store::send(&shared.platform, &release).await;
}

/// Notes a job's end in the time line.
pub fn note_ended<P: Platform>(shared: &Shared<P>, row: &JobRow) {
    shared.timeline.note(TimelineEvent::JobEnded {
        job: row.job.clone(),
        status: row.status.as_str().to_owned(),
    });
}

/// How far a cancel came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The status is final.
    Final,
    /// The cancel is committed, its owner could not be asked: it becomes final once the owner sees
    /// it or its lease has run out.
    Pending,
    /// The cancel may not be committed.
    Unconfirmed,
    /// There is no such job.
    NoJob,
}

/// Cancels a job: commits the mark, stops the owner, makes the cancel final.
pub async fn cancel<P: Platform>(
    shared: &Shared<P>,
    customer: &CustomerId,
    job: &JobId,
) -> Result<CancelOutcome> {
    let key = tables::job_key(customer, job);
    let mut pause = Backoff::default();
    for _ in 0..MAX_WRITE_TRIES {
        let Some(row) = store::read(shared, tables::JOB, &key).await? else {
            return Ok(CancelOutcome::NoJob);
        };
        let owner: Option<Versioned<OwnerRow>> =
            store::read(shared, tables::OWNER, job.as_str()).await?;
        let marked = match CancelTransaction::plan(row, owner.as_ref()) {
            CancelPlan::Final => return Ok(CancelOutcome::Final),
            CancelPlan::Cancelling(marked) => Some(marked),
            CancelPlan::Begin(cancel) => {
                let outcome = store::send(&shared.platform, cancel.transaction()).await;
                cancel.close(&outcome)
            }
        };
        if let Some(marked) = marked {
            return stop(shared, &marked).await;
        }
        pause.pause().await;
    }
    Ok(CancelOutcome::Unconfirmed)
}

async fn stop<P: Platform>(shared: &Shared<P>, marked: &CancellingJob) -> Result<CancelOutcome> {
    let job = &marked.job.row.job;
    if let Some(holder) = &marked.owner
        && !stop_at(shared, holder, job).await
    {
        return Ok(CancelOutcome::Pending);
    }
    let counts = counts(&shared.platform, job).await?;
    let finish = FinishTransaction::cancelled(&marked.job, counts, shared.clock.wall());
    let mut pause = Backoff::default();
    for _ in 0..MAX_WRITE_TRIES {
        let outcome = store::send(&shared.platform, finish.transaction()).await;
        match finish.handle_outcome(outcome) {
            FinishResult::Ended => {
                note_ended(shared, finish.ended());
                return Ok(CancelOutcome::Final);
            }
            FinishResult::JobChanged(_) => return Ok(CancelOutcome::Final),
            FinishResult::OwnerChanged => return Ok(CancelOutcome::Pending),
            FinishResult::Resend => pause.pause().await,
        }
    }
    Ok(CancelOutcome::Pending)
}

async fn stop_at<P: Platform>(shared: &Shared<P>, holder: &InstanceId, job: &JobId) -> bool {
    if *holder == shared.settings.instance {
        return stop_local(shared, job).await;
    }
    let Some(member) = shared.member(holder) else {
        return false;
    };
    let request = PeerRequest::JobCancelled { job: job.clone() };
    let address = member.peer_address;
    let answer = shared.peers.ask(address, &request, STOP_TIMEOUT_MS).await;
    matches!(answer, Ok(PeerAnswer::Done))
}

/// Stops a job running here. Returns whether it has stopped.
pub async fn stop_local<P: Platform>(shared: &Shared<P>, job: &JobId) -> bool {
    let Some(actors) = shared.actors() else {
        return false;
    };
    let ask = |reply| JobsMessage::Stop(job.clone(), reply);
    let wait = Duration::from_millis(STOP_TIMEOUT_MS);
    let call = actors.jobs.call(ask, Some(wait)).await;
    matches!(call, Ok(ractor::rpc::CallResult::Success(())))
}
