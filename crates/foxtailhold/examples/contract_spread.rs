//! Simulates instances in one process and measures two things: the load that polling puts on the
//! table service, and how long a change takes to come into force if its push is lost: `cargo run
//! --release -p foxtailhold --example contract_spread`.

use foxtailhold::contract_registry::{ContractChange, ContractSyncData};
use foxtailhold::contract_sync::{ContractSync, SyncStep};
use foxtailhold::time::MonoMs;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Fleet sizes that are measured.
const SIZES: [usize; 6] = [3, 6, 11, 25, 50, 380];
/// Simulated time of one tick.
const TICK_MS: u64 = 50;
/// Each instance gossips once in this many ticks.
const GOSSIP_TICKS: u64 = 10;
/// Each instance takes a step at most once in this many ticks.
const STEP_TICKS: u64 = 5;
/// Number of changes that are timed.
const CHANGES: u64 = 100;

struct SimulatedFleet {
    syncs: Vec<ContractSync>,
    log: Vec<ContractChange>,
    gossips: bool,
    head_reads: u64,
    log_reads: u64,
    tick: u64,
    rng: SmallRng,
}

impl SimulatedFleet {
    fn now(&self) -> MonoMs {
        MonoMs(10_000 + self.tick * TICK_MS)
    }

    fn advance_tick(&mut self) {
        self.tick += 1;
        for index in 0..self.syncs.len() {
            let phase = self.tick + index as u64;
            if self.gossips && phase.is_multiple_of(GOSSIP_TICKS) {
                self.gossip(index);
            }
            if phase.is_multiple_of(STEP_TICKS) {
                self.step(index);
            }
        }
    }

    fn gossip(&mut self, from: usize) {
        let (now, to) = (self.now(), self.rng.random_range(0..self.syncs.len()));
        let status = self.syncs[from].status(now);
        self.syncs[to].on_peer_status(status, None, now);
        let answer = self.syncs[to].status(now);
        self.syncs[from].on_peer_status(answer, Some(now), now);
    }

    fn step(&mut self, index: usize) {
        let (now, draw) = (self.now(), self.rng.random());
        while let Some(step) = self.syncs[index].next_step(draw, now) {
            let number = self.syncs[index].registry().number();
            match step {
                SyncStep::ReadHead => {
                    self.head_reads += 1;
                    let head = self.log.len() as u64;
                    self.syncs[index].on_head(head, now, number, now);
                }
                SyncStep::AskPeer { after } if self.gossips => {
                    let ahead =
                        (0..self.syncs.len()).max_by_key(|i| self.syncs[*i].registry().number());
                    let answer = self.syncs[ahead.unwrap_or(0)]
                        .registry()
                        .updates_after(after);
                    self.syncs[index].on_peer_answer(&answer, now);
                }
                SyncStep::ReadLog { after } => {
                    self.log_reads += 1;
                    let changes = self.log[after as usize..].to_vec();
                    self.syncs[index].on_log(changes, now);
                }
                _ => self.syncs[index].on_failed(step, draw, now),
            }
        }
    }

    fn change(&mut self) -> u64 {
        let number = self.log.len() as u64 + 1;
        self.log.push(ContractChange {
            number,
            change_id: format!("entry-0-{number}"),
            customer: "granite-trail".try_into().expect("a customer's name"),
            version: number,
            contract: None,
        });
        let start = self.tick;
        while self
            .syncs
            .iter()
            .any(|sync| sync.registry().number() < number)
        {
            self.advance_tick();
        }
        (self.tick - start) * TICK_MS
    }
}

fn measure(count: usize, gossips: bool) {
    let mut syncs = vec![ContractSync::default(); count];
    for sync in &mut syncs {
        sync.on_peer_answer(&ContractSyncData::Changes(Vec::new()), MonoMs(0));
    }
    let mut instances = SimulatedFleet {
        syncs,
        log: Vec::new(),
        gossips,
        head_reads: 0,
        log_reads: 0,
        tick: 0,
        rng: SmallRng::seed_from_u64(3),
    };
    for _ in 0..400 {
        instances.advance_tick();
    }
    let (reads, ticks) = (instances.head_reads, 1_200);
    for _ in 0..ticks {
        instances.advance_tick();
    }
    let seconds = (ticks * TICK_MS) as f64 / 1_000.0;
    let quiet = (instances.head_reads - reads) as f64 / seconds;
    let logs = instances.log_reads;
    let mut durations_ms = Vec::new();
    for _ in 0..CHANGES {
        durations_ms.push(instances.change());
        for _ in 0..instances.rng.random_range(20..80) {
            instances.advance_tick();
        }
    }
    durations_ms.sort_unstable();
    let logs = (instances.log_reads - logs) as f64 / CHANGES as f64;
    let mode = if gossips {
        "gossip and poll"
    } else {
        "poll alone"
    };
    println!(
        "{count:4} instances, {mode:15}: {quiet:6.1} head reads a second, {logs:5.1} log reads a \
         change; in force p50 {:4} ms, worst {:4} ms",
        durations_ms[durations_ms.len() / 2],
        durations_ms[durations_ms.len() - 1]
    );
}

fn main() {
    for count in SIZES {
        measure(count, true);
        measure(count, false);
    }
}
