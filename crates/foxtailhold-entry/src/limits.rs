//! Limits of customers on this instance, and the shares it grants as their home.

use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasher;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use foxtailhold::contract::Contract;
use foxtailhold::contract_registry::ContractRegistry;
use foxtailhold::ids::{CustomerId, InstanceId};
use foxtailhold::limits::{
    CustomerLimits, EXCHANGE_MS, LimitCoordinator, LimitDecision, LimitKind, MembershipViews,
    ShareGrant, ShareHolder, ShareRequest, ShareRequests,
};
use foxtailhold::refusal::{Refusal, RefusalReason};
use foxtailhold::time::{MonoMs, WallMs};
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::watch;

use crate::admission::Slot;

/// Requests of one customer that wait for its first share.
const MOST_WAITING: usize = 256;
/// A request for which there is room within this time waits for it, once. Requests that come at once with a
/// share that has just begun to flow are far below the limit, and a refusal costs its caller more.
const PAUSE_MS: u64 = 5;
/// Locks among which customers are spread.
const SHARDS: usize = 64;
/// Bits of an ask's number that count within one start of the instance.
const NUMBER_BITS: u32 = 20;

/// One customer with requests here.
#[derive(Debug)]
struct Usage {
    terms: CustomerLimits,
    holder: ShareHolder,
    /// Dropped when the home has answered.
    answered: Option<watch::Sender<()>>,
}

impl Usage {
    fn tell_if_settled(&mut self) {
        if self.holder.is_settled() {
            self.answered = None;
        }
    }
}

type Shard = Mutex<HashMap<CustomerId, Usage>>;

#[derive(Debug)]
struct State {
    hasher: std::hash::RandomState,
    shards: Vec<Shard>,
    home: Mutex<LimitCoordinator>,
    views: ArcSwap<MembershipViews>,
    next_number: AtomicU64,
}

/// Limits of all customers with requests here.
#[derive(Debug, Clone)]
pub struct Limits(Arc<State>);

/// Whether a request comes for the first time or was told to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitCheck {
    /// It counts as demand.
    First,
    /// It has been counted.
    Again,
    /// It has been counted and has paused.
    Paused,
}

/// What a home answers.
#[derive(Debug, Default)]
pub struct GrantedShares {
    /// One for each ask, without those of other homes.
    pub grants: Vec<ShareGrant>,
    /// Customers of which each instance should give room, by asking at once.
    pub recalled: BTreeMap<InstanceId, Vec<CustomerId>>,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Decision {
    /// It is within the limits.
    Admitted(AdmittedRequest),
    /// The customer's home is asked first: decide again when the channel is closed.
    Wait(watch::Receiver<()>),
    /// There is room in a moment: decide again then.
    Pause {
        /// When.
        after_ms: u64,
    },
    /// It is refused.
    Refused(Refusal),
}

/// A request within its customer's limits; dropping it frees its place and gives back the tokens
/// that were charged and not generated.
#[derive(Debug)]
pub struct AdmittedRequest {
    limits: Limits,
    customer: CustomerId,
    charged_tokens: f64,
    generated_tokens: f64,
    slot: Option<Slot>,
}

impl Limits {
    /// Limits of an instance that starts now.
    pub fn new(me: InstanceId, now: MonoMs, wall: WallMs) -> Self {
        let mut shards = Vec::new();
        shards.resize_with(SHARDS, Shard::default);
        Limits(Arc::new(State {
            hasher: std::hash::RandomState::new(),
            shards,
            home: Mutex::default(),
            views: ArcSwap::from_pointee(MembershipViews::new(me, now)),
            next_number: AtomicU64::new(wall.0 << NUMBER_BITS),
        }))
    }

    /// Decides on a request that is charged `tokens`; `attempt` tells whether it has waited.
    pub fn decide(
        &self,
        contract: &Contract,
        tokens: f64,
        attempt: LimitCheck,
        now: MonoMs,
    ) -> Decision {
        let customer = &contract.customer;
        let listed = self.0.views.load().listed();
        let terms = CustomerLimits::from(contract);
        let charged_tokens = tokens.min(terms.burst_tokens);
        let mut shard = self.shard(customer);
        let usage = match shard.get_mut(customer) {
            Some(usage) => usage,
            None => shard.entry(customer.clone()).or_insert_with(|| Usage {
                terms,
                holder: ShareHolder::new(now),
                answered: None,
            }),
        };
        usage.terms = terms;
        let holder = &mut usage.holder;
        let verdict = match attempt {
            LimitCheck::First => holder.admit(&terms, listed, charged_tokens, now),
            LimitCheck::Again | LimitCheck::Paused => {
                holder.admit_again(&terms, listed, charged_tokens, now)
            }
        };
        match verdict {
            LimitDecision::Admitted => Decision::Admitted(AdmittedRequest {
                limits: self.clone(),
                customer: customer.clone(),
                charged_tokens,
                generated_tokens: 0.0,
                slot: None,
            }),
            LimitDecision::Wait => {
                let answered = usage.answered.get_or_insert_with(|| watch::Sender::new(()));
                if answered.receiver_count() >= MOST_WAITING {
                    let refusal = over_limit(contract, LimitKind::Requests, EXCHANGE_MS);
                    return Decision::Refused(refusal);
                }
                Decision::Wait(answered.subscribe())
            }
            LimitDecision::Over { after_ms, .. }
                if after_ms <= PAUSE_MS && attempt != LimitCheck::Paused =>
            {
                Decision::Pause { after_ms }
            }
            LimitDecision::Over { limit, after_ms } => {
                Decision::Refused(over_limit(contract, limit, after_ms))
            }
        }
    }

    /// Goes on without the home's answer, where there has been none.
    pub fn use_fallback_share(&self, customer: &CustomerId, now: MonoMs) {
        let listed = self.0.views.load().listed();
        if let Some(usage) = self.shard(customer).get_mut(customer) {
            usage.holder.fall_back(&usage.terms, listed, now);
            usage.tell_if_settled();
        }
    }

    /// The ask for one customer, where one is due.
    pub fn due_ask(&self, customer: &CustomerId, now: MonoMs) -> Option<ShareRequest> {
        let mut shard = self.shard(customer);
        let usage = shard.get_mut(customer)?;
        usage
            .holder
            .ask(customer, &usage.terms, self.next_number(), now)
    }

    /// All asks that are due. Forgets customers at rest on the way.
    pub fn due_asks(&self, now: MonoMs) -> Vec<ShareRequest> {
        let mut asks = Vec::new();
        for shard in &self.0.shards {
            shard.lock().retain(|customer, usage| {
                let number = self.next_number();
                asks.extend(usage.holder.ask(customer, &usage.terms, number, now));
                !usage.holder.is_forgettable(now)
            });
        }
        asks
    }

    /// The asks by the home of their customers; without those of which no home is known.
    pub fn by_coordinator(
        &self,
        asks: Vec<ShareRequest>,
    ) -> BTreeMap<InstanceId, Vec<ShareRequest>> {
        let views = self.0.views.load();
        let mut by_coordinator: BTreeMap<InstanceId, Vec<ShareRequest>> = BTreeMap::new();
        for ask in asks {
            if let Some(home) = views.coordinator(&ask.customer) {
                by_coordinator.entry(home.clone()).or_default().push(ask);
            }
        }
        by_coordinator
    }

    /// Answers an instance's asks as the home of the customers; leaves out the others.
    pub fn answer(
        &self,
        asks: &ShareRequests,
        contracts: &ContractRegistry,
        now: MonoMs,
    ) -> GrantedShares {
        let views = self.0.views.load();
        let mut home = self.0.home.lock();
        let mut shares = GrantedShares::default();
        for ask in &asks.requests {
            let entry = contracts.get(&ask.customer);
            let Some(contract) = entry.and_then(|entry| entry.contract.as_ref()) else {
                continue;
            };
            let terms = CustomerLimits::from(contract.as_ref());
            let grant = home.ask(&asks.from, ask, &terms, &views, now);
            shares.grants.extend(grant);
            for above in home.recall(&ask.customer, now) {
                let recalled = shares.recalled.entry(above).or_default();
                recalled.push(ask.customer.clone());
            }
        }
        shares
    }

    /// Takes a home's answer to `asks` in, and returns the asks that are due then.
    pub fn apply_grants(
        &self,
        asks: &[ShareRequest],
        grants: &[ShareGrant],
        now: MonoMs,
    ) -> Vec<ShareRequest> {
        for grant in grants {
            if let Some(usage) = self.shard(&grant.customer).get_mut(&grant.customer) {
                usage.holder.granted(&usage.terms, grant, now);
                usage.tell_if_settled();
            }
        }
        let mut due = Vec::new();
        for ask in asks {
            if let Some(usage) = self.shard(&ask.customer).get_mut(&ask.customer) {
                usage.holder.not_answered(ask.number, now);
            }
            due.extend(self.due_ask(&ask.customer, now));
        }
        due
    }

    /// Takes in that homes want these customers' shares to be asked for at once, and returns the
    /// asks.
    pub fn apply_recall(&self, customers: &[CustomerId], now: MonoMs) -> Vec<ShareRequest> {
        let mut due = Vec::new();
        for customer in customers {
            if let Some(usage) = self.shard(customer).get_mut(customer) {
                usage.holder.recalled(now);
            }
            due.extend(self.due_ask(customer, now));
        }
        due
    }

    /// Sets the live instances and how many there are with those out of reach.
    pub fn set_members(&self, members: Vec<InstanceId>, listed: u32, now: MonoMs) {
        let mut views = MembershipViews::clone(&self.0.views.load());
        views.set(members, listed, now);
        self.0.views.store(Arc::new(views));
    }

    /// Forgets customers at rest at the home.
    pub fn sweep(&self, now: MonoMs) {
        self.0.home.lock().sweep(now);
    }

    /// Customers with requests here.
    pub fn customers(&self) -> usize {
        self.0.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    fn shard(&self, customer: &CustomerId) -> MutexGuard<'_, HashMap<CustomerId, Usage>> {
        let hash = self.0.hasher.hash_one(customer) as usize;
        self.0.shards[hash % SHARDS].lock()
    }

    fn next_number(&self) -> u64 {
        self.0.next_number.fetch_add(1, Ordering::Relaxed)
    }
}

impl AdmittedRequest {
    /// Keeps the request's place towards its model until the end.
    pub fn attach_slot(&mut self, slot: Slot) {
        self.slot = Some(slot);
    }

    /// Counts generated tokens.
    pub fn generated(&mut self, tokens: u64) {
        self.generated_tokens += tokens as f64;
    }

    /// Counts the tokens that a whole answer says it has; without such a count the charge stands.
    pub fn answered(&mut self, body: &[u8]) {
        let answer: Option<Usages> = serde_json::from_slice(body).ok();
        let tokens = answer.map(|answer| answer.usage.completion_tokens as f64);
        self.generated_tokens = tokens.unwrap_or(self.charged_tokens);
    }
}

/// The part of a whole answer that is read.
#[derive(serde::Deserialize)]
struct Usages {
    usage: UsageCount,
}

#[derive(serde::Deserialize)]
struct UsageCount {
    completion_tokens: u64,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let unused_tokens = self.charged_tokens - self.generated_tokens;
        if let Some(usage) = self.limits.shard(&self.customer).get_mut(&self.customer) {
            usage.holder.finish(unused_tokens);
        }
    }
}

fn over_limit(contract: &Contract, limit: LimitKind, after_ms: u64) -> Refusal {
    let customer = contract.customer.clone();
    let limit = match limit {
        LimitKind::Requests => format!("{} requests a second", contract.requests_per_s),
        LimitKind::Tokens => format!("{} tokens a second", contract.tokens_per_s),
        LimitKind::Slots => format!("{} concurrent requests", contract.concurrent_requests),
    };
    let spread_ms = rand::random_range(0..=after_ms / 2);
    Refusal::not_run(RefusalReason::OverLimit { customer, limit })
        .retry_after_ms(after_ms + spread_ms)
}
