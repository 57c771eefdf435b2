//! Exchanges shares of limits with their homes.

use std::collections::BTreeSet;

use foxtailhold::ids::{CustomerId, InstanceId};
use foxtailhold::limits::{FAST_RENEWAL_MS, ShareGrant, ShareRequest, ShareRequests};
use foxtailhold::membership::{Member, MemberState};
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::Platform;
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::actors::tick;
use crate::messages::LimitsMessage;
use crate::shared::Shared;

/// Limit for a home's answer.
pub const ANSWER_TIMEOUT_MS: u64 = 500;

/// The instances there are, in reach or not.
#[derive(Debug, Default)]
pub struct ReachableInstances {
    listed: Vec<InstanceId>,
    /// Those that left by a planned stop: they are not out of reach, though the list lags.
    left: BTreeSet<InstanceId>,
}

impl ReachableInstances {
    fn note_left(&mut self, members: &[Member]) {
        for member in members {
            match member.state {
                MemberState::Leaving => {
                    self.left.insert(member.id.clone());
                }
                MemberState::Alive => {
                    self.left.remove(&member.id);
                }
                MemberState::Suspect | MemberState::Dead => {}
            }
        }
        let listed = &self.listed;
        let known = |id: &InstanceId| members.iter().any(|member| member.id == *id);
        self.left.retain(|id| listed.contains(id) || known(id));
    }

    fn count(&self, live: &[InstanceId]) -> u32 {
        let here = self.listed.iter().filter(|id| !self.left.contains(*id));
        let all: BTreeSet<&InstanceId> = live.iter().chain(here).collect();
        all.len() as u32
    }
}

/// The actor.
#[derive(Debug)]
pub struct LimitsActor<P>(pub Shared<P>);

impl<P: Platform> Actor for LimitsActor<P> {
    type Msg = LimitsMessage;
    type State = ReachableInstances;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> Result<Self::State, ActorProcessingErr> {
        tick(&myself, || LimitsMessage::Tick, FAST_RENEWAL_MS);
        Ok(ReachableInstances::default())
    }

    async fn handle(
        &self,
        _: ActorRef<Self::Msg>,
        message: Self::Msg,
        instances: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            LimitsMessage::Listed(listed) => instances.listed = listed,
            LimitsMessage::Tick => self.tick(instances),
        }
        Ok(())
    }
}

impl<P: Platform> LimitsActor<P> {
    fn tick(&self, instances: &mut ReachableInstances) {
        let shared = &self.0;
        let now = shared.clock.mono();
        let members = shared.live_members();
        let live: Vec<InstanceId> = members.iter().map(|member| member.id.clone()).collect();
        instances.note_left(&shared.members.load());
        let count = instances.count(&live);
        shared.limits.set_members(live, count, now);
        shared.limits.sweep(now);
        let asks = shared.limits.due_requests(now);
        let instances = members.len() as u32;
        shared.admission.update(&shared.backends.load(), instances);
        let waiting = shared.admission.waiting() as i64;
        shared.metrics.waiting_requests.set(waiting);
        let customers = shared.limits.customers() as i64;
        shared.metrics.limited_customers.set(customers);
        send(shared, asks);
    }
}

/// Asks the home of one customer at once, where no ask is on its way.
pub fn request_shares_now<P: Platform>(shared: &Shared<P>, customer: &CustomerId) {
    let due = shared.limits.due_request(customer, shared.clock.mono());
    send(shared, due.into_iter().collect());
}

/// Gives room that another instance lacks: asks the homes of these customers at once.
pub fn release_unused_shares<P: Platform>(shared: &Shared<P>, customers: &[CustomerId]) {
    send(
        shared,
        shared.limits.apply_recall(customers, shared.clock.mono()),
    );
}

/// Answers asks as the home of the customers, and tells holders where another one lacks room.
pub fn grant_shares<P: Platform>(shared: &Shared<P>, asks: &ShareRequests) -> Vec<ShareGrant> {
    let (contracts, now) = (shared.contracts.load(), shared.clock.mono());
    let shares = shared.limits.answer(asks, &contracts, now);
    for (instance, customers) in shares.recalled {
        let shared = shared.clone();
        tokio::spawn(async move { recall(&shared, &instance, customers).await });
    }
    shares.grants
}

async fn recall<P: Platform>(shared: &Shared<P>, holder: &InstanceId, customers: Vec<CustomerId>) {
    if *holder == shared.settings.instance {
        release_unused_shares(shared, &customers);
        return;
    }
    let Some(holder) = shared.member(holder) else {
        return;
    };
    let request = PeerRequest::SharesRecalled(customers);
    let peers = &shared.peers;
    let told = peers.ask(holder.peer_address, &request, ANSWER_TIMEOUT_MS);
    if let Err(error) = told.await {
        log::debug!("holder {} was not told to give room: {error}", holder.id);
    }
}

/// Sends asks, in one message to each home, and takes the answers in when they come. Asks to
/// this instance are answered before it returns.
fn send<P: Platform>(shared: &Shared<P>, asks: Vec<ShareRequest>) {
    for (home, asks) in shared.limits.by_coordinator(asks) {
        if home != shared.settings.instance {
            let shared = shared.clone();
            tokio::spawn(async move { exchange(&shared, &home, asks).await });
            continue;
        }
        let asks = ShareRequests {
            from: home,
            requests: asks,
        };
        let grants = grant_shares(shared, &asks);
        take_in(shared, &asks.requests, &grants);
    }
}

/// Takes answers in. A share that shrank is confirmed at once, so that its room can be used.
fn take_in<P: Platform>(shared: &Shared<P>, asks: &[ShareRequest], grants: &[ShareGrant]) {
    let due = shared
        .limits
        .apply_grants(asks, grants, shared.clock.mono());
    if !due.is_empty() {
        send(shared, due);
    }
}

async fn exchange<P: Platform>(shared: &Shared<P>, home: &InstanceId, asks: Vec<ShareRequest>) {
    let Some(home) = shared.member(home) else {
        return;
    };
    let from = shared.settings.instance.clone();
    let asks = ShareRequests {
        from,
        requests: asks,
    };
    let request = PeerRequest::Shares(asks.clone());
    let answer = shared
        .peers
        .ask(home.peer_address, &request, ANSWER_TIMEOUT_MS)
        .await;
    shared.metrics.limit_exchanges.inc();
    let grants = match answer {
        Ok(PeerAnswer::Shares(grants)) => grants,
        Ok(_) => Vec::new(),
        Err(error) => {
            shared.metrics.limit_exchanges_failed.inc();
            log::debug!("home {} did not answer: {error}", home.id);
            Vec::new()
        }
    };
    take_in(shared, &asks.requests, &grants);
}
