//! Stateful fuzzing of [`foxtailhold::membership`]. Guards against views that do not converge once
//! faults cease, and against dead members that are never removed.

mod common;
#[path = "common/gossip.rs"]
mod gossip;

use common::fuzz_config;
use foxtailhold::membership::{FORGET_MS, MemberState, PROBE_PERIOD_MS};
use gossip::{Nodes, id};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const INITIAL_INSTANCES: usize = 6;
const MAX_INSTANCES: usize = 12;
/// Periods within which all views converge once faults cease.
const CONVERGENCE_PERIODS: u64 = 60;

#[derive(Debug, Clone)]
enum Transition {
    Advance(u8),
    Join,
    Kill(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize, bool),
    /// Restart under the same name, with the clock moved by this many milliseconds.
    Restart(usize, i64),
    Leave(usize),
    Lose(u32),
    Heal,
}

#[derive(Debug, Clone)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference).boxed()
    }

    fn transitions(_: &Reference) -> BoxedStrategy<Transition> {
        let index = 0..MAX_INSTANCES;
        prop_oneof![
            8 => (1..20_u8).prop_map(Transition::Advance),
            1 => Just(Transition::Join),
            2 => index.clone().prop_map(Transition::Kill),
            2 => index.clone().prop_map(Transition::Pause),
            2 => index.clone().prop_map(Transition::Resume),
            2 => (index.clone(), any::<bool>()).prop_map(|(index, partitioned)| Transition::Partition(index, partitioned)),
            2 => (index.clone(), -500..500_i64).prop_map(|(index, offset)| Transition::Restart(index, offset)),
            1 => index.prop_map(Transition::Leave),
            1 => (0..40_u32).prop_map(Transition::Lose),
            1 => Just(Transition::Heal),
        ]
        .boxed()
    }

    fn apply(state: Reference, _: &Transition) -> Reference {
        state
    }
}

fn heal(nodes: &mut Nodes) {
    nodes.lost_percent = 0;
    for node in &mut nodes.nodes {
        node.paused = false;
        node.partitioned = false;
    }
    // Instances that removed each other while partitioned only meet again through the fleet list.
    nodes.reseed();
    nodes.periods_until(CONVERGENCE_PERIODS, |nodes| {
        let running: Vec<usize> = (0..nodes.nodes.len()).filter(|i| nodes.runs(*i)).collect();
        running.iter().all(|index| {
            let state = nodes.nodes[*index].membership.me().state;
            nodes.agreed(*index, state)
        })
    });
}

/// Checks that an instance lists itself once, alive or leaving, whatever other instances report.
fn check(nodes: &Nodes) {
    for (index, node) in nodes.nodes.iter().enumerate() {
        let me = node.membership.me();
        assert!(matches!(
            me.state,
            MemberState::Alive | MemberState::Leaving
        ));
        let known = node.membership.members().filter(|m| m.id == id(index));
        assert_eq!(known.count(), 1, "an instance knows itself once");
    }
}

struct MembershipFuzz;

impl StateMachineTest for MembershipFuzz {
    type SystemUnderTest = Nodes;
    type Reference = Reference;

    fn init_test(_: &Reference) -> Nodes {
        Nodes::new(INITIAL_INSTANCES, 1)
    }

    fn apply(mut nodes: Nodes, _: &Reference, transition: Transition) -> Nodes {
        let count = nodes.nodes.len();
        match transition {
            Transition::Advance(periods) => {
                for _ in 0..periods {
                    nodes.period();
                }
            }
            Transition::Join if count < MAX_INSTANCES => {
                nodes.join(1_000);
            }
            Transition::Kill(index) if index > 0 && index < count => {
                nodes.nodes[index].alive = false
            }
            Transition::Pause(index) if index < count => nodes.nodes[index].paused = true,
            Transition::Resume(index) if index < count => nodes.nodes[index].paused = false,
            Transition::Partition(index, partitioned) if index < count => {
                nodes.nodes[index].partitioned = partitioned
            }
            Transition::Restart(index, offset) if index < count => {
                let before = nodes.nodes[index].membership.me().incarnation;
                nodes.restart(index, before.saturating_add_signed(offset).max(1));
            }
            Transition::Leave(index) if index < count && nodes.runs(index) => {
                nodes.nodes[index].membership.leave();
            }
            Transition::Lose(percent) => nodes.lost_percent = percent,
            Transition::Heal => heal(&mut nodes),
            _ => {}
        }
        check(&nodes);
        nodes
    }

    fn teardown(mut nodes: Nodes) {
        heal(&mut nodes);
        for _ in 0..2 * FORGET_MS / PROBE_PERIOD_MS {
            nodes.period();
        }
        let gone = |index: &usize| !nodes.nodes[*index].alive;
        for index in (0..nodes.nodes.len()).filter(gone) {
            assert!(
                nodes.agreed_absent(index),
                "instance {index} was not forgotten"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(64))]

    #[test]
    fn all_views_converge_once_faults_cease_and_the_dead_are_removed(sequential 1..40 => MembershipFuzz);
}
