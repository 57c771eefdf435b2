//! One batch item, from its first place to its result.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::attempt_counts::{AttemptCounts, AttemptDecision};
use foxtailhold::crashes::STABLE_AFTER_EVENTS;
use foxtailhold::ids::{BackendId, JobId};
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold_engine::sse::RawEvent;
use foxtailhold_platform::{ObjectStore, RowStore};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use tokio::time::Instant;

use crate::connections::InUse;
use crate::dialect::Dialect;
use crate::events::{EventReader, Step, push_data};
use crate::fleet::BackendServer;
use crate::jobs::backoff::CrashRest;
use crate::jobs::{Item, ItemState, Job, Jobs, ListedResult, Partials};
use crate::metrics::RunEnd;
use crate::peers::{NoPlace, Place, PlaceQuery};
use crate::upstream::{self, Exchange, Miss};

/// Without word for this time an engine counts as silent for an item, and the item goes on elsewhere.
const PATIENCE_MS: u64 = 900;
/// Pause after a failed run, and after the second loss in a row without a new event; it doubles with
/// each further one.
const PAUSE_MS: u64 = 60;
/// Longest pause: an item that meets broken answers only may not be given up before its time, and must not
/// keep engines busy until then. What crashes them rests by [`CrashRest`].
const MOST_PAUSE_MS: u64 = 8_000;
/// An item whose route is missing for this time, and so from the configuration, is given up.
const NO_ROUTE_MS: u64 = 5_000;
/// An item that rests looks at its route, job and time at this pause.
const REST_LOOK_MS: u64 = 1_000;
/// Time to persist an account, many times what the store usually takes; meanwhile the item holds
/// its place.
const WRITE_ACCOUNT_MS: u64 = 300;
/// Longest wait for one place; then route, job and time are looked at again.
const PLACE_WAIT_MS: u64 = 2_000;

/// What one run of an item came to.
enum Run {
    Complete,
    Impossible,
    Failed,
    /// Cut, lost, or not begun: it goes on after the last event.
    Unfinished,
    /// The backend servers had it but broke off.
    Lost(Miss),
}

impl From<&Run> for RunEnd {
    fn from(run: &Run) -> Self {
        match run {
            Run::Complete => RunEnd::Done,
            Run::Impossible => RunEnd::Impossible,
            Run::Failed => RunEnd::Lost(Miss::Failed),
            Run::Unfinished => RunEnd::Cut,
            Run::Lost(miss) => RunEnd::Lost(*miss),
        }
    }
}

/// An item with what it has given so far.
pub struct ItemRun<'a, S, D> {
    jobs: &'a Jobs<S, D>,
    id: &'a JobId,
    item: &'a Item,
    partials: &'a Partials,
    account: AttemptCounts,
    /// Whether the beginning of the present run was persisted.
    is_begin_recorded: bool,
    /// Losses in a row without a new event.
    vain_losses: u32,
    avoid: Vec<BackendId>,
    /// Where it ran last.
    last: Option<Arc<BackendServer>>,
    rest: CrashRest,
}

impl<'a, S: RowStore + ObjectStore, D: Dialect> ItemRun<'a, S, D> {
    /// An item that has not begun.
    pub fn new(
        jobs: &'a Jobs<S, D>,
        id: &'a JobId,
        item: &'a Item,
        partials: &'a Partials,
    ) -> Self {
        ItemRun {
            jobs,
            id,
            item,
            partials,
            account: AttemptCounts::default(),
            is_begin_recorded: false,
            vain_losses: 0,
            avoid: Vec::new(),
            last: None,
            rest: CrashRest::default(),
        }
    }

    /// Runs the item until it has a result. `None`: its job was ended or has another owner.
    pub async fn run(mut self, job: &Job) -> Option<ListedResult> {
        let Some(target) = self.target() else {
            log::warn!(job = self.id.as_str(), item = self.item.id.as_str(); "no path, given up");
            return Some(self.result(ItemState::GivenUp));
        };
        let headers = self.headers(job);
        self.account = self.account_of(job);
        let mut no_route_since: Option<Instant> = None;
        loop {
            if self.jobs.relay.clock.wall().0 >= job.give_up_unix_ms {
                return Some(self.result(ItemState::GivenUp));
            }
            if !self.is_wanted() {
                return None;
            }
            let routes = self.jobs.relay.routes.load_full();
            let Some(route) = routes.find(&job.host, &job.path) else {
                let since = *no_route_since.get_or_insert_with(Instant::now);
                if routes.version() > 0 && since.elapsed() > Duration::from_millis(NO_ROUTE_MS) {
                    return Some(self.result(ItemState::GivenUp));
                }
                tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
                continue;
            };
            no_route_since = None;
            match self.account.next_attempt(route.attempts) {
                AttemptDecision::Allowed => {}
                AttemptDecision::GiveUp => return Some(self.result(ItemState::GivenUp)),
                AttemptDecision::Backoff => {
                    self.rest_until_given_up(job).await;
                    continue;
                }
            }
            if self.rest_after_crashes(job).await {
                continue;
            }
            let events = self.events();
            let run = self.run_once(route, job, &target, &headers).await;
            if self.events() > events {
                self.vain_losses = 0;
                self.account.record_events();
            }
            match run {
                Run::Complete => return Some(self.result(ItemState::Done)),
                Run::Impossible => return Some(self.result(ItemState::GivenUp)),
                Run::Unfinished => {}
                Run::Lost(miss) => {
                    self.jobs.relay.metrics.run_lost(miss.as_str());
                    log::info!(
                        job = self.id.as_str(), item = self.item.id.as_str(),
                        backend = self.avoid.last().map(BackendId::as_str),
                        after = self.events(), losses = self.vain_losses,
                        cause:? = miss; "an item goes on elsewhere"
                    );
                    self.note_crash(job, miss, self.events() - events);
                    self.pause_after_loss(miss).await;
                }
                Run::Failed => {
                    self.account.record_failure();
                    self.write_account(self.account).await;
                    tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
                }
            }
        }
    }

    /// What is known of the runs at owners before.
    fn account_of(&self, job: &Job) -> AttemptCounts {
        let written = self.partials.account(&self.item.id);
        let mut account = written.unwrap_or(AttemptCounts::without_record(job.lost_owners));
        if self.events() > 0 {
            account.record_events();
        }
        account
    }

    /// Persists an account. Where the store is away the item goes on all the same: an owner that is
    /// lost meanwhile costs a run more at most.
    async fn write_account(&self, account: AttemptCounts) {
        let writing = self
            .jobs
            .store
            .write_account(self.id, &self.item.id, &account);
        let error =
            match tokio::time::timeout(Duration::from_millis(WRITE_ACCOUNT_MS), writing).await {
                Ok(Ok(())) => return,
                Ok(Err(error)) => error.to_string(),
                Err(_) => format!("no answer within {WRITE_ACCOUNT_MS} ms"),
            };
        log::info!(job = self.id.as_str(), item = self.item.id.as_str(); "account not written: {error}");
    }

    async fn rest_until_given_up(&self, job: &Job) {
        let left_ms = job
            .give_up_unix_ms
            .saturating_sub(self.jobs.relay.clock.wall().0);
        log::info!(
            job = self.id.as_str(), item = self.item.id.as_str(),
            open = self.account.pending, rest_ms = left_ms; "an item rests"
        );
        while self.is_wanted() && self.jobs.relay.clock.wall().0 < job.give_up_unix_ms {
            tokio::time::sleep(Duration::from_millis(REST_LOOK_MS)).await;
        }
    }

    fn fingerprint(&self, job: &Job) -> Fingerprint {
        Fingerprint::of_opaque(&job.host, &self.item.target, &self.item.body)
    }

    fn note_crash(&self, job: &Job, miss: Miss, events: u64) {
        if let Some(backend) = &self.last {
            let relay = &self.jobs.relay;
            relay.note_crash(self.fingerprint(job), backend, miss, events);
        }
    }

    /// Waits a while where the item has crashed backend servers and may not run yet. `true`: it waited,
    /// and its route, job and time may have changed.
    async fn rest_after_crashes(&mut self, job: &Job) -> bool {
        let relay = &self.jobs.relay;
        if relay.peers.crashes().is_empty() {
            return false;
        }
        let crashes = relay.peers.crashes().count(self.fingerprint(job));
        let left_ms = job.give_up_unix_ms.saturating_sub(relay.clock.wall().0);
        if let Some(rest_ms) = self.rest.begin(crashes, left_ms) {
            log::info!(
                job = self.id.as_str(), item = self.item.id.as_str(),
                crashes = crashes, rest_ms = rest_ms; "an item rests"
            );
        }
        let left = self.rest.left();
        if left.is_zero() {
            return false;
        }
        tokio::time::sleep(left.min(Duration::from_millis(REST_LOOK_MS))).await;
        true
    }

    /// Waits the longer the more often engines broke off without giving an event.
    async fn pause_after_loss(&mut self, miss: Miss) {
        if !matches!(miss, Miss::Closed | Miss::Broken) {
            return;
        }
        self.vain_losses += 1;
        if self.vain_losses < 2 {
            return;
        }
        let pause_ms = MOST_PAUSE_MS.min(PAUSE_MS << (self.vain_losses - 2).min(16));
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Events that the item has given.
    fn events(&self) -> u64 {
        self.partials.last(&self.item.id)
    }

    /// The event after which the item goes on.
    fn after(&self) -> Option<u64> {
        Some(self.events()).filter(|events| *events > 0)
    }

    fn is_wanted(&self) -> bool {
        let known = self.jobs.book.get(self.id);
        known.is_some_and(|known| known.job.is_open() && known.job.owner == *self.jobs.me())
    }

    fn target(&self) -> Option<PathAndQuery> {
        PathAndQuery::try_from(self.item.target.as_str()).ok()
    }

    fn headers(&self, job: &Job) -> HeaderMap {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.item.headers {
            let pair = (HeaderName::try_from(name), HeaderValue::try_from(value));
            let (Ok(name), Ok(value)) = pair else {
                log::warn!(item = self.item.id.as_str(); "header {name:?} is not valid");
                continue;
            };
            headers.insert(name, value);
        }
        if let Ok(host) = HeaderValue::try_from(&job.host) {
            headers.insert(header::HOST, host);
        }
        headers
    }

    fn result(self, state: ItemState) -> ListedResult {
        let outcome = match state {
            ItemState::Done => "done",
            ItemState::GivenUp => "given_up",
        };
        self.jobs.relay.metrics.item(outcome);
        log::info!(
            job = self.id.as_str(), item = self.item.id.as_str(), outcome = outcome,
            failures = self.account.failed, events = self.events(); "item finished"
        );
        let given = self.partials.get(&self.item.id);
        self.partials.remove(&self.item.id);
        let text = match state {
            ItemState::Done => String::from_utf8_lossy(&given.text).into_owned(),
            ItemState::GivenUp => String::new(),
        };
        ListedResult {
            item: self.item.id.clone(),
            state,
            text,
        }
    }

    async fn run_once(
        &mut self,
        route: &Route,
        job: &Job,
        target: &PathAndQuery,
        headers: &HeaderMap,
    ) -> Run {
        let relay = &self.jobs.relay;
        let service = route.service(rand::random()).clone();
        let left_ms = job.due_unix_ms.saturating_sub(relay.clock.wall().0);
        let query = PlaceQuery {
            pool: &service,
            urgency: Urgency::Batch,
            slack_ms: left_ms.saturating_sub(self.jobs.pace().remaining_ms(self.events())),
            avoid: &self.avoid,
            until: Instant::now() + Duration::from_millis(PLACE_WAIT_MS),
        };
        let (place, backend) = match relay.place(&query).await {
            Ok(found) => found,
            Err(NoPlace::TimedOut) => {
                self.avoid.clear();
                return Run::Unfinished;
            }
            Err(NoPlace::Refused { .. }) => {
                tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
                return Run::Unfinished;
            }
        };
        self.is_begin_recorded =
            self.events() == 0 && self.account.must_record_start(job.lost_owners);
        if self.is_begin_recorded {
            self.write_account(self.account.with_pending_attempt())
                .await;
        }
        if !self.is_wanted() {
            return Run::Unfinished;
        }
        self.avoid.clear();
        self.last = Some(Arc::clone(&backend));
        let (begun, events) = (Instant::now(), self.events());
        let run = self.exchange(job, target, headers, &backend, &place).await;
        relay
            .metrics
            .run_ended(&backend.id, RunEnd::from(&run), begun);
        let took_ms = begun.elapsed().as_millis() as u64;
        self.jobs
            .pace()
            .record_attempt(self.events() - events, took_ms);
        if matches!(run, Run::Unfinished) && self.events() - events < STABLE_AFTER_EVENTS {
            relay.note_silent_run(self.fingerprint(job), &backend);
        }
        let outcome = match &run {
            Run::Complete => {
                relay.note_run(|| self.fingerprint(job));
                self.jobs.pace().record_finished(self.events());
                SlotOutcome::Done { held_ms: took_ms }
            }
            Run::Lost(miss) => {
                self.avoid.push(backend.id.clone());
                miss.outcome()
            }
            Run::Failed => {
                self.avoid.push(backend.id.clone());
                SlotOutcome::Abandoned
            }
            Run::Impossible | Run::Unfinished => SlotOutcome::Abandoned,
        };
        place.close(outcome);
        run
    }

    async fn exchange(
        &self,
        job: &Job,
        target: &PathAndQuery,
        headers: &HeaderMap,
        backend: &BackendServer,
        place: &Place,
    ) -> Run {
        let relay = &self.jobs.relay;
        let body = Bytes::copy_from_slice(&self.item.body);
        let exchange = Exchange {
            request_id: &self.item.id,
            method: &Method::POST,
            target,
            headers,
            body: &body,
            after_event: self.after(),
            is_idempotent: true,
        };
        let left_ms = job.give_up_unix_ms.saturating_sub(relay.clock.wall().0);
        let until = Instant::now() + Duration::from_millis(left_ms);
        let patience_until = until.min(Instant::now() + Duration::from_millis(PATIENCE_MS));
        let sending = relay.send_to(backend, &exchange, until, patience_until);
        let sent = tokio::select! {
            // An answer that is there counts, also where the place is taken back at the same moment.
            biased;
            sent = sending => sent,
            () = place.yielded() => return Run::Unfinished,
        };
        match sent {
            Err(miss) => Run::Lost(miss),
            Ok((response, _)) if relay.dialect.is_impossible(response.status()) => {
                log::info!(
                    job = self.id.as_str(), item = self.item.id.as_str(),
                    backend = backend.id.as_str(); "item can never be done"
                );
                Run::Impossible
            }
            Ok((response, in_use)) if response.status().is_success() => {
                let body = response.into_body();
                self.read(job, body, in_use, place, until).await
            }
            Ok((response, in_use)) => {
                let status = response.status();
                log::info!(
                    job = self.id.as_str(), item = self.item.id.as_str(),
                    backend = backend.id.as_str(), status = status.as_u16(),
                    failures = self.account.failed, open = self.account.pending; "item failed"
                );
                if upstream::read_whole(response, in_use, until).await.is_err() {
                    log::debug!("the answer to a failed item broke off");
                }
                match status {
                    StatusCode::INTERNAL_SERVER_ERROR => Run::Failed,
                    _ => Run::Lost(Miss::Broken),
                }
            }
        }
    }

    async fn read(
        &self,
        job: &Job,
        body: hyper::body::Incoming,
        in_use: InUse,
        place: &Place,
        until: Instant,
    ) -> Run {
        let mut reader = EventReader::new(body, in_use, self.after());
        let mut events = 0;
        loop {
            let step = tokio::select! {
                step = reader.next(PATIENCE_MS, until) => step,
                () = place.yielded() => {
                    self.jobs.relay.metrics.item("cut");
                    log::info!(
                        job = self.id.as_str(), item = self.item.id.as_str(),
                        after = self.events(); "an item gives way"
                    );
                    return Run::Unfinished;
                }
            };
            match step {
                Step::Event(event) => {
                    place.sign();
                    self.take(&event, reader.last_id());
                    events += 1;
                    if events == 1 && self.is_begin_recorded {
                        let mut account = self.account;
                        account.record_events();
                        self.write_account(account).await;
                    }
                    if events == STABLE_AFTER_EVENTS {
                        self.jobs.relay.note_run(|| self.fingerprint(job));
                    }
                }
                Step::End => {
                    reader.close();
                    return Run::Complete;
                }
                Step::Closed => return Run::Lost(Miss::Closed),
                Step::Broken => return Run::Lost(Miss::Broken),
                Step::Silent => return Run::Lost(Miss::Silent),
            }
        }
    }

    fn take(&self, event: &RawEvent, id: Option<u64>) {
        self.partials.update(&self.item.id, |given| {
            push_data(&mut given.text, event, given.last == 0);
            given.last = id.unwrap_or(given.last + 1);
        });
    }
}
