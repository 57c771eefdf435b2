//! Crash evidence against parts of prompts between instances and in rows of the store.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use foxtailhold::crashes::CrashStatus;
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::part_crashes::{Acquittal, LostRequest, PartCrash};
use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_peer::codec;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::crashes::CrashTracker;
use foxtailhold_relay::part_rows::{PART_CRASH_PREFIX, StoredPartCrash};
use foxtailhold_relay::peers::{HarmlessProbe, PeerMessage};
use test_case::test_case;

const GUILTY: PartId = PartId(7);
const NOW_MS: u64 = 1_796_000_000_000;

fn service() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: service(),
        version: version.try_into().unwrap(),
    }
}

fn crash(number: u64) -> (CrashId, PartCrash) {
    let id = CrashId {
        backend: BackendId::try_from("b").unwrap(),
        started_unix_ms: number,
    };
    let lost = LostRequest {
        request: Fingerprint(u128::from(number)),
        parts: SharedParts::from([GUILTY].as_slice()),
        begun_unix_ms: NOW_MS + number * 100,
        is_probe: false,
    };
    let at = WallMs(NOW_MS + number * 100 + 50);
    (id, PartCrash::new(origin("v1"), at, Some(lost)))
}

fn is_refused(tracker: &CrashTracker) -> bool {
    let parts = SharedParts::from([GUILTY, PartId(8)].as_slice());
    let (status, group) = tracker.group_status(&parts, &service(), WallMs(NOW_MS + 500));
    assert_eq!(group.is_some(), status != CrashStatus::Allowed);
    matches!(status, CrashStatus::Refused { .. })
}

/// Guards against new messages that change the number of one which the previous version reads.
#[test]
fn new_messages_come_after_those_of_the_previous_version() {
    let (crash, record) = crash(1);
    let message = PeerMessage::PartCrash { crash, record };
    let encoded = codec::encode(&message).unwrap();
    assert_eq!(encoded[0], 12);
    assert_eq!(codec::decode::<PeerMessage>(&encoded).unwrap(), message);
    let group = vec![GUILTY];
    let encoded = codec::encode(&PeerMessage::ProbeAdmitted { group }).unwrap();
    assert_eq!(encoded[0], 13);
    let harmless = PeerMessage::ProbeHarmless(HarmlessProbe {
        group: vec![GUILTY],
        probe: 1,
        at_unix_ms: NOW_MS,
        has_passed: true,
    });
    let encoded = codec::encode(&harmless).unwrap();
    assert_eq!(encoded[0], 14);
    assert_eq!(codec::decode::<PeerMessage>(&encoded).unwrap(), harmless);
}

#[test_case(3, true; "three crashes in a row")]
#[test_case(2, false; "two of them")]
fn an_instance_that_reads_the_rows_refuses_the_same_parts(crashes: u64, expected: bool) {
    let tracker = CrashTracker::default();
    for (number, (crash, record)) in (1..=crashes).map(|number| (number, crash(number))) {
        let key = StoredPartCrash::key(&crash);
        assert!(key.starts_with(PART_CRASH_PREFIX));
        let stored = StoredPartCrash { crash, record };
        tracker.apply_part_row(&VersionedRow {
            key: RowKey::new("instances", &key),
            version: number,
            value: Some(serde_json::to_vec(&stored).unwrap().into()),
        });
    }
    assert_eq!(is_refused(&tracker), expected);
}

#[test]
fn a_row_that_cannot_be_decoded_changes_nothing() {
    let tracker = CrashTracker::default();
    tracker.apply_part_row(&VersionedRow {
        key: RowKey::new("instances", "part-crash/1"),
        version: 1,
        value: Some(b"{\"crash\":1}".to_vec().into()),
    });
    assert!(tracker.is_empty());
}

#[test]
fn rows_of_suspected_parts_are_written() {
    let tracker = CrashTracker::default();
    for number in 1..=3 {
        let (id, record) = crash(number);
        assert!(tracker.merge_part_crash(&id, &record));
        assert!(!tracker.merge_part_crash(&id, &record));
    }
    tracker.review_parts(WallMs(NOW_MS + 500));
    let expected: BTreeSet<CrashId> = (1..=3).map(|number| crash(number).0).collect();
    assert_eq!(tracker.take_dirty_parts(), expected);
}

#[test]
fn the_next_probe_follows_at_once_after_one_that_showed_nothing() {
    let tracker = CrashTracker::default();
    let now = MonoMs(1_000);
    assert!(tracker.admit_group_probe(&[GUILTY], now));
    assert!(!tracker.admit_group_probe(&[GUILTY], now));
    tracker.release_probe(&SharedParts::from([PartId(8)].as_slice()));
    assert!(!tracker.admit_group_probe(&[GUILTY], now));
    tracker.release_probe(&SharedParts::from([GUILTY, PartId(8)].as_slice()));
    assert!(tracker.admit_group_probe(&[GUILTY], now));
}

#[tokio::test]
async fn an_acquittal_by_another_instance_ends_the_wait_for_it() {
    const LIMIT: Duration = Duration::from_secs(600);
    let tracker = CrashTracker::default();
    for (id, record) in (1..=3).map(crash) {
        tracker.merge_part_crash(&id, &record);
    }
    let acquittals = tracker.acquittals();
    assert!(is_refused(&tracker));
    for (id, mut record) in (1..=3).map(crash) {
        record.acquitted.insert(Acquittal {
            part: GUILTY,
            service: service(),
        });
        tracker.merge_part_crash(&id, &record);
    }
    let began = Instant::now();
    tracker.wait_acquittal(acquittals, LIMIT).await;
    assert!(began.elapsed() < LIMIT);
    assert!(!is_refused(&tracker));
}
