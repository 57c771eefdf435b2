//! Keeps this instance's contracts up to date and publishes them.
//!
//! An instance learns of a change by a push from the instance that accepted it, by gossip with a
//! higher number, or by a read of the head row in the platform's table service. [`ContractSync`]
//! decides what to read next; this actor does the reading.

use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhold::contract_sync::{ContractSync, SyncStep};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::seq::IndexedRandom;

use crate::actors::{log_undelivered, tick};
use crate::contract_store;
use crate::messages::{ContractsMessage, SyncResult};
use crate::shared::Shared;

/// Period at which due steps are checked.
pub const TICK_PERIOD_MS: u64 = 250;
/// Maximum wait for a peer's answer with changes.
pub const PULL_TIMEOUT_MS: u64 = 1_000;
/// Maximum wait for a peer's answer with all contracts.
pub const SNAPSHOT_TIMEOUT_MS: u64 = 10_000;

/// The actor that owns the contracts.
#[derive(Debug)]
pub struct ContractsActor<P>(pub Shared<P>);

/// State of the actor: the contracts, and a peer known to have newer ones.
#[derive(Debug, Default)]
pub struct ContractsState {
    sync: ContractSync,
    newer_peer: Option<SocketAddr>,
}

impl<P: Platform> Actor for ContractsActor<P> {
    type Msg = ContractsMessage;
    type State = ContractsState;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> Result<ContractsState, ActorProcessingErr> {
        tick(&myself, || ContractsMessage::Tick, TICK_PERIOD_MS);
        Ok(ContractsState::default())
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut ContractsState,
    ) -> Result<(), ActorProcessingErr> {
        let now = self.0.clock.mono();
        let sync = &mut state.sync;
        match message {
            ContractsMessage::Pushed(data, reply) => {
                sync.on_data(&data, now);
                if let Some(reply) = reply {
                    let _ = reply.send(());
                }
            }
            ContractsMessage::PeerStatus {
                status,
                sent_at,
                address,
            } => {
                if status.number > sync.registry().number() {
                    state.newer_peer = Some(address);
                }
                sync.on_peer_status(status, sent_at, now);
            }
            ContractsMessage::StepEnded(step, None) => sync.on_failed(step, rand::random(), now),
            ContractsMessage::StepEnded(_, Some(found)) => apply_result(sync, found, now),
            ContractsMessage::Tick => {}
        }
        self.publish(&state.sync);
        if let Some(step) = state.sync.next_step(rand::random(), now) {
            self.start_step(&myself, state, step, now);
        }
        Ok(())
    }
}

fn apply_result(sync: &mut ContractSync, found: SyncResult, now: MonoMs) {
    match found {
        SyncResult::Head {
            number,
            sent_at,
            local_number,
        } => sync.on_head(number, sent_at, local_number, now),
        SyncResult::Peer(data) => {
            sync.on_peer_answer(&data, now);
        }
        SyncResult::Log(changes) => {
            sync.on_log(changes, now);
        }
        SyncResult::Snapshot(snapshot) => {
            sync.on_store_snapshot(snapshot, now);
        }
    }
}

impl<P: Platform> ContractsActor<P> {
    fn publish(&self, sync: &ContractSync) {
        let number = sync.registry().number();
        let before = self.0.contracts.load().number();
        self.0.contract_sync.store(Arc::new(sync.clone()));
        if number == before {
            return;
        }
        self.0.contracts.store(Arc::new(sync.registry().clone()));
        self.0.metrics.contracts_number.set(number as i64);
        self.0
            .timeline
            .note(TimelineEvent::ContractApplied { number });
    }

    fn start_step(
        &self,
        myself: &ActorRef<ContractsMessage>,
        state: &mut ContractsState,
        step: SyncStep,
        sent_at: MonoMs,
    ) {
        let peer = state.newer_peer.take().or_else(|| self.any_peer());
        let local_number = state.sync.registry().number();
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            let found = match step {
                SyncStep::AskPeer { after } => read_from_peer(&shared, peer, after).await,
                SyncStep::ReadHead => read_head(&shared, sent_at, local_number).await,
                SyncStep::ReadLog { after } => {
                    let read = contract_store::read_after(&shared.platform, after).await;
                    read_result("log", read.map(SyncResult::Log))
                }
                SyncStep::ReadSnapshot => {
                    let read = contract_store::read_snapshot(&shared.platform).await;
                    read_result("rows", read.map(SyncResult::Snapshot))
                }
            };
            log_undelivered(myself.send_message(ContractsMessage::StepEnded(step, found)));
        });
    }

    fn any_peer(&self) -> Option<SocketAddr> {
        let mut peers = self.0.live_members();
        peers.retain(|member| member.id != self.0.settings.instance);
        let peer = peers.choose(&mut rand::rng())?;
        Some(peer.peer_address)
    }
}

async fn read_head<P: Platform>(
    shared: &Shared<P>,
    sent_at: MonoMs,
    local_number: u64,
) -> Option<SyncResult> {
    let read = contract_store::read_head(&shared.platform).await;
    let found = read.map(|number| SyncResult::Head {
        number,
        sent_at,
        local_number,
    });
    read_result("head", found)
}

fn read_result(source: &str, read: foxtailhold_platform::Result<SyncResult>) -> Option<SyncResult> {
    match read {
        Ok(found) => Some(found),
        Err(error) => {
            log::warn!("the contract {source} could not be read: {error}");
            None
        }
    }
}

async fn read_from_peer<P: Platform>(
    shared: &Shared<P>,
    peer: Option<SocketAddr>,
    number: u64,
) -> Option<SyncResult> {
    let request = PeerRequest::ContractsAfter { number };
    let timeout_ms = if number == 0 {
        SNAPSHOT_TIMEOUT_MS
    } else {
        PULL_TIMEOUT_MS
    };
    match shared.peers.call(peer?, &request, timeout_ms).await {
        Ok(PeerAnswer::Contracts(data)) => Some(SyncResult::Peer(data)),
        Ok(_) => None,
        Err(error) => {
            log::debug!("contract changes could not be read from a peer: {error}");
            None
        }
    }
}
