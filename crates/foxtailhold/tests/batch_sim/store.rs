//! Simulated table service with an oracle that checks every committed transaction.

use std::collections::BTreeMap;

use foxtailhold::batch::transaction::{
    Condition, ConflictingRow, RowChange, Transaction, TransactionOutcome, Versioned,
};
use foxtailhold::batch::{ChunkRow, JobCounts, JobRow, JobStatus, OpenJobRow, OwnerRow};
use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::lease_row::LeaseRow;

use super::count;

/// A process of an instance; a restart raises the number.
pub type ProcessId = (InstanceId, u64);

#[derive(Debug, Default)]
pub struct Store {
    pub job: BTreeMap<JobId, Versioned<JobRow>>,
    pub open: BTreeMap<JobId, Versioned<OpenJobRow>>,
    pub owner: BTreeMap<JobId, Versioned<OwnerRow>>,
    pub chunk: BTreeMap<(JobId, u32), ChunkRow>,
    pub lease: BTreeMap<InstanceId, Versioned<LeaseRow>>,
    /// The process that claimed each job last.
    last_claimer: BTreeMap<JobId, ProcessId>,
}

fn holds<T>(condition: Condition, row: Option<&Versioned<T>>) -> bool {
    match condition {
        Condition::Any => true,
        _ => condition == Condition::unchanged(row),
    }
}

fn put<K: Ord, T>(rows: &mut BTreeMap<K, Versioned<T>>, key: K, row: T) {
    let version = rows.get(&key).map_or(0, |found| found.version) + 1;
    rows.insert(key, Versioned { version, row });
}

impl Store {
    /// Applies a transaction sent by `process`.
    pub fn transact(
        &mut self,
        process: &ProcessId,
        transaction: &Transaction,
    ) -> TransactionOutcome {
        for (index, step) in transaction.steps.iter().enumerate() {
            let (holds, found) = self.check(&transaction.job, step.condition, &step.change);
            if !holds {
                return TransactionOutcome::Conflict { step: index, found };
            }
        }
        for step in &transaction.steps {
            self.change(process, &transaction.job, &step.change);
        }
        TransactionOutcome::Committed
    }

    fn check(
        &self,
        job: &JobId,
        condition: Condition,
        change: &RowChange,
    ) -> (bool, ConflictingRow) {
        match change {
            RowChange::CheckJob | RowChange::PutJob(_) => {
                let found = self.job.get(job);
                let row = found.map_or(ConflictingRow::None, |row| {
                    ConflictingRow::Job(Box::new(row.clone()))
                });
                (holds(condition, found), row)
            }
            RowChange::PutOpen(_) | RowChange::DeleteOpen => {
                (holds(condition, self.open.get(job)), ConflictingRow::Other)
            }
            RowChange::CheckOwner | RowChange::PutOwner(_) | RowChange::DeleteOwner => {
                (holds(condition, self.owner.get(job)), ConflictingRow::Other)
            }
            RowChange::PutChunk(index, _) => {
                let found = self.chunk.get(&(job.clone(), *index));
                let row = found.map_or(ConflictingRow::None, |row| {
                    ConflictingRow::Chunk(row.clone())
                });
                (condition == Condition::Any || found.is_none(), row)
            }
            RowChange::PutSweep(_) => (true, ConflictingRow::Other),
            RowChange::PutLease(instance, _) => (
                holds(condition, self.lease.get(instance)),
                ConflictingRow::Other,
            ),
        }
    }

    fn change(&mut self, process: &ProcessId, job: &JobId, change: &RowChange) {
        match change {
            RowChange::CheckJob | RowChange::CheckOwner | RowChange::PutSweep(_) => {}
            RowChange::PutJob(row) => {
                self.check_job_write(job, row);
                put(&mut self.job, job.clone(), row.clone());
            }
            RowChange::PutOpen(row) => put(&mut self.open, job.clone(), row.clone()),
            RowChange::DeleteOpen => drop(self.open.remove(job)),
            RowChange::PutOwner(row) => {
                if !row.released {
                    self.last_claimer.insert(job.clone(), process.clone());
                }
                put(&mut self.owner, job.clone(), row.clone());
            }
            RowChange::DeleteOwner => drop(self.owner.remove(job)),
            RowChange::PutChunk(index, row) => {
                count("chunk committed");
                assert_eq!(
                    self.last_claimer.get(job),
                    Some(process),
                    "a previous owner committed a chunk"
                );
                let status = self.job[job].row.status;
                assert_eq!(
                    status,
                    JobStatus::InProgress,
                    "a chunk was committed after the job was cancelled or ended"
                );
                let before = self.chunk.insert((job.clone(), *index), row.clone());
                assert_eq!(before, None, "a chunk's result was replaced");
            }
            RowChange::PutLease(instance, row) => self.put_lease(instance, row),
        }
    }

    pub fn put_lease(&mut self, instance: &InstanceId, row: &LeaseRow) {
        if let Some(found) = self.lease.get(instance) {
            assert!(
                row.epoch >= found.row.epoch,
                "the epoch of a lease decreased"
            );
        }
        put(&mut self.lease, instance.clone(), row.clone());
    }

    fn check_job_write(&self, job: &JobId, row: &JobRow) {
        let before = self.job.get(job).map(|found| found.row.status);
        assert!(
            !before.is_some_and(JobStatus::is_final),
            "a final status changed"
        );
        if !row.status.is_final() {
            return;
        }
        count("job ended");
        let chunks = self.chunks(job);
        let mut counts = JobCounts::default();
        for (_, chunk) in &chunks {
            counts.add(chunk);
        }
        assert_eq!(
            row.counts,
            Some(counts),
            "the counts of the final status do not match the chunks"
        );
        if row.status == JobStatus::Completed {
            assert_eq!(
                chunks.len(),
                row.chunks as usize,
                "a job was completed without all chunks"
            );
        }
    }

    /// The committed chunks of a job.
    pub fn chunks(&self, job: &JobId) -> Vec<(u32, ChunkRow)> {
        let mut found = Vec::new();
        for ((owner_job, index), chunk) in &self.chunk {
            if owner_job == job {
                found.push((*index, chunk.clone()));
            }
        }
        found
    }

    /// Accepts a job; a resend finds the job that was accepted before.
    pub fn accept(&mut self, row: &JobRow) {
        if self.job.contains_key(&row.job) {
            count("job resent");
            return;
        }
        put(&mut self.job, row.job.clone(), row.clone());
        put(&mut self.open, row.job.clone(), OpenJobRow::accepted(row));
    }
}
