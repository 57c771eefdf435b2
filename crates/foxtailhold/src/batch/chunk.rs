//! Committing the result of one attempt at a chunk.

use crate::batch::claim::OwnedJob;
use crate::batch::rows::{ChunkRow, JobRow};
use crate::batch::transaction::{
    Condition, ConflictingRow, RowChange, Transaction, TransactionOutcome, TransactionStep,
    Versioned,
};

/// Makes one result object the chunk's result, once.
#[derive(Debug, Clone)]
pub struct ChunkCommit {
    index: u32,
    chunk: ChunkRow,
    transaction: Transaction,
}

/// What an outcome means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkCommitResult {
    /// The chunk has this attempt's result.
    Committed,
    /// The chunk has another attempt's result.
    AlreadyCommitted(ChunkRow),
    /// The job's row has changed: cancelled or ended. Absent where the row is gone.
    JobChanged(Option<Box<Versioned<JobRow>>>),
    /// The job was taken over.
    OwnerChanged,
    /// Nothing is known: the same transaction is sent again, which is harmless.
    Resend,
}

const CHUNK_STEP: usize = 0;
const JOB_STEP: usize = 1;

impl ChunkCommit {
    /// A commit by the owner, on the version of the job's row that it last saw.
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

    /// Which chunk.
    pub fn index(&self) -> u32 {
        self.index
    }

    /// The row to be committed.
    pub fn chunk(&self) -> &ChunkRow {
        &self.chunk
    }

    /// The transaction to send.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Takes what became of the transaction. The chunk's row is checked first, so that a resend
    /// after a lost answer finds its own result whatever else has changed since.
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
