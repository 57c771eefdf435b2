//! Simulation of one engine: two issuers that are paused and restarted between any two steps, a
//! table that loses and delays writes, delayed orders, and an operator who changes the desired
//! setup.

use std::collections::BTreeMap;

use foxtailhold::idempotency::ExpectedVersion;
use foxtailhold::lease_row::LeaseRow;
use foxtailhold::orders::issuer::{IssuerAction, LeaseWrite, OrderIssuer};
use foxtailhold::orders::{
    DesiredSetup, EngineSetup, EngineState, FencingCheck, LeaseWriteOutcome, MAX_ORDER_DELAY_MS,
    Order, OrderOutcome, Role,
};
use foxtailhold::time::MonoMs;

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    Answered,
    ResponseLost,
    RequestLost,
    Delayed,
    Refused,
}

#[derive(Debug, Clone)]
struct OrderInFlight {
    order: Order,
    desired: u64,
    sent_at: u64,
}

#[derive(Debug)]
struct IssuerProcess {
    issuer: OrderIssuer,
    desired: Option<DesiredSetup>,
    /// Whether its reads of the desired setup fail.
    desired_reads_fail: bool,
    /// The decided action and the time of the decision. The issuer may be paused before it acts.
    pending: Option<(IssuerAction, u64)>,
}

#[derive(Debug)]
pub struct World {
    fencing: FencingCheck,
    now_ms: u64,
    lease: Option<(LeaseRow, u64)>,
    delayed: Vec<LeaseWrite>,
    desired: DesiredSetup,
    engine: EngineState,
    orders_in_flight: Vec<OrderInFlight>,
    issuers: Vec<IssuerProcess>,
    /// Versions of the desired setup, in the order in which the engine accepted their orders.
    pub accepted_versions: Vec<u64>,
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

fn issuer(index: usize, fencing: FencingCheck) -> OrderIssuer {
    let me = format!("entry-{index}").as_str().try_into().unwrap();
    OrderIssuer::new(me, fencing)
}

impl World {
    pub fn new(fencing: FencingCheck) -> Self {
        let process = |index| IssuerProcess {
            issuer: issuer(index, fencing),
            desired: None,
            desired_reads_fail: false,
            pending: None,
        };
        World {
            fencing,
            now_ms: 100_000,
            lease: None,
            delayed: Vec::new(),
            desired: DesiredSetup {
                version: 1,
                setup: setup(0),
            },
            engine: EngineState::default(),
            orders_in_flight: Vec::new(),
            issuers: vec![process(0), process(1)],
            accepted_versions: Vec::new(),
            steps: 0,
            faults: BTreeMap::new(),
        }
    }

    fn count(&mut self, event: &str) {
        *self.faults.entry(event.to_owned()).or_default() += 1;
    }

    pub fn change_desired(&mut self, variant: u8) {
        self.desired = DesiredSetup {
            version: self.desired.version + 1,
            setup: setup(variant),
        };
    }

    pub fn set_desired_reads_fail(&mut self, index: usize, desired_reads_fail: bool) {
        self.issuers[index].desired_reads_fail = desired_reads_fail;
    }

    pub fn restart(&mut self, index: usize) {
        self.count("restart");
        self.issuers[index] = IssuerProcess {
            issuer: issuer(index, self.fencing),
            desired: None,
            desired_reads_fail: false,
            pending: None,
        };
    }

    /// Lets the engine finish loading.
    pub fn finish_loading(&mut self) {
        if let Some(setup) = self.engine.loading.take() {
            self.engine.in_effect = Some(setup);
        }
    }

    /// Advances the time. The simulation assumes that an order to an engine that ignores fencing
    /// numbers is sent, even by a paused issuer, and delivered within [`MAX_ORDER_DELAY_MS`].
    pub fn advance_time(&mut self, ms: u64) {
        self.now_ms += ms;
        if self.fencing == FencingCheck::Enforced {
            return;
        }
        let due = |sent_at: u64| sent_at + MAX_ORDER_DELAY_MS <= self.now_ms;
        let mut index = 0;
        while index < self.orders_in_flight.len() {
            if due(self.orders_in_flight[index].sent_at) {
                let order_in_flight = self.orders_in_flight.remove(index);
                deliver_order(
                    &mut self.engine,
                    self.fencing,
                    &mut self.accepted_versions,
                    &order_in_flight,
                );
            } else {
                index += 1;
            }
        }
        for index in 0..self.issuers.len() {
            let Some((IssuerAction::SendOrder(_), sent_at)) = self.issuers[index].pending else {
                continue;
            };
            if sent_at + MAX_ORDER_DELAY_MS <= self.now_ms {
                self.step(index, CallOutcome::ResponseLost, true);
            }
        }
    }

    pub fn apply_delayed_write(&mut self, index: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let write = self.delayed.remove(index % self.delayed.len());
        self.count("write applied late");
        self.apply(&write);
    }

    pub fn deliver_delayed_order(&mut self, index: usize) {
        if self.orders_in_flight.is_empty() {
            return;
        }
        let order_in_flight = self
            .orders_in_flight
            .remove(index % self.orders_in_flight.len());
        self.count("order delivered late");
        deliver_order(
            &mut self.engine,
            self.fencing,
            &mut self.accepted_versions,
            &order_in_flight,
        );
    }

    fn apply(&mut self, write: &LeaseWrite) -> bool {
        let version = self.lease.as_ref().map(|(_, version)| *version);
        let expected = match write.expected {
            ExpectedVersion::Absent => version.is_none(),
            ExpectedVersion::Version(required) => version == Some(required),
        };
        let current = write
            .desired_version
            .is_none_or(|version| version == self.desired.version);
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

    fn write(&mut self, write: LeaseWrite, outcome: CallOutcome) -> LeaseWriteOutcome {
        match outcome {
            CallOutcome::Refused => LeaseWriteOutcome::Failed,
            CallOutcome::RequestLost => LeaseWriteOutcome::Unknown,
            CallOutcome::Delayed => {
                self.delayed.push(write);
                LeaseWriteOutcome::Unknown
            }
            CallOutcome::ResponseLost => {
                self.apply(&write);
                LeaseWriteOutcome::Unknown
            }
            CallOutcome::Answered if self.apply(&write) => LeaseWriteOutcome::Committed,
            CallOutcome::Answered => LeaseWriteOutcome::Failed,
        }
    }

    fn send(&mut self, order_in_flight: OrderInFlight, outcome: CallOutcome) -> OrderOutcome {
        match outcome {
            CallOutcome::Refused => OrderOutcome::NotSent,
            CallOutcome::RequestLost => OrderOutcome::Unknown,
            CallOutcome::Delayed => {
                self.orders_in_flight.push(order_in_flight);
                OrderOutcome::Unknown
            }
            CallOutcome::ResponseLost => {
                deliver_order(
                    &mut self.engine,
                    self.fencing,
                    &mut self.accepted_versions,
                    &order_in_flight,
                );
                OrderOutcome::Unknown
            }
            CallOutcome::Answered => deliver_order(
                &mut self.engine,
                self.fencing,
                &mut self.accepted_versions,
                &order_in_flight,
            ),
        }
    }

    /// Runs one step of an issuer, which decides on an action or executes the decided one.
    pub fn step(&mut self, index: usize, outcome: CallOutcome, may_issue: bool) {
        self.steps += 1;
        let now = MonoMs(self.now_ms);
        let Some((action, decided_at)) = self.issuers[index].pending.take() else {
            let process = &mut self.issuers[index];
            if !process.desired_reads_fail || process.desired.is_none() {
                process.desired = Some(self.desired.clone());
            }
            let desired = process.desired.clone().filter(|_| may_issue);
            let action = process.issuer.next(now, desired.as_ref());
            if action != IssuerAction::Wait {
                process.pending = Some((action, self.now_ms));
            }
            return;
        };
        self.count(&format!("{outcome:?}"));
        match action {
            IssuerAction::Wait => {}
            IssuerAction::ReadLease => {
                if outcome == CallOutcome::Answered {
                    let found = self.lease.clone();
                    self.issuers[index].issuer.lease_read(now, found);
                }
            }
            IssuerAction::WriteLease(write) => {
                let written = self.write(write, outcome);
                self.issuers[index].issuer.lease_written(now, written);
            }
            IssuerAction::ReadEngine => {
                let state = (outcome == CallOutcome::Answered).then(|| self.engine.clone());
                let sent_at = MonoMs(decided_at);
                self.issuers[index].issuer.engine_read(sent_at, now, state);
            }
            IssuerAction::SendOrder(order) => {
                let desired = self.issuers[index].desired.as_ref().unwrap().version;
                let order_in_flight = OrderInFlight {
                    order,
                    desired,
                    sent_at: decided_at,
                };
                let ordered = self.send(order_in_flight, outcome);
                let sent_at = MonoMs(decided_at);
                let issuer = &mut self.issuers[index].issuer;
                issuer.order_sent(sent_at, now, desired, ordered);
            }
        }
    }

    /// Runs one step in which only an order may get an outcome other than success.
    pub fn step_with_order_outcome(&mut self, index: usize, outcome: CallOutcome) {
        let orders = matches!(
            self.issuers[index].pending,
            Some((IssuerAction::SendOrder(_), _))
        );
        self.step(
            index,
            if orders {
                outcome
            } else {
                CallOutcome::Answered
            },
            true,
        );
    }

    /// Delivers all delayed orders and writes. Then one issuer works without faults while the other
    /// is idle.
    pub fn finish_without_faults(&mut self) {
        while !self.orders_in_flight.is_empty() {
            self.deliver_delayed_order(0);
        }
        while !self.delayed.is_empty() {
            self.apply_delayed_write(0);
        }
        self.issuers[0].desired_reads_fail = false;
        for _ in 0..200 {
            self.step(0, CallOutcome::Answered, true);
            self.step(1, CallOutcome::Answered, false);
            self.finish_loading();
            self.advance_time(250);
        }
    }

    pub fn has_desired_setup(&self) -> bool {
        self.engine.in_effect.as_ref() == Some(&self.desired.setup)
    }
}

/// Lets the engine accept or refuse an order.
fn deliver_order(
    engine: &mut EngineState,
    fencing: FencingCheck,
    accepted_versions: &mut Vec<u64>,
    order_in_flight: &OrderInFlight,
) -> OrderOutcome {
    if fencing == FencingCheck::Enforced {
        if order_in_flight.order.fencing < engine.fencing {
            return OrderOutcome::Refused;
        }
        engine.fencing = order_in_flight.order.fencing;
    }
    engine.loading = Some(order_in_flight.order.setup.clone());
    accepted_versions.push(order_in_flight.desired);
    OrderOutcome::Taken
}
