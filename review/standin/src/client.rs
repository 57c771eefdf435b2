//! A client of batch jobs. Each call has its own connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold_http::body;
use foxtailhold_http::client::{HttpClient, Reuse, uri};
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;

use crate::Result;

/// Host of all routes.
pub const HOST: &str = "records.example";
/// Time for which the client waits beyond what it states.
const PATIENCE_MS: u64 = 1_500;
/// Limit of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A client; clones share nothing that matters.
#[derive(Debug, Clone)]
pub struct Client {
    http: HttpClient,
}

/// A page of results.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// Number of items of the job.
    pub total: u64,
    /// Position after the last result of this page.
    pub next: u64,
    /// Identity, state and text of each result.
    pub results: Vec<(String, String, String)>,
}

impl Client {
    /// Creates a client.
    pub fn new() -> Self {
        Client {
            http: HttpClient::new(Reuse::Fresh),
        }
    }

    /// Sends a call that waits for `deadline_ms`. Returns the status and the whole body.
    pub async fn send(
        &self,
        address: SocketAddr,
        (method, path): (Method, &str),
        headers: &[(&'static str, &str)],
        body: Vec<u8>,
        deadline_ms: u64,
    ) -> Result<(StatusCode, Bytes)> {
        let mut request = Request::new(Full::from(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri(address, path)?;
        let map = request.headers_mut();
        map.insert("Host", HeaderValue::from_static(HOST));
        map.insert("Deadline-Ms", HeaderValue::from(deadline_ms));
        for (name, value) in headers {
            map.insert(*name, HeaderValue::try_from(*value)?);
        }
        let wait_ms = deadline_ms + PATIENCE_MS;
        let response = self.http.send(address, request, wait_ms).await?;
        let status = response.status();
        let reading = body::read_whole(response.into_body(), MAX_ANSWER_BYTES);
        let bytes = tokio::time::timeout(Duration::from_millis(wait_ms), reading).await??;
        Ok((status, bytes))
    }

    /// The HTTP client.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Submits a batch job.
    pub async fn submit(
        &self,
        address: SocketAddr,
        path: &str,
        job: &str,
        items: &Value,
    ) -> Result<StatusCode> {
        let headers = [("Attempt-Id", job), ("Content-Type", "application/json")];
        let body = serde_json::to_vec(items)?;
        let sent = self.send(address, (Method::POST, path), &headers, body, 4_000);
        Ok(sent.await?.0)
    }

    /// Reads results from a position on.
    pub async fn read(
        &self,
        address: SocketAddr,
        job: &str,
        after: u64,
    ) -> Result<(StatusCode, Page)> {
        let path = format!("/v1/lots/{job}?After={after}");
        let call = (Method::GET, path.as_str());
        let (status, bytes) = self.send(address, call, &[], Vec::new(), 4_000).await?;
        if status != StatusCode::OK {
            return Ok((status, Page::default()));
        }
        let answer: Value = serde_json::from_slice(&bytes)?;
        let field = |result: &Value, name: &str| result[name].as_str().unwrap_or("").to_owned();
        let results = answer["Results"].as_array().cloned().unwrap_or_default();
        let results = results.iter().map(|result| {
            let id = field(result, "Id");
            (id, field(result, "State"), field(result, "Text"))
        });
        let page = Page {
            total: answer["Total"].as_u64().unwrap_or(0),
            next: answer["Next"].as_u64().unwrap_or(after),
            results: results.collect(),
        };
        Ok((status, page))
    }
}
