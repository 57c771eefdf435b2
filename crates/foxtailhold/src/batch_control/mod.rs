//! Batch beside online: how many batch items may be in flight at each replica, and whose.
//!
//! One instance, the replica's *steward* (its home by rendezvous hashing over the live members),
//! keeps batch at the replica below a mark ([`window::CongestionWindow`]) and divides the mark between the owners
//! of jobs ([`controller::BatchController`]). An owner asks for places, gets an absolute number that is
//! valid for a short time, and sends its items itself ([`scheduler::BatchScheduler`]). Any instance that sends
//! online work to a replica with batch tells the steward ([`OnlineLoadNotice`]).
//!
//! Bound: the grants of one steward that may be in use at the same time never add up to more than
//! the largest mark of the last [`GRANT_MS`], and no mark is above `slots` minus the least headroom.
//! An owner uses the grant of one steward only, so two stewards of one replica, for as long as
//! members disagree, allow at most twice that.

pub mod controller;
pub mod scheduler;
pub mod window;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, InstanceId};
use crate::replicas::LoadReport;

/// A grant is valid for this long after the question that it answers was sent.
pub const GRANT_MS: u64 = 1_500;
/// An owner asks again at least this often while it has or wants places.
pub const ASK_PERIOD_MS: u64 = 500;
/// Least time between two questions of one owner about one replica.
pub const ASK_GAP_MS: u64 = 50;
/// One instance tells a steward of online work at most this often.
pub const NOTICE_GAP_MS: u64 = 5;
/// An instance with online work at a replica tells its steward at least this often.
pub const NOTICE_PERIOD_MS: u64 = 500;
/// A notice counts for this long.
pub const NOTICE_VALID_MS: u64 = 2_000;

/// What an owner of jobs has and wants at one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSlotRequest {
    /// The owner.
    pub owner: InstanceId,
    /// The replica.
    pub backend: BackendId,
    /// Items it has in flight there.
    pub in_use: u32,
    /// Items it would have in flight there if it could, those in flight included.
    pub wanted: u32,
    /// Time left for the most pressing of its waiting items, in ms.
    pub slack_ms: u64,
    /// The grant it follows, as term and number; zeros before the first.
    pub follows: (u64, u64),
}

/// What a steward allows an owner at one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSlotGrant {
    /// The steward.
    pub controller: InstanceId,
    /// The replica.
    pub backend: BackendId,
    /// Start of the steward's process: later ones are higher.
    pub term: u64,
    /// Position among the steward's grants of this term.
    pub number: u64,
    /// Items above this number are cancelled at once.
    pub cancel_above: u32,
    /// A new item is started only while fewer than this number are in flight.
    pub start_below: u32,
}

/// Online work of one instance at a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineLoadNotice {
    /// The instance.
    pub from: InstanceId,
    /// The replica.
    pub backend: BackendId,
    /// Position among the instance's notices of this replica.
    pub number: u64,
    /// Its online requests in flight there.
    pub in_flight: u32,
    /// Whether online work had to wait there.
    pub pressed: bool,
}

/// Share of the KV cache from which waiting requests wait for memory.
const KV_FULL: f64 = 0.95;

/// Whether requests queue at the replica. One that only waits for the next step of a batch with
/// free slots does not.
pub fn is_queued(report: &LoadReport) -> bool {
    let over = report.running + report.waiting > report.slots;
    report.waiting > 0 && (over || report.kv_used >= KV_FULL)
}
