//! Writing the final status of a job.

use crate::batch::claim::OwnedJob;
use crate::batch::rows::{JobCounts, JobRow, JobStatus};
use crate::batch::sweep::SweepRow;
use crate::batch::transaction::{
    Condition, ConflictingRow, RowChange, Transaction, TransactionOutcome, TransactionStep,
    Versioned,
};
use crate::time::WallMs;

/// A transaction that writes the final status and the counts of all chunks, at most once.
#[derive(Debug, Clone)]
pub struct FinishTransaction {
    ended: JobRow,
    transaction: Transaction,
}

/// What the outcome of a [`FinishTransaction`] means for the job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinishResult {
    /// The job has this final status, written by this transaction or by one with the same content.
    Ended,
    /// The job row has changed. Absent if the row is gone.
    JobChanged(Option<Box<Versioned<JobRow>>>),
    /// Another instance has taken over the job.
    OwnerChanged,
    /// The outcome is unknown or the store was unavailable. Send the same transaction again; it
    /// is idempotent.
    Resend,
}

const JOB_STEP: usize = 0;

impl FinishTransaction {
    fn new(
        job: &Versioned<JobRow>,
        owner: Condition,
        status: JobStatus,
        counts: JobCounts,
        now: WallMs,
    ) -> Self {
        let ended = JobRow {
            status,
            ended_wall_ms: Some(now.0),
            counts: Some(counts),
            ..job.row.clone()
        };
        let sweep = SweepRow {
            job: ended.job.clone(),
            ended_wall_ms: now.0,
        };
        let steps = vec![
            TransactionStep::new(
                Condition::Version(job.version),
                RowChange::PutJob(ended.clone()),
            ),
            TransactionStep::new(owner, RowChange::DeleteOwner),
            TransactionStep::new(Condition::Any, RowChange::DeleteOpen),
            TransactionStep::new(Condition::Any, RowChange::PutSweep(sweep)),
        ];
        let transaction = Transaction {
            customer: ended.customer.clone(),
            job: ended.job.clone(),
            steps,
        };
        FinishTransaction { ended, transaction }
    }

    /// Final status written by the owner of the job.
    pub fn by_owner(owned: &OwnedJob, status: JobStatus, counts: JobCounts, now: WallMs) -> Self {
        let job = Versioned {
            version: owned.job_version,
            row: owned.row.clone(),
        };
        let owner = Condition::Version(owned.owner_version);
        FinishTransaction::new(&job, owner, status, counts, now)
    }

    /// Final status of a job that is `cancelling` and that its owner, if any, has stopped. No chunk
    /// can be committed once the job is `cancelling`, so `counts` may be read at any time after
    /// that.
    pub fn cancelled(job: &Versioned<JobRow>, counts: JobCounts, now: WallMs) -> Self {
        FinishTransaction::new(job, Condition::Any, JobStatus::Cancelled, counts, now)
    }

    /// The job row that the transaction writes.
    pub fn ended(&self) -> &JobRow {
        &self.ended
    }

    /// The transaction to send to the table service.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Interprets the outcome of the transaction.
    pub fn handle_outcome(&self, outcome: TransactionOutcome) -> FinishResult {
        match outcome {
            TransactionOutcome::Committed => FinishResult::Ended,
            TransactionOutcome::Unavailable | TransactionOutcome::Unknown => FinishResult::Resend,
            TransactionOutcome::Conflict {
                step: JOB_STEP,
                found: ConflictingRow::Job(found),
            } => {
                if found.row == self.ended {
                    return FinishResult::Ended;
                }
                FinishResult::JobChanged(Some(found))
            }
            TransactionOutcome::Conflict { step: JOB_STEP, .. } => FinishResult::JobChanged(None),
            TransactionOutcome::Conflict { .. } => FinishResult::OwnerChanged,
        }
    }
}
