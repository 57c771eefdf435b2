//! Requests to engines.
//!
//! An engine takes the OpenAI HTTP form. `x-request-id` names the request; the engine echoes it as
//! `chatcmpl-` or `cmpl-` plus that name in every chunk. Each streamed event carries its ordinal in
//! the `id` field. `continuation` in the body resumes a stream that another engine began.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::RequestId;
use foxtailhold::replicas::LoadReport;
use foxtailhold_http::body;
use foxtailhold_http::client::{BodyClient, Call, Reuse, SendError, uri};
use http::{HeaderValue, Method, Request, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;

use crate::check::check_unstreamed;
use crate::deadline_body::DeadlineBody;
use crate::error::{EngineError, Result};
use crate::stream::EngineStream;

/// Largest whole answer accepted.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Header with the request's identifier.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Limit for a load report.
pub const LOAD_TIMEOUT_MS: u64 = 1_000;

/// A request to an engine.
#[derive(Debug, Clone)]
pub struct EngineRequest<'a> {
    /// Its identifier.
    pub id: &'a RequestId,
    /// `/v1/chat/completions` or `/v1/completions`.
    pub path: &'a str,
    /// The caller's body.
    pub body: &'a Bytes,
    /// Whether the body asks for a stream.
    pub streamed: bool,
    /// What was received before, for a resumed stream.
    pub resume: Option<Resume<'a>>,
    /// Limit for the wait for the head of a stream, or for the whole of an unstreamed answer.
    pub timeout_ms: u64,
    /// It is sent before this time or not at all.
    pub not_after: Option<Instant>,
}

/// Where a resumed stream goes on.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Resume<'a> {
    /// Events received.
    pub tokens: u64,
    /// Their text.
    pub text: &'a str,
}

/// An answer that came in one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Content type, where given.
    pub content_type: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
}

/// An engine's answer.
#[derive(Debug)]
pub enum EngineAnswer {
    /// In one piece: an unstreamed answer, or a 4xx.
    Whole(WholeAnswer),
    /// A stream of tokens.
    Stream(EngineStream),
}

/// A client of all engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: BodyClient<DeadlineBody>,
}

impl Default for EngineClient {
    fn default() -> Self {
        EngineClient {
            http: BodyClient::new(Reuse::Pooled),
        }
    }
}

/// The identifier by which an engine answers on `path`.
pub fn completion_id(path: &str, id: &RequestId) -> String {
    if path.ends_with("/chat/completions") {
        return format!("chatcmpl-{id}");
    }
    format!("cmpl-{id}")
}

impl EngineClient {
    /// Sends a request and waits for the head of the answer, and for the whole of an unstreamed one,
    /// for the request's `timeout_ms` in all.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &EngineRequest<'_>,
    ) -> Result<EngineAnswer> {
        let timeout_ms = request.timeout_ms;
        let wait = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(wait, self.exchange(address, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(EngineError::Send(SendError::TimedOut {
                address,
                timeout_ms,
            })),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &EngineRequest<'_>,
    ) -> Result<EngineAnswer> {
        let built = build_request(address, request)?;
        let response = self.http.send(address, built, request.timeout_ms).await?;
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE => return Err(EngineError::Leaving),
            StatusCode::TOO_MANY_REQUESTS => return Err(EngineError::Full),
            status if status.is_server_error() => {
                return Err(EngineError::Failed {
                    status: status.as_u16(),
                });
            }
            _ => {}
        }
        let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
        let expected_id = completion_id(request.path, request.id);
        if request.streamed && head.status.is_success() {
            let first = request.resume.map_or(0, |resume| resume.tokens) + 1;
            let stream = EngineStream::new(body, expected_id, first);
            return Ok(EngineAnswer::Stream(stream));
        }
        let body = read_body(body).await?;
        if head.status.is_success() {
            check_unstreamed(&expected_id, &body)?;
        }
        Ok(EngineAnswer::Whole(WholeAnswer {
            status: head.status,
            content_type,
            body,
        }))
    }

    /// Reads the load report.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport> {
        let mut call = Call::new(Method::GET, address, "/load");
        call.timeout_ms = LOAD_TIMEOUT_MS;
        let (status, bytes) = self.http.call::<()>(&call, None).await?;
        if !status.is_success() {
            return Err(EngineError::Failed {
                status: status.as_u16(),
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| EngineError::Malformed {
            detail: error.to_string(),
        })
    }
}

async fn read_body(body: Incoming) -> Result<Bytes> {
    body::read_whole(body, MAX_ANSWER_BYTES)
        .await
        .map_err(|error| EngineError::Cut {
            detail: error.to_string(),
        })
}

fn build_request(
    address: SocketAddr,
    request: &EngineRequest<'_>,
) -> Result<Request<DeadlineBody>> {
    let invalid = |detail: String| EngineError::Send(SendError::Invalid { detail });
    let body = match &request.resume {
        None => request.body.clone(),
        Some(resume) => with_continuation(request.body, resume)?,
    };
    let mut built = Request::new(DeadlineBody::new(body, request.not_after));
    *built.method_mut() = Method::POST;
    *built.uri_mut() = uri(address, request.path)?;
    let id = HeaderValue::try_from(request.id.as_str()).map_err(|e| invalid(e.to_string()))?;
    let headers = built.headers_mut();
    headers.insert(REQUEST_ID_HEADER, id);
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    Ok(built)
}

fn with_continuation(body: &Bytes, resume: &Resume<'_>) -> Result<Bytes> {
    let malformed = |detail: String| EngineError::Malformed { detail };
    let start = body.iter().position(|byte| *byte == b'{');
    let start = start.ok_or_else(|| malformed("the body is not an object".into()))?;
    let continuation = serde_json::to_string(resume).map_err(|e| malformed(e.to_string()))?;
    let rest = &body[start + 1..];
    let comma = if rest.trim_ascii_start().starts_with(b"}") {
        ""
    } else {
        ","
    };
    let mut text = format!("{{\"continuation\":{continuation}{comma}").into_bytes();
    text.extend_from_slice(rest);
    Ok(text.into())
}
