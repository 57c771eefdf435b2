//! Files of customers in the platform's object store: upload, download, list and delete.

use std::collections::VecDeque;

use bytes::Bytes;
use foxtailhold::batch::{ChunkRow, FilePart, FileRow, MAX_CHUNK_BYTES, PartSplitter};
use foxtailhold::contract::Contract;
use foxtailhold::ids::{CustomerId, FileId};
use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason, Result};
use foxtailhold_caller::gateway::{Download, FileObject, Upload};
use foxtailhold_caller::no_memory;
use foxtailhold_platform::{Expect, Operation, Platform, Transacted};

use crate::gateway::results::ResultFile;
use crate::gateway::{rows, store_unavailable};
use crate::shared::Shared;
use crate::tables;

/// Size limit of an uploaded file.
pub const MAX_FILE_BYTES: u64 = 512 << 20;

/// Size limit of a line of an uploaded file, of which a part has at least one. An item whose body has
/// the largest size that a request may have takes less.
pub const MAX_LINE_BYTES: usize = 8 << 20;

/// An upload in progress. Parts are stored as they arrive; the file exists once its row is written
/// at the end.
#[derive(Debug)]
pub struct EntryUpload<P> {
    shared: Shared<P>,
    customer: CustomerId,
    file: FileId,
    splitter: PartSplitter,
    part_lines: Vec<u32>,
    bytes: u64,
}

impl<P: Platform> EntryUpload<P> {
    /// Starts an upload of a customer under a new file id.
    pub fn new(shared: &Shared<P>, customer: &CustomerId) -> Result<Self> {
        let name = format!("file-{}", shared.unique());
        let file = FileId::try_from(name.as_str()).map_err(|e| Refusal::invalid(e.to_string()))?;
        Ok(EntryUpload {
            shared: shared.clone(),
            customer: customer.clone(),
            file,
            splitter: PartSplitter::default(),
            part_lines: Vec::new(),
            bytes: 0,
        })
    }

    async fn store(&mut self, part: FilePart) -> Result<()> {
        let name = tables::part_object(&self.file, self.part_lines.len() as u32);
        let put = self
            .shared
            .platform
            .put_object(&name, part.bytes.into())
            .await;
        put.map_err(|error| store_unavailable(&error))?;
        self.part_lines.push(part.lines as u32);
        Ok(())
    }
}

impl<P: Platform> Upload for EntryUpload<P> {
    async fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.bytes += bytes.len() as u64;
        if self.bytes > MAX_FILE_BYTES {
            let limit_bytes = MAX_FILE_BYTES;
            return Err(Refusal::not_run(RefusalReason::BodyTooLarge {
                limit_bytes,
            }));
        }
        for part in self.splitter.push(bytes) {
            self.store(part).await?;
        }
        if self.splitter.pending_bytes() > MAX_CHUNK_BYTES + MAX_LINE_BYTES {
            let detail = format!("the file has a line of more than {MAX_LINE_BYTES} bytes");
            return Err(Refusal::invalid(detail));
        }
        Ok(())
    }

    fn held_bytes(&self) -> usize {
        self.splitter.pending_bytes()
    }

    async fn close(mut self, filename: String, purpose: String) -> Result<FileObject> {
        let splitter = std::mem::take(&mut self.splitter);
        if let Some(part) = splitter.finish() {
            self.store(part).await?;
        }
        let row = FileRow {
            filename,
            purpose,
            bytes: self.bytes,
            created_wall_ms: self.shared.clock.wall().0,
            part_lines: self.part_lines,
        };
        let key = tables::file_key(&self.customer, &self.file);
        let put = Operation::put(tables::FILE, &key, Expect::Absent, &row);
        match self.shared.platform.transact(&[put]).await {
            Ok(Transacted::Committed) => Ok(object(&self.file, row)),
            Ok(Transacted::Conflict { .. }) => Err(Refusal::not_run(RefusalReason::Conflict {
                detail: format!("file {} exists", self.file),
            })),
            Err(error) => Err(store_unavailable(&error)),
        }
    }
}

fn object(file: &FileId, row: FileRow) -> FileObject {
    FileObject {
        id: file.clone(),
        bytes: row.bytes,
        created_at: row.created_wall_ms / 1_000,
        filename: row.filename,
        purpose: row.purpose,
    }
}

/// Describes an uploaded file, or a result file of a job.
pub async fn describe<P: Platform>(
    shared: &Shared<P>,
    contract: &Contract,
    file: &FileId,
) -> Result<FileObject> {
    let Some(result) = ResultFile::of(file) else {
        let row = rows::file(shared, &contract.customer, file).await?;
        return Ok(object(file, row));
    };
    let (row, _) = rows::job(shared, &contract.customer, &result.job).await?;
    Ok(FileObject {
        id: file.clone(),
        bytes: result.size_bytes(shared).await?,
        created_at: row.ended_wall_ms.unwrap_or(row.created_wall_ms) / 1_000,
        filename: result.filename(),
        purpose: "batch_output".into(),
    })
}

/// Lists a customer's uploaded files in the order of their ids.
pub async fn list<P: Platform>(
    shared: &Shared<P>,
    contract: &Contract,
    after: &str,
    limit: usize,
) -> Result<Vec<FileObject>> {
    let prefix = format!("{}/", contract.customer);
    let after = format!("{prefix}{after}");
    let platform = &shared.platform;
    let rows = platform.scan(tables::FILE, &prefix, &after, limit).await;
    let mut files = Vec::new();
    for keyed in rows.map_err(|error| store_unavailable(&error))? {
        let id = keyed.key.strip_prefix(&prefix).unwrap_or_default();
        let Ok(id) = FileId::try_from(id) else {
            continue;
        };
        let row = keyed.row.read().map_err(|e| store_unavailable(&e))?;
        files.push(object(&id, row));
    }
    Ok(files)
}

/// Deletes an uploaded file's row. Its parts stay in the object store, because jobs that were
/// accepted with it read them.
pub async fn delete<P: Platform>(
    shared: &Shared<P>,
    contract: &Contract,
    file: &FileId,
) -> Result<()> {
    if let Some(result) = ResultFile::of(file) {
        rows::job(shared, &contract.customer, &result.job).await?;
        let detail = format!("file {file} is the result of a batch and stays readable");
        return Err(Refusal::not_run(RefusalReason::Conflict { detail }));
    }
    let key = tables::file_key(&contract.customer, file);
    let delete = Operation::delete(tables::FILE, &key, Expect::Present);
    match shared.platform.transact(&[delete]).await {
        Ok(Transacted::Committed) => Ok(()),
        Ok(Transacted::Conflict { .. }) => Err(rows::no_file(file)),
        Err(error) if error.may_have_taken_effect() => {
            Err(store_unavailable(&error).with_ran(ExecutionStatus::MayHaveRun))
        }
        Err(error) => Err(store_unavailable(&error)),
    }
}

#[derive(Debug)]
enum FileSegment {
    Object(String),
    Chunk(ChunkRow),
}

/// A download in progress, one object at a time.
#[derive(Debug)]
pub struct EntryDownload<P> {
    shared: Shared<P>,
    result: Option<ResultFile>,
    segments: VecDeque<FileSegment>,
}

/// Opens an uploaded file, or a result file of a job.
pub async fn open<P: Platform>(
    shared: &Shared<P>,
    contract: &Contract,
    file: &FileId,
) -> Result<EntryDownload<P>> {
    let mut segments = VecDeque::new();
    let result = ResultFile::of(file);
    match &result {
        None => {
            let row = rows::file(shared, &contract.customer, file).await?;
            for part in 0..row.part_lines.len() {
                segments.push_back(FileSegment::Object(tables::part_object(file, part as u32)));
            }
        }
        Some(result) => {
            rows::job(shared, &contract.customer, &result.job).await?;
            let chunks = result.chunks(shared).await?;
            segments.extend(chunks.into_iter().map(FileSegment::Chunk));
        }
    }
    Ok(EntryDownload {
        shared: shared.clone(),
        result,
        segments,
    })
}

impl<P: Platform> EntryDownload<P> {
    /// A copy of a part, with memory of requests until it is sent. What the platform's client read is
    /// returned to it, however slowly the caller reads.
    fn hold(&self, part: &Bytes) -> Result<Bytes> {
        let reservation = self.shared.memory.reserve(part.len());
        let reservation = reservation.map_err(|error| no_memory::refusal(&error))?;
        Ok(reservation.keep_with(Bytes::copy_from_slice(part)))
    }
}

impl<P: Platform> Download for EntryDownload<P> {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        let segment = self.segments.pop_front()?;
        let read = match (&segment, &self.result) {
            (FileSegment::Chunk(chunk), Some(result)) => result.lines(&self.shared, chunk).await,
            (FileSegment::Chunk(chunk), None) => rows::object(&self.shared, &chunk.object).await,
            (FileSegment::Object(name), _) => rows::object(&self.shared, name).await,
        };
        Some(read.and_then(|bytes| self.hold(&bytes)))
    }
}
