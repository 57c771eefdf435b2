//! Limits of the attempts of one request: without them a failing request would be repeated at one
//! backend server after another. The same budget covers buffered responses and streams.

use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::{Route, RouteKind};
use foxtailhold_relay::attempts::AttemptBudget;
use foxtailhold_relay::upstream::AttemptFailure;
use test_case::test_case;
use tokio::time::Instant;

fn route(repeat: RouteKind, attempts: u32) -> Route {
    Route {
        name: "lookups".into(),
        host: "records.example".into(),
        prefix: "/".into(),
        kind: repeat,
        timeout_ms: 0,
        objective_ms: 300,
        pause_ms: 200,
        priority: 0,
        attempts,
        services: vec![(TargetName::try_from("portal").unwrap(), 1)],
        batch: None,
    }
}

fn backend(number: usize) -> BackendId {
    BackendId::try_from(format!("b{number}").as_str()).unwrap()
}

/// For each failure in turn, whether the request may be sent again.
fn retry_decisions(
    budget: &mut AttemptBudget,
    route: &Route,
    failures: &[AttemptFailure],
) -> Vec<bool> {
    let failures = failures.iter().enumerate();
    failures
        .map(|(number, failure)| budget.record_failure(*failure, &backend(number), route))
        .collect()
}

use AttemptFailure::{Broken, Closed, Failed, NotRun, Silent, Unreachable};
use RouteKind::{Idempotent, Once, ResumableStream, Stream};

#[test_case(Idempotent, 2, &[Closed, Closed], &[true, false]; "two attempts")]
#[test_case(Idempotent, 3, &[Broken, Silent, Failed], &[true, true, false]; "three attempts")]
#[test_case(ResumableStream, 2, &[Silent, Closed], &[true, false]; "a resumable stream")]
#[test_case(Stream, 2, &[Closed], &[false]; "a stream that cannot resume")]
#[test_case(Once, 2, &[Failed], &[false]; "at most once")]
#[test_case(Once, 2, &[NotRun, Unreachable, Closed], &[true, true, false]; "refusals do not count as attempts")]
#[test_case(Idempotent, 2, &[NotRun; 4], &[true, true, true, false]; "refusals are bounded")]
#[test_case(Idempotent, 0, &[Closed], &[false]; "a route without a bound allows one attempt")]
fn attempts_are_bounded_by_the_route(
    repeat: RouteKind,
    attempts: u32,
    failures: &[AttemptFailure],
    expected: &[bool],
) {
    let route = route(repeat, attempts);
    let mut budget = AttemptBudget::new(Instant::now() + Duration::from_secs(5));
    assert_eq!(retry_decisions(&mut budget, &route, failures), expected);
    assert_eq!(budget.failed_backends.len(), failures.len());
}

#[test]
fn refusals_are_counted_from_zero_once_the_request_has_run() {
    let route = route(ResumableStream, 3);
    let mut budget = AttemptBudget::new(Instant::now() + Duration::from_secs(5));
    assert_eq!(
        retry_decisions(&mut budget, &route, &[NotRun; 3]),
        [true; 3]
    );
    budget.record_running();
    assert_eq!(
        retry_decisions(&mut budget, &route, &[Closed, NotRun]),
        [true, true]
    );
    assert_eq!(budget.maybe_executed, 1);
}

#[test]
fn nothing_is_retried_after_the_deadline() {
    let route = route(Idempotent, 3);
    let mut budget = AttemptBudget::new(Instant::now());
    assert_eq!(
        retry_decisions(&mut budget, &route, &[Closed, NotRun]),
        [false, false]
    );
}

#[test_case(Idempotent, 2, 0, 1, true; "a second one beside a silent one")]
#[test_case(Idempotent, 2, 1, 1, false; "no third one in all")]
#[test_case(Idempotent, 3, 1, 1, true; "a third one where the route allows it")]
#[test_case(Once, 3, 0, 1, false; "none for a request that may run once")]
#[test_case(Stream, 3, 0, 1, false; "none for a stream that cannot resume")]
fn attempts_beside_open_ones_are_bounded_by_the_route(
    repeat: RouteKind,
    attempts: u32,
    superseded: u32,
    open: u32,
    expected: bool,
) {
    let route = route(repeat, attempts);
    let mut budget = AttemptBudget::new(Instant::now() + Duration::from_secs(5));
    for number in 0..superseded {
        budget.record_superseded(&backend(number as usize));
    }
    assert_eq!(budget.may_start(&route, open), expected);
}
