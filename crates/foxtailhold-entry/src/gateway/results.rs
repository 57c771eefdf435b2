//! The two result files of a batch job: answers and errors.
//!
//! A chunk's result object holds one line for each item. The output file is its answered items,
//! the error file its failed ones; each item stands in one of the two.

use bytes::Bytes;
use foxtailhold::batch::{ChunkRow, ItemResult};
use foxtailhold::ids::{FileId, JobId};
use foxtailhold::refusal::Result;
use foxtailhold_platform::Platform;

use crate::gateway::rows;
use crate::shared::Shared;
use crate::tables;

/// Which items a result file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Items answered with a 2xx status.
    Answered,
    /// All others.
    Failed,
}

/// A result file of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultFile {
    /// The job.
    pub job: JobId,
    /// Its items.
    pub outcome: Outcome,
}

impl Outcome {
    fn prefix(self) -> &'static str {
        match self {
            Outcome::Answered => tables::OUTPUT_PREFIX,
            Outcome::Failed => tables::ERROR_PREFIX,
        }
    }

    /// How many of a chunk's items the file holds.
    fn items(self, chunk: &ChunkRow) -> u64 {
        match self {
            Outcome::Answered => chunk.completed,
            Outcome::Failed => chunk.failed,
        }
    }

    fn holds(self, line: &[u8]) -> bool {
        let answered = serde_json::from_slice::<ItemResult>(line).is_ok_and(|item| {
            let status = item.response.map(|response| response.status_code);
            item.error.is_none() && status.is_some_and(|status| (200..300).contains(&status))
        });
        answered == (self == Outcome::Answered)
    }
}

impl ResultFile {
    /// The result file that an identifier names, if it names one.
    pub fn of(file: &FileId) -> Option<Self> {
        for outcome in [Outcome::Answered, Outcome::Failed] {
            let Some(job) = file.as_str().strip_prefix(outcome.prefix()) else {
                continue;
            };
            let job = JobId::try_from(job).ok()?;
            return Some(ResultFile { job, outcome });
        }
        None
    }

    /// Its identifier.
    pub fn id(&self) -> Option<FileId> {
        let name = format!("{}{}", self.outcome.prefix(), self.job);
        FileId::try_from(name.as_str()).ok()
    }

    /// Its name as shown to callers.
    pub fn filename(&self) -> String {
        let kind = match self.outcome {
            Outcome::Answered => "output",
            Outcome::Failed => "error",
        };
        format!("{}_{kind}.jsonl", self.job)
    }

    /// Chunks with at least one item of the file, in order.
    pub async fn chunks<P: Platform>(&self, shared: &Shared<P>) -> Result<Vec<ChunkRow>> {
        let mut held = Vec::new();
        for (_, chunk) in rows::chunks(shared, &self.job).await? {
            if self.outcome.items(&chunk) > 0 {
                held.push(chunk);
            }
        }
        Ok(held)
    }

    /// The lines of one chunk's result object that belong to the file.
    pub async fn lines<P: Platform>(&self, shared: &Shared<P>, chunk: &ChunkRow) -> Result<Bytes> {
        let bytes = rows::object(shared, &chunk.object).await?;
        let whole = chunk.completed + chunk.failed;
        if self.outcome.items(chunk) == whole {
            return Ok(bytes);
        }
        let mut lines = Vec::new();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.outcome.holds(line) {
                lines.extend_from_slice(line);
            }
        }
        Ok(lines.into())
    }

    /// Its size. Only chunks with items of both kinds have to be read.
    pub async fn size_bytes<P: Platform>(&self, shared: &Shared<P>) -> Result<u64> {
        let mut size_bytes = 0;
        for chunk in self.chunks(shared).await? {
            if self.outcome.items(&chunk) == chunk.completed + chunk.failed {
                size_bytes += chunk.bytes;
                continue;
            }
            size_bytes += self.lines(shared, &chunk).await?.len() as u64;
        }
        Ok(size_bytes)
    }
}
