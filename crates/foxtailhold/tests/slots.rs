//! Places at engines: who gets one, who waits, who gives way, who is refused.

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, HeldSlot, SlotDecision, SlotNotice, SlotOutcome, SlotRequest,
    SlotRequestId, Urgency,
};
use foxtailhold::time::MonoMs;
use test_case::test_case;

const ONLINE: Urgency = Urgency::Online { priority: 0 };
const OBJECTIVE_MS: u64 = 300;

fn pool() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::try_from(name).unwrap()
}

fn backend(name: &str) -> BackendId {
    BackendId::try_from(name).unwrap()
}

fn instance(name: &str) -> InstanceId {
    InstanceId::try_from(name).unwrap()
}

/// Engines with so many slots each, in zones `a`, `b`, `c` by turns.
fn allocator(slots: &[u32]) -> Allocator {
    let mut allocator = Allocator::default();
    allocator.set_backends(&pool(), &places(slots));
    allocator
}

fn places(slots: &[u32]) -> Vec<BackendSlots> {
    let zones = ["a", "b", "c"];
    let engines = slots.iter().enumerate().map(|(index, slots)| BackendSlots {
        backend: backend(&format!("engine-{index}")),
        zone: zone(zones[index % zones.len()]),
        slots: *slots,
    });
    engines.collect()
}

fn ask_of(instance_name: &str, number: u64, urgency: Urgency, slack_ms: u64) -> SlotRequest {
    SlotRequest {
        id: SlotRequestId {
            instance: instance(instance_name),
            number,
        },
        pool: pool(),
        urgency,
        slack_ms,
        avoid: Vec::new(),
        zone: zone("a"),
    }
}

fn ask(number: u64, urgency: Urgency) -> SlotRequest {
    ask_of("entry-1", number, urgency, OBJECTIVE_MS)
}

fn put(allocator: &mut Allocator, at_ms: u64, ask: SlotRequest) -> (SlotDecision, Vec<SlotNotice>) {
    let mut decisions = Vec::new();
    let verdict = allocator.ask(MonoMs(at_ms), ask, &mut decisions);
    (verdict, decisions)
}

fn granted(allocator: &mut Allocator, at_ms: u64, ask: SlotRequest) -> BackendId {
    match put(allocator, at_ms, ask).0 {
        SlotDecision::Granted(backend) => backend,
        other => panic!("not granted: {other:?}"),
    }
}

fn release(
    allocator: &mut Allocator,
    at_ms: u64,
    number: u64,
    outcome: SlotOutcome,
) -> Vec<SlotNotice> {
    let mut decisions = Vec::new();
    let id = ask(number, ONLINE).id;
    allocator.release(MonoMs(at_ms), &pool(), &id, outcome, &mut decisions);
    decisions
}

const DONE: SlotOutcome = SlotOutcome::Done { held_ms: 800 };

#[test]
fn requests_spread_over_engines_but_for_one_more_in_the_own_zone() {
    let mut allocator = allocator(&[8, 8, 8]);
    let mut used = [0_u32; 3];
    for number in 0..18 {
        let chosen = granted(&mut allocator, 0, ask(number, ONLINE));
        let index: usize = chosen.as_str()["engine-".len()..].parse().unwrap();
        used[index] += 1;
        assert!(used[0] <= used[1].min(used[2]) + 2, "{used:?}");
        assert!(used[1].abs_diff(used[2]) <= 1, "{used:?}");
    }
    assert!(used[0] > used[1], "the own zone goes first: {used:?}");
}

#[test]
fn an_idle_engine_in_the_own_zone_goes_first() {
    let mut allocator = allocator(&[8, 8, 8]);
    let in_c = SlotRequest {
        zone: zone("c"),
        ..ask(1, ONLINE)
    };
    assert_eq!(granted(&mut allocator, 0, in_c), backend("engine-2"));
}

#[test]
fn asking_again_gives_the_same_place() {
    let mut allocator = allocator(&[8, 8, 8]);
    let first = granted(&mut allocator, 0, ask(1, ONLINE));
    for at_ms in [5, 40, 300] {
        assert_eq!(granted(&mut allocator, at_ms, ask(1, ONLINE)), first);
    }
    let used: Vec<u64> = allocator.loads().map(|(_, used, _)| used).collect();
    assert_eq!(used, [1]);
}

#[test]
fn no_engine_gets_more_than_it_can_begin() {
    let mut allocator = allocator(&[2]);
    granted(&mut allocator, 0, ask(1, ONLINE));
    granted(&mut allocator, 0, ask(2, ONLINE));
    let patient = ask_of("entry-1", 3, ONLINE, 5_000);
    assert_eq!(put(&mut allocator, 0, patient).0, SlotDecision::Queued);
    let decisions = release(&mut allocator, 10, 1, DONE);
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].request.number, 3);
    assert_eq!(
        decisions[0].decision,
        Some(SlotDecision::Granted(backend("engine-0")))
    );
}

#[test]
fn a_tried_engine_is_not_chosen_again() {
    let mut allocator = allocator(&[8, 8]);
    let again = SlotRequest {
        avoid: vec![backend("engine-0")],
        ..ask(1, ONLINE)
    };
    assert_eq!(granted(&mut allocator, 0, again), backend("engine-1"));
}

#[test]
fn batch_leaves_headroom_for_arrivals() {
    let mut allocator = allocator(&[8]);
    let mut given = 0;
    for number in 0..8 {
        let at_ease = ask_of("entry-1", number, Urgency::Batch, 9_000);
        let verdict = put(&mut allocator, 0, at_ease).0;
        given += u32::from(verdict != SlotDecision::Queued);
    }
    assert!((4..8).contains(&given), "{given} of 8 places went to batch");
    granted(&mut allocator, 1, ask(100, ONLINE));
}

#[test]
fn an_item_that_would_soon_be_too_late_may_use_the_headroom() {
    let mut allocator = allocator(&[8]);
    for number in 0..8 {
        put(
            &mut allocator,
            0,
            ask_of("entry-1", number, Urgency::Batch, 9_000),
        );
    }
    granted(
        &mut allocator,
        1,
        ask_of("entry-1", 8, Urgency::Batch, 1_000),
    );
    let too_late = ask_of("entry-1", 9, Urgency::Batch, 0);
    assert_eq!(put(&mut allocator, 2, too_late).0, SlotDecision::Queued);
}

#[test]
fn an_item_that_can_still_land_goes_before_one_that_can_not() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, ask(1, ONLINE));
    put(&mut allocator, 1, ask_of("entry-1", 2, Urgency::Batch, 0));
    put(
        &mut allocator,
        2,
        ask_of("entry-1", 3, Urgency::Batch, 9_000),
    );
    let decisions = release(&mut allocator, 100, 1, DONE);
    assert_eq!(decisions[0].request.number, 3);
}

#[test]
fn an_online_request_without_room_cuts_the_batch_item_with_most_slack() {
    let mut allocator = allocator(&[8]);
    for number in 0..6 {
        let slack_ms = 1_000 * (number + 1);
        put(
            &mut allocator,
            0,
            ask_of("entry-1", number, Urgency::Batch, slack_ms),
        );
    }
    let mut cut = Vec::new();
    for number in 100..103 {
        let decisions = put(&mut allocator, 1, ask(number, ONLINE)).1;
        cut.extend(decisions);
    }
    let numbers: Vec<u64> = cut.iter().map(|decision| decision.request.number).collect();
    assert!(cut.iter().all(|decision| decision.decision.is_none()));
    assert_eq!(numbers, [5], "the item with the most slack, once");
}

#[test]
fn the_most_urgent_of_those_who_wait_goes_first() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, ask(1, ONLINE));
    let late = ask_of("entry-1", 2, Urgency::Online { priority: 2 }, 5_000);
    let urgent = ask_of("entry-1", 3, ONLINE, 5_000);
    assert_eq!(put(&mut allocator, 0, late).0, SlotDecision::Queued);
    assert_eq!(put(&mut allocator, 1, urgent).0, SlotDecision::Queued);
    let decisions = release(&mut allocator, 10, 1, DONE);
    assert_eq!(decisions[0].request.number, 3);
}

#[test]
fn a_request_that_would_be_late_is_refused_at_once_with_when_to_come_back() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, ask(1, ONLINE));
    let verdict = put(&mut allocator, 0, ask(2, ONLINE)).0;
    let SlotDecision::Refused { retry_after_ms } = verdict else {
        panic!("not refused: {verdict:?}");
    };
    assert!((150..=1_500).contains(&retry_after_ms));
    assert_eq!(release(&mut allocator, 10, 1, DONE), []);
}

#[test]
fn a_refused_request_is_not_granted_later() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, ask(1, ONLINE));
    assert!(matches!(
        put(&mut allocator, 0, ask(2, ONLINE)).0,
        SlotDecision::Refused { .. }
    ));
    assert_eq!(release(&mut allocator, 10, 1, DONE), []);
    let loads: Vec<(u64, u64)> = allocator.loads().map(|(_, u, w)| (u, w)).collect();
    assert_eq!(loads, [(0, 0)]);
}

#[test]
fn who_no_longer_asks_is_forgotten() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, ask(1, ONLINE));
    put(&mut allocator, 0, ask_of("entry-2", 2, ONLINE, 5_000));
    assert_eq!(release(&mut allocator, 1_000, 1, DONE), []);
}

#[test]
fn places_of_an_instance_that_is_gone_are_free_again() {
    let mut allocator = allocator(&[2]);
    granted(
        &mut allocator,
        0,
        ask_of("entry-2", 1, ONLINE, OBJECTIVE_MS),
    );
    granted(
        &mut allocator,
        0,
        ask_of("entry-2", 2, ONLINE, OBJECTIVE_MS),
    );
    put(&mut allocator, 900, ask_of("entry-1", 3, ONLINE, 5_000));
    let mut decisions = Vec::new();
    let lives = |instance: &InstanceId| instance.as_str() == "entry-1";
    allocator.keep_only(MonoMs(1_000), lives, &mut decisions);
    assert_eq!(decisions.len(), 1);
    assert!(matches!(
        decisions[0].decision,
        Some(SlotDecision::Granted(_))
    ));
}

#[test]
fn a_report_brings_what_another_allocator_granted() {
    let mut allocator = allocator(&[1]);
    let held = [HeldSlot {
        number: 7,
        pool: pool(),
        backend: backend("engine-0"),
        urgency: ONLINE,
        quiet_ms: 0,
    }];
    allocator.report(MonoMs(0), &instance("entry-2"), &held);
    let patient = ask_of("entry-1", 1, ONLINE, 5_000);
    assert_eq!(put(&mut allocator, 1, patient).0, SlotDecision::Queued);
}

#[test]
fn a_lost_release_is_made_up_by_the_next_reports() {
    let mut allocator = allocator(&[1]);
    granted(
        &mut allocator,
        0,
        ask_of("entry-2", 1, ONLINE, OBJECTIVE_MS),
    );
    allocator.report(MonoMs(250), &instance("entry-2"), &[]);
    assert_eq!(
        put(&mut allocator, 260, ask_of("entry-1", 1, ONLINE, 5_000)).0,
        SlotDecision::Queued,
        "the grant may still be on its way"
    );
    allocator.report(MonoMs(1_250), &instance("entry-2"), &[]);
    granted(&mut allocator, 1_251, ask_of("entry-1", 2, ONLINE, 5_000));
}

#[test_case(SlotOutcome::Unreachable, 1 ; "one that cannot be reached")]
#[test_case(SlotOutcome::Silent, 1 ; "one that says nothing")]
#[test_case(SlotOutcome::Broken, 3 ; "one whose answers break off again and again")]
fn an_engine_in_trouble_gets_nothing_new(outcome: SlotOutcome, times: u64) {
    let mut allocator = allocator(&[8, 8]);
    let mut number = 0;
    let mut failed = 0;
    while failed < times {
        number += 1;
        let engine = granted(&mut allocator, number, ask(number, ONLINE));
        let on_first = engine == backend("engine-0");
        failed += u64::from(on_first);
        release(
            &mut allocator,
            number,
            number,
            if on_first { outcome } else { DONE },
        );
    }
    for next in number + 1..number + 6 {
        let engine = granted(&mut allocator, number + 1, ask(next, ONLINE));
        assert_eq!(engine, backend("engine-1"));
    }
}

#[test]
fn one_broken_answer_alone_costs_no_places() {
    let mut allocator = allocator(&[8]);
    granted(&mut allocator, 0, ask(1, ONLINE));
    release(&mut allocator, 1, 1, SlotOutcome::Broken);
    granted(&mut allocator, 2, ask(2, ONLINE));
}

#[test]
fn a_silent_engine_is_known_by_the_reports_of_its_holders() {
    let mut allocator = allocator(&[8, 8]);
    let held = [HeldSlot {
        number: 7,
        pool: pool(),
        backend: backend("engine-0"),
        urgency: ONLINE,
        quiet_ms: 5_000,
    }];
    allocator.report(MonoMs(0), &instance("entry-2"), &held);
    for number in 0..4 {
        let engine = granted(&mut allocator, 1, ask(number, ONLINE));
        assert_eq!(engine, backend("engine-1"));
    }
}

#[test]
fn an_engine_set_aside_is_tried_again_by_one_request() {
    let mut allocator = allocator(&[8]);
    granted(&mut allocator, 0, ask(1, ONLINE));
    release(&mut allocator, 1, 1, SlotOutcome::Unreachable);
    let at_ms = 4_500;
    granted(&mut allocator, at_ms, ask(2, ONLINE));
    let patient = ask_of("entry-1", 3, ONLINE, 5_000);
    assert_eq!(put(&mut allocator, at_ms, patient).0, SlotDecision::Queued);
    let decisions = release(&mut allocator, at_ms + 100, 2, DONE);
    assert_eq!(decisions.len(), 1, "a sound answer opens all its places");
}

#[test]
fn a_leaving_engine_gets_nothing_new() {
    let mut allocator = allocator(&[8, 8]);
    allocator.set_backends(&pool(), &places(&[8, 8])[1..]);
    for number in 0..4 {
        let engine = granted(&mut allocator, 0, ask(number, ONLINE));
        assert_eq!(engine, backend("engine-1"));
    }
}

#[test]
fn batch_items_try_engines_that_were_set_aside() {
    let mut allocator = allocator(&[8, 8]);
    for number in [1, 2] {
        granted(&mut allocator, 0, ask(number, Urgency::Batch));
    }
    for number in [1, 2] {
        release(&mut allocator, 900, number, SlotOutcome::Silent);
    }
    let at_ms = 5_000;
    granted(
        &mut allocator,
        at_ms,
        ask_of("entry-1", 3, Urgency::Batch, 9_000),
    );
    release(&mut allocator, at_ms + 500, 3, DONE);
    granted(
        &mut allocator,
        at_ms + 501,
        ask_of("entry-1", 4, Urgency::Batch, 9_000),
    );
}

#[test]
fn an_engine_that_fails_every_other_request_loses_most_of_its_places() {
    let mut allocator = allocator(&[8, 8]);
    let mut on_first = 0;
    for number in 0..60 {
        let at_ms = number * 100;
        let engine = granted(&mut allocator, at_ms, ask(number, ONLINE));
        let is_first = engine == backend("engine-0");
        on_first += u64::from(is_first);
        let outcome = match is_first && on_first % 2 == 0 {
            true => SlotOutcome::Broken,
            false => DONE,
        };
        release(&mut allocator, at_ms + 50, number, outcome);
    }
    let mut held = 0;
    for number in 100..108 {
        let engine = granted(&mut allocator, 6_100, ask(number, ONLINE));
        held += u32::from(engine == backend("engine-0"));
    }
    assert!(held <= 3, "{held} of 8 places are at the failing engine");
}

#[test]
fn an_engine_that_fails_one_in_forty_keeps_nearly_all_of_its_places() {
    let mut allocator = allocator(&[8]);
    for number in 0..200 {
        granted(&mut allocator, number * 10, ask(number, ONLINE));
        let outcome = if number % 40 == 20 {
            SlotOutcome::Broken
        } else {
            DONE
        };
        release(&mut allocator, number * 10 + 5, number, outcome);
    }
    for number in 300..308 {
        granted(&mut allocator, 2_100, ask(number, ONLINE));
    }
}
