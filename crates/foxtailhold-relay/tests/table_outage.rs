//! How long the store has been away, as the calls about a table show.

use std::time::Duration;

use foxtailhold_relay::store_access::StoreAccess;
use foxtailhold_relay::tables::{FollowedTable, TableStatus};

const TABLE: FollowedTable = FollowedTable::Jobs;
const STEP: Duration = Duration::from_millis(60);

#[test]
fn an_outage_lasts_from_the_first_failed_call_to_the_next_answer() {
    let status = TableStatus::default();
    assert_eq!(status.outage(TABLE), None);
    status.record_failure(TABLE);
    std::thread::sleep(STEP);
    status.record_failure(TABLE);
    assert!(status.outage(TABLE).unwrap() >= STEP);
    assert_eq!(status.outage(FollowedTable::Routes), None);
    status.confirm(TABLE, StoreAccess::Direct);
    assert_eq!(status.outage(TABLE), None);
    std::thread::sleep(STEP);
    status.record_failure(TABLE);
    assert!(status.outage(TABLE).unwrap() < STEP);
}

/// The way through another instance is an answer too.
#[test]
fn an_answer_through_another_instance_ends_an_outage() {
    let status = TableStatus::default();
    status.record_failure(TABLE);
    let address = "127.0.0.1:7000".parse().unwrap();
    status.confirm(TABLE, StoreAccess::Peer(address));
    assert_eq!(status.outage(TABLE), None);
}
