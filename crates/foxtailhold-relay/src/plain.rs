//! Choice among backend servers of a plain service: the less loaded of all, by what this instance
//! has in flight and what answers told.

use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::ids::{AvailabilityZone, BackendId};
use foxtailhold::slots::{BackendHealth, SlotOutcome};
use foxtailhold::time::MonoMs;
use parking_lot::Mutex;

use crate::dialect::ReportedLoad;
use crate::fleet::BackendServer;

/// A told load counts for this time: load changes within a few requests' time.
const TOLD_LOAD_MS: u64 = 200;

/// Order of choice: not tried, has room, less busy, own availability zone.
type Rank = (bool, bool, u32, bool);

#[derive(Debug, Default)]
struct Known {
    in_flight: u32,
    told: Option<(MonoMs, ReportedLoad)>,
    trouble: BackendHealth,
}

/// What is known of plain backend servers.
#[derive(Debug, Clone, Default)]
pub struct PlainLoads {
    known: Arc<Mutex<HashMap<BackendId, Known>>>,
}

impl PlainLoads {
    /// Chooses one that was not tried, and counts the request there.
    pub fn choose(
        &self,
        now: MonoMs,
        all: &[Arc<BackendServer>],
        tried: &[BackendId],
        own_zone: &AvailabilityZone,
        draw: u64,
    ) -> Option<Arc<BackendServer>> {
        let mut known = self.known.lock();
        let count = all.len();
        let mut best: Option<(Rank, &Arc<BackendServer>)> = None;
        for step in 0..count {
            let backend = &all[(step + draw as usize % count) % count];
            let seen = known.entry(backend.id.clone()).or_default();
            let limit = seen.trouble.limit(now, backend.slots);
            let told = seen.told.filter(|(at, _)| now.since_ms(*at) < TOLD_LOAD_MS);
            let told_busy = told.map_or(0, |(_, load)| load.running + load.waiting);
            let busy = seen.in_flight.max(told_busy);
            let rank = (
                tried.contains(&backend.id),
                busy >= limit.max(1) || limit == 0,
                busy,
                backend.zone != *own_zone,
            );
            if best.is_none_or(|(known, _)| rank < known) {
                best = Some((rank, backend));
            }
        }
        let (_, backend) = best?;
        known.entry(backend.id.clone()).or_default().in_flight += 1;
        Some(Arc::clone(backend))
    }

    /// Notes the load that an answer told.
    pub fn told(&self, now: MonoMs, id: &BackendId, load: ReportedLoad) {
        self.known.lock().entry(id.clone()).or_default().told = Some((now, load));
    }

    /// Notes the end of a request.
    pub fn done(&self, now: MonoMs, id: &BackendId, outcome: SlotOutcome, draw: u64) {
        let mut known = self.known.lock();
        let seen = known.entry(id.clone()).or_default();
        seen.in_flight = seen.in_flight.saturating_sub(1);
        seen.trouble.note(now, outcome, draw);
    }

    /// Forgets backend servers that are gone.
    pub fn keep_only(&self, is_known: impl Fn(&BackendId) -> bool) {
        self.known
            .lock()
            .retain(|id, known| known.in_flight > 0 || is_known(id));
    }
}
