//! Batch jobs: table rows, input and output lines, and exactly-once commits of chunk results.
//!
//! A job's input is stored in parts that end at line ends, and each part is one chunk. Every
//! attempt at a chunk writes its result object under a name of its own. One transaction then makes
//! that object the chunk's result, on condition that the chunk row is absent, that the job row says
//! `in_progress` and that the owner row has not changed since the claim.
//!
//! [`claim`], [`execution`], [`chunk`], [`finish`] and [`cancel`] are state machines without I/O.
//! [`transaction`] defines the transactions that they produce for the table service, and
//! [`registry`] tracks which jobs run on one instance. [`start_leases`] says until when their items may
//! start.

pub mod cancel;
pub mod chunk;
pub mod chunk_slots;
pub mod claim;
pub mod deadline_check;
pub mod execution;
pub mod finish;
pub mod registry;
pub mod rows;
pub mod start_leases;
pub mod sweep;
pub mod transaction;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

pub use rows::{ChunkRow, JobCounts, JobRow, JobStatus, OpenJobRow, OwnerRow};

/// Maximum number of items in one chunk.
pub const MAX_CHUNK_ITEMS: usize = 200;
/// Input size at which a chunk is closed; its last line may exceed it.
pub const MAX_CHUNK_BYTES: usize = 1 << 20;
/// Maximum number of items in one job.
pub const MAX_JOB_ITEMS: u64 = 200_000;
/// Attempts at one item, each on a different backend server, before it ends as failed.
pub const MAX_ITEM_ATTEMPTS: u32 = 4;

/// Result of validating a line of the batch input.
pub type Result<T> = std::result::Result<T, BatchError>;

/// Reason for rejecting the input file of a batch job.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BatchError {
    /// A line is not a valid batch item.
    #[error("line {line}: {detail}")]
    BadLine {
        /// Line number in the input file, from 1.
        line: u64,
        /// Description of the first problem found in the line.
        detail: String,
    },
    /// A `custom_id` is used by two lines.
    #[error("line {line}: custom_id {custom_id:?} stands on an earlier line too")]
    DuplicateId {
        /// Line number in the input file, from 1.
        line: u64,
        /// The repeated `custom_id`.
        custom_id: String,
    },
    /// The file has more than [`MAX_JOB_ITEMS`] items.
    #[error("a job may have at most {MAX_JOB_ITEMS} items")]
    TooManyItems,
    /// The file has no line that is not blank.
    #[error("the input file has no items")]
    Empty,
}

/// Table row with the metadata of an uploaded or generated file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRow {
    /// File name from the upload request.
    pub filename: String,
    /// `purpose` from the upload request.
    pub purpose: String,
    /// Size of the file.
    pub bytes: u64,
    /// Time at which the file was created.
    pub created_wall_ms: u64,
    /// Number of lines that are not blank, for each stored part.
    pub part_lines: Vec<u32>,
}

/// One request of a batch job, as one line of the input file states it.
#[derive(Debug, Clone, Deserialize)]
pub struct BatchItem {
    /// Identifier of the item, chosen by the caller and unique within the job.
    pub custom_id: String,
    /// HTTP method; only `POST` is accepted.
    pub method: String,
    /// Request path; must equal the endpoint of the job.
    pub url: String,
    /// Request body, forwarded to the engine without changes.
    pub body: Box<RawValue>,
}

impl BatchItem {
    /// Parses and validates the line with the number `line`, from 1.
    pub fn from_line(text: &str, line: u64, endpoint: &str) -> Result<Self> {
        let item: BatchItem = serde_json::from_str(text).map_err(|error| BatchError::BadLine {
            line,
            detail: error.to_string(),
        })?;
        let invalid = |detail: String| Err(BatchError::BadLine { line, detail });
        if item.custom_id.is_empty() {
            return invalid("custom_id is empty".into());
        }
        if item.method != "POST" {
            return invalid(format!("method is {:?}, it must be \"POST\"", item.method));
        }
        if item.url != endpoint {
            return invalid(format!(
                "url is {:?}, the batch's endpoint is {endpoint:?}",
                item.url
            ));
        }
        if !item.body.get().starts_with('{') {
            return invalid("body is not an object".into());
        }
        Ok(item)
    }
}

/// One line of the output file: the response to one item, or its error.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ItemResult {
    /// Identifier of this output line.
    pub id: String,
    /// Identifier of the item, chosen by the caller and unique within the job.
    pub custom_id: String,
    /// The response; absent if the item failed.
    pub response: Option<ItemResponse>,
    /// The error; absent if the item got a response.
    pub error: Option<ItemError>,
}

/// Response to one item.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ItemResponse {
    /// HTTP status of the engine's response.
    pub status_code: u16,
    /// Identifier under which the engine served the request.
    pub request_id: String,
    /// Response body, as received from the engine.
    pub body: Box<RawValue>,
}

/// Error of one failed item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemError {
    /// Error code that does not change between releases.
    pub code: String,
    /// Description of the error for people.
    pub message: String,
}

/// Splits an uploaded file at line ends into parts of at most [`MAX_CHUNK_ITEMS`] lines, each
/// closed once it reaches [`MAX_CHUNK_BYTES`].
#[derive(Debug, Default)]
pub struct PartSplitter {
    pending: Vec<u8>,
    lines: usize,
}

/// A part of a file that consists of whole lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FilePart {
    /// Content, up to and including the end of the last line.
    pub bytes: Vec<u8>,
    /// Number of lines that are not blank.
    pub lines: usize,
}

impl PartSplitter {
    /// Appends bytes of the file and returns the parts that they completed.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<FilePart> {
        let mut completed = Vec::new();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.pending.extend_from_slice(line);
            if !line.ends_with(b"\n") {
                continue;
            }
            self.lines += 1;
            if self.lines >= MAX_CHUNK_ITEMS || self.pending.len() >= MAX_CHUNK_BYTES {
                completed.extend(self.take_part());
            }
        }
        completed
    }

    /// Bytes that are in no part yet.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns the last part, or `None` if no bytes are left.
    pub fn finish(mut self) -> Option<FilePart> {
        self.take_part()
    }

    fn take_part(&mut self) -> Option<FilePart> {
        let bytes = std::mem::take(&mut self.pending);
        self.lines = 0;
        if bytes.is_empty() {
            return None;
        }
        let lines = bytes
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.trim_ascii().is_empty())
            .count();
        Some(FilePart { bytes, lines })
    }
}
