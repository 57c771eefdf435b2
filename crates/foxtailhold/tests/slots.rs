//! Allocation of slots at engines: grants, queueing, preemption and refusals. Guards against
//! engines with more requests than slots, lost slots, and batch items that delay online requests.

mod common;

use common::slots::{
    DONE, ONLINE, PATIENCE_MS, allocator, backend, backend_slots, granted, instance, pool, release,
    request, request_from, submit, zone,
};
use foxtailhold::ids::InstanceId;
use foxtailhold::slots::{HeldSlot, SlotDecision, SlotOutcome, SlotRequest, Urgency};
use foxtailhold::time::MonoMs;
use test_case::test_case;

#[test]
fn requests_spread_evenly_with_one_more_in_the_own_zone() {
    let mut allocator = allocator(&[8, 8, 8]);
    let mut used = [0_u32; 3];
    for number in 0..18 {
        let chosen = granted(&mut allocator, 0, request(number, ONLINE));
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
        ..request(1, ONLINE)
    };
    assert_eq!(granted(&mut allocator, 0, in_c), backend("engine-2"));
}

#[test]
fn a_repeated_request_gets_the_same_slot() {
    let mut allocator = allocator(&[8, 8, 8]);
    let first = granted(&mut allocator, 0, request(1, ONLINE));
    for at_ms in [5, 40, 300] {
        assert_eq!(granted(&mut allocator, at_ms, request(1, ONLINE)), first);
    }
    let used: Vec<u64> = allocator.loads().map(|(_, used, _)| used).collect();
    assert_eq!(used, [1]);
}

#[test]
fn no_engine_gets_more_requests_than_slots() {
    let mut allocator = allocator(&[2]);
    granted(&mut allocator, 0, request(1, ONLINE));
    granted(&mut allocator, 0, request(2, ONLINE));
    let patient = request_from("entry-1", 3, ONLINE, 5_000);
    assert_eq!(submit(&mut allocator, 0, patient).0, SlotDecision::Queued);
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
        ..request(1, ONLINE)
    };
    assert_eq!(granted(&mut allocator, 0, again), backend("engine-1"));
}

#[test]
fn batch_leaves_headroom_for_arrivals() {
    let mut allocator = allocator(&[8]);
    let mut granted_count = 0;
    for number in 0..8 {
        let relaxed = request_from("entry-1", number, Urgency::Batch, 9_000);
        let decision = submit(&mut allocator, 0, relaxed).0;
        granted_count += u32::from(decision != SlotDecision::Queued);
    }
    assert!(
        (4..8).contains(&granted_count),
        "{granted_count} of 8 slots went to batch"
    );
    granted(&mut allocator, 1, request(100, ONLINE));
}

#[test]
fn an_item_that_would_soon_be_too_late_may_use_the_headroom() {
    let mut allocator = allocator(&[8]);
    // Items have waited for 1,500 ms.
    for number in 100..108 {
        granted(&mut allocator, 0, request(number, ONLINE));
    }
    submit(
        &mut allocator,
        0,
        request_from("entry-1", 99, Urgency::Batch, 9_000),
    );
    for number in 100..108 {
        release(&mut allocator, 1_500, number, DONE);
    }
    release(&mut allocator, 1_500, 99, DONE);
    for number in 0..8 {
        submit(
            &mut allocator,
            2_600,
            request_from("entry-1", number, Urgency::Batch, 9_000),
        );
    }
    granted(
        &mut allocator,
        2_601,
        request_from("entry-1", 8, Urgency::Batch, 500),
    );
    let too_late = request_from("entry-1", 9, Urgency::Batch, 0);
    assert_eq!(
        submit(&mut allocator, 2_602, too_late).0,
        SlotDecision::Queued
    );
}

#[test]
fn an_item_that_can_meet_its_deadline_goes_before_a_late_one() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    submit(
        &mut allocator,
        1,
        request_from("entry-1", 2, Urgency::Batch, 0),
    );
    submit(
        &mut allocator,
        2,
        request_from("entry-1", 3, Urgency::Batch, 9_000),
    );
    let decisions = release(&mut allocator, 100, 1, DONE);
    assert_eq!(decisions[0].request.number, 3);
}

#[test]
fn an_online_request_preempts_the_batch_item_with_most_slack() {
    let mut allocator = allocator(&[8]);
    for number in 0..6 {
        let slack_ms = 1_000 * (number + 1);
        submit(
            &mut allocator,
            0,
            request_from("entry-1", number, Urgency::Batch, slack_ms),
        );
    }
    let mut preempted = Vec::new();
    for number in 100..103 {
        let decisions = submit(&mut allocator, 1, request(number, ONLINE)).1;
        preempted.extend(decisions);
    }
    let numbers: Vec<u64> = preempted
        .iter()
        .map(|decision| decision.request.number)
        .collect();
    assert!(preempted.iter().all(|decision| decision.decision.is_none()));
    assert_eq!(numbers, [5], "the item with the most slack, once");
}

#[test]
fn the_most_urgent_queued_request_goes_first() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    let late = request_from("entry-1", 2, Urgency::Online { priority: 2 }, 5_000);
    let urgent = request_from("entry-1", 3, ONLINE, 5_000);
    assert_eq!(submit(&mut allocator, 0, late).0, SlotDecision::Queued);
    assert_eq!(submit(&mut allocator, 1, urgent).0, SlotDecision::Queued);
    let decisions = release(&mut allocator, 10, 1, DONE);
    assert_eq!(decisions[0].request.number, 3);
}

#[test]
fn a_request_that_is_not_repeated_is_dropped() {
    let mut allocator = allocator(&[1]);
    granted(&mut allocator, 0, request(1, ONLINE));
    submit(&mut allocator, 0, request_from("entry-2", 2, ONLINE, 5_000));
    assert_eq!(release(&mut allocator, 1_000, 1, DONE), []);
}

#[test]
fn slots_of_a_lost_instance_are_freed() {
    let mut allocator = allocator(&[2]);
    granted(
        &mut allocator,
        0,
        request_from("entry-2", 1, ONLINE, PATIENCE_MS),
    );
    granted(
        &mut allocator,
        0,
        request_from("entry-2", 2, ONLINE, PATIENCE_MS),
    );
    submit(
        &mut allocator,
        900,
        request_from("entry-1", 3, ONLINE, 5_000),
    );
    let mut decisions = Vec::new();
    let is_live = |instance: &InstanceId| instance.as_str() == "entry-1";
    allocator.keep_only(MonoMs(1_000), is_live, &mut decisions);
    assert_eq!(decisions.len(), 1);
    assert!(matches!(
        decisions[0].decision,
        Some(SlotDecision::Granted(_))
    ));
}

#[test]
fn a_report_restores_grants_of_another_allocator() {
    let mut allocator = allocator(&[1]);
    let held = [HeldSlot {
        number: 7,
        pool: pool(),
        backend: backend("engine-0"),
        urgency: ONLINE,
        quiet_ms: 0,
    }];
    allocator.report(MonoMs(0), &instance("entry-2"), &held);
    let patient = request_from("entry-1", 1, ONLINE, 5_000);
    assert_eq!(submit(&mut allocator, 1, patient).0, SlotDecision::Queued);
}

#[test]
fn later_reports_replace_a_lost_release() {
    let mut allocator = allocator(&[1]);
    granted(
        &mut allocator,
        0,
        request_from("entry-2", 1, ONLINE, PATIENCE_MS),
    );
    allocator.report(MonoMs(250), &instance("entry-2"), &[]);
    assert_eq!(
        submit(
            &mut allocator,
            260,
            request_from("entry-1", 1, ONLINE, 5_000)
        )
        .0,
        SlotDecision::Queued,
        "the grant may still be on its way"
    );
    allocator.report(MonoMs(1_250), &instance("entry-2"), &[]);
    granted(
        &mut allocator,
        1_251,
        request_from("entry-1", 2, ONLINE, 5_000),
    );
}

#[test_case(SlotOutcome::Unreachable, 1 ; "unreachable")]
#[test_case(SlotOutcome::Silent, 1 ; "silent")]
#[test_case(SlotOutcome::Broken, 3 ; "repeatedly broken responses")]
fn an_unhealthy_engine_gets_no_new_request(outcome: SlotOutcome, times: u64) {
    let mut allocator = allocator(&[8, 8]);
    let mut number = 0;
    let mut failed = 0;
    while failed < times {
        number += 1;
        let engine = granted(&mut allocator, number, request(number, ONLINE));
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
        let engine = granted(&mut allocator, number + 1, request(next, ONLINE));
        assert_eq!(engine, backend("engine-1"));
    }
}

#[test]
fn a_single_broken_response_costs_no_slots() {
    let mut allocator = allocator(&[8]);
    granted(&mut allocator, 0, request(1, ONLINE));
    release(&mut allocator, 1, 1, SlotOutcome::Broken);
    granted(&mut allocator, 2, request(2, ONLINE));
}

#[test]
fn reports_of_holders_reveal_a_silent_engine() {
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
        let engine = granted(&mut allocator, 1, request(number, ONLINE));
        assert_eq!(engine, backend("engine-1"));
    }
}

#[test]
fn an_ejected_engine_is_probed_by_one_request() {
    let mut allocator = allocator(&[8]);
    granted(&mut allocator, 0, request(1, ONLINE));
    release(&mut allocator, 1, 1, SlotOutcome::Unreachable);
    let at_ms = 4_500;
    granted(&mut allocator, at_ms, request(2, ONLINE));
    let patient = request_from("entry-1", 3, ONLINE, 5_000);
    assert_eq!(
        submit(&mut allocator, at_ms, patient).0,
        SlotDecision::Queued
    );
    let decisions = release(&mut allocator, at_ms + 100, 2, DONE);
    assert_eq!(
        decisions.len(),
        1,
        "a complete response makes all its slots available"
    );
}

#[test]
fn a_leaving_engine_gets_no_new_request() {
    let mut allocator = allocator(&[8, 8]);
    allocator.set_backends(&pool(), &backend_slots(&[8, 8])[1..]);
    for number in 0..4 {
        let engine = granted(&mut allocator, 0, request(number, ONLINE));
        assert_eq!(engine, backend("engine-1"));
    }
}

#[test]
fn batch_items_probe_ejected_engines() {
    let mut allocator = allocator(&[8, 8]);
    for number in [1, 2] {
        granted(&mut allocator, 0, request(number, Urgency::Batch));
    }
    for number in [1, 2] {
        release(&mut allocator, 900, number, SlotOutcome::Silent);
    }
    let at_ms = 5_000;
    granted(
        &mut allocator,
        at_ms,
        request_from("entry-1", 3, Urgency::Batch, 9_000),
    );
    release(&mut allocator, at_ms + 500, 3, DONE);
    granted(
        &mut allocator,
        at_ms + 501,
        request_from("entry-1", 4, Urgency::Batch, 9_000),
    );
}

#[test]
fn an_engine_that_fails_every_other_request_loses_most_of_its_slots() {
    let mut allocator = allocator(&[8, 8]);
    let mut on_first = 0;
    for number in 0..60 {
        let at_ms = number * 100;
        let engine = granted(&mut allocator, at_ms, request(number, ONLINE));
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
        let engine = granted(&mut allocator, 6_100, request(number, ONLINE));
        held += u32::from(engine == backend("engine-0"));
    }
    assert!(held <= 3, "{held} of 8 slots are at the failing engine");
}

#[test]
fn an_engine_that_fails_one_in_forty_keeps_nearly_all_of_its_slots() {
    let mut allocator = allocator(&[8]);
    for number in 0..200 {
        granted(&mut allocator, number * 10, request(number, ONLINE));
        let outcome = if number % 40 == 20 {
            SlotOutcome::Broken
        } else {
            DONE
        };
        release(&mut allocator, number * 10 + 5, number, outcome);
    }
    for number in 300..308 {
        granted(&mut allocator, 2_100, request(number, ONLINE));
    }
}
