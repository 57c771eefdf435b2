//! Stateful fuzzing of requests that must not be repeated.
//!
//! `FOXTAILHOLD_FUZZ_CASES` sets the number of cases; one case has up to 60 steps.

mod world;

use std::sync::Mutex;

use foxtailhold::idempotency::RETENTION_MS;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use world::{Fate, Reply, World};

const ATTEMPTS: usize = 5;
const SEED: u64 = 0x0f0c_5eed;

/// Steps and faults over all cases, for the figures.
static TOTALS: Mutex<std::collections::BTreeMap<String, u64>> =
    Mutex::new(std::collections::BTreeMap::new());

#[derive(Debug, Clone)]
enum Transition {
    Start(u8),
    Step(usize, Fate, Reply),
    /// Several steps with one fate, such as a claim given up or a release.
    Steps(usize, Fate, Reply, usize),
    Kill(usize),
    Land(usize),
    /// One half of a sweep, or both.
    Sweep(Fate, usize),
    Pass(u64),
}

#[derive(Debug, Clone)]
struct Reference;

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        2 => Just(Fate::Delayed),
        1 => Just(Fate::Refused),
    ]
}

fn reply() -> impl Strategy<Value = Reply> {
    prop_oneof![
        2 => Just(Reply::Whole),
        1 => Just(Reply::Cut),
        2 => Just(Reply::ConnectionRefused),
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
        let pass = prop_oneof![
            3 => Just(1_000u64),
            1 => Just(400_000),
            1 => Just(RETENTION_MS + 1),
            2 => Just(8 * RETENTION_MS),
        ];
        prop_oneof![
            9 => body.prop_map(Transition::Start),
            40 => (0..ATTEMPTS, fate(), reply()).prop_map(|(a, f, r)| Transition::Step(a, f, r)),
            40 => (0..ATTEMPTS, fate(), reply(), 2..5usize)
                .prop_map(|(a, f, r, n)| Transition::Steps(a, f, r, n)),
            1 => (0..ATTEMPTS).prop_map(Transition::Kill),
            8 => (0..4usize).prop_map(Transition::Land),
            8 => (fate(), 1..3usize).prop_map(|(f, halves)| Transition::Sweep(f, halves)),
            6 => pass.prop_map(Transition::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

struct Fuzz;

fn check(world: &World) {
    for attempt in &world.attempts {
        assert!(attempt.runs <= 1, "one attempt sent twice");
        assert!(
            !(attempt.not_run && attempt.runs > 0),
            "an attempt that was answered `not_run` ran"
        );
    }
    for pair in world.ran_at.windows(2) {
        assert!(
            pair[1] - pair[0] > RETENTION_MS,
            "the key ran twice, at {} and {} ms",
            pair[0],
            pair[1]
        );
    }
    assert!(!world.wrong_answer, "a resend got another request's answer");
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
            Transition::Step(attempt, fate, reply) => world.step(attempt, fate, reply),
            Transition::Steps(attempt, fate, reply, count) => {
                for _ in 0..count {
                    world.step(attempt, fate, reply);
                }
            }
            Transition::Kill(attempt) => world.kill(attempt),
            Transition::Land(index) => world.table.land(index),
            Transition::Sweep(fate, halves) => {
                for _ in 0..halves {
                    world.sweep(fate);
                }
            }
            Transition::Pass(ms) => world.pass(ms),
        }
        check(&world);
        world
    }

    fn teardown(mut world: World) {
        world.drain();
        check(&world);
        // Nothing ran and nobody was killed: every claim was released, so that a resend runs. A
        // write that was delayed past the sweep of an expired row may leave a claim, which is safe.
        let killed = world.attempts.iter().any(|attempt| attempt.killed);
        let faults = &world.table.faults;
        let clean = !killed && !faults.contains_key("swept") && !faults.contains_key("left");
        if clean && world.ran_at.is_empty() {
            assert!(
                world.probe_runs(0),
                "a claim that never ran was not released"
            );
        }
        let mut totals = TOTALS.lock().unwrap();
        *totals.entry("attempt steps".into()).or_default() += world.steps;
        *totals.entry("runs".into()).or_default() += world.ran_at.len() as u64;
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
fn the_fuzz_causes_every_fault() {
    each_key_runs_at_most_once_and_not_run_stays_true();
    let totals = TOTALS.lock().unwrap().clone();
    println!("{totals:?}");
    for fault in [
        "AnswerLost",
        "Lost",
        "Delayed",
        "Refused",
        "landed late",
        "killed",
        "runs",
    ] {
        assert!(totals.contains_key(fault), "{fault} never happened");
    }
}

const WHOLE: (Fate, Reply) = (Fate::Answered, Reply::Whole);

fn steps(world: &mut World, attempt: usize, (fate, reply): (Fate, Reply), count: usize) {
    for _ in 0..count {
        world.step(attempt, fate, reply);
        check(world);
    }
}

/// Too rare for the fuzz: a sweep lands after another sweep and a new claim of the same version.
#[test]
fn a_sweep_that_lands_late_does_not_remove_a_new_claim() {
    let mut world = World::default();
    world.start(0);
    steps(&mut world, 0, WHOLE, 1);
    world.pass(8 * RETENTION_MS);
    for fate in [
        Fate::Answered,
        Fate::Delayed,
        Fate::Answered,
        Fate::Answered,
    ] {
        world.sweep(fate);
    }
    world.start(0);
    steps(&mut world, 1, (Fate::Answered, Reply::Cut), 3);
    world.table.land(0);
    world.start(0);
    steps(&mut world, 2, WHOLE, 3);
    assert_eq!(world.ran_at.len(), 1);
}

/// Too rare for the fuzz: a send that was paused for days is answered, and its row must stay.
#[test]
fn an_answer_is_kept_from_when_it_was_stored() {
    let mut world = World::default();
    world.start(0);
    steps(&mut world, 0, WHOLE, 2);
    world.pass(2 * RETENTION_MS);
    steps(&mut world, 0, WHOLE, 2);
    world.sweep(Fate::Answered);
    world.sweep(Fate::Answered);
    world.start(0);
    steps(&mut world, 1, WHOLE, 3);
    assert_eq!(world.ran_at.len(), 1);
}
