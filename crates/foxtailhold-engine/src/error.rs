//! Errors of requests to engines.
//!
//! The `Display` texts can reach clients as the detail of a failed request.

use foxtailhold_http::client::SendError;
use thiserror::Error;

/// Result of a request to an engine.
pub type Result<T> = std::result::Result<T, EngineError>;

/// Why an engine did not give a complete, valid answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The request could not be sent, or no response head was received.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The engine has no free slot (status 429) and did not run the request.
    #[error("the engine is full")]
    Full,
    /// The engine is draining (status 503) and did not run the request.
    #[error("the engine is leaving")]
    Leaving,
    /// The engine answered with a 5xx status other than 503. A load report or engine state request
    /// also returns this for any other status than 2xx.
    #[error("the engine failed with status {status}")]
    Failed {
        /// HTTP status code.
        status: u16,
    },
    /// The connection ended before the last event of a stream or the end of a body, or the body
    /// exceeded [`MAX_ANSWER_BYTES`](crate::client::MAX_ANSWER_BYTES).
    #[error("the stream was cut: {detail}")]
    Cut {
        /// Cause, such as the transport error.
        detail: String,
    },
    /// An event or unstreamed answer carries the identifier of another request.
    #[error("an event of request {found:?} came in the stream of another")]
    Foreign {
        /// Identifier in the event; empty if it has none.
        found: String,
    },
    /// Events are missing from the stream.
    #[error("event {found} came where {expected} was due")]
    Gap {
        /// Ordinal of the first missing event.
        expected: u64,
        /// Ordinal of the event that arrived instead.
        found: u64,
    },
    /// A stream holds an event before the one with which it was to begin: the engine ignored the
    /// continuation and began the answer anew, so that its text belongs to another run.
    #[error("event {found} came in a stream that was to begin with {first}")]
    NotResumed {
        /// Ordinal with which the stream was to begin.
        first: u64,
        /// Ordinal of the event that arrived.
        found: u64,
    },
    /// The answer ended normally but without a `finish_reason`.
    #[error("the engine ended the answer before it was finished")]
    Unfinished,
    /// The engine sent an error object instead of the next chunk.
    #[error("the engine reported an error in the stream: {detail}")]
    InStream {
        /// Message of the error object.
        detail: String,
    },
    /// No event arrived for longer than the engine's load explains.
    #[error("the engine sent nothing for {bound_ms} ms")]
    Stalled {
        /// Maximum wait for the next event that applied, in milliseconds.
        bound_ms: u64,
    },
    /// An event, answer or request body is not in the expected format.
    #[error("an event cannot be read: {detail}")]
    Malformed {
        /// Description of the format error.
        detail: String,
    },
}

impl EngineError {
    /// Whether it is certain that the engine did not run any part of the request, so that another
    /// attempt cannot run it twice.
    pub fn is_not_run(&self) -> bool {
        match self {
            EngineError::Send(error) => error.is_not_sent(),
            EngineError::Full | EngineError::Leaving => true,
            _ => false,
        }
    }
}
