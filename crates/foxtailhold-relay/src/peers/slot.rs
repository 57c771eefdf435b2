//! Asking for a place and holding it.

use std::net::SocketAddr;
use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::slots::{SlotDecision, SlotOutcome, SlotRequest, SlotRequestId, Urgency};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::peers::{Holding, PeerMessage, Peers};

/// Result of asking for a place.
pub type Result<T> = std::result::Result<T, NoPlace>;

/// Time for the answer to an ask: two crossings between availability zones take 6 ms at most.
const ANSWER_MS: u64 = 40;
/// Asks without an answer after which the next instance is asked.
const TRIES: u32 = 2;
/// An online request that waits asks again after this time, in case that the grant was lost.
const REPEAT_MS: u64 = 100;
/// A batch item that waits does so more rarely: hundreds of them may wait, and have time.
const REPEAT_BATCH_MS: u64 = 1_000;

/// Why there is no place. The request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoPlace {
    /// It would be late.
    #[error("no place in time, come back in {retry_after_ms} ms")]
    Refused {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The time to wait is over.
    #[error("no place became free in time")]
    TimedOut,
}

/// What a request needs.
#[derive(Debug, Clone)]
pub struct PlaceQuery<'a> {
    /// The service.
    pub pool: &'a TargetName,
    /// Who waits.
    pub urgency: Urgency,
    /// Online: until its first event is late. Batch: until it can no longer land.
    pub slack_ms: u64,
    /// Backend servers that must not be chosen.
    pub avoid: &'a [BackendId],
    /// Until when it may wait.
    pub until: Instant,
}

/// A place at a backend server. Dropping it gives it back as abandoned.
#[derive(Debug)]
pub struct Place {
    peers: Peers,
    number: u64,
    pool: TargetName,
    backend: BackendId,
    yields: CancellationToken,
    outcome: SlotOutcome,
}

impl Place {
    /// Where.
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }

    /// Notes a sign of the backend server for this request.
    pub fn sign(&self) {
        let now = self.peers.inner.clock.mono();
        if let Some(holding) = self.peers.inner.places.lock().held.get_mut(&self.number) {
            holding.last_sign = now;
        }
    }

    /// Waits until the place is wanted for more urgent work.
    pub async fn yielded(&self) {
        self.yields.cancelled().await;
    }

    /// Gives the place back.
    pub fn close(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.peers.inner.places.lock().held.remove(&self.number);
        let now = self.peers.inner.clock.mono();
        let ask = self.peers.ask_id(self.number);
        let known = Some((&self.pool, self.outcome));
        self.peers.release_at_allocator(now, known, &ask);
    }
}

/// An ask that is not answered yet; dropping it withdraws the ask.
#[derive(Debug)]
struct Waiting<'a> {
    peers: &'a Peers,
    number: u64,
    pool: &'a TargetName,
    is_settled: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.peers.inner.places.lock().waiting.remove(&self.number);
        if self.is_settled {
            return;
        }
        let now = self.peers.inner.clock.mono();
        let ask = self.peers.ask_id(self.number);
        let known = Some((self.pool, SlotOutcome::Abandoned));
        self.peers.release_at_allocator(now, known, &ask);
    }
}

impl Peers {
    fn ask_id(&self, number: u64) -> SlotRequestId {
        SlotRequestId {
            instance: self.inner.me.clone(),
            number,
        }
    }

    /// Waits for a place.
    pub async fn acquire(&self, query: &PlaceQuery<'_>) -> Result<Place> {
        let (sender, mut verdicts) = mpsc::unbounded_channel();
        let number = {
            let mut places = self.inner.places.lock();
            places.next += 1;
            let number = places.next;
            places.waiting.insert(number, sender);
            number
        };
        let mut waiting = Waiting {
            peers: self,
            number,
            pool: query.pool,
            is_settled: false,
        };
        let ask = SlotRequest {
            id: self.ask_id(number),
            pool: query.pool.clone(),
            urgency: query.urgency,
            slack_ms: query.slack_ms,
            avoid: query.avoid.to_vec(),
            zone: self.inner.zone.clone(),
        };
        let verdict = self
            .wait_for_verdict(&ask, query.until, &mut verdicts)
            .await?;
        match verdict {
            SlotDecision::Granted(backend) => {
                let place = self.hold(number, query, backend);
                waiting.is_settled = true;
                Ok(place)
            }
            SlotDecision::Refused { retry_after_ms } => {
                waiting.is_settled = true;
                Err(NoPlace::Refused { retry_after_ms })
            }
            SlotDecision::Queued => Err(NoPlace::TimedOut),
        }
    }

    fn hold(&self, number: u64, query: &PlaceQuery<'_>, backend: BackendId) -> Place {
        let yields = CancellationToken::new();
        let holding = Holding {
            pool: query.pool.clone(),
            backend: backend.clone(),
            urgency: query.urgency,
            last_sign: self.inner.clock.mono(),
            yields: yields.clone(),
        };
        self.inner.places.lock().held.insert(number, holding);
        Place {
            peers: self.clone(),
            number,
            pool: query.pool.clone(),
            backend,
            yields,
            outcome: SlotOutcome::Abandoned,
        }
    }

    async fn wait_for_verdict(
        &self,
        ask: &SlotRequest,
        until: Instant,
        verdicts: &mut mpsc::UnboundedReceiver<SlotDecision>,
    ) -> Result<SlotDecision> {
        let repeat_ms = match ask.urgency {
            Urgency::Online { .. } => REPEAT_MS,
            Urgency::Batch => REPEAT_BATCH_MS,
        };
        let mut unanswered = 0;
        let mut asked: Option<SocketAddr> = None;
        loop {
            let now = self.inner.clock.mono();
            let allocator = self.members().allocator(now).cloned();
            let address = allocator.as_ref().map(|member| member.peer_address);
            if address != asked {
                (asked, unanswered) = (address, 0);
            }
            let mut is_queued = false;
            match address {
                Some(address) => self.send(address, &PeerMessage::Ask(ask.clone())),
                None => match self.decide(now, ask.clone()) {
                    SlotDecision::Queued => is_queued = true,
                    verdict => return Ok(verdict),
                },
            }
            let wait_ms = if is_queued { repeat_ms } else { ANSWER_MS };
            let mut next = Instant::now() + Duration::from_millis(wait_ms);
            loop {
                match tokio::time::timeout_at(next.min(until), verdicts.recv()).await {
                    Ok(Some(SlotDecision::Queued)) => {
                        is_queued = true;
                        next = Instant::now() + Duration::from_millis(repeat_ms);
                    }
                    Ok(Some(verdict)) => return Ok(verdict),
                    Ok(None) => return Err(NoPlace::TimedOut),
                    Err(_) => break,
                }
            }
            if Instant::now() >= until {
                return Err(NoPlace::TimedOut);
            }
            if is_queued {
                unanswered = 0;
                continue;
            }
            unanswered += 1;
            if let (true, Some(silent)) = (unanswered >= TRIES, allocator) {
                let now = self.inner.clock.mono();
                self.members().missed(now, &silent.instance);
                log::info!(
                    instance = silent.instance.as_str(), asks = unanswered;
                    "an instance does not answer asks for places"
                );
            }
        }
    }
}
