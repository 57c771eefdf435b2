//! A request as it is sent to backend servers, and its attempts so far.

use bytes::Bytes;
use foxtailhold::crashes::CrashStatus;
use foxtailhold::ids::{BackendId, JobId, RequestId, TargetName};
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::refusal::{ExecutionStatus, Refusal, RefusalReason};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;
use foxtailhold_engine::EngineError;
use foxtailhold_platform::Platform;
use tokio::time::Instant;

use crate::backends::{BackendState, TrackedRequest};
use crate::part_evidence::Group;
use crate::prompt::Prompt;
use crate::shared::Shared;

/// `Retry-After` of a refusal because no backend server could serve the request.
pub const BACKEND_RETRY_AFTER_MS: u64 = 1_000;

/// A job and the epoch of the lease under which this instance owns it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedUnder {
    /// The job.
    pub job: JobId,
    /// Epoch of the lease.
    pub epoch: u64,
}

/// A request as it is sent to backend servers.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Request id, sent with every attempt.
    pub id: RequestId,
    /// Path of the request at the engine.
    pub path: &'static str,
    /// Model that must serve it.
    pub model: TargetName,
    /// Request body, sent unchanged.
    pub body: Bytes,
    /// Identifies the request in crash records, so that repeats of it are recognized.
    pub fingerprint: Fingerprint,
    /// Its prompt, of which other requests may share parts.
    pub prompt: Prompt,
    /// Whether the caller requested a stream.
    pub streamed: bool,
    /// Upper bound of the tokens to generate; `None` if the body sets none.
    pub max_tokens: Option<u64>,
    /// When the caller gives up, on this process's clock, with the deadline in ms that it gave;
    /// `None` if it gave none.
    pub deadline: Option<(MonoMs, u64)>,
    /// Whether it may be retried after an attempt that may have run it.
    pub retry_allowed: bool,
    /// The job of which it is an item; `None` for requests that need no lease.
    pub of_job: Option<OwnedUnder>,
}

impl OutgoingRequest {
    /// Latest time at which it may be sent; `None` if that is not bounded by a lease.
    pub fn not_after<P: Platform>(&self, shared: &Shared<P>) -> Option<Instant> {
        let OwnedUnder { job, epoch } = self.of_job.as_ref()?;
        let lease = shared.start_lease(job, *epoch);
        let until = lease.map(|lease| shared.clock.instant(lease.until()));
        Some(until.unwrap_or_else(Instant::now))
    }

    /// Whether it may be sent now.
    pub fn may_be_sent<P: Platform>(&self, shared: &Shared<P>) -> bool {
        let not_after = self.not_after(shared);
        not_after.is_none_or(|until| Instant::now() < until)
    }

    /// What the evidence against parts says of the request now, and the group that decides it.
    pub fn part_status<P: Platform>(&self, shared: &Shared<P>) -> (CrashStatus, Option<Group>) {
        let now = shared.clock.wall();
        shared.part_evidence.status(&self.prompt, &self.model, now)
    }

    /// What is reported of the request if its backend server crashes.
    pub fn tracked(&self, is_part_probe: bool) -> TrackedRequest {
        TrackedRequest {
            fingerprint: self.fingerprint,
            prompt: self.prompt.clone(),
            is_part_probe,
        }
    }
}

/// Attempts of one request so far.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Backend servers that are not tried again.
    pub tried: Vec<BackendId>,
    /// Whether any attempt may have run the request.
    pub may_have_run: bool,
    /// Software version of the engine that began the output, once there is any: only engines of
    /// this version may go on with it.
    pub version: Option<SoftwareVersion>,
    /// Whether a probe of suspected parts was granted to the request.
    pub is_part_probe: bool,
    pub(super) run_attempts: usize,
    pub(super) last_error: Option<EngineError>,
}

impl AttemptHistory {
    /// No attempts so far, for a request that goes on with output of this version if there is any.
    pub fn new(version: Option<SoftwareVersion>) -> Self {
        AttemptHistory {
            version,
            ..AttemptHistory::default()
        }
    }

    /// Records a failed attempt, and the failure at its backend server. An attempt that was silent
    /// before is already counted.
    pub fn record_failure(&mut self, server: &BackendState, error: EngineError, now: MonoMs) {
        if !self.tried.contains(&server.backend.id) {
            self.tried.push(server.backend.id.clone());
            self.run_attempts += usize::from(!error.is_not_run());
        }
        self.may_have_run |= !error.is_not_run();
        match error {
            EngineError::Full => {}
            EngineError::Leaving => server.refused_as_leaving(),
            _ => server.record_failure(now),
        }
        log::warn!(
            "attempt at backend server {} failed: {error}",
            server.backend.id
        );
        self.last_error = Some(error);
    }

    /// Counts an attempt that is silent and stays open. Its backend server has not failed: that is
    /// known only once another one has answered.
    pub fn record_silence(&mut self, server: &BackendState, bound_ms: u64) {
        if self.tried.contains(&server.backend.id) {
            return;
        }
        self.tried.push(server.backend.id.clone());
        self.may_have_run = true;
        self.run_attempts += 1;
        log::info!(
            "backend server {} has been silent for {bound_ms} ms, its run stays open",
            server.backend.id
        );
        self.last_error = Some(EngineError::Stalled { bound_ms });
    }

    /// Starts the count of attempts anew after a stream made progress.
    pub fn restart(&mut self) {
        self.tried.clear();
        self.run_attempts = 0;
    }

    /// Whether a probe of suspected parts was granted and no attempt has run since.
    pub fn has_unused_part_probe(&self) -> bool {
        self.is_part_probe && !self.may_have_run
    }

    fn ran(&self) -> ExecutionStatus {
        if self.may_have_run {
            return ExecutionStatus::MayHaveRun;
        }
        ExecutionStatus::NotRun
    }

    pub(super) fn refusal_for(&self, reason: RefusalReason, after_ms: u64) -> Refusal {
        Refusal::not_run(reason)
            .with_ran(self.ran())
            .retry_after_ms(after_ms)
    }

    /// Refusal after the last attempt failed or no backend server is left.
    pub fn refusal(&self, target: &TargetName) -> Refusal {
        let target = target.clone();
        let reason = match &self.last_error {
            None => RefusalReason::NoBackend { target },
            Some(EngineError::Full) => RefusalReason::Overloaded { target },
            Some(error) => RefusalReason::BackendFailed {
                target,
                detail: error.to_string(),
            },
        };
        self.refusal_for(reason, BACKEND_RETRY_AFTER_MS)
    }

    /// Refusal of a request convicted of crashing backend servers, for the rest of its quarantine.
    pub fn quarantined(&self, left_ms: u64) -> Refusal {
        self.refusal_for(RefusalReason::Quarantined, left_ms.max(1))
    }
}
