//! Choice of a backend server for one request.

use xxhash_rust::xxh3::xxh3_64;

use crate::breaker::Availability;
use crate::ids::{AvailabilityZone, BackendId};
use crate::replicas::{FleetState, ReplicaLoad};

/// A backend server that may serve the request, with its estimated load.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The backend server.
    pub id: &'a BackendId,
    /// Its availability zone.
    pub availability_zone: &'a AvailabilityZone,
    /// Hash of its identifier, from [`affinity_seed`].
    pub affinity_seed: u64,
    /// Whether it takes new work.
    pub state: FleetState,
    /// Its load.
    pub load: ReplicaLoad,
    /// Whether recent failures set it aside.
    pub availability: Availability,
    /// Whether a request suspected of crashes runs there alone of its kind.
    pub under_probe: bool,
    /// Mean time between events in µs; 0 where none was seen.
    pub gap_us: u64,
}

/// The backend servers of one model or service, read only where the policy looks.
pub trait Candidates {
    /// How many there are.
    fn len(&self) -> usize;

    /// Whether there is none.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// One of them.
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

/// What the choice may depend on.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// The instance's own availability zone.
    pub availability_zone: &'a AvailabilityZone,
    /// Hash of the prompt's prefix, for the engines' prefix caches.
    pub prefix_hash: u64,
    /// Backend servers already tried.
    pub tried: &'a [BackendId],
    /// A number drawn for this choice, to break ties evenly.
    pub draw: u64,
}

/// A way to choose.
pub trait RoutePolicy: Clone + Send + Sync + 'static {
    /// The index of the chosen candidate, `None` where none may be used.
    fn choose<C: Candidates>(&self, query: &RouteQuery<'_>, candidates: &C) -> Option<usize>;
}

fn is_allowed(query: &RouteQuery<'_>, candidate: &Candidate<'_>) -> bool {
    candidate.state == FleetState::Live && !query.tried.contains(candidate.id)
}

/// Fewest requests first, ties broken by the draw: the plain baseline.
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
                let set_aside = candidate.availability == Availability::Ejected;
                (set_aside, candidate.load.estimate())
            })
    }
}

/// Load over the mean that a replica may have and still get the requests of its prefixes.
const BOUND_PERCENT: u64 = 125;
/// A replica below this share of its slots keeps its prefixes whatever the mean is.
const IDLE_SHARE: u64 = 4;
/// Slots assumed where the load report has not come yet.
const DEFAULT_SLOTS: u32 = 16;
/// A replica whose events come this much slower than the mean is slow.
const SLOW_FACTOR: u64 = 4;
/// Gaps below this are never slow, in µs.
const SLOW_FLOOR_US: u64 = 50_000;
/// One choice in so many looks at slow replicas too, so that a recovered one is noticed.
const SLOW_TRY: u64 = 32;

/// Prefix affinity by rendezvous hashing, bounded by load (Mirrokni, Thorup and Zadimoghaddam,
/// 2018) over two homes; above their bounds the less loaded of two drawn (Mitzenmacher, 2001), the own availability
/// zone first.
#[derive(Debug, Clone, Copy, Default)]
pub struct BoundedAffinity;

/// Hash of a backend server's identifier, for [`Candidate::affinity_seed`].
pub fn affinity_seed(id: &BackendId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
fn mixed(value: u64) -> u64 {
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
struct Fleet {
    requests: u64,
    slots: u64,
    gap_sum_us: u64,
    gap_count: u64,
}

impl Fleet {
    fn of<C: Candidates>(query: &RouteQuery<'_>, candidates: &C) -> Self {
        let mut fleet = Fleet::default();
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

    /// Requests that a replica may have and still get more by affinity.
    fn bound(&self, candidate: &Candidate<'_>) -> u64 {
        let own = slots(candidate);
        let share = (self.requests + 1) * own * BOUND_PERCENT;
        let bound = share.div_ceil(self.slots.max(1) * 100);
        bound.max(own / IDLE_SHARE)
    }

    fn is_below(&self, candidate: &Candidate<'_>) -> bool {
        u64::from(candidate.load.estimate()) < self.bound(candidate)
    }
}

impl BoundedAffinity {
    fn is_sound(query: &RouteQuery<'_>, fleet: &Fleet, candidate: &Candidate<'_>) -> bool {
        let looks_at_slow = query.draw.is_multiple_of(SLOW_TRY);
        is_allowed(query, candidate)
            && candidate.availability != Availability::Ejected
            && !candidate.under_probe
            && (looks_at_slow || !fleet.is_slow(candidate))
    }

    /// The two candidates of highest weight for the prefix. Every instance names the same ones, so
    /// that copies of one request meet at few backend servers whatever instance they come through.
    fn homes<C: Candidates>(
        query: &RouteQuery<'_>,
        fleet: &Fleet,
        candidates: &C,
    ) -> [Option<usize>; 2] {
        let mut best: [Option<(u64, usize)>; 2] = [None, None];
        for index in 0..candidates.len() {
            let candidate = candidates.get(index);
            if !Self::is_sound(query, fleet, &candidate) {
                continue;
            }
            let weight = mixed(candidate.affinity_seed ^ query.prefix_hash);
            let place = Some((weight, index));
            let is_above = |best: Option<(u64, usize)>| best.is_none_or(|(of, _)| weight > of);
            if is_above(best[0]) {
                best = [place, best[0]];
            } else if is_above(best[1]) {
                best[1] = place;
            }
        }
        best.map(|home| home.map(|(_, index)| index))
    }

    /// The first sound candidate below its bound from `start` on.
    fn drawn<C: Candidates>(
        query: &RouteQuery<'_>,
        fleet: &Fleet,
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
            if Self::is_sound(query, fleet, &candidate) && fleet.is_below(&candidate) {
                return Some(index);
            }
        }
        None
    }

    fn spilled<C: Candidates>(
        query: &RouteQuery<'_>,
        fleet: &Fleet,
        candidates: &C,
    ) -> Option<usize> {
        for in_zone in [true, false] {
            let first = Self::drawn(query, fleet, candidates, query.draw >> 32, in_zone);
            let second = Self::drawn(query, fleet, candidates, mixed(query.draw), in_zone);
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

    /// The best of what is left: sound ones over slow ones and those on trial, those set aside last.
    fn last_resort<C: Candidates>(
        query: &RouteQuery<'_>,
        fleet: &Fleet,
        candidates: &C,
    ) -> Option<usize> {
        let count = candidates.len();
        (0..count)
            .map(|step| (step + (query.draw >> 32) as usize % count) % count)
            .filter(|index| is_allowed(query, &candidates.get(*index)))
            .min_by_key(|index| {
                let candidate = candidates.get(*index);
                let set_aside = candidate.availability == Availability::Ejected;
                let slow = fleet.is_slow(&candidate);
                let load = u64::from(candidate.load.estimate()) * 1_000 / slots(&candidate);
                (set_aside, candidate.under_probe, slow, load)
            })
    }
}

impl RoutePolicy for BoundedAffinity {
    fn choose<C: Candidates>(&self, query: &RouteQuery<'_>, candidates: &C) -> Option<usize> {
        let fleet = Fleet::of(query, candidates);
        for home in Self::homes(query, &fleet, candidates) {
            let is_below = |index: usize| fleet.is_below(&candidates.get(index));
            if home.is_some_and(is_below) {
                return home;
            }
        }
        Self::spilled(query, &fleet, candidates)
            .or_else(|| Self::last_resort(query, &fleet, candidates))
    }
}
