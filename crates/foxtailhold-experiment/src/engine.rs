//! An engine that batches continuously, in virtual time.
//!
//! At the end of each step every request that runs, and whose prompt has been read, gives one token.
//! Then waiting requests take free slots in the order of their arrival, and the next step begins. It
//! takes the time of a step, that of each running request, and that of the prompts read.

use std::collections::VecDeque;

use crate::sheet::EngineShape;

/// A request in an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRequest {
    /// Number of the request.
    pub request: usize,
    /// Tokens to read before the first one is given: the prompt, and what another engine has given.
    pub prefill_tokens: u64,
    /// Tokens still to give.
    pub decode_tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    work: EngineRequest,
    generated_tokens: u64,
    first_token_at_us: u64,
}

/// What became visible at the end of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutput {
    /// An event came; the first one is number 1.
    Event {
        /// Of which request.
        request: usize,
        /// Events given here so far.
        number: u64,
    },
    /// All tokens have been given.
    Ended {
        /// Of which request.
        request: usize,
    },
}

/// The engine has no room for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// One engine.
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
    /// An idle engine whose steps take `speed` times as long as the shape says.
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

    /// Takes a request in, and returns whether a step begins by it.
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

    /// Ends a request early; returns the tokens that it was given here.
    pub fn cancel(&mut self, now_us: u64, request: usize) -> u64 {
        self.update_busy_time(now_us);
        self.waiting.retain(|work| work.request != request);
        let found = self.running.iter().position(|r| r.work.request == request);
        found.map_or(0, |index| self.running.remove(index).generated_tokens)
    }

    /// When the step that runs ends.
    pub fn step_ends_us(&self) -> Option<u64> {
        self.step_ends_us
    }

    /// Requests that run and that wait.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Slot time in use up to now, in microseconds.
    pub fn busy_slot_us(&mut self, now_us: u64) -> u64 {
        self.update_busy_time(now_us);
        self.busy_slot_us
    }

    /// Ends the step that ran, and begins the next one where there is work.
    pub fn step(&mut self, now_us: u64, outputs: &mut Vec<StepOutput>) {
        self.update_busy_time(now_us);
        for running in &mut self.running {
            if now_us < running.first_token_at_us {
                continue;
            }
            running.generated_tokens += 1;
            let (request, generated_tokens) = (running.work.request, running.generated_tokens);
            let is_last = generated_tokens == running.work.decode_tokens;
            // The first event goes out with the first token.
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
