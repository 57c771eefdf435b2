//! One instance: the machines of one process and the calls it has in flight.

use std::collections::{BTreeMap, VecDeque};

use foxtailhold::batch::chunk::ChunkCommit;
use foxtailhold::batch::claim::{Claim, ClaimView, OwnedJob, WatchedLeases};
use foxtailhold::batch::execution::JobExecution;
use foxtailhold::batch::finish::FinishTransaction;
use foxtailhold::batch::registry::JobRegistry;
use foxtailhold::batch::transaction::{Transaction, TransactionOutcome, Versioned};
use foxtailhold::batch::{ChunkRow, JobRow, OpenJobRow, OwnerRow};
use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::lease::{LeaseRenewer, Renewal};
use foxtailhold::lease_row::LeaseRow;

use super::store::Token;

/// What the store is asked.
#[derive(Debug, Clone)]
pub enum Ask {
    ReadLease(InstanceId),
    Renew(Renewal),
    ScanOpen,
    ReadJob(JobId),
    ReadOwner(JobId),
    ScanChunks(JobId),
    PutObject,
    Transact(Transaction),
}

/// What the store answers.
#[derive(Debug, Clone)]
pub enum Reply {
    Lease(Option<Versioned<LeaseRow>>),
    Open(Vec<OpenJobRow>),
    Job(Option<Versioned<JobRow>>),
    Owner(Option<Versioned<OwnerRow>>),
    Chunks(Vec<(u32, ChunkRow)>),
    Stored,
    Outcome(TransactionOutcome),
    /// A read or an object write without an answer, or refused.
    Failed,
}

/// Who waits for an answer.
#[derive(Debug, Clone)]
pub enum Waiter {
    Renewal(Option<Renewal>),
    Look,
    Claim(Claim),
    /// The scan of chunks when a run starts.
    Begin(OwnedJob),
    Stored(JobId, u64, u32, ChunkRow),
    Commit(JobId, u64, ChunkCommit),
    Finish(JobId, u64, FinishTransaction),
    Cancel(usize),
    /// Nobody: a release.
    None,
}

/// A call in flight.
#[derive(Debug, Clone)]
pub struct Call {
    pub token: Token,
    pub node: usize,
    pub waiter: Waiter,
    pub ask: Ask,
    /// What the store did, once the call has reached it.
    pub applied: Option<Reply>,
    /// Whether somebody still waits for the answer.
    pub awaited: bool,
}

/// A look at open jobs in flight.
#[derive(Debug, Default)]
pub struct Look {
    pub todo: VecDeque<JobId>,
    pub view: ClaimView,
    pub claimed: Vec<OwnedJob>,
    pub cancelling: Vec<JobId>,
    pub running: Vec<JobId>,
}

/// A run with the attempts whose items run.
#[derive(Debug)]
pub struct Run {
    pub number: u64,
    pub machine: JobExecution,
    /// Chunks whose items run, and whether their results are on the way to the store.
    pub items: BTreeMap<u32, bool>,
}

#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub incarnation: u64,
    pub paused: bool,
    /// Whether its calls do not reach the store.
    pub cut: bool,
    pub keeper: LeaseRenewer,
    pub renewing: bool,
    pub renewed_at_ms: u64,
    pub watched: WatchedLeases,
    pub registry: JobRegistry,
    pub look: Option<Look>,
    pub runs: BTreeMap<JobId, Run>,
    /// Cancels that wait for the look to end.
    pub stops: Vec<usize>,
}

impl Node {
    pub fn new(id: InstanceId, incarnation: u64) -> Self {
        Node {
            keeper: LeaseRenewer::new(id.clone()),
            id,
            incarnation,
            paused: false,
            cut: false,
            renewing: false,
            renewed_at_ms: 0,
            watched: WatchedLeases::new(),
            registry: JobRegistry::default(),
            look: None,
            runs: BTreeMap::new(),
            stops: Vec::new(),
        }
    }

    pub fn token(&self) -> Token {
        (self.id.clone(), self.incarnation)
    }
}
