//! A small world for one engine: two givers that are paused and restarted between any two steps, a
//! table that loses and delays writes, orders that fly, an operator who changes their mind.

use std::collections::BTreeMap;

use foxtailhold::idempotency::ExpectedVersion;
use foxtailhold::lease_row::LeaseRow;
use foxtailhold::orders::issuer::{IssuerAction, LeaseWrite, OrderIssuer};
use foxtailhold::orders::{
    DesiredSetup, EngineSetup, EngineState, FencingCheck, LeaseWriteOutcome, MAX_ORDER_DELAY_MS,
    Order, OrderOutcome, Role,
};
use foxtailhold::time::MonoMs;

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answered,
    AnswerLost,
    Lost,
    Delayed,
    Refused,
}

/// An order on its way.
#[derive(Debug, Clone)]
struct Flight {
    order: Order,
    wanted: u64,
    sent_at: u64,
}

#[derive(Debug)]
struct Seat {
    giver: OrderIssuer,
    wanted: Option<DesiredSetup>,
    /// Its reads of the wanted state fail.
    blind: bool,
    /// What it is about to do; it may be paused here.
    pending: Option<(IssuerAction, u64)>,
}

#[derive(Debug)]
pub struct World {
    fencing: FencingCheck,
    now_ms: u64,
    lease: Option<(LeaseRow, u64)>,
    delayed: Vec<LeaseWrite>,
    wanted: DesiredSetup,
    engine: EngineState,
    flights: Vec<Flight>,
    seats: Vec<Seat>,
    /// Wanted versions in the order in which the engine took their orders.
    pub taken: Vec<u64>,
    pub steps: u64,
    pub faults: BTreeMap<String, u64>,
}

pub fn setup(variant: u8) -> EngineSetup {
    EngineSetup {
        model: "ranger".try_into().unwrap(),
        version: format!("v{variant}"),
        adapters: Vec::new(),
        role: Role::Mixed,
    }
}

fn giver(index: usize, fencing: FencingCheck) -> OrderIssuer {
    let me = format!("entry-{index}").as_str().try_into().unwrap();
    OrderIssuer::new(me, fencing)
}

impl World {
    pub fn new(fencing: FencingCheck) -> Self {
        let seat = |index| Seat {
            giver: giver(index, fencing),
            wanted: None,
            blind: false,
            pending: None,
        };
        World {
            fencing,
            now_ms: 100_000,
            lease: None,
            delayed: Vec::new(),
            wanted: DesiredSetup {
                version: 1,
                setup: setup(0),
            },
            engine: EngineState::default(),
            flights: Vec::new(),
            seats: vec![seat(0), seat(1)],
            taken: Vec::new(),
            steps: 0,
            faults: BTreeMap::new(),
        }
    }

    fn count(&mut self, what: &str) {
        *self.faults.entry(what.to_owned()).or_default() += 1;
    }

    pub fn want(&mut self, variant: u8) {
        self.wanted = DesiredSetup {
            version: self.wanted.version + 1,
            setup: setup(variant),
        };
    }

    pub fn blind(&mut self, index: usize, blind: bool) {
        self.seats[index].blind = blind;
    }

    pub fn restart(&mut self, index: usize) {
        self.count("restart");
        self.seats[index] = Seat {
            giver: giver(index, self.fencing),
            wanted: None,
            blind: false,
            pending: None,
        };
    }

    /// The engine finishes what it loads.
    pub fn load(&mut self) {
        if let Some(setup) = self.engine.loading.take() {
            self.engine.in_effect = Some(setup);
        }
    }

    /// Time passes. With an engine that ignores fencing numbers an order lands, or is sent by a
    /// paused giver, within the longest flight: that is the assumption.
    pub fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        if self.fencing == FencingCheck::Enforced {
            return;
        }
        let due = |sent_at: u64| sent_at + MAX_ORDER_DELAY_MS <= self.now_ms;
        let mut index = 0;
        while index < self.flights.len() {
            if due(self.flights[index].sent_at) {
                let flight = self.flights.remove(index);
                take(&mut self.engine, self.fencing, &mut self.taken, &flight);
            } else {
                index += 1;
            }
        }
        for index in 0..self.seats.len() {
            let Some((IssuerAction::SendOrder(_), sent_at)) = self.seats[index].pending else {
                continue;
            };
            if sent_at + MAX_ORDER_DELAY_MS <= self.now_ms {
                self.step(index, Fate::AnswerLost, true);
            }
        }
    }

    pub fn land_write(&mut self, index: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let write = self.delayed.remove(index % self.delayed.len());
        self.count("write landed late");
        self.apply(&write);
    }

    pub fn land_order(&mut self, index: usize) {
        if self.flights.is_empty() {
            return;
        }
        let flight = self.flights.remove(index % self.flights.len());
        self.count("order landed late");
        take(&mut self.engine, self.fencing, &mut self.taken, &flight);
    }

    fn apply(&mut self, write: &LeaseWrite) -> bool {
        let version = self.lease.as_ref().map(|(_, version)| *version);
        let expected = match write.expected {
            ExpectedVersion::Absent => version.is_none(),
            ExpectedVersion::Version(wanted) => version == Some(wanted),
        };
        let current = write
            .desired_version
            .is_none_or(|version| version == self.wanted.version);
        if !expected || !current {
            return false;
        }
        let taken_over = self
            .lease
            .as_ref()
            .is_some_and(|(row, _)| row.holder != write.row.holder && !row.ended);
        if taken_over {
            self.count("taken over");
        }
        self.lease = Some((write.row.clone(), version.unwrap_or(0) + 1));
        true
    }

    fn write(&mut self, write: LeaseWrite, fate: Fate) -> LeaseWriteOutcome {
        match fate {
            Fate::Refused => LeaseWriteOutcome::Failed,
            Fate::Lost => LeaseWriteOutcome::Unknown,
            Fate::Delayed => {
                self.delayed.push(write);
                LeaseWriteOutcome::Unknown
            }
            Fate::AnswerLost => {
                self.apply(&write);
                LeaseWriteOutcome::Unknown
            }
            Fate::Answered if self.apply(&write) => LeaseWriteOutcome::Committed,
            Fate::Answered => LeaseWriteOutcome::Failed,
        }
    }

    fn send(&mut self, flight: Flight, fate: Fate) -> OrderOutcome {
        match fate {
            Fate::Refused => OrderOutcome::NotSent,
            Fate::Lost => OrderOutcome::Unknown,
            Fate::Delayed => {
                self.flights.push(flight);
                OrderOutcome::Unknown
            }
            Fate::AnswerLost => {
                take(&mut self.engine, self.fencing, &mut self.taken, &flight);
                OrderOutcome::Unknown
            }
            Fate::Answered => take(&mut self.engine, self.fencing, &mut self.taken, &flight),
        }
    }

    /// One step of one giver: it decides, or it does what it decided before.
    pub fn step(&mut self, index: usize, fate: Fate, home: bool) {
        self.steps += 1;
        let now = MonoMs(self.now_ms);
        let Some((action, decided_at)) = self.seats[index].pending.take() else {
            let seat = &mut self.seats[index];
            if !seat.blind || seat.wanted.is_none() {
                seat.wanted = Some(self.wanted.clone());
            }
            let wanted = seat.wanted.clone().filter(|_| home);
            let action = seat.giver.next(now, wanted.as_ref());
            if action != IssuerAction::Wait {
                seat.pending = Some((action, self.now_ms));
            }
            return;
        };
        self.count(&format!("{fate:?}"));
        match action {
            IssuerAction::Wait => {}
            IssuerAction::ReadLease => {
                if fate == Fate::Answered {
                    let found = self.lease.clone();
                    self.seats[index].giver.lease_read(now, found);
                }
            }
            IssuerAction::WriteLease(write) => {
                let written = self.write(write, fate);
                self.seats[index].giver.lease_written(now, written);
            }
            IssuerAction::ReadEngine => {
                let state = (fate == Fate::Answered).then(|| self.engine.clone());
                let asked_at = MonoMs(decided_at);
                self.seats[index].giver.engine_read(asked_at, now, state);
            }
            IssuerAction::SendOrder(order) => {
                let wanted = self.seats[index].wanted.as_ref().unwrap().version;
                let flight = Flight {
                    order,
                    wanted,
                    sent_at: decided_at,
                };
                let ordered = self.send(flight, fate);
                let sent_at = MonoMs(decided_at);
                let giver = &mut self.seats[index].giver;
                giver.order_sent(sent_at, now, wanted, ordered);
            }
        }
    }

    /// One step without faults, but for what becomes of an order.
    pub fn step_ordering(&mut self, index: usize, fate: Fate) {
        let orders = matches!(
            self.seats[index].pending,
            Some((IssuerAction::SendOrder(_), _))
        );
        self.step(index, if orders { fate } else { Fate::Answered }, true);
    }

    /// Everything lands; then one giver works without faults, and the other is idle.
    pub fn drain(&mut self) {
        while !self.flights.is_empty() {
            self.land_order(0);
        }
        while !self.delayed.is_empty() {
            self.land_write(0);
        }
        self.seats[0].blind = false;
        for _ in 0..200 {
            self.step(0, Fate::Answered, true);
            self.step(1, Fate::Answered, false);
            self.load();
            self.pass(250);
        }
    }

    pub fn is_as_wanted(&self) -> bool {
        self.engine.in_effect.as_ref() == Some(&self.wanted.setup)
    }
}

/// The engine takes an order or refuses it.
fn take(
    engine: &mut EngineState,
    fencing: FencingCheck,
    taken: &mut Vec<u64>,
    flight: &Flight,
) -> OrderOutcome {
    if fencing == FencingCheck::Enforced {
        if flight.order.fencing < engine.fencing {
            return OrderOutcome::Refused;
        }
        engine.fencing = flight.order.fencing;
    }
    engine.loading = Some(flight.order.setup.clone());
    taken.push(flight.wanted);
    OrderOutcome::Taken
}
