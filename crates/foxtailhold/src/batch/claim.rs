//! Taking over a job.
//!
//! The claim is conditional on the versions of the job's row and the owner's row that were read,
//! so that a lagging read costs a conflict, never a second owner. Where the owner's lease has run
//! out, the same transaction marks that lease as ended.

use std::collections::HashMap;

use crate::batch::rows::{JobRow, OwnerRow};
use crate::batch::transaction::{
    Condition, RowChange, Transaction, TransactionOutcome, TransactionStep, Versioned,
};
use crate::ids::InstanceId;
use crate::lease::WatchedLease;
use crate::lease_row::LeaseRow;
use crate::time::MonoMs;

/// Leases of other instances as one instance sees them.
pub type WatchedLeases = HashMap<InstanceId, WatchedLease>;

/// A job owned by an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedJob {
    /// The job's row as the claim found it.
    pub row: JobRow,
    /// Version of that row.
    pub job_version: u64,
    /// Fencing number under which it is owned.
    pub epoch: u64,
    /// Version of the owner's row: each take-over raises it.
    pub owner_version: u64,
}

/// What one look at a job found.
#[derive(Debug, Clone, Default)]
pub struct ClaimView {
    /// The job's row.
    pub job: Option<Versioned<JobRow>>,
    /// The owner's row.
    pub owner: Option<Versioned<OwnerRow>>,
    /// The lease of the owner, where that is another instance.
    pub owner_lease: Option<Versioned<LeaseRow>>,
    /// When the read of the lease was sent.
    pub asked_at: MonoMs,
    /// When its answer came.
    pub answered_at: MonoMs,
}

/// A claim ready to be sent.
#[derive(Debug, Clone)]
pub struct Claim {
    owned: OwnedJob,
    transaction: Transaction,
}

/// The owner whose lease has to be read before a claim can be planned.
pub fn other_owner<'a>(
    me: &InstanceId,
    owner: Option<&'a Versioned<OwnerRow>>,
) -> Option<&'a InstanceId> {
    let owner = &owner?.row;
    (owner.holder != *me && !owner.released).then_some(&owner.holder)
}

/// Whether the owner may still act on its lease.
enum OwnerLease {
    Held,
    Ended,
    Lapsed { version: u64, ended: LeaseRow },
}

fn owner_lease(owner: &OwnerRow, view: &ClaimView, watched: &mut WatchedLeases) -> OwnerLease {
    let Some(found) = &view.owner_lease else {
        return OwnerLease::Ended;
    };
    if found.row.ended || found.row.epoch != owner.epoch {
        return OwnerLease::Ended;
    }
    let seen = watched
        .entry(owner.holder.clone())
        .or_insert_with(|| WatchedLease::new(found.version, view.answered_at));
    seen.observe(found.version, view.answered_at);
    let Some(version) = seen.expired_version(view.asked_at) else {
        return OwnerLease::Held;
    };
    let ended = LeaseRow {
        ended: true,
        ..found.row.clone()
    };
    OwnerLease::Lapsed { version, ended }
}

impl Claim {
    /// Plans the claim of a job by `me` under the fencing number `epoch`. `None` where the job has
    /// ended or its owner may still act.
    pub fn plan(
        me: &InstanceId,
        epoch: u64,
        view: ClaimView,
        watched: &mut WatchedLeases,
    ) -> Option<Self> {
        let job = view.job.clone()?;
        if job.row.status.is_final() {
            return None;
        }
        let next = OwnerRow {
            holder: me.clone(),
            epoch,
            released: false,
        };
        let owner_condition = Condition::unchanged(view.owner.as_ref());
        let mut steps = vec![
            TransactionStep::new(Condition::Version(job.version), RowChange::CheckJob),
            TransactionStep::new(owner_condition, RowChange::PutOwner(next)),
        ];
        if other_owner(me, view.owner.as_ref()).is_some() {
            let owner = &view.owner.as_ref()?.row;
            match owner_lease(owner, &view, watched) {
                OwnerLease::Held => return None,
                OwnerLease::Ended => {}
                OwnerLease::Lapsed { version, ended } => {
                    let change = RowChange::PutLease(owner.holder.clone(), ended);
                    steps.push(TransactionStep::new(Condition::Version(version), change));
                }
            }
        }
        let owned = OwnedJob {
            job_version: job.version,
            epoch,
            owner_version: view.owner.map_or(0, |owner| owner.version) + 1,
            row: job.row,
        };
        let transaction = Transaction {
            customer: owned.row.customer.clone(),
            job: owned.row.job.clone(),
            steps,
        };
        Some(Claim { owned, transaction })
    }

    /// The transaction to send, once.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// The job, if it is owned now. After a lost answer it is not treated as owned: the next look
    /// finds the own row and claims it again, which fences whatever the lost claim may still do.
    pub fn close(self, outcome: &TransactionOutcome) -> Option<OwnedJob> {
        (*outcome == TransactionOutcome::Committed).then_some(self.owned)
    }
}

/// Gives a job up so that another instance may take it at once.
pub fn release(owned: &OwnedJob, me: &InstanceId) -> Transaction {
    let row = OwnerRow {
        holder: me.clone(),
        epoch: owned.epoch,
        released: true,
    };
    let condition = Condition::Version(owned.owner_version);
    Transaction {
        customer: owned.row.customer.clone(),
        job: owned.row.job.clone(),
        steps: vec![TransactionStep::new(condition, RowChange::PutOwner(row))],
    }
}
