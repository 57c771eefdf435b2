//! Keeps this instance's view of the other instances by gossip and publishes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foxtailhold::contract_sync::ContractStatus;
use foxtailhold::ids::InstanceId;
use foxtailhold::leaving::LeavingNotice;
use foxtailhold::membership::{
    Gossip, GossipPayload, Member, MemberState, Membership, PROBE_PERIOD_MS,
};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::{FleetInstance, Platform};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::task::JoinSet;

use crate::actors::{log_undelivered, tick};
use crate::messages::{ContractsMessage, FleetMessage, GossipAnswer, MembershipMessage};
use crate::shared::Shared;

/// Maximum wait for the answer to a probe.
pub const PROBE_TIMEOUT_MS: u64 = 400;
/// Maximum wait for the answer to an indirect probe, which includes the helper's own probe.
pub const INDIRECT_TIMEOUT_MS: u64 = 2 * PROBE_TIMEOUT_MS;

/// The actor that owns the membership.
#[derive(Debug)]
pub struct MembershipActor<P>(pub Shared<P>);

/// State of the actor: the membership, and the instances of the fleet list as seeds.
#[derive(Debug)]
pub struct MembershipState {
    membership: Membership,
    seeds: Vec<FleetInstance>,
}

impl<P: Platform> Actor for MembershipActor<P> {
    type Msg = MembershipMessage;
    type State = MembershipState;
    type Arguments = Member;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        me: Member,
    ) -> Result<Self::State, ActorProcessingErr> {
        tick(&myself, || MembershipMessage::Tick, PROBE_PERIOD_MS);
        Ok(MembershipState {
            membership: Membership::new(me, rand::random()),
            seeds: Vec::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = self.0.clock.mono();
        match message {
            MembershipMessage::Tick => {
                state.membership.tick(now);
                self.probe(&myself, state, now);
            }
            MembershipMessage::Gossip(gossip, reply) => {
                let payload = self.gossip_payload(now);
                let answer = state.membership.on_message(&gossip, payload, now);
                self.forward_sender_status(state, &gossip);
                self.forward_leaving(gossip.leaving);
                let _ = reply.send(answer);
            }
            MembershipMessage::GossipAnswer(answer) => {
                let (gossip, all) = (&answer.gossip, answer.requested_full_state);
                state.membership.on_probe_response(gossip, all, now);
                self.forward_contract_status(
                    gossip.contracts,
                    Some(answer.sent_at),
                    answer.address,
                );
                self.forward_leaving(answer.gossip.leaving);
            }
            MembershipMessage::NoAnswer(id) => self.probe_indirectly(&myself, state, id),
            MembershipMessage::IndirectProbe(_, true) => state.membership.on_indirect_response(),
            MembershipMessage::IndirectProbe(id, false) => {
                state.membership.on_probe_failure(&id, now)
            }
            MembershipMessage::Seeds(seeds) => state.seeds = seeds,
            MembershipMessage::Leave(reply) => {
                state.membership.leave();
                self.announce_stop(state, now, reply);
            }
        }
        let sync = self.0.contract_sync.load();
        let listing = sync.listing(state.membership.is_isolated(), now);
        state.membership.set_listing(listing);
        self.publish(&state.membership);
        Ok(())
    }
}

impl<P: Platform> MembershipActor<P> {
    fn gossip_payload(&self, now: MonoMs) -> GossipPayload {
        GossipPayload {
            contracts: self.0.contract_sync.load().status(now),
            leaving: self.0.leaving.load().outgoing(now),
        }
    }

    fn probe(
        &self,
        myself: &ActorRef<MembershipMessage>,
        state: &mut MembershipState,
        now: MonoMs,
    ) {
        if let Some(target) = state.membership.probe_target() {
            let gossip = state
                .membership
                .probe(Some(&target.id), self.gossip_payload(now));
            self.send(myself, Some(target.id), target.peer_address, gossip);
        }
        if let Some(target) = state.membership.dead_probe_target() {
            let gossip = state
                .membership
                .probe(Some(&target.id), self.gossip_payload(now));
            self.send(myself, None, target.peer_address, gossip);
        }
        if let Some(address) = unknown_seed(state) {
            let gossip = state.membership.probe(None, self.gossip_payload(now));
            self.send(myself, None, address, gossip);
        }
    }

    /// Sends this instance's own state to all instances directly, as gossip would take some rounds.
    fn announce_stop(&self, state: &mut MembershipState, now: MonoMs, reply: RpcReplyPort<()>) {
        let gossip = state.membership.probe(None, self.gossip_payload(now));
        let mut announcements = JoinSet::new();
        for member in state.membership.members() {
            if member.id == self.0.settings.instance || member.state == MemberState::Dead {
                continue;
            }
            let (shared, address) = (self.0.clone(), member.peer_address);
            let request = PeerRequest::Gossip(gossip.clone());
            announcements.spawn(async move {
                let answer = shared.peers.call(address, &request, PROBE_TIMEOUT_MS).await;
                if let Err(error) = answer {
                    log::debug!("planned stop could not be announced to {address}: {error}");
                }
            });
        }
        tokio::spawn(async move {
            while announcements.join_next().await.is_some() {}
            let _ = reply.send(());
        });
    }

    fn send(
        &self,
        myself: &ActorRef<MembershipMessage>,
        id: Option<InstanceId>,
        address: SocketAddr,
        gossip: Gossip,
    ) {
        let (shared, myself) = (self.0.clone(), myself.clone());
        let (sent_at, requested_full_state) = (shared.clock.mono(), gossip.want_all);
        let request = PeerRequest::Gossip(gossip);
        tokio::spawn(async move {
            let answer = shared.peers.call(address, &request, PROBE_TIMEOUT_MS).await;
            let message = match (answer, id) {
                (Ok(PeerAnswer::Gossip(gossip)), _) => {
                    MembershipMessage::GossipAnswer(GossipAnswer {
                        gossip,
                        address,
                        sent_at,
                        requested_full_state,
                    })
                }
                (_, Some(id)) => MembershipMessage::NoAnswer(id),
                (_, None) => return,
            };
            log_undelivered(myself.send_message(message));
        });
    }

    /// Requests an indirect probe, by other members, of one that did not answer: the connection may
    /// be broken only between it and this instance.
    fn probe_indirectly(
        &self,
        myself: &ActorRef<MembershipMessage>,
        state: &mut MembershipState,
        id: InstanceId,
    ) {
        let target = state.membership.members().find(|member| member.id == id);
        let Some(address) = target.map(|target| target.peer_address) else {
            return;
        };
        let mut probes = JoinSet::new();
        for helper in state.membership.indirect_probers(&id) {
            let shared = self.0.clone();
            probes.spawn(async move {
                let request = PeerRequest::IndirectProbe { address };
                let to = helper.peer_address;
                let answer = shared.peers.call(to, &request, INDIRECT_TIMEOUT_MS).await;
                matches!(answer, Ok(PeerAnswer::Done))
            });
        }
        let myself = myself.clone();
        tokio::spawn(async move {
            let mut answered = false;
            while let Some(outcome) = probes.join_next().await {
                answered |= outcome.unwrap_or(false);
                if answered {
                    break;
                }
            }
            let message = MembershipMessage::IndirectProbe(id, answered);
            log_undelivered(myself.send_message(message));
        });
    }

    fn forward_sender_status(&self, state: &MembershipState, gossip: &Gossip) {
        let sender = state.membership.members().find(|m| m.id == gossip.from);
        if let Some(sender) = sender {
            self.forward_contract_status(gossip.contracts, None, sender.peer_address);
        }
    }

    fn forward_leaving(&self, notices: Vec<LeavingNotice>) {
        if notices.is_empty() {
            return;
        }
        if let Some(actors) = self.0.actors() {
            log_undelivered(
                actors
                    .fleet
                    .send_message(FleetMessage::LeavingNotices(notices)),
            );
        }
    }

    fn forward_contract_status(
        &self,
        status: ContractStatus,
        sent_at: Option<MonoMs>,
        address: SocketAddr,
    ) {
        if let Some(actors) = self.0.actors() {
            let message = ContractsMessage::PeerStatus {
                status,
                sent_at,
                address,
            };
            log_undelivered(actors.contracts.send_message(message));
        }
    }

    fn publish(&self, membership: &Membership) {
        let members: Vec<Member> = membership.members().cloned().collect();
        let before = self.0.members.load();
        if **before == members {
            return;
        }
        let old: BTreeMap<&InstanceId, MemberState> = before
            .iter()
            .map(|member| (&member.id, member.state))
            .collect();
        for member in &members {
            if old.get(&member.id) == Some(&member.state) {
                continue;
            }
            self.0.timeline.note(TimelineEvent::MemberChanged {
                instance: member.id.clone(),
                state: format!("{:?}", member.state).to_lowercase(),
            });
        }
        self.0.members.store(members.into());
    }
}

/// The address of a random instance that the fleet list names and gossip has not reported yet.
fn unknown_seed(state: &MembershipState) -> Option<SocketAddr> {
    let mut unknown = Vec::new();
    for seed in &state.seeds {
        if state
            .membership
            .members()
            .any(|member| member.id == seed.id)
        {
            continue;
        }
        unknown.push(seed.peer_address);
    }
    let index = rand::random::<u32>() as usize % unknown.len().max(1);
    unknown.get(index).copied()
}
