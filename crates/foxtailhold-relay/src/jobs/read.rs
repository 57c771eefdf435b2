//! Reading results, at any instance.

use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::JobId;
use foxtailhold_platform::{ObjectStore, RowStore};
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::jobs::{ItemState, JobError, Jobs, Result};

/// Results in one answer hold at most about this many bytes.
const PAGE_BYTES: usize = 600_000;
/// Results read with one call.
const PAGE_RESULTS: usize = 24;

/// A result at its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedResult {
    /// The item.
    pub item: String,
    /// Its outcome.
    pub state: ItemState,
    /// The data of all events.
    pub text: String,
}

/// Results from a position on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result of this page.
    pub next: usize,
    /// The results.
    pub results: Vec<ListedResult>,
}

impl<S: RowStore + ObjectStore, D: Dialect> Jobs<S, D> {
    /// Reads results from position `after` on, waiting until there is one, at most `wait_ms`.
    pub async fn read(&self, id: &JobId, after: usize, wait_ms: u64) -> Result<ResultPage> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut changes = self.book.changes();
        let mut known = self.find(id).await?.ok_or(JobError::NotFound)?;
        while known.job.listed.len() <= after && known.job.is_open() {
            match tokio::time::timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => known = self.book.get(id).ok_or(JobError::NotFound)?,
                _ => break,
            }
        }
        let total = known.job.items.len();
        let listed = known.job.listed.len();
        if listed <= after {
            return Ok(ResultPage {
                total,
                next: after,
                results: Vec::new(),
            });
        }
        let to = listed.min(after + PAGE_RESULTS);
        let mut results = self.store.results(id, after, to).await?;
        let mut bytes = 0;
        let fitting = results.iter().take_while(|result| {
            let fits = bytes == 0 || bytes + result.text.len() <= PAGE_BYTES;
            bytes += result.text.len();
            fits
        });
        let count = fitting.count();
        results.truncate(count);
        Ok(ResultPage {
            total,
            next: after + results.len(),
            results,
        })
    }

    /// The body of an item.
    pub async fn item_body(&self, id: &JobId, item: &str) -> Result<Bytes> {
        let known = self.find(id).await?.ok_or(JobError::NotFound)?;
        if known.job.items.iter().all(|(known, _)| known != item) {
            return Err(JobError::NotFound);
        }
        let items = self.store.bodies(id).await?;
        let found = items.iter().find(|known| known.id == item);
        let found = found.ok_or(JobError::NotFound)?;
        Ok(found.body.clone().into())
    }
}
