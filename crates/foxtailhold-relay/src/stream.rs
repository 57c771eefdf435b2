//! Passes a stream on, and continues it elsewhere when its backend server is lost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::crashes::STABLE_AFTER_EVENTS;
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::Route;
use foxtailhold::slots::{SlotOutcome, Urgency};
use foxtailhold_http::body::AnswerSender;
use tokio::time::Instant;

use crate::attempts::Attempts;
use crate::dialect::Dialect;
use crate::events::{EventReader, Step};
use crate::fleet::BackendServer;
use crate::metrics::RunEnd;
use crate::peers::{Place, PlaceQuery};
use crate::relay::{FIRST_EVENT_PATIENCE_MS, LostRun, Relay, exchange, pause_patience_ms};
use crate::request::OpaqueRequest;
use crate::upstream::Miss;

/// A stream on its way to its caller.
#[derive(Debug)]
pub struct Pump<D> {
    /// What it needs to go on elsewhere.
    pub relay: Arc<Relay<D>>,
    /// Its route.
    pub route: Route,
    /// Its service.
    pub service: TargetName,
    /// The request.
    pub request: OpaqueRequest,
    /// How often it ran.
    pub attempts: Attempts,
}

/// A stream at one backend server.
#[derive(Debug)]
pub struct Leg {
    /// Its place there.
    pub place: Place,
    /// Where.
    pub backend: Arc<BackendServer>,
    /// When it began.
    pub begun: Instant,
    /// Its events.
    pub reader: Box<EventReader>,
    /// How many it has given.
    pub events: u64,
}

/// How one leg of the stream ended.
enum End {
    Complete,
    CallerGone,
    TimeOver,
    Lost(Miss),
}

impl From<&End> for RunEnd {
    fn from(end: &End) -> Self {
        match end {
            End::Complete => RunEnd::Done,
            End::CallerGone => RunEnd::CallerGone,
            End::TimeOver => RunEnd::TimeOver,
            End::Lost(miss) => RunEnd::Lost(*miss),
        }
    }
}

impl<D: Dialect> Pump<D> {
    /// Passes on all events.
    pub async fn run(mut self, sender: AnswerSender, mut leg: Leg, first: Step) {
        self.attempts.runs_now();
        let mut step = Some(first);
        loop {
            let end = self.pass(&sender, &mut leg, step.take()).await;
            let metrics = &self.relay.metrics;
            metrics.run_ended(&leg.backend.id, RunEnd::from(&end), leg.begun);
            if matches!(end, End::CallerGone | End::TimeOver) && leg.events < STABLE_AFTER_EVENTS {
                let fingerprint = self.request.fingerprint();
                self.relay.note_silent_run(fingerprint, &leg.backend);
            }
            let miss = match end {
                End::Complete => {
                    let held_ms = leg.begun.elapsed().as_millis() as u64;
                    leg.place.close(SlotOutcome::Done { held_ms });
                    leg.reader.close();
                    self.relay.note_run(|| self.request.fingerprint());
                    return;
                }
                End::CallerGone => {
                    log::info!(request = self.request.id.as_str(); "the caller left its stream");
                    return;
                }
                End::TimeOver => {
                    self.cut(sender, "its time is over").await;
                    return;
                }
                End::Lost(miss) => miss,
            };
            match self.go_on(leg, miss).await {
                Some(next) => leg = next,
                None => {
                    self.cut(sender, "its backend server was lost").await;
                    return;
                }
            }
        }
    }

    async fn cut(&self, sender: AnswerSender, why: &str) {
        self.relay.metrics.cut(&self.route.name);
        log::warn!(
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            attempts = self.attempts.runs,
            tried = self.attempts.tried_names();
            "a stream was cut: {why}"
        );
        sender.cut().await;
    }

    async fn pass(&self, sender: &AnswerSender, leg: &mut Leg, first: Option<Step>) -> End {
        let mut next = first;
        let patience_ms = match self.attempts.may_repeat(&self.route) {
            true => pause_patience_ms(&self.route),
            false => u64::from(u32::MAX),
        };
        loop {
            let step = match next.take() {
                Some(step) => step,
                None => tokio::select! {
                    step = leg.reader.next(patience_ms, self.attempts.until) => step,
                    () = sender.gone() => return End::CallerGone,
                },
            };
            match step {
                Step::Event(event) => {
                    leg.place.sign();
                    leg.events += 1;
                    if leg.events == STABLE_AFTER_EVENTS {
                        self.relay.note_run(|| self.request.fingerprint());
                    }
                    if !self.send(sender, event.raw).await {
                        return End::CallerGone;
                    }
                }
                Step::End => return End::Complete,
                Step::Closed => return End::Lost(Miss::Closed),
                Step::Broken => return End::Lost(Miss::Broken),
                Step::Silent if Instant::now() >= self.attempts.until => return End::TimeOver,
                Step::Silent => return End::Lost(Miss::Silent),
            }
        }
    }

    async fn send(&self, sender: &AnswerSender, bytes: Bytes) -> bool {
        let sent = tokio::time::timeout_at(self.attempts.until, sender.send(bytes)).await;
        sent.unwrap_or(false)
    }

    /// Notes a lost run; `true`: the stream may go on elsewhere.
    fn may_go_on(&mut self, backend: &BackendServer, cause: Miss, events: u64) -> bool {
        let lost = LostRun {
            backend,
            cause,
            events,
        };
        let (relay, request) = (&self.relay, &self.request);
        relay.note_miss(request, &lost, &self.attempts);
        let may_go_on = self.attempts.lost(cause, &backend.id, &self.route);
        may_go_on && relay.refused_ms(request).is_none()
    }

    /// The next leg after a lost one, where there may be one.
    async fn go_on(&mut self, lost: Leg, miss: Miss) -> Option<Leg> {
        let after = lost.reader.last_id();
        let mut may_go_on = self.may_go_on(&lost.backend, miss, lost.events);
        lost.place.close(miss.outcome());
        drop(lost.reader);
        while may_go_on {
            log::info!(
                request = self.request.id.as_str(),
                after = after,
                attempts = self.attempts.runs,
                lost = self.attempts.tried.last().map(BackendId::as_str);
                "a stream goes on elsewhere"
            );
            let (place, backend) = self.place().await?;
            let begun = Instant::now();
            match self.resume(&backend, after).await {
                Ok(reader) => {
                    self.attempts.runs_now();
                    return Some(Leg {
                        place,
                        backend,
                        begun,
                        reader,
                        events: 0,
                    });
                }
                Err(miss) => {
                    let metrics = &self.relay.metrics;
                    metrics.run_ended(&backend.id, RunEnd::Lost(miss), begun);
                    place.close(miss.outcome());
                    may_go_on = self.may_go_on(&backend, miss, 0);
                }
            }
        }
        None
    }

    async fn place(&self) -> Option<(Place, Arc<BackendServer>)> {
        let query = PlaceQuery {
            pool: &self.service,
            urgency: Urgency::Online { priority: 0 },
            slack_ms: u64::from(u32::MAX),
            avoid: &self.attempts.tried,
            until: self.attempts.until,
        };
        self.relay.place(&query).await.ok()
    }

    async fn resume(
        &self,
        backend: &BackendServer,
        after: Option<u64>,
    ) -> Result<Box<EventReader>, Miss> {
        let exchange = exchange(&self.request, &self.route, after);
        let patience = Duration::from_millis(FIRST_EVENT_PATIENCE_MS);
        let patience_until = self.attempts.until.min(Instant::now() + patience);
        let unsettled = self.relay.watch_run(&self.request, backend);
        let sent = self
            .relay
            .send_to(backend, &exchange, self.attempts.until, patience_until)
            .await;
        unsettled.settle();
        let (response, in_use) = sent?;
        if !response.status().is_success() {
            return Err(Miss::Failed);
        }
        let reader = EventReader::new(response.into_body(), in_use, after);
        Ok(Box::new(reader))
    }
}
