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
use crate::actors::note_undelivered;
use crate::backends::{Cell, InFlight};
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
    pub fn standing(&self, fingerprint: Fingerprint) -> QuarantineStatus {
        let standings = self.standings.load();
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

enum Probe {
    Gone,
    Running(u64),
    Unknown,
}

async fn probe<P: Platform>(shared: &Shared<P>, address: SocketAddr) -> Probe {
    let wait = Duration::from_millis(PROBE_TIMEOUT_MS);
    match tokio::time::timeout(wait, TcpStream::connect(address)).await {
        Err(_) => return Probe::Unknown,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Probe::Gone;
        }
        Ok(_) => {}
    }
    match tokio::time::timeout(wait, shared.engines.load(address)).await {
        Ok(Ok(report)) => Probe::Running(report.started_unix_ms),
        _ => Probe::Unknown,
    }
}

/// Whether the process that got the request has ended: its port refuses connections, or another
/// process answers there.
async fn has_ended<P: Platform>(shared: &Shared<P>, address: SocketAddr, started: u64) -> bool {
    for _ in 0..PROBES {
        match probe(shared, address).await {
            Probe::Gone => return true,
            Probe::Running(now) if started != 0 && now != started => return true,
            _ => tokio::time::sleep(Duration::from_millis(PROBE_PAUSE_MS)).await,
        }
    }
    false
}

/// Finds out whether a failure was a crash, and if so tells all instances what was in flight.
pub async fn examine<P: Platform>(
    shared: &Shared<P>,
    cell: &Cell,
    in_flight: &InFlight,
    error: &EngineError,
) -> ProbeOutcome {
    let started = in_flight.started_unix_ms();
    if !may_be_crash(error) || !has_ended(shared, cell.backend.address, started).await {
        return ProbeOutcome::Unknown;
    }
    shared.metrics.crashes.inc();
    let notice = QuarantineNotice::Crashed {
        crash: CrashId {
            backend: cell.backend.id.clone(),
            started_unix_ms: started,
        },
        flights: cell.flights(),
    };
    if let Some(actors) = shared.actors() {
        let told = actors
            .crashes
            .call(|reply| CrashesMessage::Own(notice, reply), None);
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
    let home = rendezvous::home(ids, PROBES_KEY)?;
    if *home == shared.settings.instance {
        return None;
    }
    members
        .iter()
        .find(|member| member.id == *home)
        .map(|member| member.peer_address)
}

/// Asks for a trial of a suspect on one of `backends`. `None` where the home does not answer.
pub async fn ask<P: Platform>(
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
    let ask = |reply| CrashesMessage::Ask(fingerprint, backends, reply);
    match shared.actors()?.crashes.call(ask, None).await {
        Ok(CallResult::Success(answer)) => Some(answer),
        _ => None,
    }
}

/// A trial that runs. Dropping it without [`TrialGuard::close`] ends it without a verdict.
#[derive(Debug)]
pub struct TrialGuard<P: Platform> {
    shared: Shared<P>,
    fingerprint: Fingerprint,
    cell: Arc<Cell>,
    strict: bool,
    end: ProbeOutcome,
}

impl<P: Platform> TrialGuard<P> {
    /// The guard of a trial that was granted.
    pub fn new(
        shared: &Shared<P>,
        fingerprint: Fingerprint,
        cell: &Arc<Cell>,
        strict: bool,
    ) -> Self {
        TrialGuard {
            shared: shared.clone(),
            fingerprint,
            cell: cell.clone(),
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

impl<P: Platform> Drop for TrialGuard<P> {
    fn drop(&mut self) {
        let (fingerprint, end) = (self.fingerprint, self.end);
        let backend = self.cell.backend.id.clone();
        let Some(address) = home(&self.shared) else {
            if let Some(actors) = self.shared.actors() {
                let message = CrashesMessage::Ended(fingerprint, backend, end);
                note_undelivered(actors.crashes.send_message(message));
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
