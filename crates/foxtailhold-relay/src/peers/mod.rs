//! Communication between instances: slots, heartbeats and crash evidence.

mod allocation;
mod ended;
mod evidence;
mod live_view;
mod members;
mod message;
mod origin_confirmation;
mod origins;
mod pool_log;
mod saved_origins;
mod slot;

pub use crate::group_probes::HarmlessProbe;
use evidence::EvidenceSends;
pub use live_view::LiveView;
pub use members::{Member, Members};
pub use message::{Datagram, FoundOrigin, InstanceHash, PeerMessage, ToldEnds};
use origin_confirmation::OriginConfirmations;
pub(crate) use origin_confirmation::{CONFIRM_TIMEOUT_MS, OnlyOrigin};
pub use origins::{OriginCounts, OriginSearch, OriginSource};
use origins::{OriginState, RecordSignals};
use pool_log::PoolLog;
use saved_origins::SavedOrigins;
pub use slot::{BackendLiveness, Slot, SlotActivity, SlotError, SlotQuery};

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, SlotDecision, SlotOutcome, SlotRequestId, Urgency,
};
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_http::lock::{Mutex, MutexGuard};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::crashes::CrashTracker;
use crate::ended_jobs::EndedJobs;
use crate::tables::{TableStatus, TableVersions};
use foxtailhold_http::clock::Clock;
use message::MAX_DATAGRAM_BYTES;

/// Table of the instances. It also holds the crash evidence, which has to outlive every instance.
pub const INSTANCES_TABLE: &str = "instances";
/// Minimum interval between two reports. When all instances start together their rows change in
/// quick succession.
const MIN_REPORT_INTERVAL_MS: u64 = 50;

#[derive(Debug)]
struct LocalSlot {
    pool: TargetName,
    backend: BackendId,
    urgency: Urgency,
    last_activity: MonoMs,
    /// Whether the backend server has sent anything for the slot.
    is_answered: bool,
    preempted: CancellationToken,
}

#[derive(Debug, Default)]
struct LocalSlots {
    last_number: u64,
    waiting: HashMap<u64, mpsc::UnboundedSender<SlotDecision>>,
    held: HashMap<u64, LocalSlot>,
    /// When each backend server was last heard in a slot that was released while there was crash
    /// evidence.
    heard: HashMap<BackendId, MonoMs>,
}

#[derive(Debug)]
struct Inner {
    me: InstanceId,
    zone: AvailabilityZone,
    socket: UdpSocket,
    clock: Clock,
    members: Mutex<Members>,
    slots: Mutex<LocalSlots>,
    allocator: Mutex<Allocator>,
    crashes: CrashTracker,
    ended: EndedJobs,
    evidence_sends: Mutex<EvidenceSends>,
    /// Messages to repeat once with the next report, because datagrams may be lost.
    rebroadcasts: Mutex<Vec<PeerMessage>>,
    origins: Mutex<OriginState>,
    record_signals: RecordSignals,
    saved_origins: SavedOrigins,
    origin_confirmations: OriginConfirmations,
    /// Notified when rows of instances have changed.
    members_changed: Notify,
    tables: TableStatus,
    /// Whether the table of instances has been read.
    is_table_read: AtomicBool,
    /// Datagrams received since they were last counted.
    datagrams: AtomicU64,
}

/// Connection of this instance to the others; cheap to clone.
#[derive(Debug, Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

impl Peers {
    /// Creates the peers of instance `me` on a bound socket.
    pub fn new(
        me: InstanceId,
        zone: AvailabilityZone,
        socket: UdpSocket,
        clock: Clock,
        tables: TableStatus,
    ) -> Self {
        let inner = Inner {
            members: Mutex::new(Members::new(me.clone())),
            me,
            zone,
            socket,
            clock,
            slots: Mutex::new(LocalSlots::default()),
            allocator: Mutex::new(Allocator::default()),
            crashes: CrashTracker::default(),
            ended: EndedJobs::default(),
            evidence_sends: Mutex::default(),
            rebroadcasts: Mutex::default(),
            origins: Mutex::default(),
            record_signals: RecordSignals::default(),
            saved_origins: SavedOrigins::default(),
            origin_confirmations: OriginConfirmations::default(),
            members_changed: Notify::new(),
            tables,
            is_table_read: AtomicBool::new(false),
            datagrams: AtomicU64::new(0),
        };
        Peers {
            inner: Arc::new(inner),
        }
    }

    /// Records that the table of instances, which includes the crash evidence, has been read.
    pub fn set_table_read(&self) {
        self.inner.is_table_read.store(true, Ordering::Relaxed);
    }

    /// Whether the table of instances has been read. Until then this instance knows neither the
    /// live instances nor the requests that crash backend servers.
    pub fn is_table_read(&self) -> bool {
        self.inner.is_table_read.load(Ordering::Relaxed)
    }

    /// Number of datagrams received since the last call.
    pub fn take_datagrams(&self) -> u64 {
        self.inner.datagrams.swap(0, Ordering::Relaxed)
    }

    /// Monotonic time that all decisions use.
    pub fn now(&self) -> MonoMs {
        self.inner.clock.mono()
    }

    /// Wall-clock time.
    pub fn wall(&self) -> WallMs {
        self.inner.clock.wall()
    }

    /// Crash evidence against requests.
    pub fn crashes(&self) -> &CrashTracker {
        &self.inner.crashes
    }

    fn broadcast(&self, message: PeerMessage) {
        let others = self.members().others();
        for address in others {
            self.send(address, &message);
        }
        self.inner.rebroadcasts.lock().push(message);
    }

    /// Identifier of this instance.
    pub fn me(&self) -> &InstanceId {
        &self.inner.me
    }

    /// Availability zone of this instance.
    pub fn zone(&self) -> &AvailabilityZone {
        &self.inner.zone
    }

    /// Membership as known to this instance.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.inner.members.lock()
    }

    /// Sets the backend servers of a service and their numbers of slots.
    pub fn set_backends(&self, pool: &TargetName, slots: &[BackendSlots]) {
        self.inner.allocator.lock().set_backends(pool, slots);
    }

    /// Services whose slots have been granted here or were requested here.
    pub fn pools(&self) -> Vec<TargetName> {
        let allocator = self.inner.allocator.lock();
        allocator.loads().map(|(pool, _, _)| pool.clone()).collect()
    }

    /// Receives messages and sends reports until the task is aborted.
    pub async fn run(self) {
        tokio::join!(self.receive(), self.report());
    }

    async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.inner.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                // Also reports a send to a peer without a listener; later datagrams may still arrive.
                Err(error) => {
                    log::debug!("cannot receive datagram: {error}");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    continue;
                }
            };
            self.inner.datagrams.fetch_add(1, Ordering::Relaxed);
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) => {
                    if let Some(tables) = &datagram.tables {
                        self.inner.tables.apply_announcement(from, tables);
                    }
                    self.handle_message(from, datagram.into_message());
                }
                Err(error) => log::warn!("cannot decode datagram from {from}: {error}"),
            }
        }
    }

    async fn report(&self) {
        let mut pool_log = PoolLog::default();
        loop {
            let now = self.inner.clock.mono();
            let held = self.held_slots(now);
            self.inner
                .allocator
                .lock()
                .report(now, &self.inner.me, &held);
            let report = PeerMessage::SlotReport {
                instance: self.inner.me.clone(),
                held,
            };
            self.free_slots_of_lost_instances(now);
            pool_log.write(now, &self.inner.allocator);
            let (addresses, interval_ms) = {
                let mut members = self.members();
                (members.report_addresses(now), members.report_interval_ms())
            };
            for address in addresses {
                self.send_heartbeat(address, &report);
            }
            self.rebroadcast();
            self.repeat_origins();
            self.gossip_evidence();
            tokio::time::sleep(Duration::from_millis(MIN_REPORT_INTERVAL_MS)).await;
            let remaining =
                Duration::from_millis(interval_ms.saturating_sub(MIN_REPORT_INTERVAL_MS));
            tokio::select! {
                () = tokio::time::sleep(remaining) => {}
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

    /// Triggers a report, because the allocator and its standbys may have changed. Until this
    /// instance hears from them it allocates slots for itself alone.
    pub fn members_changed(&self) {
        self.inner.members_changed.notify_one();
    }

    /// Sends without blocking. A datagram that the socket cannot take now is treated like one lost
    /// on the network.
    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        match message.requested_version() {
            Some(_) => self.send_heartbeat(to, message),
            None => self.send_with(to, message, None),
        }
    }

    /// Sends a message together with the newest changes that this instance has.
    fn send_heartbeat(&self, to: SocketAddr, message: &PeerMessage) {
        self.send_with(to, message, Some(&self.inner.tables.versions()));
    }

    fn send_with(&self, to: SocketAddr, message: &PeerMessage, tables: Option<&TableVersions>) {
        let bytes = match Datagram::encode(message, tables) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("cannot encode message to another instance: {error}");
                return;
            }
        };
        if let Err(error) = self.inner.socket.try_send_to(&bytes, to) {
            log::debug!("cannot send datagram to {to}: {error}");
        }
    }

    fn handle_message(&self, from: SocketAddr, message: PeerMessage) {
        let now = self.inner.clock.mono();
        match message {
            PeerMessage::SlotRequest(request) => {
                self.members().record_message(now, &request.id.instance);
                let id = request.id.clone();
                let decision = self.decide(now, request);
                self.send(
                    from,
                    &PeerMessage::SlotDecision {
                        request: id,
                        decision,
                    },
                );
            }
            PeerMessage::SlotDecision { request, decision } => self.deliver(&request, decision),
            PeerMessage::Preempt { request } => self.preempt_slot(&request),
            PeerMessage::Release {
                request,
                pool,
                outcome,
            } => self.free_slot(now, &pool, &request, outcome),
            PeerMessage::SlotReport { instance, held } => {
                self.inner.allocator.lock().report(now, &instance, &held);
                let live = {
                    let mut members = self.members();
                    members.record_message(now, &instance);
                    members.recently_heard(now)
                };
                self.share_evidence(from, &instance);
                let instance = self.inner.me.clone();
                self.send_heartbeat(from, &PeerMessage::LiveInstances { instance, live });
            }
            PeerMessage::LiveInstances { instance, live } => {
                let mut members = self.members();
                members.record_message(now, &instance);
                members.record_live_list(now, &instance, live);
            }
            PeerMessage::CrashEvidence {
                fingerprint,
                evidence,
            } => self.inner.crashes.merge(fingerprint, &evidence, now),
            PeerMessage::CrashesCleared { fingerprint } => {
                self.inner.crashes.exonerate_unknown(fingerprint);
            }
            PeerMessage::Exonerated {
                fingerprint,
                exoneration,
            } => self.inner.crashes.exonerate(fingerprint, exoneration),
            PeerMessage::PartCrash { crash, record } => {
                self.merge_part_crash(&crash, &record);
            }
            PeerMessage::ProbeAdmitted { group } => {
                let goes_first = self.members().goes_before_me(from);
                self.inner.crashes.record_probe(group, goes_first, now);
            }
            PeerMessage::ProbeHarmless(probe) => {
                self.inner.crashes.record_harmless_probe(probe, now);
            }
            PeerMessage::Origins { origins } => self.record_handed_on(now, &origins),
            PeerMessage::FindOrigin {
                number,
                attempt,
                route: _,
            } => self.answer_origin(from, number, attempt),
            PeerMessage::FoundOrigin(found) => self.deliver_origin(found),
            PeerMessage::AskEnded { round } => self.tell_ended(from, round),
            PeerMessage::Ended(ends) => self.record_ended(from, ends),
        }
    }

    fn deliver(&self, request: &SlotRequestId, decision: SlotDecision) {
        let now = self.inner.clock.mono();
        if request.instance != self.inner.me {
            return;
        }
        let (is_waiting, is_held) = {
            let slots = self.inner.slots.lock();
            let waiting = slots.waiting.get(&request.number);
            let sent = waiting.is_some_and(|waiting| waiting.send(decision.clone()).is_ok());
            (sent, slots.held.contains_key(&request.number))
        };
        if let (false, false, SlotDecision::Granted(backend)) = (is_waiting, is_held, &decision) {
            log::debug!("slot at {backend} granted too late, releasing it");
            self.release_at_allocator(now, None, request);
        }
    }

    fn release_at_allocator(
        &self,
        now: MonoMs,
        pool_and_outcome: Option<(&TargetName, SlotOutcome)>,
        request: &SlotRequestId,
    ) {
        let (pools, outcome) = match pool_and_outcome {
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
                None => self.free_slot(now, &pool, request, outcome),
                Some(address) => {
                    let request = request.clone();
                    self.send(
                        address,
                        &PeerMessage::Release {
                            request,
                            pool,
                            outcome,
                        },
                    );
                }
            }
        }
    }

    fn preempt_slot(&self, request: &SlotRequestId) {
        let slots = self.inner.slots.lock();
        if let Some(local_slot) = slots.held.get(&request.number) {
            local_slot.preempted.cancel();
        }
    }
}
