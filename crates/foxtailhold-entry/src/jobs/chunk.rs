//! One attempt at a chunk: its items, its result object, its commit.

use std::sync::atomic::{AtomicUsize, Ordering};

use foxtailhold::batch::chunk::{ChunkCommit, ChunkCommitResult};
use foxtailhold::batch::claim::OwnedJob;
use foxtailhold::batch::{BatchItem, ChunkRow};
use foxtailhold::lease::LeaseState;
use foxtailhold::time::WallMs;
use foxtailhold_platform::{Platform, PlatformError, Result};
use futures_util::{StreamExt, stream};
use tokio::sync::watch;

use crate::jobs::item::{EndedItem, ItemRun};
use crate::jobs::policy;
use crate::jobs::store::{self, Backoff};
use crate::shared::Shared;
use crate::tables;

/// The path of a job's items, as a constant.
fn path(endpoint: &str) -> &'static str {
    use foxtailhold_caller::handler::{CHAT_PATH, COMPLETIONS_PATH};
    if endpoint == COMPLETIONS_PATH {
        return COMPLETIONS_PATH;
    }
    CHAT_PATH
}

/// Runs the items of a chunk and stores their results under a name of their own, sending again
/// until the store takes them; calls `drained` when all were started. `None` where the job is lost.
pub async fn run<P: Platform>(
    shared: &Shared<P>,
    owned: &OwnedJob,
    index: u32,
    lease_state: watch::Receiver<LeaseState>,
    drained: impl Fn() + Send + Sync,
) -> Option<ChunkRow> {
    let items = read_items(shared, owned, index).await;
    let path = path(&owned.row.endpoint);
    let order = shared.item_key();
    let waiting = AtomicUsize::new(items.len());
    let started = || {
        if waiting.fetch_sub(1, Ordering::Relaxed) == 1 {
            drained();
        }
    };
    let mut runs = Vec::with_capacity(items.len());
    for item in &items {
        let run = ItemRun {
            item,
            customer: &owned.row.customer,
            path,
            deadline: WallMs(owned.row.deadline_wall_ms),
            order,
            epoch: owned.epoch,
        };
        runs.push(run_item(shared, run, lease_state.clone(), &started));
    }
    let mut running = stream::iter(runs).buffered(items.len().max(1));
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
        if let Err(error) = serde_json::to_writer(&mut lines, &ended.result) {
            log::error!("a result of job {} is not JSON: {error}", owned.row.job);
        }
        lines.push(b'\n');
    }
    chunk.bytes = lines.len() as u64;
    let lines = bytes::Bytes::from(lines);
    let mut pause = Backoff::default();
    while let Err(error) = put(shared, &chunk.object, lines.clone()).await {
        log::warn!("results of job {} wait in memory: {error}", owned.row.job);
        pause.pause().await;
    }
    Some(chunk)
}

async fn put<P: Platform>(shared: &Shared<P>, object: &str, lines: bytes::Bytes) -> Result<()> {
    shared.platform.put_object(object, lines).await
}

/// Makes the stored results the chunk's, sending until the fate is known.
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

/// Runs an item while the lease is held. A lapse stops it, and it begins anew once the lease is
/// back; `None` once the job is lost.
async fn run_item<P: Platform>(
    shared: &Shared<P>,
    run: ItemRun<'_>,
    mut lease_state: watch::Receiver<LeaseState>,
    started: &(impl Fn() + Sync),
) -> Option<EndedItem> {
    let mut first = true;
    loop {
        let seen = *lease_state
            .wait_for(|seen| *seen != LeaseState::Lapsed)
            .await
            .ok()?;
        if seen == LeaseState::Lost {
            return None;
        }
        let place = shared.batch_slots.acquire().await.ok()?;
        if !run.is_owned(shared) {
            drop(place);
            lease_state.changed().await.ok()?;
            continue;
        }
        if std::mem::take(&mut first) {
            started();
        }
        tokio::select! {
            ended = policy::run(shared, &run) => {
                shared.metrics.batch_items.inc();
                shared.chunk_slots.landing().record_finished_items(1);
                return Some(ended);
            }
            lapsed = lease_state.wait_for(|seen| *seen != LeaseState::Held) => {
                lapsed.ok()?;
            }
        }
    }
}

async fn read_items<P: Platform>(
    shared: &Shared<P>,
    owned: &OwnedJob,
    index: u32,
) -> Vec<BatchItem> {
    let name = tables::part_object(&owned.row.input_file, index);
    let mut pause = Backoff::default();
    loop {
        match parse_items(shared.platform.get_object(&name).await) {
            Ok(items) => return items,
            Err(error) => log::warn!("input of job {} waits: {error}", owned.row.job),
        }
        pause.pause().await;
    }
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
