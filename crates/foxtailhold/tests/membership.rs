//! Membership by gossip under joins, kills, pauses, partitions, churn, and restarts with a clock
//! that went back. Guards against views that do not converge and against live instances declared
//! dead.

#[path = "common/gossip.rs"]
mod gossip;

use foxtailhold::membership::MemberState;
use gossip::{Nodes, id};
use test_case::test_case;

fn converged(count: usize, seed: u64) -> Nodes {
    let mut nodes = Nodes::new(count, seed);
    nodes.periods_until(60, |nodes| {
        let full = |node: &gossip::Node| node.membership.members().count() == count;
        nodes.nodes.iter().all(full)
    });
    nodes
}

#[test_case(3, 14; "three instances")]
#[test_case(11, 16; "eleven instances")]
#[test_case(50, 20; "fifty instances")]
#[test_case(380, 28; "three hundred and eighty instances")]
fn killed_instance_is_suspected_before_it_is_dead_for_all(count: usize, limit: u64) {
    let mut nodes = converged(count, 7);
    nodes.nodes[1].alive = false;
    let mut suspected = false;
    nodes.periods_until(limit, |nodes| {
        let seen = nodes.seen(1);
        suspected |= seen.contains_key(&Some(MemberState::Suspect));
        assert!(suspected || !seen.contains_key(&Some(MemberState::Dead)));
        nodes.agreed(1, MemberState::Dead)
    });
    assert!(suspected);
}

#[test]
fn lost_messages_alone_declare_no_member_dead() {
    let mut nodes = converged(50, 8);
    nodes.lost_percent = 5;
    for _ in 0..200 {
        nodes.period();
        for index in 0..50 {
            assert!(!nodes.seen(index).contains_key(&Some(MemberState::Dead)));
        }
    }
}

#[test]
fn paused_instance_refutes_its_death() {
    let mut nodes = converged(11, 9);
    nodes.nodes[3].paused = true;
    nodes.periods_until(30, |nodes| nodes.agreed(3, MemberState::Dead));
    nodes.nodes[3].paused = false;
    let before = nodes.nodes[3].membership.me().incarnation;
    nodes.periods_until(12, |nodes| nodes.agreed(3, MemberState::Alive));
    assert!(nodes.nodes[3].membership.me().incarnation > before);
}

#[test_case(2_000; "clock went on")]
#[test_case(10; "clock went back")]
#[test_case(1_000; "clock stood still")]
fn restarted_instance_wins_over_its_older_record(incarnation: u64) {
    let mut nodes = converged(11, 10);
    nodes.restart(4, incarnation);
    nodes.periods_until(16, |nodes| {
        let me = nodes.nodes[4].membership.me();
        let known = |node: &gossip::Node| node.membership.members().any(|member| member == me);
        nodes.agreed(4, MemberState::Alive) && nodes.nodes.iter().all(known)
    });
}

#[test]
fn isolated_instance_detects_it_and_rejoins() {
    let mut nodes = converged(11, 11);
    nodes.nodes[5].partitioned = true;
    nodes.periods_until(10, |nodes| nodes.nodes[5].membership.is_isolated());
    for _ in 0..40 {
        nodes.period();
        for (index, node) in nodes.nodes.iter().enumerate() {
            assert_eq!(node.membership.is_isolated(), index == 5);
        }
    }
    nodes.nodes[5].partitioned = false;
    nodes.periods_until(40, |nodes| {
        let others = (0..11).all(|index| nodes.agreed(index, MemberState::Alive));
        others && !nodes.nodes[5].membership.is_isolated()
    });
}

#[test]
fn leaving_instance_is_seen_and_removed_and_churn_leaves_no_records() {
    let mut nodes = converged(11, 12);
    for round in 0..12 {
        let joined = nodes.join(5_000 + round);
        nodes.periods_until(30, |nodes| nodes.agreed(joined, MemberState::Alive));
        nodes.nodes[joined].membership.leave();
        nodes.periods_until(16, |nodes| nodes.agreed(joined, MemberState::Leaving));
        nodes.nodes[joined].alive = false;
    }
    nodes.periods_until(300, |nodes| {
        let small = |index: usize| nodes.nodes[index].membership.members().count() == 11;
        (0..11).all(small)
    });
    let (messages, bytes) = (nodes.messages, nodes.bytes);
    for _ in 0..40 {
        nodes.period();
    }
    let per_message = (nodes.bytes - bytes) / (nodes.messages - messages);
    assert!(
        per_message < 200,
        "{per_message} bytes a message after churn"
    );
    let known = nodes.nodes[0].membership.members().map(|m| m.id.clone());
    assert!(
        known
            .into_iter()
            .all(|known| (0..11).any(|i| id(i) == known))
    );
}
