//! All instances, the calls between them and the store, and the oracle on starts of items.

use std::collections::BTreeMap;

use foxtailhold::batch::cancel::{CancelTransaction, CancellingJob};
use foxtailhold::batch::claim::{Claim, ClaimView, OwnedJob, other_owner, release};
use foxtailhold::batch::execution::JobExecution;
use foxtailhold::batch::finish::FinishTransaction;
use foxtailhold::batch::transaction::{Condition, ConflictingRow, TransactionOutcome, Versioned};
use foxtailhold::batch::{JobRow, JobStatus};
use foxtailhold::ids::JobId;
use foxtailhold::lease::Renewal;
use foxtailhold::time::MonoMs;

use super::count;
use super::node::{Ask, Call, Node, Reply, Run, Waiter};
use super::store::Store;

pub const NODES: usize = 3;
pub const JOBS: usize = 3;
const CHUNKS: u32 = 4;
/// Windows of the jobs: few sequences reach the long ones.
const WINDOWS_MS: [u64; JOBS] = [200_000, 200_000, 12_000];

/// How far a cancel offered by a caller has come.
#[derive(Debug)]
pub enum CancelState {
    ReadJob,
    ReadOwner(Versioned<JobRow>),
    Mark(CancelTransaction),
    /// A message to the owner is on its way, to the node with this index.
    Stop(CancellingJob, usize),
    /// The owner said it stopped.
    Count(CancellingJob),
    Finish(FinishTransaction),
    Ended,
}

#[derive(Debug)]
pub struct CancelRequest {
    pub node: usize,
    pub job: JobId,
    pub state: CancelState,
    /// Whether the owner waits for the end of its look.
    pub held: bool,
}

#[derive(Debug)]
pub struct World {
    pub now_ms: u64,
    pub up: bool,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub calls: Vec<Call>,
    pub cancels: Vec<CancelRequest>,
    next: u64,
}

pub fn job(index: usize) -> JobId {
    JobId::try_from(format!("job-{index}").as_str()).unwrap()
}

impl Default for World {
    fn default() -> Self {
        let node = |index| Node::new(format!("entry-{index}").try_into().unwrap(), 1);
        World {
            now_ms: 1,
            up: true,
            store: Store::default(),
            nodes: (0..NODES).map(node).collect(),
            calls: Vec::new(),
            cancels: Vec::new(),
            next: 0,
        }
    }
}

impl World {
    pub fn unique(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub fn ask(&mut self, node: usize, waiter: Waiter, ask: Ask) {
        self.calls.push(Call {
            token: self.nodes[node].token(),
            node,
            waiter,
            ask,
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
            held: false,
        };
        self.cancels.push(request);
        let id = self.cancels.len() - 1;
        self.ask(node, Waiter::Cancel(id), Ask::ReadJob(job(index)));
    }

    /// The call reaches the store.
    pub fn apply(&mut self, index: usize) {
        if self.calls[index].applied.is_some() {
            return;
        }
        let Call { token, ask, .. } = self.calls[index].clone();
        let store = &mut self.store;
        let reply = match &ask {
            Ask::ReadLease(instance) => Reply::Lease(store.lease.get(instance).cloned()),
            Ask::ScanOpen => Reply::Open(store.open.values().map(|o| o.row.clone()).collect()),
            Ask::ReadJob(job) => Reply::Job(store.job.get(job).cloned()),
            Ask::ReadOwner(job) => Reply::Owner(store.owner.get(job).cloned()),
            Ask::ScanChunks(job) => Reply::Chunks(store.chunks(job)),
            Ask::PutObject => Reply::Stored,
            Ask::Transact(transaction) => Reply::Outcome(store.transact(&token, transaction)),
            Ask::Renew(renewal) => {
                let found = store.lease.get(&token.0);
                if Condition::unchanged(found) == renewal.condition {
                    store.put_lease(&token.0, &renewal.row);
                    Reply::Outcome(TransactionOutcome::Committed)
                } else {
                    let found = ConflictingRow::Other;
                    Reply::Outcome(TransactionOutcome::Conflict { step: 0, found })
                }
            }
        };
        self.calls[index].applied = Some(reply);
    }

    /// The answer reaches the caller; before that the call reaches the store, or is refused.
    pub fn answer(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.awaited && self.nodes[call.node].paused {
            return;
        }
        let cut = !self.up || self.nodes[call.node].cut;
        if call.applied.is_none() && cut {
            return self.refuse(index);
        }
        self.apply(index);
        let call = self.calls.remove(index);
        let reply = call.applied.clone().unwrap();
        self.deliver(call, reply);
    }

    /// The store refuses the call without effect.
    pub fn refuse(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.applied.is_some() || self.nodes[call.node].paused {
            return;
        }
        count("call refused");
        let call = self.calls.remove(index);
        let reply = failure(&call.ask, TransactionOutcome::Unavailable);
        self.deliver(call, reply);
    }

    /// The caller gives up; the call may have taken effect, or may still.
    pub fn lose(&mut self, index: usize) {
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
        let reply = failure(&lost.ask, TransactionOutcome::Unknown);
        self.deliver(lost, reply);
    }

    /// The process dies and another one starts in its place. Its calls may still take effect.
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

    /// A planned stop, after which the process starts anew.
    pub fn stop(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        count("planned stop");
        let me = self.nodes[index].id.clone();
        let runs = std::mem::take(&mut self.nodes[index].runs);
        for (_, run) in runs {
            let release = release(run.machine.owned(), &me);
            self.ask(index, Waiter::None, Ask::Transact(release));
        }
        self.kill(index);
    }

    fn deliver(&mut self, call: Call, reply: Reply) {
        if !call.awaited || call.token != self.nodes[call.node].token() {
            return;
        }
        let node = call.node;
        match call.waiter {
            Waiter::Renewal(renewal) => self.renewal(node, renewal, reply),
            Waiter::Look => self.look(node, reply),
            Waiter::Claim(claim) => self.claim(node, claim, &reply),
            Waiter::Begin(owned) => self.begin(node, owned, reply),
            Waiter::Stored(job, run, index, chunk) => {
                self.stored(node, &job, run, index, chunk, &reply);
            }
            Waiter::Commit(job, run, commit) => self.commit(node, &job, run, commit, reply),
            Waiter::Finish(job, run, finish) => self.finish(node, &job, run, finish, reply),
            Waiter::Cancel(id) => self.cancel_step(id, reply),
            Waiter::None => {}
        }
    }

    fn renewal(&mut self, index: usize, renewal: Option<Renewal>, reply: Reply) {
        let node = &mut self.nodes[index];
        match (renewal, reply) {
            (None, Reply::Lease(found)) => {
                let renewal = node.keeper.renewal(found, MonoMs(self.now_ms));
                let waiter = Waiter::Renewal(Some(renewal.clone()));
                return self.ask(index, waiter, Ask::Renew(renewal));
            }
            (Some(renewal), Reply::Outcome(outcome)) => {
                node.keeper.handle_outcome(renewal, &outcome)
            }
            _ => {}
        }
        node.renewing = false;
    }

    fn look(&mut self, index: usize, reply: Reply) {
        let now = MonoMs(self.now_ms);
        let node = &mut self.nodes[index];
        let me = node.id.clone();
        let look = node.look.as_mut().unwrap();
        match reply {
            Reply::Open(open) => {
                for row in open {
                    if !look.running.contains(&row.job) {
                        look.todo.push_back(row.job);
                    } else if row.cancelling {
                        look.cancelling.push(row.job);
                    }
                }
                return self.next_job(index);
            }
            Reply::Job(found) => {
                look.view.job = found;
                let job = look.todo[0].clone();
                return self.ask(index, Waiter::Look, Ask::ReadOwner(job));
            }
            Reply::Owner(found) => {
                look.view.owner = found;
                if let Some(holder) = other_owner(&me, look.view.owner.as_ref()).cloned() {
                    look.view.asked_at = now;
                    return self.ask(index, Waiter::Look, Ask::ReadLease(holder));
                }
            }
            Reply::Lease(found) => {
                look.view.owner_lease = found;
                look.view.answered_at = now;
            }
            _ => return self.job_looked(index, None),
        }
        let view = std::mem::take(&mut look.view);
        let claim = node.keeper.held().epoch_at(now);
        let claim = claim.and_then(|epoch| Claim::plan(&me, epoch, view, &mut node.watched));
        let Some(claim) = claim else {
            return self.job_looked(index, None);
        };
        let transaction = claim.transaction().clone();
        self.ask(index, Waiter::Claim(claim), Ask::Transact(transaction));
    }

    fn claim(&mut self, index: usize, claim: Claim, reply: &Reply) {
        let Reply::Outcome(outcome) = reply else {
            return;
        };
        let owned = claim.close(outcome);
        self.job_looked(index, owned);
    }

    fn job_looked(&mut self, index: usize, owned: Option<OwnedJob>) {
        let look = self.nodes[index].look.as_mut().unwrap();
        look.view = ClaimView::default();
        look.todo.pop_front();
        look.claimed.extend(owned);
        self.next_job(index);
    }

    fn next_job(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let look = node.look.as_ref().unwrap();
        if let Some(job) = look.todo.front().cloned() {
            return self.ask(index, Waiter::Look, Ask::ReadJob(job));
        }
        let look = node.look.take().unwrap();
        let started = node.registry.end_scan(&look.claimed);
        let me = node.id.clone();
        for owned in look.claimed {
            let job = owned.row.job.clone();
            if started.contains(&job) {
                let ask = Ask::ScanChunks(job);
                self.ask(index, Waiter::Begin(owned), ask);
                continue;
            }
            let release = release(&owned, &me);
            self.ask(index, Waiter::None, Ask::Transact(release));
        }
        for job in look.cancelling {
            if self.nodes[index].registry.must_stop(&job) {
                self.end_run(index, &job);
            }
        }
        let stops = std::mem::take(&mut self.nodes[index].stops);
        for id in stops {
            self.cancels[id].held = false;
            self.owner_stopped(id);
        }
    }

    fn begin(&mut self, index: usize, owned: OwnedJob, reply: Reply) {
        let job = owned.row.job.clone();
        let Reply::Chunks(finished) = reply else {
            let ask = Ask::ScanChunks(job);
            return self.ask(index, Waiter::Begin(owned), ask);
        };
        let run = Run {
            number: self.unique(),
            machine: JobExecution::new(owned, &finished),
            items: BTreeMap::new(),
        };
        self.nodes[index].runs.insert(job, run);
    }

    pub fn end_run(&mut self, index: usize, job: &JobId) {
        let node = &mut self.nodes[index];
        node.runs.remove(job);
        self.calls.retain_mut(|call| {
            let begins = matches!(&call.waiter, Waiter::Begin(owned) if owned.row.job == *job);
            if call.node == index && begins {
                call.awaited = false;
            }
            true
        });
        node.registry.ended(job);
    }
}

fn failure(ask: &Ask, outcome: TransactionOutcome) -> Reply {
    match ask {
        Ask::Transact(_) | Ask::Renew(_) => Reply::Outcome(outcome),
        _ => Reply::Failed,
    }
}
