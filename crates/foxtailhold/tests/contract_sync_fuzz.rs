//! Stateful fuzzing of [`foxtailhold::contract_sync`] against fakes of the table service, the clock
//! and the peers.
//!
//! After every step it checks that no contract reverts to an older version, and that an instance
//! which is listed has applied all changes older than the bound. Once all faults have ended, every
//! accepted change must come into force. `FOXTAILHOLD_FUZZ_CASES` sets the number of cases for
//! longer runs.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::fuzz_config;
use foxtailhold::contract::{ApiKeyDigest, Contract};
use foxtailhold::contract_registry::{
    ContractChange, ContractEntry, ContractRegistry, ContractSyncData,
};
use foxtailhold::contract_sync::{
    CURRENT_BOUND_MS, ContractStatus, ContractStoreSnapshot, ContractSync, ListingState, SyncStep,
};
use foxtailhold::ids::CustomerId;
use foxtailhold::time::MonoMs;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Few, so that peers often fall too far behind and get a snapshot.
const CHANGES_KEPT: usize = 4;
/// Few, so that instances often have to scan the contract rows.
const SNAPSHOT_REPLAY_CHANGES: u64 = 3;
const INSTANCES: usize = 5;
const CUSTOMERS: u64 = 6;
/// Required time until an accepted change is in force on all instances, once no fault is left.
const FORCE_BOUND_MS: u64 = 6_000;
const TICK_MS: u64 = 250;
const CHANGE_MS: u64 = 60;
const MAX_LAG_MS: u64 = 1_000;

#[derive(Debug, Clone)]
enum Transition {
    /// An operator changes a customer's contract through an instance. The push reaches the peers in
    /// the bit set `notified` at once, and the others when it is delivered.
    Change {
        at: usize,
        customer: u64,
        notified: u8,
        killed: bool,
        answer_lost: bool,
    },
    /// Time passes with gossip. Messages from and to the instances in the bit set `drops` are lost.
    Pass {
        ticks: u8,
        drops: u8,
        seed: u64,
    },
    /// A pushed change arrives late. With `again` it stays queued and can be delivered twice.
    Deliver {
        index: usize,
        again: bool,
    },
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    StoreDown(bool),
    Lag(u64),
    /// All faults end; every accepted change must come into force within [`FORCE_BOUND_MS`].
    Heal,
}

/// Reference without a state: it only generates transitions. The log in [`World`] is the oracle.
#[derive(Debug, Clone)]
struct TransitionGenerator;

impl ReferenceStateMachine for TransitionGenerator {
    type State = TransitionGenerator;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<TransitionGenerator> {
        Just(TransitionGenerator).boxed()
    }

    fn transitions(_: &TransitionGenerator) -> BoxedStrategy<Transition> {
        let at = 0..INSTANCES;
        prop_oneof![
            12 => (at.clone(), 0..CUSTOMERS, any::<u8>(), prop::bool::weighted(0.2), any::<bool>())
                .prop_map(|(at, customer, notified, killed, answer_lost)| Transition::Change {
                    at, customer, notified, killed, answer_lost }),
            8 => (1..12_u8, any::<u8>(), any::<u64>())
                .prop_map(|(ticks, drops, seed)| Transition::Pass { ticks, drops, seed }),
            4 => (any::<usize>(), any::<bool>())
                .prop_map(|(index, again)| Transition::Deliver { index, again }),
            1 => at.clone().prop_map(Transition::Pause),
            2 => at.clone().prop_map(Transition::Resume),
            1 => at.clone().prop_map(Transition::Kill),
            4 => at.prop_map(Transition::Restart),
            1 => any::<bool>().prop_map(Transition::StoreDown),
            2 => (0..=MAX_LAG_MS).prop_map(Transition::Lag),
            1 => Just(Transition::Heal),
        ]
        .boxed()
    }

    fn apply(state: TransitionGenerator, _: &Transition) -> TransitionGenerator {
        state
    }
}

#[derive(Debug)]
struct Instance {
    sync: ContractSync,
    alive: bool,
    paused: bool,
    started_ms: u64,
    highest: u64,
    highest_entry: BTreeMap<CustomerId, u64>,
}

impl Instance {
    fn new(started_ms: u64) -> Self {
        let sync = ContractSync::with_log_capacity(CHANGES_KEPT);
        Instance {
            sync,
            alive: true,
            paused: false,
            started_ms,
            highest: 0,
            highest_entry: BTreeMap::new(),
        }
    }

    fn clock(&self, now_ms: u64) -> MonoMs {
        MonoMs(now_ms - self.started_ms)
    }

    fn is_running(&self) -> bool {
        self.alive && !self.paused
    }
}

#[derive(Debug)]
struct World {
    now_ms: u64,
    log: Vec<(u64, ContractChange)>,
    instances: Vec<Instance>,
    undelivered: Vec<(usize, ContractSyncData)>,
    store_down: bool,
    lag_ms: u64,
}

fn customer(index: u64) -> CustomerId {
    CustomerId::try_from(format!("customer-{index}").as_str()).unwrap()
}

/// An API key that moves between customers, or the customer's own key if another customer holds it.
fn free_key(
    rows: &BTreeMap<CustomerId, ContractEntry>,
    customer: &CustomerId,
    draw: u64,
) -> String {
    let key = format!("moving-key-{draw}");
    for (holder, row) in rows {
        let held = row
            .contract
            .as_ref()
            .is_some_and(|c| c.api_keys.contains(&ApiKeyDigest::of(&key)));
        if held && holder != customer {
            return format!("key-of-{customer}");
        }
    }
    key
}

impl World {
    fn head_at(&self, ms: u64) -> u64 {
        self.log.iter().filter(|(at, _)| *at <= ms).count() as u64
    }

    /// The moment that a read sees, which may be up to `lag_ms` in the past.
    fn read_moment_ms(&self, draw: u64) -> u64 {
        self.now_ms.saturating_sub(draw % (self.lag_ms + 1))
    }

    fn rows_at(&self, ms: u64) -> BTreeMap<CustomerId, ContractEntry> {
        self.rows_until(self.head_at(ms))
    }

    fn rows_until(&self, number: u64) -> BTreeMap<CustomerId, ContractEntry> {
        let mut rows = BTreeMap::new();
        for (_, change) in &self.log[..number as usize] {
            let entry = ContractEntry {
                version: change.version,
                number: change.number,
                contract: change.contract.clone(),
            };
            rows.insert(change.customer.clone(), entry);
        }
        rows
    }

    /// Scans the rows, each as it was at another moment within the lag.
    fn scan(&self, draw: u64) -> Vec<(CustomerId, ContractEntry)> {
        let mut found = Vec::new();
        for index in 0..CUSTOMERS {
            let customer = customer(index);
            let read_ms = self.read_moment_ms(draw.rotate_left(index as u32 * 9 + 3));
            let row = self.rows_at(read_ms).remove(&customer);
            found.extend(row.map(|row| (customer, row)));
        }
        found
    }

    fn log_after(&self, after: u64, ms: u64) -> Vec<ContractChange> {
        let until = self.head_at(ms).max(after.min(self.log.len() as u64)) as usize;
        let from = (after as usize).min(until);
        self.log[from..until]
            .iter()
            .map(|(_, c)| c.clone())
            .collect()
    }

    fn change(&mut self, at: usize, index: u64, notified: u8, killed: bool, answer_lost: bool) {
        if self.store_down || !self.instances[at].is_running() {
            return;
        }
        self.now_ms += CHANGE_MS;
        let number = self.log.len() as u64 + 1;
        let customer = customer(index);
        let rows = self.rows_at(self.now_ms);
        let version = rows.get(&customer).map_or(0, |row| row.version) + 1;
        let key = free_key(&rows, &customer, number % 4);
        let document = format!(
            "customer = \"{customer}\"\napi_keys = [\"{key}\"]\nrequests_per_s = {number}.0\n"
        );
        let contract = Contract::try_from(document.as_str()).unwrap();
        let change = ContractChange {
            number,
            change_id: format!("{at}-{number}"),
            customer,
            version,
            contract: (!number.is_multiple_of(7)).then(|| Arc::new(contract)),
        };
        self.log.push((self.now_ms, change.clone()));
        if killed {
            self.instances[at].alive = false;
        }
        if killed || answer_lost {
            return;
        }
        let data = ContractSyncData::Changes(vec![change]);
        for to in 0..INSTANCES {
            if to == at || notified & (1 << to) != 0 {
                self.deliver(to, &data);
            } else {
                self.undelivered.push((to, data.clone()));
            }
        }
    }

    fn deliver(&mut self, to: usize, data: &ContractSyncData) {
        if self.instances[to].is_running() {
            let now = self.instances[to].clock(self.now_ms);
            self.instances[to].sync.on_data(data, now);
        }
    }

    fn pass(&mut self, drops: u8, seed: u64) {
        self.now_ms += TICK_MS;
        for index in 0..INSTANCES {
            if !self.instances[index].is_running() {
                continue;
            }
            let draw = seed.rotate_left(index as u32 * 7) ^ self.now_ms;
            let to = (index + 1 + draw as usize % (INSTANCES - 1)) % INSTANCES;
            if drops & (1 << index | 1 << to) == 0 && self.instances[to].is_running() {
                self.gossip(index, to);
            }
            for round in 0..3 {
                self.step(index, draw.rotate_left(round * 11), drops);
            }
        }
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let sent_at = self.instances[from].clock(self.now_ms);
        let status = self.status(from);
        let now = self.instances[to].clock(self.now_ms);
        self.instances[to].sync.on_peer_status(status, None, now);
        let answer = self.status(to);
        self.instances[from]
            .sync
            .on_peer_status(answer, Some(sent_at), sent_at);
    }

    fn status(&self, index: usize) -> ContractStatus {
        let instance = &self.instances[index];
        instance.sync.status(instance.clock(self.now_ms))
    }

    fn step(&mut self, index: usize, draw: u64, drops: u8) {
        let now = self.instances[index].clock(self.now_ms);
        let Some(step) = self.instances[index].sync.next_step(draw, now) else {
            return;
        };
        let peer = (index + 1 + draw as usize % (INSTANCES - 1)) % INSTANCES;
        let reached = drops & (1 << index | 1 << peer) == 0 && self.instances[peer].is_running();
        let peer_loaded = reached && self.instances[peer].sync.is_loaded();
        let read_ms = self.read_moment_ms(draw >> 7);
        let needs_store = !matches!(step, SyncStep::AskPeer { .. });
        if needs_store && self.store_down || !needs_store && !peer_loaded {
            self.instances[index].sync.on_failed(step, draw, now);
            return;
        }
        let local_number = self.instances[index].sync.registry().number();
        match step {
            SyncStep::ReadHead => {
                let head = self.head_at(read_ms);
                self.instances[index]
                    .sync
                    .on_head(head, now, local_number, now);
            }
            SyncStep::AskPeer { after } => {
                let answer = self.instances[peer].sync.registry().updates_after(after);
                self.instances[index].sync.on_peer_answer(&answer, now);
            }
            SyncStep::ReadLog { after } => {
                let changes = self.log_after(after, read_ms);
                self.instances[index].sync.on_log(changes, now);
            }
            SyncStep::ReadSnapshot => {
                let head = self.head_at(read_ms);
                let replay_after = head
                    .saturating_sub(SNAPSHOT_REPLAY_CHANGES)
                    .min(self.head_at(self.now_ms.saturating_sub(self.lag_ms)));
                let snapshot = ContractStoreSnapshot {
                    head,
                    replay_after,
                    entries: self.scan(draw),
                    replayed: self.log_after(replay_after, self.read_moment_ms(draw >> 17)),
                };
                self.instances[index].sync.on_store_snapshot(snapshot, now);
            }
        }
    }

    fn heal(&mut self) {
        self.store_down = false;
        self.lag_ms = 0;
        for index in 0..INSTANCES {
            if !self.instances[index].alive {
                self.instances[index] = Instance::new(self.now_ms);
            }
            self.instances[index].paused = false;
        }
        let until_ms = self.now_ms + FORCE_BOUND_MS;
        while self.now_ms < until_ms {
            self.pass(0, self.now_ms.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        }
        for instance in &self.instances {
            let now = instance.clock(self.now_ms);
            assert_eq!(instance.sync.registry().number(), self.log.len() as u64);
            assert_eq!(instance.sync.listing(false, now), ListingState::Listed);
        }
    }

    fn check(&mut self) {
        for index in 0..INSTANCES {
            self.check_instance(index);
        }
    }

    /// No entry is older than the applied number implies, and one is newer only after a row scan.
    fn check_registry(&self, registry: &ContractRegistry) {
        let rows = self.rows_until(registry.number());
        let ahead = registry
            .entries()
            .any(|(_, entry)| entry.number > registry.number());
        for (customer, row) in &rows {
            let entry = registry.get(customer).unwrap();
            assert!(
                entry.number >= row.number,
                "{customer} reverted to {entry:?}"
            );
            if ahead {
                continue;
            }
            assert_eq!(entry, row);
            for key in row.contract.iter().flat_map(|contract| &contract.api_keys) {
                assert_eq!(registry.by_key_digest(key), row.contract.as_ref());
            }
        }
        assert!(ahead || registry.entries().count() == rows.len());
    }

    fn check_instance(&mut self, index: usize) {
        let number = self.instances[index].sync.registry().number();
        let instance = &self.instances[index];
        assert!(
            number >= instance.highest,
            "the number of the last applied change decreased"
        );
        if instance.sync.is_loaded() {
            self.check_registry(instance.sync.registry());
        }
        let now = instance.clock(self.now_ms);
        let listed = instance.sync.listing(true, now) == ListingState::Listed;
        let bound_ms = CURRENT_BOUND_MS + MAX_LAG_MS;
        if instance.is_running() && listed {
            let required = self.head_at(self.now_ms.saturating_sub(bound_ms));
            assert!(
                number >= required,
                "listed at {number}, {required} was accepted {bound_ms} ms ago"
            );
        }
        let instance = &mut self.instances[index];
        instance.highest = number;
        for (customer, entry) in instance.sync.registry().entries() {
            let highest = instance.highest_entry.entry(customer.clone()).or_default();
            assert!(
                entry.number >= *highest,
                "{customer} reverted to {}",
                entry.number
            );
            *highest = entry.number;
        }
    }
}

struct SyncFuzz;

impl StateMachineTest for SyncFuzz {
    type SystemUnderTest = World;
    type Reference = TransitionGenerator;

    fn init_test(_: &TransitionGenerator) -> World {
        let mut instances = Vec::new();
        instances.resize_with(INSTANCES, || Instance::new(0));
        World {
            now_ms: 0,
            log: Vec::new(),
            instances,
            undelivered: Vec::new(),
            store_down: false,
            lag_ms: 0,
        }
    }

    fn apply(mut world: World, _: &TransitionGenerator, transition: Transition) -> World {
        match transition {
            Transition::Change {
                at,
                customer,
                notified,
                killed,
                answer_lost,
            } => {
                world.change(at, customer, notified, killed, answer_lost);
            }
            Transition::Pass { ticks, drops, seed } => {
                for tick in 0..ticks {
                    world.pass(drops, seed.rotate_left(tick.into()));
                    world.check();
                }
            }
            Transition::Deliver { index, again } => {
                if let Some(index) = index.checked_rem(world.undelivered.len()) {
                    let (to, data) = world.undelivered[index].clone();
                    world.deliver(to, &data);
                    if !again {
                        world.undelivered.swap_remove(index);
                    }
                }
            }
            Transition::Pause(at) => world.instances[at].paused = true,
            Transition::Resume(at) => world.instances[at].paused = false,
            Transition::Kill(at) => world.instances[at].alive = false,
            Transition::Restart(at) => world.instances[at] = Instance::new(world.now_ms),
            Transition::StoreDown(down) => world.store_down = down,
            Transition::Lag(lag_ms) => world.lag_ms = lag_ms,
            Transition::Heal => world.heal(),
        }
        world.check();
        world
    }

    fn teardown(mut world: World) {
        world.heal();
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(256))]

    #[test]
    fn contracts_never_revert_and_every_accepted_change_comes_into_force(
        sequential 1..60 => SyncFuzz
    );
}
