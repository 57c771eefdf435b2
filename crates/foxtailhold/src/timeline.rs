//! Timeline of events in all processes, ordered by a hybrid logical clock (Kulkarni et al.,
//! "Logical Physical Clocks", 2014).

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{BackendId, CustomerId, InstanceId, JobId, RequestId};
use crate::orders::OrderOutcome;
use crate::time::WallMs;

/// Timestamp of a hybrid logical clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HlcTime {
    /// Largest wall clock time seen so far, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Orders timestamps within the same millisecond.
    pub counter: u32,
}

impl fmt::Display for HlcTime {
    /// Writes the milliseconds, a dot and the counter, as [`HlcTime::from_str`] parses them.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.wall_ms, self.counter)
    }
}

/// A text is not a timestamp of a hybrid logical clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a reading of a hybrid logical clock is milliseconds, a dot and a counter")]
pub struct ParseHlcTimeError;

impl FromStr for HlcTime {
    type Err = ParseHlcTimeError;

    fn from_str(text: &str) -> Result<Self, ParseHlcTimeError> {
        let (wall_ms, counter) = text.split_once('.').ok_or(ParseHlcTimeError)?;
        Ok(HlcTime {
            wall_ms: wall_ms.parse().map_err(|_| ParseHlcTimeError)?,
            counter: counter.parse().map_err(|_| ParseHlcTimeError)?,
        })
    }
}

/// Hybrid logical clock of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: HlcTime,
}

impl HybridClock {
    /// Returns the timestamp of a local event.
    pub fn tick(&mut self, wall: WallMs) -> HlcTime {
        self.advance(HlcTime::default(), wall)
    }

    /// Returns the timestamp for the receipt of a message with the timestamp `remote`.
    pub fn receive(&mut self, remote: HlcTime, wall: WallMs) -> HlcTime {
        self.advance(remote, wall)
    }

    fn advance(&mut self, remote: HlcTime, wall: WallMs) -> HlcTime {
        let floor = self.last.max(remote);
        self.last = if wall.0 > floor.wall_ms {
            HlcTime {
                wall_ms: wall.0,
                counter: 0,
            }
        } else {
            HlcTime {
                wall_ms: floor.wall_ms,
                counter: floor.counter.saturating_add(1),
            }
        };
        self.last
    }
}

/// An event in the timeline, written as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// An instance started.
    Started,
    /// A planned stop of an instance began.
    Stopping,
    /// An instance is about to exit.
    Stopped,
    /// A request was accepted.
    Accepted {
        /// Identifier of the request.
        request: RequestId,
        /// The customer that sent the request.
        customer: CustomerId,
    },
    /// A request was sent to a backend server.
    Sent {
        /// Identifier of the request.
        request: RequestId,
        /// The backend server that it was sent to.
        backend: BackendId,
    },
    /// A request was answered completely.
    Answered {
        /// Identifier of the request.
        request: RequestId,
    },
    /// A request was refused.
    Refused {
        /// Identifier of the request.
        request: RequestId,
        /// Error code of the refusal.
        code: String,
    },
    /// A job was accepted.
    JobAccepted {
        /// Identifier of the job.
        job: JobId,
    },
    /// This instance claimed a job.
    JobOwned {
        /// Identifier of the job.
        job: JobId,
        /// Fencing number of the claim.
        epoch: u64,
    },
    /// A chunk of a job was committed.
    ChunkDone {
        /// Identifier of the job.
        job: JobId,
        /// Index of the chunk.
        chunk: u32,
    },
    /// A job ended.
    JobEnded {
        /// Identifier of the job.
        job: JobId,
        /// Final status of the job.
        status: String,
    },
    /// This instance accepted a contract change.
    ContractAccepted {
        /// Number of the change.
        number: u64,
    },
    /// A contract change took effect on this instance.
    ContractApplied {
        /// Number of the change.
        number: u64,
    },
    /// An order was sent to an engine.
    EngineOrdered {
        /// The engine that the order is for.
        backend: BackendId,
        /// Fencing number of the order.
        fencing: u64,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// The state of a member changed in this instance's membership list.
    MemberChanged {
        /// The member whose state changed. The field `instance` of the entry is the observer.
        #[serde(rename = "member")]
        instance: InstanceId,
        /// The new state.
        state: String,
    },
    /// Batch items were preempted to free capacity at a backend server.
    #[serde(rename = "batch_yielded")]
    BatchPreempted {
        /// The backend server.
        backend: BackendId,
        /// Number of preempted items.
        items: u32,
    },
    /// A request was put into quarantine for crashing backend servers.
    Convicted {
        /// Fingerprint of the request.
        fingerprint: String,
    },
}

/// One entry of the timeline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// Timestamp, which orders the entries of all instances.
    pub at: HlcTime,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// The event.
    #[serde(flatten)]
    pub event: TimelineEvent,
}

impl TimelineEntry {
    /// Whether the instance or one of the identifiers in the event equals `id`.
    pub fn has_id(&self, id: &str) -> bool {
        if self.instance.as_str() == id {
            return true;
        }
        let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(&self.event) else {
            return false;
        };
        fields.values().any(|value| value.as_str() == Some(id))
    }
}
