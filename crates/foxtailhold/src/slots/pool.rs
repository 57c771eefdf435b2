//! The places of one service and who waits for them.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::ids::BackendId;
use crate::slots::health::BackendHealth;
use crate::slots::{
    BackendSlots, HeldSlot, SlotDecision, SlotNotice, SlotOutcome, SlotRequest, SlotRequestId,
    Urgency,
};
use crate::time::MonoMs;

/// A grant that its instance does not report is taken back after this time: two reports of many
/// instances, and the flight of the grant.
pub const UNCONFIRMED_MS: u64 = 900;
/// An online request that waits asks again every 100 ms; after four missed ones it is taken as gone.
pub const FORGOTTEN_MS: u64 = 450;
/// The same for a batch item, which asks again every second.
pub const FORGOTTEN_BATCH_MS: u64 = 2_600;
/// A request that hears nothing for this time speaks against its backend server: over the longest
/// time to a first event and many times a step.
pub const QUIET_MS: u64 = 700;
/// Time that an engine needs for a first event once it begins: reading the prompt, and some steps.
pub const FIRST_EVENT_MS: u64 = 110;
/// Places kept free of batch work at rest, so that an arrival need not cut a batch item.
const LEAST_HEADROOM: u64 = 1;
/// Online arrivals a second for which one more place is kept free. Twice as much headroom costs up
/// to 1 in 100 batch items their time, and none at all costs 1 in 100 online requests theirs, by the
/// sheets of `foxtailhold-experiment`.
const ARRIVALS_PER_HEADROOM: u64 = 28;
/// A batch item with less slack than this is tight.
const TIGHT_SLACK_MS: u64 = 2_500;
/// Headroom is at most one place of so many.
const LEAST_PLACES_PER_HEADROOM: u64 = 4;
/// Span over which arrivals are counted.
const ARRIVALS_MS: u64 = 1_000;
/// First guess of the time that an online request holds a place, until some have ended.
const FIRST_GUESS_HELD_MS: f64 = 800.0;
/// Weight of the newest time in the running mean.
const HELD_WEIGHT: f64 = 0.05;
/// Least and most time after which a refused caller should come back.
const RETRY_AFTER_MS: (u64, u64) = (150, 1_500);

#[derive(Debug, Clone)]
struct Grant {
    urgency: Urgency,
    slack_until: MonoMs,
    granted_at: MonoMs,
    yielding: bool,
}

#[derive(Debug)]
struct Backend {
    places: BackendSlots,
    grants: HashMap<SlotRequestId, Grant>,
    trouble: BackendHealth,
}

impl Backend {
    fn free(&self, now: MonoMs) -> u32 {
        let limit = self.trouble.limit(now, self.places.slots);
        limit.saturating_sub(self.grants.len() as u32)
    }
}

#[derive(Debug)]
struct Waiting {
    ask: SlotRequest,
    slack_until: MonoMs,
    seen_at: MonoMs,
}

/// Free places while they are handed out.
#[derive(Debug, Clone, Copy)]
struct Room {
    free: u64,
    headroom: u64,
}

impl Room {
    /// Whether there is a place for who waits. An item that would soon be too late may use the
    /// headroom: it is cut all the same where an online request needs its place.
    fn allows(&self, now: MonoMs, waiting: &Waiting) -> bool {
        let until = waiting.slack_until;
        let is_tight = until > now && until < now + TIGHT_SLACK_MS;
        match waiting.ask.urgency {
            Urgency::Batch if !is_tight => self.free > self.headroom,
            _ => self.free > 0,
        }
    }
}

/// One service's places.
#[derive(Debug)]
pub struct Pool {
    backends: BTreeMap<BackendId, Backend>,
    waiting: Vec<Waiting>,
    arrivals: VecDeque<MonoMs>,
    held_ms: f64,
}

impl Default for Pool {
    fn default() -> Self {
        Pool {
            backends: BTreeMap::new(),
            waiting: Vec::new(),
            arrivals: VecDeque::new(),
            held_ms: FIRST_GUESS_HELD_MS,
        }
    }
}

impl Pool {
    /// Replaces the backend servers; grants at those that stay are kept.
    pub fn set_backends(&mut self, all: &[BackendSlots]) {
        let mut old = std::mem::take(&mut self.backends);
        for places in all {
            let backend = match old.remove(&places.backend) {
                Some(known) => Backend {
                    places: places.clone(),
                    ..known
                },
                None => Backend {
                    places: places.clone(),
                    grants: HashMap::new(),
                    trouble: BackendHealth::default(),
                },
            };
            self.backends.insert(places.backend.clone(), backend);
        }
    }

    /// Takes an ask; the same one may come again.
    pub fn ask(&mut self, now: MonoMs, ask: SlotRequest) -> SlotDecision {
        if let Some(backend) = self.holder(&ask.id) {
            return SlotDecision::Granted(backend);
        }
        if let Some(known) = self.waiting.iter_mut().find(|w| w.ask.id == ask.id) {
            known.seen_at = now;
            return SlotDecision::Queued;
        }
        if matches!(ask.urgency, Urgency::Online { .. }) {
            self.arrivals.push_back(now);
            if let Some(retry_after_ms) = self.too_late(now, &ask) {
                return SlotDecision::Refused { retry_after_ms };
            }
        }
        self.waiting.push(Waiting {
            slack_until: now + ask.slack_ms,
            seen_at: now,
            ask,
        });
        SlotDecision::Queued
    }

    fn holder(&self, id: &SlotRequestId) -> Option<BackendId> {
        let held = self.backends.values().find(|b| b.grants.contains_key(id));
        held.map(|backend| backend.places.backend.clone())
    }

    /// When to come back, where the ask would be served after its objective.
    fn too_late(&self, now: MonoMs, ask: &SlotRequest) -> Option<u64> {
        let usable = self.usable(now);
        let mut ready = 0_u64;
        for backend in self.backends.values() {
            ready += u64::from(backend.free(now));
            ready += count(backend.grants.values(), |g| g.urgency == Urgency::Batch);
        }
        let Urgency::Online { priority } = ask.urgency else {
            return None;
        };
        let ahead = count(self.waiting.iter(), |w| match w.ask.urgency {
            Urgency::Online { priority: other } => other <= priority,
            Urgency::Batch => false,
        });
        if ahead < ready {
            return None;
        }
        if usable == 0 {
            return Some(RETRY_AFTER_MS.1 / 2);
        }
        let wait_ms = ((ahead - ready + 1) as f64 * self.held_ms / usable as f64) as u64;
        if wait_ms + FIRST_EVENT_MS <= ask.slack_ms {
            return None;
        }
        Some(wait_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1))
    }

    /// Notes the end of a use, or that who waited has left.
    pub fn release(&mut self, now: MonoMs, id: &SlotRequestId, outcome: SlotOutcome, draw: u64) {
        self.waiting.retain(|waiting| waiting.ask.id != *id);
        for backend in self.backends.values_mut() {
            let Some(grant) = backend.grants.remove(id) else {
                continue;
            };
            backend.trouble.note(now, outcome, draw);
            if let (Urgency::Online { .. }, SlotOutcome::Done { held_ms }) =
                (grant.urgency, outcome)
            {
                self.held_ms += HELD_WEIGHT * (held_ms as f64 - self.held_ms);
            }
        }
    }

    /// Sets what one instance holds straight from its own list.
    pub fn reconcile(
        &mut self,
        now: MonoMs,
        asks: &[(SlotRequestId, &HeldSlot)],
        mine: impl Fn(&SlotRequestId) -> bool,
    ) {
        for backend in self.backends.values_mut() {
            let id = &backend.places.backend;
            backend.grants.retain(|ask, grant| {
                let told = asks.iter().any(|(a, held)| a == ask && held.backend == *id);
                !mine(ask) || told || now.since_ms(grant.granted_at) < UNCONFIRMED_MS
            });
        }
        for (ask, held) in asks {
            let Some(backend) = self.backends.get_mut(&held.backend) else {
                continue;
            };
            backend.grants.entry(ask.clone()).or_insert_with(|| Grant {
                urgency: held.urgency,
                slack_until: now + 1,
                granted_at: now,
                yielding: false,
            });
            if held.quiet_ms > QUIET_MS {
                backend.trouble.note(now, SlotOutcome::Silent, held.number);
            }
        }
    }

    /// Frees what instances hold that are gone. Who waits is forgotten by its own time.
    pub fn forget(&mut self, is_gone: impl Fn(&SlotRequestId) -> bool) {
        for backend in self.backends.values_mut() {
            backend.grants.retain(|ask, _| !is_gone(ask));
        }
    }

    /// Hands out what is free, and asks batch items to give way.
    pub fn decide(&mut self, now: MonoMs, decisions: &mut Vec<SlotNotice>) {
        self.waiting.retain(|waiting| {
            let forgotten_ms = match waiting.ask.urgency {
                Urgency::Online { .. } => FORGOTTEN_MS,
                Urgency::Batch => FORGOTTEN_BATCH_MS,
            };
            now.since_ms(waiting.seen_at) < forgotten_ms
        });
        while let Some(first) = self.arrivals.front() {
            if now.since_ms(*first) <= ARRIVALS_MS {
                break;
            }
            self.arrivals.pop_front();
        }
        self.waiting.sort_by_key(|waiting| order(now, waiting));
        let mut room = self.room(now);
        let mut left = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let place = match room.allows(now, &waiting) {
                true => self.place_for(now, &waiting.ask),
                false => None,
            };
            let Some(backend) = place else {
                left.push(waiting);
                continue;
            };
            room.free -= 1;
            self.grant(now, waiting, backend, decisions);
        }
        self.waiting = left;
        self.yield_batch(decisions);
    }

    /// The engine with the fewest places in use; one in another availability zone must have two fewer,
    /// since a step grows little with one more place and bytes between availability zones cost.
    fn place_for(&self, now: MonoMs, ask: &SlotRequest) -> Option<BackendId> {
        let mut best: Option<(u32, bool, &BackendId)> = None;
        for (id, backend) in &self.backends {
            let free = backend.free(now);
            if free == 0 || ask.avoid.contains(id) {
                continue;
            }
            let used = backend.grants.len() as u32;
            let is_far = backend.places.zone != ask.zone;
            let rank = (used + u32::from(is_far), is_far, id);
            if best.is_none_or(|known| rank < known) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    /// What is free, counted once for all who wait: hundreds of items may wait for places at dozens of
    /// engines, and each ask and release decides anew.
    fn room(&self, now: MonoMs) -> Room {
        Room {
            free: self.backends.values().map(|b| u64::from(b.free(now))).sum(),
            headroom: self.headroom(now),
        }
    }

    /// Places kept free of batch work. A small or troubled pool keeps none: where only single
    /// requests may try its engines, batch items must be able to try them too.
    fn headroom(&self, now: MonoMs) -> u64 {
        let wanted = LEAST_HEADROOM + self.arrivals.len() as u64 / ARRIVALS_PER_HEADROOM;
        wanted.min(self.usable(now) / LEAST_PLACES_PER_HEADROOM)
    }

    /// Places that may be in use.
    fn usable(&self, now: MonoMs) -> u64 {
        let limits = self.backends.values();
        limits
            .map(|b| u64::from(b.trouble.limit(now, b.places.slots)))
            .sum()
    }

    fn grant(
        &mut self,
        now: MonoMs,
        waiting: Waiting,
        id: BackendId,
        decisions: &mut Vec<SlotNotice>,
    ) {
        let grant = Grant {
            urgency: waiting.ask.urgency,
            slack_until: waiting.slack_until,
            granted_at: now,
            yielding: false,
        };
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.grants.insert(waiting.ask.id.clone(), grant);
        }
        decisions.push(SlotNotice {
            request: waiting.ask.id,
            decision: Some(SlotDecision::Granted(id)),
        });
    }

    /// Cuts as many batch items as online requests wait: those that are late already first, then
    /// those with the most slack.
    fn yield_batch(&mut self, decisions: &mut Vec<SlotNotice>) {
        let wanted = count(self.waiting.iter(), |w| w.ask.urgency != Urgency::Batch);
        if wanted == 0 {
            return;
        }
        let grants = self.backends.values_mut().flat_map(|b| b.grants.iter_mut());
        let mut batch: Vec<(&SlotRequestId, &mut Grant)> = grants
            .filter(|(_, grant)| grant.urgency == Urgency::Batch)
            .collect();
        let on_the_way = count(batch.iter(), |(_, grant)| grant.yielding);
        batch.retain(|(_, grant)| !grant.yielding);
        batch.sort_by_key(|(_, grant)| {
            let is_late = grant.slack_until <= grant.granted_at;
            (!is_late, std::cmp::Reverse(grant.slack_until))
        });
        let more = wanted.saturating_sub(on_the_way) as usize;
        for (ask, grant) in batch.into_iter().take(more) {
            grant.yielding = true;
            decisions.push(SlotNotice {
                request: ask.clone(),
                decision: None,
            });
        }
    }

    /// Online places in use and requests in wait, for logs.
    pub fn load(&self) -> (u64, u64) {
        let used = self.backends.values().map(|b| b.grants.len() as u64).sum();
        (used, self.waiting.len() as u64)
    }
}

/// People before batch; by rank; those that can still be on time first; then by what is due first.
/// Above capacity, serving what is late already would make the next ones late as well.
fn order(now: MonoMs, waiting: &Waiting) -> (bool, u8, bool, MonoMs) {
    let until = waiting.slack_until;
    match waiting.ask.urgency {
        Urgency::Online { priority } => (false, priority, until < now + FIRST_EVENT_MS, until),
        Urgency::Batch => (true, 0, until <= now, until),
    }
}

fn count<T>(items: impl Iterator<Item = T>, is_one: impl Fn(&T) -> bool) -> u64 {
    items.filter(|item| is_one(item)).count() as u64
}
