//! All pools of one allocator.

use std::collections::HashMap;

use crate::ids::{InstanceId, TargetName};
use crate::slots::pool::Pool;
use crate::slots::{BackendSlots, HeldSlot, SlotDecision, SlotOutcome, SlotRequest, SlotRequestId};
use crate::time::MonoMs;

/// A message to the instance of an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotNotice {
    /// The ask.
    pub request: SlotRequestId,
    /// What was decided; `None`: a granted batch item is to give way.
    pub decision: Option<SlotDecision>,
}

/// Grants the places of all pools.
#[derive(Debug, Default)]
pub struct Allocator {
    pools: HashMap<TargetName, Pool>,
}

impl Allocator {
    /// Replaces the backend servers of a pool.
    pub fn set_backends(&mut self, pool: &TargetName, all: &[BackendSlots]) {
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.set_backends(all);
    }

    /// Takes an ask. Whatever could be decided at once, also for others, is added to `decisions`.
    pub fn ask(
        &mut self,
        now: MonoMs,
        ask: SlotRequest,
        decisions: &mut Vec<SlotNotice>,
    ) -> SlotDecision {
        let id = ask.id.clone();
        let pool = self.pools.entry(ask.pool.clone()).or_default();
        let verdict = pool.ask(now, ask);
        if verdict != SlotDecision::Queued {
            return verdict;
        }
        pool.decide(now, decisions);
        let own = decisions.iter().position(|decision| decision.request == id);
        match own.map(|index| decisions.swap_remove(index).decision) {
            Some(Some(verdict)) => verdict,
            _ => SlotDecision::Queued,
        }
    }

    /// Notes the end of a use or of a wait.
    pub fn release(
        &mut self,
        now: MonoMs,
        pool: &TargetName,
        ask: &SlotRequestId,
        outcome: SlotOutcome,
        decisions: &mut Vec<SlotNotice>,
    ) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.release(now, ask, outcome, ask.number);
        pool.decide(now, decisions);
    }

    /// Takes an instance's own list of what it holds.
    pub fn report(&mut self, now: MonoMs, instance: &InstanceId, held: &[HeldSlot]) {
        for (name, pool) in &mut self.pools {
            let ours = held.iter().filter(|held| held.pool == *name);
            let asks: Vec<(SlotRequestId, &HeldSlot)> = ours
                .map(|held| {
                    let instance = instance.clone();
                    let number = held.number;
                    (SlotRequestId { instance, number }, held)
                })
                .collect();
            pool.reconcile(now, &asks, |ask| ask.instance == *instance);
        }
    }

    /// Frees the places of instances that are gone, for others that wait.
    pub fn keep_only(
        &mut self,
        now: MonoMs,
        lives: impl Fn(&InstanceId) -> bool,
        decisions: &mut Vec<SlotNotice>,
    ) {
        for pool in self.pools.values_mut() {
            pool.forget(|ask| !lives(&ask.instance));
            pool.decide(now, decisions);
        }
    }

    /// Decides what time alone has changed.
    pub fn tick(&mut self, now: MonoMs, decisions: &mut Vec<SlotNotice>) {
        for pool in self.pools.values_mut() {
            pool.decide(now, decisions);
        }
    }

    /// Places in use and requests in wait of each pool.
    pub fn loads(&self) -> impl Iterator<Item = (&TargetName, u64, u64)> {
        self.pools.iter().map(|(name, pool)| {
            let (used, waiting) = pool.load();
            (name, used, waiting)
        })
    }
}
