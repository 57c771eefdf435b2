//! What an instance does with a suspect, as the home of trials answers.

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{PROBE_RETRY_MS, ProbeResponse};
use foxtailhold::suspect::{CLEAR_CONFIRMATION_MS, ProbeNegotiation, SuspectAction};
use foxtailhold::time::MonoMs;

const START: MonoMs = MonoMs(1_000);

#[test]
fn a_home_that_has_not_heard_of_a_crash_does_not_clear_its_suspects() {
    let mut asking = ProbeNegotiation::default();
    let again = SuspectAction::Retry {
        after_ms: PROBE_RETRY_MS,
    };
    for after_ms in [0, 300, CLEAR_CONFIRMATION_MS - 1] {
        assert_eq!(
            asking.answered(ProbeResponse::Clear, START + after_ms),
            again
        );
    }
}

#[test]
fn a_suspect_whose_clearing_was_not_heard_of_is_not_held_back_for_ever() {
    let mut asking = ProbeNegotiation::default();
    asking.answered(ProbeResponse::Clear, START);
    let later = START + CLEAR_CONFIRMATION_MS;
    assert_eq!(
        asking.answered(ProbeResponse::Clear, later),
        SuspectAction::Send
    );
}

#[test]
fn another_answer_begins_the_time_anew() {
    let mut asking = ProbeNegotiation::default();
    asking.answered(ProbeResponse::Clear, START);
    let wait = ProbeResponse::Wait { after_ms: 7 };
    let later = START + CLEAR_CONFIRMATION_MS;
    assert_eq!(
        asking.answered(wait, later),
        SuspectAction::Retry { after_ms: 7 }
    );
    let again = SuspectAction::Retry {
        after_ms: PROBE_RETRY_MS,
    };
    assert_eq!(asking.answered(ProbeResponse::Clear, later), again);
}

#[test]
fn verdicts_and_grants_hold_at_once() {
    let mut asking = ProbeNegotiation::default();
    let convicted = ProbeResponse::Convicted { left_ms: 9 };
    assert_eq!(
        asking.answered(convicted, START),
        SuspectAction::Refuse { left_ms: 9 }
    );
    let backend = BackendId::try_from("engine-1").unwrap();
    let granted = ProbeResponse::Granted {
        backend: backend.clone(),
        strict: true,
        quiet_ms: 200,
    };
    let next = SuspectAction::Probe {
        backend,
        strict: true,
        quiet_ms: 200,
    };
    assert_eq!(asking.answered(granted, START), next);
}
