//! A streamed answer that goes on at another engine when its engine is lost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::quarantine::ProbeOutcome;
use foxtailhold::refusal::{ExecutionStatus, Refusal, Result};
use foxtailhold::stall;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::gateway::EventSource;
use foxtailhold_engine::check::DONE_EVENT;
use foxtailhold_engine::{EngineAnswer, EngineError, EngineStream, Resume, TokenEvent};
use foxtailhold_platform::Platform;
use tokio::time::Instant;

use crate::backends::{BackendState, InFlightGuard};
use crate::crashes::ProbeGuard;
use crate::gateway::dispatch::{self, AttemptHistory, OutgoingRequest, StartedAnswer};
use crate::limits::AdmittedRequest;
use crate::online_load;
use crate::shared::Shared;

/// The part of a stream that comes from one engine.
#[derive(Debug)]
struct StreamAttempt<P: Platform> {
    server: Arc<BackendState>,
    in_flight: InFlightGuard,
    probe: Option<ProbeGuard<P>>,
    stream: EngineStream,
    begun: Instant,
    last_event: Option<Instant>,
    events: u64,
}

/// Events after which an engine that failed before is trusted again.
const PROVEN_EVENTS: u64 = 16;

impl<P: Platform> StreamAttempt<P> {
    /// The leg that an answer begins, `None` where it came in one piece.
    fn new(opened: StartedAnswer<P>) -> Option<Self> {
        let EngineAnswer::Stream(stream) = opened.answer else {
            return None;
        };
        Some(StreamAttempt {
            server: opened.server,
            in_flight: opened.in_flight,
            probe: opened.probe,
            stream,
            begun: Instant::now(),
            last_event: None,
            events: 0,
        })
    }

    /// How long the engine may be silent.
    fn bound_ms(&self, prompt_bytes: u64) -> u64 {
        let (load, pace) = (self.server.load(), self.server.latency());
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
            self.server.record_token_gap(now - last);
        }
        self.events += 1;
        if self.events == PROVEN_EVENTS {
            self.server.record_success();
        }
        if let Some(probe) = self.probe.take_if(|probe| !probe.is_strict()) {
            probe.close(ProbeOutcome::Survived);
        }
    }

    /// Ends the leg after the last event. Closing the stream frees the engine at once.
    fn close(self) {
        self.server.record_success();
        self.server.record_service_time(self.begun.elapsed());
        if let Some(probe) = self.probe {
            probe.close(ProbeOutcome::Survived);
        }
        self.stream.close();
    }
}

/// A stream towards a caller.
#[derive(Debug)]
pub struct EntryStream<P: Platform> {
    shared: Shared<P>,
    outgoing: OutgoingRequest,
    attempts: AttemptHistory,
    attempt: Option<StreamAttempt<P>>,
    tokens: u64,
    tokens_at_loss: u64,
    text: String,
    finished: bool,
    admitted: AdmittedRequest,
}

impl<P: Platform> EntryStream<P> {
    /// A stream that has begun; an answer in one piece gives an empty one.
    pub fn new(
        shared: Shared<P>,
        outgoing: OutgoingRequest,
        attempts: AttemptHistory,
        opened: StartedAnswer<P>,
        admitted: AdmittedRequest,
    ) -> Self {
        EntryStream {
            shared,
            outgoing,
            attempts,
            attempt: StreamAttempt::new(opened),
            tokens: 0,
            tokens_at_loss: 0,
            text: String::new(),
            finished: false,
            admitted,
        }
    }

    /// What is known of the request's effect.
    fn ran(&self) -> ExecutionStatus {
        if self.tokens > 0 {
            return ExecutionStatus::Ran;
        }
        ExecutionStatus::MayHaveRun
    }

    /// Silence after which the engine is given up on; before the first event not past the deadline.
    fn bound_ms(&self, attempt: &StreamAttempt<P>) -> Result<u64> {
        let bound_ms = attempt.bound_ms(self.outgoing.body.len() as u64);
        if self.tokens > 0 {
            return Ok(bound_ms);
        }
        let left_ms = dispatch::time_left_ms(&self.shared, &self.outgoing, &self.attempts)?;
        Ok(bound_ms.min(left_ms))
    }

    /// Gives the engine up and opens the rest of the stream at another one.
    async fn resume(&mut self, error: EngineError) -> Result<()> {
        if let Some(attempt) = self.attempt.take() {
            let StreamAttempt {
                server,
                in_flight,
                probe,
                stream,
                ..
            } = attempt;
            stream.close();
            dispatch::failed(&self.shared, &server, &in_flight, probe, &error).await;
            self.attempts
                .record_failure(&server, error, self.shared.clock.mono());
        }
        self.attempts.may_have_run = true;
        if self.tokens > self.tokens_at_loss {
            self.attempts.progressed();
        }
        self.tokens_at_loss = self.tokens;
        self.shared.metrics.resumes.inc();
        let resume = Resume {
            tokens: self.tokens,
            text: &self.text,
        };
        let opened = dispatch::open(
            &self.shared,
            &self.outgoing,
            Some(resume),
            &mut self.attempts,
        );
        let opened = opened.await?;
        self.attempt = StreamAttempt::new(opened);
        Ok(())
    }

    /// Ends the stream. An engine that was lost after its last token is no loss.
    fn end(&mut self, raw: Bytes) -> Option<Result<Bytes>> {
        if let Some(attempt) = self.attempt.take() {
            attempt.close();
        }
        self.shared.timeline.note(TimelineEvent::Answered {
            request: self.outgoing.id.clone(),
        });
        Some(Ok(raw))
    }

    fn fail(&mut self, refusal: Refusal) -> Option<Result<Bytes>> {
        self.attempt = None;
        Some(Err(refusal.with_ran(self.ran())))
    }
}

impl<P: Platform> EventSource for EntryStream<P> {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        loop {
            let bound_ms = match self.bound_ms(self.attempt.as_ref()?) {
                Ok(bound_ms) => bound_ms,
                Err(refusal) => return self.fail(refusal),
            };
            let error = match self.attempt.as_mut()?.next(bound_ms).await {
                Ok(TokenEvent::Chunk {
                    raw,
                    text,
                    finished,
                    ..
                }) => {
                    if let (0, Some(attempt)) = (self.tokens, &self.attempt) {
                        let took_ms = attempt.begun.elapsed().as_millis() as u64;
                        online_load::first_token(&self.shared, &attempt.server, took_ms);
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
