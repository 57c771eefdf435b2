//! Runs one owned job: drives its machine and the attempts at its chunks.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foxtailhold::batch::ChunkRow;
use foxtailhold::batch::chunk::{ChunkCommit, ChunkCommitResult};
use foxtailhold::batch::claim::OwnedJob;
use foxtailhold::batch::execution::{ExecutionEnd, ExecutionStep, JobExecution};
use foxtailhold::batch::finish::{FinishResult, FinishTransaction};
use foxtailhold::lease::LeaseState;
use foxtailhold::timeline::TimelineEvent;
use foxtailhold_platform::Platform;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::jobs::chunk_slots::HeldPlace;
use crate::jobs::store::{self, Backoff};
use crate::jobs::{chunk, owner};
use crate::shared::Shared;

/// The lease, the deadline and free places are looked at this often.
const TICK_MS: u64 = 100;

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStop {
    /// By itself.
    Ended(ExecutionEnd),
    /// This instance was told to stop it.
    Stopped,
}

/// What the attempts at chunks and the final write tell the run.
#[derive(Debug)]
enum Progress {
    /// All items of an attempt were started.
    Drained(u32),
    /// All items of an attempt ended and its results are stored.
    Stored(u32, ChunkRow),
    /// A commit's fate is known.
    Committed(u32, ChunkRow, ChunkCommitResult),
    /// The final write's fate is known.
    Finished(FinishResult),
}

/// An attempt at a chunk.
#[derive(Debug)]
struct Attempt {
    task: JoinHandle<()>,
    started: Instant,
    _place: HeldPlace,
}

struct Runner<P> {
    shared: Shared<P>,
    run: JobExecution,
    attempts: HashMap<u32, Attempt>,
    final_write: Option<JoinHandle<()>>,
    lease_state: watch::Sender<LeaseState>,
    sender: mpsc::UnboundedSender<Progress>,
    progress: mpsc::UnboundedReceiver<Progress>,
}

/// Runs a job until it ends, is stopped, or is lost. When it returns, no item of it runs here.
pub async fn run<P: Platform>(
    shared: &Shared<P>,
    owned: OwnedJob,
    stop: &CancellationToken,
) -> RunStop {
    let finished = tokio::select! {
        finished = finished_chunks(shared, &owned) => finished,
        () = stop.cancelled() => return RunStop::Stopped,
    };
    let (sender, progress) = mpsc::unbounded_channel();
    let mut runner = Runner {
        shared: shared.clone(),
        run: JobExecution::new(owned, &finished),
        attempts: HashMap::new(),
        final_write: None,
        lease_state: watch::Sender::new(LeaseState::Lapsed),
        sender,
        progress,
    };
    let end = tokio::select! {
        end = runner.drive() => RunStop::Ended(end),
        () = stop.cancelled() => RunStop::Stopped,
    };
    runner.close().await;
    end
}

async fn finished_chunks<P: Platform>(
    shared: &Shared<P>,
    owned: &OwnedJob,
) -> Vec<(u32, ChunkRow)> {
    let mut pause = Backoff::default();
    loop {
        match owner::finished_chunks(&shared.platform, &owned.row.job).await {
            Ok(finished) => return finished,
            Err(error) => log::warn!("job {} is held up: {error}", owned.row.job),
        }
        pause.pause().await;
    }
}

impl<P: Platform> Runner<P> {
    async fn drive(&mut self) -> ExecutionEnd {
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
        loop {
            if let Some(end) = self.advance().await {
                return end;
            }
            tokio::select! {
                _ = tick.tick() => {}
                Some(progress) = self.progress.recv() => self.on(progress),
            }
        }
    }

    fn lease_state(&self) -> LeaseState {
        let epoch = self.run.owned().epoch;
        let now = self.shared.clock.mono();
        let lease_state = self.shared.lease.load().lease_state(epoch, now);
        self.lease_state.send_if_modified(|published| {
            let changed = *published != lease_state;
            *published = lease_state;
            changed
        });
        lease_state
    }

    /// Takes steps until there is nothing to do.
    async fn advance(&mut self) -> Option<ExecutionEnd> {
        loop {
            let lease_state = self.lease_state();
            let now = self.shared.clock.wall();
            let place = self.take_place(lease_state);
            match self.run.step(now, lease_state, place.is_some()) {
                ExecutionStep::StartChunk(index) => self.start(index, place?),
                ExecutionStep::StopChunks(indices) => self.stop_items(&indices).await,
                ExecutionStep::Finish(finish) => self.finish(*finish),
                ExecutionStep::Wait => return None,
                ExecutionStep::End(end) => return Some(end),
            }
        }
    }

    fn take_place(&self, lease_state: LeaseState) -> Option<HeldPlace> {
        let now = self.shared.clock.wall();
        let row = &self.run.owned().row;
        let backlog = self.run.backlog(lease_state);
        let mono = self.shared.clock.mono();
        let shared_places = &self.shared.chunk_slots;
        shared_places.landing().update(&row.job, backlog, mono);
        let mut places = shared_places.lock();
        if !self.run.wants_chunk_slot(now, lease_state) {
            places.cancel_wait(&row.job);
            return None;
        }
        let left = self.run.chunks_left();
        let slack_ms = places.slack_ms(row.deadline_wall_ms, left, now);
        let taken = places.try_acquire(&row.job, slack_ms);
        drop(places);
        taken.then(|| shared_places.held())
    }

    fn start(&mut self, index: u32, place: HeldPlace) {
        let shared = self.shared.clone();
        let owned = self.run.owned().clone();
        let lease_state = self.lease_state.subscribe();
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            let drained = || drop(sender.send(Progress::Drained(index)));
            if let Some(row) = chunk::run(&shared, &owned, index, lease_state, drained).await {
                let _ = sender.send(Progress::Stored(index, row));
            }
        });
        let attempt = Attempt {
            task,
            started: Instant::now(),
            _place: place,
        };
        self.attempts.insert(index, attempt);
    }

    async fn stop_items(&mut self, indices: &[u32]) {
        for index in indices {
            let Some(attempt) = self.attempts.remove(index) else {
                continue;
            };
            attempt.close().await;
        }
    }

    fn on(&mut self, progress: Progress) {
        match progress {
            Progress::Drained(index) => self.run.all_items_started(index),
            Progress::Stored(index, row) => self.commit(index, row),
            Progress::Committed(index, row, step) => self.committed(index, &row, step),
            Progress::Finished(step) => self.run.finish_ended(step),
        }
    }

    /// Commits an attempt's results. An attempt stopped meanwhile has no entry any more.
    fn commit(&mut self, index: u32, row: ChunkRow) {
        let Some(attempt) = self.attempts.get_mut(&index) else {
            return;
        };
        self.run.commit_started(index);
        let commit = ChunkCommit::new(self.run.owned(), index, row);
        let (shared, sender) = (self.shared.clone(), self.sender.clone());
        attempt.task = tokio::spawn(async move {
            let step = chunk::commit(&shared, &commit).await;
            let row = commit.chunk().clone();
            let _ = sender.send(Progress::Committed(index, row, step));
        });
    }

    fn committed(&mut self, index: u32, row: &ChunkRow, step: ChunkCommitResult) {
        let attempt = self.attempts.remove(&index);
        if step == ChunkCommitResult::Committed {
            self.shared.metrics.batch_chunks.inc();
            let job = self.run.owned().row.job.clone();
            self.shared
                .timeline
                .note(TimelineEvent::ChunkDone { job, chunk: index });
            if let Some(attempt) = attempt {
                let chunk_ms = attempt.started.elapsed().as_millis() as u64;
                self.shared
                    .chunk_slots
                    .lock()
                    .record_chunk_duration(chunk_ms);
            }
        }
        self.run.commit_ended(index, row, step);
    }

    fn finish(&mut self, finish: FinishTransaction) {
        let (shared, sender) = (self.shared.clone(), self.sender.clone());
        self.final_write = Some(tokio::spawn(async move {
            let mut pause = Backoff::default();
            loop {
                let outcome = store::send(&shared.platform, finish.transaction()).await;
                let step = finish.handle_outcome(outcome);
                if step == FinishResult::Resend {
                    pause.pause().await;
                    continue;
                }
                if step == FinishResult::Ended {
                    owner::note_ended(&shared, finish.ended());
                }
                let _ = sender.send(Progress::Finished(step));
                return;
            }
        }));
    }

    async fn close(mut self) {
        let job = &self.run.owned().row.job;
        self.shared.chunk_slots.lock().cancel_wait(job);
        let now = self.shared.clock.mono();
        self.shared.chunk_slots.landing().remove(job, now);
        for (_, attempt) in self.attempts.drain() {
            attempt.close().await;
        }
        if let Some(task) = self.final_write.take() {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Attempt {
    /// Stops the attempt; its streams are cancelled when this returns.
    async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}
