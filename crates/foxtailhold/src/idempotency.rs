//! At-most-once execution of requests with an idempotency key.
//!
//! Each attempt at such a request is one [`ClaimAttempt`]. Before the first byte is sent, it writes
//! a claim to the table service under (customer, idempotency key). Only the attempt that holds the
//! claim may send the request, and only once. An attempt never deletes its claim but overwrites it
//! as released. The version of the row therefore keeps rising, and a write that the store applies
//! late finds a different version and has no effect.

use serde::{Deserialize, Serialize};

use crate::time::{MonoMs, WallMs};

pub mod release;

pub use release::{ClaimRelease, ReleaseStep};

/// Maximum number of writes of a claim while responses are lost.
pub const MAX_CLAIM_WRITES: u32 = 3;
/// Maximum time between the first write of a claim and the sending of its request.
pub const MAX_SEND_DELAY_MS: u64 = 300_000;
/// Time after which a claim is no longer released. Its row is kept far longer than this, so that a
/// release never finds a row that was written anew after a sweep.
pub const MAX_RELEASE_DELAY_MS: u64 = 3_600_000;
/// Retention of answered and released rows, from when they were written.
pub const RETENTION_MS: u64 = 24 * 3_600_000;
/// Retention of claims whose outcome is unknown, far longer than [`MAX_SEND_DELAY_MS`].
pub const CLAIMED_RETENTION_MS: u64 = 7 * RETENTION_MS;
/// Maximum size of a response body stored in the row; larger ones go to the object store.
pub const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// Row of a claim, stored as JSON under (customer, idempotency key).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Identifier of the attempt that wrote the claim, unique to it.
    pub claim_id: String,
    /// Digest of method, path and body in hexadecimal, which tells a resend from a different
    /// request under the same key.
    pub digest: String,
    /// Time at which the row was written, on the wall clock of the writing instance.
    pub written_at: WallMs,
    /// Known progress of the request.
    pub state: ClaimState,
}

/// Known progress of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// The attempt that holds the claim may send the request at any time, or has sent it.
    Claimed,
    /// The attempt did not send the request and never will.
    Released,
    /// The complete response is stored.
    Answered(StoredAnswer),
}

/// A complete response, stored so that resends get the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status of the response.
    pub status: u16,
    /// Value of the `Content-Type` header, if any.
    pub content_type: Option<String>,
    /// Response body, or where it is stored.
    pub body: StoredBody,
}

/// Where the body of a stored response is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// In the row itself.
    Text(String),
    /// In the object store, under a name derived from the claim.
    Object,
}

impl StoredBody {
    /// Selects the storage for `body`: the row for text of at most [`MAX_ROW_BODY_BYTES`],
    /// otherwise the object store.
    pub fn of(body: &[u8]) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) if body.len() <= MAX_ROW_BODY_BYTES => StoredBody::Text(text.to_owned()),
            _ => StoredBody::Object,
        }
    }
}

/// Precondition of a write on the version of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedVersion {
    /// The row does not exist.
    Absent,
    /// The row has exactly this version.
    Version(u64),
}

/// A claim row as read from the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundClaim {
    /// Version of the row.
    pub version: u64,
    /// Content of the row.
    pub row: ClaimRow,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// The precondition failed; the current row is given if it exists.
    Conflict(Option<FoundClaim>),
    /// The write had no effect and will have none.
    NoEffect,
    /// The response was lost: the write may have taken effect, or may still.
    Unknown,
}

/// Reason why an attempt does not get the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// Another attempt holds the claim, so the request may have run.
    MayHaveRun,
    /// The key was used before with a different request.
    OtherRequest,
    /// The store did not respond. This attempt did not send the request and never will.
    StoreUnavailable,
}

/// Next step of an attempt.
#[derive(Debug)]
pub enum ClaimStep {
    /// Write [`ClaimAttempt::row`] on the condition [`ClaimAttempt::expected`], then call
    /// [`ClaimAttempt::handle_write`].
    Write(ClaimAttempt),
    /// The claim is held: send the request at most once.
    Held(HeldClaim),
    /// Return the stored response.
    Answer(ClaimRow, StoredAnswer),
    /// Refuse the request. If a release is given, a lost write may still create the claim, and the
    /// release has to run in the background.
    Refuse(ClaimRefusal, Option<ClaimRelease>),
}

/// Both clocks as read before the first write of a claim. The wall clock is included because the
/// monotonic clock does not advance while the machine is suspended.
#[derive(Debug, Clone, Copy, Default)]
struct ClockReading {
    mono: MonoMs,
    wall: WallMs,
}

impl ClockReading {
    fn elapsed_ms(&self, now: MonoMs, wall: WallMs) -> u64 {
        let wall_ms = wall.0.saturating_sub(self.wall.0);
        now.since_ms(self.mono).max(wall_ms)
    }
}

/// An attempt that does not hold the claim yet.
#[derive(Debug)]
pub struct ClaimAttempt {
    row: ClaimRow,
    expected: ExpectedVersion,
    first_write: Option<ClockReading>,
    writes: u32,
    /// Whether a write with a lost response may still take effect.
    write_uncertain: bool,
}

impl ClaimAttempt {
    /// Creates an attempt. `claim_id` must be unique to it.
    pub fn new(claim_id: String, digest: String) -> Self {
        ClaimAttempt {
            row: ClaimRow {
                claim_id,
                digest,
                written_at: WallMs::default(),
                state: ClaimState::Claimed,
            },
            expected: ExpectedVersion::Absent,
            first_write: None,
            writes: 0,
            write_uncertain: false,
        }
    }

    /// The row to write. The clocks have to be read right before the write.
    pub fn row(&mut self, now: MonoMs, wall: WallMs) -> &ClaimRow {
        self.first_write
            .get_or_insert(ClockReading { mono: now, wall });
        self.row.written_at = wall;
        &self.row
    }

    /// Precondition of the write.
    pub fn expected(&self) -> ExpectedVersion {
        self.expected
    }

    /// Processes the outcome of the write and returns the next step.
    pub fn handle_write(mut self, outcome: WriteOutcome) -> ClaimStep {
        self.writes += 1;
        match outcome {
            WriteOutcome::Committed => {
                let version = match self.expected {
                    ExpectedVersion::Absent => 1,
                    ExpectedVersion::Version(version) => version + 1,
                };
                self.held(version)
            }
            WriteOutcome::Conflict(Some(found)) => self.handle_conflict(found),
            WriteOutcome::Conflict(None) => {
                self.expected = ExpectedVersion::Absent;
                self.retry_write()
            }
            WriteOutcome::NoEffect => self.refuse(),
            WriteOutcome::Unknown => {
                self.write_uncertain = true;
                self.retry_write()
            }
        }
    }

    fn held(self, version: u64) -> ClaimStep {
        ClaimStep::Held(HeldClaim {
            row: self.row,
            version,
            claimed_at: self.first_write.unwrap_or_default(),
        })
    }

    /// Repeats the write. If the lost write took effect, the conflict returns the row.
    fn retry_write(self) -> ClaimStep {
        if self.writes >= MAX_CLAIM_WRITES {
            return self.refuse();
        }
        ClaimStep::Write(self)
    }

    fn handle_conflict(mut self, found: FoundClaim) -> ClaimStep {
        let FoundClaim { version, row } = found;
        if row.claim_id == self.row.claim_id {
            return match row.state {
                ClaimState::Claimed => self.held(version),
                _ => ClaimStep::Refuse(ClaimRefusal::StoreUnavailable, None),
            };
        }
        if row.state == ClaimState::Released {
            // An earlier write of this attempt can no longer take effect, because the version that
            // it expected is gone.
            self.write_uncertain = false;
            self.expected = ExpectedVersion::Version(version);
            return self.retry_write();
        }
        if row.digest != self.row.digest {
            return ClaimStep::Refuse(ClaimRefusal::OtherRequest, None);
        }
        match row.state.clone() {
            ClaimState::Answered(answer) => ClaimStep::Answer(row, answer),
            _ => ClaimStep::Refuse(ClaimRefusal::MayHaveRun, None),
        }
    }

    fn refuse(self) -> ClaimStep {
        let claimed_at = self.first_write.unwrap_or_default();
        let release = self
            .write_uncertain
            .then(|| ClaimRelease::uncertain(self.row, claimed_at, self.expected));
        ClaimStep::Refuse(ClaimRefusal::StoreUnavailable, release)
    }
}

/// A held claim. [`HeldClaim::into_release`] or [`HeldClaim::into_answered_row`] ends it. If it is
/// dropped instead, the claim stays in the table and resends are refused because the request may
/// have run.
#[derive(Debug)]
pub struct HeldClaim {
    row: ClaimRow,
    version: u64,
    claimed_at: ClockReading,
}

impl HeldClaim {
    /// Row of the claim.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Whether the request may be sent now. Has to be checked right before each connection.
    pub fn may_send(&self, now: MonoMs, wall: WallMs) -> bool {
        self.claimed_at.elapsed_ms(now, wall) <= MAX_SEND_DELAY_MS
    }

    /// Ends the attempt without sending: no byte was sent, and none will be.
    pub fn into_release(self) -> ClaimRelease {
        ClaimRelease::held(self.row, self.claimed_at, self.version)
    }

    /// Ends the attempt with the complete response. Returns the row to write and the version that
    /// it replaces.
    pub fn into_answered_row(
        self,
        answer: StoredAnswer,
        wall: WallMs,
    ) -> (ClaimRow, ExpectedVersion) {
        let row = ClaimRow {
            written_at: wall,
            state: ClaimState::Answered(answer),
            ..self.row
        };
        (row, ExpectedVersion::Version(self.version))
    }
}

/// Whether a row may be deleted.
///
/// A row whose attempt may still send the request is kept for [`CLAIMED_RETENTION_MS`]. The attempt
/// checks [`HeldClaim::may_send`] right before it sends, so it could outlive the row only if it
/// were paused for days between the check and the send.
pub fn is_expired(row: &ClaimRow, now: WallMs) -> bool {
    let keep_ms = match row.state {
        ClaimState::Claimed => CLAIMED_RETENTION_MS,
        ClaimState::Released | ClaimState::Answered(_) => RETENTION_MS,
    };
    now.0.saturating_sub(row.written_at.0) > keep_ms
}
