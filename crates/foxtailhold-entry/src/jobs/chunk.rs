//! One attempt at a chunk: runs its items, stores the result object, commits it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use foxtailhold::batch::chunk::{ChunkCommit, ChunkCommitResult};
use foxtailhold::batch::claim::OwnedJob;
use foxtailhold::batch::{BatchItem, ChunkRow};
use foxtailhold::lease::LeaseState;
use foxtailhold::time::WallMs;
use foxtailhold_http::memory::Reservation;
use foxtailhold_platform::{Platform, PlatformError, Result};
use futures_util::{StreamExt, stream};
use tokio::sync::watch;

use crate::jobs::chunk_memory::ChunkTurn;
use crate::jobs::item::{FinishedItem, ItemTask};
use crate::jobs::store::{self, Backoff};
use crate::jobs::{chunk_memory, policy};
use crate::shared::Shared;
use crate::tables;

/// Wait of an item that may not start before it looks again.
const RECHECK_DELAY: Duration = Duration::from_millis(100);

/// Maps a job's endpoint to the static path of its requests.
fn request_path(endpoint: &str) -> &'static str {
    use foxtailhold_caller::handler::{CHAT_PATH, COMPLETIONS_PATH};
    if endpoint == COMPLETIONS_PATH {
        return COMPLETIONS_PATH;
    }
    CHAT_PATH
}

/// Runs the items of a chunk and stores their results in an object with a name unique to this
/// attempt, retrying until the store accepts it. Calls `all_started` once every item has been
/// started. Returns `None` if ownership of the job is lost.
pub async fn run<P: Platform>(
    shared: &Shared<P>,
    owned: &OwnedJob,
    index: u32,
    lease_state: watch::Receiver<LeaseState>,
    all_started: impl Fn() + Send + Sync,
) -> Option<ChunkRow> {
    let (mut memory, items) = read_items(shared, owned, index).await;
    let path = request_path(&owned.row.endpoint);
    let order = shared.item_key();
    let not_started = AtomicUsize::new(items.len());
    let started = || {
        if not_started.fetch_sub(1, Ordering::Relaxed) == 1 {
            all_started();
        }
    };
    let mut tasks = Vec::with_capacity(items.len());
    for item in &items {
        let task = ItemTask {
            item,
            job: &owned.row.job,
            customer: &owned.row.customer,
            path,
            deadline: WallMs(owned.row.deadline_wall_ms),
            order,
            epoch: owned.epoch,
        };
        tasks.push(run_item(shared, task, lease_state.clone(), &started));
    }
    let mut running = stream::iter(tasks).buffered(items.len().max(1));
    let mut lines = Vec::new();
    let mut chunk = ChunkRow {
        object: tables::result_object(&owned.row.job, index, &shared.unique()),
        completed: 0,
        failed: 0,
        bytes: 0,
    };
    while let Some(ended) = running.next().await {
        let ended = ended?;
        chunk.completed += u64::from(ended.completed);
        chunk.failed += u64::from(!ended.completed);
        let held_bytes = lines.len();
        if let Err(error) = serde_json::to_writer(&mut lines, &ended.result) {
            log::error!(
                "a result of job {} could not be serialized: {error}",
                owned.row.job
            );
        }
        lines.push(b'\n');
        memory.add_held(lines.len() - held_bytes);
    }
    chunk.bytes = lines.len() as u64;
    let lines = bytes::Bytes::from(lines);
    let mut pause = Backoff::default();
    while let Err(error) = store_results(shared, &chunk.object, lines.clone()).await {
        log::warn!(
            "results of job {} could not be stored and stay in memory, retrying: {error}",
            owned.row.job
        );
        pause.pause().await;
    }
    Some(chunk)
}

async fn store_results<P: Platform>(
    shared: &Shared<P>,
    object: &str,
    lines: bytes::Bytes,
) -> Result<()> {
    shared.platform.put_object(object, lines).await
}

/// Commits the stored results as the chunk's results, retrying until the outcome is known.
pub async fn commit<P: Platform>(shared: &Shared<P>, commit: &ChunkCommit) -> ChunkCommitResult {
    let mut pause = Backoff::default();
    loop {
        let outcome = store::send(&shared.platform, commit.transaction()).await;
        let step = commit.handle_outcome(outcome);
        if step != ChunkCommitResult::Resend {
            return step;
        }
        pause.pause().await;
    }
}

/// Runs an item, once it may start, while the lease is held. If the lease lapses, the item is
/// cancelled and starts again once it may. Returns `None` if ownership of the job is lost.
async fn run_item<P: Platform>(
    shared: &Shared<P>,
    task: ItemTask<'_>,
    mut lease_state: watch::Receiver<LeaseState>,
    started: &(impl Fn() + Sync),
) -> Option<FinishedItem> {
    let mut first = true;
    loop {
        let state = *lease_state
            .wait_for(|state| matches!(state, LeaseState::Held | LeaseState::Lost))
            .await
            .ok()?;
        if state == LeaseState::Lost {
            return None;
        }
        let slot = shared.batch_slots.acquire().await.ok()?;
        if !task.may_start(shared) {
            drop(slot);
            // The lease may be held again before the runner has published that it was not.
            tokio::time::sleep(RECHECK_DELAY).await;
            continue;
        }
        if std::mem::take(&mut first) {
            started();
        }
        tokio::select! {
            ended = policy::run(shared, &task) => {
                shared.metrics.batch_items.inc();
                shared.chunk_slots.estimator().record_finished_items(1);
                return Some(ended);
            }
            lapsed = lease_state.wait_for(|state| !may_go_on(*state)) => {
                lapsed.ok()?;
            }
        }
    }
}

/// Whether an item that runs may go on.
fn may_go_on(state: LeaseState) -> bool {
    matches!(state, LeaseState::Held | LeaseState::Unconfirmed)
}

/// Reads the items of a chunk and takes the memory for them.
async fn read_items<P: Platform>(
    shared: &Shared<P>,
    owned: &OwnedJob,
    index: u32,
) -> (Reservation, Vec<BatchItem>) {
    let name = tables::part_object(&owned.row.input_file, index);
    let mut pause = Backoff::default();
    loop {
        let turn = shared.chunk_memory.turn().await;
        match read_in_turn(shared, &name, &turn).await {
            Ok(read) => return read,
            Err(error) => log::warn!(
                "input of job {} could not be read, retrying: {error}",
                owned.row.job
            ),
        }
        drop(turn);
        pause.pause().await;
    }
}

async fn read_in_turn<P: Platform>(
    shared: &Shared<P>,
    name: &str,
    turn: &ChunkTurn<'_>,
) -> Result<(Reservation, Vec<BatchItem>)> {
    let items = parse_items(shared.platform.get_object(name).await)?;
    let bytes = chunk_memory::chunk_bytes(&items);
    if let Some(memory) = turn.try_reserve(bytes) {
        return Ok((memory, items));
    }
    // The items are read again once there is memory for them.
    drop(items);
    let memory = turn.reserve(bytes).await;
    let items = parse_items(shared.platform.get_object(name).await)?;
    Ok((memory, items))
}

fn parse_items(object: Result<Option<bytes::Bytes>>) -> Result<Vec<BatchItem>> {
    let missing = || PlatformError::Malformed {
        service: foxtailhold_platform::http::OBJECT_STORE,
        detail: "a part of the input is missing".into(),
    };
    let bytes = object?.ok_or_else(missing)?;
    let mut items = Vec::new();
    for line in bytes.split(|byte| *byte == b'\n') {
        if line.trim_ascii().is_empty() {
            continue;
        }
        let item = serde_json::from_slice(line).map_err(|error| PlatformError::Malformed {
            service: foxtailhold_platform::http::OBJECT_STORE,
            detail: error.to_string(),
        })?;
        items.push(item);
    }
    Ok(items)
}
