//! Client for orders, which tell an engine what to load and which role to take.
//!
//! `POST /orders` sends an order. The engine answers 2xx if it accepts the order, and 409 if the
//! order's fencing number is out of date. `GET /orders` returns the engine's state.

use std::net::SocketAddr;

use foxtailhold::orders::{EngineState, Order, OrderOutcome};
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use http::{Method, StatusCode};

use crate::error::{EngineError, Result};

/// HTTP path of orders at an engine.
pub const ORDERS_PATH: &str = "/orders";
/// Timeout for one call. It is well below the longest time that an order is assumed to be in
/// transit.
pub const CALL_TIMEOUT_MS: u64 = 2_000;
/// Size limit of the state of an engine.
const MAX_STATE_BYTES: usize = 1 << 20;

/// Sends orders to engines and reads their state. Each call opens a new connection.
#[derive(Debug, Clone)]
pub struct OrderClient {
    http: HttpClient,
}

impl Default for OrderClient {
    fn default() -> Self {
        OrderClient {
            http: HttpClient::new(Reuse::Fresh),
        }
    }
}

impl OrderClient {
    /// Sends an order. The outcome is `Unknown` if the engine may have received the order but gave
    /// no usable answer.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> OrderOutcome {
        let mut call = Call::new(Method::POST, address, ORDERS_PATH);
        call.timeout_ms = CALL_TIMEOUT_MS;
        call.limit_bytes = MAX_STATE_BYTES;
        match self.http.call(&call, Some(order)).await {
            Ok((StatusCode::CONFLICT, _)) => OrderOutcome::Refused,
            Ok((status, _)) if status.is_success() => OrderOutcome::Taken,
            Ok(_) => OrderOutcome::Unknown,
            Err(error) if error.is_not_sent() => OrderOutcome::NotSent,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    /// Reads the state of the engine at `address`.
    pub async fn state(&self, address: SocketAddr) -> Result<EngineState> {
        let mut call = Call::new(Method::GET, address, ORDERS_PATH);
        call.timeout_ms = CALL_TIMEOUT_MS;
        call.limit_bytes = MAX_STATE_BYTES;
        let (status, bytes) = self.http.call::<()>(&call, None).await?;
        if !status.is_success() {
            let status = status.as_u16();
            return Err(EngineError::Failed { status });
        }
        serde_json::from_slice(&bytes).map_err(|error| EngineError::Malformed {
            detail: error.to_string(),
        })
    }
}
