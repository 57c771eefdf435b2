//! Crashes that show only by what becomes of the backend server's entry. When the machine of a backend server
//! fails its connections are not closed, so the request that crashed it would not be held
//! responsible.

use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhold::crashes::EvidenceMark;
use foxtailhold::ids::BackendId;
use foxtailhold::prompt_parts::SharedParts;
use foxtailhold::quarantine::RequestFingerprints;
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_relay::fleet::{BackendFate, BackendServer, FleetTable};
use foxtailhold_relay::pending_attempts::{EndWithoutResult, PendingAttempts, TrackedAttempt};
use foxtailhold_relay::request::EvidenceKeys;
use test_case::test_case;

const START: u64 = 1_796_000_000_000;
const NOW: MonoMs = MonoMs(100_000);

fn request() -> RequestFingerprints {
    RequestFingerprints::of_opaque("host", "/path", b"body")
}

fn attempt() -> TrackedAttempt {
    TrackedAttempt {
        keys: EvidenceKeys {
            fingerprints: request(),
            parts: SharedParts::default(),
            is_taken_up: false,
            is_owed: false,
        },
        backend: Arc::new(backend()),
        begun: EvidenceMark::default(),
        begun_at: WallMs(1),
        is_resumed: false,
        is_probe: false,
        events: 0,
        quiet_since: None,
    }
}

fn backend() -> BackendServer {
    let identity = BackendId::try_from("engine-1").unwrap();
    BackendServer {
        id: BackendId::for_start(&identity, START).unwrap(),
        identity,
        service: "writers".try_into().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "concord-hall".try_into().unwrap(),
        slots: 8,
        version: "v1".try_into().unwrap(),
        is_leaving: false,
        started_unix_ms: START,
    }
}

/// State of the attempt when the entries change.
#[derive(Debug, Clone, Copy)]
enum AttemptState {
    InFlight,
    /// Its backend server has not sent anything for a while.
    InFlightSilent,
    /// Its backend server was silent and has gone on.
    InFlightAfterSilence,
    Resolved,
    Silent {
        ms_ago: u64,
    },
    Abandoned {
        ms_ago: u64,
    },
}

#[test_case(AttemptState::InFlight, BackendFate::Restarted, true; "a new start while the attempt is in flight")]
#[test_case(AttemptState::InFlight, BackendFate::Unchanged, false; "the same start")]
#[test_case(AttemptState::InFlight, BackendFate::Gone, false; "an entry that is gone while the attempt is in flight")]
#[test_case(AttemptState::InFlightSilent, BackendFate::Gone, true; "an entry that is gone while the attempt waits in silence")]
#[test_case(AttemptState::InFlightSilent, BackendFate::Unchanged, false; "an entry that stays while the attempt waits in silence")]
#[test_case(AttemptState::InFlightAfterSilence, BackendFate::Gone, false; "an entry that is gone after a silence that has ended")]
#[test_case(AttemptState::Resolved, BackendFate::Restarted, false; "a new start after the response")]
#[test_case(AttemptState::Abandoned { ms_ago: 9_999 }, BackendFate::Restarted, true; "a new start soon after the attempt")]
#[test_case(AttemptState::Abandoned { ms_ago: 10_001 }, BackendFate::Restarted, false; "a new start long after the attempt")]
#[test_case(AttemptState::Silent { ms_ago: 9_999 }, BackendFate::Gone, true; "an entry that is gone soon after the silence")]
#[test_case(AttemptState::Silent { ms_ago: 10_001 }, BackendFate::Gone, false; "an entry that is gone long after the silence")]
#[test_case(AttemptState::Abandoned { ms_ago: 1 }, BackendFate::Gone, false; "an entry that is gone after the caller left")]
fn an_attempt_counts_as_a_crash_if_its_backend_server_ended(
    state: AttemptState,
    fate: BackendFate,
    expected: bool,
) {
    let pending = PendingAttempts::default();
    let number = pending.begin(attempt(), MonoMs(0));
    match state {
        AttemptState::InFlight => {}
        AttemptState::InFlightSilent => pending.set_silent(number, Some(WallMs(1))),
        AttemptState::InFlightAfterSilence => {
            pending.set_silent(number, Some(WallMs(1)));
            pending.set_silent(number, None);
        }
        AttemptState::Resolved => pending.resolve(number),
        AttemptState::Silent { ms_ago } => {
            pending.end(
                number,
                (MonoMs(NOW.0 - ms_ago), WallMs(1)),
                EndWithoutResult::Silent,
            );
            pending.end(number, (NOW, WallMs(1)), EndWithoutResult::Abandoned);
        }
        AttemptState::Abandoned { ms_ago } => {
            pending.end(
                number,
                (MonoMs(NOW.0 - ms_ago), WallMs(1)),
                EndWithoutResult::Abandoned,
            );
        }
    }
    // The table is also checked before, as happens whenever entries change.
    let before = pending.take_crashed(MonoMs(NOW.0 - 5_000), |_, _, _| BackendFate::Unchanged);
    assert!(before.is_empty());
    let crashed = pending.take_crashed(NOW, |_, _, _| fate).into_iter();
    let crashed: Vec<_> = crashed
        .map(|attempt| (attempt.keys.fingerprints, attempt.backend.crash_id()))
        .collect();
    let expected = if expected {
        vec![(request(), backend().crash_id())]
    } else {
        Vec::new()
    };
    assert_eq!(crashed, expected);
    let again = pending.take_crashed(NOW, |_, _, _| BackendFate::Restarted);
    assert!(again.len() <= 1);
}

fn listed(name: &str, started_unix_ms: u64, port: u16) -> BackendServer {
    let identity = BackendId::try_from(name).unwrap();
    BackendServer {
        id: BackendId::for_start(&identity, started_unix_ms).unwrap(),
        identity,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        started_unix_ms,
        ..backend()
    }
}

fn leaving(name: &str) -> BackendServer {
    BackendServer {
        is_leaving: true,
        ..listed(name, START, 9)
    }
}

/// Entries of the platform after that of `engine-1` at port 9; an empty update is its deletion.
#[test_case(&[listed("engine-1", START, 9)], BackendFate::Unchanged; "its entry again")]
#[test_case(&[listed("engine-1", START + 1, 9)], BackendFate::Restarted; "a new start of its identity")]
#[test_case(&[listed("engine-1", 0, 9)], BackendFate::Unchanged; "an entry that does not state its start")]
#[test_case(&[listed("engine-2", START + 1, 9)], BackendFate::Restarted; "another identity at its address")]
#[test_case(&[listed("engine-2", START + 1, 10)], BackendFate::Unchanged; "another identity elsewhere")]
#[test_case(&[], BackendFate::Gone; "its entry is deleted")]
#[test_case(&[leaving("engine-1"), listed("engine-2", START + 1, 9)], BackendFate::Unchanged; "it left and its address is used again")]
fn the_entries_tell_what_became_of_a_start(updates: &[BackendServer], expected: BackendFate) {
    let mut table = FleetTable::default();
    table.store_answered(MonoMs(0));
    table.replace(MonoMs(0), vec![listed("engine-1", START, 9)]);
    let crash = backend().crash_id();
    for update in updates {
        table.put(NOW, update.clone());
    }
    if updates.is_empty() {
        table.remove(NOW, &backend().identity);
    }
    assert_eq!(table.fate(&backend().identity, &crash, MonoMs(0)), expected);
}

/// Both rows of a restart under a new identity may be in the first list that is read.
#[test]
fn identities_listed_together_at_one_address_do_not_end_each_other() {
    let mut table = FleetTable::default();
    let both = vec![listed("engine-1", START, 9), listed("engine-2", START, 9)];
    table.replace(MonoMs(0), both);
    for name in ["engine-1", "engine-2"] {
        let backend = listed(name, START, 9);
        let fate = table.fate(&backend.identity, &backend.crash_id(), MonoMs(0));
        assert_eq!(fate, BackendFate::Unchanged);
    }
}

#[test]
fn an_entry_that_is_listed_again_has_not_ended() {
    let mut table = FleetTable::default();
    table.store_answered(MonoMs(0));
    table.put(MonoMs(0), backend());
    table.remove(NOW, &backend().identity);
    table.put(NOW, backend());
    let fate = table.fate(&backend().identity, &backend().crash_id(), MonoMs(0));
    assert_eq!(fate, BackendFate::Unchanged);
}

/// An entry outlasts its start for a while, and attempts may still be sent there.
#[test_case(NOW.0, BackendFate::Restarted; "an attempt that was sent before")]
#[test_case(NOW.0 + 1, BackendFate::Unchanged; "an attempt that was sent after")]
fn a_start_that_had_ended_before_did_not_end_under_an_attempt(begun: u64, expected: BackendFate) {
    for next in [
        listed("engine-1", START + 1, 9),
        listed("engine-2", START + 1, 9),
    ] {
        let mut table = FleetTable::default();
        table.store_answered(MonoMs(0));
        table.put(MonoMs(0), backend());
        table.put(NOW, next.clone());
        table.put(MonoMs(NOW.0 + 500), next);
        let crash = backend().crash_id();
        let fate = table.fate(&backend().identity, &crash, MonoMs(begun));
        assert_eq!(fate, expected);
    }
}
