//! The token stream of one request, validated event by event.

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::check::StreamCheck;
use crate::error::{EngineError, Result};

pub use crate::check::TokenEvent;

/// An open token stream. Dropping it closes the connection and so cancels the request at the
/// engine.
#[derive(Debug)]
pub struct EngineStream {
    body: Incoming,
    check: StreamCheck,
}

impl EngineStream {
    /// Wraps the body of a streamed response. For the parameters see [`StreamCheck::new`].
    pub(crate) fn new(body: Incoming, expected_id: String, next_ordinal: u64) -> Self {
        EngineStream {
            body,
            check: StreamCheck::new(expected_id, next_ordinal),
        }
    }

    /// Returns the next event in order, or `None` after the last one. Fails if an event belongs to
    /// another request, if events are missing, or if the connection ends before the last event.
    /// Cancel safe.
    pub async fn next(&mut self) -> Result<Option<TokenEvent>> {
        loop {
            if let Some(event) = self.check.next_event()? {
                return Ok(Some(event));
            }
            if self.check.is_ended() {
                return Ok(None);
            }
            self.fill().await?;
        }
    }

    /// Closes the connection, which cancels the request at the engine.
    pub fn close(self) {
        drop(self.body);
    }

    async fn fill(&mut self) -> Result<()> {
        let cut_error = |detail: String| EngineError::Cut { detail };
        let frame = match self.body.frame().await {
            None => return Err(cut_error("it ended without [DONE]".into())),
            Some(frame) => frame.map_err(|error| cut_error(error.to_string()))?,
        };
        match frame.data_ref() {
            Some(data) => self.check.push(data),
            None => Ok(()),
        }
    }
}
