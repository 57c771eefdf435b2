//! Runs one owned job: executes the steps of its state machine and the attempts at its chunks.

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

use crate::jobs::chunk_slots::ChunkSlotGuard;
use crate::jobs::store::{self, Backoff};
use crate::jobs::{chunk, owner};
use crate::shared::Shared;

/// Period at which an execution checks its lease, its deadline and whether a chunk slot is free.
const TICK_MS: u64 = 100;

/// Why the execution of a job on this instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRunOutcome {
    /// The state machine reached its end: the job is finished, or its ownership is lost.
    Ended(ExecutionEnd),
    /// The execution was cancelled by this instance, for a cancelled job or a planned stop.
    Stopped,
}

/// Events that the tasks of chunk attempts and of the final write send to the runner.
#[derive(Debug)]
enum RunnerEvent {
    /// Every item of the attempt at this chunk has been started.
    AllStarted(u32),
    /// Every item of the attempt has ended and its result object is stored.
    ResultsStored(u32, ChunkRow),
    /// The outcome of a chunk's commit is known.
    CommitEnded(u32, ChunkRow, ChunkCommitResult),
    /// The outcome of the job's final write is known.
    FinishEnded(FinishResult),
}

/// A running attempt at a chunk. It keeps its chunk slot until it is dropped.
#[derive(Debug)]
struct ChunkAttempt {
    task: JoinHandle<()>,
    started: Instant,
    _slot: ChunkSlotGuard,
}

struct Runner<P> {
    shared: Shared<P>,
    execution: JobExecution,
    attempts: HashMap<u32, ChunkAttempt>,
    final_write: Option<JoinHandle<()>>,
    lease_state: watch::Sender<LeaseState>,
    sender: mpsc::UnboundedSender<RunnerEvent>,
    events: mpsc::UnboundedReceiver<RunnerEvent>,
}

/// Runs a job until it ends, `stop` is cancelled, or ownership is lost. When this returns, no item
/// of the job runs on this instance any more.
pub async fn run<P: Platform>(
    shared: &Shared<P>,
    owned: OwnedJob,
    stop: &CancellationToken,
) -> JobRunOutcome {
    let finished = tokio::select! {
        finished = read_finished_chunks(shared, &owned) => finished,
        () = stop.cancelled() => return JobRunOutcome::Stopped,
    };
    let (sender, events) = mpsc::unbounded_channel();
    let mut runner = Runner {
        shared: shared.clone(),
        execution: JobExecution::new(owned, &finished),
        attempts: HashMap::new(),
        final_write: None,
        lease_state: watch::Sender::new(LeaseState::Lapsed),
        sender,
        events,
    };
    let end = tokio::select! {
        end = runner.drive() => JobRunOutcome::Ended(end),
        () = stop.cancelled() => JobRunOutcome::Stopped,
    };
    runner.close().await;
    end
}

async fn read_finished_chunks<P: Platform>(
    shared: &Shared<P>,
    owned: &OwnedJob,
) -> Vec<(u32, ChunkRow)> {
    let mut pause = Backoff::default();
    loop {
        match owner::finished_chunks(&shared.platform, &owned.row.job).await {
            Ok(finished) => return finished,
            Err(error) => log::warn!(
                "finished chunks of job {} could not be read, retrying: {error}",
                owned.row.job
            ),
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
                Some(event) = self.events.recv() => self.handle_event(event),
            }
        }
    }

    fn lease_state(&self) -> LeaseState {
        let owned = self.execution.owned();
        let now = self.shared.clock.mono();
        let held = self.shared.lease.load();
        let start_leases = self.shared.start_leases.load();
        let lease_state = start_leases.state(&owned.row.job, owned.epoch, &held, now);
        self.lease_state.send_if_modified(|published| {
            let changed = *published != lease_state;
            *published = lease_state;
            changed
        });
        lease_state
    }

    /// Executes steps of the state machine until it has to wait or has ended.
    async fn advance(&mut self) -> Option<ExecutionEnd> {
        loop {
            let lease_state = self.lease_state();
            let now = self.shared.clock.wall();
            let slot = self.acquire_slot(lease_state);
            match self.execution.step(now, lease_state, slot.is_some()) {
                ExecutionStep::StartChunk(index) => self.start(index, slot?),
                ExecutionStep::StopChunks(indices) => self.stop_items(&indices).await,
                ExecutionStep::Finish(finish) => self.finish(*finish),
                ExecutionStep::Wait => return None,
                ExecutionStep::End(end) => return Some(end),
            }
        }
    }

    fn acquire_slot(&self, lease_state: LeaseState) -> Option<ChunkSlotGuard> {
        let now = self.shared.clock.wall();
        let row = &self.execution.owned().row;
        let backlog = self.execution.backlog(lease_state);
        let mono = self.shared.clock.mono();
        let shared_slots = &self.shared.chunk_slots;
        shared_slots.estimator().update(&row.job, backlog, mono);
        let mut slots = shared_slots.lock();
        if !self.execution.wants_chunk_slot(now, lease_state) {
            slots.cancel_wait(&row.job);
            return None;
        }
        let chunks_left = self.execution.chunks_left();
        let slack_ms = slots.slack_ms(row.deadline_wall_ms, chunks_left, now);
        let acquired = slots.try_acquire(&row.job, slack_ms);
        drop(slots);
        acquired.then(|| shared_slots.guard())
    }

    fn start(&mut self, index: u32, slot: ChunkSlotGuard) {
        let shared = self.shared.clone();
        let owned = self.execution.owned().clone();
        let lease_state = self.lease_state.subscribe();
        let sender = self.sender.clone();
        let task = tokio::spawn(async move {
            let all_started = || drop(sender.send(RunnerEvent::AllStarted(index)));
            if let Some(row) = chunk::run(&shared, &owned, index, lease_state, all_started).await {
                let _ = sender.send(RunnerEvent::ResultsStored(index, row));
            }
        });
        let attempt = ChunkAttempt {
            task,
            started: Instant::now(),
            _slot: slot,
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

    fn handle_event(&mut self, event: RunnerEvent) {
        match event {
            RunnerEvent::AllStarted(index) => self.execution.all_items_started(index),
            RunnerEvent::ResultsStored(index, row) => self.commit(index, row),
            RunnerEvent::CommitEnded(index, row, step) => self.committed(index, &row, step),
            RunnerEvent::FinishEnded(step) => self.execution.finish_ended(step),
        }
    }

    /// Commits an attempt's results. Does nothing for an attempt that was stopped meanwhile: it is
    /// no longer in `attempts`.
    fn commit(&mut self, index: u32, row: ChunkRow) {
        let Some(attempt) = self.attempts.get_mut(&index) else {
            return;
        };
        self.execution.commit_started(index);
        let commit = ChunkCommit::new(self.execution.owned(), index, row);
        let (shared, sender) = (self.shared.clone(), self.sender.clone());
        attempt.task = tokio::spawn(async move {
            let step = chunk::commit(&shared, &commit).await;
            let row = commit.chunk().clone();
            let _ = sender.send(RunnerEvent::CommitEnded(index, row, step));
        });
    }

    fn committed(&mut self, index: u32, row: &ChunkRow, step: ChunkCommitResult) {
        let attempt = self.attempts.remove(&index);
        if step == ChunkCommitResult::Committed {
            self.shared.metrics.batch_chunks.inc();
            let job = self.execution.owned().row.job.clone();
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
        self.execution.commit_ended(index, row, step);
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
                    owner::record_job_ended(&shared, finish.ended());
                }
                let _ = sender.send(RunnerEvent::FinishEnded(step));
                return;
            }
        }));
    }

    async fn close(mut self) {
        let job = &self.execution.owned().row.job;
        self.shared.chunk_slots.lock().cancel_wait(job);
        let now = self.shared.clock.mono();
        self.shared.chunk_slots.estimator().remove(job, now);
        for (_, attempt) in self.attempts.drain() {
            attempt.close().await;
        }
        if let Some(task) = self.final_write.take() {
            task.abort();
            let _ = task.await;
        }
    }
}

impl ChunkAttempt {
    /// Aborts the attempt. Its streams to engines are cancelled when this returns.
    async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}
