//! Stateful fuzzing of the quarantine over several instances, with a network that delays,
//! duplicates and reorders messages and backend servers that crash. Guards against innocent
//! requests that are convicted or held back, and against crashing requests that are not stopped.
//!
//! `FOXTAILHOLD_FUZZ_CASES` sets a larger number of cases than CI runs.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use world::{BACKENDS, INSTANCES, Scenario, World};

/// One step of the fuzzer.
#[derive(Debug, Clone)]
enum Step {
    /// A caller sends a request. Request 0, and with two crashing requests also request 1, crashes
    /// every backend server that runs it.
    Submit { instance: usize, request: u128 },
    /// A caller sends the first crashing request through all instances at once.
    Flood,
    /// Time passes.
    Advance { ms: u64 },
    /// A backend server without a probe is killed.
    Kill { backend: usize },
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = Scenario;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Scenario> {
        (1..=2_u128, prop_oneof![Just(5_u64), Just(40)])
            .prop_map(|(crashing_requests, time_to_crash_ms)| Scenario {
                crashing_requests,
                time_to_crash_ms,
            })
            .boxed()
    }

    fn transitions(_: &Scenario) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..INSTANCES, 2..30_u128)
                .prop_map(|(instance, request)| Step::Submit { instance, request }),
            2 => (0..INSTANCES, 0..2_u128)
                .prop_map(|(instance, request)| Step::Submit { instance, request }),
            1 => Just(Step::Flood),
            5 => (1..250_u64).prop_map(|ms| Step::Advance { ms }),
            1 => (0..BACKENDS).prop_map(|backend| Step::Kill { backend }),
        ]
        .boxed()
    }

    fn apply(state: Scenario, _: &Step) -> Scenario {
        state
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test(scenario: &Scenario) -> World {
        World::new(scenario.clone())
    }

    fn apply(mut world: World, _: &Scenario, step: Step) -> World {
        match step {
            Step::Submit { instance, request } => world.submit(instance, request),
            Step::Flood => (0..INSTANCES).for_each(|instance| world.submit(instance, 0)),
            Step::Advance { ms } => world.advance_time(ms),
            Step::Kill { backend } => world.kill(backend),
        }
        world.check();
        world
    }

    fn teardown(mut world: World) {
        world.advance_time(30_000);
        world.check();
        world.check_ended();
        if std::env::var("FOXTAILHOLD_FUZZ_CASES").is_ok() {
            println!("{:?}", world.counts);
        }
    }
}

fn cases() -> u32 {
    let cases = std::env::var("FOXTAILHOLD_FUZZ_CASES").ok();
    cases.and_then(|text| text.parse().ok()).unwrap_or(96)
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(0x0f0c_7a11),
        failure_persistence: None,
        max_shrink_iters: 500,
        .. Config::default()
    })]

    #[test]
    fn innocent_requests_are_answered_and_crashing_requests_stopped(sequential 20..80 => Fuzz);
}
