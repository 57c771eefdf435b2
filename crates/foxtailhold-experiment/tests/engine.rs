//! Step times, queueing and cancellation of the modelled engine.

use foxtailhold_experiment::engine::{Engine, EngineRequest, QueueFull, StepOutput};
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

fn work(request: usize, prefill_tokens: u64, decode_tokens: u64) -> EngineRequest {
    EngineRequest {
        request,
        prefill_tokens,
        decode_tokens,
    }
}

/// Steps until `until_us`; returns the outputs with their times.
fn run(engine: &mut Engine, until_us: u64) -> Vec<(u64, StepOutput)> {
    let mut all = Vec::new();
    while let Some(at_us) = engine.step_ends_us().filter(|at_us| *at_us <= until_us) {
        let mut outputs = Vec::new();
        engine.step(at_us, &mut outputs);
        all.extend(outputs.into_iter().map(|output| (at_us, output)));
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
            StepOutput::Event {
                request: 7,
                number: 1,
            },
        ),
        (
            4_200,
            StepOutput::Event {
                request: 7,
                number: 1,
            },
        ),
        (4_200, StepOutput::Ended { request: 7 }),
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
    assert_eq!(engine.submit(20, work(3, 0, 1)), Err(QueueFull));
    let ended: Vec<usize> = run(&mut engine, 100_000)
        .into_iter()
        .filter_map(|(_, output)| match output {
            StepOutput::Ended { request } => Some(request),
            StepOutput::Event { .. } => None,
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
