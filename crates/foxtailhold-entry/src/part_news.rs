//! Shares the crash evidence against parts of prompts with the other instances.

use foxtailhold::ids::{InstanceId, TargetName};
use foxtailhold::part_crashes::PartCrash;
use foxtailhold::quarantine::CrashId;
use foxtailhold::recent_parts::PROVING_INSTANCES;
use foxtailhold::rendezvous;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold_peer::{PartCrashNews, PeerAnswer, PeerError, PeerRequest};
use foxtailhold_platform::Platform;

use crate::actors::crashes::NOTICE_TIMEOUT_MS;
use crate::backends::InFlightGuard;
use crate::part_evidence::Group;
use crate::prompt::Prompt;
use crate::shared::Shared;

/// Attempts to deliver evidence to each peer.
const NEWS_ATTEMPTS: u32 = 4;

/// Records a crash and informs the other instances if it said anything new.
pub fn record_crash<P: Platform>(shared: &Shared<P>, crash: CrashId, mut record: PartCrash) {
    record.proven = shared.part_evidence.proven_parts(&record);
    let news = (crash, record);
    if shared.part_evidence.merge(&news) {
        broadcast(shared, vec![news]);
    }
}

/// Merges what another instance knows of crashes. Some instances add what they know of the parts.
pub fn merge_news<P: Platform>(shared: &Shared<P>, crashes: &[PartCrashNews]) {
    let mut added = Vec::new();
    for news in crashes {
        let (crash, record) = news;
        if !shared.part_evidence.merge(news) || record.lost.is_empty() {
            continue;
        }
        if is_proving(shared, crash) {
            added.extend(shared.part_evidence.add_proven_parts(news));
        }
    }
    if !added.is_empty() {
        broadcast(shared, added);
    }
}

/// Whether this instance is one of those that add to the record of a crash.
fn is_proving<P: Platform>(shared: &Shared<P>, crash: &CrashId) -> bool {
    let members = shared.live_members();
    let ids = members.iter().map(|member| &member.id);
    let key = crash.backend.as_str().as_bytes();
    rendezvous::rank(ids, key, &shared.settings.instance) < PROVING_INSTANCES
}

/// Records a complete answer whose end was stated, and acquits the parts of its request.
pub fn record_completion<P: Platform>(
    shared: &Shared<P>,
    (prompt, service): (&Prompt, &TargetName),
    in_flight: &InFlightGuard,
) {
    let evidence = &shared.part_evidence;
    let origin = StreamOrigin {
        service: service.clone(),
        version: in_flight.version().clone(),
    };
    let now = shared.clock.wall();
    evidence.record_parts(prompt, &origin, now);
    if evidence.is_empty() {
        return;
    }
    let begun = in_flight.begun(now);
    let news = evidence.completed(prompt, &origin, begun);
    if !news.is_empty() {
        broadcast(shared, news);
    }
}

/// Sends evidence to all peers, each in its own task. A build that does not know the message answers
/// with an error status and is not asked again.
fn broadcast<P: Platform>(shared: &Shared<P>, news: Vec<PartCrashNews>) {
    for member in shared.live_members() {
        if member.id == shared.settings.instance {
            continue;
        }
        let (shared, request) = (shared.clone(), PeerRequest::PartCrashes(news.clone()));
        tokio::spawn(async move {
            for _ in 0..NEWS_ATTEMPTS {
                let address = member.peer_address;
                let delivery = shared.peers.call(address, &request, NOTICE_TIMEOUT_MS);
                match delivery.await {
                    Ok(_) | Err(PeerError::Status { .. }) => return,
                    Err(_) => {}
                }
            }
            log::warn!("crash evidence could not be delivered to {}", member.id);
        });
    }
}

/// Requests a probe of a group from its coordinator, the same instance for all. Returns whether it
/// was granted.
pub async fn request_probe<P: Platform>(shared: &Shared<P>, group: Group) -> bool {
    let members = shared.live_members();
    let key: Vec<u8> = group.iter().flat_map(|part| part.0.to_be_bytes()).collect();
    let ids = members.iter().map(|member| &member.id);
    let coordinator = rendezvous::select(ids, &key).cloned();
    let is_coordinator = |id: &InstanceId| coordinator.as_ref() == Some(id);
    let member = members.iter().find(|member| is_coordinator(&member.id));
    let member = member.filter(|member| member.id != shared.settings.instance);
    let Some(member) = member else {
        return shared.part_evidence.admit_probe(group, shared.clock.mono());
    };
    let request = PeerRequest::PartProbeRequested { group };
    let answer = shared
        .peers
        .call(member.peer_address, &request, NOTICE_TIMEOUT_MS)
        .await;
    matches!(answer, Ok(PeerAnswer::Done))
}
