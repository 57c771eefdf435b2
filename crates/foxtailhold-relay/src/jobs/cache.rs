//! What this instance knows of all jobs.

use std::collections::HashMap;
use std::sync::Arc;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold_platform::{Snapshot, VersionedRow};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::follow::Sink;
use crate::jobs::QuotaRow;
use crate::peers::Peers;

/// Prefix of the keys of jobs.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of quotas.
pub const QUOTA_PREFIX: &str = "quota/";

/// One job's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Name of its route.
    pub route: String,
    /// Host that it was sent to.
    pub host: String,
    /// A path of the route, by which the route is found again after a change of routes.
    pub path: String,
    /// Identities of the items and their tokens.
    pub items: Vec<(String, u64)>,
    /// Who runs it.
    pub owner: InstanceId,
    /// How many owners were lost with runs whose outcome they may not have written down.
    #[serde(default)]
    pub lost_owners: u32,
    /// Indexes of the items that have results, by position.
    pub listed: Vec<u16>,
    /// Whether its caller has ended it.
    pub is_ended: bool,
    /// When it was accepted, by the time of day.
    pub accepted_unix_ms: u64,
    /// When results are due, by the time of day.
    pub due_unix_ms: u64,
    /// When items may be given up.
    pub give_up_unix_ms: u64,
}

impl Job {
    /// Whether items are left to run.
    pub fn is_open(&self) -> bool {
        !self.is_ended && self.listed.len() < self.items.len()
    }

    /// Tokens of the items without a result.
    pub fn waiting_tokens(&self) -> u64 {
        if self.is_ended {
            return 0;
        }
        let all: u64 = self.items.iter().map(|(_, tokens)| tokens).sum();
        let listed = self.listed.iter();
        let done: u64 = listed
            .filter_map(|index| self.items.get(usize::from(*index)))
            .map(|(_, tokens)| tokens)
            .sum();
        all - done
    }
}

/// A job with the version of its row.
#[derive(Debug, Clone)]
pub struct KnownJob {
    /// The row.
    pub job: Arc<Job>,
    /// Its version.
    pub version: u64,
}

/// A route's quota as one instance knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaView {
    /// Version of the row, 0 where there is none.
    pub version: u64,
    /// The row.
    pub row: QuotaRow,
    /// Tokens that wait now; `None` where the job accepted with the row is not known yet.
    pub waiting_tokens: Option<u64>,
}

impl QuotaView {
    /// Tokens that wait, never too few: after an acceptance they only become fewer until the next.
    pub fn most_waiting_tokens(&self) -> u64 {
        self.waiting_tokens.unwrap_or(self.row.waiting_tokens)
    }
}

/// Reads a quota's row, from a conflict's answer.
pub fn quota_view(row: &VersionedRow) -> Option<QuotaView> {
    row.key.key.strip_prefix(QUOTA_PREFIX)?;
    let value = row.value.as_deref()?;
    Some(QuotaView {
        version: row.version,
        row: serde_json::from_slice(value).ok()?,
        waiting_tokens: None,
    })
}

#[derive(Debug, Default)]
struct Known {
    jobs: HashMap<JobId, KnownJob>,
    quotas: HashMap<String, (u64, QuotaRow)>,
}

/// All jobs, kept up to date by the feed and by this instance's own writes.
#[derive(Debug)]
pub struct JobBook {
    known: Mutex<Known>,
    changed: watch::Sender<u64>,
}

impl Default for JobBook {
    fn default() -> Self {
        JobBook {
            known: Mutex::new(Known::default()),
            changed: watch::Sender::new(0),
        }
    }
}

impl JobBook {
    /// A job.
    pub fn get(&self, id: &JobId) -> Option<KnownJob> {
        self.known.lock().jobs.get(id).cloned()
    }

    /// All jobs with items left to run.
    pub fn open(&self) -> Vec<(JobId, KnownJob)> {
        let known = self.known.lock();
        let open = known.jobs.iter().filter(|(_, known)| known.job.is_open());
        open.map(|(id, job)| (id.clone(), job.clone())).collect()
    }

    /// All jobs with nothing left to run.
    pub fn closed(&self) -> Vec<(JobId, KnownJob)> {
        let known = self.known.lock();
        let closed = known.jobs.iter().filter(|(_, known)| !known.job.is_open());
        closed.map(|(id, job)| (id.clone(), job.clone())).collect()
    }

    /// The row that serializes acceptances of a route, and the tokens that wait as of that row.
    pub fn quota(&self, route: &str) -> QuotaView {
        let known = self.known.lock();
        let (version, row) = known.quotas.get(route).copied().unwrap_or_default();
        let jobs = known.jobs.values().filter(|known| known.job.route == route);
        QuotaView {
            version,
            row,
            waiting_tokens: Some(jobs.map(|known| known.job.waiting_tokens()).sum()),
        }
    }

    /// Wakes at each change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Takes a job's row, unless a newer one is known.
    pub fn put(&self, id: &JobId, job: Job, version: u64) {
        let mut known = self.known.lock();
        put_job(&mut known, id, job, version);
        drop(known);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Takes a row of the table.
    pub fn put_row(&self, row: &VersionedRow) {
        put_row(&mut self.known.lock(), row);
        self.changed.send_modify(|count| *count += 1);
    }
}

fn put_job(known: &mut Known, id: &JobId, job: Job, version: u64) {
    if known.jobs.get(id).is_some_and(|old| old.version >= version) {
        return;
    }
    let job = Arc::new(job);
    known.jobs.insert(id.clone(), KnownJob { job, version });
}

fn put_row(known: &mut Known, row: &VersionedRow) {
    let key = row.key.key.as_str();
    if let Some(route) = key.strip_prefix(QUOTA_PREFIX) {
        let parsed = row.value.as_ref().map(|v| serde_json::from_slice(v));
        match parsed {
            Some(Ok(quota)) => {
                known.quotas.insert(route.to_owned(), (row.version, quota));
            }
            Some(Err(error)) => log::error!("quota of {route} cannot be read: {error}"),
            None => {
                known.quotas.remove(route);
            }
        }
        return;
    }
    let Some(id) = key.strip_prefix(JOB_PREFIX) else {
        log::warn!("unknown row {key} among the jobs");
        return;
    };
    let id = match JobId::try_from(id) {
        Ok(id) => id,
        Err(error) => {
            log::error!("row {key}: {error}");
            return;
        }
    };
    match row
        .value
        .as_ref()
        .map(|value| serde_json::from_slice(value))
    {
        Some(Ok(job)) => put_job(known, &id, job, row.version),
        Some(Err(error)) => log::error!("job {id} cannot be read: {error}"),
        None => {
            known.jobs.remove(&id);
        }
    }
}

/// Pause after changes of jobs for each instance, and its bounds. All instances read each change: with
/// 11 of them a pause of 250 ms instead of 60 cost 0.03 of the day's worth, as results are seen later;
/// with 89 the calls cost more. The most is well within the second after which each must know.
const REST_MS: u64 = 5;
const REST_BOUNDS_MS: (u64, u64) = (60, 400);

/// Feeds a book from its table.
#[derive(Debug)]
pub struct BookSink {
    book: Arc<JobBook>,
    peers: Peers,
}

impl BookSink {
    /// Feeds `book`, the more rarely the more instances there are.
    pub fn new(book: Arc<JobBook>, peers: Peers) -> Self {
        BookSink { book, peers }
    }
}

impl Sink for BookSink {
    fn replace(&mut self, snapshot: Snapshot) {
        let mut known = self.book.known.lock();
        for row in &snapshot.rows {
            put_row(&mut known, row);
        }
        drop(known);
        self.book.changed.send_modify(|count| *count += 1);
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        let mut known = self.book.known.lock();
        for row in &rows {
            put_row(&mut known, row);
        }
        drop(known);
        self.book.changed.send_modify(|count| *count += 1);
    }

    fn answered(&mut self, _is_sound: bool) {}

    fn rest_ms(&self) -> u64 {
        let instances = self.peers.members().count() as u64;
        (instances * REST_MS).clamp(REST_BOUNDS_MS.0, REST_BOUNDS_MS.1)
    }
}
