//! Probes of suspected groups. Guards against probes that an instance holds while it sends none, and
//! against two that are sent side by side.

use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::time::MonoMs;
use foxtailhold_relay::crashes::CrashTracker;
use test_case::test_case;

const GROUP: [PartId; 1] = [PartId(7)];
const NOW: MonoMs = MonoMs(10_000);

#[test]
fn a_reserved_probe_keeps_back_requests_of_its_instance_only_and_not_for_long() {
    let [one, other] = [CrashTracker::default(), CrashTracker::default()];
    assert!(one.reserve_group_probe(&GROUP, NOW));
    assert!(!one.reserve_group_probe(&GROUP, NOW + 1_999));
    assert!(one.reserve_group_probe(&GROUP, NOW + 2_000));
    assert!(other.reserve_group_probe(&GROUP, NOW));
    one.release_reservation(&SharedParts::from(GROUP.as_slice()));
    assert!(one.reserve_group_probe(&GROUP, NOW + 2_001));
}

#[test]
fn the_first_request_with_a_slot_is_admitted() {
    let [one, other] = [CrashTracker::default(), CrashTracker::default()];
    assert!(one.reserve_group_probe(&GROUP, NOW) && other.reserve_group_probe(&GROUP, NOW));
    assert!(other.admit_group_probe(&GROUP, NOW + 700));
    one.record_probe(GROUP.to_vec(), true, NOW + 703);
    assert!(!one.is_group_probe_free(&GROUP, NOW + 710));
    assert!(!one.admit_group_probe(&GROUP, NOW + 710));
    assert!(other.keeps_group_probe(&GROUP) && !one.keeps_group_probe(&GROUP));
}

#[test]
fn an_admitted_probe_without_a_result_is_nobodys_after_a_while() {
    let tracker = CrashTracker::default();
    assert!(tracker.admit_group_probe(&GROUP, NOW));
    assert!(!tracker.reserve_group_probe(&GROUP, NOW + 4_999));
    assert!(tracker.reserve_group_probe(&GROUP, NOW + 5_000));
}

#[test_case(3, 1; "the announcements cross")]
#[test_case(24, 1; "they cross late")]
#[test_case(25, 0; "the first one is sent by then")]
fn of_probes_announced_side_by_side_one_is_sent(after_ms: u64, expected: usize) {
    let [first, second] = [CrashTracker::default(), CrashTracker::default()];
    for tracker in [&first, &second] {
        assert!(tracker.admit_group_probe(&GROUP, NOW));
    }
    first.record_probe(GROUP.to_vec(), false, NOW + after_ms);
    second.record_probe(GROUP.to_vec(), true, NOW + after_ms);
    let kept = [first, second].map(|tracker| usize::from(tracker.keeps_group_probe(&GROUP)));
    assert_eq!(kept.iter().sum::<usize>(), expected);
}
