//! The run of one owned job: which chunk starts next, and when the job ends.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::chunk::ChunkCommitResult;
use crate::batch::claim::OwnedJob;
use crate::batch::deadline_check::Backlog;
use crate::batch::finish::{FinishResult, FinishTransaction};
use crate::batch::rows::{ChunkRow, JobCounts, JobRow, JobStatus};
use crate::batch::transaction::Versioned;
use crate::lease::LeaseState;
use crate::time::WallMs;

/// How far a started chunk has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Some of its items have not been started.
    Items,
    /// All its items run or have ended.
    Drained,
    /// Its result object is stored and its transaction may be on its way.
    Commit,
}

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// The job has its final status.
    Finished,
    /// Another instance owns it, or the row is gone.
    Lost,
}

/// What to do next.
#[derive(Debug, Clone)]
pub enum ExecutionStep {
    /// Start the chunk with this index.
    StartChunk(u32),
    /// Drop every attempt whose items still run; no item of it may start.
    StopChunks(Vec<u32>),
    /// Write the final status.
    Finish(Box<FinishTransaction>),
    /// Wait for a chunk to end, for the lease, or for the deadline.
    Wait,
    /// Drop everything: the run is over.
    End(ExecutionEnd),
}

/// One owned job in its run.
#[derive(Debug, Clone)]
pub struct JobExecution {
    owned: OwnedJob,
    counts: JobCounts,
    todo: BTreeSet<u32>,
    started: BTreeMap<u32, Stage>,
    finishing: bool,
    end: Option<ExecutionEnd>,
}

impl JobExecution {
    /// A run of a job just claimed, from the chunk rows read after the claim.
    pub fn new(owned: OwnedJob, finished: &[(u32, ChunkRow)]) -> Self {
        let mut todo: BTreeSet<u32> = (0..owned.row.chunks).collect();
        let mut counts = JobCounts::default();
        for (index, chunk) in finished {
            if todo.remove(index) {
                counts.add(chunk);
            }
        }
        JobExecution {
            owned,
            counts,
            todo,
            started: BTreeMap::new(),
            finishing: false,
            end: None,
        }
    }

    /// The job as this run knows it.
    pub fn owned(&self) -> &OwnedJob {
        &self.owned
    }

    /// What the job still needs, for the judgement of jobs offered.
    pub fn backlog(&self, lease_state: LeaseState) -> Backlog {
        let done = self.counts.completed + self.counts.failed;
        let unstarted = self.started.values().any(|stage| *stage == Stage::Items);
        let waiting = unstarted || !self.todo.is_empty();
        Backlog {
            deadline_wall_ms: self.owned.row.deadline_wall_ms,
            items_left: self.owned.row.items.saturating_sub(done),
            waiting: waiting && lease_state == LeaseState::Held,
        }
    }

    /// Chunks without a result.
    pub fn chunks_left(&self) -> usize {
        self.todo.len() + self.started.len()
    }

    /// Whether an item of the job may start.
    pub fn may_start_items(&self, now: WallMs, lease_state: LeaseState) -> bool {
        self.end.is_none() && lease_state == LeaseState::Held && self.status_due(now).is_none()
    }

    /// The final status that the job has to be given now.
    fn status_due(&self, now: WallMs) -> Option<JobStatus> {
        if self.owned.row.status == JobStatus::Cancelling {
            return Some(JobStatus::Cancelled);
        }
        if self.chunks_left() == 0 {
            return Some(JobStatus::Completed);
        }
        (now.0 > self.owned.row.deadline_wall_ms).then_some(JobStatus::Expired)
    }

    /// Whether a chunk should be started now: one is left, and every item of the started ones has
    /// been started. So chunks end one after the other, and an owner that dies loses few of them.
    pub fn wants_chunk_slot(&self, now: WallMs, lease_state: LeaseState) -> bool {
        let waiting = self.started.values().any(|stage| *stage == Stage::Items);
        !waiting && !self.todo.is_empty() && self.may_start_items(now, lease_state)
    }

    /// Notes that all items of a chunk were started.
    pub fn all_items_started(&mut self, index: u32) {
        if let Some(stage) = self.started.get_mut(&index)
            && *stage == Stage::Items
        {
            *stage = Stage::Drained;
        }
    }

    /// Decides the next step. `room` says whether another chunk may be started.
    ///
    /// While the lease has lapsed nothing is started and nothing dropped: results of items that
    /// ended are kept for when it comes back.
    pub fn step(&mut self, now: WallMs, lease_state: LeaseState, room: bool) -> ExecutionStep {
        if let Some(end) = self.end {
            return ExecutionStep::End(end);
        }
        if lease_state == LeaseState::Lost {
            self.end = Some(ExecutionEnd::Lost);
            return ExecutionStep::End(ExecutionEnd::Lost);
        }
        if let Some(status) = self.status_due(now) {
            return self.step_towards(status, now);
        }
        if !room || !self.wants_chunk_slot(now, lease_state) {
            return ExecutionStep::Wait;
        }
        let Some(index) = self.todo.pop_first() else {
            return ExecutionStep::Wait;
        };
        self.started.insert(index, Stage::Items);
        ExecutionStep::StartChunk(index)
    }

    /// A commit on its way may still take effect until its fate is known, unless a cancel fences
    /// it, and the counts of the final row must not miss it.
    fn step_towards(&mut self, status: JobStatus, now: WallMs) -> ExecutionStep {
        if self.started.values().any(|stage| *stage != Stage::Commit) {
            return self.stop_items();
        }
        if self.finishing || !self.started.is_empty() {
            return ExecutionStep::Wait;
        }
        self.finishing = true;
        let finish = FinishTransaction::by_owner(&self.owned, status, self.counts, now);
        ExecutionStep::Finish(Box::new(finish))
    }

    fn stop_items(&mut self) -> ExecutionStep {
        let mut stopped = Vec::new();
        for (index, stage) in &self.started {
            if *stage != Stage::Commit {
                stopped.push(*index);
            }
        }
        if stopped.is_empty() {
            return ExecutionStep::Wait;
        }
        for index in &stopped {
            self.started.remove(index);
            self.todo.insert(*index);
        }
        ExecutionStep::StopChunks(stopped)
    }

    /// Notes that all items of a chunk ended and its commit is about to be sent.
    pub fn commit_started(&mut self, index: u32) {
        if let Some(stage) = self.started.get_mut(&index) {
            *stage = Stage::Commit;
        }
    }

    /// Takes the end of a chunk's commit; [`ChunkCommitResult::Resend`] changes nothing.
    pub fn commit_ended(&mut self, index: u32, chunk: &ChunkRow, step: ChunkCommitResult) {
        match step {
            ChunkCommitResult::Resend => return,
            ChunkCommitResult::Committed => self.counts.add(chunk),
            ChunkCommitResult::AlreadyCommitted(found) => self.counts.add(&found),
            ChunkCommitResult::JobChanged(found) => {
                self.todo.insert(index);
                self.job_changed(found);
            }
            ChunkCommitResult::OwnerChanged => self.end = Some(ExecutionEnd::Lost),
        }
        self.started.remove(&index);
    }

    /// Takes the end of the final write; [`FinishResult::Resend`] changes nothing.
    pub fn finish_ended(&mut self, step: FinishResult) {
        match step {
            FinishResult::Resend => return,
            FinishResult::Ended => self.end = Some(ExecutionEnd::Finished),
            FinishResult::JobChanged(found) => self.job_changed(found),
            FinishResult::OwnerChanged => self.end = Some(ExecutionEnd::Lost),
        }
        self.finishing = false;
    }

    fn job_changed(&mut self, found: Option<Box<Versioned<JobRow>>>) {
        let Some(found) = found else {
            self.end = Some(ExecutionEnd::Lost);
            return;
        };
        if found.row.status.is_final() {
            self.end = Some(ExecutionEnd::Finished);
            return;
        }
        if found.version > self.owned.job_version {
            self.owned.job_version = found.version;
            self.owned.row = found.row;
        }
    }
}
