//! An engine that batches continuously, in virtual time.
//!
//! At the end of each step every request that runs, and whose prompt has been read, gives one token.
//! Then waiting requests take free slots in the order of their arrival, and the next step begins. It
//! takes the time of a step, that of each running request, and that of the prompts read.

use std::collections::VecDeque;

use crate::sheet::EngineShape;

/// A request in an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Number of the request.
    pub request: usize,
    /// Tokens to read before the first one is given: the prompt, and what another engine has given.
    pub to_read: u64,
    /// Tokens still to give.
    pub to_give: u64,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    work: Work,
    given: u64,
    first_at_us: u64,
}

/// What became visible at the end of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
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
pub struct Full;

/// One engine.
#[derive(Debug)]
pub struct Engine {
    shape: EngineShape,
    speed: f64,
    waiting: VecDeque<Work>,
    running: Vec<Running>,
    step_ends_us: Option<u64>,
    counted_us: u64,
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
            counted_us: 0,
            busy_slot_us: 0,
        }
    }

    /// Takes a request in, and returns whether a step begins by it.
    pub fn submit(&mut self, now_us: u64, work: Work) -> Result<bool, Full> {
        if self.waiting.len() >= self.shape.queue {
            return Err(Full);
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
        self.count(now_us);
        self.waiting.retain(|work| work.request != request);
        let found = self.running.iter().position(|r| r.work.request == request);
        found.map_or(0, |index| self.running.remove(index).given)
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
        self.count(now_us);
        self.busy_slot_us
    }

    /// Ends the step that ran, and begins the next one where there is work.
    pub fn step(&mut self, now_us: u64, signs: &mut Vec<Sign>) {
        self.count(now_us);
        for running in &mut self.running {
            if now_us < running.first_at_us {
                continue;
            }
            running.given += 1;
            let (request, given) = (running.work.request, running.given);
            let is_last = given == running.work.to_give;
            // The first event goes out with the first token.
            if given == 1 || given % self.shape.tokens_per_event == 0 || is_last {
                let number = 1 + given / self.shape.tokens_per_event;
                signs.push(Sign::Event { request, number });
            }
            if is_last {
                signs.push(Sign::Ended { request });
            }
        }
        self.running.retain(|r| r.given < r.work.to_give);
        self.begin_step(now_us);
    }

    fn begin_step(&mut self, now_us: u64) {
        self.count(now_us);
        let mut read = 0;
        while self.running.len() < self.shape.slots {
            let Some(work) = self.waiting.pop_front() else {
                break;
            };
            read += work.to_read;
            self.running.push(Running {
                work,
                given: 0,
                first_at_us: now_us + self.shape.first_token_us,
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

    fn count(&mut self, now_us: u64) {
        self.busy_slot_us += (now_us - self.counted_us) * self.running.len() as u64;
        self.counted_us = now_us;
    }
}
