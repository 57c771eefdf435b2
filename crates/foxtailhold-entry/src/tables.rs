//! Names of tables, row keys and objects on the platform.

use foxtailhold::batch::sweep::SweepRow;
use foxtailhold::ids::{CustomerId, FileId, IdempotencyKey, InstanceId, JobId};

/// Rows requested by one scan.
pub const PAGE: usize = 1_000;
/// One row, `head`: number of the last contract change.
pub const CONFIG_HEAD: &str = "config_head";
/// Contract changes by number.
pub const CONFIG_LOG: &str = "config_log";
/// The contract in force of each customer.
pub const CONTRACT: &str = "contract";
/// Customer of each API key, by the key's digest.
pub const API_KEY: &str = "api_key";
/// Leases by instance.
pub const LEASE: &str = "lease";
/// Jobs by customer and job.
pub const JOB: &str = "job";
/// Unfinished jobs by customer and job.
pub const JOB_OPEN: &str = "job_open";
/// Owners by job.
pub const OWNER: &str = "owner";
/// Finished chunks by job and index.
pub const CHUNK: &str = "chunk";
/// Ended jobs whose result objects have yet to be checked for orphans, by end time and job.
pub const SWEEP: &str = "sweep";
/// Files by customer and file.
pub const FILE: &str = "file";
/// Claims of requests that must not be repeated, by customer and idempotency key.
pub const ONCE: &str = "once";

/// One row, `fence`: its version is raised by each sweep of [`ONCE`], so that a delayed sweep has
/// no effect.
pub const ONCE_FENCE: &str = "once_fence";

/// Desired setups of engines by backend server. Rows are never deleted, so versions only rise.
pub const ORDER_WANTED: &str = "order_wanted";
/// Leases of the issuers of orders by backend server. Rows are never deleted.
pub const ORDER_LEASE: &str = "order_lease";

/// Key of the only row of [`ONCE_FENCE`].
pub const FENCE_KEY: &str = "fence";
/// Key of the only row of [`CONFIG_HEAD`].
pub const HEAD_KEY: &str = "head";
/// Prefix of the job id in the id of its output file.
pub const OUTPUT_PREFIX: &str = "file-out-";
/// Prefix of the job id in the id of its error file.
pub const ERROR_PREFIX: &str = "file-err-";

/// Key in [`CONFIG_LOG`]; padded, so that keys sort like numbers.
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

/// Key in [`CHUNK`]; the padded index keeps a job's chunks in order.
pub fn chunk_key(job: &JobId, index: u32) -> String {
    format!("{job}/{index:06}")
}

/// Key in [`SWEEP`]; the padded time puts the oldest jobs first.
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

/// Common prefix of the names of all result objects of a job.
pub fn result_prefix(job: &JobId) -> String {
    format!("result/{job}/")
}
