//! An HTTP client that never repeats a request by itself and says whether a byte was sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, Uri, header};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use thiserror::Error;

use crate::body;

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Time a connection may take to be made.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle connections are closed after this time, before usual servers do.
const IDLE_TIMEOUT_MS: u64 = 20_000;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// No connection: not a byte of the request was sent.
    #[error("no connection to {address}: {detail}")]
    NotSent {
        /// The server.
        address: SocketAddr,
        /// What the system said.
        detail: String,
    },
    /// The connection failed after it was made: the server may have acted.
    #[error("the connection to {address} failed: {detail}")]
    Failed {
        /// The server.
        address: SocketAddr,
        /// What the library said.
        detail: String,
    },
    /// No answer in time: the server may have acted.
    #[error("no answer from {address} within {timeout_ms} ms")]
    TimedOut {
        /// The server.
        address: SocketAddr,
        /// The limit.
        timeout_ms: u64,
    },
    /// The request could not be built.
    #[error("the request is not valid HTTP: {detail}")]
    Invalid {
        /// What the library said.
        detail: String,
    },
}

impl SendError {
    /// Whether it is certain that the server got no byte of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, SendError::NotSent { .. } | SendError::Invalid { .. })
    }
}

/// Whether a connection may carry more than one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Idle connections are kept for the next request.
    Pooled,
    /// Each request gets its own connection, so that a refused connection proves it was not sent.
    Fresh,
}

/// A client whose requests have bodies of bytes.
pub type HttpClient = BodyClient<Full<Bytes>>;

/// The client.
#[derive(Debug, Clone)]
pub struct BodyClient<B> {
    inner: Client<HttpConnector, B>,
}

impl<B> BodyClient<B>
where
    B: Body<Data = Bytes> + From<Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// A client with its own pool.
    pub fn new(reuse: Reuse) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.pool_timer(TokioTimer::new());
        builder.pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS));
        if reuse == Reuse::Fresh {
            builder.pool_max_idle_per_host(0);
        }
        BodyClient {
            inner: builder.build(connector),
        }
    }

    /// Sends a request whose URI is absolute and waits for the head of the answer.
    ///
    /// `timeout_ms` bounds the wait for the head, not the body.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<B>,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>> {
        let wait = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(wait, self.inner.request(request)).await {
            Err(_) => Err(SendError::TimedOut {
                address,
                timeout_ms,
            }),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                let detail = describe(&error);
                if error.is_connect() {
                    return Err(SendError::NotSent { address, detail });
                }
                Err(SendError::Failed { address, detail })
            }
        }
    }

    /// Sends a request with a JSON body, or none, and reads the whole answer.
    pub async fn call<T: Serialize + Sync>(
        &self,
        call: &Call<'_>,
        body: Option<&T>,
    ) -> Result<(http::StatusCode, Bytes)> {
        let invalid = |detail: String| SendError::Invalid { detail };
        let bytes = match body {
            Some(value) => serde_json::to_vec(value).map_err(|e| invalid(e.to_string()))?,
            None => Vec::new(),
        };
        self.call_bytes(call, bytes.into(), "application/json")
            .await
    }

    /// Sends a request with a body given as bytes and reads the whole answer.
    pub async fn call_bytes(
        &self,
        call: &Call<'_>,
        bytes: Bytes,
        content_type: &'static str,
    ) -> Result<(http::StatusCode, Bytes)> {
        let mut request = Request::new(B::from(bytes));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = uri(call.address, call.path_and_query)?;
        let headers = request.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        if let Some(token) = call.bearer {
            headers.insert(header::AUTHORIZATION, bearer(token)?);
        }
        let whole = async {
            let response = self.send(call.address, request, call.timeout_ms).await?;
            let status = response.status();
            let bytes = body::read_whole(response.into_body(), call.limit_bytes)
                .await
                .map_err(|error| SendError::Failed {
                    address: call.address,
                    detail: error.to_string(),
                })?;
            Ok((status, bytes))
        };
        let wait = Duration::from_millis(call.timeout_ms);
        match tokio::time::timeout(wait, whole).await {
            Ok(answer) => answer,
            Err(_) => Err(SendError::TimedOut {
                address: call.address,
                timeout_ms: call.timeout_ms,
            }),
        }
    }
}

/// Where and how to send a short request.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Method.
    pub method: Method,
    /// Server.
    pub address: SocketAddr,
    /// Path and query.
    pub path_and_query: &'a str,
    /// Token for the `Authorization` header.
    pub bearer: Option<&'a str>,
    /// Limit for the whole exchange.
    pub timeout_ms: u64,
    /// Largest answer accepted.
    pub limit_bytes: usize,
}

impl<'a> Call<'a> {
    /// A call with a five-second limit and answers of up to 64 MiB.
    pub fn new(method: Method, address: SocketAddr, path_and_query: &'a str) -> Self {
        Call {
            method,
            address,
            path_and_query,
            bearer: None,
            timeout_ms: 5_000,
            limit_bytes: 64 << 20,
        }
    }
}

/// An absolute URI.
pub fn uri(address: SocketAddr, path_and_query: &str) -> Result<Uri> {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path_and_query)
        .build()
        .map_err(|error| SendError::Invalid {
            detail: error.to_string(),
        })
}

fn bearer(token: &str) -> Result<HeaderValue> {
    let mut value =
        HeaderValue::try_from(format!("Bearer {token}")).map_err(|error| SendError::Invalid {
            detail: error.to_string(),
        })?;
    value.set_sensitive(true);
    Ok(value)
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Reads a JSON answer.
pub fn from_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice(bytes)
}
