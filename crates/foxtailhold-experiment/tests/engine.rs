//! The modelled engine, step by step.

use foxtailhold_experiment::engine::{Engine, Full, Sign, Work};
use foxtailhold_experiment::sheet::EngineShape;

const SHAPE: EngineShape = EngineShape {
    slots: 2,
    queue: 1,
    step_us: 1_000,
    step_per_request_us: 100,
    prefill_tokens_per_ms: 100.0,
    first_token_us: 0,
    tokens_per_event: 3,
};

fn work(request: usize, to_read: u64, to_give: u64) -> Work {
    Work {
        request,
        to_read,
        to_give,
    }
}

/// Steps until `until_us`; what came, with its time.
fn run(engine: &mut Engine, until_us: u64) -> Vec<(u64, Sign)> {
    let mut all = Vec::new();
    while let Some(at_us) = engine.step_ends_us().filter(|at_us| *at_us <= until_us) {
        let mut signs = Vec::new();
        engine.step(at_us, &mut signs);
        all.extend(signs.into_iter().map(|sign| (at_us, sign)));
    }
    all
}

#[test]
fn a_step_takes_its_time_and_that_of_the_prompts_read() {
    let mut engine = Engine::new(SHAPE, 1.0);
    assert_eq!(engine.submit(0, work(7, 200, 2)), Ok(true));
    let expected = [
        (
            3_100,
            Sign::Event {
                request: 7,
                number: 1,
            },
        ),
        (
            4_200,
            Sign::Event {
                request: 7,
                number: 1,
            },
        ),
        (4_200, Sign::Ended { request: 7 }),
    ];
    assert_eq!(run(&mut engine, 10_000), expected);
    assert_eq!(engine.step_ends_us(), None);
    assert_eq!(engine.busy_slot_us(10_000), 4_200);
}

#[test]
fn a_slow_engine_takes_longer_by_its_factor() {
    let mut engine = Engine::new(SHAPE, 1.3);
    assert_eq!(engine.submit(0, work(7, 0, 1)), Ok(true));
    assert_eq!(engine.step_ends_us(), Some(1_430));
}

#[test]
fn waiting_requests_take_slots_in_their_order_and_no_more_than_the_queue_holds() {
    let mut engine = Engine::new(SHAPE, 1.0);
    assert_eq!(engine.submit(0, work(1, 0, 2)), Ok(true));
    assert_eq!(engine.submit(10, work(2, 0, 1)), Ok(false));
    assert_eq!(engine.submit(20, work(3, 0, 1)), Err(Full));
    let ended: Vec<usize> = run(&mut engine, 100_000)
        .into_iter()
        .filter_map(|(_, sign)| match sign {
            Sign::Ended { request } => Some(request),
            Sign::Event { .. } => None,
        })
        .collect();
    assert_eq!(ended, [1, 2]);
}

#[test]
fn a_cancelled_request_frees_its_slot_and_tells_what_it_gave() {
    let mut engine = Engine::new(SHAPE, 1.0);
    assert_eq!(engine.submit(0, work(1, 0, 50)), Ok(true));
    run(&mut engine, 5_500);
    assert_eq!((engine.load(), engine.cancel(5_500, 1)), (1, 5));
    assert_eq!((engine.load(), engine.cancel(5_500, 1)), (0, 0));
}
