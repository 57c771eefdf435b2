//! Selection of a backend server for one request.

use xxhash_rust::xxh3::xxh3_64;

use crate::breaker::Availability;
use crate::ids::{AvailabilityZone, BackendId};
use crate::replicas::{FleetState, ReplicaLoad};

/// A backend server that may serve the request, with its estimated load.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Identifies the backend server.
    pub id: &'a BackendId,
    /// Availability zone of the backend server.
    pub availability_zone: &'a AvailabilityZone,
    /// Hash of the identifier, from [`affinity_seed`].
    pub affinity_seed: u64,
    /// Whether the fleet list calls it live or leaving; only a live one gets new work.
    pub state: FleetState,
    /// Load as estimated by this instance.
    pub load: ReplicaLoad,
    /// Whether recent failures have ejected it.
    pub availability: Availability,
    /// Whether a request suspected of crashes is being probed there.
    pub under_probe: bool,
    /// Mean time between events in µs; 0 if none was seen.
    pub gap_us: u64,
}

/// The backend servers of one model or service. Entries are built only where the policy reads them.
pub trait Candidates {
    /// Number of candidates.
    fn len(&self) -> usize;

    /// Whether there is no candidate.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The candidate at `index`.
    fn get(&self, index: usize) -> Candidate<'_>;
}

impl Candidates for Vec<Candidate<'_>> {
    fn len(&self) -> usize {
        self.as_slice().len()
    }

    fn get(&self, index: usize) -> Candidate<'_> {
        self[index]
    }
}

/// Properties of a request that a policy may use.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Availability zone of this instance.
    pub availability_zone: &'a AvailabilityZone,
    /// Hash of the prompt's prefix, for the engines' prefix caches.
    pub prefix_hash: u64,
    /// Backend servers that this request was already sent to.
    pub tried: &'a [BackendId],
    /// A random number that breaks ties evenly.
    pub draw: u64,
}

/// A policy that selects a backend server.
pub trait RoutePolicy: Clone + Send + Sync + 'static {
    /// The index of the selected candidate; `None` if none may be used.
    fn choose<C: Candidates>(&self, query: &RouteQuery<'_>, candidates: &C) -> Option<usize>;
}

fn is_allowed(query: &RouteQuery<'_>, candidate: &Candidate<'_>) -> bool {
    candidate.state == FleetState::Live && !query.tried.contains(candidate.id)
}

/// Baseline policy: the candidate with the fewest requests, ties broken at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl RoutePolicy for LeastLoaded {
    fn choose<C: Candidates>(&self, query: &RouteQuery<'_>, candidates: &C) -> Option<usize> {
        let count = candidates.len();
        (0..count)
            .map(|step| (step + query.draw as usize % count.max(1)) % count)
            .filter(|index| is_allowed(query, &candidates.get(*index)))
            .min_by_key(|index| {
                let candidate = candidates.get(*index);
                let is_ejected = candidate.availability == Availability::Ejected;
                (is_ejected, candidate.load.estimate())
            })
    }
}

/// Load relative to the mean, in percent, up to which a backend server still gets the requests of
/// its prefixes.
const LOAD_BOUND_PERCENT: u64 = 125;
/// A backend server below one slot in this many keeps its prefixes whatever the mean load is.
const IDLE_DIVISOR: u64 = 4;
/// Slots assumed until the first load report.
const DEFAULT_SLOTS: u32 = 16;
/// A backend server is slow if its gap between events exceeds the mean by this factor.
const SLOW_FACTOR: u64 = 4;
/// Gaps below this are never slow.
const SLOW_FLOOR_US: u64 = 50_000;
/// One selection in this many also considers slow backend servers, so that a recovered one is
/// noticed.
const SLOW_RETRY_INTERVAL: u64 = 32;

/// Prefix affinity by rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
/// 2018) over two preferred candidates. If both exceed their bounds, the less loaded of two random
/// candidates (Mitzenmacher, 2001), first in the own availability zone.
#[derive(Debug, Clone, Copy, Default)]
pub struct BoundedAffinity;

/// Hash of a backend server's identifier, for [`Candidate::affinity_seed`].
pub fn affinity_seed(id: &BackendId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn slots(candidate: &Candidate<'_>) -> u64 {
    match candidate.load.report.slots {
        0 => u64::from(DEFAULT_SLOTS),
        slots => u64::from(slots),
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct FleetLoad {
    requests: u64,
    slots: u64,
    gap_sum_us: u64,
    gap_count: u64,
}

impl FleetLoad {
    fn measure<C: Candidates>(query: &RouteQuery<'_>, candidates: &C) -> Self {
        let mut fleet = FleetLoad::default();
        for index in 0..candidates.len() {
            let candidate = candidates.get(index);
            if !is_allowed(query, &candidate) || candidate.availability != Availability::Available {
                continue;
            }
            fleet.requests += u64::from(candidate.load.estimate());
            fleet.slots += slots(&candidate);
            fleet.gap_sum_us += candidate.gap_us;
            fleet.gap_count += u64::from(candidate.gap_us > 0);
        }
        fleet
    }

    fn is_slow(&self, candidate: &Candidate<'_>) -> bool {
        let mean_us = self.gap_sum_us / self.gap_count.max(1);
        candidate.gap_us > SLOW_FLOOR_US.max(mean_us * SLOW_FACTOR)
    }

    /// Number of requests up to which a backend server still gets more by affinity.
    fn bound(&self, candidate: &Candidate<'_>) -> u64 {
        let own = slots(candidate);
        let share = (self.requests + 1) * own * LOAD_BOUND_PERCENT;
        let bound = share.div_ceil(self.slots.max(1) * 100);
        bound.max(own / IDLE_DIVISOR)
    }

    fn is_below(&self, candidate: &Candidate<'_>) -> bool {
        u64::from(candidate.load.estimate()) < self.bound(candidate)
    }
}

impl BoundedAffinity {
    fn is_healthy(query: &RouteQuery<'_>, fleet: &FleetLoad, candidate: &Candidate<'_>) -> bool {
        let includes_slow = query.draw.is_multiple_of(SLOW_RETRY_INTERVAL);
        is_allowed(query, candidate)
            && candidate.availability != Availability::Ejected
            && !candidate.under_probe
            && (includes_slow || !fleet.is_slow(candidate))
    }

    /// The two candidates with the highest weight for the prefix. Every instance computes the same
    /// ones, so that copies of one request reach few backend servers whichever instance they come
    /// through.
    fn preferred<C: Candidates>(
        query: &RouteQuery<'_>,
        fleet: &FleetLoad,
        candidates: &C,
    ) -> [Option<usize>; 2] {
        let mut best: [Option<(u64, usize)>; 2] = [None, None];
        for index in 0..candidates.len() {
            let candidate = candidates.get(index);
            if !Self::is_healthy(query, fleet, &candidate) {
                continue;
            }
            let weight = mix(candidate.affinity_seed ^ query.prefix_hash);
            let entry = Some((weight, index));
            let is_above =
                |best: Option<(u64, usize)>| best.is_none_or(|(other, _)| weight > other);
            if is_above(best[0]) {
                best = [entry, best[0]];
            } else if is_above(best[1]) {
                best[1] = entry;
            }
        }
        best.map(|candidate_index| candidate_index.map(|(_, index)| index))
    }

    /// The first healthy candidate below its bound, searched cyclically from `start`.
    fn first_below_bound<C: Candidates>(
        query: &RouteQuery<'_>,
        fleet: &FleetLoad,
        candidates: &C,
        start: u64,
        in_zone: bool,
    ) -> Option<usize> {
        let count = candidates.len();
        for step in 0..count {
            let index = (step + start as usize % count) % count;
            let candidate = candidates.get(index);
            if in_zone && candidate.availability_zone != query.availability_zone {
                continue;
            }
            if Self::is_healthy(query, fleet, &candidate) && fleet.is_below(&candidate) {
                return Some(index);
            }
        }
        None
    }

    fn spill<C: Candidates>(
        query: &RouteQuery<'_>,
        fleet: &FleetLoad,
        candidates: &C,
    ) -> Option<usize> {
        for in_zone in [true, false] {
            let first =
                Self::first_below_bound(query, fleet, candidates, query.draw >> 32, in_zone);
            let second =
                Self::first_below_bound(query, fleet, candidates, mix(query.draw), in_zone);
            let (Some(first), Some(second)) = (first, second) else {
                continue;
            };
            let load = |index: usize| candidates.get(index).load.estimate();
            return Some(if load(first) <= load(second) {
                first
            } else {
                second
            });
        }
        None
    }

    /// The best remaining candidate: healthy ones before slow ones, then those under probe, ejected
    /// ones last.
    fn last_resort<C: Candidates>(
        query: &RouteQuery<'_>,
        fleet: &FleetLoad,
        candidates: &C,
    ) -> Option<usize> {
        let count = candidates.len();
        (0..count)
            .map(|step| (step + (query.draw >> 32) as usize % count) % count)
            .filter(|index| is_allowed(query, &candidates.get(*index)))
            .min_by_key(|index| {
                let candidate = candidates.get(*index);
                let is_ejected = candidate.availability == Availability::Ejected;
                let is_slow = fleet.is_slow(&candidate);
                let load = u64::from(candidate.load.estimate()) * 1_000 / slots(&candidate);
                (is_ejected, candidate.under_probe, is_slow, load)
            })
    }
}

impl RoutePolicy for BoundedAffinity {
    fn choose<C: Candidates>(&self, query: &RouteQuery<'_>, candidates: &C) -> Option<usize> {
        let fleet = FleetLoad::measure(query, candidates);
        for candidate_index in Self::preferred(query, &fleet, candidates) {
            let is_below = |index: usize| fleet.is_below(&candidates.get(index));
            if candidate_index.is_some_and(is_below) {
                return candidate_index;
            }
        }
        Self::spill(query, &fleet, candidates)
            .or_else(|| Self::last_resort(query, &fleet, candidates))
    }
}
