//! Each instance chooses engines on its own, by what it knows of their load.

use std::collections::HashMap;

use crate::arrivals::Kind;
use crate::placement::{Action, End, Layout, Offer, Placement};

/// An online request that finds no engine waits at most until its first event would be late, less
/// this time for the first event itself, in microseconds.
const FIRST_EVENT_US: u64 = 110_000;
/// Refused callers come back after this time.
const RETRY_AFTER_MS: u64 = 400;
/// Places that an instance leaves free of batch items, of those of all engines: one of so many.
const HEADROOM_DIVISOR: usize = 9;
/// Loads are told to the other instances so often.
const TELL_US: u64 = 250_000;

/// What an instance knows of the load of engines.
pub trait Knowledge {
    /// No knowledge yet.
    fn new(instances: usize, engines: usize) -> Self;

    /// Requests that others run at an engine, as far as an instance knows.
    fn others(&self, instance: usize, engine: usize) -> u32;

    /// An engine told its load in an answer; `own` are the instance's requests there now.
    fn told(&mut self, instance: usize, engine: usize, load: u32, own: u32);

    /// Whether instances tell each other.
    const TELLS: bool;

    /// An instance's own counts have arrived at all others.
    fn published(&mut self, instance: usize, counts: &[u32]);
}

/// Nothing but its own requests.
#[derive(Debug)]
pub struct Alone;

impl Knowledge for Alone {
    const TELLS: bool = false;

    fn new(_: usize, _: usize) -> Self {
        Alone
    }

    fn others(&self, _: usize, _: usize) -> u32 {
        0
    }

    fn told(&mut self, _: usize, _: usize, _: u32, _: u32) {}

    fn published(&mut self, _: usize, _: &[u32]) {}
}

/// The load that an engine told with the last answer from it.
#[derive(Debug)]
pub struct InAnswers {
    others: Vec<Vec<u32>>,
}

impl Knowledge for InAnswers {
    const TELLS: bool = false;

    fn new(instances: usize, engines: usize) -> Self {
        InAnswers {
            others: vec![vec![0; engines]; instances],
        }
    }

    fn others(&self, instance: usize, engine: usize) -> u32 {
        self.others[instance][engine]
    }

    fn told(&mut self, instance: usize, engine: usize, load: u32, own: u32) {
        self.others[instance][engine] = load.saturating_sub(own);
    }

    fn published(&mut self, _: usize, _: &[u32]) {}
}

/// What all instances told each other last.
#[derive(Debug)]
pub struct Shared {
    counts: Vec<Vec<u32>>,
}

impl Knowledge for Shared {
    const TELLS: bool = true;

    fn new(instances: usize, engines: usize) -> Self {
        Shared {
            counts: vec![vec![0; engines]; instances],
        }
    }

    fn others(&self, instance: usize, engine: usize) -> u32 {
        let all = self.counts.iter().enumerate();
        let others = all.filter(|(other, _)| *other != instance);
        others.map(|(_, counts)| counts[engine]).sum()
    }

    fn told(&mut self, _: usize, _: usize, _: u32, _: u32) {}

    fn published(&mut self, instance: usize, counts: &[u32]) {
        self.counts[instance].copy_from_slice(counts);
    }
}

#[derive(Debug, Clone, Copy)]
struct Placed {
    offer: Offer,
    engine: usize,
    cut: bool,
}

/// An instance's counts reach the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Publish {
    instance: usize,
}

/// The policy.
#[derive(Debug)]
pub struct Each<K> {
    layout: Layout,
    knowledge: K,
    own: Vec<Vec<u32>>,
    waiting: Vec<Vec<Offer>>,
    placed: HashMap<usize, Placed>,
    next_tell_us: u64,
}

impl<K: Knowledge> Each<K> {
    /// The policy for a deployment.
    pub fn new(layout: Layout) -> Self {
        let (instances, engines) = (layout.instances.len(), layout.engines.len());
        Each {
            knowledge: K::new(instances, engines),
            own: vec![vec![0; engines]; instances],
            waiting: vec![Vec::new(); instances],
            placed: HashMap::new(),
            next_tell_us: 0,
            layout,
        }
    }

    fn free(&self, instance: usize, engine: usize) -> usize {
        let own = self.own[instance][engine];
        let load = own + self.knowledge.others(instance, engine);
        self.layout.slots.saturating_sub(load as usize)
    }

    /// The engine with the most room; its own availability zone counts for one place, and instances
    /// begin their search at different engines, so that equals do not send all to the same one.
    fn engine_for(&self, offer: &Offer) -> Option<usize> {
        let count = self.layout.engines.len();
        let all_free: usize = (0..count).map(|e| self.free(offer.instance, e)).sum();
        let headroom = count * self.layout.slots / HEADROOM_DIVISOR;
        if offer.kind == Kind::Batch && all_free <= headroom {
            return None;
        }
        let zone = self.layout.instances[offer.instance];
        let mut best: Option<(usize, usize)> = None;
        for step in 0..count {
            let engine = (offer.request + step) % count;
            let free = self.free(offer.instance, engine);
            if free == 0 || offer.avoid == Some(engine) {
                continue;
            }
            let room = free + usize::from(self.layout.engines[engine] == zone);
            if best.is_none_or(|(most, _)| room > most) {
                best = Some((room, engine));
            }
        }
        best.map(|(_, engine)| engine)
    }

    fn serve(&mut self, now_us: u64, instance: usize, actions: &mut Vec<Action<Publish>>) {
        let mut waiting = std::mem::take(&mut self.waiting[instance]);
        waiting.sort_by_key(|offer| (offer.kind == Kind::Batch, offer.due_us));
        let mut left = Vec::new();
        for offer in waiting {
            if offer.kind == Kind::Online && now_us + FIRST_EVENT_US > offer.due_us {
                actions.push(Action::Refuse {
                    at_us: now_us,
                    request: offer.request,
                    retry_after_ms: RETRY_AFTER_MS,
                });
                continue;
            }
            let Some(engine) = self.engine_for(&offer) else {
                left.push(offer);
                continue;
            };
            self.own[instance][engine] += 1;
            let placed = Placed {
                offer,
                engine,
                cut: false,
            };
            self.placed.insert(offer.request, placed);
            actions.push(Action::Send {
                at_us: now_us,
                request: offer.request,
                engine,
            });
        }
        let online = left
            .iter()
            .filter(|offer| offer.kind == Kind::Online)
            .count();
        self.waiting[instance] = left;
        self.cut(now_us, instance, online, actions);
    }

    /// Cuts own batch items, those with the most slack first, for online requests that wait.
    fn cut(
        &mut self,
        now_us: u64,
        instance: usize,
        wanted: usize,
        actions: &mut Vec<Action<Publish>>,
    ) {
        let all = self.placed.values_mut();
        let mut batch: Vec<&mut Placed> = all
            .filter(|p| p.offer.instance == instance && p.offer.kind == Kind::Batch)
            .collect();
        let on_the_way = batch.iter().filter(|placed| placed.cut).count();
        batch.retain(|placed| !placed.cut);
        batch.sort_by_key(|p| (std::cmp::Reverse(p.offer.due_us), p.offer.request));
        for placed in batch.into_iter().take(wanted.saturating_sub(on_the_way)) {
            placed.cut = true;
            actions.push(Action::Cut {
                at_us: now_us,
                request: placed.offer.request,
            });
        }
    }
}

impl<K: Knowledge> Placement for Each<K> {
    type Note = Publish;

    fn offer(&mut self, now_us: u64, offer: Offer, actions: &mut Vec<Action<Publish>>) {
        self.waiting[offer.instance].push(offer);
        self.serve(now_us, offer.instance, actions);
    }

    fn ended(
        &mut self,
        now_us: u64,
        request: usize,
        end: End,
        load: Option<u32>,
        actions: &mut Vec<Action<Publish>>,
    ) {
        let Some(placed) = self.placed.remove(&request) else {
            for waiting in &mut self.waiting {
                waiting.retain(|offer| offer.request != request);
            }
            return;
        };
        let (instance, engine) = (placed.offer.instance, placed.engine);
        self.own[instance][engine] -= 1;
        let own = self.own[instance][engine];
        let load = match end {
            End::Full => Some(self.layout.slots as u32 + own),
            End::Done | End::Cut | End::GivenUp => load,
        };
        if let Some(load) = load {
            self.knowledge.told(instance, engine, load, own);
        }
        self.serve(now_us, instance, actions);
    }

    fn told(&mut self, _now_us: u64, request: usize, load: u32) {
        if let Some(placed) = self.placed.get(&request) {
            let (instance, engine) = (placed.offer.instance, placed.engine);
            let own = self.own[instance][engine];
            self.knowledge.told(instance, engine, load, own);
        }
    }

    fn noted(&mut self, _now_us: u64, note: Publish, _: &mut Vec<Action<Publish>>) {
        let counts = &self.own[note.instance];
        self.knowledge.published(note.instance, counts);
    }

    fn tick(&mut self, now_us: u64, actions: &mut Vec<Action<Publish>>) {
        if K::TELLS && now_us >= self.next_tell_us {
            self.next_tell_us = now_us + TELL_US;
            for instance in 0..self.layout.instances.len() {
                let flight_us = self.layout.flight_us[instance].iter().max();
                actions.push(Action::Note {
                    at_us: now_us + flight_us.copied().unwrap_or_default(),
                    note: Publish { instance },
                });
            }
        }
        for instance in 0..self.layout.instances.len() {
            self.serve(now_us, instance, actions);
        }
    }

    fn restart(&mut self, _now_us: u64) {
        *self = Each::new(self.layout.clone());
    }
}
