//! Requests slots from the allocator and holds them.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::slots::{
    HeldSlot, MAX_SILENCE_MS, SlotDecision, SlotOutcome, SlotRequest, SlotRequestId, Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::peers::{LocalSlot, PeerMessage, Peers};
use crate::pending_attempts::RESTART_WINDOW_MS;

/// Result of a slot request.
pub type Result<T> = std::result::Result<T, SlotError>;

/// Time limit for the response to a slot request. A round trip between availability zones takes 6
/// ms at most.
const RESPONSE_TIMEOUT_MS: u64 = 40;
/// Unanswered slot requests after which another instance becomes the allocator.
const MAX_UNANSWERED: u32 = 2;
/// Interval at which a waiting online request repeats its slot request, in case the grant was lost.
const REPEAT_INTERVAL_MS: u64 = 100;
/// The same for batch items. It is longer because hundreds of them may wait and they are not
/// urgent.
const REPEAT_INTERVAL_BATCH_MS: u64 = 1_000;

/// Backend servers from which the last sign of life is kept, until older ones are dropped.
const MAX_HEARD_BACKENDS: usize = 1_024;

/// Why no slot was granted. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SlotError {
    /// No slot becomes free while the caller waits.
    #[error("no slot in time, retry in {retry_after_ms} ms")]
    Refused {
        /// Delay after which the caller should retry.
        retry_after_ms: u64,
    },
    /// No slot became free before the deadline.
    #[error("no slot became free before the deadline")]
    TimedOut,
    /// No backend server of the requested version is listed.
    #[error("no backend server of the requested version is listed")]
    VersionGone,
}

/// What a request needs from the allocator.
#[derive(Debug, Clone)]
pub struct SlotQuery<'a> {
    /// Service at one of whose engines a slot is requested.
    pub pool: &'a TargetName,
    /// Online with a priority, or batch.
    pub urgency: Urgency,
    /// Online: time for which the caller still waits. Batch: time until the deadline can no longer be
    /// met.
    pub slack_ms: u64,
    /// Batch: time in ms since the deadline could last be met; 0 if it can still be met.
    pub late_ms: u64,
    /// Backend servers that must not be chosen.
    pub avoid: &'a [BackendId],
    /// Deadline for waiting.
    pub deadline: Instant,
    /// Version of the software that the backend server must run; `None` for any.
    pub version: Option<&'a SoftwareVersion>,
}

/// Whether a backend server sends anything, as far as one instance sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendLiveness {
    /// No slot shows it.
    Unknown,
    /// A request has received something a short time ago.
    Speaking,
    /// All requests have received nothing for a while.
    Silent,
}

/// A slot at a backend server. Dropping it releases the slot as abandoned.
#[derive(Debug)]
pub struct Slot {
    peers: Peers,
    number: u64,
    pool: TargetName,
    backend: BackendId,
    preempted: CancellationToken,
    outcome: SlotOutcome,
}

impl Slot {
    /// Identifier of the backend server.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Records activity of the backend server for this request.
    pub fn record_activity(&self) {
        self.activity().record();
    }

    /// A handle that records activity while the slot is kept elsewhere.
    pub fn activity(&self) -> SlotActivity {
        SlotActivity {
            peers: self.peers.clone(),
            number: self.number,
        }
    }

    /// What the other slots of this instance at the same backend server show about it.
    pub fn backend_liveness(&self) -> BackendLiveness {
        let now = self.peers.inner.clock.mono();
        let slots = self.peers.inner.slots.lock();
        let mut liveness = BackendLiveness::Unknown;
        for (number, other) in &slots.held {
            if *number == self.number || other.backend != self.backend {
                continue;
            }
            if now.since_ms(other.last_activity) > MAX_SILENCE_MS {
                liveness = BackendLiveness::Silent;
            } else if other.is_answered {
                return BackendLiveness::Speaking;
            }
        }
        liveness
    }

    /// Time in ms since the backend server last sent anything for this request, or since the grant.
    pub fn quiet_ms(&self) -> u64 {
        let now = self.peers.inner.clock.mono();
        let slots = self.peers.inner.slots.lock();
        let held = slots.held.get(&self.number);
        held.map_or(0, |slot| now.since_ms(slot.last_activity))
    }

    /// Waits until the slot is preempted for more urgent work.
    pub async fn preempted(&self) {
        self.preempted.cancelled().await;
    }

    /// Releases the slot and reports how the attempt ended.
    pub fn close(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.peers.inner.clock.mono();
        let released = self.peers.inner.slots.lock().held.remove(&self.number);
        if !self.peers.crashes().is_empty() {
            self.peers.record_heard(released, now);
        }
        let request = self.peers.request_id(self.number);
        let pool_and_outcome = Some((&self.pool, self.outcome));
        self.peers
            .release_at_allocator(now, pool_and_outcome, &request);
    }
}

/// Records activity of the backend server in one slot.
#[derive(Debug, Clone)]
pub struct SlotActivity {
    peers: Peers,
    number: u64,
}

impl SlotActivity {
    /// Records that the backend server has sent something.
    pub fn record(&self) {
        let now = self.peers.inner.clock.mono();
        if let Some(local_slot) = self.peers.inner.slots.lock().held.get_mut(&self.number) {
            local_slot.last_activity = now;
            local_slot.is_answered = true;
        }
    }
}

/// A slot request without a decision; dropping it withdraws the request.
#[derive(Debug)]
struct WaitingRequest<'a> {
    peers: &'a Peers,
    number: u64,
    pool: &'a TargetName,
    is_settled: bool,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.peers.inner.slots.lock().waiting.remove(&self.number);
        if self.is_settled {
            return;
        }
        let now = self.peers.inner.clock.mono();
        let request = self.peers.request_id(self.number);
        let pool_and_outcome = Some((self.pool, SlotOutcome::Abandoned));
        self.peers
            .release_at_allocator(now, pool_and_outcome, &request);
    }
}

impl Peers {
    pub(super) fn held_slots(&self, now: MonoMs) -> Vec<HeldSlot> {
        let slots = self.inner.slots.lock();
        let held = slots.held.iter().map(|(number, local_slot)| HeldSlot {
            number: *number,
            pool: local_slot.pool.clone(),
            backend: local_slot.backend.clone(),
            urgency: local_slot.urgency,
            quiet_ms: now.since_ms(local_slot.last_activity),
        });
        held.collect()
    }

    /// Number of slots held and of slot requests waiting here.
    pub fn slot_usage(&self) -> (usize, usize) {
        let slots = self.inner.slots.lock();
        (slots.held.len(), slots.waiting.len())
    }

    fn record_heard(&self, released: Option<LocalSlot>, now: MonoMs) {
        let Some(slot) = released.filter(|slot| slot.is_answered) else {
            return;
        };
        let mut slots = self.inner.slots.lock();
        if slots.heard.len() >= MAX_HEARD_BACKENDS {
            let is_recent = |at: &MonoMs| now.since_ms(*at) < RESTART_WINDOW_MS;
            slots.heard.retain(|_, at| is_recent(at));
        }
        let heard = slots.heard.entry(slot.backend).or_default();
        *heard = slot.last_activity.max(*heard);
    }

    /// Whether this instance has received anything from a backend server since `since`, as far as it
    /// remembers.
    pub fn has_heard_since(&self, backend: &BackendId, since: MonoMs) -> bool {
        let slots = self.inner.slots.lock();
        if slots.heard.get(backend).is_some_and(|at| *at > since) {
            return true;
        }
        let mut held = slots.held.values();
        held.any(|slot| slot.is_answered && slot.last_activity > since && slot.backend == *backend)
    }

    fn request_id(&self, number: u64) -> SlotRequestId {
        SlotRequestId {
            instance: self.inner.me.clone(),
            number,
        }
    }

    /// Requests a slot and waits for it until the deadline of the query.
    pub async fn acquire(&self, query: &SlotQuery<'_>) -> Result<Slot> {
        let (sender, mut decisions) = mpsc::unbounded_channel();
        let number = {
            let mut slots = self.inner.slots.lock();
            slots.last_number += 1;
            let number = slots.last_number;
            slots.waiting.insert(number, sender);
            number
        };
        let mut waiting = WaitingRequest {
            peers: self,
            number,
            pool: query.pool,
            is_settled: false,
        };
        let request = SlotRequest {
            id: self.request_id(number),
            pool: query.pool.clone(),
            urgency: query.urgency,
            slack_ms: query.slack_ms,
            late_ms: query.late_ms,
            avoid: query.avoid.to_vec(),
            zone: self.inner.zone.clone(),
            version: query.version.cloned(),
        };
        let decision = self
            .wait_for_decision(&request, query.deadline, &mut decisions)
            .await?;
        match decision {
            SlotDecision::Granted(backend) => {
                let slot = self.hold(number, query, backend);
                waiting.is_settled = true;
                Ok(slot)
            }
            SlotDecision::Refused { retry_after_ms } => {
                waiting.is_settled = true;
                Err(SlotError::Refused { retry_after_ms })
            }
            SlotDecision::VersionGone => {
                waiting.is_settled = true;
                Err(SlotError::VersionGone)
            }
            SlotDecision::Queued => Err(SlotError::TimedOut),
        }
    }

    fn hold(&self, number: u64, query: &SlotQuery<'_>, backend: BackendId) -> Slot {
        let preempted = CancellationToken::new();
        let local_slot = LocalSlot {
            pool: query.pool.clone(),
            backend: backend.clone(),
            urgency: query.urgency,
            last_activity: self.inner.clock.mono(),
            is_answered: false,
            preempted: preempted.clone(),
        };
        self.inner.slots.lock().held.insert(number, local_slot);
        Slot {
            peers: self.clone(),
            number,
            pool: query.pool.clone(),
            backend,
            preempted,
            outcome: SlotOutcome::Abandoned,
        }
    }

    async fn wait_for_decision(
        &self,
        request: &SlotRequest,
        deadline: Instant,
        decisions: &mut mpsc::UnboundedReceiver<SlotDecision>,
    ) -> Result<SlotDecision> {
        let repeat_ms = match request.urgency {
            Urgency::Online { .. } => REPEAT_INTERVAL_MS,
            Urgency::Batch => REPEAT_INTERVAL_BATCH_MS,
        };
        let mut unanswered = 0;
        let mut last_address: Option<SocketAddr> = None;
        let began = Instant::now();
        loop {
            // An allocator that knows nothing of the request counts from now.
            let mut request = request.clone();
            if request.urgency != Urgency::Batch {
                let waited_ms = began.elapsed().as_millis() as u64;
                request.slack_ms = request.slack_ms.saturating_sub(waited_ms);
            }
            let now = self.inner.clock.mono();
            let allocator = self.members().allocator(now).cloned();
            let address = allocator.as_ref().map(|member| member.peer_address);
            if address != last_address {
                (last_address, unanswered) = (address, 0);
            }
            let mut is_queued = false;
            match address {
                Some(address) => self.send(address, &PeerMessage::SlotRequest(request)),
                None => match self.decide(now, request) {
                    SlotDecision::Queued => is_queued = true,
                    decision => return Ok(decision),
                },
            }
            let wait_ms = if is_queued {
                repeat_ms
            } else {
                RESPONSE_TIMEOUT_MS
            };
            let mut retry_at = Instant::now() + Duration::from_millis(wait_ms);
            loop {
                match tokio::time::timeout_at(retry_at.min(deadline), decisions.recv()).await {
                    Ok(Some(SlotDecision::Queued)) => {
                        is_queued = true;
                        retry_at = Instant::now() + Duration::from_millis(repeat_ms);
                    }
                    Ok(Some(decision)) => return Ok(decision),
                    Ok(None) => return Err(SlotError::TimedOut),
                    Err(_) => break,
                }
            }
            if Instant::now() >= deadline {
                return Err(SlotError::TimedOut);
            }
            if is_queued {
                unanswered = 0;
                continue;
            }
            unanswered += 1;
            if let (true, Some(unanswering)) = (unanswered >= MAX_UNANSWERED, allocator) {
                let now = self.inner.clock.mono();
                self.members().record_timeout(now, &unanswering.instance);
                log::info!(
                    instance = unanswering.instance.as_str(), asks = unanswered;
                    "no response to slot requests, trying another allocator"
                );
            }
        }
    }
}
