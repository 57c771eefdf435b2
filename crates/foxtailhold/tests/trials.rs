//! Which items are tried, in which order, and how many side by side.

use foxtailhold::time::MonoMs;
use foxtailhold::trials::{TrialOrder, TrialQueue};

const NOW: MonoMs = MonoMs(10_000);

fn order(number: u64) -> TrialOrder {
    TrialOrder {
        crashed_trials: 0,
        missed_trials: 0,
        crashes: 3,
        idle_since: MonoMs(1_000),
        number,
    }
}

fn queue(waiting: &[TrialOrder]) -> TrialQueue {
    let mut queue = TrialQueue::default();
    for order in waiting {
        queue.join(*order);
    }
    queue
}

fn admitted(queue: &mut TrialQueue, waiting: &[TrialOrder], now: MonoMs) -> usize {
    let mut admitted = 0;
    for order in waiting {
        admitted += usize::from(queue.admit(order, now).is_some());
    }
    admitted
}

fn pass(queue: &mut TrialQueue, number: u64) {
    queue.join(order(number));
    let begin = queue.admit(&order(number), NOW).unwrap();
    queue.record_pass(begin);
    queue.end();
}

/// Guards against items that are tried one after the other though none of them crashes anything.
#[test]
fn sixty_sound_items_are_tried_within_six_rounds() {
    let all: Vec<TrialOrder> = (0..60).map(order).collect();
    let mut queue = queue(&all);
    let (mut tried, mut rounds) = (0, 0);
    while tried < all.len() {
        let begins: Vec<_> = all
            .iter()
            .filter_map(|order| queue.admit(order, NOW))
            .collect();
        assert!(!begins.is_empty());
        for begin in &begins {
            queue.record_pass(*begin);
            queue.end();
        }
        (tried, rounds) = (tried + begins.len(), rounds + 1);
    }
    assert!(rounds <= 6, "{rounds} rounds");
}

#[test]
fn a_crash_lets_one_trial_begin_after_its_delay() {
    let mut queue = TrialQueue::default();
    for number in 100..104 {
        pass(&mut queue, number);
    }
    let all: Vec<TrialOrder> = (0..20).map(order).collect();
    for order in &all {
        queue.join(*order);
    }
    queue.record_crash(1_500, NOW);
    assert_eq!(admitted(&mut queue, &all, NOW + 1_499), 0);
    assert_eq!(admitted(&mut queue, &all, NOW + 1_500), 1);
}

/// Guards against items that crash replicas and take the turns of those that do not.
#[test]
fn items_that_crashed_in_trials_yield_to_others_and_then_the_longest_idle_goes_first() {
    let crashed = TrialOrder {
        crashed_trials: 1,
        idle_since: MonoMs(0),
        ..order(1)
    };
    let without_slot = TrialOrder {
        missed_trials: 1,
        ..order(2)
    };
    let more_crashes = TrialOrder {
        crashes: 4,
        ..order(3)
    };
    let late = TrialOrder {
        idle_since: MonoMs(2_000),
        ..order(4)
    };
    let expected = [order(5), late, more_crashes, without_slot, crashed];
    let mut queue = queue(&[crashed, without_slot, more_crashes, late, order(5)]);
    for first in &expected {
        for later in expected.iter().filter(|later| *later > first) {
            assert_eq!(queue.admit(later, NOW), None);
        }
        assert!(queue.admit(first, NOW).is_some(), "{first:?}");
        queue.end();
    }
}

/// Guards against an item that has ended and keeps the others from their turn.
#[test]
fn an_item_that_leaves_lets_the_next_one_be_tried() {
    let mut queue = queue(&[order(1), order(2)]);
    assert_eq!(queue.admit(&order(2), NOW), None);
    queue.leave(&order(1));
    assert!(queue.admit(&order(2), NOW).is_some());
}

/// Guards against a limit that trials raise again which began before a crash, or whose items crash
/// replicas after they were passed.
#[test]
fn passes_of_trials_before_a_crash_or_of_items_that_crash_later_raise_no_limit() {
    let crashed = TrialOrder {
        crashed_trials: 1,
        ..order(2)
    };
    let mut queue = queue(&[order(1), crashed]);
    let before = queue.admit(&order(1), NOW).unwrap();
    queue.record_crash(0, NOW);
    queue.record_pass(before);
    queue.end();
    let calm = NOW + 3_000;
    let begin = queue.admit(&crashed, calm).unwrap();
    queue.record_pass(begin);
    queue.end();
    pass(&mut queue, 3);
    let all: Vec<TrialOrder> = (10..20).map(order).collect();
    for order in &all {
        queue.join(*order);
    }
    assert_eq!(admitted(&mut queue, &all, calm), 1);
}
