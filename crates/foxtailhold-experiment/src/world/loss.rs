//! Failure of all instances, and their recovery.

use crate::arrivals::RequestKind;
use crate::placement::Placement;
use crate::statistics::RequestOutcome;
use crate::world::Simulation;

/// Number of events between checkpoints of an unfinished item, as the owners of jobs store them.
const CHECKPOINT_EVENTS: u64 = 40;

impl<P: Placement> Simulation<'_, P> {
    pub(super) fn begin_outage(&mut self) {
        self.is_down = true;
        self.policy.restart(self.now_us);
        let checkpoint_tokens = CHECKPOINT_EVENTS * self.scenario.sheet.engine.tokens_per_event;
        for request in 0..self.states.len() {
            let arrival = self.scenario.requests[request];
            let state = self.states[request];
            if state.is_over || arrival.at_us > self.now_us {
                continue;
            }
            if let Some(engine) = self.states[request].engine.take() {
                let generated = self.engines[engine].cancel(self.now_us, request);
                let kept =
                    (state.generated_tokens + generated) / checkpoint_tokens * checkpoint_tokens;
                self.states[request].generated_tokens = kept;
            }
            if arrival.kind == RequestKind::Online {
                self.end(request, RequestOutcome::Failed);
            }
        }
    }

    pub(super) fn end_outage(&mut self) {
        self.is_down = false;
        for request in 0..self.states.len() {
            let has_come = self.scenario.requests[request].at_us <= self.now_us;
            if has_come && !self.states[request].is_over {
                self.enqueue(request, None);
            }
        }
    }
}
