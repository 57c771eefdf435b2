//! Names of tables, keys and objects at the platform.

use foxtailhold::batch::sweep::SweepRow;
use foxtailhold::ids::{CustomerId, FileId, IdempotencyKey, InstanceId, JobId};

/// Rows read at once.
pub const PAGE: usize = 1_000;
/// One row `head`: number of the last contract change.
pub const CONFIG_HEAD: &str = "config_head";
/// Contract changes by number.
pub const CONFIG_LOG: &str = "config_log";
/// The contract in force for each customer.
pub const CONTRACT: &str = "contract";
/// Which customer an API key belongs to, by the key's digest.
pub const API_KEY: &str = "api_key";
/// Leases by instance.
pub const LEASE: &str = "lease";
/// Jobs by customer and job.
pub const JOB: &str = "job";
/// Jobs that are not finished, by customer and job.
pub const JOB_OPEN: &str = "job_open";
/// Owners by job.
pub const OWNER: &str = "owner";
/// Finished chunks by job and index.
pub const CHUNK: &str = "chunk";
/// Ended jobs whose result objects have to be looked through, by time of the end and job.
pub const SWEEP: &str = "sweep";
/// Files by customer and file.
pub const FILE: &str = "file";
/// Claims of requests that must not be repeated, by customer and key.
pub const ONCE: &str = "once";

/// One row `fence`: raised by each sweep of [`ONCE`], so that a late sweep does nothing.
pub const ONCE_FENCE: &str = "once_fence";

/// Wanted states of engines, by backend server. Rows are never deleted, so versions only rise.
pub const ORDER_WANTED: &str = "order_wanted";
/// Leases of the givers of orders, by backend server. Rows are never deleted.
pub const ORDER_LEASE: &str = "order_lease";

/// Key of the only row of [`ONCE_FENCE`].
pub const FENCE_KEY: &str = "fence";
/// Key of the only row of [`CONFIG_HEAD`].
pub const HEAD_KEY: &str = "head";
/// Before the job's identifier in the identifier of its output file.
pub const OUTPUT_PREFIX: &str = "file-out-";
/// Before the job's identifier in the identifier of its error file.
pub const ERROR_PREFIX: &str = "file-err-";

/// Key in [`CONFIG_LOG`].
pub fn log_key(number: u64) -> String {
    format!("{number:020}")
}

/// Key in [`LEASE`].
pub fn lease_key(instance: &InstanceId) -> &str {
    instance.as_str()
}

/// Key in [`JOB`] and [`JOB_OPEN`].
pub fn job_key(customer: &CustomerId, job: &JobId) -> String {
    format!("{customer}/{job}")
}

/// Key in [`CHUNK`].
pub fn chunk_key(job: &JobId, index: u32) -> String {
    format!("{job}/{index:06}")
}

/// Key in [`SWEEP`].
pub fn sweep_key(row: &SweepRow) -> String {
    format!("{:015}/{}", row.ended_wall_ms, row.job)
}

/// Key in [`FILE`].
pub fn file_key(customer: &CustomerId, file: &FileId) -> String {
    format!("{customer}/{file}")
}

/// Key in [`ONCE`].
pub fn once_key(customer: &CustomerId, key: &IdempotencyKey) -> String {
    format!("{customer}/{key}")
}

/// Name of the object with the body of a stored answer.
pub fn once_object(key: &str, claim_id: &str) -> String {
    format!("once/{key}/{claim_id}")
}

/// Name of the object with one part of an input file.
pub fn part_object(file: &FileId, part: u32) -> String {
    format!("input/{file}/{part:06}")
}

/// Name of the object with the results of one attempt at a chunk.
pub fn result_object(job: &JobId, index: u32, attempt: &str) -> String {
    format!("{}{index:06}/{attempt}", result_prefix(job))
}

/// Start of the names of all result objects of a job.
pub fn result_prefix(job: &JobId) -> String {
    format!("result/{job}/")
}
