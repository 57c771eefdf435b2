//! Ends of batch jobs that instances tell each other beside the store.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhold::end_rounds::{AskedMember, EndAnswer, EndRounds};
use foxtailhold::ids::JobId;
use foxtailhold::time::MonoMs;
use foxtailhold_http::lock::Mutex;
use tokio::sync::Notify;

/// Time for which ends are told.
const TOLD_FOR_MS: u64 = 60_000;
/// Most ends in one message, within the size of a datagram.
const MAX_TOLD_JOBS: usize = 400;

#[derive(Debug, Default)]
struct State {
    /// Jobs that were ended here, oldest first.
    own: Vec<(MonoMs, JobId)>,
    /// Jobs that were ended elsewhere and are open in the copy.
    told: HashSet<JobId>,
    /// Those of them that were told to this instance alone, and that nobody here looks after yet.
    handed_on: Vec<JobId>,
    rounds: EndRounds<SocketAddr>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    answered: Notify,
    handed_on: Notify,
}

/// Ends that this instance has acknowledged, and those that others have told it; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct EndedJobs(Arc<Inner>);

impl EndedJobs {
    /// Records that a job was ended by a call at this instance, before the caller is answered.
    pub fn record_own(&self, job: &JobId, now: MonoMs) {
        let mut state = self.0.state.lock();
        state.own.retain(|(at, _)| now.since_ms(*at) <= TOLD_FOR_MS);
        state.own.push((now, job.clone()));
    }

    /// The jobs that were lately ended at this instance, and the time up to now of which these are all.
    /// `now` is counted from the start of the process.
    pub fn own(&self, now: MonoMs) -> (Vec<JobId>, u64) {
        let state = self.0.state.lock();
        let recent: Vec<&(MonoMs, JobId)> = state.own.iter().rev().take(MAX_TOLD_JOBS).collect();
        let covers_ms = match recent.last() {
            Some((at, _)) if recent.len() == MAX_TOLD_JOBS => now.since_ms(*at),
            _ => now.0.min(TOLD_FOR_MS),
        };
        let jobs = recent.into_iter().map(|(_, job)| job.clone());
        (jobs.collect(), covers_ms)
    }

    /// Records jobs that another instance has ended.
    pub fn record_told(&self, jobs: Vec<JobId>) {
        self.0.state.lock().told.extend(jobs);
    }

    /// Records jobs whose ends another instance was asked for, and tells the instances that run them.
    pub fn record_handed_on(&self, jobs: Vec<JobId>) {
        let mut state = self.0.state.lock();
        state.told.extend(jobs.iter().cloned());
        state.handed_on.extend(jobs);
        drop(state);
        self.0.handed_on.notify_one();
    }

    /// The next job whose end was handed on to this instance, for its one task that looks after them.
    pub async fn next_handed_on(&self) -> JobId {
        loop {
            if let Some(job) = self.0.state.lock().handed_on.pop() {
                return job;
            }
            self.0.handed_on.notified().await;
        }
    }

    /// Whether another instance has told the end of a job.
    pub fn is_told(&self, job: &JobId) -> bool {
        self.0.state.lock().told.contains(job)
    }

    /// Forgets the told ends of jobs that are no longer open in the copy.
    pub fn keep_only(&self, is_open: impl Fn(&JobId) -> bool) {
        self.0.state.lock().told.retain(|job| is_open(job));
    }

    /// Begins a round of questions to the other instances that may have ended a job since `known_as_of`;
    /// returns its number.
    pub fn ask(
        &self,
        now: MonoMs,
        known_as_of: MonoMs,
        members: &[AskedMember<SocketAddr>],
    ) -> u64 {
        let mut state = self.0.state.lock();
        state.rounds.ask(now, known_as_of, members)
    }

    /// Members whose answer to the latest round is missing.
    pub fn waiting(&self) -> Vec<SocketAddr> {
        self.0.state.lock().rounds.waiting().collect()
    }

    /// Applies an answer to a round.
    pub fn record_answer(&self, round: u64, from: SocketAddr, answer: EndAnswer) {
        let mut state = self.0.state.lock();
        state.rounds.answer(round, from, answer);
        drop(state);
        self.0.answered.notify_waiters();
    }

    /// All ends that were acknowledged before this moment are known here.
    pub fn complete_as_of(&self) -> Option<MonoMs> {
        self.0.state.lock().rounds.complete_as_of()
    }

    /// Waits until all ends acknowledged before `moment` are known.
    pub async fn wait_complete(&self, moment: MonoMs) {
        loop {
            let answered = self.0.answered.notified();
            if self.complete_as_of() >= Some(moment) {
                return;
            }
            answered.await;
        }
    }
}
