//! The time of the store as instances know it. Guards against an item that is given up before its time.

use std::thread::sleep;
use std::time::Duration;

use foxtailhold_relay::store_clock::StoreClock;
use test_case::test_case;

const PAUSE_MS: u64 = 50;
/// Much more than the tests take.
const BUSY_MS: u64 = 5_000;

fn assert_about(clock: &StoreClock, expected_ms: u64) {
    let now_ms = clock.now_ms().unwrap();
    let about = expected_ms..expected_ms + BUSY_MS;
    assert!(about.contains(&now_ms), "{now_ms}, not {expected_ms}");
}

#[test]
fn the_time_goes_on_between_answers() {
    let clock = StoreClock::default();
    assert_eq!(clock.now_ms(), None);
    clock.observe(50_000);
    sleep(Duration::from_millis(PAUSE_MS));
    assert_about(&clock, 50_000 + PAUSE_MS);
}

#[test]
fn an_answer_that_comes_late_does_not_turn_the_time_back() {
    let clock = StoreClock::default();
    clock.observe(50_000);
    sleep(Duration::from_millis(PAUSE_MS));
    clock.observe(50_001);
    assert_about(&clock, 50_000 + PAUSE_MS);
}

#[test]
fn the_time_follows_the_store_after_a_suspension_of_the_process() {
    let clock = StoreClock::default();
    clock.observe(50_000);
    clock.observe(58_000);
    assert_about(&clock, 58_000);
}

/// Guards against items that are all given up because of one wrong time.
#[test_case(9_000_000_000 ; "far ahead")]
#[test_case(3 ; "far behind")]
fn one_answer_with_another_time_counts_for_nothing(wrong_ms: u64) {
    let clock = StoreClock::default();
    clock.observe(500_000);
    clock.observe(wrong_ms);
    assert_about(&clock, 500_000);
    clock.observe(500_001);
    clock.observe(wrong_ms);
    assert_about(&clock, 500_000);
}

#[test_case(9_000_000_000 ; "far ahead")]
#[test_case(3 ; "far behind")]
fn another_time_counts_once_two_answers_agree(other_ms: u64) {
    let clock = StoreClock::default();
    clock.observe(500_000);
    clock.observe(other_ms);
    clock.observe(other_ms + 1);
    assert_about(&clock, other_ms);
}
