//! Periodic work of the simulated instances (lease renewal, scans, job execution) and the steps of
//! cancellations.

use foxtailhold::batch::cancel::{CancelPlan, CancelTransaction, CancellingJob};
use foxtailhold::batch::chunk::{ChunkCommit, ChunkCommitResult};
use foxtailhold::batch::execution::ExecutionStep;
use foxtailhold::batch::finish::{FinishResult, FinishTransaction};
use foxtailhold::batch::registry::StopAction;
use foxtailhold::batch::{ChunkRow, JobCounts, JobStatus};
use foxtailhold::ids::JobId;
use foxtailhold::lease::{ACT_BOUND_MS, LEASE_RENEW_MS, LeaseState};
use foxtailhold::time::{MonoMs, WallMs};

use super::count;
use super::node::{JobScan, StoreRequest, StoreResponse, Waiter};
use super::world::{CancelState, World};

/// Maximum number of started chunks of one job.
const MAX_STARTED_CHUNKS: usize = 2;
/// Rounds without faults within which every job must end.
const HEALED_ROUNDS: usize = 400;

impl World {
    /// Does all work of an instance that is due.
    pub fn tick(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let now = MonoMs(self.now_ms);
        let node = &mut self.nodes[index];
        if !node.renewing && self.now_ms >= node.renewed_at_ms + LEASE_RENEW_MS {
            node.renewing = true;
            node.renewed_at_ms = self.now_ms;
            if node.lease_renewer.needs_read() {
                let request = StoreRequest::ReadLease(node.id.clone());
                self.send(index, Waiter::Renewal(None), request);
            } else {
                let renewal = node.lease_renewer.renewal(None, now);
                let waiter = Waiter::Renewal(Some(renewal.clone()));
                self.send(index, waiter, StoreRequest::Renew(renewal));
            }
        }
        let node = &mut self.nodes[index];
        let held = node.lease_renewer.held().epoch_at(now).is_some();
        if held && let Some(running) = node.registry.begin_scan() {
            let scan = JobScan {
                sent_at: now,
                running,
                ..JobScan::default()
            };
            node.scan = Some(scan);
            self.send(index, Waiter::Scan, StoreRequest::ScanOpen);
        }
        let node = &mut self.nodes[index];
        if !node.is_reading_open_jobs && node.start_leases.needs_read(now) {
            node.is_reading_open_jobs = true;
            self.send(index, Waiter::OpenJobs(now), StoreRequest::ScanOpen);
        }
        let jobs: Vec<JobId> = self.nodes[index].runs.keys().cloned().collect();
        for job in jobs {
            self.advance_execution(index, &job);
            if self.may_start_items(index, &job) {
                count("item might start");
                self.check_item_start(index, &job);
            }
        }
    }

    /// Whether an item of a job may start on an instance now.
    pub fn may_start_items(&self, index: usize, job: &JobId) -> bool {
        let Some(run) = self.nodes[index].runs.get(job) else {
            return false;
        };
        let lease_state = self.lease_state(index, job);
        run.execution
            .may_start_items(WallMs(self.now_ms), lease_state)
    }

    fn lease_state(&self, index: usize, job: &JobId) -> LeaseState {
        let node = &self.nodes[index];
        let epoch = node.runs[job].execution.owned().epoch;
        let held = node.lease_renewer.held();
        node.start_leases
            .state(job, epoch, held, MonoMs(self.now_ms))
    }

    fn advance_execution(&mut self, index: usize, job: &JobId) {
        let run = self.nodes[index].runs.get_mut(job).unwrap();
        for chunk in run.items.keys() {
            run.execution.all_items_started(*chunk);
        }
        loop {
            let lease_state = self.lease_state(index, job);
            let now = WallMs(self.now_ms);
            let run = self.nodes[index].runs.get_mut(job).unwrap();
            let slot_available = run.items.len() < MAX_STARTED_CHUNKS;
            match run.execution.step(now, lease_state, slot_available) {
                ExecutionStep::StartChunk(chunk) => {
                    run.items.insert(chunk, false);
                    self.check_item_start(index, job);
                }
                ExecutionStep::StopChunks(stopped) => run.items.retain(|c, _| !stopped.contains(c)),
                ExecutionStep::Finish(finish) => {
                    let number = run.number;
                    let request = StoreRequest::Transact(finish.transaction().clone());
                    self.send(index, Waiter::Finish(job.clone(), number, *finish), request);
                }
                ExecutionStep::Wait => return,
                ExecutionStep::End(_) => return self.end_execution(index, job),
            }
        }
    }

    /// Oracle: an instance that starts an item owns the job, the job is not cancelled, and its
    /// cancellation has not been committed for longer than an owner acts without confirmation.
    fn check_item_start(&self, index: usize, job: &JobId) {
        count("item started");
        let status = self.store.job[job].row.status;
        assert_ne!(
            status,
            JobStatus::Cancelled,
            "an item of a cancelled job started"
        );
        let cancelled_at_ms = self.cancelled_at_ms.get(job);
        let cancelled_ms = cancelled_at_ms.map_or(0, |at_ms| self.now_ms - at_ms);
        assert!(
            cancelled_ms < ACT_BOUND_MS,
            "an item started {cancelled_ms} ms after the cancellation was committed"
        );
        let node = &self.nodes[index];
        let epoch = node.runs[job].execution.owned().epoch;
        let owner = self.store.owner.get(job).map(|owner| &owner.row);
        let owns = owner.is_some_and(|owner| owner.holder == node.id && owner.epoch == epoch);
        assert!(
            owns,
            "an item started on {}, which does not own the job: {owner:?}",
            node.id
        );
    }

    /// Finishes all items of the first chunk of each job that runs on an instance.
    pub fn finish_items(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let jobs: Vec<JobId> = self.nodes[index].runs.keys().cloned().collect();
        for job in jobs {
            let may_start = self.may_start_items(index, &job);
            let run = &self.nodes[index].runs[&job];
            let first = run.items.iter().find(|(_, storing)| !**storing);
            let Some((&chunk, _)) = first.filter(|_| may_start) else {
                continue;
            };
            self.check_item_start(index, &job);
            let row = ChunkRow {
                object: format!("{job}/{chunk}/{}", self.unique()),
                completed: 1,
                failed: 0,
                bytes: 10,
            };
            let run = self.nodes[index].runs.get_mut(&job).unwrap();
            run.items.insert(chunk, true);
            let number = run.number;
            self.send(
                index,
                Waiter::Stored(job, number, chunk, row),
                StoreRequest::PutObject,
            );
        }
    }

    fn is_current(&self, index: usize, job: &JobId, number: u64) -> bool {
        let run = self.nodes[index].runs.get(job);
        run.is_some_and(|run| run.number == number)
    }

    pub fn stored(
        &mut self,
        index: usize,
        job: &JobId,
        number: u64,
        chunk: u32,
        row: ChunkRow,
        response: &StoreResponse,
    ) {
        if !self.is_current(index, job, number) {
            return;
        }
        if !matches!(response, StoreResponse::Stored) {
            let waiter = Waiter::Stored(job.clone(), number, chunk, row);
            return self.send(index, waiter, StoreRequest::PutObject);
        }
        let run = self.nodes[index].runs.get_mut(job).unwrap();
        if run.items.remove(&chunk).is_none() {
            return;
        }
        run.execution.commit_started(chunk);
        let commit = ChunkCommit::new(run.execution.owned(), chunk, row);
        let request = StoreRequest::Transact(commit.transaction().clone());
        self.send(index, Waiter::Commit(job.clone(), number, commit), request);
    }

    pub fn commit(
        &mut self,
        index: usize,
        job: &JobId,
        number: u64,
        commit: ChunkCommit,
        response: StoreResponse,
    ) {
        let StoreResponse::Outcome(outcome) = response else {
            return;
        };
        if !self.is_current(index, job, number) {
            return;
        }
        let step = commit.handle_outcome(outcome);
        if step == ChunkCommitResult::Resend {
            let request = StoreRequest::Transact(commit.transaction().clone());
            return self.send(index, Waiter::Commit(job.clone(), number, commit), request);
        }
        let run = self.nodes[index].runs.get_mut(job).unwrap();
        run.execution
            .commit_ended(commit.index(), commit.chunk(), step);
    }

    pub fn finish(
        &mut self,
        index: usize,
        job: &JobId,
        number: u64,
        finish: FinishTransaction,
        response: StoreResponse,
    ) {
        let StoreResponse::Outcome(outcome) = response else {
            return;
        };
        if !self.is_current(index, job, number) {
            return;
        }
        let step = finish.handle_outcome(outcome);
        if step == FinishResult::Resend {
            let request = StoreRequest::Transact(finish.transaction().clone());
            return self.send(index, Waiter::Finish(job.clone(), number, finish), request);
        }
        let run = self.nodes[index].runs.get_mut(job).unwrap();
        run.execution.finish_ended(step);
    }

    fn send_for_cancel(&mut self, id: usize, state: CancelState, request: StoreRequest) {
        let cancel = &mut self.cancels[id];
        cancel.state = state;
        let node = cancel.node;
        self.send(node, Waiter::Cancel(id), request);
    }

    pub fn cancel_step(&mut self, id: usize, response: StoreResponse) {
        let cancel = &mut self.cancels[id];
        let job = cancel.job.clone();
        let state = std::mem::replace(&mut cancel.state, CancelState::Ended);
        match (state, response) {
            (CancelState::ReadJob, StoreResponse::Job(Some(row))) => {
                self.send_for_cancel(
                    id,
                    CancelState::ReadOwner(row),
                    StoreRequest::ReadOwner(job),
                );
            }
            (CancelState::ReadOwner(row), StoreResponse::Owner(owner)) => {
                match CancelTransaction::plan(row, owner.as_ref()) {
                    CancelPlan::Final => {}
                    CancelPlan::Cancelling(cancelling_job) => self.stop_owner(id, cancelling_job),
                    CancelPlan::Begin(cancel) => {
                        let request = StoreRequest::Transact(cancel.transaction().clone());
                        self.send_for_cancel(id, CancelState::SetCancelling(cancel), request);
                    }
                }
            }
            (CancelState::SetCancelling(cancel), StoreResponse::Outcome(outcome)) => match cancel
                .close(&outcome)
            {
                Some(cancelling_job) => self.stop_owner(id, cancelling_job),
                None => self.send_for_cancel(id, CancelState::ReadJob, StoreRequest::ReadJob(job)),
            },
            (CancelState::CountChunks(cancelling_job), StoreResponse::Chunks(chunks)) => {
                let mut counts = JobCounts::default();
                for (_, chunk) in &chunks {
                    counts.add(chunk);
                }
                let finish =
                    FinishTransaction::cancelled(&cancelling_job.job, counts, WallMs(self.now_ms));
                let request = StoreRequest::Transact(finish.transaction().clone());
                self.send_for_cancel(id, CancelState::Finish(finish), request);
            }
            (CancelState::Finish(finish), StoreResponse::Outcome(outcome)) => {
                if finish.handle_outcome(outcome) != FinishResult::Resend {
                    return;
                }
                let request = StoreRequest::Transact(finish.transaction().clone());
                self.send_for_cancel(id, CancelState::Finish(finish), request);
            }
            _ => {}
        }
    }

    fn stop_owner(&mut self, id: usize, cancelling_job: CancellingJob) {
        let Some(owner) = cancelling_job.owner.clone() else {
            let request = StoreRequest::ScanChunks(cancelling_job.job.row.job.clone());
            return self.send_for_cancel(id, CancelState::CountChunks(cancelling_job), request);
        };
        let to = self.nodes.iter().position(|node| node.id == owner);
        self.cancels[id].state = CancelState::Stop(cancelling_job, to.unwrap());
    }

    /// Cancellations whose message to the owner, or the response to it, is in flight.
    pub fn peer_messages(&self) -> Vec<usize> {
        let mut found = Vec::new();
        for (id, cancel) in self.cancels.iter().enumerate() {
            if matches!(cancel.state, CancelState::Stop(..)) {
                found.push(id);
            }
        }
        found
    }

    /// Delivers the message to the owner.
    pub fn deliver_peer_message(&mut self, id: usize) {
        let cancel = &self.cancels[id];
        let CancelState::Stop(_, to) = &cancel.state else {
            return;
        };
        let (to, job) = (*to, cancel.job.clone());
        if cancel.waits_for_scan || self.nodes[to].paused {
            return;
        }
        match self.nodes[to].registry.stop(&job) {
            StopAction::Stopped => {}
            StopAction::StopExecution => self.end_execution(to, &job),
            StopAction::AwaitScan => {
                self.cancels[id].waits_for_scan = true;
                return self.nodes[to].pending_stops.push(id);
            }
        }
        self.owner_stopped(id);
    }

    /// Loses the message to the owner or the response to it.
    pub fn lose_peer_message(&mut self, id: usize) {
        if matches!(self.cancels[id].state, CancelState::Stop(..)) {
            count("peer message lost");
            self.cancels[id].state = CancelState::Ended;
        }
    }

    pub fn owner_stopped(&mut self, id: usize) {
        let cancel = &mut self.cancels[id];
        let state = std::mem::replace(&mut cancel.state, CancelState::Ended);
        let CancelState::Stop(cancelling_job, _) = state else {
            return;
        };
        let request = StoreRequest::ScanChunks(cancel.job.clone());
        self.send_for_cancel(id, CancelState::CountChunks(cancelling_job), request);
    }

    /// Runs all instances for some rounds without new faults; those in force stay.
    pub fn run_without_faults(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now_ms += 250;
            for index in 0..self.nodes.len() {
                self.tick(index);
                self.finish_items(index);
            }
            for index in (0..self.calls.len()).rev() {
                self.answer(index);
            }
            for id in 0..self.cancels.len() {
                self.deliver_peer_message(id);
            }
        }
    }

    /// Ends all faults and checks that every accepted job ends.
    pub fn heal_and_check(mut self) {
        self.store_up = true;
        for node in &mut self.nodes {
            node.paused = false;
            node.disconnected = false;
        }
        for _ in 0..HEALED_ROUNDS {
            self.run_without_faults(1);
            let mut rows = self.store.job.values();
            if rows.all(|found| found.row.status.is_final()) {
                return;
            }
        }
        let open = &self.store.open;
        panic!(
            "jobs did not end: open {open:?}, owners {:?}",
            self.store.owner
        );
    }
}
