//! A fleet list whose readers see changes after a delay.

use std::collections::VecDeque;

use foxtailhold::replicas::Backend;
use foxtailhold_platform::{Fleet, FleetInstance};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A change of the fleet list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetChange {
    /// Instances to add, or to replace by identifier.
    pub instances: Vec<FleetInstance>,
    /// Backend servers to add, or to replace by identifier.
    pub backends: Vec<Backend>,
    /// Identifiers of instances and backend servers to remove.
    pub removed: Vec<String>,
}

/// The fleet list with its earlier versions, so that readers see it as it was `lag_ms` ago.
#[derive(Debug)]
pub struct LaggingFleet {
    lag_ms: u64,
    history: VecDeque<(Instant, Fleet)>,
    current: Fleet,
}

impl LaggingFleet {
    /// Creates an empty list.
    pub fn new(lag_ms: u64) -> Self {
        LaggingFleet {
            lag_ms,
            history: VecDeque::new(),
            current: Fleet::default(),
        }
    }

    /// Applies a change; readers see it after the lag.
    pub fn change(&mut self, change: FleetChange) {
        for instance in change.instances {
            self.current
                .instances
                .retain(|entry| entry.id != instance.id);
            self.current.instances.push(instance);
        }
        for backend in change.backends {
            self.current.backends.retain(|entry| entry.id != backend.id);
            self.current.backends.push(backend);
        }
        let is_removed = |id: &str| change.removed.iter().any(|removed| removed == id);
        self.current
            .instances
            .retain(|entry| !is_removed(entry.id.as_str()));
        self.current
            .backends
            .retain(|entry| !is_removed(entry.id.as_str()));
        self.current.instances.sort_by(|a, b| a.id.cmp(&b.id));
        self.current.backends.sort_by(|a, b| a.id.cmp(&b.id));
        self.history
            .push_back((Instant::now(), self.current.clone()));
    }

    /// Returns the list as it was `lag_ms` ago; empty before the first change is that old.
    pub fn visible(&mut self) -> Fleet {
        let lag = std::time::Duration::from_millis(self.lag_ms);
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| at.elapsed() >= lag)
        {
            self.history.pop_front();
        }
        match self.history.front() {
            Some((at, fleet)) if at.elapsed() >= lag => fleet.clone(),
            _ => Fleet::default(),
        }
    }
}
