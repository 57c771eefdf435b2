//! HTTP client for inference requests to engines.
//!
//! Engines serve the OpenAI HTTP API with these additions:
//!
//! - The `x-request-id` header carries the request identifier. The engine returns it with the
//!   prefix `chatcmpl-` or `cmpl-` as the `id` of every chunk.
//! - Each streamed event carries its ordinal in the SSE `id` field.
//! - The `continuation` field of the request body resumes a stream that another engine started.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::RequestId;
use foxtailhold::replicas::LoadReport;
use foxtailhold_http::body;
use foxtailhold_http::client::{BodyClient, Call, Reuse, SendError, uri};
use foxtailhold_http::memory::MemoryBudget;
use http::{HeaderValue, Method, Request, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;

use crate::check::check_unstreamed;
use crate::deadline_body::DeadlineBody;
use crate::error::{EngineError, Result};
use crate::stream::EngineStream;

/// Maximum size of an unstreamed answer.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Memory for all answers that are being read.
pub const MAX_READ_BYTES: usize = 32 << 20;
/// Size limit of a load report.
const MAX_LOAD_BYTES: usize = 64 << 10;
/// Request header that carries the request identifier.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Timeout for reading a load report.
pub const LOAD_TIMEOUT_MS: u64 = 1_000;

/// An inference request to an engine.
#[derive(Debug, Clone)]
pub struct EngineRequest<'a> {
    /// Request identifier, sent in [`REQUEST_ID_HEADER`].
    pub id: &'a RequestId,
    /// `/v1/chat/completions` or `/v1/completions`.
    pub path: &'a str,
    /// JSON body as sent by the caller.
    pub body: &'a Bytes,
    /// Whether the body requests a stream.
    pub streamed: bool,
    /// The output received so far, if the request resumes an interrupted stream.
    pub resume: Option<Resume<'a>>,
    /// Maximum wait for the response head of a stream, or for the complete unstreamed answer.
    pub timeout_ms: u64,
    /// Send deadline: the body is not sent at or after this time. `None` means no deadline.
    pub not_after: Option<Instant>,
}

/// The position from which an engine continues an interrupted stream.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Resume<'a> {
    /// Number of chunks received so far; the engine sends one per token.
    pub tokens: u64,
    /// Concatenated text of these chunks.
    pub text: &'a str,
}

/// An unstreamed answer of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status: 2xx, 3xx or 4xx. A 5xx or 429 is returned as an [`EngineError`].
    pub status: StatusCode,
    /// Content type, if the engine sent one.
    pub content_type: Option<HeaderValue>,
    /// Complete body. A 2xx body has passed [`check_unstreamed`].
    pub body: Bytes,
}

/// The answer of an engine to an inference request.
#[derive(Debug)]
pub enum EngineAnswer {
    /// Answer to an unstreamed request, or a status other than 2xx, such as 4xx.
    Whole(WholeAnswer),
    /// Token stream of a streamed request.
    Stream(EngineStream),
}

/// HTTP client with pooled connections, shared for all engines.
#[derive(Debug, Clone)]
pub struct EngineClient {
    http: BodyClient<DeadlineBody>,
}

impl Default for EngineClient {
    fn default() -> Self {
        EngineClient::with_memory(MemoryBudget::for_large(MAX_READ_BYTES))
    }
}

/// Returns the completion identifier that an engine uses in its answer to request `id` on `path`.
pub fn completion_id(path: &str, id: &RequestId) -> String {
    if path.ends_with("/chat/completions") {
        return format!("chatcmpl-{id}");
    }
    format!("cmpl-{id}")
}

impl EngineClient {
    /// Creates a client whose unstreamed answers take memory of `memory` as long as they are held.
    pub fn with_memory(memory: MemoryBudget) -> Self {
        EngineClient {
            http: BodyClient::with_memory(Reuse::Pooled, memory),
        }
    }

    /// Sends a request and waits for the response head of a stream or for the complete unstreamed
    /// answer. The request's `timeout_ms` covers both the send and the wait.
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
        let body = self.read_body(body).await?;
        if head.status.is_success() {
            check_unstreamed(&expected_id, &body)?;
        }
        Ok(EngineAnswer::Whole(WholeAnswer {
            status: head.status,
            content_type,
            body,
        }))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes> {
        body::read_within(body, MAX_ANSWER_BYTES, self.http.budget())
            .await
            .map_err(|error| EngineError::Cut {
                detail: error.to_string(),
            })
    }

    /// Reads the engine's load report.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport> {
        let mut call = Call::new(Method::GET, address, "/load");
        call.timeout_ms = LOAD_TIMEOUT_MS;
        call.limit_bytes = MAX_LOAD_BYTES;
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
