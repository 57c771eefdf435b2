//! When a batch item may be tried again. Its attempts have no end before the item is given up; these
//! delays bound how often it comes back.

use std::sync::atomic::Ordering;
use std::time::Duration;

use foxtailhold::crashes::{CrashStatus, MAX_CRASHES};
use foxtailhold::ids::{BackendId, TargetName};
use foxtailhold::time::MonoMs;
use foxtailhold::trials::TrialOrder;
use foxtailhold_platform::{ObjectStore, RowStore};
use tokio::sync::watch;
use tokio::time::Instant;

use super::{ItemRunner, RETRY_DELAY_MS};
use crate::dialect::Dialect;
use crate::fleet::BackendServer;
use crate::item_waits::WaitCause;
use crate::jobs::Job;
use crate::jobs::backoff::Backoff;
use crate::relay::{Admission, ProbeStage};
use crate::trials::TrialPermit;
use crate::upstream::AttemptFailure;

/// Longest delay after interruptions in a row without a new event. An item with only broken responses
/// must not keep engines busy, and a sound one is placed within 5 s once engines answer.
const MAX_RETRY_DELAY_MS: u64 = 4_000;
/// Interval at which an item in backoff checks its route, job and deadline.
const BACKOFF_CHECK_MS: u64 = 1_000;
/// Delay before an attempt at an item of which too many attempts have an unknown outcome. Each of
/// them may have been answered that it can never be completed.
const PENDING_BACKOFF_MS: u64 = 10_000;
/// Least and largest number of events after which a trial is passed. Other items wait meanwhile.
pub(super) const TRIAL_EVENTS: (u64, u64) = (8, 64);
/// Interval at which an item asks again to be tried.
const TRIAL_CHECK_MS: u64 = 100;

/// A trial of an item.
#[derive(Debug)]
pub(super) struct Trial {
    /// Crashes that were known when it began.
    crashes: usize,
    begun: Instant,
    permit: TrialPermit,
}

/// An attempt that may have crashed its backend server: it was ended here, or its backend server
/// fell silent.
#[derive(Debug)]
pub(super) struct UnknownEnd {
    /// Its number among the attempts without a known result.
    number: u64,
    backend: BackendId,
    ended: MonoMs,
}

impl<S: RowStore + ObjectStore, D: Dialect> ItemRunner<'_, S, D> {
    /// Waits before the next attempt, because too many have an unknown outcome.
    pub(super) async fn back_off_after_pending_attempts(&mut self, job: &Job) {
        log::info!(
            job = self.id.as_str(), item = self.item.id.as_str(),
            open = self.counts.pending, rest_ms = PENDING_BACKOFF_MS; "item in backoff"
        );
        self.granted = None;
        self.trial_ticket = None;
        let until = Instant::now() + Duration::from_millis(PENDING_BACKOFF_MS);
        let limit = Duration::from_millis(PENDING_BACKOFF_MS);
        self.wait_for(WaitCause::LostOwners, Some(limit));
        let is_open = || self.jobs.time_left_ms(job) > 0;
        while Instant::now() < until && self.is_still_owned() && is_open() {
            let check_at = Instant::now() + Duration::from_millis(BACKOFF_CHECK_MS);
            tokio::time::sleep_until(until.min(check_at)).await;
        }
        self.is_pending_backoff_over = true;
    }

    /// Returns whether it waited, so that the route, job and deadline may have changed.
    pub(super) async fn back_off(&mut self, job: &Job) -> bool {
        let crashes = self.jobs.relay.peers.crashes();
        if crashes.is_empty() {
            self.unknown_backoff = Backoff::default();
        } else {
            // An attempt with an unknown outcome may have crashed its backend server as well.
            let crashes =
                crashes.crash_count(self.fingerprints(job)) + self.counts.pending as usize;
            if let Some(delay_ms) = self.backoff.begin_after_crashes(crashes) {
                log::info!(
                    job = self.id.as_str(), item = self.item.id.as_str(),
                    crashes = crashes, rest_ms = delay_ms; "item in backoff"
                );
            }
            self.back_off_after_unknown_ends(crashes);
        }
        let known = (self.backoff.remaining(), WaitCause::Backoff);
        let unknown = (self.unknown_backoff.remaining(), WaitCause::UnknownEnds);
        let (remaining, cause) = if unknown.0 > known.0 { unknown } else { known };
        if remaining.is_zero() {
            return false;
        }
        self.wait_for(cause, Some(remaining));
        self.granted = None;
        self.trial_ticket = None;
        tokio::time::sleep(remaining.min(Duration::from_millis(BACKOFF_CHECK_MS))).await;
        true
    }

    /// Records that an attempt has ended, before its result is known.
    pub(super) fn record_unknown_end(&mut self, number: u64, backend: &BackendServer) {
        let pending = &self.jobs.relay.pending_attempts;
        self.unknown_ends
            .retain(|end| pending.is_pending(end.number));
        self.unknown_ends.push(UnknownEnd {
            number,
            backend: backend.id.clone(),
            ended: self.jobs.relay.clock.mono(),
        });
    }

    /// Begins a backoff if attempts ended without a result, as after the crashes of all their backend
    /// servers. It ends as soon as these have shown a sign of life.
    fn back_off_after_unknown_ends(&mut self, crashes: usize) {
        let relay = &self.jobs.relay;
        self.unknown_ends.retain(|end| {
            relay.pending_attempts.is_pending(end.number)
                && !relay.peers.has_heard_since(&end.backend, end.ended)
        });
        let unknown = self.unknown_ends.len();
        if unknown == 0 {
            self.unknown_backoff = Backoff::default();
            return;
        }
        let delay_ms = self.unknown_backoff.begin_after_crashes(crashes + unknown);
        if let Some(delay_ms) = delay_ms {
            log::info!(
                job = self.id.as_str(), item = self.item.id.as_str(),
                crashes = crashes, unknown = unknown, rest_ms = delay_ms;
                "item in backoff, attempts have no known result yet"
            );
        }
    }

    /// Number of crashes under the item, if they are so many that it has to run as a trial.
    pub(super) fn crashes_to_try(&self, job: &Job) -> Option<usize> {
        let evidence = self.jobs.relay.peers.crashes();
        if evidence.is_empty() {
            return None;
        }
        let crashes = evidence.crash_count(self.fingerprints(job));
        let passed = self.passed_crashes.load(Ordering::Relaxed);
        (crashes >= MAX_CRASHES && crashes > passed).then_some(crashes)
    }

    /// Begins a trial of the item if it is its turn, and else keeps its place among those that wait.
    pub(super) fn begin_trial(&mut self, crashes: usize) -> bool {
        let ticket = self.trial_ticket.take();
        let relay = &self.jobs.relay;
        let evidence = relay.peers.crashes();
        let ticket = ticket.unwrap_or_else(|| {
            evidence.seek_trial(TrialOrder {
                crashed_trials: self.crashed_trials,
                missed_trials: self.missed_trials,
                crashes,
                idle_since: self.idle_since,
                number: rand::random(),
            })
        });
        if let Some(permit) = ticket.admit(relay.clock.mono()) {
            *self.trial.lock() = Some(Trial {
                crashes,
                begun: Instant::now(),
                permit,
            });
            return true;
        }
        self.trial_ticket = Some(ticket);
        false
    }

    /// Waits before the item asks for a trial again.
    pub(super) async fn wait_for_trial(&mut self) {
        self.wait_for(WaitCause::TrialPermit, None);
        tokio::time::sleep(Duration::from_millis(TRIAL_CHECK_MS)).await;
    }

    /// Whether an attempt at `service` may seek a slot, given what its prompt shares with others.
    pub(super) fn admit_parts(&self, job: &Job, service: &TargetName) -> Admission {
        let relay = &self.jobs.relay;
        if relay.peers.crashes().is_empty() {
            return Admission::Free;
        }
        let keys = self.evidence_keys(job);
        relay.admit_parts(ProbeStage::SeekSlot, &keys, service, Admission::Free)
    }

    /// Waits after a refusal until a part is acquitted, the refusal is over or the route, job and
    /// deadline are due for a check.
    pub(super) async fn wait_for_parts(
        &mut self,
        job: &Job,
        service: Option<&TargetName>,
        acquittals: watch::Receiver<()>,
        retry_after_ms: u64,
    ) {
        let crashes = self.jobs.relay.peers.crashes();
        let now = self.jobs.relay.clock.wall();
        let request = self.fingerprints(job).path;
        let status = service.map(|service| {
            let (status, _) = crashes.group_status_of_owed(request, &self.parts, service, now);
            status
        });
        match status {
            Some(CrashStatus::Refused { left_ms }) => {
                let left = Duration::from_millis(left_ms);
                self.wait_for(WaitCause::SuspectedParts, Some(left));
            }
            _ => self.wait_for(WaitCause::ProbeTurn, None),
        }
        let limit = Duration::from_millis(retry_after_ms.min(BACKOFF_CHECK_MS));
        crashes.wait_acquittal(acquittals, limit).await;
    }

    /// Lets another item seek a slot for a probe of the parts of this one, which has not reached a
    /// backend server.
    pub(super) fn release_reservation(&self, admission: Admission) {
        if admission == Admission::Probe {
            let crashes = self.jobs.relay.peers.crashes();
            crashes.release_reservation(&self.parts);
        }
    }

    /// Events of one attempt after which its trial is passed: clearly more than those of the trials
    /// before it that were interrupted.
    pub(super) fn trial_events(&self) -> u64 {
        let (least, most) = TRIAL_EVENTS;
        (2 * self.trial_interrupted_after).clamp(least, most)
    }

    /// Whether the next attempt is a probe that all other items with a suspected group wait for.
    pub(super) fn is_first_probe(
        &self,
        job: &Job,
        service: Option<&TargetName>,
        admission: Admission,
    ) -> bool {
        let (Admission::Probe, Some(service)) = (admission, service) else {
            return false;
        };
        let relay = &self.jobs.relay;
        let (_, group) = relay.group_status(&self.evidence_keys(job), service);
        let group = group.unwrap_or_default();
        let crashes = relay.peers.crashes();
        !crashes.has_passed_probe(&group, relay.clock.mono())
    }

    /// Ends the trial of an item that has shown that it runs.
    pub(super) fn pass_trial(&self) {
        if let Some(trial) = self.end_trial("passed") {
            self.passed_crashes.store(trial.crashes, Ordering::Relaxed);
            trial.permit.pass();
        }
    }

    /// Ends the trial of the item, if it is on trial.
    pub(super) fn end_trial(&self, outcome: &'static str) -> Option<Trial> {
        let trial = self.trial.lock().take()?;
        log::info!(
            job = self.id.as_str(), item = self.item.id.as_str(), outcome = outcome,
            crashes = trial.crashes, events = self.events(),
            held_ms = trial.begun.elapsed().as_millis() as u64;
            "trial of an item ended"
        );
        Some(trial)
    }

    /// Delays the next attempt, for longer the more often in a row engines broke off without giving
    /// an event, and at least for the backoff of an item that may crash them.
    pub(super) fn delay_after_failure(&mut self, job: &Job, failure: AttemptFailure) {
        let crashes = self.jobs.relay.peers.crashes();
        let crashes = crashes.crash_count(self.fingerprints(job));
        match failure {
            AttemptFailure::Closed => self.backoff.begin_after_failure(crashes),
            AttemptFailure::Silent => {
                // Each attempt with an unknown outcome may have been a crash as well.
                let crashes = crashes + self.counts.pending as usize;
                self.backoff.begin_after_failure(crashes);
                return;
            }
            AttemptFailure::Broken => {}
            AttemptFailure::Unreachable
            | AttemptFailure::NotRun
            | AttemptFailure::Failed
            | AttemptFailure::TimeOver
            | AttemptFailure::TooLate
            | AttemptFailure::NoMemory => return,
        }
        self.interruptions += 1;
        if self.interruptions < 2 {
            return;
        }
        let delay_ms = RETRY_DELAY_MS << (self.interruptions - 2).min(16);
        self.backoff.extend(delay_ms.min(MAX_RETRY_DELAY_MS));
    }
}
