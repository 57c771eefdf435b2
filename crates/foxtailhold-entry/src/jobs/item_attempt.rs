//! The part of an item's stream that comes from one engine.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::quarantine::ProbeOutcome;
use foxtailhold::stall;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_engine::{
    EngineAnswer, EngineError, EngineRequest, EngineStream, Resume, TokenEvent, WholeAnswer,
};
use foxtailhold_platform::Platform;
use tokio::time::Instant;

use crate::backends::{BackendState, InFlightGuard};
use crate::batch_controllers::BatchItemInFlight;
use crate::crashes::ProbeGuard;
use crate::gateway::dispatch::{self, OutgoingRequest, StartedAnswer};
use crate::jobs::item_body::Received;
use crate::online_load;
use crate::shared::Shared;

/// How a leg ended by itself.
#[derive(Debug)]
pub enum LegEnd {
    /// The engine answered in one piece.
    Whole(WholeAnswer),
    /// The stream has ended.
    Finished,
    /// The engine failed.
    Failed(EngineError),
}

/// A leg that has begun. Dropping it cancels the item at its engine.
#[derive(Debug)]
pub struct ItemAttempt<P: Platform> {
    shared: Shared<P>,
    server: Arc<BackendState>,
    answer: EngineAnswer,
    trial: Option<ProbeGuard<P>>,
    in_flight: InFlightGuard,
    _batch: Option<BatchItemInFlight>,
    body_bytes: u64,
}

impl<P: Platform> ItemAttempt<P> {
    /// Sends the item, or the rest of it, to the engine at which it has a place.
    pub async fn open(
        shared: &Shared<P>,
        outgoing: &OutgoingRequest,
        received: &Received,
        server: &Arc<BackendState>,
    ) -> foxtailhold_engine::Result<Self> {
        let batch = online_load::start_batch_item(shared, &server.backend.id);
        let in_flight = server.start_tracked_request(Some(outgoing.fingerprint));
        shared.timeline.note(TimelineEvent::Sent {
            request: outgoing.id.clone(),
            backend: server.backend.id.clone(),
        });
        let resume = Resume {
            tokens: received.tokens,
            text: &received.text,
        };
        let request = EngineRequest {
            id: &outgoing.id,
            path: outgoing.path,
            body: &outgoing.body,
            streamed: outgoing.streamed,
            resume: (received.tokens > 0).then_some(resume),
            timeout_ms: dispatch::answer_timeout_ms(server, outgoing),
            not_after: outgoing.not_after(shared),
        };
        let answer = match shared.engines.send(server.backend.address, &request).await {
            Ok(answer) => answer,
            Err(error) => {
                note_failure(shared, server, &in_flight, None, &error).await;
                return Err(error);
            }
        };
        Ok(ItemAttempt {
            shared: shared.clone(),
            server: server.clone(),
            answer,
            trial: None,
            in_flight,
            _batch: batch,
            body_bytes: outgoing.body.len() as u64,
        })
    }

    /// The leg of a trial.
    pub fn of_trial(
        shared: &Shared<P>,
        outgoing: &OutgoingRequest,
        opened: StartedAnswer<P>,
    ) -> Self {
        ItemAttempt {
            shared: shared.clone(),
            server: opened.server,
            answer: opened.answer,
            trial: opened.probe,
            in_flight: opened.in_flight,
            _batch: None,
            body_bytes: outgoing.body.len() as u64,
        }
    }

    /// Reads to the end. What came is in `received` also when the future is dropped.
    pub async fn run(self, received: &mut Received) -> LegEnd {
        let ItemAttempt {
            shared,
            server,
            answer,
            mut trial,
            in_flight,
            _batch,
            body_bytes,
        } = self;
        let mut stream = match answer {
            EngineAnswer::Whole(answer) => return LegEnd::Whole(answer),
            EngineAnswer::Stream(stream) => stream,
        };
        let mut last_event: Option<Instant> = None;
        loop {
            let bound_ms = match last_event {
                None => stall::first_event_bound_ms(&server.load(), server.latency(), body_bytes),
                Some(_) => stall::next_event_bound_ms(server.latency()),
            };
            let error = match next(&mut stream, bound_ms).await {
                Ok(TokenEvent::Chunk {
                    raw,
                    text,
                    finished,
                    ..
                }) => {
                    received.push(raw, &text, finished);
                    let now = Instant::now();
                    if let Some(last) = last_event.replace(now) {
                        server.record_token_gap(now - last);
                    }
                    if let Some(trial) = trial.take_if(|trial| !trial.is_strict()) {
                        trial.close(ProbeOutcome::Survived);
                    }
                    continue;
                }
                Ok(TokenEvent::Done { .. }) => {
                    server.record_success();
                    if let Some(trial) = trial {
                        trial.close(ProbeOutcome::Survived);
                    }
                    stream.close();
                    return LegEnd::Finished;
                }
                Err(error) => error,
            };
            stream.close();
            note_failure(&shared, &server, &in_flight, trial, &error).await;
            return LegEnd::Failed(error);
        }
    }
}

async fn next(stream: &mut EngineStream, bound_ms: u64) -> foxtailhold_engine::Result<TokenEvent> {
    let wait = Duration::from_millis(bound_ms);
    let event = tokio::time::timeout(wait, stream.next()).await;
    let event = event.unwrap_or(Err(EngineError::Stalled { bound_ms }))?;
    event.ok_or(EngineError::Unfinished)
}

/// Finds out whether a failure was a crash, and sets the engine aside.
async fn note_failure<P: Platform>(
    shared: &Shared<P>,
    server: &BackendState,
    in_flight: &InFlightGuard,
    trial: Option<ProbeGuard<P>>,
    error: &EngineError,
) {
    dispatch::failed(shared, server, in_flight, trial, error).await;
    if !matches!(error, EngineError::Full) {
        server.record_failure(shared.clock.mono());
    }
}
