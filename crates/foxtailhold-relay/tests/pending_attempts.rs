//! Crashes that show only by a restart of the backend server. When the machine of a backend server
//! fails its connections are not closed, so the request that crashed it would not be held
//! responsible.

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::time::MonoMs;
use foxtailhold_relay::fleet::BackendServer;
use foxtailhold_relay::pending_attempts::PendingAttempts;
use test_case::test_case;

const REQUEST: Fingerprint = Fingerprint(7);
const START: u64 = 1_796_000_000_000;
const NOW: MonoMs = MonoMs(100_000);

fn backend() -> BackendServer {
    let identity = BackendId::try_from("engine-1").unwrap();
    BackendServer {
        id: BackendId::for_start(&identity, START).unwrap(),
        identity,
        service: "writers".try_into().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "concord-hall".try_into().unwrap(),
        slots: 8,
        is_leaving: false,
        started_unix_ms: START,
    }
}

/// State of the attempt when the backend server restarts.
#[derive(Debug, Clone, Copy)]
enum AttemptState {
    InFlight,
    Resolved,
    Ended { ms_ago: u64 },
}

#[test_case(AttemptState::InFlight, Some(START + 1), true; "a new start while the attempt is in flight")]
#[test_case(AttemptState::InFlight, Some(START), false; "the same start")]
#[test_case(AttemptState::InFlight, Some(0), false; "an entry that does not state its start")]
#[test_case(AttemptState::InFlight, None, false; "an identity that is not listed any more")]
#[test_case(AttemptState::Resolved, Some(START + 1), false; "a new start after the response")]
#[test_case(AttemptState::Ended { ms_ago: 9_999 }, Some(START + 1), true; "a new start soon after the attempt")]
#[test_case(AttemptState::Ended { ms_ago: 10_001 }, Some(START + 1), false; "a new start long after the attempt")]
fn an_attempt_counts_as_a_crash_if_its_backend_server_restarted(
    state: AttemptState,
    newest_start: Option<u64>,
    expected: bool,
) {
    let pending = PendingAttempts::default();
    let number = pending.begin(REQUEST, &backend());
    match state {
        AttemptState::InFlight => {}
        AttemptState::Resolved => pending.resolve(number),
        AttemptState::Ended { ms_ago } => pending.end(number, MonoMs(NOW.0 - ms_ago)),
    }
    // The table is also checked before the restart, as happens whenever entries change.
    let before = pending.take_crashed(MonoMs(NOW.0 - 5_000), |_| Some(START));
    assert!(before.is_empty());
    let crashed = pending.take_crashed(NOW, |_| newest_start);
    let crash = backend().crash_id();
    let expected = if expected {
        vec![(REQUEST, crash)]
    } else {
        Vec::new()
    };
    assert_eq!(crashed, expected);
    assert!(pending.take_crashed(NOW, |_| Some(START + 1)).len() <= 1);
}
