//! An HTTP client that never retries a request by itself, and whose errors say whether any byte of
//! the request was sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::lock::Mutex;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use thiserror::Error;

use crate::body;
use crate::connect::WatchedConnector;
use crate::memory::MemoryBudget;
use crate::paced::MAX_BUFFER_BYTES;
use crate::response_end::SEND_BUFFER_BYTES;

/// Result of sending a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Time limit for making a connection.
pub const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Memory for the responses that one client reads at the same time.
pub const MAX_READ_BYTES: usize = 64 << 20;
/// Idle connections are closed after this time, which is shorter than the idle time-out of usual
/// servers. A request then does not run into a connection that the server is closing.
const IDLE_TIMEOUT_MS: u64 = 20_000;

/// Why there is no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// No connection could be made: no byte of the request was sent.
    #[error("no connection to {address}: {detail}")]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        detail: String,
    },
    /// The connection failed after it was made: the server may have acted on the request.
    #[error("the connection to {address} failed: {detail}")]
    Failed {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the HTTP library.
        detail: String,
    },
    /// No response in time: the server may have acted on the request.
    #[error("no answer from {address} within {timeout_ms} ms")]
    TimedOut {
        /// Address of the server.
        address: SocketAddr,
        /// Time limit that passed.
        timeout_ms: u64,
    },
    /// The request could not be built; nothing was sent.
    #[error("the request is not valid HTTP: {detail}")]
    Invalid {
        /// Error of the HTTP library.
        detail: String,
    },
}

impl SendError {
    /// Whether it is certain that the server has received no byte of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, SendError::NotSent { .. } | SendError::Invalid { .. })
    }
}

/// Whether a connection may carry more than one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Idle connections are kept for the next request.
    Pooled,
    /// Idle connections are kept until a request gets no response in time. All are closed then:
    /// they may be dead as well, and each would cost one more request its time limit.
    PooledUntilTimeout,
    /// Each request gets its own connection, so that a refused connection proves that the request
    /// was not sent.
    Fresh,
}

/// A client whose request bodies are in one buffer.
pub type HttpClient = BodyClient<Full<Bytes>>;

/// A client with request bodies of type `B`. Clones share its connection pool.
#[derive(Debug, Clone)]
pub struct BodyClient<B> {
    reuse: Reuse,
    budget: MemoryBudget,
    pool: Arc<Mutex<Pool<B>>>,
}

/// The current connection pool. Connections of earlier ones close when their request ends.
#[derive(Debug)]
struct Pool<B> {
    client: Client<WatchedConnector, B>,
    generation: u64,
}

impl<B> BodyClient<B>
where
    B: Body<Data = Bytes> + From<Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Creates a client with its own connection pool and a budget of [`MAX_READ_BYTES`].
    pub fn new(reuse: Reuse) -> Self {
        Self::with_read_budget(reuse, MAX_READ_BYTES)
    }

    /// Creates a client that reads responses of `read_bytes` at the same time.
    pub fn with_read_budget(reuse: Reuse, read_bytes: usize) -> Self {
        Self::with_memory(reuse, MemoryBudget::for_large(read_bytes))
    }

    /// Creates a client that reads responses into `budget`.
    pub fn with_memory(reuse: Reuse, budget: MemoryBudget) -> Self {
        let pool = Pool {
            client: BodyClient::new_pool(reuse),
            generation: 0,
        };
        BodyClient {
            reuse,
            budget,
            pool: Arc::new(Mutex::new(pool)),
        }
    }

    /// Memory for the responses that this client reads.
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    fn new_pool(reuse: Reuse) -> Client<WatchedConnector, B> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_send_buffer_size(Some(SEND_BUFFER_BYTES as usize));
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.http1_max_buf_size(MAX_BUFFER_BYTES);
        builder.pool_timer(TokioTimer::new());
        builder.pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS));
        if reuse == Reuse::Fresh {
            builder.pool_max_idle_per_host(0);
        }
        builder.build(WatchedConnector(connector))
    }

    /// Closes the idle connections. Requests under way are not affected.
    pub fn close_idle(&self) {
        let mut pool = self.pool.lock();
        pool.client = BodyClient::new_pool(self.reuse);
        pool.generation += 1;
    }

    /// Closes the idle connections that the request of this generation may have shared.
    fn timed_out(&self, generation: u64) {
        if self.reuse == Reuse::PooledUntilTimeout && self.pool.lock().generation == generation {
            self.close_idle();
        }
    }

    /// Sends a request, whose URI must be absolute, and waits for the head of the response.
    ///
    /// `timeout_ms` limits the wait for the head, not the body.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<B>,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>> {
        let wait = Duration::from_millis(timeout_ms);
        let (client, generation) = {
            let pool = self.pool.lock();
            (pool.client.clone(), pool.generation)
        };
        match tokio::time::timeout(wait, client.request(request)).await {
            Err(_) => {
                self.timed_out(generation);
                Err(SendError::TimedOut {
                    address,
                    timeout_ms,
                })
            }
            Ok(Ok(response)) if is_final(response.status()) => Ok(response),
            Ok(Ok(response)) => Err(SendError::Failed {
                address,
                detail: format!("invalid response status {}", response.status().as_u16()),
            }),
            Ok(Err(error)) => {
                let detail = error_chain(&error);
                if error.is_connect() {
                    return Err(SendError::NotSent { address, detail });
                }
                Err(SendError::Failed { address, detail })
            }
        }
    }

    /// Sends a request with a JSON body, or an empty one, and reads the full response.
    pub async fn call<T: Serialize + Sync>(
        &self,
        call: &Call<'_>,
        body: Option<&T>,
    ) -> Result<(StatusCode, Bytes)> {
        let invalid = |detail: String| SendError::Invalid { detail };
        let bytes = match body {
            Some(value) => serde_json::to_vec(value).map_err(|e| invalid(e.to_string()))?,
            None => Vec::new(),
        };
        self.call_bytes(call, bytes.into(), "application/json")
            .await
    }

    /// Sends a request with the given body and reads the full response.
    pub async fn call_bytes(
        &self,
        call: &Call<'_>,
        bytes: Bytes,
        content_type: &'static str,
    ) -> Result<(StatusCode, Bytes)> {
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
            let bytes = body::read_response(response, call.limit_bytes, &self.budget)
                .await
                .map_err(|error| SendError::Failed {
                    address: call.address,
                    detail: error.to_string(),
                })?;
            Ok((status, bytes))
        };
        let generation = self.pool.lock().generation;
        let wait = Duration::from_millis(call.timeout_ms);
        match tokio::time::timeout(wait, whole).await {
            Ok(answer) => answer,
            Err(_) => {
                self.timed_out(generation);
                Err(SendError::TimedOut {
                    address: call.address,
                    timeout_ms: call.timeout_ms,
                })
            }
        }
    }
}

/// Target and limits of a short request.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query of the URI.
    pub path_and_query: &'a str,
    /// Bearer token for the `Authorization` header; `None` sends no such header.
    pub bearer: Option<&'a str>,
    /// Time limit from connecting to the end of the response.
    pub timeout_ms: u64,
    /// Size limit of the response body.
    pub limit_bytes: usize,
}

impl<'a> Call<'a> {
    /// A call with a limit of five seconds and [`MAX_READ_BYTES`] of response body, and without a
    /// token.
    pub fn new(method: Method, address: SocketAddr, path_and_query: &'a str) -> Self {
        Call {
            method,
            address,
            path_and_query,
            bearer: None,
            timeout_ms: 5_000,
            limit_bytes: MAX_READ_BYTES,
        }
    }
}

/// Whether a status ends an exchange (RFC 9110, section 15): none above or below these classes does.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Builds an absolute `http` URI.
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

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Parses a JSON response.
pub fn from_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    serde_json::from_slice(bytes)
}
