//! How often a batch item may run, over the loss of its owners.

use foxtailhold::attempt_counts::{AttemptCounts, AttemptDecision, MAX_PENDING_ATTEMPTS};
use proptest::prelude::*;
use test_case::test_case;

#[test_case(0, 0, 3, AttemptDecision::Allowed; "the first run")]
#[test_case(2, 0, 3, AttemptDecision::Allowed; "failed twice")]
#[test_case(3, 0, 3, AttemptDecision::GiveUp; "failed as often as the route allows")]
#[test_case(1, 0, 0, AttemptDecision::GiveUp; "a route without a bound allows one")]
#[test_case(0, 2, 3, AttemptDecision::Allowed; "two outcomes not known")]
#[test_case(0, 3, 3, AttemptDecision::Backoff; "three outcomes not known")]
#[test_case(3, 3, 3, AttemptDecision::GiveUp; "failed and not known")]
fn the_next_run_follows_from_the_account(
    failed: u32,
    pending: u32,
    most: u32,
    expected: AttemptDecision,
) {
    assert_eq!(
        AttemptCounts { failed, pending }.next_attempt(most),
        expected
    );
}

#[test]
fn an_item_that_gave_events_may_run_whoever_was_lost() {
    let mut account = AttemptCounts {
        failed: 1,
        pending: 3,
    };
    account.record_events();
    assert_eq!(account.next_attempt(3), AttemptDecision::Allowed);
}

/// What an owner lives to do with an item that always fails.
#[derive(Debug, Clone, Copy)]
enum Life {
    /// Lost right after the answer.
    LostAtOnce,
    /// Lost after it has written down so many failed answers, in the next run.
    LostLater(u32),
}

fn life() -> impl Strategy<Value = Life> {
    prop_oneof![
        3 => Just(Life::LostAtOnce),
        1 => (1_u32..4).prop_map(Life::LostLater),
    ]
}

/// Runs an item that always fails through owners; returns how often it ran.
fn runs(lives: &[Life], max_failed: u32, gives_up_at_once: bool) -> u32 {
    let mut runs = 0;
    let mut written: Option<AttemptCounts> = None;
    for (lost_owners, life) in lives.iter().enumerate() {
        let lost_owners = lost_owners as u32;
        let mut account = written.unwrap_or(AttemptCounts::without_record(lost_owners));
        let written_here = match life {
            Life::LostAtOnce => 0,
            Life::LostLater(count) => *count,
        };
        for answer in 0..=written_here {
            if account.next_attempt(max_failed) != AttemptDecision::Allowed {
                return runs;
            }
            if account.must_record_start(lost_owners) {
                written = Some(account.with_pending_attempt());
            }
            runs += 1;
            if answer == written_here || gives_up_at_once {
                break;
            }
            account.record_failure();
            written = Some(account);
        }
    }
    runs
}

proptest! {
    #[test]
    fn failed_answers_stay_within_three_times_the_routes_bound(
        lives in prop::collection::vec(life(), 0..12), max_failed in 1_u32..5,
    ) {
        let runs = runs(&lives, max_failed, false);
        prop_assert!(runs <= 3 * max_failed, "{} runs", runs);
    }

    #[test]
    fn an_item_that_can_never_be_done_runs_three_times_at_most(
        lives in prop::collection::vec(life(), 0..12), max_failed in 1_u32..5,
    ) {
        prop_assert!(runs(&lives, max_failed, true) <= MAX_PENDING_ATTEMPTS);
    }
}
