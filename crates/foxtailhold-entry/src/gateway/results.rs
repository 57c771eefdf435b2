//! The two result files of a batch job: answers and errors.
//!
//! A chunk's result object holds one line for each item. The output file consists of the lines of
//! the answered items, the error file of those of the failed ones; each item is in exactly one of
//! the two.

use bytes::Bytes;
use foxtailhold::batch::{ChunkRow, ItemResult};
use foxtailhold::ids::{FileId, JobId};
use foxtailhold::refusal::Result;
use foxtailhold_platform::Platform;

use crate::gateway::rows;
use crate::shared::Shared;
use crate::tables;

/// Selects the items of a result file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemFilter {
    /// Items answered with a 2xx status.
    Answered,
    /// All other items.
    Failed,
}

/// A result file of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultFile {
    /// Job that the file belongs to.
    pub job: JobId,
    /// Items that the file holds.
    pub filter: ItemFilter,
}

impl ItemFilter {
    fn prefix(self) -> &'static str {
        match self {
            ItemFilter::Answered => tables::OUTPUT_PREFIX,
            ItemFilter::Failed => tables::ERROR_PREFIX,
        }
    }

    /// Number of a chunk's items that the file holds.
    fn items(self, chunk: &ChunkRow) -> u64 {
        match self {
            ItemFilter::Answered => chunk.completed,
            ItemFilter::Failed => chunk.failed,
        }
    }

    fn holds(self, line: &[u8]) -> bool {
        let answered = serde_json::from_slice::<ItemResult>(line).is_ok_and(|item| {
            let status = item.response.map(|response| response.status_code);
            item.error.is_none() && status.is_some_and(|status| (200..300).contains(&status))
        });
        answered == (self == ItemFilter::Answered)
    }
}

impl ResultFile {
    /// Parses the id of a result file. `None` if the id names another file.
    pub fn of(file: &FileId) -> Option<Self> {
        for filter in [ItemFilter::Answered, ItemFilter::Failed] {
            let Some(job) = file.as_str().strip_prefix(filter.prefix()) else {
                continue;
            };
            let job = JobId::try_from(job).ok()?;
            return Some(ResultFile { job, filter });
        }
        None
    }

    /// File id; `None` if the job id is too long to be part of one.
    pub fn id(&self) -> Option<FileId> {
        let name = format!("{}{}", self.filter.prefix(), self.job);
        FileId::try_from(name.as_str()).ok()
    }

    /// File name as shown to callers.
    pub fn filename(&self) -> String {
        let kind = match self.filter {
            ItemFilter::Answered => "output",
            ItemFilter::Failed => "error",
        };
        format!("{}_{kind}.jsonl", self.job)
    }

    /// Chunks with at least one item of the file, in order.
    pub async fn chunks<P: Platform>(&self, shared: &Shared<P>) -> Result<Vec<ChunkRow>> {
        let mut selected = Vec::new();
        for (_, chunk) in rows::chunks(shared, &self.job).await? {
            if self.filter.items(&chunk) > 0 {
                selected.push(chunk);
            }
        }
        Ok(selected)
    }

    /// The lines of one chunk's result object that belong to the file.
    pub async fn lines<P: Platform>(&self, shared: &Shared<P>, chunk: &ChunkRow) -> Result<Bytes> {
        let bytes = rows::object(shared, &chunk.object).await?;
        let chunk_items = chunk.completed + chunk.failed;
        if self.filter.items(chunk) == chunk_items {
            return Ok(bytes);
        }
        let mut lines = Vec::new();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.filter.holds(line) {
                lines.extend_from_slice(line);
            }
        }
        Ok(lines.into())
    }

    /// Size in bytes. Only chunks with both answered and failed items have to be read.
    pub async fn size_bytes<P: Platform>(&self, shared: &Shared<P>) -> Result<u64> {
        let mut size_bytes = 0;
        for chunk in self.chunks(shared).await? {
            if self.filter.items(&chunk) == chunk.completed + chunk.failed {
                size_bytes += chunk.bytes;
                continue;
            }
            size_bytes += self.lines(shared, &chunk).await?.len() as u64;
        }
        Ok(size_bytes)
    }
}
