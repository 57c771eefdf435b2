//! Contracts applied from stale reads, and what confirms that an instance is current.

mod common;

use common::change;
use foxtailhold::contract_registry::{
    ContractChange, ContractEntry, ContractRegistry, ContractSyncData,
};
use foxtailhold::contract_sync::{
    CURRENT_BOUND_MS, ContractStatus, ContractSync, ListingState, POLL_AFTER_MS, POLL_JITTER_MS,
    SyncStep,
};
use foxtailhold::ids::CustomerId;
use foxtailhold::time::MonoMs;
use test_case::test_case;

fn row(change: &ContractChange) -> (CustomerId, ContractEntry) {
    let entry = ContractEntry {
        version: change.version,
        number: change.number,
        contract: change.contract.clone(),
    };
    (change.customer.clone(), entry)
}

fn holder(registry: &ContractRegistry, key: &str) -> Option<String> {
    let contract = registry.by_api_key(key)?;
    Some(contract.customer.to_string())
}

/// A scan reads each row at another moment, so a snapshot may hold an old row next to a new one.
/// Replaying the log over it must never give the key back to its old holder: the key moves from
/// `alpha` (change 1) to `beta` (change 3), after change 2 took it from `alpha`.
#[test_case(&[0, 2]; "old holder's row first")]
#[test_case(&[2, 0]; "new holder's row first")]
#[test_case(&[1, 2]; "both rows new")]
#[test_case(&[3, 2]; "a row newer than changes still to be replayed")]
fn rows_of_different_moments_do_not_revert_while_the_log_is_replayed(scanned_rows: &[usize]) {
    let changes = [
        change(1, "alpha", 1, "moved-key"),
        change(2, "alpha", 2, "alpha-key"),
        change(3, "beta", 1, "moved-key"),
        change(4, "alpha", 3, "alpha-key"),
    ];
    let mut registry = ContractRegistry::default();
    let entries = scanned_rows.iter().map(|index| row(&changes[*index]));
    registry.apply_update(&ContractSyncData::Snapshot {
        number: 1,
        entries: entries.collect(),
    });
    let mut highest = registry
        .get(&changes[0].customer)
        .map_or(0, |alpha| alpha.number);
    for change in &changes {
        registry.apply(change);
        assert_eq!(holder(&registry, "moved-key").as_deref(), Some("beta"));
        let alpha = registry.get(&changes[0].customer).unwrap().number;
        assert!(alpha >= highest);
        highest = alpha;
    }
    assert_eq!(registry.number(), 4);
    assert_eq!(holder(&registry, "alpha-key").as_deref(), Some("alpha"));
}

fn loaded(now: MonoMs) -> ContractSync {
    let mut sync = ContractSync::default();
    let changes = vec![change(1, "alpha", 1, "alpha-key")];
    sync.on_peer_answer(&ContractSyncData::Changes(changes), now);
    sync
}

#[test_case(1, ListingState::Listed; "a read of the applied number confirms")]
#[test_case(0, ListingState::CutOff; "a stale read confirms nothing")]
#[test_case(2, ListingState::CutOff; "a higher number confirms once it is applied")]
fn head_row_confirms(head: u64, listing: ListingState) {
    let now = MonoMs(10_000);
    let mut sync = loaded(now);
    sync.on_head(head, now, 1, now);
    assert_eq!(sync.listing(true, now), listing);
    sync.on_data(
        &ContractSyncData::Changes(vec![change(2, "beta", 1, "beta-key")]),
        now,
    );
    let after = if head == 2 {
        ListingState::Listed
    } else {
        listing
    };
    assert_eq!(sync.listing(true, now), after);
}

#[test_case(Some(0), 0, ListingState::Listed; "fresh")]
#[test_case(Some(CURRENT_BOUND_MS as u32), 1, ListingState::CutOff; "age and time in transit together too old")]
#[test_case(None, 0, ListingState::CutOff; "the peer has no confirmation")]
fn confirmation_from_a_peer_keeps_its_age(
    age_ms: Option<u32>,
    transit_ms: u64,
    listing: ListingState,
) {
    let sent_at = MonoMs(10_000);
    let mut sync = loaded(sent_at);
    let status = ContractStatus {
        number: 1,
        confirmed_age_ms: age_ms,
    };
    sync.on_peer_status(status, Some(sent_at), sent_at + transit_ms);
    assert_eq!(sync.listing(true, sent_at + transit_ms), listing);
    let mut sync = loaded(sent_at);
    sync.on_peer_status(status, None, sent_at + transit_ms);
    assert_eq!(sync.listing(true, sent_at), ListingState::CutOff);
}

#[test]
fn store_outage_unlists_no_instance_and_a_known_missing_change_does() {
    let start = MonoMs(10_000);
    let mut sync = loaded(start);
    let later = start + 10 * CURRENT_BOUND_MS;
    assert_eq!(sync.listing(false, later), ListingState::Listed);
    let status = ContractStatus {
        number: 2,
        confirmed_age_ms: None,
    };
    sync.on_peer_status(status, None, start);
    assert_eq!(sync.listing(false, start), ListingState::Listed);
    assert_eq!(sync.listing(false, later), ListingState::Behind);
}

#[test]
fn change_that_arrives_before_its_predecessor_is_buffered_and_the_predecessor_fetched() {
    let now = MonoMs(10_000);
    let mut sync = loaded(now);
    let third = ContractSyncData::Changes(vec![change(3, "gamma", 1, "gamma-key")]);
    assert!(!sync.on_data(&third, now));
    let step = sync.next_step(0, now);
    assert_eq!(step, Some(SyncStep::AskPeer { after: 1 }));
    sync.on_failed(SyncStep::AskPeer { after: 1 }, 0, now);
    assert_eq!(sync.next_step(0, now), Some(SyncStep::ReadLog { after: 1 }));
    sync.on_log(vec![change(2, "beta", 1, "beta-key")], now);
    assert_eq!(sync.registry().number(), 3);
}

#[test]
fn head_row_is_read_only_when_the_confirmation_is_older_than_the_poll_period() {
    let now = MonoMs(10_000);
    let mut sync = loaded(now);
    assert_eq!(sync.next_step(0, now), Some(SyncStep::ReadHead));
    sync.on_head(1, now, 1, now);
    assert_eq!(sync.next_step(0, now + (POLL_AFTER_MS - 1)), None);
    let due = now + POLL_AFTER_MS + POLL_JITTER_MS;
    assert_eq!(sync.next_step(0, due), Some(SyncStep::ReadHead));
}
