//! Batch jobs with ordered results.
//!
//! A job is one row of the platform's store with its items, its owner, and the order of the items
//! that have results. Each change is conditional on the row's version, so that of two concurrent
//! owners only one can list a result and every position is written once. Bodies of items are rows
//! too, or one object if they are large; results are rows written in the same transaction as the
//! job's row.

mod accept;
mod backoff;
mod bodies;
mod cache;
mod checkpoint;
mod checkpoint_writer;
mod counts_writer;
mod end;
mod freshness;
mod item;
mod output;
mod owner;
mod progress;
mod quota;
mod read;
mod result_rows;
mod row_encoding;
mod run;
mod split;
mod store;
mod succession;
mod sweep;

pub use accept::AcceptOutcome;
pub use bodies::JobBodies;
pub use cache::{Job, JobCache, JobCacheSink, MAX_JOB_TOKENS, are_countable};
pub use checkpoint::PartialOutputs;
pub use counts_writer::CountsWrite;
pub use end::{EndsUnderWay, store_told_ends};
pub use freshness::{ActBounds, Refreshes, refresh_when_wanted};
pub use output::{Checkpoint, PartialOutput, RunEvent, RunId, Writer};
pub use owner::{own_jobs, wait_handed_over};
pub use progress::JobProgress;
pub use read::{ListedResult, ResultPage};
pub use split::ResultForm;
pub use store::{JobStore, QuotaRow};
pub use succession::{LostOwner, Succession};
pub use sweep::sweep_jobs;

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::item_duration::ItemDurationEstimate;
use foxtailhold_http::lock::{Mutex, MutexGuard};
use foxtailhold_http::memory::MemoryExhausted;
use foxtailhold_platform::{ObjectStore, PlatformError, RowStore};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use crate::relay::Relay;

/// Result of an operation on jobs.
pub type Result<T> = std::result::Result<T, JobError>;

/// Table of the rows of jobs and quotas.
pub const JOBS_TABLE: &str = "jobs";
/// Table of the bodies of items.
pub const BODIES_TABLE: &str = "bodies";
/// Table of the results of items.
pub const RESULTS_TABLE: &str = "results";
/// Table of the checkpoints and attempt counts of unfinished items.
pub const CHECKPOINTS_TABLE: &str = "pieces";

/// Why an operation on a job failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JobError {
    /// The unfinished items of all jobs and the new job together exceed the contract's quota.
    #[error("{waiting_tokens} tokens wait already, {new_tokens} more are over {quota_tokens}")]
    OverQuota {
        /// Tokens of the unfinished items.
        waiting_tokens: u64,
        /// Tokens of the new job.
        new_tokens: u64,
        /// Limit of the contract.
        quota_tokens: u64,
        /// Time in ms after which the new job is likely to fit; `None` if it never will.
        retry_after_ms: Option<u64>,
    },
    /// The job or the item does not exist.
    #[error("there is no such job or item")]
    NotFound,
    /// Other changes came first each time, and the operation had no effect.
    #[error("nothing was done: other {changes} came first each time")]
    Contended {
        /// What was changed.
        changes: &'static str,
    },
    /// The store did not answer, and the operation had no effect.
    #[error("nothing was done: {0}")]
    Unavailable(PlatformError),
    /// The store refuses the operation itself, which had no effect and never will.
    #[error("nothing was done: {0}")]
    Rejected(PlatformError),
    /// There is no memory here for the bodies of the items, and nothing was done.
    #[error("nothing was done: {0}")]
    NoMemory(#[from] MemoryExhausted),
    /// The job does not fit into the store.
    #[error("the batch job is too large: {detail}")]
    TooLarge {
        /// What is too large.
        detail: String,
    },
    /// The store did not answer, and the operation may have had an effect.
    #[error("it is not known what was done: {0}")]
    Unknown(PlatformError),
    /// The store does not have all results that are listed.
    #[error("{found} of {listed} listed results of job {job} are in the store")]
    ResultsMissing {
        /// Job whose results were read.
        job: JobId,
        /// Results that were read.
        listed: usize,
        /// Those of them that the store has.
        found: usize,
    },
    /// The stored data cannot be decoded.
    #[error("job {job} cannot be read: {detail}")]
    Malformed {
        /// Job to which the data belongs.
        job: JobId,
        /// Error of the decoder.
        detail: String,
    },
}

impl JobError {
    /// The error of a read, which has no effect that could be unknown.
    pub(crate) fn of_read(self) -> Self {
        match self {
            JobError::Unknown(error) => JobError::Unavailable(error),
            error => error,
        }
    }

    /// The store has refused a transaction; `detail` is what it stated.
    pub(crate) fn refused(detail: String) -> Self {
        JobError::Rejected(PlatformError::Rejected {
            service: "row store",
            detail,
        })
    }
}

impl From<PlatformError> for JobError {
    fn from(error: PlatformError) -> Self {
        if error.may_have_taken_effect() {
            return JobError::Unknown(error);
        }
        if error.is_rejected() {
            return JobError::Rejected(error);
        }
        JobError::Unavailable(error)
    }
}

/// A batch item as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Identifier, also used as the identifier of its requests.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Request headers.
    pub headers: BTreeMap<String, String>,
    /// Request body; clones share it.
    pub body: Bytes,
    /// Tokens of the prompt and of the longest possible output.
    pub tokens: u64,
}

/// A batch job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewJob {
    /// Identifier chosen by the caller.
    pub id: JobId,
    /// Host to which the job was sent, which selects the route.
    pub host: String,
    /// Items in the order of submission.
    pub items: Vec<Item>,
}

/// Outcome of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// Its output is complete.
    Done,
    /// It was given up and has no output.
    GivenUp,
}

/// State shared by all batch jobs of this process.
#[derive(Debug)]
pub struct Jobs<S, D> {
    /// Rows and objects of the jobs.
    pub store: JobStore<S>,
    /// All known jobs.
    pub cache: Arc<JobCache>,
    /// Backend servers, slots and peers.
    pub relay: Arc<Relay<D>>,
    /// Duration statistics of items, used to estimate their remaining time.
    pub item_durations: Mutex<ItemDurationEstimate>,
    /// Held while a job with a quota is accepted.
    pub acceptances: tokio::sync::Mutex<()>,
    /// Tasks of this instance that run jobs.
    pub progress: JobProgress,
    /// Ends of jobs that go on here.
    pub ends: EndsUnderWay,
    /// Bounds of the acts that rest on the copy of the table of jobs.
    pub bounds: ActBounds,
    /// Calls that bring the copy of the table of jobs up to date.
    pub refreshes: Refreshes,
    /// Begins the hand-over of the jobs of this instance, in its planned stop.
    pub hand_over: CancellationToken,
}

impl<S: RowStore + ObjectStore, D> Jobs<S, D> {
    /// Locks the duration statistics of items.
    pub fn item_durations(&self) -> MutexGuard<'_, ItemDurationEstimate> {
        self.item_durations.lock()
    }

    /// Version of the row of a job that this instance runs; `None` if it has ended or moved.
    pub(crate) fn owned_version(&self, id: &JobId) -> Option<u64> {
        let cached = self.cache.get(id)?;
        let is_owned = self.cache.is_open(id, &cached.job) && cached.job.owner == *self.me();
        is_owned.then_some(cached.version)
    }

    /// Time in ms until the unfinished items of a job are given up, 0 from then on.
    pub(crate) fn time_left_ms(&self, job: &Job) -> u64 {
        match self.relay.metrics.store_clock().now_ms() {
            Some(now_ms) if job.give_up_store_ms > 0 => job.give_up_store_ms.saturating_sub(now_ms),
            _ => {
                let now_ms = self.relay.clock.wall().0;
                job.give_up_unix_ms.saturating_sub(now_ms)
            }
        }
    }

    /// Identifier of this instance.
    pub fn me(&self) -> &InstanceId {
        self.relay.peers.me()
    }
}
