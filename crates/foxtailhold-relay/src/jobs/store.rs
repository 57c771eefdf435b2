//! Rows and objects of jobs in the platform's store.

use std::sync::Arc;

use bytes::Bytes;
use foxtailhold::ids::{JobId, MAX_ID_BYTES};
use foxtailhold_http::machine::MachineLimits;
use foxtailhold_http::memory::MemoryBudget;
use foxtailhold_peer::codec;
use foxtailhold_platform::rows::MAX_VALUE_BYTES;
use foxtailhold_platform::{
    Changes, Committed, Feed, ObjectStore, RowKey, RowStore, Snapshot, VersionedRow,
};
use serde::{Deserialize, Serialize};

use crate::jobs::bodies::{BodyCache, JobBodies};
use crate::jobs::cache::JOB_PREFIX;
use crate::jobs::checkpoint::{ATTEMPT_COUNTS_KEY, item_key};
use crate::jobs::counts_writer::CountsWrite;
use crate::jobs::quota::QUOTA_PREFIX;
use crate::jobs::result_rows::{decode_results, result_key, result_rows};
use crate::jobs::row_encoding::encode_row;
use crate::jobs::split::{ResultForm, pack};
use crate::jobs::{
    BODIES_TABLE, CHECKPOINTS_TABLE, Checkpoint, Item, JOBS_TABLE, Job, JobError, ListedResult,
    NewJob, RESULTS_TABLE, Result, RunId,
};

/// Bodies up to this size are committed together with the job's row, which saves one call. It is
/// below the store's limit of 1 MB per transaction, with room for base64.
const MAX_INLINE_BYTES: usize = 600_000;
/// Size limit of the bodies in one row, below the platform's limit on a row with room for base64.
const MAX_BODY_ROW_BYTES: usize = 45_000;
/// Rows deleted with one commit, below the store's limit on a transaction.
const MAX_DELETES_PER_COMMIT: usize = 80;
/// Largest object.
const MAX_OBJECT_BYTES: usize = 8 << 20;
/// Name of the rows of jobs in metrics.
pub(super) const JOB_ROWS: &str = "job";

/// Row of a quota. Its version serializes the acceptances of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Upper bound of the tokens that waited right after the last acceptance.
    pub waiting_tokens: u64,
}

/// Access to the rows and objects of jobs.
#[derive(Debug, Clone)]
pub struct JobStore<S> {
    platform: S,
    bodies: BodyCache,
    /// Held while an object with bodies is read and decoded.
    object_reads: Arc<tokio::sync::Mutex<()>>,
}

/// Encoded bodies that are committed with the job's row, split into rows; empty if they are stored
/// as an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bodies(Vec<Bytes>);

fn encode_items(job: &JobId, items: &[Item]) -> Result<Bytes> {
    codec::encode(&items).map_err(|error| JobError::Malformed {
        job: job.clone(),
        detail: error.to_string(),
    })
}

fn job_key(id: &JobId) -> RowKey {
    RowKey::new(JOBS_TABLE, &format!("{JOB_PREFIX}{id}"))
}

fn object_name(id: &JobId) -> String {
    format!("job-{id}")
}

/// Ranges of two runs never replace each other.
fn checkpoint_key(id: &JobId, item: &str, (after, last): (u64, u64), run: Option<RunId>) -> RowKey {
    let mut key = format!("{id}/{}/{after:06}.{last:06}", item_key(id, item));
    if let Some(run) = run {
        key.push_str(&format!(".{run}"));
    }
    RowKey::new(CHECKPOINTS_TABLE, &key)
}

/// Row of the attempt counts of an item.
pub(super) fn attempt_counts_key(id: &JobId, item: &str) -> RowKey {
    let key = format!("{id}/{}/{ATTEMPT_COUNTS_KEY}", item_key(id, item));
    RowKey::new(CHECKPOINTS_TABLE, &key)
}

fn checkpoint_row(id: &JobId, item: &str, checkpoint: &Checkpoint) -> Result<(RowKey, Bytes)> {
    let run = checkpoint.writer.as_ref().map(|writer| writer.run);
    let key = checkpoint_key(id, item, (checkpoint.after, checkpoint.last), run);
    Ok((key, encode_row(id, checkpoint)?))
}

/// Encodes the row of a job. Where it would exceed a row, it leaves out which results are long.
fn encode_job(id: &JobId, job: &Job) -> Result<Bytes> {
    let row = encode_row(id, job)?;
    if row.len() <= MAX_VALUE_BYTES || job.long_results.is_empty() {
        return Ok(row);
    }
    let shorter = Job {
        long_results: Vec::new(),
        ..job.clone()
    };
    encode_row(id, &shorter)
}

impl<S: RowStore + ObjectStore> JobStore<S> {
    /// Creates the job store on a platform's store, for a machine with the default limits.
    pub fn new(platform: S) -> Self {
        JobStore::with_item_memory(platform, MachineLimits::default().item_memory())
    }

    /// Like [`JobStore::new`], but holds bodies of items in `memory`.
    pub fn with_item_memory(platform: S, memory: MemoryBudget) -> Self {
        JobStore {
            platform,
            bodies: BodyCache::new(memory),
            object_reads: Arc::default(),
        }
    }

    /// Reads the row of a job; `None` if there is none.
    pub async fn read_job(&self, id: &JobId) -> Result<Option<VersionedRow>> {
        let key = job_key(id);
        let end = format!("{}\u{1}", key.key);
        let snapshot = self.platform.read(JOBS_TABLE, "", &key.key, &end).await?;
        Ok(snapshot.rows.into_iter().find(|row| row.key.key == key.key))
    }

    /// Reads the rows of all jobs and quotas.
    pub async fn read_table(&self) -> Result<Snapshot> {
        Ok(self.platform.read(JOBS_TABLE, "", "", "").await?)
    }

    /// Reads the changes of jobs and quotas after a version, without waiting for one.
    pub async fn changes(&self, after: u64) -> Result<Feed> {
        Ok(self.platform.follow(JOBS_TABLE, after, 0).await?)
    }

    /// Prepares the bodies of a job's items: small ones are returned for the accepting commit,
    /// large ones are written to an object now.
    pub async fn put_bodies(&self, job: &NewJob) -> Result<Bodies> {
        let bytes = encode_items(&job.id, &job.items)?;
        self.bodies.insert(&job.id, job.items.clone())?;
        if bytes.len() > MAX_OBJECT_BYTES {
            let bytes = bytes.len();
            return Err(JobError::TooLarge {
                detail: format!("its items have {bytes} bytes of {MAX_OBJECT_BYTES}"),
            });
        }
        if bytes.len() <= MAX_INLINE_BYTES {
            let rows = bytes.chunks(MAX_BODY_ROW_BYTES).map(Bytes::copy_from_slice);
            return Ok(Bodies(rows.collect()));
        }
        self.platform
            .put_object(&object_name(&job.id), bytes)
            .await?;
        Ok(Bodies(Vec::new()))
    }

    /// Whether there is memory for bodies of `bytes` now.
    pub fn may_hold(&self, bytes: usize) -> bool {
        self.bodies.may_fit(bytes)
    }

    /// Forgets the bodies of a job that was not accepted.
    pub fn forget_bodies(&self, id: &JobId) {
        self.bodies.remove(id);
    }

    /// Returns the items of a job, from memory if cached.
    pub async fn bodies(&self, id: &JobId) -> Result<Arc<JobBodies>> {
        if let Some(bodies) = self.bodies.get(id) {
            return Ok(bodies);
        }
        let (first, end) = (format!("{id}/"), format!("{id}0"));
        let snapshot = self.platform.read(BODIES_TABLE, "", &first, &end).await?;
        if !snapshot.rows.is_empty() {
            let parts = snapshot.rows.iter().filter_map(|row| row.value.as_deref());
            return self.hold_bodies(id, &parts.collect::<Vec<_>>().concat());
        }
        // Objects are large, and not counted while they are read and decoded.
        let _turn = self.object_reads.lock().await;
        if let Some(bodies) = self.bodies.get(id) {
            return Ok(bodies);
        }
        let object = self.platform.get_object(&object_name(id)).await?;
        self.hold_bodies(id, &object.ok_or(JobError::NotFound)?)
    }

    fn hold_bodies(&self, id: &JobId, encoded: &[u8]) -> Result<Arc<JobBodies>> {
        let items: Vec<Item> = codec::decode(encoded).map_err(|error| JobError::Malformed {
            job: id.clone(),
            detail: error.to_string(),
        })?;
        Ok(self.bodies.insert(id, items)?)
    }

    /// Checks that a new job fits into the store, and will when all its results are listed.
    pub fn check_size(&self, id: &JobId, job: &Job) -> Result<()> {
        let indexes = 0..=u16::MAX;
        let largest = Job {
            lost_owners: u32::MAX,
            listed: indexes.take(job.items.len()).collect(),
            is_ended: true,
            ..job.clone()
        };
        let longer_owner_bytes = MAX_ID_BYTES.saturating_sub(job.owner.as_str().len());
        let bytes = encode_row(id, &largest)?.len() + longer_owner_bytes;
        if bytes > MAX_VALUE_BYTES {
            return Err(JobError::TooLarge {
                detail: format!(
                    "its item identifiers and other fields have {bytes} bytes of {MAX_VALUE_BYTES}"
                ),
            });
        }
        Ok(())
    }

    /// Writes a new job, on condition that its identifier is unused and the quota row has not
    /// changed.
    pub async fn accept(
        &self,
        id: &JobId,
        job: &Job,
        bodies: &Bodies,
        quota: Option<(u64, QuotaRow)>,
    ) -> Result<Committed> {
        let mut changes = Changes {
            expected: vec![(job_key(id), 0)],
            puts: vec![(job_key(id), encode_job(id, job)?)],
            deletes: Vec::new(),
        };
        for (part, bytes) in bodies.0.iter().enumerate() {
            let key = RowKey::new(BODIES_TABLE, &format!("{id}/{part:03}"));
            changes.puts.push((key, bytes.clone()));
        }
        if let Some((version, row)) = quota {
            let key = RowKey::new(JOBS_TABLE, &format!("{QUOTA_PREFIX}{}", job.route));
            changes.expected.push((key.clone(), version));
            changes.puts.push((key, encode_row(id, &row)?));
        }
        Ok(self.platform.commit(&changes).await?)
    }

    /// Replaces the row of a job at `version` and adds results from position `first` on.
    pub async fn update(
        &self,
        id: &JobId,
        job: &Job,
        version: u64,
        first: usize,
        results: &[ListedResult],
    ) -> Result<Committed> {
        let mut changes = Changes {
            expected: vec![(job_key(id), version)],
            puts: vec![(job_key(id), encode_job(id, job)?)],
            deletes: Vec::new(),
        };
        for (offset, result) in results.iter().enumerate() {
            let rows = result_rows(id, first + offset, result, ResultForm::Usual)?;
            changes.puts.extend(rows);
        }
        Ok(self.platform.commit(&changes).await?)
    }

    /// Number of `results`, from the first on, that fit into one transaction with the row of the
    /// job, which has all of them.
    pub fn count_fitting(
        &self,
        id: &JobId,
        job: &Job,
        first: usize,
        results: &[ListedResult],
    ) -> Result<usize> {
        let mut changes = Changes {
            expected: vec![(job_key(id), 0)],
            puts: vec![(job_key(id), encode_job(id, job)?)],
            deletes: Vec::new(),
        };
        for (offset, result) in results.iter().enumerate() {
            let rows = result_rows(id, first + offset, result, ResultForm::Usual)?;
            changes.puts.extend(rows);
            if !changes.fits() {
                return Ok(offset);
            }
        }
        Ok(results.len())
    }

    /// Lists a result at `position`, with the row of a job at `version`. Its rows are written ahead in
    /// transactions of their own: nobody reads a position that is not listed. The row of the job has a
    /// new version first, so that no write of an earlier attempt takes effect later.
    pub async fn list_ahead(
        &self,
        id: &JobId,
        job: &Job,
        version: u64,
        (position, form): (usize, ResultForm),
        result: &ListedResult,
    ) -> Result<Committed> {
        let version = match self.begin_listing(id, job, version, position).await? {
            Committed::At(version) => version,
            other => return Ok(other),
        };
        let conditions = || Changes {
            expected: vec![(job_key(id), version)],
            ..Changes::default()
        };
        let rows = result_rows(id, position, result, form)?;
        let last = rows.last().cloned();
        let add = |changes: &mut Changes, row: &(RowKey, Bytes)| changes.puts.push(row.clone());
        for group in pack(rows, conditions, add) {
            let mut changes = conditions();
            changes.puts = group;
            match self.platform.commit(&changes).await? {
                Committed::At(_) => {}
                other => return Ok(other),
            }
        }
        let mut changes = conditions();
        changes.puts.push((job_key(id), encode_job(id, job)?));
        changes.puts.extend(last);
        Ok(self.platform.commit(&changes).await?)
    }

    /// Writes the row of a job as it is before the result at `position` is listed.
    async fn begin_listing(
        &self,
        id: &JobId,
        listed: &Job,
        version: u64,
        position: usize,
    ) -> Result<Committed> {
        let mut job = listed.clone();
        job.listed.truncate(position);
        job.long_results
            .retain(|long| usize::from(*long) != position);
        let changes = Changes {
            expected: vec![(job_key(id), version)],
            puts: vec![(job_key(id), encode_job(id, &job)?)],
            ..Changes::default()
        };
        Ok(self.platform.commit(&changes).await?)
    }

    /// Groups checkpoints into ones that fit into one transaction each.
    pub fn pack_checkpoints(
        &self,
        id: &JobId,
        checkpoints: Vec<(String, Checkpoint)>,
    ) -> Vec<Vec<(String, Checkpoint)>> {
        let conditions = || Changes {
            expected: vec![(job_key(id), 0)],
            ..Changes::default()
        };
        pack(checkpoints, conditions, |changes, (item, checkpoint)| {
            // One that cannot be encoded fails when it is saved.
            changes.puts.extend(checkpoint_row(id, item, checkpoint));
        })
    }

    /// Writes checkpoints of unfinished items, if the row of the job has `version`: a copy that is done
    /// late, after the job has another owner or was deleted, has no effect.
    pub async fn save_checkpoints(
        &self,
        id: &JobId,
        version: u64,
        checkpoints: &[(String, Checkpoint)],
    ) -> Result<Committed> {
        let mut changes = Changes {
            expected: vec![(job_key(id), version)],
            ..Changes::default()
        };
        for (item, checkpoint) in checkpoints {
            changes.puts.push(checkpoint_row(id, item, checkpoint)?);
        }
        Ok(self.platform.commit(&changes).await?)
    }

    /// Writes the attempt counts of items next to their checkpoints, if the row of the job has `version`
    /// and those of the counts theirs: a copy that is done late never replaces newer ones.
    pub async fn write_attempt_counts(
        &self,
        id: &JobId,
        version: u64,
        writes: &[CountsWrite],
    ) -> Result<Committed> {
        let mut changes = Changes {
            expected: vec![(job_key(id), version)],
            ..Changes::default()
        };
        for write in writes {
            let key = attempt_counts_key(id, &write.item);
            changes.expected.push((key.clone(), write.counts_version));
            changes.puts.push((key, encode_row(id, &write.counts)?));
        }
        Ok(self.platform.commit(&changes).await?)
    }

    /// Reads the checkpoints and attempt counts of a job's unfinished items.
    pub async fn checkpoints(&self, id: &JobId) -> Result<Vec<VersionedRow>> {
        let (first, end) = (format!("{id}/"), format!("{id}0"));
        Ok(self
            .platform
            .read(CHECKPOINTS_TABLE, "", &first, &end)
            .await?
            .rows)
    }

    /// Deletes the results, checkpoints and bodies of a job.
    pub async fn delete_contents(&self, id: &JobId) -> Result<()> {
        let (first, end) = (format!("{id}/"), format!("{id}0"));
        for table in [RESULTS_TABLE, CHECKPOINTS_TABLE, BODIES_TABLE] {
            let rows = self.platform.read(table, "", &first, &end).await?.rows;
            for chunk in rows.chunks(MAX_DELETES_PER_COMMIT) {
                let changes = Changes {
                    deletes: chunk.iter().map(|row| row.key.clone()).collect(),
                    ..Changes::default()
                };
                if let Committed::Refused(detail) = self.platform.commit(&changes).await? {
                    return Err(JobError::refused(detail));
                }
            }
        }
        self.platform.delete_object(&object_name(id)).await?;
        self.bodies.remove(id);
        Ok(())
    }

    /// Deletes the row of a job if it still has `version`.
    pub async fn delete_job(&self, id: &JobId, version: u64) -> Result<Committed> {
        let changes = Changes {
            expected: vec![(job_key(id), version)],
            deletes: vec![job_key(id)],
            ..Changes::default()
        };
        Ok(self.platform.commit(&changes).await?)
    }

    /// Reads the results at positions `from..to`.
    pub async fn results(&self, id: &JobId, from: usize, to: usize) -> Result<Vec<ListedResult>> {
        let (first, end) = (result_key(id, from, 0), result_key(id, to, 0));
        let snapshot = self.platform.read(RESULTS_TABLE, "", &first, &end).await?;
        decode_results(id, &snapshot.rows)
    }
}
