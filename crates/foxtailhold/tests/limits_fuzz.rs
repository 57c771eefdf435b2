//! Fuzzes limits shared by several instances. Guards against instances that together admit more
//! than the limit and the stated bound under message loss, partitions, changed views and lost
//! instances.

mod common;

use common::fuzz_config;
use common::shares::{INSTANCES, STEP_MS, World};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// One step of the fuzzer.
#[derive(Debug, Clone)]
enum Step {
    Requests {
        instance: usize,
        count: u32,
    },
    Flood {
        instances: Vec<usize>,
        steps: u64,
    },
    Advance {
        ms: u64,
    },
    Network {
        loss_percent: u64,
        delay_ms: u64,
    },
    Partition {
        a: usize,
        b: usize,
    },
    Heal,
    View {
        instance: usize,
        members: Vec<usize>,
    },
    Kill {
        instance: usize,
    },
    Restart {
        instance: usize,
    },
}

struct Shares;

impl ReferenceStateMachine for Shares {
    type State = bool;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<bool> {
        any::<bool>().boxed()
    }

    /// Views change and instances are lost only in half of the runs. The other half checks the
    /// bound while the coordinator is present.
    fn transitions(disturbed: &bool) -> BoxedStrategy<Step> {
        let one = 0..INSTANCES;
        let flooded = prop::collection::vec(0..INSTANCES, 1..=INSTANCES);
        let calm = prop_oneof![
            8 => (flooded, 1u64..60).prop_map(|(instances, steps)| Step::Flood { instances, steps }),
            1 => (one.clone(), one.clone()).prop_map(|(a, b)| Step::Partition { a, b }),
            1 => Just(Step::Heal),
            8 => (one.clone(), 1u32..80).prop_map(|(instance, count)| Step::Requests { instance, count }),
            8 => (1u64..40).prop_map(|steps| Step::Advance { ms: steps * STEP_MS }),
            1 => (1u64..200).prop_map(|steps| Step::Advance { ms: steps * STEP_MS }),
            2 => (0u64..100, 0u64..700).prop_map(|(loss_percent, delay_ms)| Step::Network { loss_percent, delay_ms }),
            2 => Just(Step::Network { loss_percent: 0, delay_ms: 2 }),
        ];
        if !disturbed {
            return calm.boxed();
        }
        let members = prop::collection::vec(0..INSTANCES, 0..INSTANCES);
        prop_oneof![
            20 => calm,
            2 => (one.clone(), members).prop_map(|(instance, members)| Step::View { instance, members }),
            1 => one.clone().prop_map(|instance| Step::Kill { instance }),
            2 => one.prop_map(|instance| Step::Restart { instance }),
        ]
        .boxed()
    }

    fn apply(state: bool, _: &Step) -> bool {
        state
    }
}

struct SharesTest;

impl StateMachineTest for SharesTest {
    type SystemUnderTest = World;
    type Reference = Shares;

    fn init_test(_: &bool) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &bool, step: Step) -> World {
        match step {
            Step::Requests { instance, count } => {
                world.request(instance, count);
            }
            Step::Flood { instances, steps } => {
                world.flood(&instances, steps * STEP_MS);
            }
            Step::Advance { ms } => world.advance(ms),
            Step::Network {
                loss_percent,
                delay_ms,
            } => {
                world.loss_percent = loss_percent;
                world.delay_ms = delay_ms;
            }
            Step::Partition { a, b } => {
                world.partitions.insert((a.min(b), a.max(b)));
            }
            Step::Heal => world.partitions.clear(),
            Step::View { instance, members } => world.set_view(instance, &members),
            Step::Kill { instance } => world.kill(instance),
            Step::Restart { instance } => world.restart(instance),
        }
        world
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(200))]

    #[test]
    fn instances_together_admit_no_more_than_the_limit_and_the_stated_bound(
        sequential 1..80 => SharesTest
    );
}
