//! Model of an engine with continuous batching, in virtual time.
//!
//! At the end of each step, every running request whose prompt has been read produces one token.
//! Then waiting requests take free slots in order of arrival and the next step begins. A step takes
//! a fixed time, a time per running request and the time to read the prompts of the admitted
//! requests.

use std::collections::VecDeque;

use crate::sheet::EngineShape;

/// A request as submitted to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRequest {
    /// Index of the request in the run.
    pub request: usize,
    /// Tokens to read before the first token is produced: the prompt, and the tokens that earlier
    /// attempts have produced.
    pub prefill_tokens: u64,
    /// Tokens still to produce.
    pub decode_tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    work: EngineRequest,
    generated_tokens: u64,
    first_token_at_us: u64,
}

/// Output that becomes visible at the end of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutput {
    /// A streamed event; the first one has number 1.
    Event {
        /// Index of the request.
        request: usize,
        /// Number of the event within this attempt.
        number: u64,
    },
    /// The request has produced all its tokens and left its slot.
    Ended {
        /// Index of the request.
        request: usize,
    },
}

/// The request is rejected because the engine's queue is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// One modelled engine.
#[derive(Debug)]
pub struct Engine {
    shape: EngineShape,
    speed: f64,
    waiting: VecDeque<EngineRequest>,
    running: Vec<Running>,
    step_ends_us: Option<u64>,
    counted_until_us: u64,
    busy_slot_us: u64,
}

impl Engine {
    /// Creates an idle engine whose steps take `speed` times as long as the shape says.
    pub fn new(shape: EngineShape, speed: f64) -> Self {
        Engine {
            shape,
            speed,
            waiting: VecDeque::new(),
            running: Vec::new(),
            step_ends_us: None,
            counted_until_us: 0,
            busy_slot_us: 0,
        }
    }

    /// Queues a request. Returns whether this starts a step, which the caller then has to schedule.
    pub fn submit(&mut self, now_us: u64, work: EngineRequest) -> Result<bool, QueueFull> {
        if self.waiting.len() >= self.shape.queue {
            return Err(QueueFull);
        }
        self.waiting.push_back(work);
        if self.step_ends_us.is_some() {
            return Ok(false);
        }
        self.begin_step(now_us);
        Ok(true)
    }

    /// Removes a request; returns the tokens that it produced in this attempt.
    pub fn cancel(&mut self, now_us: u64, request: usize) -> u64 {
        self.update_busy_time(now_us);
        self.waiting.retain(|work| work.request != request);
        let found = self.running.iter().position(|r| r.work.request == request);
        found.map_or(0, |index| self.running.remove(index).generated_tokens)
    }

    /// End of the running step in microseconds; `None` when the engine is idle.
    pub fn step_ends_us(&self) -> Option<u64> {
        self.step_ends_us
    }

    /// Number of running and waiting requests.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Slot time used until `now_us`, in microseconds.
    pub fn busy_slot_us(&mut self, now_us: u64) -> u64 {
        self.update_busy_time(now_us);
        self.busy_slot_us
    }

    /// Ends the running step, appends its outputs and begins the next step if there is work.
    pub fn step(&mut self, now_us: u64, outputs: &mut Vec<StepOutput>) {
        self.update_busy_time(now_us);
        for running in &mut self.running {
            if now_us < running.first_token_at_us {
                continue;
            }
            running.generated_tokens += 1;
            let (request, generated_tokens) = (running.work.request, running.generated_tokens);
            let is_last = generated_tokens == running.work.decode_tokens;
            // The first event is sent with the first token, not after `tokens_per_event` tokens.
            if generated_tokens == 1
                || generated_tokens % self.shape.tokens_per_event == 0
                || is_last
            {
                let number = 1 + generated_tokens / self.shape.tokens_per_event;
                outputs.push(StepOutput::Event { request, number });
            }
            if is_last {
                outputs.push(StepOutput::Ended { request });
            }
        }
        self.running
            .retain(|r| r.generated_tokens < r.work.decode_tokens);
        self.begin_step(now_us);
    }

    fn begin_step(&mut self, now_us: u64) {
        self.update_busy_time(now_us);
        let mut read = 0;
        while self.running.len() < self.shape.slots {
            let Some(work) = self.waiting.pop_front() else {
                break;
            };
            read += work.prefill_tokens;
            self.running.push(Running {
                work,
                generated_tokens: 0,
                first_token_at_us: now_us + self.shape.first_token_us,
            });
        }
        if self.running.is_empty() {
            self.step_ends_us = None;
            return;
        }
        let requests = self.running.len() as u64;
        let step_us = self.shape.step_us + requests * self.shape.step_per_request_us;
        let read_us = read as f64 * 1_000.0 / self.shape.prefill_tokens_per_ms;
        let took_us = (step_us as f64 + read_us) * self.speed;
        self.step_ends_us = Some(now_us + took_us.max(1.0) as u64);
    }

    fn update_busy_time(&mut self, now_us: u64) {
        self.busy_slot_us += (now_us - self.counted_until_us) * self.running.len() as u64;
        self.counted_until_us = now_us;
    }
}
