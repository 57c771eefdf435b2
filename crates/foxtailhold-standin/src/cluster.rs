//! A whole small deployment embedded in one process.

use std::net::{Ipv4Addr, SocketAddr};

use foxtailhold::orders::FencingEngines;
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold_entry::settings::BatchPolicy;
use foxtailhold_entry::{Instance, Settings};
use foxtailhold_http::server::Server;
use foxtailhold_platform::{FleetInstance, HttpPlatform};

use crate::engine::{EngineShape, EngineStandin};
use crate::error::Result;
use crate::platform::PlatformStandin;
use crate::platform::fleet::FleetChange;
use crate::registry::backend;
use crate::service::ServiceStandin;

/// Operator token of the embedded instances.
pub const TOKEN: &str = "embedded-operator-token";
/// Availability zones of the embedded deployment.
pub const ZONES: [&str; 3] = ["concord-hall", "nashua-hall", "keene-hall"];
/// Model of the embedded engines.
pub const MODEL: &str = "ranger";
/// Name of the embedded plain service.
pub const SERVICE: &str = "portal";

/// How large the deployment is.
#[derive(Debug, Clone, Copy)]
pub struct ClusterShape {
    /// Entry instances.
    pub instances: usize,
    /// Engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub services: usize,
    /// Lag of the fleet list.
    pub fleet_lag_ms: u64,
    /// How long callers may keep the list of addresses.
    pub keep_for_ms: u64,
    /// Shape of every engine.
    pub engine: EngineShape,
}

impl Default for ClusterShape {
    fn default() -> Self {
        ClusterShape {
            instances: 3,
            engines: 3,
            services: 1,
            fleet_lag_ms: 200,
            keep_for_ms: 500,
            engine: EngineShape::default(),
        }
    }
}

/// The running deployment.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: PlatformStandin,
    /// The engines.
    pub engines: Vec<EngineStandin>,
    /// The replicas of the plain service.
    pub services: Vec<ServiceStandin>,
    /// The instances; one that was stopped leaves `None`.
    pub instances: Vec<Option<Instance<HttpPlatform>>>,
    servers: Vec<Server>,
}

/// A loopback address with a port chosen by the system.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Settings of an embedded instance.
pub fn settings(index: usize, platform: SocketAddr, keep_for_ms: u64) -> Result<Settings> {
    Ok(Settings {
        instance: format!("entry-{index}").as_str().try_into()?,
        availability_zone: ZONES[index % ZONES.len()].try_into()?,
        caller_address: any_port(),
        peer_address: any_port(),
        operator_address: any_port(),
        platform_address: platform,
        operator_token: TOKEN.to_owned(),
        keep_for_ms,
        stop_wait_ms: 30_000,
        batch_slots: 24,
        checking_engines: FencingEngines::All,
        sweep_after_ms: 900_000,
        batch_policy: BatchPolicy::Controlled,
        batch_share_percent: 100,
        wall_offset_ms: 0,
        worker_threads: 0,
    })
}

impl Cluster {
    /// Starts everything.
    pub async fn start(shape: ClusterShape) -> Result<Self> {
        let platform = PlatformStandin::new(shape.fleet_lag_ms);
        let server = platform.serve(any_port()).await?;
        let platform_address = server.address();
        let mut cluster = Cluster {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            instances: Vec::new(),
            servers: vec![server],
        };
        for index in 0..shape.engines {
            cluster.add_engine(index, shape.engine).await?;
        }
        for index in 0..shape.services {
            cluster.add_service(index).await?;
        }
        for index in 0..shape.instances {
            let settings = settings(index, platform_address, shape.keep_for_ms)?;
            cluster.add_instance(settings).await?;
        }
        Ok(cluster)
    }

    /// The instance at `index`, if it runs.
    pub fn instance(&self, index: usize) -> Option<&Instance<HttpPlatform>> {
        self.instances.get(index).and_then(Option::as_ref)
    }

    /// Stops the engines, services and the platform, and the instances that still run.
    pub async fn close(mut self) -> Result<()> {
        for instance in self.instances.drain(..).flatten() {
            instance.close().await?;
        }
        for server in self.servers {
            server.close(0).await;
        }
        Ok(())
    }

    async fn add_engine(&mut self, index: usize, shape: EngineShape) -> Result<()> {
        let engine = EngineStandin::new(shape);
        let server = engine.serve(any_port()).await?;
        let (id, zone) = (format!("engine-{index}"), ZONES[index % ZONES.len()]);
        let entry = backend(&id, BackendKind::Engine, server.address(), zone, MODEL)?;
        self.platform.change_fleet(FleetChange {
            backends: vec![entry],
            ..FleetChange::default()
        });
        self.engines.push(engine);
        self.servers.push(server);
        Ok(())
    }

    async fn add_service(&mut self, index: usize) -> Result<()> {
        let service = ServiceStandin::default();
        let server = service.serve(any_port()).await?;
        let (id, zone) = (format!("service-{index}"), ZONES[index % ZONES.len()]);
        let entry = backend(&id, BackendKind::Service, server.address(), zone, SERVICE)?;
        self.platform.change_fleet(FleetChange {
            backends: vec![entry],
            ..FleetChange::default()
        });
        self.services.push(service);
        self.servers.push(server);
        Ok(())
    }

    async fn add_instance(&mut self, settings: Settings) -> Result<()> {
        let platform = HttpPlatform::new(settings.platform_address);
        let instance = Instance::start(settings, platform).await?;
        let bound = &instance.shared().settings;
        self.platform.change_fleet(FleetChange {
            instances: vec![FleetInstance {
                id: bound.instance.clone(),
                peer_address: bound.peer_address,
                state: FleetState::Live,
            }],
            ..FleetChange::default()
        });
        self.instances.push(Some(instance));
        Ok(())
    }
}
