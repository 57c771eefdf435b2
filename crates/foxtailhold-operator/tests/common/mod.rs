//! An operator API server with a fake instance.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use foxtailhold::contract::Contract;
use foxtailhold::ids::{BackendId, CustomerId};
use foxtailhold::orders::EngineSetup;
use foxtailhold_http::body::read_whole;
use foxtailhold_http::client::{HttpClient, Reuse, uri};
use foxtailhold_http::server::Server;
use foxtailhold_operator::OperatorHandler;
use foxtailhold_operator::error::{OperatorError, Result};
use foxtailhold_operator::gateway::{ContractUpdate, OperatorGateway};
use foxtailhold_operator::view::OrderView;
use foxtailhold_operator::view::*;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;

pub const TOKEN: &str = "the-operator-token";
pub const KEY: &str = "a-key-of-the-customer";

pub fn document(requests_per_s: &str) -> String {
    format!("customer = \"c\"\napi_keys = [\"{KEY}\"]\nrequests_per_s = {requests_per_s}\n")
}

/// A fake instance that records contract updates and returns configured results.
#[derive(Debug, Clone, Default)]
pub struct Fake {
    pub failure: Arc<Mutex<Option<OperatorError>>>,
    pub updates: Arc<Mutex<Vec<ContractUpdate>>>,
    pub timeline: Arc<Mutex<TimelineView>>,
    pub instances: Arc<Mutex<Vec<InstanceView>>>,
    pub reasons: Arc<Mutex<Vec<String>>>,
}

impl Fake {
    fn check_failure(&self) -> Result<()> {
        match self.failure.lock().unwrap().clone() {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }
}

impl OperatorGateway for Fake {
    fn contracts(&self) -> Vec<ContractView> {
        let contract = Contract::try_from(document("5").as_str()).unwrap();
        vec![ContractView {
            customer: contract.customer.clone(),
            version: 4,
            number: 9,
            contract,
        }]
    }

    fn contract(&self, customer: &CustomerId) -> Option<ContractView> {
        self.contracts()
            .into_iter()
            .find(|view| view.customer == *customer)
    }

    async fn update_contract(&self, update: ContractUpdate) -> Result<AcceptedChange> {
        self.check_failure()?;
        let accepted = AcceptedChange {
            customer: update.customer.clone(),
            version: update.expected_version + 1,
            number: 10,
        };
        self.updates.lock().unwrap().push(update);
        Ok(accepted)
    }

    fn instances(&self) -> InstancesView {
        InstancesView {
            me: "entry-0".try_into().unwrap(),
            contracts_number: 9,
            instances: self.instances.lock().unwrap().clone(),
        }
    }

    fn backends(&self) -> Vec<BackendView> {
        Vec::new()
    }

    async fn jobs(&self) -> Result<Vec<JobView>> {
        self.check_failure()?;
        Ok(Vec::new())
    }

    async fn set_order(&self, backend: &BackendId, setup: &EngineSetup) -> Result<OrderView> {
        self.check_failure()?;
        Ok(OrderView {
            backend: backend.clone(),
            version: 1,
            setup: setup.clone(),
        })
    }

    async fn orders(&self) -> Result<Vec<OrderView>> {
        self.check_failure()?;
        Ok(Vec::new())
    }

    fn timeline(&self) -> TimelineView {
        self.timeline.lock().unwrap().clone()
    }

    fn metrics(&self) -> String {
        "# EOF\n".into()
    }

    fn readiness(&self) -> Readiness {
        let reasons = self.reasons.lock().unwrap().clone();
        let ready = reasons.is_empty();
        Readiness { ready, reasons }
    }
}

/// An operator API server on the loopback interface.
pub struct Served {
    pub server: Server,
    pub fake: Fake,
}

pub async fn serve() -> Served {
    let fake = Fake::default();
    let handler = OperatorHandler::new(fake.clone(), TOKEN);
    let server = Server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), handler);
    let server = server.await.unwrap();
    Served { server, fake }
}

/// An HTTP response with its body as text.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub text: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

impl Served {
    /// Sends a request. `authorization` is the value of that header, `version` the value of
    /// `foxtailhold-expected-version`.
    pub async fn send(
        &self,
        method: &Method,
        path: &str,
        authorization: Option<&[u8]>,
        version: Option<&str>,
        body: &[u8],
    ) -> Answer {
        let address = self.server.address();
        let mut request = Request::new(Full::new(Bytes::from(body.to_vec())));
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri(address, path).unwrap();
        let headers = request.headers_mut();
        if let Some(value) = authorization {
            headers.insert("authorization", value.try_into().unwrap());
        }
        if let Some(version) = version {
            headers.insert("foxtailhold-expected-version", version.parse().unwrap());
        }
        let client = HttpClient::new(Reuse::Fresh);
        let response = client.send(address, request, 20_000).await.unwrap();
        let (head, body) = response.into_parts();
        let bytes = read_whole(body, 1 << 20).await.unwrap();
        Answer {
            status: head.status,
            headers: head.headers,
            text: String::from_utf8(bytes.to_vec()).unwrap(),
        }
    }

    /// Sends a request with the valid token.
    pub async fn send_known(
        &self,
        method: Method,
        path: &str,
        version: Option<&str>,
        body: &[u8],
    ) -> Answer {
        let bearer = format!("Bearer {TOKEN}");
        self.send(&method, path, Some(bearer.as_bytes()), version, body)
            .await
    }
}
