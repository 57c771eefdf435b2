//! HTTP client for the platform.
//!
//! `POST /v1/table/transact`, `GET /v1/table/{table}/row?key=`, `GET /v1/table/{table}/rows`,
//! `PUT|GET|DELETE /v1/objects/{name}`, `GET /v1/objects?prefix=`, `GET /v1/fleet`, `GET
//! /v1/weights`. Status 503 means that the call had no effect. Status 504 means that the effect is
//! unknown.

use std::net::SocketAddr;

use bytes::Bytes;
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{PlatformError, Result};
use crate::fleet::{Fleet, FleetList};
use crate::objects::{ObjectStore, WeightStore};
use crate::table::{KeyedRow, Operation, Row, TABLE_SERVICE, TableService, Transacted};

/// Name of the object store in errors.
pub const OBJECT_STORE: &str = "object store";
/// Name of the fleet list service in errors.
pub const FLEET_LIST: &str = "fleet list";
/// Name of the weight store in errors.
pub const WEIGHT_STORE: &str = "weight store";

/// Timeout for one call.
pub const CALL_TIMEOUT_MS: u64 = 2_000;

/// Client for all platform services at one address, with pooled connections.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        HttpPlatform {
            client: HttpClient::new(Reuse::PooledUntilTimeout),
            address,
        }
    }

    /// Like [`HttpPlatform::new`], but reads answers of `answer_bytes` at the same time.
    pub fn with_answer_memory(address: SocketAddr, answer_bytes: usize) -> Self {
        HttpPlatform {
            client: HttpClient::with_read_budget(Reuse::PooledUntilTimeout, answer_bytes),
            address,
        }
    }

    async fn call<T: Serialize + Sync>(
        &self,
        service: &'static str,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Result<Bytes> {
        let mut call = Call::new(method, self.address, path);
        call.timeout_ms = CALL_TIMEOUT_MS;
        let answer = self.client.call(&call, body).await;
        let (status, bytes) = answer.map_err(|e| PlatformError::from_send(service, &e))?;
        check_status(service, status, bytes)
    }

    async fn read<T: DeserializeOwned>(&self, service: &'static str, path: &str) -> Result<T> {
        let bytes = self.call::<()>(service, Method::GET, path, None).await?;
        parse(service, &bytes)
    }
}

fn check_status(service: &'static str, status: StatusCode, bytes: Bytes) -> Result<Bytes> {
    if status.is_success() {
        return Ok(bytes);
    }
    let detail = format!("status {status}");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Err(PlatformError::Unavailable { service, detail })
        }
        StatusCode::GATEWAY_TIMEOUT => Err(PlatformError::Unknown { service, detail }),
        _ => Err(PlatformError::Malformed { service, detail }),
    }
}

fn parse<T: DeserializeOwned>(service: &'static str, bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| PlatformError::Malformed {
        service,
        detail: error.to_string(),
    })
}

/// Percent-encodes `text` for use as a query value or path segment (RFC 3986, section 2).
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
            continue;
        }
        escaped.push_str(&format!("%{byte:02X}"));
    }
    escaped
}

impl TableService for HttpPlatform {
    async fn get(&self, table: &str, key: &str) -> Result<Option<Row>> {
        let path = format!("/v1/table/{}/row?key={}", escape(table), escape(key));
        self.read(TABLE_SERVICE, &path).await
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<KeyedRow>> {
        let (table, prefix, after) = (escape(table), escape(prefix), escape(after));
        let path = format!("/v1/table/{table}/rows?prefix={prefix}&after={after}&limit={limit}");
        self.read(TABLE_SERVICE, &path).await
    }

    async fn transact(&self, operations: &[Operation]) -> Result<Transacted> {
        let path = "/v1/table/transact";
        let body = Some(&operations);
        let bytes = self.call(TABLE_SERVICE, Method::POST, path, body).await?;
        parse(TABLE_SERVICE, &bytes)
    }
}

impl ObjectStore for HttpPlatform {
    async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        let path = format!("/v1/objects/{}", escape(name));
        let mut call = Call::new(Method::PUT, self.address, &path);
        call.timeout_ms = CALL_TIMEOUT_MS;
        let answer = self
            .client
            .call_bytes(&call, bytes, "application/octet-stream")
            .await;
        let (status, bytes) = answer.map_err(|e| PlatformError::from_send(OBJECT_STORE, &e))?;
        check_status(OBJECT_STORE, status, bytes).map(drop)
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        let path = format!("/v1/objects/{}", escape(name));
        let mut call = Call::new(Method::GET, self.address, &path);
        call.timeout_ms = CALL_TIMEOUT_MS;
        let answer = self.client.call::<()>(&call, None).await;
        let (status, bytes) = answer.map_err(|e| PlatformError::from_send(OBJECT_STORE, &e))?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(OBJECT_STORE, status, bytes).map(Some)
    }

    async fn delete_object(&self, name: &str) -> Result<()> {
        let path = format!("/v1/objects/{}", escape(name));
        self.call::<()>(OBJECT_STORE, Method::DELETE, &path, None)
            .await
            .map(drop)
    }

    async fn list_objects(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<String>> {
        let (prefix, after) = (escape(prefix), escape(after));
        let path = format!("/v1/objects?prefix={prefix}&after={after}&limit={limit}");
        self.read(OBJECT_STORE, &path).await
    }
}

impl FleetList for HttpPlatform {
    async fn fleet(&self) -> Result<Fleet> {
        self.read(FLEET_LIST, "/v1/fleet").await
    }
}

impl WeightStore for HttpPlatform {
    async fn weights(&self) -> Result<Vec<String>> {
        self.read(WEIGHT_STORE, "/v1/weights").await
    }
}
