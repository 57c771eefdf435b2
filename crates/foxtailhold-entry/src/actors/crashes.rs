//! Keeps the table of requests that crash backend servers and publishes it.

use foxtailhold::breaker::Availability;
use foxtailhold::membership::MemberState;
use foxtailhold::quarantine::{ProbeResponse, Quarantine, QuarantineNotice};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::seq::IndexedRandom;

use crate::actors::{log_undelivered, tick};
use crate::messages::CrashesMessage;
use crate::shared::Shared;

/// Verdicts and expiry are looked at this often.
pub const TICK_MS: u64 = 100;
/// Limit for a peer to take a notice.
pub const NOTICE_TIMEOUT_MS: u64 = 500;
/// A notice is offered to each peer this often.
const NOTICE_TRIES: u32 = 4;

/// The actor.
#[derive(Debug)]
pub struct CrashesActor<P>(pub Shared<P>);

/// Its state.
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
                if !state.caught_up {
                    self.catch_up(&myself);
                }
                for notice in state.quarantine.tick(now) {
                    self.tell(notice);
                }
            }
            CrashesMessage::Observed(notice, reply) => {
                if quarantine.on_notice(&notice, now) {
                    self.tell(notice);
                }
                self.publish(quarantine, now);
                let _ = reply.send(());
            }
            CrashesMessage::FromPeer(notices) => {
                for notice in &notices {
                    quarantine.on_notice(notice, now);
                    self.set_aside(notice, now);
                }
            }
            CrashesMessage::RequestProbe(fingerprint, backends, reply) => {
                let answer = quarantine.ask(fingerprint, &backends, now);
                if let ProbeResponse::Granted { backend, .. } = &answer {
                    self.tell(QuarantineNotice::ProbeStarted {
                        fingerprint,
                        backend: backend.clone(),
                    });
                }
                let _ = reply.send(answer);
            }
            CrashesMessage::ProbeEnded(fingerprint, backend, end) => {
                if let Some(notice) = quarantine.probe_ended(fingerprint, &backend, end, now) {
                    self.tell(notice);
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
    /// Tells all peers, each in a task of its own with a few tries.
    fn tell(&self, notice: QuarantineNotice) {
        log::info!("told to all: {notice:?}");
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
                for _ in 0..NOTICE_TRIES {
                    let address = member.peer_address;
                    let told = shared.peers.ask(address, &request, NOTICE_TIMEOUT_MS);
                    if told.await.is_ok() {
                        return;
                    }
                }
                log::warn!("a notice on a crash did not reach {}", member.id);
            });
        }
    }

    /// A backend server that crashed under another instance's requests gets nothing from here.
    fn set_aside(&self, notice: &QuarantineNotice, now: MonoMs) {
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

    /// Asks any peer for its table.
    fn catch_up(&self, myself: &ActorRef<CrashesMessage>) {
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
            let answer = shared.peers.ask(address, &request, NOTICE_TIMEOUT_MS);
            if let Ok(PeerAnswer::Crashes(notices)) = answer.await {
                log_undelivered(myself.send_message(CrashesMessage::SnapshotReceived(notices)));
            }
        });
    }

    fn publish(&self, quarantine: &Quarantine, now: MonoMs) {
        let shared = &self.0;
        let standings = quarantine.standings(now);
        if !(standings.is_empty() && shared.crash_statuses.load().is_empty()) {
            shared.crash_statuses.store(standings.into());
        }
        for server in &shared.backends.load().servers {
            let id = &server.backend.id;
            server.set_probing(quarantine.probed_backends().any(|backend| backend == id));
        }
    }
}
