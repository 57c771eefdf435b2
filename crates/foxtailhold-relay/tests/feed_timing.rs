//! The calls that follow a table fit into the time within which a change has to be in effect.

use foxtailhold_relay::follow::FeedTiming;
use test_case::test_case;

#[test_case(1_000; "the shortest")]
#[test_case(2_000; "of the first deployments")]
#[test_case(3_000; "of larger ones")]
#[test_case(6_000; "the longest")]
fn a_call_that_hangs_and_the_next_one_end_in_time(change_bound_ms: u64) {
    let timing = FeedTiming::new(change_bound_ms);
    assert!(timing.longest_gap_ms() < change_bound_ms, "{timing:?}");
    let retry_ms = timing.max_retry_delay_ms + timing.margin_ms;
    assert!(retry_ms < change_bound_ms, "{timing:?}");
    assert!(timing.peer_wait_ms + timing.margin_ms < change_bound_ms);
}

#[test]
fn extreme_bounds_are_brought_into_range() {
    assert_eq!(FeedTiming::new(0), FeedTiming::new(1_000));
    assert_eq!(FeedTiming::new(60_000), FeedTiming::new(6_000));
}
