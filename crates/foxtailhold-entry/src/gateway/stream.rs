//! A streamed answer that goes on at another engine when its engine is lost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::quarantine::ProbeOutcome;
use foxtailhold::refusal::{Ran, Refusal, Result};
use foxtailhold::stall;
use foxtailhold::timeline::Event;
use foxtailhold_caller::gateway::EventSource;
use foxtailhold_engine::check::DONE_EVENT;
use foxtailhold_engine::{EngineAnswer, EngineError, EngineStream, Resume, TokenEvent};
use foxtailhold_platform::Platform;
use tokio::time::Instant;

use crate::backends::{Cell, InFlight};
use crate::crashes::TrialGuard;
use crate::gateway::dispatch::{self, Opened, Outgoing, Tries};
use crate::limits::Admitted;
use crate::online;
use crate::shared::Shared;

/// The part of a stream that comes from one engine.
#[derive(Debug)]
struct Leg<P: Platform> {
    cell: Arc<Cell>,
    in_flight: InFlight,
    trial: Option<TrialGuard<P>>,
    stream: EngineStream,
    begun: Instant,
    last_event: Option<Instant>,
    events: u64,
}

/// Events after which an engine that failed before is trusted again.
const PROVEN_EVENTS: u64 = 16;

impl<P: Platform> Leg<P> {
    /// The leg that an answer begins, `None` where it came in one piece.
    fn new(opened: Opened<P>) -> Option<Self> {
        let EngineAnswer::Stream(stream) = opened.answer else {
            return None;
        };
        Some(Leg {
            cell: opened.cell,
            in_flight: opened.in_flight,
            trial: opened.trial,
            stream,
            begun: Instant::now(),
            last_event: None,
            events: 0,
        })
    }

    /// How long the engine may be silent.
    fn bound_ms(&self, prompt_bytes: u64) -> u64 {
        let (load, pace) = (self.cell.load(), self.cell.pace());
        let first_ms = stall::first_event_bound_ms(&load, pace, prompt_bytes);
        match self.last_event {
            None => first_ms,
            Some(_) => stall::next_event_bound_ms(pace),
        }
    }

    async fn next(&mut self, bound_ms: u64) -> std::result::Result<TokenEvent, EngineError> {
        let wait = Duration::from_millis(bound_ms);
        let event = match tokio::time::timeout(wait, self.stream.next()).await {
            Ok(event) => event?,
            Err(_) => return Err(EngineError::Stalled { bound_ms }),
        };
        let event = event.ok_or(EngineError::Unfinished)?;
        self.arrived();
        Ok(event)
    }

    fn arrived(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_event.replace(now) {
            self.cell.note_gap(now - last);
        }
        self.events += 1;
        if self.events == PROVEN_EVENTS {
            self.cell.succeeded();
        }
        if let Some(trial) = self.trial.take_if(|trial| !trial.is_strict()) {
            trial.close(ProbeOutcome::Survived);
        }
    }

    /// Ends the leg after the last event. Closing the stream frees the engine at once.
    fn close(self) {
        self.cell.succeeded();
        self.cell.note_service(self.begun.elapsed());
        if let Some(trial) = self.trial {
            trial.close(ProbeOutcome::Survived);
        }
        self.stream.close();
    }
}

/// A stream towards a caller.
#[derive(Debug)]
pub struct EntryStream<P: Platform> {
    shared: Shared<P>,
    outgoing: Outgoing,
    tries: Tries,
    leg: Option<Leg<P>>,
    tokens: u64,
    tokens_at_loss: u64,
    text: String,
    finished: bool,
    admitted: Admitted,
}

impl<P: Platform> EntryStream<P> {
    /// A stream that has begun; an answer in one piece gives an empty one.
    pub fn new(
        shared: Shared<P>,
        outgoing: Outgoing,
        tries: Tries,
        opened: Opened<P>,
        admitted: Admitted,
    ) -> Self {
        EntryStream {
            shared,
            outgoing,
            tries,
            leg: Leg::new(opened),
            tokens: 0,
            tokens_at_loss: 0,
            text: String::new(),
            finished: false,
            admitted,
        }
    }

    /// What is known of the request's effect.
    fn ran(&self) -> Ran {
        if self.tokens > 0 {
            return Ran::Ran;
        }
        Ran::MayHaveRun
    }

    /// Silence after which the engine is given up on; before the first event not past the deadline.
    fn bound_ms(&self, leg: &Leg<P>) -> Result<u64> {
        let bound_ms = leg.bound_ms(self.outgoing.body.len() as u64);
        if self.tokens > 0 {
            return Ok(bound_ms);
        }
        let left_ms = dispatch::time_left_ms(&self.shared, &self.outgoing, &self.tries)?;
        Ok(bound_ms.min(left_ms))
    }

    /// Gives the engine up and opens the rest of the stream at another one.
    async fn resume(&mut self, error: EngineError) -> Result<()> {
        if let Some(leg) = self.leg.take() {
            let Leg {
                cell,
                in_flight,
                trial,
                stream,
                ..
            } = leg;
            stream.close();
            dispatch::failed(&self.shared, &cell, &in_flight, trial, &error).await;
            self.tries.failed(&cell, error, self.shared.clock.mono());
        }
        self.tries.may_have_run = true;
        if self.tokens > self.tokens_at_loss {
            self.tries.progressed();
        }
        self.tokens_at_loss = self.tokens;
        self.shared.metrics.resumes.inc();
        let resume = Resume {
            tokens: self.tokens,
            text: &self.text,
        };
        let opened = dispatch::open(&self.shared, &self.outgoing, Some(resume), &mut self.tries);
        let opened = opened.await?;
        self.leg = Leg::new(opened);
        Ok(())
    }

    /// Ends the stream. An engine that was lost after its last token is no loss.
    fn end(&mut self, raw: Bytes) -> Option<Result<Bytes>> {
        if let Some(leg) = self.leg.take() {
            leg.close();
        }
        self.shared.timeline.note(Event::Answered {
            request: self.outgoing.id.clone(),
        });
        Some(Ok(raw))
    }

    fn fail(&mut self, refusal: Refusal) -> Option<Result<Bytes>> {
        self.leg = None;
        Some(Err(refusal.with_ran(self.ran())))
    }
}

impl<P: Platform> EventSource for EntryStream<P> {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        loop {
            let bound_ms = match self.bound_ms(self.leg.as_ref()?) {
                Ok(bound_ms) => bound_ms,
                Err(refusal) => return self.fail(refusal),
            };
            let error = match self.leg.as_mut()?.next(bound_ms).await {
                Ok(TokenEvent::Chunk {
                    raw,
                    text,
                    finished,
                    ..
                }) => {
                    if let (0, Some(leg)) = (self.tokens, &self.leg) {
                        let took_ms = leg.begun.elapsed().as_millis() as u64;
                        online::first_token(&self.shared, &leg.cell, took_ms);
                    }
                    self.tokens += 1;
                    self.admitted.generated(1);
                    self.text.push_str(&text);
                    self.finished |= finished;
                    return Some(Ok(raw));
                }
                Ok(TokenEvent::Done { raw }) => return self.end(raw),
                Err(error) => error,
            };
            if self.finished {
                log::info!("an engine was lost after its last token: {error}");
                return self.end(Bytes::from_static(DONE_EVENT));
            }
            if let Err(refusal) = self.resume(error).await {
                return self.fail(refusal);
            }
        }
    }
}
