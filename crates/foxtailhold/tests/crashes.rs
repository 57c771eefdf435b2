//! Crash evidence against requests. Guards against evidence that depends on the order or number of
//! reports, and against a crashing request that runs more often than the contract allows.

use std::collections::BTreeSet;

use foxtailhold::crashes::{
    CALM_MS, CrashEvidence, CrashRegistry, CrashStatus, DOUBTFUL_REFUSAL_MS, ITEM_RETURN_MS,
    MAX_CRASHES, MAX_PROBES, PROVEN_REFUSAL_MS, REFUSAL_MS, item_backoff_ms,
};
use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{CrashId, Fingerprint, RequestFingerprints, SUSPECT_TTL_MS};
use foxtailhold::time::WallMs;
use proptest::prelude::*;
use test_case::test_case;

const REQUEST: Fingerprint = Fingerprint(7);
const NOW: WallMs = WallMs(1_000_000);

fn crash(backend: &str, started_unix_ms: u64) -> CrashId {
    CrashId {
        backend: BackendId::try_from(backend).unwrap(),
        started_unix_ms,
    }
}

fn registry(crashes: &[CrashId]) -> CrashRegistry {
    let mut registry = CrashRegistry::default();
    for crash in crashes {
        registry.crashed(REQUEST, crash.clone(), NOW, NOW);
    }
    registry
}

fn later(ms: u64) -> WallMs {
    WallMs(NOW.0 + ms)
}

#[test_case(&[("a", 1), ("b", 1), ("c", 1)], 3; "three backend servers")]
#[test_case(&[("a", 1), ("a", 2), ("a", 3)], 3; "three starts of one")]
#[test_case(&[("a", 1), ("a", 1), ("a", 1)], 1; "copies in flight at one crash")]
#[test_case(&[("a", 1), ("b", 1), ("a", 1)], 2; "one of them reported twice")]
fn crashes_are_distinguished_by_the_start_of_the_backend_server(
    crashes: &[(&str, u64)],
    expected: usize,
) {
    let crashes: Vec<CrashId> = crashes.iter().map(|(id, at)| crash(id, *at)).collect();
    let registry = registry(&crashes);
    assert_eq!(registry.crashes(REQUEST), expected);
    let is_refused = matches!(registry.status(REQUEST, NOW), CrashStatus::Refused { .. });
    assert_eq!(is_refused, expected >= MAX_CRASHES);
    assert_eq!(registry.status(Fingerprint(8), NOW), CrashStatus::Allowed);
}

#[test]
fn a_refusal_lasts_longer_with_each_crash_of_a_probe() {
    let mut registry = registry(&[crash("a", 1), crash("b", 1), crash("c", 1)]);
    let mut now = NOW;
    for (probe, refused_ms) in REFUSAL_MS.iter().enumerate() {
        let left_ms = *refused_ms;
        assert_eq!(
            registry.status(REQUEST, now),
            CrashStatus::Refused { left_ms }
        );
        now = WallMs(now.0 + refused_ms - 1);
        let last = CrashStatus::Refused { left_ms: 1 };
        assert_eq!(registry.status(REQUEST, now), last);
        now = WallMs(now.0 + 1);
        let allowed = CrashStatus::ProbeAllowed { for_ms: 0 };
        assert_eq!(registry.status(REQUEST, now), allowed);
        registry.crashed(REQUEST, crash("late", probe as u64), now, now);
    }
    let left_ms = REFUSAL_MS[MAX_PROBES];
    assert_eq!(
        registry.status(REQUEST, now),
        CrashStatus::Refused { left_ms }
    );
}

/// Guards against a sound request that is refused for a minute because its probe met a crash of
/// another cause.
#[test]
fn a_request_that_ran_shortly_before_is_probed_again_soon() {
    let mut registry = registry(&[crash("a", 1), crash("b", 1), crash("c", 1)]);
    registry.set_proven(REQUEST);
    let mut now = NOW;
    for (probe, refused_ms) in PROVEN_REFUSAL_MS.iter().enumerate() {
        let spread_ms = if probe == 0 { 7 } else { 0 };
        let left_ms = refused_ms + spread_ms;
        let refused = CrashStatus::Refused { left_ms };
        assert_eq!(registry.status(REQUEST, now), refused);
        now = WallMs(now.0 + left_ms);
        let allowed = CrashStatus::ProbeAllowed { for_ms: 0 };
        assert_eq!(registry.status(REQUEST, now), allowed);
        registry.crashed(REQUEST, crash("late", probe as u64), now, now);
    }
}

/// Such a request may have changed, and crash every backend server that runs it from now on.
#[test]
fn probes_of_a_request_that_ran_before_stay_within_the_contract() {
    const PAUSE_MS: u64 = 4_000;
    const DAY_MS: u64 = 86_400_000;
    const MAX_PROBES_ALLOWED: usize = 3;
    let mut registry = CrashRegistry::default();
    let mut attempts = 0;
    for at in (0..DAY_MS).step_by(PAUSE_MS as usize) {
        let now = later(at);
        if let CrashStatus::Refused { .. } = registry.status(REQUEST, now) {
            continue;
        }
        registry.crashed(REQUEST, crash("a", attempts as u64), now, now);
        registry.set_proven(REQUEST);
        attempts += 1;
    }
    assert_eq!(attempts, MAX_CRASHES + MAX_PROBES_ALLOWED);
}

/// A request is sent every four seconds and crashes every backend server that runs it. One of its
/// crashes is not recorded, as happens if the instance that saw it is lost too. The attempts must
/// stay within the contract all the same.
#[test_case(0; "of the first attempt")]
#[test_case(2; "of the third attempt")]
#[test_case(3; "of the first probe")]
#[test_case(4; "of the second probe")]
fn probes_stay_within_the_contract_if_one_crash_is_not_recorded(lost: usize) {
    const PAUSE_MS: u64 = 4_000;
    const DAY_MS: u64 = 86_400_000;
    const MAX_PROBES_ALLOWED: usize = 3;
    let mut registry = CrashRegistry::default();
    let mut attempts = 0;
    for at in (0..DAY_MS).step_by(PAUSE_MS as usize) {
        let now = later(at);
        if let CrashStatus::Refused { .. } = registry.status(REQUEST, now) {
            continue;
        }
        if attempts != lost {
            registry.crashed(REQUEST, crash("a", attempts as u64), now, now);
        }
        attempts += 1;
    }
    assert!(
        attempts <= MAX_CRASHES + MAX_PROBES_ALLOWED,
        "{attempts} attempts"
    );
}

fn ids(crashes: &[CrashId]) -> BTreeSet<CrashId> {
    crashes.iter().cloned().collect()
}

#[test]
fn a_request_that_was_seen_to_run_is_cleared() {
    let mut registry = registry(&[crash("a", 1), crash("b", 1)]);
    let begun = registry.mark();
    assert_eq!(registry.completed(REQUEST, begun).before.len(), 2);
    assert!(registry.is_empty());
    assert!(registry.completed(REQUEST, begun).is_empty());
    registry.crashed(REQUEST, crash("c", 1), NOW, NOW);
    assert_eq!(registry.status(REQUEST, NOW), CrashStatus::Allowed);
}

/// An attempt that begins after `known` crashes, and completes after all of them.
#[test_case(2, 0, 0; "a bystander of two crashes is cleared")]
#[test_case(3, 0, 3; "one that is refused is not, by an attempt that began before the crashes")]
#[test_case(3, 2, 1; "the crashes known at the start of the attempt are removed")]
#[test_case(4, 4, 0; "a probe clears a refused request")]
fn a_response_removes_the_crashes_that_it_speaks_against(
    crashes: usize,
    known: usize,
    expected: usize,
) {
    let all: Vec<CrashId> = (0..crashes).map(|n| crash("a", n as u64 + 1)).collect();
    let mut registry = registry(&all[..known]);
    let begun = registry.mark();
    for crash in &all[known..] {
        registry.crashed(REQUEST, crash.clone(), NOW, NOW);
    }
    registry.completed(REQUEST, begun);
    assert_eq!(registry.crashes(REQUEST), expected);
}

/// Guards against news of an old response that drops newer crashes at another instance.
#[test]
fn news_of_a_response_removes_only_the_crashes_that_it_names() {
    let old = [crash("a", 1), crash("b", 1)];
    let mut first = registry(&old);
    let begun = first.mark();
    let news = first.completed(REQUEST, begun);
    let mut second = registry(&old);
    let newer = [crash("c", 1), crash("d", 1), crash("e", 1)];
    for crash in &newer {
        second.crashed(REQUEST, crash.clone(), NOW, NOW);
    }
    second.exonerate(REQUEST, news);
    assert_eq!(second.evidence(REQUEST).unwrap().crashes, ids(&newer));
    assert!(matches!(
        second.status(REQUEST, NOW),
        CrashStatus::Refused { .. }
    ));
}

#[test]
fn late_evidence_does_not_bring_removed_crashes_back() {
    let late = registry(&[crash("a", 1), crash("b", 1)]);
    let late = late.evidence(REQUEST).unwrap().clone();
    let mut registry = registry(&[crash("a", 1), crash("b", 1)]);
    let begun = registry.mark();
    registry.completed(REQUEST, begun);
    assert!(!registry.join(REQUEST, &late));
    registry.crashed(REQUEST, crash("c", 1), NOW, NOW);
    assert_eq!(registry.crashes(REQUEST), 1);
}

/// Guards against an innocent request that runs at all backend servers and is refused for a day when
/// they crash together.
#[test_case(&[(0, 0), (0, 10), (0, 20), (0, 30), (0, 40), (0, 50)], 0; "all at once")]
#[test_case(&[(0, 0), (0, 10), (0, 20), (2_020, 2_021)], 0; "one that was sent before all knew")]
#[test_case(&[(0, 0), (0, 10), (0, 20), (5, 60_000)], 0; "one that was in flight for long")]
#[test_case(&[(0, 0), (0, 10), (0, 20), (2_021, 2_021)], 1; "one that was sent later")]
#[test_case(&[(0, 0), (0, 10), (0, 20), (0, 30), (12_000, 12_000), (80_000, 80_000)], 2; "two probes")]
fn only_crashes_of_probes_make_the_refusal_longer(attempts_ms: &[(u64, u64)], level: usize) {
    const UNCALM_MS: u64 = 9_000;
    let mut seen = CrashRegistry::default();
    let mut told = CrashRegistry::default();
    for (number, (begun, at)) in attempts_ms.iter().enumerate() {
        let crash = crash("a", number as u64 + 1);
        seen.crashed(REQUEST, crash, later(*begun), later(*at));
        told.join(REQUEST, seen.evidence(REQUEST).unwrap());
    }
    let mut restarted = CrashRegistry::default();
    restarted.join(REQUEST, seen.evidence(REQUEST).unwrap());
    let left_ms = REFUSAL_MS[level];
    let now = later(attempts_ms.last().unwrap().1);
    let uncalm_ms = match level {
        1 => UNCALM_MS + CALM_MS,
        _ => left_ms,
    };
    for mut registry in [seen, told, restarted] {
        assert_eq!(registry.crashes(REQUEST), attempts_ms.len());
        let refused = |left_ms| CrashStatus::Refused { left_ms };
        assert_eq!(registry.status(REQUEST, now), refused(left_ms));
        let other = WallMs(now.0 + UNCALM_MS);
        registry.crashed(Fingerprint(999), crash("other", 1), other, other);
        assert_eq!(registry.status(REQUEST, now), refused(uncalm_ms));
    }
}

/// A crash during a complete attempt was removed here. Other instances still hold it.
#[test_case(2, 1; "evidence below the limit does not bring it back")]
#[test_case(3, 3; "evidence of an instance that refuses the request does")]
fn crashes_during_a_complete_attempt_come_back_only_with_a_refusal(crashes: u64, expected: usize) {
    let others: Vec<CrashId> = (1..=crashes).map(|start| crash("a", start)).collect();
    let others = registry(&others);
    let mut registry = CrashRegistry::default();
    let begun = registry.mark();
    registry.crashed(REQUEST, crash("a", 1), NOW, NOW);
    assert_eq!(registry.completed(REQUEST, begun).during.len(), 1);
    registry.join(REQUEST, others.evidence(REQUEST).unwrap());
    assert_eq!(registry.crashes(REQUEST), expected);
}

#[test]
fn requests_with_the_same_crashes_are_soon_probed_one_after_the_other() {
    let other = Fingerprint(999);
    let crashes = [crash("a", 1), crash("b", 1), crash("c", 1)];
    let mut registry = registry(&crashes);
    let alone = registry.status(REQUEST, NOW);
    assert_eq!(
        alone,
        CrashStatus::Refused {
            left_ms: REFUSAL_MS[0]
        }
    );
    for crash in &crashes {
        registry.crashed(other, crash.clone(), NOW, NOW);
    }
    let refused = |left_ms| CrashStatus::Refused { left_ms };
    let first = DOUBTFUL_REFUSAL_MS + 7;
    let second = DOUBTFUL_REFUSAL_MS + 999;
    assert_eq!(registry.status(REQUEST, NOW), refused(first));
    assert_eq!(registry.status(other, NOW), refused(second));
    registry.crashed(REQUEST, crash("probe", 1), later(first), later(first));
    let status = registry.status(REQUEST, later(first));
    assert_eq!(status, refused(REFUSAL_MS[1]));
}

/// Guards against a sound request that is refused for long because its probe ran beside that of the
/// request which crashes backend servers.
#[test_case(true, 0; "both probes met it")]
#[test_case(false, 1; "the other one was elsewhere")]
fn a_crash_that_another_refused_request_explains_makes_no_refusal_longer(
    is_shared: bool,
    level: usize,
) {
    let guilty = Fingerprint(999);
    let crashes = [crash("a", 1), crash("b", 1), crash("c", 1)];
    let mut registry = registry(&crashes);
    for crash in crashes.iter().chain(&[crash("d", 1)]) {
        registry.crashed(guilty, crash.clone(), NOW, NOW);
    }
    let probed = later(12_000);
    registry.crashed(REQUEST, crash("probe", 1), probed, probed);
    if is_shared {
        registry.crashed(guilty, crash("probe", 1), probed, probed);
    }
    let left_ms = |level| match level {
        0 => DOUBTFUL_REFUSAL_MS + 7,
        level => REFUSAL_MS[level],
    };
    let refused = |left_ms| CrashStatus::Refused { left_ms };
    assert_eq!(registry.status(REQUEST, probed), refused(left_ms(level)));
    if is_shared {
        assert_eq!(registry.status(guilty, probed), refused(left_ms(1)));
        let known = registry.mark();
        registry.completed(guilty, known);
        assert_eq!(registry.status(REQUEST, probed), refused(left_ms(1)));
    }
}

#[test_case("/a", "/a", true, true; "without a query")]
#[test_case("/a?b=1", "/a?b=1", true, true; "the same query")]
#[test_case("/a?b=1", "/a?b=2", true, false; "another query")]
#[test_case("/a", "/a?b=2", true, false; "a query added")]
#[test_case("/a?b=1", "/c?b=1", false, false; "another path")]
fn requests_are_told_by_their_path_and_by_their_whole_target(
    first: &str,
    second: &str,
    same_path: bool,
    same_target: bool,
) {
    let of = |target| RequestFingerprints::of_opaque("host", target, b"body");
    let (first, second) = (of(first), of(second));
    assert_eq!(first.path == second.path, same_path);
    assert_eq!(first.target == second.target, same_target);
    assert_ne!(
        first.path,
        RequestFingerprints::of_opaque("host", "/a", b"other").path
    );
}

#[test]
fn evidence_expires_unless_the_request_is_refused() {
    let mut few = registry(&[crash("a", 1), crash("b", 1)]);
    assert!(few.expire(later(SUSPECT_TTL_MS - 1)).is_empty());
    assert_eq!(few.expire(later(SUSPECT_TTL_MS)), [REQUEST]);
    assert!(few.is_empty());
    let mut enough = registry(&[crash("a", 1), crash("b", 1), crash("c", 1)]);
    assert!(enough.expire(later(SUSPECT_TTL_MS)).is_empty());
}

#[test_case(1; "not enough")]
#[test_case(2; "one more would be too many")]
#[test_case(3; "the first probe")]
#[test_case(4; "the second one")]
#[test_case(60; "the attempts have no end")]
fn the_attempts_of_an_item_are_spread_and_have_no_end(crashes: usize) {
    let backoff_ms = item_backoff_ms(crashes).unwrap_or(0);
    assert!(backoff_ms >= item_backoff_ms(crashes - 1).unwrap_or(0));
    assert_eq!(backoff_ms > 0, crashes >= 2, "{backoff_ms}");
    // An owed item is at a backend server again within the time of the contract, with some of it left
    // for the way there, and comes back as seldom as that allows.
    let longest_ms = ITEM_RETURN_MS - ITEM_RETURN_MS / 20;
    assert!(backoff_ms < longest_ms, "{backoff_ms}");
    assert!(
        crashes < 4 || backoff_ms > ITEM_RETURN_MS / 10 * 9,
        "{backoff_ms}"
    );
}

fn evidence() -> impl Strategy<Value = CrashEvidence> {
    let crashes = prop::collection::btree_set((0_u8..4, 1_u64..4), 0..5);
    (crashes, 0_u64..100).prop_map(|(crashes, last_unix_ms)| CrashEvidence {
        crashes: crashes
            .into_iter()
            .map(|(backend, started)| crash(&format!("b{backend}"), started))
            .collect(),
        last_unix_ms,
    })
}

proptest! {
    #[test]
    fn evidence_merges_in_any_order_and_number(
        reports in prop::collection::vec(evidence(), 1..6),
        repeated in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let mut first = CrashEvidence::default();
        reports.iter().for_each(|one| { first.join(one); });
        let mut second = CrashEvidence::default();
        reports.iter().rev().for_each(|one| { second.join(one); });
        for index in repeated {
            prop_assert!(!second.join(index.get(&reports)));
        }
        prop_assert_eq!(first, second);
    }
}
