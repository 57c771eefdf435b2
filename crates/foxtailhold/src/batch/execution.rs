//! Execution of one owned job: decides which chunk starts next and when the job ends.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::chunk::ChunkCommitResult;
use crate::batch::claim::OwnedJob;
use crate::batch::deadline_check::Backlog;
use crate::batch::finish::{FinishResult, FinishTransaction};
use crate::batch::rows::{ChunkRow, JobCounts, JobRow, JobStatus};
use crate::batch::transaction::Versioned;
use crate::lease::LeaseState;
use crate::time::WallMs;

/// Progress of a started chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkStage {
    /// Some items have not been started.
    StartingItems,
    /// All items run or have ended.
    AllItemsStarted,
    /// The result object is stored and the commit may have been sent.
    Committing,
}

/// Reason why the execution of a job on this instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// The job has reached its final status.
    Finished,
    /// Another instance owns the job, or the job row is gone.
    Lost,
}

/// Next step of an execution.
#[derive(Debug, Clone)]
pub enum ExecutionStep {
    /// Start the items of the chunk with this index.
    StartChunk(u32),
    /// Stop the items of these chunks and drop their results; no further item of them may start.
    StopChunks(Vec<u32>),
    /// Send the transaction that writes the final status.
    Finish(Box<FinishTransaction>),
    /// Wait until a chunk ends, the lease changes or the deadline passes.
    Wait,
    /// The execution is over: drop all work for the job.
    End(ExecutionEnd),
}

/// State of the execution of one owned job.
#[derive(Debug, Clone)]
pub struct JobExecution {
    owned: OwnedJob,
    counts: JobCounts,
    not_started: BTreeSet<u32>,
    started: BTreeMap<u32, ChunkStage>,
    finishing: bool,
    end: Option<ExecutionEnd>,
}

impl JobExecution {
    /// Starts the execution of a newly claimed job. `finished` holds the chunk rows read after the
    /// claim.
    pub fn new(owned: OwnedJob, finished: &[(u32, ChunkRow)]) -> Self {
        let mut not_started: BTreeSet<u32> = (0..owned.row.chunks).collect();
        let mut counts = JobCounts::default();
        for (index, chunk) in finished {
            if not_started.remove(index) {
                counts.add(chunk);
            }
        }
        JobExecution {
            owned,
            counts,
            not_started,
            started: BTreeMap::new(),
            finishing: false,
            end: None,
        }
    }

    /// The job row and versions as this execution last saw them.
    pub fn owned(&self) -> &OwnedJob {
        &self.owned
    }

    /// Remaining work of the job, for the deadline check of new jobs.
    pub fn backlog(&self, lease_state: LeaseState) -> Backlog {
        let done = self.counts.completed + self.counts.failed;
        let has_starting_chunk = self
            .started
            .values()
            .any(|stage| *stage == ChunkStage::StartingItems);
        let waiting = has_starting_chunk || !self.not_started.is_empty();
        Backlog {
            deadline_wall_ms: self.owned.row.deadline_wall_ms,
            items_left: self.owned.row.items.saturating_sub(done),
            waiting: waiting && lease_state == LeaseState::Held,
        }
    }

    /// Number of chunks without a committed result.
    pub fn chunks_left(&self) -> usize {
        self.not_started.len() + self.started.len()
    }

    /// Whether an item of the job may start now.
    pub fn may_start_items(&self, now: WallMs, lease_state: LeaseState) -> bool {
        self.end.is_none() && lease_state == LeaseState::Held && self.status_due(now).is_none()
    }

    /// The final status that has to be written now, if any.
    fn status_due(&self, now: WallMs) -> Option<JobStatus> {
        if self.owned.row.status == JobStatus::Cancelling {
            return Some(JobStatus::Cancelled);
        }
        if self.chunks_left() == 0 {
            return Some(JobStatus::Completed);
        }
        (now.0 > self.owned.row.deadline_wall_ms).then_some(JobStatus::Expired)
    }

    /// Whether another chunk should start now: one is left, and all items of the started chunks
    /// have been started. Chunks therefore end one after the other, and an owner that crashes loses
    /// the work of few of them.
    pub fn wants_chunk_slot(&self, now: WallMs, lease_state: LeaseState) -> bool {
        let waiting = self
            .started
            .values()
            .any(|stage| *stage == ChunkStage::StartingItems);
        !waiting && !self.not_started.is_empty() && self.may_start_items(now, lease_state)
    }

    /// Records that all items of a chunk have been started.
    pub fn all_items_started(&mut self, index: u32) {
        if let Some(stage) = self.started.get_mut(&index)
            && *stage == ChunkStage::StartingItems
        {
            *stage = ChunkStage::AllItemsStarted;
        }
    }

    /// Decides the next step. `slot_available` says whether another chunk may start.
    ///
    /// While the lease has lapsed or the job is not confirmed, no chunk starts and none is dropped,
    /// so that the results of finished items can be committed once the lease is renewed.
    pub fn step(
        &mut self,
        now: WallMs,
        lease_state: LeaseState,
        slot_available: bool,
    ) -> ExecutionStep {
        if let Some(end) = self.end {
            return ExecutionStep::End(end);
        }
        if lease_state == LeaseState::Lost {
            self.end = Some(ExecutionEnd::Lost);
            return ExecutionStep::End(ExecutionEnd::Lost);
        }
        if let Some(status) = self.status_due(now) {
            return self.finish_step(status, now);
        }
        if !slot_available || !self.wants_chunk_slot(now, lease_state) {
            return ExecutionStep::Wait;
        }
        let Some(index) = self.not_started.pop_first() else {
            return ExecutionStep::Wait;
        };
        self.started.insert(index, ChunkStage::StartingItems);
        ExecutionStep::StartChunk(index)
    }

    /// Stops items and then writes the final status. A commit in flight may still take effect until
    /// its outcome is known, unless a cancellation fences it. The final status waits for it,
    /// because the counts in the final row have to include it.
    fn finish_step(&mut self, status: JobStatus, now: WallMs) -> ExecutionStep {
        if self
            .started
            .values()
            .any(|stage| *stage != ChunkStage::Committing)
        {
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
            if *stage != ChunkStage::Committing {
                stopped.push(*index);
            }
        }
        if stopped.is_empty() {
            return ExecutionStep::Wait;
        }
        for index in &stopped {
            self.started.remove(index);
            self.not_started.insert(*index);
        }
        ExecutionStep::StopChunks(stopped)
    }

    /// Records that all items of a chunk have ended and that its commit is about to be sent.
    pub fn commit_started(&mut self, index: u32) {
        if let Some(stage) = self.started.get_mut(&index) {
            *stage = ChunkStage::Committing;
        }
    }

    /// Processes the result of a chunk's commit; [`ChunkCommitResult::Resend`] changes nothing.
    pub fn commit_ended(&mut self, index: u32, chunk: &ChunkRow, step: ChunkCommitResult) {
        match step {
            ChunkCommitResult::Resend => return,
            ChunkCommitResult::Committed => self.counts.add(chunk),
            ChunkCommitResult::AlreadyCommitted(found) => self.counts.add(&found),
            ChunkCommitResult::JobChanged(found) => {
                self.not_started.insert(index);
                self.job_changed(found);
            }
            ChunkCommitResult::OwnerChanged => self.end = Some(ExecutionEnd::Lost),
        }
        self.started.remove(&index);
    }

    /// Processes the result of the write of the final status; [`FinishResult::Resend`] changes
    /// nothing.
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
