//! Probes of suspected groups. Guards against probes that an instance holds while it sends none, and
//! against two that are sent side by side.

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::part_crashes::{LostRequest, PartCrash};
use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_relay::crashes::CrashTracker;
use foxtailhold_relay::peers::HarmlessProbe;
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

fn harmless(probe: u64, has_passed: bool) -> HarmlessProbe {
    HarmlessProbe {
        group: GROUP.to_vec(),
        probe,
        at_unix_ms: 10_000,
        has_passed,
    }
}

fn passed(passes: u64) -> CrashTracker {
    let tracker = CrashTracker::default();
    for probe in 0..passes {
        tracker.record_harmless_probe(harmless(probe, true), NOW);
    }
    tracker
}

/// Probes that the instance at a place of ten is admitted beside others.
fn admitted_beside(tracker: &CrashTracker, rank: usize, now: MonoMs) -> usize {
    let share = tracker.share_beside(&GROUP, (rank, 10), now);
    let admit = || tracker.admit_beside(&GROUP, share, now);
    std::iter::repeat_with(admit)
        .take(1_000)
        .take_while(|is_admitted| *is_admitted)
        .count()
}

/// Guards against sound items that wait for one probe after the other.
#[test]
fn each_probe_that_runs_on_adds_three_over_all_instances() {
    for (passes, expected) in [(1, 4), (5, 16), (21, 64)] {
        let admitted: usize = (0..10)
            .map(|rank| admitted_beside(&passed(passes), rank, NOW))
            .sum();
        assert_eq!(admitted, expected, "{passes} passes");
    }
}

/// Guards against a message that is sent twice and counts twice.
#[test]
fn a_probe_that_runs_on_counts_once() {
    let tracker = passed(1);
    tracker.record_harmless_probe(harmless(0, true), NOW + 400);
    let admitted: usize = (0..10)
        .map(|rank| tracker.share_beside(&GROUP, (rank, 10), NOW + 400))
        .sum();
    assert_eq!(admitted, 4);
}

/// Guards against many probes side by side after one that runs on, because others did long before.
#[test]
fn probes_that_ran_on_lapse_for_good() {
    let tracker = passed(10);
    let lapsed = NOW + 5_000;
    tracker.record_harmless_probe(harmless(10, true), lapsed);
    let admitted: usize = (0..10)
        .map(|rank| tracker.share_beside(&GROUP, (rank, 10), lapsed))
        .sum();
    assert_eq!(admitted, 4);
}

/// Guards against items that no probe is admitted for once a probe elsewhere has run on.
#[test]
fn an_instance_without_a_share_takes_turns_as_before() {
    let tracker = passed(1);
    assert_eq!(admitted_beside(&tracker, 8, NOW), 0);
    assert!(tracker.admit_group_probe(&GROUP, NOW));
    let lapsed = NOW + 5_000;
    assert_eq!(tracker.share_beside(&GROUP, (0, 10), lapsed), 0);
    assert!(tracker.reserve_group_probe(&GROUP, lapsed));
}

#[test]
fn a_crash_lets_probes_run_one_at_a_time_again() {
    let tracker = passed(1);
    let id = CrashId {
        backend: BackendId::try_from("i-1").unwrap(),
        started_unix_ms: 1,
    };
    let lost = LostRequest {
        request: Fingerprint(1),
        parts: SharedParts::from(GROUP.as_slice()),
        begun_unix_ms: 9_000,
        is_probe: true,
    };
    let origin = StreamOrigin {
        service: TargetName::try_from("writers").unwrap(),
        version: "v1".try_into().unwrap(),
    };
    let crash = PartCrash::new(origin, WallMs(10_500), Some(lost));
    assert!(tracker.merge_part_crash(&id, &crash));
    assert_eq!(tracker.share_beside(&GROUP, (0, 10), NOW), 0);
    // News of a probe that ran on before the crash may come after it.
    tracker.record_harmless_probe(harmless(7, true), NOW);
    assert_eq!(tracker.share_beside(&GROUP, (0, 10), NOW), 0);
}

/// Guards against a probe that is preempted and keeps the next one from its turn.
#[test]
fn the_next_probe_is_admitted_once_one_has_ended_without_a_crash() {
    let tracker = CrashTracker::default();
    assert!(tracker.admit_group_probe(&GROUP, NOW));
    assert!(!tracker.is_group_probe_free(&GROUP, NOW + 1));
    tracker.record_harmless_probe(harmless(1, false), NOW);
    assert_eq!(tracker.share_beside(&GROUP, (0, 10), NOW), 0);
    assert!(tracker.admit_group_probe(&GROUP, NOW + 1));
}
