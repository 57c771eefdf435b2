//! State shared by all requests: connections, slots, load figures, routes and the protocol of the
//! backend servers.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use foxtailhold::crashes::CrashStatus;
use foxtailhold::ids::TargetName;
use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::routes::{Route, RouteTable};
use foxtailhold::slots::SlotOutcome;
use foxtailhold_http::clock::Clock;
use foxtailhold_http::memory::MemoryBudget;
use http::Response;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::absences::ServiceAbsences;
use crate::attempt_evidence::{AttemptEvidence, has_lived_on, has_lived_on_after_events};
use crate::attempts::AttemptBudget;
use crate::caller_time::{FirstEventTimes, MIN_PATIENCE_MS, stream_patience_ms};
use crate::connections::{BusyConnection, Connections};
use crate::crashes::PROBE_TURN_MS;
use crate::dialect::Dialect;
use crate::fleet::{BackendServer, Backends};
use crate::group_probes::{PROBE_SETTLE_MS, group_probe_turn_ms, probe_subject};
use crate::metrics::RelayMetrics;
use crate::peers::{Peers, Slot, SlotError, SlotQuery};
use crate::pending_attempts::{PendingAttempts, TrackedAttempt};
use crate::plain::PlainServiceLoads;
use crate::planned_end::PlannedEnd;
use crate::request::{EvidenceKeys, OpaqueRequest};
use crate::upstream::{AttemptFailure, UpstreamRequest};

/// Time without a first event after which an engine counts as silent for a stream that may be
/// retried. It is a third of the least time for which callers wait, so that another engine can be
/// tried twice.
pub const FIRST_EVENT_TIMEOUT_MS: u64 = MIN_PATIENCE_MS / 3;
/// A stream counts as silent after a gap of this many times the longest regular gap between events
/// that its route states.
const EVENT_GAP_FACTOR: u64 = 3;
/// Lower bound of the gap that counts as silence.
const MIN_EVENT_GAP_TIMEOUT_MS: u64 = 600;
/// Longest retry delay for callers of a request that may run only as a probe. Instances admit it in
/// turn, and a caller who comes back reaches any of them.
const PROBE_RETRY_AFTER_MS: u64 = PROBE_TURN_MS / 2;
/// Slot requests made if the allocator grants backend servers that this instance does not know, or
/// of another version than requested. Instances learn of changes within milliseconds of each other.
const MAX_SLOT_REQUESTS: u32 = 3;
/// Retry delay for callers if nothing is known about the cause of the refusal.
pub const DEFAULT_RETRY_AFTER_MS: u64 = 300;

/// Forwards requests to backend servers.
#[derive(Debug)]
pub struct Relay<D> {
    /// Headers exchanged with backend servers.
    pub dialect: D,
    /// Idle connections to backend servers.
    pub connections: Connections,
    /// Other instances and the slot allocator.
    pub peers: Peers,
    /// Load of the backend servers of plain services.
    pub plain: PlainServiceLoads,
    /// Backend servers that accept new work.
    pub backends: Arc<ArcSwap<Backends>>,
    /// Route table in effect.
    pub routes: Arc<ArcSwap<RouteTable>>,
    /// Monotonic clock and wall clock.
    pub clock: Clock,
    /// Attempts for which it is not known yet whether their backend server crashed.
    pub pending_attempts: PendingAttempts,
    /// Memory for requests and for responses that are buffered.
    pub memory: MemoryBudget,
    /// Cancelled when the process is about to end. What is unanswered then is answered at once.
    pub ending: CancellationToken,
    /// When a planned stop ends requests, and which are still sent before.
    pub planned_end: PlannedEnd,
    /// Services without a backend server.
    pub absences: ServiceAbsences,
    /// How long streams take to their first event.
    pub first_events: FirstEventTimes,
    /// Counters and histograms of this instance.
    pub metrics: RelayMetrics,
}

/// Whether a request may run, given the evidence that it crashes backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may run.
    Free,
    /// It may run once, to show whether it is innocent.
    Probe,
    /// It is refused.
    Refused {
        /// Delay after which its caller should retry.
        retry_after_ms: u64,
    },
}

impl Admission {
    /// Whether the request is refused.
    pub(crate) fn is_refused(self) -> bool {
        matches!(self, Admission::Refused { .. })
    }
}

/// How far a request is that may be a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// It is about to seek a slot. Others may do so too.
    SeekSlot,
    /// It holds a slot.
    HoldSlot,
    /// It is sent right after. No other one is admitted meanwhile.
    Send,
}

/// An attempt that gave no response to pass on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedAttempt<'a> {
    pub(crate) backend: &'a BackendServer,
    pub(crate) cause: AttemptFailure,
    /// Events received before the failure.
    pub(crate) events: u64,
}

impl<D: Dialect> Relay<D> {
    /// Sends a request to one backend server and waits for the response head until
    /// `response_deadline`. The deadline sent to the backend server is `deadline`.
    pub async fn send_to(
        &self,
        backend: &BackendServer,
        request: &UpstreamRequest<'_>,
        deadline: Instant,
        response_deadline: Instant,
    ) -> Result<(Response<Incoming>, BusyConnection), AttemptFailure> {
        let (dialect, connections) = (&self.dialect, &self.connections);
        request
            .send(dialect, connections, backend, deadline, response_deadline)
            .await
    }

    /// Checks that a response was not cut off by a crash, unless that is proved.
    pub(crate) async fn check_end(
        &self,
        backend: &BackendServer,
        is_proved: bool,
    ) -> Result<(), AttemptFailure> {
        let has_lived_on = || has_lived_on(&self.peers, &self.connections, &self.backends, backend);
        match is_proved || has_lived_on().await {
            true => Ok(()),
            false => Err(AttemptFailure::Closed),
        }
    }

    /// Like [`Relay::check_end`], of a response of events.
    pub(crate) async fn check_end_of_events(
        &self,
        backend: &BackendServer,
        is_proved: bool,
    ) -> Result<(), AttemptFailure> {
        let has_lived_on = || has_lived_on_after_events(&self.connections, &self.backends, backend);
        match is_proved || has_lived_on().await {
            true => Ok(()),
            false => Err(AttemptFailure::Closed),
        }
    }

    /// Whether a request that has to be answered by `deadline` may begin to run, or would run into the
    /// end of a planned stop.
    pub(crate) fn admits_before_end(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        deadline: Instant,
    ) -> bool {
        let output_tokens = self.dialect.output_tokens(&request.headers);
        self.planned_end.admits(route, output_tokens, deadline)
    }

    /// Records a complete run of a request that was sent at `started`.
    pub(crate) fn record_run(&self, route: &Route, request: &OpaqueRequest, started: Instant) {
        // The rest of a stream says nothing about the whole.
        if request.after_event.is_some() {
            return;
        }
        let output_tokens = self.dialect.output_tokens(&request.headers);
        self.planned_end.record_run(route, output_tokens, started);
    }

    /// Logs and counts a failed attempt of a request.
    pub(crate) fn log_failed_attempt(
        &self,
        request: &OpaqueRequest,
        failed: &FailedAttempt<'_>,
        attempts: &AttemptBudget,
    ) {
        self.metrics.attempt_failed(failed.cause.as_str());
        let remaining = attempts.deadline.saturating_duration_since(Instant::now());
        log::info!(
            request = request.id.as_str(),
            fingerprint:% = request.fingerprints().path,
            parts:% = request.parts,
            backend = failed.backend.id.as_str(),
            cause = failed.cause.as_str(),
            events = failed.events,
            attempts = attempts.maybe_executed,
            left_ms = remaining.as_millis() as u64;
            "attempt failed"
        );
    }

    /// Begins an attempt that is about to be sent, from the start or after the event `after`.
    pub(crate) fn begin_attempt(
        &self,
        keys: EvidenceKeys,
        backend: &Arc<BackendServer>,
        after: Option<u64>,
    ) -> AttemptEvidence {
        let crashes = self.peers.crashes();
        let now = self.clock.wall();
        let status = match crashes.is_empty() {
            true => CrashStatus::Allowed,
            false => self.group_status(&keys, &backend.service).0,
        };
        let attempt = TrackedAttempt {
            keys,
            backend: Arc::clone(backend),
            begun: crashes.mark(),
            begun_at: now,
            is_resumed: after.is_some(),
            is_probe: matches!(status, CrashStatus::ProbeAllowed { .. }),
            events: 0,
            quiet_since: None,
        };
        AttemptEvidence::begin(
            &self.peers,
            &self.pending_attempts,
            &self.connections,
            &self.backends,
            self.clock,
            attempt,
        )
    }

    /// Whether a request to `service` may run, which is sent right after. `earlier` is what it was told
    /// before it waited for a slot; a probe still may run then if no other one does.
    pub(crate) fn admit(
        &self,
        keys: &EvidenceKeys,
        service: &TargetName,
        earlier: Admission,
    ) -> Admission {
        self.admit_at(ProbeStage::Send, keys, service, earlier)
    }

    /// Whether a request to `service` may seek a slot.
    pub(crate) fn admit_to_slot(&self, keys: &EvidenceKeys, service: &TargetName) -> Admission {
        self.admit_at(ProbeStage::SeekSlot, keys, service, Admission::Free)
    }

    fn admit_at(
        &self,
        stage: ProbeStage,
        keys: &EvidenceKeys,
        service: &TargetName,
        earlier: Admission,
    ) -> Admission {
        let crashes = self.peers.crashes();
        if crashes.is_empty() {
            return Admission::Free;
        }
        let (request, now) = (keys.fingerprints, self.clock.mono());
        let status = crashes.request_status(request, self.clock.wall());
        let turn_ms = || self.peers.rank(&request.path.0.to_be_bytes()) as u64 * PROBE_TURN_MS;
        let by_request = self.admission(status, turn_ms, earlier, || {
            crashes.admit_probe(request, now)
        });
        match by_request {
            Admission::Refused { .. } => by_request,
            Admission::Free => self.admit_held_parts(stage, keys, service, earlier),
            Admission::Probe => match self.admit_held_parts(stage, keys, service, earlier) {
                Admission::Free => Admission::Probe,
                by_parts => by_parts,
            },
        }
    }

    fn admit_held_parts(
        &self,
        stage: ProbeStage,
        keys: &EvidenceKeys,
        service: &TargetName,
        earlier: Admission,
    ) -> Admission {
        if !keys.is_taken_up {
            return self.admit_parts(stage, keys, service, earlier);
        }
        match self.group_status(keys, service).0 {
            CrashStatus::Allowed => Admission::Free,
            CrashStatus::Refused { left_ms } => Admission::Refused {
                retry_after_ms: left_ms,
            },
            CrashStatus::ProbeAllowed { .. } => Admission::Refused {
                retry_after_ms: PROBE_RETRY_AFTER_MS,
            },
        }
    }

    pub(crate) fn group_status(
        &self,
        keys: &EvidenceKeys,
        service: &TargetName,
    ) -> (CrashStatus, Option<Vec<PartId>>) {
        let (request, now) = (keys.fingerprints.path, self.clock.wall());
        let crashes = self.peers.crashes();
        match keys.is_owed {
            true => crashes.group_status_of_owed(request, &keys.parts, service, now),
            false => crashes.group_status_of(request, &keys.parts, service, now),
        }
    }

    /// Whether a request may take a step towards `service`, by its parts alone.
    pub(crate) fn admit_parts(
        &self,
        stage: ProbeStage,
        keys: &EvidenceKeys,
        service: &TargetName,
        earlier: Admission,
    ) -> Admission {
        let crashes = self.peers.crashes();
        let (status, group) = self.group_status(keys, service);
        let group = group.unwrap_or_default();
        let now = self.clock.mono();
        let share = self.share_beside(keys, &group);
        if share > 0 {
            return self.admission(
                status,
                || 0,
                earlier,
                || match stage {
                    ProbeStage::HoldSlot => crashes.is_free_beside(&group, share, now),
                    ProbeStage::SeekSlot | ProbeStage::Send => {
                        crashes.admit_beside(&group, share, now)
                    }
                },
            );
        }
        // An item that was never lost goes before those that were, at whichever instance they are.
        let goes_first = || keys.is_owed && !crashes.has_lost(keys.fingerprints.path);
        let turn_ms = || match earlier {
            Admission::Probe => 0,
            _ if goes_first() => 0,
            _ => group_probe_turn_ms(self.peers.rank(&probe_subject(&group))),
        };
        // What was admitted before the wait for a slot was a reservation only.
        self.admission(status, turn_ms, Admission::Free, || match stage {
            ProbeStage::SeekSlot => crashes.reserve_group_probe(&group, now),
            ProbeStage::HoldSlot => crashes.is_group_probe_free(&group, now),
            ProbeStage::Send => {
                let is_admitted = crashes.admit_group_probe(&group, now);
                if is_admitted {
                    log::info!(
                        parts:% = SharedParts::from(group.as_slice()),
                        service = service.as_str();
                        "probe of suspected parts admitted"
                    );
                    self.peers.announce_probe(group.clone());
                }
                is_admitted
            }
        })
    }

    /// Waits until instances that have admitted a probe at the same moment know of each other. Returns
    /// whether the one admitted here is sent.
    pub(crate) async fn settle_probe(&self, keys: &EvidenceKeys, service: &TargetName) -> bool {
        tokio::time::sleep(Duration::from_millis(PROBE_SETTLE_MS)).await;
        let crashes = self.peers.crashes();
        let (status, group) = self.group_status(keys, service);
        match status {
            CrashStatus::Allowed => true,
            CrashStatus::Refused { .. } => false,
            CrashStatus::ProbeAllowed { .. } => group.is_some_and(|group| {
                self.share_beside(keys, &group) > 0 || crashes.keeps_group_probe(&group)
            }),
        }
    }

    fn admission(
        &self,
        status: CrashStatus,
        turn_ms: impl FnOnce() -> u64,
        earlier: Admission,
        admit_probe: impl FnOnce() -> bool,
    ) -> Admission {
        let for_ms = match status {
            CrashStatus::Allowed => return Admission::Free,
            CrashStatus::Refused { left_ms } => {
                return Admission::Refused {
                    retry_after_ms: left_ms,
                };
            }
            CrashStatus::ProbeAllowed { .. } if earlier == Admission::Probe => {
                return Admission::Probe;
            }
            CrashStatus::ProbeAllowed { for_ms } => for_ms,
        };
        let until_turn_ms = turn_ms().saturating_sub(for_ms);
        if until_turn_ms == 0 && admit_probe() {
            return Admission::Probe;
        }
        let retry_after_ms = match until_turn_ms {
            0 => PROBE_RETRY_AFTER_MS,
            until_turn_ms => until_turn_ms.min(PROBE_RETRY_AFTER_MS),
        };
        Admission::Refused { retry_after_ms }
    }

    /// Requests a slot at an engine and looks up the engine. An allocator of the previous version
    /// does not read the requested software version, so it is checked here.
    pub(crate) async fn acquire_slot(
        &self,
        query: &SlotQuery<'_>,
    ) -> Result<(Slot, Arc<BackendServer>), SlotError> {
        let mut avoid = query.avoid.to_vec();
        for _ in 0..MAX_SLOT_REQUESTS {
            let to_ask = SlotQuery {
                avoid: &avoid,
                ..query.clone()
            };
            let slot = self.peers.acquire(&to_ask).await?;
            let backends = self.backends.load();
            let Some(backend) = backends.find(query.pool, slot.backend()) else {
                // The allocator knows of a start that has not been read here yet, or the other way
                // round.
                log::info!(backend = slot.backend().as_str(); "slot granted at an unknown backend server, requesting another");
                avoid.push(slot.backend().clone());
                slot.close(SlotOutcome::Abandoned);
                continue;
            };
            let Some(version) = query.version.filter(|version| **version != backend.version) else {
                return Ok((slot, Arc::clone(backend)));
            };
            log::info!(
                backend = backend.id.as_str(), software = backend.version.as_str(),
                wanted = version.as_str();
                "slot granted at a backend server of another version"
            );
            slot.close(SlotOutcome::Abandoned);
            // An allocator that does not read the version cannot know that it is gone.
            let mut listed = backends.for_service(query.pool).iter();
            if listed.all(|listed| listed.version != *version) {
                return Err(SlotError::VersionGone);
            }
            for other in backends.of_other_versions(query.pool, version) {
                if !avoid.contains(&other.id) {
                    avoid.push(other.id.clone());
                }
            }
        }
        // The lists of the instances differ for the time of a message.
        Err(SlotError::Refused { retry_after_ms: 0 })
    }
}

/// Builds the upstream request of a caller's request; a stream resumes after the event `after`.
pub fn upstream_request<'a>(
    request: &'a OpaqueRequest,
    route: &Route,
    after: Option<u64>,
) -> UpstreamRequest<'a> {
    UpstreamRequest {
        request_id: &request.id,
        method: &request.method,
        target: &request.target,
        headers: &request.headers,
        body: &request.body,
        after_event: after,
        is_idempotent: route.kind.is_idempotent(),
        not_after: None,
    }
}

/// Gap between two events after which the backend server of a stream counts as silent.
pub fn event_gap_timeout(route: &Route) -> Duration {
    let timeout_ms = (route.pause_ms * EVENT_GAP_FACTOR).max(MIN_EVENT_GAP_TIMEOUT_MS);
    Duration::from_millis(timeout_ms)
}

/// Longest wait for a slot with no attempt open: until another backend server can no longer send an
/// event before callers leave.
pub fn slot_wait(route: &Route) -> Duration {
    Duration::from_millis(stream_patience_ms(route) - FIRST_EVENT_TIMEOUT_MS)
}
