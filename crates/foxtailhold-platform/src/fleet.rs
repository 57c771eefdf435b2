//! The platform's list of live and leaving instances and backend servers. The list lags behind the
//! actual state.

use std::future::Future;
use std::net::SocketAddr;

use foxtailhold::ids::InstanceId;
use foxtailhold::replicas::{Backend, FleetState};
use serde::{Deserialize, Serialize};

use crate::error::Result;

/// One instance in the fleet list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetInstance {
    /// Instance identifier.
    pub id: InstanceId,
    /// Address where it accepts messages from other instances.
    pub peer_address: SocketAddr,
    /// Whether the instance is live or leaving.
    pub state: FleetState,
}

/// A copy of the fleet list, which may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Live and leaving instances.
    pub instances: Vec<FleetInstance>,
    /// Live and leaving backend servers.
    pub backends: Vec<Backend>,
}

/// The platform service that provides the fleet list.
pub trait FleetList: Clone + Send + Sync + 'static {
    /// Reads the current list.
    fn fleet(&self) -> impl Future<Output = Result<Fleet>> + Send;
}
