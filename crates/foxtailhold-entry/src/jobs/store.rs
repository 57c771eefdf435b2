//! Sends the typed transactions of batch jobs to the platform's table service.

use std::time::Duration;

use foxtailhold::batch::transaction::{
    Condition, ConflictingRow, RowChange, Transaction, TransactionOutcome, TransactionStep,
    Versioned,
};
use foxtailhold::batch::{ChunkRow, JobRow};
use foxtailhold_platform::{Expect, Operation, Platform, Result, Row, TableService, Transacted};
use serde::de::DeserializeOwned;

use crate::shared::Shared;
use crate::tables;

/// First backoff before a call is retried, doubled up to [`MAX_PAUSE_MS`].
const FIRST_PAUSE_MS: u64 = 50;
/// Longest backoff before a call is retried.
const MAX_PAUSE_MS: u64 = 1_000;

/// Translates a condition on a row into the table service's form.
pub fn expect(condition: Condition) -> Expect {
    match condition {
        Condition::Any => Expect::Any,
        Condition::Absent => Expect::Absent,
        Condition::Version(version) => Expect::Version(version),
    }
}

fn operation(transaction: &Transaction, step: &TransactionStep) -> Operation {
    let expect = expect(step.condition);
    let job = transaction.job.as_str();
    let job_key = tables::job_key(&transaction.customer, &transaction.job);
    match &step.change {
        RowChange::CheckJob => Operation::check(tables::JOB, &job_key, expect),
        RowChange::PutJob(row) => Operation::put(tables::JOB, &job_key, expect, row),
        RowChange::PutOpen(row) => Operation::put(tables::JOB_OPEN, &job_key, expect, row),
        RowChange::DeleteOpen => Operation::delete(tables::JOB_OPEN, &job_key, expect),
        RowChange::CheckOwner => Operation::check(tables::OWNER, job, expect),
        RowChange::PutOwner(row) => Operation::put(tables::OWNER, job, expect, row),
        RowChange::DeleteOwner => Operation::delete(tables::OWNER, job, expect),
        RowChange::PutChunk(index, row) => {
            let key = tables::chunk_key(&transaction.job, *index);
            Operation::put(tables::CHUNK, &key, expect, row)
        }
        RowChange::PutSweep(row) => {
            Operation::put(tables::SWEEP, &tables::sweep_key(row), expect, row)
        }
        RowChange::PutLease(instance, row) => {
            Operation::put(tables::LEASE, tables::lease_key(instance), expect, row)
        }
    }
}

fn versioned<T: DeserializeOwned>(row: &Row) -> Option<Versioned<T>> {
    let content = row.read().ok()?;
    Some(Versioned {
        version: row.version,
        row: content,
    })
}

fn found(step: &TransactionStep, current: Option<&Row>) -> ConflictingRow {
    let Some(current) = current else {
        return ConflictingRow::None;
    };
    let read = match &step.change {
        RowChange::CheckJob | RowChange::PutJob(_) => {
            versioned::<JobRow>(current).map(|row| ConflictingRow::Job(Box::new(row)))
        }
        RowChange::PutChunk(..) => current.read::<ChunkRow>().ok().map(ConflictingRow::Chunk),
        _ => None,
    };
    read.unwrap_or(ConflictingRow::Other)
}

/// Sends a transaction once, without retries.
pub async fn send<T: TableService>(table: &T, transaction: &Transaction) -> TransactionOutcome {
    let mut operations = Vec::with_capacity(transaction.steps.len());
    for step in &transaction.steps {
        operations.push(operation(transaction, step));
    }
    match table.transact(&operations).await {
        Ok(Transacted::Committed) => TransactionOutcome::Committed,
        Ok(Transacted::Conflict { operation, current }) => TransactionOutcome::Conflict {
            step: operation,
            found: found(&transaction.steps[operation], current.as_ref()),
        },
        Err(error) => {
            log::warn!("a transaction of job {} failed: {error}", transaction.job);
            if error.may_have_taken_effect() {
                return TransactionOutcome::Unknown;
            }
            TransactionOutcome::Unavailable
        }
    }
}

/// Reads and decodes one row; `None` if it does not exist.
pub async fn read<P: Platform, T: DeserializeOwned>(
    shared: &Shared<P>,
    table: &str,
    key: &str,
) -> Result<Option<Versioned<T>>> {
    let Some(found) = shared.platform.get(table, key).await? else {
        return Ok(None);
    };
    let row = found.read()?;
    Ok(Some(Versioned {
        version: found.version,
        row,
    }))
}

/// Exponential backoff between the attempts at one call.
#[derive(Debug)]
pub struct Backoff {
    next_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            next_ms: FIRST_PAUSE_MS,
        }
    }
}

impl Backoff {
    /// Sleeps until the next attempt may be made.
    pub async fn pause(&mut self) {
        tokio::time::sleep(Duration::from_millis(self.next_ms)).await;
        self.next_ms = (self.next_ms * 2).min(MAX_PAUSE_MS);
    }
}
