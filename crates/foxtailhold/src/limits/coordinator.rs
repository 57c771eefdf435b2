//! Coordinator side: divides customers' limits among the instances that request shares.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{CustomerId, InstanceId};
use crate::limits::{
    Credit, CustomerLimits, Demand, FAST_RENEWAL_MS, FULL_SHARE_PPM, LEASE_MS, MembershipViews,
    Share, ShareClaim, ShareGrant, ShareRequest, TokenBucket, max_min,
};
use crate::time::MonoMs;

/// One part in this many is reserved for instances that request a share for the first time.
const SPARE_DIVISOR: u32 = 16;
/// A holder is granted this percentage of the demand that it reports.
const HEADROOM_PERCENT: f64 = 125.0;
/// A share that misses its target by less than this does not justify an early renewal.
const RENEWAL_THRESHOLD_PPM: u32 = FULL_SHARE_PPM / 20;

/// What one instance may be holding. Until its next request the instance may not have received the
/// last grant, so the larger of the old and the new share counts.
#[derive(Debug, Clone)]
struct HolderState {
    number: u64,
    before: Share,
    granted: Share,
    demand: Demand,
    expires_at: MonoMs,
    /// The target share was larger than what was free.
    below_target: bool,
}

impl HolderState {
    fn possible_share(&self) -> Share {
        let mut share = self.before.max(self.granted);
        share.slots = share.slots.max(self.demand.in_flight);
        share
    }
}

/// One customer's limits at the coordinator. The buckets hold the credit that belongs to no grant.
#[derive(Debug, Clone)]
struct Division {
    limits: CustomerLimits,
    budget: Share,
    holders: BTreeMap<InstanceId, HolderState>,
    requests: TokenBucket,
    tokens: TokenBucket,
    /// When holders were last recalled to renew early, to free capacity for another holder.
    recalled_at: Option<MonoMs>,
}

impl Division {
    /// Whether a holder other than `from` received less than its target.
    fn other_below_target(&self, from: &InstanceId) -> bool {
        let mut others = self.holders.iter().filter(|(id, _)| *id != from);
        others.any(|(_, held)| held.below_target)
    }

    /// What may be granted out of `free`. The last part is given out by halves, so that the next
    /// instance still finds some.
    fn grantable(&self, free: Share) -> Share {
        let half = |free: u32, whole: u32| free - free.min(whole / SPARE_DIVISOR) / 2;
        Share {
            requests_ppm: half(free.requests_ppm, self.budget.requests_ppm),
            tokens_ppm: half(free.tokens_ppm, self.budget.tokens_ppm),
            slots: half(free.slots, self.budget.slots),
        }
    }

    /// Number of known instances. Every instance that requests a share counts, even before the
    /// platform's list and gossip show it.
    fn instances(&self, views: &MembershipViews) -> u32 {
        let others = self.holders.keys().filter(|id| !views.is_me(id)).count();
        views.listed().max(others as u32 + 1)
    }

    /// Target for a holder of `held` while grants of another coordinator may be valid. The share is
    /// confirmed, shrinks only to free capacity for another holder, and is raised to `part` if it
    /// is below.
    fn target_beside_other_coordinator(
        &self,
        from: &InstanceId,
        held: Share,
        part: Share,
    ) -> Share {
        let kept = match self.other_below_target(from) {
            true => held.min(self.target(from)),
            false => held,
        };
        kept.max(part)
    }

    fn possible_share(&self) -> Share {
        let mut sum = Share::default();
        for held in self.holders.values() {
            sum = sum.plus(held.possible_share());
        }
        sum
    }

    /// Drops shares whose lease has expired.
    fn expire(&mut self, now: MonoMs) {
        let before = self.holders.len();
        self.holders.retain(|_, held| held.expires_at > now);
        if self.holders.len() < before {
            self.set_free_rates(now);
        }
    }

    /// Sets the buckets to the rates of the ungranted budget and returns that budget.
    fn set_free_rates(&mut self, now: MonoMs) -> Share {
        let free = self.budget.minus(self.possible_share());
        free.apply_to_buckets(&self.limits, &mut self.requests, &mut self.tokens, now);
        free
    }

    /// Empties the buckets, so that credit which another coordinator may have granted is not
    /// granted twice.
    fn clear_credit(&mut self, now: MonoMs) {
        self.requests.drain(now);
        self.tokens.drain(now);
    }

    fn target(&self, from: &InstanceId) -> Share {
        let (limits, budget) = (&self.limits, self.budget);
        let target_of = |whole: u32, wanted: fn(&Demand, &CustomerLimits) -> u32| {
            let mut claims: Vec<ShareClaim> = Vec::with_capacity(self.holders.len());
            for (id, held) in &self.holders {
                claims.push(ShareClaim {
                    wanted: wanted(&held.demand, limits).min(whole),
                    is_requester: id == from,
                });
            }
            max_min(whole, whole / SPARE_DIVISOR, &mut claims)
        };
        Share {
            requests_ppm: target_of(budget.requests_ppm, wanted_requests_ppm),
            tokens_ppm: target_of(budget.tokens_ppm, wanted_tokens_ppm),
            slots: target_of(budget.slots, wanted_slots),
        }
    }

    /// Takes the credit out of the buckets that belongs to `gained`, as a part of `free`.
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

fn wanted_requests_ppm(demand: &Demand, limits: &CustomerLimits) -> u32 {
    wanted_ppm(demand.requests_per_s, limits.requests_per_s)
}

fn wanted_tokens_ppm(demand: &Demand, limits: &CustomerLimits) -> u32 {
    wanted_ppm(demand.tokens_per_s, limits.tokens_per_s)
}

fn wanted_slots(demand: &Demand, _: &CustomerLimits) -> u32 {
    let wanted = f64::from(demand.slots.max(1)) * HEADROOM_PERCENT / 100.0;
    wanted.ceil() as u32
}

/// The limits of all customers that one instance coordinates. Idle customers use no memory.
#[derive(Debug, Clone, Default)]
pub struct LimitCoordinator {
    divisions: HashMap<CustomerId, Division>,
}

impl LimitCoordinator {
    /// Answers a share request. Returns `None` if this instance is not the coordinator or the
    /// request is outdated.
    ///
    /// A share is raised only out of what is free. A share in use shrinks at most to its target,
    /// even where more is granted than the budget now holds because the budget shrank.
    ///
    /// While grants of another coordinator may be valid, each instance is entitled to 1/n of the
    /// limit, the part that it would fall back to. A larger share is confirmed unless another
    /// holder lacks capacity.
    pub fn handle_request(
        &mut self,
        from: &InstanceId,
        request: &ShareRequest,
        limits: &CustomerLimits,
        views: &MembershipViews,
        now: MonoMs,
    ) -> Option<ShareGrant> {
        if !views.is_coordinator(&request.customer) {
            return None;
        }
        let budget = Share::part(limits, views.live(), views.listed());
        let other_grants_valid = views.foreign_grants_until(&request.customer) > now;
        let division = self.division(&request.customer, limits, other_grants_valid, now);
        let holder = division.holders.get(from);
        if holder.is_some_and(|holder| holder.number >= request.number) {
            return None;
        }
        if other_grants_valid {
            division.clear_credit(now);
        }
        (division.limits, division.budget) = (*limits, budget);
        division.expire(now);
        division.holders.remove(from);
        let available = budget.minus(division.possible_share());
        if let Some(demand) = request.demand {
            let held = HolderState {
                number: request.number,
                before: request.held,
                granted: Share::default(),
                demand,
                expires_at: now + LEASE_MS,
                below_target: false,
            };
            division.holders.insert(from.clone(), held);
        }
        let free = division.set_free_rates(now);
        division.requests.give(request.returned.requests);
        division.tokens.give(request.returned.tokens);
        request.demand?;
        let room = available.minus(request.held);
        let (target, room) = match other_grants_valid {
            false => (division.target(from), division.grantable(room)),
            true => {
                let part = Share::part(limits, 1, division.instances(views));
                (
                    division.target_beside_other_coordinator(from, request.held, part),
                    room,
                )
            }
        };
        let share = target.min(request.held.plus(room));
        let gained = share.minus(request.held);
        let credit = match other_grants_valid {
            false => division.credit(gained.min(free), free, now),
            true => Credit {
                requests: limits.burst_requests * part(gained.requests_ppm),
                tokens: limits.burst_tokens * part(gained.tokens_ppm),
            },
        };
        let rising = is_far_below(target, share);
        if let Some(held) = division.holders.get_mut(from) {
            (held.granted, held.below_target) = (share, rising);
        }
        division.set_free_rates(now);
        Some(ShareGrant {
            customer: request.customer.clone(),
            number: request.number,
            share,
            credit,
            renew_soon: rising || is_far_below(request.held, share),
            rising,
        })
    }

    /// Holders that should renew at once, because they hold more than their target and another
    /// holder lacks capacity. Returns holders at most once every [`FAST_RENEWAL_MS`].
    pub fn recall(&mut self, customer: &CustomerId, now: MonoMs) -> Vec<InstanceId> {
        let Some(division) = self.divisions.get_mut(customer) else {
            return Vec::new();
        };
        let is_recent = |at: MonoMs| now.since_ms(at) < FAST_RENEWAL_MS;
        let below_target = division.holders.values().any(|held| held.below_target);
        if !below_target || division.recalled_at.is_some_and(is_recent) {
            return Vec::new();
        }
        division.recalled_at = Some(now);
        let mut above_target = Vec::new();
        for (id, held) in &division.holders {
            if !held.below_target && is_far_below(held.granted, division.target(id)) {
                above_target.push(id.clone());
            }
        }
        above_target
    }

    /// Drops idle customers: those without a share in use and with full buckets.
    pub fn sweep(&mut self, now: MonoMs) {
        self.divisions.retain(|_, division| {
            division.expire(now);
            !division.holders.is_empty()
                || !division.requests.is_full(now)
                || !division.tokens.is_full(now)
        });
    }

    /// Number of customers in memory.
    pub fn len(&self) -> usize {
        self.divisions.len()
    }

    /// Whether no customer is in memory.
    pub fn is_empty(&self) -> bool {
        self.divisions.is_empty()
    }

    fn division(
        &mut self,
        customer: &CustomerId,
        limits: &CustomerLimits,
        other_grants_valid: bool,
        now: MonoMs,
    ) -> &mut Division {
        let full = if other_grants_valid { 0.0 } else { 1.0 };
        self.divisions
            .entry(customer.clone())
            .or_insert_with(|| Division {
                limits: *limits,
                budget: Share::default(),
                holders: BTreeMap::new(),
                requests: TokenBucket::new(
                    limits.requests_per_s,
                    limits.burst_requests,
                    limits.burst_requests * full,
                    now,
                ),
                tokens: TokenBucket::new(
                    limits.tokens_per_s,
                    limits.burst_tokens,
                    limits.burst_tokens * full,
                    now,
                ),
                recalled_at: None,
            })
    }
}

/// Whether `share` is so far below `target` that the holder should renew early.
fn is_far_below(target: Share, share: Share) -> bool {
    let missing = target.minus(share);
    missing.requests_ppm > RENEWAL_THRESHOLD_PPM
        || missing.tokens_ppm > RENEWAL_THRESHOLD_PPM
        || missing.slots > 0
}
