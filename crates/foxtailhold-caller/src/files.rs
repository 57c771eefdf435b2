//! Files in the format of the OpenAI API: upload as `multipart/form-data`, metadata, content.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::FileId;
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold_http::body::{self, AnswerBody, AnswerSender};
use foxtailhold_http::connections::ConnectionState;
use foxtailhold_http::memory::{GrowingReservation, MemoryBudget};
use futures_util::Stream;
use http::{HeaderValue, Response, StatusCode, header, request};
use hyper::body::{Body, Incoming};
use serde::Serialize;
use thiserror::Error;

use crate::gateway::{Download, FileObject, Gateway, RequestContext, Upload};
use crate::list::{self, ListLimits};
use crate::no_memory;

/// The only accepted value of the `purpose` field of an upload.
pub const BATCH_PURPOSE: &str = "batch";
/// Maximum length of the `purpose` field.
const MAX_FIELD_BYTES: usize = 256;
/// Bytes of a form that are buffered while none of them can be taken out, as in the head of a field.
const MAX_UNTAKEN_BYTES: usize = 128 << 10;

/// Why the body of an upload cannot be read.
#[derive(Debug, Error)]
enum FormError {
    /// The head of a field is too long.
    #[error("a field has a head of more than {MAX_UNTAKEN_BYTES} bytes")]
    TooLong,
    /// The connection failed before the body ended.
    #[error(transparent)]
    Ended(#[from] hyper::Error),
}

/// Page sizes for listing files.
pub const LIST_LIMITS: ListLimits = ListLimits {
    default: 100,
    max: 1_000,
};

#[derive(Serialize)]
struct FileBody<'a> {
    object: &'static str,
    status: &'static str,
    #[serde(flatten)]
    file: &'a FileObject,
}

impl<'a> From<&'a FileObject> for FileBody<'a> {
    fn from(file: &'a FileObject) -> Self {
        FileBody {
            object: "file",
            status: "processed",
            file,
        }
    }
}

#[derive(Serialize)]
struct DeletedBody<'a> {
    id: &'a FileId,
    object: &'static str,
    deleted: bool,
}

/// Builds the response with one file object.
pub fn object(file: &FileObject) -> Response<AnswerBody> {
    body::json(StatusCode::OK, &FileBody::from(file))
}

/// Builds the response with a page of at most `limit` file objects. `files` has one entry more if
/// there are further pages.
pub fn list(files: &[FileObject], limit: usize) -> Response<AnswerBody> {
    list::page(files, limit, |file| file.id.as_str(), FileBody::from)
}

/// Builds the response to the deletion of a file.
pub fn deleted(id: &FileId) -> Response<AnswerBody> {
    let body = DeletedBody {
        id,
        object: "file",
        deleted: true,
    };
    body::json(StatusCode::OK, &body)
}

/// Parses the file identifier in a path. An invalid one is refused as not found.
pub fn id(text: &str) -> Result<FileId> {
    FileId::try_from(text).map_err(|_| {
        Refusal::not_run(RefusalReason::NotFound {
            kind: "file".into(),
            id: text.chars().take(80).collect(),
        })
    })
}

fn invalid_form(error: multer::Error) -> Refusal {
    Refusal::invalid(format!("the multipart form cannot be read: {error}"))
}

/// Waits for the next part of a multipart form; fails with `BodyTimeout` after `idle_ms`.
async fn with_idle_timeout<T>(
    part: impl Future<Output = multer::Result<T>>,
    idle_ms: u64,
) -> Result<T> {
    let idle = Duration::from_millis(idle_ms);
    match tokio::time::timeout(idle, part).await {
        Ok(part) => part.map_err(invalid_form),
        Err(_) => Err(Refusal::not_run(RefusalReason::BodyTimeout { idle_ms })),
    }
}

async fn read_chunk(field: &mut multer::Field<'_>, idle_ms: u64) -> Result<Option<Bytes>> {
    with_idle_timeout(field.chunk(), idle_ms).await
}

async fn read_purpose(mut field: multer::Field<'_>, idle_ms: u64) -> Result<String> {
    let mut text = Vec::new();
    while let Some(bytes) = read_chunk(&mut field, idle_ms).await? {
        text.extend_from_slice(&bytes);
        if text.len() > MAX_FIELD_BYTES {
            return Err(Refusal::invalid("field `purpose` is too long"));
        }
    }
    let purpose =
        String::from_utf8(text).map_err(|_| Refusal::invalid("field `purpose` is not UTF-8"))?;
    if purpose != BATCH_PURPOSE {
        return Err(Refusal::invalid(format!(
            "field `purpose` is {purpose:?}, it must be {BATCH_PURPOSE:?}"
        )));
    }
    Ok(purpose)
}

/// Terms on which a file is uploaded.
#[derive(Debug, Clone, Copy)]
pub struct UploadTerms<'a> {
    /// Longest pause between two parts of the form.
    pub idle_ms: u64,
    /// Memory for what is not stored yet.
    pub memory: &'a MemoryBudget,
}

/// A body whose bytes are counted until they are taken out of the form.
struct CountedBody<'a> {
    incoming: &'a mut Incoming,
    untaken_bytes: Arc<AtomicUsize>,
}

impl Stream for CountedBody<'_> {
    type Item = std::result::Result<Bytes, FormError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = ready!(Pin::new(&mut *self.incoming).poll_frame(context));
        let data = match frame {
            None => return Poll::Ready(None),
            Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let untaken_bytes = self.untaken_bytes.fetch_add(data.len(), Ordering::Relaxed);
        Poll::Ready(Some(match untaken_bytes > MAX_UNTAKEN_BYTES {
            true => Err(FormError::TooLong),
            false => Ok(data),
        }))
    }
}

/// Reads a multipart upload and streams its `file` field to the gateway. The form must have the
/// fields `purpose` and `file`.
pub async fn upload<G: Gateway>(
    gateway: &G,
    context: &RequestContext,
    head: &request::Parts,
    incoming: &mut Incoming,
    terms: &UploadTerms<'_>,
) -> Result<FileObject> {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let boundary =
        multer::parse_boundary(content_type.unwrap_or_default()).map_err(invalid_form)?;
    let upload = gateway.upload(context)?;
    let connection = head.extensions.get::<Arc<ConnectionState>>();
    let _reading = connection.map(|connection| connection.begin_reading());
    let mut memory = terms.memory.grow_body();
    let eviction = memory.eviction();
    let reading = read_form(incoming, boundary, terms.idle_ms, upload, &mut memory);
    tokio::select! {
        file = reading => file,
        () = eviction.cancelled() => Err(no_memory::refusal(&"the upload made no progress")),
    }
}

async fn read_form<U: Upload>(
    incoming: &mut Incoming,
    boundary: String,
    idle_ms: u64,
    mut upload: U,
    memory: &mut GrowingReservation,
) -> Result<FileObject> {
    let untaken_bytes = Arc::new(AtomicUsize::new(0));
    let body = CountedBody {
        incoming,
        untaken_bytes: Arc::clone(&untaken_bytes),
    };
    let mut form = multer::Multipart::new(body, boundary);
    let (mut filename, mut purpose, mut file_bytes) = (None, None, 0);
    while let Some(mut field) = with_idle_timeout(form.next_field(), idle_ms).await? {
        untaken_bytes.store(0, Ordering::Relaxed);
        match field.name() {
            Some("purpose") => purpose = Some(read_purpose(field, idle_ms).await?),
            Some("file") => {
                filename = Some(field.file_name().unwrap_or("file").to_owned());
                while let Some(bytes) = read_chunk(&mut field, idle_ms).await? {
                    untaken_bytes.store(0, Ordering::Relaxed);
                    let held_bytes = upload.held_bytes() + bytes.len();
                    let grown = memory.grow_to(held_bytes).await;
                    grown.map_err(|error| no_memory::refusal(&error))?;
                    upload.push(&bytes).await?;
                    memory.shrink_to(upload.held_bytes());
                    file_bytes += bytes.len();
                    memory.record_progress(file_bytes);
                }
            }
            _ => {}
        }
    }
    let filename = filename.ok_or_else(|| Refusal::invalid("field `file` is missing"))?;
    let purpose = purpose.ok_or_else(|| Refusal::invalid("field `purpose` is missing"))?;
    upload.close(filename, purpose).await
}

/// Builds the response that streams the content of a file. The first part is read before the
/// response starts, so that an unavailable store still results in an error object.
pub async fn content<D: Download>(mut source: D) -> Result<Response<AnswerBody>> {
    let mut response = match source.next().await.transpose()? {
        None => Response::new(body::whole(Bytes::new())),
        Some(first) => {
            let (sender, body) = body::streamed();
            tokio::spawn(send_content(first, source, sender));
            Response::new(body)
        }
    };
    let jsonl = HeaderValue::from_static("application/jsonl");
    response.headers_mut().insert(header::CONTENT_TYPE, jsonl);
    Ok(response)
}

async fn send_content<D: Download>(first: Bytes, mut source: D, sender: AnswerSender) {
    let mut part = first;
    loop {
        if !sender.send(part).await {
            return;
        }
        part = match source.next().await {
            None => {
                sender.finish();
                return;
            }
            Some(Ok(part)) => part,
            Some(Err(refusal)) => {
                log::warn!(
                    "file download failed after the response had started, closing the connection: {refusal}"
                );
                sender.cut();
                return;
            }
        };
    }
}
