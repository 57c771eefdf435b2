//! Rows and objects of jobs.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use foxtailhold::ids::JobId;
use foxtailhold_platform::{
    Changes, Committed, ObjectStore, RowKey, RowStore, VersionedRow,
};
use serde::{Deserialize, Serialize};

use crate::jobs::book::{JOB_PREFIX, QUOTA_PREFIX};
use crate::jobs::{
    Item, ItemState, JOBS_TABLE, Job, JobError, ListedResult, NewJob, RESULTS_TABLE, Result,
};

/// Bytes of a text in one row, below the platform's limit on a row with room for base64.
const TEXT_PART_BYTES: usize = 40_000;
/// Jobs whose bodies stay in memory: those that arrived last, most of which run now.
const KEPT_BODIES: usize = 12;

/// A quota's row: only its version matters, which serializes acceptances of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Tokens that waited at the last acceptance.
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

    /// Stores the bodies of a job's items.
    pub async fn put_bodies(&self, job: &NewJob) -> Result<()> {
        let bytes = json(&job.id, &job.items)?;
        self.platform.put_object(&body_name(&job.id), bytes).await?;
        self.keep(&job.id, Arc::new(job.items.clone()));
        Ok(())
    }

    fn keep(&self, id: &JobId, items: Arc<Vec<Item>>) {
        let mut bodies = self.bodies.lock().unwrap_or_else(PoisonError::into_inner);
        bodies.retain(|(known, _)| known != id);
        if bodies.len() >= KEPT_BODIES {
            bodies.remove(0);
        }
        bodies.push((id.clone(), items));
    }

    /// The bodies of a job's items.
    pub async fn bodies(&self, id: &JobId) -> Result<Arc<Vec<Item>>> {
        let kept = {
            let bodies = self.bodies.lock().unwrap_or_else(PoisonError::into_inner);
            let kept = bodies.iter().find(|(known, _)| known == id);
            kept.map(|(_, items)| Arc::clone(items))
        };
        if let Some(items) = kept {
            return Ok(items);
        }
        let Some(bytes) = self.platform.get_object(&body_name(id)).await? else {
            return Err(JobError::NotFound);
        };
        let items: Vec<Item> =
            serde_json::from_slice(&bytes).map_err(|error| JobError::Malformed {
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
        quota: Option<(u64, QuotaRow)>,
    ) -> Result<Committed> {
        let mut changes = Changes {
            expected: vec![(job_key(id), 0)],
            puts: vec![(job_key(id), json(id, job)?)],
            deletes: Vec::new(),
        };
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
