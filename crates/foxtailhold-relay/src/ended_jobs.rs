//! Ends of batch jobs that instances tell each other beside the store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhold::end_rounds::EndRounds;
use foxtailhold::ids::JobId;
use foxtailhold::time::MonoMs;
use foxtailhold_http::clock::Clock;
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
    /// Jobs that were ended elsewhere, and when that was told, until the copy has their ends.
    told: HashMap<JobId, MonoMs>,
    /// Those of them that were told to this instance alone, and that nobody here looks after yet.
    handed_on: Vec<JobId>,
    rounds: EndRounds<SocketAddr>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    clock: Clock,
    answered: Notify,
    handed_on: Notify,
}

/// Ends that this instance has acknowledged, and those that others have told it; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct EndedJobs(Arc<Inner>);

impl EndedJobs {
    /// Records that a job was ended by a call at this instance, before the caller is answered.
    pub fn record_own(&self, job: &JobId) {
        let now = self.0.clock.mono();
        let mut state = self.0.state.lock();
        state.own.retain(|(at, _)| now.since_ms(*at) <= TOLD_FOR_MS);
        state.own.push((now, job.clone()));
    }

    /// The jobs that were lately ended at this instance.
    pub fn own(&self) -> Vec<JobId> {
        let now = self.0.clock.mono();
        let state = self.0.state.lock();
        let newest_first = state.own.iter().rev().take(MAX_TOLD_JOBS);
        newest_first
            .take_while(|(at, _)| now.since_ms(*at) <= TOLD_FOR_MS)
            .map(|(_, job)| job.clone())
            .collect()
    }

    /// Records jobs that another instance has ended.
    pub fn record_told(&self, jobs: Vec<JobId>) {
        let now = self.0.clock.mono();
        let told = jobs.into_iter().map(|job| (job, now));
        self.0.state.lock().told.extend(told);
    }

    /// Records jobs whose ends another instance was asked for, and tells the instances that run them.
    pub fn record_handed_on(&self, jobs: Vec<JobId>) {
        let now = self.0.clock.mono();
        let mut state = self.0.state.lock();
        state.told.extend(jobs.iter().map(|job| (job.clone(), now)));
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
        self.0.state.lock().told.contains_key(job)
    }

    /// Forgets the told ends that the copy has. `is_open` tells whether a job is open in it; `None` if it
    /// does not know the job, whose row may come later.
    pub fn keep_only(&self, is_open: impl Fn(&JobId) -> Option<bool>) {
        let now = self.0.clock.mono();
        let mut state = self.0.state.lock();
        state.told.retain(|job, told_at| {
            is_open(job).unwrap_or_else(|| now.since_ms(*told_at) <= TOLD_FOR_MS)
        });
    }

    /// Begins a round of questions to the other instances that are alive; returns its number.
    pub fn ask(&self, now: MonoMs, members: &[SocketAddr]) -> u64 {
        self.0.state.lock().rounds.ask(now, members)
    }

    /// Members whose answer to the latest round is missing.
    pub fn waiting(&self) -> Vec<SocketAddr> {
        self.0.state.lock().rounds.waiting().collect()
    }

    /// Applies an answer to a round.
    pub fn record_answer(&self, round: u64, from: SocketAddr) {
        self.0.state.lock().rounds.answer(round, from);
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
