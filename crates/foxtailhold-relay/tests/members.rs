//! Membership: which instances are alive and which one allocates slots. Instances that disagree for
//! long would hand out the same slot twice or take over jobs of a live owner.

use std::net::SocketAddr;

use foxtailhold::ids::{AvailabilityZone, InstanceId};
use foxtailhold::time::MonoMs;
use foxtailhold_relay::peers::{InstanceHash, Member, Members};
use test_case::test_case;

fn id(name: &str) -> InstanceId {
    InstanceId::try_from(name).unwrap()
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn member(name: &str, number: u16) -> Member {
    Member {
        instance: id(name),
        peer_address: address(number),
        caller_address: address(1_000 + number),
        zone: AvailabilityZone::try_from("a").unwrap(),
        core_permille: 500,
        is_leaving: false,
    }
}

/// Instances `i1` to `i5`, the oldest first, as seen by `i3`.
fn five_members() -> Members {
    let mut members = Members::new(id("i3"));
    for number in 1..=5 {
        members.put(u64::from(number), member(&format!("i{number}"), number));
    }
    members
}

fn allocator(members: &Members, at_ms: u64) -> Option<String> {
    let allocator = members.allocator(MonoMs(at_ms));
    allocator.map(|member| member.instance.to_string())
}

fn live(members: &Members, at_ms: u64) -> Vec<String> {
    let live = members.live(MonoMs(at_ms));
    live.iter()
        .map(|member| member.instance.to_string())
        .collect()
}

#[test]
fn an_isolated_instance_allocates_for_itself_and_assumes_all_are_live() {
    let members = five_members();
    assert_eq!(allocator(&members, 0), None);
    assert_eq!(live(&members, 0).len(), 5);
}

#[test]
fn a_leaving_instance_still_gets_broadcasts() {
    let mut members = five_members();
    let leaving = Member {
        is_leaving: true,
        ..member("i2", 2)
    };
    members.put(9, leaving);
    let mut others = members.others();
    others.sort();
    assert_eq!(others, [1, 2, 4, 5].map(address));
}

#[test]
fn the_oldest_live_instance_allocates() {
    let mut members = five_members();
    members.record_message(MonoMs(0), &id("i2"));
    assert_eq!(allocator(&members, 100).as_deref(), Some("i2"));
    members.record_message(MonoMs(100), &id("i1"));
    assert_eq!(allocator(&members, 200).as_deref(), Some("i1"));
    members.record_message(MonoMs(200), &id("i5"));
    assert_eq!(allocator(&members, 300).as_deref(), Some("i1"));
}

#[test]
fn a_larger_cpu_share_ranks_before_age() {
    let mut members = five_members();
    let large = Member {
        core_permille: 1_000,
        ..member("i6", 6)
    };
    members.put(6, large);
    members.record_message(MonoMs(0), &id("i1"));
    members.record_message(MonoMs(0), &id("i6"));
    assert_eq!(allocator(&members, 100).as_deref(), Some("i6"));
}

#[test]
fn an_unresponsive_allocator_is_skipped_until_it_is_heard_again() {
    let mut members = five_members();
    members.record_message(MonoMs(0), &id("i1"));
    members.record_message(MonoMs(0), &id("i2"));
    members.record_timeout(MonoMs(50), &id("i1"));
    assert_eq!(allocator(&members, 60).as_deref(), Some("i2"));
    members.record_message(MonoMs(70), &id("i1"));
    assert_eq!(allocator(&members, 80).as_deref(), Some("i1"));
}

#[test]
fn a_silent_instance_is_down_after_some_reports() {
    let mut members = five_members();
    members.record_message(MonoMs(0), &id("i1"));
    members.record_message(MonoMs(0), &id("i4"));
    members.record_message(MonoMs(1_000), &id("i4"));
    assert_eq!(live(&members, 1_100), ["i3", "i4"]);
    assert!(!members.is_down(MonoMs(1_100), &id("i1"), 1_200));
    members.record_message(MonoMs(2_000), &id("i4"));
    assert!(members.is_down(MonoMs(2_400), &id("i1"), 1_200));
    members.record_message(MonoMs(2_500), &id("i1"));
    assert!(!members.is_down(MonoMs(2_600), &id("i1"), 1_200));
}

#[test]
fn an_instance_on_the_live_list_of_the_allocator_is_live() {
    let mut members = five_members();
    members.record_message(MonoMs(0), &id("i1"));
    let live_list = ["i1", "i3", "i5"].map(|name| InstanceHash::from(&id(name)));
    members.record_live_list(MonoMs(0), &id("i1"), live_list.to_vec());
    assert_eq!(live(&members, 100), ["i1", "i3", "i5"]);
}

#[test]
fn a_leaving_instance_gets_no_callers_and_does_not_allocate() {
    let mut members = five_members();
    members.record_message(MonoMs(0), &id("i1"));
    members.record_message(MonoMs(0), &id("i2"));
    let leaving = Member {
        is_leaving: true,
        ..member("i1", 1)
    };
    members.put(9, leaving);
    assert_eq!(allocator(&members, 10).as_deref(), Some("i2"));
    assert!(!live(&members, 10).contains(&"i1".to_owned()));
    assert!(!members.is_down(MonoMs(10), &id("i1"), 0), "it still works");
}

#[test_case(true ; "the old row comes first")]
#[test_case(false ; "the old row comes last")]
fn a_restarted_instance_replaces_its_earlier_start(in_order: bool) {
    let mut members = Members::new(id("me"));
    let rows = [(3, member("old", 1)), (8, member("new", 1))];
    let (first, second) = if in_order { (0, 1) } else { (1, 0) };
    for index in [first, second] {
        let (version, member) = rows[index].clone();
        members.put(version, member);
    }
    assert_eq!(members.count(), 1);
    assert_eq!(members.address(&id("new")), Some(address(1)));
    assert_eq!(members.address(&id("old")), None);
}

#[test]
fn the_replaced_start_is_down_at_once() {
    let mut members = five_members();
    members.put(9, member("i1-again", 1));
    assert!(members.is_down(MonoMs(0), &id("i1"), 60_000));
}

/// Guards against a late write about a former start, which hid the live one for good.
#[test]
fn an_instance_that_is_heard_is_up_though_its_address_is_listed_with_another_start() {
    let mut members = five_members();
    members.record_message(MonoMs(0), &id("i1"));
    members.put(9, member("i1-former", 1));
    assert!(!members.is_down(MonoMs(10), &id("i1"), 0));
    assert!(members.is_down(MonoMs(10_000), &id("i1"), 60_000));
}

#[test]
fn a_start_that_is_listed_again_is_not_replaced() {
    let mut members = five_members();
    members.put(9, member("i3-former", 3));
    assert!(!members.lists_me(false));
    members.put(10, member("i3", 3));
    assert!(members.lists_me(false) && !members.lists_me(true));
    members.put(11, member("i1-former", 1));
    members.put(12, member("i1", 1));
    assert!(!members.is_down(MonoMs(0), &id("i1"), 60_000));
    assert!(members.is_down(MonoMs(0), &id("i1-former"), 60_000));
}

#[test]
fn reports_go_to_three_instances_and_skip_unresponsive_ones() {
    let mut members = five_members();
    assert_eq!(
        members.report_addresses(MonoMs(0)),
        [address(1), address(2)]
    );
    members.record_message(MonoMs(10), &id("i2"));
    assert_eq!(
        members.report_addresses(MonoMs(700)),
        [address(2), address(4)]
    );
    members.record_message(MonoMs(710), &id("i2"));
    members.record_message(MonoMs(710), &id("i1"));
    assert_eq!(
        members.report_addresses(MonoMs(720)),
        [address(1), address(2)]
    );
}

#[test]
fn many_instances_report_less_often() {
    let mut members = Members::new(id("me"));
    assert_eq!(members.report_interval_ms(), 250);
    for number in 0..90 {
        members.put(u64::from(number) + 1, member(&format!("i{number}"), number));
    }
    assert_eq!(members.report_interval_ms(), 400);
}

/// Guards against a late row of a former start that hides the live one until the store can be written
/// again, which may be long.
#[test_case(true ; "heard directly")]
#[test_case(false ; "heard by the allocator")]
fn a_late_row_of_a_former_start_hides_no_live_instance(is_heard_directly: bool) {
    let mut members = five_members();
    let hear = |members: &mut Members, at: MonoMs| {
        members.record_message(at, &id("i2"));
        let live_list = ["i1", "i2"].map(|name| InstanceHash::from(&id(name)));
        match is_heard_directly {
            true => members.record_message(at, &id("i1")),
            false => members.record_live_list(at, &id("i2"), live_list.to_vec()),
        }
    };
    hear(&mut members, MonoMs(1_000));
    let former = Member {
        is_leaving: true,
        ..member("i1-former", 1)
    };
    members.put(9, former);
    for at_ms in [1_010, 1_200] {
        assert!(live(&members, at_ms).contains(&"i1".to_owned()));
        assert_eq!(members.address(&id("i1")), Some(address(1)));
        assert!(members.others().contains(&address(1)));
        assert!(!members.is_replaced(&id("i1")));
        let up = members.not_down(MonoMs(at_ms), 0);
        assert!(up.contains(&id("i1")) && !up.contains(&id("i1-former")));
        hear(&mut members, MonoMs(1_200));
    }
}

/// The same where the late row comes before any message.
#[test]
fn a_start_that_is_heard_counts_instead_of_one_with_a_newer_row() {
    let mut members = five_members();
    members.put(9, member("i1-former", 1));
    assert!(members.is_replaced(&id("i1")));
    members.record_message(MonoMs(1_000), &id("i1"));
    assert!(!members.is_replaced(&id("i1")));
    assert_eq!(members.address(&id("i1-former")), None);
    assert_eq!(members.count(), 5);
}

#[test]
fn a_new_start_counts_once_the_one_before_is_silent() {
    let mut members = five_members();
    members.record_message(MonoMs(0), &id("i1"));
    members.record_message(MonoMs(1_000), &id("i2"));
    members.put(9, member("i1-again", 1));
    assert!(members.is_replaced(&id("i1")) && !members.is_replaced(&id("i1-again")));
    members.remove(&id("i1"));
    assert_eq!(members.address(&id("i1-again")), Some(address(1)));
}

/// Guards against a start that is taken for lost, and whose row is deleted, because the one before it
/// was heard a moment ago.
#[test]
fn a_new_start_is_not_down_while_the_one_before_still_counts_as_heard() {
    let mut members = five_members();
    members.record_message(MonoMs(1_000), &id("i1"));
    members.put(9, member("i1-again", 1));
    assert!(!members.is_down(MonoMs(1_100), &id("i1-again"), 1_200));
    let down = members.down_rows(MonoMs(1_100), 15_000);
    assert!(down.is_empty(), "{down:?}");
    members.record_message(MonoMs(1_200), &id("i1-again"));
    assert!(members.is_replaced(&id("i1")) && !members.is_replaced(&id("i1-again")));
}
