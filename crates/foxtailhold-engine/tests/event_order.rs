//! Engines may send the events of a stream out of order, twice, or with gaps. The check must return
//! them in order and without duplicates, or report an error.

use foxtailhold_engine::check::{MAX_OUT_OF_ORDER_EVENTS, StreamCheck, check_unstreamed};
use foxtailhold_engine::{EngineError, TokenEvent};
use test_case::test_case;

const ID: &str = "cmpl-a-1";
const DONE: &str = "data: [DONE]\n\n";

fn event_of(id: &str, ordinal: u64, finished: bool) -> String {
    let finish = if finished { "\"stop\"" } else { "null" };
    format!(
        "id: {ordinal}\ndata: {{\"id\":\"{id}\",\"choices\":[{{\"text\":\"t{ordinal} \",\"finish_reason\":{finish}}}]}}\n\n"
    )
}

fn event(ordinal: u64) -> String {
    event_of(ID, ordinal, false)
}

fn last(ordinal: u64) -> String {
    event_of(ID, ordinal, true)
}

/// Feeds the bytes to a check, `piece_bytes` at a time. Returns the text received, and whether the
/// stream has ended or its error.
fn read(bytes: &str, piece_bytes: usize) -> (String, Result<bool, EngineError>) {
    read_from(1, bytes, piece_bytes)
}

/// Like [`read`], for a stream whose first event is `first`.
fn read_from(first: u64, bytes: &str, piece_bytes: usize) -> (String, Result<bool, EngineError>) {
    let mut check = StreamCheck::new(ID.to_owned(), first);
    let mut text = String::new();
    for piece_bytes in bytes.as_bytes().chunks(piece_bytes) {
        check.push(piece_bytes).unwrap();
        loop {
            match check.next_event() {
                Ok(None) => break,
                Ok(Some(TokenEvent::Chunk { text: token, .. })) => text.push_str(&token),
                Ok(Some(TokenEvent::Done { .. })) => return (text, Ok(true)),
                Err(error) => return (text, Err(error)),
            }
        }
    }
    (text, Ok(false))
}

#[test_case(&[1, 2, 3] ; "in order")]
#[test_case(&[2, 1, 3] ; "swapped at the start")]
#[test_case(&[3, 2, 1] ; "backwards")]
#[test_case(&[1, 1, 2, 2, 3, 3] ; "duplicated")]
#[test_case(&[1, 2, 1, 3, 2] ; "late")]
#[test_case(&[2, 2, 3, 1] ; "early and duplicated")]
fn events_come_out_in_order_and_once(order: &[u64]) {
    let mut bytes = String::new();
    for ordinal in order {
        bytes.push_str(&event_of(ID, *ordinal, *ordinal == 3));
    }
    bytes.push_str(DONE);
    for piece_bytes in [1, 7, bytes.len()] {
        assert_eq!(
            read(&bytes, piece_bytes),
            ("t1 t2 t3 ".to_owned(), Ok(true))
        );
    }
}

#[test]
fn done_event_after_a_gap_is_an_error() {
    let bytes = event(1) + &last(3) + DONE;
    let gap = EngineError::Gap {
        expected: 2,
        found: 3,
    };
    assert_eq!(read(&bytes, 5), ("t1 ".to_owned(), Err(gap)));
}

#[test_case(&[1, 2, 3, 4, 5], 1, "" ; "begun anew")]
#[test_case(&[2, 1, 3, 4, 5], 2, "" ; "begun anew and swapped")]
#[test_case(&[3, 4, 5], 3, "" ; "one event too early")]
#[test_case(&[4, 3, 5], 3, "t4 " ; "earlier event late")]
#[test_case(&[0, 4, 5], 0, "" ; "event zero")]
fn event_before_the_first_of_a_resumed_stream_is_an_error(order: &[u64], found: u64, text: &str) {
    let mut bytes = String::new();
    for ordinal in order {
        bytes.push_str(&event_of(ID, *ordinal, *ordinal == 5));
    }
    bytes.push_str(DONE);
    let not_resumed = EngineError::NotResumed { first: 4, found };
    for piece_bytes in [1, 7, bytes.len()] {
        assert_eq!(
            read_from(4, &bytes, piece_bytes),
            (text.to_owned(), Err(not_resumed.clone()))
        );
    }
}

#[test_case(&[4, 5, 6] ; "in order")]
#[test_case(&[4, 4, 5, 4, 6] ; "duplicated")]
#[test_case(&[6, 5, 4] ; "backwards")]
fn resumed_stream_holds_its_own_events_once(order: &[u64]) {
    let mut bytes = String::new();
    for ordinal in order {
        bytes.push_str(&event_of(ID, *ordinal, *ordinal == 6));
    }
    bytes.push_str(DONE);
    for piece_bytes in [1, 7, bytes.len()] {
        assert_eq!(
            read_from(4, &bytes, piece_bytes),
            ("t4 t5 t6 ".to_owned(), Ok(true))
        );
    }
}

#[test]
fn stream_without_its_first_event_is_an_error() {
    let bytes = event(2) + &last(3) + DONE;
    let gap = EngineError::Gap {
        expected: 1,
        found: 2,
    };
    assert_eq!(read(&bytes, 5), (String::new(), Err(gap)));
}

#[test]
fn wait_for_a_missing_event_is_bounded() {
    let mut bytes = event(1);
    for ordinal in 3..(4 + MAX_OUT_OF_ORDER_EVENTS as u64) {
        bytes.push_str(&event(ordinal));
    }
    let found = 3 + MAX_OUT_OF_ORDER_EVENTS as u64;
    let gap = EngineError::Gap { expected: 2, found };
    assert_eq!(read(&bytes, 64), ("t1 ".to_owned(), Err(gap)));
}

#[test]
fn event_of_another_request_is_an_error() {
    let bytes = event(1) + &event_of("cmpl-b-1", 2, false);
    let (text, end) = read(&bytes, 9);
    assert_eq!(text, "t1 ");
    assert!(matches!(end, Err(EngineError::Foreign { .. })), "{end:?}");
}

#[test_case(&(event(1) + DONE), &EngineError::Unfinished ; "done before a finish reason")]
#[test_case(
    &(event(1) + "data: {\"error\":{\"message\":\"no memory\"}}\n\n"),
    &EngineError::InStream { detail: "no memory".into() } ; "error object")]
fn incomplete_streams_are_errors(bytes: &str, expected: &EngineError) {
    let (text, end) = read(bytes, 11);
    assert_eq!((text.as_str(), end.as_ref()), ("t1 ", Err(expected)));
}

#[test_case("data: {\"id\":\"cmpl-a-1\",\"choices\":[]}\n\n" ; "no ordinal")]
#[test_case("id: x\ndata: {\"id\":\"cmpl-a-1\",\"choices\":[]}\n\n" ; "ordinal is no number")]
#[test_case("id: 2\ndata: {\"id\":\n\n" ; "cut in the middle")]
fn unreadable_events_are_errors(bytes: &str) {
    let (_, end) = read(&(event(1) + bytes), 3);
    assert!(matches!(end, Err(EngineError::Malformed { .. })), "{end:?}");
}

#[test_case(r#"{"id":"cmpl-a-1","choices":[{"text":"x","finish_reason":"stop"}]}"#, true ; "whole")]
#[test_case(r#"{"id":"cmpl-b-1","choices":[{"text":"x","finish_reason":"stop"}]}"#, false ; "foreign")]
#[test_case(r#"{"id":"cmpl-a-1","choices":[{"text":"x","finish_reason":null}]}"#, false ; "unfinished")]
#[test_case(r#"{"id":"cmpl-a-1","choices":[{"text":"x"#, false ; "cut")]
#[test_case(r#"{"id":"cmpl-a-1","choices":[]}"#, false ; "empty")]
fn unstreamed_answers_are_checked(body: &str, whole: bool) {
    assert_eq!(check_unstreamed(ID, body.as_bytes()).is_ok(), whole);
}
