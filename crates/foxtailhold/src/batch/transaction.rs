//! Typed transactions on the rows of one batch job, and what becomes of them.
//!
//! The machines of this folder yield a [`Transaction`]; the caller sends it to the table service
//! and feeds the [`TransactionOutcome`] back. Nothing here knows names of tables or keys.

use crate::batch::rows::{ChunkRow, JobRow, OpenJobRow, OwnerRow};
use crate::batch::sweep::SweepRow;
use crate::ids::{CustomerId, InstanceId, JobId};
use crate::lease_row::LeaseRow;

/// A row with the version that the table service raises at each write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Version, from 1.
    pub version: u64,
    /// The content.
    pub row: T,
}

/// What a step expects of its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Anything.
    Any,
    /// No row.
    Absent,
    /// Exactly this version.
    Version(u64),
}

impl Condition {
    /// The row as it was read.
    pub fn unchanged<T>(found: Option<&Versioned<T>>) -> Self {
        found.map_or(Condition::Absent, |found| Condition::Version(found.version))
    }
}

/// What a step does to its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// Only checks the job's row.
    CheckJob,
    /// Writes the job's row.
    PutJob(JobRow),
    /// Writes the row in the list of open jobs.
    PutOpen(OpenJobRow),
    /// Takes the job off the list of open jobs.
    DeleteOpen,
    /// Only checks the owner's row.
    CheckOwner,
    /// Writes the owner's row.
    PutOwner(OwnerRow),
    /// Deletes the owner's row.
    DeleteOwner,
    /// Writes the row of the chunk with this index.
    PutChunk(u32, ChunkRow),
    /// Writes the row that has the job's result objects looked through later.
    PutSweep(SweepRow),
    /// Writes the lease's row of an instance.
    PutLease(InstanceId, LeaseRow),
}

/// One step of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransactionStep {
    /// What must hold.
    pub condition: Condition,
    /// What is done.
    pub change: RowChange,
}

impl TransactionStep {
    /// A step.
    pub fn new(condition: Condition, change: RowChange) -> Self {
        TransactionStep { condition, change }
    }
}

/// Steps on the rows of one job; all take effect or none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// Whose job.
    pub customer: CustomerId,
    /// The job.
    pub job: JobId,
    /// The steps.
    pub steps: Vec<TransactionStep>,
}

/// A row found where a condition failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConflictingRow {
    /// No row.
    None,
    /// The job's row.
    Job(Box<Versioned<JobRow>>),
    /// A chunk's row.
    Chunk(ChunkRow),
    /// A row of another kind.
    Other,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All steps took effect.
    Committed,
    /// None took effect.
    Conflict {
        /// The first step whose condition failed.
        step: usize,
        /// The row it found.
        found: ConflictingRow,
    },
    /// It had no effect and will have none.
    Unavailable,
    /// The answer was lost: it took effect, or did not, or still may.
    Unknown,
}
