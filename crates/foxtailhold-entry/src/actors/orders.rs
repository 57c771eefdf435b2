//! Issues orders to the engines that are assigned to this instance.
//!
//! Each engine with a desired setup has a worker that drives one order issuer. The actor reads the
//! desired setups from the table service and passes them to the workers; a worker whose engine is
//! no longer assigned to this instance gets `None`.

use std::collections::HashMap;
use std::time::Duration;

use foxtailhold::ids::BackendId;
use foxtailhold::lease_row::LeaseRow;
use foxtailhold::once::Expected;
use foxtailhold::orders::{
    Action, EngineSetup, Giver, LeaseWrite, LeaseWritten, Order, Ordered, Wanted,
};
use foxtailhold::timeline::Event;
use foxtailhold_engine::orders::OrderClient;
use foxtailhold_platform::{Expect, Operation, Platform, Result, Transacted};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::watch;

use crate::actors::tick;
use crate::jobs::owner::scan_all;
use crate::shared::Shared;
use crate::tables;

/// Period at which the desired setups are read.
pub const DESIRED_PERIOD_MS: u64 = 1_000;
/// Time after which a worker with nothing to do checks again.
const IDLE_MS: u64 = 100;

/// Messages to the orders actor.
#[derive(Debug)]
pub enum OrdersMessage {
    /// Periodic: read the desired setups.
    Read,
}

/// The actor that reads the desired setups and runs the workers.
#[derive(Debug)]
pub struct OrdersActor<P>(pub Shared<P>);

/// The workers by engine, each with the channel of its desired setup.
#[derive(Debug, Default)]
pub struct OrdersState {
    workers: HashMap<BackendId, watch::Sender<Option<Wanted>>>,
    client: OrderClient,
}

impl<P: Platform> Actor for OrdersActor<P> {
    type Msg = OrdersMessage;
    type State = OrdersState;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> std::result::Result<OrdersState, ActorProcessingErr> {
        tick(&myself, || OrdersMessage::Read, DESIRED_PERIOD_MS);
        Ok(OrdersState::default())
    }

    async fn handle(
        &self,
        _: ActorRef<Self::Msg>,
        OrdersMessage::Read: Self::Msg,
        state: &mut OrdersState,
    ) -> std::result::Result<(), ActorProcessingErr> {
        match self.read_desired().await {
            Ok(desired) => self.update_workers(state, desired),
            Err(error) => log::warn!(
                "desired engine setups could not be read, retrying at the next period: {error}"
            ),
        }
        Ok(())
    }
}

impl<P: Platform> OrdersActor<P> {
    async fn read_desired(&self) -> Result<Vec<(BackendId, Wanted)>> {
        let table = tables::ORDER_WANTED;
        let mut desired = Vec::new();
        for keyed in scan_all(&self.0.platform, table, "").await? {
            let setup = keyed.row.read::<EngineSetup>();
            let (Ok(id), Ok(setup)) = (BackendId::try_from(keyed.key.as_str()), setup) else {
                log::error!(
                    "row {} of table {table} is malformed and ignored",
                    keyed.key
                );
                continue;
            };
            let version = keyed.row.version;
            desired.push((id, Wanted { version, setup }));
        }
        Ok(desired)
    }

    fn update_workers(&self, state: &mut OrdersState, desired: Vec<(BackendId, Wanted)>) {
        state.workers.retain(|_, worker| !worker.is_closed());
        for (id, desired) in desired {
            let assigned = !self.0.is_stopping() && self.0.is_home(id.as_str().as_bytes());
            match state.workers.get(&id) {
                Some(worker) => {
                    worker.send_replace(assigned.then_some(desired));
                }
                None if assigned => {
                    let (sender, receiver) = watch::channel(Some(desired));
                    let worker = Worker::new(&self.0, &id, state.client.clone());
                    tokio::spawn(worker.run(receiver));
                    state.workers.insert(id, sender);
                }
                None => {}
            }
        }
    }
}

/// Executes the actions of one engine's order issuer.
struct Worker<P> {
    shared: Shared<P>,
    client: OrderClient,
    backend: BackendId,
    issuer: Giver,
}

impl<P: Platform> Worker<P> {
    fn new(shared: &Shared<P>, backend: &BackendId, client: OrderClient) -> Self {
        let fencing = shared.settings.checking_engines.of(backend);
        Worker {
            shared: shared.clone(),
            client,
            backend: backend.clone(),
            issuer: Giver::new(shared.settings.instance.clone(), fencing),
        }
    }

    /// Runs until the actor has stopped, or until the engine is no longer assigned to this instance
    /// and the lease on it is no longer held.
    async fn run(mut self, desired: watch::Receiver<Option<Wanted>>) {
        while desired.has_changed().is_ok() {
            let desired = desired.borrow().clone();
            let now = self.shared.clock.mono();
            let action = self.issuer.next(now, desired.as_ref());
            if action != Action::Wait {
                let version = desired.map_or(0, |desired| desired.version);
                self.act(action, version).await;
                continue;
            }
            if desired.is_none() && !self.issuer.holds(now) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(IDLE_MS)).await;
        }
    }

    async fn act(&mut self, action: Action, desired_version: u64) {
        match action {
            Action::Wait => {}
            Action::ReadLease => self.read_lease().await,
            Action::WriteLease(write) => {
                let written = self.write_lease(&write).await;
                let now = self.shared.clock.mono();
                self.issuer.lease_written(now, written);
            }
            Action::Look => self.read_engine().await,
            Action::Order(order) => self.send_order(&order, desired_version).await,
        }
    }

    async fn read_lease(&mut self) {
        let platform = &self.shared.platform;
        let found = platform.get(tables::ORDER_LEASE, self.backend.as_str());
        match found.await {
            Ok(None) => self.issuer.lease_read(self.shared.clock.mono(), None),
            Ok(Some(row)) => match row.read::<LeaseRow>() {
                Ok(lease) => {
                    let now = self.shared.clock.mono();
                    self.issuer.lease_read(now, Some((lease, row.version)));
                }
                Err(error) => self.log_and_pause(&error).await,
            },
            Err(error) => self.log_and_pause(&error).await,
        }
    }

    async fn log_and_pause(&self, error: &foxtailhold_platform::PlatformError) {
        log::warn!(
            "order lease on {} could not be read, retrying: {error}",
            self.backend
        );
        tokio::time::sleep(Duration::from_millis(foxtailhold::orders::RETRY_MS)).await;
    }

    async fn write_lease(&self, write: &LeaseWrite) -> LeaseWritten {
        let key = self.backend.as_str();
        let expect = match write.expected {
            Expected::Absent => Expect::Absent,
            Expected::Version(version) => Expect::Version(version),
        };
        let mut operations = vec![Operation::put(tables::ORDER_LEASE, key, expect, &write.row)];
        if let Some(version) = write.wanted_version {
            let expect = Expect::Version(version);
            operations.push(Operation::check(tables::ORDER_WANTED, key, expect));
        }
        match self.shared.platform.transact(&operations).await {
            Ok(Transacted::Committed) => LeaseWritten::Committed,
            Ok(Transacted::Conflict { .. }) => LeaseWritten::Failed,
            Err(error) if error.may_have_taken_effect() => LeaseWritten::Unknown,
            Err(_) => LeaseWritten::Failed,
        }
    }

    async fn read_engine(&mut self) {
        let asked_at = self.shared.clock.mono();
        let state = match self.address() {
            Some(address) => self.client.state(address).await.ok(),
            None => None,
        };
        let now = self.shared.clock.mono();
        self.issuer.looked(asked_at, now, state);
    }

    async fn send_order(&mut self, order: &Order, desired_version: u64) {
        let sent_at = self.shared.clock.mono();
        let ordered = match self.address() {
            Some(address) if self.issuer.holds(sent_at) => self.client.order(address, order).await,
            _ => Ordered::NotSent,
        };
        self.shared.timeline.note(Event::EngineOrdered {
            backend: self.backend.clone(),
            fencing: order.fencing,
            outcome: ordered,
        });
        let now = self.shared.clock.mono();
        self.issuer.ordered(sent_at, now, desired_version, ordered);
    }

    fn address(&self) -> Option<std::net::SocketAddr> {
        let backends = self.shared.backends.load();
        let mut cells = backends.cells.iter();
        let cell = cells.find(|cell| cell.backend.id == self.backend);
        cell.map(|cell| cell.backend.address)
    }
}
