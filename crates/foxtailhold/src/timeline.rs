//! The time line of events over all processes, ordered by a hybrid logical clock
//! (Kulkarni and others, "Logical Physical Clocks", 2014).

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{BackendId, CustomerId, InstanceId, JobId, RequestId};
use crate::orders::OrderOutcome;
use crate::time::WallMs;

/// A reading of a hybrid logical clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HlcTime {
    /// Largest wall clock seen.
    pub wall_ms: u64,
    /// Orders readings within one millisecond.
    pub counter: u32,
}

impl fmt::Display for HlcTime {
    /// Milliseconds, a dot and the counter, as [`HlcTime::from_str`] reads it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.wall_ms, self.counter)
    }
}

/// A text is not a reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a reading of a hybrid logical clock is milliseconds, a dot and a counter")]
pub struct BadHlcTime;

impl FromStr for HlcTime {
    type Err = BadHlcTime;

    fn from_str(text: &str) -> Result<Self, BadHlcTime> {
        let (wall_ms, counter) = text.split_once('.').ok_or(BadHlcTime)?;
        Ok(HlcTime {
            wall_ms: wall_ms.parse().map_err(|_| BadHlcTime)?,
            counter: counter.parse().map_err(|_| BadHlcTime)?,
        })
    }
}

/// One process's hybrid logical clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: HlcTime,
}

impl HybridClock {
    /// A reading for a local event.
    pub fn tick(&mut self, wall: WallMs) -> HlcTime {
        self.advance(HlcTime::default(), wall)
    }

    /// A reading for the receipt of a message stamped `remote`.
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

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// The process started.
    Started,
    /// A planned stop began.
    Stopping,
    /// The process is about to exit.
    Stopped,
    /// A request was taken in.
    Accepted {
        /// The request.
        request: RequestId,
        /// Whose.
        customer: CustomerId,
    },
    /// A request was sent to a backend server.
    Sent {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
    },
    /// A request was answered in whole.
    Answered {
        /// The request.
        request: RequestId,
    },
    /// A request was refused.
    Refused {
        /// The request.
        request: RequestId,
        /// The error code.
        code: String,
    },
    /// A job was accepted.
    JobAccepted {
        /// The job.
        job: JobId,
    },
    /// This instance took over a job.
    JobOwned {
        /// The job.
        job: JobId,
        /// Fencing number.
        epoch: u64,
    },
    /// A chunk of a job was committed.
    ChunkDone {
        /// The job.
        job: JobId,
        /// Which chunk.
        chunk: u32,
    },
    /// A job reached its end.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its final status.
        status: String,
    },
    /// A contract change was accepted here.
    ContractAccepted {
        /// The change's number.
        number: u64,
    },
    /// A contract change took effect here.
    ContractApplied {
        /// The change's number.
        number: u64,
    },
    /// An order was given to an engine.
    EngineOrdered {
        /// The engine.
        backend: BackendId,
        /// Fencing number of the order.
        fencing: u64,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// A member's state changed in this instance's view.
    MemberChanged {
        /// Which member; the entry's own field `instance` is the one that saw it.
        #[serde(rename = "member")]
        instance: InstanceId,
        /// The state.
        state: String,
    },
    /// Streams of batch items were cancelled here to make room at a backend server.
    #[serde(rename = "batch_yielded")]
    BatchPreempted {
        /// Where.
        backend: BackendId,
        /// How many.
        items: u32,
    },
    /// A request was convicted of crashing backend servers.
    Convicted {
        /// Its fingerprint.
        fingerprint: String,
    },
}

/// One line of the time line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// When, in the merged order.
    pub at: HlcTime,
    /// The process.
    pub instance: InstanceId,
    /// What.
    #[serde(flatten)]
    pub event: TimelineEvent,
}

impl TimelineEntry {
    /// Whether one of the event's identifiers, or the instance, is `id`.
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
