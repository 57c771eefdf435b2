//! Runs whose backend server has started again.

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::time::MonoMs;
use foxtailhold_relay::fleet::BackendServer;
use foxtailhold_relay::pending_attempts::UnsettledRuns;
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

/// What has become of a run.
#[derive(Debug, Clone, Copy)]
enum Run {
    UnderWay,
    Settled,
    Ended { ms_ago: u64 },
}

#[test_case(Run::UnderWay, Some(START + 1), true; "a new start under a run that still waits")]
#[test_case(Run::UnderWay, Some(START), false; "the same start")]
#[test_case(Run::UnderWay, Some(0), false; "a start that does not say when")]
#[test_case(Run::UnderWay, None, false; "an identity that is not listed any more")]
#[test_case(Run::Settled, Some(START + 1), false; "a new start after the answer")]
#[test_case(Run::Ended { ms_ago: 9_999 }, Some(START + 1), true; "a new start soon after the run")]
#[test_case(Run::Ended { ms_ago: 10_001 }, Some(START + 1), false; "a new start long after the run")]
fn a_run_counts_as_crash_where_its_backend_server_has_started_again(
    run: Run,
    newest_start: Option<u64>,
    expected: bool,
) {
    let runs = UnsettledRuns::default();
    let number = runs.begin(REQUEST, &backend());
    match run {
        Run::UnderWay => {}
        Run::Settled => runs.settle(number),
        Run::Ended { ms_ago } => runs.end(number, MonoMs(NOW.0 - ms_ago)),
    }
    // Looked at without a new start first, as each time that entries change.
    let before = runs.take_crashed(MonoMs(NOW.0 - 5_000), |_| Some(START));
    assert!(before.is_empty());
    let crashed = runs.take_crashed(NOW, |_| newest_start);
    let crash = backend().crash_id();
    let expected = if expected {
        vec![(REQUEST, crash)]
    } else {
        Vec::new()
    };
    assert_eq!(crashed, expected);
    assert!(runs.take_crashed(NOW, |_| Some(START + 1)).len() <= 1);
}
