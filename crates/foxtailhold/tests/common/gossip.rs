//! Simulation of many membership state machines in one process, with lost messages.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foxtailhold::contract_sync::{ContractStatus, ListingState};
use foxtailhold::ids::InstanceId;
use foxtailhold::membership::{
    Gossip, GossipPayload, Member, MemberState, Membership, PROBE_PERIOD_MS,
};
use foxtailhold::time::MonoMs;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One simulated instance.
pub struct Node {
    pub membership: Membership,
    pub alive: bool,
    pub paused: bool,
    /// Whether all messages from and to this instance are lost.
    pub partitioned: bool,
    started_ms: u64,
}

/// The simulated instances, with the number and size of their messages.
pub struct Nodes {
    pub nodes: Vec<Node>,
    pub now_ms: u64,
    pub lost_percent: u32,
    pub messages: u64,
    pub bytes: u64,
    rng: SmallRng,
}

pub fn id(index: usize) -> InstanceId {
    InstanceId::try_from(format!("entry-{index}").as_str()).unwrap()
}

pub fn member(index: usize, incarnation: u64) -> Member {
    let address = |port: u16| SocketAddr::from(([10, 0, (index / 250) as u8, index as u8], port));
    Member {
        id: id(index),
        incarnation,
        state: MemberState::Alive,
        caller_address: address(7100),
        peer_address: address(7200),
        operator_address: address(7300),
        availability_zone: "concord-hall".try_into().unwrap(),
        listing: ListingState::Listed,
    }
}

impl Nodes {
    /// Creates `count` instances, each of which knows only the first one.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut nodes = Nodes {
            nodes: Vec::new(),
            now_ms: 0,
            lost_percent: 0,
            messages: 0,
            bytes: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for _ in 0..count {
            nodes.join(1_000);
        }
        nodes
    }

    /// Starts another instance, which learns the address of the first running one from the fleet
    /// list.
    pub fn join(&mut self, incarnation: u64) -> usize {
        let index = self.nodes.len();
        let membership = Membership::new(member(index, incarnation), self.rng.random());
        self.nodes.push(Node {
            membership,
            alive: true,
            paused: false,
            partitioned: false,
            started_ms: self.now_ms,
        });
        index
    }

    /// Restarts an instance with the same identifier.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let membership = Membership::new(member(index, incarnation), self.rng.random());
        self.nodes[index] = Node {
            membership,
            alive: true,
            paused: false,
            partitioned: false,
            started_ms: self.now_ms,
        };
    }

    pub fn runs(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.alive && !node.paused
    }

    pub fn clock(&self, index: usize) -> MonoMs {
        MonoMs(self.now_ms - self.nodes[index].started_ms)
    }

    pub fn carried(&self) -> GossipPayload {
        GossipPayload {
            contracts: ContractStatus {
                number: 100_000,
                confirmed_age_ms: Some(1_000),
            },
            leaving: Vec::new(),
        }
    }

    fn count(&mut self, gossip: &Gossip) {
        let bytes = bincode::serde::encode_to_vec(gossip, bincode::config::standard()).unwrap();
        self.messages += 1;
        self.bytes += bytes.len() as u64;
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let partitioned = self.nodes[from].partitioned || self.nodes[to].partitioned;
        !partitioned && self.runs(to) && self.rng.random_range(0..100) >= self.lost_percent
    }

    /// Delivers a message and its response. Returns whether the response arrived.
    fn exchange(&mut self, from: usize, to: usize, gossip: &Gossip) -> bool {
        self.count(gossip);
        if !self.is_delivered(from, to) {
            return false;
        }
        let (now, carried) = (self.clock(to), self.carried());
        let answer = self.nodes[to].membership.on_message(gossip, carried, now);
        self.count(&answer);
        if !self.is_delivered(to, from) {
            return false;
        }
        let now = self.clock(from);
        let node = &mut self.nodes[from].membership;
        node.on_probe_response(&answer, gossip.want_all, now);
        true
    }

    fn index_of(&self, id: &InstanceId) -> usize {
        let number = id.as_str().trim_start_matches("entry-");
        number.parse().unwrap()
    }

    fn probe(&mut self, index: usize) {
        let (now, carried) = (self.clock(index), self.carried());
        let node = &mut self.nodes[index].membership;
        node.tick(now);
        if let Some(target) = node.probe_target() {
            let gossip = node.probe(Some(&target.id), carried.clone());
            let to = self.index_of(&target.id);
            if !self.exchange(index, to, &gossip) {
                self.probe_indirectly(index, to);
            }
        }
        if let Some(dead) = self.nodes[index].membership.dead_probe_target() {
            let node = &mut self.nodes[index].membership;
            let gossip = node.probe(Some(&dead.id), carried.clone());
            let to = self.index_of(&dead.id);
            self.exchange(index, to, &gossip);
        }
        if self.nodes[index].membership.members().count() == 1 {
            let seed = (0..self.nodes.len()).find(|to| *to != index && self.runs(*to));
            if let Some(seed) = seed {
                let gossip = self.nodes[index].membership.probe(None, carried);
                self.exchange(index, seed, &gossip);
            }
        }
    }

    fn probe_indirectly(&mut self, index: usize, target: usize) {
        let mut answered = false;
        for helper in self.nodes[index].membership.indirect_probers(&id(target)) {
            let helper = self.index_of(&helper.id);
            let request_delivered =
                self.is_delivered(index, helper) && self.is_delivered(helper, target);
            answered |= request_delivered
                && self.is_delivered(target, helper)
                && self.is_delivered(helper, index);
        }
        let now = self.clock(index);
        let node = &mut self.nodes[index].membership;
        match answered {
            true => node.on_indirect_response(),
            false => node.on_probe_failure(&id(target), now),
        }
    }

    /// Simulates one probe period of all running instances.
    pub fn period(&mut self) {
        self.now_ms += PROBE_PERIOD_MS;
        for index in 0..self.nodes.len() {
            if self.runs(index) {
                self.probe(index);
            }
        }
    }

    /// Counts the running instances by the state in which they see the instance `index`.
    pub fn seen(&self, index: usize) -> BTreeMap<Option<MemberState>, usize> {
        let mut seen = BTreeMap::new();
        for (other, node) in self.nodes.iter().enumerate() {
            if other == index || !self.runs(other) || node.partitioned {
                continue;
            }
            let state = node.membership.members().find(|m| m.id == id(index));
            *seen.entry(state.map(|member| member.state)).or_insert(0) += 1;
        }
        seen
    }

    /// Whether all running instances see `index` in `state`.
    pub fn agreed(&self, index: usize, state: MemberState) -> bool {
        self.seen(index).keys().all(|seen| *seen == Some(state))
    }

    /// Whether no running instance has `index` in its membership list.
    pub fn agreed_absent(&self, index: usize) -> bool {
        self.seen(index).keys().all(Option::is_none)
    }

    /// Introduces running instances that do not know each other, as the fleet list does.
    pub fn reseed(&mut self) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                let node = &self.nodes[from].membership;
                let known = node.members().any(|member| member.id == id(to));
                if known || !self.runs(from) || !self.runs(to) {
                    continue;
                }
                let carried = self.carried();
                let gossip = self.nodes[from].membership.probe(None, carried);
                self.exchange(from, to, &gossip);
            }
        }
    }

    /// Runs probe periods until `done` holds and returns their number. Panics after `limit`
    /// periods.
    pub fn periods_until(&mut self, limit: u64, mut done: impl FnMut(&Nodes) -> bool) -> u64 {
        for period in 0..limit {
            if done(self) {
                return period;
            }
            self.period();
        }
        assert!(done(self), "not reached within {limit} periods");
        limit
    }
}
