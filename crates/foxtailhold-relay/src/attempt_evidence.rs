//! What one attempt shows about its request: whether it runs, or crashes backend servers.

use std::sync::Arc;

use arc_swap::ArcSwap;
use foxtailhold::crashes::MAX_CRASHES;
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_http::clock::Clock;

use crate::connections::Connections;
use crate::fleet::{BackendServer, Backends};
use crate::peers::Peers;
use crate::pending_attempts::{EndWithoutResult, PendingAttempts, TrackedAttempt};
use crate::upstream::{AttemptFailure, ResponseEnd};

/// Least time for which a backend server has sent nothing when it counts as silent.
const MIN_SILENCE_MS: u64 = 600;

/// An attempt from the sending of its request to its end. Dropping it, as when the caller
/// disconnects, records that the attempt ended without a known result.
#[derive(Debug)]
pub struct AttemptEvidence {
    peers: Peers,
    pending: PendingAttempts,
    connections: Connections,
    backends: Arc<ArcSwap<Backends>>,
    clock: Clock,
    attempt: TrackedAttempt,
    begun: MonoMs,
    number: u64,
    /// Whether it is a probe whose end is not logged yet.
    is_probe_open: bool,
}

impl AttemptEvidence {
    /// Begins to track an attempt that is about to be sent.
    pub fn begin(
        peers: &Peers,
        pending: &PendingAttempts,
        connections: &Connections,
        backends: &Arc<ArcSwap<Backends>>,
        clock: Clock,
        attempt: TrackedAttempt,
    ) -> Self {
        let begun = clock.mono();
        AttemptEvidence {
            number: pending.begin(attempt.clone(), begun),
            is_probe_open: attempt.is_probe,
            begun,
            peers: peers.clone(),
            pending: pending.clone(),
            connections: connections.clone(),
            backends: Arc::clone(backends),
            clock,
            attempt,
        }
    }

    /// Its number among the attempts without a known result.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Records a complete response, in which this attempt brought `events`. One that ends with its
    /// connection looks the same when its backend server has crashed, so it counts once that is known
    /// to have lived on.
    pub fn completed(mut self, end: ResponseEnd, events: u64) {
        self.log_probe_end("complete");
        self.attempt.events = events;
        let backend = &self.attempt.backend;
        for earlier in self.pending.take_completed(&backend.id, self.begun) {
            self.peers.record_completion(&earlier);
        }
        self.peers.record_life(backend, self.attempt.begun_at);
        if end == ResponseEnd::Stated {
            self.pending.resolve(self.number);
            self.peers.record_completion(&self.attempt);
            return;
        }
        let now = self.now();
        self.pending.end_with_connection(self.number, now, events);
        if self.peers.crashes().is_empty() {
            return;
        }
        log::info!(
            fingerprint:% = self.attempt.keys.fingerprints.path, backend = backend.id.as_str();
            "response ended with its connection"
        );
        self.connections.check(&backend.id, backend.address);
    }

    fn now(&self) -> (MonoMs, WallMs) {
        (self.clock.mono(), self.clock.wall())
    }

    fn log_probe_end(&mut self, outcome: &'static str) {
        if !std::mem::take(&mut self.is_probe_open) {
            return;
        }
        log::info!(
            parts:% = self.attempt.keys.parts, backend = self.attempt.backend.id.as_str(),
            outcome = outcome, took_ms = self.clock.mono().since_ms(self.begun);
            "probe of suspected parts ended"
        );
    }

    /// Whether the backend server is known to be there after it has ended its stream with the connection.
    /// If it is not, the stream may have been cut off by its crash.
    pub async fn has_lived_on(&self) -> bool {
        has_lived_on_after_events(&self.connections, &self.backends, &self.attempt.backend).await
    }

    /// Records a response which says nothing about whether the request runs.
    pub fn answered(mut self) {
        self.log_probe_end("answered");
        self.pending.resolve(self.number);
    }

    /// Records whether the backend server is silent while the attempt is open. It may go on; only
    /// what becomes of it shows that it has crashed. Idle connections to it may be dead.
    pub fn set_silent(&self, is_silent: bool) {
        let quiet_since = || WallMs(self.clock.wall().0.saturating_sub(MIN_SILENCE_MS));
        self.pending
            .set_silent(self.number, is_silent.then(quiet_since));
        if is_silent {
            let backend = &self.attempt.backend;
            self.connections.close_idle(&backend.id);
            self.connections.check(&backend.id, backend.address);
        }
    }

    /// Records a failure, and closes the idle connections of a backend server that was silent. For a
    /// request that has already reached the crash limit, silence and broken responses count as
    /// crashes too, because each further attempt can cost a backend server.
    pub fn failed(mut self, cause: AttemptFailure) {
        self.log_probe_end(cause.as_str());
        if cause == AttemptFailure::TimeOver {
            return;
        }
        if cause == AttemptFailure::Silent {
            self.connections.close_idle(&self.attempt.backend.id);
        }
        let fingerprints = self.attempt.keys.fingerprints;
        let is_at_limit = || self.peers.crashes().crash_count(fingerprints) >= MAX_CRASHES;
        let is_crash = match cause {
            AttemptFailure::Closed => true,
            AttemptFailure::Silent | AttemptFailure::Broken => is_at_limit(),
            AttemptFailure::Unreachable
            | AttemptFailure::NotRun
            | AttemptFailure::Failed
            | AttemptFailure::TimeOver
            | AttemptFailure::TooLate
            | AttemptFailure::NoMemory => false,
        };
        if self.attempt.is_probe && !cause.may_have_run() {
            self.peers.crashes().release_probe(&self.attempt.keys.parts);
        }
        if is_crash {
            self.peers.record_crash(&self.attempt);
        } else if cause == AttemptFailure::Silent {
            let now = self.now();
            self.pending.end(self.number, now, EndWithoutResult::Silent);
            return;
        }
        self.pending.resolve(self.number);
    }
}

impl Drop for AttemptEvidence {
    fn drop(&mut self) {
        self.log_probe_end("abandoned");
        let now = self.now();
        self.pending
            .end(self.number, now, EndWithoutResult::Abandoned);
    }
}

/// Whether a backend server still listens after it has ended its response with the connection, and no
/// newer start is listed in its place. This takes a moment longer where backend servers have crashed
/// lately.
pub(crate) async fn has_lived_on(
    peers: &Peers,
    connections: &Connections,
    backends: &ArcSwap<Backends>,
    backend: &BackendServer,
) -> bool {
    let (id, address) = (&backend.id, backend.address);
    let is_there = match peers.crashes().is_empty() {
        true => connections.is_listening(id, address).await,
        false => connections.keeps_connections(id, address).await,
    };
    is_there && !backends.load().has_newer_start(backend)
}

/// Like [`has_lived_on`], of events: a forwarder may accept connections for a process that has ended,
/// and it takes a moment to see that. Meanwhile the next start may be listed.
pub(crate) async fn has_lived_on_after_events(
    connections: &Connections,
    backends: &ArcSwap<Backends>,
    backend: &BackendServer,
) -> bool {
    let is_there = connections
        .keeps_connections(&backend.id, backend.address)
        .await;
    if !is_there || backends.load().has_newer_start(backend) {
        return false;
    }
    log::info!(backend = backend.id.as_str(); "unproved end of a response is believed");
    true
}
