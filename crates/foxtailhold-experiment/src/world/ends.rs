//! How the ways of requests end: served, refused, cut, given up.

use crate::arrivals::Kind;
use crate::placement::{End, Placement};
use crate::statistics::Fate;
use crate::world::{Event, World};

/// A request that engines had no room for is offered again so often.
const FULL_AGAIN: u32 = 3;
/// Callers whom an engine's refusals reach come back after this time.
const FULL_RETRY_AFTER_MS: u64 = 120;

impl<P: Placement> World<'_, P> {
    pub(super) fn over(&mut self, request: usize, end: End, load: u32, offers: u32) {
        let life = &mut self.lives[request];
        if life.is_over || life.offers != offers || self.is_away {
            return;
        }
        let engine = life.engine.take();
        self.policy_turn(|policy, now_us, actions| {
            policy.ended(now_us, request, end, Some(load), actions);
        });
        match end {
            End::Done => self.served(request),
            End::Full => {
                self.tally.full += 1;
                self.lives[request].full += 1;
                let is_online = self.run.requests[request].kind == Kind::Online;
                if is_online && self.lives[request].full > FULL_AGAIN {
                    self.refuse(request, FULL_RETRY_AFTER_MS);
                } else {
                    self.offer(request, engine);
                }
            }
            End::Cut | End::GivenUp => {}
        }
    }

    fn served(&mut self, request: usize) {
        let (life, arrival) = (self.lives[request], self.run.requests[request]);
        let online = &self.run.sheet.online;
        let first_us = life.first_us.unwrap_or(self.now_us) - arrival.at_us;
        let is_in_time = match arrival.kind {
            Kind::Online => {
                first_us <= online.objective_ms * 1_000
                    && life.longest_pause_us <= online.pause_ms * 1_000
            }
            Kind::Batch => self.now_us <= arrival.due_us,
        };
        let fate = if is_in_time { Fate::InTime } else { Fate::Late };
        self.end(request, fate);
    }

    pub(super) fn end(&mut self, request: usize, fate: Fate) {
        let (life, arrival) = (&mut self.lives[request], &self.run.requests[request]);
        life.is_over = true;
        let took_us = match arrival.kind {
            Kind::Online => life.first_us.map(|at_us| at_us - arrival.at_us),
            Kind::Batch => Some(self.now_us - arrival.at_us),
        };
        self.tally.ended(arrival, fate, took_us);
    }

    pub(super) fn refuse(&mut self, request: usize, retry_after_ms: u64) {
        let life = &mut self.lives[request];
        if life.is_over || life.engine.is_some() {
            return;
        }
        self.policy_turn(|policy, now_us, actions| {
            policy.ended(now_us, request, End::GivenUp, None, actions);
        });
        let life = &mut self.lives[request];
        life.refusals += 1;
        if life.refusals > self.run.sheet.online.retries {
            self.end(request, Fate::Refused);
            return;
        }
        self.at(
            self.now_us + retry_after_ms * 1_000,
            Event::Arrive { request },
        );
    }

    pub(super) fn cut(&mut self, request: usize) {
        let life = &mut self.lives[request];
        let Some(engine) = life.engine.filter(|_| !life.is_over) else {
            return;
        };
        life.engine = None;
        let given = self.engines[engine].cancel(self.now_us, request);
        let life = &mut self.lives[request];
        life.given_tokens += given;
        self.tally.cuts += 1;
        let load = self.engines[engine].load();
        self.policy_turn(|policy, now_us, actions| {
            policy.ended(now_us, request, End::Cut, Some(load), actions);
        });
        self.offer(request, None);
    }

    pub(super) fn give_up(&mut self, request: usize) {
        if self.lives[request].is_over {
            return;
        }
        if let Some(engine) = self.lives[request].engine.take() {
            self.engines[engine].cancel(self.now_us, request);
        }
        if !self.is_away {
            self.policy_turn(|policy, now_us, actions| {
                policy.ended(now_us, request, End::GivenUp, None, actions);
            });
        }
        self.end(request, Fate::Failed);
    }
}
