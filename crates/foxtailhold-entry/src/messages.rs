//! What the actors of one instance say to each other and to themselves.

use std::net::SocketAddr;

use foxtailhold::batch::claim::{OwnedJob, WatchedLeases};
use foxtailhold::batch_control::scheduler::{ItemKey, WaitingItem};
use foxtailhold::batch_control::{BatchSlotGrant, BatchSlotRequest, OnlineLoadNotice};
use foxtailhold::contract_registry::{ContractChange, ContractSyncData};
use foxtailhold::contract_sync::{ContractStatus, ContractStoreSnapshot, SyncStep};
use foxtailhold::ids::{BackendId, InstanceId, JobId};
use foxtailhold::leaving::LeavingNotice;
use foxtailhold::membership::Gossip;
use foxtailhold::quarantine::{Fingerprint, ProbeOutcome, ProbeResponse, QuarantineNotice};
use foxtailhold::replicas::LoadReport;
use foxtailhold::time::MonoMs;
use foxtailhold_platform::{Fleet, FleetInstance};
use ractor::RpcReplyPort;
use tokio::sync::mpsc::UnboundedSender;

/// Messages to the keeper of contracts.
#[derive(Debug)]
pub enum ContractsMessage {
    /// Changes known to be committed, pushed by the instance that accepted them.
    Pushed(ContractSyncData, Option<RpcReplyPort<()>>),
    /// A peer told of its contracts.
    Advert {
        /// What it told.
        advert: ContractStatus,
        /// When the message that it answers was sent; `None` for a message of its own.
        sent_at: Option<MonoMs>,
        /// The peer.
        address: SocketAddr,
    },
    /// A step ended.
    StepEnded(SyncStep, Option<SyncResult>),
    /// Time to look at what is due.
    Tick,
}

/// What a step brought.
#[derive(Debug)]
pub enum SyncResult {
    /// The head number, by a read sent at `sent_at` when the instance stood at `stood_at`.
    Head {
        /// The number.
        number: u64,
        /// When the read was sent.
        sent_at: MonoMs,
        /// Where the instance stood then.
        stood_at: u64,
    },
    /// A peer's answer.
    Peer(ContractSyncData),
    /// Log rows.
    Log(Vec<ContractChange>),
    /// All contract rows.
    Snapshot(ContractStoreSnapshot),
}

/// Messages to the keeper of requests that crash backend servers.
#[derive(Debug)]
pub enum CrashesMessage {
    /// Time for verdicts.
    Tick,
    /// Seen here, to be told to all; answered when the table holds it.
    Observed(QuarantineNotice, RpcReplyPort<()>),
    /// Told by a peer.
    FromPeer(Vec<QuarantineNotice>),
    /// At the home: an instance asks for a trial.
    RequestProbe(Fingerprint, Vec<BackendId>, RpcReplyPort<ProbeResponse>),
    /// At the home: a trial ended.
    ProbeEnded(Fingerprint, BackendId, ProbeOutcome),
    /// A starting instance asks for the table.
    Snapshot(RpcReplyPort<Vec<QuarantineNotice>>),
    /// A peer answered with its table.
    SnapshotReceived(Vec<QuarantineNotice>),
}

/// Messages to the reader of the fleet list and of load reports.
#[derive(Debug)]
pub enum FleetMessage {
    /// Time to read the list.
    ReadList,
    /// The list was read.
    List(Fleet),
    /// Time to read load reports.
    ReadLoads,
    /// Backend servers that are leaving, as a peer tells.
    LeavingNotices(Vec<LeavingNotice>),
}

/// Messages to the keeper of batch jobs owned here.
#[derive(Debug)]
pub enum JobsMessage {
    /// Time for a periodic look.
    Tick,
    /// Open jobs have to be looked through now.
    Scan,
    /// Time to delete orphaned result objects.
    Sweep,
    /// A look ended.
    Scanned(JobScan),
    /// The run of a job ended.
    Ended(JobId),
    /// A job must stop; answered once no item of it runs.
    Stop(JobId, RpcReplyPort<()>),
    /// All jobs must stop and be given up; answered once none runs.
    StopAll(RpcReplyPort<()>),
}

/// What a look at open jobs found.
#[derive(Debug, Default)]
pub struct JobScan {
    /// Jobs taken over.
    pub claimed: Vec<OwnedJob>,
    /// Jobs running here whose cancel is committed.
    pub cancelling: Vec<JobId>,
    /// Leases of other instances.
    pub watched: WatchedLeases,
}

/// Messages to the exchange of shares of limits.
#[derive(Debug)]
pub enum LimitsMessage {
    /// A period has passed.
    Tick,
    /// The live instances of the platform's fleet list.
    Listed(Vec<InstanceId>),
}

/// Messages to the keeper of the view of instances.
#[derive(Debug)]
pub enum MembershipMessage {
    /// A period has passed.
    Tick,
    /// A peer's probe.
    Gossip(Gossip, RpcReplyPort<Gossip>),
    /// The answer to a probe.
    GossipAnswer(GossipAnswer),
    /// A probe was not answered.
    NoAnswer(InstanceId),
    /// A probe was answered to another instance, or to none.
    IndirectProbe(InstanceId, bool),
    /// The fleet list's instances.
    Seeds(Vec<FleetInstance>),
    /// A planned stop begins; answered when every other instance was told or could not be.
    Leave(RpcReplyPort<()>),
}

/// The answer to a probe.
#[derive(Debug)]
pub struct GossipAnswer {
    /// The answer.
    pub gossip: Gossip,
    /// The peer's address.
    pub address: SocketAddr,
    /// When the probe was sent.
    pub sent_at: MonoMs,
    /// Whether the probe asked for all that the peer knows.
    pub requested_full_state: bool,
}

/// Messages to the steward of batch at replicas.
#[derive(Debug)]
pub enum BatchControllerMessage {
    /// Time to look.
    Tick,
    /// An owner asks for places at an engine.
    SlotsRequested(BatchSlotRequest, RpcReplyPort<BatchSlotGrant>),
    /// A steward allows this owner another number of places; answered with what it has then.
    SlotsGranted(BatchSlotGrant, RpcReplyPort<BatchSlotRequest>),
    /// An owner's answer to a grant.
    SlotsInUse(BatchSlotRequest),
    /// The answer to a question that was sent at this time.
    RequestAnswered(BatchSlotGrant, MonoMs),
    /// Online work at an engine; answered with whether batch is steered there.
    OnlineWork(OnlineLoadNotice, RpcReplyPort<bool>),
    /// A load report read by this steward.
    LoadReported(BackendId, LoadReport),
    /// An item waits for a place.
    ItemWaiting(ItemKey, WaitingItem, UnboundedSender<SlotSignal>),
    /// An item neither waits nor runs any more.
    ItemLeft(ItemKey),
}

/// What a waiting or running item is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotSignal {
    /// It has a place at this engine.
    Start(BackendId),
    /// It has lost its place: its stream must be cancelled.
    Preempt,
}
