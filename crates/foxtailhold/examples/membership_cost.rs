//! Measures the traffic of gossip and how fast it spreads changes: `cargo run --release -p
//! foxtailhold --example membership_cost`.

#[path = "../tests/common/gossip.rs"]
mod gossip;

use foxtailhold::membership::{MemberState, PROBE_PERIOD_MS};
use gossip::Nodes;

/// Fleet sizes that are measured.
const SIZES: [usize; 6] = [3, 6, 11, 25, 50, 380];
/// Probe periods without any change of membership.
const QUIET_PERIODS: u64 = 240;
/// Probe periods with churn: one instance is replaced every ten periods.
const CHURN_PERIODS: u64 = 240;
/// Longest wait for a change to spread, in probe periods.
const MAX_WAIT_PERIODS: u64 = 400;

fn per_node(nodes: &Nodes, before: (u64, u64), periods: u64, count: usize) -> (u64, u64) {
    let (messages, bytes) = (nodes.messages - before.0, nodes.bytes - before.1);
    let node_seconds = periods * PROBE_PERIOD_MS * count as u64 / 1_000;
    // Each message is sent by one node and received by another.
    (2 * bytes / node_seconds, bytes / messages.max(1))
}

fn main() {
    println!(
        "instances | quiet B/s | B/message | churn B/s | join s | leave s | dead s | all at once s"
    );
    for count in SIZES {
        let mut nodes = Nodes::new(count, 5);
        let full = |nodes: &Nodes| {
            let known = |node: &gossip::Node| node.membership.members().count() >= count;
            nodes.nodes.iter().all(known)
        };
        let start = nodes.periods_until(MAX_WAIT_PERIODS, full);
        for _ in 0..120 {
            nodes.period();
        }
        let before = (nodes.messages, nodes.bytes);
        for _ in 0..QUIET_PERIODS {
            nodes.period();
        }
        let (quiet, message) = per_node(&nodes, before, QUIET_PERIODS, count);
        let joined = nodes.join(9_000);
        let join = nodes.periods_until(MAX_WAIT_PERIODS, |nodes| {
            nodes.agreed(joined, MemberState::Alive)
        });
        nodes.nodes[joined].membership.leave();
        let leave = nodes.periods_until(MAX_WAIT_PERIODS, |nodes| {
            nodes.agreed(joined, MemberState::Leaving)
        });
        nodes.nodes[joined].alive = false;
        nodes.nodes[1].alive = false;
        let dead =
            nodes.periods_until(MAX_WAIT_PERIODS, |nodes| nodes.agreed(1, MemberState::Dead));
        let before = (nodes.messages, nodes.bytes);
        for period in 0..CHURN_PERIODS {
            if period % 10 == 0 {
                let index = 2 + (period / 10) as usize % (count - 2);
                nodes.restart(index, 20_000 + period);
            }
            nodes.period();
        }
        let (churn, _) = per_node(&nodes, before, CHURN_PERIODS, count);
        let s = |periods: u64| (periods * PROBE_PERIOD_MS) as f64 / 1_000.0;
        println!(
            "{count:9} | {quiet:9} | {message:9} | {churn:9} | {:6.1} | {:7.1} | {:6.1} | {:6.1}",
            s(join),
            s(leave),
            s(dead),
            s(start)
        );
    }
}
