//! A body that is sent before a moment or not at all.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::time::Instant;

/// It was too late to send the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("it is too late to send the request")]
pub struct SendDeadlinePassed;

/// The body. The time is looked at when the connection asks for the bytes, right before it writes
/// them, so that a process that was paused after it began to send ends the request without them.
#[derive(Debug, Clone)]
pub struct DeadlineBody {
    bytes: Bytes,
    not_after: Option<Instant>,
}

impl DeadlineBody {
    /// Bytes that may be sent until `not_after`, at any time where there is none.
    pub fn new(bytes: Bytes, not_after: Option<Instant>) -> Self {
        DeadlineBody { bytes, not_after }
    }
}

impl From<Bytes> for DeadlineBody {
    fn from(bytes: Bytes) -> Self {
        DeadlineBody::new(bytes, None)
    }
}

impl Body for DeadlineBody {
    type Data = Bytes;
    type Error = SendDeadlinePassed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, SendDeadlinePassed>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        if self.not_after.is_some_and(|until| Instant::now() >= until) {
            return Poll::Ready(Some(Err(SendDeadlinePassed)));
        }
        let bytes = std::mem::take(&mut self.bytes);
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
