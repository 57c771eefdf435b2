//! Runs items as streams within the congestion windows of the batch controllers. A preempted item
//! keeps the output it has received and is continued at the next engine that gives it a slot. An item
//! at a silent engine goes on waiting there until another one gives it a slot. An item suspected of
//! crashing engines takes no slot: it runs at the engine of its granted probe.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::batch::MAX_ITEM_ATTEMPTS;
use foxtailhold::batch_control::scheduler::WaitingItem;
use foxtailhold::crashes::CrashStatus;
use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::QuarantineStatus;
use foxtailhold::refusal::RefusalReason;
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::stall::MAX_BOUND_MS;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_engine::{EngineError, Resume, WholeAnswer};
use foxtailhold_http::client::SendError;
use foxtailhold_platform::Platform;

use crate::backends::BackendState;
use crate::gateway::dispatch::{self, AttemptHistory, OutgoingRequest};
use crate::gateway::sending;
use crate::jobs::item::{FinishedItem, ItemPolicy, ItemTask, is_quarantine_over_soon};
use crate::jobs::item_attempt::{AttemptEnd, ItemAttempt};
use crate::jobs::item_body::{ItemBody, ReceivedOutput};
use crate::jobs::silence::SilenceWatch;
use crate::jobs::slot_wait::SlotChannel;
use crate::shared::Shared;

/// Wait before the next attempt after an engine failed or refused the item, or while it may not
/// start.
const RETRY_DELAY_MS: u64 = 100;
/// How often an item that waits with output checks whether an engine of its version is left.
const VERSION_CHECK_MS: u64 = 1_000;
/// How often an item whose parts are refused looks at the evidence.
const QUARANTINE_CHECK_MS: u64 = 1_000;
/// Most attempts of one item that may fail after they returned tokens without counting as failures.
const MAX_BROKEN_ATTEMPTS: u32 = 32;

/// Item policy that streams items within the congestion windows of the batch controllers.
#[derive(Debug, Clone, Copy)]
pub struct ControlledItemPolicy;

/// State of an item that is kept across its attempts.
struct StreamedItem<'a, P: Platform> {
    shared: &'a Shared<P>,
    task: &'a ItemTask<'a>,
    outgoing: OutgoingRequest,
    received: ReceivedOutput,
    waiting: WaitingItem,
    /// Engines that the item left because they were silent, until another one answers.
    overtaken: Vec<Arc<BackendState>>,
    failures: u32,
    broken_attempts: u32,
}

impl ItemPolicy for ControlledItemPolicy {
    async fn run<P: Platform>(
        &self,
        shared: &Shared<P>,
        task: &ItemTask<'_>,
        body: ItemBody,
    ) -> FinishedItem {
        let waiting = WaitingItem {
            target: body.model.clone(),
            deadline: task.deadline,
            order: task.order,
            avoid: Vec::new(),
        };
        let item = StreamedItem {
            shared,
            task,
            outgoing: task.outgoing(shared.request_id(), body),
            received: ReceivedOutput::default(),
            waiting,
            overtaken: Vec::new(),
            failures: 0,
            broken_attempts: 0,
        };
        item.run_to_end().await
    }
}

/// How the run of an item in a slot ended.
enum SlotEnd<P: Platform> {
    /// The slot was taken back.
    Preempted,
    /// The attempt ended.
    Ended(AttemptEnd),
    /// The engine is silent and another one has given a slot, which this channel holds.
    Moved(SlotChannel<P>, BackendId),
}

/// The waits of an item at a silent engine for another one.
struct WaitingBeside {
    /// At engines that may go on with its output.
    same_version: WaitingItem,
    /// At any other engine.
    any: WaitingItem,
}

/// Waits until the run is silent and another engine has a slot for the item: one that may go on
/// with its output, or after [`MAX_BOUND_MS`] any other.
async fn wait_for_other<P: Platform>(
    shared: &Shared<P>,
    watch: &SilenceWatch,
    waiting: &WaitingBeside,
) -> (SlotChannel<P>, BackendId) {
    let mut gives_up_output = false;
    loop {
        watch.wait_for_silence().await;
        let mut channel = SlotChannel::new(shared);
        let keeps_output = watch.has_output() && !gives_up_output;
        let waiting = match keeps_output {
            true => &waiting.same_version,
            false => &waiting.any,
        };
        tokio::select! {
            biased;
            () = watch.wait_for_event() => gives_up_output = false,
            backend = channel.wait_for_slot(waiting) => return (channel, backend),
            () = sleep_ms(MAX_BOUND_MS), if keeps_output => gives_up_output = true,
        }
    }
}

async fn sleep_ms(time_ms: u64) {
    tokio::time::sleep(Duration::from_millis(time_ms)).await;
}

impl<P: Platform> StreamedItem<'_, P> {
    async fn run_to_end(mut self) -> FinishedItem {
        let mut channel = SlotChannel::new(self.shared);
        loop {
            if !self.task.may_start(self.shared) {
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            }
            let ended = match self.shared.crash_status(self.outgoing.fingerprint) {
                QuarantineStatus::Clear if self.has_clear_parts() => {
                    self.run_in_slot(&mut channel).await
                }
                QuarantineStatus::Clear => self.run_as_probe().await,
                QuarantineStatus::Suspect | QuarantineStatus::Convicted { .. } => {
                    self.run_as_probe().await
                }
            };
            if let Some(ended) = ended {
                return ended;
            }
        }
    }

    /// Whether no part of its prompt is suspected of crashing engines.
    fn has_clear_parts(&self) -> bool {
        self.outgoing.part_status(self.shared).0 == CrashStatus::Allowed
    }

    /// Waits for a slot and runs the item at its engine until it ends, fails or is preempted. If
    /// the engine is silent, the item moves once another one has a slot for it.
    async fn run_in_slot(&mut self, channel: &mut SlotChannel<P>) -> Option<FinishedItem> {
        let mut backend = self.wait_for_slot(channel).await;
        let mut has_moved = false;
        loop {
            if !self.task.may_start(self.shared) || !self.has_clear_parts() {
                channel.release();
                return None;
            }
            let Some(server) = self.server(&backend) else {
                channel.release();
                let end = AttemptEnd::Failed(EngineError::Leaving);
                let tokens_before = self.received.tokens;
                return self.attempt_ended(end, Some(backend), tokens_before).await;
            };
            if !self.received.fits(&server.backend.software_version) {
                if !has_moved {
                    channel.release();
                    return None;
                }
                self.drop_output("its engine was silent and another version has a slot");
            }
            let tokens_before = self.received.tokens;
            let (other_channel, other_backend) = match self.attempt_at(&server, channel).await {
                SlotEnd::Preempted => return self.finished(),
                SlotEnd::Ended(end) => {
                    channel.release();
                    return self.attempt_ended(end, Some(backend), tokens_before).await;
                }
                SlotEnd::Moved(channel, backend) => (channel, backend),
            };
            log::debug!("item {} leaves a silent engine", self.task.item.custom_id);
            self.overtaken.push(server);
            self.avoid(std::mem::replace(&mut backend, other_backend));
            *channel = other_channel;
            has_moved = true;
            if self.received.finished {
                return self.finished();
            }
            if let Some(ended) = self.count_attempt("the engine was silent", tokens_before) {
                return Some(ended);
            }
        }
    }

    /// Waits for a slot at an engine that may go on with the output. Without such an engine the item
    /// starts again from nothing.
    async fn wait_for_slot(&mut self, channel: &mut SlotChannel<P>) -> BackendId {
        let mut waited_ms = 0;
        loop {
            let versions = self.versions();
            let (others, has_own) = &versions;
            if !others.is_empty() && (!has_own || waited_ms >= MAX_BOUND_MS) {
                self.drop_output("no engine of its version can go on with it");
            }
            let has_output = self.received.version.is_some();
            let mut waiting = self.waiting.clone();
            if has_output {
                waiting.avoid.extend(others.iter().cloned());
            }
            {
                let mut slot = pin!(channel.wait_for_slot(&waiting));
                loop {
                    tokio::select! {
                        backend = &mut slot => return backend,
                        () = sleep_ms(VERSION_CHECK_MS), if has_output => {}
                    }
                    waited_ms += VERSION_CHECK_MS;
                    let waited_enough = waited_ms >= MAX_BOUND_MS && !others.is_empty();
                    if waited_enough || self.versions() != versions {
                        break;
                    }
                }
            }
            *channel = SlotChannel::new(self.shared);
        }
    }

    /// The engines that may not go on with the output, and whether any other one is left that has
    /// not failed.
    fn versions(&self) -> (Vec<BackendId>, bool) {
        let backends = self.shared.backends.load();
        let (mut others, mut has_own) = (Vec::new(), false);
        for server in backends.serving(BackendKind::Engine, &self.waiting.target) {
            if !self.received.fits(&server.backend.software_version) {
                others.push(server.backend.id.clone());
                continue;
            }
            let has_failed = self.waiting.avoid.contains(&server.backend.id);
            has_own |= server.state() == FleetState::Live && !has_failed;
        }
        (others, has_own)
    }

    /// Drops the output, so that the item starts again from nothing. Its attempts stay counted.
    fn drop_output(&mut self, reason: &str) {
        log::info!("item {} starts again, {reason}", self.task.item.custom_id);
        self.received = ReceivedOutput::default();
    }

    fn server(&self, backend: &BackendId) -> Option<Arc<BackendState>> {
        let backends = self.shared.backends.load();
        let mut servers = backends.servers.iter();
        let server = servers.find(|server| server.backend.id == *backend);
        server.cloned()
    }

    /// Whether the item may leave a silent engine. On its last attempt it stays, so that silence
    /// alone never fails it.
    fn may_leave(&self) -> bool {
        self.failures + 1 < MAX_ITEM_ATTEMPTS
    }

    /// The waits for a slot at another engine than this one. Engines that failed before are avoided
    /// only if that leaves any.
    fn waiting_beside(&self, server: &BackendState) -> WaitingBeside {
        let mut any = self.waiting.clone();
        any.avoid.push(server.backend.id.clone());
        let backends = self.shared.backends.load();
        let serving = backends.serving(BackendKind::Engine, &any.target);
        let mut ids = serving.iter().map(|server| &server.backend.id);
        if ids.all(|id| any.avoid.contains(id)) {
            any.avoid = vec![server.backend.id.clone()];
        }
        let mut same_version = any.clone();
        for other in serving {
            if other.backend.software_version != server.backend.software_version {
                same_version.avoid.push(other.backend.id.clone());
            }
        }
        WaitingBeside { same_version, any }
    }

    async fn attempt_at(
        &mut self,
        server: &Arc<BackendState>,
        channel: &mut SlotChannel<P>,
    ) -> SlotEnd<P> {
        let bound_ms = dispatch::answer_timeout_ms(server, &self.outgoing);
        let watch = SilenceWatch::new(bound_ms, self.received.tokens > 0);
        let left_ms = self
            .task
            .deadline
            .0
            .saturating_sub(self.shared.clock.wall().0);
        let may_leave = self.may_leave();
        let waiting = self.waiting_beside(server);
        let (shared, outgoing) = (self.shared, &self.outgoing);
        let (received, overtaken) = (&mut self.received, &mut self.overtaken);
        let run = async {
            let timeout_ms = left_ms.max(bound_ms);
            match ItemAttempt::open(shared, outgoing, received, server, timeout_ms).await {
                Ok(attempt) => attempt.run(received, &watch, overtaken).await,
                Err(error) => AttemptEnd::Failed(error),
            }
        };
        tokio::select! {
            biased;
            () = channel.wait_for_preemption() => SlotEnd::Preempted,
            end = run => SlotEnd::Ended(end),
            (channel, backend) = wait_for_other(shared, &watch, &waiting), if may_leave => {
                SlotEnd::Moved(channel, backend)
            }
        }
    }

    /// Runs an item that was in flight at an engine crash as a probe.
    async fn run_as_probe(&mut self) -> Option<FinishedItem> {
        let (others, has_own) = self.versions();
        if !others.is_empty() && !has_own {
            self.drop_output("no engine of its version can go on with it");
        }
        let tokens_before = self.received.tokens;
        let received = self.received.clone();
        let mut attempts = AttemptHistory::new(received.version.clone());
        let resume = (received.tokens > 0).then_some(Resume {
            tokens: received.tokens,
            text: &received.text,
        });
        let opened = sending::open(self.shared, &self.outgoing, resume, &mut attempts).await;
        let end = match opened {
            Ok(opened) => {
                let bound_ms = dispatch::answer_timeout_ms(&opened.server, &self.outgoing);
                let (watch, may_leave) = (SilenceWatch::new(bound_ms, false), self.may_leave());
                let attempt = ItemAttempt::of_probe(self.shared, &self.outgoing, opened);
                tokio::select! {
                    biased;
                    end = attempt.run(&mut self.received, &watch, &mut self.overtaken) => end,
                    () = watch.wait_for_silence(), if may_leave => {
                        AttemptEnd::Failed(EngineError::Stalled { bound_ms })
                    }
                }
            }
            Err(refusal) if is_quarantine_over_soon(&refusal) => {
                let wait_ms = refusal.retry_after_ms.unwrap_or(RETRY_DELAY_MS);
                sleep_ms(wait_ms.clamp(RETRY_DELAY_MS, QUARANTINE_CHECK_MS)).await;
                return None;
            }
            Err(refusal) if refusal.reason == RefusalReason::Quarantined => {
                let message = refusal.to_string();
                return Some(self.task.failed(&self.outgoing.id, "quarantined", message));
            }
            Err(_) if attempts.tried.is_empty() && !self.task.may_start(self.shared) => {
                return None;
            }
            Err(refusal) => {
                self.failures += attempts.tried.len() as u32;
                if !others.is_empty() {
                    self.drop_output("no engine of its version went on with it");
                }
                tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                return self.fail_if_exhausted(&refusal.to_string());
            }
        };
        self.attempt_ended(end, None, tokens_before).await
    }

    async fn attempt_ended(
        &mut self,
        end: AttemptEnd,
        backend: Option<BackendId>,
        tokens_before: u64,
    ) -> Option<FinishedItem> {
        let ended = match end {
            AttemptEnd::Whole(answer) => self.handle_answer(&answer),
            AttemptEnd::Finished => self.finished(),
            AttemptEnd::Failed(_) if self.received.finished => self.finished(),
            AttemptEnd::Failed(error) => self.failed(backend, &error, tokens_before),
        };
        if ended.is_none() {
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
        ended
    }

    /// Ends the item if its text is complete.
    fn finished(&mut self) -> Option<FinishedItem> {
        if !self.received.finished {
            return None;
        }
        let whole = self.received.whole_answer(&self.outgoing);
        match whole {
            Ok(answer) => self.handle_answer(&answer),
            Err(error) => {
                self.received = ReceivedOutput::default();
                self.count_failure(&error.to_string())
            }
        }
    }

    /// Ends the item with this answer. If the engine refused to continue output of another engine,
    /// the item starts from the beginning instead.
    fn handle_answer(&mut self, answer: &WholeAnswer) -> Option<FinishedItem> {
        if answer.status.is_client_error() && self.received.tokens > 0 {
            self.received = ReceivedOutput::default();
            return self.count_failure(&format!("a continuation got status {}", answer.status));
        }
        let ended = self.task.handle_answer(&self.outgoing.id, answer);
        if ended.is_some() {
            self.shared.timeline.note(TimelineEvent::Answered {
                request: self.outgoing.id.clone(),
            });
            return ended;
        }
        self.count_failure("the answer is not JSON")
    }

    /// Counts a failure against the item if its engine ran it without any progress. An engine that
    /// was full, leaving or not connected does not count, nor does one that was lost after it returned tokens.
    fn failed(
        &mut self,
        backend: Option<BackendId>,
        error: &EngineError,
        tokens_before: u64,
    ) -> Option<FinishedItem> {
        log::debug!("item {} failed: {error}", self.task.item.custom_id);
        if let Some(backend) = backend {
            self.avoid(backend);
        }
        let is_not_sent = matches!(error, EngineError::Send(SendError::NotSent { .. }));
        if is_not_sent || matches!(error, EngineError::Full | EngineError::Leaving) {
            return None;
        }
        if matches!(error, EngineError::NotResumed { .. }) {
            self.drop_output("an engine did not go on with it");
        }
        self.count_attempt(&error.to_string(), tokens_before)
    }

    /// Counts an attempt that did not end the item. It is a failure if it made no progress.
    fn count_attempt(&mut self, detail: &str, tokens_before: u64) -> Option<FinishedItem> {
        if self.received.tokens > tokens_before && self.broken_attempts < MAX_BROKEN_ATTEMPTS {
            self.broken_attempts += 1;
            return None;
        }
        self.count_failure(detail)
    }

    fn count_failure(&mut self, detail: &str) -> Option<FinishedItem> {
        self.failures += 1;
        self.fail_if_exhausted(detail)
    }

    fn fail_if_exhausted(&self, detail: &str) -> Option<FinishedItem> {
        if self.failures < MAX_ITEM_ATTEMPTS {
            return None;
        }
        let id = &self.outgoing.id;
        Some(self.task.failed(id, "backend_failed", detail.to_owned()))
    }

    /// Excludes an engine from the next attempts; clears the exclusions once every engine has
    /// failed.
    fn avoid(&mut self, backend: BackendId) {
        let backends = self.shared.backends.load();
        let serving = backends.serving(BackendKind::Engine, &self.waiting.target);
        self.waiting.avoid.push(backend);
        if self.waiting.avoid.len() >= serving.len() {
            self.waiting.avoid.clear();
        }
    }
}
