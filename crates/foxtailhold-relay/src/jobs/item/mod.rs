//! Runs one batch item, from its first slot request to its result.

mod attempt;
mod backoff;
mod silence;
mod version;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use foxtailhold::absence::Absence;
use foxtailhold::attempt_counts::{AttemptCounts, AttemptDecision};
use foxtailhold::ids::{BackendId, JobId};
use foxtailhold::prompt_parts::SharedParts;
use foxtailhold::quarantine::RequestFingerprints;
use foxtailhold::time::MonoMs;
use foxtailhold_http::lock::Mutex;
use foxtailhold_platform::{Committed, ObjectStore, RowStore};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, header};

use crate::dialect::Dialect;
use crate::fleet::BackendServer;
use crate::item_waits::{ItemWait, WaitCause};
use crate::jobs::backoff::Backoff;
use crate::jobs::counts_writer::{CountsWrite, CountsWriter};
use crate::jobs::freshness::StartLeave;
use crate::jobs::store::attempt_counts_key;
use crate::jobs::{Item, ItemState, Job, JobError, Jobs, ListedResult, PartialOutputs, Result};
use crate::metrics::AttemptOutcome;
use crate::peers::Slot;
use crate::relay::Admission;
use crate::request::EvidenceKeys;
use crate::retry_delay::RetryDelay;
use crate::trials::TrialTicket;
use crate::upstream::AttemptFailure;
use attempt::{AttemptEnd, ItemRequest};
use backoff::{Trial, UnknownEnd};
use version::{Precedence, VersionWait};

/// Delay after a failed response.
const RETRY_DELAY_MS: u64 = 60;
/// An item is given up if its route has been missing from the configuration for this time.
const NO_ROUTE_MS: u64 = 5_000;
/// Time limit for writing attempt counts, many times the store's usual latency; the slot is held.
const WRITE_LIMIT_MS: u64 = 300;
/// First and longest delay before attempt counts are written again after a conflict.
const CONFLICT_DELAY_MS: (u64, u64) = (10, 100);
/// Name of the rows of attempt counts in metrics.
const COUNT_ROWS: &str = "attempt_counts";

/// A slot and the backend server at which it was granted.
type GrantedSlot = (Slot, Arc<BackendServer>);

/// Runs one item and keeps its partial output.
pub struct ItemRunner<'a, S, D> {
    jobs: &'a Jobs<S, D>,
    id: &'a JobId,
    item: &'a Item,
    partial_outputs: &'a PartialOutputs,
    counts_writer: &'a Arc<CountsWriter<S, D>>,
    counts: AttemptCounts,
    /// Version of the row of these counts as last known.
    counts_version: AtomicU64,
    /// Whether the start of the current attempt was persisted.
    is_start_saved: bool,
    /// Consecutive interruptions without a new event.
    interruptions: u32,
    /// Attempts since the last event that may have run and gave no response. Each may have been
    /// answered that the item can never be completed.
    unanswered: u32,
    avoided_backends: Vec<BackendId>,
    /// Slot for the next attempt, granted while the attempt before was silent.
    granted: Option<GrantedSlot>,
    /// Wait since the last granted slot.
    version_wait: VersionWait,
    /// Largest number of events after which a trial was interrupted.
    trial_interrupted_after: u64,
    backoff: Backoff,
    /// Attempts that ended without a result.
    unknown_ends: Vec<UnknownEnd>,
    /// Backoff because of these.
    unknown_backoff: Backoff,
    /// Whether the delay because of attempts with an unknown outcome is over for the next attempt.
    is_pending_backoff_over: bool,
    trial: Mutex<Option<Trial>>,
    /// Place among the items that wait for a trial.
    trial_ticket: Option<TrialTicket>,
    /// Trials, and probes in their stead, that ended with a crash.
    crashed_trials: u32,
    /// Trials in a row that ended before the item was sent.
    missed_trials: u32,
    /// When the item last ran, or became ready to run here.
    idle_since: MonoMs,
    /// Whether the current attempt was sent.
    is_sent: bool,
    /// Whether other items wait for what the current attempt shows.
    precedence: Precedence,
    /// Parts of its prompt that other requests may share.
    parts: SharedParts,
    /// Number of crashes with which the item has passed a trial.
    passed_crashes: AtomicUsize,
    /// What it waits for while it does not run.
    wait: ItemWait,
}

impl<'a, S: RowStore + ObjectStore, D: Dialect> ItemRunner<'a, S, D> {
    /// Creates the runner of an item that has not been attempted here yet.
    pub fn new(
        jobs: &'a Jobs<S, D>,
        id: &'a JobId,
        item: &'a Item,
        partial_outputs: &'a PartialOutputs,
        counts_writer: &'a Arc<CountsWriter<S, D>>,
    ) -> Self {
        ItemRunner {
            jobs,
            id,
            item,
            partial_outputs,
            counts_writer,
            counts: AttemptCounts::default(),
            counts_version: AtomicU64::new(0),
            is_start_saved: false,
            interruptions: 0,
            unanswered: 0,
            avoided_backends: Vec::new(),
            granted: None,
            version_wait: VersionWait::default(),
            trial_interrupted_after: 0,
            backoff: Backoff::default(),
            unknown_ends: Vec::new(),
            unknown_backoff: Backoff::default(),
            is_pending_backoff_over: false,
            trial: Mutex::default(),
            trial_ticket: None,
            crashed_trials: 0,
            missed_trials: 0,
            idle_since: jobs.relay.clock.mono(),
            is_sent: false,
            precedence: Precedence::None,
            parts: SharedParts::default(),
            passed_crashes: AtomicUsize::new(0),
            wait: jobs.relay.metrics.item_waits().of_item(id, &item.id),
        }
    }

    /// Runs the item until it has a result. `None`: its job was ended or has another owner.
    pub async fn run(mut self, job: &Job) -> Option<ListedResult> {
        let Some(target) = self.target() else {
            log::warn!(job = self.id.as_str(), item = self.item.id.as_str(); "item given up: its target is not a valid path");
            return Some(self.into_result(ItemState::GivenUp));
        };
        let headers = self.headers(job);
        self.parts = self.jobs.relay.dialect.shared_parts(&headers);
        self.counts = self.earlier_attempt_counts(job);
        let mut no_route: Option<Absence> = None;
        loop {
            if self.jobs.time_left_ms(job) == 0 {
                return Some(self.into_result(ItemState::GivenUp));
            }
            match self.jobs.start_leave(self.id) {
                StartLeave::Denied => return None,
                StartLeave::Unknown => {
                    self.wait_to_start().await;
                    continue;
                }
                StartLeave::Granted(_) => {}
            }
            // The copy that is read after this has what it had then.
            let as_of = self.jobs.routes_as_of();
            let routes = self.jobs.relay.routes.load_full();
            let as_of = as_of.filter(|_| routes.version() > 0);
            let Some(route) = routes.find(&job.host, &job.path) else {
                if self.has_no_route(&mut no_route, as_of) {
                    return Some(self.into_result(ItemState::GivenUp));
                }
                self.granted = None;
                self.trial_ticket = None;
                self.wait_for(WaitCause::Route, None);
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            };
            no_route = None;
            match self.counts.next_attempt(route.attempts) {
                AttemptDecision::Allowed => {}
                AttemptDecision::GiveUp => return Some(self.into_result(ItemState::GivenUp)),
                AttemptDecision::Backoff if self.is_pending_backoff_over => {}
                AttemptDecision::Backoff => {
                    self.back_off_after_pending_attempts(job).await;
                    continue;
                }
            }
            if self.back_off(job).await {
                continue;
            }
            let acquittals = self.jobs.relay.peers.crashes().acquittals();
            let service = route.active_services().next();
            let admission = match service {
                Some(service) => self.admit_parts(job, service),
                None => Admission::Free,
            };
            if let Admission::Refused { retry_after_ms } = admission {
                self.trial_ticket = None;
                self.granted = None;
                self.wait_for_parts(job, service, acquittals, retry_after_ms)
                    .await;
                continue;
            }
            // The first probe of a group runs alone.
            let is_first_probe = self.is_first_probe(job, service, admission);
            let crashes_to_try = self.crashes_to_try(job);
            if let Some(crashes) = crashes_to_try
                && !is_first_probe
                && !self.begin_trial(crashes)
            {
                self.release_reservation(admission);
                self.granted = None;
                self.wait_for_trial().await;
                continue;
            }
            self.trial_ticket = None;
            let is_trial = self.trial.lock().is_some();
            let is_first_trial = is_trial && self.crashed_trials == 0;
            self.precedence = match (
                is_first_probe,
                is_first_trial || admission == Admission::Probe,
            ) {
                (true, _) => Precedence::First,
                (false, true) => Precedence::BeforeItems,
                (false, false) => Precedence::None,
            };
            self.is_sent = false;
            let request = ItemRequest {
                job,
                target: &target,
                headers: &headers,
            };
            let (result, new_events) = self.attempt_once(route, request, admission).await;
            self.end_attempt(&result);
            if new_events > 0 {
                self.interruptions = 0;
                self.unanswered = 0;
                self.counts.record_events();
            }
            match result {
                AttemptEnd::Complete(_) => return Some(self.into_result(ItemState::Done)),
                AttemptEnd::Impossible => return Some(self.into_result(ItemState::GivenUp)),
                AttemptEnd::Suspended => {}
                AttemptEnd::Interrupted(failure) => {
                    if crashes_to_try.is_some() {
                        self.trial_interrupted_after = self.trial_interrupted_after.max(new_events);
                        self.crashed_trials += u32::from(failure == AttemptFailure::Closed);
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
                    self.wait_for(
                        WaitCause::Store,
                        Some(Duration::from_millis(WRITE_LIMIT_MS)),
                    );
                    self.write_counts(self.counts).await;
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                }
            }
        }
    }

    /// Notes that the item has no route, by a copy that has every change made before `as_of`. Returns
    /// whether that is known to last.
    fn has_no_route(&self, absence: &mut Option<Absence>, as_of: Option<MonoMs>) -> bool {
        let Some(as_of) = as_of else {
            return false;
        };
        let now = self.jobs.relay.clock.mono();
        let absence = absence.get_or_insert_with(|| Absence::new(now, as_of));
        absence.observe(now, as_of, self.jobs.bounds.no_route_ms);
        absence.known_ms() > NO_ROUTE_MS
    }

    /// Ends the trial that the attempt was, if it was one, and its claim to go first.
    fn end_attempt(&mut self, end: &AttemptEnd) {
        let outcome = match self.is_sent {
            true => AttemptOutcome::from(end).as_str(),
            false => "not_sent",
        };
        let is_trial_open = self.end_trial(outcome).is_some();
        if self.is_sent {
            self.missed_trials = 0;
            self.idle_since = self.jobs.relay.clock.mono();
        } else if is_trial_open {
            self.missed_trials += 1;
        }
    }

    fn earlier_attempt_counts(&self, job: &Job) -> AttemptCounts {
        let version = self.partial_outputs.attempt_counts_version(&self.item.id);
        self.counts_version.store(version, Ordering::Relaxed);
        let written = self.partial_outputs.attempt_counts(&self.item.id);
        let mut counts = written.unwrap_or(AttemptCounts::without_record(job.lost_owners));
        if self.events() > 0 {
            counts.record_events();
        }
        counts
    }

    /// Without the store the item continues; a lost owner then costs one more attempt at most.
    async fn write_counts(&self, counts: AttemptCounts) {
        let write = self.try_write_counts(counts);
        let error = match tokio::time::timeout(Duration::from_millis(WRITE_LIMIT_MS), write).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {WRITE_LIMIT_MS} ms"),
        };
        log::info!(job = self.id.as_str(), item = self.item.id.as_str(); "attempt counts not written, item continues: {error}");
    }

    /// Writes the counts while this instance owns the job. Rows that have changed meanwhile are those of
    /// listed results, or of an own write that had no answer.
    async fn try_write_counts(&self, counts: AttemptCounts) -> Result<()> {
        let key = attempt_counts_key(self.id, &self.item.id);
        let mut conflict_delay = RetryDelay::new(CONFLICT_DELAY_MS.0, CONFLICT_DELAY_MS.1);
        loop {
            let write = CountsWrite {
                item: self.item.id.clone(),
                counts,
                counts_version: self.counts_version.load(Ordering::Relaxed),
            };
            let current = match self.counts_writer.write(write).await? {
                None => return Ok(()),
                Some(Committed::At(version)) => {
                    self.counts_version.store(version, Ordering::Relaxed);
                    return Ok(());
                }
                Some(Committed::Conflict(rows)) => {
                    let row = rows.iter().find(|row| row.key == key);
                    row.map_or(0, |row| row.version)
                }
                Some(Committed::Refused(detail)) => {
                    self.jobs.relay.metrics.row_refused(COUNT_ROWS);
                    return Err(JobError::refused(detail));
                }
            };
            self.counts_version.store(current, Ordering::Relaxed);
            tokio::time::sleep(conflict_delay.next_delay()).await;
        }
    }

    /// States what the item waits for, at the longest for `limit` if that is known.
    fn wait_for(&mut self, cause: WaitCause, limit: Option<Duration>) {
        self.wait.begin(cause, self.jobs.relay.clock.wall(), limit);
    }

    fn fingerprints(&self, job: &Job) -> RequestFingerprints {
        RequestFingerprints::of_opaque(&job.host, &self.item.target, &self.item.body)
    }

    fn evidence_keys(&self, job: &Job) -> EvidenceKeys {
        EvidenceKeys {
            fingerprints: self.fingerprints(job),
            parts: self.parts.clone(),
            is_taken_up: false,
            is_owed: true,
        }
    }

    fn events(&self) -> u64 {
        self.partial_outputs.last(&self.item.id)
    }

    fn resume_after(&self) -> Option<u64> {
        Some(self.events()).filter(|events| *events > 0)
    }

    fn is_still_owned(&self) -> bool {
        self.jobs.owned_version(self.id).is_some()
    }

    /// Waits until it may be known whether the job has ended.
    async fn wait_to_start(&mut self) {
        self.granted = None;
        self.trial_ticket = None;
        self.wait_for(WaitCause::Store, None);
        if self.jobs.leave_to_start(self.id).await == StartLeave::Unknown {
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
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
        let output = self.partial_outputs.get(&self.item.id);
        let writer = output.last_writer();
        log::info!(
            job = self.id.as_str(), item = self.item.id.as_str(), outcome = outcome,
            failures = self.counts.failed, events = output.last(), runs = output.runs(),
            service = writer.map(|writer| writer.origin.service.as_str()),
            version = writer.map(|writer| writer.origin.version.as_str()),
            run = writer.map(|writer| writer.run.to_string());
            "item finished"
        );
        self.partial_outputs.remove(&self.item.id);
        let text = match state {
            ItemState::Done => String::from_utf8_lossy(output.text()).into_owned(),
            ItemState::GivenUp => String::new(),
        };
        ListedResult {
            item: self.item.id.clone(),
            state,
            text,
        }
    }
}
