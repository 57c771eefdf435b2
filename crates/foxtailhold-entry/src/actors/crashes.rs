//! Keeps the quarantine, the table of requests that crash backend servers, and publishes it.

use foxtailhold::breaker::Availability;
use foxtailhold::membership::MemberState;
use foxtailhold::quarantine::{ProbeResponse, Quarantine, QuarantineNotice};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_peer::{PeerAnswer, PeerError, PeerRequest};
use foxtailhold_platform::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::seq::IndexedRandom;

use crate::actors::{log_undelivered, tick};
use crate::messages::CrashesMessage;
use crate::shared::Shared;

/// Period at which convictions and expired entries are checked.
pub const TICK_MS: u64 = 100;
/// Maximum wait for a peer to accept a notice, or to answer with its table.
pub const NOTICE_TIMEOUT_MS: u64 = 500;
/// Attempts to deliver a notice to each peer.
const NOTICE_ATTEMPTS: u32 = 4;

/// The actor that owns the quarantine.
#[derive(Debug)]
pub struct CrashesActor<P>(pub Shared<P>);

/// State of the actor.
#[derive(Debug, Default)]
pub struct CrashesState {
    quarantine: Quarantine,
    caught_up: bool,
}

impl<P: Platform> Actor for CrashesActor<P> {
    type Msg = CrashesMessage;
    type State = CrashesState;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> Result<Self::State, ActorProcessingErr> {
        tick(&myself, || CrashesMessage::Tick, TICK_MS);
        Ok(CrashesState::default())
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = self.0.clock.mono();
        let quarantine = &mut state.quarantine;
        match message {
            CrashesMessage::Tick => {
                self.0.part_evidence.expire(self.0.clock.wall());
                if !state.caught_up {
                    self.request_snapshot(&myself);
                }
                for notice in state.quarantine.tick(now) {
                    self.broadcast(notice);
                }
            }
            CrashesMessage::Observed(notice, reply) => {
                if quarantine.on_notice(&notice, now) {
                    self.broadcast(notice);
                }
                self.publish(quarantine, now);
                let _ = reply.send(());
            }
            CrashesMessage::FromPeer(notices) => {
                for notice in &notices {
                    quarantine.on_notice(notice, now);
                    self.open_breaker(notice, now);
                }
            }
            CrashesMessage::RequestProbe(fingerprint, backends, reply) => {
                let answer = quarantine.request_probe(fingerprint, &backends, now);
                if let ProbeResponse::Granted { backend, .. } = &answer {
                    self.broadcast(QuarantineNotice::ProbeStarted {
                        fingerprint,
                        backend: backend.clone(),
                    });
                }
                let _ = reply.send(answer);
            }
            CrashesMessage::ProbeEnded(fingerprint, backend, end) => {
                if let Some(notice) = quarantine.probe_ended(fingerprint, &backend, end, now) {
                    self.broadcast(notice);
                }
            }
            CrashesMessage::Snapshot(reply) => {
                let _ = reply.send(quarantine.snapshot(now));
            }
            CrashesMessage::SnapshotReceived(notices) => {
                state.caught_up = true;
                for notice in &notices {
                    quarantine.on_notice(notice, now);
                }
            }
        }
        self.publish(&state.quarantine, now);
        Ok(())
    }
}

impl<P: Platform> CrashesActor<P> {
    /// Broadcasts a notice to all peers, each in its own task with [`NOTICE_ATTEMPTS`] attempts.
    fn broadcast(&self, notice: QuarantineNotice) {
        log::info!("broadcasting crash notice: {notice:?}");
        if let QuarantineNotice::Convicted { fingerprint, .. } = &notice {
            self.0.timeline.note(TimelineEvent::Convicted {
                fingerprint: format!("{:032x}", fingerprint.0),
            });
        }
        for member in self.0.live_members() {
            if member.id == self.0.settings.instance {
                continue;
            }
            let (shared, notice) = (self.0.clone(), notice.clone());
            tokio::spawn(async move {
                let request = PeerRequest::Crashes(vec![notice]);
                for _ in 0..NOTICE_ATTEMPTS {
                    let address = member.peer_address;
                    let delivery = shared.peers.call(address, &request, NOTICE_TIMEOUT_MS);
                    if delivery.await.is_ok() {
                        return;
                    }
                }
                log::warn!("crash notice could not be delivered to {}", member.id);
            });
        }
    }

    /// Opens the breaker of a backend server that crashed under another instance's requests, so
    /// that this instance sends it nothing.
    fn open_breaker(&self, notice: &QuarantineNotice, now: MonoMs) {
        let QuarantineNotice::Crashed { crash, .. } = notice else {
            return;
        };
        for server in &self.0.backends.load().servers {
            let is_lost = server.is_crashed_process(crash)
                && server.availability(now) == Availability::Available;
            if is_lost {
                server.record_failure(now);
            }
        }
    }

    /// Requests the table of a random live peer.
    fn request_snapshot(&self, myself: &ActorRef<CrashesMessage>) {
        let members = self.0.live_members();
        let is_peer = |member: &&foxtailhold::membership::Member| {
            member.state == MemberState::Alive && member.id != self.0.settings.instance
        };
        let peers: Vec<_> = members.iter().filter(is_peer).collect();
        let Some(peer) = peers.choose(&mut rand::rng()) else {
            return;
        };
        let (shared, myself, address) = (self.0.clone(), myself.clone(), peer.peer_address);
        tokio::spawn(async move {
            let request = PeerRequest::CrashTable;
            let answer = shared.peers.call(address, &request, NOTICE_TIMEOUT_MS);
            let Ok(PeerAnswer::Crashes(notices)) = answer.await else {
                return;
            };
            let request = PeerRequest::PartCrashTable;
            let answer = shared.peers.call(address, &request, NOTICE_TIMEOUT_MS);
            match answer.await {
                Ok(PeerAnswer::PartCrashes(crashes)) => {
                    for news in &crashes {
                        shared.part_evidence.merge(news);
                    }
                }
                // A build that does not know the message.
                Err(PeerError::Status { .. }) => {}
                _ => return,
            }
            log_undelivered(myself.send_message(CrashesMessage::SnapshotReceived(notices)));
        });
    }

    fn publish(&self, quarantine: &Quarantine, now: MonoMs) {
        let shared = &self.0;
        let statuses = quarantine.statuses(now);
        if !(statuses.is_empty() && shared.crash_statuses.load().is_empty()) {
            shared.crash_statuses.store(statuses.into());
        }
        for server in &shared.backends.load().servers {
            let id = &server.backend.id;
            server.set_probing(quarantine.probed_backends().any(|backend| backend == id));
        }
    }
}
