//! Messages about the origins of streams between instances of this version and the previous one.

use foxtailhold::ids::InstanceId;
use foxtailhold::stream_origins::{AttemptHash, StreamOrigin};
use foxtailhold_peer::codec;
use foxtailhold_relay::peers::{Datagram, FoundOrigin, PeerMessage};
use serde::{Deserialize, Serialize};
use test_case::test_case;

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "writers".try_into().unwrap(),
        version: "v1.2".try_into().unwrap(),
    }
}

fn origins() -> PeerMessage {
    PeerMessage::Origins {
        origins: vec![(AttemptHash::from("a"), origin()); 3],
    }
}

fn question() -> PeerMessage {
    PeerMessage::FindOrigin {
        number: 7,
        attempt: AttemptHash::from("a"),
        route: "chat".to_owned(),
    }
}

fn answer(origin: Option<StreamOrigin>) -> PeerMessage {
    PeerMessage::FoundOrigin(FoundOrigin {
        number: 7,
        instance: InstanceId::try_from("edge-1").unwrap(),
        origin,
    })
}

#[test_case(&origins(), 9 ; "origins")]
#[test_case(&question(), 10 ; "question")]
#[test_case(&answer(Some(origin())), 11 ; "answer")]
#[test_case(&answer(None), 11 ; "answer without knowledge")]
fn the_messages_follow_those_of_the_previous_version(message: &PeerMessage, variant: u8) {
    let bytes = Datagram::encode(message, None).unwrap();
    assert_eq!(bytes[0], variant);
    assert_eq!(Datagram::decode(&bytes).unwrap().message, *message);
}

/// As many variants as the messages of the previous version.
#[derive(Debug, Serialize, Deserialize)]
enum PreviousMessage {
    V0,
    V1,
    V2,
    V3,
    V4,
    V5,
    V6,
    V7,
    V8,
}

#[test_case(&origins() ; "origins")]
#[test_case(&question() ; "question")]
#[test_case(&answer(None) ; "answer")]
fn the_previous_version_does_not_decode_them(message: &PeerMessage) {
    let bytes = codec::encode(message).unwrap();
    assert!(codec::decode_first::<PreviousMessage>(&bytes).is_err());
}

/// The largest number of origins in a datagram, with the longest names.
#[test]
fn a_full_message_fits_into_a_datagram() {
    let long = "x".repeat(128);
    let origin = StreamOrigin {
        service: long.as_str().try_into().unwrap(),
        version: long.as_str().try_into().unwrap(),
    };
    let origins = vec![(AttemptHash::from("a"), origin); 128];
    let bytes = codec::encode(&PeerMessage::Origins { origins }).unwrap();
    assert!(bytes.len() < 60_000, "{} bytes", bytes.len());
}
