//! HTTP client for the operator API.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use foxtailhold::ids::{BackendId, CustomerId};
use foxtailhold::orders::EngineSetup;
use foxtailhold_http::body::read_whole;
use foxtailhold_http::client::{Call, HttpClient, Reuse, SendError, uri};
use http::{HeaderValue, Method, Request, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::error::{OperatorError, Result};
use crate::handler::{EXPECTED_VERSION, OperatorErrorBody};
use crate::view::OrderView;
use crate::view::{
    AcceptedChange, BackendView, ContractView, InstancesView, JobView, TimelineView,
};

/// Timeout for one call.
pub const CALL_TIMEOUT_MS: u64 = 10_000;

/// Maximum size of the answer to a contract change.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Client for the operator API of one instance.
#[derive(Clone)]
pub struct OperatorClient {
    http: HttpClient,
    address: SocketAddr,
    token: String,
}

impl fmt::Debug for OperatorClient {
    /// Omits the token, so that it does not appear in logs and error messages.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("OperatorClient");
        text.field("address", &self.address).finish_non_exhaustive()
    }
}

impl OperatorClient {
    /// Creates a client for the instance with the operator address `address`.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        OperatorClient {
            http: HttpClient::new(Reuse::Pooled),
            address,
            token: token.to_owned(),
        }
    }

    /// Returns a client for another instance, with the same token.
    pub fn at(&self, address: SocketAddr) -> Self {
        OperatorClient {
            address,
            ..self.clone()
        }
    }

    /// Lists all contracts.
    pub async fn contracts(&self) -> Result<Vec<ContractView>> {
        self.get("/v1/contracts").await
    }

    /// Reads the contract of a customer.
    pub async fn contract(&self, customer: &CustomerId) -> Result<ContractView> {
        self.get(&format!("/v1/contracts/{customer}")).await
    }

    /// Sets a contract from a TOML document. Fails with `Conflict` unless the contract is at
    /// `expected_version`; 0 stands for no contract.
    pub async fn set_contract(
        &self,
        customer: &CustomerId,
        expected_version: u64,
        document: &str,
    ) -> Result<AcceptedChange> {
        let body = Bytes::from(document.to_owned());
        self.change(Method::PUT, customer, expected_version, body)
            .await
    }

    /// Removes a contract. Fails with `Conflict` unless it is at `expected_version`.
    pub async fn remove_contract(
        &self,
        customer: &CustomerId,
        expected_version: u64,
    ) -> Result<AcceptedChange> {
        self.change(Method::DELETE, customer, expected_version, Bytes::new())
            .await
    }

    async fn change(
        &self,
        method: Method,
        customer: &CustomerId,
        expected_version: u64,
        body: Bytes,
    ) -> Result<AcceptedChange> {
        let path = format!("/v1/contracts/{customer}");
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri(self.address, &path).map_err(|e| self.send_error(&e))?;
        let headers = request.headers_mut();
        headers.insert(EXPECTED_VERSION, HeaderValue::from(expected_version));
        let bearer = HeaderValue::try_from(format!("Bearer {}", self.token));
        let mut bearer = bearer.map_err(|_| OperatorError::Unauthorized)?;
        bearer.set_sensitive(true);
        headers.insert(header::AUTHORIZATION, bearer);
        let sent = self.http.send(self.address, request, CALL_TIMEOUT_MS).await;
        let response = sent.map_err(|error| self.change_send_error(&error))?;
        let status = response.status();
        let bytes = read_whole(response.into_body(), MAX_ANSWER_BYTES)
            .await
            .map_err(|error| self.answer_lost_error(error.to_string()))?;
        match self.read(status.is_success(), &bytes) {
            Err(OperatorError::Unreachable { detail, .. }) => Err(self.answer_lost_error(detail)),
            read => read,
        }
    }

    /// Lists the instances known to this instance.
    pub async fn instances(&self) -> Result<InstancesView> {
        self.get("/v1/instances").await
    }

    /// Lists the backend servers known to this instance.
    pub async fn backends(&self) -> Result<Vec<BackendView>> {
        self.get("/v1/backends").await
    }

    /// Lists the batch jobs that are not finished.
    pub async fn jobs(&self) -> Result<Vec<JobView>> {
        self.get("/v1/jobs").await
    }

    /// Sets the desired state of an engine.
    pub async fn set_order(&self, backend: &BackendId, setup: &EngineSetup) -> Result<OrderView> {
        let path = format!("/v1/orders/{backend}");
        let mut call = Call::new(Method::PUT, self.address, &path);
        call.bearer = Some(&self.token);
        call.timeout_ms = CALL_TIMEOUT_MS;
        let answer = self.http.call(&call, Some(setup)).await;
        let (status, bytes) = answer.map_err(|error| self.send_error(&error))?;
        self.read(status.is_success(), &bytes)
    }

    /// Lists the desired states of all engines.
    pub async fn orders(&self) -> Result<Vec<OrderView>> {
        self.get("/v1/orders").await
    }

    /// Reads the recent events of this instance.
    pub async fn timeline(&self) -> Result<TimelineView> {
        self.get("/v1/timeline").await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut call = Call::new(Method::GET, self.address, path);
        call.bearer = Some(&self.token);
        call.timeout_ms = CALL_TIMEOUT_MS;
        let answer = self.http.call::<()>(&call, None).await;
        let (status, bytes) = answer.map_err(|error| self.send_error(&error))?;
        self.read(status.is_success(), &bytes)
    }

    fn read<T: DeserializeOwned>(&self, success: bool, bytes: &[u8]) -> Result<T> {
        if success {
            return serde_json::from_slice(bytes)
                .map_err(|error| self.unreachable_error(error.to_string()));
        }
        match serde_json::from_slice::<OperatorErrorBody>(bytes) {
            Ok(body) => Err(body.error),
            Err(error) => Err(self.unreachable_error(error.to_string())),
        }
    }

    /// Converts the transport error of a change. If no byte was sent, the change has no effect;
    /// otherwise it may have taken effect.
    fn change_send_error(&self, error: &SendError) -> OperatorError {
        if error.is_not_sent() {
            return self.send_error(error);
        }
        self.answer_lost_error(error.to_string())
    }

    fn answer_lost_error(&self, detail: String) -> OperatorError {
        OperatorError::AnswerLost {
            address: self.address.to_string(),
            detail,
        }
    }

    fn send_error(&self, error: &SendError) -> OperatorError {
        self.unreachable_error(error.to_string())
    }

    fn unreachable_error(&self, detail: String) -> OperatorError {
        OperatorError::Unreachable {
            address: self.address.to_string(),
            detail,
        }
    }
}
