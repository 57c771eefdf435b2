//! The calls that follow a table fit into the time within which a change has to be in effect.

use foxtailhold_relay::follow::FeedTiming;
use foxtailhold_relay::jobs::ActBounds;
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

/// Guards against jobs of a lost owner that nobody takes over, because each answer of a slow store is old
/// when it arrives and the next one takes as long.
#[test_case(1_000; "the shortest")]
#[test_case(6_000; "the longest")]
fn a_copy_whose_calls_are_answered_within_their_limits_allows_a_takeover(change_bound_ms: u64) {
    let timing = FeedTiming::new(change_bound_ms);
    let slowest_call_ms = timing.wait_ms + timing.margin_ms;
    let bounds = ActBounds::new(1_000, 3_000, &timing);
    assert!(bounds.take_over_ms >= 2 * slowest_call_ms, "{bounds:?}");
}

#[test]
fn extreme_bounds_are_brought_into_range() {
    assert_eq!(FeedTiming::new(0), FeedTiming::new(1_000));
    assert_eq!(FeedTiming::new(60_000), FeedTiming::new(6_000));
}
