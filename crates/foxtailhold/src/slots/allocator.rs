//! The slot pools of all services, managed by one allocator.

use std::collections::HashMap;

use crate::ids::{InstanceId, TargetName};
use crate::slots::pool::Pool;
use crate::slots::{
    BackendSlots, HeldSlot, PoolLoad, SlotDecision, SlotOutcome, SlotRequest, SlotRequestId,
};
use crate::time::MonoMs;

/// A message to the instance that sent a slot request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotNotice {
    /// Identifies the slot request.
    pub request: SlotRequestId,
    /// The decision on the request; `None` preempts the granted batch item.
    pub decision: Option<SlotDecision>,
}

/// Grants and releases the slots of all services, one pool for each service.
#[derive(Debug, Default)]
pub struct Allocator {
    pools: HashMap<TargetName, Pool>,
}

impl Allocator {
    /// Replaces the backend servers of a pool. Grants at backend servers that stay are kept.
    pub fn set_backends(&mut self, pool: &TargetName, all: &[BackendSlots]) {
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.set_backends(all);
    }

    /// Handles a slot request and returns the decision on it. Decisions on other requests that
    /// became possible at the same time are appended to `decisions`.
    pub fn request_slot(
        &mut self,
        now: MonoMs,
        request: SlotRequest,
        decisions: &mut Vec<SlotNotice>,
    ) -> SlotDecision {
        let id = request.id.clone();
        let pool = self.pools.entry(request.pool.clone()).or_default();
        let decision = pool.request_slot(now, request);
        if decision != SlotDecision::Queued {
            return decision;
        }
        pool.decide(now, decisions);
        let own = decisions.iter().position(|decision| decision.request == id);
        match own.map(|index| decisions.swap_remove(index).decision) {
            Some(Some(decision)) => decision,
            _ => SlotDecision::Queued,
        }
    }

    /// Frees the slot of a request, or removes the request from the queue, and grants the freed
    /// slots.
    pub fn release(
        &mut self,
        now: MonoMs,
        pool: &TargetName,
        request: &SlotRequestId,
        outcome: SlotOutcome,
        decisions: &mut Vec<SlotNotice>,
    ) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.release(now, request, outcome, request.number);
        pool.decide(now, decisions);
    }

    /// Reconciles the grants of `instance` with the list of slots that it reports.
    pub fn report(&mut self, now: MonoMs, instance: &InstanceId, held: &[HeldSlot]) {
        for (name, pool) in &mut self.pools {
            let own_slots = held.iter().filter(|held| held.pool == *name);
            let requests: Vec<(SlotRequestId, &HeldSlot)> = own_slots
                .map(|held| {
                    let instance = instance.clone();
                    let number = held.number;
                    (SlotRequestId { instance, number }, held)
                })
                .collect();
            pool.reconcile(now, &requests, |request| request.instance == *instance);
        }
    }

    /// Frees the slots of all instances for which `is_live` is false.
    pub fn keep_only(
        &mut self,
        now: MonoMs,
        is_live: impl Fn(&InstanceId) -> bool,
        decisions: &mut Vec<SlotNotice>,
    ) {
        for pool in self.pools.values_mut() {
            pool.forget(|request| !is_live(&request.instance));
            pool.decide(now, decisions);
        }
    }

    /// Makes the decisions that became due with time.
    pub fn tick(&mut self, now: MonoMs, decisions: &mut Vec<SlotNotice>) {
        for pool in self.pools.values_mut() {
            pool.decide(now, decisions);
        }
    }

    /// Name of each pool, how its slots are used, and what waits for them.
    pub fn pool_loads(&self, now: MonoMs) -> impl Iterator<Item = (&TargetName, PoolLoad)> {
        let pools = self.pools.iter();
        pools.map(move |(name, pool)| (name, pool.load_at(now)))
    }

    /// Name, slots in use and queued requests of each pool.
    pub fn loads(&self) -> impl Iterator<Item = (&TargetName, u64, u64)> {
        self.pools.iter().map(|(name, pool)| {
            let (used, waiting) = pool.load();
            (name, used, waiting)
        })
    }
}
