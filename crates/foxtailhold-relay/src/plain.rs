//! Chooses the least loaded backend server of a plain service, by the requests that this instance
//! has in flight and the load stated in responses.

use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::ids::{AvailabilityZone, BackendId};
use foxtailhold::slots::{BackendHealth, SlotOutcome};
use foxtailhold::time::MonoMs;
use foxtailhold_http::lock::Mutex;

use crate::dialect::ReportedLoad;
use crate::fleet::BackendServer;

/// Time for which a reported load counts. Load changes within the duration of a few requests.
const REPORTED_LOAD_TTL_MS: u64 = 200;

/// Order of choice, lower first: already tried, no capacity, number of busy requests, other
/// availability zone.
type Rank = (bool, bool, u32, bool);

#[derive(Debug, Default)]
struct BackendLoad {
    in_flight: u32,
    reported: Option<(MonoMs, ReportedLoad)>,
    health: BackendHealth,
}

/// Load of the backend servers of plain services; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct PlainServiceLoads {
    loads: Arc<Mutex<HashMap<BackendId, BackendLoad>>>,
}

impl PlainServiceLoads {
    /// Chooses a backend server, preferably one not tried yet, and counts the request as in flight
    /// there. `random` varies the choice among equals.
    pub fn choose(
        &self,
        now: MonoMs,
        all: &[Arc<BackendServer>],
        tried: &[BackendId],
        own_zone: &AvailabilityZone,
        random: u64,
    ) -> Option<Arc<BackendServer>> {
        let mut loads = self.loads.lock();
        let count = all.len();
        let mut best: Option<(Rank, &Arc<BackendServer>)> = None;
        for step in 0..count {
            let backend = &all[(step + random as usize % count) % count];
            let load = loads.entry(backend.id.clone()).or_default();
            let limit = load.health.limit(now, backend.slots);
            let reported = load
                .reported
                .filter(|(at, _)| now.since_ms(*at) < REPORTED_LOAD_TTL_MS);
            let reported_busy = reported.map_or(0, |(_, load)| load.running + load.waiting);
            let busy = load.in_flight.max(reported_busy);
            let rank = (
                tried.contains(&backend.id),
                busy >= limit.max(1) || limit == 0,
                busy,
                backend.zone != *own_zone,
            );
            if best.is_none_or(|(best, _)| rank < best) {
                best = Some((rank, backend));
            }
        }
        let (_, backend) = best?;
        loads.entry(backend.id.clone()).or_default().in_flight += 1;
        Some(Arc::clone(backend))
    }

    /// Records the load stated in a response.
    pub fn record_load(&self, now: MonoMs, id: &BackendId, load: ReportedLoad) {
        self.loads.lock().entry(id.clone()).or_default().reported = Some((now, load));
    }

    /// Records the end of a request.
    pub fn record_end(&self, now: MonoMs, id: &BackendId, outcome: SlotOutcome, random: u64) {
        let mut loads = self.loads.lock();
        let load = loads.entry(id.clone()).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        load.health.note(now, outcome, random);
    }

    /// Drops backend servers that are no longer listed and have no request in flight.
    pub fn keep_only(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.loads
            .lock()
            .retain(|id, load| load.in_flight > 0 || is_known(id));
    }
}
