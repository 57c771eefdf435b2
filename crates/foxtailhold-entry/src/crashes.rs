//! Crash handling of the request path: it checks whether a lost engine has crashed, and sends a
//! suspect request only as a probe that the coordinator grants.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::BackendId;
use foxtailhold::part_crashes::PartCrash;
use foxtailhold::quarantine::{
    CrashId, Fingerprint, PROBES_KEY, ProbeOutcome, ProbeResponse, QuarantineNotice,
    QuarantineStatus,
};
use foxtailhold::rendezvous;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::WallMs;
use foxtailhold_engine::EngineError;
use foxtailhold_http::client::SendError;
use foxtailhold_peer::{PeerAnswer, PeerRequest};
use foxtailhold_platform::Platform;
use ractor::rpc::CallResult;
use tokio::net::TcpStream;

use crate::actors::crashes::NOTICE_TIMEOUT_MS;
use crate::actors::log_undelivered;
use crate::backends::{BackendState, InFlightGuard};
use crate::messages::CrashesMessage;
use crate::part_news;
use crate::shared::Shared;

/// Time limit for one connection or load request to a backend server that may have crashed.
const CHECK_TIMEOUT_MS: u64 = 300;
/// How often a backend server that may have crashed is checked; it may take a moment to exit.
const MAX_CHECKS: u32 = 4;
/// Pause between two checks.
const CHECK_INTERVAL_MS: u64 = 20;

impl<P: Platform> Shared<P> {
    /// Whether the request is clear, suspected of crashing backend servers, or convicted.
    pub fn crash_status(&self, fingerprint: Fingerprint) -> QuarantineStatus {
        let statuses = self.crash_statuses.load();
        let status = statuses.get(&fingerprint);
        status.copied().unwrap_or(QuarantineStatus::Clear)
    }
}

/// Whether the engine's crash can be the cause of the error.
fn may_be_crash(error: &EngineError) -> bool {
    matches!(
        error,
        EngineError::Send(SendError::Failed { .. })
            | EngineError::Cut { .. }
            | EngineError::Failed { .. }
            | EngineError::InStream { .. }
    )
}

enum ProcessStatus {
    Gone,
    Running(u64),
    Unknown,
}

async fn process_status<P: Platform>(shared: &Shared<P>, address: SocketAddr) -> ProcessStatus {
    let wait = Duration::from_millis(CHECK_TIMEOUT_MS);
    match tokio::time::timeout(wait, TcpStream::connect(address)).await {
        Err(_) => return ProcessStatus::Unknown,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return ProcessStatus::Gone;
        }
        Ok(_) => {}
    }
    match tokio::time::timeout(wait, shared.engines.load(address)).await {
        Ok(Ok(report)) => ProcessStatus::Running(report.started_unix_ms),
        _ => ProcessStatus::Unknown,
    }
}

/// Whether the process that received the request has ended: its port refuses connections, or a
/// process with another start time answers there.
async fn has_ended<P: Platform>(shared: &Shared<P>, address: SocketAddr, started: u64) -> bool {
    for _ in 0..MAX_CHECKS {
        match process_status(shared, address).await {
            ProcessStatus::Gone => return true,
            ProcessStatus::Running(now) if started != 0 && now != started => return true,
            _ => tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await,
        }
    }
    false
}

/// Checks whether a failure was a crash of the backend server. If so, notifies all instances of
/// the requests that were in flight there.
pub async fn report_if_crashed<P: Platform>(
    shared: &Shared<P>,
    server: &BackendState,
    in_flight: &InFlightGuard,
    error: &EngineError,
) -> ProbeOutcome {
    let started = in_flight.started_unix_ms();
    let failed_at = shared.clock.wall();
    if !may_be_crash(error) || !has_ended(shared, server.backend.address, started).await {
        return ProbeOutcome::Unknown;
    }
    shared.metrics.crashes.inc();
    let crash = CrashId {
        backend: server.backend.id.clone(),
        started_unix_ms: started,
    };
    record_parts(shared, server, &crash, failed_at);
    let notice = QuarantineNotice::Crashed {
        crash,
        flights: server.tracked_requests(),
    };
    if let Some(actors) = shared.actors() {
        let sent = actors
            .crashes
            .call(|reply| CrashesMessage::Observed(notice, reply), None);
        if sent.await.is_err() {
            log::warn!("crash not recorded: the crashes actor did not answer");
        }
    }
    ProbeOutcome::Crashed
}

/// Records the evidence against the parts of all prompts in flight at a crash. Those that were sent
/// after it was first seen did not cause it.
fn record_parts<P: Platform>(
    shared: &Shared<P>,
    server: &BackendState,
    crash: &CrashId,
    failed_at: WallMs,
) {
    let at = shared.part_evidence.crashed_at(crash);
    let at = at.map_or(failed_at, |at| at.min(failed_at));
    let mut lost = server.lost_requests(shared.clock.wall());
    lost.retain(|lost| lost.begun_unix_ms <= at.0);
    let Some(service) = server.backend.targets.first() else {
        return;
    };
    if lost.is_empty() {
        return;
    }
    let origin = StreamOrigin {
        service: service.clone(),
        version: server.backend.software_version.clone(),
    };
    let mut record = PartCrash::new(origin, at, None);
    record.lost = lost;
    part_news::record_crash(shared, crash.clone(), record);
}

/// Address of the instance that coordinates probes; `None` if it is this one or no instance is
/// live.
fn coordinator_address<P: Platform>(shared: &Shared<P>) -> Option<SocketAddr> {
    let members = shared.live_members();
    let ids = members.iter().map(|member| &member.id);
    let coordinator = rendezvous::select(ids, PROBES_KEY)?;
    if *coordinator == shared.settings.instance {
        return None;
    }
    members
        .iter()
        .find(|member| member.id == *coordinator)
        .map(|member| member.peer_address)
}

/// Requests a probe of a suspect request on one of `backends` from the coordinator. `None` if the
/// coordinator does not answer.
pub async fn request_probe<P: Platform>(
    shared: &Shared<P>,
    fingerprint: Fingerprint,
    backends: Vec<BackendId>,
) -> Option<ProbeResponse> {
    if let Some(address) = coordinator_address(shared) {
        let request = PeerRequest::ProbeRequested {
            fingerprint,
            backends,
        };
        let answer = shared
            .peers
            .call(address, &request, NOTICE_TIMEOUT_MS)
            .await;
        return match answer {
            Ok(PeerAnswer::Probe(answer)) => Some(answer),
            _ => None,
        };
    }
    let message = |reply| CrashesMessage::RequestProbe(fingerprint, backends, reply);
    match shared.actors()?.crashes.call(message, None).await {
        Ok(CallResult::Success(answer)) => Some(answer),
        _ => None,
    }
}

/// A granted probe. Dropping it without [`ProbeGuard::close`] ends the probe without a result.
#[derive(Debug)]
pub struct ProbeGuard<P: Platform> {
    shared: Shared<P>,
    fingerprint: Fingerprint,
    server: Arc<BackendState>,
    strict: bool,
    end: ProbeOutcome,
}

impl<P: Platform> ProbeGuard<P> {
    /// Guards a probe that the coordinator granted on `server`.
    pub fn new(
        shared: &Shared<P>,
        fingerprint: Fingerprint,
        server: &Arc<BackendState>,
        strict: bool,
    ) -> Self {
        ProbeGuard {
            shared: shared.clone(),
            fingerprint,
            server: server.clone(),
            strict,
            end: ProbeOutcome::Unknown,
        }
    }

    /// Whether the probe lasts until the request ends, and not just until its first event.
    pub fn is_strict(&self) -> bool {
        self.strict
    }

    /// Ends the probe with its result.
    pub fn close(mut self, end: ProbeOutcome) {
        self.end = end;
    }
}

impl<P: Platform> Drop for ProbeGuard<P> {
    fn drop(&mut self) {
        let (fingerprint, end) = (self.fingerprint, self.end);
        let backend = self.server.backend.id.clone();
        let Some(address) = coordinator_address(&self.shared) else {
            if let Some(actors) = self.shared.actors() {
                let message = CrashesMessage::ProbeEnded(fingerprint, backend, end);
                log_undelivered(actors.crashes.send_message(message));
            }
            return;
        };
        let peers = self.shared.peers.clone();
        tokio::spawn(async move {
            let request = PeerRequest::ProbeEnded {
                fingerprint,
                backend,
                end,
            };
            for _ in 0..3 {
                let sent = peers.call(address, &request, NOTICE_TIMEOUT_MS).await;
                if sent.is_ok() {
                    return;
                }
            }
            log::warn!("end of a probe not reported: its coordinator did not answer");
        });
    }
}
