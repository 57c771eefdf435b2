//! Runs two batch controllers and the owners of one backend server under random faults: messages
//! that are lost, late, repeated or reordered, owners that disagree on the controller, controllers
//! that are killed, and pressure at any time. Guards against more batch items in flight than the
//! congestion windows allow and against items that are lost or run twice.
//!
//! `FOXTAILHOLD_FUZZ_CASES` and `FOXTAILHOLD_FUZZ_STEPS` set the number of cases and their length.

mod batch_control_world;

use batch_control_world::{CONTROLLERS, LAG_MS, OWNERS, Step, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let owner = 0..OWNERS;
        let controller = 0..CONTROLLERS;
        prop_oneof![
            6 => (1..120_u64).prop_map(|ms| Step::Advance { ms }),
            1 => (400..1_700_u64).prop_map(|ms| Step::Advance { ms }),
            3 => (owner.clone(), 1..12_u8, 0..400_u64)
                .prop_map(|(owner, items, slack_s)| Step::Offer { owner, items, slack_s }),
            4 => (owner.clone(), 0..16_usize).prop_map(|(owner, nth)| Step::End { owner, nth }),
            1 => (owner.clone(), 0..16_usize).prop_map(|(owner, nth)| Step::Stop { owner, nth }),
            6 => owner.clone().prop_map(|owner| Step::OwnerTick { owner }),
            5 => controller.clone().prop_map(|controller| Step::ControllerTick { controller }),
            5 => (controller.clone(), 0..2 * LAG_MS)
                .prop_map(|(controller, lag_ms)| Step::Report { controller, lag_ms }),
            2 => (1..8_u8, controller.clone(), any::<bool>())
                .prop_map(|(requests, notified, pressed)| Step::Burst { requests, notified, pressed }),
            2 => (1..8_u8).prop_map(|requests| Step::OnlineEnds { requests }),
            12 => (0..64_usize).prop_map(|nth| Step::Deliver { nth }),
            2 => (0..64_usize).prop_map(|nth| Step::Lose { nth }),
            3 => (0..64_usize).prop_map(|nth| Step::Repeat { nth }),
            1 => (owner, controller.clone())
                .prop_map(|(owner, controller)| Step::SwitchController { owner, controller }),
            1 => controller.prop_map(|controller| Step::Kill { controller }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct ControllerTest;

impl StateMachineTest for ControllerTest {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.step(step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }

    fn teardown(mut world: World) {
        world.drain();
    }
}

fn from_env(name: &str, default: usize) -> usize {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn batch_stays_under_the_windows_and_no_item_is_lost_or_runs_twice() {
    let config = Config {
        cases: from_env("FOXTAILHOLD_FUZZ_CASES", 128) as u32,
        rng_seed: RngSeed::Fixed(0x57e3),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let steps = from_env("FOXTAILHOLD_FUZZ_STEPS", 400);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[0x57; 32]);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Steps::sequential_strategy(1..steps);
    let result = runner.run(&strategy, |(initial, steps, seen)| {
        ControllerTest::test_sequential(config.clone(), initial, steps, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
