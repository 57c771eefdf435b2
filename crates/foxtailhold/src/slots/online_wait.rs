//! How long requests of callers wait for a slot, which of them are refused, and when their callers
//! should come back.

use crate::slots::pool::{Pool, count};
use crate::slots::queue::{QueueKey, QueuedRequest, queue_key};
use crate::slots::supply::OnlineSupply;
use crate::slots::{SlotDecision, SlotNotice, SlotRequest, Urgency};
use crate::time::MonoMs;

/// Interval at which the waits of queued callers are estimated again.
const REVIEW_INTERVAL_MS: u64 = 100;
/// A queued caller is refused if slots would have to become free this many times sooner than usual.
const HOPELESS_FACTOR: u64 = 2;

/// How long a request is likely to wait for a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedWait {
    /// `None` if nothing tells when a backend server accepts requests.
    wait_ms: Option<u64>,
    /// Time between two slots that become free.
    interval_ms: u64,
}

impl ExpectedWait {
    /// Whether it is known to be longer than `limit_ms`.
    pub(super) fn exceeds(self, limit_ms: u64) -> bool {
        self.wait_ms.is_some_and(|wait_ms| wait_ms > limit_ms)
    }
}

impl Pool {
    /// The slots that requests of callers may get, without the queue for them. Only those that are
    /// ready if `is_ready_only`.
    fn online_supply(&self, now: MonoMs, is_ready_only: bool) -> OnlineSupply<'_> {
        let held_ms = self.held_ms(now);
        let mut supply = OnlineSupply::new(held_ms);
        for backend in self.backends.values() {
            let usable = u64::from(backend.usable(now));
            let mut ready = u64::from(backend.free(now));
            if usable > 0 {
                ready += count(backend.grants.values(), |g| g.urgency == Urgency::Batch);
            }
            let slots = (ready, usable);
            match is_ready_only {
                true => supply.add_backend(&backend.config.version, slots, std::iter::empty()),
                false => {
                    let returns_ms = backend.online_returns_ms(now, held_ms);
                    supply.add_backend(&backend.config.version, slots, returns_ms);
                }
            }
        }
        supply
    }

    /// Time in ms for which a request of a caller is likely to hold a slot. Before the first one has
    /// ended, it is at least as long as the present ones have.
    fn held_ms(&self, now: MonoMs) -> u64 {
        if let Some(mean_ms) = self.service_time.mean_ms() {
            return mean_ms as u64;
        }
        let grants = self.backends.values().flat_map(|b| b.grants.values());
        let online = grants.filter(|grant| grant.urgency != Urgency::Batch);
        let held_ms = online.map(|grant| now.since_ms(grant.granted_at));
        held_ms.max().unwrap_or(0)
    }

    /// How long a new request of a caller is likely to wait, if it has to be refused: its caller would
    /// leave before, or it would take the turn of one of its rank who has time for no later one.
    pub(super) fn refusal(&self, now: MonoMs, request: &SlotRequest) -> Option<ExpectedWait> {
        let version = request.version.as_ref();
        let key = queue_key(now, request, now + request.slack_ms);
        let mut ready = self.online_supply(now, true);
        self.add_ahead_of(&mut ready, now, key);
        if ready.is_ready(version) {
            return None;
        }
        let mut supply = self.online_supply(now, false);
        self.add_ahead_of(&mut supply, now, key);
        let wait = self.wait_in(&supply, now, request);
        if wait.exceeds(request.slack_ms) {
            return Some(wait);
        }
        let mut with_new = supply.clone();
        with_new.add_ahead(version);
        let same_rank = |waiting: &&QueuedRequest| {
            let other = waiting.key(now);
            other > key && (other.0, other.1, other.2) == (key.0, key.1, key.2)
        };
        let mut behind: Vec<&QueuedRequest> = self.waiting.iter().filter(same_rank).collect();
        behind.sort_by_key(|waiting| waiting.key(now));
        for waiting in behind {
            let left_ms = waiting.slack_until.since_ms(now);
            let delayed = self.wait_in(&with_new, now, &waiting.request);
            let undelayed = self.wait_in(&supply, now, &waiting.request);
            if delayed.exceeds(left_ms) && !undelayed.exceeds(left_ms) {
                return Some(delayed);
            }
            let version = waiting.request.version.as_ref();
            supply.add_ahead(version);
            with_new.add_ahead(version);
        }
        None
    }

    fn add_ahead_of(&self, supply: &mut OnlineSupply<'_>, now: MonoMs, key: QueueKey) {
        for waiting in &self.waiting {
            if waiting.key(now) <= key {
                supply.add_ahead(waiting.request.version.as_ref());
            }
        }
    }

    fn wait_in(
        &self,
        supply: &OnlineSupply<'_>,
        now: MonoMs,
        request: &SlotRequest,
    ) -> ExpectedWait {
        let interval_ms = supply.held_ms() / supply.usable().max(1);
        if let Some(wait_ms) = supply.wait_ms(request.version.as_ref()) {
            return ExpectedWait {
                wait_ms: Some(wait_ms),
                interval_ms,
            };
        }
        let version = request.version.as_ref();
        let backends = self.backends.values();
        let eligible = backends.filter(|b| version.is_none_or(|v| b.config.version == *v));
        let usable_at = eligible.filter_map(|b| b.usable_at(now)).min();
        ExpectedWait {
            wait_ms: usable_at.map(|at| at.since_ms(now)),
            interval_ms,
        }
    }

    /// When a refused caller should come back: while others are still ahead of him, so that he is in
    /// the queue when his slot becomes free, and after those who were told before.
    pub(super) fn assign_return(
        &mut self,
        now: MonoMs,
        request: &SlotRequest,
        wait: ExpectedWait,
    ) -> u64 {
        let Urgency::Online { priority } = request.urgency else {
            return 0;
        };
        let earliest_ms = wait.wait_ms.unwrap_or(request.slack_ms);
        let earliest_ms = earliest_ms.saturating_sub(request.slack_ms / 2);
        self.returns
            .assign(now, priority, earliest_ms, wait.interval_ms)
    }

    /// Refuses the queued callers whose time to wait is over, or who cannot get a slot within it.
    pub(super) fn refuse_hopeless(&mut self, now: MonoMs, decisions: &mut Vec<SlotNotice>) {
        let is_review = now >= self.next_review_at;
        if is_review {
            self.next_review_at = now + REVIEW_INTERVAL_MS;
        }
        let is_due = |waiting: &QueuedRequest| {
            waiting.request.urgency.is_of_caller() && (is_review || waiting.slack_until <= now)
        };
        if !self.waiting.iter().any(is_due) {
            return;
        }
        let mut supply = self.online_supply(now, false);
        let mut refused = Vec::new();
        for waiting in &self.waiting {
            if waiting.request.urgency == Urgency::Batch {
                continue;
            }
            let wait = self.wait_in(&supply, now, &waiting.request);
            let left_ms = waiting.slack_until.since_ms(now);
            let is_hopeless = left_ms == 0 || wait.exceeds(HOPELESS_FACTOR * left_ms);
            if waiting.request.urgency.is_of_caller() && is_hopeless {
                refused.push((waiting.request.clone(), wait));
                continue;
            }
            supply.add_ahead(waiting.request.version.as_ref());
        }
        for (request, wait) in refused {
            self.waiting
                .retain(|waiting| waiting.request.id != request.id);
            let retry_after_ms = self.assign_return(now, &request, wait);
            decisions.push(SlotNotice {
                request: request.id,
                decision: Some(SlotDecision::Refused { retry_after_ms }),
            });
        }
    }
}
