//! The simulated instances, their calls to the store and the messages between them.

use std::collections::BTreeMap;

use foxtailhold::batch::cancel::{CancelTransaction, CancellingJob};
use foxtailhold::batch::claim::{Claim, ClaimView, OwnedJob, other_owner, release};
use foxtailhold::batch::execution::JobExecution;
use foxtailhold::batch::finish::FinishTransaction;
use foxtailhold::batch::transaction::{Condition, ConflictingRow, TransactionOutcome, Versioned};
use foxtailhold::batch::{JobRow, JobStatus, OpenJobRow};
use foxtailhold::ids::JobId;
use foxtailhold::lease::Renewal;
use foxtailhold::time::MonoMs;

use super::count;
use super::node::{Call, Node, RunningJob, StoreRequest, StoreResponse, Waiter};
use super::store::Store;

pub const NODES: usize = 3;
pub const JOBS: usize = 3;
const CHUNKS: u32 = 4;
/// Completion windows of the jobs. Few sequences last long enough to reach the long ones.
const WINDOWS_MS: [u64; JOBS] = [200_000, 200_000, 12_000];

/// Progress of a cancellation requested by a caller.
#[derive(Debug)]
pub enum CancelState {
    ReadJob,
    ReadOwner(Versioned<JobRow>),
    SetCancelling(CancelTransaction),
    /// A message to the owner, the node with this index, is in flight.
    Stop(CancellingJob, usize),
    /// The owner, if any, has stopped the job, and its chunks are being counted.
    CountChunks(CancellingJob),
    Finish(FinishTransaction),
    Ended,
}

#[derive(Debug)]
pub struct CancelRequest {
    pub node: usize,
    pub job: JobId,
    pub state: CancelState,
    /// Whether the response of the owner waits for the end of its scan.
    pub waits_for_scan: bool,
}

#[derive(Debug)]
pub struct World {
    pub now_ms: u64,
    pub store_up: bool,
    /// Whether the store refuses scans of the open jobs.
    pub refuses_scans: bool,
    /// When the cancellation of each cancelled job was committed.
    pub cancelled_at_ms: BTreeMap<JobId, u64>,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub calls: Vec<Call>,
    pub cancels: Vec<CancelRequest>,
    last_unique: u64,
}

pub fn job(index: usize) -> JobId {
    JobId::try_from(format!("job-{index}").as_str()).unwrap()
}

impl Default for World {
    fn default() -> Self {
        let node = |index| Node::new(format!("entry-{index}").try_into().unwrap(), 1);
        World {
            now_ms: 1,
            store_up: true,
            refuses_scans: false,
            cancelled_at_ms: BTreeMap::new(),
            store: Store::default(),
            nodes: (0..NODES).map(node).collect(),
            calls: Vec::new(),
            cancels: Vec::new(),
            last_unique: 0,
        }
    }
}

impl World {
    pub fn unique(&mut self) -> u64 {
        self.last_unique += 1;
        self.last_unique
    }

    pub fn send(&mut self, node: usize, waiter: Waiter, request: StoreRequest) {
        self.calls.push(Call {
            process: self.nodes[node].process(),
            node,
            waiter,
            request,
            applied: None,
            awaited: true,
        });
    }

    pub fn submit(&mut self, index: usize) {
        let row = JobRow {
            job: job(index),
            customer: "customer".try_into().unwrap(),
            digest: String::new(),
            input_file: "file".try_into().unwrap(),
            endpoint: String::new(),
            chunks: CHUNKS,
            items: u64::from(CHUNKS),
            created_wall_ms: self.now_ms,
            deadline_wall_ms: self.now_ms + WINDOWS_MS[index],
            status: JobStatus::InProgress,
            ended_wall_ms: None,
            counts: None,
            metadata: serde_json::Value::Null,
        };
        self.store.accept(&row);
    }

    pub fn cancel(&mut self, node: usize, index: usize) {
        let request = CancelRequest {
            node,
            job: job(index),
            state: CancelState::ReadJob,
            waits_for_scan: false,
        };
        self.cancels.push(request);
        let id = self.cancels.len() - 1;
        self.send(node, Waiter::Cancel(id), StoreRequest::ReadJob(job(index)));
    }

    /// Lets the call reach the store.
    pub fn apply(&mut self, index: usize) {
        if self.calls[index].applied.is_some() {
            return;
        }
        let Call {
            process, request, ..
        } = self.calls[index].clone();
        let store = &mut self.store;
        let response = match &request {
            StoreRequest::ReadLease(instance) => {
                StoreResponse::Lease(store.lease.get(instance).cloned())
            }
            StoreRequest::ScanOpen => {
                StoreResponse::Open(store.open.values().map(|o| o.row.clone()).collect())
            }
            StoreRequest::ReadJob(job) => StoreResponse::Job(store.job.get(job).cloned()),
            StoreRequest::ReadOwner(job) => StoreResponse::Owner(store.owner.get(job).cloned()),
            StoreRequest::ScanChunks(job) => StoreResponse::Chunks(store.chunks(job)),
            StoreRequest::PutObject => StoreResponse::Stored,
            StoreRequest::Transact(transaction) => {
                let outcome = store.transact(&process, transaction);
                let row = store.job.get(&transaction.job).map(|found| &found.row);
                if row.is_some_and(|row| row.status == JobStatus::Cancelling) {
                    let cancelled_at_ms = &mut self.cancelled_at_ms;
                    cancelled_at_ms
                        .entry(transaction.job.clone())
                        .or_insert(self.now_ms);
                }
                StoreResponse::Outcome(outcome)
            }
            StoreRequest::Renew(renewal) => {
                let found = store.lease.get(&process.0);
                if Condition::unchanged(found) == renewal.condition {
                    store.put_lease(&process.0, &renewal.row);
                    StoreResponse::Outcome(TransactionOutcome::Committed)
                } else {
                    let found = ConflictingRow::Other;
                    StoreResponse::Outcome(TransactionOutcome::Conflict { step: 0, found })
                }
            }
        };
        self.calls[index].applied = Some(response);
    }

    /// Delivers the response to the caller. A call that has not reached the store yet does so
    /// before, or is refused while the store is not reachable.
    pub fn answer(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.awaited && self.nodes[call.node].paused {
            return;
        }
        let is_refused_scan = self.refuses_scans && matches!(call.request, StoreRequest::ScanOpen);
        let disconnected = !self.store_up || self.nodes[call.node].disconnected || is_refused_scan;
        if call.applied.is_none() && disconnected {
            return self.refuse(index);
        }
        self.apply(index);
        let call = self.calls.remove(index);
        let response = call.applied.clone().unwrap();
        self.deliver(call, response);
    }

    /// Lets the store refuse the call without effect.
    pub fn refuse(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.applied.is_some() || self.nodes[call.node].paused {
            return;
        }
        count("call refused");
        let call = self.calls.remove(index);
        let response = failure(&call.request, TransactionOutcome::Unavailable);
        self.deliver(call, response);
    }

    /// Lets the caller give up on the call, which may have taken effect or may still.
    pub fn time_out(&mut self, index: usize) {
        let call = &mut self.calls[index];
        if !call.awaited || self.nodes[call.node].paused {
            return;
        }
        count(match call.applied {
            Some(_) => "answer lost after effect",
            None => "call delayed past its caller",
        });
        let lost = call.clone();
        call.awaited = false;
        if call.applied.is_some() {
            self.calls.remove(index);
        }
        let response = failure(&lost.request, TransactionOutcome::Unknown);
        self.deliver(lost, response);
    }

    /// Kills the process of an instance and starts another one. Calls in flight may still take
    /// effect.
    pub fn kill(&mut self, index: usize) {
        count("instance killed");
        for call in &mut self.calls {
            if call.node == index {
                call.awaited = false;
            }
        }
        for cancel in &mut self.cancels {
            let stop = matches!(cancel.state, CancelState::Stop(_, to) if to == index);
            if cancel.node == index || stop {
                cancel.state = CancelState::Ended;
            }
        }
        let node = &self.nodes[index];
        self.nodes[index] = Node::new(node.id.clone(), node.incarnation + 1);
    }

    /// Stops an instance as planned, which releases its jobs, and starts it again.
    pub fn stop(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        count("planned stop");
        let me = self.nodes[index].id.clone();
        let runs = std::mem::take(&mut self.nodes[index].runs);
        for (_, run) in runs {
            let release = release(run.execution.owned(), &me);
            self.send(index, Waiter::None, StoreRequest::Transact(release));
        }
        self.kill(index);
    }

    fn deliver(&mut self, call: Call, response: StoreResponse) {
        if !call.awaited || call.process != self.nodes[call.node].process() {
            return;
        }
        let node = call.node;
        match call.waiter {
            Waiter::Renewal(renewal) => self.renewal(node, renewal, response),
            Waiter::Scan => self.scan_step(node, response),
            Waiter::OpenJobs(sent_at) => self.open_jobs_read(node, sent_at, &response),
            Waiter::Claim(claim, sent_at) => self.claim(node, claim, sent_at, &response),
            Waiter::StartJob(owned) => self.start_job(node, owned, response),
            Waiter::Stored(job, run, index, chunk) => {
                self.stored(node, &job, run, index, chunk, &response);
            }
            Waiter::Commit(job, run, commit) => self.commit(node, &job, run, commit, response),
            Waiter::Finish(job, run, finish) => self.finish(node, &job, run, finish, response),
            Waiter::Cancel(id) => self.cancel_step(id, response),
            Waiter::None => {}
        }
    }

    fn renewal(&mut self, index: usize, renewal: Option<Renewal>, response: StoreResponse) {
        let node = &mut self.nodes[index];
        match (renewal, response) {
            (None, StoreResponse::Lease(found)) => {
                let renewal = node.lease_renewer.renewal(found, MonoMs(self.now_ms));
                let waiter = Waiter::Renewal(Some(renewal.clone()));
                return self.send(index, waiter, StoreRequest::Renew(renewal));
            }
            (Some(renewal), StoreResponse::Outcome(outcome)) => {
                node.lease_renewer.handle_outcome(renewal, &outcome)
            }
            _ => {}
        }
        node.renewing = false;
    }

    fn open_jobs_read(&mut self, index: usize, sent_at: MonoMs, response: &StoreResponse) {
        self.nodes[index].is_reading_open_jobs = false;
        if let StoreResponse::Open(open) = response {
            self.confirm(index, sent_at, open);
        }
    }

    /// Confirms the jobs that a read of the open jobs found in progress and ends those that it found
    /// cancelled.
    fn confirm(&mut self, index: usize, sent_at: MonoMs, open: &[OpenJobRow]) {
        for row in open {
            let node = &mut self.nodes[index];
            if !row.cancelling {
                node.start_leases.confirm(&row.job, sent_at);
            } else if node.registry.must_stop(&row.job) {
                self.end_execution(index, &row.job);
            }
        }
    }

    fn scan_step(&mut self, index: usize, response: StoreResponse) {
        let now = MonoMs(self.now_ms);
        if let StoreResponse::Open(open) = &response {
            let sent_at = self.nodes[index].scan.as_ref().unwrap().sent_at;
            self.confirm(index, sent_at, open);
        }
        let node = &mut self.nodes[index];
        let me = node.id.clone();
        let scan = node.scan.as_mut().unwrap();
        match response {
            StoreResponse::Open(open) => {
                for row in open {
                    if !scan.running.contains(&row.job) {
                        scan.remaining_jobs.push_back(row.job);
                    }
                }
                return self.next_job(index);
            }
            StoreResponse::Job(found) => {
                scan.view.job = found;
                let job = scan.remaining_jobs[0].clone();
                return self.send(index, Waiter::Scan, StoreRequest::ReadOwner(job));
            }
            StoreResponse::Owner(found) => {
                scan.view.owner = found;
                if let Some(holder) = other_owner(&me, scan.view.owner.as_ref()).cloned() {
                    scan.view.sent_at = now;
                    return self.send(index, Waiter::Scan, StoreRequest::ReadLease(holder));
                }
            }
            StoreResponse::Lease(found) => {
                scan.view.owner_lease = found;
                scan.view.received_at = now;
            }
            _ => return self.job_scanned(index, None),
        }
        let view = std::mem::take(&mut scan.view);
        let claim = node.lease_renewer.held().epoch_at(now);
        let claim = claim.and_then(|epoch| Claim::plan(&me, epoch, view, &mut node.watched));
        let Some(claim) = claim else {
            return self.job_scanned(index, None);
        };
        let transaction = claim.transaction().clone();
        self.send(
            index,
            Waiter::Claim(claim, now),
            StoreRequest::Transact(transaction),
        );
    }

    fn claim(&mut self, index: usize, claim: Claim, sent_at: MonoMs, response: &StoreResponse) {
        let StoreResponse::Outcome(outcome) = response else {
            return;
        };
        let owned = claim.close(outcome);
        self.job_scanned(index, owned.map(|owned| (owned, sent_at)));
    }

    fn job_scanned(&mut self, index: usize, owned: Option<(OwnedJob, MonoMs)>) {
        let scan = self.nodes[index].scan.as_mut().unwrap();
        scan.view = ClaimView::default();
        scan.remaining_jobs.pop_front();
        scan.claimed.extend(owned);
        self.next_job(index);
    }

    fn next_job(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let scan = node.scan.as_ref().unwrap();
        if let Some(job) = scan.remaining_jobs.front().cloned() {
            return self.send(index, Waiter::Scan, StoreRequest::ReadJob(job));
        }
        let scan = node.scan.take().unwrap();
        let (claimed, sent_at): (Vec<_>, Vec<_>) = scan.claimed.into_iter().unzip();
        let started = node.registry.end_scan(&claimed);
        let me = node.id.clone();
        for (owned, sent_at) in claimed.into_iter().zip(sent_at) {
            let job = owned.row.job.clone();
            if started.contains(&job) {
                if owned.row.status == JobStatus::InProgress {
                    self.nodes[index].start_leases.insert(&job, sent_at);
                }
                let request = StoreRequest::ScanChunks(job);
                self.send(index, Waiter::StartJob(owned), request);
                continue;
            }
            let release = release(&owned, &me);
            self.send(index, Waiter::None, StoreRequest::Transact(release));
        }
        let stops = std::mem::take(&mut self.nodes[index].pending_stops);
        for id in stops {
            self.cancels[id].waits_for_scan = false;
            self.owner_stopped(id);
        }
    }

    fn start_job(&mut self, index: usize, owned: OwnedJob, response: StoreResponse) {
        let job = owned.row.job.clone();
        let StoreResponse::Chunks(finished) = response else {
            let request = StoreRequest::ScanChunks(job);
            return self.send(index, Waiter::StartJob(owned), request);
        };
        let run = RunningJob {
            number: self.unique(),
            execution: JobExecution::new(owned, &finished),
            items: BTreeMap::new(),
        };
        self.nodes[index].runs.insert(job, run);
    }

    pub fn end_execution(&mut self, index: usize, job: &JobId) {
        let node = &mut self.nodes[index];
        node.runs.remove(job);
        self.calls.retain_mut(|call| {
            let starts_job =
                matches!(&call.waiter, Waiter::StartJob(owned) if owned.row.job == *job);
            if call.node == index && starts_job {
                call.awaited = false;
            }
            true
        });
        node.registry.ended(job);
        node.start_leases.remove(job);
    }
}

fn failure(request: &StoreRequest, outcome: TransactionOutcome) -> StoreResponse {
    match request {
        StoreRequest::Transact(_) | StoreRequest::Renew(_) => StoreResponse::Outcome(outcome),
        _ => StoreResponse::Failed,
    }
}
