//! A streamed answer that is resumed on another engine of the same software version when its engine
//! fails. A silent engine keeps its run until another one has spoken.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::quarantine::ProbeOutcome;
use foxtailhold::refusal::{ExecutionStatus, Refusal, Result};
use foxtailhold::stall::{self, MAX_BOUND_MS};
use foxtailhold::time::MonoMs;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_caller::gateway::EventSource;
use foxtailhold_engine::check::DONE_EVENT;
use foxtailhold_engine::{EngineAnswer, EngineError, EngineStream, Resume, TokenEvent};
use foxtailhold_platform::Platform;
use futures_util::future::select_all;
use tokio::time::Instant;

use crate::backends::{BackendState, InFlightGuard};
use crate::crashes::ProbeGuard;
use crate::gateway::dispatch::{
    self, AttemptHistory, DEFAULT_WAIT_MS, OutgoingRequest, StartedAnswer,
};
use crate::gateway::sending;
use crate::limits::AdmittedRequest;
use crate::online_load;
use crate::part_news;
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
    is_silent: bool,
    /// Whether it goes on with output of another attempt.
    is_resumed: bool,
}

/// Events after which a stream counts as a success for the breaker of its engine.
const SUCCESS_AFTER_EVENTS: u64 = 16;

impl<P: Platform> StreamAttempt<P> {
    /// Starts reading an answer; `None` if it is a full response.
    fn new(opened: StartedAnswer<P>, is_resumed: bool) -> Option<Self> {
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
            is_silent: false,
            is_resumed,
        })
    }

    /// Time after which it counts as silent.
    fn event_bound_ms(&self, prompt_bytes: u64) -> u64 {
        let (load, latency) = (self.server.load(), self.server.latency());
        let first_ms = stall::first_event_bound_ms(&load, latency, prompt_bytes);
        match self.last_event {
            None => first_ms,
            Some(_) => stall::next_event_bound_ms(latency),
        }
    }

    /// The next event, however long it takes. Cancel safe.
    async fn next(&mut self) -> std::result::Result<TokenEvent, EngineError> {
        let event = self.stream.next().await?;
        let event = event.ok_or(EngineError::Unfinished)?;
        self.record_event();
        Ok(event)
    }

    fn record_event(&mut self) {
        let now = Instant::now();
        let was_silent = std::mem::take(&mut self.is_silent);
        if let Some(last) = self.last_event.replace(now)
            && !was_silent
        {
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

    /// Ends the attempt because another engine spoke first or the time is over. Only now its silence
    /// is a failure.
    fn close_overtaken(self, now: MonoMs) {
        if self.is_silent {
            self.server.record_failure(now);
        }
        self.stream.close();
    }
}

/// The next event of whichever attempt has one first, with the index of the attempt; pending if
/// there is no attempt. Cancel safe.
async fn first_event<P: Platform>(
    attempts: &mut [StreamAttempt<P>],
) -> (usize, std::result::Result<TokenEvent, EngineError>) {
    match attempts {
        [] => std::future::pending().await,
        [attempt] => (0, attempt.next().await),
        attempts => {
            let waits = attempts.iter_mut().map(|attempt| Box::pin(attempt.next()));
            let (event, index, _) = select_all(waits).await;
            (index, event)
        }
    }
}

/// How a search for another engine ended.
enum SearchEnd<P: Platform> {
    /// The attempt with this index sent its next event meanwhile.
    Spoke(usize, TokenEvent),
    /// An answer has begun at another engine, or none can be had.
    Ended(Result<StartedAnswer<P>>),
    /// The time for the search is over.
    TimedOut,
}

/// A stream that is sent to a caller.
#[derive(Debug)]
pub struct EntryStream<P: Platform> {
    shared: Shared<P>,
    outgoing: OutgoingRequest,
    attempts: AttemptHistory,
    /// Attempts that may send the next event, oldest first: more than one only while the older ones
    /// are silent.
    open: Vec<StreamAttempt<P>>,
    tokens: u64,
    tokens_at_last_failure: u64,
    text: String,
    finished: bool,
    /// Whether the last event is the engine's own, not one that stands for it.
    is_end_sent: bool,
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
            open: Vec::from_iter(StreamAttempt::new(opened, false)),
            tokens: 0,
            tokens_at_last_failure: 0,
            text: String::new(),
            finished: false,
            is_end_sent: true,
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

    /// Time until the newest attempt counts as silent. Before the first token and during silence it
    /// ends at the caller's deadline at the latest; silence without a deadline lasts at most
    /// [`MAX_BOUND_MS`].
    fn wait_ms(&self, silent_since: Option<Instant>) -> Result<u64> {
        let prompt_bytes = self.outgoing.body.len() as u64;
        let newest = self.open.last();
        let bound_ms = newest.map_or(0, |newest| newest.event_bound_ms(prompt_bytes));
        if self.tokens > 0 && silent_since.is_none() {
            return Ok(bound_ms);
        }
        let left_ms = dispatch::time_left_ms(&self.shared, &self.outgoing, &self.attempts)?;
        let (Some(since), None) = (silent_since, self.outgoing.deadline) else {
            return Ok(bound_ms.min(left_ms));
        };
        match MAX_BOUND_MS.saturating_sub(since.elapsed().as_millis() as u64) {
            0 => Err(self.attempts.refusal(&self.outgoing.model)),
            left_ms => Ok(bound_ms.min(left_ms)),
        }
    }

    /// Waits for the next event. While the engine is silent, another one is sought beside it.
    async fn next_event(&mut self) -> Result<TokenEvent> {
        let mut silent_since = None;
        loop {
            let wait_ms = self.wait_ms(silent_since)?;
            let wait = Duration::from_millis(wait_ms);
            match tokio::time::timeout(wait, first_event(&mut self.open)).await {
                Ok((index, Ok(event))) => {
                    self.keep(index);
                    return Ok(event);
                }
                Ok((index, Err(error))) if self.finished => {
                    return Ok(self.complete(index, &error));
                }
                Ok((index, Err(error))) => {
                    let attempt = self.open.remove(index);
                    self.record_failure(attempt, error).await;
                }
                Err(_) if self.finished => {
                    return Ok(self.complete(0, &EngineError::Stalled { bound_ms: wait_ms }));
                }
                Err(_) => {
                    silent_since.get_or_insert_with(Instant::now);
                    self.record_silence(wait_ms);
                    if !dispatch::has_untried(&self.shared, &self.outgoing, &self.attempts) {
                        continue;
                    }
                }
            }
            match self.search(silent_since).await {
                SearchEnd::Spoke(index, event) => {
                    self.keep(index);
                    return Ok(event);
                }
                SearchEnd::Ended(Ok(opened)) => {
                    let is_resumed = self.tokens > 0;
                    self.open.extend(StreamAttempt::new(opened, is_resumed));
                }
                SearchEnd::Ended(Err(refusal)) if self.open.is_empty() => return Err(refusal),
                SearchEnd::Ended(Err(_)) | SearchEnd::TimedOut => {}
            }
        }
    }

    /// Keeps the attempt that sent an event and closes the others.
    fn keep(&mut self, index: usize) {
        if self.open.len() == 1 {
            return;
        }
        let kept = self.open.swap_remove(index);
        let now = self.shared.clock.mono();
        for attempt in std::mem::replace(&mut self.open, vec![kept]) {
            attempt.close_overtaken(now);
        }
    }

    /// The end of a stream whose engine failed after the last token: nothing is missing.
    fn complete(&mut self, index: usize, error: &EngineError) -> TokenEvent {
        log::info!("engine failed after a stream's last token, the stream is complete: {error}");
        self.keep(index);
        self.is_end_sent = false;
        TokenEvent::Done {
            raw: Bytes::from_static(DONE_EVENT),
        }
    }

    /// Starts the count of attempts anew if the stream made progress since the last failure.
    fn count_progress(&mut self) {
        if self.tokens > self.tokens_at_last_failure {
            self.attempts.restart();
        }
        self.tokens_at_last_failure = self.tokens;
        self.attempts.may_have_run = true;
    }

    async fn record_failure(&mut self, attempt: StreamAttempt<P>, error: EngineError) {
        self.count_progress();
        let StreamAttempt {
            server,
            in_flight,
            probe,
            stream,
            ..
        } = attempt;
        stream.close();
        dispatch::record_failed_attempt(&self.shared, &server, &in_flight, probe, &error).await;
        self.attempts
            .record_failure(&server, error, self.shared.clock.mono());
    }

    /// Counts the newest attempt as silent. It stays open.
    fn record_silence(&mut self, bound_ms: u64) {
        self.count_progress();
        if let Some(newest) = self.open.last_mut() {
            newest.is_silent = true;
            self.attempts.record_silence(&newest.server, bound_ms);
        }
    }

    /// Seeks another engine to resume the stream, and listens to the open attempts meanwhile.
    async fn search(&mut self, silent_since: Option<Instant>) -> SearchEnd<P> {
        self.shared.metrics.resumes.inc();
        let ends_at = match (silent_since, self.outgoing.deadline) {
            (Some(since), None) => since + Duration::from_millis(MAX_BOUND_MS),
            _ => Instant::now() + Duration::from_millis(DEFAULT_WAIT_MS),
        };
        let mut lost = Vec::new();
        let end = {
            let resume = Resume {
                tokens: self.tokens,
                text: &self.text,
            };
            let (shared, outgoing) = (&self.shared, &self.outgoing);
            let mut opened = pin!(sending::open(
                shared,
                outgoing,
                Some(resume),
                &mut self.attempts
            ));
            loop {
                tokio::select! {
                    biased;
                    (index, event) = first_event(&mut self.open) => match event {
                        Ok(event) => break SearchEnd::Spoke(index, event),
                        Err(error) => lost.push((self.open.remove(index), error)),
                    },
                    opened = &mut opened => break SearchEnd::Ended(opened),
                    () = tokio::time::sleep_until(ends_at), if !self.open.is_empty() => {
                        break SearchEnd::TimedOut;
                    }
                }
            }
        };
        for (attempt, error) in lost {
            self.record_failure(attempt, error).await;
        }
        end
    }

    /// Ends the stream. Only an end that its engine has sent speaks for the parts of the prompt.
    fn end(&mut self, raw: Bytes) -> Option<Result<Bytes>> {
        if let ([attempt], true) = (&self.open[..], self.is_end_sent)
            && !attempt.is_resumed
        {
            part_news::record_completion(
                &self.shared,
                (&self.outgoing.prompt, &self.outgoing.model),
                &attempt.in_flight,
            );
        }
        for attempt in self.open.drain(..) {
            attempt.close();
        }
        self.shared.timeline.note(TimelineEvent::Answered {
            request: self.outgoing.id.clone(),
        });
        Some(Ok(raw))
    }

    /// Ends the stream because no attempt is left or the time is over. Attempts that are still open
    /// were silent until then.
    fn fail(&mut self, refusal: Refusal) -> Option<Result<Bytes>> {
        let now = self.shared.clock.mono();
        for mut attempt in self.open.drain(..) {
            attempt.is_silent = true;
            attempt.close_overtaken(now);
        }
        Some(Err(refusal.with_ran(self.ran())))
    }
}

impl<P: Platform> EventSource for EntryStream<P> {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        if self.open.is_empty() {
            return None;
        }
        let (raw, text, finished) = match self.next_event().await {
            Ok(TokenEvent::Chunk {
                raw,
                text,
                finished,
                ..
            }) => (raw, text, finished),
            Ok(TokenEvent::Done { raw }) => return self.end(raw),
            Err(refusal) => return self.fail(refusal),
        };
        if let (0, Some(attempt)) = (self.tokens, self.open.first()) {
            let took_ms = attempt.started_at.elapsed().as_millis() as u64;
            online_load::first_token(&self.shared, &attempt.server, took_ms);
            self.attempts.version = Some(attempt.server.backend.software_version.clone());
        }
        self.tokens += 1;
        self.admitted.count_generated(1);
        self.text.push_str(&text);
        self.finished |= finished;
        Some(Ok(raw))
    }
}
