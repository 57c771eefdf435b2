//! Stored bodies of batch items, as the build before read and wrote them.

use std::collections::BTreeMap;

use foxtailhold_peer::codec;
use foxtailhold_relay::jobs::Item;
use serde::{Deserialize, Serialize};
use test_case::test_case;

/// An item with its body in a vector.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VectorItem {
    id: String,
    target: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
    tokens: u64,
}

#[test_case(0; "no body")]
#[test_case(1; "one byte")]
#[test_case(250; "the longest body with a length of one byte")]
#[test_case(251; "a length of three bytes")]
#[test_case(70_000; "a length of five bytes")]
fn bodies_are_encoded_like_vectors(body_bytes: usize) {
    let body: Vec<u8> = (0..body_bytes).map(|index| index as u8).collect();
    let headers = BTreeMap::from([("Model".to_owned(), "m".to_owned())]);
    let before = vec![VectorItem {
        id: "i1".into(),
        target: "/batch/i1".into(),
        headers: headers.clone(),
        body: body.clone(),
        tokens: 112,
    }];
    let now = vec![Item {
        id: "i1".into(),
        target: "/batch/i1".into(),
        headers,
        body: body.into(),
        tokens: 112,
    }];
    let encoded = codec::encode(&now).unwrap();
    assert_eq!(encoded, codec::encode(&before).unwrap());
    assert_eq!(codec::decode::<Vec<Item>>(&encoded).unwrap(), now);
    assert_eq!(codec::decode::<Vec<VectorItem>>(&encoded).unwrap(), before);
}
