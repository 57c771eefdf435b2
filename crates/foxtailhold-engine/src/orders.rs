//! Orders to engines.
//!
//! `POST /orders` takes an order: 2xx where it was taken, 409 where its fencing number is old.
//! `GET /orders` answers with the engine's state.

use std::net::SocketAddr;

use foxtailhold::orders::{EngineState, Order, OrderOutcome};
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use http::{Method, StatusCode};

use crate::error::{EngineError, Result};

/// Path of orders at an engine.
pub const ORDERS_PATH: &str = "/orders";
/// Limit for one call; well under the longest flight that is assumed of an order.
pub const CALL_TIMEOUT_MS: u64 = 2_000;

/// A client that gives orders. Each call has a connection of its own.
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
    /// Gives an order.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> OrderOutcome {
        let mut call = Call::new(Method::POST, address, ORDERS_PATH);
        call.timeout_ms = CALL_TIMEOUT_MS;
        match self.http.call(&call, Some(order)).await {
            Ok((StatusCode::CONFLICT, _)) => OrderOutcome::Refused,
            Ok((status, _)) if status.is_success() => OrderOutcome::Taken,
            Ok(_) => OrderOutcome::Unknown,
            Err(error) if error.is_not_sent() => OrderOutcome::NotSent,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    /// Reads the engine's state.
    pub async fn state(&self, address: SocketAddr) -> Result<EngineState> {
        let mut call = Call::new(Method::GET, address, ORDERS_PATH);
        call.timeout_ms = CALL_TIMEOUT_MS;
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
