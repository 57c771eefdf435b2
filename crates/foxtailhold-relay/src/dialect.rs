//! HTTP headers exchanged with backend servers.

use foxtailhold::ids::BackendId;
use foxtailhold::prompt_parts::SharedParts;
use http::{HeaderMap, Response, StatusCode};

/// Metadata added to a request for a backend server.
#[derive(Debug, Clone, Copy)]
pub struct RequestMetadata<'a> {
    /// Identifier of the request, echoed by the backend server.
    pub request_id: &'a str,
    /// Identity of the only backend server that may run the request.
    pub backend: &'a BackendId,
    /// Time left for the response.
    pub left_ms: u64,
    /// Event after which a stream resumes; `None` from the start.
    pub after_event: Option<u64>,
}

/// What the head of a response states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseCheck {
    /// It answers this request.
    Valid,
    /// The backend server did not run the request and will not: it is full or leaving.
    NotRun,
    /// Another backend server has the address. The request did not run.
    WrongBackend,
    /// It answers another request, or cannot be trusted.
    Mismatched,
}

/// Load of a backend server as stated in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
}

/// Names and meanings of the headers exchanged with backend servers.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Adds the metadata to the headers of the caller.
    fn write(&self, metadata: &RequestMetadata<'_>, headers: &mut HeaderMap);

    /// Checks the head of a response to the request `request_id`.
    fn read<B>(&self, request_id: &str, response: &Response<B>) -> ResponseCheck;

    /// Whether a response states the identity of a request, so that a copy of it can be told.
    fn is_identified<B>(&self, response: &Response<B>) -> bool;

    /// Load stated in a response; `None` if it states none.
    fn load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// Parts of the prompt of a request that other requests may share.
    fn shared_parts(&self, headers: &HeaderMap) -> SharedParts;

    /// The most output tokens that a request asks for; `None` if it does not say.
    fn output_tokens(&self, headers: &HeaderMap) -> Option<u64>;

    /// Whether this response to a batch item means that the item can never be completed.
    fn is_impossible(&self, status: StatusCode) -> bool;

    /// Removes headers that are meant for this process only.
    fn strip(&self, headers: &mut HeaderMap);
}
