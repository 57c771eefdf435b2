//! Limits of customers on this instance, and the shares that it grants to other instances as limit
//! coordinator.

use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasher;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

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

/// Upper limit of one customer's requests that wait for its first share.
const MAX_WAITING: usize = 256;
/// A request that fits the limits within this time waits for it, once. Requests that arrive
/// together with a first share are far below the customer's limit, and a refusal would cost their
/// caller more than this wait.
const MAX_PAUSE_MS: u64 = 5;
/// Number of locks over which the customers are spread.
const SHARDS: usize = 64;
/// Low bits of a share request's number, which count within one start of the instance. The bits
/// above hold the start time, so that numbers rise over restarts.
const NUMBER_BITS: u32 = 20;

/// Limits and usage of one customer with requests here.
#[derive(Debug)]
struct CustomerUsage {
    limits: CustomerLimits,
    holder: ShareHolder,
    /// Waiting requests subscribe to it. Dropped when the coordinator has answered or the
    /// fallback share is used, which wakes them.
    answered: Option<watch::Sender<()>>,
}

impl CustomerUsage {
    fn notify_if_settled(&mut self) {
        if self.holder.is_settled() {
            self.answered = None;
        }
    }
}

type Shard = Mutex<HashMap<CustomerId, CustomerUsage>>;

#[derive(Debug)]
struct LimitsState {
    hasher: std::hash::RandomState,
    shards: Vec<Shard>,
    coordinator: Mutex<LimitCoordinator>,
    views: ArcSwap<MembershipViews>,
    next_number: AtomicU64,
}

/// Limits of all customers with requests on this instance.
#[derive(Debug, Clone)]
pub struct Limits(Arc<LimitsState>);

/// How often the limits were checked for the same request before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitCheck {
    /// First check; the request is counted as demand.
    First,
    /// Checked before and already counted.
    Again,
    /// Checked before, already counted, and it has paused once.
    Paused,
}

/// Answer of a limit coordinator.
#[derive(Debug, Default)]
pub struct GrantedShares {
    /// One grant for each share request, except those of customers that another instance
    /// coordinates.
    pub grants: Vec<ShareGrant>,
    /// Customers whose share each of these instances should renew at once, because it holds more
    /// than it should.
    pub recalled: BTreeMap<InstanceId, Vec<CustomerId>>,
}

/// Result of a limit check.
#[derive(Debug)]
pub enum Decision {
    /// The request is within the limits.
    Admitted(AdmittedRequest),
    /// A share has to be requested from the coordinator first. Check again when the channel is
    /// closed.
    Wait(watch::Receiver<()>),
    /// The request will fit the limits shortly. Check again after the pause.
    Pause {
        /// Length of the pause.
        after_ms: u64,
    },
    /// The request is over a limit.
    Refused(Refusal),
}

/// An admitted request. Dropping it frees its slot and returns the tokens that were charged but not
/// generated.
#[derive(Debug)]
pub struct AdmittedRequest {
    limits: Limits,
    customer: CustomerId,
    charged_tokens: f64,
    generated_tokens: f64,
    admitted_at: Instant,
    slot: Option<Slot>,
}

impl Limits {
    /// Starts without customers. `wall` seeds the numbers of share requests, so that they rise over
    /// restarts.
    pub fn new(me: InstanceId, now: MonoMs, wall: WallMs) -> Self {
        let mut shards = Vec::new();
        shards.resize_with(SHARDS, Shard::default);
        Limits(Arc::new(LimitsState {
            hasher: std::hash::RandomState::new(),
            shards,
            coordinator: Mutex::default(),
            views: ArcSwap::from_pointee(MembershipViews::new(me, now)),
            next_number: AtomicU64::new(wall.0 << NUMBER_BITS),
        }))
    }

    /// Checks a request that is charged `tokens` against the customer's limits.
    pub fn decide(
        &self,
        contract: &Contract,
        tokens: f64,
        check: LimitCheck,
        now: MonoMs,
    ) -> Decision {
        let customer = &contract.customer;
        let listed = self.0.views.load().listed();
        let limits = CustomerLimits::from(contract);
        let charged_tokens = tokens.min(limits.burst_tokens);
        let mut shard = self.shard(customer);
        let usage = match shard.get_mut(customer) {
            Some(usage) => usage,
            None => shard
                .entry(customer.clone())
                .or_insert_with(|| CustomerUsage {
                    limits,
                    holder: ShareHolder::new(now),
                    answered: None,
                }),
        };
        usage.limits = limits;
        let holder = &mut usage.holder;
        let decision = match check {
            LimitCheck::First => holder.admit(&limits, listed, charged_tokens, now),
            LimitCheck::Again | LimitCheck::Paused => {
                holder.admit_again(&limits, listed, charged_tokens, now)
            }
        };
        match decision {
            LimitDecision::Admitted => Decision::Admitted(AdmittedRequest {
                limits: self.clone(),
                customer: customer.clone(),
                charged_tokens,
                generated_tokens: 0.0,
                admitted_at: Instant::now(),
                slot: None,
            }),
            LimitDecision::Wait => {
                let answered = usage.answered.get_or_insert_with(|| watch::Sender::new(()));
                if answered.receiver_count() >= MAX_WAITING {
                    let refusal = over_limit(contract, LimitKind::Requests, EXCHANGE_MS);
                    return Decision::Refused(refusal);
                }
                Decision::Wait(answered.subscribe())
            }
            LimitDecision::Over { after_ms, .. }
                if after_ms <= MAX_PAUSE_MS && check != LimitCheck::Paused =>
            {
                Decision::Pause { after_ms }
            }
            LimitDecision::Over { limit, after_ms } => {
                Decision::Refused(over_limit(contract, limit, after_ms))
            }
        }
    }

    /// Uses a fallback share if the coordinator has not answered.
    pub fn use_fallback_share(&self, customer: &CustomerId, now: MonoMs) {
        let listed = self.0.views.load().listed();
        if let Some(usage) = self.shard(customer).get_mut(customer) {
            usage.holder.fall_back(&usage.limits, listed, now);
            usage.notify_if_settled();
        }
    }

    /// The share request for one customer, if one is due.
    pub fn due_request(&self, customer: &CustomerId, now: MonoMs) -> Option<ShareRequest> {
        let mut shard = self.shard(customer);
        let usage = shard.get_mut(customer)?;
        usage
            .holder
            .due_request(customer, &usage.limits, self.next_number(), now)
    }

    /// All share requests that are due. Removes customers without recent requests.
    pub fn due_requests(&self, now: MonoMs) -> Vec<ShareRequest> {
        let mut requests = Vec::new();
        for shard in &self.0.shards {
            shard.lock().retain(|customer, usage| {
                let number = self.next_number();
                requests.extend(
                    usage
                        .holder
                        .due_request(customer, &usage.limits, number, now),
                );
                !usage.holder.is_forgettable(now)
            });
        }
        requests
    }

    /// Groups share requests by the coordinator of their customer. Drops those whose coordinator is
    /// not known.
    pub fn by_coordinator(
        &self,
        requests: Vec<ShareRequest>,
    ) -> BTreeMap<InstanceId, Vec<ShareRequest>> {
        let views = self.0.views.load();
        let mut by_coordinator: BTreeMap<InstanceId, Vec<ShareRequest>> = BTreeMap::new();
        for request in requests {
            if let Some(coordinator) = views.coordinator(&request.customer) {
                by_coordinator
                    .entry(coordinator.clone())
                    .or_default()
                    .push(request);
            }
        }
        by_coordinator
    }

    /// Grants shares to an instance as the coordinator of its customers. Skips customers that this
    /// instance does not coordinate or has no contract of.
    pub fn grant_shares(
        &self,
        requests: &ShareRequests,
        contracts: &ContractRegistry,
        now: MonoMs,
    ) -> GrantedShares {
        let views = self.0.views.load();
        let mut coordinator = self.0.coordinator.lock();
        let mut shares = GrantedShares::default();
        for request in &requests.requests {
            let entry = contracts.get(&request.customer);
            let Some(contract) = entry.and_then(|entry| entry.contract.as_ref()) else {
                continue;
            };
            let limits = CustomerLimits::from(contract.as_ref());
            let grant = coordinator.handle_request(&requests.from, request, &limits, &views, now);
            shares.grants.extend(grant);
            for instance in coordinator.recall(&request.customer, now) {
                let recalled = shares.recalled.entry(instance).or_default();
                recalled.push(request.customer.clone());
            }
        }
        shares
    }

    /// Applies a coordinator's grants for `requests`, and returns the share requests that are due
    /// after that.
    pub fn apply_grants(
        &self,
        requests: &[ShareRequest],
        grants: &[ShareGrant],
        now: MonoMs,
    ) -> Vec<ShareRequest> {
        for grant in grants {
            if let Some(usage) = self.shard(&grant.customer).get_mut(&grant.customer) {
                usage.holder.granted(&usage.limits, grant, now);
                usage.notify_if_settled();
            }
        }
        let mut due = Vec::new();
        for request in requests {
            if let Some(usage) = self.shard(&request.customer).get_mut(&request.customer) {
                usage.holder.not_answered(request.number, now);
            }
            due.extend(self.due_request(&request.customer, now));
        }
        due
    }

    /// Marks these customers' shares for renewal at once, as their coordinators require, and
    /// returns the share requests.
    pub fn apply_recall(&self, customers: &[CustomerId], now: MonoMs) -> Vec<ShareRequest> {
        let mut due = Vec::new();
        for customer in customers {
            if let Some(usage) = self.shard(customer).get_mut(customer) {
                usage.holder.recalled(now);
            }
            due.extend(self.due_request(customer, now));
        }
        due
    }

    /// Sets the live instances, and `listed`, the number of instances including unreachable ones.
    pub fn set_members(&self, members: Vec<InstanceId>, listed: u32, now: MonoMs) {
        let mut views = MembershipViews::clone(&self.0.views.load());
        views.set(members, listed, now);
        self.0.views.store(Arc::new(views));
    }

    /// Removes customers without recent requests from the coordinator's state.
    pub fn sweep(&self, now: MonoMs) {
        self.0.coordinator.lock().sweep(now);
    }

    /// Number of customers with recent requests here.
    pub fn customers(&self) -> usize {
        self.0.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    fn shard(&self, customer: &CustomerId) -> MutexGuard<'_, HashMap<CustomerId, CustomerUsage>> {
        let hash = self.0.hasher.hash_one(customer) as usize;
        self.0.shards[hash % SHARDS].lock()
    }

    fn next_number(&self) -> u64 {
        self.0.next_number.fetch_add(1, Ordering::Relaxed)
    }
}

impl AdmittedRequest {
    /// Holds the request's slot until the request ends.
    pub fn attach_slot(&mut self, slot: Slot) {
        self.slot = Some(slot);
    }

    /// Counts tokens of a stream as generated.
    pub fn count_generated(&mut self, tokens: u64) {
        self.generated_tokens += tokens as f64;
    }

    /// Counts the completion tokens that a full response reports. Without such a report the charge
    /// stands.
    pub fn count_response_tokens(&mut self, body: &[u8]) {
        let answer: Option<CompletionBody> = serde_json::from_slice(body).ok();
        let tokens = answer.map(|answer| answer.usage.completion_tokens as f64);
        self.generated_tokens = tokens.unwrap_or(self.charged_tokens);
    }
}

/// The part of a full response that is parsed.
#[derive(serde::Deserialize)]
struct CompletionBody {
    usage: TokenUsage,
}

#[derive(serde::Deserialize)]
struct TokenUsage {
    completion_tokens: u64,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let unused_tokens = self.charged_tokens - self.generated_tokens;
        if let Some(usage) = self.limits.shard(&self.customer).get_mut(&self.customer) {
            let held_ms = self.admitted_at.elapsed().as_millis() as u64;
            usage.holder.finish(unused_tokens, held_ms);
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
