//! Reads results of jobs, at any instance.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::JobId;
use foxtailhold_platform::{ObjectStore, PlatformError, RowStore, VersionedRow};
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::jobs::cache::CachedJob;
use crate::jobs::split::encoded_text_bytes;
use crate::jobs::{ItemState, Job, JobError, Jobs, Result};
use crate::tables::FollowedTable;

/// Size limit of the results in one page as they are encoded, below what the platform states (1 MB).
/// A page has one result at least, so one that exceeds the limit is a page by itself.
const MAX_PAGE_BYTES: usize = 950_000;
/// Bytes of an encoded result beside its identifier and its text.
const RESULT_OVERHEAD_BYTES: usize = 64;
/// Time limit of all store calls for a reader after its wait, within the time that callers wait beyond
/// the wait that they allow.
const STORE_READS_TIMEOUT_MS: u64 = 1_000;
/// The same while the store is known to be away, many times its usual response time.
const OUTAGE_READS_TIMEOUT_MS: u64 = 300;
/// Results read with one store call.
const MAX_PAGE_RESULTS: usize = 24;

/// The result of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedResult {
    /// Identifier of the item.
    pub item: String,
    /// Whether the item was completed or given up.
    pub state: ItemState,
    /// Data of all events, empty if the item was given up.
    pub text: String,
}

/// Consecutive results of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result of this page.
    pub next: usize,
    /// Results in the order of their positions.
    pub results: Vec<ListedResult>,
}

/// The result of a store call for a reader, who gets an answer in time whether the store does or not.
async fn until<T>(deadline: Instant, read: impl Future<Output = Result<T>>) -> Result<T> {
    let answer = tokio::time::timeout_at(deadline, read).await;
    let no_answer = |_| {
        JobError::Unavailable(PlatformError::Unavailable {
            service: "row store",
            detail: "no answer while the caller waits".into(),
        })
    };
    answer.map_err(no_answer)?.map_err(JobError::of_read)
}

fn encoded_result_bytes(result: &ListedResult) -> usize {
    RESULT_OVERHEAD_BYTES + encoded_text_bytes(&result.item) + encoded_text_bytes(&result.text)
}

impl<S: RowStore + ObjectStore, D: Dialect> Jobs<S, D> {
    /// Reads results from position `after` on. Waits until there is one, for `wait_ms` at most.
    pub async fn read(&self, id: &JobId, after: usize, wait_ms: u64) -> Result<ResultPage> {
        let wait_until = Instant::now() + Duration::from_millis(wait_ms);
        let mut changes = self.cache.changes();
        let limit = self.store_reads_limit();
        let started = Instant::now();
        let found = until(started + limit, self.find(id)).await?;
        let spent = started.elapsed();
        let mut cached = found.ok_or(JobError::NotFound)?;
        while cached.job.listed.len() <= after && cached.job.is_open() {
            match tokio::time::timeout_at(wait_until, changes.changed()).await {
                Ok(Ok(())) => cached = self.cache.get(id).ok_or(JobError::NotFound)?,
                _ => break,
            }
        }
        let limit = self.store_reads_limit();
        let deadline = Instant::now() + limit.saturating_sub(spent);
        let may_have_more = |job: &Job| job.listed.len() <= after && !job.is_complete();
        if may_have_more(&cached.job) {
            let current = self.find_current(id, deadline).await?;
            cached = current.ok_or(JobError::NotFound)?;
        }
        let total = cached.job.items.len();
        let listed = cached.job.listed.len();
        if listed <= after {
            return Ok(ResultPage {
                total,
                next: after,
                results: Vec::new(),
            });
        }
        let to = cached.job.read_end(after, MAX_PAGE_RESULTS);
        let mut results = until(deadline, self.store.results(id, after, to)).await?;
        if results.len() < to - after {
            return Err(self
                .results_missing(id, deadline, (to - after, results.len()))
                .await);
        }
        let mut bytes = 0;
        let fitting_results = results.iter().take_while(|result| {
            let is_first = bytes == 0;
            bytes += encoded_result_bytes(result);
            is_first || bytes <= MAX_PAGE_BYTES
        });
        let count = fitting_results.count();
        results.truncate(count);
        Ok(ResultPage {
            total,
            next: after + results.len(),
            results,
        })
    }

    /// Time limit of the store calls for a reader.
    pub(super) fn store_reads_limit(&self) -> Duration {
        let tables = self.relay.metrics.tables();
        Duration::from_millis(match tables.outage(FollowedTable::Jobs) {
            Some(_) => OUTAGE_READS_TIMEOUT_MS,
            None => STORE_READS_TIMEOUT_MS,
        })
    }

    /// Returns a job as the store has it now; `None` if it has been deleted.
    pub(super) async fn find_in_store(
        &self,
        id: &JobId,
        deadline: Instant,
    ) -> Result<Option<CachedJob>> {
        let Some(row) = until(deadline, self.store.read_job(id)).await? else {
            return Ok(None);
        };
        self.read_row(id, &row)
    }

    /// Takes over the row of a job that was read from the store. Returns the newest row that is known;
    /// `None` if the job has been deleted since.
    pub(super) fn read_row(&self, id: &JobId, row: &VersionedRow) -> Result<Option<CachedJob>> {
        self.cache.put_row(row);
        if let Some(known) = self.cache.get(id) {
            return Ok(Some(known));
        }
        let Some(value) = row.value.as_deref() else {
            return Ok(None);
        };
        match Job::try_from(value) {
            Ok(_) => Ok(None),
            Err(error) => Err(JobError::Malformed {
                job: id.clone(),
                detail: error.to_string(),
            }),
        }
    }

    /// Why the store does not have all results that are listed: the job has just been deleted, or it is
    /// not known.
    async fn results_missing(
        &self,
        id: &JobId,
        deadline: Instant,
        (listed, found): (usize, usize),
    ) -> JobError {
        match self.find_in_store(id, deadline).await {
            Ok(None) => return JobError::NotFound,
            Ok(Some(_)) => {}
            Err(error) => return error,
        }
        log::error!(job = id.as_str(), listed = listed, found = found; "listed results are missing in the store");
        let job = id.clone();
        JobError::ResultsMissing { job, listed, found }
    }

    /// Request body of an item.
    pub async fn item_body(&self, id: &JobId, item: &str) -> Result<Bytes> {
        let cached = self.find(id).await?.ok_or(JobError::NotFound)?;
        if cached.job.items.iter().all(|(id, _)| id != item) {
            return Err(JobError::NotFound);
        }
        let bodies = self.store.bodies(id).await.map_err(JobError::of_read)?;
        let candidate = bodies.items().iter().find(|candidate| candidate.id == item);
        let item = candidate.ok_or(JobError::NotFound)?;
        Ok(item.body.clone())
    }
}
