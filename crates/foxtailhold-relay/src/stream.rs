//! Passes a stream on, and continues it elsewhere when its backend server is lost.

use std::sync::Arc;

use bytes::Bytes;
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::{Repeat, Route};
use foxtailhold::slots::{Outcome, Urgency};
use foxtailhold_http::body::AnswerSender;
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::events::{EventReader, Step};
use crate::exchange::Miss;
use crate::peers::{Place, PlaceQuery};
use crate::relay::{FIRST_EVENT_PATIENCE_MS, LostRun, Relay, exchange, pause_patience_ms};
use crate::request::OpaqueRequest;

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
    /// Backend servers that it was sent to before.
    pub tried: Vec<BackendId>,
    /// How many may have run it.
    pub attempts: u32,
    /// Until when it must end.
    pub until: Instant,
}

/// How one backend server's part of the stream ended.
enum Part {
    Complete,
    CallerGone,
    TimeOver,
    Lost(Miss),
}

impl<D: Dialect> Pump<D> {
    /// Passes on all events.
    pub async fn run(
        mut self,
        sender: AnswerSender,
        mut place: Place,
        mut begun: Instant,
        mut reader: Box<EventReader>,
        first: Step,
    ) {
        let mut step = Some(first);
        loop {
            let part = self.pass(&sender, &place, &mut reader, step.take()).await;
            let held_ms = begun.elapsed().as_millis() as u64;
            let miss = match part {
                Part::Complete => {
                    place.close(Outcome::Done { held_ms });
                    reader.close();
                    return;
                }
                Part::CallerGone => {
                    log::info!(request = self.request.id.as_str(); "the caller left its stream");
                    return;
                }
                Part::TimeOver => {
                    self.cut(sender, "its time is over").await;
                    return;
                }
                Part::Lost(miss) => miss,
            };
            let lost = place.backend().clone();
            place.close(miss.outcome());
            let after = reader.last_id();
            drop(reader);
            self.note_miss(&lost, miss, after);
            match self.go_on(lost, miss, after).await {
                Some(next) => (place, reader) = next,
                None => {
                    self.cut(sender, "its backend server was lost").await;
                    return;
                }
            }
            begun = Instant::now();
        }
    }

    fn note_miss(&self, backend: &BackendId, miss: Miss, after: Option<u64>) {
        let lost = LostRun {
            backend,
            cause: miss.as_str(),
            after,
            attempts: self.attempts,
            until: self.until,
        };
        self.relay.note_miss(&self.request, &lost);
    }

    async fn cut(&self, sender: AnswerSender, why: &str) {
        self.relay.metrics.cut(&self.route.name);
        log::warn!(
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            attempts = self.attempts,
            tried = self.tried.iter().map(BackendId::as_str).collect::<Vec<_>>().join(",");
            "a stream was cut: {why}"
        );
        sender.cut().await;
    }

    async fn pass(
        &self,
        sender: &AnswerSender,
        place: &Place,
        reader: &mut EventReader,
        first: Option<Step>,
    ) -> Part {
        let mut next = first;
        let patience_ms = match self.may_go_on() {
            true => pause_patience_ms(&self.route),
            false => u64::from(u32::MAX),
        };
        loop {
            let step = match next.take() {
                Some(step) => step,
                None => tokio::select! {
                    step = reader.next(patience_ms, self.until) => step,
                    () = sender.gone() => return Part::CallerGone,
                },
            };
            match step {
                Step::Event(event) => {
                    place.sign();
                    if !self.send(sender, event.raw).await {
                        return Part::CallerGone;
                    }
                }
                Step::End => return Part::Complete,
                Step::Closed => return Part::Lost(Miss::Closed),
                Step::Broken => return Part::Lost(Miss::Broken),
                Step::Silent if Instant::now() >= self.until => return Part::TimeOver,
                Step::Silent => return Part::Lost(Miss::Silent),
            }
        }
    }

    async fn send(&self, sender: &AnswerSender, bytes: Bytes) -> bool {
        let sent = tokio::time::timeout_at(self.until, sender.send(bytes)).await;
        sent.unwrap_or(false)
    }

    fn may_go_on(&self) -> bool {
        self.route.repeat == Repeat::ResumableStream && self.attempts < self.route.attempts.max(1)
    }

    async fn go_on(
        &mut self,
        lost: BackendId,
        miss: Miss,
        after: Option<u64>,
    ) -> Option<(Place, Box<EventReader>)> {
        self.tried.push(lost);
        let mut miss = miss;
        loop {
            if !self.may_go_on() || Instant::now() >= self.until {
                return None;
            }
            log::info!(
                request = self.request.id.as_str(),
                after = after,
                attempts = self.attempts,
                lost = self.tried.last().map(BackendId::as_str),
                cause:? = miss;
                "a stream goes on elsewhere"
            );
            let query = PlaceQuery {
                pool: &self.service,
                urgency: Urgency::Online { priority: 0 },
                slack_ms: u64::from(u32::MAX),
                avoid: &self.tried,
                until: self.until,
            };
            let (place, backend) = self.relay.place(&query).await.ok()?;
            let exchange = exchange(&self.request, &self.route, after);
            let patience = std::time::Duration::from_millis(FIRST_EVENT_PATIENCE_MS);
            let patience_until = self.until.min(Instant::now() + patience);
            let sent = self
                .relay
                .send_to(&backend, &exchange, self.until, patience_until);
            match sent.await {
                Ok((response, in_use)) if response.status().is_success() => {
                    self.attempts += 1;
                    let reader = EventReader::new(response.into_body(), in_use, after);
                    return Some((place, Box::new(reader)));
                }
                Ok(_) => {
                    place.close(Outcome::Broken);
                    self.attempts += 1;
                }
                Err(next) => {
                    miss = next;
                    self.note_miss(&backend.id, miss, after);
                    self.attempts += u32::from(next.may_have_run());
                    place.close(next.outcome());
                }
            }
            self.tried.push(backend.id.clone());
        }
    }
}
