//! What items have given so far: kept in pieces, joined again without a gap or a repeat.

use foxtailhold::attempt_counts::AttemptCounts;
use foxtailhold::ids::JobId;
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::jobs::{Given, PIECES_TABLE, Partials, Piece};
use test_case::test_case;

fn piece(after: u64, last: u64) -> Piece {
    let events: Vec<String> = (after + 1..=last)
        .map(|event| format!("e{event}"))
        .collect();
    Piece {
        after,
        last,
        text: events.join("\n"),
    }
}

fn whole(last: u64) -> String {
    piece(0, last).text
}

#[test_case(&[(0, 3)], 3 ; "one piece")]
#[test_case(&[(0, 3), (3, 5)], 5 ; "two pieces")]
#[test_case(&[(3, 5), (0, 3)], 5 ; "in the wrong order")]
#[test_case(&[(0, 3), (4, 6)], 3 ; "one is missing")]
#[test_case(&[(2, 5)], 0 ; "the first is missing")]
#[test_case(&[(0, 3), (0, 5), (3, 4), (5, 6)], 6 ; "of two owners")]
#[test_case(&[(0, 3), (2, 6), (3, 4)], 4 ; "overlapping")]
fn pieces_are_joined_as_far_as_nothing_is_missing(pieces: &[(u64, u64)], last: u64) {
    let pieces = pieces.iter().map(|(after, last)| piece(*after, *last));
    let given = Given::from_pieces(pieces.collect());
    assert_eq!(given.last, last);
    assert_eq!(String::from_utf8(given.text).unwrap(), whole(last));
}

fn give(partials: &Partials, item: &str, upto: u64) {
    partials.update(item, |given| {
        for event in given.last + 1..=upto {
            if event > 1 {
                given.text.push(b'\n');
            }
            given.text.extend_from_slice(format!("e{event}").as_bytes());
        }
        given.last = upto;
    });
}

#[test]
fn only_what_is_new_is_kept_again() {
    let partials = Partials::default();
    give(&partials, "a", 50);
    assert_eq!(partials.unkept(40), [("a".to_owned(), piece(0, 50))]);
    partials.kept("a", &piece(0, 50));
    give(&partials, "a", 89);
    assert_eq!(partials.unkept(40), []);
    assert_eq!(partials.unkept(1), [("a".to_owned(), piece(50, 89))]);
}

#[test]
fn a_piece_that_was_not_kept_is_offered_again_with_what_came_since() {
    let partials = Partials::default();
    give(&partials, "a", 50);
    assert_eq!(partials.unkept(40).len(), 1);
    give(&partials, "a", 60);
    assert_eq!(partials.unkept(40), [("a".to_owned(), piece(0, 60))]);
}

#[test]
fn another_owner_goes_on_where_the_first_one_was() {
    let first = Partials::default();
    give(&first, "a", 45);
    let mut rows = Vec::new();
    for least in [40, 1] {
        for (item, piece) in first.unkept(least) {
            first.kept(&item, &piece);
            rows.push(row(&item, &piece));
        }
        give(&first, "a", 60);
    }
    let second = Partials::default();
    second.restore(&JobId::try_from("job").unwrap(), &rows);
    assert_eq!(second.last("a"), 60);
    assert_eq!(second.get("a").text, whole(60).into_bytes());
    give(&second, "a", 70);
    assert_eq!(second.unkept(1), [("a".to_owned(), piece(60, 70))]);
}

#[test]
fn a_row_that_cannot_be_read_costs_only_its_piece() {
    let broken = VersionedRow {
        value: Some("no piece".into()),
        ..row("b", &piece(0, 1))
    };
    let partials = Partials::default();
    partials.restore(
        &JobId::try_from("job").unwrap(),
        &[broken, row("a", &piece(0, 9))],
    );
    assert_eq!((partials.last("a"), partials.last("b")), (9, 0));
}

#[test]
fn another_owner_knows_how_often_an_item_has_failed() {
    let account = AttemptCounts {
        failed: 2,
        pending: 1,
    };
    let written = VersionedRow {
        key: RowKey::new(PIECES_TABLE, "job/a/account"),
        value: Some(serde_json::to_vec(&account).unwrap().into()),
        version: 2,
    };
    let partials = Partials::default();
    let job = JobId::try_from("job").unwrap();
    partials.restore(&job, &[row("a", &piece(0, 9)), written]);
    assert_eq!(partials.account("a"), Some(account));
    assert_eq!(partials.account("b"), None);
    assert_eq!(partials.last("a"), 9);
}

fn row(item: &str, piece: &Piece) -> VersionedRow {
    VersionedRow {
        key: RowKey::new(PIECES_TABLE, &format!("job/{item}/{:06}", piece.after)),
        value: Some(serde_json::to_vec(piece).unwrap().into()),
        version: 1,
    }
}
