//! HTTP client of the bench command.

use std::net::SocketAddr;

use bytes::Bytes;
use foxtailhold_http::client::{HttpClient, Reuse, uri};
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::demo::{API_KEY, chat};
use crate::error::{Result, StandinError};

/// Maximum wait for the response head.
const TIMEOUT_MS: u64 = 60_000;

/// A client that sends the same chat request repeatedly. Clones share a connection pool.
#[derive(Debug, Clone)]
pub struct BenchClient {
    http: HttpClient,
    address: SocketAddr,
    body: Bytes,
}

impl BenchClient {
    /// Creates a client of the instance or engine at `address`, whose requests ask for `tokens`
    /// tokens.
    pub fn new(address: SocketAddr, tokens: u64, streamed: bool) -> Self {
        let question = "which badges need a campout, and which of them are left for troop 7?";
        BenchClient {
            http: HttpClient::new(Reuse::Pooled),
            address,
            body: chat(question, tokens, streamed).to_string().into(),
        }
    }

    /// Sends a request and waits for the response head. A status outside 200 to 299 is an error.
    pub async fn open(&self) -> Result<Response<Incoming>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri(self.address, "/v1/chat/completions")?;
        if let Ok(bearer) = HeaderValue::try_from(format!("Bearer {API_KEY}")) {
            request.headers_mut().insert(header::AUTHORIZATION, bearer);
        }
        let response = self.http.send(self.address, request, TIMEOUT_MS).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        Err(StandinError::Status {
            address: self.address,
            path: "/v1/chat/completions".into(),
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends a request and reads the whole answer. Returns the length of its body in bytes.
    pub async fn exchange(&self) -> Result<usize> {
        let response = self.open().await?;
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| StandinError::Check {
            step: "read an answer",
            detail: error.to_string(),
        })?;
        Ok(body.to_bytes().len())
    }
}
