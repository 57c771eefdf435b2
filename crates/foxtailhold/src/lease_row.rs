//! The stored form of a lease in the platform's table service.

use serde::{Deserialize, Serialize};

use crate::ids::InstanceId;

/// Row of a lease, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The instance that holds the lease.
    pub holder: InstanceId,
    /// Fencing number, raised whenever the lease is acquired anew.
    pub epoch: u64,
    /// Counter that each renewal raises.
    pub renewal: u64,
    /// Set by the holder that gives up the lease, or by the instance that takes over its work after
    /// the lease expired. The next lease has a higher epoch.
    pub ended: bool,
}
