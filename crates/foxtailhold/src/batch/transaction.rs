//! Typed transactions on the rows of one batch job, and their outcomes.
//!
//! The state machines of this folder produce a [`Transaction`]. The caller sends it to the table
//! service and passes the [`TransactionOutcome`] back. The names of tables and keys are defined by
//! the caller.

use crate::batch::rows::{ChunkRow, JobRow, OpenJobRow, OwnerRow};
use crate::batch::sweep::SweepRow;
use crate::ids::{CustomerId, InstanceId, JobId};
use crate::lease_row::LeaseRow;

/// A row with its version, which the table service raises with each write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Version of the row, from 1.
    pub version: u64,
    /// Content of the row.
    pub row: T,
}

/// Precondition of a step on the row that it changes or checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has exactly this version.
    Version(u64),
}

impl Condition {
    /// The condition that the row is as it was read; `None` stands for an absent row.
    pub fn unchanged<T>(found: Option<&Versioned<T>>) -> Self {
        found.map_or(Condition::Absent, |found| Condition::Version(found.version))
    }
}

/// Change that a step makes to its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// Checks the job row without changing it.
    CheckJob,
    /// Writes the job row.
    PutJob(JobRow),
    /// Writes the row of the job in the list of open jobs.
    PutOpen(OpenJobRow),
    /// Deletes the row of the job in the list of open jobs.
    DeleteOpen,
    /// Checks the owner row without changing it.
    CheckOwner,
    /// Writes the owner row.
    PutOwner(OwnerRow),
    /// Deletes the owner row.
    DeleteOwner,
    /// Writes the row of the chunk with this index.
    PutChunk(u32, ChunkRow),
    /// Writes the row that schedules the sweep of the job's result objects.
    PutSweep(SweepRow),
    /// Writes the lease row of an instance.
    PutLease(InstanceId, LeaseRow),
}

/// One conditional change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransactionStep {
    /// Precondition on the row.
    pub condition: Condition,
    /// Change to the row, made if the preconditions of all steps hold.
    pub change: RowChange,
}

impl TransactionStep {
    /// Creates a step.
    pub fn new(condition: Condition, change: RowChange) -> Self {
        TransactionStep { condition, change }
    }
}

/// Steps on the rows of one job, of which either all take effect or none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transaction {
    /// Customer of the job.
    pub customer: CustomerId,
    /// Job whose rows are changed.
    pub job: JobId,
    /// The steps, checked in this order.
    pub steps: Vec<TransactionStep>,
}

/// The row that did not meet the condition of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConflictingRow {
    /// The row does not exist.
    None,
    /// The job row.
    Job(Box<Versioned<JobRow>>),
    /// A chunk row.
    Chunk(ChunkRow),
    /// A row of any other kind.
    Other,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All changes took effect.
    Committed,
    /// No change took effect, because a condition failed.
    Conflict {
        /// Index of the first step whose condition failed.
        step: usize,
        /// The row that this step found.
        found: ConflictingRow,
    },
    /// The transaction had no effect and will have none.
    Unavailable,
    /// The response was lost: the transaction may have taken effect, or may still.
    Unknown,
}
