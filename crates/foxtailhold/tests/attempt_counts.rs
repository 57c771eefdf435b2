//! Limits on the attempts at a batch item while its owners are lost again and again.

use foxtailhold::attempt_counts::{AttemptCounts, AttemptDecision, MAX_PENDING_ATTEMPTS};
use proptest::prelude::*;
use test_case::test_case;

#[test_case(0, 0, 3, AttemptDecision::Allowed; "the first attempt")]
#[test_case(2, 0, 3, AttemptDecision::Allowed; "failed twice")]
#[test_case(3, 0, 3, AttemptDecision::GiveUp; "failed as often as the route allows")]
#[test_case(1, 0, 0, AttemptDecision::GiveUp; "a route without retries allows one failure")]
#[test_case(0, 2, 3, AttemptDecision::Allowed; "two unknown outcomes")]
#[test_case(0, 3, 3, AttemptDecision::Backoff; "three unknown outcomes")]
#[test_case(3, 3, 3, AttemptDecision::GiveUp; "failures and unknown outcomes")]
fn next_attempt_follows_from_the_counts(
    failed: u32,
    pending: u32,
    max_failed: u32,
    expected: AttemptDecision,
) {
    assert_eq!(
        AttemptCounts { failed, pending }.next_attempt(max_failed),
        expected
    );
}

#[test]
fn item_that_received_events_may_be_tried_again() {
    let mut counts = AttemptCounts {
        failed: 1,
        pending: 3,
    };
    counts.record_events();
    assert_eq!(counts.next_attempt(3), AttemptDecision::Allowed);
}

/// When an owner of an item that always fails is lost.
#[derive(Debug, Clone, Copy)]
enum OwnerLifetime {
    /// The owner is lost right after the first response, before it stores the failure.
    LostDuringFirstAttempt,
    /// The owner stores this many failures and is lost during the next attempt.
    LostAfterFailures(u32),
}

fn lifetime() -> impl Strategy<Value = OwnerLifetime> {
    prop_oneof![
        3 => Just(OwnerLifetime::LostDuringFirstAttempt),
        1 => (1_u32..4).prop_map(OwnerLifetime::LostAfterFailures),
    ]
}

/// Passes an item that always fails from owner to owner and returns the number of attempts.
fn attempts(lifetimes: &[OwnerLifetime], max_failed: u32, permanent_error: bool) -> u32 {
    let mut attempts = 0;
    let mut stored: Option<AttemptCounts> = None;
    for (lost_owners, lifetime) in lifetimes.iter().enumerate() {
        let lost_owners = lost_owners as u32;
        let mut counts = stored.unwrap_or(AttemptCounts::without_record(lost_owners));
        let stored_by_owner = match lifetime {
            OwnerLifetime::LostDuringFirstAttempt => 0,
            OwnerLifetime::LostAfterFailures(count) => *count,
        };
        for response in 0..=stored_by_owner {
            if counts.next_attempt(max_failed) != AttemptDecision::Allowed {
                return attempts;
            }
            if counts.must_record_start(lost_owners) {
                stored = Some(counts.with_pending_attempt());
            }
            attempts += 1;
            if response == stored_by_owner || permanent_error {
                break;
            }
            counts.record_failure();
            stored = Some(counts);
        }
    }
    attempts
}

proptest! {
    #[test]
    fn failed_responses_stay_within_three_times_the_route_limit(
        lifetimes in prop::collection::vec(lifetime(), 0..12), max_failed in 1_u32..5,
    ) {
        let attempts = attempts(&lifetimes, max_failed, false);
        prop_assert!(attempts <= 3 * max_failed, "{} attempts", attempts);
    }

    #[test]
    fn item_with_a_permanent_error_is_sent_three_times_at_most(
        lifetimes in prop::collection::vec(lifetime(), 0..12), max_failed in 1_u32..5,
    ) {
        prop_assert!(attempts(&lifetimes, max_failed, true) <= MAX_PENDING_ATTEMPTS);
    }
}
