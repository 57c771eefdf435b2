//! Selection of a backend server, the circuit breaker, the retry budget and the time limits of
//! silent engines. Guards against hot prefixes that overload a backend server and against requests
//! sent to backend servers that cannot serve them.

use foxtailhold::breaker::{Availability, BASE_MS, Breaker, MAX_MS, PROBE_TIMEOUT_MS};
use foxtailhold::ids::{AvailabilityZone, BackendId};
use foxtailhold::replicas::{FleetState, LoadReport, ReplicaLoad};
use foxtailhold::retry::{
    MAX_SAVED_RETRIES, MIN_RETRIES_PER_S, RETRIES_PER_FIRST_ATTEMPT, RetryBudget,
};
use foxtailhold::routing::{
    BoundedAffinity, Candidate, LeastLoaded, RoutePolicy, RouteQuery, affinity_seed,
};
use foxtailhold::stall::{self, EngineLatency, MAX_BOUND_MS, MIN_BOUND_MS};
use foxtailhold::time::MonoMs;
use test_case::test_case;

const ZONES: [&str; 3] = ["concord-hall", "nashua-hall", "keene-hall"];
const SLOTS: u32 = 16;

/// Identifiers and availability zones of nine backend servers.
struct Fleet {
    ids: Vec<BackendId>,
    zones: Vec<AvailabilityZone>,
}

impl Fleet {
    fn new() -> Self {
        let id = |index| BackendId::try_from(format!("engine-{index}").as_str()).unwrap();
        let zone = |index: usize| AvailabilityZone::try_from(ZONES[index % 3]).unwrap();
        Fleet {
            ids: (0..9).map(id).collect(),
            zones: (0..9).map(zone).collect(),
        }
    }

    fn candidates(&self, loads: [u32; 9]) -> Vec<Candidate<'_>> {
        let candidate = |index: usize| Candidate {
            id: &self.ids[index],
            availability_zone: &self.zones[index],
            affinity_seed: affinity_seed(&self.ids[index]),
            state: FleetState::Live,
            load: ReplicaLoad {
                report: LoadReport {
                    running: loads[index],
                    slots: SLOTS,
                    ..LoadReport::default()
                },
                ..ReplicaLoad::default()
            },
            availability: Availability::Available,
            under_probe: false,
            gap_us: 5_000,
        };
        (0..9).map(candidate).collect()
    }

    fn query(&self, zone: usize, prefix_hash: u64, draw: u64) -> RouteQuery<'_> {
        RouteQuery {
            availability_zone: &self.zones[zone],
            prefix_hash,
            tried: &[],
            draw,
        }
    }
}

fn draws() -> impl Iterator<Item = u64> {
    (1..200_u64).map(|number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

#[test]
fn same_prefix_goes_to_the_same_replica_from_all_zones() {
    let fleet = Fleet::new();
    let candidates = fleet.candidates([1; 9]);
    let mut used = [false; 9];
    for prefix in draws() {
        let preferred = BoundedAffinity.choose(&fleet.query(0, prefix, 1), &candidates);
        for (zone, draw) in [(1, 5), (2, 77)] {
            let query = fleet.query(zone, prefix, draw);
            assert_eq!(BoundedAffinity.choose(&query, &candidates), preferred);
        }
        used[preferred.unwrap()] = true;
    }
    assert_eq!(used, [true; 9], "prefixes spread over all replicas");
}

#[test]
fn hot_prefix_spills_over_two_preferred_replicas_to_all() {
    let fleet = Fleet::new();
    let mut loads = [0; 9];
    for draw in draws().take(108) {
        let query = fleet.query(0, 42, draw);
        let index = BoundedAffinity.choose(&query, &fleet.candidates(loads));
        loads[index.unwrap()] += 1;
    }
    let most = loads.iter().max().unwrap();
    assert!(
        *most <= 16,
        "an even share is 12 and the bound a quarter above it: {loads:?}"
    );
}

#[test]
fn spill_prefers_the_own_zone_below_the_bound() {
    let fleet = Fleet::new();
    let mut loads = [4; 9];
    let candidates = fleet.candidates(loads);
    let first = BoundedAffinity
        .choose(&fleet.query(0, 9, 1), &candidates)
        .unwrap();
    loads[first] = 16;
    let candidates = fleet.candidates(loads);
    let second = BoundedAffinity
        .choose(&fleet.query(0, 9, 1), &candidates)
        .unwrap();
    loads[second] = 16;
    let candidates = fleet.candidates(loads);
    for draw in draws() {
        let query = fleet.query(1, 9, draw);
        let index = BoundedAffinity.choose(&query, &candidates).unwrap();
        assert_eq!(fleet.zones[index], fleet.zones[1]);
        assert!(loads[index] == 4);
    }
}

#[test_case(|candidate| candidate.state = FleetState::Leaving ; "leaving")]
#[test_case(|candidate| candidate.availability = Availability::Ejected ; "ejected")]
#[test_case(|candidate| candidate.under_probe = true ; "under probe")]
fn unhealthy_replica_gets_no_request(make_unhealthy: fn(&mut Candidate<'_>)) {
    let fleet = Fleet::new();
    let mut candidates = fleet.candidates([1; 9]);
    make_unhealthy(&mut candidates[4]);
    for prefix in draws() {
        let chosen = BoundedAffinity.choose(&fleet.query(0, prefix, prefix), &candidates);
        assert_ne!(chosen, Some(4));
    }
}

#[test]
fn slow_replica_gets_few_requests_so_that_its_recovery_is_noticed() {
    let fleet = Fleet::new();
    let mut candidates = fleet.candidates([1; 9]);
    candidates[4].gap_us = 400_000;
    let mut slow = 0;
    for number in 0..3_200_u64 {
        let query = fleet.query(0, number.wrapping_mul(0x9e37_79b9_7f4a_7c15), number);
        let chosen = BoundedAffinity.choose(&query, &candidates);
        slow += u32::from(chosen == Some(4));
    }
    assert!(
        (1..60).contains(&slow),
        "{slow} of 3200, an even share is 355"
    );
}

#[test]
fn remaining_replicas_are_used_if_none_is_healthy() {
    let fleet = Fleet::new();
    let mut candidates = fleet.candidates([30; 9]);
    for candidate in &mut candidates {
        candidate.availability = Availability::Ejected;
    }
    candidates[3].load.report.running = 2;
    let chosen = BoundedAffinity.choose(&fleet.query(0, 7, 7), &candidates);
    assert_eq!(chosen, Some(3));
    let nothing: Vec<Candidate<'_>> = Vec::new();
    assert_eq!(
        BoundedAffinity.choose(&fleet.query(0, 7, 7), &nothing),
        None
    );
    assert_eq!(LeastLoaded.choose(&fleet.query(0, 7, 7), &nothing), None);
}

#[test]
fn tried_replica_is_not_chosen_again() {
    let fleet = Fleet::new();
    let candidates = fleet.candidates([1; 9]);
    for count in 1..9 {
        let mut query = fleet.query(0, 7, 7);
        query.tried = &fleet.ids[..count];
        let chosen = BoundedAffinity.choose(&query, &candidates).unwrap();
        assert!(chosen >= count);
    }
    let mut query = fleet.query(0, 7, 7);
    query.tried = &fleet.ids;
    assert_eq!(BoundedAffinity.choose(&query, &candidates), None);
}

#[test]
fn breaker_grows_with_jitter_and_lets_one_request_probe() {
    let mut breaker = Breaker::default();
    let mut now = MonoMs(1_000);
    let mut base_ms = BASE_MS;
    for draw in [0, 123_456_789, u64::MAX, 17, 3, 88, 1, 2] {
        breaker.failed(now, draw);
        let ejection_ms = breaker.blocked_until().since_ms(now);
        let range = base_ms / 2..base_ms * 3 / 2;
        assert!(range.contains(&ejection_ms), "{ejection_ms} of {base_ms}");
        assert_eq!(breaker.availability(now), Availability::Ejected);
        now = breaker.blocked_until();
        assert_eq!(breaker.availability(now), Availability::HalfOpen);
        breaker.sent(now);
        assert_eq!(breaker.availability(now), Availability::Ejected);
        assert_eq!(
            breaker.availability(now + PROBE_TIMEOUT_MS),
            Availability::HalfOpen
        );
        now = now + PROBE_TIMEOUT_MS;
        base_ms = (base_ms * 2).min(MAX_MS);
    }
    breaker.succeeded();
    assert_eq!(breaker.availability(now), Availability::Available);
}

#[test]
fn retries_are_a_share_of_first_attempts_with_a_floor() {
    let mut budget = RetryBudget::new(MonoMs(0));
    let mut spent = 0;
    while budget.try_retry(MonoMs(0)) {
        spent += 1;
    }
    assert_eq!(spent, MAX_SAVED_RETRIES as u32);
    let mut allowed = 0;
    for number in 0..10_000_u64 {
        budget.record_first_attempt();
        allowed += u32::from(budget.try_retry(MonoMs(number / 10)));
    }
    let most = 10_000.0 * RETRIES_PER_FIRST_ATTEMPT + MIN_RETRIES_PER_S + 1.0;
    assert!(
        f64::from(allowed) <= most,
        "{allowed} retries of 10000 attempts in 1 s"
    );
    assert!(
        f64::from(allowed) >= 10_000.0 * RETRIES_PER_FIRST_ATTEMPT - 1.0,
        "{allowed}"
    );
}

#[test]
fn time_limits_for_silent_engines_follow_load_and_latency() {
    let load = |running| ReplicaLoad {
        report: LoadReport {
            running,
            slots: SLOTS,
            ..LoadReport::default()
        },
        ..ReplicaLoad::default()
    };
    let latency = |gap_us, service_ms| EngineLatency { gap_us, service_ms };
    assert_eq!(stall::next_event_bound_ms(latency(5_000, 0)), MIN_BOUND_MS);
    assert_eq!(stall::next_event_bound_ms(latency(400_000, 0)), 10_000);
    assert_eq!(
        stall::next_event_bound_ms(latency(u64::MAX / 100, 0)),
        MAX_BOUND_MS
    );
    let idle = stall::first_event_bound_ms(&load(0), latency(5_000, 1_000), 100);
    let queued = stall::first_event_bound_ms(&load(64), latency(5_000, 1_000), 100);
    let long = stall::first_event_bound_ms(&load(0), latency(5_000, 1_000), 400_000);
    assert!(queued >= idle + 4_000 && long >= idle + 10_000 - 10);
    let short = stall::full_response_bound_ms(&load(0), latency(5_000, 1_000), 100, Some(10));
    let many = stall::full_response_bound_ms(&load(0), latency(5_000, 1_000), 100, Some(1_000));
    assert!(many >= short + 14_000);
    let huge = stall::full_response_bound_ms(&load(0), latency(5_000, 1_000), 100, Some(u64::MAX));
    assert_eq!(huge, MAX_BOUND_MS);
}
