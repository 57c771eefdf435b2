//! A deployment of separate processes on loopback, for the measuring commands.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxtailhold::ids::CustomerId;
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_operator::client::OperatorClient;
use http::Method;
use nix::sys::signal::Signal;
use serde::de::DeserializeOwned;

use crate::cli::AddInstanceCommand;
use crate::engine::EngineCounters;
use crate::error::{Result, StandinError};
use crate::platform::PlatformFaults;
use crate::process::{Process, Program};
use crate::registry;

/// Operator token of the instances.
pub const TOKEN: &str = "measuring-operator-token";
/// Limit for the deployment to settle.
const SETTLE_TIMEOUT_MS: u64 = 60_000;
/// Limit for a stand-in's answer.
const STANDIN_TIMEOUT_MS: u64 = 500;

/// How large a deployment is and how its processes are started.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// Entry instances.
    pub instances: usize,
    /// Engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub services: usize,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// More arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Environment variables of each instance.
    pub entry_variables: Vec<(String, String)>,
}

/// The running processes.
#[derive(Debug)]
pub struct Deployment {
    shape: DeploymentShape,
    client: HttpClient,
    /// The platform.
    pub platform: Process,
    /// The engines.
    pub engines: Vec<Process>,
    /// The replicas of the plain service.
    pub services: Vec<Process>,
    /// The instances.
    pub instances: Vec<Process>,
    instances_started: usize,
}

impl Deployment {
    /// Starts everything and waits until all instances know all.
    pub async fn start(shape: DeploymentShape) -> Result<Self> {
        let arguments = ["platform", "--fleet-lag-ms", "500"];
        let mut deployment = Deployment {
            client: HttpClient::new(Reuse::Fresh),
            platform: Process::start(Program::Standin, &arguments, &[]).await?,
            engines: Vec::new(),
            services: Vec::new(),
            instances: Vec::new(),
            instances_started: 0,
            shape,
        };
        for index in 0..deployment.shape.engines {
            deployment.add_backend("engine", index).await?;
        }
        for index in 0..deployment.shape.services {
            deployment.add_backend("service", index).await?;
        }
        for _ in 0..deployment.shape.instances {
            deployment.add_instance().await?;
        }
        deployment.settle().await?;
        Ok(deployment)
    }

    /// Its availability zones.
    pub fn zones(&self) -> [&'static str; 3] {
        self.shape.zones
    }

    /// Where the platform listens.
    pub fn platform_address(&self) -> Result<SocketAddr> {
        self.platform.address("listening")
    }

    async fn add_backend(&mut self, kind: &str, index: usize) -> Result<()> {
        let zone = self.shape.zones[index % 3];
        let platform = self.platform_address()?.to_string();
        let id = format!("{kind}-{index}");
        let mut arguments = vec![kind, "--id", &id, "--availability-zone", zone];
        arguments.extend(["--platform-address", &platform]);
        let engine = kind == "engine";
        if engine {
            arguments.extend(self.shape.engine_arguments.iter().map(String::as_str));
        }
        let mut process = Process::start(Program::Standin, &arguments, &[]).await?;
        process.availability_zone = zone.to_owned();
        if engine {
            self.engines.push(process);
        } else {
            self.services.push(process);
        }
        Ok(())
    }

    /// Starts one more instance and tells the fleet list.
    pub async fn add_instance(&mut self) -> Result<()> {
        let index = self.instances_started;
        self.instances_started += 1;
        let zone = self.shape.zones[index % 3];
        let platform = self.platform_address()?.to_string();
        let (id, any) = (format!("entry-{index}"), "127.0.0.1:0");
        let mut arguments = vec!["--instance", &id, "--availability-zone", zone];
        arguments.extend(["--caller-address", any, "--peer-address", any]);
        arguments.extend(["--operator-address", any, "--platform-address", &platform]);
        arguments.extend(["--operator-token", TOKEN, "--keep-for-ms", "1000"]);
        let mut variables = Vec::new();
        for (name, value) in &self.shape.entry_variables {
            variables.push((name.as_str(), value.as_str()));
        }
        let mut process = Process::start(Program::Entry, &arguments, &variables).await?;
        process.availability_zone = zone.to_owned();
        registry::add_instance(AddInstanceCommand {
            id,
            peer_address: process.address("peer_address")?.to_string(),
            platform_address: platform,
        })
        .await?;
        self.instances.push(process);
        Ok(())
    }

    /// A client of an instance's operator API.
    pub fn operator(&self, index: usize) -> Result<OperatorClient> {
        let address = self.instances[index].address("operator_address")?;
        Ok(OperatorClient::new(address, TOKEN))
    }

    /// Where callers reach the instances that run.
    pub fn caller_addresses(&self) -> Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for instance in &self.instances {
            if !instance.unresponsive {
                addresses.push(instance.address("caller_address")?);
            }
        }
        Ok(addresses)
    }

    /// Waits until every instance knows all others and all backend servers.
    pub async fn settle(&self) -> Result<()> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(SETTLE_TIMEOUT_MS) {
            if self.settled().await? {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(StandinError::Check {
            step: "settle",
            detail: "the instances do not know all others and all backend servers".into(),
        })
    }

    async fn settled(&self) -> Result<bool> {
        let backends = self.engines.len() + self.services.len();
        for index in 0..self.instances.len() {
            let operator = self.operator(index)?;
            let Ok(view) = operator.instances().await else {
                return Ok(false);
            };
            let Ok(known) = operator.backends().await else {
                return Ok(false);
            };
            if view.instances.len() != self.instances.len() || known.len() != backends {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Sets a customer's first contract and waits until it is in force on all instances.
    pub async fn set_contract(&self, customer: &str, document: &str) -> Result<()> {
        let customer = CustomerId::try_from(customer)?;
        let failed = |error: foxtailhold_operator::OperatorError| StandinError::Check {
            step: "set a contract",
            detail: error.to_string(),
        };
        let operator = self.operator(0)?;
        let accepted = operator.set_contract(&customer, 0, document).await;
        accepted.map_err(failed)?;
        for index in 0..self.instances.len() {
            let operator = self.operator(index)?;
            while operator.contract(&customer).await.is_err() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Sets the platform's fault switches.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<()> {
        let address = self.platform_address()?;
        let call = Call::new(Method::POST, address, "/standin/faults");
        self.client.call(&call, Some(faults)).await?;
        Ok(())
    }

    /// Reads JSON from a stand-in.
    pub async fn read<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        let mut call = Call::new(Method::GET, address, path);
        call.timeout_ms = STANDIN_TIMEOUT_MS;
        let (status, body) = self.client.call::<()>(&call, None).await?;
        serde_json::from_slice(&body).map_err(|error| StandinError::Status {
            address,
            path: path.to_owned(),
            status: status.as_u16(),
            body: error.to_string(),
        })
    }

    /// The counters of each engine; `None` for one that does not answer.
    pub async fn counters(&self) -> Result<Vec<Option<EngineCounters>>> {
        let mut counters = Vec::new();
        for engine in &self.engines {
            let address = engine.address("listening")?;
            let read = self.read::<EngineCounters>(address, "/standin/counters");
            counters.push(read.await.ok());
        }
        Ok(counters)
    }

    /// All backend servers and instances of an availability zone.
    pub fn in_zone(&mut self, zone: &str) -> impl Iterator<Item = &mut Process> {
        let backends = self.engines.iter_mut().chain(&mut self.services);
        let all = backends.chain(&mut self.instances);
        all.filter(move |process| process.availability_zone == zone)
    }

    /// Lets every process go on that is stopped by a signal.
    pub fn resume_all(&mut self) -> Result<()> {
        let backends = self.engines.iter_mut().chain(&mut self.services);
        for process in backends.chain(&mut self.instances) {
            if process.unresponsive {
                process.signal(Signal::SIGCONT)?;
            }
        }
        Ok(())
    }

    /// Ends all processes.
    pub fn close(self) {
        drop(self);
    }
}
