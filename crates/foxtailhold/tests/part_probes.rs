//! Which requests probe suspected parts. Guards against probes that are spent on requests which crash
//! backend servers by themselves while sound ones with the same parts wait.

use foxtailhold::crashes::CrashStatus;
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::part_crashes::{LostRequest, PART_REFUSAL_MS, PartCrash, PartCrashRegistry};
use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::WallMs;
use test_case::test_case;

const START_MS: u64 = 1_000_000;
const SHORT_MS: u64 = PART_REFUSAL_MS[0];
const LONG_MS: u64 = PART_REFUSAL_MS[1];
const DAY_MS: u64 = PART_REFUSAL_MS[2];

fn service() -> TargetName {
    TargetName::try_from("s").unwrap()
}

fn shared_parts() -> SharedParts {
    SharedParts::from([PartId(2)].as_slice())
}

/// A crash at `at_ms` under one request, which was sent 50 ms before.
fn crash(registry: &mut PartCrashRegistry, at_ms: u64, request: u128, is_probe: bool) {
    let id = CrashId {
        backend: BackendId::try_from("a").unwrap(),
        started_unix_ms: at_ms,
    };
    let origin = StreamOrigin {
        service: service(),
        version: SoftwareVersion::try_from("v1").unwrap(),
    };
    let lost = LostRequest {
        request: Fingerprint(request),
        parts: shared_parts(),
        begun_unix_ms: START_MS + at_ms - 50,
        is_probe,
    };
    let record = PartCrash::new(origin, WallMs(START_MS + at_ms), Some(lost));
    registry.join(&id, &record);
}

/// Four crashes in a row under two requests; the last at 400 ms.
fn suspected_by_two_requests() -> PartCrashRegistry {
    let mut registry = PartCrashRegistry::default();
    for (at_ms, request) in [(100, 1), (200, 2), (300, 1), (400, 2)] {
        crash(&mut registry, at_ms, request, false);
    }
    registry
}

/// When a request that was never lost may probe, and when request 1, in ms.
fn probe_times(registry: &mut PartCrashRegistry, at_ms: u64) -> [u64; 2] {
    let now = WallMs(START_MS + at_ms);
    let other = registry.status(&shared_parts(), &service(), now).0;
    let repeated = Fingerprint(1);
    let repeated = registry.status_of(repeated, &shared_parts(), &service(), now);
    [other, repeated.0].map(|status| match status {
        CrashStatus::Allowed => 0,
        CrashStatus::Refused { left_ms } => at_ms + left_ms,
        CrashStatus::ProbeAllowed { for_ms } => at_ms - for_ms,
    })
}

#[test]
fn a_request_that_was_lost_before_yields_to_others() {
    let [other, repeated] = probe_times(&mut suspected_by_two_requests(), 400);
    assert_eq!(other, 400 + SHORT_MS);
    assert_eq!(repeated, other + 500);
}

/// Guards against requests that all were lost, as with a rack, and that yield to none.
#[test_case(1, 500; "as often as the others")]
#[test_case(2, 2_500; "once more often")]
#[test_case(3, 4_500; "twice more often")]
fn a_request_yields_to_those_that_were_lost_less_often(losses: u64, delay_ms: u64) {
    let mut registry = PartCrashRegistry::default();
    for request in [2, 3, 4] {
        crash(&mut registry, request * 100, u128::from(request), false);
    }
    for loss in 0..losses {
        crash(&mut registry, 500 + loss * 100, 1, false);
    }
    let last_ms = 400 + losses * 100;
    let [other, repeated] = probe_times(&mut registry, last_ms);
    assert_eq!(repeated, other + delay_ms);
}

#[test]
fn probes_of_requests_that_were_lost_before_leave_one_to_others() {
    let mut registry = suspected_by_two_requests();
    crash(&mut registry, 10_000, 1, true);
    let [other, repeated] = probe_times(&mut registry, 10_000);
    assert_eq!(other, 10_000 + SHORT_MS);
    assert!(repeated >= 10_000 + LONG_MS);
    crash(&mut registry, 40_000, 2, true);
    let [other, repeated] = probe_times(&mut registry, 40_000);
    assert_eq!(other, 40_000 + SHORT_MS);
    assert!(repeated >= 40_000 + DAY_MS);
}

/// A deadly part runs three times at most after it is suspected, whichever requests hold it.
#[test_case(&[1, 2, 9], &[LONG_MS, DAY_MS]; "two that were lost before")]
#[test_case(&[1, 8], &[LONG_MS]; "one that was lost before")]
#[test_case(&[8, 9], &[LONG_MS]; "others")]
#[test_case(&[8, 1], &[LONG_MS]; "one that was lost before at the end")]
fn a_deadly_part_is_refused_for_good_after_three_probes(probes: &[u128], repeated: &[u64]) {
    let mut registry = suspected_by_two_requests();
    let mut at_ms = 400;
    for (index, request) in probes.iter().enumerate() {
        at_ms += 30_000;
        crash(&mut registry, at_ms, *request, true);
        if let Some(refused_ms) = repeated.get(index) {
            assert!(probe_times(&mut registry, at_ms)[1] >= at_ms + refused_ms);
        }
    }
    let [other, repeated] = probe_times(&mut registry, at_ms);
    assert_eq!(other, at_ms + DAY_MS);
    assert!(repeated >= at_ms + DAY_MS);
}

/// Guards against batch items that backend servers crashed beside, and that are refused for a day
/// after two probes met crashes of another cause.
#[test_case(0; "before any probe")]
#[test_case(1; "after one")]
#[test_case(2; "after two")]
#[test_case(5; "after five")]
fn a_request_that_is_owed_is_probed_again_within_10_s(probes: u64) {
    const OWED_WITHIN_MS: u64 = 10_000;
    let mut registry = suspected_by_two_requests();
    let mut last_ms = 400;
    for _ in 0..probes {
        last_ms += 10_000;
        crash(&mut registry, last_ms, 1, true);
    }
    for request in [1, 2, 9] {
        let now = WallMs(START_MS + last_ms + OWED_WITHIN_MS);
        let parts = shared_parts();
        let (status, _) = registry.status_of_owed(Fingerprint(request), &parts, &service(), now);
        let is_free = !matches!(status, CrashStatus::Refused { .. });
        assert!(is_free, "request {request}: {status:?}");
        let now = WallMs(START_MS + last_ms + 100);
        let (status, _) = registry.status_of_owed(Fingerprint(request), &parts, &service(), now);
        assert_ne!(status, CrashStatus::Allowed, "request {request}");
    }
}
