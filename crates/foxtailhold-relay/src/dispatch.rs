//! Opaque requests: which backend server, how often, until when.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold_http::body;
use foxtailhold_http::clock::Clock;
use http::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::attempts::Attempts;
use crate::connections::InUse;
use crate::dialect::Dialect;
use crate::events::{EventReader, Step};
use crate::fleet::BackendServer;
use crate::metrics::RunEnd;
use crate::peers::{NoPlace, Place, PlaceQuery};
use crate::plain::PlainLoads;
use crate::relay::{FIRST_EVENT_PATIENCE_MS, LostRun, PLAIN_RETRY_AFTER_MS, Relay, exchange};
use crate::request::{NotRunReason, OpaqueRequest, RelayOutcome, Unserved};
use crate::stream::{Leg, Pump};
use crate::upstream::{self, Miss};

/// The answer must be on its way this long before the caller gives up.
const RETURN_MS: u64 = 15;
/// An idempotent whole answer is tried elsewhere after so many objectives.
const WHOLE_PATIENCE_OBJECTIVES: u64 = 2;
/// Callers come back after this time where no backend server is known.
const NO_BACKEND_RETRY_AFTER_MS: u64 = 400;

/// The way of one request so far.
#[derive(Debug)]
pub struct Progress {
    /// How often it ran.
    pub attempts: Attempts,
    /// Who answered.
    pub served_by: Option<BackendId>,
    /// Time spent waiting for places.
    pub waited_ms: u64,
}

impl Progress {
    fn new(request: &OpaqueRequest, route: &Route) -> Self {
        let mut left_ms = u64::MAX >> 20;
        if route.timeout_ms > 0 {
            left_ms = route.timeout_ms;
        }
        if let Some(caller_timeout_ms) = request.caller_timeout_ms {
            left_ms = left_ms.min(caller_timeout_ms.saturating_sub(RETURN_MS));
        }
        Progress {
            attempts: Attempts::new(request.received + Duration::from_millis(left_ms)),
            served_by: None,
            waited_ms: 0,
        }
    }

    fn unserved(&self, reason: NotRunReason, retry_after_ms: u64) -> Unserved {
        if self.attempts.runs == 0 {
            return Unserved::NotRun {
                reason,
                retry_after_ms,
            };
        }
        if Instant::now() >= self.attempts.until {
            return Unserved::TimedOut;
        }
        Unserved::MayHaveRun
    }
}

impl<D: Dialect> Relay<D> {
    /// Answers a request of a route.
    pub async fn serve(self: &Arc<Self>, route: &Route, request: OpaqueRequest) -> RelayOutcome {
        let mut progress = Progress::new(&request, route);
        if let Some(retry_after_ms) = self.refused_ms(&request) {
            let reason = NotRunReason::Crashing;
            let answer = RelayOutcome::Unserved(progress.unserved(reason, retry_after_ms));
            self.note(route, &request.id, request.received, &progress, &answer);
            return answer;
        }
        let service = route.service(rand::random()).clone();
        let is_engine = self
            .routes
            .load()
            .service(&service)
            .is_some_and(|bounds| bounds.is_engine);
        let (id, received) = (request.id.clone(), request.received);
        let answer = if is_engine {
            self.serve_engine(route, &service, request, &mut progress)
                .await
        } else {
            self.serve_plain(route, &service, &request, &mut progress)
                .await
        };
        self.note(route, &id, received, &progress, &answer);
        answer
    }

    fn note(
        &self,
        route: &Route,
        id: &str,
        received: Instant,
        progress: &Progress,
        answer: &RelayOutcome,
    ) {
        let outcome = match answer {
            RelayOutcome::Served(_) => "served",
            RelayOutcome::Unserved(Unserved::NotRun { .. }) => "not_run",
            RelayOutcome::Unserved(Unserved::MayHaveRun) => "may_have_run",
            RelayOutcome::Unserved(Unserved::TimedOut) => "timed_out",
        };
        let took_ms = received.elapsed().as_millis() as u64;
        self.metrics.answered(&route.name, outcome, took_ms);
        let (reason, retry_after_ms) = match answer {
            RelayOutcome::Unserved(Unserved::NotRun {
                reason,
                retry_after_ms,
            }) => (Some(*reason), Some(*retry_after_ms)),
            _ => (None, None),
        };
        if let Some(reason) = reason {
            self.metrics.refused(reason);
        }
        let now = self.clock.mono();
        let allocator = self
            .peers
            .members()
            .allocator(now)
            .map(|m| m.instance.clone());
        log::info!(
            request = id,
            route = route.name.as_str(),
            outcome = outcome,
            reason = reason.map(NotRunReason::as_str),
            took_ms = took_ms,
            waited_ms = progress.waited_ms,
            backend = progress.served_by.as_ref().map(BackendId::as_str),
            retry_after_ms = retry_after_ms,
            allocator = allocator.as_ref().map_or("self", |instance| instance.as_str()),
            attempts = progress.attempts.runs,
            not_run = progress.attempts.not_run,
            missed = progress.attempts.tried_names(),
            config = self.routes.load().version();
            "answered"
        );
    }

    /// Notes a lost run; `true`: the request may run once more.
    fn may_go_on(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        progress: &mut Progress,
        backend: &BackendServer,
        miss: Miss,
    ) -> bool {
        let lost = LostRun {
            backend,
            cause: miss,
            events: 0,
        };
        self.note_miss(request, &lost, &progress.attempts);
        let may_go_on = progress.attempts.lost(miss, &backend.id, route);
        may_go_on && self.refused_ms(request).is_none()
    }

    async fn serve_plain(
        &self,
        route: &Route,
        service: &TargetName,
        request: &OpaqueRequest,
        progress: &mut Progress,
    ) -> RelayOutcome {
        loop {
            let now = self.clock.mono();
            let chosen = {
                let backends = self.backends.load();
                let (all, zone) = (backends.of(service), self.peers.zone());
                let tried = &progress.attempts.tried;
                self.plain.choose(now, all, tried, zone, rand::random())
            };
            let Some(backend) = chosen else {
                let reason = NotRunReason::NoBackend;
                return RelayOutcome::Unserved(
                    progress.unserved(reason, NO_BACKEND_RETRY_AFTER_MS),
                );
            };
            let mut counted = Counted {
                loads: &self.plain,
                clock: &self.clock,
                backend: &backend.id,
                outcome: SlotOutcome::Abandoned,
            };
            let begun = Instant::now();
            let unsettled = self.watch_run(request, &backend);
            let exchanged = self.whole(route, request, progress, &backend).await;
            unsettled.settle();
            match exchanged {
                Ok(response) => {
                    let load = self.dialect.load(response.headers());
                    if let Some(load) = load {
                        self.plain.told(self.clock.mono(), &backend.id, load);
                    }
                    let has_failed = response.status().is_server_error();
                    self.metrics
                        .run_ended(&backend.id, whole_end(has_failed), begun);
                    counted.outcome = match has_failed {
                        true => SlotOutcome::Broken,
                        false => SlotOutcome::Done { held_ms: 0 },
                    };
                    if !has_failed {
                        self.note_run(|| request.fingerprint());
                    }
                    let is_final = !has_failed
                        || !self.may_go_on(route, request, progress, &backend, Miss::Failed);
                    if is_final {
                        progress.served_by = Some(backend.id.clone());
                        return self.passed_on(response.map(body::whole));
                    }
                }
                Err(miss) => {
                    self.metrics
                        .run_ended(&backend.id, RunEnd::Lost(miss), begun);
                    counted.outcome = miss.outcome();
                    if !self.may_go_on(route, request, progress, &backend, miss) {
                        let reason = NotRunReason::NotTaken;
                        return RelayOutcome::Unserved(
                            progress.unserved(reason, PLAIN_RETRY_AFTER_MS),
                        );
                    }
                }
            }
        }
    }

    async fn whole(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        progress: &Progress,
        backend: &BackendServer,
    ) -> Result<Response<bytes::Bytes>, Miss> {
        let patience_ms = route.objective_ms * WHOLE_PATIENCE_OBJECTIVES;
        let patience_until = progress.attempts.patience_until(route, patience_ms);
        let sent = exchange(request, route, request.after_event);
        let (response, in_use) = self
            .send_to(backend, &sent, progress.attempts.until, patience_until)
            .await?;
        upstream::read_whole(response, in_use, patience_until).await
    }

    /// Marks an answer as the backend server's own.
    fn passed_on(&self, mut response: Response<body::AnswerBody>) -> RelayOutcome {
        self.dialect.strip(response.headers_mut());
        RelayOutcome::Served(response)
    }

    async fn serve_engine(
        self: &Arc<Self>,
        route: &Route,
        service: &TargetName,
        request: OpaqueRequest,
        progress: &mut Progress,
    ) -> RelayOutcome {
        loop {
            let spent_ms = request.received.elapsed().as_millis() as u64;
            let asked = Instant::now();
            let (place, backend) = {
                let query = PlaceQuery {
                    pool: service,
                    urgency: Urgency::Online {
                        priority: route.priority,
                    },
                    slack_ms: route.objective_ms.saturating_sub(spent_ms),
                    avoid: &progress.attempts.tried,
                    until: progress.attempts.until,
                };
                let found = self.place(&query).await;
                progress.waited_ms += asked.elapsed().as_millis() as u64;
                match found {
                    Ok(found) => found,
                    Err(NoPlace::Refused { retry_after_ms }) => {
                        let reason = NotRunReason::NoPlace;
                        return RelayOutcome::Unserved(progress.unserved(reason, retry_after_ms));
                    }
                    Err(NoPlace::TimedOut) => {
                        let reason = NotRunReason::Waited;
                        return RelayOutcome::Unserved(
                            progress.unserved(reason, PLAIN_RETRY_AFTER_MS),
                        );
                    }
                }
            };
            let begun = Instant::now();
            progress.served_by = Some(backend.id.clone());
            let unsettled = self.watch_run(&request, &backend);
            let opened = self.open(route, &request, progress, &backend, &place).await;
            unsettled.settle();
            match opened {
                Ok(Opened::Whole(response)) => {
                    let has_failed = response.status().is_server_error();
                    self.metrics
                        .run_ended(&backend.id, whole_end(has_failed), begun);
                    place.close(match has_failed {
                        true => SlotOutcome::Broken,
                        false => SlotOutcome::Done {
                            held_ms: begun.elapsed().as_millis() as u64,
                        },
                    });
                    if !has_failed {
                        self.note_run(|| request.fingerprint());
                    } else if self.may_go_on(route, &request, progress, &backend, Miss::Failed) {
                        continue;
                    }
                    return self.passed_on(response.map(body::whole));
                }
                Ok(Opened::Stream(head, reader, first)) => {
                    let (sender, stream) = body::streamed();
                    let pump = Pump {
                        relay: Arc::clone(self),
                        route: route.clone(),
                        service: service.clone(),
                        request,
                        attempts: progress.attempts.clone(),
                    };
                    let leg = Leg {
                        place,
                        backend,
                        begun,
                        reader,
                        events: 0,
                    };
                    tokio::spawn(pump.run(sender, leg, first));
                    let response = Response::from_parts(head, stream);
                    return self.passed_on(response);
                }
                Err(miss) => {
                    self.metrics
                        .run_ended(&backend.id, RunEnd::Lost(miss), begun);
                    place.close(miss.outcome());
                    progress.served_by = None;
                    if !self.may_go_on(route, &request, progress, &backend, miss) {
                        let reason = NotRunReason::NotTaken;
                        return RelayOutcome::Unserved(
                            progress.unserved(reason, PLAIN_RETRY_AFTER_MS),
                        );
                    }
                }
            }
        }
    }

    async fn open(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        progress: &Progress,
        backend: &BackendServer,
        place: &Place,
    ) -> Result<Opened, Miss> {
        let patience_until = progress
            .attempts
            .patience_until(route, FIRST_EVENT_PATIENCE_MS);
        let sent = exchange(request, route, request.after_event);
        let (response, in_use) = self
            .send_to(backend, &sent, progress.attempts.until, patience_until)
            .await?;
        place.sign();
        if !route.kind.is_stream() || !response.status().is_success() {
            let whole = upstream::read_whole(response, in_use, progress.attempts.until).await?;
            return Ok(Opened::Whole(whole));
        }
        self.first_event(response, in_use, request.after_event, patience_until)
            .await
    }

    async fn first_event(
        &self,
        response: Response<Incoming>,
        in_use: InUse,
        after: Option<u64>,
        patience_until: Instant,
    ) -> Result<Opened, Miss> {
        let (head, body) = response.into_parts();
        let mut reader = EventReader::new(body, in_use, after);
        let patience_ms = patience_until
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        match reader.next(patience_ms, patience_until).await {
            Step::Silent => Err(Miss::Silent),
            Step::Closed => Err(Miss::Closed),
            Step::Broken => Err(Miss::Broken),
            first => Ok(Opened::Stream(head, Box::new(reader), first)),
        }
    }
}

fn whole_end(has_failed: bool) -> RunEnd {
    match has_failed {
        true => RunEnd::Lost(Miss::Failed),
        false => RunEnd::Done,
    }
}

enum Opened {
    Whole(Response<bytes::Bytes>),
    Stream(http::response::Parts, Box<EventReader>, Step),
}

/// A request counted at a plain backend server until it ends, also where its caller leaves.
struct Counted<'a> {
    loads: &'a PlainLoads,
    clock: &'a Clock,
    backend: &'a BackendId,
    outcome: SlotOutcome,
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        let now = self.clock.mono();
        self.loads
            .done(now, self.backend, self.outcome, rand::random());
    }
}
