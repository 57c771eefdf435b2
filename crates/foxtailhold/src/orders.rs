//! Orders to engines: load a model with its adapters and version, or change the role.
//!
//! Operators write the desired setup of an engine as a row. One instance at a time, the issuer,
//! holds a lease on the engine, reads the engine's state and sends orders until the desired setup
//! is in effect. An order states the complete setup and is idempotent.
//!
//! Each fencing number is acquired in a transaction that also checks the version of the row with
//! the desired setup. A higher fencing number therefore never belongs to an older desired setup.

pub mod issuer;

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, IdError, TargetName};

pub use issuer::{IssuerAction, LeaseWrite, OrderIssuer};

/// Assumed maximum time from the issuer's last check of its lease until the order has reached the
/// engine or is lost. The deployment has to meet it for engines that ignore fencing numbers.
pub const MAX_ORDER_DELAY_MS: u64 = 5_000;
/// Poll interval for an engine whose desired setup is not in effect.
pub const POLL_PERIOD_MS: u64 = 1_000;
/// Poll interval for an engine whose desired setup is in effect.
pub const SETTLED_POLL_PERIOD_MS: u64 = 5_000;
/// Delay after a failed order, read or lease write.
pub const RETRY_DELAY_MS: u64 = 1_000;

/// Kind of work that an engine serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Online and batch requests.
    #[default]
    Mixed,
    /// Online requests only.
    Online,
    /// Batch items only.
    Batch,
}

/// Model, adapters and role of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineSetup {
    /// Name of the model.
    pub model: TargetName,
    /// Version of the model's weights.
    pub version: String,
    /// Adapters, in the order in which they are applied to the model.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Kind of work that the engine serves.
    #[serde(default)]
    pub role: Role,
}

/// An order to an engine, sent as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the issuer's lease.
    pub fencing: u64,
    /// The setup that the engine has to reach.
    pub setup: EngineSetup,
}

/// State that an engine reports, as JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing number of the accepted orders; 0 if the engine ignores fencing numbers.
    #[serde(default)]
    pub fencing: u64,
    /// Setup that is in effect; absent if nothing is loaded.
    pub in_effect: Option<EngineSetup>,
    /// Setup that is being loaded, if any.
    pub loading: Option<EngineSetup>,
}

/// Whether an engine rejects orders with an outdated fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FencingCheck {
    /// The engine rejects them.
    Enforced,
    /// The engine ignores fencing numbers.
    Ignored,
}

/// Desired setup of an engine with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredSetup {
    /// Version of the row, which each change raises.
    pub version: u64,
    /// The setup that the operator asked for.
    pub setup: EngineSetup,
}

impl Order {
    /// Whether an engine in the state `engine` has to reject this order because it has accepted an
    /// order with a higher fencing number.
    pub fn is_stale(&self, engine: &EngineState) -> bool {
        self.fencing < engine.fencing
    }
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Taken,
    /// The engine rejected the fencing number.
    Refused,
    /// The order was not sent.
    NotSent,
    /// The response was lost. The order may take effect until [`MAX_ORDER_DELAY_MS`] have passed.
    Unknown,
}

/// Outcome of a write of the lease row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWriteOutcome {
    /// The write took effect.
    Committed,
    /// The write had no effect, because a precondition failed or the store refused it.
    Failed,
    /// The response was lost: the write may have taken effect, or may still.
    Unknown,
}

/// The set of engines that reject orders with an outdated fencing number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FencingEngines {
    /// All engines.
    All,
    /// Only these engines; none if the set is empty.
    Listed(BTreeSet<BackendId>),
}

impl FencingEngines {
    /// Whether the engine `backend` checks fencing numbers.
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

    /// Parses `all`, `none` or a comma-separated list of backend server identifiers.
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
