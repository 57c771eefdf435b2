//! Cache of all jobs and quotas, kept up to date by the change feed.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold_http::lock::Mutex;
use foxtailhold_platform::{Snapshot, VersionedRow};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::ended_jobs::EndedJobs;
use crate::follow::TableSink;
use crate::jobs::quota::{Drain, QUOTA_PREFIX, QuotaView};
use crate::jobs::{JOBS_TABLE, QuotaRow};
use crate::peers::Peers;

/// Key prefix of the rows of jobs.
pub const JOB_PREFIX: &str = "job/";

/// Most tokens that the items of a job may have together, far from where those of all jobs could
/// overflow.
pub const MAX_JOB_TOKENS: u64 = 1 << 48;

/// Whether the tokens of a job's items can be counted.
pub fn are_countable(tokens: impl Iterator<Item = u64>) -> bool {
    tokens.map(u128::from).sum::<u128>() <= u128::from(MAX_JOB_TOKENS)
}

/// The row of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Name of the route by which the job was accepted.
    pub route: String,
    /// Host to which the job was sent.
    pub host: String,
    /// Path of the route, by which it is found again after a change of the route table.
    pub path: String,
    /// Identifiers and tokens of the items.
    pub items: Vec<(String, u64)>,
    /// Instance that runs the job.
    pub owner: InstanceId,
    /// Number of owners that were lost and may have left attempts with unrecorded outcomes.
    #[serde(default)]
    pub lost_owners: u32,
    /// Indexes of the items that have results, in the order of the results.
    pub listed: Vec<u16>,
    /// Positions of the results that exceed a transaction of the store. It may lack some, which costs
    /// a reader memory only: earlier builds drop the field, and a full row has no room for it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub long_results: Vec<u16>,
    /// Whether the caller has ended the job.
    pub is_ended: bool,
    /// Unix milliseconds of acceptance.
    pub accepted_unix_ms: u64,
    /// Unix milliseconds at which the results are due.
    pub due_unix_ms: u64,
    /// Unix milliseconds from which unfinished items are given up.
    pub give_up_unix_ms: u64,
    /// The same by the clock of the store, in ms; 0 if it was not known, or in rows of builds that do
    /// not record it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub give_up_store_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl Job {
    /// Whether items are left to run.
    pub fn is_open(&self) -> bool {
        !self.is_ended && !self.is_complete()
    }

    /// Whether all items have results.
    pub fn is_complete(&self) -> bool {
        self.listed.len() >= self.items.len()
    }

    /// End of the results that are read together from position `after` on. A long one is read alone,
    /// so that a reader holds one of them at a time.
    pub fn read_end(&self, after: usize, max_results: usize) -> usize {
        let end = self.listed.len().min(after + max_results);
        let long = self.long_results.iter().copied().map(usize::from);
        let next_long = long.filter(|position| *position >= after).min();
        match next_long {
            Some(position) if position == after => end.min(after + 1),
            Some(position) => end.min(position),
            None => end,
        }
    }

    /// Tokens of the items without a result; 0 once the job has ended.
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

/// Reason why a row is none of a job.
#[derive(Debug, Error)]
pub enum JobRowError {
    /// The row cannot be decoded.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// Results are listed for items that the job does not have, or twice.
    #[error("the listed results are not those of its items")]
    Listed,
    /// The tokens of the items cannot be counted.
    #[error("the tokens of its items are too many")]
    Tokens,
}

impl TryFrom<&[u8]> for Job {
    type Error = JobRowError;

    fn try_from(value: &[u8]) -> std::result::Result<Self, JobRowError> {
        let job: Job = serde_json::from_slice(value)?;
        if !are_countable(job.items.iter().map(|(_, tokens)| *tokens)) {
            return Err(JobRowError::Tokens);
        }
        let listed: BTreeSet<u16> = job.listed.iter().copied().collect();
        let last = listed.last().copied().map(usize::from);
        if listed.len() < job.listed.len() || last.is_some_and(|last| last >= job.items.len()) {
            return Err(JobRowError::Listed);
        }
        Ok(job)
    }
}

/// A job and the version of its row.
#[derive(Debug, Clone)]
pub struct CachedJob {
    /// Decoded row.
    pub job: Arc<Job>,
    /// Version of the row, for conditional changes.
    pub version: u64,
}

#[derive(Debug, Default)]
struct CacheState {
    jobs: HashMap<JobId, CachedJob>,
    quotas: HashMap<String, (u64, QuotaRow)>,
    /// How fast the items of each route's jobs end.
    drains: HashMap<String, Drain>,
    deletions: Deletions,
}

/// Routes for which it is known how fast items end. Beyond them all are forgotten, as names of removed
/// routes stay otherwise.
const MAX_DRAINS: usize = 1_000;
/// Deletions that are remembered: more than happen while one call of the store is under way.
const MAX_DELETIONS: usize = 4_096;

/// The latest deleted jobs. A row that was read before a deletion may arrive after it.
#[derive(Debug, Default)]
struct Deletions {
    versions: HashMap<JobId, u64>,
    oldest_first: VecDeque<JobId>,
}

impl Deletions {
    /// Records that all rows of a job up to `version` are gone.
    fn record(&mut self, id: JobId, version: u64) {
        let known = self.versions.insert(id.clone(), version);
        if known.is_none() {
            self.oldest_first.push_back(id);
        }
        if self.oldest_first.len() > MAX_DELETIONS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.versions.remove(&oldest);
        }
    }

    fn covers(&self, id: &JobId, version: u64) -> bool {
        let deleted = self.versions.get(id);
        deleted.is_some_and(|deleted| version <= *deleted)
    }
}

/// All jobs, updated by the change feed and by the writes of this instance.
#[derive(Debug)]
pub struct JobCache {
    state: Mutex<CacheState>,
    changed: watch::Sender<u64>,
    ended: EndedJobs,
}

impl Default for JobCache {
    fn default() -> Self {
        JobCache::new(EndedJobs::default())
    }
}

impl JobCache {
    /// An empty cache. Jobs whose ends others have told are not open.
    pub fn new(ended: EndedJobs) -> Self {
        JobCache {
            state: Mutex::new(CacheState::default()),
            changed: watch::Sender::new(0),
            ended,
        }
    }

    /// Whether a job has items left to run, as far as this instance knows.
    pub fn is_open(&self, id: &JobId, job: &Job) -> bool {
        job.is_open() && !self.ended.is_told(id)
    }

    /// A job with its version; `None` if it is not known.
    pub fn get(&self, id: &JobId) -> Option<CachedJob> {
        self.state.lock().jobs.get(id).cloned()
    }

    /// All jobs with items left to run.
    pub fn open(&self) -> Vec<(JobId, CachedJob)> {
        let state = self.state.lock();
        let jobs = state.jobs.iter();
        let open = jobs.filter(|(id, cached)| self.is_open(id, &cached.job));
        open.map(|(id, job)| (id.clone(), job.clone())).collect()
    }

    /// All jobs with nothing left to run.
    pub fn closed(&self) -> Vec<(JobId, CachedJob)> {
        let state = self.state.lock();
        let closed = state
            .jobs
            .iter()
            .filter(|(_, cached)| !cached.job.is_open());
        closed.map(|(id, job)| (id.clone(), job.clone())).collect()
    }

    /// Returns the row that serializes the acceptances of a route, and the tokens waiting as of
    /// that row.
    pub fn quota(&self, route: &str) -> QuotaView {
        let state = self.state.lock();
        let (version, row) = state.quotas.get(route).copied().unwrap_or_default();
        let jobs = state
            .jobs
            .values()
            .filter(|cached| cached.job.route == route);
        QuotaView {
            version,
            row,
            waiting_tokens: Some(jobs.map(|cached| cached.job.waiting_tokens()).sum()),
            tokens_per_s: state
                .drains
                .get(route)
                .and_then(|drain| drain.tokens_per_s(Instant::now())),
        }
    }

    /// Notified of every change.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Stores the row of a job unless a newer one is known.
    pub fn put(&self, id: &JobId, job: Job, version: u64) {
        let mut state = self.state.lock();
        put_job(&mut state, id, job, version);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Applies the current rows after a change of a job at `version` met others. A job without a row
    /// has been deleted.
    pub fn apply_conflict(&self, id: &JobId, version: u64, rows: &[VersionedRow]) {
        let mut state = self.state.lock();
        for row in rows.iter().filter(|row| row.key.table == JOBS_TABLE) {
            put_row(&mut state, row);
        }
        let is_job = |row: &VersionedRow| row.key.key.strip_prefix(JOB_PREFIX) == Some(id.as_str());
        let is_older = state.jobs.get(id).is_some_and(|job| job.version <= version);
        if is_older && !rows.iter().any(is_job) {
            log::info!(job = id.as_str(); "job was deleted by another instance");
            remove_job(&mut state, id, version);
        }
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    fn keep_told_ends(&self, state: &CacheState) {
        let is_open = |id: &JobId| state.jobs.get(id).map(|known| known.job.is_open());
        self.ended.keep_only(is_open);
    }

    /// Applies rows of the table of jobs.
    pub fn put_rows(&self, rows: &[VersionedRow]) {
        let mut state = self.state.lock();
        for row in rows {
            put_row(&mut state, row);
        }
        self.keep_told_ends(&state);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Applies the complete table of jobs.
    pub fn replace(&self, snapshot: &Snapshot) {
        let mut state = self.state.lock();
        remove_deleted(&mut state, snapshot);
        for row in &snapshot.rows {
            put_row(&mut state, row);
        }
        self.keep_told_ends(&state);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Applies a row of the table of jobs.
    pub fn put_row(&self, row: &VersionedRow) {
        let has_changed = put_row(&mut self.state.lock(), row);
        // Whoever waits for changes looks at all open jobs.
        if has_changed {
            self.changed.send_modify(|count| *count += 1);
        }
    }
}

/// Returns whether the row is newer than the known one.
fn put_job(state: &mut CacheState, id: &JobId, job: Job, version: u64) -> bool {
    let is_known = state.jobs.get(id).is_some_and(|old| old.version >= version);
    if is_known || state.deletions.covers(id, version) {
        return false;
    }
    let job = Arc::new(job);
    let route = job.route.clone();
    let waiting_tokens = job.waiting_tokens();
    let old = state.jobs.insert(id.clone(), CachedJob { job, version });
    let old_tokens = old.map_or(0, |old| old.job.waiting_tokens());
    if let Some(tokens) = old_tokens
        .checked_sub(waiting_tokens)
        .filter(|tokens| *tokens > 0)
    {
        if state.drains.len() >= MAX_DRAINS {
            state.drains.clear();
        }
        state
            .drains
            .entry(route)
            .or_default()
            .record(Instant::now(), tokens);
    }
    true
}

/// Removes a job whose rows up to `version` are gone. Returns whether it was known.
fn remove_job(state: &mut CacheState, id: &JobId, version: u64) -> bool {
    state.deletions.record(id.clone(), version);
    state.jobs.remove(id).is_some()
}

/// Removes what was deleted before a complete table was read. A row of a newer version was written
/// since.
fn remove_deleted(state: &mut CacheState, snapshot: &Snapshot) {
    let rows = snapshot.rows.iter();
    let keys: HashSet<&str> = rows.map(|row| row.key.key.as_str()).collect();
    let is_there = |prefix: &str, name: &str, version: u64| {
        version > snapshot.version || keys.contains(format!("{prefix}{name}").as_str())
    };
    let jobs = state.jobs.iter();
    let deleted: Vec<(JobId, u64)> = jobs
        .filter(|(id, cached)| !is_there(JOB_PREFIX, id.as_str(), cached.version))
        .map(|(id, cached)| (id.clone(), cached.version))
        .collect();
    for (id, version) in deleted {
        remove_job(state, &id, version);
    }
    let quotas = &mut state.quotas;
    quotas.retain(|route, (version, _)| is_there(QUOTA_PREFIX, route, *version));
}

/// Returns whether the row changes what is known.
fn put_row(state: &mut CacheState, row: &VersionedRow) -> bool {
    let key = row.key.key.as_str();
    if let Some(route) = key.strip_prefix(QUOTA_PREFIX) {
        let parsed = row.value.as_ref().map(|v| serde_json::from_slice(v));
        match parsed {
            Some(Ok(quota)) => {
                let known = state.quotas.entry(route.to_owned()).or_default();
                let is_newer = row.version > known.0;
                if is_newer {
                    *known = (row.version, quota);
                }
                return is_newer;
            }
            Some(Err(error)) => log::error!("cannot decode quota row of route {route}: {error}"),
            None => {
                let known = state.quotas.get(route);
                let is_newer = known.is_some_and(|known| known.0 < row.version);
                if is_newer {
                    state.quotas.remove(route);
                }
                return is_newer;
            }
        }
        return false;
    }
    let Some(id) = key.strip_prefix(JOB_PREFIX) else {
        log::warn!("ignoring row {key} in the table of jobs: unknown key prefix");
        return false;
    };
    let id = match JobId::try_from(id) {
        Ok(id) => id,
        Err(error) => {
            log::error!("ignoring row {key} in the table of jobs: {error}");
            return false;
        }
    };
    match row
        .value
        .as_ref()
        .map(|value| Job::try_from(value.as_ref()))
    {
        Some(Ok(job)) => put_job(state, &id, job, row.version),
        Some(Err(error)) => {
            log::error!("cannot decode row of job {id}: {error}");
            false
        }
        None => {
            let known = state.jobs.get(&id);
            let is_newer = known.is_none_or(|known| known.version < row.version);
            is_newer && remove_job(state, &id, row.version)
        }
    }
}

/// Delay after a batch of changes, per instance, and its bounds. All instances read every change:
/// with 11 instances a delay of 250 ms instead of 60 ms lost 0.03 of the value of a day, because
/// results are seen later; with 89 instances more frequent calls cost more. The upper bound is well
/// within the second after which every instance must know a change.
const BATCH_DELAY_PER_INSTANCE_MS: u64 = 5;
const BATCH_DELAY_BOUNDS_MS: (u64, u64) = (60, 400);

/// Applies the table of jobs to the cache.
#[derive(Debug)]
pub struct JobCacheSink {
    cache: Arc<JobCache>,
    peers: Peers,
}

impl JobCacheSink {
    /// Feeds `cache`, less often the more instances there are.
    pub fn new(cache: Arc<JobCache>, peers: Peers) -> Self {
        JobCacheSink { cache, peers }
    }
}

impl TableSink for JobCacheSink {
    fn replace(&mut self, snapshot: Snapshot) {
        self.cache.replace(&snapshot);
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        self.cache.put_rows(&rows);
    }

    fn call_ended(&mut self, _is_ok: bool) {}

    fn batch_delay_ms(&self) -> u64 {
        let instances = self.peers.members().count() as u64;
        (instances * BATCH_DELAY_PER_INSTANCE_MS)
            .clamp(BATCH_DELAY_BOUNDS_MS.0, BATCH_DELAY_BOUNDS_MS.1)
    }
}
