//! Exchanges shares of customers' limits with the customers' limit coordinators.

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

/// Maximum wait for a limit coordinator's answer.
pub const ANSWER_TIMEOUT_MS: u64 = 500;

/// The instances of the fleet, whether this instance can reach them or not.
#[derive(Debug, Default)]
pub struct KnownInstances {
    listed: Vec<InstanceId>,
    /// Instances that left by a planned stop. The fleet list still names them for a while; they
    /// must not be taken for unreachable ones.
    departed: BTreeSet<InstanceId>,
}

impl KnownInstances {
    fn record_departed(&mut self, members: &[Member]) {
        for member in members {
            match member.state {
                MemberState::Leaving => {
                    self.departed.insert(member.id.clone());
                }
                MemberState::Alive => {
                    self.departed.remove(&member.id);
                }
                MemberState::Suspect | MemberState::Dead => {}
            }
        }
        let listed = &self.listed;
        let is_member = |id: &InstanceId| members.iter().any(|member| member.id == *id);
        self.departed
            .retain(|id| listed.contains(id) || is_member(id));
    }

    fn count(&self, live: &[InstanceId]) -> u32 {
        let listed = self.listed.iter().filter(|id| !self.departed.contains(*id));
        let all: BTreeSet<&InstanceId> = live.iter().chain(listed).collect();
        all.len() as u32
    }
}

/// The actor that requests shares of limits and updates the admission.
#[derive(Debug)]
pub struct LimitsActor<P>(pub Shared<P>);

impl<P: Platform> Actor for LimitsActor<P> {
    type Msg = LimitsMessage;
    type State = KnownInstances;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> Result<Self::State, ActorProcessingErr> {
        tick(&myself, || LimitsMessage::Tick, FAST_RENEWAL_MS);
        Ok(KnownInstances::default())
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
    fn tick(&self, instances: &mut KnownInstances) {
        let shared = &self.0;
        let now = shared.clock.mono();
        let members = shared.live_members();
        let live: Vec<InstanceId> = members.iter().map(|member| member.id.clone()).collect();
        instances.record_departed(&shared.members.load());
        let count = instances.count(&live);
        shared.limits.set_members(live, count, now);
        shared.limits.sweep(now);
        let requests = shared.limits.due_requests(now);
        let instances = members.len() as u32;
        shared.admission.update(&shared.backends.load(), instances);
        let waiting = shared.admission.waiting() as i64;
        shared.metrics.waiting_requests.set(waiting);
        let customers = shared.limits.customers() as i64;
        shared.metrics.limited_customers.set(customers);
        send_requests(shared, requests);
    }
}

/// Requests one customer's share from its coordinator now, unless a request is already in flight.
pub fn request_shares_now<P: Platform>(shared: &Shared<P>, customer: &CustomerId) {
    let due = shared.limits.due_request(customer, shared.clock.mono());
    send_requests(shared, due.into_iter().collect());
}

/// Gives back unused shares that another instance needs, by contacting the coordinators of these
/// customers now.
pub fn release_unused_shares<P: Platform>(shared: &Shared<P>, customers: &[CustomerId]) {
    send_requests(
        shared,
        shared.limits.apply_recall(customers, shared.clock.mono()),
    );
}

/// Answers share requests as the customers' coordinator, and recalls unused shares from holders
/// where another instance needs them.
pub fn grant_shares<P: Platform>(shared: &Shared<P>, requests: &ShareRequests) -> Vec<ShareGrant> {
    let (contracts, now) = (shared.contracts.load(), shared.clock.mono());
    let shares = shared.limits.grant_shares(requests, &contracts, now);
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
    let delivery = peers.call(holder.peer_address, &request, ANSWER_TIMEOUT_MS);
    if let Err(error) = delivery.await {
        log::debug!(
            "recall of unused shares did not reach holder {}: {error}",
            holder.id
        );
    }
}

/// Sends share requests, in one message to each coordinator, and applies the answers when they
/// arrive. Requests to this instance are answered before this returns.
fn send_requests<P: Platform>(shared: &Shared<P>, requests: Vec<ShareRequest>) {
    for (coordinator, requests) in shared.limits.by_coordinator(requests) {
        if coordinator != shared.settings.instance {
            let shared = shared.clone();
            tokio::spawn(async move { exchange_shares(&shared, &coordinator, requests).await });
            continue;
        }
        let requests = ShareRequests {
            from: coordinator,
            requests,
        };
        let grants = grant_shares(shared, &requests);
        apply_grants(shared, &requests.requests, &grants);
    }
}

/// Applies grants. A share that shrank is confirmed at once, so that the coordinator can grant the
/// difference to others.
fn apply_grants<P: Platform>(shared: &Shared<P>, requests: &[ShareRequest], grants: &[ShareGrant]) {
    let due = shared
        .limits
        .apply_grants(requests, grants, shared.clock.mono());
    if !due.is_empty() {
        send_requests(shared, due);
    }
}

async fn exchange_shares<P: Platform>(
    shared: &Shared<P>,
    coordinator: &InstanceId,
    requests: Vec<ShareRequest>,
) {
    let Some(coordinator) = shared.member(coordinator) else {
        return;
    };
    let from = shared.settings.instance.clone();
    let requests = ShareRequests { from, requests };
    let request = PeerRequest::Shares(requests.clone());
    let answer = shared
        .peers
        .call(coordinator.peer_address, &request, ANSWER_TIMEOUT_MS)
        .await;
    shared.metrics.limit_exchanges.inc();
    let grants = match answer {
        Ok(PeerAnswer::Shares(grants)) => grants,
        Ok(_) => Vec::new(),
        Err(error) => {
            shared.metrics.limit_exchanges_failed.inc();
            log::debug!(
                "limit coordinator {} did not answer a share request: {error}",
                coordinator.id
            );
            Vec::new()
        }
    };
    apply_grants(shared, &requests.requests, &grants);
}
