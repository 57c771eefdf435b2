//! Sends one request until an engine answers. A silent engine keeps its run while another one is
//! sought; the first answer counts, and the other runs are closed.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::quarantine::ProbeOutcome;
use foxtailhold::refusal::Result;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_engine::{EngineAnswer, EngineError, EngineRequest, Resume};
use foxtailhold_platform::Platform;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::backends::{BackendState, InFlightGuard};
use crate::crashes::ProbeGuard;
use crate::gateway::dispatch::{self, AttemptHistory, OutgoingRequest, Route, StartedAnswer};
use crate::online_load;
use crate::part_news;
use crate::shared::Shared;

/// Time by which the client's own limit lies behind the end of the wait, so that the end of the
/// wait is never taken for a failure of the engine.
const CLIENT_MARGIN_MS: u64 = 1_000;

/// A request at one engine.
struct Exchange<'a, P: Platform> {
    shared: &'a Shared<P>,
    outgoing: &'a OutgoingRequest,
    resume: Option<Resume<'a>>,
    timeout_ms: u64,
}

/// How the exchange with one engine ended.
struct ExchangeEnd<P: Platform> {
    server: Arc<BackendState>,
    in_flight: InFlightGuard,
    probe: Option<ProbeGuard<P>>,
    started_at: Instant,
    result: foxtailhold_engine::Result<EngineAnswer>,
}

impl<P: Platform> Exchange<'_, P> {
    async fn run(self, route: Route<P>) -> ExchangeEnd<P> {
        let Route {
            server,
            probe,
            is_part_probe,
        } = route;
        let (shared, outgoing) = (self.shared, self.outgoing);
        let in_flight = server.start_tracked_request(Some(outgoing.tracked(is_part_probe)));
        online_load::sent(shared, &server);
        shared.timeline.note(TimelineEvent::Sent {
            request: outgoing.id.clone(),
            backend: server.backend.id.clone(),
        });
        let request = EngineRequest {
            id: &outgoing.id,
            path: outgoing.path,
            body: &outgoing.body,
            streamed: outgoing.streamed,
            resume: self.resume,
            timeout_ms: self.timeout_ms,
            not_after: outgoing.not_after(shared),
        };
        let started_at = Instant::now();
        let result = match shared.engines.send(server.backend.address, &request).await {
            Ok(EngineAnswer::Whole(whole)) if self.resume.is_some() => {
                let status = whole.status.as_u16();
                Err(EngineError::Failed { status })
            }
            result => result,
        };
        ExchangeEnd {
            server,
            in_flight,
            probe,
            started_at,
            result,
        }
    }
}

/// What happens next while engines are asked.
enum Step<P: Platform> {
    /// An engine answered, or its exchange failed.
    Ended(ExchangeEnd<P>),
    /// Another engine was found, or none can be had.
    Routed(Result<Route<P>>),
    /// The newest exchange has been silent for its time limit.
    Silent,
}

/// The newest exchange, as long as it is not silent.
struct Newest {
    server: Arc<BackendState>,
    bound_ms: u64,
}

/// The exchanges of one request that are open.
struct Exchanges<F> {
    open: FuturesUnordered<F>,
    silent: Vec<Arc<BackendState>>,
    newest: Option<Newest>,
    check_at: Instant,
}

impl<P: Platform, F: Future<Output = ExchangeEnd<P>>> Exchanges<F> {
    fn start(&mut self, newest: Newest, exchange: F) {
        self.check_at = Instant::now() + Duration::from_millis(newest.bound_ms);
        self.newest = Some(newest);
        self.open.push(exchange);
    }

    /// Counts the newest exchange as silent, or sets the time of the next search if it already is.
    fn record_silence(&mut self, attempts: &mut AttemptHistory) {
        if let Some(newest) = self.newest.take() {
            attempts.record_silence(&newest.server, newest.bound_ms);
            self.silent.push(newest.server);
        }
    }

    /// The end of the next exchange; pending while none is open.
    async fn next(&mut self) -> ExchangeEnd<P> {
        match self.open.next().await {
            Some(end) => end,
            None => std::future::pending().await,
        }
    }

    /// Forgets an exchange that ended.
    fn remove(&mut self, server: &BackendState) {
        let id = &server.backend.id;
        self.silent.retain(|silent| silent.backend.id != *id);
        self.newest
            .take_if(|newest| newest.server.backend.id == *id);
    }

    /// Closes all exchanges after another engine answered or the time is over. The silent ones count
    /// as failed: with deadlines shorter than the time limits of silence, nothing else would show a
    /// dead engine.
    fn close(self, shared: &Shared<P>) {
        for server in &self.silent {
            server.record_failure(shared.clock.mono());
        }
    }
}

/// Sends the request until an answer begins. Refuses when no attempt is open and none is left or
/// allowed now, or when the time of the caller is over.
pub async fn open<P: Platform>(
    shared: &Shared<P>,
    outgoing: &OutgoingRequest,
    resume: Option<Resume<'_>>,
    attempts: &mut AttemptHistory,
) -> Result<StartedAnswer<P>> {
    let mut exchanges = Exchanges {
        open: FuturesUnordered::new(),
        silent: Vec::new(),
        newest: None,
        check_at: Instant::now(),
    };
    let mut is_seeking = false;
    let left_ms = dispatch::time_left_ms(shared, outgoing, attempts)?;
    let ends_at = Instant::now() + Duration::from_millis(left_ms + 1);
    loop {
        if exchanges.open.is_empty() && !is_seeking {
            if !dispatch::may_attempt(shared, outgoing, attempts) {
                return Err(attempts.refusal(&outgoing.model));
            }
            is_seeking = true;
        }
        let wake_at = match is_seeking {
            true => ends_at,
            false => exchanges.check_at.min(ends_at),
        };
        let step = tokio::select! {
            biased;
            end = exchanges.next() => Step::Ended(end),
            route = dispatch::route(shared, outgoing, attempts), if is_seeking => {
                Step::Routed(route)
            }
            () = tokio::time::sleep_until(wake_at) => Step::Silent,
        };
        match step {
            Step::Ended(end) => {
                exchanges.remove(&end.server);
                let error = match end.result {
                    Ok(answer) => {
                        exchanges.close(shared);
                        if let (EngineAnswer::Whole(whole), None) = (&answer, &resume)
                            && whole.status.is_success()
                        {
                            part_news::record_completion(
                                shared,
                                (&outgoing.prompt, &outgoing.model),
                                &end.in_flight,
                            );
                        }
                        let probe = record_answer(&end.server, &answer, end.probe, end.started_at);
                        return Ok(StartedAnswer {
                            server: end.server,
                            in_flight: end.in_flight,
                            probe,
                            answer,
                        });
                    }
                    Err(error) => error,
                };
                let ExchangeEnd {
                    server,
                    in_flight,
                    probe,
                    ..
                } = end;
                dispatch::record_failed_attempt(shared, &server, &in_flight, probe, &error).await;
                attempts.record_failure(&server, error, shared.clock.mono());
                if exchanges.newest.is_none() {
                    exchanges.check_at = Instant::now();
                }
            }
            Step::Routed(Ok(_)) if !outgoing.may_be_sent(shared) => {
                if exchanges.open.is_empty() {
                    return Err(attempts.refusal(&outgoing.model));
                }
                is_seeking = false;
                exchanges.check_at = Instant::now() + search_interval(&exchanges.silent, outgoing);
            }
            Step::Routed(Ok(route)) => {
                is_seeking = false;
                attempts.is_part_probe |= route.is_part_probe;
                let left_ms = dispatch::time_left_ms(shared, outgoing, attempts)?;
                let newest = Newest {
                    server: route.server.clone(),
                    bound_ms: dispatch::answer_timeout_ms(&route.server, outgoing),
                };
                let exchange = Exchange {
                    shared,
                    outgoing,
                    resume,
                    timeout_ms: left_ms + CLIENT_MARGIN_MS,
                };
                exchanges.start(newest, exchange.run(route));
            }
            Step::Routed(Err(refusal)) if exchanges.open.is_empty() => return Err(refusal),
            Step::Routed(Err(_)) => {
                is_seeking = false;
                exchanges.check_at = Instant::now() + search_interval(&exchanges.silent, outgoing);
            }
            Step::Silent => {
                exchanges.record_silence(attempts);
                if Instant::now() >= ends_at {
                    exchanges.close(shared);
                    dispatch::time_left_ms(shared, outgoing, attempts)?;
                    return Err(attempts.refusal(&outgoing.model));
                }
                exchanges.check_at = Instant::now() + search_interval(&exchanges.silent, outgoing);
                is_seeking = dispatch::has_untried(shared, outgoing, attempts)
                    && dispatch::may_attempt(shared, outgoing, attempts);
            }
        }
    }
}

/// Time until another engine is sought again while the open ones are silent.
fn search_interval(silent: &[Arc<BackendState>], outgoing: &OutgoingRequest) -> Duration {
    let bounds = silent
        .iter()
        .map(|server| dispatch::answer_timeout_ms(server, outgoing));
    Duration::from_millis(bounds.max().unwrap_or(CLIENT_MARGIN_MS))
}

/// Records a full response as a success and ends its probe. For a stream the probe goes on.
fn record_answer<P: Platform>(
    server: &BackendState,
    answer: &EngineAnswer,
    probe: Option<ProbeGuard<P>>,
    started_at: Instant,
) -> Option<ProbeGuard<P>> {
    if matches!(answer, EngineAnswer::Stream(_)) {
        return probe;
    }
    server.record_success();
    server.record_service_time(started_at.elapsed());
    if let Some(probe) = probe {
        probe.close(ProbeOutcome::Survived);
    }
    None
}
