//! What instances say to each other, one datagram each.
//!
//! Datagrams fit: each is small, is repeated until it is answered or replaced by the next one, and
//! a peer that vanishes leaves no connection that must time out.

use foxtailhold::crashes::CrashEvidence;
use foxtailhold::ids::{InstanceId, TargetName};
use foxtailhold::quarantine::Fingerprint;
use foxtailhold::slots::{HeldSlot, SlotDecision, SlotOutcome, SlotRequest, SlotRequestId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Largest datagram, below what one UDP packet carries.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A hash of an instance's identity: lists of hundreds of instances are sent often.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShortName(u32);

impl From<&InstanceId> for ShortName {
    fn from(instance: &InstanceId) -> Self {
        ShortName(xxh3_64(instance.as_str().as_bytes()) as u32)
    }
}

/// One message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for a place.
    Ask(SlotRequest),
    /// Answers an ask, also later when a place has become free.
    Answer {
        /// The ask.
        ask: SlotRequestId,
        /// What was decided.
        verdict: SlotDecision,
    },
    /// A batch item is to give way.
    Yield {
        /// The ask that was granted.
        ask: SlotRequestId,
    },
    /// A place is free again, or who waited has left.
    Release {
        /// The ask.
        ask: SlotRequestId,
        /// Its service.
        pool: TargetName,
        /// How it ended.
        outcome: SlotOutcome,
    },
    /// What an instance holds; also says that it lives.
    Report {
        /// The instance.
        instance: InstanceId,
        /// All places that it holds.
        held: Vec<HeldSlot>,
    },
    /// The answer to a report: who has reported lately.
    Live {
        /// Who says so.
        instance: InstanceId,
        /// Short names of the instances that live.
        live: Vec<ShortName>,
    },
    /// What is known against a request that crashes backend servers.
    Crashed {
        /// The request.
        fingerprint: Fingerprint,
        /// Its crashes.
        evidence: CrashEvidence,
    },
    /// A request was seen to run: nothing is held against it.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}
