//! Answers to store calls between instances of different builds.

use foxtailhold_peer::codec;
use foxtailhold_platform::Committed;
use foxtailhold_relay::shared_store::StoreAnswer;

/// Guards against a kind of answer that moves those which earlier builds know.
#[test]
fn answers_that_earlier_builds_know_keep_their_numbers() {
    let answers = [
        (0, StoreAnswer::Committed(Committed::At(7))),
        (3, StoreAnswer::Written),
        (4, StoreAnswer::Object(None)),
        (5, StoreAnswer::Unavailable("away".into())),
        (6, StoreAnswer::Unknown("lost".into())),
    ];
    for (number, answer) in answers {
        let bytes = codec::encode(&answer).unwrap();
        assert_eq!(bytes[0], number, "{answer:?}");
        assert_eq!(codec::decode::<StoreAnswer>(&bytes).unwrap(), answer);
    }
}

/// Guards against a refused transaction that an earlier build cannot decode: it is sent as a status.
#[test]
fn a_refused_transaction_is_not_encoded() {
    let refused = StoreAnswer::Committed(Committed::Refused("over a limit".into()));
    assert!(codec::encode(&refused).is_err());
    let conflict = StoreAnswer::Committed(Committed::Conflict(Vec::new()));
    assert_eq!(codec::encode(&conflict).unwrap()[..2], [0, 1]);
}
