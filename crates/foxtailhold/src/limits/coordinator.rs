//! The home's side: divides customers' limits among the instances that ask.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{CustomerId, InstanceId};
use crate::limits::{
    Credit, CustomerLimits, Demand, FAST_RENEWAL_MS, FULL_SHARE_PPM, LEASE_MS, MembershipViews,
    Share, ShareClaim, ShareGrant, ShareRequest, TokenBucket, max_min,
};
use crate::time::MonoMs;

/// One part in this many is kept for an instance that asks for the first time.
const SPARE_DIVISOR: u32 = 16;
/// A holder is granted this much more than it used, in percent.
const HEADROOM_PERCENT: f64 = 125.0;
/// A share that misses its target by less than this is not worth another exchange.
const HURRY_PPM: u32 = FULL_SHARE_PPM / 20;

/// What one instance may be holding. Until it asks again it may not have had the last answer, so
/// the larger of old and new counts.
#[derive(Debug, Clone)]
struct Held {
    number: u64,
    before: Share,
    granted: Share,
    demand: Demand,
    expires_at: MonoMs,
    /// More is due to it than was free.
    short: bool,
}

impl Held {
    fn counted(&self) -> Share {
        let mut share = self.before.max(self.granted);
        share.slots = share.slots.max(self.demand.in_flight);
        share
    }
}

/// One customer's limits at its home. The buckets hold what is not granted.
#[derive(Debug, Clone)]
struct Division {
    terms: CustomerLimits,
    budget: Share,
    holders: BTreeMap<InstanceId, Held>,
    requests: TokenBucket,
    tokens: TokenBucket,
    /// When holders were last told to give room.
    recalled_at: Option<MonoMs>,
}

impl Division {
    /// Whether a holder other than `from` is short of what is due to it.
    fn short_beside(&self, from: &InstanceId) -> bool {
        let mut others = self.holders.iter().filter(|(id, _)| *id != from);
        others.any(|(_, held)| held.short)
    }

    /// What may be given of `free`: the last of it goes by halves, so that whoever comes next
    /// finds some.
    fn giveable(&self, free: Share) -> Share {
        let half = |free: u32, whole: u32| free - free.min(whole / SPARE_DIVISOR) / 2;
        Share {
            requests_ppm: half(free.requests_ppm, self.budget.requests_ppm),
            tokens_ppm: half(free.tokens_ppm, self.budget.tokens_ppm),
            slots: half(free.slots, self.budget.slots),
        }
    }

    /// How many instances there are as far as this one knows; whoever asks is one, also before the
    /// list and gossip show it.
    fn instances(&self, views: &MembershipViews) -> u32 {
        let others = self.holders.keys().filter(|id| !views.is_me(id)).count();
        views.listed().max(others as u32 + 1)
    }

    /// What is due to a holder of `held` while another home's grants may be valid: its share is
    /// confirmed, shrinks only to make room, and is raised to `part` where it is below.
    fn due_beside_another(&self, from: &InstanceId, held: Share, part: Share) -> Share {
        let kept = match self.short_beside(from) {
            true => held.min(self.target(from)),
            false => held,
        };
        kept.max(part)
    }

    fn counted(&self) -> Share {
        let mut sum = Share::default();
        for held in self.holders.values() {
            sum = sum.plus(held.counted());
        }
        sum
    }

    /// Drops the shares that have lapsed.
    fn expire(&mut self, now: MonoMs) {
        let before = self.holders.len();
        self.holders.retain(|_, held| held.expires_at > now);
        if self.holders.len() < before {
            self.keep_rest(now);
        }
    }

    /// Sets the buckets to what the budget leaves, and returns it.
    fn keep_rest(&mut self, now: MonoMs) -> Share {
        let free = self.budget.minus(self.counted());
        free.fill(&self.terms, &mut self.requests, &mut self.tokens, now);
        free
    }

    /// What gathered here before another home granted shares is not given a second time.
    fn drop_level(&mut self, now: MonoMs) {
        self.requests.drain(now);
        self.tokens.drain(now);
    }

    fn target(&self, from: &InstanceId) -> Share {
        let (terms, budget) = (&self.terms, self.budget);
        let of = |whole: u32, wanted: fn(&Demand, &CustomerLimits) -> u32| {
            let mut claims: Vec<ShareClaim> = Vec::with_capacity(self.holders.len());
            for (id, held) in &self.holders {
                claims.push(ShareClaim {
                    wanted: wanted(&held.demand, terms).min(whole),
                    asker: id == from,
                });
            }
            max_min(whole, whole / SPARE_DIVISOR, &mut claims)
        };
        Share {
            requests_ppm: of(budget.requests_ppm, wanted_requests_ppm),
            tokens_ppm: of(budget.tokens_ppm, wanted_tokens_ppm),
            slots: of(budget.slots, wanted_slots),
        }
    }

    /// Takes the part of the buckets out that goes with `gained` of `free`.
    fn credit(&mut self, gained: Share, free: Share, now: MonoMs) -> Credit {
        let ratio = |gained: u32, free: u32| f64::from(gained) / f64::from(free.max(1));
        let credit = Credit {
            requests: self.requests.level(now) * ratio(gained.requests_ppm, free.requests_ppm),
            tokens: self.tokens.level(now) * ratio(gained.tokens_ppm, free.tokens_ppm),
        };
        self.requests.take(credit.requests);
        self.tokens.take(credit.tokens);
        credit
    }
}

fn part(ppm: u32) -> f64 {
    f64::from(ppm) / f64::from(FULL_SHARE_PPM)
}

fn wanted_ppm(per_s: f64, limit_per_s: f64) -> u32 {
    let wanted = per_s * HEADROOM_PERCENT / 100.0 / limit_per_s;
    (wanted.clamp(0.0, 1.0) * f64::from(FULL_SHARE_PPM)) as u32
}

fn wanted_requests_ppm(demand: &Demand, terms: &CustomerLimits) -> u32 {
    wanted_ppm(demand.requests_per_s, terms.requests_per_s)
}

fn wanted_tokens_ppm(demand: &Demand, terms: &CustomerLimits) -> u32 {
    wanted_ppm(demand.tokens_per_s, terms.tokens_per_s)
}

fn wanted_slots(demand: &Demand, _: &CustomerLimits) -> u32 {
    let wanted = f64::from(demand.slots.max(1)) * HEADROOM_PERCENT / 100.0;
    wanted.ceil() as u32
}

/// The limits of all customers whose home is one instance. Customers at rest take no memory.
#[derive(Debug, Clone, Default)]
pub struct LimitCoordinator {
    divisions: HashMap<CustomerId, Division>,
}

impl LimitCoordinator {
    /// Answers an ask; `None` where this instance is not the home or the ask is outdated.
    ///
    /// A share is only raised out of what is free; one that is held shrinks to its target at most,
    /// also where more is granted than there is since the budget shrank.
    ///
    /// While grants of another home may be valid, each instance is due the nth part that it would
    /// fall back to, and a share held above it is confirmed unless another one lacks room.
    pub fn ask(
        &mut self,
        from: &InstanceId,
        ask: &ShareRequest,
        terms: &CustomerLimits,
        views: &MembershipViews,
        now: MonoMs,
    ) -> Option<ShareGrant> {
        if !views.is_coordinator(&ask.customer) {
            return None;
        }
        let budget = Share::part(terms, views.live(), views.listed());
        let foreign = views.foreign_grants_until(&ask.customer) > now;
        let division = self.division(&ask.customer, terms, foreign, now);
        let known = division.holders.get(from);
        if known.is_some_and(|known| known.number >= ask.number) {
            return None;
        }
        if foreign {
            division.drop_level(now);
        }
        (division.terms, division.budget) = (*terms, budget);
        division.expire(now);
        division.holders.remove(from);
        let available = budget.minus(division.counted());
        if let Some(demand) = ask.demand {
            let held = Held {
                number: ask.number,
                before: ask.held,
                granted: Share::default(),
                demand,
                expires_at: now + LEASE_MS,
                short: false,
            };
            division.holders.insert(from.clone(), held);
        }
        let free = division.keep_rest(now);
        division.requests.give(ask.returned.requests);
        division.tokens.give(ask.returned.tokens);
        ask.demand?;
        let room = available.minus(ask.held);
        let (target, room) = match foreign {
            false => (division.target(from), division.giveable(room)),
            true => {
                let part = Share::part(terms, 1, division.instances(views));
                (division.due_beside_another(from, ask.held, part), room)
            }
        };
        let share = target.min(ask.held.plus(room));
        let gained = share.minus(ask.held);
        let credit = match foreign {
            false => division.credit(gained.min(free), free, now),
            true => Credit {
                requests: terms.burst_requests * part(gained.requests_ppm),
                tokens: terms.burst_tokens * part(gained.tokens_ppm),
            },
        };
        let rising = far(target, share);
        if let Some(held) = division.holders.get_mut(from) {
            (held.granted, held.short) = (share, rising);
        }
        division.keep_rest(now);
        Some(ShareGrant {
            customer: ask.customer.clone(),
            number: ask.number,
            share,
            credit,
            renew_soon: rising || far(ask.held, share),
            rising,
        })
    }

    /// The holders that should ask at once, since they hold more than is due to them and another
    /// one lacks room. They are named once in [`FAST_RENEWAL_MS`].
    pub fn recall(&mut self, customer: &CustomerId, now: MonoMs) -> Vec<InstanceId> {
        let Some(division) = self.divisions.get_mut(customer) else {
            return Vec::new();
        };
        let again = |at: MonoMs| now.since_ms(at) < FAST_RENEWAL_MS;
        let short = division.holders.values().any(|held| held.short);
        if !short || division.recalled_at.is_some_and(again) {
            return Vec::new();
        }
        division.recalled_at = Some(now);
        let mut above = Vec::new();
        for (id, held) in &division.holders {
            if !held.short && far(held.granted, division.target(id)) {
                above.push(id.clone());
            }
        }
        above
    }

    /// Forgets customers at rest: none holds a share and all has flowed back.
    pub fn sweep(&mut self, now: MonoMs) {
        self.divisions.retain(|_, division| {
            division.expire(now);
            !division.holders.is_empty()
                || !division.requests.is_full(now)
                || !division.tokens.is_full(now)
        });
    }

    /// Customers that take memory.
    pub fn len(&self) -> usize {
        self.divisions.len()
    }

    /// Whether no customer takes memory.
    pub fn is_empty(&self) -> bool {
        self.divisions.is_empty()
    }

    fn division(
        &mut self,
        customer: &CustomerId,
        terms: &CustomerLimits,
        foreign: bool,
        now: MonoMs,
    ) -> &mut Division {
        let full = if foreign { 0.0 } else { 1.0 };
        self.divisions
            .entry(customer.clone())
            .or_insert_with(|| Division {
                terms: *terms,
                budget: Share::default(),
                holders: BTreeMap::new(),
                requests: TokenBucket::new(
                    terms.requests_per_s,
                    terms.burst_requests,
                    terms.burst_requests * full,
                    now,
                ),
                tokens: TokenBucket::new(
                    terms.tokens_per_s,
                    terms.burst_tokens,
                    terms.burst_tokens * full,
                    now,
                ),
                recalled_at: None,
            })
    }
}

/// Whether `share` misses `wanted` by so much that the holder should ask again soon.
fn far(wanted: Share, share: Share) -> bool {
    let missing = wanted.minus(share);
    missing.requests_ppm > HURRY_PPM || missing.tokens_ppm > HURRY_PPM || missing.slots > 0
}
