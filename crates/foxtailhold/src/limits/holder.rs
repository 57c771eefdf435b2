//! The holder's side: one customer's limits on one instance.

use crate::ids::CustomerId;
use crate::limits::{
    Credit, CustomerLimits, Demand, EXCHANGE_MS, FAST_RENEWAL_MS, IDLE_MS, LEASE_MS, Share,
    ShareGrant, ShareRequest, TokenBucket,
};
use crate::time::MonoMs;

/// When to come back after all slots were taken.
const SLOT_RETRY_AFTER_MS: u64 = 500;
/// Demand is counted over at least this time.
const LEAST_PERIOD_MS: u64 = 200;
/// Requests wait at most this long for other holders to give room, which they do when they ask.
const NO_ROOM_WAIT_MS: u64 = EXCHANGE_MS + 2 * FAST_RENEWAL_MS;
/// While requests wait for room the home is asked this often; it has told the others to give.
const NO_ROOM_ASK_MS: u64 = 50;
/// An ask that was not answered for this time is given up.
pub const RESPONSE_TIMEOUT_MS: u64 = 600;

/// One of a contract's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests a second.
    Requests,
    /// Tokens a second.
    Tokens,
    /// Requests in flight.
    Slots,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// It is within the limits.
    Admitted,
    /// The home has not answered for this customer yet, or raises its share: decide again with
    /// [`ShareHolder::admit_again`] when it has answered, or after a short wait call
    /// [`ShareHolder::fall_back`].
    Wait,
    /// It is over a limit.
    Over {
        /// Which.
        limit: LimitKind,
        /// When there should be room.
        after_ms: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Fresh,
    Granted { until: MonoMs },
    Fallback,
    Released,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    number: u64,
    at: MonoMs,
}

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    requests: f64,
    tokens: f64,
    slots: u32,
}

/// One customer's limits on one instance.
#[derive(Debug, Clone)]
pub struct ShareHolder {
    standing: Standing,
    share: Share,
    requests: TokenBucket,
    tokens: TokenBucket,
    in_flight: u32,
    seen: Seen,
    seen_since: MonoMs,
    last_demand: Demand,
    used_at: MonoMs,
    asked: Option<Asked>,
    asked_at: MonoMs,
    ask_at: MonoMs,
    /// Until when requests wait for room, while the home has answered that more is due than others
    /// have given so far.
    no_room_until: Option<MonoMs>,
}

impl ShareHolder {
    /// A customer without requests here so far.
    pub fn new(now: MonoMs) -> Self {
        ShareHolder {
            standing: Standing::Released,
            share: Share::default(),
            requests: TokenBucket::new(0.0, 0.0, 0.0, now),
            tokens: TokenBucket::new(0.0, 0.0, 0.0, now),
            in_flight: 0,
            seen: Seen::default(),
            seen_since: now,
            last_demand: Demand::default(),
            used_at: now,
            asked: None,
            asked_at: now,
            ask_at: now,
            no_room_until: None,
        }
    }

    /// Decides on a request that is charged `tokens`; `listed` is the number of all instances.
    pub fn admit(
        &mut self,
        terms: &CustomerLimits,
        listed: u32,
        tokens: f64,
        now: MonoMs,
    ) -> LimitDecision {
        self.seen.requests += 1.0;
        self.seen.tokens += tokens;
        self.seen.slots = self.seen.slots.max(self.in_flight + 1);
        self.admit_again(terms, listed, tokens, now)
    }

    /// Decides on a request that was told to wait: its demand is counted already.
    pub fn admit_again(
        &mut self,
        terms: &CustomerLimits,
        listed: u32,
        tokens: f64,
        now: MonoMs,
    ) -> LimitDecision {
        self.used_at = now;
        self.lapse(terms, listed, now);
        let waits = self.no_room_until.map(|until| until > now);
        if matches!(self.standing, Standing::Fresh | Standing::Released) {
            self.standing = Standing::Fresh;
            let (limit, after_ms) = (LimitKind::Requests, EXCHANGE_MS);
            return match waits {
                Some(false) => LimitDecision::Over { limit, after_ms },
                _ => LimitDecision::Wait,
            };
        }
        if let Some((limit, after_ms)) = self.over(now) {
            if waits == Some(true) {
                return LimitDecision::Wait;
            }
            if self.demand_grew() {
                self.ask_at = self.ask_at.min(self.asked_at + FAST_RENEWAL_MS);
            }
            return LimitDecision::Over { limit, after_ms };
        }
        self.requests.take(1.0);
        self.tokens.take(tokens);
        self.in_flight += 1;
        LimitDecision::Admitted
    }

    /// Ends an admitted request: `unused` is what was charged and not generated, negative where
    /// more was.
    pub fn finish(&mut self, unused_tokens: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens.give(unused_tokens);
    }

    /// Goes on without a home's answer, where there has been none.
    pub fn fall_back(&mut self, terms: &CustomerLimits, listed: u32, now: MonoMs) {
        if self.standing != Standing::Fresh || self.no_room_until.is_some() {
            return;
        }
        self.standing = Standing::Fallback;
        self.set_share(Share::part(terms, 1, listed), terms, now);
        self.requests.give(terms.burst_requests);
        self.tokens.give(terms.burst_tokens);
    }

    /// The ask that is due, if one is. It is sent once, to the home as it is then.
    pub fn ask(
        &mut self,
        customer: &CustomerId,
        terms: &CustomerLimits,
        number: u64,
        now: MonoMs,
    ) -> Option<ShareRequest> {
        if self
            .asked
            .is_some_and(|a| now.since_ms(a.at) < RESPONSE_TIMEOUT_MS)
            || now < self.ask_at
        {
            return None;
        }
        if self.standing == Standing::Released {
            return None;
        }
        if self.is_idle(now) {
            return self.release(customer, number, now);
        }
        let held = self.held(now);
        self.asked = Some(Asked { number, at: now });
        self.asked_at = now;
        self.ask_at = now + EXCHANGE_MS;
        Some(ShareRequest {
            customer: customer.clone(),
            number,
            held,
            demand: Some(self.demand(terms, now)),
            returned: Credit::default(),
        })
    }

    /// Takes the home's answer in. Only the answer to the last ask counts.
    pub fn granted(&mut self, terms: &CustomerLimits, grant: &ShareGrant, now: MonoMs) {
        let Some(asked) = self.asked.filter(|asked| asked.number == grant.number) else {
            return;
        };
        self.asked = None;
        let until = asked.at + LEASE_MS;
        if until <= now {
            return;
        }
        let held = self.held(now);
        let waits_until = self.no_room_until.unwrap_or(now + NO_ROOM_WAIT_MS);
        let lacks_room = grant.rising || grant.share.is_empty();
        self.no_room_until = lacks_room.then_some(waits_until);
        if grant.share.is_empty() && held.is_empty() {
            self.standing = Standing::Fresh;
            self.ask_at = now + NO_ROOM_ASK_MS;
            return;
        }
        let first = !matches!(self.standing, Standing::Granted { .. });
        if first {
            self.drop_level(now);
        }
        self.standing = Standing::Granted { until };
        self.set_share(grant.share, terms, now);
        self.requests.give(grant.credit.requests);
        self.tokens.give(grant.credit.tokens);
        if grant.share.max(held) != grant.share {
            self.ask_at = now;
        } else if grant.rising && waits_until > now {
            self.ask_at = now + NO_ROOM_ASK_MS;
        } else if first || grant.renew_soon {
            self.ask_at = asked.at + FAST_RENEWAL_MS;
        }
    }

    /// Takes in that the home wants to be asked at once, since another holder lacks room.
    pub fn recalled(&mut self, now: MonoMs) {
        self.ask_at = self.ask_at.min(now);
    }

    /// Notes that the ask was not answered.
    pub fn not_answered(&mut self, number: u64, now: MonoMs) {
        if self.asked.is_some_and(|asked| asked.number == number) {
            self.asked = None;
            self.ask_at = now + FAST_RENEWAL_MS;
            if self.standing == Standing::Fresh {
                self.no_room_until = None;
            }
        }
    }

    /// Whether the home has answered or need not.
    pub fn is_settled(&self) -> bool {
        self.standing != Standing::Fresh
    }

    /// Whether it can be forgotten: nothing runs, and no more could be had by starting anew.
    pub fn is_forgettable(&mut self, now: MonoMs) -> bool {
        let full = self.requests.is_full(now) && self.tokens.is_full(now);
        match self.standing {
            Standing::Released => self.in_flight == 0,
            Standing::Fallback => self.is_idle(now) && full,
            Standing::Fresh => self.is_idle(now),
            Standing::Granted { .. } => false,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether it goes on without a home's grant: it has none, or the last one has lapsed.
    pub fn in_fallback(&self, now: MonoMs) -> bool {
        match self.standing {
            Standing::Fallback => true,
            Standing::Granted { until } => until <= now,
            Standing::Fresh | Standing::Released => false,
        }
    }

    /// The share in use.
    pub fn share(&self) -> Share {
        self.share
    }

    fn over(&mut self, now: MonoMs) -> Option<(LimitKind, u64)> {
        if self.in_flight >= self.share.slots {
            return Some((LimitKind::Slots, SLOT_RETRY_AFTER_MS));
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

    /// What a home has granted and has not lapsed.
    fn held(&self, now: MonoMs) -> Share {
        match self.standing {
            Standing::Granted { until } if until > now => self.share,
            _ => Share::default(),
        }
    }

    /// Whether more has come than the home was told of.
    fn demand_grew(&self) -> bool {
        let (seen, last) = (&self.seen, &self.last_demand);
        seen.requests > last.requests_per_s
            || seen.tokens > last.tokens_per_s
            || seen.slots > last.slots
    }

    fn is_idle(&self, now: MonoMs) -> bool {
        self.in_flight == 0 && now.since_ms(self.used_at) >= IDLE_MS
    }

    fn lapse(&mut self, terms: &CustomerLimits, listed: u32, now: MonoMs) {
        if let Standing::Granted { until } = self.standing
            && until <= now
        {
            self.standing = Standing::Fallback;
            self.set_share(Share::part(terms, 1, listed), terms, now);
        }
    }

    fn set_share(&mut self, share: Share, terms: &CustomerLimits, now: MonoMs) {
        self.share = share;
        share.fill(terms, &mut self.requests, &mut self.tokens, now);
    }

    fn drop_level(&mut self, now: MonoMs) {
        self.requests.drain(now);
        self.tokens.drain(now);
    }

    fn release(&mut self, customer: &CustomerId, number: u64, now: MonoMs) -> Option<ShareRequest> {
        let Standing::Granted { until } = self.standing else {
            return None;
        };
        self.standing = Standing::Released;
        self.no_room_until = None;
        self.share = Share::default();
        let mut returned = Credit::default();
        if until > now {
            returned.requests = self.requests.level(now);
            returned.tokens = self.tokens.level(now);
        }
        self.asked = None;
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

    /// Demand since it was last counted, falling by half at most, so that one quiet period does
    /// not cost the share. Within a short period it can only rise.
    fn demand(&mut self, terms: &CustomerLimits, now: MonoMs) -> Demand {
        let period_ms = now.since_ms(self.seen_since);
        let counts = period_ms >= LEAST_PERIOD_MS;
        let period_s = period_ms.max(LEAST_PERIOD_MS) as f64 / 1_000.0;
        let last = self.last_demand;
        let (least, divisor) = if counts { (0.5, 2) } else { (1.0, 1) };
        let requests_per_s = self.seen.requests / period_s;
        let tokens_per_s = self.seen.tokens / period_s;
        let demand = Demand {
            requests_per_s: requests_per_s
                .max(last.requests_per_s * least)
                .min(terms.requests_per_s),
            tokens_per_s: tokens_per_s
                .max(last.tokens_per_s * least)
                .min(terms.tokens_per_s),
            slots: self
                .seen
                .slots
                .max(last.slots / divisor)
                .max(self.in_flight),
            in_flight: self.in_flight,
        };
        self.last_demand = demand;
        if counts {
            self.seen = Seen::default();
            self.seen_since = now;
        }
        demand
    }
}
