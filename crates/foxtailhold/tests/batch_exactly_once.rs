//! Stateful fuzzing of the batch state machines with crashes, pauses, lost messages and store
//! outages. It checks that each chunk gets one result that never changes, that one owner at a time
//! acts, that no item of a cancelled job starts, and that every accepted job ends.
//!
//! `FOXTAILHOLD_FUZZ_CASES` sets the number of sequences and `FOXTAILHOLD_FUZZ_SEED` the seed.

mod batch_sim;

use batch_sim::world::{JOBS, NODES, World};
use batch_sim::{count, counts};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const DEFAULT_CASES: u32 = 300;
const DEFAULT_SEED: u64 = 4;
const MAX_STEPS: usize = 150;

#[derive(Debug, Clone)]
enum Transition {
    Advance { ms: u64 },
    Tick { node: usize },
    RunWithoutFaults { rounds: usize },
    FinishItems { node: usize },
    Apply { call: usize },
    Answer { call: usize },
    TimeOut { call: usize },
    LoseResponse { call: usize },
    Refuse { call: usize },
    SetStoreUp { up: bool },
    SetDisconnected { node: usize, disconnected: bool },
    Pause { node: usize },
    Resume { node: usize },
    Kill { node: usize },
    Stop { node: usize },
    Submit { job: usize },
    Cancel { node: usize, job: usize },
    DeliverPeerMessage { cancel: usize },
    LosePeerMessage { cancel: usize },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        use Transition::*;
        let any_call = || 0..64_usize;
        prop_oneof![
            6 => (50..3_000_u64).prop_map(|ms| Advance { ms }),
            1 => (6_000..9_000_u64).prop_map(|ms| Advance { ms }),
            10 => (0..NODES).prop_map(|node| Tick { node }),
            3 => (1..12_usize).prop_map(|rounds| RunWithoutFaults { rounds }),
            8 => (0..NODES).prop_map(|node| FinishItems { node }),
            8 => any_call().prop_map(|call| Apply { call }),
            24 => any_call().prop_map(|call| Answer { call }),
            4 => any_call().prop_map(|call| TimeOut { call }),
            4 => any_call().prop_map(|call| LoseResponse { call }),
            2 => any_call().prop_map(|call| Refuse { call }),
            1 => Just(SetStoreUp { up: false }),
            2 => Just(SetStoreUp { up: true }),
            2 => (0..NODES).prop_map(|node| SetDisconnected { node, disconnected: true }),
            3 => (0..NODES).prop_map(|node| SetDisconnected { node, disconnected: false }),
            2 => (0..NODES).prop_map(|node| Pause { node }),
            3 => (0..NODES).prop_map(|node| Resume { node }),
            1 => (0..NODES).prop_map(|node| Kill { node }),
            1 => (0..NODES).prop_map(|node| Stop { node }),
            3 => (0..JOBS).prop_map(|job| Submit { job }),
            2 => (0..NODES, 0..JOBS).prop_map(|(node, job)| Cancel { node, job }),
            4 => (0..4_usize).prop_map(|cancel| DeliverPeerMessage { cancel }),
            2 => (0..4_usize).prop_map(|cancel| LosePeerMessage { cancel }),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Transition) {
        state
    }
}

struct Machine;

/// Applies `step` to one of `len` elements, selected by `choice`; does nothing if there is none.
fn with_one(world: &mut World, len: usize, choice: usize, step: fn(&mut World, usize)) {
    if len > 0 {
        step(world, choice % len);
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        World::default()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        count("steps");
        let calls = world.calls.len();
        match transition {
            Transition::Advance { ms } => world.now_ms += ms,
            Transition::Tick { node } => world.tick(node),
            Transition::RunWithoutFaults { rounds } => world.run_without_faults(rounds),
            Transition::FinishItems { node } => world.finish_items(node),
            Transition::Apply { call } => with_one(&mut world, calls, call, World::apply),
            Transition::Answer { call } => with_one(&mut world, calls, call, World::answer),
            Transition::TimeOut { call } => with_one(&mut world, calls, call, World::time_out),
            Transition::LoseResponse { call } => {
                with_one(&mut world, calls, call, World::apply);
                with_one(&mut world, calls, call, World::time_out);
            }
            Transition::Refuse { call } => with_one(&mut world, calls, call, World::refuse),
            Transition::SetStoreUp { up } => {
                if world.store_up && !up {
                    count("store down");
                }
                world.store_up = up;
            }
            Transition::SetDisconnected { node, disconnected } => {
                if disconnected {
                    count("instance cut off from the store");
                }
                world.nodes[node].disconnected = disconnected;
            }
            Transition::Pause { node } => {
                count("instance paused");
                world.nodes[node].paused = true;
            }
            Transition::Resume { node } => world.nodes[node].paused = false,
            Transition::Kill { node } => world.kill(node),
            Transition::Stop { node } => world.stop(node),
            Transition::Submit { job } => world.submit(job),
            Transition::Cancel { node, job } => {
                count("cancel");
                world.cancel(node, job);
            }
            Transition::DeliverPeerMessage { cancel } => {
                let stops = world.peer_messages();
                with_one(&mut world, stops.len(), cancel, |world, choice| {
                    world.deliver_peer_message(world.peer_messages()[choice]);
                });
            }
            Transition::LosePeerMessage { cancel } => {
                let stops = world.peer_messages();
                with_one(&mut world, stops.len(), cancel, |world, choice| {
                    world.lose_peer_message(world.peer_messages()[choice]);
                });
            }
        }
        world
    }

    fn teardown(world: World) {
        world.heal_and_check();
    }
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn each_item_once_and_nothing_after_a_cancel_under_faults() {
    let cases = setting("FOXTAILHOLD_FUZZ_CASES").map_or(DEFAULT_CASES, |cases| cases as u32);
    let seed = setting("FOXTAILHOLD_FUZZ_SEED").unwrap_or(DEFAULT_SEED);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let strategy = Reference::sequential_strategy(1..MAX_STEPS);
    let mut runner = TestRunner::new(config.clone());
    let result = runner.run(&strategy, |(state, transitions, seen)| {
        Machine::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    for (kind, number) in counts() {
        println!("{kind}: {number}");
    }
    if let Err(error) = result {
        panic!("{error}");
    }
}
