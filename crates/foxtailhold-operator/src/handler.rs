//! HTTP handler of the operator API.
//!
//! All paths except `/health`, `/ready` and `/metrics` require the operator token.

use std::net::SocketAddr;

use bytes::Bytes;
use foxtailhold::contract::Contract;
use foxtailhold::ids::{BackendId, CustomerId};
use foxtailhold::orders::EngineSetup;
use foxtailhold_http::body::{self, AnswerBody, BodyError, RequestTerms};
use foxtailhold_http::machine::MachineLimits;
use foxtailhold_http::memory::MemoryBudget;
use foxtailhold_http::server::Handler;
use http::{HeaderValue, Method, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::error::{OperatorError, Result};
use crate::gateway::{ContractUpdate, OperatorGateway};
use crate::route::Route;

/// Maximum size of a contract document or of the body of an order.
pub const MAX_DOCUMENT_BYTES: usize = 256 << 10;
/// Maximum pause between two parts of a contract document.
pub const BODY_IDLE_MS: u64 = 10_000;
/// Request header that carries the contract version that a change replaces.
pub const EXPECTED_VERSION: &str = "foxtailhold-expected-version";
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// HTTP handler of the operator API of one instance.
#[derive(Clone)]
pub struct OperatorHandler<G> {
    gateway: G,
    token: std::sync::Arc<str>,
    memory: MemoryBudget,
}

/// Response body of a failed call.
#[derive(Debug, Serialize, Deserialize)]
pub struct OperatorErrorBody {
    /// Error code and details.
    pub error: OperatorError,
    /// Human-readable description.
    pub message: String,
}

impl<G: OperatorGateway> OperatorHandler<G> {
    /// Creates a handler that requires `token`, on a machine with the default limits.
    pub fn new(gateway: G, token: &str) -> Self {
        OperatorHandler {
            gateway,
            token: token.into(),
            memory: MachineLimits::default().request_memory(),
        }
    }

    /// Sets the memory for documents.
    pub fn memory(self, memory: MemoryBudget) -> Self {
        OperatorHandler { memory, ..self }
    }

    /// Reads the document of a call; `invalid` is the error if it cannot be read.
    async fn read_document(
        &self,
        head: &request::Parts,
        incoming: &mut Incoming,
        invalid: impl FnOnce(String) -> OperatorError,
    ) -> Result<Bytes> {
        let extensions = &head.extensions;
        let terms = RequestTerms::new(MAX_DOCUMENT_BYTES, BODY_IDLE_MS, &self.memory, extensions);
        let read = body::read_request(incoming, &terms).await;
        read.map_err(|error| match error {
            BodyError::NoMemory(_) | BodyError::Evicted => {
                log::info!("document of an operator refused: {error}");
                OperatorError::NoMemory
            }
            error => invalid(error.to_string()),
        })
    }

    async fn route(
        &self,
        head: &request::Parts,
        incoming: &mut Incoming,
    ) -> Result<Response<AnswerBody>> {
        let route = Route::of(head.uri.path());
        if !route.as_ref().is_ok_and(Route::is_open) {
            self.check_token(head)?;
        }
        let route = route?;
        route.check_method(&head.method)?;
        Ok(match route {
            Route::Health => body::empty(StatusCode::OK),
            Route::Ready => self.ready(),
            Route::Metrics => self.metrics(),
            Route::Contracts => self.contracts(),
            Route::Contract(customer) if head.method == Method::GET => self.contract(customer)?,
            Route::Contract(customer) => self.update(customer, head, incoming).await?,
            Route::Instances => ok(&self.gateway.instances()),
            Route::Backends => ok(&self.gateway.backends()),
            Route::Jobs => ok(&self.gateway.jobs().await?),
            Route::Orders => ok(&self.gateway.orders().await?),
            Route::Order(backend) => self.set_order(backend, head, incoming).await?,
            Route::Timeline => ok(&self.gateway.timeline()),
        })
    }

    async fn set_order(
        &self,
        backend: &str,
        head: &request::Parts,
        incoming: &mut Incoming,
    ) -> Result<Response<AnswerBody>> {
        let invalid = |detail| OperatorError::BadRequest { detail };
        let bytes = self.read_document(head, incoming, invalid).await?;
        let (backend, setup) = (backend_id(backend)?, read_setup(&bytes)?);
        Ok(ok(&self.gateway.set_order(&backend, &setup).await?))
    }

    fn check_token(&self, head: &request::Parts) -> Result<()> {
        let value = head.headers.get(header::AUTHORIZATION);
        let token = value.and_then(|value| value.to_str().ok());
        let token = token.and_then(|text| text.strip_prefix("Bearer "));
        let token = token.unwrap_or_default().as_bytes();
        if bool::from(token.ct_eq(self.token.as_bytes())) {
            return Ok(());
        }
        Err(OperatorError::Unauthorized)
    }

    fn ready(&self) -> Response<AnswerBody> {
        let readiness = self.gateway.readiness();
        let status = if readiness.ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        body::json(status, &readiness)
    }

    fn metrics(&self) -> Response<AnswerBody> {
        let mut response = Response::new(body::whole(self.gateway.metrics()));
        let content_type = HeaderValue::from_static(OPENMETRICS);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, content_type);
        response
    }

    fn contracts(&self) -> Response<AnswerBody> {
        let mut views = Vec::new();
        for view in self.gateway.contracts() {
            views.push(view.masked());
        }
        views.sort_by(|a, b| a.customer.cmp(&b.customer));
        ok(&views)
    }

    fn contract(&self, customer: &str) -> Result<Response<AnswerBody>> {
        let id = customer_id(customer)?;
        match self.gateway.contract(&id) {
            Some(view) => Ok(ok(&view.masked())),
            None => Err(not_found("contract", customer)),
        }
    }

    async fn update(
        &self,
        customer: &str,
        head: &request::Parts,
        incoming: &mut Incoming,
    ) -> Result<Response<AnswerBody>> {
        let customer = customer_id(customer)?;
        let expected_version = expected_version(head)?;
        let contract = match head.method {
            Method::DELETE => None,
            _ => {
                let invalid = |detail| OperatorError::BadContract { detail };
                let bytes = self.read_document(head, incoming, invalid).await?;
                Some(read_contract(&customer, &bytes)?)
            }
        };
        let update = ContractUpdate {
            customer,
            expected_version,
            contract,
        };
        Ok(ok(&self.gateway.update_contract(update).await?))
    }
}

impl<G: OperatorGateway> Handler for OperatorHandler<G> {
    async fn handle(&self, _: SocketAddr, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, mut incoming) = request.into_parts();
        let answer = self.route(&head, &mut incoming).await;
        body::drain(incoming, &head.extensions);
        answer.unwrap_or_else(error_response)
    }
}

fn error_response(error: OperatorError) -> Response<AnswerBody> {
    let allow = match &error {
        OperatorError::MethodNotAllowed { allow, .. } => HeaderValue::try_from(allow).ok(),
        _ => None,
    };
    let message = error.to_string();
    let mut response = body::json(status_code(&error), &OperatorErrorBody { error, message });
    if let Some(allow) = allow {
        response.headers_mut().insert(header::ALLOW, allow);
    }
    response
}

fn ok<T: Serialize>(value: &T) -> Response<AnswerBody> {
    body::json(StatusCode::OK, value)
}

fn not_found(kind: &str, id: &str) -> OperatorError {
    let (kind, id) = (kind.to_owned(), id.chars().take(200).collect());
    OperatorError::NotFound { kind, id }
}

fn customer_id(text: &str) -> Result<CustomerId> {
    CustomerId::try_from(text).map_err(|error| OperatorError::BadRequest {
        detail: error.to_string(),
    })
}

fn expected_version(head: &request::Parts) -> Result<u64> {
    let value = head.headers.get(EXPECTED_VERSION);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .ok_or_else(|| OperatorError::BadRequest {
            detail: format!(
                "header {EXPECTED_VERSION} must be a whole number, 0 for a new contract"
            ),
        })
}

fn read_contract(customer: &CustomerId, bytes: &[u8]) -> Result<Contract> {
    let bad_contract = |detail: String| OperatorError::BadContract { detail };
    let document = std::str::from_utf8(bytes).map_err(|error| bad_contract(error.to_string()))?;
    let contract = Contract::try_from(document)?;
    if contract.customer != *customer {
        let found_customer = &contract.customer;
        return Err(bad_contract(format!(
            "field `customer` is {found_customer}, the contract to be set is {customer}'s"
        )));
    }
    Ok(contract)
}

fn status_code(error: &OperatorError) -> StatusCode {
    match error {
        OperatorError::Unauthorized => StatusCode::UNAUTHORIZED,
        OperatorError::BadContract { .. } | OperatorError::BadRequest { .. } => {
            StatusCode::BAD_REQUEST
        }
        OperatorError::Conflict { .. } | OperatorError::KeyTaken { .. } => StatusCode::CONFLICT,
        OperatorError::NotFound { .. } => StatusCode::NOT_FOUND,
        OperatorError::StoreUnavailable | OperatorError::NoMemory => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        OperatorError::EffectUnknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        OperatorError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
        OperatorError::Unreachable { .. } | OperatorError::AnswerLost { .. } => {
            StatusCode::BAD_GATEWAY
        }
    }
}

/// Parses the identifier of an engine in a path.
fn backend_id(text: &str) -> Result<BackendId> {
    BackendId::try_from(text).map_err(|error| OperatorError::BadRequest {
        detail: error.to_string(),
    })
}

/// Parses the desired state of an engine in a body.
fn read_setup(bytes: &[u8]) -> Result<EngineSetup> {
    serde_json::from_slice(bytes).map_err(|error| OperatorError::BadRequest {
        detail: error.to_string(),
    })
}
