//! Implementation of the commands of `foxtailhold-standin`.

use std::net::SocketAddr;

use foxtailhold::orders::FencingCheck;
use foxtailhold::replicas::BackendKind;
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold_http::server::Server;
use tokio::signal::unix::{SignalKind, signal};

use crate::bench;
use crate::cli::{Cli, Command, EngineCommand, PlatformCommand, ServiceCommand};
use crate::demo;
use crate::engine::{EngineFaults, EngineOrders, EngineShape, EngineStandin, InstantEngine};
use crate::error::Result;
use crate::load;
use crate::platform::PlatformStandin;
use crate::registry::{add_instance, address, backend, register};
use crate::service::ServiceStandin;
use crate::slopes;

/// Exit status of an engine stand-in that a request has crashed.
pub const CRASH_STATUS: i32 = 70;

/// Runs the command that the command line selects.
pub async fn run(cli: Cli) -> Result<()> {
    match cli.command {
        Command::Platform(command) => platform(command).await,
        Command::Engine(command) => engine(command).await,
        Command::Service(command) => service(command).await,
        Command::AddInstance(command) => add_instance(command).await,
        Command::Demo(command) => demo::run(command.items).await,
        Command::Load(command) => load::run(&command).await,
        Command::Bench(command) => bench::run(&command).await,
        Command::Slopes(command) => slopes::run(&command).await,
    }
}

/// Prints the listening address, which the starting process reads from standard output.
fn announce(address: SocketAddr) {
    println!("{}", serde_json::json!({ "listening": address }));
}

async fn terminated() -> Result<()> {
    signal(SignalKind::terminate())?.recv().await;
    Ok(())
}

async fn platform(command: PlatformCommand) -> Result<()> {
    let platform =
        PlatformStandin::new(command.fleet_lag_ms).with_weights_per_s(command.weights_per_s);
    let server = platform.serve(address(&command.address)?).await?;
    announce(server.address());
    terminated().await
}

async fn engine(command: EngineCommand) -> Result<()> {
    let at = address(&command.address)?;
    if command.step_us == 0 {
        let server = InstantEngine.serve(at).await?;
        return serve_engine(&command, &server).await;
    }
    let shape = EngineShape {
        slots: command.slots,
        step_us: command.step_us,
        step_per_request_us: command.step_per_request_us,
        max_waiting: command.max_waiting,
        ..EngineShape::default()
    };
    let fencing = match command.ignores_fencing {
        true => FencingCheck::Ignored,
        false => FencingCheck::Enforced,
    };
    let weights = address(&command.platform_address)?;
    let orders = EngineOrders::new(fencing, Some(weights));
    let engine = EngineStandin::new(shape).with_orders(orders);
    engine.set_faults(EngineFaults {
        crash_on: command.crash_on.clone(),
        crash_after_tokens: command.crash_after_tokens,
        ..EngineFaults::default()
    });
    let server = engine.serve(at).await?;
    tokio::select! {
        ended = serve_engine(&command, &server) => ended,
        () = engine.crashed() => std::process::exit(CRASH_STATUS),
    }
}

/// Adds the engine to the fleet list, prints its address and waits for SIGTERM.
async fn serve_engine(command: &EngineCommand, server: &Server) -> Result<()> {
    let (id, zone) = (&command.id, &command.availability_zone);
    let kind = BackendKind::Engine;
    let mut entry = backend(id, kind, server.address(), zone, &command.model)?;
    entry.software_version = SoftwareVersion::try_from(command.software_version.as_str())?;
    register(&command.platform_address, entry).await?;
    announce(server.address());
    terminated().await
}

async fn service(command: ServiceCommand) -> Result<()> {
    let service = ServiceStandin::default();
    let server = service.serve(address(&command.address)?).await?;
    let (id, zone) = (&command.id, &command.availability_zone);
    let kind = BackendKind::Service;
    let entry = backend(id, kind, server.address(), zone, &command.service)?;
    register(&command.platform_address, entry).await?;
    announce(server.address());
    terminated().await
}
