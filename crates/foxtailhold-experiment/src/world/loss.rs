//! The loss of all instances, and their return.

use crate::arrivals::Kind;
use crate::placement::Placement;
use crate::statistics::Fate;
use crate::world::World;

/// Events of an unfinished item are kept in pieces of so many, as owners of jobs do.
const PIECE_EVENTS: u64 = 40;

impl<P: Placement> World<'_, P> {
    pub(super) fn lose_all(&mut self) {
        self.is_away = true;
        self.policy.restart(self.now_us);
        let piece_tokens = PIECE_EVENTS * self.run.sheet.engine.tokens_per_event;
        for request in 0..self.lives.len() {
            let arrival = self.run.requests[request];
            let life = self.lives[request];
            if life.is_over || arrival.at_us > self.now_us {
                continue;
            }
            if let Some(engine) = self.lives[request].engine.take() {
                let given = self.engines[engine].cancel(self.now_us, request);
                let kept = (life.given_tokens + given) / piece_tokens * piece_tokens;
                self.lives[request].given_tokens = kept;
            }
            if arrival.kind == Kind::Online {
                self.end(request, Fate::Failed);
            }
        }
    }

    pub(super) fn come_back(&mut self) {
        self.is_away = false;
        for request in 0..self.lives.len() {
            let has_come = self.run.requests[request].at_us <= self.now_us;
            if has_come && !self.lives[request].is_over {
                self.offer(request, None);
            }
        }
    }
}
