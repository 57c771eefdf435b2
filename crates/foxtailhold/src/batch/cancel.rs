//! Cancelling a job.
//!
//! First the job's row says `cancelling`, in a transaction that also checks the owner's row as it
//! was read: from then on no chunk is committed, no claim runs items, and the only instance that
//! may be running items is the owner found. Once that one says it has stopped, or its lease has
//! run out, the status becomes `cancelled`; only then is the cancel acknowledged as such.

use crate::batch::rows::{JobRow, JobStatus, OpenJobRow, OwnerRow};
use crate::batch::transaction::{
    Condition, RowChange, Transaction, TransactionOutcome, TransactionStep, Versioned,
};
use crate::ids::InstanceId;

/// Marks a job as being cancelled.
#[derive(Debug, Clone)]
pub struct CancelTransaction {
    marked: Versioned<JobRow>,
    owner: Option<InstanceId>,
    transaction: Transaction,
}

/// What to do after a look at a job that a caller wants cancelled.
#[derive(Debug, Clone)]
pub enum CancelPlan {
    /// The status is final: nothing to do.
    Final,
    /// The mark is there: stop the owner, then finish.
    Cancelling(CancellingJob),
    /// Send the mark.
    Begin(CancelTransaction),
}

/// A job whose cancel is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancellingJob {
    /// The job's row, `cancelling`.
    pub job: Versioned<JobRow>,
    /// The instance that may still run items of it.
    pub owner: Option<InstanceId>,
}

fn running_owner(owner: Option<&Versioned<OwnerRow>>) -> Option<InstanceId> {
    let owner = &owner?.row;
    (!owner.released).then(|| owner.holder.clone())
}

impl CancelTransaction {
    /// Plans from a look at the job. The owner's row must have been read after or together with
    /// the job's row where that says `cancelling`.
    pub fn plan(job: Versioned<JobRow>, owner: Option<&Versioned<OwnerRow>>) -> CancelPlan {
        let running = running_owner(owner);
        match job.row.status {
            JobStatus::InProgress => {}
            JobStatus::Cancelling => {
                return CancelPlan::Cancelling(CancellingJob {
                    job,
                    owner: running,
                });
            }
            _ => return CancelPlan::Final,
        }
        let row = JobRow {
            status: JobStatus::Cancelling,
            ..job.row
        };
        let open = OpenJobRow::cancelling(&row);
        let steps = vec![
            TransactionStep::new(
                Condition::Version(job.version),
                RowChange::PutJob(row.clone()),
            ),
            TransactionStep::new(Condition::unchanged(owner), RowChange::CheckOwner),
            TransactionStep::new(Condition::Any, RowChange::PutOpen(open)),
        ];
        let transaction = Transaction {
            customer: row.customer.clone(),
            job: row.job.clone(),
            steps,
        };
        let marked = Versioned {
            version: job.version + 1,
            row,
        };
        CancelPlan::Begin(CancelTransaction {
            marked,
            owner: running,
            transaction,
        })
    }

    /// The transaction to send.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// The marked job, or `None` where the job has to be looked at again: it changed meanwhile, or
    /// the answer was lost.
    pub fn close(self, outcome: &TransactionOutcome) -> Option<CancellingJob> {
        (*outcome == TransactionOutcome::Committed).then_some(CancellingJob {
            job: self.marked,
            owner: self.owner,
        })
    }
}
