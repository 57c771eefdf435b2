//! The deadline check for new jobs, from the measured rate and the work of earlier jobs.

use foxtailhold::batch::deadline_check::{Backlog, DeadlineCheck, DeadlineEstimator};
use foxtailhold::ids::JobId;
use foxtailhold::time::{MonoMs, WallMs};
use test_case::test_case;

fn job(name: &str) -> JobId {
    name.try_into().unwrap()
}

fn backlog(deadline_wall_ms: u64, items_left: u64, waiting: bool) -> Backlog {
    Backlog {
        deadline_wall_ms,
        items_left,
        waiting,
    }
}

/// An estimator with a running job that finished 100 items per second for ten seconds and has 1,000
/// items left, due at 50,000 ms.
fn estimator(waiting: bool) -> DeadlineEstimator {
    let mut estimator = DeadlineEstimator::default();
    for tick in 0..100_u64 {
        let left = 2_000 - tick * 10;
        estimator.update(
            &job("running"),
            backlog(50_000, left, waiting),
            MonoMs(tick * 100),
        );
        estimator.record_finished_items(10);
    }
    estimator.update(
        &job("running"),
        backlog(50_000, 1_000, waiting),
        MonoMs(10_000),
    );
    estimator
}

#[test_case(1_000, 60_000, None; "enough time after the earlier job")]
#[test_case(1_000, 15_000, None; "due before the running job")]
#[test_case(5_500, 55_000, Some((65_000, Some(10_000))); "too many items after the earlier job")]
#[test_case(6_000, 55_000, Some((70_000, None)); "late even alone")]
fn deadline_check_uses_the_measured_rate_and_earlier_work(
    items: u64,
    window_ms: u64,
    refused: Option<(u64, Option<u64>)>,
) {
    let check = estimator(true).check(items, window_ms, WallMs(0));
    let expected = refused.map_or(DeadlineCheck::Feasible, |(needed_ms, retry_after_ms)| {
        DeadlineCheck::Infeasible {
            needed_ms,
            retry_after_ms,
        }
    });
    assert_eq!(check, expected);
}

#[test]
fn rate_is_measured_only_while_items_wait_for_a_slot() {
    assert_eq!(estimator(true).items_per_s(), Some(100.0));
    assert_eq!(estimator(false).items_per_s(), None);
    let check = estimator(false).check(1_000_000, 1_000, WallMs(0));
    assert_eq!(check, DeadlineCheck::Feasible);
}
