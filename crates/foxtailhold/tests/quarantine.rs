//! Convictions of requests suspected of crashing backend servers. Guards against innocent requests
//! that are convicted and against crashing requests that are never convicted.

use foxtailhold::ids::{BackendId, CustomerId};
use foxtailhold::quarantine::{
    CONVICTION_MS, CrashId, Fingerprint, GATHER_MS, InFlightRequest, PROBE_DELAY_MS, ProbeOutcome,
    ProbeResponse, Quarantine, QuarantineNotice, QuarantineStatus,
};
use foxtailhold::time::MonoMs;
use test_case::test_case;

const SUSPECT: Fingerprint = Fingerprint(7);
const OTHER: Fingerprint = Fingerprint(8);

fn id(name: &str) -> BackendId {
    BackendId::try_from(name).unwrap()
}

fn crash(backend: &str, number: u64, flights: &[(Fingerprint, u64)]) -> QuarantineNotice {
    let flight = |&(fingerprint, age_ms)| InFlightRequest {
        fingerprint,
        age_ms,
    };
    QuarantineNotice::Crashed {
        crash: CrashId {
            backend: id(backend),
            started_unix_ms: number,
        },
        flights: flights.iter().map(flight).collect(),
    }
}

/// A table in which a probe of the suspect on engine-1 was granted at 1,000 ms.
fn under_probe() -> Quarantine {
    let mut quarantine = Quarantine::default();
    let flights = [(SUSPECT, 30), (OTHER, 50)];
    quarantine.on_notice(&crash("engine-0", 1, &flights), MonoMs(900));
    quarantine.on_notice(
        &QuarantineNotice::Cleared { fingerprint: OTHER },
        MonoMs(950),
    );
    let response = quarantine.request_probe(SUSPECT, &[id("engine-1")], MonoMs(1_000));
    assert!(
        matches!(response, ProbeResponse::Granted { .. }),
        "{response:?}"
    );
    quarantine
}

/// The notices on a probe that crashed at 1,500 ms, with other requests of these ages on the same
/// backend server.
fn crash_probe(
    quarantine: &mut Quarantine,
    others: &[(Fingerprint, u64)],
) -> Vec<QuarantineNotice> {
    let now = MonoMs(1_500);
    let mut flights = vec![(SUSPECT, 100)];
    flights.extend(others);
    quarantine.on_notice(&crash("engine-1", 1, &flights), now);
    quarantine.probe_ended(SUSPECT, &id("engine-1"), ProbeOutcome::Crashed, now);
    assert_eq!(quarantine.tick(now), []);
    quarantine.tick(now + GATHER_MS)
}

#[test_case(&[], true ; "alone")]
#[test_case(&[(OTHER, 2_000)], true ; "beside a request that ran there long before")]
#[test_case(&[(OTHER, 490)], true ; "beside a request sent just before all knew of the probe")]
#[test_case(&[(OTHER, 100)], false ; "beside a request sent during the probe")]
fn second_crash_convicts_unless_another_request_may_be_the_cause(
    others: &[(Fingerprint, u64)],
    convicted: bool,
) {
    let mut quarantine = under_probe();
    let notices = crash_probe(&mut quarantine, others);
    let expected = match convicted {
        true => QuarantineNotice::Convicted {
            fingerprint: SUSPECT,
            left_ms: CONVICTION_MS,
        },
        false => QuarantineNotice::Inconclusive {
            fingerprint: SUSPECT,
        },
    };
    assert_eq!(notices, [expected]);
    let status = quarantine.status(SUSPECT, MonoMs(1_900));
    assert_eq!(status != QuarantineStatus::Suspect, convicted);
}

#[test]
fn doubt_counts_once() {
    let mut quarantine = under_probe();
    crash_probe(&mut quarantine, &[(OTHER, 100)]);
    let response = quarantine.request_probe(SUSPECT, &[id("engine-2")], MonoMs(2_000));
    assert!(
        matches!(response, ProbeResponse::Granted { .. }),
        "{response:?}"
    );
    let now = MonoMs(2_300);
    let flights = [(SUSPECT, 50), (Fingerprint(9), 50)];
    quarantine.on_notice(&crash("engine-2", 1, &flights), now);
    quarantine.probe_ended(SUSPECT, &id("engine-2"), ProbeOutcome::Crashed, now);
    let notices = quarantine.tick(now + GATHER_MS);
    assert!(
        matches!(notices[..], [QuarantineNotice::Convicted { .. }]),
        "{notices:?}"
    );
}

#[test]
fn suspects_are_probed_one_at_a_time_on_a_backend_server() {
    let mut quarantine = under_probe();
    let flights = [(OTHER, 50)];
    quarantine.on_notice(&crash("engine-3", 1, &flights), MonoMs(1_000));
    let wait = quarantine.request_probe(OTHER, &[id("engine-1")], MonoMs(1_000));
    assert!(matches!(wait, ProbeResponse::Wait { .. }), "{wait:?}");
    let same = quarantine.request_probe(SUSPECT, &[id("engine-2")], MonoMs(1_000));
    assert!(matches!(same, ProbeResponse::Wait { .. }), "{same:?}");
    let elsewhere =
        quarantine.request_probe(OTHER, &[id("engine-1"), id("engine-2")], MonoMs(1_000));
    let granted = ProbeResponse::Granted {
        backend: id("engine-2"),
        strict: true,
        quiet_ms: PROBE_DELAY_MS,
    };
    assert_eq!(
        elsewhere, granted,
        "one that was cleared before is probed to its end"
    );
}

#[test]
fn survivor_is_cleared_and_convict_is_probed_again_after_its_conviction() {
    let mut quarantine = under_probe();
    let notice = quarantine.probe_ended(
        SUSPECT,
        &id("engine-1"),
        ProbeOutcome::Survived,
        MonoMs(1_300),
    );
    assert_eq!(
        notice,
        Some(QuarantineNotice::Cleared {
            fingerprint: SUSPECT
        })
    );
    assert_eq!(
        quarantine.status(SUSPECT, MonoMs(1_300)),
        QuarantineStatus::Clear
    );

    let mut quarantine = under_probe();
    crash_probe(&mut quarantine, &[]);
    let until = MonoMs(1_500) + GATHER_MS + CONVICTION_MS;
    let left = quarantine.status(SUSPECT, MonoMs(until.0 - 1));
    assert_eq!(left, QuarantineStatus::Convicted { left_ms: 1 });
    assert_eq!(quarantine.status(SUSPECT, until), QuarantineStatus::Suspect);
}

#[test]
fn starting_instance_learns_convictions_and_probes_from_a_peer() {
    let mut quarantine = under_probe();
    crash_probe(&mut quarantine, &[]);
    let mut started = Quarantine::default();
    for notice in quarantine.snapshot(MonoMs(2_000)) {
        started.on_notice(&notice, MonoMs(5));
    }
    let status = started.status(SUSPECT, MonoMs(5));
    assert!(
        matches!(status, QuarantineStatus::Convicted { .. }),
        "{status:?}"
    );
}

#[test]
fn fingerprint_is_of_customer_and_body() {
    let [granite, huon] =
        ["granite-trail", "huon-tracks"].map(|c| CustomerId::try_from(c).unwrap());
    let first = Fingerprint::of(&granite, b"{}");
    assert_eq!(first, Fingerprint::of(&granite, b"{}"));
    assert_ne!(first, Fingerprint::of(&huon, b"{}"));
    assert_ne!(first, Fingerprint::of(&granite, b"{ }"));
}
