//! First requests of a customer on an instance that holds no share of its limits. Guards against an
//! instance that refuses a customer far below its limits because the shares are granted elsewhere.

mod common;

use common::shares::{INSTANCES, World, customer, instance};
use foxtailhold::limits::{
    Credit, CustomerLimits, Demand, FULL_SHARE_PPM, LimitCoordinator, LimitDecision,
    MembershipViews, Share, ShareGrant, ShareHolder, ShareRequest,
};
use foxtailhold::time::MonoMs;
use test_case::test_case;

const NOW: MonoMs = MonoMs(100_000);
const LIMITS: CustomerLimits = CustomerLimits {
    requests_per_s: 10_000.0,
    burst_requests: 10_000.0,
    tokens_per_s: 1e6,
    burst_tokens: 2e6,
    slots: 600,
};
const COUNT: u32 = 5;
/// Longest wait for a first share, not counting the transit of messages.
const FIRST_SHARE_MS: u64 = 200;

const LOW_DEMAND: Demand = Demand {
    requests_per_s: 5.0,
    tokens_per_s: 500.0,
    slots: 2,
    in_flight: 1,
};

/// The view of the customer's coordinator among `COUNT` instances that started at `started_at`.
fn coordinator_views(started_at: MonoMs) -> MembershipViews {
    let all = || (0..COUNT as usize).map(instance).collect::<Vec<_>>();
    for id in all() {
        let mut views = MembershipViews::new(id, started_at);
        views.set(all(), COUNT, started_at);
        if views.is_coordinator(&customer()) {
            return views;
        }
    }
    panic!("one of them is the coordinator");
}

fn share_request(number: u64, held: Share) -> ShareRequest {
    ShareRequest {
        customer: customer(),
        number,
        held,
        demand: Some(LOW_DEMAND),
        returned: Credit::default(),
    }
}

fn grant_of(share: Share) -> ShareGrant {
    ShareGrant {
        customer: customer(),
        number: 1,
        share,
        credit: Credit {
            requests: 100.0,
            tokens: 100.0,
        },
        renew_soon: false,
        rising: false,
    }
}

/// A holder that has requested its first share.
fn waiting_holder() -> ShareHolder {
    let mut holder = ShareHolder::new(NOW);
    assert_eq!(holder.admit(&LIMITS, COUNT, 10.0, NOW), LimitDecision::Wait);
    assert!(holder.due_request(&customer(), &LIMITS, 1, NOW).is_some());
    holder
}

#[test]
fn each_newcomer_finds_room_beside_those_that_came_before() {
    let (mut coordinator, views) = (LimitCoordinator::default(), coordinator_views(MonoMs(0)));
    let mut sum = Share::default();
    for index in 0..COUNT {
        let from = instance(index as usize);
        let request = share_request(u64::from(index) + 1, Share::default());
        let grant = coordinator
            .handle_request(&from, &request, &LIMITS, &views, NOW)
            .unwrap();
        let share = grant.share;
        assert!(share.slots > 0, "instance {index}: {share:?}");
        let least_ppm = FULL_SHARE_PPM / 1_000;
        assert!(
            share.requests_ppm > least_ppm,
            "instance {index}: {share:?}"
        );
        assert!(share.tokens_ppm > least_ppm, "instance {index}: {share:?}");
        sum = sum.plus(share);
    }
    assert!(sum.requests_ppm <= FULL_SHARE_PPM && sum.slots <= LIMITS.slots);
}

#[test]
fn a_coordinator_that_knew_only_itself_lets_holders_free_capacity_for_newcomers() {
    let mut coordinator = LimitCoordinator::default();
    let me = coordinator_views(MonoMs(0))
        .coordinator(&customer())
        .unwrap()
        .clone();
    let mut views = MembershipViews::new(me.clone(), NOW);
    let first = coordinator.handle_request(
        &me,
        &share_request(1, Share::default()),
        &LIMITS,
        &views,
        NOW,
    );
    let first = first.unwrap().share;
    assert_eq!(first, Share::part(&LIMITS, 1, 1));
    views.set((0..COUNT as usize).map(instance).collect(), COUNT, NOW + 1);
    let other = (0..COUNT as usize).map(instance).find(|id| *id != me);
    let other = other.unwrap();
    let none = coordinator.handle_request(
        &other,
        &share_request(1, Share::default()),
        &LIMITS,
        &views,
        NOW + 2,
    );
    assert_eq!(none.unwrap().share, Share::default());
    let kept = coordinator.handle_request(&me, &share_request(2, first), &LIMITS, &views, NOW + 3);
    let kept = kept.unwrap().share;
    assert!(kept.slots < first.slots, "{kept:?}");
    assert!(kept.requests_ppm < first.requests_ppm, "{kept:?}");
    coordinator.handle_request(&me, &share_request(3, kept), &LIMITS, &views, NOW + 4);
    let found = coordinator.handle_request(
        &other,
        &share_request(2, Share::default()),
        &LIMITS,
        &views,
        NOW + 5,
    );
    let found = found.unwrap().share;
    assert!(found.slots > 0 && found.requests_ppm > 0, "{found:?}");
}

#[test]
fn a_coordinator_that_knows_only_itself_leaves_room_beside_a_requester_that_is_lost() {
    let mut coordinator = LimitCoordinator::default();
    let me = coordinator_views(MonoMs(0))
        .coordinator(&customer())
        .unwrap()
        .clone();
    let views = MembershipViews::new(me.clone(), NOW);
    let other = (0..COUNT as usize).map(instance).find(|id| *id != me);
    let first = coordinator.handle_request(
        &other.unwrap(),
        &share_request(1, Share::default()),
        &LIMITS,
        &views,
        NOW + 1,
    );
    assert_eq!(first.unwrap().share, Share::part(&LIMITS, 1, 2));
    let own = coordinator.handle_request(
        &me,
        &share_request(1, Share::default()),
        &LIMITS,
        &views,
        NOW + 2,
    );
    assert_eq!(own.unwrap().share, Share::part(&LIMITS, 1, 2));
}

#[test]
fn a_new_coordinator_raises_a_small_share_to_the_part_of_one_instance() {
    let (mut coordinator, views) = (LimitCoordinator::default(), coordinator_views(NOW));
    let small = Share {
        requests_ppm: FULL_SHARE_PPM / 2,
        tokens_ppm: 40,
        slots: 1,
    };
    let other = (0..COUNT as usize)
        .map(instance)
        .find(|id| views.coordinator(&customer()) != Some(id));
    let grant = coordinator.handle_request(
        &other.unwrap(),
        &share_request(1, small),
        &LIMITS,
        &views,
        NOW + 1,
    );
    let part = Share::part(&LIMITS, 1, COUNT);
    assert_eq!(grant.unwrap().share, small.max(part));
}

#[test_case(Share::default(); "nothing at all")]
#[test_case(Share { requests_ppm: 900, tokens_ppm: 0, slots: 3 }; "no tokens")]
#[test_case(Share { requests_ppm: 0, tokens_ppm: 900, slots: 3 }; "no requests")]
#[test_case(Share { requests_ppm: 900, tokens_ppm: 900, slots: 0 }; "no slots")]
fn first_requests_wait_while_all_is_granted_elsewhere(share: Share) {
    let mut holder = waiting_holder();
    holder.granted(&LIMITS, &grant_of(share), NOW);
    assert_eq!(holder.admit(&LIMITS, COUNT, 10.0, NOW), LimitDecision::Wait);
}

#[test]
fn an_answer_without_room_after_the_fallback_is_no_refusal() {
    let mut holder = waiting_holder();
    holder.fall_back(&LIMITS, COUNT, NOW + 50);
    let first = holder.admit(&LIMITS, COUNT, 10.0, NOW + 50);
    assert_eq!(first, LimitDecision::Admitted);
    holder.granted(&LIMITS, &grant_of(Share::default()), NOW + 60);
    let second = holder.admit(&LIMITS, COUNT, 10.0, NOW + 60);
    assert_eq!(second, LimitDecision::Wait);
}

#[test_case(true, LimitDecision::Wait; "that is being raised")]
#[test_case(false, LimitDecision::Admitted; "that is all there is")]
fn a_second_request_on_a_small_share(rising: bool, other: LimitDecision) {
    let mut holder = waiting_holder();
    let share = Share {
        requests_ppm: 900_000,
        tokens_ppm: 900_000,
        slots: 1,
    };
    let grant = ShareGrant {
        rising,
        ..grant_of(share)
    };
    holder.granted(&LIMITS, &grant, NOW);
    assert_eq!(
        holder.admit(&LIMITS, COUNT, 10.0, NOW),
        LimitDecision::Admitted
    );
    let second = holder.admit(&LIMITS, COUNT, 10.0, NOW);
    match other {
        LimitDecision::Wait => assert_eq!(second, LimitDecision::Wait),
        _ => assert!(matches!(second, LimitDecision::Over { .. }), "{second:?}"),
    }
    let late = holder.admit(&LIMITS, COUNT, 10.0, NOW + 2_000);
    assert!(matches!(late, LimitDecision::Over { .. }), "{late:?}");
}

#[test]
fn a_newcomer_is_served_within_a_fraction_of_a_second_wherever_the_limit_was_used() {
    for newcomer in 0..INSTANCES {
        let mut world = World::new();
        let others: Vec<usize> = (0..INSTANCES).filter(|other| *other != newcomer).collect();
        for _ in 0..150 {
            for other in &others {
                world.request(*other, 1);
            }
            world.advance(20);
        }
        let mut waited_ms = 0;
        while world.request(newcomer, 1) == 0 {
            for other in &others {
                world.request(*other, 1);
            }
            world.advance(20);
            waited_ms += 20;
            assert!(
                waited_ms <= FIRST_SHARE_MS,
                "not admitted after {waited_ms} ms"
            );
        }
    }
}

#[test]
fn a_flood_above_the_limit_is_refused_at_once() {
    let mut world = World::new();
    let all: Vec<usize> = (0..INSTANCES).collect();
    world.flood(&all, 4_000);
    world.held_back = 0;
    world.flood(&all, 4_000);
    assert_eq!(world.held_back, 0, "requests kept waiting during a flood");
}
