//! What instances do by themselves: renewals, looks, runs; and the steps of cancels.

use foxtailhold::batch::cancel::{CancelPlan, CancelTransaction, CancellingJob};
use foxtailhold::batch::chunk::{ChunkCommit, ChunkCommitResult};
use foxtailhold::batch::execution::ExecutionStep;
use foxtailhold::batch::finish::{FinishResult, FinishTransaction};
use foxtailhold::batch::registry::StopAction;
use foxtailhold::batch::{ChunkRow, JobCounts, JobStatus};
use foxtailhold::ids::JobId;
use foxtailhold::lease::{LEASE_RENEW_MS, LeaseState};
use foxtailhold::time::{MonoMs, WallMs};

use super::count;
use super::node::{Ask, Look, Reply, Waiter};
use super::world::{CancelState, World};

/// Chunks of one run started at once.
const ROOM: usize = 2;
/// Rounds in which everything must end once nothing fails any more.
const HEALED_ROUNDS: usize = 400;

impl World {
    /// An instance does all that is due.
    pub fn poke(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let now = MonoMs(self.now_ms);
        let node = &mut self.nodes[index];
        if !node.renewing && self.now_ms >= node.renewed_at_ms + LEASE_RENEW_MS {
            node.renewing = true;
            node.renewed_at_ms = self.now_ms;
            if node.keeper.needs_read() {
                let ask = Ask::ReadLease(node.id.clone());
                self.ask(index, Waiter::Renewal(None), ask);
            } else {
                let renewal = node.keeper.renewal(None, now);
                let waiter = Waiter::Renewal(Some(renewal.clone()));
                self.ask(index, waiter, Ask::Renew(renewal));
            }
        }
        let node = &mut self.nodes[index];
        let held = node.keeper.held().epoch_at(now).is_some();
        if held && let Some(running) = node.registry.begin_scan() {
            let look = Look {
                running,
                ..Look::default()
            };
            node.look = Some(look);
            self.ask(index, Waiter::Look, Ask::ScanOpen);
        }
        let jobs: Vec<JobId> = self.nodes[index].runs.keys().cloned().collect();
        for job in jobs {
            self.advance_run(index, &job);
        }
    }

    fn lease_state(&self, index: usize, job: &JobId) -> LeaseState {
        let node = &self.nodes[index];
        let epoch = node.runs[job].machine.owned().epoch;
        node.keeper.held().lease_state(epoch, MonoMs(self.now_ms))
    }

    fn advance_run(&mut self, index: usize, job: &JobId) {
        let run = self.nodes[index].runs.get_mut(job).unwrap();
        for chunk in run.items.keys() {
            run.machine.all_items_started(*chunk);
        }
        loop {
            let lease_state = self.lease_state(index, job);
            let now = WallMs(self.now_ms);
            let run = self.nodes[index].runs.get_mut(job).unwrap();
            let room = run.items.len() < ROOM;
            match run.machine.step(now, lease_state, room) {
                ExecutionStep::StartChunk(chunk) => {
                    run.items.insert(chunk, false);
                    self.item_started(index, job);
                }
                ExecutionStep::StopChunks(stopped) => run.items.retain(|c, _| !stopped.contains(c)),
                ExecutionStep::Finish(finish) => {
                    let number = run.number;
                    let ask = Ask::Transact(finish.transaction().clone());
                    self.ask(index, Waiter::Finish(job.clone(), number, *finish), ask);
                }
                ExecutionStep::Wait => return,
                ExecutionStep::End(_) => return self.end_run(index, job),
            }
        }
    }

    /// The oracle: who starts an item owns the job, and the job is not cancelled.
    fn item_started(&self, index: usize, job: &JobId) {
        count("item started");
        let status = self.store.job[job].row.status;
        assert_ne!(
            status,
            JobStatus::Cancelled,
            "an item started after the cancel"
        );
        let node = &self.nodes[index];
        let epoch = node.runs[job].machine.owned().epoch;
        let owner = self.store.owner.get(job).map(|owner| &owner.row);
        let owns = owner.is_some_and(|owner| owner.holder == node.id && owner.epoch == epoch);
        assert!(owns, "an item started at {} beside {owner:?}", node.id);
    }

    /// All items of the first chunk of each run of an instance end.
    pub fn items_end(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let jobs: Vec<JobId> = self.nodes[index].runs.keys().cloned().collect();
        for job in jobs {
            let lease_state = self.lease_state(index, &job);
            let run = &self.nodes[index].runs[&job];
            let first = run.items.iter().find(|(_, storing)| !**storing);
            let may_start = run
                .machine
                .may_start_items(WallMs(self.now_ms), lease_state);
            let Some((&chunk, _)) = first.filter(|_| may_start) else {
                continue;
            };
            self.item_started(index, &job);
            let row = ChunkRow {
                object: format!("{job}/{chunk}/{}", self.unique()),
                completed: 1,
                failed: 0,
                bytes: 10,
            };
            let run = self.nodes[index].runs.get_mut(&job).unwrap();
            run.items.insert(chunk, true);
            let number = run.number;
            self.ask(
                index,
                Waiter::Stored(job, number, chunk, row),
                Ask::PutObject,
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
        reply: &Reply,
    ) {
        if !self.is_current(index, job, number) {
            return;
        }
        if !matches!(reply, Reply::Stored) {
            let waiter = Waiter::Stored(job.clone(), number, chunk, row);
            return self.ask(index, waiter, Ask::PutObject);
        }
        let run = self.nodes[index].runs.get_mut(job).unwrap();
        if run.items.remove(&chunk).is_none() {
            return;
        }
        run.machine.commit_started(chunk);
        let commit = ChunkCommit::new(run.machine.owned(), chunk, row);
        let ask = Ask::Transact(commit.transaction().clone());
        self.ask(index, Waiter::Commit(job.clone(), number, commit), ask);
    }

    pub fn commit(
        &mut self,
        index: usize,
        job: &JobId,
        number: u64,
        commit: ChunkCommit,
        reply: Reply,
    ) {
        let Reply::Outcome(outcome) = reply else {
            return;
        };
        if !self.is_current(index, job, number) {
            return;
        }
        let step = commit.handle_outcome(outcome);
        if step == ChunkCommitResult::Resend {
            let ask = Ask::Transact(commit.transaction().clone());
            return self.ask(index, Waiter::Commit(job.clone(), number, commit), ask);
        }
        let run = self.nodes[index].runs.get_mut(job).unwrap();
        run.machine
            .commit_ended(commit.index(), commit.chunk(), step);
    }

    pub fn finish(
        &mut self,
        index: usize,
        job: &JobId,
        number: u64,
        finish: FinishTransaction,
        reply: Reply,
    ) {
        let Reply::Outcome(outcome) = reply else {
            return;
        };
        if !self.is_current(index, job, number) {
            return;
        }
        let step = finish.handle_outcome(outcome);
        if step == FinishResult::Resend {
            let ask = Ask::Transact(finish.transaction().clone());
            return self.ask(index, Waiter::Finish(job.clone(), number, finish), ask);
        }
        let run = self.nodes[index].runs.get_mut(job).unwrap();
        run.machine.finish_ended(step);
    }

    fn cancel_asks(&mut self, id: usize, state: CancelState, ask: Ask) {
        let cancel = &mut self.cancels[id];
        cancel.state = state;
        let node = cancel.node;
        self.ask(node, Waiter::Cancel(id), ask);
    }

    pub fn cancel_step(&mut self, id: usize, reply: Reply) {
        let cancel = &mut self.cancels[id];
        let job = cancel.job.clone();
        let state = std::mem::replace(&mut cancel.state, CancelState::Ended);
        match (state, reply) {
            (CancelState::ReadJob, Reply::Job(Some(row))) => {
                self.cancel_asks(id, CancelState::ReadOwner(row), Ask::ReadOwner(job));
            }
            (CancelState::ReadOwner(row), Reply::Owner(owner)) => {
                match CancelTransaction::plan(row, owner.as_ref()) {
                    CancelPlan::Final => {}
                    CancelPlan::Cancelling(marked) => self.marked(id, marked),
                    CancelPlan::Begin(cancel) => {
                        let ask = Ask::Transact(cancel.transaction().clone());
                        self.cancel_asks(id, CancelState::Mark(cancel), ask);
                    }
                }
            }
            (CancelState::Mark(mark), Reply::Outcome(outcome)) => match mark.close(&outcome) {
                Some(marked) => self.marked(id, marked),
                None => self.cancel_asks(id, CancelState::ReadJob, Ask::ReadJob(job)),
            },
            (CancelState::Count(marked), Reply::Chunks(chunks)) => {
                let mut counts = JobCounts::default();
                for (_, chunk) in &chunks {
                    counts.add(chunk);
                }
                let finish = FinishTransaction::cancelled(&marked.job, counts, WallMs(self.now_ms));
                let ask = Ask::Transact(finish.transaction().clone());
                self.cancel_asks(id, CancelState::Finish(finish), ask);
            }
            (CancelState::Finish(finish), Reply::Outcome(outcome)) => {
                if finish.handle_outcome(outcome) != FinishResult::Resend {
                    return;
                }
                let ask = Ask::Transact(finish.transaction().clone());
                self.cancel_asks(id, CancelState::Finish(finish), ask);
            }
            _ => {}
        }
    }

    fn marked(&mut self, id: usize, marked: CancellingJob) {
        let Some(owner) = marked.owner.clone() else {
            let ask = Ask::ScanChunks(marked.job.row.job.clone());
            return self.cancel_asks(id, CancelState::Count(marked), ask);
        };
        let to = self.nodes.iter().position(|node| node.id == owner);
        self.cancels[id].state = CancelState::Stop(marked, to.unwrap());
    }

    /// Cancels whose message to an owner, or its answer, is on its way.
    pub fn peer_messages(&self) -> Vec<usize> {
        let mut found = Vec::new();
        for (id, cancel) in self.cancels.iter().enumerate() {
            if matches!(cancel.state, CancelState::Stop(..)) {
                found.push(id);
            }
        }
        found
    }

    /// The message to an owner arrives.
    pub fn peer_arrives(&mut self, id: usize) {
        let cancel = &self.cancels[id];
        let CancelState::Stop(_, to) = &cancel.state else {
            return;
        };
        let (to, job) = (*to, cancel.job.clone());
        if cancel.held || self.nodes[to].paused {
            return;
        }
        match self.nodes[to].registry.stop(&job) {
            StopAction::Stopped => {}
            StopAction::StopExecution => self.end_run(to, &job),
            StopAction::AwaitScan => {
                self.cancels[id].held = true;
                return self.nodes[to].stops.push(id);
            }
        }
        self.owner_stopped(id);
    }

    /// The message to an owner, or its answer, is lost.
    pub fn peer_lost(&mut self, id: usize) {
        if matches!(self.cancels[id].state, CancelState::Stop(..)) {
            count("peer message lost");
            self.cancels[id].state = CancelState::Ended;
        }
    }

    pub fn owner_stopped(&mut self, id: usize) {
        let cancel = &mut self.cancels[id];
        let state = std::mem::replace(&mut cancel.state, CancelState::Ended);
        let CancelState::Stop(marked, _) = state else {
            return;
        };
        let ask = Ask::ScanChunks(cancel.job.clone());
        self.cancel_asks(id, CancelState::Count(marked), ask);
    }

    /// A while in which nothing fails but what is switched off.
    pub fn quiet(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now_ms += 250;
            for index in 0..self.nodes.len() {
                self.poke(index);
                self.items_end(index);
            }
            for index in (0..self.calls.len()).rev() {
                self.answer(index);
            }
            for id in 0..self.cancels.len() {
                self.peer_arrives(id);
            }
        }
    }

    /// Once nothing fails any more, every accepted job ends.
    pub fn heal_and_check(mut self) {
        self.up = true;
        for node in &mut self.nodes {
            node.paused = false;
            node.cut = false;
        }
        for _ in 0..HEALED_ROUNDS {
            self.quiet(1);
            let mut rows = self.store.job.values();
            if rows.all(|found| found.row.status.is_final()) {
                return;
            }
        }
        let open = &self.store.open;
        panic!("jobs do not end: {open:?}, {:?}", self.store.owner);
    }
}
