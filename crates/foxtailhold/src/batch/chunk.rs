//! Commit of the result of one attempt at a chunk.

use crate::batch::claim::OwnedJob;
use crate::batch::rows::{ChunkRow, JobRow};
use crate::batch::transaction::{
    Condition, ConflictingRow, RowChange, Transaction, TransactionOutcome, TransactionStep,
    Versioned,
};

/// A transaction that records one result object as the result of a chunk. It takes effect at most
/// once, however often it is sent.
#[derive(Debug, Clone)]
pub struct ChunkCommit {
    index: u32,
    chunk: ChunkRow,
    transaction: Transaction,
}

/// What the outcome of a [`ChunkCommit`] means for the chunk and its job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkCommitResult {
    /// The result of this attempt is the result of the chunk.
    Committed,
    /// Another attempt committed its result before; its row is given.
    AlreadyCommitted(ChunkRow),
    /// The job row has changed because the job was cancelled or has ended. Absent if the row is
    /// gone.
    JobChanged(Option<Box<Versioned<JobRow>>>),
    /// Another instance has taken over the job.
    OwnerChanged,
    /// The outcome is unknown or the store was unavailable. Send the same transaction again; it
    /// is idempotent.
    Resend,
}

const CHUNK_STEP: usize = 0;
const JOB_STEP: usize = 1;

impl ChunkCommit {
    /// Creates the commit for the owner of the job, conditional on the version of the job row that
    /// the owner last saw.
    pub fn new(owned: &OwnedJob, index: u32, chunk: ChunkRow) -> Self {
        let steps = vec![
            TransactionStep::new(Condition::Absent, RowChange::PutChunk(index, chunk.clone())),
            TransactionStep::new(Condition::Version(owned.job_version), RowChange::CheckJob),
            TransactionStep::new(
                Condition::Version(owned.owner_version),
                RowChange::CheckOwner,
            ),
        ];
        let transaction = Transaction {
            customer: owned.row.customer.clone(),
            job: owned.row.job.clone(),
            steps,
        };
        ChunkCommit {
            index,
            chunk,
            transaction,
        }
    }

    /// Index of the chunk in the job.
    pub fn index(&self) -> u32 {
        self.index
    }

    /// The chunk row that the transaction writes.
    pub fn chunk(&self) -> &ChunkRow {
        &self.chunk
    }

    /// The transaction to send to the table service.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Interprets the outcome of the transaction. The chunk row is the first condition, so a resend
    /// after a lost response recognizes its own result even if the job or owner row has changed
    /// since.
    pub fn handle_outcome(&self, outcome: TransactionOutcome) -> ChunkCommitResult {
        match outcome {
            TransactionOutcome::Committed => ChunkCommitResult::Committed,
            TransactionOutcome::Unavailable | TransactionOutcome::Unknown => {
                ChunkCommitResult::Resend
            }
            TransactionOutcome::Conflict {
                step: CHUNK_STEP,
                found: ConflictingRow::Chunk(found),
            } => {
                if found.object == self.chunk.object {
                    return ChunkCommitResult::Committed;
                }
                ChunkCommitResult::AlreadyCommitted(found)
            }
            TransactionOutcome::Conflict {
                step: JOB_STEP,
                found,
            } => match found {
                ConflictingRow::Job(row) => ChunkCommitResult::JobChanged(Some(row)),
                _ => ChunkCommitResult::JobChanged(None),
            },
            TransactionOutcome::Conflict { .. } => ChunkCommitResult::OwnerChanged,
        }
    }
}
