//! Batch jobs with ordered results.
//!
//! A job is one row of the platform's store: its items, who runs it, which items have results and in
//! which order. Each change is conditional on the row's version, so that of two owners at once only
//! one can list a result, and every position is written once. Bodies of items are rows too,
//! or one object where they are large; results are rows written in the same transaction as the job's.

mod accept;
mod backoff;
mod cache;
mod checkpoint;
mod item;
mod owner;
mod read;
mod run;
mod store;
mod sweep;

pub use accept::AcceptOutcome;
pub use cache::{BookSink, Job, JobBook};
pub use checkpoint::{Given, Partials, Piece};
pub use owner::own_jobs;
pub use read::{ListedResult, ResultPage};
pub use store::{JobStore, QuotaRow};
pub use sweep::sweep_jobs;

use std::collections::BTreeMap;
use std::sync::Arc;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::item_duration::ItemDurationEstimate;
use foxtailhold_platform::{ObjectStore, PlatformError, RowStore};
use parking_lot::{Mutex, MutexGuard};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::relay::Relay;

/// Result of a call about jobs.
pub type Result<T> = std::result::Result<T, JobError>;

/// Table of the jobs' rows and of the quotas.
pub const JOBS_TABLE: &str = "jobs";
/// Table of the bodies of items.
pub const BODIES_TABLE: &str = "bodies";
/// Table of results.
pub const RESULTS_TABLE: &str = "results";
/// Table of what unfinished items have given so far.
pub const PIECES_TABLE: &str = "pieces";

/// Why a call about a job failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JobError {
    /// The unfinished items of all jobs and this one exceed the contract's quota.
    #[error("{waiting_tokens} tokens wait already, {new_tokens} more are over {quota_tokens}")]
    OverQuota {
        /// Tokens that wait.
        waiting_tokens: u64,
        /// Tokens of the new job.
        new_tokens: u64,
        /// The quota.
        quota_tokens: u64,
    },
    /// There is no such job, or no such item.
    #[error("there is no such job or item")]
    NotFound,
    /// The store does not answer; nothing was done.
    #[error("nothing was done: {0}")]
    Unavailable(PlatformError),
    /// The store does not answer; it is not known what was done.
    #[error("it is not known what was done: {0}")]
    Unknown(PlatformError),
    /// What is stored cannot be read.
    #[error("job {job} cannot be read: {detail}")]
    Malformed {
        /// The job.
        job: JobId,
        /// What the library said.
        detail: String,
    },
}

impl From<PlatformError> for JobError {
    fn from(error: PlatformError) -> Self {
        if error.may_have_taken_effect() {
            return JobError::Unknown(error);
        }
        JobError::Unavailable(error)
    }
}

/// An item as it was handed in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Identity; the identity of its requests as well.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Tokens of prompt and longest output.
    pub tokens: u64,
}

/// A job as it was handed in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewJob {
    /// Identity, chosen by the caller.
    pub id: JobId,
    /// Host that it was sent to.
    pub host: String,
    /// Items.
    pub items: Vec<Item>,
}

/// The outcome of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// Its whole output is there.
    Done,
    /// It was given up.
    GivenUp,
}

/// What a job needs of the process.
#[derive(Debug)]
pub struct Jobs<S, D> {
    /// Rows and objects.
    pub store: JobStore<S>,
    /// All jobs known.
    pub book: Arc<JobBook>,
    /// Backend servers, places and peers.
    pub relay: Arc<Relay<D>>,
    /// How long items run.
    pub pace: Mutex<ItemDurationEstimate>,
}

impl<S: RowStore + ObjectStore, D> Jobs<S, D> {
    /// How long items run.
    pub fn pace(&self) -> MutexGuard<'_, ItemDurationEstimate> {
        self.pace.lock()
    }

    /// This instance.
    pub fn me(&self) -> &InstanceId {
        self.relay.peers.me()
    }
}
