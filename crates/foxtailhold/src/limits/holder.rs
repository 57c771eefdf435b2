//! Holder side: one customer's limits on one instance.

use crate::admission::ServiceTime;
use crate::ids::CustomerId;
use crate::limits::{
    Credit, CustomerLimits, Demand, EXCHANGE_MS, FAST_RENEWAL_MS, IDLE_MS, LEASE_MS, Share,
    ShareGrant, ShareRequest, TokenBucket,
};
use crate::time::MonoMs;

/// Retry time for a request that is refused because all slots are in use, while it is not known how
/// long requests take.
const SLOT_RETRY_AFTER_MS: u64 = 500;
/// Shortest period over which demand is measured.
const MIN_PERIOD_MS: u64 = 200;
/// Longest time that requests wait for other holders to free capacity, which those do at their next
/// renewal.
const CAPACITY_WAIT_MS: u64 = EXCHANGE_MS + 2 * FAST_RENEWAL_MS;
/// Renewal period while requests wait for capacity. The coordinator has recalled the other
/// holders' shares by then.
const CAPACITY_RENEWAL_MS: u64 = 50;
/// A share request without a response after this time counts as lost.
pub const RESPONSE_TIMEOUT_MS: u64 = 600;

/// One of the limits of a contract.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Requests in flight.
    Slots,
}

/// Decision on a request under the customer's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// The request is within the limits.
    Admitted,
    /// The coordinator has not responded for this customer yet, or is raising the share. Decide
    /// again with [`ShareHolder::admit_again`] when it has responded, or call
    /// [`ShareHolder::fall_back`] after a short wait.
    Wait,
    /// The request exceeds a limit.
    Over {
        /// The limit that is exceeded.
        limit: LimitKind,
        /// Time in ms until capacity should be available.
        after_ms: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShareState {
    AwaitingGrant,
    Granted { until: MonoMs },
    Fallback,
    Released,
}

#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    number: u64,
    at: MonoMs,
}

#[derive(Debug, Clone, Copy, Default)]
struct MeasuredDemand {
    requests: f64,
    tokens: f64,
    slots: u32,
}

/// One customer's limits on one instance.
#[derive(Debug, Clone)]
pub struct ShareHolder {
    state: ShareState,
    share: Share,
    requests: TokenBucket,
    tokens: TokenBucket,
    in_flight: u32,
    service_time: ServiceTime,
    measured: MeasuredDemand,
    measured_since: MonoMs,
    last_demand: Demand,
    used_at: MonoMs,
    pending: Option<PendingRequest>,
    requested_at: MonoMs,
    next_request_at: MonoMs,
    /// Requests wait until this time for capacity. Set while the coordinator reports that the
    /// target share is larger than what other holders have freed.
    wait_until: Option<MonoMs>,
}

impl ShareHolder {
    /// Creates the state of a customer without requests on this instance.
    pub fn new(now: MonoMs) -> Self {
        ShareHolder {
            state: ShareState::Released,
            share: Share::default(),
            requests: TokenBucket::new(0.0, 0.0, 0.0, now),
            tokens: TokenBucket::new(0.0, 0.0, 0.0, now),
            in_flight: 0,
            service_time: ServiceTime::default(),
            measured: MeasuredDemand::default(),
            measured_since: now,
            last_demand: Demand::default(),
            used_at: now,
            pending: None,
            requested_at: now,
            next_request_at: now,
            wait_until: None,
        }
    }

    /// Decides on a request that is charged `tokens`. `listed` is the number of all instances.
    pub fn admit(
        &mut self,
        limits: &CustomerLimits,
        listed: u32,
        tokens: f64,
        now: MonoMs,
    ) -> LimitDecision {
        self.measured.requests += 1.0;
        self.measured.tokens += tokens;
        self.measured.slots = self.measured.slots.max(self.in_flight + 1);
        self.admit_again(limits, listed, tokens, now)
    }

    /// Decides again on a request that had to wait; it is not counted as new demand.
    pub fn admit_again(
        &mut self,
        limits: &CustomerLimits,
        listed: u32,
        tokens: f64,
        now: MonoMs,
    ) -> LimitDecision {
        self.used_at = now;
        self.expire(limits, listed, now);
        let is_waiting = self.wait_until.map(|until| until > now);
        if matches!(self.state, ShareState::AwaitingGrant | ShareState::Released) {
            self.state = ShareState::AwaitingGrant;
            let (limit, after_ms) = (LimitKind::Requests, EXCHANGE_MS);
            return match is_waiting {
                Some(false) => LimitDecision::Over { limit, after_ms },
                _ => LimitDecision::Wait,
            };
        }
        if let Some((limit, after_ms)) = self.exceeded_limit(now) {
            if is_waiting == Some(true) {
                return LimitDecision::Wait;
            }
            if self.demand_grew() {
                self.next_request_at = self
                    .next_request_at
                    .min(self.requested_at + FAST_RENEWAL_MS);
            }
            return LimitDecision::Over { limit, after_ms };
        }
        self.requests.take(1.0);
        self.tokens.take(tokens);
        self.in_flight += 1;
        LimitDecision::Admitted
    }

    /// Ends an admitted request, which held its slot for `held_ms`. `unused_tokens` is the charge minus
    /// the generated tokens, negative if more were generated.
    pub fn finish(&mut self, unused_tokens: f64, held_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.service_time.record(held_ms);
        self.tokens.give(unused_tokens);
    }

    /// Continues on the fallback share if the coordinator has never responded.
    pub fn fall_back(&mut self, limits: &CustomerLimits, listed: u32, now: MonoMs) {
        if self.state != ShareState::AwaitingGrant || self.wait_until.is_some() {
            return;
        }
        self.state = ShareState::Fallback;
        self.set_share(Share::part(limits, 1, listed), limits, now);
        self.requests.give(limits.burst_requests);
        self.tokens.give(limits.burst_tokens);
    }

    /// The share request that is due, if any. It is sent once, to the coordinator at that time.
    pub fn due_request(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerLimits,
        number: u64,
        now: MonoMs,
    ) -> Option<ShareRequest> {
        if self
            .pending
            .is_some_and(|a| now.since_ms(a.at) < RESPONSE_TIMEOUT_MS)
            || now < self.next_request_at
        {
            return None;
        }
        if self.state == ShareState::Released {
            return None;
        }
        if self.is_idle(now) {
            return self.release(customer, number, now);
        }
        let held = self.held(now);
        self.pending = Some(PendingRequest { number, at: now });
        self.requested_at = now;
        self.next_request_at = now + EXCHANGE_MS;
        Some(ShareRequest {
            customer: customer.clone(),
            number,
            held,
            demand: Some(self.demand(limits, now)),
            returned: Credit::default(),
        })
    }

    /// Applies a grant. Only the response to the last share request counts.
    pub fn granted(&mut self, limits: &CustomerLimits, grant: &ShareGrant, now: MonoMs) {
        let Some(pending) = self
            .pending
            .filter(|pending| pending.number == grant.number)
        else {
            return;
        };
        self.pending = None;
        let until = pending.at + LEASE_MS;
        if until <= now {
            return;
        }
        let held = self.held(now);
        let wait_deadline = self.wait_until.unwrap_or(now + CAPACITY_WAIT_MS);
        let lacks_capacity = grant.rising || grant.share.is_empty();
        self.wait_until = lacks_capacity.then_some(wait_deadline);
        if grant.share.is_empty() && held.is_empty() {
            self.state = ShareState::AwaitingGrant;
            self.next_request_at = now + CAPACITY_RENEWAL_MS;
            return;
        }
        let first = !matches!(self.state, ShareState::Granted { .. });
        if first {
            self.clear_credit(now);
        }
        self.state = ShareState::Granted { until };
        self.set_share(grant.share, limits, now);
        self.requests.give(grant.credit.requests);
        self.tokens.give(grant.credit.tokens);
        if grant.share.max(held) != grant.share {
            self.next_request_at = now;
        } else if grant.rising && wait_deadline > now {
            self.next_request_at = now + CAPACITY_RENEWAL_MS;
        } else if first || grant.renew_soon {
            self.next_request_at = pending.at + FAST_RENEWAL_MS;
        }
    }

    /// Makes a renewal due at once, since another holder lacks capacity.
    pub fn recalled(&mut self, now: MonoMs) {
        self.next_request_at = self.next_request_at.min(now);
    }

    /// Records that a share request got no response.
    pub fn not_answered(&mut self, number: u64, now: MonoMs) {
        if self.pending.is_some_and(|pending| pending.number == number) {
            self.pending = None;
            self.next_request_at = now + FAST_RENEWAL_MS;
            if self.state == ShareState::AwaitingGrant {
                self.wait_until = None;
            }
        }
    }

    /// Whether the instance can decide without waiting for the coordinator's first response.
    pub fn is_settled(&self) -> bool {
        self.state != ShareState::AwaitingGrant
    }

    /// Whether the state can be dropped: no request is in flight, and a new state would admit no
    /// more than this one.
    pub fn is_forgettable(&mut self, now: MonoMs) -> bool {
        let full = self.requests.is_full(now) && self.tokens.is_full(now);
        match self.state {
            ShareState::Released => self.in_flight == 0,
            ShareState::Fallback => self.is_idle(now) && full,
            ShareState::AwaitingGrant => self.is_idle(now),
            ShareState::Granted { .. } => false,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the fallback share is in use, because there is no grant or its lease has expired.
    pub fn in_fallback(&self, now: MonoMs) -> bool {
        match self.state {
            ShareState::Fallback => true,
            ShareState::Granted { until } => until <= now,
            ShareState::AwaitingGrant | ShareState::Released => false,
        }
    }

    /// The share in use.
    pub fn share(&self) -> Share {
        self.share
    }

    fn exceeded_limit(&mut self, now: MonoMs) -> Option<(LimitKind, u64)> {
        if self.in_flight >= self.share.slots {
            return Some((LimitKind::Slots, self.slot_return_ms()));
        }
        let wait_ms = self.requests.wait_ms(0.0, now);
        if wait_ms > 0 {
            return Some((LimitKind::Requests, wait_ms));
        }
        match self.tokens.wait_ms(f64::EPSILON, now) {
            0 => None,
            wait_ms => Some((LimitKind::Tokens, wait_ms)),
        }
    }

    /// Time in ms after which one of the slots in use is likely to be free.
    fn slot_return_ms(&self) -> u64 {
        let mean_ms = self.service_time.mean_ms();
        mean_ms.map_or(SLOT_RETRY_AFTER_MS, |mean_ms| {
            (mean_ms / f64::from(self.in_flight.max(1))) as u64
        })
    }

    /// The share under a valid grant, empty without one.
    fn held(&self, now: MonoMs) -> Share {
        match self.state {
            ShareState::Granted { until } if until > now => self.share,
            _ => Share::default(),
        }
    }

    /// Whether the demand exceeds the one last reported to the coordinator.
    fn demand_grew(&self) -> bool {
        let (measured, last) = (&self.measured, &self.last_demand);
        measured.requests > last.requests_per_s
            || measured.tokens > last.tokens_per_s
            || measured.slots > last.slots
    }

    fn is_idle(&self, now: MonoMs) -> bool {
        self.in_flight == 0 && now.since_ms(self.used_at) >= IDLE_MS
    }

    fn expire(&mut self, limits: &CustomerLimits, listed: u32, now: MonoMs) {
        if let ShareState::Granted { until } = self.state
            && until <= now
        {
            self.state = ShareState::Fallback;
            self.set_share(Share::part(limits, 1, listed), limits, now);
        }
    }

    fn set_share(&mut self, share: Share, limits: &CustomerLimits, now: MonoMs) {
        self.share = share;
        share.apply_to_buckets(limits, &mut self.requests, &mut self.tokens, now);
    }

    fn clear_credit(&mut self, now: MonoMs) {
        self.requests.drain(now);
        self.tokens.drain(now);
    }

    fn release(&mut self, customer: &CustomerId, number: u64, now: MonoMs) -> Option<ShareRequest> {
        let ShareState::Granted { until } = self.state else {
            return None;
        };
        self.state = ShareState::Released;
        self.wait_until = None;
        self.share = Share::default();
        let mut returned = Credit::default();
        if until > now {
            returned.requests = self.requests.level(now);
            returned.tokens = self.tokens.level(now);
        }
        self.pending = None;
        self.requests = TokenBucket::new(0.0, 0.0, 0.0, now);
        self.tokens = TokenBucket::new(0.0, 0.0, 0.0, now);
        Some(ShareRequest {
            customer: customer.clone(),
            number,
            held: Share::default(),
            demand: None,
            returned,
        })
    }

    /// Demand since the last measurement. It falls by half at most, so that one quiet period does
    /// not cost the share. Within a period below [`MIN_PERIOD_MS`] it can only rise.
    fn demand(&mut self, limits: &CustomerLimits, now: MonoMs) -> Demand {
        let period_ms = now.since_ms(self.measured_since);
        let is_full_period = period_ms >= MIN_PERIOD_MS;
        let period_s = period_ms.max(MIN_PERIOD_MS) as f64 / 1_000.0;
        let last = self.last_demand;
        let (min_factor, divisor) = if is_full_period { (0.5, 2) } else { (1.0, 1) };
        let requests_per_s = self.measured.requests / period_s;
        let tokens_per_s = self.measured.tokens / period_s;
        let demand = Demand {
            requests_per_s: requests_per_s
                .max(last.requests_per_s * min_factor)
                .min(limits.requests_per_s),
            tokens_per_s: tokens_per_s
                .max(last.tokens_per_s * min_factor)
                .min(limits.tokens_per_s),
            slots: self
                .measured
                .slots
                .max(last.slots / divisor)
                .max(self.in_flight),
            in_flight: self.in_flight,
        };
        self.last_demand = demand;
        if is_full_period {
            self.measured = MeasuredDemand::default();
            self.measured_since = now;
        }
        demand
    }
}
