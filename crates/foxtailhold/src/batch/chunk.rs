//! Committing the result of one attempt at a chunk.

use crate::batch::claim::OwnedJob;
use crate::batch::rows::{ChunkRow, JobRow};
use crate::batch::transaction::{
    Change, Condition, FoundRow, Outcome, Step, Transaction, Versioned,
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
pub enum CommitStep {
    /// The chunk has this attempt's result.
    Committed,
    /// The chunk has another attempt's result.
    DoneBefore(ChunkRow),
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
            Step::new(Condition::Absent, Change::PutChunk(index, chunk.clone())),
            Step::new(Condition::Version(owned.job_version), Change::CheckJob),
            Step::new(Condition::Version(owned.owner_version), Change::CheckOwner),
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
    pub fn on(&self, outcome: Outcome) -> CommitStep {
        match outcome {
            Outcome::Committed => CommitStep::Committed,
            Outcome::Unavailable | Outcome::Unknown => CommitStep::Resend,
            Outcome::Conflict {
                step: CHUNK_STEP,
                found: FoundRow::Chunk(found),
            } => {
                if found.object == self.chunk.object {
                    return CommitStep::Committed;
                }
                CommitStep::DoneBefore(found)
            }
            Outcome::Conflict {
                step: JOB_STEP,
                found,
            } => match found {
                FoundRow::Job(row) => CommitStep::JobChanged(Some(row)),
                _ => CommitStep::JobChanged(None),
            },
            Outcome::Conflict { .. } => CommitStep::OwnerChanged,
        }
    }
}
