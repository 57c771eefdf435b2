//! Bodies of requests and answers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming};
use serde::Serialize;
use thiserror::Error;
use tokio::sync::mpsc;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, BodyError>;

/// A body sent as an answer: whole, or streamed through a bounded channel.
pub type AnswerBody = Either<Full<Bytes>, StreamBody>;

/// Frames a streamed answer may hold before its sender waits.
pub const STREAM_BUFFER_FRAMES: usize = 16;

/// A streamed answer ended before its end; the connection is reset so that the receiver knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stream was cut")]
pub struct StreamCut;

/// A body fed through a bounded channel.
#[derive(Debug)]
pub struct StreamBody {
    frames: mpsc::Receiver<std::result::Result<Bytes, StreamCut>>,
    is_cut: bool,
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
        if let Some(Err(StreamCut)) = next {
            // An error drops what the connection has buffered; a pending body has it written first.
            self.is_cut = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(next.map(|frame| frame.map(Frame::data)))
    }
}

/// The sending half of a streamed body. Dropping it ends the body.
#[derive(Debug)]
pub struct AnswerSender {
    frames: mpsc::Sender<std::result::Result<Bytes, StreamCut>>,
}

impl AnswerSender {
    /// Sends bytes, waiting while the buffer is full. Returns whether the receiver is there.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.frames.send(Ok(bytes)).await.is_ok()
    }

    /// Ends the body with an error, so that the receiver cannot take it for whole.
    pub async fn cut(self) {
        let _ = self.frames.send(Err(StreamCut)).await;
    }

    /// Waits until the receiver is gone.
    pub async fn gone(&self) {
        self.frames.closed().await;
    }
}

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is over the limit.
    #[error("the body is over {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The sender paused for too long.
    #[error("no byte of the body came within {idle_ms} ms")]
    Slow {
        /// The limit.
        idle_ms: u64,
    },
    /// The connection failed.
    #[error("the body ended early: {0}")]
    Ended(String),
}

/// Reads a whole body of at most `limit_bytes`.
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

/// Reads a whole body from a sender that may pause for at most `idle_ms` between two parts.
pub async fn read_patiently<B>(body: &mut B, limit_bytes: usize, idle_ms: u64) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut whole = BytesMut::new();
    let idle = Duration::from_millis(idle_ms);
    loop {
        let frame = match tokio::time::timeout(idle, body.frame()).await {
            Err(_) => return Err(BodyError::Slow { idle_ms }),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(frame)) => frame.map_err(|error| BodyError::Ended(error.into().to_string()))?,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        whole.extend_from_slice(&data);
    }
}

/// Most bytes of an unread body that are taken in after the answer.
pub const DRAIN_LIMIT_BYTES: usize = 64 << 20;
/// Longest time for which an unread body is taken in after the answer.
pub const DRAIN_LIMIT_MS: u64 = 10_000;

/// Takes in what is left of a request's body while its answer is sent.
///
/// A connection closed with unread bytes is reset, and the client may lose the answer (RFC 9112,
/// 9.6). Beyond the limits the body is dropped, which closes the connection.
pub fn drain(mut rest: Incoming) {
    if rest.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let mut drained_bytes = 0;
        let take = async {
            while let Some(Ok(frame)) = rest.frame().await {
                drained_bytes += frame.data_ref().map_or(0, Bytes::len);
                if drained_bytes > DRAIN_LIMIT_BYTES {
                    return;
                }
            }
        };
        let limit = Duration::from_millis(DRAIN_LIMIT_MS);
        if tokio::time::timeout(limit, take).await.is_err() {
            log::debug!("the rest of a body was given up");
        }
    });
}

/// A whole answer body.
pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    Either::Left(Full::new(bytes.into()))
}

/// A streamed answer body with its sender.
pub fn streamed() -> (AnswerSender, AnswerBody) {
    let (sender, frames) = mpsc::channel(STREAM_BUFFER_FRAMES);
    let sender = AnswerSender { frames: sender };
    let is_cut = false;
    (sender, Either::Right(StreamBody { frames, is_cut }))
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    let text = serde_json::to_vec(value).unwrap_or_else(|error| {
        log::error!("an answer could not be written as JSON: {error}");
        b"null".to_vec()
    });
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
