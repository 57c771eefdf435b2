//! Where resumable streams began: how long it is remembered, and when it need not be.

use std::collections::{BTreeSet, HashMap};

use foxtailhold::ids::{InstanceId, TargetName};
use foxtailhold::origin_history::{MAX_HISTORY_GAP_MS, OriginHistory};
use foxtailhold::rendezvous;
use foxtailhold::stream_origins::{
    AttemptHash, AttemptId, MAX_ORIGINS, ORIGIN_TTL_MS, StreamOrigin, StreamOrigins,
};
use foxtailhold::time::MonoMs;
use test_case::test_case;

const START: MonoMs = MonoMs(500_000);
const ROUTE: &str = "chat";

fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        service: TargetName::try_from(service).unwrap(),
        version: version.try_into().unwrap(),
    }
}

fn attempt(number: usize) -> AttemptHash {
    AttemptHash::from(format!("attempt-{number}").as_str())
}

fn services(names: &[&str]) -> BTreeSet<TargetName> {
    let names = names.iter();
    names.map(|name| (*name).try_into().unwrap()).collect()
}

#[test_case(0, true ; "at once")]
#[test_case(ORIGIN_TTL_MS - 1, true ; "at the end of its time")]
#[test_case(ORIGIN_TTL_MS, false ; "after its time")]
fn an_origin_is_remembered_for_its_time(after_ms: u64, is_known: bool) {
    let mut origins = StreamOrigins::default();
    origins.record(START, attempt(1), &origin("writers", "v1"));
    let found = origins.find(START + after_ms, attempt(1));
    assert_eq!(found, is_known.then_some(&origin("writers", "v1")));
    assert_eq!(origins.find(START + after_ms, attempt(2)), None);
}

#[test]
fn a_further_record_keeps_the_first_origin_for_longer() {
    let mut origins = StreamOrigins::default();
    origins.record(START, attempt(1), &origin("writers", "v1"));
    origins.record_shared(START + 50_000, attempt(1), &origin("writers", "v2"));
    let found = origins.find(START + 100_000, attempt(1));
    assert_eq!(found, Some(&origin("writers", "v1")));
    assert_eq!(origins.len(), 1);
}

#[test]
fn an_expired_origin_does_not_outlive_its_attempt() {
    let mut origins = StreamOrigins::default();
    origins.record(START, attempt(1), &origin("writers", "v1"));
    let later = START + ORIGIN_TTL_MS;
    origins.record(later, attempt(1), &origin("writers", "v2"));
    assert_eq!(
        origins.find(later, attempt(1)),
        Some(&origin("writers", "v2"))
    );
}

#[test]
fn the_oldest_origin_makes_room_for_a_new_one() {
    let mut origins = StreamOrigins::default();
    for number in 0..=MAX_ORIGINS {
        let now = START + number as u64 / 10;
        origins.record(now, attempt(number), &origin("writers", "v1"));
    }
    assert_eq!((origins.len(), origins.evicted()), (MAX_ORIGINS, 1));
    let now = START + MAX_ORIGINS as u64 / 10;
    let known = (0..=MAX_ORIGINS).filter(|number| origins.find(now, attempt(*number)).is_some());
    assert_eq!(known.count(), MAX_ORIGINS);
    let later = now + ORIGIN_TTL_MS;
    origins.record(later, attempt(0), &origin("writers", "v1"));
    assert_eq!((origins.len(), origins.evicted()), (1, 1));
}

#[test]
fn origins_of_the_named_services_are_taken_once_and_the_newest_first() {
    let mut origins = StreamOrigins::default();
    for number in 0..4 {
        let now = START + number as u64;
        origins.record(now, attempt(number), &origin("writers", "v1"));
    }
    origins.record(START, attempt(7), &origin("readers", "v1"));
    origins.record_shared(START, attempt(8), &origin("writers", "v1"));
    let now = START + 10;
    let mut taken = |services: &BTreeSet<TargetName>, limit| -> Vec<AttemptHash> {
        let taken = origins.take_unshared(now, services, limit);
        taken.into_iter().map(|(attempt, _)| attempt).collect()
    };
    let writers = services(&["writers"]);
    assert_eq!(taken(&writers, 2), [attempt(3), attempt(2)]);
    assert_eq!(taken(&writers, 9), [attempt(1), attempt(0)]);
    assert!(taken(&writers, 9).is_empty());
    assert_eq!(taken(&services(&["readers"]), 9), [attempt(7)]);
}

/// A history that is confirmed every second.
struct World {
    history: OriginHistory,
    now: MonoMs,
}

impl World {
    fn start(origins: &[StreamOrigin]) -> Self {
        let mut world = World {
            history: OriginHistory::default(),
            now: START,
        };
        world.set(origins);
        world
    }

    fn set(&mut self, origins: &[StreamOrigin]) {
        let possible = origins.iter().cloned().collect();
        let routes = HashMap::from([(ROUTE.to_owned(), possible)]);
        self.history.set_possible(self.now, routes);
    }

    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now = self.now + 1_000;
            self.history.confirm(self.now);
        }
    }

    fn only(&self) -> Option<StreamOrigin> {
        self.history.only_origin(self.now, ROUTE).cloned()
    }

    fn seen(&self) -> Option<StreamOrigin> {
        self.history.only_seen(self.now, ROUTE).cloned()
    }
}

#[test_case(0, false ; "at the start")]
#[test_case(59, false ; "after 59 s")]
#[test_case(60, true ; "after 60 s")]
fn a_young_instance_is_not_sure(seconds: u64, is_sure: bool) {
    let mut world = World::start(&[origin("writers", "v1")]);
    world.pass(seconds);
    assert_eq!(world.only(), is_sure.then(|| origin("writers", "v1")));
    assert_eq!(world.seen(), Some(origin("writers", "v1")));
    let uncertain = match is_sure {
        true => services(&[]),
        false => services(&["writers"]),
    };
    assert_eq!(world.history.uncertain_services(world.now), uncertain);
}

#[test_case(59, false ; "a version that left 59 s ago counts")]
#[test_case(61, true ; "a version that left 61 s ago does not")]
fn a_version_counts_for_a_while_after_it_left(seconds: u64, is_sure: bool) {
    let (v1, v2) = (origin("writers", "v1"), origin("writers", "v2"));
    let mut world = World::start(std::slice::from_ref(&v1));
    world.pass(100);
    assert_eq!(world.only(), Some(v1.clone()));
    world.set(&[v1, v2.clone()]);
    assert_eq!((world.only(), world.seen()), (None, None));
    world.pass(100);
    assert_eq!(world.only(), None);
    world.set(std::slice::from_ref(&v2));
    world.pass(seconds);
    let expected = is_sure.then_some(v2);
    assert_eq!((world.only(), world.seen()), (expected.clone(), expected));
}

#[test]
fn a_version_that_comes_back_counts_again() {
    let (v1, v2) = (origin("writers", "v1"), origin("writers", "v2"));
    let mut world = World::start(&[v1.clone(), v2.clone()]);
    world.pass(70);
    world.set(std::slice::from_ref(&v1));
    world.pass(30);
    world.set(&[v1.clone(), v2]);
    world.pass(40);
    assert_eq!(world.only(), None);
    world.set(std::slice::from_ref(&v1));
    world.pass(60);
    assert_eq!(world.only(), Some(v1));
}

/// A stream began where the route led at that time.
#[test]
fn a_service_that_the_route_left_counts_like_a_version() {
    let (old, new) = (origin("writers", "v1"), origin("readers", "v1"));
    let mut world = World::start(std::slice::from_ref(&old));
    world.pass(100);
    world.set(std::slice::from_ref(&new));
    world.pass(59);
    assert_eq!((world.only(), world.seen()), (None, None));
    world.pass(2);
    assert_eq!(world.only(), Some(new));
}

/// Streams of its paths may have begun on a route of another name.
#[test_case(59, false ; "after 59 s")]
#[test_case(60, true ; "after 60 s")]
fn a_new_route_has_no_only_origin_at_first(seconds: u64, is_sure: bool) {
    let mut world = World::start(&[origin("writers", "v1")]);
    world.pass(100);
    let possible = BTreeSet::from([origin("readers", "v1")]);
    let routes = HashMap::from([("split".to_owned(), possible)]);
    world.history.set_possible(world.now, routes);
    world.pass(seconds);
    let only = world.history.only_origin(world.now, "split");
    assert_eq!(only, is_sure.then_some(&origin("readers", "v1")));
}

#[test]
fn a_service_without_servers_has_no_only_origin() {
    let mut world = World::start(&[origin("writers", "v1")]);
    world.pass(100);
    world.set(&[]);
    world.pass(1);
    assert_eq!(world.only(), Some(origin("writers", "v1")));
    world.pass(60);
    assert_eq!(world.only(), None);
}

#[test_case(MAX_HISTORY_GAP_MS, true ; "a short gap")]
#[test_case(MAX_HISTORY_GAP_MS + 1, false ; "a long gap")]
fn a_long_gap_begins_the_history_anew(gap_ms: u64, is_sure: bool) {
    let mut world = World::start(&[origin("writers", "v1")]);
    world.pass(100);
    world.now = world.now + gap_ms;
    assert_eq!(world.history.confirm(world.now), !is_sure);
    assert_eq!(world.only().is_some(), is_sure);
    world.pass(60);
    assert!(world.only().is_some());
}

#[test]
fn the_first_members_for_a_key_begin_with_the_selected_one_and_keep_their_order() {
    let members: Vec<InstanceId> = (0..20)
        .map(|number| InstanceId::try_from(format!("edge-{number}")).unwrap())
        .collect();
    for key in 0..50_u8 {
        let first = rendezvous::first(&members, &[key], 8);
        assert_eq!(first.len(), 8);
        assert_eq!(Some(first[0]), rendezvous::select(&members, &[key]));
        for (position, member) in first.iter().enumerate() {
            assert_eq!(rendezvous::rank(&members, &[key], member), position);
        }
        let without: Vec<InstanceId> = members
            .iter()
            .filter(|member| *member != first[1])
            .cloned()
            .collect();
        let left = rendezvous::first(&without, &[key], 7);
        assert_eq!(left[0], first[0]);
        assert_eq!(left[1..], first[2..]);
    }
    assert_eq!(rendezvous::first(&members[..2], b"k", 8).len(), 2);
}

#[test_case("9c41d07be2a35f68", true ; "digits and letters")]
#[test_case("a b/~é", true ; "other characters")]
#[test_case("", false ; "empty")]
#[test_case("a\nb", false ; "with a control character")]
fn identifiers_of_attempts_are_checked(text: &str, is_valid: bool) {
    let id = AttemptId::try_from(text);
    assert_eq!(id.is_ok(), is_valid);
    if let Ok(id) = id {
        assert_eq!(AttemptHash::from(&id), AttemptHash::from(text));
    }
}
