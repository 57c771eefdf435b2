//! Guards against a bound on the next run that is below what the latest runs took.

use foxtailhold_relay::run_durations::{KEPT_RUNS, MAX_ROUTES, RunDurations};
use test_case::test_case;

#[test_case("a", Some(40), Some(900); "the same size")]
#[test_case("a", Some(60), Some(900); "less than twice the size")]
#[test_case("a", Some(20), Some(900); "the next larger size that has run")]
#[test_case("a", Some(200), Some(4_000); "in proportion to the largest size that has run")]
#[test_case("c", Some(1), None; "only runs without a size")]
#[test_case("a", Some(u64::MAX), Some(2_000 << 20); "the largest size")]
#[test_case("a", None, Some(5); "no size")]
#[test_case("b", Some(40), None; "no run of the route")]
fn a_run_is_bounded_by_those_of_its_size(route: &str, tokens: Option<u64>, longest: Option<u64>) {
    let mut durations = RunDurations::default();
    for (tokens, took_ms) in [
        (Some(40), 700),
        (Some(33), 900),
        (Some(100), 2_000),
        (None, 5),
    ] {
        durations.record("a", tokens, took_ms);
    }
    durations.record("c", None, 5);
    assert_eq!(durations.longest_ms(route, tokens), longest);
}

#[test]
fn a_long_run_is_forgotten_after_newer_ones() {
    let mut durations = RunDurations::default();
    durations.record("a", None, 5_000);
    for _ in 1..KEPT_RUNS {
        durations.record("a", None, 10);
    }
    assert_eq!(durations.longest_ms("a", None), Some(5_000));
    durations.record("a", None, 10);
    assert_eq!(durations.longest_ms("a", None), Some(10));
}

#[test]
fn routes_that_come_and_go_take_bounded_memory() {
    let mut durations = RunDurations::default();
    for number in 0..=MAX_ROUTES {
        durations.record(&format!("route-{number}"), None, 10);
    }
    assert_eq!(durations.longest_ms("route-0", None), None);
    assert_eq!(
        durations.longest_ms(&format!("route-{MAX_ROUTES}"), None),
        Some(10)
    );
}

#[test]
fn the_usual_run_is_that_of_the_same_size_or_the_next_smaller_one() {
    let mut durations = RunDurations::default();
    assert_eq!(durations.usual_ms("a", Some(100)), None);
    for took_ms in [10, 900, 20, 30, 40] {
        durations.record("a", Some(100), took_ms);
    }
    assert_eq!(durations.usual_ms("a", Some(100)), Some(30));
    assert_eq!(durations.usual_ms("a", Some(4_000)), Some(30));
    // A smaller request may take any shorter time.
    assert_eq!(durations.usual_ms("a", Some(10)), None);
    assert_eq!(durations.usual_ms("b", Some(100)), None);
}
