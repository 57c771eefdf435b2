//! A streamed answer that is resumed on another engine when its engine fails.

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

/// The part of a stream that one engine sends.
#[derive(Debug)]
struct StreamAttempt<P: Platform> {
    server: Arc<BackendState>,
    in_flight: InFlightGuard,
    probe: Option<ProbeGuard<P>>,
    stream: EngineStream,
    started_at: Instant,
    last_event: Option<Instant>,
    events: u64,
}

/// Events after which a stream counts as a success for the breaker of its engine.
const SUCCESS_AFTER_EVENTS: u64 = 16;

impl<P: Platform> StreamAttempt<P> {
    /// Starts reading an answer; `None` if it is a full response.
    fn new(opened: StartedAnswer<P>) -> Option<Self> {
        let EngineAnswer::Stream(stream) = opened.answer else {
            return None;
        };
        Some(StreamAttempt {
            server: opened.server,
            in_flight: opened.in_flight,
            probe: opened.probe,
            stream,
            started_at: Instant::now(),
            last_event: None,
            events: 0,
        })
    }

    /// Time limit for the next event.
    fn event_timeout_ms(&self, prompt_bytes: u64) -> u64 {
        let (load, latency) = (self.server.load(), self.server.latency());
        let first_ms = stall::first_event_bound_ms(&load, latency, prompt_bytes);
        match self.last_event {
            None => first_ms,
            Some(_) => stall::next_event_bound_ms(latency),
        }
    }

    async fn next(&mut self, bound_ms: u64) -> std::result::Result<TokenEvent, EngineError> {
        let wait = Duration::from_millis(bound_ms);
        let event = match tokio::time::timeout(wait, self.stream.next()).await {
            Ok(event) => event?,
            Err(_) => return Err(EngineError::Stalled { bound_ms }),
        };
        let event = event.ok_or(EngineError::Unfinished)?;
        self.record_event();
        Ok(event)
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_event.replace(now) {
            self.server.record_token_gap(now - last);
        }
        self.events += 1;
        if self.events == SUCCESS_AFTER_EVENTS {
            self.server.record_success();
        }
        if let Some(probe) = self.probe.take_if(|probe| !probe.is_strict()) {
            probe.close(ProbeOutcome::Survived);
        }
    }

    /// Ends the attempt after the last event. Closing the stream frees the engine at once.
    fn close(self) {
        self.server.record_success();
        self.server.record_service_time(self.started_at.elapsed());
        if let Some(probe) = self.probe {
            probe.close(ProbeOutcome::Survived);
        }
        self.stream.close();
    }
}

/// A stream that is sent to a caller.
#[derive(Debug)]
pub struct EntryStream<P: Platform> {
    shared: Shared<P>,
    outgoing: OutgoingRequest,
    attempts: AttemptHistory,
    attempt: Option<StreamAttempt<P>>,
    tokens: u64,
    tokens_at_last_failure: u64,
    text: String,
    finished: bool,
    admitted: AdmittedRequest,
}

impl<P: Platform> EntryStream<P> {
    /// A stream whose answer has begun. A full response gives a stream without events.
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
            tokens_at_last_failure: 0,
            text: String::new(),
            finished: false,
            admitted,
        }
    }

    /// Whether the request has run, for the refusal that ends the stream.
    fn ran(&self) -> ExecutionStatus {
        if self.tokens > 0 {
            return ExecutionStatus::Ran;
        }
        ExecutionStatus::MayHaveRun
    }

    /// Time limit for the next event. Before the first token it ends at the caller's deadline at
    /// the latest.
    fn event_timeout_ms(&self, attempt: &StreamAttempt<P>) -> Result<u64> {
        let event_timeout_ms = attempt.event_timeout_ms(self.outgoing.body.len() as u64);
        if self.tokens > 0 {
            return Ok(event_timeout_ms);
        }
        let left_ms = dispatch::time_left_ms(&self.shared, &self.outgoing, &self.attempts)?;
        Ok(event_timeout_ms.min(left_ms))
    }

    /// Gives up the engine and resumes the stream on another one.
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
        if self.tokens > self.tokens_at_last_failure {
            self.attempts.progressed();
        }
        self.tokens_at_last_failure = self.tokens;
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

    /// Ends the stream. A failure of the engine after its last token also comes here, because
    /// nothing is missing.
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
            let event_timeout_ms = match self.event_timeout_ms(self.attempt.as_ref()?) {
                Ok(event_timeout_ms) => event_timeout_ms,
                Err(refusal) => return self.fail(refusal),
            };
            let error = match self.attempt.as_mut()?.next(event_timeout_ms).await {
                Ok(TokenEvent::Chunk {
                    raw,
                    text,
                    finished,
                    ..
                }) => {
                    if let (0, Some(attempt)) = (self.tokens, &self.attempt) {
                        let took_ms = attempt.started_at.elapsed().as_millis() as u64;
                        online_load::first_token(&self.shared, &attempt.server, took_ms);
                    }
                    self.tokens += 1;
                    self.admitted.count_generated(1);
                    self.text.push_str(&text);
                    self.finished |= finished;
                    return Some(Ok(raw));
                }
                Ok(TokenEvent::Done { raw }) => return self.end(raw),
                Err(error) => error,
            };
            if self.finished {
                log::info!(
                    "engine failed after a stream's last token, the stream is complete: {error}"
                );
                return self.end(Bytes::from_static(DONE_EVENT));
            }
            if let Err(refusal) = self.resume(error).await {
                return self.fail(refusal);
            }
        }
    }
}
