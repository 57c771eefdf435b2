//! One request at one backend server.

use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::BackendId;
use foxtailhold::slots::SlotOutcome;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::connections::{Connections, InUse, SendFailure};
use crate::dialect::{Dialect, RequestMetadata, ResponseCheck};
use crate::fleet::BackendServer;

/// Largest whole answer that is kept until its end is known to be sound.
pub const MAX_WHOLE_BYTES: usize = 32 << 20;

/// Why an exchange gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    /// No byte was taken.
    Unreachable,
    /// The backend server said that it did not run the request.
    NotRun,
    /// The connection ended before the answer did: the backend server may have crashed.
    Closed,
    /// The answer was not one to this request, or lacked a part.
    Broken,
    /// The answer was the backend server's own failure.
    Failed,
    /// Nothing came in time.
    Silent,
}

impl Miss {
    /// Its name in lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Miss::Unreachable => "unreachable",
            Miss::NotRun => "not_run",
            Miss::Closed => "closed",
            Miss::Broken => "broken",
            Miss::Failed => "failed",
            Miss::Silent => "silent",
        }
    }

    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Miss::Unreachable | Miss::NotRun)
    }

    /// What it says of the backend server.
    pub fn outcome(self) -> SlotOutcome {
        match self {
            Miss::Unreachable => SlotOutcome::Unreachable,
            Miss::NotRun => SlotOutcome::Full,
            Miss::Closed | Miss::Broken | Miss::Failed => SlotOutcome::Broken,
            Miss::Silent => SlotOutcome::Silent,
        }
    }
}

/// What is sent.
#[derive(Debug, Clone, Copy)]
pub struct Exchange<'a> {
    /// Identity of the request.
    pub request_id: &'a str,
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a PathAndQuery,
    /// The caller's headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// The event after which a stream goes on.
    pub after_event: Option<u64>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

impl Exchange<'_> {
    fn request(
        &self,
        dialect: &impl Dialect,
        backend: &BackendId,
        left_ms: u64,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        *request.headers_mut() = self.headers.clone();
        let outgoing = RequestMetadata {
            request_id: self.request_id,
            backend,
            left_ms,
            after_event: self.after_event,
        };
        dialect.write(&outgoing, request.headers_mut());
        request
    }

    /// Sends and waits for the head of the answer until `patience_until`; the backend server is
    /// given the time until `until`.
    pub async fn send<D: Dialect>(
        &self,
        dialect: &D,
        connections: &Connections,
        backend: &BackendServer,
        until: Instant,
        patience_until: Instant,
    ) -> Result<(Response<Incoming>, InUse), Miss> {
        let written = || {
            let left = until.saturating_duration_since(Instant::now());
            self.request(dialect, &backend.identity, left.as_millis() as u64)
        };
        let sending = connections.send(&backend.id, backend.address, self.is_idempotent, written);
        let sent = match tokio::time::timeout_at(patience_until, sending).await {
            Err(_) => return Err(Miss::Silent),
            Ok(sent) => sent,
        };
        let (response, in_use) = match sent {
            Ok(sent) => sent,
            Err(failure @ SendFailure::NotSent { .. }) => {
                log::debug!("{failure}");
                return Err(Miss::Unreachable);
            }
            Err(failure @ SendFailure::MayHaveRun { .. }) => {
                log::debug!("{failure}");
                return Err(Miss::Closed);
            }
        };
        match dialect.read(self.request_id, &response) {
            ResponseCheck::Valid => Ok((response, in_use)),
            ResponseCheck::NotRun => {
                put_back_after(response.into_body(), in_use);
                Err(Miss::NotRun)
            }
            ResponseCheck::WrongBackend => Err(Miss::Unreachable),
            ResponseCheck::Mismatched => Err(Miss::Broken),
        }
    }
}

/// Time for the body of a refusal.
const REFUSAL_BODY_MS: u64 = 200;

/// Keeps a connection whose answer nobody needs, once its body is over.
fn put_back_after(body: Incoming, in_use: InUse) {
    tokio::spawn(async move {
        let limit = Duration::from_millis(REFUSAL_BODY_MS);
        if let Ok(Ok(_)) = tokio::time::timeout(limit, body.collect()).await {
            in_use.put_back();
        }
    });
}

/// Reads a whole answer; the connection is kept only where the body is sound.
pub async fn read_whole(
    response: Response<Incoming>,
    in_use: InUse,
    until: Instant,
) -> Result<Response<Bytes>, Miss> {
    let (head, body) = response.into_parts();
    let reading = foxtailhold_http::body::read_whole(body, MAX_WHOLE_BYTES);
    match tokio::time::timeout_at(until, reading).await {
        Err(_) => Err(Miss::Silent),
        Ok(Err(error)) => {
            log::debug!("an answer ended early: {error}");
            Err(Miss::Closed)
        }
        Ok(Ok(bytes)) => {
            in_use.put_back();
            Ok(Response::from_parts(head, bytes))
        }
    }
}
