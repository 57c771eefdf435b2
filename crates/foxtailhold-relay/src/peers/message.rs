//! Messages between instances, each sent as one datagram.
//!
//! Datagrams suit them: each message is small and is repeated until it is answered or superseded,
//! and a peer that disappears leaves no connection that has to time out.

use bytes::{Bytes, BytesMut};
use foxtailhold::crashes::{CrashEvidence, Exoneration};
use foxtailhold::ids::{InstanceId, JobId, TargetName};
use foxtailhold::part_crashes::PartCrash;
use foxtailhold::prompt_parts::PartId;
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::slots::{HeldSlot, SlotDecision, SlotOutcome, SlotRequest, SlotRequestId};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::stream_origins::{AttemptHash, AttemptOrigin, StreamOrigin};
use foxtailhold_peer::codec;
use foxtailhold_peer::error::Result;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::group_probes::HarmlessProbe;
use crate::tables::TableVersions;

/// Size limit of a datagram, below the maximum payload of a UDP packet.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Stands for no version. It holds a control character, so no instance reads it as a version.
const ANY_VERSION: &str = "\0";

/// Hash of an instance identifier. Lists of hundreds of instances are sent often, so they carry
/// hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceHash(u32);

/// A message with what later versions append to it. An instance that does not know the appended
/// part ignores it, and reads a message without one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The message.
    pub message: PeerMessage,
    /// Newest changes that the sender has, with its heartbeats and with slot requests for a version.
    pub tables: Option<TableVersions>,
}

impl Datagram {
    /// Encodes the datagram as bincode. The version of a slot request follows the table versions, and
    /// then the time for which its item has been late: earlier versions read the parts that they know
    /// after any message, and ignore what comes then. Without a version, [`ANY_VERSION`] stands there.
    pub fn encode(message: &PeerMessage, tables: Option<&TableVersions>) -> Result<Bytes> {
        let version = message.requested_version().map(SoftwareVersion::as_str);
        let late_ms = message.late_ms();
        let version = version.or_else(|| late_ms.map(|_| ANY_VERSION));
        let encoded = codec::encode(message)?;
        if tables.is_none() && version.is_none() {
            return Ok(encoded);
        }
        let tables = tables.copied().unwrap_or_default();
        let mut bytes = BytesMut::from(encoded.as_ref());
        bytes.extend_from_slice(&codec::encode(&tables)?);
        if let Some(version) = version {
            bytes.extend_from_slice(&codec::encode(&version)?);
        }
        if let Some(late_ms) = late_ms {
            bytes.extend_from_slice(&codec::encode(&late_ms)?);
        }
        Ok(bytes.freeze())
    }

    /// Decodes a datagram, and restores what is appended to a slot request.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let (mut message, appended) = codec::decode_first(bytes)?;
        let Ok((tables, appended)) = codec::decode_first(appended) else {
            let tables = None;
            return Ok(Datagram { message, tables });
        };
        if let PeerMessage::SlotRequest(request) = &mut message {
            let version = codec::decode_first::<String>(appended);
            if let Ok((version, appended)) = version {
                request.version = SoftwareVersion::try_from(version).ok();
                request.late_ms = codec::decode(appended).unwrap_or_default();
            }
        }
        Ok(Datagram {
            message,
            tables: Some(tables),
        })
    }
}

impl Datagram {
    /// The message. An answer about an origin without table versions is one of the previous version,
    /// which does not tell what it remembers from what it infers, and names no origin.
    pub fn into_message(self) -> PeerMessage {
        match self.message {
            PeerMessage::FoundOrigin(found) if self.tables.is_none() => {
                PeerMessage::FoundOrigin(FoundOrigin {
                    origin: None,
                    ..found
                })
            }
            message => message,
        }
    }
}

impl From<&InstanceId> for InstanceHash {
    fn from(instance: &InstanceId) -> Self {
        InstanceHash(xxh3_64(instance.as_str().as_bytes()) as u32)
    }
}

/// A message between instances. It is encoded with bincode: the order of variants and fields is the
/// wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests a slot.
    SlotRequest(SlotRequest),
    /// Decides a slot request. It is also sent later, when a slot becomes free.
    SlotDecision {
        /// The slot request.
        request: SlotRequestId,
        /// The decision.
        decision: SlotDecision,
    },
    /// Preempts a batch item.
    Preempt {
        /// The slot request that was granted.
        request: SlotRequestId,
    },
    /// Returns a slot, or withdraws a waiting slot request.
    Release {
        /// The slot request.
        request: SlotRequestId,
        /// Service to which it belongs.
        pool: TargetName,
        /// How the attempt in the slot ended.
        outcome: SlotOutcome,
    },
    /// Lists the slots that an instance holds; also serves as its heartbeat.
    SlotReport {
        /// The reporting instance.
        instance: InstanceId,
        /// All slots that it holds.
        held: Vec<HeldSlot>,
    },
    /// Answers a report with the instances that have reported recently.
    LiveInstances {
        /// The answering instance.
        instance: InstanceId,
        /// Hashes of the identifiers of the live instances.
        live: Vec<InstanceHash>,
    },
    /// Shares crash evidence against a request.
    CrashEvidence {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Evidence known to the sender.
        evidence: CrashEvidence,
    },
    /// States that a request was seen to run. Sent by the previous version, which does not name the
    /// crashes.
    CrashesCleared {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Removes crashes from the evidence against a request that was seen to run.
    Exonerated {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The crashes.
        exoneration: Exoneration,
    },
    /// Hands on where streams began.
    Origins {
        /// The attempts and their origins.
        origins: Vec<AttemptOrigin>,
    },
    /// Asks where the stream of an attempt began.
    FindOrigin {
        /// Identifies the question, for the answer.
        number: u64,
        /// The attempt.
        attempt: AttemptHash,
        /// Name of its route.
        route: String,
    },
    /// Answers the question for an origin.
    FoundOrigin(FoundOrigin),
    /// Shares what is known of a crash, with the shared parts of the requests that were lost.
    PartCrash {
        /// The crash.
        crash: CrashId,
        /// What the sender knows of it, or what has changed.
        record: PartCrash,
    },
    /// Announces a probe of a suspected group of parts.
    ProbeAdmitted {
        /// The group.
        group: Vec<PartId>,
    },
    /// States that a probe of a suspected group of parts goes on, or has ended, without a crash.
    ProbeHarmless(HarmlessProbe),
    /// Asks which batch jobs were ended at an instance.
    AskEnded {
        /// Identifies the round of questions, for the answer.
        round: u64,
    },
    /// Tells which batch jobs were ended at an instance, as an answer or unasked.
    Ended(ToldEnds),
}

/// Batch jobs that were ended at an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldEnds {
    /// The round of questions; `None` if nobody asked.
    pub round: Option<u64>,
    /// The jobs.
    pub jobs: Vec<JobId>,
}

/// Answer to [`PeerMessage::FindOrigin`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundOrigin {
    /// Identifies the question.
    pub number: u64,
    /// The answering instance.
    pub instance: InstanceId,
    /// Where the stream began, if the instance knows it or only one origin is possible.
    pub origin: Option<StreamOrigin>,
}

impl PeerMessage {
    /// The software version that a slot request names.
    pub fn requested_version(&self) -> Option<&SoftwareVersion> {
        match self {
            PeerMessage::SlotRequest(request) => request.version.as_ref(),
            _ => None,
        }
    }

    /// Time in ms for which the item of a slot request has been late; `None` if it is not late.
    fn late_ms(&self) -> Option<u64> {
        match self {
            PeerMessage::SlotRequest(request) => Some(request.late_ms).filter(|ms| *ms > 0),
            _ => None,
        }
    }
}
