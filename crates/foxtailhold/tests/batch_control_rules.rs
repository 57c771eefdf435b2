//! Single rules of the steward and the owner's desk.

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

/// A mark that has risen all the way at an idle replica.
fn risen(share_percent: u64) -> (CongestionWindow, MonoMs) {
    let mut mark = CongestionWindow::new(share_percent);
    let mut now = START;
    mark.reported(&report(0, 0), now);
    for _ in 0..SLOTS + 1 {
        now = now + GROWTH_PERIOD_MS;
        mark.update(now);
    }
    (mark, now)
}

#[test_case(100, 15; "all but the headroom")]
#[test_case(50, 8; "half of the slots")]
fn mark_rises_by_steps_to_its_share(share_percent: u64, expected: u32) {
    let mut mark = CongestionWindow::new(share_percent);
    mark.update(START);
    assert_eq!(mark.value(), 0, "no report yet");
    mark.reported(&report(0, 0), START);
    mark.update(START + GROWTH_PERIOD_MS);
    assert_eq!(mark.value(), 1);
    assert_eq!(risen(share_percent).0.value(), expected);
}

#[test_case(1, 14; "one request")]
#[test_case(6, 9; "six requests")]
#[test_case(40, 0; "more than the slots")]
fn mark_falls_at_once_with_online_work(in_flight: u32, expected: u32) {
    let (mut mark, now) = risen(100);
    mark.noticed(&notice(1, in_flight, false), now);
    mark.update(now);
    assert_eq!(mark.value(), expected);
    mark.noticed(&notice(1, 0, false), now);
    mark.update(now + GROWTH_PERIOD_MS);
    assert_eq!(mark.value(), expected, "a repeated notice changes nothing");
}

#[test]
fn mark_is_held_until_a_later_report_shows_no_queue() {
    let (mut mark, now) = risen(100);
    mark.noticed(&notice(1, 0, true), now);
    let old = LoadReport {
        age_ms: PRESSURE_HOLD_MS + 10,
        ..report(0, 0)
    };
    mark.reported(&old, now + PRESSURE_HOLD_MS);
    assert!(mark.is_held(), "the report is older than the pressure");
    mark.reported(&report(0, 0), now + PRESSURE_HOLD_MS);
    assert!(!mark.is_held());
}

#[test]
fn mark_is_zero_without_reports() {
    let (mut mark, _) = risen(100);
    mark.update(START + REPORT_TTL_MS + 1);
    assert_eq!(mark.value(), 0);
}

#[test_case(16, 1, 1.0, true; "all slots taken")]
#[test_case(9, 2, 0.6, false; "waiting for the next step")]
#[test_case(9, 2, 0.97, true; "waiting for memory")]
fn queue_is_told_from_a_wait_for_the_step(running: u32, waiting: u32, kv: f64, queued: bool) {
    let report = LoadReport {
        kv_used: kv,
        ..report(running, waiting)
    };
    assert_eq!(is_queued(&report), queued);
}

fn ask(owner: &str, in_use: u32, wanted: u32, slack_s: u64, number: u64) -> BatchSlotRequest {
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
fn places_go_by_least_slack(late_s: u64, expected: (u32, u32)) {
    let mut steward = BatchController::new(instance("steward"), backend(), 1, 100);
    let mut now = START;
    steward.asked(ask("late", 0, 100, late_s, 0), now);
    steward.asked(ask("soon", 0, 100, 3_600, 0), now);
    steward.reported(&report(0, 0), now);
    for _ in 0..SLOTS + 1 {
        now = now + GROWTH_PERIOD_MS;
        steward.tick(now);
    }
    let grants: Vec<u32> = steward.grants().map(|(_, keep, _)| keep).collect();
    assert_eq!((grants[0], grants[1]), expected);
}

#[test]
fn place_in_use_is_not_taken_for_an_owner_with_less_slack() {
    let mut steward = BatchController::new(instance("steward"), backend(), 1, 100);
    let mut now = START;
    steward.asked(ask("late", 0, 100, 7_200, 0), now);
    steward.reported(&report(0, 0), now);
    for _ in 0..SLOTS + 1 {
        now = now + GROWTH_PERIOD_MS;
        steward.tick(now);
    }
    let (granted, _) = steward.asked(ask("late", 15, 100, 7_200, 0), now);
    steward.told(ask("late", 15, 100, 7_200, granted.number), now);
    steward.asked(ask("soon", 0, 100, 60, 0), now);
    let late = steward
        .grants()
        .next()
        .map(|(_, keep, start)| (keep, start));
    assert_eq!(late, Some((15, 0)), "its items go on, no new one starts");
    steward.told(ask("late", 12, 100, 7_200, granted.number), now);
    steward.tick(now);
    let soon = steward.grants().nth(1).map(|(_, keep, _)| keep);
    assert_eq!(soon, Some(0), "the freed places may still be in use");
}

fn grant(steward: &str, number: u64, keep: u32) -> BatchSlotGrant {
    BatchSlotGrant {
        controller: instance(steward),
        backend: backend(),
        term: 1,
        number,
        cancel_above: keep,
        start_below: keep,
    }
}

fn desk(items: u64) -> BatchScheduler {
    let mut desk = BatchScheduler::new(instance("owner"));
    let replica = SchedulerReplica {
        backend: backend(),
        targets: vec!["ranger".try_into().unwrap()],
        controller: Some(instance("steward")),
    };
    desk.set_replicas(vec![replica], START);
    for item in 0..items {
        let waiting = WaitingItem {
            target: "ranger".try_into().unwrap(),
            deadline: WallMs(1_000 - item),
            order: 0,
            avoid: Vec::new(),
        };
        desk.wait(item, waiting, START);
    }
    desk
}

#[test]
fn desk_starts_least_slack_first_and_cuts_the_newest() {
    let mut desk = desk(3);
    let started = desk.answered(&grant("steward", 1, 2), START, START);
    let start = |item| SchedulerAction::Start {
        item,
        backend: backend(),
    };
    assert_eq!(started, [start(2), start(1)]);
    let cut = desk.pushed(&grant("steward", 2, 1), START);
    let expected = SchedulerAction::Preempt {
        item: 1,
        backend: backend(),
    };
    assert_eq!(cut, [expected]);
}

#[test_case("steward", 1; "older grant")]
#[test_case("other", 9; "grant of another steward")]
fn desk_passes_over(steward: &str, number: u64) {
    let mut desk = desk(5);
    desk.answered(&grant("steward", 2, 1), START, START);
    desk.answered(&grant(steward, number, 5), START, START);
    assert_eq!(desk.in_use(&backend()), 1);
}

#[test]
fn pushed_grant_does_not_last_longer_than_the_question_before_it() {
    let mut desk = desk(5);
    desk.pushed(&grant("steward", 1, 5), START);
    assert_eq!(desk.in_use(&backend()), 0, "nothing was asked yet");
    desk.answered(&grant("steward", 2, 1), START, START);
    desk.pushed(&grant("steward", 3, 3), START + GRANT_MS);
    assert_eq!(desk.in_use(&backend()), 3);
    let cut = desk.act(START + GRANT_MS + 1);
    assert_eq!(cut.len(), 3);
}
