//! The live instances at one moment.

use std::collections::HashSet;

use foxtailhold::ids::InstanceId;
use foxtailhold::time::MonoMs;

use crate::peers::message::InstanceHash;

/// The live instances at one moment, for several questions about that moment.
#[derive(Debug)]
pub struct LiveView {
    pub(super) now: MonoMs,
    pub(super) live: HashSet<InstanceHash>,
    pub(super) hears_others: bool,
}

impl LiveView {
    /// Whether another instance is alive.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.live.contains(&InstanceHash::from(instance))
    }

    /// Whether this instance hears from any other.
    pub fn hears_others(&self) -> bool {
        self.hears_others
    }
}
