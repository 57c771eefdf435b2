//! Who is lost and who takes over, as one check of all open jobs sees it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Instant;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::time::MonoMs;
use foxtailhold_relay::jobs::Succession;
use foxtailhold_relay::peers::{InstanceHash, Member, Members};
use test_case::test_case;

fn id(number: u16, start: u64) -> InstanceId {
    InstanceId::try_from(format!("edge-{number}.{start}")).unwrap()
}

fn member(number: u16, start: u64) -> Member {
    let address = SocketAddr::from(([10, 0, 0, 1], number));
    Member {
        instance: id(number, start),
        peer_address: address,
        caller_address: address,
        zone: "a".try_into().unwrap(),
        core_permille: 120,
        is_leaving: false,
    }
}

/// Instances `1` to `count`, which have all started again, as seen by the first one; they hear each
/// other.
fn started_again(count: u16, now: MonoMs) -> Members {
    let mut members = Members::new(id(1, 2));
    for start in [1, 2] {
        for number in 1..=count {
            members.put(start * 1_000 + u64::from(number), member(number, start));
        }
    }
    let live: Vec<InstanceHash> = (1..=count).map(|n| InstanceHash::from(&id(n, 2))).collect();
    for number in 2..=3 {
        members.record_message(now, &id(number, 2));
        members.record_live_list(now, &id(number, 2), live.clone());
    }
    members
}

fn job(number: usize) -> JobId {
    JobId::try_from(format!("j{number}").as_str()).unwrap()
}

#[test]
fn each_job_of_a_lost_owner_has_one_first_candidate() {
    let now = MonoMs(10_000);
    let mut firsts = 0;
    for me in 1..=5 {
        let mut members = Members::new(id(me, 2));
        for start in [1, 2] {
            for number in 1..=5 {
                members.put(start * 10 + u64::from(number), member(number, start));
            }
        }
        for number in 1..=5 {
            members.record_message(now, &id(number, 2));
        }
        let owner = id(2, 1);
        let succession = Succession::new(&mut members, now, HashSet::from([&owner]));
        let lost = succession.lost_owner(&job(1), &owner).unwrap();
        assert_eq!(lost.candidates, 5);
        assert_eq!(
            lost.is_due(),
            lost.rank == 0,
            "a replaced owner is lost at once"
        );
        firsts += usize::from(lost.rank == 0);
    }
    assert_eq!(firsts, 1);
}

#[test]
fn an_owner_that_is_up_is_not_lost() {
    let now = MonoMs(10_000);
    let mut members = started_again(5, now);
    let (up, lost) = (id(4, 2), id(4, 1));
    let succession = Succession::new(&mut members, now, HashSet::from([&up, &lost]));
    assert_eq!(succession.lost_owner(&job(1), &up), None);
    assert!(succession.lost_owner(&job(1), &lost).is_some());
}

/// Guards against a check of all open jobs that blocks the smallest instance for longer than the
/// interval between two checks.
#[test_case(9 ; "nine instances")]
#[test_case(89 ; "eighty nine instances")]
#[test_case(300 ; "three hundred instances")]
fn a_check_after_the_loss_of_all_instances_is_short(count: u16) {
    // 300 ms at a share of 0.12 of a core.
    const ALLOWED_MS: u128 = 36;
    let now = MonoMs(10_000);
    let mut members = started_again(count, now);
    let owners: Vec<InstanceId> = (0..205).map(|job| id(1 + job % count, 1)).collect();
    let started = Instant::now();
    let succession = Succession::new(&mut members, now, owners.iter().collect());
    for (number, owner) in owners.iter().enumerate() {
        assert!(succession.lost_owner(&job(number), owner).is_some());
    }
    let took_ms = started.elapsed().as_millis();
    assert!(took_ms < ALLOWED_MS, "{took_ms} ms");
}
