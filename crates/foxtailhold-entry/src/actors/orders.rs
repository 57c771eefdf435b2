//! Issues orders to the engines that are assigned to this instance.
//!
//! Each engine with a desired setup has a worker that drives one order issuer. The actor reads the
//! desired setups from the table service and passes them to the workers; a worker whose engine is
//! no longer assigned to this instance gets `None`.

use std::collections::HashMap;
use std::time::Duration;

use foxtailhold::idempotency::ExpectedVersion;
use foxtailhold::ids::BackendId;
use foxtailhold::lease_row::LeaseRow;
use foxtailhold::orders::{
    DesiredSetup, EngineSetup, IssuerAction, LeaseWrite, LeaseWriteOutcome, Order, OrderIssuer,
    OrderOutcome,
};
use foxtailhold::timeline::TimelineEvent;
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
    workers: HashMap<BackendId, watch::Sender<Option<DesiredSetup>>>,
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
    async fn read_desired(&self) -> Result<Vec<(BackendId, DesiredSetup)>> {
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
            desired.push((id, DesiredSetup { version, setup }));
        }
        Ok(desired)
    }

    fn update_workers(&self, state: &mut OrdersState, desired: Vec<(BackendId, DesiredSetup)>) {
        state.workers.retain(|_, worker| !worker.is_closed());
        for (id, desired) in desired {
            let assigned =
                !self.0.is_stopping() && self.0.is_coordinator_for(id.as_str().as_bytes());
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
    issuer: OrderIssuer,
}

impl<P: Platform> Worker<P> {
    fn new(shared: &Shared<P>, backend: &BackendId, client: OrderClient) -> Self {
        let fencing = shared.settings.checking_engines.fencing_check(backend);
        Worker {
            shared: shared.clone(),
            client,
            backend: backend.clone(),
            issuer: OrderIssuer::new(shared.settings.instance.clone(), fencing),
        }
    }

    /// Runs until the actor has stopped, or until the engine is no longer assigned to this instance
    /// and the lease on it is no longer held.
    async fn run(mut self, desired: watch::Receiver<Option<DesiredSetup>>) {
        while desired.has_changed().is_ok() {
            let desired = desired.borrow().clone();
            let now = self.shared.clock.mono();
            let action = self.issuer.next(now, desired.as_ref());
            if action != IssuerAction::Wait {
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

    async fn act(&mut self, action: IssuerAction, desired_version: u64) {
        match action {
            IssuerAction::Wait => {}
            IssuerAction::ReadLease => self.read_lease().await,
            IssuerAction::WriteLease(write) => {
                let written = self.write_lease(&write).await;
                let now = self.shared.clock.mono();
                self.issuer.lease_written(now, written);
            }
            IssuerAction::ReadEngine => self.read_engine().await,
            IssuerAction::SendOrder(order) => self.send_order(&order, desired_version).await,
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
        tokio::time::sleep(Duration::from_millis(foxtailhold::orders::RETRY_DELAY_MS)).await;
    }

    async fn write_lease(&self, write: &LeaseWrite) -> LeaseWriteOutcome {
        let key = self.backend.as_str();
        let expect = match write.expected {
            ExpectedVersion::Absent => Expect::Absent,
            ExpectedVersion::Version(version) => Expect::Version(version),
        };
        let mut operations = vec![Operation::put(tables::ORDER_LEASE, key, expect, &write.row)];
        if let Some(version) = write.desired_version {
            let expect = Expect::Version(version);
            operations.push(Operation::check(tables::ORDER_WANTED, key, expect));
        }
        match self.shared.platform.transact(&operations).await {
            Ok(Transacted::Committed) => LeaseWriteOutcome::Committed,
            Ok(Transacted::Conflict { .. }) => LeaseWriteOutcome::Failed,
            Err(error) if error.may_have_taken_effect() => LeaseWriteOutcome::Unknown,
            Err(_) => LeaseWriteOutcome::Failed,
        }
    }

    async fn read_engine(&mut self) {
        let sent_at = self.shared.clock.mono();
        let state = match self.address() {
            Some(address) => self.client.state(address).await.ok(),
            None => None,
        };
        let now = self.shared.clock.mono();
        self.issuer.engine_read(sent_at, now, state);
    }

    async fn send_order(&mut self, order: &Order, desired_version: u64) {
        let sent_at = self.shared.clock.mono();
        let ordered = match self.address() {
            Some(address) if self.issuer.holds(sent_at) => self.client.order(address, order).await,
            _ => OrderOutcome::NotSent,
        };
        self.shared.timeline.note(TimelineEvent::EngineOrdered {
            backend: self.backend.clone(),
            fencing: order.fencing,
            outcome: ordered,
        });
        let now = self.shared.clock.mono();
        self.issuer
            .order_sent(sent_at, now, desired_version, ordered);
    }

    fn address(&self) -> Option<std::net::SocketAddr> {
        let backends = self.shared.backends.load();
        let mut servers = backends.servers.iter();
        let server = servers.find(|server| server.backend.id == self.backend);
        server.map(|server| server.backend.address)
    }
}
