//! Slots at engines of several software versions. Guards against grants at another version than the
//! requested one, and against requests for one version that delay those for any.

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, SlotDecision, SlotNotice, SlotOutcome, SlotRequest, SlotRequestId,
    Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;
use test_case::test_case;

const ONLINE: Urgency = Urgency::Online { priority: 0 };
const PATIENCE_MS: u64 = 300;
const PATIENT_MS: u64 = 60_000;
const DONE: SlotOutcome = SlotOutcome::Done { held_ms: 800 };

fn pool() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn backend(number: usize) -> BackendId {
    BackendId::try_from(format!("engine-{number}").as_str()).unwrap()
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(text).unwrap()
}

/// One engine for each version, with the given number of slots.
fn engines(all: &[(&str, u32)]) -> Vec<BackendSlots> {
    let engines = all.iter().enumerate().map(|(number, (text, slots))| {
        let zone = AvailabilityZone::try_from("a").unwrap();
        BackendSlots {
            backend: backend(number),
            zone,
            slots: *slots,
            version: version(text),
        }
    });
    engines.collect()
}

fn allocator(all: &[(&str, u32)]) -> Allocator {
    let mut allocator = Allocator::default();
    allocator.set_backends(&pool(), &engines(all));
    allocator
}

/// Like [`allocator`], after a request that held a slot for 800 ms.
fn allocator_with_service_time(all: &[(&str, u32)]) -> Allocator {
    let mut allocator = allocator(all);
    granted(&mut allocator, 0, online(1_000, None));
    release(&mut allocator, 0, 1_000, DONE);
    allocator
}

fn request(number: u64, urgency: Urgency, slack_ms: u64, wanted: Option<&str>) -> SlotRequest {
    SlotRequest {
        id: SlotRequestId {
            instance: InstanceId::try_from("entry-1").unwrap(),
            number,
        },
        pool: pool(),
        urgency,
        slack_ms,
        late_ms: 0,
        avoid: Vec::new(),
        zone: AvailabilityZone::try_from("a").unwrap(),
        version: wanted.map(version),
    }
}

fn online(number: u64, wanted: Option<&str>) -> SlotRequest {
    request(number, ONLINE, PATIENCE_MS, wanted)
}

fn patient(number: u64, wanted: Option<&str>) -> SlotRequest {
    request(number, ONLINE, PATIENT_MS, wanted)
}

fn item(number: u64, wanted: Option<&str>) -> SlotRequest {
    request(number, Urgency::Batch, PATIENT_MS, wanted)
}

fn submit(
    allocator: &mut Allocator,
    at_ms: u64,
    request: SlotRequest,
) -> (SlotDecision, Vec<SlotNotice>) {
    let mut notices = Vec::new();
    let decision = allocator.request_slot(MonoMs(at_ms), request, &mut notices);
    (decision, notices)
}

fn granted(allocator: &mut Allocator, at_ms: u64, request: SlotRequest) -> BackendId {
    match submit(allocator, at_ms, request).0 {
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
    let mut notices = Vec::new();
    let id = online(number, None).id;
    allocator.release(MonoMs(at_ms), &pool(), &id, outcome, &mut notices);
    notices
}

fn tick(allocator: &mut Allocator, at_ms: u64) -> Vec<SlotNotice> {
    let mut notices = Vec::new();
    allocator.tick(MonoMs(at_ms), &mut notices);
    notices
}

fn grant_of(number: u64, engine: usize) -> SlotNotice {
    SlotNotice {
        request: online(number, None).id,
        decision: Some(SlotDecision::Granted(backend(engine))),
    }
}

fn preemption_of(number: u64) -> SlotNotice {
    SlotNotice {
        request: online(number, None).id,
        decision: None,
    }
}

#[test_case(ONLINE ; "online")]
#[test_case(Urgency::Batch ; "batch")]
fn only_an_engine_of_the_version_is_granted(urgency: Urgency) {
    let mut allocator = allocator(&[("v1", 8), ("v2", 2), ("v1", 8)]);
    for number in 0..2 {
        let wanted = request(number, urgency, PATIENT_MS, Some("v2"));
        assert_eq!(granted(&mut allocator, 0, wanted), backend(1));
    }
    let full = request(2, urgency, PATIENT_MS, Some("v2"));
    assert_eq!(submit(&mut allocator, 0, full).0, SlotDecision::Queued);
    assert_eq!(release(&mut allocator, 10, 0, DONE), [grant_of(2, 1)]);
}

#[test]
fn an_engine_of_the_version_that_is_to_be_avoided_is_not_granted() {
    let mut allocator = allocator(&[("v1", 8), ("v2", 8), ("v1", 8)]);
    let mut again = online(1, Some("v1"));
    again.avoid = vec![backend(0)];
    assert_eq!(granted(&mut allocator, 0, again), backend(2));
    let mut nowhere = patient(2, Some("v1"));
    nowhere.avoid = vec![backend(0), backend(2)];
    assert_eq!(submit(&mut allocator, 0, nowhere).0, SlotDecision::Queued);
}

#[test_case(ONLINE ; "online")]
#[test_case(Urgency::Batch ; "batch")]
fn a_version_that_is_not_listed_is_gone_at_once(urgency: Urgency) {
    let mut allocator = allocator(&[("v1", 8)]);
    let wanted = request(1, urgency, PATIENT_MS, Some("v2"));
    assert_eq!(
        submit(&mut allocator, 0, wanted),
        (SlotDecision::VersionGone, Vec::new())
    );
    let loads: Vec<(u64, u64)> = allocator.loads().map(|(_, u, w)| (u, w)).collect();
    assert_eq!(loads, [(0, 0)]);
}

/// An allocator of which the last engine of v2 is gone while request 2 waits for it.
fn with_gone_version() -> Allocator {
    let mut allocator = allocator(&[("v1", 1), ("v2", 1)]);
    granted(&mut allocator, 0, patient(1, Some("v2")));
    assert_eq!(
        submit(&mut allocator, 0, patient(2, Some("v2"))).0,
        SlotDecision::Queued
    );
    allocator.set_backends(&pool(), &engines(&[("v1", 1)]));
    allocator
}

#[test]
fn a_queued_request_learns_that_its_version_is_gone() {
    let mut repeated = with_gone_version();
    assert_eq!(
        submit(&mut repeated, 100, patient(2, Some("v2"))).0,
        SlotDecision::VersionGone
    );
    assert_eq!(tick(&mut repeated, 101), []);
    let mut decided = with_gone_version();
    let gone = SlotNotice {
        request: patient(2, None).id,
        decision: Some(SlotDecision::VersionGone),
    };
    assert_eq!(tick(&mut decided, 100), [gone]);
    assert_eq!(tick(&mut decided, 101), []);
}

/// Guards against streams that are cut because the allocator has just started.
#[test_case(None ; "no list yet")]
#[test_case(Some(&[]) ; "an empty list")]
fn an_allocator_that_knows_no_engine_does_not_say_that_a_version_is_gone(
    listed: Option<&[BackendSlots]>,
) {
    let mut allocator = Allocator::default();
    if let Some(listed) = listed {
        allocator.set_backends(&pool(), listed);
    }
    for wanted in [patient(1, Some("v1")), item(2, Some("v1"))] {
        assert_eq!(submit(&mut allocator, 0, wanted).0, SlotDecision::Queued);
    }
    assert_eq!(tick(&mut allocator, 50), []);
    allocator.set_backends(&pool(), &engines(&[("v1", 2)]));
    assert_eq!(tick(&mut allocator, 60), [grant_of(1, 0), grant_of(2, 0)]);
}

#[test]
fn an_engine_that_runs_another_version_now_is_a_new_one() {
    let mut allocator = allocator(&[("v1", 1)]);
    granted(&mut allocator, 0, online(1, Some("v1")));
    release(&mut allocator, 1, 1, SlotOutcome::Unreachable);
    assert!(matches!(
        submit(&mut allocator, 2, request(2, ONLINE, 200, None)).0,
        SlotDecision::Refused { .. }
    ));
    allocator.set_backends(&pool(), &engines(&[("v2", 1)]));
    assert_eq!(granted(&mut allocator, 3, online(3, None)), backend(0));
    allocator.set_backends(&pool(), &engines(&[("v3", 1)]));
    assert_eq!(
        granted(&mut allocator, 4, online(4, Some("v3"))),
        backend(0)
    );
    allocator.set_backends(&pool(), &engines(&[("v3", 1)]));
    assert_eq!(
        submit(&mut allocator, 5, patient(5, Some("v3"))).0,
        SlotDecision::Queued,
        "the grants at an unchanged engine stay"
    );
}

#[test_case(None, Some(0) ; "any version")]
#[test_case(Some("v1"), None ; "the full version")]
#[test_case(Some("v2"), Some(1) ; "the free version")]
fn queued_requests_for_a_full_version_only_delay_that_version(
    wanted: Option<&str>,
    granted_engine: Option<usize>,
) {
    let mut allocator = allocator_with_service_time(&[("v1", 1), ("v2", 1)]);
    granted(&mut allocator, 0, patient(1, Some("v1")));
    for number in 2..8 {
        assert_eq!(
            submit(&mut allocator, 0, patient(number, Some("v1"))).0,
            SlotDecision::Queued
        );
    }
    let decision = submit(&mut allocator, 1, online(100, wanted)).0;
    let Some(_) = granted_engine else {
        assert!(
            matches!(decision, SlotDecision::Refused { .. }),
            "{decision:?}"
        );
        return;
    };
    assert_eq!(decision, SlotDecision::Granted(backend(1)));
}

/// Three requests wait for the only slot of v1; the three slots of v2 are in use as well. All have been
/// held for 100 of 800 ms.
#[test_case(None, 700, true ; "any version, in time at v2")]
#[test_case(None, 690, false ; "any version, late at v2")]
#[test_case(Some("v2"), 700, true ; "v2, in time")]
#[test_case(Some("v2"), 690, false ; "v2, late")]
#[test_case(Some("v1"), 3_090, false ; "v1, late")]
#[test_case(Some("v1"), 3_100, true ; "v1, in time")]
fn the_wait_is_estimated_by_version(wanted: Option<&str>, slack_ms: u64, is_in_time: bool) {
    let mut allocator = allocator_with_service_time(&[("v1", 1), ("v2", 3)]);
    for number in 0..4 {
        granted(&mut allocator, 0, patient(number, None));
    }
    for number in 4..7 {
        submit(
            &mut allocator,
            100,
            request(number, ONLINE, 2_400, Some("v1")),
        );
    }
    let decision = submit(&mut allocator, 100, request(100, ONLINE, slack_ms, wanted)).0;
    let is_queued = decision == SlotDecision::Queued;
    assert_eq!(is_queued, is_in_time, "{decision:?}");
}

/// Guards against streams that are cut because the one engine of their version is full for 40 ms.
#[test]
fn a_patient_request_outlasts_a_blocked_version() {
    let mut allocator = allocator(&[("v1", 1), ("v2", 8)]);
    granted(&mut allocator, 0, patient(1, Some("v1")));
    release(&mut allocator, 1, 1, SlotOutcome::Full);
    let impatient = request(2, ONLINE, 30, Some("v1"));
    assert!(matches!(
        submit(&mut allocator, 2, impatient).0,
        SlotDecision::Refused { .. }
    ));
    assert_eq!(
        submit(&mut allocator, 2, patient(3, Some("v1"))).0,
        SlotDecision::Queued
    );
    assert_eq!(tick(&mut allocator, 60), [grant_of(3, 0)]);
}

#[test]
fn an_online_request_preempts_only_at_its_version() {
    let mut allocator = allocator(&[("v1", 2), ("v2", 2)]);
    // Items have waited for 3 s, so that those with less slack may use the headroom.
    for number in 200..204 {
        granted(&mut allocator, 0, patient(number, None));
    }
    submit(&mut allocator, 0, item(204, None));
    submit(&mut allocator, 2_000, item(204, None));
    for number in 200..204 {
        release(&mut allocator, 3_000, number, DONE);
    }
    release(&mut allocator, 3_000, 204, DONE);
    granted(&mut allocator, 5_000, patient(100, Some("v1")));
    granted(&mut allocator, 5_000, patient(101, Some("v2")));
    granted(
        &mut allocator,
        5_000,
        request(1, Urgency::Batch, 1_000, Some("v1")),
    );
    granted(
        &mut allocator,
        5_000,
        request(2, Urgency::Batch, 2_000, Some("v2")),
    );
    let (decision, notices) = submit(&mut allocator, 5_001, patient(102, Some("v1")));
    assert_eq!(decision, SlotDecision::Queued);
    assert_eq!(
        notices,
        [preemption_of(1)],
        "item 2 has more slack, but runs at another version"
    );
    assert_eq!(
        submit(&mut allocator, 5_002, patient(103, Some("v1"))).1,
        [],
        "v1 has no further item"
    );
    assert_eq!(
        submit(&mut allocator, 5_003, online(104, None)).1,
        [preemption_of(2)],
        "the preempted item of v1 ends for another request"
    );
    assert_eq!(release(&mut allocator, 5_004, 2, DONE), [grant_of(104, 1)]);
    assert_eq!(release(&mut allocator, 5_005, 1, DONE), [grant_of(102, 0)]);
}

#[test]
fn an_online_request_preempts_nothing_where_it_may_not_run() {
    let mut allocator = allocator(&[("v1", 1), ("v1", 1), ("v2", 1)]);
    granted(&mut allocator, 0, patient(100, Some("v2")));
    let mut at_first = request(1, Urgency::Batch, 1_000, Some("v1"));
    at_first.avoid = vec![backend(1)];
    assert_eq!(granted(&mut allocator, 0, at_first), backend(0));
    granted(&mut allocator, 0, patient(101, Some("v1")));
    let mut resumed = patient(102, Some("v1"));
    resumed.avoid = vec![backend(0)];
    assert_eq!(
        submit(&mut allocator, 1, resumed),
        (SlotDecision::Queued, Vec::new())
    );
}

#[test]
fn items_for_a_full_version_do_not_use_up_free_slots() {
    let mut allocator = allocator(&[("v1", 1), ("v2", 8)]);
    granted(&mut allocator, 0, patient(1, Some("v1")));
    for number in 10..300 {
        assert_eq!(
            submit(&mut allocator, 0, item(number, Some("v1"))).0,
            SlotDecision::Queued
        );
    }
    let mut at_v2 = 0;
    for number in 400..408 {
        at_v2 += u32::from(submit(&mut allocator, 1, item(number, None)).0 != SlotDecision::Queued);
    }
    assert_eq!(at_v2, 7, "one slot is kept free for online requests");
    assert_eq!(granted(&mut allocator, 2, online(500, None)), backend(1));
}

#[test]
fn items_for_a_version_leave_headroom_too() {
    let mut allocator = allocator(&[("v1", 2), ("v2", 2)]);
    let wanted = ["v1", "v2", "v1", "v2"];
    let granted_count = (0_u64..4)
        .zip(wanted)
        .filter(|(number, wanted)| {
            submit(&mut allocator, 0, item(*number, Some(wanted))).0 != SlotDecision::Queued
        })
        .count();
    assert_eq!(granted_count, 3);
    granted(&mut allocator, 1, online(100, None));
}

#[test]
fn a_repeated_request_for_a_version_keeps_its_slot() {
    let mut allocator = allocator(&[("v1", 1), ("v2", 8)]);
    for at_ms in [0, 5, 40] {
        assert_eq!(
            granted(&mut allocator, at_ms, online(1, Some("v1"))),
            backend(0)
        );
    }
}
