//! Slot requests of late items between instances of this version and the previous one, which reads
//! the message, the table versions and the software version, and ignores what follows.

use foxtailhold::ids::{AvailabilityZone, InstanceId, TargetName};
use foxtailhold::slots::{SlotRequest, SlotRequestId, Urgency};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold_peer::codec;
use foxtailhold_relay::peers::{Datagram, PeerMessage};
use foxtailhold_relay::tables::TableVersions;
use test_case::test_matrix;

fn request(version: Option<&str>, late_ms: u64) -> SlotRequest {
    SlotRequest {
        id: SlotRequestId {
            instance: InstanceId::try_from("i").unwrap(),
            number: 3,
        },
        pool: TargetName::try_from("p").unwrap(),
        urgency: Urgency::Batch,
        slack_ms: 0,
        late_ms,
        avoid: Vec::new(),
        zone: AvailabilityZone::try_from("z").unwrap(),
        version: version.map(|text| SoftwareVersion::try_from(text).unwrap()),
    }
}

/// Encodes a slot request like the previous version.
fn encode_as_before(request: &SlotRequest) -> Vec<u8> {
    let message = PeerMessage::SlotRequest(request.clone());
    let mut bytes = codec::encode(&message).unwrap().to_vec();
    if let Some(version) = &request.version {
        bytes.extend_from_slice(&codec::encode(&TableVersions::default()).unwrap());
        bytes.extend_from_slice(&codec::encode(version).unwrap());
    }
    bytes
}

/// Reads a slot request like the previous version.
fn decode_as_before(bytes: &[u8]) -> SlotRequest {
    let (message, appended) = codec::decode_first(bytes).unwrap();
    let PeerMessage::SlotRequest(mut request) = message else {
        panic!("not a slot request");
    };
    if let Ok((_, appended)) = codec::decode_first::<TableVersions>(appended) {
        request.version = codec::decode(appended).ok();
    }
    request
}

#[test_matrix([None, Some(""), Some("v1.2")], [1, 200, 251, 70_000, u64::MAX])]
fn the_lateness_of_an_item_is_lost_on_the_way(version: Option<&str>, late_ms: u64) {
    let sent = request(version, late_ms);
    let bytes = Datagram::encode(&PeerMessage::SlotRequest(sent.clone()), None).unwrap();
    let read = Datagram::decode(&bytes).unwrap().message;
    assert_eq!(read, PeerMessage::SlotRequest(sent));
}

#[test_matrix([None, Some(""), Some("v1.2")], [0, 1, 200, 251, 70_000, u64::MAX])]
fn the_previous_version_misreads_a_late_item(version: Option<&str>, late_ms: u64) {
    let sent = PeerMessage::SlotRequest(request(version, late_ms));
    let bytes = Datagram::encode(&sent, None).unwrap();
    assert_eq!(decode_as_before(&bytes), request(version, 0));
}

#[test_matrix([None, Some(""), Some("v1.2")])]
fn an_item_of_the_previous_version_is_misread(version: Option<&str>) {
    let sent = request(version, 0);
    let bytes = encode_as_before(&sent);
    let read = Datagram::decode(&bytes).unwrap().message;
    assert_eq!(read, PeerMessage::SlotRequest(sent.clone()));
    let encoded = Datagram::encode(&PeerMessage::SlotRequest(sent), None).unwrap();
    assert_eq!(encoded, &bytes[..]);
}
