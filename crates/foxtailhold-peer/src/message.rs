//! What instances say to each other.

use std::net::SocketAddr;

use foxtailhold::batch::deadline_check::DeadlineCheck;
use foxtailhold::batch_control::{BatchSlotGrant, BatchSlotRequest, OnlineLoadNotice};
use foxtailhold::contract_registry::ContractSyncData;
use foxtailhold::ids::{BackendId, CustomerId, JobId};
use foxtailhold::leaving::LeavingNotice;
use foxtailhold::limits::{ShareGrant, ShareRequests};
use foxtailhold::membership::Gossip;
use foxtailhold::quarantine::{Fingerprint, ProbeOutcome, ProbeResponse, QuarantineNotice};
use serde::{Deserialize, Serialize};

/// A message to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A membership probe.
    Gossip(Gossip),
    /// Asks for the contract changes after a number.
    ContractsAfter {
        /// The asker stands at this number.
        number: u64,
    },
    /// Tells of contract changes just accepted.
    Contracts(ContractSyncData),
    /// Tells the home of a job that it was accepted.
    JobOffered {
        /// Whose.
        customer: CustomerId,
        /// The job.
        job: JobId,
    },
    /// Asks the home of a job that is offered whether it can be finished in time.
    JobCanLand {
        /// Items of the job.
        items: u64,
        /// Its window.
        window_ms: u64,
    },
    /// Tells the owner of a job that a cancel is committed; answered once no item of it runs.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// Asks the home of customers' limits for shares.
    Shares(ShareRequests),
    /// Tells a holder of shares that another instance lacks room: it asks at once for less.
    SharesRecalled(Vec<CustomerId>),
    /// Asks the steward of a replica for places of batch items.
    PlacesAsked(BatchSlotRequest),
    /// Tells an owner of jobs what a steward allows it from now on.
    PlacesGranted(BatchSlotGrant),
    /// Tells the steward of a replica of online work there.
    OnlineSeen(OnlineLoadNotice),
    /// Asks to probe another instance; answered with `Done` if that one answers.
    ProbeFor {
        /// Where that one takes messages of peers.
        address: SocketAddr,
    },
    /// Tells that backend servers are leaving.
    BackendsLeaving(Vec<LeavingNotice>),
    /// Tells of crashes, trials and verdicts.
    Crashes(Vec<QuarantineNotice>),
    /// Asks for all that is known of crashes.
    CrashTable,
    /// Asks the home of trials to try a suspect.
    TrialAsked {
        /// The suspect.
        fingerprint: Fingerprint,
        /// Where it may be tried, best first.
        backends: Vec<BackendId>,
    },
    /// Tells the home of trials how one ended.
    TrialEnded {
        /// The suspect.
        fingerprint: Fingerprint,
        /// Where it was tried.
        backend: BackendId,
        /// How it ended.
        end: ProbeOutcome,
    },
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// To [`PeerRequest::Gossip`].
    Gossip(Gossip),
    /// To [`PeerRequest::ContractsAfter`].
    Contracts(ContractSyncData),
    /// Taken note of.
    Done,
    /// The receiver could not act.
    Refused,
    /// To [`PeerRequest::Shares`]; customers of another home are left out.
    Shares(Vec<ShareGrant>),
    /// To [`PeerRequest::PlacesAsked`].
    Places(BatchSlotGrant),
    /// To [`PeerRequest::PlacesGranted`]: what the owner has and wants after it acted.
    PlacesInUse(BatchSlotRequest),
    /// To [`PeerRequest::CrashTable`].
    Crashes(Vec<QuarantineNotice>),
    /// To [`PeerRequest::TrialAsked`].
    Trial(ProbeResponse),
    /// To [`PeerRequest::JobCanLand`].
    Landing(DeadlineCheck),
}
