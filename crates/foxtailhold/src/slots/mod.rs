//! Places at model engines, handed out by one instance for all of them.
//!
//! Engines admit requests in order of arrival and know no priorities, so what waits must wait
//! before them, and no engine may get more than it can begin at once. Eleven instances that choose
//! on their own collide within milliseconds; so one instance (the allocator) grants every place of
//! a pool. It is soft state: each instance tells regularly what it holds, another instance can take
//! over at any moment, and two allocators at once cost capacity, never correctness.

mod allocator;
pub mod health;
mod pool;

pub use allocator::{Allocator, SlotNotice};
pub use health::BackendHealth;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};

/// One request for a place, unique over all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotRequestId {
    /// The instance that asks, with its incarnation.
    pub instance: InstanceId,
    /// Its counter.
    pub number: u64,
}

/// Who waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urgency {
    /// A person; 0 is the most urgent rank.
    Online {
        /// The route's rank.
        priority: u8,
    },
    /// A batch item: it may be cut and continued later.
    Batch,
}

/// A request for a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Its identity; asking again with the same one is harmless.
    pub id: SlotRequestId,
    /// The service.
    pub pool: TargetName,
    /// Who waits.
    pub urgency: Urgency,
    /// Online: time left until its first event is late. Batch: slack until it can no longer land.
    pub slack_ms: u64,
    /// Backend servers that must not be chosen: they have had this request.
    pub avoid: Vec<BackendId>,
    /// Availability zone of the instance that asks.
    pub zone: AvailabilityZone,
}

/// What the allocator says to an ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotDecision {
    /// Send the request there now.
    Granted(BackendId),
    /// It waits; a decision follows.
    Queued,
    /// It would be late: not run, and the caller should come back later.
    Refused {
        /// When a place is likely to be free.
        retry_after_ms: u64,
    },
}

/// How the use of a place ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOutcome {
    /// The answer was whole.
    Done {
        /// From sending to the end.
        held_ms: u64,
    },
    /// The backend server had no room.
    Full,
    /// The backend server could not be reached.
    Unreachable,
    /// The answer broke off or was wrong.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// Given up by the caller, or cut for more urgent work.
    Abandoned,
}

/// One place in use, as its holder tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlot {
    /// Counter of the ask.
    pub number: u64,
    /// The service.
    pub pool: TargetName,
    /// Where.
    pub backend: BackendId,
    /// Who waits.
    pub urgency: Urgency,
    /// Time since the last sign of the backend server for this request.
    pub quiet_ms: u64,
}

/// A backend server's places.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSlots {
    /// The backend server.
    pub backend: BackendId,
    /// Where it is.
    pub zone: AvailabilityZone,
    /// Requests that it runs at once.
    pub slots: u32,
}
