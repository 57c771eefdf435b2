//! Callers who wait for a slot: who is queued, who is refused, and when they are told to come back.

mod common;

use common::slots::{
    DONE, ONLINE, PATIENCE_MS, allocator, backend_slots, granted, pool, release, request,
    request_from, submit,
};
use foxtailhold::slots::{Allocator, SlotDecision, SlotOutcome, Urgency};
use foxtailhold::time::MonoMs;
use test_case::test_case;

/// Like [`allocator`], after a request that held a slot for 800 ms.
fn allocator_with_service_time(slots: &[u32]) -> Allocator {
    let mut allocator = allocator(slots);
    granted(&mut allocator, 0, request(1_000, ONLINE));
    release(&mut allocator, 0, 1_000, DONE);
    allocator
}

#[test]
fn a_caller_who_would_leave_before_is_refused_at_once_and_told_when_a_slot_is_free() {
    let mut allocator = allocator_with_service_time(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    let decision = submit(&mut allocator, 0, request(2, ONLINE)).0;
    let SlotDecision::Refused { retry_after_ms } = decision else {
        panic!("not refused: {decision:?}");
    };
    // The slot is free after 800 ms, and he waits for 300 ms.
    assert!((500..=800).contains(&retry_after_ms), "{retry_after_ms}");
    assert_eq!(release(&mut allocator, 10, 1, DONE), []);
}

/// Guards against callers who are refused by an assumption: nothing tells yet how long requests take.
#[test]
fn a_caller_is_not_refused_before_it_is_known_how_long_requests_take() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    let decision = submit(&mut allocator, 0, request(2, ONLINE)).0;
    assert_eq!(decision, SlotDecision::Queued);
    // The first one has held its slot for longer than the next caller waits.
    let decision = submit(&mut allocator, 900, request(3, ONLINE)).0;
    assert!(
        matches!(decision, SlotDecision::Refused { .. }),
        "{decision:?}"
    );
}

#[test]
fn a_refused_request_is_not_granted_later() {
    let mut allocator = allocator_with_service_time(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    assert!(matches!(
        submit(&mut allocator, 0, request(2, ONLINE)).0,
        SlotDecision::Refused { .. }
    ));
    assert_eq!(release(&mut allocator, 10, 1, DONE), []);
    let loads: Vec<(u64, u64)> = allocator.loads().map(|(_, u, w)| (u, w)).collect();
    assert_eq!(loads, [(0, 0)]);
}

/// Guards against a caller who waits without end behind those who came later.
#[test]
fn the_caller_with_the_least_time_left_goes_first() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, request(1_000, ONLINE));
    release(&mut allocator, 0, 1_000, SlotOutcome::Done { held_ms: 100 });
    granted(&mut allocator, 0, request(1, ONLINE));
    submit(&mut allocator, 0, request_from("entry-1", 2, ONLINE, 900));
    submit(&mut allocator, 300, request_from("entry-1", 3, ONLINE, 900));
    submit(&mut allocator, 400, request_from("entry-1", 4, ONLINE, 400));
    for (at_ms, number, next) in [(410, 1, 4), (420, 4, 2), (430, 2, 3)] {
        let decisions = release(&mut allocator, at_ms, number, DONE);
        assert_eq!(decisions[0].request.number, next, "after {number}");
    }
}

/// Guards against a caller with little time who is refused behind others with much, though he goes first.
#[test_case(600, true ; "the others have time left")]
#[test_case(150, false ; "the slot is free after his time")]
fn a_caller_with_little_time_is_served_before_those_with_much(slack_ms: u64, is_queued: bool) {
    let mut allocator = allocator_with_service_time(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    for number in 2..6 {
        let patient = request_from("entry-1", number, ONLINE, 6_000);
        assert_eq!(submit(&mut allocator, 0, patient).0, SlotDecision::Queued);
    }
    let impatient = request_from("entry-1", 6, ONLINE, slack_ms);
    let decision = submit(&mut allocator, 400, impatient).0;
    assert_eq!(decision == SlotDecision::Queued, is_queued, "{decision:?}");
    if is_queued {
        let decisions = release(&mut allocator, 800, 1, DONE);
        assert_eq!(decisions[0].request.number, 6);
    }
}

/// Guards against a caller who waits and is then turned away for one who came later.
#[test]
fn a_caller_does_not_take_the_turn_of_one_who_has_time_for_no_later_one() {
    let mut allocator = allocator_with_service_time(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    let waiting = request_from("entry-1", 2, ONLINE, 1_000);
    assert_eq!(submit(&mut allocator, 0, waiting).0, SlotDecision::Queued);
    let decision = submit(&mut allocator, 100, request_from("entry-1", 3, ONLINE, 800)).0;
    assert!(
        matches!(decision, SlotDecision::Refused { .. }),
        "{decision:?}"
    );
}

/// Guards against a queued caller who is held until his time is over, though no slot can be free before.
#[test]
fn a_queued_caller_is_refused_once_no_slot_can_be_free_in_time() {
    let mut allocator = allocator_with_service_time(&[2]);
    granted(&mut allocator, 0, request(1, ONLINE));
    granted(&mut allocator, 0, request(2, ONLINE));
    let patient = |number| request_from("entry-1", number, Urgency::Online { priority: 1 }, 1_000);
    assert_eq!(
        submit(&mut allocator, 0, patient(3)).0,
        SlotDecision::Queued
    );
    for number in 10..14 {
        let urgent = request_from("entry-1", number, ONLINE, 10_000);
        submit(&mut allocator, 100, urgent);
    }
    let mut decisions = Vec::new();
    allocator.tick(MonoMs(300), &mut decisions);
    assert_eq!(decisions.len(), 1, "{decisions:?}");
    assert_eq!(decisions[0].request.number, 3);
    let decision = decisions[0].decision.clone();
    assert!(matches!(decision, Some(SlotDecision::Refused { .. })));
}

#[test]
fn a_queued_caller_is_refused_when_his_time_to_wait_is_over() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    submit(&mut allocator, 0, request(2, ONLINE));
    let mut decisions = Vec::new();
    allocator.tick(MonoMs(PATIENCE_MS / 2), &mut decisions);
    assert_eq!(decisions, []);
    allocator.tick(MonoMs(PATIENCE_MS), &mut decisions);
    assert_eq!(decisions[0].request.number, 2);
    let decision = decisions[0].decision.clone();
    assert!(matches!(decision, Some(SlotDecision::Refused { .. })));
}

/// Guards against refused callers who all come back at the same time.
#[test]
fn refused_callers_come_back_one_after_another() {
    let mut allocator = allocator_with_service_time(&[4]);
    for number in 0..4 {
        granted(&mut allocator, 0, request(number, ONLINE));
    }
    let mut told = Vec::new();
    for number in 4..10 {
        let SlotDecision::Refused { retry_after_ms } =
            submit(&mut allocator, 0, request(number, ONLINE)).0
        else {
            panic!("{number} is not refused");
        };
        told.push(retry_after_ms);
    }
    // A slot becomes free every 200 ms.
    let pauses: Vec<u64> = told.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses, [200; 5], "{told:?}");
}

/// Guards against callers who are told by the few slots there were when others were refused before them.
#[test]
fn callers_are_told_by_the_slots_there_are_once_engines_are_back() {
    let mut allocator = allocator_with_service_time(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    for number in 2..12 {
        let decision = submit(&mut allocator, 0, request(number, ONLINE)).0;
        assert!(
            matches!(decision, SlotDecision::Refused { .. }),
            "{decision:?}"
        );
    }
    allocator.set_backends(&pool(), &backend_slots(&[1, 40]));
    for number in 20..60 {
        granted(&mut allocator, 100, request(number, ONLINE));
    }
    let SlotDecision::Refused { retry_after_ms } =
        submit(&mut allocator, 110, request(60, ONLINE)).0
    else {
        panic!("not refused");
    };
    // The first slot is free after 690 ms, and then one every 20 ms.
    assert!((390..=1_000).contains(&retry_after_ms), "{retry_after_ms}");
}

/// Guards against a headroom that looks at the arrivals only: what counts is how many callers come while
/// one preemption takes.
#[test_case(20, 1 ; "short preemptions")]
#[test_case(150, 4 ; "long preemptions")]
fn the_headroom_is_for_the_callers_who_arrive_during_a_preemption(
    preemption_ms: u64,
    expected: u64,
) {
    let mut allocator = allocator(&[16]);
    for number in 0..15 {
        let item = request_from("entry-1", number, Urgency::Batch, 9_000);
        submit(&mut allocator, 0, item);
    }
    granted(&mut allocator, 0, request(100, ONLINE));
    let (_, preempted) = submit(&mut allocator, 0, request(101, ONLINE));
    let item = preempted[0].request.number;
    release(&mut allocator, preemption_ms, item, SlotOutcome::Abandoned);
    let at_ms = preemption_ms + 1_001;
    for number in 200..220 {
        submit(&mut allocator, at_ms, request(number, ONLINE));
    }
    let mut loads = allocator.pool_loads(MonoMs(at_ms));
    assert_eq!(loads.next().unwrap().1.headroom, expected);
}

/// Guards against requests that are sent again and again to an engine that is full for longer.
#[test_case(None, 40 ; "nothing is known")]
#[test_case(Some(1_600), 200 ; "requests of 1600 ms")]
fn a_full_engine_is_tried_again_when_a_slot_is_likely_to_be_free(
    held_ms: Option<u64>,
    expected_ms: u64,
) {
    let mut allocator = allocator(&[8]);
    if let Some(held_ms) = held_ms {
        granted(&mut allocator, 0, request(1, ONLINE));
        release(&mut allocator, 0, 1, SlotOutcome::Done { held_ms });
    }
    granted(&mut allocator, 0, request(2, ONLINE));
    release(&mut allocator, 0, 2, SlotOutcome::Full);
    let patient = |number| request_from("entry-1", number, ONLINE, 5_000);
    assert_eq!(
        submit(&mut allocator, expected_ms - 1, patient(3)).0,
        SlotDecision::Queued
    );
    granted(&mut allocator, expected_ms, patient(4));
}
