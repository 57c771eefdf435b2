//! The table, with the oracle that judges every transaction that commits.

use std::collections::BTreeMap;

use foxtailhold::batch::transaction::{
    Condition, ConflictingRow, RowChange, Transaction, TransactionOutcome, Versioned,
};
use foxtailhold::batch::{ChunkRow, JobCounts, JobRow, JobStatus, OpenJobRow, OwnerRow};
use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::lease_row::LeaseRow;

use super::count;

/// One run of the process of an instance.
pub type Token = (InstanceId, u64);

#[derive(Debug, Default)]
pub struct Store {
    pub job: BTreeMap<JobId, Versioned<JobRow>>,
    pub open: BTreeMap<JobId, Versioned<OpenJobRow>>,
    pub owner: BTreeMap<JobId, Versioned<OwnerRow>>,
    pub chunk: BTreeMap<(JobId, u32), ChunkRow>,
    pub lease: BTreeMap<InstanceId, Versioned<LeaseRow>>,
    /// Who claimed a job last.
    claimed: BTreeMap<JobId, Token>,
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
    /// A transaction sent by `token`.
    pub fn transact(&mut self, token: &Token, transaction: &Transaction) -> TransactionOutcome {
        for (index, step) in transaction.steps.iter().enumerate() {
            let (holds, found) = self.check(&transaction.job, step.condition, &step.change);
            if !holds {
                return TransactionOutcome::Conflict { step: index, found };
            }
        }
        for step in &transaction.steps {
            self.change(token, &transaction.job, &step.change);
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

    fn change(&mut self, token: &Token, job: &JobId, change: &RowChange) {
        match change {
            RowChange::CheckJob | RowChange::CheckOwner | RowChange::PutSweep(_) => {}
            RowChange::PutJob(row) => {
                self.judge_job(job, row);
                put(&mut self.job, job.clone(), row.clone());
            }
            RowChange::PutOpen(row) => put(&mut self.open, job.clone(), row.clone()),
            RowChange::DeleteOpen => drop(self.open.remove(job)),
            RowChange::PutOwner(row) => {
                if !row.released {
                    self.claimed.insert(job.clone(), token.clone());
                }
                put(&mut self.owner, job.clone(), row.clone());
            }
            RowChange::DeleteOwner => drop(self.owner.remove(job)),
            RowChange::PutChunk(index, row) => {
                count("chunk committed");
                assert_eq!(self.claimed.get(job), Some(token), "an old owner committed");
                let status = self.job[job].row.status;
                assert_eq!(status, JobStatus::InProgress, "a commit after the end");
                let before = self.chunk.insert((job.clone(), *index), row.clone());
                assert_eq!(before, None, "a chunk's result was replaced");
            }
            RowChange::PutLease(instance, row) => self.put_lease(instance, row),
        }
    }

    pub fn put_lease(&mut self, instance: &InstanceId, row: &LeaseRow) {
        if let Some(found) = self.lease.get(instance) {
            assert!(row.epoch >= found.row.epoch, "an epoch went back");
        }
        put(&mut self.lease, instance.clone(), row.clone());
    }

    fn judge_job(&self, job: &JobId, row: &JobRow) {
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
        assert_eq!(row.counts, Some(counts), "the counts are wrong");
        if row.status == JobStatus::Completed {
            assert_eq!(chunks.len(), row.chunks as usize, "completed without all");
        }
    }

    /// The finished chunks of a job.
    pub fn chunks(&self, job: &JobId) -> Vec<(u32, ChunkRow)> {
        let mut found = Vec::new();
        for ((of, index), chunk) in &self.chunk {
            if of == job {
                found.push((*index, chunk.clone()));
            }
        }
        found
    }

    /// Accepts a job once; a resend finds the one accepted before.
    pub fn accept(&mut self, row: &JobRow) {
        if self.job.contains_key(&row.job) {
            count("job resent");
            return;
        }
        put(&mut self.job, row.job.clone(), row.clone());
        put(&mut self.open, row.job.clone(), OpenJobRow::accepted(row));
    }
}
