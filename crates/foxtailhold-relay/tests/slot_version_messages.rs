//! Slot requests for a software version between instances of this version and the previous one,
//! which reads the message, then the table versions, and ignores what follows.

use std::net::SocketAddr;

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{SlotDecision, SlotRequest, SlotRequestId, Urgency};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold_peer::codec;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::peers::{Datagram, PeerMessage};
use foxtailhold_relay::tables::{FollowedTable, TableStatus, TableVersions};
use test_case::test_case;

const NEWEST_CHANGE: u64 = 70_000;

fn request(version: Option<&str>) -> SlotRequest {
    SlotRequest {
        id: SlotRequestId {
            instance: InstanceId::try_from("i").unwrap(),
            number: 3,
        },
        pool: TargetName::try_from("p").unwrap(),
        urgency: Urgency::Online { priority: 1 },
        slack_ms: 200,
        late_ms: 0,
        avoid: vec![BackendId::try_from("b").unwrap()],
        zone: AvailabilityZone::try_from("z").unwrap(),
        version: version.map(|text| SoftwareVersion::try_from(text).unwrap()),
    }
}

/// The encoding of a slot request by the previous version.
const PREVIOUS_BYTES: [u8; 14] = [0, 1, b'i', 3, 1, b'p', 0, 1, 200, 1, 1, b'b', 1, b'z'];

fn tables() -> TableVersions {
    let status = TableStatus::default();
    let row = VersionedRow {
        key: RowKey::new("servers", "b"),
        version: NEWEST_CHANGE,
        value: None,
    };
    status.record_changes(FollowedTable::Backends, &[row]);
    status.versions()
}

/// Reads a datagram like the previous version.
fn decode_as_before(bytes: &[u8]) -> (PeerMessage, Option<TableVersions>) {
    let (message, appended) = codec::decode_first(bytes).unwrap();
    (message, codec::decode(appended).ok())
}

#[test]
fn a_request_for_any_version_keeps_its_bytes() {
    let message = PeerMessage::SlotRequest(request(None));
    let bytes = Datagram::encode(&message, None).unwrap();
    assert_eq!(bytes, &PREVIOUS_BYTES[..]);
}

#[test]
fn a_request_of_the_previous_version_is_for_any_version() {
    let datagram = Datagram::decode(&PREVIOUS_BYTES).unwrap();
    assert_eq!(datagram.message, PeerMessage::SlotRequest(request(None)));
    assert_eq!(datagram.tables, None);
    let mut with_tables = PREVIOUS_BYTES.to_vec();
    with_tables.extend_from_slice(&codec::encode(&tables()).unwrap());
    let datagram = Datagram::decode(&with_tables).unwrap();
    assert_eq!(datagram.message, PeerMessage::SlotRequest(request(None)));
    assert_eq!(datagram.tables, Some(tables()));
}

#[test_case("v1.2" ; "a version")]
#[test_case("" ; "the empty version of servers that state none")]
fn a_request_for_a_version_arrives_with_it(version: &str) {
    let message = PeerMessage::SlotRequest(request(Some(version)));
    let bytes = Datagram::encode(&message, Some(&tables())).unwrap();
    let datagram = Datagram::decode(&bytes).unwrap();
    assert_eq!(datagram.message, message);
    assert_eq!(datagram.tables, Some(tables()));
}

#[test_case("v1.2" ; "a version")]
#[test_case("" ; "the empty version of servers that state none")]
fn the_previous_version_reads_the_request_and_the_table_versions(version: &str) {
    let message = PeerMessage::SlotRequest(request(Some(version)));
    let bytes = Datagram::encode(&message, Some(&tables())).unwrap();
    let (read, read_tables) = decode_as_before(&bytes);
    assert_eq!(read, PeerMessage::SlotRequest(request(None)));
    assert_eq!(read_tables, Some(tables()));
}

/// Guards against a version that is read as table versions, which would announce changes that do
/// not exist.
#[test]
fn a_version_always_follows_table_versions() {
    let message = PeerMessage::SlotRequest(request(Some("v1.2")));
    let bytes = Datagram::encode(&message, None).unwrap();
    assert_eq!(Datagram::decode(&bytes).unwrap().message, message);
    let (_, read_tables) = decode_as_before(&bytes);
    let status = TableStatus::default();
    let from: SocketAddr = "10.0.0.1:80".parse().unwrap();
    status.apply_announcement(from, &read_tables.unwrap());
    for table in FollowedTable::ALL {
        assert_eq!(status.newest_announced(table), 0);
    }
}

#[test]
fn table_versions_of_other_messages_are_read_as_before() {
    let message = PeerMessage::SlotDecision {
        request: request(None).id,
        decision: SlotDecision::Queued,
    };
    let bytes = Datagram::encode(&message, Some(&tables())).unwrap();
    assert_eq!(decode_as_before(&bytes), (message.clone(), Some(tables())));
    let mut with_more = bytes.to_vec();
    with_more.extend_from_slice(b"parts of a later version");
    let datagram = Datagram::decode(&with_more).unwrap();
    assert_eq!(
        (datagram.message, datagram.tables),
        (message, Some(tables()))
    );
}
