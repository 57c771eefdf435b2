//! Handling of a suspect request by an instance. Guards against a suspect that is sent because the
//! coordinator of probes has not yet heard of the crash, and against one that is held back for ever
//! because the notice that cleared it was lost.

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{PROBE_RETRY_MS, ProbeResponse};
use foxtailhold::suspect::{CLEAR_CONFIRMATION_MS, ProbeNegotiation, SuspectAction};
use foxtailhold::time::MonoMs;

const START: MonoMs = MonoMs(1_000);

#[test]
fn a_coordinator_that_has_not_heard_of_a_crash_does_not_clear_its_suspects() {
    let mut negotiation = ProbeNegotiation::default();
    let again = SuspectAction::Retry {
        after_ms: PROBE_RETRY_MS,
    };
    for after_ms in [0, 300, CLEAR_CONFIRMATION_MS - 1] {
        assert_eq!(
            negotiation.handle_response(ProbeResponse::Clear, START + after_ms),
            again
        );
    }
}

#[test]
fn a_suspect_is_sent_if_the_notice_that_cleared_it_was_lost() {
    let mut negotiation = ProbeNegotiation::default();
    negotiation.handle_response(ProbeResponse::Clear, START);
    let later = START + CLEAR_CONFIRMATION_MS;
    assert_eq!(
        negotiation.handle_response(ProbeResponse::Clear, later),
        SuspectAction::Send
    );
}

#[test]
fn another_response_restarts_the_confirmation_time() {
    let mut negotiation = ProbeNegotiation::default();
    negotiation.handle_response(ProbeResponse::Clear, START);
    let wait = ProbeResponse::Wait { after_ms: 7 };
    let later = START + CLEAR_CONFIRMATION_MS;
    assert_eq!(
        negotiation.handle_response(wait, later),
        SuspectAction::Retry { after_ms: 7 }
    );
    let again = SuspectAction::Retry {
        after_ms: PROBE_RETRY_MS,
    };
    assert_eq!(
        negotiation.handle_response(ProbeResponse::Clear, later),
        again
    );
}

#[test]
fn convictions_and_grants_apply_at_once() {
    let mut negotiation = ProbeNegotiation::default();
    let convicted = ProbeResponse::Convicted { left_ms: 9 };
    assert_eq!(
        negotiation.handle_response(convicted, START),
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
    assert_eq!(negotiation.handle_response(granted, START), next);
}
