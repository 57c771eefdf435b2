//! Since when services have had no backend server.

use std::collections::HashMap;

use foxtailhold::ids::TargetName;
use foxtailhold::time::MonoMs;
use foxtailhold_http::lock::Mutex;

/// Services without a backend server, as requests for them have found.
#[derive(Debug, Default)]
pub struct ServiceAbsences(Mutex<HashMap<TargetName, MonoMs>>);

impl ServiceAbsences {
    /// Records that a service has a backend server.
    pub fn end(&self, service: &TargetName) {
        let mut since = self.0.lock();
        if !since.is_empty() {
            since.remove(service);
        }
    }

    /// Records that a service has no backend server. Returns for how long, in ms.
    pub fn observe(&self, service: &TargetName, now: MonoMs) -> u64 {
        let mut since = self.0.lock();
        now.since_ms(*since.entry(service.clone()).or_insert(now))
    }
}
