//! Operator calls: contracts, instances, backend servers, jobs, orders, time line and metrics.

use foxtailhold::batch::{JobRow, OpenJobRow, OwnerRow};
use foxtailhold::contract_registry::{ContractEntry, ContractSyncData};
use foxtailhold::contract_sync::ListingState;
use foxtailhold::ids::{BackendId, CustomerId, JobId};
use foxtailhold::orders::EngineSetup;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_operator::error::{OperatorError, Result};
use foxtailhold_operator::gateway::{ContractUpdate, OperatorGateway};
use foxtailhold_operator::view::{
    AcceptedChange, BackendView, ContractView, InstanceView, InstancesView, JobView, OrderView,
    Readiness, TimelineView,
};
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::{Platform, PlatformError};
use tokio::sync::mpsc;

use crate::actors::log_undelivered;
use crate::gateway::{EntryGateway, contract_change, orders};
use crate::jobs::owner::{finished_chunks, scan_all};
use crate::messages::ContractsMessage;
use crate::shared::Shared;
use crate::{gauges, tables};

/// Time limit for sending a contract change to one peer.
const PUSH_TIMEOUT_MS: u64 = 1_000;
/// Peers that must have a change before it is reported as accepted, so that it survives the loss of
/// this instance and of one more while the store is down.
const PEERS_BEFORE_ACCEPTED: usize = 2;

fn view(customer: &CustomerId, entry: &ContractEntry) -> Option<ContractView> {
    let contract = entry.contract.as_ref()?;
    Some(ContractView {
        customer: customer.clone(),
        version: entry.version,
        number: entry.number,
        contract: contract.as_ref().clone(),
    })
}

fn unavailable(error: &PlatformError) -> OperatorError {
    log::warn!("operator call failed: store call failed: {error}");
    OperatorError::StoreUnavailable
}

/// Applies a change here and sends it to every other instance. Returns when
/// [`PEERS_BEFORE_ACCEPTED`] of them have it, or all were tried.
async fn replicate<P: Platform>(shared: &Shared<P>, catchup: &ContractSyncData) {
    if let Some(actors) = shared.actors() {
        let message = ContractsMessage::Pushed(catchup.clone(), None);
        log_undelivered(actors.contracts.send_message(message));
    }
    let (confirmations, mut confirmed) = mpsc::unbounded_channel();
    for member in shared.live_members() {
        if member.id == shared.settings.instance {
            continue;
        }
        let (shared, request) = (shared.clone(), PeerRequest::Contracts(catchup.clone()));
        let confirmations = confirmations.clone();
        tokio::spawn(async move {
            let address = member.peer_address;
            match shared.peers.call(address, &request, PUSH_TIMEOUT_MS).await {
                Ok(PeerAnswer::Done) => {
                    let _ = confirmations.send(());
                }
                Ok(_) => log::debug!("peer {} refused a contract change", member.id),
                Err(error) => {
                    log::debug!(
                        "contract change not delivered to peer {}: {error}",
                        member.id
                    );
                }
            }
        });
    }
    drop(confirmations);
    for _ in 0..PEERS_BEFORE_ACCEPTED {
        if confirmed.recv().await.is_none() {
            return;
        }
    }
}

async fn job_view<P: Platform>(
    shared: &Shared<P>,
    key: &str,
    job: &JobId,
) -> foxtailhold_platform::Result<Option<JobView>> {
    let Some(stored) = shared.platform.get(tables::JOB, key).await? else {
        return Ok(None);
    };
    let row: JobRow = stored.read()?;
    let owner = shared.platform.get(tables::OWNER, job.as_str()).await?;
    let owner: Option<OwnerRow> = owner.map(|row| row.read()).transpose()?;
    let chunks_done = finished_chunks(&shared.platform, job).await?.len() as u32;
    Ok(Some(JobView {
        job: row.job,
        customer: row.customer,
        status: row.status.as_str().to_owned(),
        items: row.items,
        chunks_done,
        chunks: row.chunks,
        owner: owner.map(|owner| owner.holder),
        deadline_wall_ms: row.deadline_wall_ms,
    }))
}

impl<P: Platform> OperatorGateway for EntryGateway<P> {
    fn contracts(&self) -> Vec<ContractView> {
        let registry = self.0.contracts.load();
        let mut views = Vec::new();
        for (customer, entry) in registry.entries() {
            views.extend(view(customer, entry));
        }
        views
    }

    fn contract(&self, customer: &CustomerId) -> Option<ContractView> {
        view(customer, self.0.contracts.load().get(customer)?)
    }

    async fn update_contract(&self, update: ContractUpdate) -> Result<AcceptedChange> {
        let shared = &self.0;
        let change_id = shared.unique();
        let change = contract_change::accept(&shared.platform, &update, &change_id).await?;
        let accepted = AcceptedChange {
            customer: change.customer.clone(),
            version: change.version,
            number: change.number,
        };
        shared.timeline.note(TimelineEvent::ContractAccepted {
            number: change.number,
        });
        replicate(shared, &ContractSyncData::Changes(vec![change])).await;
        Ok(accepted)
    }

    fn instances(&self) -> InstancesView {
        let members = self.0.members.load();
        let instances = members.iter().map(|member| InstanceView {
            instance: member.id.clone(),
            state: member.state,
            availability_zone: member.availability_zone.clone(),
            caller_address: member.caller_address,
            operator_address: member.operator_address,
        });
        InstancesView {
            me: self.0.settings.instance.clone(),
            contracts_number: self.0.contracts.load().number(),
            instances: instances.collect(),
        }
    }

    fn backends(&self) -> Vec<BackendView> {
        let now = self.0.clock.mono();
        let backends = self.0.backends.load();
        let views = backends.servers.iter().map(|server| {
            let load = server.load();
            BackendView {
                backend: server.backend.id.clone(),
                kind: server.backend.kind,
                state: server.state(),
                availability_zone: server.backend.availability_zone.clone(),
                address: server.backend.address,
                targets: server.backend.targets.clone(),
                running: load.report.running,
                waiting: load.report.waiting,
                in_flight: load.in_flight,
                set_aside: server.is_ejected(now),
            }
        });
        views.collect()
    }

    async fn jobs(&self) -> Result<Vec<JobView>> {
        let shared = &self.0;
        let open = scan_all(&shared.platform, tables::JOB_OPEN, "").await;
        let mut views = Vec::new();
        for keyed in open.map_err(|error| unavailable(&error))? {
            let Ok(open) = keyed.row.read::<OpenJobRow>() else {
                continue;
            };
            let view = job_view(shared, &keyed.key, &open.job).await;
            views.extend(view.map_err(|error| unavailable(&error))?);
        }
        Ok(views)
    }

    async fn set_order(&self, backend: &BackendId, setup: &EngineSetup) -> Result<OrderView> {
        orders::set(&self.0, backend, setup).await
    }

    async fn orders(&self) -> Result<Vec<OrderView>> {
        orders::list(&self.0).await
    }

    fn timeline(&self) -> TimelineView {
        self.0.timeline.view()
    }

    fn metrics(&self) -> String {
        gauges::encode(&self.0)
    }

    fn readiness(&self) -> Readiness {
        let mut reasons = Vec::new();
        if self.0.is_stopping() {
            reasons.push("a planned stop has begun".to_owned());
        }
        if self.0.backends.load().servers.is_empty() {
            reasons.push("the fleet list has not been read".to_owned());
        }
        let listing = self.0.members.load().first().map(|me| me.listing);
        match listing {
            Some(ListingState::Listed) => {}
            Some(ListingState::Behind) => {
                reasons.push("a contract change is known that cannot be read".to_owned());
            }
            Some(ListingState::CutOff) => {
                reasons.push("neither the store nor most instances can be reached".to_owned());
            }
            Some(ListingState::Loading) | None => {
                reasons.push("the contracts have not been loaded".to_owned());
            }
        }
        Readiness {
            ready: reasons.is_empty(),
            reasons,
        }
    }
}
