//! Batch items beside online requests: how many may be in flight at each backend server, and whose.
//!
//! One instance, the batch controller of the backend server (chosen by rendezvous hashing over the
//! live members), limits the batch items at the backend server by a congestion window
//! ([`window::CongestionWindow`]) and divides the window between the owners of jobs
//! ([`controller::BatchController`]). An owner requests slots, gets an absolute number that is
//! valid for a short time, and sends its items itself ([`scheduler::BatchScheduler`]). Any instance
//! that sends online requests to a backend server with batch items notifies the controller
//! ([`OnlineLoadNotice`]).
//!
//! Bound: the grants of one controller that may be in use at the same time never add up to more
//! than the largest window of the last [`GRANT_MS`], and no window exceeds `slots` minus the least
//! headroom. An owner uses the grant of one controller only, so two controllers of one backend
//! server, which exist while the members disagree, allow at most twice that.

pub mod controller;
pub mod scheduler;
pub mod window;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, InstanceId};
use crate::replicas::LoadReport;

/// A grant is valid for this long after its slot request was sent.
pub const GRANT_MS: u64 = 1_500;
/// An owner repeats its slot request at least this often while it uses or wants slots.
pub const REQUEST_PERIOD_MS: u64 = 500;
/// Least time between two slot requests of one owner for one backend server.
pub const REQUEST_GAP_MS: u64 = 50;
/// An instance notifies a controller of online load at most this often.
pub const NOTICE_GAP_MS: u64 = 5;
/// An instance with online requests at a backend server notifies the controller at least this
/// often.
pub const NOTICE_PERIOD_MS: u64 = 500;
/// A notice expires after this time.
pub const NOTICE_VALID_MS: u64 = 2_000;

/// A request of a job owner for batch slots at one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSlotRequest {
    /// The instance that owns the jobs.
    pub owner: InstanceId,
    /// The backend server whose slots are requested.
    pub backend: BackendId,
    /// Number of items that the owner has in flight there.
    pub in_use: u32,
    /// Number of items that the owner could have in flight there, including those in flight.
    pub wanted: u32,
    /// Time in ms until the deadline of the most urgent waiting item.
    pub slack_ms: u64,
    /// Term and number of the last applied grant, zeros before the first.
    pub follows: (u64, u64),
}

/// The batch slots that a controller grants to an owner at one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSlotGrant {
    /// The batch controller that issued the grant.
    pub controller: InstanceId,
    /// The backend server that has the slots.
    pub backend: BackendId,
    /// Start of the controller's process; a later process has a higher term.
    pub term: u64,
    /// Sequence number of the grant within the term.
    pub number: u64,
    /// Items in flight above this number are cancelled at once.
    pub cancel_above: u32,
    /// A new item is started only while fewer than this number are in flight.
    pub start_below: u32,
}

/// Online load that one instance puts on a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineLoadNotice {
    /// The instance that sends the online requests.
    pub from: InstanceId,
    /// The backend server that runs them.
    pub backend: BackendId,
    /// Sequence number among the instance's notices for this backend server.
    pub number: u64,
    /// Online requests of the instance that are in flight there.
    pub in_flight: u32,
    /// Whether online requests had to wait there.
    pub pressed: bool,
}

/// Share of the KV cache above which waiting requests wait for memory.
const KV_FULL_SHARE: f64 = 0.95;

/// Whether requests queue at the backend server. A request that only waits for the next step of a
/// backend server with free slots is not queued.
pub fn is_queued(report: &LoadReport) -> bool {
    let over = report.running + report.waiting > report.slots;
    report.waiting > 0 && (over || report.kv_used >= KV_FULL_SHARE)
}
