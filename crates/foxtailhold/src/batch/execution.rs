//! The run of one owned job: which chunk starts next, and when the job ends.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::chunk::CommitStep;
use crate::batch::claim::OwnedJob;
use crate::batch::deadline_check::Backlog;
use crate::batch::finish::{Finish, FinishStep};
use crate::batch::rows::{ChunkRow, JobCounts, JobRow, JobStatus};
use crate::batch::transaction::Versioned;
use crate::lease::Standing;
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
pub enum RunEnd {
    /// The job has its final status.
    Finished,
    /// Another instance owns it, or the row is gone.
    Lost,
}

/// What to do next.
#[derive(Debug, Clone)]
pub enum RunStep {
    /// Start the chunk with this index.
    Start(u32),
    /// Drop every attempt whose items still run; no item of it may start.
    StopItems(Vec<u32>),
    /// Write the final status.
    Finish(Box<Finish>),
    /// Wait for a chunk to end, for the lease, or for the deadline.
    Wait,
    /// Drop everything: the run is over.
    End(RunEnd),
}

/// One owned job in its run.
#[derive(Debug, Clone)]
pub struct JobRun {
    owned: OwnedJob,
    counts: JobCounts,
    todo: BTreeSet<u32>,
    started: BTreeMap<u32, Stage>,
    finishing: bool,
    end: Option<RunEnd>,
}

impl JobRun {
    /// A run of a job just claimed, from the chunk rows read after the claim.
    pub fn new(owned: OwnedJob, finished: &[(u32, ChunkRow)]) -> Self {
        let mut todo: BTreeSet<u32> = (0..owned.row.chunks).collect();
        let mut counts = JobCounts::default();
        for (index, chunk) in finished {
            if todo.remove(index) {
                counts.add(chunk);
            }
        }
        JobRun {
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
    pub fn backlog(&self, standing: Standing) -> Backlog {
        let done = self.counts.completed + self.counts.failed;
        let unstarted = self.started.values().any(|stage| *stage == Stage::Items);
        let waiting = unstarted || !self.todo.is_empty();
        Backlog {
            deadline_wall_ms: self.owned.row.deadline_wall_ms,
            items_left: self.owned.row.items.saturating_sub(done),
            waiting: waiting && standing == Standing::Held,
        }
    }

    /// Chunks without a result.
    pub fn chunks_left(&self) -> usize {
        self.todo.len() + self.started.len()
    }

    /// Whether an item of the job may start.
    pub fn may_start_items(&self, now: WallMs, standing: Standing) -> bool {
        self.end.is_none() && standing == Standing::Held && self.status_due(now).is_none()
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
    pub fn wants_room(&self, now: WallMs, standing: Standing) -> bool {
        let waiting = self.started.values().any(|stage| *stage == Stage::Items);
        !waiting && !self.todo.is_empty() && self.may_start_items(now, standing)
    }

    /// Notes that all items of a chunk were started.
    pub fn drained(&mut self, index: u32) {
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
    pub fn step(&mut self, now: WallMs, standing: Standing, room: bool) -> RunStep {
        if let Some(end) = self.end {
            return RunStep::End(end);
        }
        if standing == Standing::Lost {
            self.end = Some(RunEnd::Lost);
            return RunStep::End(RunEnd::Lost);
        }
        if let Some(status) = self.status_due(now) {
            return self.step_towards(status, now);
        }
        if !room || !self.wants_room(now, standing) {
            return RunStep::Wait;
        }
        let Some(index) = self.todo.pop_first() else {
            return RunStep::Wait;
        };
        self.started.insert(index, Stage::Items);
        RunStep::Start(index)
    }

    /// A commit on its way may still take effect until its fate is known, unless a cancel fences
    /// it, and the counts of the final row must not miss it.
    fn step_towards(&mut self, status: JobStatus, now: WallMs) -> RunStep {
        if self.started.values().any(|stage| *stage != Stage::Commit) {
            return self.stop_items();
        }
        if self.finishing || !self.started.is_empty() {
            return RunStep::Wait;
        }
        self.finishing = true;
        let finish = Finish::by_owner(&self.owned, status, self.counts, now);
        RunStep::Finish(Box::new(finish))
    }

    fn stop_items(&mut self) -> RunStep {
        let mut stopped = Vec::new();
        for (index, stage) in &self.started {
            if *stage != Stage::Commit {
                stopped.push(*index);
            }
        }
        if stopped.is_empty() {
            return RunStep::Wait;
        }
        for index in &stopped {
            self.started.remove(index);
            self.todo.insert(*index);
        }
        RunStep::StopItems(stopped)
    }

    /// Notes that all items of a chunk ended and its commit is about to be sent.
    pub fn committing(&mut self, index: u32) {
        if let Some(stage) = self.started.get_mut(&index) {
            *stage = Stage::Commit;
        }
    }

    /// Takes the end of a chunk's commit; [`CommitStep::Resend`] changes nothing.
    pub fn chunk_ended(&mut self, index: u32, chunk: &ChunkRow, step: CommitStep) {
        match step {
            CommitStep::Resend => return,
            CommitStep::Committed => self.counts.add(chunk),
            CommitStep::DoneBefore(found) => self.counts.add(&found),
            CommitStep::JobChanged(found) => {
                self.todo.insert(index);
                self.job_changed(found);
            }
            CommitStep::OwnerChanged => self.end = Some(RunEnd::Lost),
        }
        self.started.remove(&index);
    }

    /// Takes the end of the final write; [`FinishStep::Resend`] changes nothing.
    pub fn finish_ended(&mut self, step: FinishStep) {
        match step {
            FinishStep::Resend => return,
            FinishStep::Ended => self.end = Some(RunEnd::Finished),
            FinishStep::JobChanged(found) => self.job_changed(found),
            FinishStep::OwnerChanged => self.end = Some(RunEnd::Lost),
        }
        self.finishing = false;
    }

    fn job_changed(&mut self, found: Option<Box<Versioned<JobRow>>>) {
        let Some(found) = found else {
            self.end = Some(RunEnd::Lost);
            return;
        };
        if found.row.status.is_final() {
            self.end = Some(RunEnd::Finished);
            return;
        }
        if found.version > self.owned.job_version {
            self.owned.job_version = found.version;
            self.owned.row = found.row;
        }
    }
}
