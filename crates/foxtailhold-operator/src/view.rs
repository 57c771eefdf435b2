//! What operators are shown.

use std::net::SocketAddr;

use foxtailhold::contract::Contract;
use foxtailhold::ids::{AvailabilityZone, BackendId, CustomerId, InstanceId, JobId, TargetName};
use foxtailhold::membership::MemberState;
use foxtailhold::orders::EngineSetup;
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::timeline::TimelineEntry;
use serde::{Deserialize, Serialize};

/// A contract with its version. Of API keys the start of the digest is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractView {
    /// The customer.
    pub customer: CustomerId,
    /// Its version.
    pub version: u64,
    /// Number of the change that set it.
    pub number: u64,
    /// The contract.
    pub contract: Contract,
}

impl ContractView {
    /// The same view with API keys masked.
    pub fn masked(mut self) -> Self {
        for key in &mut self.contract.api_keys {
            *key = key.masked();
        }
        self
    }
}

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The customer.
    pub customer: CustomerId,
    /// The version now in force.
    pub version: u64,
    /// Number of the change.
    pub number: u64,
}

/// One instance as the asked one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// The instance.
    pub instance: InstanceId,
    /// Its state.
    pub state: MemberState,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Where it takes requests of callers.
    pub caller_address: SocketAddr,
    /// Where it takes operator calls.
    pub operator_address: SocketAddr,
}

/// What the asked instance says of itself and of the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesView {
    /// The instance that answers.
    pub me: InstanceId,
    /// Number of the last contract change in force here.
    pub contracts_number: u64,
    /// All instances it knows, itself first.
    pub instances: Vec<InstanceView>,
}

/// One backend server as the asked instance sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendView {
    /// The backend server.
    pub backend: BackendId,
    /// Engine or service.
    pub kind: BackendKind,
    /// Live or leaving.
    pub state: FleetState,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Its address.
    pub address: SocketAddr,
    /// What it serves.
    pub targets: Vec<TargetName>,
    /// Requests it reported as running.
    pub running: u32,
    /// Requests it reported as waiting.
    pub waiting: u32,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Whether failures set it aside.
    pub set_aside: bool,
}

/// One batch job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// Whose.
    pub customer: CustomerId,
    /// Its status.
    pub status: String,
    /// Items.
    pub items: u64,
    /// Chunks finished.
    pub chunks_done: u32,
    /// Chunks in all.
    pub chunks: u32,
    /// The instance that runs it.
    pub owner: Option<InstanceId>,
    /// When it must be finished, Unix milliseconds.
    pub deadline_wall_ms: u64,
}

/// Recent events of one instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TimelineView {
    /// Events, oldest first.
    pub entries: Vec<TimelineEntry>,
    /// Events dropped because the buffer was full.
    pub dropped: u64,
}

/// Whether an instance should get requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it should.
    pub ready: bool,
    /// Why not.
    pub reasons: Vec<String>,
}

/// The wanted state of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderView {
    /// The engine.
    pub backend: BackendId,
    /// Version of the wanted state.
    pub version: u64,
    /// The wanted state.
    pub setup: EngineSetup,
}
