//! Rules of the congestion window, the batch controller and the owner's scheduler, one at a time.

use foxtailhold::batch_control::controller::BatchController;
use foxtailhold::batch_control::scheduler::{
    BatchScheduler, SchedulerAction, SchedulerReplica, WaitingItem,
};
use foxtailhold::batch_control::window::{
    CongestionWindow, GROWTH_PERIOD_MS, PRESSURE_HOLD_MS, REPORT_TTL_MS,
};
use foxtailhold::batch_control::{
    BatchSlotGrant, BatchSlotRequest, GRANT_MS, OnlineLoadNotice, is_queued,
};
use foxtailhold::ids::{BackendId, InstanceId};
use foxtailhold::replicas::LoadReport;
use foxtailhold::time::{MonoMs, WallMs};
use test_case::test_case;

const SLOTS: u32 = 16;
const START: MonoMs = MonoMs(100_000);

fn instance(name: &str) -> InstanceId {
    name.try_into().unwrap()
}

fn backend() -> BackendId {
    "engine-0".try_into().unwrap()
}

fn report(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: SLOTS,
        kv_used: f64::from(running) / f64::from(SLOTS),
        ..LoadReport::default()
    }
}

fn notice(number: u64, in_flight: u32, pressed: bool) -> OnlineLoadNotice {
    OnlineLoadNotice {
        from: instance("caller"),
        backend: backend(),
        number,
        in_flight,
        pressed,
    }
}

/// A window that has grown to its full size at an idle backend server.
fn grown_window(share_percent: u64) -> (CongestionWindow, MonoMs) {
    let mut window = CongestionWindow::new(share_percent);
    let mut now = START;
    window.apply_load_report(&report(0, 0), now);
    for _ in 0..SLOTS + 1 {
        now = now + GROWTH_PERIOD_MS;
        window.update(now);
    }
    (window, now)
}

#[test_case(100, 15; "all but the headroom")]
#[test_case(50, 8; "half of the slots")]
fn window_grows_by_steps_to_its_share(share_percent: u64, expected: u32) {
    let mut window = CongestionWindow::new(share_percent);
    window.update(START);
    assert_eq!(window.value(), 0, "no report yet");
    window.apply_load_report(&report(0, 0), START);
    window.update(START + GROWTH_PERIOD_MS);
    assert_eq!(window.value(), 1);
    assert_eq!(grown_window(share_percent).0.value(), expected);
}

#[test_case(1, 14; "one request")]
#[test_case(6, 9; "six requests")]
#[test_case(40, 0; "more than the slots")]
fn window_shrinks_at_once_with_online_load(in_flight: u32, expected: u32) {
    let (mut window, now) = grown_window(100);
    window.apply_online_load(&notice(1, in_flight, false), now);
    window.update(now);
    assert_eq!(window.value(), expected);
    window.apply_online_load(&notice(1, 0, false), now);
    window.update(now + GROWTH_PERIOD_MS);
    assert_eq!(
        window.value(),
        expected,
        "a repeated notice changes nothing"
    );
}

#[test]
fn window_is_held_until_a_later_report_shows_no_queue() {
    let (mut window, now) = grown_window(100);
    window.apply_online_load(&notice(1, 0, true), now);
    let old = LoadReport {
        age_ms: PRESSURE_HOLD_MS + 10,
        ..report(0, 0)
    };
    window.apply_load_report(&old, now + PRESSURE_HOLD_MS);
    assert!(window.is_held(), "the report is older than the pressure");
    window.apply_load_report(&report(0, 0), now + PRESSURE_HOLD_MS);
    assert!(!window.is_held());
}

#[test]
fn window_is_zero_without_reports() {
    let (mut window, _) = grown_window(100);
    window.update(START + REPORT_TTL_MS + 1);
    assert_eq!(window.value(), 0);
}

#[test_case(16, 1, 1.0, true; "all slots taken")]
#[test_case(9, 2, 0.6, false; "waiting for the next step")]
#[test_case(9, 2, 0.97, true; "waiting for memory")]
fn queueing_is_distinguished_from_waiting_for_the_next_step(
    running: u32,
    waiting: u32,
    kv: f64,
    queued: bool,
) {
    let report = LoadReport {
        kv_used: kv,
        ..report(running, waiting)
    };
    assert_eq!(is_queued(&report), queued);
}

fn slot_request(
    owner: &str,
    in_use: u32,
    wanted: u32,
    slack_s: u64,
    number: u64,
) -> BatchSlotRequest {
    BatchSlotRequest {
        owner: instance(owner),
        backend: backend(),
        in_use,
        wanted,
        slack_ms: slack_s * 1_000,
        follows: (1, number),
    }
}

#[test_case(3_600, (8, 7); "same minute shares evenly")]
#[test_case(7_200, (0, 15); "less slack goes first")]
fn slots_go_to_the_owner_with_least_slack(late_s: u64, expected: (u32, u32)) {
    let mut controller = BatchController::new(instance("steward"), backend(), 1, 100);
    let mut now = START;
    controller.handle_request(slot_request("late", 0, 100, late_s, 0), now);
    controller.handle_request(slot_request("soon", 0, 100, 3_600, 0), now);
    controller.apply_load_report(&report(0, 0), now);
    for _ in 0..SLOTS + 1 {
        now = now + GROWTH_PERIOD_MS;
        controller.tick(now);
    }
    let grants: Vec<u32> = controller
        .grants()
        .map(|(_, cancel_above, _)| cancel_above)
        .collect();
    assert_eq!((grants[0], grants[1]), expected);
}

#[test]
fn slot_in_use_is_not_taken_for_an_owner_with_less_slack() {
    let mut controller = BatchController::new(instance("steward"), backend(), 1, 100);
    let mut now = START;
    controller.handle_request(slot_request("late", 0, 100, 7_200, 0), now);
    controller.apply_load_report(&report(0, 0), now);
    for _ in 0..SLOTS + 1 {
        now = now + GROWTH_PERIOD_MS;
        controller.tick(now);
    }
    let (granted, _) = controller.handle_request(slot_request("late", 15, 100, 7_200, 0), now);
    controller.record_usage(slot_request("late", 15, 100, 7_200, granted.number), now);
    controller.handle_request(slot_request("soon", 0, 100, 60, 0), now);
    let late = controller
        .grants()
        .next()
        .map(|(_, cancel_above, start)| (cancel_above, start));
    assert_eq!(late, Some((15, 0)), "its items go on, no new one starts");
    controller.record_usage(slot_request("late", 12, 100, 7_200, granted.number), now);
    controller.tick(now);
    let soon = controller
        .grants()
        .nth(1)
        .map(|(_, cancel_above, _)| cancel_above);
    assert_eq!(soon, Some(0), "the freed slots may still be in use");
}

fn grant(controller: &str, number: u64, cancel_above: u32) -> BatchSlotGrant {
    BatchSlotGrant {
        controller: instance(controller),
        backend: backend(),
        term: 1,
        number,
        cancel_above,
        start_below: cancel_above,
    }
}

fn scheduler(items: u64) -> BatchScheduler {
    let mut scheduler = BatchScheduler::new(instance("owner"));
    let replica = SchedulerReplica {
        backend: backend(),
        targets: vec!["ranger".try_into().unwrap()],
        controller: Some(instance("steward")),
    };
    scheduler.set_replicas(vec![replica], START);
    for item in 0..items {
        let waiting = WaitingItem {
            target: "ranger".try_into().unwrap(),
            deadline: WallMs(1_000 - item),
            order: 0,
            avoid: Vec::new(),
        };
        scheduler.enqueue(item, waiting, START);
    }
    scheduler
}

#[test]
fn scheduler_starts_least_slack_first_and_preempts_the_newest() {
    let mut scheduler = scheduler(3);
    let started = scheduler.handle_response(&grant("steward", 1, 2), START, START);
    let start = |item| SchedulerAction::Start {
        item,
        backend: backend(),
    };
    assert_eq!(started, [start(2), start(1)]);
    let preempted = scheduler.handle_pushed_grant(&grant("steward", 2, 1), START);
    let expected = SchedulerAction::Preempt {
        item: 1,
        backend: backend(),
    };
    assert_eq!(preempted, [expected]);
}

#[test_case("steward", 1; "older grant")]
#[test_case("other", 9; "grant of another controller")]
fn scheduler_ignores(controller: &str, number: u64) {
    let mut scheduler = scheduler(5);
    scheduler.handle_response(&grant("steward", 2, 1), START, START);
    scheduler.handle_response(&grant(controller, number, 5), START, START);
    assert_eq!(scheduler.in_use(&backend()), 1);
}

#[test]
fn pushed_grant_does_not_last_longer_than_the_request_before_it() {
    let mut scheduler = scheduler(5);
    scheduler.handle_pushed_grant(&grant("steward", 1, 5), START);
    assert_eq!(scheduler.in_use(&backend()), 0, "nothing was requested yet");
    scheduler.handle_response(&grant("steward", 2, 1), START, START);
    scheduler.handle_pushed_grant(&grant("steward", 3, 3), START + GRANT_MS);
    assert_eq!(scheduler.in_use(&backend()), 3);
    let preempted = scheduler.act(START + GRANT_MS + 1);
    assert_eq!(preempted.len(), 3);
}
