//! Entries of backend servers that go missing: gone, or lapsed while the store was away.

use foxtailhold::ids::{AvailabilityZone, BackendId, TargetName};
use foxtailhold::time::MonoMs;
use foxtailhold_relay::fleet::{BackendServer, FleetBook};
use test_case::test_case;

fn backend(name: &str) -> BackendServer {
    BackendServer {
        id: BackendId::try_from(name).unwrap(),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: AvailabilityZone::try_from("a").unwrap(),
        slots: 8,
        started_unix_ms: 1,
        is_leaving: false,
    }
}

fn service() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn used(book: &FleetBook) -> Vec<String> {
    let snapshot = book.snapshot();
    let all = snapshot.of(&service()).iter();
    all.map(|backend| backend.id.to_string()).collect()
}

/// Two backend servers; the store has answered since 0.
fn book() -> FleetBook {
    let mut book = FleetBook::default();
    book.store_answered(MonoMs(0));
    book.replace(MonoMs(0), vec![backend("a"), backend("b")]);
    book
}

#[test]
fn while_the_store_is_sound_a_deleted_entry_is_gone_at_once() {
    let mut book = book();
    book.remove(MonoMs(5_000), &backend("a").id);
    assert_eq!(used(&book), ["b"]);
}

#[test]
fn an_entry_that_says_leaving_gets_nothing_new() {
    let mut book = book();
    book.put(BackendServer {
        is_leaving: true,
        ..backend("a")
    });
    assert_eq!(used(&book), ["b"]);
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_is_used_for_a_while() {
    let mut book = book();
    book.store_failed();
    book.store_answered(MonoMs(10_000));
    book.replace(MonoMs(10_000), vec![backend("b")]);
    assert_eq!(used(&book), ["a", "b"]);
    assert!(!book.expire(MonoMs(11_900)));
    assert!(book.expire(MonoMs(12_000)));
    assert_eq!(used(&book), ["b"]);
}

#[test]
fn an_entry_that_comes_back_stays() {
    let mut book = book();
    book.store_failed();
    book.store_answered(MonoMs(10_000));
    book.remove(MonoMs(10_000), &backend("a").id);
    book.put(backend("a"));
    assert!(!book.expire(MonoMs(20_000)));
    assert_eq!(used(&book), ["a", "b"]);
}

#[test]
fn no_entry_expires_while_the_store_is_away() {
    let mut book = book();
    book.store_failed();
    book.remove(MonoMs(10_000), &backend("a").id);
    assert!(!book.expire(MonoMs(60_000)));
    book.store_answered(MonoMs(60_000));
    assert!(
        !book.expire(MonoMs(61_900)),
        "the time counts from the store's return"
    );
    assert!(book.expire(MonoMs(62_000)));
}

#[test_case(1_000, 2 ; "shortly after a failed call it may have lapsed")]
#[test_case(3_000, 1 ; "after three sound seconds it is gone")]
fn the_store_counts_as_sound_after_some_seconds(after_ms: u64, left: usize) {
    let mut book = book();
    book.store_failed();
    book.store_answered(MonoMs(10_000));
    book.remove(MonoMs(10_000 + after_ms), &backend("a").id);
    assert_eq!(used(&book).len(), left);
}
