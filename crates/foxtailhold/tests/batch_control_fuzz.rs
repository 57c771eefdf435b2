//! Stewards and owners of one replica under lost, late, repeated and reordered messages, two
//! stewards, stewards killed, pressure at any time.
//!
//! `FOXTAILHOLD_FUZZ_CASES` and `FOXTAILHOLD_FUZZ_STEPS` make longer runs.

mod batch_control_world;

use batch_control_world::{LAG_MS, OWNERS, STEWARDS, Step, World};
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
        let steward = 0..STEWARDS;
        prop_oneof![
            6 => (1..120_u64).prop_map(|ms| Step::Advance { ms }),
            1 => (400..1_700_u64).prop_map(|ms| Step::Advance { ms }),
            3 => (owner.clone(), 1..12_u8, 0..400_u64)
                .prop_map(|(owner, items, slack_s)| Step::Offer { owner, items, slack_s }),
            4 => (owner.clone(), 0..16_usize).prop_map(|(owner, nth)| Step::End { owner, nth }),
            1 => (owner.clone(), 0..16_usize).prop_map(|(owner, nth)| Step::Stop { owner, nth }),
            6 => owner.clone().prop_map(|owner| Step::OwnerTick { owner }),
            5 => steward.clone().prop_map(|steward| Step::StewardTick { steward }),
            5 => (steward.clone(), 0..2 * LAG_MS)
                .prop_map(|(steward, lag_ms)| Step::Report { steward, lag_ms }),
            2 => (1..8_u8, steward.clone(), any::<bool>())
                .prop_map(|(requests, told, pressed)| Step::Burst { requests, told, pressed }),
            2 => (1..8_u8).prop_map(|requests| Step::OnlineEnds { requests }),
            12 => (0..64_usize).prop_map(|nth| Step::Deliver { nth }),
            2 => (0..64_usize).prop_map(|nth| Step::Lose { nth }),
            3 => (0..64_usize).prop_map(|nth| Step::Repeat { nth }),
            1 => (owner, steward.clone())
                .prop_map(|(owner, steward)| Step::Follow { owner, steward }),
            1 => steward.prop_map(|steward| Step::Kill { steward }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct StewardTest;

impl StateMachineTest for StewardTest {
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
    let given = std::env::var(name).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn batch_stays_under_the_marks_and_no_item_is_lost_or_runs_twice() {
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
    let ran = runner.run(&strategy, |(initial, steps, seen)| {
        StewardTest::test_sequential(config.clone(), initial, steps, seen);
        Ok(())
    });
    if let Err(error) = ran {
        panic!("{error}");
    }
}
