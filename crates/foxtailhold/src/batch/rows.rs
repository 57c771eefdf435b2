//! Rows of batch jobs in the table service.

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, FileId, InstanceId, JobId};

/// Where a job stands. Names are those of the OpenAI batch object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// Accepted; its items run.
    InProgress,
    /// A cancel is committed; items in flight are being stopped.
    Cancelling,
    /// Stopped by a cancel.
    Cancelled,
    /// Every item has its result.
    Completed,
    /// Its deadline passed; results so far stay readable.
    Expired,
}

impl JobStatus {
    /// Whether it never changes again.
    pub fn is_final(self) -> bool {
        !matches!(self, JobStatus::InProgress | JobStatus::Cancelling)
    }

    /// The text in the batch object.
    pub fn as_str(self) -> &'static str {
        match self {
            JobStatus::InProgress => "in_progress",
            JobStatus::Cancelling => "cancelling",
            JobStatus::Cancelled => "cancelled",
            JobStatus::Completed => "completed",
            JobStatus::Expired => "expired",
        }
    }
}

/// The job's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job.
    pub job: JobId,
    /// Whose.
    pub customer: CustomerId,
    /// Digest of the request's body, to tell a resend from another request under the same key.
    pub digest: String,
    /// The input file.
    pub input_file: FileId,
    /// The endpoint of every item, `/v1/chat/completions` or `/v1/completions`.
    pub endpoint: String,
    /// Chunks, one for each part of the input.
    pub chunks: u32,
    /// Items in all chunks.
    pub items: u64,
    /// When it was accepted.
    pub created_wall_ms: u64,
    /// When it must be finished.
    pub deadline_wall_ms: u64,
    /// Where it stands.
    pub status: JobStatus,
    /// When the status became final.
    pub ended_wall_ms: Option<u64>,
    /// Counts of all finished chunks, once the status is final.
    #[serde(default)]
    pub counts: Option<JobCounts>,
    /// The caller's metadata, kept as given.
    #[serde(default)]
    pub metadata: serde_json::Value,
}

/// Which instance runs the job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The instance.
    pub holder: InstanceId,
    /// The holder's lease epoch, the fencing number of its commits.
    pub epoch: u64,
    /// Set when the holder gave the job up: another instance may take it at once. The row stays,
    /// so that its version goes on rising and fences commits still on their way.
    #[serde(default)]
    pub released: bool,
}

/// A job that is not finished, as the periodic scan reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenJobRow {
    /// The job.
    pub job: JobId,
    /// Items in all chunks.
    pub items: u64,
    /// When it must be finished.
    pub deadline_wall_ms: u64,
    /// Whether a cancel is committed; tells an owner whom no peer message reaches.
    pub cancelling: bool,
}

/// What the finished chunks of a job hold together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Items with a result.
    pub completed: u64,
    /// Items that ended as failed.
    pub failed: u64,
    /// Size of all result objects.
    pub bytes: u64,
}

impl JobCounts {
    /// Adds one finished chunk.
    pub fn add(&mut self, chunk: &ChunkRow) {
        self.completed += chunk.completed;
        self.failed += chunk.failed;
        self.bytes += chunk.bytes;
    }
}

/// A finished chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRow {
    /// Name of the result object.
    pub object: String,
    /// Items with a result.
    pub completed: u64,
    /// Items that ended as failed.
    pub failed: u64,
    /// Size of the result object.
    pub bytes: u64,
}

impl OpenJobRow {
    /// The row of a job that was just accepted.
    pub fn accepted(row: &JobRow) -> Self {
        OpenJobRow {
            job: row.job.clone(),
            items: row.items,
            deadline_wall_ms: row.deadline_wall_ms,
            cancelling: false,
        }
    }

    /// The row of a job whose cancel is committed.
    pub fn cancelling(row: &JobRow) -> Self {
        OpenJobRow {
            cancelling: true,
            ..OpenJobRow::accepted(row)
        }
    }
}
