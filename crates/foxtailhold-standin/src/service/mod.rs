//! Stand-in for a plain service: it records every call and returns it with its number.

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

/// The faults that are switched on. `POST /standin/faults` sets all of them at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Delay added to each call.
    pub delay_ms: u64,
    /// Calls are executed and answered with status 500.
    pub fail: bool,
    /// The load report marks the service as leaving.
    pub leaving: bool,
}

/// A call in the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// Body; bytes that are no UTF-8 are replaced.
    pub body: String,
}

#[derive(Debug, Default)]
struct State {
    record: Vec<ServiceCall>,
    faults: ServiceFaults,
    running: u32,
}

/// A stand-in for a plain service. Clones share the same service.
#[derive(Debug, Clone, Default)]
pub struct ServiceStandin {
    state: Arc<Mutex<State>>,
}

impl ServiceStandin {
    /// Starts an HTTP server for this service on `address`.
    pub async fn serve(&self, address: SocketAddr) -> Result<Server> {
        Ok(Server::bind(address, self.clone()).await?)
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns the record of all calls, in order of arrival.
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
