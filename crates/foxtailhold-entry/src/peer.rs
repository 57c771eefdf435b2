//! Handles messages from peers.

use std::net::SocketAddr;

use foxtailhold::contract_registry::ContractSyncData;
use foxtailhold::membership::Gossip;
use foxtailhold::timeline::HlcTime;
use foxtailhold_peer::{MessageClock, PeerAnswer, PeerHandler, PeerRequest};
use foxtailhold_platform::Platform;
use ractor::rpc::CallResult;

use crate::actors::membership::PROBE_TIMEOUT_MS;
use crate::actors::{limits, log_undelivered};
use crate::jobs::{deadline_check, owner};
use crate::messages::{
    BatchControllerMessage, ContractsMessage, CrashesMessage, FleetMessage, JobsMessage,
    MembershipMessage,
};
use crate::online_load;
use crate::part_news;
use crate::shared::{Actors, Shared};

/// Handles peer messages on the state of one instance.
#[derive(Debug)]
pub struct EntryPeer<P>(pub Shared<P>);

impl<P> Clone for EntryPeer<P> {
    fn clone(&self) -> Self {
        EntryPeer(self.0.clone())
    }
}

impl<P: Platform> EntryPeer<P> {
    async fn answer(&self, actors: &Actors, request: PeerRequest) -> PeerAnswer {
        match request {
            PeerRequest::Gossip(gossip) => {
                let call = |reply| MembershipMessage::Gossip(gossip, reply);
                match actors.membership.call(call, None).await {
                    Ok(CallResult::Success(answer)) => PeerAnswer::Gossip(answer),
                    _ => PeerAnswer::Refused,
                }
            }
            PeerRequest::ContractsAfter { number } => {
                let sync = self.0.contract_sync.load();
                match sync.is_loaded() {
                    true => PeerAnswer::Contracts(sync.registry().updates_after(number)),
                    false => PeerAnswer::Refused,
                }
            }
            PeerRequest::Contracts(catchup) => self.apply(actors, catchup).await,
            PeerRequest::BackendsLeaving(marks) => {
                let message = FleetMessage::LeavingNotices(marks);
                log_undelivered(actors.fleet.send_message(message));
                PeerAnswer::Done
            }
            PeerRequest::IndirectProbe { address } => self.probe(actors, address).await,
            PeerRequest::Shares(requests) => {
                PeerAnswer::Shares(limits::grant_shares(&self.0, &requests))
            }
            PeerRequest::SharesRecalled(customers) => {
                limits::release_unused_shares(&self.0, &customers);
                PeerAnswer::Done
            }
            PeerRequest::JobOffered { .. } => {
                log_undelivered(actors.jobs.send_message(JobsMessage::Scan));
                PeerAnswer::Done
            }
            PeerRequest::CheckJobDeadline { items, window_ms } => {
                PeerAnswer::JobDeadline(deadline_check::estimate_locally(&self.0, items, window_ms))
            }
            PeerRequest::JobCancelled { job } => match owner::stop_local(&self.0, &job).await {
                true => PeerAnswer::Done,
                false => PeerAnswer::Refused,
            },
            PeerRequest::SlotsRequested(slot_request) => {
                let call = |reply| BatchControllerMessage::SlotsRequested(slot_request, reply);
                match actors.batch_controller.call(call, None).await {
                    Ok(CallResult::Success(grant)) => PeerAnswer::SlotGrant(grant),
                    _ => PeerAnswer::Refused,
                }
            }
            PeerRequest::SlotsGranted(grant) => {
                let call = |reply| BatchControllerMessage::SlotsGranted(grant, reply);
                match actors.batch_controller.call(call, None).await {
                    Ok(CallResult::Success(in_use)) => PeerAnswer::SlotsInUse(in_use),
                    _ => PeerAnswer::Refused,
                }
            }
            PeerRequest::OnlineLoad(notice) => {
                match online_load::deliver_here(&self.0, notice).await {
                    true => PeerAnswer::Done,
                    false => PeerAnswer::Refused,
                }
            }
            PeerRequest::Crashes(notices) => {
                log_undelivered(
                    actors
                        .crashes
                        .send_message(CrashesMessage::FromPeer(notices)),
                );
                PeerAnswer::Done
            }
            PeerRequest::PartCrashes(crashes) => {
                part_news::merge_news(&self.0, &crashes);
                PeerAnswer::Done
            }
            PeerRequest::PartCrashTable => PeerAnswer::PartCrashes(self.0.part_evidence.snapshot()),
            PeerRequest::PartProbeRequested { group } => {
                let now = self.0.clock.mono();
                match self.0.part_evidence.admit_probe(group, now) {
                    true => PeerAnswer::Done,
                    false => PeerAnswer::Refused,
                }
            }
            PeerRequest::CrashTable => {
                match actors.crashes.call(CrashesMessage::Snapshot, None).await {
                    Ok(CallResult::Success(notices)) => PeerAnswer::Crashes(notices),
                    _ => PeerAnswer::Refused,
                }
            }
            PeerRequest::ProbeRequested {
                fingerprint,
                backends,
            } => {
                let call = |reply| CrashesMessage::RequestProbe(fingerprint, backends, reply);
                match actors.crashes.call(call, None).await {
                    Ok(CallResult::Success(answer)) => PeerAnswer::Probe(answer),
                    _ => PeerAnswer::Refused,
                }
            }
            PeerRequest::ProbeEnded {
                fingerprint,
                backend,
                end,
            } => {
                let message = CrashesMessage::ProbeEnded(fingerprint, backend, end);
                log_undelivered(actors.crashes.send_message(message));
                PeerAnswer::Done
            }
        }
    }

    async fn probe(&self, actors: &Actors, address: SocketAddr) -> PeerAnswer {
        let gossip = Gossip {
            from: self.0.settings.instance.clone(),
            updates: Vec::new(),
            want_all: false,
            contracts: self.0.contract_sync.load().status(self.0.clock.mono()),
            leaving: Vec::new(),
            members: 0,
        };
        let (sent_at, request) = (self.0.clock.mono(), PeerRequest::Gossip(gossip));
        match self.0.peers.call(address, &request, PROBE_TIMEOUT_MS).await {
            Ok(PeerAnswer::Gossip(gossip)) => {
                let message = ContractsMessage::PeerStatus {
                    status: gossip.contracts,
                    sent_at: Some(sent_at),
                    address,
                };
                log_undelivered(actors.contracts.send_message(message));
                PeerAnswer::Done
            }
            _ => PeerAnswer::Refused,
        }
    }

    async fn apply(&self, actors: &Actors, catchup: ContractSyncData) -> PeerAnswer {
        let pushed = |reply| ContractsMessage::Pushed(catchup, Some(reply));
        match actors.contracts.call(pushed, None).await {
            Ok(CallResult::Success(())) => PeerAnswer::Done,
            _ => PeerAnswer::Refused,
        }
    }
}

impl<P: Platform> PeerHandler for EntryPeer<P> {
    async fn handle(&self, request: PeerRequest) -> PeerAnswer {
        match self.0.actors() {
            None => PeerAnswer::Refused,
            Some(actors) => self.answer(actors, request).await,
        }
    }

    fn stamp(&self) -> Option<HlcTime> {
        self.0.timeline.clock().stamp()
    }

    fn receive(&self, at: HlcTime) {
        self.0.timeline.clock().receive(at);
    }
}
