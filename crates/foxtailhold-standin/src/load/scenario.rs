//! Workloads, phases and faults of the load command. A deployment's day is condensed into short
//! phases.

use foxtailhold::ids::IdError;
use thiserror::Error;

/// Result of parsing the options of a scenario.
pub type Result<T> = std::result::Result<T, ScenarioError>;

/// Error in the options of a scenario.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ScenarioError {
    /// The name of the deployment is unknown.
    #[error("unknown deployment {name:?}; expected granite-trail or huon-tracks")]
    Deployment {
        /// The name given.
        name: String,
    },
    /// The name of the batch policy is unknown.
    #[error("unknown batch policy {name:?}; expected off, today, steward or ordinary")]
    Policy {
        /// The name given.
        name: String,
    },
    /// An identifier has an invalid format.
    #[error(transparent)]
    Id(#[from] IdError),
}

/// Requests that the callers of one deployment send.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Name of the deployment and of its only customer.
    pub name: &'static str,
    /// Availability zones of the deployment.
    pub zones: [&'static str; 3],
    /// Name of the phase with the highest rate.
    pub burst_name: &'static str,
    /// Rate of online requests in the quiet phase and in phases with a fault.
    pub quiet_per_s: f64,
    /// Rate of online requests in the burst phase.
    pub burst_per_s: f64,
    /// Rate of online requests at night, while batch jobs prevail.
    pub night_per_s: f64,
    /// Approximate length of a prompt.
    pub prompt_bytes: usize,
    /// Tokens of the answer to an online request.
    pub answer_tokens: u64,
    /// Tokens of the answer to a batch item.
    pub item_tokens: u64,
}

/// Granite Trail: lookups during meetings, council reports at night.
pub const GRANITE_TRAIL: Workload = Workload {
    name: "granite-trail",
    zones: ["concord-hall", "nashua-hall", "keene-hall"],
    burst_name: "meeting night",
    quiet_per_s: 20.0,
    burst_per_s: 80.0,
    night_per_s: 3.0,
    prompt_bytes: 600,
    answer_tokens: 40,
    item_tokens: 60,
};

/// Huon Tracks: questions and drafts by day, summaries of sessions at night.
pub const HUON_TRACKS: Workload = Workload {
    name: "huon-tracks",
    zones: ["hobart-a", "hobart-b", "hobart-c"],
    burst_name: "monday rush",
    quiet_per_s: 15.0,
    burst_per_s: 60.0,
    night_per_s: 2.0,
    prompt_bytes: 400,
    answer_tokens: 60,
    item_tokens: 80,
};

impl Workload {
    /// Returns the workload of the deployment `name`.
    pub fn named(name: &str) -> Result<Self> {
        for workload in [GRANITE_TRAIL, HUON_TRACKS] {
            if workload.name == name {
                return Ok(workload);
            }
        }
        let name = name.to_owned();
        Err(ScenarioError::Deployment { name })
    }
}

/// How batch items run beside online requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchPolicy {
    /// No batch jobs are submitted.
    Off,
    /// The instances' default policy; the setting is left unset.
    Unset,
    /// The batch controller of each engine limits its batch items.
    Controlled,
    /// Batch items are sent as ordinary requests, with least-loaded routing.
    Ordinary,
}

impl BatchPolicy {
    /// Returns the name in options and reports.
    pub fn name(self) -> &'static str {
        match self {
            BatchPolicy::Off => "off",
            BatchPolicy::Unset => "today",
            BatchPolicy::Controlled => "steward",
            BatchPolicy::Ordinary => "ordinary",
        }
    }

    /// Returns the value of the instances' setting; `None` leaves it unset.
    pub fn setting(self) -> Option<&'static str> {
        match self {
            BatchPolicy::Unset => None,
            _ => Some(self.name()),
        }
    }

    /// Parses a list of policies separated by commas.
    pub fn list(names: &str) -> Result<Vec<Self>> {
        let mut policies = Vec::new();
        for name in names.split(',') {
            policies.push(BatchPolicy::named(name)?);
        }
        Ok(policies)
    }

    fn named(name: &str) -> Result<Self> {
        let all = [
            BatchPolicy::Off,
            BatchPolicy::Unset,
            BatchPolicy::Controlled,
            BatchPolicy::Ordinary,
        ];
        for policy in all {
            if policy.name() == name {
                return Ok(policy);
            }
        }
        let name = name.to_owned();
        Err(ScenarioError::Policy { name })
    }
}

/// A fault that is injected during a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed; a new one is started when the phase ends.
    InstanceKilled,
    /// An engine is stopped by SIGSTOP: the kernel accepts connections, but nothing is answered.
    ReplicaFrozen,
    /// Table service and object store refuse every call with status 503.
    StoreDown,
    /// All backend servers and instances of an availability zone are stopped by SIGSTOP.
    ZoneCut,
}

impl Fault {
    /// All faults, in the order of their phases.
    pub const ALL: [Fault; 4] = [
        Fault::InstanceKilled,
        Fault::ReplicaFrozen,
        Fault::StoreDown,
        Fault::ZoneCut,
    ];

    /// Returns the name of the phase with this fault.
    pub fn name(self) -> &'static str {
        match self {
            Fault::InstanceKilled => "instance killed",
            Fault::ReplicaFrozen => "replica frozen",
            Fault::StoreDown => "store down",
            Fault::ZoneCut => "zone cut",
        }
    }
}

/// A part of a measurement with a constant rate of arrivals.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Name in reports.
    pub name: &'static str,
    /// Mean rate of online requests.
    pub online_per_s: f64,
    /// Time during which requests are sent.
    pub duration_ms: u64,
    /// Fault that lasts for the phase; `None` for a phase without a fault.
    pub fault: Option<Fault>,
}

/// Returns the phases of a round, each `phase_s` long, in order. Phases with faults come last.
pub fn phases(workload: &Workload, phase_s: u64, with_faults: bool) -> Vec<Phase> {
    let duration_ms = phase_s * 1_000;
    let mut phases = Vec::new();
    for (name, online_per_s) in [
        ("quiet", workload.quiet_per_s),
        (workload.burst_name, workload.burst_per_s),
        ("night batch", workload.night_per_s),
    ] {
        phases.push(Phase {
            name,
            online_per_s,
            duration_ms,
            fault: None,
        });
    }
    if !with_faults {
        return phases;
    }
    for fault in Fault::ALL {
        phases.push(Phase {
            name: fault.name(),
            online_per_s: workload.quiet_per_s,
            duration_ms,
            fault: Some(fault),
        });
    }
    phases
}
