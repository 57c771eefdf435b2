//! Stateful fuzzing of requests with an idempotency key, with lost, delayed and refused writes and
//! with attempts that are killed. It checks that a key runs at most once within the retention time
//! and that a request answered with `not_run` was never sent.
//!
//! `FOXTAILHOLD_FUZZ_CASES` sets the number of cases; one case has up to 60 steps.

mod world;

use std::sync::Mutex;

use foxtailhold::idempotency::RETENTION_MS;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use world::{CallOutcome, ServiceResponse, World};

const ATTEMPTS: usize = 5;
const SEED: u64 = 0x0f0c_5eed;

/// Counts of steps and faults over all cases.
static TOTALS: Mutex<std::collections::BTreeMap<String, u64>> =
    Mutex::new(std::collections::BTreeMap::new());

#[derive(Debug, Clone)]
enum Transition {
    Start(u8),
    Step(usize, CallOutcome, ServiceResponse),
    /// Several steps with the same outcome, enough for a claim to be given up or released.
    Steps(usize, CallOutcome, ServiceResponse, usize),
    Kill(usize),
    ApplyDelayedWrite(usize),
    /// The read of a sweep, its delete, or both.
    Sweep(CallOutcome, usize),
    AdvanceTime(u64),
}

#[derive(Debug, Clone)]
struct Reference;

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::ResponseLost),
        1 => Just(CallOutcome::RequestLost),
        2 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Refused),
    ]
}

fn response() -> impl Strategy<Value = ServiceResponse> {
    prop_oneof![
        2 => Just(ServiceResponse::Complete),
        1 => Just(ServiceResponse::Truncated),
        2 => Just(ServiceResponse::ConnectionRefused),
    ]
}

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let body = prop_oneof![9 => Just(0u8), 1 => Just(1u8)];
        let advance_time = prop_oneof![
            3 => Just(1_000u64),
            1 => Just(400_000),
            1 => Just(RETENTION_MS + 1),
            2 => Just(8 * RETENTION_MS),
        ];
        prop_oneof![
            9 => body.prop_map(Transition::Start),
            40 => (0..ATTEMPTS, outcome(), response()).prop_map(|(attempt, outcome, response)| Transition::Step(attempt, outcome, response)),
            40 => (0..ATTEMPTS, outcome(), response(), 2..5usize)
                .prop_map(|(attempt, outcome, response, count)| Transition::Steps(attempt, outcome, response, count)),
            1 => (0..ATTEMPTS).prop_map(Transition::Kill),
            8 => (0..4usize).prop_map(Transition::ApplyDelayedWrite),
            8 => (outcome(), 1..3usize).prop_map(|(outcome, halves)| Transition::Sweep(outcome, halves)),
            6 => advance_time.prop_map(Transition::AdvanceTime),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

struct Fuzz;

fn check(world: &World) {
    for attempt in &world.attempts {
        assert!(attempt.sends <= 1, "one attempt sent twice");
        assert!(
            !(attempt.not_run && attempt.sends > 0),
            "an attempt that was answered with `not_run` was sent"
        );
    }
    for pair in world.executed_at_ms.windows(2) {
        assert!(
            pair[1] - pair[0] > RETENTION_MS,
            "the key ran twice, at {} and {} ms",
            pair[0],
            pair[1]
        );
    }
    assert!(
        !world.wrong_response,
        "a resend got the response to a different request"
    );
}

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        World::default()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Start(body) if world.attempts.len() < ATTEMPTS => world.start(body),
            Transition::Start(_) => {}
            Transition::Step(attempt, outcome, response) => world.step(attempt, outcome, response),
            Transition::Steps(attempt, outcome, response, count) => {
                for _ in 0..count {
                    world.step(attempt, outcome, response);
                }
            }
            Transition::Kill(attempt) => world.kill(attempt),
            Transition::ApplyDelayedWrite(index) => world.table.apply_delayed(index),
            Transition::Sweep(outcome, halves) => {
                for _ in 0..halves {
                    world.sweep(outcome);
                }
            }
            Transition::AdvanceTime(ms) => world.advance_time(ms),
        }
        check(&world);
        world
    }

    fn teardown(mut world: World) {
        world.finish_without_faults();
        check(&world);
        // If nothing ran and no attempt was killed, every claim was released and a resend runs. A
        // write that was delayed past the sweep of an expired row may leave a claim, which is safe.
        let killed = world.attempts.iter().any(|attempt| attempt.killed);
        let faults = &world.table.faults;
        let clean =
            !killed && !faults.contains_key("swept") && !faults.contains_key("release too late");
        if clean && world.executed_at_ms.is_empty() {
            assert!(
                world.new_attempt_runs(0),
                "a claim that never ran was not released"
            );
        }
        let mut totals = TOTALS.lock().unwrap();
        *totals.entry("attempt steps".into()).or_default() += world.steps;
        *totals.entry("runs".into()).or_default() += world.executed_at_ms.len() as u64;
        for (fault, count) in &world.table.faults {
            *totals.entry(fault.clone()).or_default() += count;
        }
    }
}

fn config() -> Config {
    let cases = std::env::var("FOXTAILHOLD_FUZZ_CASES");
    Config {
        cases: cases
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(2_500),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]
    fn each_key_runs_at_most_once_and_not_run_stays_true(sequential 1..60 => Fuzz);
}

#[test]
fn fuzz_causes_every_fault() {
    each_key_runs_at_most_once_and_not_run_stays_true();
    let totals = TOTALS.lock().unwrap().clone();
    println!("{totals:?}");
    for fault in [
        "ResponseLost",
        "RequestLost",
        "Delayed",
        "Refused",
        "applied late",
        "killed",
        "runs",
    ] {
        assert!(totals.contains_key(fault), "{fault} never happened");
    }
}

const COMPLETE: (CallOutcome, ServiceResponse) = (CallOutcome::Answered, ServiceResponse::Complete);

fn steps(
    world: &mut World,
    attempt: usize,
    (outcome, response): (CallOutcome, ServiceResponse),
    count: usize,
) {
    for _ in 0..count {
        world.step(attempt, outcome, response);
        check(world);
    }
}

/// Guards against a key that runs twice because a delayed sweep deletes a new claim. The sweep is
/// applied after another sweep and after a new claim with the same row version, which the fuzz
/// seldom reaches.
#[test]
fn delayed_sweep_does_not_remove_a_new_claim() {
    let mut world = World::default();
    world.start(0);
    steps(&mut world, 0, COMPLETE, 1);
    world.advance_time(8 * RETENTION_MS);
    for outcome in [
        CallOutcome::Answered,
        CallOutcome::Delayed,
        CallOutcome::Answered,
        CallOutcome::Answered,
    ] {
        world.sweep(outcome);
    }
    world.start(0);
    steps(
        &mut world,
        1,
        (CallOutcome::Answered, ServiceResponse::Truncated),
        3,
    );
    world.table.apply_delayed(0);
    world.start(0);
    steps(&mut world, 2, COMPLETE, 3);
    assert_eq!(world.executed_at_ms.len(), 1);
}

/// Guards against a response that is swept too early. An attempt was paused for days before its
/// send was answered, so the retention has to count from when the response was stored. The fuzz
/// seldom reaches this.
#[test]
fn response_is_retained_from_when_it_was_stored() {
    let mut world = World::default();
    world.start(0);
    steps(&mut world, 0, COMPLETE, 2);
    world.advance_time(2 * RETENTION_MS);
    steps(&mut world, 0, COMPLETE, 2);
    world.sweep(CallOutcome::Answered);
    world.sweep(CallOutcome::Answered);
    world.start(0);
    steps(&mut world, 1, COMPLETE, 3);
    assert_eq!(world.executed_at_ms.len(), 1);
}
