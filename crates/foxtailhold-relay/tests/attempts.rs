//! One account of runs for whole answers and for all legs of a stream.

use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::{Route, RouteKind};
use foxtailhold_relay::attempts::Attempts;
use foxtailhold_relay::upstream::Miss;
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

/// Whether the request may go on after each miss.
fn answers(account: &mut Attempts, route: &Route, misses: &[Miss]) -> Vec<bool> {
    let misses = misses.iter().enumerate();
    misses
        .map(|(number, miss)| account.lost(*miss, &backend(number), route))
        .collect()
}

use Miss::{Broken, Closed, Failed, NotRun, Silent, Unreachable};
use RouteKind::{Idempotent, Once, ResumableStream, Stream};

#[test_case(Idempotent, 2, &[Closed, Closed], &[true, false]; "two runs")]
#[test_case(Idempotent, 3, &[Broken, Silent, Failed], &[true, true, false]; "three runs")]
#[test_case(ResumableStream, 2, &[Silent, Closed], &[true, false]; "a stream that may go on")]
#[test_case(Stream, 2, &[Closed], &[false]; "a stream that may not")]
#[test_case(Once, 2, &[Failed], &[false]; "at most once")]
#[test_case(Once, 2, &[NotRun, Unreachable, Closed], &[true, true, false]; "refusals are no runs")]
#[test_case(Idempotent, 2, &[NotRun; 4], &[true, true, true, false]; "refusals are bounded")]
#[test_case(Idempotent, 0, &[Closed], &[false]; "a route without a bound allows one run")]
fn runs_are_bounded_by_the_route(
    repeat: RouteKind,
    attempts: u32,
    misses: &[Miss],
    expected: &[bool],
) {
    let route = route(repeat, attempts);
    let mut account = Attempts::new(Instant::now() + Duration::from_secs(5));
    assert_eq!(answers(&mut account, &route, misses), expected);
    assert_eq!(account.tried.len(), misses.len());
}

#[test]
fn refusals_count_anew_once_the_request_has_run() {
    let route = route(ResumableStream, 3);
    let mut account = Attempts::new(Instant::now() + Duration::from_secs(5));
    assert_eq!(answers(&mut account, &route, &[NotRun; 3]), [true; 3]);
    account.runs_now();
    assert_eq!(
        answers(&mut account, &route, &[Closed, NotRun]),
        [true, true]
    );
    assert_eq!(account.runs, 1);
}

#[test]
fn nothing_goes_on_after_its_time() {
    let route = route(Idempotent, 3);
    let mut account = Attempts::new(Instant::now());
    assert_eq!(
        answers(&mut account, &route, &[Closed, NotRun]),
        [false, false]
    );
}
