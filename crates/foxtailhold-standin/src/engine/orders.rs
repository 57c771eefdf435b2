//! Orders to the engine stand-in. An order is accepted with or without a check of its fencing
//! number; its setup is then loaded from the platform's weight store at the rate that it allows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::orders::{EngineSetup, EngineState, FencingCheck, Order};
use foxtailhold_http::client::{HttpClient, Reuse, uri};
use foxtailhold_platform::http::escape;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::answer::{self, Answer};

/// Pause before the next read of the weight store if its answer has no `Retry-After` header.
const WEIGHTS_PAUSE_S: u64 = 1;
/// Timeout of one read of the weight store.
const WEIGHTS_TIMEOUT_MS: u64 = 5_000;

/// Fault switches of orders. `POST /standin/orders/faults` sets all of them at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderFaults {
    /// Number of next orders that are applied with a delay.
    pub late_orders: u32,
    /// Delay of each of these orders.
    pub delay_ms: u64,
}

/// An order in the record, which is sorted by the time at which the engine decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenOrder {
    /// The order as received.
    pub order: Order,
    /// Whether the engine accepted it; `false` for a stale fencing number.
    pub taken: bool,
}

#[derive(Debug, Default)]
struct State {
    engine: EngineState,
    record: Vec<SeenOrder>,
    faults: OrderFaults,
    /// Number of the latest load. Each accepted order raises it, so that the result of an older
    /// load is discarded.
    load: u64,
    weight_waits: u64,
}

/// State of the orders of one engine. Clones share it.
#[derive(Debug, Clone)]
pub struct EngineOrders {
    state: Arc<Mutex<State>>,
    fencing: FencingCheck,
    weights: Option<SocketAddr>,
}

impl EngineOrders {
    /// Creates the state of an engine that loads from the weight store at `weights`. Without an
    /// address, loads take effect at once.
    pub fn new(fencing: FencingCheck, weights: Option<SocketAddr>) -> Self {
        EngineOrders {
            state: Arc::default(),
            fencing,
            weights,
        }
    }

    /// Replaces all fault switches of orders.
    pub fn set_faults(&self, faults: OrderFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns the state that the engine reports: its setups and the highest fencing number accepted.
    pub fn engine_state(&self) -> EngineState {
        self.state.lock().engine.clone()
    }

    /// Returns the record of all orders received, in the order of the decisions.
    pub fn record(&self) -> Vec<SeenOrder> {
        self.state.lock().record.clone()
    }

    /// Returns how many reads the weight store answered with status 429.
    pub fn weight_waits(&self) -> u64 {
        self.state.lock().weight_waits
    }

    /// Handles an order. The order is applied also if its issuer disconnects meanwhile.
    pub async fn handle_order(&self, incoming: Incoming) -> std::result::Result<Answer, Answer> {
        let order: Order = answer::read_json(incoming).await?;
        let orders = self.clone();
        let task = tokio::spawn(async move {
            tokio::time::sleep(orders.next_delay()).await;
            orders.accept(order)
        });
        match task.await {
            Ok(true) => Ok(answer::ok(&self.engine_state())),
            Ok(false) => {
                let message = "the fencing number is old";
                Err(answer::error(StatusCode::CONFLICT, message))
            }
            Err(error) => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                Err(answer::error(status, &error.to_string()))
            }
        }
    }

    fn next_delay(&self) -> Duration {
        let mut state = self.state.lock();
        if state.faults.late_orders == 0 {
            return Duration::ZERO;
        }
        state.faults.late_orders -= 1;
        Duration::from_millis(state.faults.delay_ms)
    }

    fn accept(&self, order: Order) -> bool {
        let mut state = self.state.lock();
        let taken = self.fencing == FencingCheck::Ignored || !order.is_stale(&state.engine);
        let setup = order.setup.clone();
        if taken {
            if self.fencing == FencingCheck::Enforced {
                state.engine.fencing = order.fencing;
            }
            state.load += 1;
            state.engine.loading = Some(setup.clone());
            tokio::spawn(self.clone().load(state.load, setup));
        }
        state.record.push(SeenOrder { order, taken });
        taken
    }

    async fn load(self, load: u64, setup: EngineSetup) {
        let same = self.state.lock().engine.in_effect.as_ref() == Some(&setup);
        if let (Some(weights), false) = (self.weights, same) {
            for name in std::iter::once(&setup.version).chain(&setup.adapters) {
                let model = escape(setup.model.as_str());
                let path = format!("/v1/weights/{model}/{}", escape(name));
                self.read_weights(weights, &path).await;
            }
        }
        let mut state = self.state.lock();
        if state.load == load {
            state.engine.in_effect = Some(setup);
            state.engine.loading = None;
        }
    }

    async fn read_weights(&self, weights: SocketAddr, path: &str) {
        let client = HttpClient::new(Reuse::Fresh);
        loop {
            let mut request = Request::new(Full::default());
            let Ok(uri) = uri(weights, path) else {
                return;
            };
            *request.uri_mut() = uri;
            let pause_s = match client.send(weights, request, WEIGHTS_TIMEOUT_MS).await {
                Ok(response) if response.status() == StatusCode::TOO_MANY_REQUESTS => {
                    self.state.lock().weight_waits += 1;
                    retry_after_s(&response)
                }
                Ok(_) => return,
                Err(_) => WEIGHTS_PAUSE_S,
            };
            tokio::time::sleep(Duration::from_secs(pause_s)).await;
        }
    }
}

fn retry_after_s(response: &Response<Incoming>) -> u64 {
    let value = response.headers().get(header::RETRY_AFTER);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
        .unwrap_or(WEIGHTS_PAUSE_S)
}
