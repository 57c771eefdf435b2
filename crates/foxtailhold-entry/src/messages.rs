//! Messages between the actors of one instance.

use std::net::SocketAddr;

use foxtailhold::batch::OpenJobRow;
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

/// Messages to the actor that keeps the contracts in force.
#[derive(Debug)]
pub enum ContractsMessage {
    /// Committed changes, pushed by the instance that accepted them. The reply, if any, is sent
    /// once they are applied.
    Pushed(ContractSyncData, Option<RpcReplyPort<()>>),
    /// A peer sent the status of its contracts.
    PeerStatus {
        /// Status of the peer's contracts.
        status: ContractStatus,
        /// When the message that it answers was sent; `None` if it answers none.
        sent_at: Option<MonoMs>,
        /// Peer address of the sender.
        address: SocketAddr,
    },
    /// A synchronization step ended; `None` if it failed.
    StepEnded(SyncStep, Option<SyncResult>),
    /// Periodic: starts the steps that are due.
    Tick,
}

/// Result of a synchronization step.
#[derive(Debug)]
pub enum SyncResult {
    /// Head number of the contract log.
    Head {
        /// Number of the last committed change.
        number: u64,
        /// When the read was sent.
        sent_at: MonoMs,
        /// Number of the last change in force here when the read was sent.
        local_number: u64,
    },
    /// Changes or snapshot from a peer.
    Peer(ContractSyncData),
    /// Changes read from the log.
    Log(Vec<ContractChange>),
    /// All contract rows read from the store.
    Snapshot(ContractStoreSnapshot),
}

/// Messages to the actor that tracks requests that crash backend servers.
#[derive(Debug)]
pub enum CrashesMessage {
    /// Periodic: updates and publishes the quarantine status of each request.
    Tick,
    /// A crash or probe observed on this instance, to be sent to all others. Answered once the
    /// local table holds it.
    Observed(QuarantineNotice, RpcReplyPort<()>),
    /// Notices from a peer.
    FromPeer(Vec<QuarantineNotice>),
    /// To the coordinator: an instance requests a probe on one of these backend servers.
    RequestProbe(Fingerprint, Vec<BackendId>, RpcReplyPort<ProbeResponse>),
    /// To the coordinator: a probe ended.
    ProbeEnded(Fingerprint, BackendId, ProbeOutcome),
    /// A starting instance requests the table.
    Snapshot(RpcReplyPort<Vec<QuarantineNotice>>),
    /// A peer sent its table.
    SnapshotReceived(Vec<QuarantineNotice>),
}

/// Messages to the actor that reads the fleet list and load reports.
#[derive(Debug)]
pub enum FleetMessage {
    /// Periodic: reads the fleet list.
    ReadList,
    /// The fleet list was read.
    List {
        /// What was read.
        fleet: Fleet,
        /// When the read began.
        as_of: MonoMs,
    },
    /// Periodic: reads the load reports.
    ReadLoads,
    /// Backend servers that are leaving, according to a peer.
    LeavingNotices(Vec<LeavingNotice>),
}

/// Messages to the actor that runs the batch jobs owned by this instance.
#[derive(Debug)]
pub enum JobsMessage {
    /// Periodic: scans the open jobs if a scan is due.
    Tick,
    /// Scans the open jobs now.
    Scan,
    /// Periodic: deletes orphaned result objects.
    Sweep,
    /// A scan of the open jobs ended.
    Scanned(JobScan),
    /// The open jobs were read.
    OpenJobs(OpenJobs),
    /// A read of the open jobs beside the scans ended, answered or not.
    ReadEnded,
    /// A job is no longer executed here.
    Ended(JobId),
    /// Stops a job. Answered once no item of it runs.
    Stop(JobId, RpcReplyPort<()>),
    /// Stops all jobs and gives up their ownership. Answered once none runs.
    StopAll(RpcReplyPort<()>),
}

/// The open jobs as they were at some moment after a read of them was sent.
#[derive(Debug, Clone)]
pub struct OpenJobs {
    /// Time at which the read was sent.
    pub sent_at: MonoMs,
    /// All open jobs with their keys.
    pub rows: Vec<(String, OpenJobRow)>,
}

/// Result of a scan of the open jobs.
#[derive(Debug, Default)]
pub struct JobScan {
    /// Jobs that this instance has taken over, and when each claim was sent.
    pub claimed: Vec<(OwnedJob, MonoMs)>,
    /// Leases of the other instances that own jobs.
    pub watched: WatchedLeases,
}

/// Messages to the actor that exchanges shares of limits.
#[derive(Debug)]
pub enum LimitsMessage {
    /// Periodic: sends the share requests that are due.
    Tick,
    /// The live instances of the platform's fleet list.
    Listed(Vec<InstanceId>),
}

/// Messages to the actor that keeps the membership view.
#[derive(Debug)]
pub enum MembershipMessage {
    /// Periodic: probes other instances.
    Tick,
    /// A probe from a peer; answered with this instance's gossip.
    Gossip(Gossip, RpcReplyPort<Gossip>),
    /// A peer answered a probe.
    GossipAnswer(GossipAnswer),
    /// A peer did not answer a probe.
    NoAnswer(InstanceId),
    /// Result of an indirect probe: whether the instance answered to another one.
    IndirectProbe(InstanceId, bool),
    /// Instances of the fleet list.
    Seeds(Vec<FleetInstance>),
    /// A planned stop begins. Answered once every other instance has been notified or has
    /// timed out.
    Leave(RpcReplyPort<()>),
}

/// A peer's answer to a probe.
#[derive(Debug)]
pub struct GossipAnswer {
    /// Gossip of the peer.
    pub gossip: Gossip,
    /// Address of the peer.
    pub address: SocketAddr,
    /// When the probe was sent.
    pub sent_at: MonoMs,
    /// Whether the probe requested the peer's full membership state.
    pub requested_full_state: bool,
}

/// Messages to the actor that controls batch work at engines and schedules the items of jobs owned
/// here.
#[derive(Debug)]
pub enum BatchControllerMessage {
    /// Periodic: updates the windows and sends the slot requests that are due.
    Tick,
    /// An owner requests slots at an engine.
    SlotsRequested(BatchSlotRequest, RpcReplyPort<BatchSlotGrant>),
    /// A batch controller grants this owner another number of slots. Answered with the slots in use
    /// then.
    SlotsGranted(BatchSlotGrant, RpcReplyPort<BatchSlotRequest>),
    /// An owner's answer to a grant.
    SlotsInUse(BatchSlotRequest),
    /// The answer to a slot request that was sent at this time.
    RequestAnswered(BatchSlotGrant, MonoMs),
    /// Online requests at an engine. Answered with whether batch work is controlled there.
    OnlineWork(OnlineLoadNotice, RpcReplyPort<bool>),
    /// A load report that this batch controller has read.
    LoadReported(BackendId, LoadReport),
    /// An item waits for a slot.
    ItemWaiting(ItemKey, WaitingItem, UnboundedSender<SlotSignal>),
    /// An item neither waits nor runs any more.
    ItemLeft(ItemKey),
}

/// Signal to a waiting or running item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotSignal {
    /// The item has a slot at this engine.
    Start(BackendId),
    /// The item is preempted: its stream must be cancelled.
    Preempt,
}
