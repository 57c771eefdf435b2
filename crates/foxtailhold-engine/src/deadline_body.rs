//! A request body that is sent before a deadline or not at all.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::time::Instant;

/// The send deadline had passed before the body was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("it is too late to send the request")]
pub struct SendDeadlinePassed;

/// A request body with a send deadline.
///
/// The deadline is checked when the connection polls for the bytes, right before it writes them.
/// So a process that was paused after it started the request aborts it without sending the body.
#[derive(Debug, Clone)]
pub struct DeadlineBody {
    bytes: Bytes,
    not_after: Option<Instant>,
}

impl DeadlineBody {
    /// Creates a body that may be sent before `not_after`, or at any time if that is `None`.
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
