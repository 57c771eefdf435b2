//! Between instances: places, and who lives.

mod members;
mod message;
mod slot;

pub use members::{Member, Members};
pub use message::{PeerMessage, ShortName};
pub use slot::{NoPlace, Place, PlaceQuery};

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::rendezvous;
use foxtailhold::slots::{
    Allocator, BackendSlots, HeldSlot, SlotDecision, SlotNotice, SlotOutcome, SlotRequest,
    SlotRequestId, Urgency,
};
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_peer::codec;
use parking_lot::{Mutex, MutexGuard};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::crashes::Crashes;
use foxtailhold_http::clock::Clock;
use message::MAX_DATAGRAM_BYTES;

/// Table of the instances, and of what all of them have to know for longer than any of them lives.
pub const INSTANCES_TABLE: &str = "instances";
/// Shortest pause between two reports: changes of instances come in numbers at a start of all.
const LEAST_PAUSE_MS: u64 = 50;

/// A place in use by this instance.
#[derive(Debug)]
struct Holding {
    pool: TargetName,
    backend: BackendId,
    urgency: Urgency,
    last_sign: MonoMs,
    yields: CancellationToken,
}

#[derive(Debug, Default)]
struct OwnPlaces {
    next: u64,
    waiting: HashMap<u64, mpsc::UnboundedSender<SlotDecision>>,
    held: HashMap<u64, Holding>,
}

#[derive(Debug)]
struct Inner {
    me: InstanceId,
    zone: AvailabilityZone,
    socket: UdpSocket,
    clock: Clock,
    members: Mutex<Members>,
    places: Mutex<OwnPlaces>,
    allocator: Mutex<Allocator>,
    crashes: Crashes,
    /// Messages that are sent once more with the next report, since datagrams get lost.
    rebroadcasts: Mutex<Vec<PeerMessage>>,
    /// Woken when the rows of instances have changed.
    members_changed: Notify,
    /// Whether the table of instances, with the evidence against requests, has been read.
    is_table_read: AtomicBool,
}

/// This instance's side of the talk with others.
#[derive(Debug, Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

impl Peers {
    /// Starts on a bound socket.
    pub fn new(me: InstanceId, zone: AvailabilityZone, socket: UdpSocket, clock: Clock) -> Self {
        let inner = Inner {
            members: Mutex::new(Members::new(me.clone())),
            me,
            zone,
            socket,
            clock,
            places: Mutex::new(OwnPlaces::default()),
            allocator: Mutex::new(Allocator::default()),
            crashes: Crashes::default(),
            rebroadcasts: Mutex::default(),
            members_changed: Notify::new(),
            is_table_read: AtomicBool::new(false),
        };
        Peers {
            inner: Arc::new(inner),
        }
    }

    /// Notes that the table of instances has been read.
    pub fn table_read(&self) {
        self.inner.is_table_read.store(true, Ordering::Relaxed);
    }

    /// Whether it has been read. Until then this instance knows neither who lives nor which requests crash
    /// backend servers.
    pub fn is_table_read(&self) -> bool {
        self.inner.is_table_read.load(Ordering::Relaxed)
    }

    /// Time on the clock of all decisions.
    pub fn now(&self) -> MonoMs {
        self.inner.clock.mono()
    }

    /// Time of day.
    pub fn wall(&self) -> WallMs {
        self.inner.clock.wall()
    }

    /// What is known against requests.
    pub fn crashes(&self) -> &Crashes {
        &self.inner.crashes
    }

    /// Whether this instance is the one of those that live to decide about `key`.
    pub fn is_home(&self, key: &[u8]) -> bool {
        let members = self.members();
        let live = members.live(self.now());
        let home = rendezvous::select(live.iter().map(|member| &member.instance), key);
        home.is_none_or(|home| home == self.me())
    }

    /// Notes that a backend server was lost under a request, and tells the other instances.
    pub fn crashed(&self, fingerprint: Fingerprint, crash: CrashId) {
        let new = self.inner.crashes.crashed(fingerprint, crash, self.wall());
        if let Some(evidence) = new {
            self.broadcast(PeerMessage::Crashed {
                fingerprint,
                evidence,
            });
        }
    }

    /// Notes that a request was seen to run, and tells the other instances where that is news.
    pub fn cleared(&self, fingerprint: Fingerprint) {
        if self.inner.crashes.clear(fingerprint) {
            log::info!(fingerprint:% = fingerprint; "a request is cleared");
            self.broadcast(PeerMessage::Cleared { fingerprint });
        }
    }

    fn broadcast(&self, message: PeerMessage) {
        let others = self.members().others();
        for address in others {
            self.send(address, &message);
        }
        self.inner.rebroadcasts.lock().push(message);
    }

    /// This instance.
    pub fn me(&self) -> &InstanceId {
        &self.inner.me
    }

    /// This instance's availability zone.
    pub fn zone(&self) -> &AvailabilityZone {
        &self.inner.zone
    }

    /// The view of all instances.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.inner.members.lock()
    }

    /// Sets the places of a service.
    pub fn set_backends(&self, pool: &TargetName, places: &[BackendSlots]) {
        self.inner.allocator.lock().set_backends(pool, places);
    }

    /// Receives datagrams and reports, until the task is aborted.
    pub async fn run(self) {
        tokio::join!(self.receive(), self.report());
    }

    async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.inner.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                // A peer without a listener is told here; the next datagram may be fine.
                Err(error) => {
                    log::debug!("no datagram: {error}");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    continue;
                }
            };
            match codec::decode(&buffer[..length]) {
                Ok(message) => self.take(from, message),
                Err(error) => log::warn!("a datagram of {from} cannot be read: {error}"),
            }
        }
    }

    async fn report(&self) {
        loop {
            let now = self.inner.clock.mono();
            let held = self.holdings(now);
            self.inner
                .allocator
                .lock()
                .report(now, &self.inner.me, &held);
            let report = PeerMessage::Report {
                instance: self.inner.me.clone(),
                held,
            };
            self.free_lapsed(now);
            let (addresses, pause_ms) = {
                let mut members = self.members();
                (members.report_to(now), members.report_ms())
            };
            for address in addresses {
                self.send(address, &report);
            }
            self.rebroadcast();
            tokio::time::sleep(Duration::from_millis(LEAST_PAUSE_MS)).await;
            let rest = Duration::from_millis(pause_ms.saturating_sub(LEAST_PAUSE_MS));
            tokio::select! {
                () = tokio::time::sleep(rest) => {}
                () = self.inner.members_changed.notified() => {}
            }
        }
    }

    fn rebroadcast(&self) {
        let messages = std::mem::take(&mut *self.inner.rebroadcasts.lock());
        if messages.is_empty() {
            return;
        }
        let others = self.members().others();
        for address in others {
            for message in &messages {
                self.send(address, message);
            }
        }
    }

    /// Reports soon: there may be other senior instances. Until they are heard this instance grants
    /// places to itself, without knowing of others.
    pub fn members_changed(&self) {
        self.inner.members_changed.notify_one();
    }

    fn holdings(&self, now: MonoMs) -> Vec<HeldSlot> {
        let places = self.inner.places.lock();
        let held = places.held.iter().map(|(number, holding)| HeldSlot {
            number: *number,
            pool: holding.pool.clone(),
            backend: holding.backend.clone(),
            urgency: holding.urgency,
            quiet_ms: now.since_ms(holding.last_sign),
        });
        held.collect()
    }

    /// How many places this instance holds and how many requests wait.
    pub fn slot_usage(&self) -> (usize, usize) {
        let places = self.inner.places.lock();
        (places.held.len(), places.waiting.len())
    }

    /// Sends without waiting: a datagram that does not fit now is as good as lost on the way.
    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let bytes = match codec::encode(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("a message cannot be written: {error}");
                return;
            }
        };
        if let Err(error) = self.inner.socket.try_send_to(&bytes, to) {
            log::debug!("no datagram to {to}: {error}");
        }
    }

    fn take(&self, from: SocketAddr, message: PeerMessage) {
        let now = self.inner.clock.mono();
        match message {
            PeerMessage::Ask(ask) => {
                self.members().heard(now, &ask.id.instance);
                let id = ask.id.clone();
                let verdict = self.decide(now, ask);
                self.send(from, &PeerMessage::Answer { ask: id, verdict });
            }
            PeerMessage::Answer { ask, verdict } => self.deliver(&ask, verdict),
            PeerMessage::Yield { ask } => self.yield_place(&ask),
            PeerMessage::Release { ask, pool, outcome } => self.free(now, &pool, &ask, outcome),
            PeerMessage::Report { instance, held } => {
                self.inner.allocator.lock().report(now, &instance, &held);
                let live = {
                    let mut members = self.members();
                    members.heard(now, &instance);
                    members.reporting(now)
                };
                let instance = self.inner.me.clone();
                self.send(from, &PeerMessage::Live { instance, live });
            }
            PeerMessage::Live { instance, live } => {
                let mut members = self.members();
                members.heard(now, &instance);
                members.told(now, &instance, live);
            }
            PeerMessage::Crashed {
                fingerprint,
                evidence,
            } => self.inner.crashes.merge(fingerprint, &evidence),
            PeerMessage::Cleared { fingerprint } => {
                self.inner.crashes.clear(fingerprint);
            }
        }
    }

    fn decide(&self, now: MonoMs, ask: SlotRequest) -> SlotDecision {
        let mut decisions = Vec::new();
        let verdict = self.inner.allocator.lock().ask(now, ask, &mut decisions);
        self.spread(decisions);
        verdict
    }

    fn free(&self, now: MonoMs, pool: &TargetName, ask: &SlotRequestId, outcome: SlotOutcome) {
        let mut decisions = Vec::new();
        self.inner
            .allocator
            .lock()
            .release(now, pool, ask, outcome, &mut decisions);
        self.spread(decisions);
    }

    /// Frees the places of instances that are not heard of, so that a killed one does not keep them
    /// until it is replaced.
    fn free_lapsed(&self, now: MonoMs) {
        let live = self.members().heard_or_told(now);
        let mut decisions = Vec::new();
        let lives = |instance: &InstanceId| {
            *instance == self.inner.me || live.contains(&ShortName::from(instance))
        };
        self.inner
            .allocator
            .lock()
            .keep_only(now, lives, &mut decisions);
        self.spread(decisions);
    }

    /// Brings decisions to the instances that asked.
    fn spread(&self, decisions: Vec<SlotNotice>) {
        for SlotNotice {
            request: ask,
            decision: verdict,
        } in decisions
        {
            if ask.instance == self.inner.me {
                match verdict {
                    Some(verdict) => self.deliver(&ask, verdict),
                    None => self.yield_place(&ask),
                }
                continue;
            }
            let Some(address) = self.members().address(&ask.instance) else {
                continue;
            };
            let message = match verdict {
                Some(verdict) => PeerMessage::Answer { ask, verdict },
                None => PeerMessage::Yield { ask },
            };
            self.send(address, &message);
        }
    }

    fn deliver(&self, ask: &SlotRequestId, verdict: SlotDecision) {
        let now = self.inner.clock.mono();
        if ask.instance != self.inner.me {
            return;
        }
        let (is_wanted, is_held) = {
            let places = self.inner.places.lock();
            let waiting = places.waiting.get(&ask.number);
            let sent = waiting.is_some_and(|waiting| waiting.send(verdict.clone()).is_ok());
            (sent, places.held.contains_key(&ask.number))
        };
        if let (false, false, SlotDecision::Granted(backend)) = (is_wanted, is_held, &verdict) {
            log::debug!("a place at {backend} came too late");
            self.release_at_allocator(now, None, ask);
        }
    }

    fn release_at_allocator(
        &self,
        now: MonoMs,
        known: Option<(&TargetName, SlotOutcome)>,
        ask: &SlotRequestId,
    ) {
        let (pools, outcome) = match known {
            Some((pool, outcome)) => (vec![pool.clone()], outcome),
            None => {
                let allocator = self.inner.allocator.lock();
                let pools = allocator.loads().map(|(name, ..)| name.clone());
                (pools.collect(), SlotOutcome::Abandoned)
            }
        };
        let address = self.members().allocator(now).map(|m| m.peer_address);
        for pool in pools {
            match address {
                None => self.free(now, &pool, ask, outcome),
                Some(address) => {
                    let ask = ask.clone();
                    self.send(address, &PeerMessage::Release { ask, pool, outcome });
                }
            }
        }
    }

    fn yield_place(&self, ask: &SlotRequestId) {
        let places = self.inner.places.lock();
        if let Some(holding) = places.held.get(&ask.number) {
            holding.yields.cancel();
        }
    }
}
