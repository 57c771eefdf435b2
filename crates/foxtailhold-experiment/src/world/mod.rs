//! Discrete-event simulation of one run: arrivals, messages, engines and one policy, in virtual
//! time.

mod ends;
mod loss;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::arrivals::{Request, RequestKind};
use crate::engine::{Engine, EngineRequest, QueueFull, StepOutput};
use crate::placement::{Action, AttemptEnd, PendingRequest, Placement};
use crate::sheet::{Sheet, Site};
use crate::statistics::{RequestOutcome, RunStatistics};

/// Interval of [`Placement::tick`] in microseconds.
pub const TICK_US: u64 = 20_000;
/// Share of the mean length that an item is estimated to still need when it is already longer than
/// the mean.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// A failure of all instances: their requests are lost and they recover later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// Time of the failure in microseconds since the start of the run.
    pub at_us: u64,
    /// Time until the instances recover, in microseconds.
    pub for_us: u64,
}

/// Input of a run, the same for every policy.
#[derive(Debug, Clone, Copy)]
pub struct Scenario<'a> {
    /// The deployment.
    pub sheet: &'a Sheet,
    /// All requests, in order of arrival.
    pub requests: &'a [Request],
    /// Length of the run in microseconds.
    pub length_us: u64,
    /// Failure of all instances; `None` for a run without one.
    pub outage: Option<Outage>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event<N> {
    Arrive {
        request: usize,
    },
    Action(Action<N>),
    ReachEngine {
        request: usize,
        engine: usize,
        attempts: u32,
    },
    Step {
        engine: usize,
    },
    LoadReport {
        request: usize,
        load: u32,
        attempts: u32,
    },
    AttemptEnd {
        request: usize,
        end: AttemptEnd,
        load: u32,
        attempts: u32,
    },
    CallerTimeout {
        request: usize,
    },
    Tick,
    OutageBegins,
    OutageEnds,
}

/// Key of an event in the queue: events are ordered by time, then by the order of scheduling.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at_us: u64,
    number: usize,
}

/// Progress of one request. `attempts` also identifies its current attempt: events of earlier
/// attempts are ignored.
#[derive(Debug, Clone, Copy)]
struct RequestState {
    is_over: bool,
    attempts: u32,
    full_rejections: u32,
    refusals: u32,
    engine: Option<usize>,
    generated_tokens: u64,
    first_us: Option<u64>,
    last_us: u64,
    longest_pause_us: u64,
}

struct Simulation<'a, P: Placement> {
    scenario: Scenario<'a>,
    policy: P,
    engines: Vec<Engine>,
    engine_sites: Vec<Site>,
    instance_sites: Vec<Site>,
    states: Vec<RequestState>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    events: Vec<Event<P::Message>>,
    is_down: bool,
    now_us: u64,
    statistics: RunStatistics,
}

/// Simulates a run with a policy.
pub fn simulate<P: Placement>(scenario: Scenario<'_>, policy: P) -> RunStatistics {
    let mut simulation = Simulation::new(scenario, policy);
    simulation.simulate();
    simulation.finish()
}

impl<'a, P: Placement> Simulation<'a, P> {
    fn new(scenario: Scenario<'a>, policy: P) -> Self {
        let engine_sites = scenario.sheet.engines();
        let shape = scenario.sheet.engine;
        let state = RequestState {
            is_over: false,
            attempts: 0,
            full_rejections: 0,
            refusals: 0,
            engine: None,
            generated_tokens: 0,
            first_us: None,
            last_us: 0,
            longest_pause_us: 0,
        };
        Simulation {
            engines: engine_sites
                .iter()
                .map(|site| Engine::new(shape, site.speed))
                .collect(),
            engine_sites,
            instance_sites: scenario.sheet.instances(),
            states: vec![state; scenario.requests.len()],
            queue: BinaryHeap::new(),
            events: Vec::new(),
            is_down: false,
            now_us: 0,
            statistics: RunStatistics::new(scenario.length_us),
            policy,
            scenario,
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event<P::Message>) {
        let number = self.events.len();
        let at_us = at_us.max(self.now_us);
        self.events.push(event);
        self.queue.push(Reverse(ScheduledEvent { at_us, number }));
    }

    fn simulate(&mut self) {
        for (request, arrival) in self.scenario.requests.iter().enumerate() {
            self.schedule(arrival.at_us, Event::Arrive { request });
        }
        if let Some(outage) = self.scenario.outage {
            self.schedule(outage.at_us, Event::OutageBegins);
            self.schedule(outage.at_us + outage.for_us, Event::OutageEnds);
        }
        self.schedule(0, Event::Tick);
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at_us > self.scenario.length_us {
                return;
            }
            self.now_us = scheduled.at_us;
            let event = self.events[scheduled.number];
            self.handle(event);
        }
    }

    fn finish(mut self) -> RunStatistics {
        for (state, request) in self.states.iter().zip(self.scenario.requests) {
            let is_expected = request.due_us <= self.scenario.length_us;
            if !state.is_over && is_expected {
                self.statistics
                    .record_end(request, RequestOutcome::Late, None);
            }
        }
        for engine in &mut self.engines {
            self.statistics.busy_slot_us += engine.busy_slot_us(self.scenario.length_us);
        }
        self.statistics
    }

    fn handle(&mut self, event: Event<P::Message>) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::Action(action) => self.apply(action),
            Event::ReachEngine {
                request,
                engine,
                attempts,
            } => self.reach_engine(request, engine, attempts),
            Event::Step { engine } => self.step(engine),
            Event::LoadReport {
                request,
                load,
                attempts,
            } => {
                if self.states[request].attempts == attempts {
                    self.policy.on_load_report(self.now_us, request, load);
                }
            }
            Event::AttemptEnd {
                request,
                end,
                load,
                attempts,
            } => self.attempt_ended(request, end, load, attempts),
            Event::CallerTimeout { request } => self.time_out(request),
            Event::Tick => {
                if !self.is_down {
                    self.run_policy(|policy, now_us, actions| policy.tick(now_us, actions));
                }
                self.schedule(self.now_us + TICK_US, Event::Tick);
            }
            Event::OutageBegins => self.begin_outage(),
            Event::OutageEnds => self.end_outage(),
        }
    }

    fn run_policy(&mut self, call: impl FnOnce(&mut P, u64, &mut Vec<Action<P::Message>>)) {
        let mut actions = Vec::new();
        call(&mut self.policy, self.now_us, &mut actions);
        for action in actions {
            let (Action::Send { at_us, .. }
            | Action::Preempt { at_us, .. }
            | Action::Refuse { at_us, .. }
            | Action::Message { at_us, .. }) = action;
            self.schedule(at_us, Event::Action(action));
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = self.scenario.requests[request];
        if self.is_down {
            let outcome = match arrival.kind {
                RequestKind::Online => RequestOutcome::Failed,
                RequestKind::Batch => RequestOutcome::NotAccepted,
            };
            self.end(request, outcome);
            return;
        }
        if arrival.kind == RequestKind::Online && self.states[request].attempts == 0 {
            let caller_timeout_us = self.scenario.sheet.online.patience_ms * 1_000;
            self.schedule(
                arrival.at_us + caller_timeout_us,
                Event::CallerTimeout { request },
            );
        }
        self.enqueue(request, None);
    }

    fn enqueue(&mut self, request: usize, avoid: Option<usize>) {
        let arrival = self.scenario.requests[request];
        self.states[request].attempts += 1;
        let due_us = match arrival.kind {
            RequestKind::Online => self.now_us + self.scenario.sheet.online.objective_ms * 1_000,
            RequestKind::Batch => arrival.due_us.saturating_sub(self.remaining_us(request)),
        };
        let pending = PendingRequest {
            request,
            instance: arrival.instance,
            kind: arrival.kind,
            due_us,
            avoid,
        };
        self.run_policy(|policy, now_us, actions| policy.enqueue(now_us, pending, actions));
    }

    /// Estimated time that an item still needs. Its instance knows the mean length of items and how
    /// many tokens this one has produced.
    fn remaining_us(&self, request: usize) -> u64 {
        let sheet = self.scenario.sheet;
        let mean_tokens = sheet.batch.events * sheet.engine.tokens_per_event as f64;
        let generated_tokens = self.states[request].generated_tokens as f64;
        let remaining_tokens =
            (mean_tokens - generated_tokens).max(mean_tokens * MIN_REMAINING_SHARE);
        (remaining_tokens * sheet.engine.full_step_us(1.0)) as u64
    }

    fn apply(&mut self, action: Action<P::Message>) {
        if self.is_down {
            return;
        }
        match action {
            Action::Send {
                request, engine, ..
            } => {
                if self.states[request].is_over {
                    return;
                }
                let attempts = self.states[request].attempts;
                let at_us = self.now_us + self.latency_us(request, engine);
                let event = Event::ReachEngine {
                    request,
                    engine,
                    attempts,
                };
                self.schedule(at_us, event);
            }
            Action::Preempt { request, .. } => self.preempt(request),
            Action::Refuse {
                request,
                retry_after_ms,
                ..
            } => self.refuse(request, retry_after_ms),
            Action::Message { message, .. } => {
                self.run_policy(|policy, now_us, actions| {
                    policy.on_message(now_us, message, actions)
                });
            }
        }
    }

    fn latency_us(&self, request: usize, engine: usize) -> u64 {
        let instance = self.instance_sites[self.scenario.requests[request].instance];
        self.scenario
            .sheet
            .latency_us(instance, self.engine_sites[engine])
    }

    fn reach_engine(&mut self, request: usize, engine: usize, attempts: u32) {
        let state = self.states[request];
        if state.is_over || state.attempts != attempts || self.is_down {
            return;
        }
        let arrival = self.scenario.requests[request];
        let work = EngineRequest {
            request,
            prefill_tokens: arrival.prompt_tokens + state.generated_tokens,
            decode_tokens: arrival
                .answer_tokens
                .saturating_sub(state.generated_tokens)
                .max(1),
        };
        match self.engines[engine].submit(self.now_us, work) {
            Ok(begins) => {
                self.states[request].engine = Some(engine);
                if begins {
                    self.next_step(engine);
                }
            }
            Err(QueueFull) => {
                let (load, end) = (self.engines[engine].load(), AttemptEnd::Full);
                self.states[request].engine = Some(engine);
                self.report_attempt_end(request, engine, end, load);
            }
        }
    }

    fn report_attempt_end(&mut self, request: usize, engine: usize, end: AttemptEnd, load: u32) {
        let at_us = self.now_us + self.latency_us(request, engine);
        let attempts = self.states[request].attempts;
        let event = Event::AttemptEnd {
            request,
            end,
            load,
            attempts,
        };
        self.schedule(at_us, event);
    }

    fn next_step(&mut self, engine: usize) {
        if let Some(at_us) = self.engines[engine].step_ends_us() {
            self.schedule(at_us, Event::Step { engine });
        }
    }

    fn step(&mut self, engine: usize) {
        let mut outputs = Vec::new();
        self.engines[engine].step(self.now_us, &mut outputs);
        let load = self.engines[engine].load();
        for output in outputs {
            match output {
                StepOutput::Event { request, .. } => self.record_event(request, engine, load),
                StepOutput::Ended { request } => {
                    self.report_attempt_end(request, engine, AttemptEnd::Done, load)
                }
            }
        }
        self.next_step(engine);
    }

    fn record_event(&mut self, request: usize, engine: usize, load: u32) {
        let seen_us = self.now_us + self.latency_us(request, engine);
        let state = &mut self.states[request];
        if state.first_us.is_none() {
            state.first_us = Some(seen_us);
        } else {
            let pause_us = seen_us.saturating_sub(state.last_us);
            state.longest_pause_us = state.longest_pause_us.max(pause_us);
        }
        state.last_us = seen_us;
        let attempts = state.attempts;
        let event = Event::LoadReport {
            request,
            load,
            attempts,
        };
        self.schedule(seen_us, event);
    }
}
