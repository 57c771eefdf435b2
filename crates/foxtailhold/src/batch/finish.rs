//! Giving a job its final status.

use crate::batch::claim::OwnedJob;
use crate::batch::rows::{JobCounts, JobRow, JobStatus};
use crate::batch::sweep::SweepRow;
use crate::batch::transaction::{
    Change, Condition, FoundRow, Outcome, Step, Transaction, Versioned,
};
use crate::time::WallMs;

/// Writes the final status with the counts of all chunks, once.
#[derive(Debug, Clone)]
pub struct Finish {
    ended: JobRow,
    transaction: Transaction,
}

/// What an outcome means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FinishStep {
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

impl Finish {
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
            Step::new(
                Condition::Version(job.version),
                Change::PutJob(ended.clone()),
            ),
            Step::new(owner, Change::DeleteOwner),
            Step::new(Condition::Any, Change::DeleteOpen),
            Step::new(Condition::Any, Change::PutSweep(sweep)),
        ];
        let transaction = Transaction {
            customer: ended.customer.clone(),
            job: ended.job.clone(),
            steps,
        };
        Finish { ended, transaction }
    }

    /// By the owner of the job.
    pub fn by_owner(owned: &OwnedJob, status: JobStatus, counts: JobCounts, now: WallMs) -> Self {
        let job = Versioned {
            version: owned.job_version,
            row: owned.row.clone(),
        };
        let owner = Condition::Version(owned.owner_version);
        Finish::new(&job, owner, status, counts, now)
    }

    /// Of a job whose cancel is committed and whose owner, if any, has stopped it. From the cancel
    /// on no chunk can be committed, so `counts` may be read at any time after it.
    pub fn cancelled(job: &Versioned<JobRow>, counts: JobCounts, now: WallMs) -> Self {
        Finish::new(job, Condition::Any, JobStatus::Cancelled, counts, now)
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
    pub fn on(&self, outcome: Outcome) -> FinishStep {
        match outcome {
            Outcome::Committed => FinishStep::Ended,
            Outcome::Unavailable | Outcome::Unknown => FinishStep::Resend,
            Outcome::Conflict {
                step: JOB_STEP,
                found: FoundRow::Job(found),
            } => {
                if found.row == self.ended {
                    return FinishStep::Ended;
                }
                FinishStep::JobChanged(Some(found))
            }
            Outcome::Conflict { step: JOB_STEP, .. } => FinishStep::JobChanged(None),
            Outcome::Conflict { .. } => FinishStep::OwnerChanged,
        }
    }
}
