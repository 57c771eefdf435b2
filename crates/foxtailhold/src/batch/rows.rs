//! Rows of batch jobs in the table service, stored as JSON.

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, FileId, InstanceId, JobId};

/// Status of a job. The names are those of the OpenAI batch object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// The job was accepted and its items run or wait.
    InProgress,
    /// A cancellation is committed and items in flight are being stopped.
    Cancelling,
    /// The job was cancelled and none of its items runs any more.
    Cancelled,
    /// Every item has a result or an error.
    Completed,
    /// The deadline passed before all chunks were committed. Their results stay readable.
    Expired,
}

impl JobStatus {
    /// Whether the status can no longer change.
    pub fn is_final(self) -> bool {
        !matches!(self, JobStatus::InProgress | JobStatus::Cancelling)
    }

    /// The value of `status` in the batch object.
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

/// Row of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Identifier of the job.
    pub job: JobId,
    /// The customer that offered the job.
    pub customer: CustomerId,
    /// Digest of the request body, which tells a resend from a different request with the same
    /// idempotency key.
    pub digest: String,
    /// File with the input lines.
    pub input_file: FileId,
    /// Endpoint of every item, `/v1/chat/completions` or `/v1/completions`.
    pub endpoint: String,
    /// Number of chunks, one for each part of the input file.
    pub chunks: u32,
    /// Number of items in all chunks.
    pub items: u64,
    /// Time at which the job was accepted.
    pub created_wall_ms: u64,
    /// Deadline of the job.
    pub deadline_wall_ms: u64,
    /// Current status.
    pub status: JobStatus,
    /// Time at which the status became final; absent until then.
    pub ended_wall_ms: Option<u64>,
    /// Counts of all committed chunks; absent until the status is final.
    #[serde(default)]
    pub counts: Option<JobCounts>,
    /// Metadata from the caller, stored unchanged.
    #[serde(default)]
    pub metadata: serde_json::Value,
}

/// Row that names the instance that owns a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The owner, or the last owner if the job was released.
    pub holder: InstanceId,
    /// Epoch of the owner's lease, the fencing number of its commits.
    pub epoch: u64,
    /// Set when the owner released the job, so that another instance may claim it at once. The row
    /// is kept, because its version has to go on rising to fence delayed commits.
    #[serde(default)]
    pub released: bool,
}

/// Row of a job that has not ended, read by the periodic scan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenJobRow {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of items in all chunks.
    pub items: u64,
    /// Deadline of the job.
    pub deadline_wall_ms: u64,
    /// Whether a cancellation is committed. The scan tells it to an owner that the peer message did
    /// not reach.
    pub cancelling: bool,
}

/// Sums over the committed chunks of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Number of items with a response.
    pub completed: u64,
    /// Number of items that ended with an error.
    pub failed: u64,
    /// Total size of the result objects.
    pub bytes: u64,
}

impl JobCounts {
    /// Adds the counts of one committed chunk.
    pub fn add(&mut self, chunk: &ChunkRow) {
        self.completed += chunk.completed;
        self.failed += chunk.failed;
        self.bytes += chunk.bytes;
    }
}

/// Row of a committed chunk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRow {
    /// Name of the result object in the object store.
    pub object: String,
    /// Number of items with a response.
    pub completed: u64,
    /// Number of items that ended with an error.
    pub failed: u64,
    /// Size of the result object.
    pub bytes: u64,
}

impl OpenJobRow {
    /// Creates the row of a newly accepted job.
    pub fn accepted(row: &JobRow) -> Self {
        OpenJobRow {
            job: row.job.clone(),
            items: row.items,
            deadline_wall_ms: row.deadline_wall_ms,
            cancelling: false,
        }
    }

    /// Creates the row of a job that is `cancelling`.
    pub fn cancelling(row: &JobRow) -> Self {
        OpenJobRow {
            cancelling: true,
            ..OpenJobRow::accepted(row)
        }
    }
}
