//! Items as streams under the marks of stewards. An item that is cut keeps what it received and
//! goes on by continuation at the next place. An item suspected of crashes needs no place: it goes
//! where its trial is granted.

use std::time::Duration;

use foxtailhold::batch::MAX_ITEM_ATTEMPTS;
use foxtailhold::batch_control::scheduler::WaitingItem;
use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::QuarantineStatus;
use foxtailhold::refusal::RefusalReason;
use foxtailhold::replicas::BackendKind;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_engine::{EngineError, Resume, WholeAnswer};
use foxtailhold_platform::Platform;

use crate::gateway::dispatch::{self, AttemptHistory, OutgoingRequest};
use crate::jobs::item::{EndedItem, ItemPolicy, ItemRun};
use crate::jobs::item_attempt::{ItemAttempt, LegEnd};
use crate::jobs::item_body::{ItemBody, Received};
use crate::jobs::slot_wait::PlaceLine;
use crate::shared::Shared;

/// Pause after an engine failed an item or refused it.
const FAILED_PAUSE_MS: u64 = 100;
/// Legs of one item that may fail after they brought tokens.
const MAX_BROKEN_LEGS: u32 = 32;

/// Items as streams under the marks of stewards.
#[derive(Debug, Clone, Copy)]
pub struct StewardItems;

/// An item between its legs.
struct Run<'a, P: Platform> {
    shared: &'a Shared<P>,
    run: &'a ItemRun<'a>,
    outgoing: OutgoingRequest,
    received: Received,
    waiting: WaitingItem,
    failures: u32,
    broken_legs: u32,
}

impl ItemPolicy for StewardItems {
    async fn run<P: Platform>(
        &self,
        shared: &Shared<P>,
        run: &ItemRun<'_>,
        body: ItemBody,
    ) -> EndedItem {
        let waiting = WaitingItem {
            target: body.model.clone(),
            deadline: run.deadline,
            order: run.order,
            avoid: Vec::new(),
        };
        let run = Run {
            shared,
            run,
            outgoing: run.outgoing(shared.request_id(), body),
            received: Received::default(),
            waiting,
            failures: 0,
            broken_legs: 0,
        };
        run.until_ended().await
    }
}

impl<P: Platform> Run<'_, P> {
    async fn until_ended(mut self) -> EndedItem {
        let mut line = PlaceLine::new(self.shared);
        loop {
            if !self.run.is_owned(self.shared) {
                tokio::time::sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
                continue;
            }
            let ended = match self.shared.crash_status(self.outgoing.fingerprint) {
                QuarantineStatus::Clear => self.next_leg(&mut line).await,
                QuarantineStatus::Suspect | QuarantineStatus::Convicted { .. } => {
                    self.trial_leg().await
                }
            };
            if let Some(ended) = ended {
                return ended;
            }
        }
    }

    /// Waits for a place and runs the item there, until it ends, fails or is cut.
    async fn next_leg(&mut self, line: &mut PlaceLine<P>) -> Option<EndedItem> {
        let backend = line.place(&self.waiting).await;
        if !self.run.is_owned(self.shared) {
            line.leave();
            return None;
        }
        let before = self.received.tokens;
        let end = tokio::select! {
            biased;
            () = line.cut() => return self.finished(),
            end = self.leg_at(&backend) => end,
        };
        line.leave();
        self.leg_ended(end, Some(backend), before).await
    }

    async fn leg_at(&mut self, backend: &BackendId) -> LegEnd {
        let backends = self.shared.backends.load_full();
        let mut servers = backends.servers.iter();
        let Some(server) = servers.find(|server| server.backend.id == *backend) else {
            return LegEnd::Failed(EngineError::Leaving);
        };
        let opened = ItemAttempt::open(self.shared, &self.outgoing, &self.received, server).await;
        match opened {
            Ok(leg) => leg.run(&mut self.received).await,
            Err(error) => LegEnd::Failed(error),
        }
    }

    /// Runs an item that was in flight at a crash, in the trial that it is granted.
    async fn trial_leg(&mut self) -> Option<EndedItem> {
        let before = self.received.tokens;
        let mut attempts = AttemptHistory::default();
        let received = self.received.clone();
        let resume = (received.tokens > 0).then_some(Resume {
            tokens: received.tokens,
            text: &received.text,
        });
        let opened = dispatch::open(self.shared, &self.outgoing, resume, &mut attempts).await;
        let end = match opened {
            Ok(opened) => {
                let leg = ItemAttempt::of_trial(self.shared, &self.outgoing, opened);
                leg.run(&mut self.received).await
            }
            Err(refusal) if refusal.reason == RefusalReason::Quarantined => {
                let message = refusal.to_string();
                return Some(self.run.failed(&self.outgoing.id, "quarantined", message));
            }
            Err(refusal) => {
                self.failures += attempts.tried.len() as u32;
                tokio::time::sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
                return self.given_up(&refusal.to_string());
            }
        };
        self.leg_ended(end, None, before).await
    }

    async fn leg_ended(
        &mut self,
        end: LegEnd,
        backend: Option<BackendId>,
        before: u64,
    ) -> Option<EndedItem> {
        let ended = match end {
            LegEnd::Whole(answer) => self.answered(&answer),
            LegEnd::Finished => self.finished(),
            LegEnd::Failed(_) if self.received.finished => self.finished(),
            LegEnd::Failed(error) => self.failed(backend, &error, before),
        };
        if ended.is_none() {
            tokio::time::sleep(Duration::from_millis(FAILED_PAUSE_MS)).await;
        }
        ended
    }

    /// Ends the item where its whole text is there.
    fn finished(&mut self) -> Option<EndedItem> {
        if !self.received.finished {
            return None;
        }
        let whole = self.received.whole_answer(&self.outgoing);
        match whole {
            Ok(answer) => self.answered(&answer),
            Err(error) => {
                self.received = Received::default();
                self.count_failure(&error.to_string())
            }
        }
    }

    /// Ends the item, unless the engine refused to go on from what another one had sent: then it
    /// begins anew.
    fn answered(&mut self, answer: &WholeAnswer) -> Option<EndedItem> {
        if answer.status.is_client_error() && self.received.tokens > 0 {
            self.received = Received::default();
            return self.count_failure(&format!("a continuation got status {}", answer.status));
        }
        let ended = self.run.answered(&self.outgoing.id, answer);
        if ended.is_some() {
            self.shared.timeline.note(TimelineEvent::Answered {
                request: self.outgoing.id.clone(),
            });
            return ended;
        }
        self.count_failure("the answer is not JSON")
    }

    /// Counts a failure against the item where its engine ran it without any progress. An engine
    /// that was full or left, and one that was lost under a running stream, failed by itself.
    fn failed(
        &mut self,
        backend: Option<BackendId>,
        error: &EngineError,
        before: u64,
    ) -> Option<EndedItem> {
        log::debug!("item {} failed: {error}", self.run.item.custom_id);
        if let Some(backend) = backend {
            self.avoid(backend);
        }
        if matches!(error, EngineError::Full | EngineError::Leaving) {
            return None;
        }
        if self.received.tokens > before && self.broken_legs < MAX_BROKEN_LEGS {
            self.broken_legs += 1;
            return None;
        }
        self.count_failure(&error.to_string())
    }

    fn count_failure(&mut self, detail: &str) -> Option<EndedItem> {
        self.failures += 1;
        self.given_up(detail)
    }

    fn given_up(&self, detail: &str) -> Option<EndedItem> {
        if self.failures < MAX_ITEM_ATTEMPTS {
            return None;
        }
        let id = &self.outgoing.id;
        Some(self.run.failed(id, "backend_failed", detail.to_owned()))
    }

    /// Goes to another engine next; to any once all have failed it.
    fn avoid(&mut self, backend: BackendId) {
        let backends = self.shared.backends.load();
        let serving = backends.serving(BackendKind::Engine, &self.waiting.target);
        self.waiting.avoid.push(backend);
        if self.waiting.avoid.len() >= serving.len() {
            self.waiting.avoid.clear();
        }
    }
}
