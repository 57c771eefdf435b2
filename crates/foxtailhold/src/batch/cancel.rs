//! Cancellation of a job.
//!
//! The first transaction sets the job's status to `cancelling` and checks that the owner row has
//! not changed since it was read. After it, no chunk can be committed, no claim starts items, and
//! only the owner found in that row may still be running items. Once this owner has confirmed that
//! it stopped, or its lease has expired, the status becomes `cancelled`. Only then is the
//! cancellation reported as complete.

use crate::batch::rows::{JobRow, JobStatus, OpenJobRow, OwnerRow};
use crate::batch::transaction::{
    Condition, RowChange, Transaction, TransactionOutcome, TransactionStep, Versioned,
};
use crate::ids::InstanceId;

/// A transaction that sets the status of a job to `cancelling`.
#[derive(Debug, Clone)]
pub struct CancelTransaction {
    cancelling_job: Versioned<JobRow>,
    owner: Option<InstanceId>,
    transaction: Transaction,
}

/// Next step of a cancellation, planned from the rows of the job.
#[derive(Debug, Clone)]
pub enum CancelPlan {
    /// The status of the job is final, so there is nothing to cancel.
    Final,
    /// The status is already `cancelling`: stop the owner, then write the final status.
    Cancelling(CancellingJob),
    /// The job is in progress: send this transaction.
    Begin(CancelTransaction),
}

/// A job whose status `cancelling` is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancellingJob {
    /// The job row, with the status `cancelling`.
    pub job: Versioned<JobRow>,
    /// The instance that may still run items of the job; `None` if no instance owns it.
    pub owner: Option<InstanceId>,
}

fn running_owner(owner: Option<&Versioned<OwnerRow>>) -> Option<InstanceId> {
    let owner = &owner?.row;
    (!owner.released).then(|| owner.holder.clone())
}

impl CancelTransaction {
    /// Plans the next step from the rows that were read. If the job row says `cancelling`, the
    /// owner row must have been read after it or in the same read.
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
        let cancelling_job = Versioned {
            version: job.version + 1,
            row,
        };
        CancelPlan::Begin(CancelTransaction {
            cancelling_job,
            owner: running,
            transaction,
        })
    }

    /// The transaction to send to the table service.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Returns the job, now `cancelling`, or `None` if its rows have to be read again because they
    /// have changed or the response was lost.
    pub fn close(self, outcome: &TransactionOutcome) -> Option<CancellingJob> {
        (*outcome == TransactionOutcome::Committed).then_some(CancellingJob {
            job: self.cancelling_job,
            owner: self.owner,
        })
    }
}
