//! One attempt at a batch item, at one backend server.

use std::time::Duration;

use foxtailhold::act_lease::ActLease;
use foxtailhold::routes::Route;
use foxtailhold::slots::SlotOutcome;
use foxtailhold_platform::{ObjectStore, RowStore};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, StatusCode};
use tokio::sync::watch;
use tokio::time::Instant;

use super::backoff::TRIAL_EVENTS;
use super::version::{Precedence, VersionWait};
use super::{GrantedSlot, ItemRunner, RETRY_DELAY_MS, WRITE_LIMIT_MS};
use crate::dialect::Dialect;
use crate::event_place::PlacedEvent;
use crate::events::{EventReader, StreamRead, push_data};
use crate::fleet::BackendServer;
use crate::item_waits::WaitCause;
use crate::jobs::freshness::StartLeave;
use crate::jobs::{Job, PartialOutput, RunId, Writer};
use crate::metrics::AttemptOutcome;
use crate::peers::{Slot, SlotError};
use crate::relay::{Admission, ProbeStage};
use crate::request::EvidenceKeys;
use crate::tables::FollowedTable;
use crate::upstream::{self, AttemptFailure, ResponseEnd, UpstreamRequest};

/// A run without a head or an event for this time ends, also if no slot is free elsewhere. Sound
/// backend servers are silent for a second or so.
pub(super) const MAX_RUN_SILENCE_MS: u64 = 2_500;
/// A probe that has run for this time and brought this number of events shows that its parts do not
/// crash a backend server as it begins to respond.
const PASSED_PROBE: (Duration, u64) = (Duration::from_millis(2_000), 64);
/// A start on a copy of the table of jobs of this age is logged.
const LOGGED_COPY_AGE_MS: u64 = 1_000;
/// Size limit of the output of an item, which its owner holds in memory until it is listed. The
/// contract states none: a response beyond it counts as one without an end.
const MAX_OUTPUT_BYTES: usize = 4 << 20;

/// What all attempts at an item send.
#[derive(Debug, Clone, Copy)]
pub(super) struct ItemRequest<'a> {
    pub(super) job: &'a Job,
    pub(super) target: &'a PathAndQuery,
    pub(super) headers: &'a HeaderMap,
}

/// A run in progress, as its parts see it.
#[derive(Debug, Clone, Copy)]
struct Run<'a> {
    backend: &'a BackendServer,
    slot: &'a Slot,
    /// Time of the last head or event.
    heard_at: &'a watch::Sender<Instant>,
    deadline: Instant,
    /// Time from which it must not begin.
    not_after: Instant,
    /// What evidence about a probe is kept under; `None` if the run is none.
    probe: Option<&'a EvidenceKeys>,
}

impl Run<'_> {
    /// Whether the time of the item is over, though its backend server is not silent.
    fn is_time_over(&self) -> bool {
        let silence = Duration::from_millis(MAX_RUN_SILENCE_MS);
        Instant::now() >= self.deadline && self.heard_at.borrow().elapsed() < silence
    }

    fn record_activity(&self) {
        self.heard_at.send_replace(Instant::now());
    }
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    Complete(ResponseEnd),
    Impossible,
    ServerError,
    /// Preempted or not started: the item resumes after its last event.
    Suspended,
    /// The backend server failed or broke off the response.
    Interrupted(AttemptFailure),
}

impl AttemptEnd {
    /// Whether the backend server may have run the item and answered, though nothing arrived here.
    fn may_be_unanswered(&self) -> bool {
        match self {
            AttemptEnd::Suspended => true,
            AttemptEnd::Interrupted(failure) => failure.may_have_run(),
            AttemptEnd::Complete(_) | AttemptEnd::Impossible | AttemptEnd::ServerError => false,
        }
    }
}

impl From<&AttemptEnd> for AttemptOutcome {
    fn from(result: &AttemptEnd) -> Self {
        match result {
            AttemptEnd::Complete(_) => AttemptOutcome::Done,
            AttemptEnd::Impossible => AttemptOutcome::Impossible,
            AttemptEnd::ServerError => AttemptOutcome::Failed(AttemptFailure::Failed),
            AttemptEnd::Suspended => AttemptOutcome::Preempted,
            AttemptEnd::Interrupted(failure) => AttemptOutcome::Failed(*failure),
        }
    }
}

impl<S: RowStore + ObjectStore, D: Dialect> ItemRunner<'_, S, D> {
    /// Runs the item once, at the slot granted before if there is one. Returns how the attempt ended
    /// and the number of its events.
    pub(super) async fn attempt_once(
        &mut self,
        route: &Route,
        request: ItemRequest<'_>,
        admission: Admission,
    ) -> (AttemptEnd, u64) {
        let job = request.job;
        let relay = &self.jobs.relay;
        let granted = match self.granted.take() {
            Some(granted) => Ok(granted),
            None => {
                let cause = match self.partial_outputs.origin(&self.item.id) {
                    Some(_) => WaitCause::Version,
                    None => WaitCause::Slot,
                };
                self.wait_for(cause, None);
                let mut wait = std::mem::take(&mut self.version_wait);
                let avoid = &self.avoided_backends;
                let granted = self.request_slot(route, job, avoid, &mut wait).await;
                self.version_wait = wait;
                granted
            }
        };
        let (slot, backend) = match granted {
            Ok(granted) => granted,
            Err(SlotError::TimedOut | SlotError::VersionGone) => {
                self.release_reservation(admission);
                self.avoided_backends.clear();
                return (AttemptEnd::Suspended, 0);
            }
            Err(SlotError::Refused { .. }) => {
                self.release_reservation(admission);
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                return (AttemptEnd::Suspended, 0);
            }
        };
        let keys = self.evidence_keys(job);
        if relay
            .admit_parts(ProbeStage::HoldSlot, &keys, &backend.service, admission)
            .is_refused()
        {
            self.release_reservation(admission);
            drop(slot);
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            return (AttemptEnd::Suspended, 0);
        }
        self.drop_output_of_other_origin(&backend);
        self.is_start_saved = self.events() == 0 && self.counts.must_record_start(job.lost_owners);
        if self.is_start_saved {
            let limit = Duration::from_millis(WRITE_LIMIT_MS);
            self.wait_for(WaitCause::Store, Some(limit));
            self.write_counts(self.counts.with_pending_attempt()).await;
        }
        if !self.is_still_owned() {
            self.release_reservation(admission);
            return (AttemptEnd::Suspended, 0);
        }
        let sent_as = relay.admit_parts(ProbeStage::Send, &keys, &backend.service, admission);
        let is_admitted = match sent_as {
            Admission::Free => true,
            Admission::Probe => relay.settle_probe(&keys, &backend.service).await,
            Admission::Refused { .. } => false,
        };
        let leave = match is_admitted {
            true => self.jobs.leave_to_start(self.id).await,
            false => StartLeave::Denied,
        };
        let StartLeave::Granted(lease) = leave else {
            self.release_reservation(admission);
            drop(slot);
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            return (AttemptEnd::Suspended, 0);
        };
        self.avoided_backends.clear();
        self.wait.end();
        self.log_old_copy();
        self.is_sent = true;
        self.version_wait = VersionWait::default();
        self.precedence = Precedence::None;
        let (started, events_before) = (Instant::now(), self.events());
        let probe = (sent_as == Admission::Probe).then(|| keys.clone());
        let evidence = relay.begin_attempt(keys, &backend, self.resume_after());
        let number = evidence.number();
        let (result, next_slot) = self
            .run_or_move(request, &backend, &slot, lease, probe.as_ref())
            .await;
        self.granted = next_slot;
        relay
            .metrics
            .attempt_ended(&backend.id, AttemptOutcome::from(&result), started);
        let took_ms = started.elapsed().as_millis() as u64;
        let events = self.events() - events_before;
        self.jobs.item_durations().record_attempt(events, took_ms);
        self.unanswered += u32::from(events == 0 && result.may_be_unanswered());
        let outcome = match &result {
            AttemptEnd::Complete(end) => {
                evidence.completed(*end, events);
                self.jobs.item_durations().record_finished(self.events());
                SlotOutcome::Done { held_ms: took_ms }
            }
            AttemptEnd::Interrupted(failure) => {
                if *failure != AttemptFailure::TooLate {
                    self.avoided_backends.push(backend.id.clone());
                }
                self.record_unknown_end(number, &backend);
                evidence.failed(*failure);
                failure.outcome()
            }
            AttemptEnd::ServerError => {
                self.avoided_backends.push(backend.id.clone());
                evidence.failed(AttemptFailure::Failed);
                SlotOutcome::Abandoned
            }
            AttemptEnd::Impossible => {
                evidence.answered();
                SlotOutcome::Abandoned
            }
            AttemptEnd::Suspended => {
                self.record_unknown_end(number, &backend);
                if let Some(probe) = probe.filter(|_| events >= TRIAL_EVENTS.0) {
                    relay.peers.crashes().release_probe(&self.parts);
                    relay.record_harmless_probe(&probe, &backend.service, false);
                }
                SlotOutcome::Abandoned
            }
        };
        slot.close(outcome);
        (result, events)
    }

    /// Logs a start that rests on a copy of the table of jobs which may lack recent changes.
    fn log_old_copy(&self) {
        let age = self
            .jobs
            .relay
            .metrics
            .tables()
            .copy_age(FollowedTable::Jobs);
        let age_ms = age.map_or(u64::MAX, |age| age.as_millis() as u64);
        if age_ms < LOGGED_COPY_AGE_MS {
            return;
        }
        log::info!(
            job = self.id.as_str(), item = self.item.id.as_str(), copy_age_ms = age_ms;
            "item starts on an old copy of the table of jobs"
        );
    }

    /// Runs the item until its response ends, or until another backend server has a slot for it
    /// while this one is silent. The run is closed on return.
    async fn run_or_move(
        &self,
        request: ItemRequest<'_>,
        backend: &BackendServer,
        slot: &Slot,
        lease: ActLease,
        probe: Option<&EvidenceKeys>,
    ) -> (AttemptEnd, Option<GrantedSlot>) {
        let left_ms = self.jobs.time_left_ms(request.job);
        let heard_at = watch::Sender::new(Instant::now());
        let heard = heard_at.subscribe();
        let run = Run {
            backend,
            slot,
            heard_at: &heard_at,
            deadline: Instant::now() + Duration::from_millis(left_ms),
            not_after: self.jobs.relay.clock.instant(lease.until()),
            probe,
        };
        let (end, next_slot) = tokio::select! {
            // What the run has received counts before a slot granted at the same moment.
            biased;
            end = self.send(request, run) => (end, None),
            moved = self.slot_after_silence(request.job, slot, heard) => match moved {
                Ok(granted) => (AttemptEnd::Interrupted(AttemptFailure::Silent), Some(granted)),
                Err(end) => (end, None),
            },
        };
        match end {
            // The backend server stops work then as well.
            AttemptEnd::Interrupted(_) if run.is_time_over() => (AttemptEnd::Suspended, next_slot),
            end => (end, next_slot),
        }
    }

    async fn send(&self, request: ItemRequest<'_>, run: Run<'_>) -> AttemptEnd {
        let relay = &self.jobs.relay;
        let writer = Writer {
            origin: run.backend.origin(),
            run: RunId::random(),
            resumed: self.partial_outputs.resume_after(&self.item.id),
        };
        let resume_after = writer.resumed.map(|resumed| resumed.event);
        let body = self.item.body.clone();
        let upstream_request = UpstreamRequest {
            request_id: &self.item.id,
            method: &Method::POST,
            target: request.target,
            headers: request.headers,
            body: &body,
            after_event: resume_after,
            is_idempotent: true,
            not_after: Some(run.not_after),
        };
        let head_deadline = Instant::now() + Duration::from_millis(MAX_RUN_SILENCE_MS);
        let head_deadline = run.deadline.min(head_deadline);
        let response_head =
            relay.send_to(run.backend, &upstream_request, run.deadline, head_deadline);
        let sent = tokio::select! {
            // A response that has arrived counts even if the slot is preempted at the same moment.
            biased;
            sent = response_head => sent,
            () = run.slot.preempted() => return AttemptEnd::Suspended,
        };
        match sent {
            Err(failure) => AttemptEnd::Interrupted(failure),
            Ok((response, _)) if relay.dialect.is_impossible(response.status()) => {
                log::info!(
                    job = self.id.as_str(), item = self.item.id.as_str(),
                    backend = run.backend.id.as_str();
                    "backend server reports that the item can never be completed, giving it up"
                );
                AttemptEnd::Impossible
            }
            Ok((response, connection)) if response.status().is_success() => {
                let end = ResponseEnd::from(response.headers());
                let reader = EventReader::new(response.into_body(), end, connection, resume_after);
                self.read(reader, run, &writer).await
            }
            Ok((response, connection)) => {
                let status = response.status();
                log::info!(
                    job = self.id.as_str(), item = self.item.id.as_str(),
                    backend = run.backend.id.as_str(), status = status.as_u16(),
                    failures = self.counts.failed, open = self.counts.pending;
                    "attempt of an item failed with a server error status"
                );
                upstream::drain_and_put_back(response.into_body(), connection);
                match status {
                    StatusCode::INTERNAL_SERVER_ERROR => AttemptEnd::ServerError,
                    _ => AttemptEnd::Interrupted(AttemptFailure::Broken),
                }
            }
        }
    }

    async fn read(&self, mut reader: EventReader, run: Run<'_>, writer: &Writer) -> AttemptEnd {
        run.record_activity();
        let begun = Instant::now();
        let mut unpassed_probe = run.probe;
        let mut events = 0;
        loop {
            let read = tokio::select! {
                read = reader.read_event(MAX_RUN_SILENCE_MS, run.deadline) => read,
                () = run.slot.preempted() => {
                    self.jobs.relay.metrics.item_outcome("cut");
                    log::info!(
                        job = self.id.as_str(), item = self.item.id.as_str(),
                        after = self.events(); "item preempted"
                    );
                    return AttemptEnd::Suspended;
                }
            };
            match read {
                StreamRead::Event(event) => {
                    run.slot.record_activity();
                    run.record_activity();
                    if !self.append_event(&event, writer) {
                        return AttemptEnd::Interrupted(AttemptFailure::Broken);
                    }
                    events += 1;
                    if events == 1 && self.is_start_saved {
                        let mut counts = self.counts;
                        counts.record_events();
                        self.write_counts(counts).await;
                    }
                    if events == self.trial_events() {
                        self.pass_trial();
                    }
                    let (least, least_events) = PASSED_PROBE;
                    if events >= least_events
                        && begun.elapsed() >= least
                        && let Some(probe) = unpassed_probe.take()
                    {
                        let service = &run.backend.service;
                        self.jobs.relay.record_harmless_probe(probe, service, true);
                    }
                }
                StreamRead::End => {
                    let end = reader.end();
                    let relay = &self.jobs.relay;
                    if let Err(failure) = relay
                        .check_end_of_events(run.backend, reader.is_end_proved())
                        .await
                    {
                        return AttemptEnd::Interrupted(failure);
                    }
                    reader.close();
                    return AttemptEnd::Complete(end);
                }
                StreamRead::Closed => return AttemptEnd::Interrupted(AttemptFailure::Closed),
                StreamRead::Broken => return AttemptEnd::Interrupted(AttemptFailure::Broken),
                StreamRead::Silent | StreamRead::Comment(_) => {
                    return AttemptEnd::Interrupted(AttemptFailure::Silent);
                }
            }
        }
    }

    /// Appends an event to the output. Returns `false` if it does not follow or the output has become
    /// too large.
    fn append_event(&self, event: &PlacedEvent, writer: &Writer) -> bool {
        let outputs = &self.partial_outputs;
        let (is_appended, bytes) = outputs.update(&self.item.id, |output| {
            let push = |text: &mut Vec<u8>, is_first| push_data(text, event.event(), is_first);
            let is_appended = output.append(writer, event.number(), push);
            (is_appended, output.text().len())
        });
        if !is_appended {
            log::warn!(
                job = self.id.as_str(), item = self.item.id.as_str(),
                run = writer.run.to_string(), after = self.events(), event = event.number();
                "event of an item does not follow its output, ending the run"
            );
            return false;
        }
        if bytes > MAX_OUTPUT_BYTES {
            self.drop_run(writer);
            return false;
        }
        true
    }

    /// Drops what a run has added, because its backend server does not end its response.
    fn drop_run(&self, writer: &Writer) {
        log::warn!(
            job = self.id.as_str(), item = self.item.id.as_str(),
            run = writer.run.to_string(), events = self.events(), kept = writer.after();
            "output of an item exceeds {MAX_OUTPUT_BYTES} bytes, dropping its last attempt"
        );
        let drop_run = |output: &mut PartialOutput| output.drop_run(writer.run);
        self.partial_outputs.update(&self.item.id, drop_run);
    }
}
