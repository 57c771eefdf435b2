//! Entries of backend servers that go missing: gone, or lapsed while the store was away.

use foxtailhold::ids::{AvailabilityZone, BackendId, TargetName};
use foxtailhold::time::MonoMs;
use foxtailhold_relay::fleet::{BackendServer, FleetBook};
use test_case::test_case;

fn identity(name: &str) -> BackendId {
    BackendId::try_from(name).unwrap()
}

fn backend(name: &str) -> BackendServer {
    start(name, 1)
}

fn start(name: &str, started_unix_ms: u64) -> BackendServer {
    BackendServer {
        id: BackendId::for_start(&identity(name), started_unix_ms).unwrap(),
        identity: identity(name),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: AvailabilityZone::try_from("a").unwrap(),
        slots: 8,
        started_unix_ms,
        is_leaving: false,
    }
}

fn service() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn used(book: &FleetBook) -> Vec<String> {
    let snapshot = book.snapshot();
    let all = snapshot.of(&service()).iter();
    all.map(|backend| backend.identity.to_string()).collect()
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
    book.remove(MonoMs(5_000), &identity("a"));
    assert_eq!(used(&book), ["b"]);
}

#[test]
fn an_instance_that_has_just_started_takes_a_deletion_at_its_word() {
    let mut book = FleetBook::default();
    book.store_answered(MonoMs(0));
    book.replace(MonoMs(0), vec![backend("a"), backend("b")]);
    book.remove(MonoMs(500), &identity("a"));
    assert_eq!(used(&book), ["b"]);
}

#[test]
fn an_entry_that_says_leaving_gets_nothing_new() {
    let mut book = book();
    book.put(
        MonoMs(0),
        BackendServer {
            is_leaving: true,
            ..backend("a")
        },
    );
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
    book.remove(MonoMs(10_000), &identity("a"));
    book.put(MonoMs(0), backend("a"));
    assert!(!book.expire(MonoMs(20_000)));
    assert_eq!(used(&book), ["a", "b"]);
}

#[test]
fn no_entry_expires_while_the_store_is_away() {
    let mut book = book();
    book.store_failed();
    book.remove(MonoMs(10_000), &identity("a"));
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
    book.remove(MonoMs(10_000 + after_ms), &identity("a"));
    assert_eq!(used(&book).len(), left);
}

fn ids(book: &FleetBook) -> Vec<String> {
    let snapshot = book.snapshot();
    let all = snapshot.of(&service()).iter();
    all.map(|backend| backend.id.to_string()).collect()
}

#[test]
fn a_new_start_is_another_backend_server() {
    let mut book = book();
    book.put(MonoMs(1), start("a", 7));
    assert_eq!(ids(&book), ["a:7", "b:1"]);
}

#[test_case(0, None; "before its entry has gone")]
#[test_case(1_000, Some("a"); "after its entry has gone")]
fn an_older_start_that_comes_late_changes_nothing(at_ms: u64, removed: Option<&str>) {
    let mut book = book();
    book.put(MonoMs(0), start("a", 7));
    if let Some(name) = removed {
        book.refuse(&identity(name));
    }
    let before = ids(&book);
    book.put(MonoMs(at_ms), start("a", 6));
    assert_eq!(ids(&book), before);
    book.replace(MonoMs(at_ms), vec![start("a", 6), start("b", 1)]);
    assert_eq!(ids(&book), before);
}

#[test]
fn an_entry_without_a_start_is_not_of_a_backend_server_that_had_one() {
    let mut book = book();
    book.put(MonoMs(0), start("a", 0));
    assert_eq!(ids(&book), ["b:1"]);
    book.put(MonoMs(0), start("c", 0));
    assert_eq!(ids(&book), ["b:1"], "the others say when they started");
    let mut book = FleetBook::default();
    book.replace(MonoMs(0), vec![start("a", 0), start("b", 0)]);
    assert_eq!(ids(&book), ["a", "b"], "nobody says it");
}

#[test]
fn an_entry_that_cannot_be_read_is_not_used_while_the_store_is_away_either() {
    let mut book = book();
    book.store_failed();
    book.refuse(&identity("a"));
    assert_eq!(used(&book), ["b"]);
}
