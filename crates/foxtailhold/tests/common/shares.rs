//! Simulation of several instances that share the limit of one customer, with the messages between
//! them and an oracle for the number of requests that they may admit together.

use std::collections::{BTreeSet, VecDeque};

use foxtailhold::ids::{CustomerId, InstanceId};
use foxtailhold::limits::{
    CustomerLimits, LEASE_MS, LimitCoordinator, LimitDecision, MembershipViews, ShareGrant,
    ShareHolder, ShareRequest,
};
use foxtailhold::time::MonoMs;

pub const STEP_MS: u64 = 20;
pub const INSTANCES: usize = 4;
pub const LIMITS: CustomerLimits = CustomerLimits {
    requests_per_s: 100.0,
    burst_requests: 40.0,
    tokens_per_s: 1e9,
    burst_tokens: 2e9,
    slots: 1_000_000,
};

pub fn instance(index: usize) -> InstanceId {
    format!("entry-{index}").as_str().try_into().unwrap()
}

pub fn customer() -> CustomerId {
    "granite-trail".try_into().unwrap()
}

#[derive(Debug)]
pub struct Node {
    views: MembershipViews,
    pub coordinator: LimitCoordinator,
    holder: ShareHolder,
    running: bool,
    waiting_since: Option<MonoMs>,
}

#[derive(Debug)]
enum Message {
    Request(ShareRequest),
    Grant(ShareGrant),
    Recall,
}

#[derive(Debug)]
struct InFlight {
    from: usize,
    to: usize,
    at: MonoMs,
    message: Message,
}

/// The simulated instances, the messages between them, and the number of admitted requests.
#[derive(Debug)]
pub struct World {
    now: MonoMs,
    pub nodes: Vec<Node>,
    net: Vec<InFlight>,
    pub partitions: BTreeSet<(usize, usize)>,
    pub loss_percent: u64,
    pub delay_ms: u64,
    number: u64,
    posted_messages: u64,
    coordinator_shares: VecDeque<(MonoMs, f64)>,
    changes: Vec<MonoMs>,
    pub admitted: f64,
    /// Number of requests that had to wait.
    pub held_back: u64,
    allowed: f64,
    min_excess: f64,
    pub worst: f64,
}

impl World {
    pub fn new() -> Self {
        let now = MonoMs(10_000);
        let mut nodes = Vec::new();
        for index in 0..INSTANCES {
            let mut views = MembershipViews::new(instance(index), MonoMs(0));
            let all = (0..INSTANCES).map(instance).collect();
            views.set(all, INSTANCES as u32, MonoMs(1));
            let node = Node {
                views,
                coordinator: LimitCoordinator::default(),
                holder: ShareHolder::new(now),
                running: true,
                waiting_since: None,
            };
            nodes.push(node);
        }
        World {
            now,
            nodes,
            net: Vec::new(),
            partitions: BTreeSet::new(),
            loss_percent: 0,
            delay_ms: 2,
            number: 0,
            posted_messages: 0,
            coordinator_shares: VecDeque::new(),
            changes: Vec::new(),
            admitted: 0.0,
            held_back: 0,
            allowed: 0.0,
            min_excess: 0.0,
            worst: 0.0,
        }
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        !self.partitions.contains(&(a.min(b), a.max(b)))
    }

    pub fn coordinator_of(&self, index: usize) -> usize {
        let coordinator = self.nodes[index].views.coordinator(&customer()).unwrap();
        (0..INSTANCES)
            .find(|other| instance(*other) == *coordinator)
            .unwrap()
    }

    fn post(&mut self, from: usize, to: usize, message: Message) {
        self.posted_messages += 1;
        let draw = self.posted_messages.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let lost = from != to && draw % 100 < self.loss_percent;
        if lost || !self.reaches(from, to) {
            return;
        }
        let delay_ms = if from == to { 0 } else { self.delay_ms };
        let at = self.now + delay_ms;
        self.net.push(InFlight {
            from,
            to,
            at,
            message,
        });
    }

    fn deliver(&mut self) {
        loop {
            let due = self.net.iter().position(|message| message.at <= self.now);
            let Some(due) = due else {
                return;
            };
            let InFlight {
                from, to, message, ..
            } = self.net.swap_remove(due);
            let now = self.now;
            let node = &mut self.nodes[to];
            if !node.running {
                continue;
            }
            match message {
                Message::Request(request) => {
                    let grant = node.coordinator.handle_request(
                        &instance(from),
                        &request,
                        &LIMITS,
                        &node.views,
                        now,
                    );
                    if let Some(grant) = grant {
                        self.post(to, from, Message::Grant(grant));
                    }
                    self.recall(to);
                }
                Message::Recall => node.holder.recalled(now),
                Message::Grant(grant) => node.holder.granted(&LIMITS, &grant, now),
            }
        }
    }

    fn recall(&mut self, coordinator: usize) {
        let over_share = self.nodes[coordinator]
            .coordinator
            .recall(&customer(), self.now);
        for index in 0..INSTANCES {
            if over_share.contains(&instance(index)) {
                self.post(coordinator, index, Message::Recall);
            }
        }
    }

    fn send_requests(&mut self) {
        for index in 0..INSTANCES {
            self.number += 1;
            let (now, number) = (self.now, self.number);
            let node = &mut self.nodes[index];
            if !node.running {
                continue;
            }
            if let Some(request) = node.holder.due_request(&customer(), &LIMITS, number, now) {
                let coordinator = self.coordinator_of(index);
                self.post(index, coordinator, Message::Request(request));
            }
            if self.nodes[index].holder.is_forgettable(now) {
                self.nodes[index].holder = ShareHolder::new(now);
            }
        }
    }

    /// Sends `count` requests to an instance and returns the number of admitted ones.
    pub fn request(&mut self, index: usize, count: u32) -> u32 {
        let mut admitted = 0;
        for _ in 0..count {
            if !self.nodes[index].running {
                break;
            }
            admitted += u32::from(self.request_one(index));
        }
        self.admitted += f64::from(admitted);
        self.check();
        admitted
    }

    fn request_one(&mut self, index: usize) -> bool {
        let now = self.now;
        for attempt in 0..2 {
            let node = &mut self.nodes[index];
            let listed = node.views.listed();
            let decision = match attempt {
                0 => node.holder.admit(&LIMITS, listed, 0.0, now),
                _ => node.holder.admit_again(&LIMITS, listed, 0.0, now),
            };
            match decision {
                LimitDecision::Admitted => {
                    node.holder.finish(0.0, 0);
                    return true;
                }
                LimitDecision::Over { .. } => return false,
                LimitDecision::Wait => self.held_back += 1,
            }
            self.send_requests();
            self.deliver();
            let node = &mut self.nodes[index];
            let since = *node.waiting_since.get_or_insert(now);
            if now.since_ms(since) >= 50 {
                node.waiting_since = None;
                let before = node.holder.in_fallback(self.now);
                node.holder.fall_back(&LIMITS, listed, now);
                if node.holder.in_fallback(self.now) && !before {
                    self.allowed += LIMITS.burst_requests / f64::from(listed);
                }
            }
        }
        false
    }

    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = self.now + STEP_MS.min(end.since_ms(self.now));
            self.deliver();
            self.send_requests();
            self.deliver();
            self.allow();
            for node in &mut self.nodes {
                node.coordinator.sweep(self.now);
            }
        }
    }

    /// Adds the requests that may be admitted during the last step to the allowed number.
    fn allow(&mut self) {
        let mut coordinator_shares = 0.0;
        for index in 0..INSTANCES {
            let node = &self.nodes[index];
            let is_coordinator = node.running && node.views.is_coordinator(&customer());
            if is_coordinator {
                coordinator_shares += f64::from(node.views.live()) / f64::from(node.views.listed());
            }
        }
        self.coordinator_shares
            .push_back((self.now, coordinator_shares));
        while self
            .coordinator_shares
            .front()
            .is_some_and(|(at, _)| self.now.since_ms(*at) > LEASE_MS)
        {
            self.coordinator_shares.pop_front();
        }
        let granted = self.max_granted_share();
        let changing = self
            .changes
            .last()
            .is_some_and(|at| self.now.since_ms(*at) <= LEASE_MS + STEP_MS);
        let mut fallback = 0.0;
        for node in &self.nodes {
            let part = 1.0 / f64::from(node.views.listed());
            fallback += if node.holder.in_fallback(self.now) {
                part
            } else {
                0.0
            };
        }
        let fraction = granted + f64::from(u8::from(changing)) + fallback;
        self.allowed += fraction * LIMITS.requests_per_s * STEP_MS as f64 / 1_000.0;
        self.check();
    }

    /// Oracle: a token bucket shared by all instances. `worst` is the largest number of requests
    /// admitted beyond it.
    fn check(&mut self) {
        let excess = self.admitted - self.allowed;
        self.min_excess = self.min_excess.min(excess + self.unaccounted_burst());
        self.worst = self
            .worst
            .max(excess - self.min_excess - LIMITS.burst_requests);
        let slack = INSTANCES as f64 + 2.0;
        assert!(
            self.worst <= slack,
            "{} requests over the limit at {:?}",
            self.worst,
            self.now
        );
    }

    /// Largest multiple of the limit that all coordinators together could grant at any time during
    /// the last lease.
    fn max_granted_share(&self) -> f64 {
        let coordinator_shares = self
            .coordinator_shares
            .iter()
            .map(|(_, coordinator_shares)| *coordinator_shares);
        coordinator_shares.fold(1.0, f64::max)
    }

    /// Number of requests in bursts that may be left in buckets unknown to the present coordinator.
    fn unaccounted_burst(&self) -> f64 {
        let recent = |at: &&MonoMs| self.now.since_ms(**at) <= 2 * LEASE_MS;
        let mut bursts = self.changes.iter().filter(recent).count() as f64;
        bursts += self.max_granted_share() - 1.0;
        for node in &self.nodes {
            let part = 1.0 / f64::from(node.views.listed());
            bursts += if node.holder.in_fallback(self.now) {
                part
            } else {
                0.0
            };
        }
        bursts * LIMITS.burst_requests
    }

    pub fn disturbed(&mut self) {
        self.changes.push(self.now);
        self.allowed += LIMITS.burst_requests;
    }

    pub fn set_view(&mut self, index: usize, members: &[usize]) {
        let mut members: Vec<InstanceId> = members.iter().map(|m| instance(*m)).collect();
        members.push(instance(index));
        members.sort();
        members.dedup();
        let now = self.now;
        self.nodes[index].views.set(members, INSTANCES as u32, now);
        self.disturbed();
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
        self.disturbed();
    }

    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.running = true;
        node.coordinator = LimitCoordinator::default();
        node.holder = ShareHolder::new(now);
        node.waiting_since = None;
        let mut views = MembershipViews::new(instance(index), now);
        views.set(
            (0..INSTANCES).map(instance).collect(),
            INSTANCES as u32,
            now,
        );
        node.views = views;
        self.disturbed();
    }

    /// Sends ten requests to each of `instances` every 20 ms for `ms` milliseconds and returns the
    /// number of admitted ones.
    pub fn flood(&mut self, instances: &[usize], ms: u64) -> f64 {
        let mut admitted = 0;
        for _ in 0..ms / STEP_MS {
            for index in instances {
                admitted += self.request(*index, 10);
            }
            self.advance(STEP_MS);
        }
        f64::from(admitted)
    }
}
