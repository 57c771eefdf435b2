//! A plain service's stand-in: it counts what it ran and echoes the call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::replicas::LoadReport;
use foxtailhold_http::body;
use foxtailhold_http::server::{Handler, Server};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::answer::{self, Answer};
use crate::error::Result;

/// Which faults are on. `POST /standin/faults` sets all of them at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Calls take this much longer.
    pub delay_ms: u64,
    /// Calls run and fail with status 500.
    pub fail: bool,
    /// The load report says that the service is leaving.
    pub leaving: bool,
}

/// One call in the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: String,
}

#[derive(Debug, Default)]
struct State {
    record: Vec<ServiceCall>,
    faults: ServiceFaults,
    running: u32,
}

/// A plain service.
#[derive(Debug, Clone, Default)]
pub struct ServiceStandin {
    state: Arc<Mutex<State>>,
}

impl ServiceStandin {
    /// Serves on `address`.
    pub async fn serve(&self, address: SocketAddr) -> Result<Server> {
        Ok(Server::bind(address, self.clone()).await?)
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.lock().faults = faults;
    }

    /// What was run.
    pub fn record(&self) -> Vec<ServiceCall> {
        self.state.lock().record.clone()
    }

    fn load(&self) -> LoadReport {
        let state = self.state.lock();
        LoadReport {
            running: state.running,
            slots: 64,
            leaving: state.faults.leaving,
            ..LoadReport::default()
        }
    }

    async fn route(&self, request: Request<Incoming>) -> std::result::Result<Answer, Answer> {
        let (head, incoming) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/load") => Ok(answer::ok(&self.load())),
            (&Method::GET, "/standin/record") => Ok(answer::ok(&self.record())),
            (&Method::POST, "/standin/faults") => {
                self.set_faults(answer::read_json(incoming).await?);
                Ok(body::empty(StatusCode::OK))
            }
            _ => {
                let path = head.uri.path_and_query();
                let call = ServiceCall {
                    method: head.method.to_string(),
                    path: path.map_or("/", |path| path.as_str()).to_owned(),
                    body: String::from_utf8_lossy(&answer::read(incoming).await?).into_owned(),
                };
                self.run(call).await
            }
        }
    }

    async fn run(&self, call: ServiceCall) -> std::result::Result<Answer, Answer> {
        let (faults, number) = {
            let mut state = self.state.lock();
            state.record.push(call.clone());
            state.running += 1;
            (state.faults.clone(), state.record.len())
        };
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        self.state.lock().running -= 1;
        if faults.fail {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Err(answer::error(status, "the service failed"));
        }
        let echo = serde_json::json!({ "number": number, "call": call });
        Ok(answer::ok(&echo))
    }
}

impl Handler for ServiceStandin {
    async fn handle(&self, _: SocketAddr, request: Request<Incoming>) -> Answer {
        match self.route(request).await {
            Ok(answer) | Err(answer) => answer,
        }
    }
}
