//! Ends batch jobs on behalf of their callers.
//!
//! An end that was asked for goes on in the background after its caller has left, with one task per job.
//! The job's owner is told at each attempt, so that it starts no further items and its changes of the
//! row no longer come first. Whoever is told also sees to it that the end is stored.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::JobId;
use foxtailhold_http::lock::Mutex;
use foxtailhold_platform::{Committed, ObjectStore, PlatformError, RowStore};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::dialect::Dialect;
use crate::jobs::cache::CachedJob;
use crate::jobs::owner::next_owner;
use crate::jobs::store::JOB_ROWS;
use crate::jobs::{Job, JobError, Jobs, Result};
use crate::retry_delay::RetryDelay;

/// First and longest delay between two attempts.
const RETRY_DELAY_MS: (u64, u64) = (20, 500);

/// How an end has gone: the number of its commits, or why it is given up.
type Outcome = Result<u32>;

/// Ends of jobs that go on at this instance.
#[derive(Debug)]
pub struct EndsUnderWay {
    ack_ms: u64,
    ends: Mutex<HashMap<JobId, watch::Receiver<Option<Outcome>>>>,
    count: watch::Sender<usize>,
}

impl EndsUnderWay {
    /// None so far. An end without an acknowledgement counts as acknowledged after `ack_ms`.
    pub fn new(ack_ms: u64) -> Self {
        EndsUnderWay {
            ack_ms,
            ends: Mutex::default(),
            count: watch::Sender::new(0),
        }
    }

    /// Number of ends that go on.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until none goes on.
    pub async fn wait_settled(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as this.
        let _ = count.wait_for(|count| *count == 0).await;
    }

    fn outcome(&self, id: &JobId) -> Option<watch::Receiver<Option<Outcome>>> {
        self.ends.lock().get(id).cloned()
    }

    fn remove(&self, id: &JobId) {
        let mut ends = self.ends.lock();
        ends.remove(id);
        self.count.send_replace(ends.len());
    }

    /// Time for which a caller is kept waiting, well before it counts its end as acknowledged.
    fn answer_limit(&self) -> Duration {
        Duration::from_millis(self.ack_ms - self.ack_ms / 8)
    }

    /// Time for which an end that was told is left to whoever told it.
    fn told_delay(&self) -> Duration {
        Duration::from_millis(self.ack_ms / 4)
    }
}

/// One end that goes on.
#[derive(Debug)]
struct Ending<'a> {
    id: &'a JobId,
    started: Instant,
    commits: u32,
    /// Whether it may take effect after it is given up: a commit had no answer, or others were told.
    may_take_effect: bool,
}

fn goes_on() -> JobError {
    JobError::Unknown(PlatformError::Unknown {
        service: "row store",
        detail: "no answer in time, the end goes on".into(),
    })
}

impl<S: RowStore + ObjectStore, D: Dialect> Jobs<S, D> {
    /// Ends a job. Its listed results stay readable. The end goes on if this is dropped or returns
    /// [`JobError::Unknown`]: until the job has ended, is complete or deleted, the store refuses the
    /// end, or the job's items are given up by time, `ack_ms` at least. An end of a job that is not
    /// known here goes on for `ack_ms` at most.
    pub async fn end(self: &Arc<Self>, id: &JobId) -> Result<()> {
        let started = Instant::now();
        let known = self.cache.get(id);
        let outcome = match self.ends.outcome(id) {
            Some(outcome) => outcome,
            None if known.is_some_and(|known| !known.job.is_open()) => self.start_end(id),
            None => {
                if let Err(error) = self.check_store(id).await {
                    log_end(id, started, &Err(error.clone()));
                    return Err(error);
                }
                self.start_end(id)
            }
        };
        let outcome = tokio::time::timeout(self.ends.answer_limit(), wait_outcome(outcome)).await;
        outcome.unwrap_or_else(|_| Err(goes_on())).map(|_| ())
    }

    fn start_end(self: &Arc<Self>, id: &JobId) -> watch::Receiver<Option<Outcome>> {
        let mut ends = self.ends.ends.lock();
        if let Some(outcome) = ends.get(id) {
            return outcome.clone();
        }
        let (sender, outcome) = watch::channel(None);
        ends.insert(id.clone(), outcome.clone());
        self.ends.count.send_replace(ends.len());
        let (jobs, id) = (Arc::clone(self), id.clone());
        tokio::spawn(async move {
            let ending = Ending {
                id: &id,
                started: Instant::now(),
                commits: 0,
                may_take_effect: false,
            };
            let started = ending.started;
            let ended = jobs.run_end(ending).await;
            log_end(&id, started, &ended);
            jobs.ends.remove(&id);
            sender.send_replace(Some(ended));
        });
        outcome
    }

    async fn run_end(&self, mut ending: Ending<'_>) -> Outcome {
        let mut delay = RetryDelay::new(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
        loop {
            let error = match self.try_end(&mut ending).await {
                Ok(true) => return Ok(ending.commits),
                Ok(false) => JobError::Contended {
                    changes: "changes of the job",
                },
                Err(
                    error @ (JobError::NotFound
                    | JobError::Rejected(_)
                    | JobError::Malformed { .. }
                    | JobError::TooLarge { .. }),
                ) => return Err(error),
                Err(error) => error,
            };
            if self.is_end_given_up(&ending) {
                return Err(match ending.may_take_effect {
                    true => goes_on(),
                    false => error,
                });
            }
            log::debug!(job = ending.id.as_str(); "end of the job not stored yet: {error}");
            tokio::time::sleep(delay.next_delay()).await;
        }
    }

    fn is_end_given_up(&self, ending: &Ending<'_>) -> bool {
        let is_due = ending.started.elapsed() >= Duration::from_millis(self.ends.ack_ms);
        match self.cache.get(ending.id) {
            Some(known) => is_due && self.time_left_ms(&known.job) == 0,
            None => is_due || self.is_store_away(),
        }
    }

    /// Tries once; returns whether nothing of the job is left to run.
    async fn try_end(&self, ending: &mut Ending<'_>) -> Result<bool> {
        let id = ending.id;
        let Some(cached) = self.find(id).await? else {
            return Err(JobError::NotFound);
        };
        if !cached.job.is_open() {
            self.relay.peers.record_end(id, &cached.job.owner);
            return Ok(true);
        }
        self.tell_end(id, &cached);
        ending.may_take_effect = true;
        let ended = Job {
            is_ended: true,
            ..Job::clone(&cached.job)
        };
        ending.commits += 1;
        match self.store.update(id, &ended, cached.version, 0, &[]).await {
            Ok(Committed::At(version)) => {
                self.cache.put(id, ended, version);
                self.relay.peers.record_end(id, &cached.job.owner);
                Ok(true)
            }
            Ok(Committed::Conflict(rows)) => {
                self.cache.apply_conflict(id, cached.version, &rows);
                Ok(self.has_ended(id))
            }
            Ok(Committed::Refused(detail)) => {
                self.relay.metrics.row_refused(JOB_ROWS);
                log::error!(job = id.as_str(); "end of the job refused: {detail}");
                Err(JobError::refused(detail))
            }
            Err(error @ JobError::Unknown(_)) => {
                let row = self.store.read_job(id).await.map_err(JobError::of_read)?;
                row.iter().for_each(|row| self.cache.put_row(row));
                match self.has_ended(id) {
                    true => Ok(true),
                    false => Err(error),
                }
            }
            Err(error) => Err(error),
        }
    }

    /// Records the end of a job if the cache has it.
    fn has_ended(&self, id: &JobId) -> bool {
        let ended = self.cache.get(id).filter(|known| known.job.is_ended);
        if let Some(ended) = &ended {
            self.relay.peers.record_end(id, &ended.job.owner);
        }
        ended.is_some()
    }

    /// Tells the owner of a job that its end was asked for; if that is this instance, the one that runs
    /// the job after it.
    fn tell_end(&self, id: &JobId, cached: &CachedJob) {
        let peers = &self.relay.peers;
        let owner = &cached.job.owner;
        if owner != self.me() {
            peers.tell_end(id, owner);
            return;
        }
        peers.ended().record_told(vec![id.clone()]);
        if let Some(next) = next_owner(self, id) {
            peers.tell_end(id, &next);
        }
    }
}

/// Sees to it that ends which others have told are stored, unless those have done it soon.
pub async fn store_told_ends<S: RowStore + ObjectStore, D: Dialect>(jobs: Arc<Jobs<S, D>>) {
    loop {
        let told = jobs.relay.peers.ended().next_handed_on().await;
        let jobs = Arc::clone(&jobs);
        tokio::spawn(async move {
            tokio::time::sleep(jobs.ends.told_delay()).await;
            let known = jobs.cache.get(&told);
            if known.is_some_and(|known| known.job.is_open()) {
                jobs.start_end(&told);
            }
        });
    }
}

async fn wait_outcome(mut outcome: watch::Receiver<Option<Outcome>>) -> Outcome {
    let ended = outcome.wait_for(Option::is_some).await;
    let ended = ended.ok().and_then(|ended| ended.clone());
    ended.unwrap_or_else(|| Err(goes_on()))
}

fn log_end(id: &JobId, started: Instant, ended: &Outcome) {
    let took_ms = started.elapsed().as_millis() as u64;
    match ended {
        Ok(attempts) => {
            log::info!(job = id.as_str(), attempts = *attempts, took_ms = took_ms; "job ended")
        }
        Err(error) => {
            log::warn!(job = id.as_str(), took_ms = took_ms; "job not ended: {error}")
        }
    }
}
