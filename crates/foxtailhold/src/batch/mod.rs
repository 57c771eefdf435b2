//! Batch jobs: rows, items and the rule that each chunk is committed once.
//!
//! A job's input is stored in parts cut at line ends; a chunk is one part. Each chunk's result
//! object gets a name unique to the attempt, and one transaction makes it the chunk's result:
//! the chunk row is absent, the job row says `in_progress`, the owner row is the owner's own.
//!
//! [`claim`], [`execution`], [`chunk`], [`finish`] and [`cancel`] are the machines; [`transaction`] holds what
//! they ask of the table service and [`registry`] what runs on one instance.

pub mod cancel;
pub mod chunk;
pub mod chunk_slots;
pub mod claim;
pub mod deadline_check;
pub mod execution;
pub mod finish;
pub mod registry;
pub mod rows;
pub mod sweep;
pub mod transaction;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

pub use rows::{ChunkRow, JobCounts, JobRow, JobStatus, OpenJobRow, OwnerRow};

/// Most items in one chunk.
pub const MAX_CHUNK_ITEMS: usize = 200;
/// Most input bytes in one chunk.
pub const MAX_CHUNK_BYTES: usize = 1 << 20;
/// Most items in one job.
pub const MAX_JOB_ITEMS: u64 = 200_000;
/// Tries of one item on different backend servers before it ends as failed.
pub const MAX_ITEM_ATTEMPTS: u32 = 4;

/// Result of checking batch input.
pub type Result<T> = std::result::Result<T, BatchError>;

/// Why input is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BatchError {
    /// A line is not a JSON object of the batch form.
    #[error("line {line}: {detail}")]
    BadLine {
        /// Line, from 1.
        line: u64,
        /// What is wrong.
        detail: String,
    },
    /// Two lines have the same `custom_id`.
    #[error("line {line}: custom_id {custom_id:?} stands on an earlier line too")]
    DuplicateId {
        /// Line, from 1.
        line: u64,
        /// The identifier.
        custom_id: String,
    },
    /// More than [`MAX_JOB_ITEMS`].
    #[error("a job may have at most {MAX_JOB_ITEMS} items")]
    TooManyItems,
    /// No line at all.
    #[error("the input file has no items")]
    Empty,
}

/// A file's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileRow {
    /// Name given by the caller.
    pub filename: String,
    /// Purpose given by the caller.
    pub purpose: String,
    /// Size.
    pub bytes: u64,
    /// When it was made.
    pub created_wall_ms: u64,
    /// Lines that are not blank, for each part.
    pub part_lines: Vec<u32>,
}

/// One line of the input.
#[derive(Debug, Clone, Deserialize)]
pub struct BatchItem {
    /// The caller's identifier of the item.
    pub custom_id: String,
    /// HTTP method, always `POST`.
    pub method: String,
    /// The endpoint.
    pub url: String,
    /// The request's body, passed through.
    pub body: Box<RawValue>,
}

impl BatchItem {
    /// Reads and checks line number `line`.
    pub fn from_line(text: &str, line: u64, endpoint: &str) -> Result<Self> {
        let item: BatchItem = serde_json::from_str(text).map_err(|error| BatchError::BadLine {
            line,
            detail: error.to_string(),
        })?;
        let bad = |detail: String| Err(BatchError::BadLine { line, detail });
        if item.custom_id.is_empty() {
            return bad("custom_id is empty".into());
        }
        if item.method != "POST" {
            return bad(format!("method is {:?}, it must be \"POST\"", item.method));
        }
        if item.url != endpoint {
            return bad(format!(
                "url is {:?}, the batch's endpoint is {endpoint:?}",
                item.url
            ));
        }
        if !item.body.get().starts_with('{') {
            return bad("body is not an object".into());
        }
        Ok(item)
    }
}

/// One line of the output: the answer of one item, or its error.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ItemResult {
    /// Identifier of the result.
    pub id: String,
    /// The caller's identifier of the item.
    pub custom_id: String,
    /// The answer, absent where the item failed.
    pub response: Option<ItemResponse>,
    /// The error, absent where the item was answered.
    pub error: Option<ItemError>,
}

/// An item's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ItemResponse {
    /// HTTP status.
    pub status_code: u16,
    /// The engine's request.
    pub request_id: String,
    /// The body as the engine gave it.
    pub body: Box<RawValue>,
}

/// Why an item failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemError {
    /// A stable code.
    pub code: String,
    /// A sentence.
    pub message: String,
}

/// Cuts a file into parts at line ends.
#[derive(Debug, Default)]
pub struct PartSplitter {
    pending: Vec<u8>,
    lines: usize,
}

/// One part of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FilePart {
    /// Whole lines.
    pub bytes: Vec<u8>,
    /// How many lines that are not blank.
    pub lines: usize,
}

impl PartSplitter {
    /// Takes the next bytes and returns the parts that became full.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<FilePart> {
        let mut full = Vec::new();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.pending.extend_from_slice(line);
            if !line.ends_with(b"\n") {
                continue;
            }
            self.lines += 1;
            if self.lines >= MAX_CHUNK_ITEMS || self.pending.len() >= MAX_CHUNK_BYTES {
                full.extend(self.take());
            }
        }
        full
    }

    /// The last part, if anything is left.
    pub fn finish(mut self) -> Option<FilePart> {
        self.take()
    }

    fn take(&mut self) -> Option<FilePart> {
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
