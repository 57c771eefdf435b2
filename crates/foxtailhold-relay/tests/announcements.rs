//! Announcements of table versions: an instance that lacks a change learns of it, and instances of
//! versions with and without announcements understand each other.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::InstanceId;
use foxtailhold_peer::codec;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::peers::{Datagram, PeerMessage};
use foxtailhold_relay::tables::{Announcement, FollowedTable, TableStatus, TableVersions};
use test_case::test_case;

const TABLE: FollowedTable = FollowedTable::Routes;
/// Longer than a change may take on the usual path.
const LONG: Duration = Duration::from_millis(500);

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn row(version: u64) -> VersionedRow {
    VersionedRow {
        key: RowKey::new("table", "key"),
        value: Some(Bytes::from_static(b"value")),
        version,
    }
}

/// The versions that an instance with a change of this version announces.
fn versions(version: u64) -> TableVersions {
    let status = TableStatus::default();
    status.record_changes(TABLE, &[row(version)]);
    status.versions()
}

async fn behind(status: &TableStatus) -> Option<Announcement> {
    tokio::time::timeout(LONG, status.wait_until_behind(TABLE))
        .await
        .ok()
}

#[tokio::test]
async fn an_announced_change_that_does_not_arrive_is_reported_with_its_holder() {
    let status = TableStatus::default();
    status.record_changes(TABLE, &[row(5)]);
    status.apply_announcement(peer(1), &versions(7));
    let announcement = Announcement {
        version: 7,
        from: peer(1),
    };
    assert_eq!(behind(&status).await, Some(announcement));
}

#[tokio::test]
async fn the_latest_holder_of_the_newest_change_is_reported() {
    let status = TableStatus::default();
    status.apply_announcement(peer(1), &versions(7));
    status.apply_announcement(peer(2), &versions(7));
    status.apply_announcement(peer(3), &versions(6));
    let announcement = behind(&status).await.unwrap();
    assert_eq!((announcement.version, announcement.from), (7, peer(2)));
}

#[test_case(|status| status.record_changes(TABLE, &[row(7), row(6)]); "by its row")]
#[test_case(|status| status.record_complete(TABLE, 9); "by a read of the table")]
#[tokio::test]
async fn an_announced_change_that_arrives_is_not_missing(arrive: fn(&TableStatus)) {
    let status = TableStatus::default();
    status.apply_announcement(peer(1), &versions(7));
    arrive(&status);
    assert_eq!(behind(&status).await, None);
}

#[tokio::test]
async fn a_change_of_another_table_is_not_missing() {
    let status = TableStatus::default();
    let other = TableStatus::default();
    other.record_changes(FollowedTable::Jobs, &[row(7)]);
    status.apply_announcement(peer(1), &other.versions());
    assert_eq!(behind(&status).await, None);
}

fn heartbeat() -> PeerMessage {
    PeerMessage::SlotReport {
        instance: InstanceId::try_from("edge-1.17").unwrap(),
        held: Vec::new(),
    }
}

#[test]
fn a_heartbeat_with_versions_is_read_back() {
    let bytes = Datagram::encode(&heartbeat(), Some(&versions(7))).unwrap();
    let datagram = Datagram::decode(&bytes).unwrap();
    assert_eq!(datagram.message, heartbeat());
    assert_eq!(datagram.tables, Some(versions(7)));
}

#[test]
fn instances_with_and_without_announcements_understand_each_other() {
    let new = Datagram::encode(&heartbeat(), Some(&versions(7))).unwrap();
    let read_by_old: PeerMessage = codec::decode(&new).unwrap();
    assert_eq!(read_by_old, heartbeat());
    let old = codec::encode(&heartbeat()).unwrap();
    let read_by_new = Datagram::decode(&old).unwrap();
    assert_eq!(read_by_new.message, heartbeat());
    assert_eq!(read_by_new.tables, None);
}

/// Guards against an empty page of an instance that has known of a change which it lacks for long.
#[tokio::test]
async fn a_copy_that_lacks_an_announced_change_for_long_is_not_current() {
    const MAX_AGE_MS: u64 = 300;
    let status = TableStatus::default();
    status.record_changes(TABLE, &[row(5)]);
    status.record_current(TABLE, status.clock().mono());
    status.apply_announcement(peer(1), &versions(7));
    assert!(status.covers_now(TABLE, MAX_AGE_MS), "it may be on its way");
    tokio::time::sleep(Duration::from_millis(2 * MAX_AGE_MS)).await;
    // The feed answers without the change.
    status.record_current(TABLE, status.clock().mono());
    assert!(!status.covers_now(TABLE, MAX_AGE_MS));
    status.record_changes(TABLE, &[row(7)]);
    status.record_current(TABLE, status.clock().mono());
    assert!(status.covers_now(TABLE, MAX_AGE_MS));
}
