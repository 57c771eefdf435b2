//! Allocation of request slots at model engines by one instance.
//!
//! Engines admit requests in order of arrival and know no priorities. Requests therefore wait in
//! front of the engines, and no engine gets more requests than it can start at once. Eleven
//! instances that choose engines independently collide within milliseconds, so a single instance,
//! the allocator, grants the slots of all engines of a pool. Its state is soft: each instance
//! regularly reports the slots that it holds, so another instance can take over at any time. Two
//! allocators at the same time reduce capacity but do not affect correctness.

mod allocator;
mod backend;
pub mod health;
mod online_wait;
mod pool;
mod pool_load;
mod preemption;
mod queue;
mod returns;
mod supply;

pub use allocator::{Allocator, SlotNotice};
pub use backend::MAX_SILENCE_MS;
pub use health::BackendHealth;
pub use pool_load::PoolLoad;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use crate::software_version::SoftwareVersion;

/// Identifies a slot request, unique over all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotRequestId {
    /// The requesting instance, with its incarnation.
    pub instance: InstanceId,
    /// Counter of the requesting instance.
    pub number: u64,
}

/// Priority class of a slot request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urgency {
    /// An online request.
    Online {
        /// Priority of the route; 0 is the most urgent.
        priority: u8,
    },
    /// A batch item, which may be preempted and continued later.
    Batch,
}

impl Urgency {
    /// A batch item that others wait for, because it shows whether what they share crashes backend
    /// servers. It goes after all callers and before other items, and is not preempted. Earlier
    /// versions take it for a caller of the least urgent route.
    pub const ITEM_PROBE: Urgency = Urgency::Online { priority: u8::MAX };

    /// Whether it is the request of a caller, who waits.
    pub(crate) fn is_of_caller(self) -> bool {
        !matches!(self, Urgency::Batch | Urgency::ITEM_PROBE)
    }

    /// The request of a caller, with the priority of its route.
    pub fn of_caller(priority: u8) -> Self {
        let priority = priority.min(u8::MAX - 1);
        Urgency::Online { priority }
    }
}

/// A request for one slot at an engine of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Sending a request again under the same identifier has no further effect.
    pub id: SlotRequestId,
    /// The service whose engines are eligible.
    pub pool: TargetName,
    /// Priority class of the request.
    pub urgency: Urgency,
    /// For an online request, the time for which it can still wait before its caller leaves without an
    /// answer. For a batch item, the time it can still wait and meet its deadline.
    pub slack_ms: u64,
    /// Backend servers that have already received this request and must not be chosen again.
    pub avoid: Vec<BackendId>,
    /// Availability zone of the requesting instance.
    pub zone: AvailabilityZone,
    /// For a batch item without slack, the time in ms for which it has been unable to meet its
    /// deadline; 0 otherwise. The encoded form keeps its layout, and this follows separately.
    #[serde(skip)]
    pub late_ms: u64,
    /// Only backend servers of this version are eligible; `None` for any. The encoded form keeps its
    /// layout, and the version follows separately.
    #[serde(skip)]
    pub version: Option<SoftwareVersion>,
}

/// The allocator's decision on a slot request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotDecision {
    /// The request may be sent to this backend server now.
    Granted(BackendId),
    /// The request is queued; a later decision follows.
    Queued,
    /// The request cannot get a slot while its caller waits, and has not been run.
    Refused {
        /// Time in ms after which its caller is likely to get one if he comes back.
        retry_after_ms: u64,
    },
    /// No backend server of the requested version is listed. Only sent to instances that ask for a
    /// version.
    VersionGone,
}

/// How the use of a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOutcome {
    /// The response was complete.
    Done {
        /// Time in ms from sending the request to the end of the response.
        held_ms: u64,
    },
    /// The backend server reported that it was full.
    Full,
    /// The backend server could not be reached.
    Unreachable,
    /// The response was truncated or invalid.
    Broken,
    /// The backend server sent nothing within the time limit.
    Silent,
    /// The caller gave up, or the request was preempted.
    Abandoned,
}

/// One slot in use, as reported by the instance that holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlot {
    /// Counter of the slot request.
    pub number: u64,
    /// The service that the slot belongs to.
    pub pool: TargetName,
    /// The backend server of the slot.
    pub backend: BackendId,
    /// Priority class of the request that uses the slot.
    pub urgency: Urgency,
    /// Time in ms since the backend server last sent anything for this request.
    pub quiet_ms: u64,
}

/// The slots of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSlots {
    /// The backend server that has the slots.
    pub backend: BackendId,
    /// Availability zone of the backend server.
    pub zone: AvailabilityZone,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Version of its software.
    pub version: SoftwareVersion,
}
