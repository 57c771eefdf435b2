//! What one instance knows of each backend server: its entry in the fleet list, its last load
//! report, and the requests sent to it since that report.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZone, BackendId, TargetName};
use crate::software_version::SoftwareVersion;
use crate::time::MonoMs;

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// State of a backend server in the fleet list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetState {
    /// Accepts new work.
    Live,
    /// Is being removed and gets no new work.
    Leaving,
}

/// An entry of the fleet list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Identifies the backend server.
    pub id: BackendId,
    /// Whether it is a model engine or a plain service.
    pub kind: BackendKind,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone of the backend server.
    pub availability_zone: AvailabilityZone,
    /// Whether it is live or leaving.
    pub state: FleetState,
    /// Models or services that it serves.
    pub targets: Vec<TargetName>,
    /// Version of the software that it runs; empty if the entry states none.
    #[serde(default)]
    pub software_version: SoftwareVersion,
}

/// A load report of a backend server. It describes the past, by `age_ms`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that are admitted and waiting.
    pub waiting: u32,
    /// Largest number of requests in the running batch.
    pub slots: u32,
    /// Share of the KV cache in use, 0 to 1.
    pub kv_used: f64,
    /// Age of the report in ms when it was returned.
    pub age_ms: u64,
    /// Whether the server itself reports that it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// When its process started, in ms since the Unix epoch by its own clock; 0 if it does not say.
    /// A changed value means that the process was restarted.
    #[serde(default)]
    pub started_unix_ms: u64,
}

/// Load of one backend server as estimated by one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReplicaLoad {
    /// The last load report.
    pub report: LoadReport,
    /// When the report was received; `None` before the first.
    pub reported_at: Option<MonoMs>,
    /// Requests of this instance that were sent since the report was made and have not ended.
    pub sent_since_report: u32,
    /// Requests of this instance in flight.
    pub in_flight: u32,
}

impl ReplicaLoad {
    /// Estimated number of requests at the backend server.
    pub fn estimate(&self) -> u32 {
        let reported = self.report.running + self.report.waiting + self.sent_since_report;
        reported.max(self.in_flight)
    }
}
