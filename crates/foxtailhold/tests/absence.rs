//! What is missing from a copy counts as missing only while the copy is current.

use foxtailhold::absence::Absence;
use foxtailhold::time::MonoMs;

const BOUND_MS: u64 = 2_000;

/// A copy that is brought up to date each second, as of the call before.
#[test]
fn time_counts_while_the_copy_is_current() {
    let mut absence = Absence::new(MonoMs(10_000), MonoMs(9_000));
    for now in (10_000..=15_900).step_by(100) {
        absence.observe(MonoMs(now), MonoMs(now / 1_000 * 1_000 - 1_000), BOUND_MS);
    }
    assert_eq!(absence.known_ms(), 4_000);
}

/// Guards against a route that counts as ended because the copy of the routes is late.
#[test]
fn time_does_not_count_while_the_copy_is_late() {
    let mut absence = Absence::new(MonoMs(10_000), MonoMs(10_000));
    for now in (10_000..=60_000).step_by(100) {
        absence.observe(MonoMs(now), MonoMs(10_000), BOUND_MS);
    }
    assert_eq!(absence.known_ms(), 0);
}

/// Guards against a route that counts as missing for the time for which nobody looked.
#[test]
fn time_counts_anew_after_the_copy_was_late() {
    let mut absence = Absence::new(MonoMs(10_000), MonoMs(10_000));
    absence.observe(MonoMs(12_000), MonoMs(11_000), BOUND_MS);
    assert_eq!(absence.known_ms(), 1_000);
    absence.observe(MonoMs(30_000), MonoMs(29_900), BOUND_MS);
    assert_eq!(absence.known_ms(), 0);
    absence.observe(MonoMs(31_500), MonoMs(31_000), BOUND_MS);
    assert_eq!(absence.known_ms(), 1_000);
}

#[test]
fn an_older_answer_changes_nothing() {
    let mut absence = Absence::new(MonoMs(10_000), MonoMs(10_000));
    absence.observe(MonoMs(12_000), MonoMs(11_500), BOUND_MS);
    absence.observe(MonoMs(12_100), MonoMs(10_500), BOUND_MS);
    assert_eq!(absence.known_ms(), 1_500);
}
