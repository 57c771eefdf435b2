//! An instance's lease as the platform's table keeps it.

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// The row's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds it.
    pub holder: InstanceId,
    /// Fencing number, raised each time the holder starts anew.
    pub epoch: u64,
    /// Raised by each renewal.
    pub renewal: u64,
    /// Set by the instance that took over: the holder has to start anew with a higher epoch.
    pub ended: bool,
}
