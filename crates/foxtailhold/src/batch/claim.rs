//! Claim of a job by an instance, which becomes its owner.
//!
//! The claim is conditional on the versions of the job row and the owner row that were read. A
//! stale read therefore leads to a conflict and never to two owners. If the lease of the previous
//! owner has expired, the same transaction marks that lease as ended.

use std::collections::HashMap;

use crate::batch::rows::{JobRow, OwnerRow};
use crate::batch::transaction::{
    Condition, RowChange, Transaction, TransactionOutcome, TransactionStep, Versioned,
};
use crate::ids::InstanceId;
use crate::lease::WatchedLease;
use crate::lease_row::LeaseRow;
use crate::time::MonoMs;

/// Leases of other instances, as one instance has observed them.
pub type WatchedLeases = HashMap<InstanceId, WatchedLease>;

/// A job with the versions and the fencing number under which an instance owns it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedJob {
    /// The job row as last read.
    pub row: JobRow,
    /// Version of the job row.
    pub job_version: u64,
    /// Epoch of the owner's lease, the fencing number of its commits.
    pub epoch: u64,
    /// Version of the owner row; each claim raises it.
    pub owner_version: u64,
}

/// Rows read before a claim is planned.
#[derive(Debug, Clone, Default)]
pub struct ClaimView {
    /// The job row; `None` if there is none.
    pub job: Option<Versioned<JobRow>>,
    /// The owner row; `None` if the job has no owner yet.
    pub owner: Option<Versioned<OwnerRow>>,
    /// The lease of the owner; read only if the owner is another instance.
    pub owner_lease: Option<Versioned<LeaseRow>>,
    /// Time at which the read of the lease was sent.
    pub sent_at: MonoMs,
    /// Time at which the response to that read arrived.
    pub received_at: MonoMs,
}

/// A planned claim, not sent yet.
#[derive(Debug, Clone)]
pub struct Claim {
    owned: OwnedJob,
    transaction: Transaction,
}

/// The owner whose lease has to be read before a claim can be planned; `None` if the job has no
/// owner, was released or is owned by `me`.
pub fn other_owner<'a>(
    me: &InstanceId,
    owner: Option<&'a Versioned<OwnerRow>>,
) -> Option<&'a InstanceId> {
    let owner = &owner?.row;
    (owner.holder != *me && !owner.released).then_some(&owner.holder)
}

/// Whether the owner may still act under its lease.
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
    let watched_lease = watched
        .entry(owner.holder.clone())
        .or_insert_with(|| WatchedLease::new(found.version, view.received_at));
    watched_lease.observe(found.version, view.received_at);
    let Some(version) = watched_lease.expired_version(view.sent_at) else {
        return OwnerLease::Held;
    };
    let ended = LeaseRow {
        ended: true,
        ..found.row.clone()
    };
    OwnerLease::Lapsed { version, ended }
}

impl Claim {
    /// Plans the claim of a job by `me` with the fencing number `epoch`. Returns `None` if the job
    /// has ended or its owner may still act.
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
        let new_owner = OwnerRow {
            holder: me.clone(),
            epoch,
            released: false,
        };
        let owner_condition = Condition::unchanged(view.owner.as_ref());
        let mut steps = vec![
            TransactionStep::new(Condition::Version(job.version), RowChange::CheckJob),
            TransactionStep::new(owner_condition, RowChange::PutOwner(new_owner)),
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

    /// The transaction to send to the table service, at most once.
    pub fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Returns the job if the claim was committed. After a lost response the job is not treated as
    /// owned: the next scan finds the owner row of this instance and claims the job again, which
    /// fences anything that the earlier claim may still cause.
    pub fn close(self, outcome: &TransactionOutcome) -> Option<OwnedJob> {
        (*outcome == TransactionOutcome::Committed).then_some(self.owned)
    }
}

/// The transaction by which the owner `me` releases a job, so that another instance may claim it
/// without waiting for the lease to expire.
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
