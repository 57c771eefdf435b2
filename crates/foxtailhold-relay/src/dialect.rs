//! How backend servers are spoken to.

use foxtailhold::ids::BackendId;
use http::{HeaderMap, Response, StatusCode};

/// What the product puts into a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestMetadata<'a> {
    /// Identity of the request, echoed by the backend server.
    pub request_id: &'a str,
    /// Identity of the only backend server that may run it.
    pub backend: &'a BackendId,
    /// Time left for the answer.
    pub left_ms: u64,
    /// The event after which a stream goes on.
    pub after_event: Option<u64>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseCheck {
    /// The answer to this request.
    Valid,
    /// The backend server did not run the request and never will: it is full or leaving.
    NotRun,
    /// Another backend server has the address; not run.
    WrongBackend,
    /// An answer to another request, or one that cannot be trusted.
    Mismatched,
}

/// A backend server's load, as an answer tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Names and meanings of headers towards backend servers.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Sets the product's headers in a request that carries the caller's.
    fn write(&self, outgoing: &RequestMetadata<'_>, headers: &mut HeaderMap);

    /// Reads the head of an answer.
    fn read<B>(&self, request_id: &str, response: &Response<B>) -> ResponseCheck;

    /// The load that an answer tells.
    fn load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// Whether this answer to a batch item means that it can never be done.
    fn is_impossible(&self, status: StatusCode) -> bool;

    /// Removes from an answer what is meant for this process only.
    fn strip(&self, headers: &mut HeaderMap);
}
