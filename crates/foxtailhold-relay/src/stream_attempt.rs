//! One attempt of a stream at one backend server.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use foxtailhold::routes::Route;
use foxtailhold::slots::SlotOutcome;
use tokio::task::{JoinError, JoinHandle};
use tokio::time::Instant;

use crate::attempt_evidence::AttemptEvidence;
use crate::dialect::Dialect;
use crate::events::{EventReader, StreamRead};
use crate::fleet::BackendServer;
use crate::metrics::{AttemptOutcome, RelayMetrics};
use crate::peers::Slot;
use crate::relay::{FIRST_EVENT_TIMEOUT_MS, Relay, event_gap_timeout, upstream_request};
use crate::request::{EvidenceKeys, OpaqueRequest};
use crate::upstream::{AttemptFailure, ResponseEnd};

type OpenedReader = Result<Box<EventReader>, AttemptFailure>;

/// A task that is aborted when dropped.
#[derive(Debug)]
struct AbortOnDrop<T>(JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl<T> Future for AbortOnDrop<T> {
    type Output = Result<T, JoinError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(context)
    }
}

/// Where the events of an attempt come from.
#[derive(Debug)]
enum Source {
    /// The response has not begun.
    Opening(AbortOnDrop<OpenedReader>),
    Open(Box<EventReader>),
}

/// What an attempt has to read.
#[derive(Debug)]
pub(crate) enum AttemptRead {
    /// From its response.
    Stream(StreamRead),
    /// There is no response.
    Failed(AttemptFailure),
}

/// One attempt of a stream at one backend server.
#[derive(Debug)]
pub struct StreamAttempt {
    /// Engine that serves this attempt.
    pub backend: Arc<BackendServer>,
    /// When the attempt was sent.
    pub started: Instant,
    /// Events received in this attempt.
    pub events: u64,
    slot: Slot,
    evidence: AttemptEvidence,
    source: Source,
    /// When the last event came, or the attempt was sent.
    heard_at: Instant,
    /// Time without an event after which the backend server counts as silent.
    silence_limit: Duration,
    is_silent: bool,
}

impl StreamAttempt {
    /// An attempt whose first event has been read.
    pub fn opened(
        (slot, backend): (Slot, Arc<BackendServer>),
        started: Instant,
        reader: Box<EventReader>,
        evidence: AttemptEvidence,
        route: &Route,
    ) -> Self {
        evidence.set_silent(false);
        StreamAttempt {
            backend,
            started,
            events: 0,
            slot,
            evidence,
            source: Source::Open(reader),
            heard_at: Instant::now(),
            silence_limit: event_gap_timeout(route),
            is_silent: false,
        }
    }

    /// Sends the request to a backend server, to continue after the event `after`.
    pub(crate) fn resume<D: Dialect>(
        relay: &Arc<Relay<D>>,
        route: &Route,
        request: &OpaqueRequest,
        keys: &EvidenceKeys,
        (slot, backend): (Slot, Arc<BackendServer>),
        after: Option<u64>,
        deadline: Instant,
    ) -> Self {
        let evidence = relay.begin_attempt(keys.clone(), &backend, after);
        let opening = open(
            Arc::clone(relay),
            route.clone(),
            request.clone(),
            Arc::clone(&backend),
            after,
            deadline,
        );
        let started = Instant::now();
        StreamAttempt {
            backend,
            started,
            events: 0,
            slot,
            evidence,
            source: Source::Opening(AbortOnDrop(tokio::spawn(opening))),
            heard_at: started,
            silence_limit: Duration::from_millis(FIRST_EVENT_TIMEOUT_MS),
            is_silent: false,
        }
    }

    /// When its backend server counts as silent if no event comes; `None` if it does already.
    pub(crate) fn silent_at(&self) -> Option<Instant> {
        (!self.is_silent).then(|| self.heard_at + self.silence_limit)
    }

    /// Whether its backend server counts as silent.
    pub(crate) fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Waits for the next event until `until`.
    pub(crate) async fn read(&mut self, until: Instant) -> AttemptRead {
        loop {
            let opened = match &mut self.source {
                Source::Open(reader) => {
                    let read = reader.read_until(until).await;
                    let is_proved = read != StreamRead::End || reader.is_end_proved();
                    if is_proved || self.evidence.has_lived_on().await {
                        return AttemptRead::Stream(read);
                    }
                    return AttemptRead::Stream(StreamRead::Closed);
                }
                Source::Opening(opening) => tokio::time::timeout_at(until, opening).await,
            };
            match opened {
                Err(_) => return AttemptRead::Stream(StreamRead::Silent),
                Ok(Ok(Ok(reader))) => {
                    self.slot.record_activity();
                    self.source = Source::Open(reader);
                }
                Ok(Ok(Err(failure))) => return AttemptRead::Failed(failure),
                Ok(Err(error)) => {
                    log::error!("task of an attempt failed: {error}");
                    return AttemptRead::Failed(AttemptFailure::Closed);
                }
            }
        }
    }

    /// Number of the last event; `None` if there is none.
    pub(crate) fn last_event(&self) -> Option<u64> {
        match &self.source {
            Source::Open(reader) => reader.last_event(),
            Source::Opening(_) => None,
        }
    }

    /// Records an event.
    pub(crate) fn record_event(&mut self, route: &Route) {
        self.slot.record_activity();
        self.events += 1;
        self.heard_at = Instant::now();
        self.silence_limit = event_gap_timeout(route);
        if std::mem::take(&mut self.is_silent) {
            self.evidence.set_silent(false);
        }
    }

    /// Records that the backend server is silent once its time is up. Returns whether it is new.
    pub(crate) fn record_silence(&mut self, now: Instant) -> bool {
        let is_new = self.silent_at().is_some_and(|at| at <= now);
        if is_new {
            self.is_silent = true;
            self.evidence.set_silent(true);
        }
        is_new
    }

    /// Time in ms since the last event.
    pub(crate) fn silent_ms(&self) -> u64 {
        self.heard_at.elapsed().as_millis() as u64
    }

    /// Ends the attempt after the end of its response.
    pub(crate) fn complete(self, metrics: &RelayMetrics) {
        metrics.attempt_ended(&self.backend.id, AttemptOutcome::Done, self.started);
        let held_ms = self.started.elapsed().as_millis() as u64;
        self.slot.close(SlotOutcome::Done { held_ms });
        if let Source::Open(reader) = self.source {
            let end = reader.end();
            reader.close();
            self.evidence.completed(end, self.events);
        }
    }

    /// Ends the attempt after a failure.
    pub(crate) fn fail(self, failure: AttemptFailure, metrics: &RelayMetrics) {
        let outcome = AttemptOutcome::Failed(failure);
        metrics.attempt_ended(&self.backend.id, outcome, self.started);
        self.slot.close(failure.outcome());
        self.evidence.failed(failure);
    }

    /// Closes the attempt because another one has gone on. Its backend server counts as silent only
    /// if it was given the usual time.
    pub(crate) fn supersede(self, metrics: &RelayMetrics) {
        if self.is_silent {
            self.fail(AttemptFailure::Silent, metrics);
            return;
        }
        metrics.attempt_ended(&self.backend.id, AttemptOutcome::Superseded, self.started);
    }
}

async fn open<D: Dialect>(
    relay: Arc<Relay<D>>,
    route: Route,
    request: OpaqueRequest,
    backend: Arc<BackendServer>,
    after: Option<u64>,
    deadline: Instant,
) -> OpenedReader {
    let to_send = upstream_request(&request, &route, after);
    let sent = relay
        .send_to(&backend, &to_send, deadline, deadline)
        .await?;
    let (response, connection) = sent;
    if !response.status().is_success() {
        return Err(AttemptFailure::Failed);
    }
    let end = ResponseEnd::from(response.headers());
    let reader = EventReader::new(response.into_body(), end, connection, after);
    Ok(Box::new(reader))
}
