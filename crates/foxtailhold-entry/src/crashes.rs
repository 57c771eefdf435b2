//! What the request path does about crashes: it finds out whether a lost engine crashed, and sends
//! a suspect only in a trial.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::{
    CrashId, Fingerprint, PROBES_KEY, ProbeOutcome, ProbeResponse, QuarantineNotice,
    QuarantineStatus,
};
use foxtailhold::rendezvous;
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
use crate::shared::Shared;

/// Limit for a connection to a backend server that may have crashed.
const PROBE_TIMEOUT_MS: u64 = 300;
/// Looks at a backend server that may have crashed: it may take a moment to exit.
const PROBES: u32 = 4;
/// Time between looks.
const PROBE_PAUSE_MS: u64 = 20;

impl<P: Platform> Shared<P> {
    /// How a request stands.
    pub fn crash_status(&self, fingerprint: Fingerprint) -> QuarantineStatus {
        let standings = self.crash_statuses.load();
        let standing = standings.get(&fingerprint);
        standing.copied().unwrap_or(QuarantineStatus::Clear)
    }
}

/// Whether an error may come from a crash of the engine.
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
    let wait = Duration::from_millis(PROBE_TIMEOUT_MS);
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

/// Whether the process that got the request has ended: its port refuses connections, or another
/// process answers there.
async fn has_ended<P: Platform>(shared: &Shared<P>, address: SocketAddr, started: u64) -> bool {
    for _ in 0..PROBES {
        match process_status(shared, address).await {
            ProcessStatus::Gone => return true,
            ProcessStatus::Running(now) if started != 0 && now != started => return true,
            _ => tokio::time::sleep(Duration::from_millis(PROBE_PAUSE_MS)).await,
        }
    }
    false
}

/// Finds out whether a failure was a crash, and if so tells all instances what was in flight.
pub async fn report_if_crashed<P: Platform>(
    shared: &Shared<P>,
    server: &BackendState,
    in_flight: &InFlightGuard,
    error: &EngineError,
) -> ProbeOutcome {
    let started = in_flight.started_unix_ms();
    if !may_be_crash(error) || !has_ended(shared, server.backend.address, started).await {
        return ProbeOutcome::Unknown;
    }
    shared.metrics.crashes.inc();
    let notice = QuarantineNotice::Crashed {
        crash: CrashId {
            backend: server.backend.id.clone(),
            started_unix_ms: started,
        },
        flights: server.tracked_requests(),
    };
    if let Some(actors) = shared.actors() {
        let told = actors
            .crashes
            .call(|reply| CrashesMessage::Observed(notice, reply), None);
        if told.await.is_err() {
            log::warn!("a crash could not be noted");
        }
    }
    ProbeOutcome::Crashed
}

/// The address of the instance that grants trials, `None` where it is this one.
fn home<P: Platform>(shared: &Shared<P>) -> Option<SocketAddr> {
    let members = shared.live_members();
    let ids = members.iter().map(|member| &member.id);
    let home = rendezvous::select(ids, PROBES_KEY)?;
    if *home == shared.settings.instance {
        return None;
    }
    members
        .iter()
        .find(|member| member.id == *home)
        .map(|member| member.peer_address)
}

/// Asks for a trial of a suspect on one of `backends`. `None` where the home does not answer.
pub async fn request_probe<P: Platform>(
    shared: &Shared<P>,
    fingerprint: Fingerprint,
    backends: Vec<BackendId>,
) -> Option<ProbeResponse> {
    if let Some(address) = home(shared) {
        let request = PeerRequest::TrialAsked {
            fingerprint,
            backends,
        };
        let answer = shared.peers.ask(address, &request, NOTICE_TIMEOUT_MS).await;
        return match answer {
            Ok(PeerAnswer::Trial(answer)) => Some(answer),
            _ => None,
        };
    }
    let ask = |reply| CrashesMessage::RequestProbe(fingerprint, backends, reply);
    match shared.actors()?.crashes.call(ask, None).await {
        Ok(CallResult::Success(answer)) => Some(answer),
        _ => None,
    }
}

/// A trial that runs. Dropping it without [`TrialGuard::close`] ends it without a verdict.
#[derive(Debug)]
pub struct ProbeGuard<P: Platform> {
    shared: Shared<P>,
    fingerprint: Fingerprint,
    server: Arc<BackendState>,
    strict: bool,
    end: ProbeOutcome,
}

impl<P: Platform> ProbeGuard<P> {
    /// The guard of a trial that was granted.
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

    /// Whether it lasts until the request's end.
    pub fn is_strict(&self) -> bool {
        self.strict
    }

    /// Ends the trial.
    pub fn close(mut self, end: ProbeOutcome) {
        self.end = end;
    }
}

impl<P: Platform> Drop for ProbeGuard<P> {
    fn drop(&mut self) {
        let (fingerprint, end) = (self.fingerprint, self.end);
        let backend = self.server.backend.id.clone();
        let Some(address) = home(&self.shared) else {
            if let Some(actors) = self.shared.actors() {
                let message = CrashesMessage::ProbeEnded(fingerprint, backend, end);
                log_undelivered(actors.crashes.send_message(message));
            }
            return;
        };
        let peers = self.shared.peers.clone();
        tokio::spawn(async move {
            let request = PeerRequest::TrialEnded {
                fingerprint,
                backend,
                end,
            };
            for _ in 0..3 {
                let told = peers.ask(address, &request, NOTICE_TIMEOUT_MS).await;
                if told.is_ok() {
                    return;
                }
            }
            log::warn!("the end of a trial did not reach its home");
        });
    }
}
