//! Limits shared by several instances. Guards against a customer that cannot use its limit on the
//! instances it happens to reach, and against instances that admit more than the limit together
//! when the coordinator or the network fails.

mod common;

use common::shares::{INSTANCES, LIMITS, World};
use foxtailhold::limits::{CustomerLimits, LimitDecision, LimitKind, ShareHolder};
use foxtailhold::time::MonoMs;
use test_case::test_case;

#[test_case(&[0]; "one instance")]
#[test_case(&[3]; "another instance")]
#[test_case(&[0, 1]; "two instances")]
#[test_case(&[0, 1, 2, 3]; "all instances")]
fn a_demand_gets_nearly_the_whole_limit_wherever_it_comes(instances: &[usize]) {
    let mut world = World::new();
    world.flood(instances, 1_000);
    let admitted = world.flood(instances, 10_000);
    assert!(admitted >= 0.9 * 1_000.0, "{admitted} of 1000");
    assert!(admitted <= 1_000.0 + 40.0 + INSTANCES as f64, "{admitted}");
}

#[test]
fn a_demand_that_moves_takes_the_limit_along_within_about_a_second() {
    let mut world = World::new();
    world.flood(&[1], 3_000);
    world.flood(&[2], 1_200);
    let admitted = world.flood(&[2], 2_000);
    assert!(admitted >= 0.85 * 200.0, "{admitted} of 200");
}

#[test]
fn a_burst_of_an_idle_customer_is_admitted_at_once_on_any_instance() {
    for index in 0..INSTANCES {
        let mut world = World::new();
        world.delay_ms = 0;
        let admitted = world.request(index, 100);
        assert!(admitted >= 20, "{admitted} of a burst of 40");
    }
}

#[test]
fn without_a_coordinator_instances_admit_at_most_the_limit_once_more() {
    let mut world = World::new();
    let all = [0, 1, 2, 3];
    world.flood(&all, 3_000);
    let coordinator = world.coordinator_of(0);
    let others: Vec<usize> = all
        .into_iter()
        .filter(|index| *index != coordinator)
        .collect();
    world.kill(coordinator);
    let admitted = world.flood(&others, 10_000);
    let limit = 1_000.0 + LIMITS.burst_requests;
    assert!(
        admitted >= 0.6 * 1_000.0,
        "{admitted} without a coordinator"
    );
    assert!(admitted <= limit, "{admitted} without a coordinator");
}

#[test]
fn two_sides_of_a_partition_share_the_limit_by_their_instances() {
    let mut world = World::new();
    let all = [0, 1, 2, 3];
    world.flood(&all, 3_000);
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        world.partitions.insert((a, b));
    }
    for (index, side) in [(0, [0, 1]), (1, [0, 1]), (2, [2, 3]), (3, [2, 3])] {
        world.set_view(index, &side);
    }
    let first = world.flood(&all, 4_000);
    let later = world.flood(&all, 10_000);
    println!("partition: {first} of 400 in the first 4 s, then {later} of 1000 in 10 s");
    assert!(first <= 2.0 * 400.0 + LIMITS.burst_requests, "{first}");
    assert!(later <= 1_000.0 + LIMITS.burst_requests, "{later}");
    assert!(later >= 800.0, "{later}");
}

#[test]
fn idle_customers_use_no_memory_at_the_coordinator() {
    let mut world = World::new();
    world.flood(&[0, 1, 2], 2_000);
    let customers_in_memory = |world: &World| {
        world
            .nodes
            .iter()
            .map(|node| node.coordinator.len())
            .sum::<usize>()
    };
    assert_eq!(customers_in_memory(&world), 1);
    world.advance(10_000);
    println!(
        "{:#?}",
        world
            .nodes
            .iter()
            .map(|n| &n.coordinator)
            .collect::<Vec<_>>()
    );
    assert_eq!(customers_in_memory(&world), 0);
}

#[test]
fn a_lost_coordinator_costs_at_most_the_parts_of_newcomers() {
    let mut world = World::new();
    let coordinator = world.coordinator_of(0);
    let others: Vec<usize> = (0..INSTANCES)
        .filter(|index| *index != coordinator)
        .collect();
    world.flood(&others[..1], 3_000);
    world.kill(coordinator);
    for index in &others {
        world.set_view(*index, &others);
    }
    let admitted = world.flood(&others, 1_000);
    let newcomers = 2.0 * (100.0 + LIMITS.burst_requests) / INSTANCES as f64;
    assert!(
        admitted <= 100.0 + newcomers + 5.0,
        "{admitted} in a second"
    );
}

#[test]
fn a_first_request_is_admitted_where_all_is_granted_elsewhere() {
    let mut world = World::new();
    let coordinator = world.coordinator_of(0);
    let others: Vec<usize> = (0..INSTANCES)
        .filter(|index| *index != coordinator)
        .collect();
    world.flood(&others[..2], 3_000);
    world.set_view(coordinator, &others[..2]);
    world.flood(&others[..2], 2_000);
    let newcomer = others[2];
    let mut waited_ms = 0;
    while world.request(newcomer, 1) == 0 {
        world.flood(&others[..2], 20);
        waited_ms += 20;
        assert!(waited_ms <= 1_400, "not admitted after {waited_ms} ms");
    }
    println!("admitted after {waited_ms} ms");
}

/// Guards against a caller who is told the same time however long the requests take that hold the slots.
#[test]
fn a_caller_without_a_slot_comes_back_when_one_is_likely_to_be_free() {
    let now = MonoMs(0);
    let limits = CustomerLimits { slots: 4, ..LIMITS };
    let mut holder = ShareHolder::new(now);
    assert_eq!(holder.admit(&limits, 1, 0.0, now), LimitDecision::Wait);
    holder.fall_back(&limits, 1, now);
    let fill = |holder: &mut ShareHolder| loop {
        match holder.admit(&limits, 1, 0.0, now) {
            LimitDecision::Admitted => {}
            LimitDecision::Over { limit, after_ms } => break (limit, after_ms),
            LimitDecision::Wait => panic!("waits"),
        }
    };
    let (limit, _) = fill(&mut holder);
    assert_eq!(limit, LimitKind::Slots);
    let slots = u64::from(holder.in_flight());
    holder.finish(0.0, 1_000 * slots);
    assert_eq!(fill(&mut holder), (LimitKind::Slots, 1_000));
}
