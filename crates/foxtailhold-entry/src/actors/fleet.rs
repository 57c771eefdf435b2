//! Reads the platform's fleet list and the load reports of the backend servers, and publishes both.

use std::collections::BTreeSet;
use std::sync::Arc;

use foxtailhold::act_lease::ActLease;
use foxtailhold::ids::InstanceId;
use foxtailhold::leaving::LeavingBackends;
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::MonoMs;
use foxtailhold_peer::PeerRequest;
use foxtailhold_platform::{Fleet, Platform};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rand::seq::SliceRandom;

use crate::actors::{log_undelivered, tick};
use crate::backends::BackendState;
use crate::messages::{FleetMessage, LimitsMessage, MembershipMessage};
use crate::shared::Shared;

/// Period at which the fleet list is read.
pub const LIST_PERIOD_MS: u64 = 1_000;
/// Age up to which the list tells what is not in it.
const LIST_BOUND_MS: u64 = 4 * LIST_PERIOD_MS;
/// Period at which load reports are read.
pub const LOAD_PERIOD_MS: u64 = 500;

/// Number of instances that are notified directly that a backend server is leaving.
const ANNOUNCE_FANOUT: usize = 4;
/// Maximum wait for one of them to confirm.
const ANNOUNCE_TIMEOUT_MS: u64 = 1_000;

/// The actor that reads the fleet.
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
        leaving: &mut LeavingBackends,
    ) -> Result<(), ActorProcessingErr> {
        let now = self.0.clock.mono();
        match message {
            FleetMessage::ReadList => self.read_list(&myself),
            FleetMessage::List { fleet, as_of } => self.publish(&myself, fleet, as_of),
            FleetMessage::ReadLoads => {
                for server in &self.0.backends.load().servers {
                    self.read_load(server);
                }
                leaving.tick(now);
            }
            FleetMessage::LeavingNotices(notices) => {
                if leaving.merge(&notices, now) {
                    self.announce_leaving(leaving, now);
                }
            }
        }
        self.publish_leaving(leaving, now);
        Ok(())
    }
}

impl<P: Platform> FleetActor<P> {
    fn read_list(&self, myself: &ActorRef<FleetMessage>) {
        let (shared, myself) = (self.0.clone(), myself.clone());
        tokio::spawn(async move {
            let as_of = shared.clock.mono();
            match shared.platform.fleet().await {
                Ok(fleet) => {
                    log_undelivered(myself.send_message(FleetMessage::List { fleet, as_of }));
                }
                Err(error) => {
                    log::warn!("fleet list could not be read, keeping the last one: {error}")
                }
            }
        });
    }

    fn publish(&self, myself: &ActorRef<FleetMessage>, fleet: Fleet, as_of: MonoMs) {
        let before = self.0.backends.load();
        let listed = before.servers.iter().map(|server| &server.backend);
        if !listed.eq(fleet.backends.iter()) {
            let first = before.servers.is_empty();
            self.0
                .backends
                .store(before.with_fleet_list(&fleet.backends).into());
            if first {
                log_undelivered(myself.send_message(FleetMessage::ReadLoads));
            }
        }
        let lease = ActLease::new(as_of, LIST_BOUND_MS);
        self.0.extend_fleet_lease(lease);
        self.0
            .part_evidence
            .set_listed(engine_origins(&fleet), self.0.clock.wall());
        if let Some(actors) = self.0.actors() {
            let listed = LimitsMessage::Listed(live_instances(&fleet));
            log_undelivered(actors.limits.send_message(listed));
            let message = MembershipMessage::Seeds(fleet.instances);
            log_undelivered(actors.membership.send_message(message));
        }
    }

    /// Adds a notice for each backend server that reported to this instance that it is leaving, and
    /// publishes all leaving backend servers.
    fn publish_leaving(&self, leaving: &mut LeavingBackends, now: MonoMs) {
        let (backends, wall) = (self.0.backends.load(), self.0.clock.wall());
        let mut changed = false;
        for server in &backends.servers {
            if server.take_leaving_observation() {
                changed |= leaving.observe(&server.backend.id, wall, now);
            }
        }
        for server in &backends.servers {
            server.set_announced_leaving(leaving.is_leaving(&server.backend.id, now));
        }
        self.0.leaving.store(Arc::new(leaving.clone()));
        if changed {
            self.announce_leaving(leaving, now);
        }
    }

    /// Sends the leaving notices to [`ANNOUNCE_FANOUT`] random instances. They forward what is new
    /// to them; gossip reaches the rest.
    fn announce_leaving(&self, leaving: &LeavingBackends, now: MonoMs) {
        let mut peers = self.0.live_members();
        peers.retain(|member| member.id != self.0.settings.instance);
        peers.shuffle(&mut rand::rng());
        peers.truncate(ANNOUNCE_FANOUT);
        for peer in peers {
            let shared = self.0.clone();
            let request = PeerRequest::BackendsLeaving(leaving.outgoing(now));
            tokio::spawn(async move {
                let address = peer.peer_address;
                let delivery = shared
                    .peers
                    .call(address, &request, ANNOUNCE_TIMEOUT_MS)
                    .await;
                if let Err(error) = delivery {
                    log::debug!(
                        "leaving notices could not be delivered to {}: {error}",
                        peer.id
                    );
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

fn engine_origins(fleet: &Fleet) -> BTreeSet<StreamOrigin> {
    let mut origins = BTreeSet::new();
    for backend in &fleet.backends {
        if backend.kind != BackendKind::Engine {
            continue;
        }
        for service in &backend.targets {
            origins.insert(StreamOrigin {
                service: service.clone(),
                version: backend.software_version.clone(),
            });
        }
    }
    origins
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
