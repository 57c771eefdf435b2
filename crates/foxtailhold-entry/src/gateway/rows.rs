//! Reads the rows and objects of files and batches; a missing one becomes the refusal that the
//! caller gets.

use bytes::Bytes;
use foxtailhold::batch::{ChunkRow, FileRow, JobRow};
use foxtailhold::ids::{CustomerId, FileId, JobId};
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold_platform::Platform;

use crate::gateway::store_unavailable;
use crate::jobs::owner;
use crate::shared::Shared;
use crate::tables;

/// Refusal for a file that does not exist.
pub fn no_file(id: &FileId) -> Refusal {
    Refusal::not_run(RefusalReason::NotFound {
        kind: "file".into(),
        id: id.to_string(),
    })
}

/// Reads the row of an uploaded file; refuses with `NotFound` if there is none.
pub async fn file<P: Platform>(
    shared: &Shared<P>,
    customer: &CustomerId,
    file: &FileId,
) -> Result<FileRow> {
    let key = tables::file_key(customer, file);
    let stored = shared.platform.get(tables::FILE, &key).await;
    let stored = stored.map_err(|error| store_unavailable(&error))?;
    let row = stored.ok_or_else(|| no_file(file))?;
    row.read().map_err(|error| store_unavailable(&error))
}

/// Reads an object that must exist.
pub async fn object<P: Platform>(shared: &Shared<P>, name: &str) -> Result<Bytes> {
    let stored = shared.platform.get_object(name).await;
    let stored = stored.map_err(|error| store_unavailable(&error))?;
    stored.ok_or_else(|| {
        Refusal::not_run(RefusalReason::NotFound {
            kind: "object".into(),
            id: name.to_owned(),
        })
    })
}

/// Reads a job's row and the row's version; refuses with `NotFound` if there is none.
pub async fn job<P: Platform>(
    shared: &Shared<P>,
    customer: &CustomerId,
    job: &JobId,
) -> Result<(JobRow, u64)> {
    let key = tables::job_key(customer, job);
    let stored = shared.platform.get(tables::JOB, &key).await;
    let stored = stored.map_err(|error| store_unavailable(&error))?;
    let stored = stored.ok_or_else(|| {
        Refusal::not_run(RefusalReason::NotFound {
            kind: "batch".into(),
            id: job.to_string(),
        })
    })?;
    let row = stored.read().map_err(|error| store_unavailable(&error))?;
    Ok((row, stored.version))
}

/// Reads the finished chunks of a job, in order.
pub async fn chunks<P: Platform>(shared: &Shared<P>, job: &JobId) -> Result<Vec<(u32, ChunkRow)>> {
    let stored = owner::finished_chunks(&shared.platform, job).await;
    stored.map_err(|error| store_unavailable(&error))
}
