//! What is sent in a run: the day of each deployment as short phases.

use foxtailhold::ids::IdError;
use thiserror::Error;

/// Result of reading a scenario's options.
pub type Result<T> = std::result::Result<T, ScenarioError>;

/// Why an option is not a scenario.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ScenarioError {
    /// No such deployment.
    #[error("there is no deployment {name:?}; known are granite-trail and huon-tracks")]
    Deployment {
        /// The name given.
        name: String,
    },
    /// No such policy.
    #[error("there is no batch policy {name:?}; known are off, today, steward and ordinary")]
    Policy {
        /// The name given.
        name: String,
    },
    /// An identifier is wrong.
    #[error(transparent)]
    Id(#[from] IdError),
}

/// What one deployment's callers send.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Name, which is the customer too.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Name of the burst phase.
    pub burst_name: &'static str,
    /// Requests a second in the quiet phase.
    pub quiet_per_s: f64,
    /// Requests a second in the burst.
    pub burst_per_s: f64,
    /// Requests a second at night.
    pub night_per_s: f64,
    /// Bytes of a prompt.
    pub prompt_bytes: usize,
    /// Tokens of an answer.
    pub answer_tokens: u64,
    /// Tokens of a batch item's answer.
    pub item_tokens: u64,
}

/// Granite Trail: lookups in the middle of a meeting, council reports at night.
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
    /// The workload of a deployment.
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

/// How batch is run beside online requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchPolicy {
    /// No batch is offered.
    Off,
    /// What the program does when nothing is set.
    Today,
    /// The steward of each replica decides.
    Steward,
    /// Batch items are sent as ordinary requests, with least-loaded routing.
    Ordinary,
}

impl BatchPolicy {
    /// Its name in options and reports.
    pub fn name(self) -> &'static str {
        match self {
            BatchPolicy::Off => "off",
            BatchPolicy::Today => "today",
            BatchPolicy::Steward => "steward",
            BatchPolicy::Ordinary => "ordinary",
        }
    }

    /// Value of the instances' setting; `None` leaves the default.
    pub fn setting(self) -> Option<&'static str> {
        match self {
            BatchPolicy::Today => None,
            _ => Some(self.name()),
        }
    }

    /// A list of policies separated by commas.
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
            BatchPolicy::Today,
            BatchPolicy::Steward,
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

/// What fails during a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One instance is killed; another one is started when the phase ends.
    InstanceKilled,
    /// One engine is stopped by a signal: it accepts connections and answers nothing.
    ReplicaFrozen,
    /// Table service and object store refuse every call.
    StoreDown,
    /// All processes of one availability zone are stopped by a signal.
    ZoneCut,
}

impl Fault {
    /// All of them, in the order of a run.
    pub const ALL: [Fault; 4] = [
        Fault::InstanceKilled,
        Fault::ReplicaFrozen,
        Fault::StoreDown,
        Fault::ZoneCut,
    ];

    /// Name of its phase.
    pub fn name(self) -> &'static str {
        match self {
            Fault::InstanceKilled => "instance killed",
            Fault::ReplicaFrozen => "replica frozen",
            Fault::StoreDown => "store down",
            Fault::ZoneCut => "zone cut",
        }
    }
}

/// A part of a run with one rate of arrivals.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Name.
    pub name: &'static str,
    /// Online requests a second.
    pub online_per_s: f64,
    /// How long it lasts.
    pub duration_ms: u64,
    /// What fails in it.
    pub fault: Option<Fault>,
}

/// The phases of a run.
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
