//! A deployment of separate processes on the loopback interface, for the measuring commands.

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

/// Operator token that the started instances accept.
pub const TOKEN: &str = "measuring-operator-token";
/// Maximum wait until all instances know each other and all backend servers.
const SETTLE_TIMEOUT_MS: u64 = 60_000;
/// Timeout of a read from a stand-in.
const STANDIN_TIMEOUT_MS: u64 = 500;

/// Size of a deployment and options of its processes.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub services: usize,
    /// Availability zones, assigned to the processes of each kind in turn.
    pub zones: [&'static str; 3],
    /// Additional command line arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Additional environment variables of each instance, as name and value.
    pub entry_variables: Vec<(String, String)>,
}

/// A running deployment. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    shape: DeploymentShape,
    client: HttpClient,
    /// Process of the platform stand-in.
    pub platform: Process,
    /// Processes of the engine stand-ins.
    pub engines: Vec<Process>,
    /// Processes of the stand-ins for the plain service.
    pub services: Vec<Process>,
    /// Processes of the instances.
    pub instances: Vec<Process>,
    instances_started: usize,
}

impl Deployment {
    /// Starts all processes and waits until each instance knows all others and all backend servers.
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

    /// Returns the availability zones of the deployment.
    pub fn zones(&self) -> [&'static str; 3] {
        self.shape.zones
    }

    /// Returns the address of the platform stand-in.
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

    /// Starts another instance and adds it to the fleet list.
    pub async fn add_instance(&mut self) -> Result<()> {
        let index = self.instances_started;
        self.instances_started += 1;
        let zone = self.shape.zones[index % 3];
        let platform = self.platform_address()?.to_string();
        let (id, any_port) = (format!("entry-{index}"), "127.0.0.1:0");
        let mut arguments = vec!["--instance", &id, "--availability-zone", zone];
        arguments.extend(["--caller-address", any_port, "--peer-address", any_port]);
        arguments.extend([
            "--operator-address",
            any_port,
            "--platform-address",
            &platform,
        ]);
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

    /// Returns a client of the operator API of the instance at `index`.
    pub fn operator(&self, index: usize) -> Result<OperatorClient> {
        let address = self.instances[index].address("operator_address")?;
        Ok(OperatorClient::new(address, TOKEN))
    }

    /// Returns the caller addresses of the instances that are not stopped by a signal.
    pub fn caller_addresses(&self) -> Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for instance in &self.instances {
            if !instance.unresponsive {
                addresses.push(instance.address("caller_address")?);
            }
        }
        Ok(addresses)
    }

    /// Waits until each instance knows all others and all backend servers. It is an error if that
    /// takes longer than 60 s.
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
            detail: "not every instance knows all others and all backend servers after 60 s".into(),
        })
    }

    async fn settled(&self) -> Result<bool> {
        let backends = self.engines.len() + self.services.len();
        for index in 0..self.instances.len() {
            let operator = self.operator(index)?;
            let Ok(view) = operator.instances().await else {
                return Ok(false);
            };
            let Ok(backend_list) = operator.backends().await else {
                return Ok(false);
            };
            if view.instances.len() != self.instances.len() || backend_list.len() != backends {
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

    /// Replaces all fault switches of the platform stand-in.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<()> {
        let address = self.platform_address()?;
        let call = Call::new(Method::POST, address, "/standin/faults");
        self.client.call(&call, Some(faults)).await?;
        Ok(())
    }

    /// Reads a JSON value from a stand-in.
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

    /// Returns the counters of each engine; `None` for one that does not answer in time.
    pub async fn counters(&self) -> Result<Vec<Option<EngineCounters>>> {
        let mut counters = Vec::new();
        for engine in &self.engines {
            let address = engine.address("listening")?;
            let read = self.read::<EngineCounters>(address, "/standin/counters");
            counters.push(read.await.ok());
        }
        Ok(counters)
    }

    /// Returns the processes of all backend servers and instances in an availability zone.
    pub fn in_zone(&mut self, zone: &str) -> impl Iterator<Item = &mut Process> {
        let backends = self.engines.iter_mut().chain(&mut self.services);
        let all = backends.chain(&mut self.instances);
        all.filter(move |process| process.availability_zone == zone)
    }

    /// Sends SIGCONT to each process that was stopped by a signal.
    pub fn resume_all(&mut self) -> Result<()> {
        let backends = self.engines.iter_mut().chain(&mut self.services);
        for process in backends.chain(&mut self.instances) {
            if process.unresponsive {
                process.signal(Signal::SIGCONT)?;
            }
        }
        Ok(())
    }

    /// Kills all processes.
    pub fn close(self) {
        drop(self);
    }
}
