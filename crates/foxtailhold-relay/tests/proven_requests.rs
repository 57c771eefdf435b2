//! Requests that ran shortly before backend servers crashed under them.

use foxtailhold::crashes::{CrashStatus, DOUBTFUL_REFUSAL_MS, PROBE_SPREAD_MS, REFUSAL_MS};
use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{CrashId, RequestFingerprints};
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_platform::{RowKey, Snapshot, VersionedRow};
use foxtailhold_relay::crashes::{CRASH_PREFIX, CrashTracker};
use test_case::test_case;

const NOW: WallMs = WallMs(1_796_000_000_000);

fn request(target: &str) -> RequestFingerprints {
    RequestFingerprints::of_opaque("host", target, b"body")
}

/// Three crashes under a request, seen here or by another instance.
fn crash_three_times(tracker: &CrashTracker, request: RequestFingerprints, is_seen_here: bool) {
    let witness = CrashTracker::default();
    let witness = if is_seen_here { tracker } else { &witness };
    for started_unix_ms in 1..=3 {
        let crash = CrashId {
            backend: BackendId::try_from("b").unwrap(),
            started_unix_ms,
        };
        let now = (MonoMs(0), NOW);
        let evidence = witness.record_crash(request.path, crash, NOW, now);
        tracker.merge(request.path, &evidence.unwrap(), MonoMs(0));
    }
}

fn left_ms(tracker: &CrashTracker, request: RequestFingerprints) -> u64 {
    match tracker.request_status(request, NOW) {
        CrashStatus::Refused { left_ms } => left_ms,
        status => panic!("{status:?}"),
    }
}

#[test_case("/sound", 1, true, true; "seen here")]
#[test_case("/sound", 1, false, true; "another instance saw the crashes")]
#[test_case("/other", 1, true, false; "another request ran")]
#[test_case("/sound", 600_000, true, false; "it ran long before")]
fn a_request_that_ran_shortly_before_is_refused_for_less(
    target: &str,
    ms_before: u64,
    is_seen_here: bool,
    is_proven: bool,
) {
    let tracker = CrashTracker::default();
    tracker.record_request(request(target), WallMs(NOW.0 - ms_before));
    crash_three_times(&tracker, request("/sound"), is_seen_here);
    let left_ms = left_ms(&tracker, request("/sound"));
    let short = DOUBTFUL_REFUSAL_MS..DOUBTFUL_REFUSAL_MS + PROBE_SPREAD_MS;
    assert_eq!(short.contains(&left_ms), is_proven, "{left_ms} ms");
    assert!(is_proven || left_ms == REFUSAL_MS[0], "{left_ms} ms");
}

/// Guards against evidence that was deleted while an instance stood still, and that it holds on to
/// because the store has discarded that history.
#[test_case(7, true; "deleted before the table was read")]
#[test_case(3, false; "written after it")]
fn evidence_whose_row_a_complete_table_lacks_is_dropped(version: u64, is_dropped: bool) {
    const ROW_VERSION: u64 = 5;
    let (evidence_of, tracker) = (CrashTracker::default(), CrashTracker::default());
    crash_three_times(&evidence_of, request("/a"), true);
    let (_, evidence) = evidence_of.newest_evidence(1).remove(0);
    let key = request("/a").path.to_string();
    let row = VersionedRow {
        key: RowKey::new("instances", &format!("{CRASH_PREFIX}{key}")),
        value: Some(serde_json::to_vec(&evidence).unwrap().into()),
        version: ROW_VERSION,
    };
    tracker.apply_row(&key, &row);
    assert!(left_ms(&tracker, request("/a")) > 0);
    tracker.remove_deleted_rows(&Snapshot {
        rows: Vec::new(),
        version,
    });
    let status = tracker.request_status(request("/a"), NOW);
    assert_eq!(status == CrashStatus::Allowed, is_dropped, "{status:?}");
}
