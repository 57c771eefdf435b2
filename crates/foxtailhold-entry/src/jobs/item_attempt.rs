//! One attempt of an item: the part of its stream that comes from one engine.

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
use crate::jobs::item_body::ReceivedOutput;
use crate::jobs::silence::SilenceWatch;
use crate::online_load;
use crate::part_news;
use crate::shared::Shared;

/// How an attempt ended, unless it was dropped.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The engine sent a complete unstreamed answer.
    Whole(WholeAnswer),
    /// The stream has ended normally.
    Finished,
    /// The engine refused the item or failed, or an item under probe met a silent engine.
    Failed(EngineError),
}

/// An attempt whose response has begun. Dropping it cancels the item at its engine.
#[derive(Debug)]
pub struct ItemAttempt<P: Platform> {
    shared: Shared<P>,
    server: Arc<BackendState>,
    answer: EngineAnswer,
    probe: Option<ProbeGuard<P>>,
    in_flight: InFlightGuard,
    _batch: Option<BatchItemInFlight>,
    outgoing: OutgoingRequest,
}

impl<P: Platform> ItemAttempt<P> {
    /// Sends the item to the engine at which it has a slot, as a continuation if output was
    /// received before. Waits up to `timeout_ms` for the response to begin.
    pub async fn open(
        shared: &Shared<P>,
        outgoing: &OutgoingRequest,
        received: &ReceivedOutput,
        server: &Arc<BackendState>,
        timeout_ms: u64,
    ) -> foxtailhold_engine::Result<Self> {
        let batch = online_load::start_batch_item(shared, &server.backend.id);
        let in_flight = server.start_tracked_request(Some(outgoing.tracked(false)));
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
            timeout_ms,
            not_after: outgoing.not_after(shared),
        };
        let answer = match shared.engines.send(server.backend.address, &request).await {
            Ok(answer) => answer,
            Err(error) => {
                report_failure(shared, server, &in_flight, None, &error).await;
                return Err(error);
            }
        };
        Ok(ItemAttempt {
            shared: shared.clone(),
            server: server.clone(),
            answer,
            probe: None,
            in_flight,
            _batch: batch,
            outgoing: outgoing.clone(),
        })
    }

    /// Wraps the response of a probe. A probe takes no slot and is not counted as batch work.
    pub fn of_probe(
        shared: &Shared<P>,
        outgoing: &OutgoingRequest,
        opened: StartedAnswer<P>,
    ) -> Self {
        ItemAttempt {
            shared: shared.clone(),
            server: opened.server,
            answer: opened.answer,
            probe: opened.probe,
            in_flight: opened.in_flight,
            _batch: None,
            outgoing: outgoing.clone(),
        }
    }

    /// Reads the stream to its end, however long the engine is silent. Everything read so far is in
    /// `received`, also when the future is dropped. The first event shows that the engines in
    /// `overtaken`, which were silent before, failed.
    pub async fn run(
        self,
        received: &mut ReceivedOutput,
        watch: &SilenceWatch,
        overtaken: &mut Vec<Arc<BackendState>>,
    ) -> AttemptEnd {
        let ItemAttempt {
            shared,
            server,
            answer,
            mut probe,
            in_flight,
            _batch,
            outgoing,
        } = self;
        let body_bytes = outgoing.body.len() as u64;
        let is_resumed = received.tokens > 0;
        let mut stream = match answer {
            EngineAnswer::Whole(answer) => {
                record_overtaken(&shared, overtaken);
                if answer.status.is_success() {
                    part_news::record_completion(
                        &shared,
                        (&outgoing.prompt, &outgoing.model),
                        &in_flight,
                    );
                }
                return AttemptEnd::Whole(answer);
            }
            EngineAnswer::Stream(stream) => stream,
        };
        let mut last_event: Option<Instant> = None;
        loop {
            let bound_ms = match last_event {
                None => stall::first_event_bound_ms(&server.load(), server.latency(), body_bytes),
                Some(_) => stall::next_event_bound_ms(server.latency()),
            };
            watch.record_event(bound_ms);
            let event = match received.finished {
                true => last_event_within(&mut stream, bound_ms).await,
                false => stream.next().await,
            };
            let error = match event.and_then(|event| event.ok_or(EngineError::Unfinished)) {
                Ok(TokenEvent::Chunk {
                    raw,
                    text,
                    finished,
                    ..
                }) => {
                    received.push(&server.backend.software_version, raw, &text, finished);
                    watch.record_output();
                    record_overtaken(&shared, overtaken);
                    let now = Instant::now();
                    let gap = last_event.replace(now).map(|last| now - last);
                    let bound = Duration::from_millis(bound_ms);
                    if let Some(gap) = gap.filter(|gap| *gap < bound) {
                        server.record_token_gap(gap);
                    }
                    if let Some(probe) = probe.take_if(|probe| !probe.is_strict()) {
                        probe.close(ProbeOutcome::Survived);
                    }
                    continue;
                }
                Ok(TokenEvent::Done { .. }) => {
                    server.record_success();
                    if !is_resumed && received.finished {
                        part_news::record_completion(
                            &shared,
                            (&outgoing.prompt, &outgoing.model),
                            &in_flight,
                        );
                    }
                    if let Some(probe) = probe {
                        probe.close(ProbeOutcome::Survived);
                    }
                    stream.close();
                    return AttemptEnd::Finished;
                }
                Err(error) => error,
            };
            stream.close();
            report_failure(&shared, &server, &in_flight, probe, &error).await;
            return AttemptEnd::Failed(error);
        }
    }
}

/// Waits for the end of a stream whose text is complete, so that nothing is lost by giving up.
async fn last_event_within(
    stream: &mut EngineStream,
    bound_ms: u64,
) -> foxtailhold_engine::Result<Option<TokenEvent>> {
    let event = tokio::time::timeout(Duration::from_millis(bound_ms), stream.next());
    event
        .await
        .unwrap_or(Err(EngineError::Stalled { bound_ms }))
}

/// Records the failure of engines that were silent until another one answered.
fn record_overtaken<P: Platform>(shared: &Shared<P>, overtaken: &mut Vec<Arc<BackendState>>) {
    for server in overtaken.drain(..) {
        server.record_failure(shared.clock.mono());
    }
}

/// Reports the failure, which decides whether it was a crash, and opens the engine's breaker unless
/// the engine was only full.
async fn report_failure<P: Platform>(
    shared: &Shared<P>,
    server: &BackendState,
    in_flight: &InFlightGuard,
    probe: Option<ProbeGuard<P>>,
    error: &EngineError,
) {
    dispatch::record_failed_attempt(shared, server, in_flight, probe, error).await;
    if !matches!(error, EngineError::Full) {
        server.record_failure(shared.clock.mono());
    }
}
