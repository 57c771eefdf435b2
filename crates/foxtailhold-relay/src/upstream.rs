//! Sends one request to one backend server.

use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::BackendId;
use foxtailhold::slots::SlotOutcome;
use foxtailhold_http::body::{self, BodyError};
use foxtailhold_http::client::is_final;
use foxtailhold_http::memory::MemoryBudget;
use foxtailhold_http::response_end::EndProof;
pub use foxtailhold_http::response_end::ResponseEnd;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::connections::{BusyConnection, Connections, SendFailure, SendTerms};
use crate::dialect::{Dialect, RequestMetadata, ResponseCheck};
use crate::fleet::BackendServer;

/// Size limit of a response that is buffered until it is known to be complete.
pub const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// Why an attempt gave no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was accepted.
    Unreachable,
    /// The backend server stated that it did not run the request.
    NotRun,
    /// The connection ended before the response did. The backend server may have crashed.
    Closed,
    /// The response belongs to another request or is incomplete.
    Broken,
    /// The backend server answered with a server error.
    Failed,
    /// Nothing was received for too long.
    Silent,
    /// The time of the request was over, which says nothing about the backend server.
    TimeOver,
    /// The leave to send it ended before a connection was there.
    TooLate,
    /// There is no memory for the response, which says nothing about the backend server.
    NoMemory,
}

impl AttemptFailure {
    /// Name in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::Unreachable => "unreachable",
            AttemptFailure::NotRun => "not_run",
            AttemptFailure::Closed => "closed",
            AttemptFailure::Broken => "broken",
            AttemptFailure::Failed => "failed",
            AttemptFailure::Silent => "silent",
            AttemptFailure::TimeOver => "time_over",
            AttemptFailure::TooLate => "too_late",
            AttemptFailure::NoMemory => "no_memory",
        }
    }

    /// Whether the request may have run in spite of the failure.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            AttemptFailure::Unreachable | AttemptFailure::NotRun | AttemptFailure::TooLate
        )
    }

    /// Result reported to the slot allocator about the backend server.
    pub fn outcome(self) -> SlotOutcome {
        match self {
            AttemptFailure::Unreachable => SlotOutcome::Unreachable,
            AttemptFailure::NotRun => SlotOutcome::Full,
            AttemptFailure::Closed | AttemptFailure::Broken | AttemptFailure::Failed => {
                SlotOutcome::Broken
            }
            AttemptFailure::Silent => SlotOutcome::Silent,
            AttemptFailure::TimeOver | AttemptFailure::TooLate | AttemptFailure::NoMemory => {
                SlotOutcome::Abandoned
            }
        }
    }
}

/// A request as it is sent to backend servers.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRequest<'a> {
    /// Identifier that the backend server echoes.
    pub request_id: &'a str,
    /// HTTP method of the caller's request.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a PathAndQuery,
    /// Headers of the caller without hop-by-hop headers.
    pub headers: &'a HeaderMap,
    /// Body of the caller's request, unchanged.
    pub body: &'a Bytes,
    /// Event after which a stream resumes; `None` from the start.
    pub after_event: Option<u64>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Time from which it must not be sent any more; `None` if that is not bounded.
    pub not_after: Option<Instant>,
}

impl UpstreamRequest<'_> {
    fn build(
        &self,
        dialect: &impl Dialect,
        backend: &BackendId,
        left_ms: u64,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        *request.headers_mut() = self.headers.clone();
        let metadata = RequestMetadata {
            request_id: self.request_id,
            backend,
            left_ms,
            after_event: self.after_event,
        };
        dialect.write(&metadata, request.headers_mut());
        request
    }

    /// Sends the request and waits for the response head until `response_deadline`, after which the
    /// backend server counts as silent. The time of the request is over at `deadline`, which is sent
    /// to the backend server.
    pub async fn send<D: Dialect>(
        &self,
        dialect: &D,
        connections: &Connections,
        backend: &BackendServer,
        deadline: Instant,
        response_deadline: Instant,
    ) -> Result<(Response<Incoming>, BusyConnection), AttemptFailure> {
        let build_request = || {
            let remaining = deadline.saturating_duration_since(Instant::now());
            self.build(dialect, &backend.identity, remaining.as_millis() as u64)
        };
        let response_head = connections.send(
            &backend.id,
            backend.address,
            SendTerms {
                is_idempotent: self.is_idempotent,
                not_after: self.not_after,
            },
            build_request,
        );
        let sent = match tokio::time::timeout_at(response_deadline, response_head).await {
            Err(_) if response_deadline < deadline => return Err(AttemptFailure::Silent),
            Err(_) => return Err(AttemptFailure::TimeOver),
            Ok(sent) => sent,
        };
        let (response, mut connection) = match sent {
            Ok(sent) => sent,
            Err(failure @ SendFailure::NotSent { .. }) => {
                log::debug!("{failure}");
                return Err(AttemptFailure::Unreachable);
            }
            Err(SendFailure::TooLate) => return Err(AttemptFailure::TooLate),
            Err(failure @ SendFailure::NotHttp { .. }) => {
                log::info!("{failure}");
                return Err(AttemptFailure::Broken);
            }
            Err(failure @ SendFailure::MayHaveRun { .. }) => {
                log::debug!("{failure}");
                return Err(AttemptFailure::Closed);
            }
        };
        if !dialect.is_identified(&response) {
            connection.record_unidentified();
        }
        if !is_final(response.status()) {
            let status = response.status().as_u16();
            log::info!(backend = backend.id.as_str(), status = status; "invalid response status");
            return Err(AttemptFailure::Broken);
        }
        match dialect.read(self.request_id, &response) {
            ResponseCheck::Valid => {
                let is_stated = ResponseEnd::from(response.headers()) == ResponseEnd::Stated;
                if response.status().is_success() && !is_stated {
                    connection.accompany(backend.address);
                }
                Ok((response, connection))
            }
            ResponseCheck::NotRun => {
                drain_and_put_back(response.into_body(), connection);
                Err(AttemptFailure::NotRun)
            }
            ResponseCheck::WrongBackend => Err(AttemptFailure::Unreachable),
            ResponseCheck::Mismatched => Err(AttemptFailure::Broken),
        }
    }
}

/// Time limit for reading the body of a refusal.
const REFUSAL_BODY_TIMEOUT_MS: u64 = 200;

/// Size limit of the body of a refusal.
const REFUSAL_BODY_BYTES: usize = 64 << 10;

/// Returns the connection of an unused response to the pool once its body has been read.
pub(crate) fn drain_and_put_back(body: Incoming, connection: BusyConnection) {
    tokio::spawn(async move {
        let limit = Duration::from_millis(REFUSAL_BODY_TIMEOUT_MS);
        let reading = body::read_whole(body, REFUSAL_BODY_BYTES);
        if let Ok(Ok(_)) = tokio::time::timeout(limit, reading).await {
            connection.put_back();
        }
    });
}

/// Buffers a complete response, and says whether it is known to be whole. The connection is reused only
/// if the body arrived in full.
pub async fn read_buffered<B>(
    response: Response<B>,
    connection: BusyConnection,
    deadline: Instant,
    budget: &MemoryBudget,
) -> Result<(Response<Bytes>, bool), AttemptFailure>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head, body) = response.into_parts();
    let is_stated = ResponseEnd::from(&head.headers) == ResponseEnd::Stated;
    let reading = async {
        match body::read_within(body, MAX_BUFFERED_BYTES, budget).await {
            Err(BodyError::Ended(detail)) => {
                log::debug!("response truncated: {detail}");
                Err(AttemptFailure::Closed)
            }
            Err(error @ BodyError::NoMemory(_)) => {
                log::info!("response given up: {error}");
                Err(AttemptFailure::NoMemory)
            }
            Err(error) => {
                log::info!("response given up: {error}");
                Err(AttemptFailure::Broken)
            }
            Ok(bytes) => {
                // Of a failure the status is enough, and a server may fail a request early.
                if is_stated || !head.status.is_success() {
                    return Ok((bytes, is_stated));
                }
                let proof = connection.check_end().await;
                let proof = proof.map_err(|_| AttemptFailure::Closed)?;
                Ok((bytes, proof == EndProof::LivedOn))
            }
        }
    };
    let bytes = tokio::time::timeout_at(deadline, reading).await;
    let (bytes, is_proved) = bytes.unwrap_or(Err(AttemptFailure::TimeOver))?;
    connection.put_back();
    Ok((Response::from_parts(head, bytes), is_proved))
}
