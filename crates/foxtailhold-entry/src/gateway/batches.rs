//! Batch jobs for callers: create, describe, list and cancel.

use std::collections::HashSet;

use foxtailhold::batch::{
    BatchError, BatchItem, FileRow, JobCounts, JobRow, JobStatus, MAX_JOB_ITEMS, OpenJobRow,
};
use foxtailhold::contract::Contract;
use foxtailhold::ids::{CustomerId, JobId};
use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason, Result};
use foxtailhold::rendezvous;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::gateway::{BatchObject, BatchRequest};
use foxtailhold_peer::PeerRequest;
use foxtailhold_platform::{Expect, Operation, Platform, Row, Transacted};
use xxhash_rust::xxh3::xxh3_64;

use crate::actors::log_undelivered;
use crate::gateway::results::{ItemFilter, ResultFile};
use crate::gateway::{STORE_RETRY_AFTER_MS, hex_digest, rows, store_unavailable};
use crate::jobs::deadline_check;
use crate::jobs::owner::{self, CancelOutcome};
use crate::messages::JobsMessage;
use crate::shared::Shared;
use crate::tables;

/// Time limit for notifying the job's preferred owner of a new job.
const OFFER_TIMEOUT_MS: u64 = 500;
/// Attempts to settle a write whose answer was lost.
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// Hex digits of the digest in a job id.
const JOB_DIGEST_CHARS: usize = 32;

/// Derives the job id from the customer and the idempotency key, or from the body without one, so
/// that a resend names the same job.
fn job_id(customer: &CustomerId, request: &BatchRequest) -> Result<JobId> {
    let key = match &request.context.idempotency_key {
        Some(key) => format!("key {customer} {key}"),
        None => format!("body {customer} {}", request.digest),
    };
    let digest = hex_digest(key.as_bytes());
    let name = format!("batch_{}", &digest[..JOB_DIGEST_CHARS]);
    JobId::try_from(name.as_str()).map_err(|error| Refusal::invalid(error.to_string()))
}

fn invalid(error: &BatchError) -> Refusal {
    Refusal::invalid(format!("the input file is refused: {error}"))
}

/// Checks every line of the input file and counts the items.
async fn check_input<P: Platform>(
    shared: &Shared<P>,
    request: &BatchRequest,
    file: &FileRow,
) -> Result<u64> {
    let mut custom_ids = HashSet::new();
    let mut line_number = 0;
    for part in 0..file.part_lines.len() {
        let name = tables::part_object(&request.input_file, part as u32);
        let stored = shared.platform.get_object(&name).await;
        let stored = stored.map_err(|error| store_unavailable(&error))?;
        let bytes = stored.ok_or_else(|| Refusal::invalid("the input file is incomplete"))?;
        let text = std::str::from_utf8(&bytes)
            .map_err(|_| Refusal::invalid("the input file is not UTF-8"))?;
        for line in text.lines() {
            line_number += 1;
            if line.trim().is_empty() {
                continue;
            }
            let item = BatchItem::from_line(line, line_number, &request.endpoint)
                .map_err(|error| invalid(&error))?;
            if !custom_ids.insert(xxh3_64(item.custom_id.as_bytes())) {
                return Err(invalid(&BatchError::DuplicateId {
                    line: line_number,
                    custom_id: item.custom_id,
                }));
            }
        }
    }
    match custom_ids.len() as u64 {
        0 => Err(invalid(&BatchError::Empty)),
        items if items > MAX_JOB_ITEMS => Err(invalid(&BatchError::TooManyItems)),
        items => Ok(items),
    }
}

/// Accepts a job, or returns the job that an earlier send of the same request created.
pub async fn create<P: Platform>(shared: &Shared<P>, request: BatchRequest) -> Result<BatchObject> {
    let contract = &request.context.contract;
    let customer = &contract.customer;
    let job = job_id(customer, &request)?;
    let key = tables::job_key(customer, &job);
    let existing = shared.platform.get(tables::JOB, &key).await;
    if let Some(row) = existing.map_err(|error| store_unavailable(&error))? {
        return existing_job(shared, &request, &row).await;
    }
    let file = rows::file(shared, customer, &request.input_file).await?;
    let items = check_input(shared, &request, &file).await?;
    let now_ms = shared.clock.wall().0;
    let window_s = request.window_s.unwrap_or(contract.batch_window_s);
    let window_ms = window_s.min(contract.batch_window_s).saturating_mul(1_000);
    deadline_check::check(shared, &job, items, window_ms).await?;
    let row = JobRow {
        job: job.clone(),
        customer: customer.clone(),
        digest: request.digest.clone(),
        input_file: request.input_file.clone(),
        endpoint: request.endpoint.clone(),
        chunks: file.part_lines.len() as u32,
        items,
        created_wall_ms: now_ms,
        deadline_wall_ms: now_ms + window_ms,
        status: JobStatus::InProgress,
        ended_wall_ms: None,
        counts: None,
        metadata: request.metadata.clone(),
    };
    let operations = [
        Operation::put(tables::JOB, &key, Expect::Absent, &row),
        Operation::put(
            tables::JOB_OPEN,
            &key,
            Expect::Absent,
            &OpenJobRow::accepted(&row),
        ),
    ];
    match commit(shared, &operations).await? {
        Transacted::Committed => {}
        Transacted::Conflict { current, .. } => {
            let Some(current) = current else {
                return Err(conflict("the job was removed while it was offered"));
            };
            return existing_job(shared, &request, &current).await;
        }
    }
    shared
        .timeline
        .note(TimelineEvent::JobAccepted { job: job.clone() });
    offer(shared, customer, &job);
    object(shared, row).await
}

fn conflict(detail: &str) -> Refusal {
    let detail = detail.to_owned();
    Refusal::not_run(RefusalReason::Conflict { detail })
}

/// Sends a transaction until its outcome is known. It must be safe to repeat.
async fn commit<P: Platform>(shared: &Shared<P>, operations: &[Operation]) -> Result<Transacted> {
    let mut last = None;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match shared.platform.transact(operations).await {
            Ok(transacted) => return Ok(transacted),
            Err(error) => last = Some(error),
        }
    }
    let refusal = Refusal::not_run(RefusalReason::StoreUnavailable);
    let refusal = refusal.retry_after_ms(STORE_RETRY_AFTER_MS);
    if last.is_some_and(|error| error.may_have_taken_effect()) {
        return Err(refusal.with_ran(ExecutionStatus::MayHaveRun));
    }
    Err(refusal)
}

async fn existing_job<P: Platform>(
    shared: &Shared<P>,
    request: &BatchRequest,
    row: &Row,
) -> Result<BatchObject> {
    let row: JobRow = row.read().map_err(|error| store_unavailable(&error))?;
    if row.digest != request.digest {
        return Err(conflict("the idempotency key was used with another batch"));
    }
    object(shared, row).await
}

/// Notifies the job's preferred owner that the job exists. If the message is lost, the periodic
/// scan finds the job.
fn offer<P: Platform>(shared: &Shared<P>, customer: &CustomerId, job: &JobId) {
    let members = shared.live_members();
    let ids = members.iter().map(|member| &member.id);
    let Some(preferred) = rendezvous::select(ids, job.as_str().as_bytes()) else {
        return;
    };
    if *preferred == shared.settings.instance {
        if let Some(actors) = shared.actors() {
            log_undelivered(actors.jobs.send_message(JobsMessage::Scan));
        }
        return;
    }
    let Some(member) = shared.member(preferred) else {
        return;
    };
    let (shared, address) = (shared.clone(), member.peer_address);
    let (customer, job) = (customer.clone(), job.clone());
    tokio::spawn(async move {
        let request = PeerRequest::JobOffered { customer, job };
        if let Err(error) = shared.peers.call(address, &request, OFFER_TIMEOUT_MS).await {
            log::debug!(
                "job not offered to its preferred owner, the periodic scan will find it: {error}"
            );
        }
    });
}

async fn object<P: Platform>(shared: &Shared<P>, row: JobRow) -> Result<BatchObject> {
    let counts = counts(shared, &row).await?;
    let file = |filter, items: u64| {
        let job = row.job.clone();
        let ended = row.ended_wall_ms.is_some() && items > 0;
        ended.then(|| ResultFile { job, filter }.id()).flatten()
    };
    Ok(BatchObject {
        output_file: file(ItemFilter::Answered, counts.completed),
        error_file: file(ItemFilter::Failed, counts.failed),
        job: row.job,
        endpoint: row.endpoint,
        status: row.status,
        input_file: row.input_file,
        created_wall_ms: row.created_wall_ms,
        deadline_wall_ms: row.deadline_wall_ms,
        ended_wall_ms: row.ended_wall_ms,
        items: row.items,
        completed: counts.completed,
        failed: counts.failed,
        metadata: row.metadata,
    })
}

/// Completed and failed items: from the job's row once it has ended, from its chunks before.
pub async fn counts<P: Platform>(shared: &Shared<P>, row: &JobRow) -> Result<JobCounts> {
    if let Some(counts) = row.counts {
        return Ok(counts);
    }
    let stored = owner::counts(&shared.platform, &row.job).await;
    stored.map_err(|error| store_unavailable(&error))
}

/// Describes a job of the customer; refuses with `NotFound` if there is none.
pub async fn describe<P: Platform>(
    shared: &Shared<P>,
    contract: &Contract,
    job: &JobId,
) -> Result<BatchObject> {
    let (row, _) = rows::job(shared, &contract.customer, job).await?;
    object(shared, row).await
}

/// Lists a customer's jobs in the order of their ids.
pub async fn list<P: Platform>(
    shared: &Shared<P>,
    contract: &Contract,
    after: &str,
    limit: usize,
) -> Result<Vec<BatchObject>> {
    let prefix = format!("{}/", contract.customer);
    let after = format!("{prefix}{after}");
    let rows = shared
        .platform
        .scan(tables::JOB, &prefix, &after, limit)
        .await;
    let mut batches = Vec::new();
    for keyed in rows.map_err(|error| store_unavailable(&error))? {
        let row: JobRow = keyed
            .row
            .read()
            .map_err(|error| store_unavailable(&error))?;
        batches.push(object(shared, row).await?);
    }
    Ok(batches)
}

/// Cancels a job. The status is `cancelled` once no item of it runs or will run, and `cancelling`
/// while the owner has not confirmed that.
pub async fn cancel<P: Platform>(
    shared: &Shared<P>,
    contract: &Contract,
    job: &JobId,
) -> Result<BatchObject> {
    let customer = &contract.customer;
    let cancelled = owner::cancel(shared, customer, job).await;
    let end = cancelled.map_err(|error| store_unavailable(&error))?;
    if end == CancelOutcome::Unconfirmed {
        let refusal = Refusal::not_run(RefusalReason::StoreUnavailable);
        let refusal = refusal.with_ran(ExecutionStatus::MayHaveRun);
        return Err(refusal.retry_after_ms(STORE_RETRY_AFTER_MS));
    }
    describe(shared, contract, job).await
}
