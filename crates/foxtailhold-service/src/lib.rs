//! HTTP client for plain services.
#![warn(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::replicas::LoadReport;
use foxtailhold_http::body;
use foxtailhold_http::client::{Call, HttpClient, Reuse, SendError, uri};
use foxtailhold_http::memory::MemoryBudget;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use thiserror::Error;

/// Maximum size of an answer.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Memory for all answers that are being read.
pub const MAX_READ_BYTES: usize = 32 << 20;
/// Size limit of a load report.
const MAX_LOAD_BYTES: usize = 64 << 10;

/// Result of a call to a plain service.
pub type Result<T> = std::result::Result<T, ServiceError>;

/// Why a service did not give a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ServiceError {
    /// The call could not be sent, or the answer did not arrive within the time limit.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The connection ended before the end of the answer, or the answer exceeded
    /// [`MAX_ANSWER_BYTES`].
    #[error("the answer broke off: {detail}")]
    Cut {
        /// Cause, such as the transport error.
        detail: String,
    },
    /// The load report is not in the expected format.
    #[error("the load report cannot be read: {detail}")]
    Malformed {
        /// Description of the format error.
        detail: String,
    },
}

impl ServiceError {
    /// Whether it is certain that the service received no byte of the call.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, ServiceError::Send(error) if error.is_not_sent())
    }
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service, with the leading slash.
    pub path_and_query: String,
    /// Headers to send, as passed through from the caller.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Time limit from the send to the end of the answer.
    pub timeout_ms: u64,
}

/// The complete answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status, including 4xx and 5xx.
    pub status: StatusCode,
    /// Content type, if the service sent one.
    pub content_type: Option<HeaderValue>,
    /// Response body.
    pub body: Bytes,
}

/// HTTP client, shared for all services. Calls that must not be repeated open a new connection
/// ([`Reuse::Fresh`]).
#[derive(Debug, Clone)]
pub struct ServiceClient {
    pooled: HttpClient,
    fresh: HttpClient,
    read_budget: MemoryBudget,
}

impl Default for ServiceClient {
    fn default() -> Self {
        ServiceClient::with_memory(MemoryBudget::for_large(MAX_READ_BYTES))
    }
}

impl ServiceClient {
    /// Creates a client whose answers take memory of `memory` as long as they are held.
    pub fn with_memory(memory: MemoryBudget) -> Self {
        ServiceClient {
            pooled: HttpClient::new(Reuse::Pooled),
            fresh: HttpClient::new(Reuse::Fresh),
            read_budget: memory,
        }
    }

    /// Calls a service and reads the complete answer. The call's `timeout_ms` covers both.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
        reuse: Reuse,
    ) -> Result<ServiceAnswer> {
        let timeout_ms = call.timeout_ms;
        let wait = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(wait, self.exchange(address, call, reuse)).await {
            Ok(answer) => answer,
            Err(_) => Err(ServiceError::Send(SendError::TimedOut {
                address,
                timeout_ms,
            })),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
        reuse: Reuse,
    ) -> Result<ServiceAnswer> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = uri(address, &call.path_and_query)?;
        *request.headers_mut() = call.headers.clone();
        let client = match reuse {
            Reuse::Pooled | Reuse::PooledUntilTimeout => &self.pooled,
            Reuse::Fresh => &self.fresh,
        };
        let response = client.send(address, request, call.timeout_ms).await?;
        let status = response.status();
        let content_type = response.headers().get(header::CONTENT_TYPE).cloned();
        let body = body::read_response(response, MAX_ANSWER_BYTES, &self.read_budget)
            .await
            .map_err(|error| ServiceError::Cut {
                detail: error.to_string(),
            })?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body,
        })
    }

    /// Reads the load report of the service, with a timeout of 1 s.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport> {
        let mut call = Call::new(Method::GET, address, "/load");
        call.timeout_ms = 1_000;
        call.limit_bytes = MAX_LOAD_BYTES;
        let (_, bytes) = self.pooled.call::<()>(&call, None).await?;
        foxtailhold_http::client::from_json(&bytes).map_err(|error| ServiceError::Malformed {
            detail: error.to_string(),
        })
    }
}
