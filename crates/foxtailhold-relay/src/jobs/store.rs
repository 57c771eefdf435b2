//! Rows and objects of jobs.

use std::sync::Arc;

use bytes::Bytes;
use foxtailhold::attempt_counts::AttemptCounts;
use foxtailhold::ids::JobId;
use foxtailhold_peer::codec;
use foxtailhold_platform::{Changes, Committed, ObjectStore, RowKey, RowStore, VersionedRow};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::jobs::cache::{JOB_PREFIX, QUOTA_PREFIX};
use crate::jobs::checkpoint::ACCOUNT_KEY;
use crate::jobs::{
    BODIES_TABLE, Item, ItemState, JOBS_TABLE, Job, JobError, ListedResult, NewJob, PIECES_TABLE,
    Piece, RESULTS_TABLE, Result,
};

/// Bytes of a text in one row, below the platform's limit on a row with room for base64.
const TEXT_PART_BYTES: usize = 40_000;
/// Bodies up to this size are committed with the job's row, in one call instead of two: less than the
/// store's 1 MB for a transaction, with room for base64.
const INLINE_BYTES: usize = 600_000;
/// Bytes of bodies in one row, below the platform's limit on a row with room for base64.
const BODY_ROW_BYTES: usize = 45_000;
/// Rows deleted with one commit, below the store's limits on a transaction.
const DELETE_ROWS: usize = 80;
/// Jobs whose bodies stay in memory: those that arrived last, most of which run now.
const KEPT_BODIES: usize = 12;

/// A quota's row. Its version serializes the acceptances of a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Tokens that waited right after the last acceptance, or more.
    pub waiting_tokens: u64,
}

/// Part of a result in one row.
#[derive(Debug, Serialize, Deserialize)]
struct ResultPart {
    item: String,
    state: ItemState,
    text: String,
    is_last: bool,
}

type KeptBodies = Vec<(JobId, Arc<Vec<Item>>)>;

/// The jobs' side of the platform's store.
#[derive(Debug, Clone)]
pub struct JobStore<S> {
    platform: S,
    bodies: Arc<Mutex<KeptBodies>>,
}

/// The bodies of a job's items that go into its accepting commit, cut into rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bodies(Vec<Bytes>);

fn encoded(job: &JobId, items: &[Item]) -> Result<Bytes> {
    codec::encode(&items).map_err(|error| JobError::Malformed {
        job: job.clone(),
        detail: error.to_string(),
    })
}

fn job_key(id: &JobId) -> RowKey {
    RowKey::new(JOBS_TABLE, &format!("{JOB_PREFIX}{id}"))
}

fn body_name(id: &JobId) -> String {
    format!("job-{id}")
}

fn result_key(id: &JobId, position: usize, part: usize) -> String {
    format!("{id}/{position:05}.{part:02}")
}

fn json<T: Serialize>(job: &JobId, value: &T) -> Result<Bytes> {
    let written = serde_json::to_vec(value).map_err(|error| JobError::Malformed {
        job: job.clone(),
        detail: error.to_string(),
    })?;
    Ok(written.into())
}

impl<S: RowStore + ObjectStore> JobStore<S> {
    /// Over a platform's store.
    pub fn new(platform: S) -> Self {
        JobStore {
            platform,
            bodies: Arc::default(),
        }
    }

    /// Reads a job's row.
    pub async fn read_job(&self, id: &JobId) -> Result<Option<VersionedRow>> {
        let key = job_key(id);
        let end = format!("{}\u{1}", key.key);
        let snapshot = self.platform.read(JOBS_TABLE, "", &key.key, &end).await?;
        Ok(snapshot.rows.into_iter().find(|row| row.key.key == key.key))
    }

    /// Prepares the bodies of a job's items: small ones go into the accepting commit, large ones
    /// into an object that is written now.
    pub async fn put_bodies(&self, job: &NewJob) -> Result<Bodies> {
        let bytes = encoded(&job.id, &job.items)?;
        self.keep(&job.id, Arc::new(job.items.clone()));
        if bytes.len() <= INLINE_BYTES {
            let rows = bytes.chunks(BODY_ROW_BYTES).map(Bytes::copy_from_slice);
            return Ok(Bodies(rows.collect()));
        }
        self.platform.put_object(&body_name(&job.id), bytes).await?;
        Ok(Bodies(Vec::new()))
    }

    async fn read_bodies(&self, id: &JobId) -> Result<Bytes> {
        let (first, end) = (format!("{id}/"), format!("{id}0"));
        let snapshot = self.platform.read(BODIES_TABLE, "", &first, &end).await?;
        if !snapshot.rows.is_empty() {
            let parts = snapshot.rows.iter().filter_map(|row| row.value.as_deref());
            return Ok(parts.collect::<Vec<_>>().concat().into());
        }
        let object = self.platform.get_object(&body_name(id)).await?;
        object.ok_or(JobError::NotFound)
    }

    fn keep(&self, id: &JobId, items: Arc<Vec<Item>>) {
        let mut bodies = self.bodies.lock();
        bodies.retain(|(known, _)| known != id);
        if bodies.len() >= KEPT_BODIES {
            bodies.remove(0);
        }
        bodies.push((id.clone(), items));
    }

    /// The bodies of a job's items.
    pub async fn bodies(&self, id: &JobId) -> Result<Arc<Vec<Item>>> {
        let kept = {
            let bodies = self.bodies.lock();
            let kept = bodies.iter().find(|(known, _)| known == id);
            kept.map(|(_, items)| Arc::clone(items))
        };
        if let Some(items) = kept {
            return Ok(items);
        }
        let bytes = self.read_bodies(id).await?;
        let items: Vec<Item> = codec::decode(&bytes).map_err(|error| JobError::Malformed {
            job: id.clone(),
            detail: error.to_string(),
        })?;
        let items = Arc::new(items);
        self.keep(id, Arc::clone(&items));
        Ok(items)
    }

    /// Writes a new job, if there is none of its identity and the quota's row is as it was.
    pub async fn accept(
        &self,
        id: &JobId,
        job: &Job,
        bodies: &Bodies,
        quota: Option<(u64, QuotaRow)>,
    ) -> Result<Committed> {
        let mut changes = Changes {
            expected: vec![(job_key(id), 0)],
            puts: vec![(job_key(id), json(id, job)?)],
            deletes: Vec::new(),
        };
        for (part, bytes) in bodies.0.iter().enumerate() {
            let key = RowKey::new(BODIES_TABLE, &format!("{id}/{part:03}"));
            changes.puts.push((key, bytes.clone()));
        }
        if let Some((version, row)) = quota {
            let key = RowKey::new(JOBS_TABLE, &format!("{QUOTA_PREFIX}{}", job.route));
            changes.expected.push((key.clone(), version));
            changes.puts.push((key, json(id, &row)?));
        }
        Ok(self.platform.commit(&changes).await?)
    }

    /// Writes a job's row over the one of `version`, with new results from position `first` on.
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
            puts: vec![(job_key(id), json(id, job)?)],
            deletes: Vec::new(),
        };
        for (offset, result) in results.iter().enumerate() {
            for (part, piece) in parts(result).into_iter().enumerate() {
                let key = result_key(id, first + offset, part);
                changes
                    .puts
                    .push((RowKey::new(RESULTS_TABLE, &key), json(id, &piece)?));
            }
        }
        Ok(self.platform.commit(&changes).await?)
    }

    /// Keeps pieces of unfinished items. They are true whoever owns the job, so there is no condition.
    pub async fn keep_pieces(&self, id: &JobId, pieces: &[(String, Piece)]) -> Result<()> {
        let mut changes = Changes::default();
        for (item, piece) in pieces {
            let key = format!("{id}/{item}/{:06}.{:06}", piece.after, piece.last);
            let key = RowKey::new(PIECES_TABLE, &key);
            changes.puts.push((key, json(id, piece)?));
        }
        self.platform.commit(&changes).await?;
        Ok(())
    }

    /// Writes the account of an item's runs beside its pieces.
    pub async fn write_account(
        &self,
        id: &JobId,
        item: &str,
        account: &AttemptCounts,
    ) -> Result<()> {
        let key = format!("{id}/{item}/{ACCOUNT_KEY}");
        let changes = Changes {
            puts: vec![(RowKey::new(PIECES_TABLE, &key), json(id, account)?)],
            ..Changes::default()
        };
        self.platform.commit(&changes).await?;
        Ok(())
    }

    /// Reads the pieces and accounts of a job's unfinished items.
    pub async fn pieces(&self, id: &JobId) -> Result<Vec<VersionedRow>> {
        let (first, end) = (format!("{id}/"), format!("{id}0"));
        Ok(self
            .platform
            .read(PIECES_TABLE, "", &first, &end)
            .await?
            .rows)
    }

    /// Deletes results, pieces and bodies of a job.
    pub async fn delete_contents(&self, id: &JobId) -> Result<()> {
        let (first, end) = (format!("{id}/"), format!("{id}0"));
        for table in [RESULTS_TABLE, PIECES_TABLE, BODIES_TABLE] {
            let rows = self.platform.read(table, "", &first, &end).await?.rows;
            for some in rows.chunks(DELETE_ROWS) {
                let changes = Changes {
                    deletes: some.iter().map(|row| row.key.clone()).collect(),
                    ..Changes::default()
                };
                self.platform.commit(&changes).await?;
            }
        }
        self.platform.delete_object(&body_name(id)).await?;
        let mut bodies = self.bodies.lock();
        bodies.retain(|(known, _)| known != id);
        Ok(())
    }

    /// Deletes a job's row, if it is still of this version.
    pub async fn delete_job(&self, id: &JobId, version: u64) -> Result<()> {
        let changes = Changes {
            expected: vec![(job_key(id), version)],
            deletes: vec![job_key(id)],
            ..Changes::default()
        };
        self.platform.commit(&changes).await?;
        Ok(())
    }

    /// Reads the results at positions `from` up to, without, `to`.
    pub async fn results(&self, id: &JobId, from: usize, to: usize) -> Result<Vec<ListedResult>> {
        let (first, end) = (result_key(id, from, 0), result_key(id, to, 0));
        let snapshot = self.platform.read(RESULTS_TABLE, "", &first, &end).await?;
        let mut results = Vec::new();
        let mut text = String::new();
        for row in &snapshot.rows {
            let value = row.value.as_deref().unwrap_or_default();
            let part: ResultPart =
                serde_json::from_slice(value).map_err(|error| JobError::Malformed {
                    job: id.clone(),
                    detail: error.to_string(),
                })?;
            text.push_str(&part.text);
            if !part.is_last {
                continue;
            }
            results.push(ListedResult {
                item: part.item,
                state: part.state,
                text: std::mem::take(&mut text),
            });
        }
        Ok(results)
    }
}

fn parts(result: &ListedResult) -> Vec<ResultPart> {
    let mut rest = result.text.as_str();
    let mut parts = Vec::new();
    loop {
        let mut cut = rest.len().min(TEXT_PART_BYTES);
        while !rest.is_char_boundary(cut) {
            cut -= 1;
        }
        let (text, next) = rest.split_at(cut);
        rest = next;
        parts.push(ResultPart {
            item: result.item.clone(),
            state: result.state,
            text: text.to_owned(),
            is_last: rest.is_empty(),
        });
        if rest.is_empty() {
            return parts;
        }
    }
}
