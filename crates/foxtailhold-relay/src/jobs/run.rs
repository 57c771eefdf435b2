//! Runs the items of one job and lists their results.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::JobId;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold_platform::{Committed, ObjectStore, RowStore};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::dialect::Dialect;
use crate::jobs::checkpoint::PartialOutputs;
use crate::jobs::checkpoint_writer::{CONFLICT_DELAY_MS, save_checkpoints_once, write_checkpoints};
use crate::jobs::counts_writer::CountsWriter;
use crate::jobs::item::ItemRunner;
use crate::jobs::progress::TaskProgress;
use crate::jobs::split::{FinishedResults, ResultForm};
use crate::jobs::{Item, ItemState, Job, JobBodies, JobError, Jobs, ListedResult};
use crate::retry_delay::RetryDelay;

/// Results that finish within this time are listed with one commit.
const COMMIT_DELAY_MS: u64 = 30;
/// Delay after a failed store call.
const RETRY_DELAY_MS: u64 = 200;
/// Name of the rows of results in metrics.
const RESULT_ROWS: &str = "results";
/// Delay before bodies are read again that are missing or cannot be decoded.
const UNREADABLE_RETRY_DELAY_MS: u64 = 1_000;
/// First and longest delay before a result is listed again that the store has refused in each form.
const REFUSED_DELAY_MS: (u64, u64) = (1_000, 15_000);
/// Results listed with one commit.
const MAX_RESULTS_PER_COMMIT: usize = 16;

/// Runs a job until all its items have results, it is ended or moved, or `stop` is cancelled.
pub async fn run_job<S: RowStore + ObjectStore, D: Dialect>(
    jobs: Arc<Jobs<S, D>>,
    id: JobId,
    stop: CancellationToken,
) {
    let cached = jobs.cache.get(&id);
    let partial_outputs = cached.map_or_else(PartialOutputs::default, |cached| {
        PartialOutputs::of(&id, &cached.job)
    });
    let progress = jobs.progress.begin(&id);
    let ended = tokio::select! {
        ended = run_items(&jobs, &id, &partial_outputs, &progress) => Some(ended),
        () = stop.cancelled() => None,
    };
    // The last results may be read from the table of jobs before the call that listed them is answered.
    let ended = ended.or_else(|| match run_end(&jobs, &id) {
        complete @ RunEnd::Complete(_) => Some(Ok(complete)),
        RunEnd::Incomplete => None,
    });
    match ended {
        Some(Ok(RunEnd::Complete(items))) => {
            log::info!(job = id.as_str(), items = items; "all items of the job have results")
        }
        Some(Ok(RunEnd::Incomplete)) => {
            log::info!(job = id.as_str(); "run ended before all items of the job have results");
        }
        Some(Err(error)) => log::error!(job = id.as_str(); "cannot run job: {error}"),
        None => {
            log::info!(job = id.as_str(); "job stopped on this instance, saving checkpoints");
            save_checkpoints_once(&jobs, &id, &partial_outputs, 1).await;
        }
    }
}

/// How a run ended without an error.
enum RunEnd {
    /// All items, of this number, have results.
    Complete(usize),
    /// The job has ended or moved, or some of its items have no result yet.
    Incomplete,
}

async fn run_items<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Arc<Jobs<S, D>>,
    id: &JobId,
    partial_outputs: &PartialOutputs,
    progress: &TaskProgress,
) -> Result<RunEnd, JobError> {
    let Some(cached) = jobs.cache.get(id) else {
        return Err(JobError::NotFound);
    };
    let Some(bodies) = load_bodies(jobs, id, &cached.job).await else {
        return give_up_unlisted(jobs, id).await;
    };
    restore(jobs, id, &cached.job, partial_outputs).await;
    let _checkpoint_task = AbortOnDrop(tokio::spawn(write_checkpoints(
        Arc::clone(jobs),
        id.clone(),
        partial_outputs.clone(),
    )));
    let counts_writer = Arc::new(CountsWriter::new(Arc::clone(jobs), id.clone()));
    let mut running = JoinSet::new();
    for (index, item) in bodies.items().iter().enumerate() {
        if cached.job.listed.contains(&(index as u16)) {
            continue;
        }
        let partial_outputs = partial_outputs.clone();
        let (jobs, job) = (Arc::clone(jobs), Arc::clone(&cached.job));
        running.spawn(run_item(
            jobs,
            id.clone(),
            job,
            item.clone(),
            partial_outputs,
            Arc::clone(&counts_writer),
        ));
    }
    let mut finished = FinishedResults::new(MAX_RESULTS_PER_COMMIT);
    let mut refused_delay = RetryDelay::new(REFUSED_DELAY_MS.0, REFUSED_DELAY_MS.1);
    let mut retry_at = Instant::now();
    loop {
        tokio::select! {
            Some(result) = running.join_next() => {
                collect(&mut finished.waiting, result);
                progress.set_unlisted_since(Some(jobs.relay.clock.mono()));
                collect_more(&mut running, &mut finished.waiting).await;
            }
            () = tokio::time::sleep_until(retry_at), if finished.has_refused() => {
                match is_time_over(jobs, &cached.job) {
                    true => finished.give_up_refused(),
                    false => finished.retry_refused(),
                }
            }
            else => break,
        }
        let had_refused = finished.has_refused();
        if !list_all(jobs, id, &mut finished).await? {
            return Ok(RunEnd::Incomplete);
        }
        match finished.has_refused() {
            true if had_refused => {}
            true => retry_at = Instant::now() + until_retry(jobs, &cached.job, &mut refused_delay),
            false => progress.set_unlisted_since(None),
        }
    }
    // Items whose tasks failed, or that the stored bodies do not have.
    match is_time_over(jobs, &cached.job) {
        true => give_up_unlisted(jobs, id).await,
        false => Ok(run_end(jobs, id)),
    }
}

/// Adds the results that finish within the time of one commit.
async fn collect_more(
    running: &mut JoinSet<Option<ListedResult>>,
    waiting: &mut Vec<ListedResult>,
) {
    let commit_delay = tokio::time::sleep(Duration::from_millis(COMMIT_DELAY_MS));
    tokio::pin!(commit_delay);
    loop {
        tokio::select! {
            Some(result) = running.join_next() => collect(waiting, result),
            () = &mut commit_delay => break,
            else => break,
        }
    }
}

/// Time until results that the store has refused are listed again, or given up with the job.
fn until_retry<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    job: &Job,
    delay: &mut RetryDelay,
) -> Duration {
    let delay = delay.next_delay();
    match jobs.time_left_ms(job) {
        0 => delay,
        left_ms => delay.min(Duration::from_millis(left_ms)),
    }
}

fn is_time_over<S: RowStore + ObjectStore, D: Dialect>(jobs: &Jobs<S, D>, job: &Job) -> bool {
    jobs.time_left_ms(job) == 0
}

fn run_end<S: RowStore + ObjectStore, D: Dialect>(jobs: &Jobs<S, D>, id: &JobId) -> RunEnd {
    match jobs.cache.get(id) {
        Some(cached) if cached.job.listed.len() >= cached.job.items.len() => {
            RunEnd::Complete(cached.job.items.len())
        }
        _ => RunEnd::Incomplete,
    }
}

/// Lists all items without a result as given up; their time is over.
async fn give_up_unlisted<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
) -> Result<RunEnd, JobError> {
    let Some(cached) = jobs.cache.get(id) else {
        return Err(JobError::NotFound);
    };
    let mut finished = FinishedResults::new(MAX_RESULTS_PER_COMMIT);
    for (index, (item, _)) in cached.job.items.iter().enumerate() {
        if cached.job.listed.contains(&(index as u16)) {
            continue;
        }
        finished.waiting.push(ListedResult {
            item: item.clone(),
            state: ItemState::GivenUp,
            text: String::new(),
        });
    }
    list_all(jobs, id, &mut finished).await?;
    Ok(run_end(jobs, id))
}

/// Loads the checkpoints and attempt counts written by earlier owners. After a lost owner they must
/// be known because they bound the attempts of items. A job without a lost owner continues without
/// them if the store is unavailable.
async fn restore<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    job: &Job,
    partial_outputs: &PartialOutputs,
) {
    let is_served = |origin: &StreamOrigin| {
        let (routes, backends) = (jobs.relay.routes.load(), jobs.relay.backends.load());
        let route = routes.find(&job.host, &job.path);
        route.is_some_and(|route| backends.serves(route, origin))
    };
    loop {
        match jobs.store.checkpoints(id).await {
            Ok(rows) => return partial_outputs.restore(id, &rows, is_served),
            Err(error) if job.lost_owners == 0 => {
                log::warn!(job = id.as_str(); "checkpoints not read, items start from the beginning: {error}");
                return;
            }
            Err(error) if is_time_over(jobs, job) => {
                log::warn!(job = id.as_str(); "checkpoints not read, the time of the job is over: {error}");
                return;
            }
            Err(error) => log::warn!(job = id.as_str(); "checkpoints not read, retrying: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

type JoinedItem = std::result::Result<Option<ListedResult>, tokio::task::JoinError>;

fn collect(finished: &mut Vec<ListedResult>, result: JoinedItem) {
    match result {
        Ok(Some(result)) => finished.push(result),
        Ok(None) => {}
        Err(error) => log::error!("task of an item failed: {error}"),
    }
}

async fn run_item<S: RowStore + ObjectStore, D: Dialect>(
    jobs: Arc<Jobs<S, D>>,
    id: JobId,
    job: Arc<Job>,
    item: Item,
    partial_outputs: PartialOutputs,
    counts_writer: Arc<CountsWriter<S, D>>,
) -> Option<ListedResult> {
    ItemRunner::new(&jobs, &id, &item, &partial_outputs, &counts_writer)
        .run(&job)
        .await
}

/// Aborts a task when dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Loads the items, with retries until the time of the job is over; `None` if they cannot be read
/// by then.
async fn load_bodies<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    job: &Job,
) -> Option<Arc<JobBodies>> {
    loop {
        let (error, delay_ms) = match jobs.store.bodies(id).await {
            Ok(bodies) => return Some(bodies),
            Err(JobError::NoMemory(exhausted)) => {
                log::warn!(job = id.as_str(); "job waits for memory for its item bodies: {exhausted}");
                while !jobs.store.may_hold(exhausted.bytes) {
                    if is_time_over(jobs, job) {
                        log::error!(job = id.as_str(); "no memory for the item bodies, giving the items up");
                        return None;
                    }
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                }
                continue;
            }
            Err(error @ (JobError::NotFound | JobError::Malformed { .. })) => {
                (error, UNREADABLE_RETRY_DELAY_MS)
            }
            Err(error) => (error, RETRY_DELAY_MS),
        };
        if is_time_over(jobs, job) {
            log::error!(job = id.as_str(); "item bodies not read, giving the items up: {error}");
            return None;
        }
        log::warn!(job = id.as_str(); "item bodies not read, retrying: {error}");
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Lists all results that wait. `false`: the job has ended or belongs to another instance.
async fn list_all<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    finished: &mut FinishedResults,
) -> Result<bool, JobError> {
    let mut conflict_delay = RetryDelay::new(CONFLICT_DELAY_MS.0, CONFLICT_DELAY_MS.1);
    finished.sort();
    while !finished.waiting.is_empty() {
        match list_results(jobs, id, finished).await? {
            Listing::Ended => return Ok(false),
            Listing::Changed => conflict_delay.reset(),
            Listing::Conflict => tokio::time::sleep(conflict_delay.next_delay()).await,
        }
    }
    Ok(true)
}

/// What an attempt to list results has led to.
enum Listing {
    /// Other results wait now, or other ones at once.
    Changed,
    /// The row of the job was changed meanwhile.
    Conflict,
    /// The job has ended or belongs to another instance.
    Ended,
}

/// Lists some of the results that wait and removes them there.
async fn list_results<S: RowStore + ObjectStore, D: Dialect>(
    jobs: &Jobs<S, D>,
    id: &JobId,
    finished: &mut FinishedResults,
) -> Result<Listing, JobError> {
    let Some(cached) = jobs.cache.get(id) else {
        return Ok(Listing::Ended);
    };
    let job = &cached.job;
    let has_ended = job.is_ended || jobs.relay.peers.ended().is_told(id);
    if has_ended || job.owner != *jobs.me() {
        return Ok(Listing::Ended);
    }
    let is_listed = |result: &ListedResult| {
        item_index(job, &result.item).is_none_or(|index| job.listed.contains(&index))
    };
    finished.drop_listed(is_listed);
    let results = &finished.waiting[..finished.next_count()];
    if results.is_empty() {
        return Ok(Listing::Changed);
    }
    let mut next = Job::clone(job);
    let indexes = results
        .iter()
        .filter_map(|result| item_index(job, &result.item));
    next.listed.extend(indexes);
    let first = job.listed.len();
    let form = finished.form();
    let count = match form {
        ResultForm::Usual => jobs.store.count_fitting(id, &next, first, results)?,
        ResultForm::SmallRows => 0,
    };
    let version = cached.version;
    let is_ahead = count == 0;
    let count = count.max(1);
    let results = &results[..count];
    next.listed.truncate(first + count);
    let store = &jobs.store;
    let committed = match is_ahead {
        true => {
            next.long_results.extend(u16::try_from(first));
            let place = (first, form);
            store
                .list_ahead(id, &next, version, place, &results[0])
                .await
        }
        false => store.update(id, &next, version, first, results).await,
    };
    match committed {
        Ok(Committed::At(new_version)) => {
            log::info!(
                job = id.as_str(), from = first, to = next.listed.len(), version = new_version;
                "results listed"
            );
            jobs.cache.put(id, next, new_version);
            finished.remove_listed(count);
        }
        Ok(Committed::Conflict(rows)) => {
            jobs.cache.apply_conflict(id, version, &rows);
            return Ok(Listing::Conflict);
        }
        Ok(Committed::Refused(detail)) => {
            jobs.relay.metrics.row_refused(RESULT_ROWS);
            log::warn!(
                job = id.as_str(), from = first, results = count;
                "results refused, listing fewer at once or smaller rows: {detail}"
            );
            finished.record_refusal(count);
        }
        // A commit without a response may still take effect; the next one then finds the new
        // version.
        Err(error) => {
            log::warn!(
                job = id.as_str(), from = first, results = count,
                text_bytes = results.iter().map(|result| result.text.len()).sum::<usize>();
                "results not listed, retrying: {error}"
            );
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
    Ok(Listing::Changed)
}

fn item_index(job: &Job, item: &str) -> Option<u16> {
    let index = job.items.iter().position(|(id, _)| id == item)?;
    u16::try_from(index).ok()
}
