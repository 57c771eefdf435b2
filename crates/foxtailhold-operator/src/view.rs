//! JSON objects of the operator API.

use std::net::SocketAddr;

use foxtailhold::contract::Contract;
use foxtailhold::ids::{AvailabilityZone, BackendId, CustomerId, InstanceId, JobId, TargetName};
use foxtailhold::membership::MemberState;
use foxtailhold::orders::EngineSetup;
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::timeline::TimelineEntry;
use serde::{Deserialize, Serialize};

/// A contract with its version. In answers, API keys are replaced by the start of their digest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractView {
    /// Customer that the contract belongs to.
    pub customer: CustomerId,
    /// Version of the contract.
    pub version: u64,
    /// Number of the contract change that set this version, counted over all customers.
    pub number: u64,
    /// Content of the contract.
    pub contract: Contract,
}

impl ContractView {
    /// Returns the view with masked API keys.
    pub fn masked(mut self) -> Self {
        for key in &mut self.contract.api_keys {
            *key = key.masked();
        }
        self
    }
}

/// An accepted contract change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Customer whose contract was changed.
    pub customer: CustomerId,
    /// Version of the contract after the change.
    pub version: u64,
    /// Number of the change, counted over all customers.
    pub number: u64,
}

/// An instance as seen by the instance that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// Instance identifier.
    pub instance: InstanceId,
    /// Membership state.
    pub state: MemberState,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Address where it accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Address of its operator API.
    pub operator_address: SocketAddr,
}

/// The instances known to the instance that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancesView {
    /// The instance that answers.
    pub me: InstanceId,
    /// Number of the last contract change in force at the instance that answers.
    pub contracts_number: u64,
    /// All known instances, starting with the one that answers.
    pub instances: Vec<InstanceView>,
}

/// A backend server as seen by the instance that answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendView {
    /// Backend server identifier.
    pub backend: BackendId,
    /// Whether it is an engine or a plain service.
    pub kind: BackendKind,
    /// Whether it is live or leaving.
    pub state: FleetState,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Address where it accepts requests.
    pub address: SocketAddr,
    /// Models or services that it serves.
    pub targets: Vec<TargetName>,
    /// Number of running requests in its last load report.
    pub running: u32,
    /// Number of waiting requests in its last load report.
    pub waiting: u32,
    /// Number of requests that the answering instance has in flight at it.
    pub in_flight: u32,
    /// Whether the breaker has ejected it because of failures.
    pub set_aside: bool,
}

/// A batch job that is not finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Job identifier.
    pub job: JobId,
    /// Customer that the job belongs to.
    pub customer: CustomerId,
    /// Status of the job.
    pub status: String,
    /// Total number of items.
    pub items: u64,
    /// Number of finished chunks.
    pub chunks_done: u32,
    /// Total number of chunks.
    pub chunks: u32,
    /// Instance that runs the job; `None` if it has no owner now.
    pub owner: Option<InstanceId>,
    /// Deadline in milliseconds since the Unix epoch.
    pub deadline_wall_ms: u64,
}

/// Recent events of one instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TimelineView {
    /// Events, oldest first.
    pub entries: Vec<TimelineEntry>,
    /// Number of events dropped because the buffer was full.
    pub dropped: u64,
}

/// Readiness of an instance to receive requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the instance should receive requests.
    pub ready: bool,
    /// Why the instance is not ready; empty if it is ready.
    pub reasons: Vec<String>,
}

/// The desired state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderView {
    /// Backend server identifier of the engine.
    pub backend: BackendId,
    /// Version of the desired state.
    pub version: u64,
    /// Model, weights, adapters and role that the engine is to have.
    pub setup: EngineSetup,
}
