//! Opaque requests and their answers.

use bytes::Bytes;
use foxtailhold::quarantine::Fingerprint;
use foxtailhold_http::body::AnswerBody;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Response, header};
use tokio::time::Instant;

/// A request that is passed on byte for byte.
#[derive(Debug, Clone)]
pub struct OpaqueRequest {
    /// Identity, one for each time that the caller sends it.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers without those of the caller's connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// How long the caller waits.
    pub caller_timeout_ms: Option<u64>,
    /// The event after which a stream goes on.
    pub after_event: Option<u64>,
    /// When its head was read.
    pub received: Instant,
}

impl OpaqueRequest {
    /// What stays the same when its caller sends it again, through whatever instance.
    pub fn fingerprint(&self) -> Fingerprint {
        let host = self.headers.get(header::HOST).map(HeaderValue::as_bytes);
        let host = String::from_utf8_lossy(host.unwrap_or_default());
        Fingerprint::of_opaque(&host, self.target.as_str(), &self.body)
    }
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// It crashes backend servers.
    Crashing,
    /// No backend server that it was not sent to takes new work.
    NoBackend,
    /// A place would be free too late.
    NoPlace,
    /// Its time was over before a place was free.
    Waited,
    /// The backend servers that it was sent to did not take it.
    NotTaken,
    /// No route has its host and path.
    NoRoute,
    /// This instance has not read all that it needs to serve.
    Starting,
}

impl NotRunReason {
    /// Its name in lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunReason::Crashing => "crashing",
            NotRunReason::NoBackend => "no_backend",
            NotRunReason::NoPlace => "no_place",
            NotRunReason::Waited => "waited",
            NotRunReason::NotTaken => "not_taken",
            NotRunReason::NoRoute => "no_route",
            NotRunReason::Starting => "starting",
        }
    }
}

/// Why a request has no answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unserved {
    /// It has not run and will not: come back later.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// It may have run.
    MayHaveRun,
    /// Its time is over, and it may have run.
    TimedOut,
}

/// The answer to an opaque request.
#[derive(Debug)]
pub enum RelayOutcome {
    /// A backend server's answer.
    Served(Response<AnswerBody>),
    /// None.
    Unserved(Unserved),
}
