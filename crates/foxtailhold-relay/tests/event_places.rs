//! Places of events in an output.

use bytes::Bytes;
use foxtailhold_engine::sse::RawEvent;
use foxtailhold_relay::event_place::{OutOfPlace, OutputPosition};
use test_case::test_case;

fn event(raw: &'static str) -> RawEvent {
    RawEvent {
        raw: Bytes::from_static(raw.as_bytes()),
    }
}

#[test_case(None, "id: 1\ndata: a\n\n", Ok(1) ; "the first one")]
#[test_case(Some(8), "id: 9\ndata: a\n\n", Ok(9) ; "the next one")]
#[test_case(Some(8), "weight-versions: 3\r\nid:9\r\ndata: a\r\n\r\n", Ok(9) ; "a field before it")]
#[test_case(None, "id: 2\ndata: a\n\n", Err(Some(2)) ; "the second one first")]
#[test_case(None, "id: 0\ndata: a\n\n", Err(Some(0)) ; "zero first")]
#[test_case(Some(8), "id: 8\ndata: a\n\n", Err(Some(8)) ; "one twice")]
#[test_case(Some(8), "id: 10\ndata: a\n\n", Err(Some(10)) ; "one left out")]
#[test_case(Some(8), "data: a\n\n", Err(None) ; "no identifier")]
#[test_case(Some(8), "id\ndata: a\n\n", Err(None) ; "an identifier without a value")]
#[test_case(Some(8), "id: 9-a\ndata: a\n\n", Err(None) ; "no number")]
#[test_case(Some(8), "id: +9\ndata: a\n\n", Err(None) ; "a sign")]
#[test_case(Some(8), "id: 9\ndata: a\nid: 10\ndata: b\n\n", Err(None) ; "two events without a blank line between")]
#[test_case(Some(u64::MAX), "id: 18446744073709551616\ndata: a\n\n", Err(None) ; "a number out of range")]
fn an_event_is_placed_only_where_it_is_due(
    after: Option<u64>,
    raw: &'static str,
    expected: Result<u64, Option<u64>>,
) {
    let mut position = OutputPosition::after(after);
    let due = after.unwrap_or(0).saturating_add(1);
    let placed = position.place(event(raw));
    let number = placed
        .as_ref()
        .map(|event| event.number())
        .map_err(|error| *error);
    let expected = expected.map_err(|found| OutOfPlace { due, found });
    assert_eq!(number, expected);
    let last = expected.ok().or(after);
    assert_eq!(
        position.last(),
        last,
        "it stays where it is after a failure"
    );
    if let Ok(placed) = placed {
        assert_eq!(placed.into_raw(), raw);
    }
}
