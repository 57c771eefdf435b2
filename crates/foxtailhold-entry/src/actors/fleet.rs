//! Reads the platform's fleet list and the backend servers' load reports, and publishes both.

use std::sync::Arc;

use foxtailhold::ids::InstanceId;
use foxtailhold::leaving::LeavingBackends;
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::time::MonoMs;
use foxtailhold_peer::PeerRequest;
use foxtailhold_platform::{Fleet, Platform};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::seq::SliceRandom;

use crate::actors::{log_undelivered, tick};
use crate::backends::BackendState;
use crate::messages::{FleetMessage, LimitsMessage, MembershipMessage};
use crate::shared::Shared;

/// The list is read this often.
pub const LIST_PERIOD_MS: u64 = 1_000;
/// Load reports are read this often.
pub const LOAD_PERIOD_MS: u64 = 500;

/// Instances told at once that a backend server is leaving.
const SPREAD_TO: usize = 4;
/// Limit for telling one of them.
const SPREAD_TIMEOUT_MS: u64 = 1_000;

/// The actor.
#[derive(Debug)]
pub struct FleetActor<P>(pub Shared<P>);

impl<P: Platform> Actor for FleetActor<P> {
    type Msg = FleetMessage;
    type State = LeavingBackends;
    type Arguments = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (): (),
    ) -> Result<LeavingBackends, ActorProcessingErr> {
        tick(&myself, || FleetMessage::ReadList, LIST_PERIOD_MS);
        tick(&myself, || FleetMessage::ReadLoads, LOAD_PERIOD_MS);
        Ok(LeavingBackends::default())
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        marks: &mut LeavingBackends,
    ) -> Result<(), ActorProcessingErr> {
        let now = self.0.clock.mono();
        match message {
            FleetMessage::ReadList => self.read_list(&myself),
            FleetMessage::List(fleet) => self.publish(&myself, fleet),
            FleetMessage::ReadLoads => {
                for server in &self.0.backends.load().servers {
                    self.read_load(server);
                }
                marks.tick(now);
            }
            FleetMessage::LeavingNotices(told) => {
                if marks.merge(&told, now) {
                    self.spread(marks, now);
                }
            }
        }
        self.mark(marks, now);
        Ok(())
    }
}

impl<P: Platform> FleetActor<P> {
    fn read_list(&self, myself: &ActorRef<FleetMessage>) {
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            match shared.platform.fleet().await {
                Ok(fleet) => log_undelivered(myself.send_message(FleetMessage::List(fleet))),
                Err(error) => log::warn!("the fleet list could not be read: {error}"),
            }
        });
    }

    fn publish(&self, myself: &ActorRef<FleetMessage>, fleet: Fleet) {
        let before = self.0.backends.load();
        let known = before.servers.iter().map(|server| &server.backend);
        if !known.eq(fleet.backends.iter()) {
            let first = before.servers.is_empty();
            self.0
                .backends
                .store(before.with_fleet_list(&fleet.backends).into());
            if first {
                log_undelivered(myself.send_message(FleetMessage::ReadLoads));
            }
        }
        if let Some(actors) = self.0.actors() {
            let listed = LimitsMessage::Listed(live_instances(&fleet));
            log_undelivered(actors.limits.send_message(listed));
            let message = MembershipMessage::Seeds(fleet.instances);
            log_undelivered(actors.membership.send_message(message));
        }
    }

    /// Marks what this instance sees first-hand, and publishes all marks.
    fn mark(&self, marks: &mut LeavingBackends, now: MonoMs) {
        let (backends, wall) = (self.0.backends.load(), self.0.clock.wall());
        let mut news = false;
        for server in &backends.servers {
            if server.take_leaving_observation() {
                news |= marks.observe(&server.backend.id, wall, now);
            }
        }
        for server in &backends.servers {
            server.set_marked_leaving(marks.is_leaving(&server.backend.id, now));
        }
        self.0.leaving.store(Arc::new(marks.clone()));
        if news {
            self.spread(marks, now);
        }
    }

    /// Tells some instances at once; they tell others, and gossip brings the rest.
    fn spread(&self, marks: &LeavingBackends, now: MonoMs) {
        let mut peers = self.0.live_members();
        peers.retain(|member| member.id != self.0.settings.instance);
        peers.shuffle(&mut rand::rng());
        peers.truncate(SPREAD_TO);
        for peer in peers {
            let shared = self.0.clone();
            let request = PeerRequest::BackendsLeaving(marks.outgoing(now));
            tokio::spawn(async move {
                let address = peer.peer_address;
                let told = shared.peers.ask(address, &request, SPREAD_TIMEOUT_MS).await;
                if let Err(error) = told {
                    log::debug!("{} was not told of leaving servers: {error}", peer.id);
                }
            });
        }
    }

    fn read_load(&self, server: &BackendState) {
        let (shared, server) = (self.0.clone(), server.clone());
        tokio::spawn(async move {
            let address = server.backend.address;
            let report = match server.backend.kind {
                BackendKind::Engine => shared.engines.load(address).await.ok(),
                BackendKind::Service => shared.services.load(address).await.ok(),
            };
            if let Some(report) = report {
                server.record_load_report(report, shared.clock.mono());
            }
        });
    }
}

fn live_instances(fleet: &Fleet) -> Vec<InstanceId> {
    let mut live = Vec::new();
    for instance in &fleet.instances {
        if instance.state == FleetState::Live {
            live.push(instance.id.clone());
        }
    }
    live
}
