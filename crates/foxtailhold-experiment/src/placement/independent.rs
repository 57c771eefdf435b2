//! Policy in which each instance chooses engines on its own, by what it knows of their load.

use std::collections::HashMap;

use crate::arrivals::RequestKind;
use crate::placement::{Action, AttemptEnd, PendingRequest, Placement, Topology};

/// Time reserved for the first event, in microseconds. An online request without an engine waits
/// until its deadline less this time, and is then refused.
const FIRST_EVENT_US: u64 = 110_000;
/// Time after which refused callers are told to retry.
const RETRY_AFTER_MS: u64 = 400;
/// One in this many slots of all engines is kept free of batch items.
const HEADROOM_DIVISOR: usize = 9;
/// Interval in which instances publish their request counts to each other.
const PUBLISH_INTERVAL_US: u64 = 250_000;

/// An instance's knowledge of the load of engines.
pub trait LoadKnowledge {
    /// Starts without any knowledge.
    fn new(instances: usize, engines: usize) -> Self;

    /// Number of requests of other instances at an engine, as far as `instance` knows.
    fn others(&self, instance: usize, engine: usize) -> u32;

    /// Records the load that an engine reported in an answer; `own` is the number of requests that
    /// the instance has there now.
    fn record_reported_load(&mut self, instance: usize, engine: usize, load: u32, own: u32);

    /// Whether instances publish their request counts to each other.
    const PUBLISHES: bool;

    /// Records that the request counts of an instance have arrived at all others.
    fn record_published_counts(&mut self, instance: usize, counts: &[u32]);
}

/// Knowledge of the instance's own requests only.
#[derive(Debug)]
pub struct OwnRequests;

impl LoadKnowledge for OwnRequests {
    const PUBLISHES: bool = false;

    fn new(_: usize, _: usize) -> Self {
        OwnRequests
    }

    fn others(&self, _: usize, _: usize) -> u32 {
        0
    }

    fn record_reported_load(&mut self, _: usize, _: usize, _: u32, _: u32) {}

    fn record_published_counts(&mut self, _: usize, _: &[u32]) {}
}

/// The load that each engine reported with its last answer to the instance.
#[derive(Debug)]
pub struct ReportedLoads {
    others: Vec<Vec<u32>>,
}

impl LoadKnowledge for ReportedLoads {
    const PUBLISHES: bool = false;

    fn new(instances: usize, engines: usize) -> Self {
        ReportedLoads {
            others: vec![vec![0; engines]; instances],
        }
    }

    fn others(&self, instance: usize, engine: usize) -> u32 {
        self.others[instance][engine]
    }

    fn record_reported_load(&mut self, instance: usize, engine: usize, load: u32, own: u32) {
        self.others[instance][engine] = load.saturating_sub(own);
    }

    fn record_published_counts(&mut self, _: usize, _: &[u32]) {}
}

/// The request counts that all instances last published to each other.
#[derive(Debug)]
pub struct SharedCounts {
    counts: Vec<Vec<u32>>,
}

impl LoadKnowledge for SharedCounts {
    const PUBLISHES: bool = true;

    fn new(instances: usize, engines: usize) -> Self {
        SharedCounts {
            counts: vec![vec![0; engines]; instances],
        }
    }

    fn others(&self, instance: usize, engine: usize) -> u32 {
        let all = self.counts.iter().enumerate();
        let others = all.filter(|(other, _)| *other != instance);
        others.map(|(_, counts)| counts[engine]).sum()
    }

    fn record_reported_load(&mut self, _: usize, _: usize, _: u32, _: u32) {}

    fn record_published_counts(&mut self, instance: usize, counts: &[u32]) {
        self.counts[instance].copy_from_slice(counts);
    }
}

#[derive(Debug, Clone, Copy)]
struct PlacedRequest {
    pending: PendingRequest,
    engine: usize,
    preempted: bool,
}

/// Message that carries an instance's request counts to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishCounts {
    instance: usize,
}

/// The policy, by the knowledge `K` that instances have.
#[derive(Debug)]
pub struct IndependentPlacement<K> {
    topology: Topology,
    knowledge: K,
    own: Vec<Vec<u32>>,
    waiting: Vec<Vec<PendingRequest>>,
    placed: HashMap<usize, PlacedRequest>,
    next_publish_us: u64,
}

impl<K: LoadKnowledge> IndependentPlacement<K> {
    /// Creates the policy for a deployment.
    pub fn new(topology: Topology) -> Self {
        let (instances, engines) = (topology.instances.len(), topology.engines.len());
        IndependentPlacement {
            knowledge: K::new(instances, engines),
            own: vec![vec![0; engines]; instances],
            waiting: vec![Vec::new(); instances],
            placed: HashMap::new(),
            next_publish_us: 0,
            topology,
        }
    }

    fn free(&self, instance: usize, engine: usize) -> usize {
        let own = self.own[instance][engine];
        let load = own + self.knowledge.others(instance, engine);
        self.topology.slots.saturating_sub(load as usize)
    }

    /// The engine with the most free slots. An engine in the instance's own availability zone
    /// counts as having one more. Requests begin the search at different engines, so that ties do
    /// not send all of them to the same one.
    fn engine_for(&self, pending: &PendingRequest) -> Option<usize> {
        let count = self.topology.engines.len();
        let all_free: usize = (0..count).map(|e| self.free(pending.instance, e)).sum();
        let headroom = count * self.topology.slots / HEADROOM_DIVISOR;
        if pending.kind == RequestKind::Batch && all_free <= headroom {
            return None;
        }
        let zone = self.topology.instances[pending.instance];
        let mut best: Option<(usize, usize)> = None;
        for step in 0..count {
            let engine = (pending.request + step) % count;
            let free = self.free(pending.instance, engine);
            if free == 0 || pending.avoid == Some(engine) {
                continue;
            }
            let room = free + usize::from(self.topology.engines[engine] == zone);
            if best.is_none_or(|(most, _)| room > most) {
                best = Some((room, engine));
            }
        }
        best.map(|(_, engine)| engine)
    }

    fn serve(&mut self, now_us: u64, instance: usize, actions: &mut Vec<Action<PublishCounts>>) {
        let mut waiting = std::mem::take(&mut self.waiting[instance]);
        waiting.sort_by_key(|pending| (pending.kind == RequestKind::Batch, pending.due_us));
        let mut unplaced = Vec::new();
        for pending in waiting {
            if pending.kind == RequestKind::Online && now_us + FIRST_EVENT_US > pending.due_us {
                actions.push(Action::Refuse {
                    at_us: now_us,
                    request: pending.request,
                    retry_after_ms: RETRY_AFTER_MS,
                });
                continue;
            }
            let Some(engine) = self.engine_for(&pending) else {
                unplaced.push(pending);
                continue;
            };
            self.own[instance][engine] += 1;
            let placed = PlacedRequest {
                pending,
                engine,
                preempted: false,
            };
            self.placed.insert(pending.request, placed);
            actions.push(Action::Send {
                at_us: now_us,
                request: pending.request,
                engine,
            });
        }
        let online = unplaced
            .iter()
            .filter(|pending| pending.kind == RequestKind::Online)
            .count();
        self.waiting[instance] = unplaced;
        self.preempt_batch(now_us, instance, online, actions);
    }

    /// Preempts the instance's own batch items for waiting online requests, those with the most
    /// slack first.
    fn preempt_batch(
        &mut self,
        now_us: u64,
        instance: usize,
        needed: usize,
        actions: &mut Vec<Action<PublishCounts>>,
    ) {
        let all = self.placed.values_mut();
        let mut batch: Vec<&mut PlacedRequest> = all
            .filter(|p| p.pending.instance == instance && p.pending.kind == RequestKind::Batch)
            .collect();
        let already_preempted = batch.iter().filter(|placed| placed.preempted).count();
        batch.retain(|placed| !placed.preempted);
        batch.sort_by_key(|p| (std::cmp::Reverse(p.pending.due_us), p.pending.request));
        for placed in batch
            .into_iter()
            .take(needed.saturating_sub(already_preempted))
        {
            placed.preempted = true;
            actions.push(Action::Preempt {
                at_us: now_us,
                request: placed.pending.request,
            });
        }
    }
}

impl<K: LoadKnowledge> Placement for IndependentPlacement<K> {
    type Message = PublishCounts;

    fn enqueue(
        &mut self,
        now_us: u64,
        pending: PendingRequest,
        actions: &mut Vec<Action<PublishCounts>>,
    ) {
        self.waiting[pending.instance].push(pending);
        self.serve(now_us, pending.instance, actions);
    }

    fn on_attempt_end(
        &mut self,
        now_us: u64,
        request: usize,
        end: AttemptEnd,
        load: Option<u32>,
        actions: &mut Vec<Action<PublishCounts>>,
    ) {
        let Some(placed) = self.placed.remove(&request) else {
            for waiting in &mut self.waiting {
                waiting.retain(|pending| pending.request != request);
            }
            return;
        };
        let (instance, engine) = (placed.pending.instance, placed.engine);
        self.own[instance][engine] -= 1;
        let own = self.own[instance][engine];
        let load = match end {
            AttemptEnd::Full => Some(self.topology.slots as u32 + own),
            AttemptEnd::Done | AttemptEnd::Preempted | AttemptEnd::GivenUp => load,
        };
        if let Some(load) = load {
            self.knowledge
                .record_reported_load(instance, engine, load, own);
        }
        self.serve(now_us, instance, actions);
    }

    fn on_load_report(&mut self, _now_us: u64, request: usize, load: u32) {
        if let Some(placed) = self.placed.get(&request) {
            let (instance, engine) = (placed.pending.instance, placed.engine);
            let own = self.own[instance][engine];
            self.knowledge
                .record_reported_load(instance, engine, load, own);
        }
    }

    fn on_message(
        &mut self,
        _now_us: u64,
        message: PublishCounts,
        _: &mut Vec<Action<PublishCounts>>,
    ) {
        let counts = &self.own[message.instance];
        self.knowledge
            .record_published_counts(message.instance, counts);
    }

    fn tick(&mut self, now_us: u64, actions: &mut Vec<Action<PublishCounts>>) {
        if K::PUBLISHES && now_us >= self.next_publish_us {
            self.next_publish_us = now_us + PUBLISH_INTERVAL_US;
            for instance in 0..self.topology.instances.len() {
                let latency_us = self.topology.latency_us[instance].iter().max();
                actions.push(Action::Message {
                    at_us: now_us + latency_us.copied().unwrap_or_default(),
                    message: PublishCounts { instance },
                });
            }
        }
        for instance in 0..self.topology.instances.len() {
            self.serve(now_us, instance, actions);
        }
    }

    fn restart(&mut self, _now_us: u64) {
        *self = IndependentPlacement::new(self.topology.clone());
    }
}
