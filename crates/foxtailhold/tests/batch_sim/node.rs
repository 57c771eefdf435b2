//! One simulated instance: the state machines of one process and its calls in flight.

use std::collections::{BTreeMap, VecDeque};

use foxtailhold::batch::chunk::ChunkCommit;
use foxtailhold::batch::claim::{Claim, ClaimView, OwnedJob, WatchedLeases};
use foxtailhold::batch::execution::JobExecution;
use foxtailhold::batch::finish::FinishTransaction;
use foxtailhold::batch::registry::JobRegistry;
use foxtailhold::batch::start_leases::StartLeases;
use foxtailhold::batch::transaction::{Transaction, TransactionOutcome, Versioned};
use foxtailhold::batch::{ChunkRow, JobRow, OpenJobRow, OwnerRow};
use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold::lease::{LeaseRenewer, Renewal};
use foxtailhold::lease_row::LeaseRow;
use foxtailhold::time::MonoMs;

use super::store::ProcessId;

/// Request to the store.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    ReadLease(InstanceId),
    Renew(Renewal),
    ScanOpen,
    ReadJob(JobId),
    ReadOwner(JobId),
    ScanChunks(JobId),
    PutObject,
    Transact(Transaction),
}

/// Response of the store.
#[derive(Debug, Clone)]
pub enum StoreResponse {
    Lease(Option<Versioned<LeaseRow>>),
    Open(Vec<OpenJobRow>),
    Job(Option<Versioned<JobRow>>),
    Owner(Option<Versioned<OwnerRow>>),
    Chunks(Vec<(u32, ChunkRow)>),
    Stored,
    Outcome(TransactionOutcome),
    /// A read or an object write was refused or its response was lost.
    Failed,
}

/// What the caller does with the response.
#[derive(Debug, Clone)]
pub enum Waiter {
    Renewal(Option<Renewal>),
    Scan,
    /// Reads the open jobs beside the scan; the time is that at which the read was sent.
    OpenJobs(MonoMs),
    Claim(Claim, MonoMs),
    /// Reads the chunks before the execution of a job starts.
    StartJob(OwnedJob),
    Stored(JobId, u64, u32, ChunkRow),
    Commit(JobId, u64, ChunkCommit),
    Finish(JobId, u64, FinishTransaction),
    Cancel(usize),
    /// Nothing: the call is a release.
    None,
}

/// A call to the store in flight.
#[derive(Debug, Clone)]
pub struct Call {
    pub process: ProcessId,
    pub node: usize,
    pub waiter: Waiter,
    pub request: StoreRequest,
    /// Response of the store once the call has reached it.
    pub applied: Option<StoreResponse>,
    /// Whether the caller still waits for the response.
    pub awaited: bool,
}

/// A scan of open jobs in progress.
#[derive(Debug, Default)]
pub struct JobScan {
    pub sent_at: MonoMs,
    pub remaining_jobs: VecDeque<JobId>,
    pub view: ClaimView,
    /// Claimed jobs and when each claim was sent.
    pub claimed: Vec<(OwnedJob, MonoMs)>,
    pub running: Vec<JobId>,
}

/// Execution of a job on one instance.
#[derive(Debug)]
pub struct RunningJob {
    pub number: u64,
    pub execution: JobExecution,
    /// Started chunks, and whether their result objects are being stored.
    pub items: BTreeMap<u32, bool>,
}

#[derive(Debug)]
pub struct Node {
    pub id: InstanceId,
    pub incarnation: u64,
    pub paused: bool,
    /// Whether the store refuses the calls of this instance.
    pub disconnected: bool,
    pub lease_renewer: LeaseRenewer,
    pub renewing: bool,
    pub renewed_at_ms: u64,
    pub watched: WatchedLeases,
    pub registry: JobRegistry,
    pub start_leases: StartLeases,
    pub is_reading_open_jobs: bool,
    pub scan: Option<JobScan>,
    pub runs: BTreeMap<JobId, RunningJob>,
    /// Cancellations that wait for the end of the scan.
    pub pending_stops: Vec<usize>,
}

impl Node {
    pub fn new(id: InstanceId, incarnation: u64) -> Self {
        Node {
            lease_renewer: LeaseRenewer::new(id.clone()),
            id,
            incarnation,
            paused: false,
            disconnected: false,
            renewing: false,
            renewed_at_ms: 0,
            watched: WatchedLeases::new(),
            registry: JobRegistry::default(),
            start_leases: StartLeases::default(),
            is_reading_open_jobs: false,
            scan: None,
            runs: BTreeMap::new(),
            pending_stops: Vec::new(),
        }
    }

    pub fn process(&self) -> ProcessId {
        (self.id.clone(), self.incarnation)
    }
}
