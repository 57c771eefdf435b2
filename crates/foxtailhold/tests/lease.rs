//! How long the holder of a lease may act, and on which work.

use foxtailhold::act_lease::ActLease;
use foxtailhold::lease::{HeldLease, LEASE_MARGIN_MS, LEASE_TERM_MS, LeaseState};
use foxtailhold::time::MonoMs;

const SENT_AT: MonoMs = MonoMs(1_000);
const VALID_MS: u64 = LEASE_TERM_MS - LEASE_MARGIN_MS;

fn lease_with_epoch(epoch: u64) -> HeldLease {
    let mut lease = HeldLease::default();
    lease.record_renewal(epoch, SENT_AT);
    lease
}

#[test]
fn a_holder_acts_until_the_margin_before_the_end_of_its_term() {
    let lease = lease_with_epoch(3);
    let until = lease.valid_until(3).map(ActLease::until);
    assert_eq!(until, Some(SENT_AT + VALID_MS));
    assert_eq!(lease.epoch_at(MonoMs(SENT_AT.0 + VALID_MS - 1)), Some(3));
    assert_eq!(lease.epoch_at(SENT_AT + VALID_MS), None);
}

#[test]
fn work_of_an_older_epoch_is_not_sent_under_a_newer_lease() {
    let lease = lease_with_epoch(4);
    assert_eq!(lease.valid_until(3), None);
    assert_eq!(lease.lease_state(3, SENT_AT), LeaseState::Lost);
}

#[test]
fn nobody_acts_on_a_lease_that_was_given_up() {
    let mut lease = lease_with_epoch(3);
    lease.give_up();
    assert_eq!(
        (lease.valid_until(3), lease.epoch_at(SENT_AT)),
        (None, None)
    );
}
