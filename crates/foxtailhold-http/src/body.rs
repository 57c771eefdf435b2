//! Request and response bodies.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Extensions, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming};
use serde::Serialize;
use thiserror::Error;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

use crate::connections::ConnectionState;
use crate::memory::{self, MemoryBudget, MemoryExhausted};
use crate::response_end::{EndWitness, ResponseEnd, UnprovedEnd};

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// Response body: in one buffer, or streamed through a bounded channel.
pub type AnswerBody = Either<Full<Bytes>, StreamBody>;

/// Frames that a streamed body buffers before its sender has to wait.
pub const STREAM_BUFFER_FRAMES: usize = 16;
/// Bytes that a streamed body buffers before its sender has to wait. A larger frame is buffered
/// alone.
pub const STREAM_BUFFER_BYTES: usize = 64 << 10;

/// A streamed body ended early. The connection is reset, so that the receiver notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stream was cut")]
pub struct StreamCut;

/// What both halves of a streamed body know.
#[derive(Debug)]
struct StreamState {
    is_complete: AtomicBool,
    /// Bytes that may still be buffered.
    free_bytes: Semaphore,
}

/// Bytes of the buffer that a frame takes.
fn buffer_share(frame: &Bytes) -> usize {
    frame.len().min(STREAM_BUFFER_BYTES)
}

/// A body that is fed through a bounded channel. It is complete only if its sender says so.
#[derive(Debug)]
pub struct StreamBody {
    frames: mpsc::Receiver<Bytes>,
    state: Arc<StreamState>,
    is_cut: bool,
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.state.free_bytes.close();
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, StreamCut>>> {
        if self.is_cut {
            return Poll::Ready(Some(Err(StreamCut)));
        }
        let next = ready!(self.frames.poll_recv(context));
        if let Some(frame) = &next {
            self.state.free_bytes.add_permits(buffer_share(frame));
        }
        if next.is_none() && !self.state.is_complete.load(Ordering::Acquire) {
            // Returning the error at once would drop frames that the connection has buffered. A
            // pending poll lets it write them first.
            self.is_cut = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(next.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// Sending half of a streamed body. Dropping it ends the body with an error, so that the receiver
/// cannot take it for complete.
#[derive(Debug)]
pub struct AnswerSender {
    frames: mpsc::Sender<Bytes>,
    state: Arc<StreamState>,
}

impl AnswerSender {
    /// Sends bytes, waiting while the buffer is full. Returns `false` if the receiver is gone.
    pub async fn send(&self, bytes: Bytes) -> bool {
        let Ok(place) = self.frames.reserve().await else {
            return false;
        };
        let share = buffer_share(&bytes) as u32;
        let Ok(reserved) = self.state.free_bytes.acquire_many(share).await else {
            return false;
        };
        reserved.forget();
        place.send(bytes);
        true
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        self.state.is_complete.store(true, Ordering::Release);
    }

    /// Ends the body with an error, after what has been sent.
    pub fn cut(self) {
        drop(self);
    }

    /// Waits until the receiver is gone.
    pub async fn gone(&self) {
        self.frames.closed().await;
    }
}

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[error("the body is over {limit_bytes} bytes")]
    TooLarge {
        /// Size limit.
        limit_bytes: usize,
    },
    /// The sender paused for too long.
    #[error("no byte of the body came within {idle_ms} ms")]
    Slow {
        /// Limit of the pause between two frames.
        idle_ms: u64,
    },
    /// The body did not end in the time of its request.
    #[error("the body did not end in time")]
    Late,
    /// There is no memory for the body.
    #[error(transparent)]
    NoMemory(#[from] MemoryExhausted),
    /// The body made no progress, and others needed its memory.
    #[error("the body made no progress and gave way to others")]
    Evicted,
    /// The connection failed before the body ended.
    #[error("the body ended early: {0}")]
    Ended(String),
}

/// Largest part in which a body is kept while it is read.
const PART_BYTES: usize = 64 << 10;

/// Reads a body of at most `limit_bytes` to its end, with memory from `budget`, which is returned when
/// the last part of the body is dropped.
pub async fn read_within<B>(mut body: B, limit_bytes: usize, budget: &MemoryBudget) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut reservation = budget.reserve(0)?;
    let mut parts = BodyParts::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Ended(error.into().to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let total_bytes = parts.total_bytes + data.len();
        if total_bytes > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        reservation.grow_to(BodyParts::reserved_bytes(total_bytes))?;
        parts.push(&data);
    }
    Ok(reservation.keep_with(parts.into_bytes()))
}

/// Reads the body of a response like [`read_within`]. One that ends with its connection is checked
/// unless it is a failure, of which the status is enough.
pub async fn read_response(
    response: Response<Incoming>,
    limit_bytes: usize,
    budget: &MemoryBudget,
) -> Result<Bytes> {
    let (head, body) = response.into_parts();
    let bytes = read_within(body, limit_bytes, budget).await?;
    let is_proved =
        !head.status.is_success() || ResponseEnd::from(&head.headers) == ResponseEnd::Stated;
    if let (false, Some(witness)) = (is_proved, head.extensions.get::<EndWitness>()) {
        let ended = |error: UnprovedEnd| BodyError::Ended(error.to_string());
        witness.check().await.map_err(ended)?;
    }
    Ok(bytes)
}

/// Bytes of a body in parts of limited size. One buffer would take up to three times the bytes of
/// the body while it grows.
#[derive(Debug, Default)]
pub struct BodyParts {
    full: Vec<BytesMut>,
    last: BytesMut,
    total_bytes: usize,
}

impl BodyParts {
    /// Bytes that have been pushed.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Memory that a body of `total_bytes` takes in parts.
    pub fn reserved_bytes(total_bytes: usize) -> usize {
        match total_bytes {
            ..=PART_BYTES => total_bytes.next_power_of_two(),
            _ => total_bytes.next_multiple_of(PART_BYTES),
        }
    }

    /// Appends bytes.
    pub fn push(&mut self, mut data: &[u8]) {
        self.total_bytes += data.len();
        while !data.is_empty() {
            if self.last.len() == PART_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
            let count = data.len().min(PART_BYTES - self.last.len());
            self.last.extend_from_slice(&data[..count]);
            data = &data[count..];
        }
    }

    /// All bytes in one buffer.
    pub fn into_bytes(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.total_bytes);
        for part in self.full {
            whole.extend_from_slice(&part);
        }
        whole.extend_from_slice(&self.last);
        whole.freeze()
    }
}

/// Reads a body of at most `limit_bytes` to its end.
pub async fn read_whole<B>(body: B, limit_bytes: usize) -> Result<Bytes>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge { limit_bytes }),
        Err(error) => Err(BodyError::Ended(error.to_string())),
    }
}

/// Terms on which the body of a request is read.
#[derive(Debug, Clone)]
pub struct RequestTerms<'a> {
    /// Largest size of the body.
    pub limit_bytes: usize,
    /// Longest pause between two frames.
    pub idle_ms: u64,
    /// Time until which the body may be read; `None` if only its pauses are limited.
    pub deadline: Option<Instant>,
    /// Memory for the body.
    pub memory: &'a MemoryBudget,
    /// Connection that carries the request; `None` if nothing is known of it.
    pub connection: Option<Arc<ConnectionState>>,
}

impl<'a> RequestTerms<'a> {
    /// Terms with a limit of size and pauses, for a request with these extensions.
    pub fn new(
        limit_bytes: usize,
        idle_ms: u64,
        memory: &'a MemoryBudget,
        extensions: &Extensions,
    ) -> Self {
        RequestTerms {
            limit_bytes,
            idle_ms,
            deadline: None,
            memory,
            connection: extensions.get::<Arc<ConnectionState>>().cloned(),
        }
    }

    /// The next frame; `None` at the end of the body.
    async fn next_frame<B>(&self, body: &mut B) -> Result<Option<Bytes>>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let idle = Duration::from_millis(self.idle_ms);
        let waits_for_turn = || {
            let connection = self.connection.as_ref();
            connection.is_some_and(|connection| connection.waits_for_turn())
        };
        loop {
            let idle_until = Instant::now() + idle;
            let until = self.deadline.map_or(idle_until, |end| end.min(idle_until));
            let frame = match tokio::time::timeout_at(until, body.frame()).await {
                Err(_) if until == idle_until && waits_for_turn() => continue,
                Err(_) if until < idle_until => return Err(BodyError::Late),
                Err(_) => {
                    let idle_ms = self.idle_ms;
                    return Err(BodyError::Slow { idle_ms });
                }
                Ok(None) => return Ok(None),
                Ok(Some(frame)) => frame,
            };
            let frame = frame.map_err(|error| BodyError::Ended(error.into().to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn check_announced<B: Body>(&self, body: &B) -> Result<usize> {
        let announced = body.size_hint().lower();
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        self.check_size(announced)?;
        Ok(announced)
    }

    fn check_size(&self, body_bytes: usize) -> Result<()> {
        let limit_bytes = self.limit_bytes;
        match body_bytes > limit_bytes {
            true => Err(BodyError::TooLarge { limit_bytes }),
            false => Ok(()),
        }
    }
}

/// Reads the body of a request to its end. Its memory is returned when its last part is dropped. A body
/// that makes no progress gives way to others.
pub async fn read_request<B>(body: &mut B, terms: &RequestTerms<'_>) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let announced_bytes = terms.check_announced(body)?;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = terms.connection.as_ref().map(|state| state.begin_reading());
    let mut reservation = terms.memory.grow_body();
    reservation
        .make_room(BodyParts::reserved_bytes(announced_bytes))
        .await?;
    let eviction = reservation.eviction();
    let mut parts = BodyParts::default();
    loop {
        let next = tokio::select! {
            next = terms.next_frame(body) => next?,
            () = eviction.cancelled() => return Err(BodyError::Evicted),
        };
        let Some(data) = next else {
            return Ok(reservation.close().keep_with(parts.into_bytes()));
        };
        let total_bytes = parts.total_bytes + data.len();
        terms.check_size(total_bytes)?;
        reservation
            .grow_to(BodyParts::reserved_bytes(total_bytes))
            .await?;
        parts.push(&data);
        let is_progress = reservation.record_progress(total_bytes);
        if let Some(reading) = reading.as_ref().filter(|_| is_progress) {
            reading.record_progress();
        }
    }
}

/// Reads the body of a request to its end and keeps nothing of it.
pub async fn discard_request<B>(body: &mut B, terms: &RequestTerms<'_>) -> Result<()>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    terms.check_announced(body)?;
    let _reading = terms.connection.as_ref().map(|state| state.begin_reading());
    let mut total_bytes = 0;
    while let Some(data) = terms.next_frame(body).await? {
        total_bytes += data.len();
        terms.check_size(total_bytes)?;
    }
    Ok(())
}

/// Upper limit of the unread body bytes that are drained after the response.
pub const DRAIN_LIMIT_BYTES: usize = 64 << 20;
/// Time limit for draining an unread body after the response.
pub const DRAIN_LIMIT_MS: u64 = 10_000;

/// Drains the rest of a request's body while its response is sent.
///
/// If a connection is closed with unread bytes, it is reset and the client may lose the response
/// (RFC 9112, 9.6). Above the limits the body is dropped, which closes the connection. `extensions` are
/// those of the request.
pub fn drain(mut body: Incoming, extensions: &Extensions) {
    if body.is_end_stream() {
        return;
    }
    let connection = extensions.get::<Arc<ConnectionState>>();
    let draining = connection.map(ConnectionState::begin_draining);
    tokio::spawn(async move {
        let _draining = draining;
        let mut drained_bytes = 0;
        let drained = async {
            while let Some(Ok(frame)) = body.frame().await {
                drained_bytes += frame.data_ref().map_or(0, Bytes::len);
                if drained_bytes > DRAIN_LIMIT_BYTES {
                    return;
                }
            }
        };
        let limit = Duration::from_millis(DRAIN_LIMIT_MS);
        if tokio::time::timeout(limit, drained).await.is_err() {
            log::debug!(
                "unread request body not drained within {DRAIN_LIMIT_MS} ms, closing the connection"
            );
        }
    });
}

/// A response body in one buffer.
pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    Either::Left(Full::new(bytes.into()))
}

/// A streamed response body and its sender.
pub fn streamed() -> (AnswerSender, AnswerBody) {
    let (sender, frames) = mpsc::channel(STREAM_BUFFER_FRAMES);
    let state = Arc::new(StreamState {
        is_complete: AtomicBool::new(false),
        free_bytes: Semaphore::new(STREAM_BUFFER_BYTES),
    });
    let sender = AnswerSender {
        frames: sender,
        state: Arc::clone(&state),
    };
    let stream = StreamBody {
        frames,
        state,
        is_cut: false,
    };
    (sender, Either::Right(stream))
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    json_response(status, encode_json(value).into())
}

/// Like [`json`], with memory from `budget` until the response is written.
pub fn reserved_json<T: Serialize>(
    status: StatusCode,
    value: &T,
    budget: &MemoryBudget,
) -> memory::Result<Response<AnswerBody>> {
    let text = encode_json(value);
    let reservation = budget.reserve(text.len())?;
    Ok(json_response(status, reservation.keep_with(text.into())))
}

fn encode_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_else(|error| {
        log::error!("response not encoded as JSON, null is sent instead: {error}");
        b"null".to_vec()
    })
}

fn json_response(status: StatusCode, text: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// A response without a body.
pub fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
