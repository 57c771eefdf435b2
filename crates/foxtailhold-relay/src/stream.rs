//! Forwards a stream to its caller and resumes it at another backend server after a failure.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold_http::body::AnswerSender;
use tokio::time::Instant;

use crate::attempt_evidence::AttemptEvidence;
use crate::attempts::AttemptBudget;
use crate::dialect::Dialect;
use crate::events::{EventReader, StreamRead};
use crate::fleet::BackendServer;
use crate::metrics::AttemptOutcome;
use crate::peers::{Slot, SlotQuery};
use crate::relay::{
    FIRST_EVENT_TIMEOUT_MS, FailedAttempt, Relay, event_gap_timeout_ms, upstream_request,
};
use crate::request::OpaqueRequest;
use crate::upstream::AttemptFailure;

/// Forwards one stream to its caller.
#[derive(Debug)]
pub struct StreamForwarder<D> {
    /// Used to request slots and to reach other backend servers.
    pub relay: Arc<Relay<D>>,
    /// Route of the request; its limits apply to all attempts.
    pub route: Route,
    /// Service whose engines serve the stream.
    pub service: TargetName,
    /// Request that is sent again on resumption.
    pub request: OpaqueRequest,
    /// Attempts made and left.
    pub attempts: AttemptBudget,
}

/// One attempt of a stream at one backend server.
#[derive(Debug)]
pub struct StreamAttempt {
    /// Slot held at the engine until the attempt ends.
    pub slot: Slot,
    /// Engine that serves this attempt.
    pub backend: Arc<BackendServer>,
    /// When the attempt was sent.
    pub started: Instant,
    /// Reader of the response events.
    pub reader: Box<EventReader>,
    /// Events received in this attempt.
    pub events: u64,
    /// What the attempt shows about its request.
    pub evidence: AttemptEvidence,
}

/// How one attempt of the stream ended.
enum StreamEnd {
    Complete,
    CallerGone,
    DeadlinePassed,
    Failed(AttemptFailure),
}

impl From<&StreamEnd> for AttemptOutcome {
    fn from(end: &StreamEnd) -> Self {
        match end {
            StreamEnd::Complete => AttemptOutcome::Done,
            StreamEnd::CallerGone => AttemptOutcome::CallerGone,
            StreamEnd::DeadlinePassed => AttemptOutcome::DeadlinePassed,
            StreamEnd::Failed(failure) => AttemptOutcome::Failed(*failure),
        }
    }
}

impl<D: Dialect> StreamForwarder<D> {
    /// Forwards all events, beginning with `first`, and resumes the stream after failures.
    pub async fn run(
        mut self,
        sender: AnswerSender,
        mut attempt: StreamAttempt,
        first: StreamRead,
    ) {
        self.attempts.record_running();
        let mut read = Some(first);
        loop {
            let end = self
                .forward_events(&sender, &mut attempt, read.take())
                .await;
            let metrics = &self.relay.metrics;
            metrics.attempt_ended(
                &attempt.backend.id,
                AttemptOutcome::from(&end),
                attempt.started,
            );
            let failure = match end {
                StreamEnd::Complete => {
                    let held_ms = attempt.started.elapsed().as_millis() as u64;
                    attempt.slot.close(SlotOutcome::Done { held_ms });
                    attempt.reader.close();
                    attempt.evidence.completed();
                    return;
                }
                StreamEnd::CallerGone => {
                    log::info!(request = self.request.id.as_str(); "caller disconnected from its stream");
                    return;
                }
                StreamEnd::DeadlinePassed => {
                    self.cut(sender, "deadline passed").await;
                    return;
                }
                StreamEnd::Failed(failure) => failure,
            };
            match self.resume_elsewhere(attempt, failure).await {
                Some(next) => attempt = next,
                None => {
                    self.cut(
                        sender,
                        "backend server failed and no attempt or slot is left",
                    )
                    .await;
                    return;
                }
            }
        }
    }

    async fn cut(&self, sender: AnswerSender, cause: &str) {
        self.relay.metrics.stream_cut(&self.route.name);
        log::warn!(
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            attempts = self.attempts.maybe_executed,
            tried = self.attempts.failed_backend_names();
            "stream cut off: {cause}"
        );
        sender.cut().await;
    }

    async fn forward_events(
        &self,
        sender: &AnswerSender,
        attempt: &mut StreamAttempt,
        first: Option<StreamRead>,
    ) -> StreamEnd {
        let mut pending_read = first;
        let timeout_ms = match self.attempts.may_retry(&self.route) {
            true => event_gap_timeout_ms(&self.route),
            false => u64::from(u32::MAX),
        };
        loop {
            let read = match pending_read.take() {
                Some(read) => read,
                None => tokio::select! {
                    read = attempt.reader.read_event(timeout_ms, self.attempts.deadline) => read,
                    () = sender.gone() => return StreamEnd::CallerGone,
                },
            };
            match read {
                StreamRead::Event(event) => {
                    attempt.slot.record_activity();
                    attempt.events += 1;
                    if !self.send(sender, event.raw).await {
                        return StreamEnd::CallerGone;
                    }
                }
                StreamRead::End => return StreamEnd::Complete,
                StreamRead::Closed => return StreamEnd::Failed(AttemptFailure::Closed),
                StreamRead::Broken => return StreamEnd::Failed(AttemptFailure::Broken),
                StreamRead::Silent if Instant::now() >= self.attempts.deadline => {
                    return StreamEnd::DeadlinePassed;
                }
                StreamRead::Silent => return StreamEnd::Failed(AttemptFailure::Silent),
            }
        }
    }

    async fn send(&self, sender: &AnswerSender, bytes: Bytes) -> bool {
        let sent = tokio::time::timeout_at(self.attempts.deadline, sender.send(bytes)).await;
        sent.unwrap_or(false)
    }

    /// Records a failed attempt. Returns whether the stream may be resumed elsewhere.
    fn record_failed_attempt(
        &mut self,
        backend: &BackendServer,
        cause: AttemptFailure,
        events: u64,
    ) -> bool {
        let failed = FailedAttempt {
            backend,
            cause,
            events,
        };
        let (relay, request) = (&self.relay, &self.request);
        relay.log_failed_attempt(request, &failed, &self.attempts);
        let may_retry = self
            .attempts
            .record_failure(cause, &backend.id, &self.route);
        may_retry && relay.refusal_ms(request).is_none()
    }

    /// Starts the next attempt after a failed one. `None`: no attempt or slot is left.
    async fn resume_elsewhere(
        &mut self,
        failed: StreamAttempt,
        failure: AttemptFailure,
    ) -> Option<StreamAttempt> {
        let after = failed.reader.last_id();
        failed.evidence.failed(failure);
        let mut may_retry = self.record_failed_attempt(&failed.backend, failure, failed.events);
        failed.slot.close(failure.outcome());
        drop(failed.reader);
        while may_retry {
            log::info!(
                request = self.request.id.as_str(),
                after = after,
                attempts = self.attempts.maybe_executed,
                lost = self.attempts.failed_backends.last().map(BackendId::as_str);
                "resuming a stream at another backend server"
            );
            let (slot, backend) = self.acquire_slot().await?;
            let started = Instant::now();
            match self.resume(&backend, after).await {
                Ok((reader, evidence)) => {
                    self.attempts.record_running();
                    return Some(StreamAttempt {
                        slot,
                        backend,
                        started,
                        reader,
                        events: 0,
                        evidence,
                    });
                }
                Err(failure) => {
                    let metrics = &self.relay.metrics;
                    metrics.attempt_ended(&backend.id, AttemptOutcome::Failed(failure), started);
                    slot.close(failure.outcome());
                    may_retry = self.record_failed_attempt(&backend, failure, 0);
                }
            }
        }
        None
    }

    async fn acquire_slot(&self) -> Option<(Slot, Arc<BackendServer>)> {
        let query = SlotQuery {
            pool: &self.service,
            urgency: Urgency::Online { priority: 0 },
            slack_ms: u64::from(u32::MAX),
            avoid: &self.attempts.failed_backends,
            deadline: self.attempts.deadline,
            version: None,
        };
        self.relay.acquire_slot(&query).await.ok()
    }

    async fn resume(
        &self,
        backend: &Arc<BackendServer>,
        after: Option<u64>,
    ) -> Result<(Box<EventReader>, AttemptEvidence), AttemptFailure> {
        let to_send = upstream_request(&self.request, &self.route, after);
        let timeout = Duration::from_millis(FIRST_EVENT_TIMEOUT_MS);
        let response_deadline = self.attempts.deadline.min(Instant::now() + timeout);
        let evidence = self
            .relay
            .begin_attempt(self.request.fingerprints(), backend, after);
        let sent = self
            .relay
            .send_to(backend, &to_send, self.attempts.deadline, response_deadline)
            .await;
        let failure = match sent {
            Ok((response, connection)) if response.status().is_success() => {
                let reader = EventReader::new(response.into_body(), connection, after);
                return Ok((Box::new(reader), evidence));
            }
            Ok(_) => AttemptFailure::Failed,
            Err(failure) => failure,
        };
        evidence.failed(failure);
        Err(failure)
    }
}
