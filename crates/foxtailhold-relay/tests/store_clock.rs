//! The time of the store as instances know it. Guards against an item that is given up before its time.

use std::thread::sleep;
use std::time::Duration;

use foxtailhold_relay::store_clock::StoreClock;

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

#[test]
fn the_clock_of_another_store_counts_from_its_first_answer() {
    let clock = StoreClock::default();
    clock.observe(5_000_000);
    clock.observe(100);
    assert_about(&clock, 100);
}
