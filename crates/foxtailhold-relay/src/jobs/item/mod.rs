//! Runs one batch item, from its first slot request to its result.

mod backoff;

use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::attempt_counts::{AttemptCounts, AttemptDecision};
use foxtailhold::ids::{BackendId, JobId};
use foxtailhold::quarantine::RequestFingerprints;
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold_engine::sse::RawEvent;
use foxtailhold_platform::{ObjectStore, RowStore};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::connections::BusyConnection;
use crate::dialect::Dialect;
use crate::events::{EventReader, StreamRead, push_data};
use crate::fleet::BackendServer;
use crate::jobs::backoff::Backoff;
use crate::jobs::{Item, ItemState, Job, Jobs, ListedResult, PartialOutput, PartialOutputs};
use crate::metrics::AttemptOutcome;
use crate::peers::{Slot, SlotError, SlotQuery};
use crate::upstream::{self, AttemptFailure, UpstreamRequest};
use backoff::Trial;

/// An engine without an event for this time counts as silent; the item is resumed elsewhere.
const EVENT_TIMEOUT_MS: u64 = 900;
/// Delay after a failed response.
const RETRY_DELAY_MS: u64 = 60;
/// An item is given up if its route has been missing from the configuration for this time.
const NO_ROUTE_MS: u64 = 5_000;
/// Time limit for writing attempt counts, many times the store's usual latency; the slot is held.
const WRITE_LIMIT_MS: u64 = 300;
/// Size limit of the output of an item, as much as one read of results returns.
const MAX_OUTPUT_BYTES: usize = 1 << 20;
/// Time limit of one slot request; afterwards route, job and deadline are checked again.
const SLOT_TIMEOUT_MS: u64 = 2_000;

enum AttemptEnd {
    Complete,
    Impossible,
    ServerError,
    /// Preempted or not started: the item resumes after its last event.
    Suspended,
    /// The backend server failed or broke off the response.
    Interrupted(AttemptFailure),
}

impl From<&AttemptEnd> for AttemptOutcome {
    fn from(result: &AttemptEnd) -> Self {
        match result {
            AttemptEnd::Complete => AttemptOutcome::Done,
            AttemptEnd::Impossible => AttemptOutcome::Impossible,
            AttemptEnd::ServerError => AttemptOutcome::Failed(AttemptFailure::Failed),
            AttemptEnd::Suspended => AttemptOutcome::Preempted,
            AttemptEnd::Interrupted(failure) => AttemptOutcome::Failed(*failure),
        }
    }
}

/// Runs one item and keeps its partial output.
pub struct ItemRunner<'a, S, D> {
    jobs: &'a Jobs<S, D>,
    id: &'a JobId,
    item: &'a Item,
    partial_outputs: &'a PartialOutputs,
    counts: AttemptCounts,
    /// Whether the start of the current attempt was persisted.
    is_start_saved: bool,
    /// Consecutive interruptions without a new event.
    interruptions: u32,
    avoided_backends: Vec<BackendId>,
    /// Largest number of events after which a trial was interrupted.
    trial_interrupted_after: u64,
    backoff: Backoff,
    /// Whether the delay because of attempts with an unknown outcome is over for the next attempt.
    is_pending_backoff_over: bool,
    trial: Mutex<Option<Trial>>,
    /// Number of crashes with which the item has passed a trial.
    passed_crashes: AtomicUsize,
}

impl<'a, S: RowStore + ObjectStore, D: Dialect> ItemRunner<'a, S, D> {
    /// Creates the runner of an item that has not been attempted here yet.
    pub fn new(
        jobs: &'a Jobs<S, D>,
        id: &'a JobId,
        item: &'a Item,
        partial_outputs: &'a PartialOutputs,
    ) -> Self {
        ItemRunner {
            jobs,
            id,
            item,
            partial_outputs,
            counts: AttemptCounts::default(),
            is_start_saved: false,
            interruptions: 0,
            avoided_backends: Vec::new(),
            trial_interrupted_after: 0,
            backoff: Backoff::default(),
            is_pending_backoff_over: false,
            trial: Mutex::default(),
            passed_crashes: AtomicUsize::new(0),
        }
    }

    /// Runs the item until it has a result. `None`: its job was ended or has another owner.
    pub async fn run(mut self, job: &Job) -> Option<ListedResult> {
        let Some(target) = self.target() else {
            log::warn!(job = self.id.as_str(), item = self.item.id.as_str(); "item given up: its target is not a valid path");
            return Some(self.into_result(ItemState::GivenUp));
        };
        let headers = self.headers(job);
        self.counts = self.earlier_attempt_counts(job);
        let mut no_route_since: Option<Instant> = None;
        loop {
            if self.jobs.relay.clock.wall().0 >= job.give_up_unix_ms {
                return Some(self.into_result(ItemState::GivenUp));
            }
            if !self.is_still_owned() {
                return None;
            }
            let routes = self.jobs.relay.routes.load_full();
            let Some(route) = routes.find(&job.host, &job.path) else {
                let since = *no_route_since.get_or_insert_with(Instant::now);
                if routes.version() > 0 && since.elapsed() > Duration::from_millis(NO_ROUTE_MS) {
                    return Some(self.into_result(ItemState::GivenUp));
                }
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            };
            no_route_since = None;
            match self.counts.next_attempt(route.attempts) {
                AttemptDecision::Allowed => {}
                AttemptDecision::GiveUp => return Some(self.into_result(ItemState::GivenUp)),
                AttemptDecision::Backoff if self.is_pending_backoff_over => {}
                AttemptDecision::Backoff => {
                    self.back_off_after_pending_attempts(job).await;
                    continue;
                }
            }
            if self.back_off(job).await || !self.is_admitted(job).await {
                continue;
            }
            let events = self.events();
            let is_trial = self.trial.lock().is_some();
            let result = self.attempt_once(route, job, &target, &headers).await;
            self.trial.lock().take();
            if self.events() > events {
                self.interruptions = 0;
                self.counts.record_events();
            }
            match result {
                AttemptEnd::Complete => return Some(self.into_result(ItemState::Done)),
                AttemptEnd::Impossible => return Some(self.into_result(ItemState::GivenUp)),
                AttemptEnd::Suspended => {}
                AttemptEnd::Interrupted(failure) => {
                    if is_trial {
                        let interrupted_after = self.events() - events;
                        self.trial_interrupted_after =
                            self.trial_interrupted_after.max(interrupted_after);
                    }
                    self.is_pending_backoff_over = false;
                    self.jobs.relay.metrics.attempt_failed(failure.as_str());
                    log::info!(
                        job = self.id.as_str(), item = self.item.id.as_str(),
                        backend = self.avoided_backends.last().map(BackendId::as_str),
                        after = self.events(), losses = self.interruptions,
                        cause:? = failure;
                        "attempt of an item interrupted, resuming at another backend server"
                    );
                    self.delay_after_failure(job, failure);
                }
                AttemptEnd::ServerError => {
                    self.counts.record_failure();
                    self.write_counts(self.counts).await;
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                }
            }
        }
    }

    fn earlier_attempt_counts(&self, job: &Job) -> AttemptCounts {
        let written = self.partial_outputs.attempt_counts(&self.item.id);
        let mut counts = written.unwrap_or(AttemptCounts::without_record(job.lost_owners));
        if self.events() > 0 {
            counts.record_events();
        }
        counts
    }

    /// Without the store the item continues; a lost owner then costs one more attempt at most.
    async fn write_counts(&self, counts: AttemptCounts) {
        let write = self
            .jobs
            .store
            .write_attempt_counts(self.id, &self.item.id, &counts);
        let error = match tokio::time::timeout(Duration::from_millis(WRITE_LIMIT_MS), write).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {WRITE_LIMIT_MS} ms"),
        };
        log::info!(job = self.id.as_str(), item = self.item.id.as_str(); "attempt counts not written, item continues: {error}");
    }

    fn fingerprints(&self, job: &Job) -> RequestFingerprints {
        RequestFingerprints::of_opaque(&job.host, &self.item.target, &self.item.body)
    }

    fn events(&self) -> u64 {
        self.partial_outputs.last(&self.item.id)
    }

    fn resume_after(&self) -> Option<u64> {
        Some(self.events()).filter(|events| *events > 0)
    }

    fn is_still_owned(&self) -> bool {
        let cached = self.jobs.cache.get(self.id);
        cached.is_some_and(|cached| cached.job.is_open() && cached.job.owner == *self.jobs.me())
    }

    fn target(&self) -> Option<PathAndQuery> {
        PathAndQuery::try_from(self.item.target.as_str()).ok()
    }

    fn headers(&self, job: &Job) -> HeaderMap {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.item.headers {
            let pair = (HeaderName::try_from(name), HeaderValue::try_from(value));
            let (Ok(name), Ok(value)) = pair else {
                log::warn!(item = self.item.id.as_str(); "dropping invalid header {name:?} of an item");
                continue;
            };
            headers.insert(name, value);
        }
        if let Ok(host) = HeaderValue::try_from(&job.host) {
            headers.insert(header::HOST, host);
        }
        headers
    }

    fn into_result(self, state: ItemState) -> ListedResult {
        let outcome = match state {
            ItemState::Done => "done",
            ItemState::GivenUp => "given_up",
        };
        self.jobs.relay.metrics.item_outcome(outcome);
        log::info!(
            job = self.id.as_str(), item = self.item.id.as_str(), outcome = outcome,
            failures = self.counts.failed, events = self.events(); "item finished"
        );
        let output = self.partial_outputs.get(&self.item.id);
        self.partial_outputs.remove(&self.item.id);
        let text = match state {
            ItemState::Done => String::from_utf8_lossy(&output.text).into_owned(),
            ItemState::GivenUp => String::new(),
        };
        ListedResult {
            item: self.item.id.clone(),
            state,
            text,
        }
    }

    async fn attempt_once(
        &mut self,
        route: &Route,
        job: &Job,
        target: &PathAndQuery,
        headers: &HeaderMap,
    ) -> AttemptEnd {
        let relay = &self.jobs.relay;
        let service = route.service(rand::random()).clone();
        let left_ms = job.due_unix_ms.saturating_sub(relay.clock.wall().0);
        let query = SlotQuery {
            pool: &service,
            urgency: Urgency::Batch,
            slack_ms: left_ms
                .saturating_sub(self.jobs.item_durations().remaining_ms(self.events())),
            avoid: &self.avoided_backends,
            deadline: Instant::now() + Duration::from_millis(SLOT_TIMEOUT_MS),
            version: None,
        };
        let (slot, backend) = match relay.acquire_slot(&query).await {
            Ok(granted) => granted,
            Err(SlotError::TimedOut | SlotError::VersionGone) => {
                self.avoided_backends.clear();
                return AttemptEnd::Suspended;
            }
            Err(SlotError::Refused { .. }) => {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                return AttemptEnd::Suspended;
            }
        };
        self.is_start_saved = self.events() == 0 && self.counts.must_record_start(job.lost_owners);
        if self.is_start_saved {
            self.write_counts(self.counts.with_pending_attempt()).await;
        }
        if !self.is_still_owned() {
            return AttemptEnd::Suspended;
        }
        self.avoided_backends.clear();
        let (started, events) = (Instant::now(), self.events());
        let evidence = relay.begin_attempt(self.fingerprints(job), &backend, self.resume_after());
        let result = self.send(job, target, headers, &backend, &slot).await;
        relay
            .metrics
            .attempt_ended(&backend.id, AttemptOutcome::from(&result), started);
        let took_ms = started.elapsed().as_millis() as u64;
        self.jobs
            .item_durations()
            .record_attempt(self.events() - events, took_ms);
        let outcome = match &result {
            AttemptEnd::Complete => {
                evidence.completed();
                self.jobs.item_durations().record_finished(self.events());
                SlotOutcome::Done { held_ms: took_ms }
            }
            AttemptEnd::Interrupted(failure) => {
                self.avoided_backends.push(backend.id.clone());
                evidence.failed(*failure);
                failure.outcome()
            }
            AttemptEnd::ServerError => {
                self.avoided_backends.push(backend.id.clone());
                evidence.failed(AttemptFailure::Failed);
                SlotOutcome::Abandoned
            }
            AttemptEnd::Impossible => {
                evidence.completed();
                SlotOutcome::Abandoned
            }
            AttemptEnd::Suspended => SlotOutcome::Abandoned,
        };
        slot.close(outcome);
        result
    }

    async fn send(
        &self,
        job: &Job,
        target: &PathAndQuery,
        headers: &HeaderMap,
        backend: &BackendServer,
        slot: &Slot,
    ) -> AttemptEnd {
        let relay = &self.jobs.relay;
        let body = Bytes::copy_from_slice(&self.item.body);
        let request = UpstreamRequest {
            request_id: &self.item.id,
            method: &Method::POST,
            target,
            headers,
            body: &body,
            after_event: self.resume_after(),
            is_idempotent: true,
        };
        let left_ms = job.give_up_unix_ms.saturating_sub(relay.clock.wall().0);
        let deadline = Instant::now() + Duration::from_millis(left_ms);
        let head_deadline = deadline.min(Instant::now() + Duration::from_millis(EVENT_TIMEOUT_MS));
        let response_head = relay.send_to(backend, &request, deadline, head_deadline);
        let sent = tokio::select! {
            // A response that has arrived counts even if the slot is preempted at the same moment.
            biased;
            sent = response_head => sent,
            () = slot.preempted() => return AttemptEnd::Suspended,
        };
        match sent {
            Err(failure) => AttemptEnd::Interrupted(failure),
            Ok((response, _)) if relay.dialect.is_impossible(response.status()) => {
                log::info!(
                    job = self.id.as_str(), item = self.item.id.as_str(),
                    backend = backend.id.as_str();
                    "backend server reports that the item can never be completed, giving it up"
                );
                AttemptEnd::Impossible
            }
            Ok((response, connection)) if response.status().is_success() => {
                let body = response.into_body();
                self.read(body, connection, slot, deadline).await
            }
            Ok((response, connection)) => {
                let status = response.status();
                log::info!(
                    job = self.id.as_str(), item = self.item.id.as_str(),
                    backend = backend.id.as_str(), status = status.as_u16(),
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

    async fn read(
        &self,
        body: hyper::body::Incoming,
        connection: BusyConnection,
        slot: &Slot,
        deadline: Instant,
    ) -> AttemptEnd {
        let mut reader = EventReader::new(body, connection, self.resume_after());
        let start = self.partial_outputs.get(&self.item.id).position();
        let mut events = 0;
        loop {
            let read = tokio::select! {
                read = reader.read_event(EVENT_TIMEOUT_MS, deadline) => read,
                () = slot.preempted() => {
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
                    slot.record_activity();
                    if !self.append_event(&event, reader.last_id()) {
                        self.drop_output_after(start);
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
                }
                StreamRead::End => {
                    reader.close();
                    return AttemptEnd::Complete;
                }
                StreamRead::Closed => return AttemptEnd::Interrupted(AttemptFailure::Closed),
                StreamRead::Broken => return AttemptEnd::Interrupted(AttemptFailure::Broken),
                StreamRead::Silent => return AttemptEnd::Interrupted(AttemptFailure::Silent),
            }
        }
    }

    /// Appends an event to the output. Returns `false` if the output has become too large.
    fn append_event(&self, event: &RawEvent, id: Option<u64>) -> bool {
        let mut is_within = true;
        self.partial_outputs.update(&self.item.id, |output| {
            push_data(&mut output.text, event, output.last == 0);
            output.last = id.unwrap_or(output.last + 1);
            is_within = output.text.len() <= MAX_OUTPUT_BYTES;
        });
        is_within
    }

    /// Drops what an attempt has added, because its backend server does not end its response.
    fn drop_output_after(&self, start: (usize, u64)) {
        log::warn!(
            job = self.id.as_str(), item = self.item.id.as_str();
            "output of an item exceeds {MAX_OUTPUT_BYTES} bytes, dropping its last attempt"
        );
        let drop_tail = |output: &mut PartialOutput| output.truncate(start);
        self.partial_outputs.update(&self.item.id, drop_tail);
    }
}
