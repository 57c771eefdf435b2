//! Giving a job its final status.

use crate::batch::claim::OwnedJob;
use crate::batch::rows::{JobCounts, JobRow, JobStatus};
use crate::batch::sweep::SweepRow;
use crate::batch::transaction::{
    Condition, ConflictingRow, RowChange, Transaction, TransactionOutcome, TransactionStep,
    Versioned,
};
use crate::time::WallMs;

/// Writes the final status with the counts of all chunks, once.
#[derive(Debug, Clone)]
pub struct FinishTransaction {
    ended: JobRow,
    transaction: Transaction,
}

/// What an outcome means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinishResult {
    /// The job has this final status, by this transaction or one with the same content.
    Ended,
    /// The job's row has changed; absent where it is gone.
    JobChanged(Option<Box<Versioned<JobRow>>>),
    /// The job was taken over.
    OwnerChanged,
    /// Nothing is known: the same transaction is sent again, which is harmless.
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

    /// By the owner of the job.
    pub fn by_owner(owned: &OwnedJob, status: JobStatus, counts: JobCounts, now: WallMs) -> Self {
        let job = Versioned {
            version: owned.job_version,
            row: owned.row.clone(),
        };
        let owner = Condition::Version(owned.owner_version);
        FinishTransaction::new(&job, owner, status, counts, now)
    }

    /// Of a job whose cancel is committed and whose owner, if any, has stopped it. From the cancel
    /// on no chunk can be committed, so `counts` may be read at any time after it.
    pub fn cancelled(job: &Versioned<JobRow>, counts: JobCounts, now: WallMs) -> Self {
        FinishTransaction::new(job, Condition::Any, JobStatus::Cancelled, counts, now)
    }

    /// The job's row as it will be.
    pub fn ended(&self) -> &JobRow {
        &self.ended
    }

    /// The transaction to send.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Takes what became of the transaction.
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
