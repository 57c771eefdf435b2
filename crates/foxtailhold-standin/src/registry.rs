//! Adds processes to the fleet list of the platform stand-in.

use std::net::SocketAddr;

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::replicas::{Backend, BackendKind, FleetState};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold_http::client::{Call, HttpClient, Reuse};
use foxtailhold_platform::FleetInstance;
use http::Method;

use crate::cli::AddInstanceCommand;
use crate::error::{Result, StandinError};
use crate::platform::fleet::FleetChange;

/// Parses an address given on the command line.
pub fn address(text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| StandinError::Check {
        step: "command line",
        detail: format!("{text:?} is not an IP address with a port"),
    })
}

/// Applies a change to the fleet list of the platform stand-in at `platform`.
pub async fn change_fleet(platform: SocketAddr, change: &FleetChange) -> Result<()> {
    let path = "/standin/fleet";
    let call = Call::new(Method::POST, platform, path);
    let client = HttpClient::new(Reuse::Fresh);
    let (status, body) = client.call(&call, Some(change)).await?;
    if status.is_success() {
        return Ok(());
    }
    Err(StandinError::Status {
        address: platform,
        path: path.into(),
        status: status.as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Builds a fleet list entry of a live backend server that serves one target and states no software
/// version.
pub fn backend(
    id: &str,
    kind: BackendKind,
    address: SocketAddr,
    availability_zone: &str,
    target: &str,
) -> Result<Backend> {
    Ok(Backend {
        id: BackendId::try_from(id)?,
        kind,
        address,
        availability_zone: AvailabilityZone::try_from(availability_zone)?,
        state: FleetState::Live,
        targets: vec![TargetName::try_from(target)?],
        software_version: SoftwareVersion::default(),
    })
}

/// Adds a backend server to the fleet list of the platform stand-in at `platform`.
pub async fn register(platform: &str, backend: Backend) -> Result<()> {
    let change = FleetChange {
        backends: vec![backend],
        ..FleetChange::default()
    };
    change_fleet(address(platform)?, &change).await
}

/// Runs the `add-instance` command, which adds a live instance to the fleet list.
pub async fn add_instance(command: AddInstanceCommand) -> Result<()> {
    let instance = FleetInstance {
        id: InstanceId::try_from(command.id.as_str())?,
        peer_address: address(&command.peer_address)?,
        state: FleetState::Live,
    };
    let change = FleetChange {
        instances: vec![instance],
        ..FleetChange::default()
    };
    change_fleet(address(&command.platform_address)?, &change).await
}
