//! Messages between instances. They are encoded with bincode, so the order of variants and fields
//! is the wire format.

use std::net::SocketAddr;

use foxtailhold::batch::deadline_check::DeadlineCheck;
use foxtailhold::batch_control::{BatchSlotGrant, BatchSlotRequest, OnlineLoadNotice};
use foxtailhold::contract_registry::ContractSyncData;
use foxtailhold::ids::{BackendId, CustomerId, JobId};
use foxtailhold::leaving::LeavingNotice;
use foxtailhold::limits::{ShareGrant, ShareRequests};
use foxtailhold::membership::Gossip;
use foxtailhold::part_crashes::PartCrash;
use foxtailhold::prompt_parts::PartId;
use foxtailhold::quarantine::{
    CrashId, Fingerprint, ProbeOutcome, ProbeResponse, QuarantineNotice,
};
use serde::{Deserialize, Serialize};

/// What is known of a crash, or has changed in it.
pub type PartCrashNews = (CrashId, PartCrash);

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Membership probe.
    Gossip(Gossip),
    /// Requests the contract changes after a number.
    ContractsAfter {
        /// Number of the last change that the sender has.
        number: u64,
    },
    /// Contract changes that were just accepted.
    Contracts(ContractSyncData),
    /// Notifies the preferred owner of a job that the job was accepted.
    JobOffered {
        /// Customer of the job.
        customer: CustomerId,
        /// Id of the job.
        job: JobId,
    },
    /// Requests a deadline check of a new job from its preferred owner.
    CheckJobDeadline {
        /// Number of items of the job.
        items: u64,
        /// Time in which the job must be finished.
        window_ms: u64,
    },
    /// Notifies the owner of a job that its cancellation is committed. Answered once no item of it
    /// runs.
    JobCancelled {
        /// Id of the job.
        job: JobId,
    },
    /// Requests shares of customers' limits from their coordinator.
    Shares(ShareRequests),
    /// Recalls shares of limits from a holder because another instance needs a part of them: the
    /// holder requests smaller shares at once.
    SharesRecalled(Vec<CustomerId>),
    /// Requests slots for batch items from the batch controller of an engine.
    SlotsRequested(BatchSlotRequest),
    /// Notifies a job owner of the slots that a batch controller grants it from now on.
    SlotsGranted(BatchSlotGrant),
    /// Notifies the batch controller of an engine of online work there.
    OnlineLoad(OnlineLoadNotice),
    /// Requests an indirect probe of another instance. Answered with `Done` if that instance
    /// answers.
    IndirectProbe {
        /// Peer address of the instance to probe.
        address: SocketAddr,
    },
    /// Backend servers that are leaving.
    BackendsLeaving(Vec<LeavingNotice>),
    /// Notices of crashes, probes and convictions.
    Crashes(Vec<QuarantineNotice>),
    /// Requests the whole table of crash notices.
    CrashTable,
    /// Requests a probe of a suspect request from the coordinator.
    ProbeRequested {
        /// Fingerprint of the suspect request.
        fingerprint: Fingerprint,
        /// Backend servers that may run the probe, in order of preference.
        backends: Vec<BackendId>,
    },
    /// Reports the end of a probe to the coordinator.
    ProbeEnded {
        /// Fingerprint of the suspect request.
        fingerprint: Fingerprint,
        /// Backend server that ran the probe.
        backend: BackendId,
        /// Result of the probe.
        end: ProbeOutcome,
    },
    /// What has changed in the records of crashes with shared parts of prompts.
    PartCrashes(Vec<PartCrashNews>),
    /// Requests all records of crashes with shared parts of prompts.
    PartCrashTable,
    /// Requests a probe of a suspected group of parts from its coordinator. Answered with `Done` if
    /// it is granted.
    PartProbeRequested {
        /// The parts of the group.
        group: Vec<PartId>,
    },
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Answers [`PeerRequest::Gossip`].
    Gossip(Gossip),
    /// Answers [`PeerRequest::ContractsAfter`].
    Contracts(ContractSyncData),
    /// The message was handled; there is nothing to return.
    Done,
    /// The receiver could not handle the message, for example because it is still starting.
    Refused,
    /// Answers [`PeerRequest::Shares`], without the customers that another instance coordinates.
    Shares(Vec<ShareGrant>),
    /// Answers [`PeerRequest::SlotsRequested`].
    SlotGrant(BatchSlotGrant),
    /// Answers [`PeerRequest::SlotsGranted`]: the slots that the owner uses and needs after it has
    /// applied the grant.
    SlotsInUse(BatchSlotRequest),
    /// Answers [`PeerRequest::CrashTable`].
    Crashes(Vec<QuarantineNotice>),
    /// Answers [`PeerRequest::ProbeRequested`].
    Probe(ProbeResponse),
    /// Answers [`PeerRequest::CheckJobDeadline`].
    JobDeadline(DeadlineCheck),
    /// Answers [`PeerRequest::PartCrashTable`].
    PartCrashes(Vec<PartCrashNews>),
}
