//! A small deployment embedded in one process: platform, engines, services and instances.

use std::net::{Ipv4Addr, SocketAddr};

use foxtailhold::orders::FencingEngines;
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold_entry::settings::BatchPolicy;
use foxtailhold_entry::{Instance, Settings};
use foxtailhold_http::machine::MachineLimits;
use foxtailhold_http::server::Server;
use foxtailhold_platform::{FleetInstance, HttpPlatform};

use crate::engine::{EngineShape, EngineStandin};
use crate::error::Result;
use crate::platform::PlatformStandin;
use crate::platform::fleet::FleetChange;
use crate::registry::backend;
use crate::service::ServiceStandin;

/// Operator token that the embedded instances accept.
pub const TOKEN: &str = "embedded-operator-token";
/// Availability zones of the embedded deployment, assigned in turn.
pub const ZONES: [&str; 3] = ["concord-hall", "nashua-hall", "keene-hall"];
/// Model that the embedded engines serve.
pub const MODEL: &str = "ranger";
/// Name of the embedded plain service.
pub const SERVICE: &str = "portal";

/// Size and timing of an embedded deployment.
#[derive(Debug, Clone, Copy)]
pub struct ClusterShape {
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub services: usize,
    /// Delay until changes of the fleet list are visible.
    pub fleet_lag_ms: u64,
    /// Time for which callers may cache the list of instance addresses.
    pub keep_for_ms: u64,
    /// Size and speed of each engine.
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

/// A running embedded deployment.
#[derive(Debug)]
pub struct Cluster {
    /// Handle of the platform stand-in.
    pub platform: PlatformStandin,
    /// Handles of the engine stand-ins.
    pub engines: Vec<EngineStandin>,
    /// Handles of the stand-ins for the plain service.
    pub services: Vec<ServiceStandin>,
    /// The instances; `None` in place of one that was stopped.
    pub instances: Vec<Option<Instance<HttpPlatform>>>,
    servers: Vec<Server>,
}

/// Returns a loopback address with port 0, for which the system chooses a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns the settings of the embedded instance with this index.
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
        machine_limits: MachineLimits::default(),
    })
}

impl Cluster {
    /// Starts the platform, then engines, services and instances, and adds each to the fleet list.
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

    /// Returns the instance at `index`; `None` if it was stopped.
    pub fn instance(&self, index: usize) -> Option<&Instance<HttpPlatform>> {
        self.instances.get(index).and_then(Option::as_ref)
    }

    /// Stops the instances that still run, then the platform, engines and services.
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
