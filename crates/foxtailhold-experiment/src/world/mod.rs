//! Plays one run: arrivals, messages, engines and one policy, in virtual time.

mod ends;
mod loss;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::arrivals::{Kind, Request};
use crate::engine::{Engine, Full, Sign, Work};
use crate::placement::{Action, End, Offer, Placement};
use crate::sheet::{Sheet, Site};
use crate::statistics::{Fate, Tally};

/// Policies are told of the time so often, in microseconds.
pub const TICK_US: u64 = 20_000;
/// An item that has outrun the mean is taken to need this share of it still.
const LEAST_LEFT_SHARE: f64 = 0.1;

/// All instances are away for a time, and their requests are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// When it begins, in microseconds.
    pub at_us: u64,
    /// How long it lasts.
    pub for_us: u64,
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// The deployment.
    pub sheet: &'a Sheet,
    /// What arrives.
    pub requests: &'a [Request],
    /// How long it is played, in microseconds.
    pub length_us: u64,
    /// The loss of all instances, if any.
    pub outage: Option<Outage>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event<N> {
    Arrive {
        request: usize,
    },
    Act(Action<N>),
    Reach {
        request: usize,
        engine: usize,
        offers: u32,
    },
    Step {
        engine: usize,
    },
    Told {
        request: usize,
        load: u32,
        offers: u32,
    },
    Over {
        request: usize,
        end: End,
        load: u32,
        offers: u32,
    },
    GiveUp {
        request: usize,
    },
    Tick,
    Lost,
    Back,
}

/// A place in the order of events: by time, then as they were made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    at_us: u64,
    number: usize,
}

/// The way of one request.
#[derive(Debug, Clone, Copy)]
struct Life {
    is_over: bool,
    offers: u32,
    full: u32,
    refusals: u32,
    engine: Option<usize>,
    given_tokens: u64,
    first_us: Option<u64>,
    last_us: u64,
    longest_pause_us: u64,
}

/// A run that is played.
struct World<'a, P: Placement> {
    run: Run<'a>,
    policy: P,
    engines: Vec<Engine>,
    engine_sites: Vec<Site>,
    instance_sites: Vec<Site>,
    lives: Vec<Life>,
    turns: BinaryHeap<Reverse<Turn>>,
    events: Vec<Event<P::Note>>,
    is_away: bool,
    now_us: u64,
    tally: Tally,
}

/// Plays a run with a policy.
pub fn play<P: Placement>(run: Run<'_>, policy: P) -> Tally {
    let mut world = World::new(run, policy);
    world.play();
    world.finish()
}

impl<'a, P: Placement> World<'a, P> {
    fn new(run: Run<'a>, policy: P) -> Self {
        let engine_sites = run.sheet.engines();
        let shape = run.sheet.engine;
        let life = Life {
            is_over: false,
            offers: 0,
            full: 0,
            refusals: 0,
            engine: None,
            given_tokens: 0,
            first_us: None,
            last_us: 0,
            longest_pause_us: 0,
        };
        World {
            engines: engine_sites
                .iter()
                .map(|site| Engine::new(shape, site.speed))
                .collect(),
            engine_sites,
            instance_sites: run.sheet.instances(),
            lives: vec![life; run.requests.len()],
            turns: BinaryHeap::new(),
            events: Vec::new(),
            is_away: false,
            now_us: 0,
            tally: Tally::new(run.length_us),
            policy,
            run,
        }
    }

    fn at(&mut self, at_us: u64, event: Event<P::Note>) {
        let number = self.events.len();
        let at_us = at_us.max(self.now_us);
        self.events.push(event);
        self.turns.push(Reverse(Turn { at_us, number }));
    }

    fn play(&mut self) {
        for (request, arrival) in self.run.requests.iter().enumerate() {
            self.at(arrival.at_us, Event::Arrive { request });
        }
        if let Some(outage) = self.run.outage {
            self.at(outage.at_us, Event::Lost);
            self.at(outage.at_us + outage.for_us, Event::Back);
        }
        self.at(0, Event::Tick);
        while let Some(Reverse(turn)) = self.turns.pop() {
            if turn.at_us > self.run.length_us {
                return;
            }
            self.now_us = turn.at_us;
            let event = self.events[turn.number];
            self.handle(event);
        }
    }

    fn finish(mut self) -> Tally {
        for (life, request) in self.lives.iter().zip(self.run.requests) {
            let is_owed = request.due_us <= self.run.length_us;
            if !life.is_over && is_owed {
                self.tally.ended(request, Fate::Late, None);
            }
        }
        for engine in &mut self.engines {
            self.tally.busy_slot_us += engine.busy_slot_us(self.run.length_us);
        }
        self.tally
    }

    fn handle(&mut self, event: Event<P::Note>) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::Act(action) => self.act(action),
            Event::Reach {
                request,
                engine,
                offers,
            } => self.reach(request, engine, offers),
            Event::Step { engine } => self.step(engine),
            Event::Told {
                request,
                load,
                offers,
            } => {
                if self.lives[request].offers == offers {
                    self.policy.told(self.now_us, request, load);
                }
            }
            Event::Over {
                request,
                end,
                load,
                offers,
            } => self.over(request, end, load, offers),
            Event::GiveUp { request } => self.give_up(request),
            Event::Tick => {
                if !self.is_away {
                    self.policy_turn(|policy, now_us, actions| policy.tick(now_us, actions));
                }
                self.at(self.now_us + TICK_US, Event::Tick);
            }
            Event::Lost => self.lose_all(),
            Event::Back => self.come_back(),
        }
    }

    fn policy_turn(&mut self, turn: impl FnOnce(&mut P, u64, &mut Vec<Action<P::Note>>)) {
        let mut actions = Vec::new();
        turn(&mut self.policy, self.now_us, &mut actions);
        for action in actions {
            let (Action::Send { at_us, .. }
            | Action::Cut { at_us, .. }
            | Action::Refuse { at_us, .. }
            | Action::Note { at_us, .. }) = action;
            self.at(at_us, Event::Act(action));
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = self.run.requests[request];
        if self.is_away {
            let fate = match arrival.kind {
                Kind::Online => Fate::Failed,
                Kind::Batch => Fate::NotAccepted,
            };
            self.end(request, fate);
            return;
        }
        if arrival.kind == Kind::Online && self.lives[request].offers == 0 {
            let patience_us = self.run.sheet.online.patience_ms * 1_000;
            self.at(arrival.at_us + patience_us, Event::GiveUp { request });
        }
        self.offer(request, None);
    }

    fn offer(&mut self, request: usize, avoid: Option<usize>) {
        let arrival = self.run.requests[request];
        self.lives[request].offers += 1;
        let due_us = match arrival.kind {
            Kind::Online => self.now_us + self.run.sheet.online.objective_ms * 1_000,
            Kind::Batch => arrival.due_us.saturating_sub(self.left_us(request)),
        };
        let offer = Offer {
            request,
            instance: arrival.instance,
            kind: arrival.kind,
            due_us,
            avoid,
        };
        self.policy_turn(|policy, now_us, actions| policy.offer(now_us, offer, actions));
    }

    /// Time that an item still needs, as far as its instance can tell: it knows how long items are on
    /// average, and what this one has given.
    fn left_us(&self, request: usize) -> u64 {
        let sheet = self.run.sheet;
        let mean_tokens = sheet.batch.events * sheet.engine.tokens_per_event as f64;
        let given_tokens = self.lives[request].given_tokens as f64;
        let left_tokens = (mean_tokens - given_tokens).max(mean_tokens * LEAST_LEFT_SHARE);
        (left_tokens * sheet.engine.full_step_us(1.0)) as u64
    }

    fn act(&mut self, action: Action<P::Note>) {
        if self.is_away {
            return;
        }
        match action {
            Action::Send {
                request, engine, ..
            } => {
                if self.lives[request].is_over {
                    return;
                }
                let offers = self.lives[request].offers;
                let at_us = self.now_us + self.flight_us(request, engine);
                let reach = Event::Reach {
                    request,
                    engine,
                    offers,
                };
                self.at(at_us, reach);
            }
            Action::Cut { request, .. } => self.cut(request),
            Action::Refuse {
                request,
                retry_after_ms,
                ..
            } => self.refuse(request, retry_after_ms),
            Action::Note { note, .. } => {
                self.policy_turn(|policy, now_us, actions| policy.noted(now_us, note, actions));
            }
        }
    }

    fn flight_us(&self, request: usize, engine: usize) -> u64 {
        let instance = self.instance_sites[self.run.requests[request].instance];
        self.run
            .sheet
            .flight_us(instance, self.engine_sites[engine])
    }

    fn reach(&mut self, request: usize, engine: usize, offers: u32) {
        let life = self.lives[request];
        if life.is_over || life.offers != offers || self.is_away {
            return;
        }
        let arrival = self.run.requests[request];
        let work = Work {
            request,
            to_read: arrival.prompt_tokens + life.given_tokens,
            to_give: arrival
                .answer_tokens
                .saturating_sub(life.given_tokens)
                .max(1),
        };
        match self.engines[engine].submit(self.now_us, work) {
            Ok(begins) => {
                self.lives[request].engine = Some(engine);
                if begins {
                    self.next_step(engine);
                }
            }
            Err(Full) => {
                let (load, end) = (self.engines[engine].load(), End::Full);
                self.lives[request].engine = Some(engine);
                self.tell_over(request, engine, end, load);
            }
        }
    }

    fn tell_over(&mut self, request: usize, engine: usize, end: End, load: u32) {
        let at_us = self.now_us + self.flight_us(request, engine);
        let offers = self.lives[request].offers;
        let over = Event::Over {
            request,
            end,
            load,
            offers,
        };
        self.at(at_us, over);
    }

    fn next_step(&mut self, engine: usize) {
        if let Some(at_us) = self.engines[engine].step_ends_us() {
            self.at(at_us, Event::Step { engine });
        }
    }

    fn step(&mut self, engine: usize) {
        let mut signs = Vec::new();
        self.engines[engine].step(self.now_us, &mut signs);
        let load = self.engines[engine].load();
        for sign in signs {
            match sign {
                Sign::Event { request, .. } => self.event(request, engine, load),
                Sign::Ended { request } => self.tell_over(request, engine, End::Done, load),
            }
        }
        self.next_step(engine);
    }

    fn event(&mut self, request: usize, engine: usize, load: u32) {
        let seen_us = self.now_us + self.flight_us(request, engine);
        let life = &mut self.lives[request];
        if life.first_us.is_none() {
            life.first_us = Some(seen_us);
        } else {
            let pause_us = seen_us.saturating_sub(life.last_us);
            life.longest_pause_us = life.longest_pause_us.max(pause_us);
        }
        life.last_us = seen_us;
        let offers = life.offers;
        let told = Event::Told {
            request,
            load,
            offers,
        };
        self.at(seen_us, told);
    }
}
