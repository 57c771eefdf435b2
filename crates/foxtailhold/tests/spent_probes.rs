//! Probes of refused requests that meet crashes of another cause.

use foxtailhold::crashes::{CrashRegistry, CrashStatus, MAX_CRASHES};
use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::time::WallMs;
use test_case::test_case;

const REQUEST: Fingerprint = Fingerprint(7);
const SHARED: Fingerprint = Fingerprint(8);
const OTHER: Fingerprint = Fingerprint(9);
const NOW_MS: u64 = 1_000_000;
const LONGEST_REFUSAL_MS: u64 = 10_000;
const DAY_MS: u64 = 86_400_000;
/// Retries that the contract allows later than this after the third crash.
const MAX_LATE_RETRIES: usize = 3;
const LATE_AFTER_MS: u64 = 3_000;

fn crash(backend: &str, started_unix_ms: u64) -> CrashId {
    CrashId {
        backend: BackendId::try_from(backend).unwrap(),
        started_unix_ms,
    }
}

fn record(registry: &mut CrashRegistry, request: Fingerprint, crash: CrashId, at_ms: u64) {
    let at = WallMs(NOW_MS + at_ms);
    registry.crashed(request, crash, at, at);
}

/// Three crashes within 0.1 s under a request, and under another one too if `is_shared`.
fn burst(is_shared: bool) -> CrashRegistry {
    let mut registry = CrashRegistry::default();
    for (number, backend) in ["a", "b", "c"].into_iter().enumerate() {
        let at_ms = number as u64 * 40;
        record(&mut registry, REQUEST, crash(backend, 1), at_ms);
        if is_shared {
            record(&mut registry, SHARED, crash(backend, 1), at_ms);
        }
    }
    registry
}

/// What an instance knows that has started since, from the rows.
fn restarted(registry: &CrashRegistry) -> CrashRegistry {
    let mut restarted = CrashRegistry::default();
    for (request, evidence) in registry.newest_first() {
        if evidence.count() >= 2 {
            restarted.join(request, evidence);
        }
    }
    restarted
}

fn is_refused(registry: &CrashRegistry, at_ms: u64) -> bool {
    let status = registry.status(REQUEST, WallMs(NOW_MS + at_ms));
    matches!(status, CrashStatus::Refused { .. })
}

/// First time from `from_ms` on at which a probe may run.
fn next_probe_ms(registry: &CrashRegistry, from_ms: u64) -> u64 {
    match registry.status(REQUEST, WallMs(NOW_MS + from_ms)) {
        CrashStatus::Refused { left_ms } => from_ms + left_ms,
        _ => from_ms,
    }
}

/// Guards against a sound request that is refused for a minute of calm because its one probe met
/// another crash.
#[test_case(false, 12_000; "alone")]
#[test_case(true, 3_000; "with a request that was lost in the same crashes")]
fn a_sound_request_whose_probe_met_another_crash_is_probed_again_soon(
    is_shared: bool,
    probed_ms: u64,
) {
    let mut registry = burst(is_shared);
    assert!(!is_refused(&registry, probed_ms));
    record(&mut registry, REQUEST, crash("d", 1), probed_ms);
    for registry in [restarted(&registry), registry] {
        let refused_ms = next_probe_ms(&registry, probed_ms) - probed_ms;
        assert!(refused_ms <= LONGEST_REFUSAL_MS, "{refused_ms} ms");
        assert!(refused_ms > LATE_AFTER_MS, "{refused_ms} ms");
    }
}

/// Guards against a sound request that was seen to run and is refused for a minute of calm because
/// two probes met other crashes.
#[test]
fn a_proven_request_whose_probes_met_other_crashes_is_probed_again_soon() {
    let mut registry = burst(false);
    registry.set_proven(REQUEST);
    let mut at_ms = 80;
    for probe in 0..2 {
        at_ms = next_probe_ms(&registry, at_ms);
        record(&mut registry, REQUEST, crash("d", probe + 1), at_ms);
    }
    let refused_ms = next_probe_ms(&registry, at_ms) - at_ms;
    assert!(refused_ms <= LONGEST_REFUSAL_MS, "{refused_ms} ms");
}

/// Guards against a last probe that is spent while backend servers still crash under other requests,
/// and against one that is held back without end.
#[test_case(1, 12_000; "one other crash")]
#[test_case(30, 41_000; "crashes for half a minute")]
#[test_case(600, 60_000; "crashes without end")]
fn the_last_probe_waits_for_calm_but_no_longer_than_a_minute(crashes: u64, expected_ms: u64) {
    const PROBED_MS: u64 = 12_000;
    const FIRST_OTHER_MS: u64 = 9_000;
    let mut registry = burst(false);
    record(&mut registry, REQUEST, crash("d", 1), PROBED_MS);
    for other in 0..crashes {
        let at_ms = PROBED_MS + FIRST_OTHER_MS + other * 1_000;
        record(&mut registry, OTHER, crash("e", other + 1), at_ms);
    }
    let refused_ms = next_probe_ms(&registry, PROBED_MS) - PROBED_MS;
    assert_eq!(refused_ms, expected_ms);
}

/// Guards against a request that crashes backend servers, is sent side by side or one after the
/// other without end, and reaches more of them late than the contract allows. All instances restart
/// after each attempt, and the witness of the crash numbered `lost` is lost with it.
#[test_case(0, None; "side by side")]
#[test_case(0, Some(3); "side by side, the first probe unseen")]
#[test_case(0, Some(4); "side by side, the second probe unseen")]
#[test_case(4_000, None; "one after the other")]
#[test_case(4_000, Some(2); "one after the other, the third attempt unseen")]
#[test_case(4_000, Some(3); "one after the other, the first probe unseen")]
#[test_case(4_000, Some(4); "one after the other, the second probe unseen")]
fn a_deadly_request_reaches_few_backend_servers_late(pause_ms: u64, lost: Option<usize>) {
    const RETRY_MS: u64 = 250;
    let mut registry = CrashRegistry::default();
    let (mut attempts, mut late, mut third_ms) = (0, 0, None);
    let mut at_ms = 0;
    while at_ms < DAY_MS {
        if is_refused(&registry, at_ms) {
            at_ms = next_probe_ms(&registry, at_ms);
            continue;
        }
        late += usize::from(third_ms.is_some_and(|third_ms| at_ms > third_ms + LATE_AFTER_MS));
        if lost != Some(attempts) {
            record(
                &mut registry,
                REQUEST,
                crash("a", attempts as u64 + 1),
                at_ms,
            );
        }
        attempts += 1;
        if attempts == MAX_CRASHES {
            third_ms = Some(at_ms);
        }
        if attempts >= MAX_CRASHES {
            registry = restarted(&registry);
        }
        at_ms += if attempts < MAX_CRASHES {
            pause_ms
        } else {
            RETRY_MS
        };
    }
    assert!(late <= MAX_LATE_RETRIES, "{late} late retries");
    assert!(late > 0, "no probe");
}
