//! Entries of backend servers that disappear. A backend server that has left must not get requests,
//! and one whose entry expired during an outage of the store must not be dropped.

use foxtailhold::ids::{AvailabilityZone, BackendId, TargetName};
use foxtailhold::time::MonoMs;
use foxtailhold_relay::fleet::{BackendServer, FleetTable};
use test_case::test_case;

fn identity(name: &str) -> BackendId {
    BackendId::try_from(name).unwrap()
}

fn backend(name: &str) -> BackendServer {
    server_started_at(name, 1)
}

fn server_started_at(name: &str, started_unix_ms: u64) -> BackendServer {
    BackendServer {
        id: BackendId::for_start(&identity(name), started_unix_ms).unwrap(),
        identity: identity(name),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: AvailabilityZone::try_from("a").unwrap(),
        slots: 8,
        version: "v1".try_into().unwrap(),
        started_unix_ms,
        is_leaving: false,
    }
}

fn service() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn used_identities(table: &FleetTable) -> Vec<String> {
    let snapshot = table.snapshot();
    let all = snapshot.for_service(&service()).iter();
    all.map(|backend| backend.identity.to_string()).collect()
}

/// Two backend servers; the store has answered since 0.
fn table() -> FleetTable {
    let mut table = FleetTable::default();
    table.store_answered(MonoMs(0));
    table.replace(MonoMs(0), vec![backend("a"), backend("b")]);
    table
}

#[test]
fn a_deleted_entry_is_dropped_at_once_while_the_store_is_healthy() {
    let mut table = table();
    table.remove(MonoMs(5_000), &identity("a"));
    assert_eq!(used_identities(&table), ["b"]);
}

#[test]
fn a_just_started_instance_applies_deletions_at_once() {
    let mut table = FleetTable::default();
    table.store_answered(MonoMs(0));
    table.replace(MonoMs(0), vec![backend("a"), backend("b")]);
    table.remove(MonoMs(500), &identity("a"));
    assert_eq!(used_identities(&table), ["b"]);
}

#[test]
fn a_leaving_backend_server_gets_no_new_work() {
    let mut table = table();
    table.put(
        MonoMs(0),
        BackendServer {
            is_leaving: true,
            ..backend("a")
        },
    );
    assert_eq!(used_identities(&table), ["b"]);
}

#[test]
fn an_entry_missing_after_a_store_outage_is_used_for_a_while() {
    let mut table = table();
    table.store_failed();
    table.store_answered(MonoMs(10_000));
    table.replace(MonoMs(10_000), vec![backend("b")]);
    assert_eq!(used_identities(&table), ["a", "b"]);
    assert!(!table.expire(MonoMs(11_900)));
    assert!(table.expire(MonoMs(12_000)));
    assert_eq!(used_identities(&table), ["b"]);
}

#[test]
fn an_entry_that_comes_back_stays() {
    let mut table = table();
    table.store_failed();
    table.store_answered(MonoMs(10_000));
    table.remove(MonoMs(10_000), &identity("a"));
    table.put(MonoMs(0), backend("a"));
    assert!(!table.expire(MonoMs(20_000)));
    assert_eq!(used_identities(&table), ["a", "b"]);
}

#[test]
fn no_entry_expires_during_a_store_outage() {
    let mut table = table();
    table.store_failed();
    table.remove(MonoMs(10_000), &identity("a"));
    assert!(!table.expire(MonoMs(60_000)));
    table.store_answered(MonoMs(60_000));
    assert!(
        !table.expire(MonoMs(61_900)),
        "the time counts from the store's return"
    );
    assert!(table.expire(MonoMs(62_000)));
}

#[test_case(1_000, 2 ; "shortly after a failed call it may have expired")]
#[test_case(3_000, 1 ; "after three healthy seconds it is gone")]
fn the_store_counts_as_healthy_after_some_seconds(after_ms: u64, left: usize) {
    let mut table = table();
    table.store_failed();
    table.store_answered(MonoMs(10_000));
    table.remove(MonoMs(10_000 + after_ms), &identity("a"));
    assert_eq!(used_identities(&table).len(), left);
}

#[test_case(0, 2_000 ; "with the return")]
#[test_case(1_900, 2_000 ; "just before the end of that time")]
#[test_case(2_000, 2_000 ; "at its end")]
#[test_case(2_900, 2_900 ; "after it")]
fn an_entry_that_is_missing_two_seconds_after_the_stores_return_is_gone(
    removed_after_ms: u64,
    gone_after_ms: u64,
) {
    const RETURN_MS: u64 = 10_000;
    let mut table = table();
    table.store_failed();
    table.store_answered(MonoMs(RETURN_MS));
    table.remove(MonoMs(RETURN_MS + removed_after_ms), &identity("a"));
    let mut last_used_ms = None;
    for after_ms in (removed_after_ms..6_000).step_by(100) {
        table.expire(MonoMs(RETURN_MS + after_ms));
        if used_identities(&table).len() == 2 {
            last_used_ms = Some(after_ms);
        }
    }
    let expected = (gone_after_ms > removed_after_ms).then(|| gone_after_ms - 100);
    assert_eq!(last_used_ms, expected);
}

fn used_ids(table: &FleetTable) -> Vec<String> {
    let snapshot = table.snapshot();
    let all = snapshot.for_service(&service()).iter();
    all.map(|backend| backend.id.to_string()).collect()
}

#[test]
fn a_new_start_is_another_backend_server() {
    let mut table = table();
    table.put(MonoMs(1), server_started_at("a", 7));
    assert_eq!(used_ids(&table), ["a:7", "b:1"]);
}

#[test_case(0, None; "before its entry has gone")]
#[test_case(1_000, Some("a"); "after its entry has gone")]
fn an_older_start_that_comes_late_changes_nothing(at_ms: u64, removed: Option<&str>) {
    let mut table = table();
    table.put(MonoMs(0), server_started_at("a", 7));
    if let Some(name) = removed {
        table.remove_unreadable(&identity(name));
    }
    let before = used_ids(&table);
    table.put(MonoMs(at_ms), server_started_at("a", 6));
    assert_eq!(used_ids(&table), before);
    table.replace(
        MonoMs(at_ms),
        vec![server_started_at("a", 6), server_started_at("b", 1)],
    );
    assert_eq!(used_ids(&table), before);
}

#[test]
fn an_entry_without_a_start_is_ignored_if_others_state_theirs() {
    let mut table = table();
    table.put(MonoMs(0), server_started_at("a", 0));
    assert_eq!(used_ids(&table), ["b:1"]);
    table.put(MonoMs(0), server_started_at("c", 0));
    assert_eq!(
        used_ids(&table),
        ["b:1"],
        "the others say when they started"
    );
    let mut table = FleetTable::default();
    table.replace(
        MonoMs(0),
        vec![server_started_at("a", 0), server_started_at("b", 0)],
    );
    assert_eq!(used_ids(&table), ["a", "b"], "nobody says it");
}

#[test]
fn an_unreadable_entry_is_dropped_even_during_a_store_outage() {
    let mut table = table();
    table.store_failed();
    table.remove_unreadable(&identity("a"));
    assert_eq!(used_identities(&table), ["b"]);
}

#[test]
fn a_start_whose_address_has_a_newer_one_gets_no_new_work() {
    let mut table = FleetTable::default();
    table.store_answered(MonoMs(0));
    table.put(MonoMs(0), backend("a"));
    table.put(MonoMs(100), server_started_at("b", 2));
    assert_eq!(used_identities(&table), ["b"]);
    table.put(MonoMs(200), backend("a"));
    assert_eq!(used_identities(&table), ["a", "b"]);
}

/// Guards against the answer of the next start that is taken for one of the start before.
#[test_case("a", 2, "10.0.0.9:80", true; "the same identity")]
#[test_case("c", 2, "10.0.0.1:80", true; "the same address")]
#[test_case("c", 2, "10.0.0.9:80", false; "another backend server")]
#[test_case("c", 1, "10.0.0.1:80", false; "no newer one")]
fn a_newer_start_shows(name: &str, started_unix_ms: u64, address: &str, is_newer: bool) {
    let mut table = FleetTable::default();
    table.store_answered(MonoMs(0));
    let listed = BackendServer {
        address: address.parse().unwrap(),
        ..server_started_at(name, started_unix_ms)
    };
    table.replace(MonoMs(0), vec![listed]);
    let snapshot = table.snapshot();
    assert_eq!(snapshot.has_newer_start(&backend("a")), is_newer);
}
