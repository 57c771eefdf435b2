//! Forwards a stream to its caller. A silent attempt stays open while another backend server is
//! sought, and whichever sends the next event goes on.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::routes::Route;
use foxtailhold::slots::Urgency;
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::stream_origins::AttemptHash;
use foxtailhold_engine::sse::RawEvent;
use foxtailhold_http::body::AnswerSender;
use tokio::time::Instant;

use crate::attempts::AttemptBudget;
use crate::dialect::Dialect;
use crate::event_place::PlacedEvent;
use crate::events::StreamRead;
use crate::fleet::BackendServer;
use crate::metrics::{AttemptOutcome, CutReason};
use crate::peers::{Slot, SlotError, SlotQuery};
use crate::relay::{Admission, FailedAttempt, Relay, slot_wait};
use crate::request::{EvidenceKeys, OpaqueRequest};
use crate::stream_attempt::{AttemptRead, StreamAttempt};
use crate::upstream::AttemptFailure;

/// Attempts of one stream that are open at the same time: a silent one, and one that may replace it.
const MAX_OPEN_ATTEMPTS: usize = 2;
/// Least and largest delay before a refused slot request for a stream is repeated; it is doubled
/// each time.
const SLOT_RETRY_DELAY_MS: (u64, u64) = (100, 1_600);

/// Forwards one stream to its caller.
#[derive(Debug)]
pub struct StreamForwarder<D> {
    /// Used to request slots and to reach other backend servers.
    pub relay: Arc<Relay<D>>,
    /// Route of the request; its limits apply to all attempts.
    pub route: Route,
    /// Service whose engines serve the stream.
    pub service: TargetName,
    /// Software version that wrote the first event; output of another one does not fit to it.
    pub version: SoftwareVersion,
    /// Attempt of the caller under which the origin of the stream is known.
    pub attempt: AttemptHash,
    /// Request that is sent again on resumption.
    pub request: OpaqueRequest,
    /// What crash evidence about the request is kept under.
    pub keys: EvidenceKeys,
    /// When the attempt that brought the first event was sent.
    pub started: Instant,
}

/// State of a stream between two steps.
struct StreamState<F> {
    attempts: AttemptBudget,
    /// Open attempts, oldest first. All of them continue after the same event.
    open: Vec<StreamAttempt>,
    /// Slot request for another attempt.
    slot_request: Option<Pin<Box<F>>>,
    /// When a slot is requested for another attempt; `None` if only a silence is a reason.
    seek_at: Option<Instant>,
    /// Delay before the next slot request if that one is refused.
    retry_delay_ms: u64,
    /// When the stream is cut if no attempt is open by then.
    give_up_at: Instant,
    /// Last event that was forwarded.
    last_event: Option<u64>,
    /// Whether an event was forwarded.
    has_begun: bool,
    /// Index of the open attempt that is read first, so that comments of one hold up no other.
    read_first: usize,
    last_failure: Option<AttemptFailure>,
    /// Whether another attempt may run, given the evidence that the request crashes backend servers.
    admission: Admission,
}

type Granted = Result<(Slot, Arc<BackendServer>), SlotError>;

/// What happened next to a stream.
enum Step {
    Read(usize, AttemptRead),
    Granted(Granted),
    /// A time of the stream has come: an attempt may be silent, or a slot is to be requested.
    Timer,
    GiveUp,
    CallerGone,
}

/// Whether the stream goes on.
enum Progress {
    Running,
    Complete,
    CallerGone,
    Cut(CutReason),
}

impl<D: Dialect> StreamForwarder<D> {
    /// Forwards all events, beginning with `first`, and resumes the stream after failures.
    pub async fn run(
        self,
        sender: AnswerSender,
        attempt: StreamAttempt,
        first: StreamRead,
        mut attempts: AttemptBudget,
    ) {
        attempts.record_running();
        let mut state = StreamState {
            give_up_at: attempts.deadline,
            attempts,
            last_event: attempt.last_event(),
            has_begun: false,
            read_first: 0,
            open: vec![attempt],
            slot_request: None,
            seek_at: None,
            retry_delay_ms: SLOT_RETRY_DELAY_MS.0,
            last_failure: None,
            admission: Admission::Free,
        };
        let mut step = Step::Read(0, AttemptRead::Stream(first));
        loop {
            let progress = match step {
                Step::Read(index, AttemptRead::Stream(StreamRead::Comment(comment))) => {
                    state.read_first = index + 1;
                    match self.forward_comment(&sender, &state, comment).await {
                        // A comment resets no time limit.
                        Progress::Running => self
                            .handle_timer(&mut state, |avoid| Box::pin(self.request_slot(avoid))),
                        ended => ended,
                    }
                }
                Step::Read(index, read) => self.handle_read(&sender, &mut state, index, read).await,
                Step::Granted(granted) => self.handle_slot(&mut state, granted),
                Step::Timer => {
                    self.handle_timer(&mut state, |avoid| Box::pin(self.request_slot(avoid)))
                }
                Step::GiveUp if Instant::now() >= state.attempts.deadline => {
                    Progress::Cut(CutReason::DeadlinePassed)
                }
                Step::GiveUp => Progress::Cut(CutReason::NoSlot),
                Step::CallerGone => Progress::CallerGone,
            };
            match progress {
                Progress::Running => {}
                Progress::Complete => {
                    self.relay
                        .record_run(&self.route, &self.request, self.started);
                    sender.finish();
                    return;
                }
                Progress::CallerGone => {
                    log::info!(request = self.request.id.as_str(); "caller disconnected from its stream");
                    self.end_all(state, AttemptOutcome::CallerGone);
                    return;
                }
                Progress::Cut(reason) => {
                    self.record_cut(&state, reason);
                    self.end_all(state, AttemptOutcome::DeadlinePassed);
                    sender.cut();
                    return;
                }
            }
            step = self.next_step(&sender, &mut state).await;
        }
    }

    async fn next_step<F>(&self, sender: &AnswerSender, state: &mut StreamState<F>) -> Step
    where
        F: Future<Output = Granted>,
    {
        let is_open = !state.open.is_empty();
        let is_seeking = state.slot_request.is_some();
        let (deadline, give_up_at) = (state.attempts.deadline, state.give_up_at);
        let silent_at = state.open.iter().filter_map(StreamAttempt::silent_at);
        let seek_at = state.seek_at.filter(|_| !is_seeking);
        let timer = silent_at.chain(seek_at).min();
        if let ([attempt], false) = (state.open.as_mut_slice(), is_seeking) {
            // A single timer for the usual case, in which the next event comes in time.
            let until = timer.map_or(deadline, |timer| timer.min(deadline));
            return tokio::select! {
                read = attempt.read(until) => match read {
                    AttemptRead::Stream(StreamRead::Silent) if until < deadline => Step::Timer,
                    read => Step::Read(0, read),
                },
                () = sender.gone() => Step::CallerGone,
            };
        }
        tokio::select! {
            biased;
            () = sender.gone() => Step::CallerGone,
            granted = poll_slot(&mut state.slot_request), if is_seeking => Step::Granted(granted),
            (index, read) = read_any(&mut state.open, state.read_first, deadline), if is_open => {
                Step::Read(index, read)
            }
            () = tokio::time::sleep_until(timer.unwrap_or(deadline)), if timer.is_some() => Step::Timer,
            () = tokio::time::sleep_until(give_up_at), if !is_open => Step::GiveUp,
        }
    }

    async fn handle_read<F>(
        &self,
        sender: &AnswerSender,
        state: &mut StreamState<F>,
        index: usize,
        read: AttemptRead,
    ) -> Progress {
        let failure = match read {
            AttemptRead::Stream(StreamRead::Event(event)) => {
                return self.forward(sender, state, index, event).await;
            }
            AttemptRead::Stream(StreamRead::End) => {
                let attempt = self.keep_only(state, index);
                attempt.complete(&self.relay.metrics);
                return Progress::Complete;
            }
            AttemptRead::Stream(StreamRead::Silent | StreamRead::Comment(_)) => {
                return Progress::Cut(CutReason::DeadlinePassed);
            }
            AttemptRead::Stream(StreamRead::Closed) => AttemptFailure::Closed,
            AttemptRead::Stream(StreamRead::Broken) => AttemptFailure::Broken,
            AttemptRead::Failed(failure) => failure,
        };
        let attempt = state.open.remove(index);
        self.handle_failure(state, attempt, failure)
    }

    /// Forwards an event. The attempt that sent it goes on, and all others are closed.
    async fn forward<F>(
        &self,
        sender: &AnswerSender,
        state: &mut StreamState<F>,
        index: usize,
        event: PlacedEvent,
    ) -> Progress {
        let mut attempt = self.keep_only(state, index);
        if !std::mem::replace(&mut state.has_begun, true) {
            self.relay
                .stream_began(&self.route, self.attempt, &attempt.backend)
                .await;
        }
        attempt.record_event(&self.route);
        state.attempts.record_running();
        state.last_event = attempt.last_event();
        state.seek_at = None;
        state.retry_delay_ms = SLOT_RETRY_DELAY_MS.0;
        state.open.push(attempt);
        send_until(state.attempts.deadline, sender, event.into_raw()).await
    }

    /// Forwards a comment of the only open attempt. One of several does not go on by a comment.
    async fn forward_comment<F>(
        &self,
        sender: &AnswerSender,
        state: &StreamState<F>,
        comment: RawEvent,
    ) -> Progress {
        let deadline = state.attempts.deadline;
        match state.open.len() {
            _ if Instant::now() >= deadline => Progress::Cut(CutReason::DeadlinePassed),
            1 => send_until(deadline, sender, comment.raw).await,
            _ => Progress::Running,
        }
    }

    /// Takes one attempt out of the open ones and closes the others, because it has gone on first.
    fn keep_only<F>(&self, state: &mut StreamState<F>, index: usize) -> StreamAttempt {
        state.slot_request = None;
        let kept = state.open.swap_remove(index);
        for attempt in state.open.drain(..) {
            log::info!(
                request = self.request.id.as_str(),
                backend = attempt.backend.id.as_str(),
                by = kept.backend.id.as_str(),
                silent_ms = attempt.silent_ms();
                "attempt superseded by one that went on first"
            );
            state.attempts.record_superseded(&attempt.backend.id);
            attempt.supersede(&self.relay.metrics);
        }
        kept
    }

    fn handle_failure<F>(
        &self,
        state: &mut StreamState<F>,
        attempt: StreamAttempt,
        failure: AttemptFailure,
    ) -> Progress {
        let failed = FailedAttempt {
            backend: &attempt.backend,
            cause: failure,
            events: attempt.events,
        };
        let (relay, request) = (&self.relay, &self.request);
        relay.log_failed_attempt(request, &failed, &state.attempts);
        let may_retry = state
            .attempts
            .record_failure(failure, &attempt.backend.id, &self.route);
        attempt.fail(failure, &relay.metrics);
        state.last_failure = Some(failure);
        let open = state.open.len() as u32;
        if open > 0 {
            let may_start = state.attempts.may_start(&self.route, open);
            if !may_start {
                state.slot_request = None;
            }
            let delay_ms = if may_retry { 0 } else { SLOT_RETRY_DELAY_MS.1 };
            let at = Instant::now() + Duration::from_millis(delay_ms);
            state.seek_at = may_start.then_some(at);
            return Progress::Running;
        }
        if !may_retry {
            return Progress::Cut(CutReason::NoAttempt);
        }
        let latest = Instant::now() + slot_wait(&self.route);
        state.give_up_at = state.attempts.deadline.min(latest);
        state.seek_at = Some(Instant::now());
        Progress::Running
    }

    /// Records which attempts are silent, and requests a slot for another one if all are.
    fn handle_timer<F>(
        &self,
        state: &mut StreamState<F>,
        request_slot: impl FnOnce((Vec<BackendId>, Instant)) -> Pin<Box<F>>,
    ) -> Progress {
        let now = Instant::now();
        let mut is_due = state.seek_at.is_some_and(|at| at <= now);
        if is_due {
            state.seek_at = None;
        }
        for attempt in &mut state.open {
            is_due |= attempt.record_silence(now);
        }
        let open = state.open.len();
        let may_start = open == 0
            || (open < MAX_OPEN_ATTEMPTS
                && state.open.iter().all(StreamAttempt::is_silent)
                && state.attempts.may_start(&self.route, open as u32));
        if !is_due || !may_start || state.slot_request.is_some() {
            return Progress::Running;
        }
        state.admission = self.relay.admit_to_slot(&self.keys, &self.service);
        if state.admission.is_refused() {
            return match open {
                0 => Progress::Cut(CutReason::Crashing),
                _ => Progress::Running,
            };
        }
        let open_backends = state.open.iter().map(|attempt| attempt.backend.id.clone());
        let mut avoid = state.attempts.failed_backends.clone();
        avoid.extend(open_backends);
        let deadline = match open {
            0 => state.give_up_at,
            _ => state.attempts.deadline,
        };
        state.slot_request = Some(request_slot((avoid, deadline)));
        Progress::Running
    }

    async fn request_slot(&self, (avoid, deadline): (Vec<BackendId>, Instant)) -> Granted {
        let query = SlotQuery {
            pool: &self.service,
            urgency: Urgency::Online { priority: 0 },
            slack_ms: u64::from(u32::MAX),
            late_ms: 0,
            avoid: &avoid,
            deadline,
            version: Some(&self.version),
        };
        self.relay.acquire_slot(&query).await
    }

    fn handle_slot<F>(&self, state: &mut StreamState<F>, granted: Granted) -> Progress {
        state.slot_request = None;
        let (slot, backend) = match granted {
            Ok(granted) => granted,
            Err(SlotError::VersionGone) if state.open.is_empty() => {
                return Progress::Cut(CutReason::VersionGone);
            }
            Err(error) => {
                log::debug!("no slot to resume {}: {error}", self.request.id);
                let jitter_ms = rand::random::<u64>() % state.retry_delay_ms;
                let delay = Duration::from_millis(state.retry_delay_ms + jitter_ms);
                state.seek_at = Some(Instant::now() + delay);
                state.retry_delay_ms = (2 * state.retry_delay_ms).min(SLOT_RETRY_DELAY_MS.1);
                return Progress::Running;
            }
        };
        state.admission = self.relay.admit(&self.keys, &self.service, state.admission);
        if state.admission.is_refused() {
            return match state.open.is_empty() {
                true => Progress::Cut(CutReason::Crashing),
                false => Progress::Running,
            };
        }
        log::info!(
            request = self.request.id.as_str(),
            after = state.last_event,
            attempts = state.attempts.maybe_executed,
            open = state.open.len(),
            lost = state.attempts.failed_backends.last().map(BackendId::as_str),
            backend = backend.id.as_str(),
            software = self.version.as_str();
            "resuming a stream at another backend server"
        );
        let attempt = StreamAttempt::resume(
            &self.relay,
            &self.route,
            &self.request,
            &self.keys,
            (slot, backend),
            state.last_event,
            state.attempts.deadline,
        );
        state.open.push(attempt);
        Progress::Running
    }

    fn record_cut<F>(&self, state: &StreamState<F>, reason: CutReason) {
        self.relay.metrics.stream_cut(&self.route.name, reason);
        log::warn!(
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            attempts = state.attempts.maybe_executed,
            tried = state.attempts.failed_backend_names(),
            reason = reason.as_str(),
            cause = state.last_failure.map(AttemptFailure::as_str),
            software = self.version.as_str(),
            config = self.relay.routes.load().version();
            "stream cut off"
        );
    }

    fn end_all<F>(&self, state: StreamState<F>, outcome: AttemptOutcome) {
        let metrics = &self.relay.metrics;
        for attempt in state.open {
            metrics.attempt_ended(&attempt.backend.id, outcome, attempt.started);
        }
    }
}

/// Sends bytes to the caller, who may take them until `deadline`.
async fn send_until(deadline: Instant, sender: &AnswerSender, bytes: Bytes) -> Progress {
    match tokio::time::timeout_at(deadline, sender.send(bytes)).await {
        Ok(true) => Progress::Running,
        Ok(false) => Progress::CallerGone,
        Err(_) => Progress::Cut(CutReason::DeadlinePassed),
    }
}

/// Waits until one of the open attempts has something to read, beginning with the one at `first`.
async fn read_any(
    open: &mut [StreamAttempt],
    first: usize,
    deadline: Instant,
) -> (usize, AttemptRead) {
    let mut reads: Vec<_> = open
        .iter_mut()
        .map(|attempt| Box::pin(attempt.read(deadline)))
        .collect();
    std::future::poll_fn(|context| {
        for offset in 0..reads.len() {
            let index = (first + offset) % reads.len();
            if let std::task::Poll::Ready(read) = reads[index].as_mut().poll(context) {
                return std::task::Poll::Ready((index, read));
            }
        }
        std::task::Poll::Pending
    })
    .await
}

async fn poll_slot<F>(request: &mut Option<Pin<Box<F>>>) -> Granted
where
    F: Future<Output = Granted>,
{
    match request {
        Some(request) => request.as_mut().await,
        None => std::future::pending().await,
    }
}
