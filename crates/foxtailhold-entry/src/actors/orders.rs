//! Gives orders to the engines whose home this instance is.
//!
//! Each engine with a wanted state has a worker that drives one [`OrderIssuer`]; the actor reads the
//! wanted states and tells the workers whether they are to give orders.

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

/// Wanted states are read this often.
pub const WANTED_PERIOD_MS: u64 = 1_000;
/// A worker with nothing to do looks again after this time.
const IDLE_MS: u64 = 100;

/// Messages to the actor.
#[derive(Debug)]
pub enum OrdersMessage {
    /// Time to read the wanted states.
    Read,
}

/// The actor.
#[derive(Debug)]
pub struct OrdersActor<P>(pub Shared<P>);

/// Its state: a worker for each engine, told what is wanted.
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
        tick(&myself, || OrdersMessage::Read, WANTED_PERIOD_MS);
        Ok(OrdersState::default())
    }

    async fn handle(
        &self,
        _: ActorRef<Self::Msg>,
        OrdersMessage::Read: Self::Msg,
        state: &mut OrdersState,
    ) -> std::result::Result<(), ActorProcessingErr> {
        match self.wanted().await {
            Ok(wanted) => self.tell(state, wanted),
            Err(error) => log::warn!("the wanted states could not be read: {error}"),
        }
        Ok(())
    }
}

impl<P: Platform> OrdersActor<P> {
    async fn wanted(&self) -> Result<Vec<(BackendId, DesiredSetup)>> {
        let table = tables::ORDER_WANTED;
        let mut wanted = Vec::new();
        for keyed in scan_all(&self.0.platform, table, "").await? {
            let setup = keyed.row.read::<EngineSetup>();
            let (Ok(id), Ok(setup)) = (BackendId::try_from(keyed.key.as_str()), setup) else {
                log::error!("row {} of table {table} cannot be read", keyed.key);
                continue;
            };
            let version = keyed.row.version;
            wanted.push((id, DesiredSetup { version, setup }));
        }
        Ok(wanted)
    }

    fn tell(&self, state: &mut OrdersState, wanted: Vec<(BackendId, DesiredSetup)>) {
        state.workers.retain(|_, worker| !worker.is_closed());
        for (id, wanted) in wanted {
            let home = !self.0.is_stopping() && self.0.is_coordinator_for(id.as_str().as_bytes());
            match state.workers.get(&id) {
                Some(worker) => {
                    worker.send_replace(home.then_some(wanted));
                }
                None if home => {
                    let (sender, receiver) = watch::channel(Some(wanted));
                    let worker = Worker::new(&self.0, &id, state.client.clone());
                    tokio::spawn(worker.run(receiver));
                    state.workers.insert(id, sender);
                }
                None => {}
            }
        }
    }
}

/// Drives the giver of one engine.
struct Worker<P> {
    shared: Shared<P>,
    client: OrderClient,
    backend: BackendId,
    giver: OrderIssuer,
}

impl<P: Platform> Worker<P> {
    fn new(shared: &Shared<P>, backend: &BackendId, client: OrderClient) -> Self {
        let fencing = shared.settings.checking_engines.fencing_check(backend);
        Worker {
            shared: shared.clone(),
            client,
            backend: backend.clone(),
            giver: OrderIssuer::new(shared.settings.instance.clone(), fencing),
        }
    }

    /// Runs until the actor is gone, or this instance is not the engine's home any more and holds
    /// no lease on it.
    async fn run(mut self, wanted: watch::Receiver<Option<DesiredSetup>>) {
        while wanted.has_changed().is_ok() {
            let wanted = wanted.borrow().clone();
            let now = self.shared.clock.mono();
            let action = self.giver.next(now, wanted.as_ref());
            if action != IssuerAction::Wait {
                let version = wanted.map_or(0, |wanted| wanted.version);
                self.act(action, version).await;
                continue;
            }
            if wanted.is_none() && !self.giver.holds(now) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(IDLE_MS)).await;
        }
    }

    async fn act(&mut self, action: IssuerAction, wanted: u64) {
        match action {
            IssuerAction::Wait => {}
            IssuerAction::ReadLease => self.read_lease().await,
            IssuerAction::WriteLease(write) => {
                let written = self.write_lease(&write).await;
                let now = self.shared.clock.mono();
                self.giver.lease_written(now, written);
            }
            IssuerAction::ReadEngine => self.look().await,
            IssuerAction::SendOrder(order) => self.order(&order, wanted).await,
        }
    }

    async fn read_lease(&mut self) {
        let platform = &self.shared.platform;
        let found = platform.get(tables::ORDER_LEASE, self.backend.as_str());
        match found.await {
            Ok(None) => self.giver.lease_read(self.shared.clock.mono(), None),
            Ok(Some(row)) => match row.read::<LeaseRow>() {
                Ok(lease) => {
                    let now = self.shared.clock.mono();
                    self.giver.lease_read(now, Some((lease, row.version)));
                }
                Err(error) => self.pause(&error).await,
            },
            Err(error) => self.pause(&error).await,
        }
    }

    async fn pause(&self, error: &foxtailhold_platform::PlatformError) {
        log::warn!("the lease on {} could not be read: {error}", self.backend);
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

    async fn look(&mut self) {
        let asked_at = self.shared.clock.mono();
        let state = match self.address() {
            Some(address) => self.client.state(address).await.ok(),
            None => None,
        };
        let now = self.shared.clock.mono();
        self.giver.engine_read(asked_at, now, state);
    }

    async fn order(&mut self, order: &Order, wanted: u64) {
        let sent_at = self.shared.clock.mono();
        let ordered = match self.address() {
            Some(address) if self.giver.holds(sent_at) => self.client.order(address, order).await,
            _ => OrderOutcome::NotSent,
        };
        self.shared.timeline.note(TimelineEvent::EngineOrdered {
            backend: self.backend.clone(),
            fencing: order.fencing,
            outcome: ordered,
        });
        let now = self.shared.clock.mono();
        self.giver.order_sent(sent_at, now, wanted, ordered);
    }

    fn address(&self) -> Option<std::net::SocketAddr> {
        let backends = self.shared.backends.load();
        let mut servers = backends.servers.iter();
        let server = servers.find(|server| server.backend.id == self.backend);
        server.map(|server| server.backend.address)
    }
}
