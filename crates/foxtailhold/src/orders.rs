//! Orders to engines: load a model, its adapters, a version, or change role.
//!
//! Operators write the wanted state of an engine as a row. One instance at a time, the giver, holds
//! a lease on the engine, looks at the engine's state and orders the wanted one until it is in
//! effect. Orders state the wanted end state and are idempotent.
//!
//! Each fencing number is taken in one transaction that also checks the version of the wanted
//! state's row, so a higher fencing number never stands for an older wanted state.

pub mod issuer;

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, IdError, TargetName};

pub use issuer::{IssuerAction, LeaseWrite, OrderIssuer};

/// Assumed of the deployment: an order has reached the engine or is lost this long after its giver
/// last checked its lease. It only matters for engines that ignore fencing numbers.
pub const LONGEST_FLIGHT_MS: u64 = 5_000;
/// An engine whose wanted state is not in effect is looked at this often.
pub const LOOK_PERIOD_MS: u64 = 1_000;
/// An engine whose wanted state is in effect is looked at this often.
pub const SETTLED_PERIOD_MS: u64 = 5_000;
/// Pause after an order or a look that failed.
pub const RETRY_MS: u64 = 1_000;

/// What an engine is used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Online and batch.
    #[default]
    Mixed,
    /// Online only.
    Online,
    /// Batch only.
    Batch,
}

/// What an engine has loaded and what it is used for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineSetup {
    /// Model.
    pub model: TargetName,
    /// Version of its weights.
    pub version: String,
    /// Adapters on top of the model, in order.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Role.
    #[serde(default)]
    pub role: Role,
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of its giver.
    pub fencing: u64,
    /// The wanted end state.
    pub setup: EngineSetup,
}

/// An engine's own report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The highest fencing number taken; 0 where the engine ignores them.
    #[serde(default)]
    pub fencing: u64,
    /// What is in effect.
    pub in_effect: Option<EngineSetup>,
    /// What is being loaded.
    pub loading: Option<EngineSetup>,
}

/// Whether an engine refuses an order with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FencingCheck {
    /// It refuses.
    Enforced,
    /// It ignores the number.
    Ignored,
}

/// The wanted state's row at some version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredSetup {
    /// Version of the row; it rises with each change.
    pub version: u64,
    /// The wanted state.
    pub setup: EngineSetup,
}

impl Order {
    /// Whether an engine that took `taken` before has to refuse this.
    pub fn is_stale(&self, taken: &EngineState) -> bool {
        self.fencing < taken.fencing
    }
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine took it.
    Taken,
    /// The engine refused its fencing number.
    Refused,
    /// It was not sent.
    NotSent,
    /// The answer was lost: it may take effect until the longest flight is over.
    Unknown,
}

/// What became of a write of the lease's row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWriteOutcome {
    /// It took effect.
    Committed,
    /// It had no effect: a row was not as expected, or the store refused.
    Failed,
    /// The answer was lost.
    Unknown,
}

/// Which engines refuse an order with an old fencing number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FencingEngines {
    /// All of them.
    All,
    /// Only these; none where the list is empty.
    Listed(BTreeSet<BackendId>),
}

impl FencingEngines {
    /// Whether `backend` checks.
    pub fn fencing_check(&self, backend: &BackendId) -> FencingCheck {
        match self {
            FencingEngines::All => FencingCheck::Enforced,
            FencingEngines::Listed(listed) if listed.contains(backend) => FencingCheck::Enforced,
            FencingEngines::Listed(_) => FencingCheck::Ignored,
        }
    }
}

impl TryFrom<&str> for FencingEngines {
    type Error = IdError;

    /// Reads `all`, `none` or identifiers with commas between them.
    fn try_from(text: &str) -> Result<Self, IdError> {
        match text {
            "all" => return Ok(FencingEngines::All),
            "none" => return Ok(FencingEngines::Listed(BTreeSet::new())),
            _ => {}
        }
        let mut listed = BTreeSet::new();
        for id in text.split(',') {
            listed.insert(BackendId::try_from(id.trim())?);
        }
        Ok(FencingEngines::Listed(listed))
    }
}
