//! How requests end: served, refused, preempted or timed out.

use crate::arrivals::RequestKind;
use crate::placement::{AttemptEnd, Placement};
use crate::statistics::RequestOutcome;
use crate::world::{Event, Simulation};

/// Number of times that an online request is enqueued again after engines rejected it as full; then
/// it is refused.
const MAX_FULL_RETRIES: u32 = 3;
/// Time after which callers refused because of full engines retry.
const FULL_RETRY_AFTER_MS: u64 = 120;

impl<P: Placement> Simulation<'_, P> {
    pub(super) fn attempt_ended(
        &mut self,
        request: usize,
        end: AttemptEnd,
        load: u32,
        attempts: u32,
    ) {
        let state = &mut self.states[request];
        if state.is_over || state.attempts != attempts || self.is_down {
            return;
        }
        let engine = state.engine.take();
        self.run_policy(|policy, now_us, actions| {
            policy.on_attempt_end(now_us, request, end, Some(load), actions);
        });
        match end {
            AttemptEnd::Done => self.finish_served(request),
            AttemptEnd::Full => {
                self.statistics.full += 1;
                self.states[request].full_rejections += 1;
                let is_online = self.scenario.requests[request].kind == RequestKind::Online;
                if is_online && self.states[request].full_rejections > MAX_FULL_RETRIES {
                    self.refuse(request, FULL_RETRY_AFTER_MS);
                } else {
                    self.enqueue(request, engine);
                }
            }
            AttemptEnd::Preempted | AttemptEnd::GivenUp => {}
        }
    }

    fn finish_served(&mut self, request: usize) {
        let (state, arrival) = (self.states[request], self.scenario.requests[request]);
        let online = &self.scenario.sheet.online;
        let first_us = state.first_us.unwrap_or(self.now_us) - arrival.at_us;
        let is_in_time = match arrival.kind {
            RequestKind::Online => {
                first_us <= online.objective_ms * 1_000
                    && state.longest_pause_us <= online.pause_ms * 1_000
            }
            RequestKind::Batch => self.now_us <= arrival.due_us,
        };
        let outcome = if is_in_time {
            RequestOutcome::InTime
        } else {
            RequestOutcome::Late
        };
        self.end(request, outcome);
    }

    pub(super) fn end(&mut self, request: usize, outcome: RequestOutcome) {
        let (state, arrival) = (&mut self.states[request], &self.scenario.requests[request]);
        state.is_over = true;
        let took_us = match arrival.kind {
            RequestKind::Online => state.first_us.map(|at_us| at_us - arrival.at_us),
            RequestKind::Batch => Some(self.now_us - arrival.at_us),
        };
        self.statistics.record_end(arrival, outcome, took_us);
    }

    pub(super) fn refuse(&mut self, request: usize, retry_after_ms: u64) {
        let state = &mut self.states[request];
        if state.is_over || state.engine.is_some() {
            return;
        }
        self.run_policy(|policy, now_us, actions| {
            policy.on_attempt_end(now_us, request, AttemptEnd::GivenUp, None, actions);
        });
        let state = &mut self.states[request];
        state.refusals += 1;
        if state.refusals > self.scenario.sheet.online.retries {
            self.end(request, RequestOutcome::Refused);
            return;
        }
        self.schedule(
            self.now_us + retry_after_ms * 1_000,
            Event::Arrive { request },
        );
    }

    pub(super) fn preempt(&mut self, request: usize) {
        let state = &mut self.states[request];
        let Some(engine) = state.engine.filter(|_| !state.is_over) else {
            return;
        };
        state.engine = None;
        let generated = self.engines[engine].cancel(self.now_us, request);
        let state = &mut self.states[request];
        state.generated_tokens += generated;
        self.statistics.preemptions += 1;
        let load = self.engines[engine].load();
        self.run_policy(|policy, now_us, actions| {
            policy.on_attempt_end(now_us, request, AttemptEnd::Preempted, Some(load), actions);
        });
        self.enqueue(request, None);
    }

    pub(super) fn time_out(&mut self, request: usize) {
        if self.states[request].is_over {
            return;
        }
        if let Some(engine) = self.states[request].engine.take() {
            self.engines[engine].cancel(self.now_us, request);
        }
        if !self.is_down {
            self.run_policy(|policy, now_us, actions| {
                policy.on_attempt_end(now_us, request, AttemptEnd::GivenUp, None, actions);
            });
        }
        self.end(request, RequestOutcome::Failed);
    }
}
