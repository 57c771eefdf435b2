//! Requests that must not be repeated: claimed in the table service before the first byte is sent.
//!
//! One attempt is one [`ClaimAttempt`]. It writes its claim under (customer, idempotency key), and only
//! the attempt that holds the claim may send the request, once. A claim is never deleted by its
//! attempt but overwritten as released: the row's version goes on rising, so that a write that the
//! store applies late finds another version and does nothing.

use serde::{Deserialize, Serialize};

use crate::time::{MonoMs, WallMs};

pub mod release;

pub use release::{ClaimRelease, ReleaseStep};

/// Tries to write a claim while answers are lost.
pub const MAX_CLAIM_TRIES: u32 = 3;
/// A claim that was not sent within this time is not sent any more.
pub const SEND_WITHIN_MS: u64 = 300_000;
/// A claim that was not released within this time is left. Its row is kept far longer, so that a
/// release never meets a row that was written anew after a sweep.
pub const RELEASE_WITHIN_MS: u64 = 3_600_000;
/// Answered and released rows are kept this long after they were written.
pub const RETENTION_MS: u64 = 24 * 3_600_000;
/// Rows of claims whose end is unknown are kept this long, far longer than [`SEND_WITHIN_MS`].
pub const CLAIMED_RETENTION_MS: u64 = 7 * RETENTION_MS;
/// Bodies up to this size are stored in the row, larger ones in the object store.
pub const MAX_ROW_BODY_BYTES: usize = 16 << 10;

/// The claim's row, under (customer, idempotency key).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Unique to the attempt that wrote the claim.
    pub claim_id: String,
    /// Digest of method, path and body, as hex.
    pub digest: String,
    /// When the row was written, by the attempt's wall clock.
    pub written_at: WallMs,
    /// How far the request is known to have come.
    pub state: ClaimState,
}

/// How far a claimed request is known to have come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// The claimer may send it at any time, or has.
    Claimed,
    /// The claimer did not send it and never will.
    Released,
    /// The whole answer is stored.
    Answered(StoredAnswer),
}

/// A stored whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, where given.
    pub content_type: Option<String>,
    /// The body.
    pub body: StoredBody,
}

/// Where a stored body is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// In the row.
    Text(String),
    /// In the object store, under the claim's name.
    Object,
}

impl StoredBody {
    /// Where `body` goes: text of at most [`MAX_ROW_BODY_BYTES`] into the row.
    pub fn of(body: &[u8]) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) if body.len() <= MAX_ROW_BODY_BYTES => StoredBody::Text(text.to_owned()),
            _ => StoredBody::Object,
        }
    }
}

/// What a write expects of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedVersion {
    /// No row.
    Absent,
    /// Exactly this version.
    Version(u64),
}

/// A row as it was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundClaim {
    /// Its version.
    pub version: u64,
    /// Its value.
    pub row: ClaimRow,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Committed,
    /// The row was not as expected.
    Conflict(Option<FoundClaim>),
    /// It had no effect and will have none.
    NoEffect,
    /// The answer was lost: it may have taken effect, or may still.
    Unknown,
}

/// Why an attempt does not get the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// Another attempt holds the claim: the request may have run.
    MayHaveRun,
    /// The key was used with another request.
    OtherRequest,
    /// The store gave no answer: this attempt did not run the request and never will.
    StoreUnavailable,
}

/// What an attempt does next.
#[derive(Debug)]
pub enum ClaimStep {
    /// Write [`ClaimAttempt::row`], expecting [`ClaimAttempt::expected`].
    Write(ClaimAttempt),
    /// The claim is held: send once.
    Held(HeldClaim),
    /// Give the stored answer.
    Answer(ClaimRow, StoredAnswer),
    /// Refuse; where a release is given, the claim may still appear and is released later.
    Refuse(ClaimRefusal, Option<ClaimRelease>),
}

/// Both clocks before the first write of a claim. The wall clock is asked too, because the
/// monotonic clock stands still in a suspended machine.
#[derive(Debug, Clone, Copy, Default)]
struct ClaimedAt {
    now: MonoMs,
    wall: WallMs,
}

impl ClaimedAt {
    fn elapsed_ms(&self, now: MonoMs, wall: WallMs) -> u64 {
        let wall_ms = wall.0.saturating_sub(self.wall.0);
        now.since_ms(self.now).max(wall_ms)
    }
}

/// One attempt before it holds the claim.
#[derive(Debug)]
pub struct ClaimAttempt {
    row: ClaimRow,
    expected: ExpectedVersion,
    /// Both clocks before the first write was sent.
    first_write: Option<ClaimedAt>,
    tries: u32,
    /// A write whose answer was lost may still take effect.
    uncertain: bool,
}

impl ClaimAttempt {
    /// An attempt with a `claim_id` of its own.
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
            tries: 0,
            uncertain: false,
        }
    }

    /// The row to write right after the clocks were read.
    pub fn row(&mut self, now: MonoMs, wall: WallMs) -> &ClaimRow {
        self.first_write.get_or_insert(ClaimedAt { now, wall });
        self.row.written_at = wall;
        &self.row
    }

    /// What the write expects.
    pub fn expected(&self) -> ExpectedVersion {
        self.expected
    }

    /// Takes the result of the write.
    pub fn handle_write(mut self, written: WriteOutcome) -> ClaimStep {
        self.tries += 1;
        match written {
            WriteOutcome::Committed => {
                let version = match self.expected {
                    ExpectedVersion::Absent => 1,
                    ExpectedVersion::Version(version) => version + 1,
                };
                self.held(version)
            }
            WriteOutcome::Conflict(Some(found)) => self.found(found),
            WriteOutcome::Conflict(None) => {
                self.expected = ExpectedVersion::Absent;
                self.again()
            }
            WriteOutcome::NoEffect => self.refuse(),
            WriteOutcome::Unknown => {
                self.uncertain = true;
                self.again()
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

    /// The same write again also reads the row back: a conflict shows it.
    fn again(self) -> ClaimStep {
        if self.tries >= MAX_CLAIM_TRIES {
            return self.refuse();
        }
        ClaimStep::Write(self)
    }

    fn found(mut self, found: FoundClaim) -> ClaimStep {
        let FoundClaim { version, row } = found;
        if row.claim_id == self.row.claim_id {
            return match row.state {
                ClaimState::Claimed => self.held(version),
                _ => ClaimStep::Refuse(ClaimRefusal::StoreUnavailable, None),
            };
        }
        if row.state == ClaimState::Released {
            // An earlier write of this attempt expected a version that is gone.
            self.uncertain = false;
            self.expected = ExpectedVersion::Version(version);
            return self.again();
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
            .uncertain
            .then(|| ClaimRelease::uncertain(self.row, claimed_at, self.expected));
        ClaimStep::Refuse(ClaimRefusal::StoreUnavailable, release)
    }
}

/// A held claim. It is consumed by its end; dropping it leaves the claim, so that resends are told
/// that the request may have run.
#[derive(Debug)]
pub struct HeldClaim {
    row: ClaimRow,
    version: u64,
    claimed_at: ClaimedAt,
}

impl HeldClaim {
    /// The claim's row.
    pub fn row(&self) -> &ClaimRow {
        &self.row
    }

    /// Whether the request may be sent now; asked again right before each connection.
    pub fn may_send(&self, now: MonoMs, wall: WallMs) -> bool {
        self.claimed_at.elapsed_ms(now, wall) <= SEND_WITHIN_MS
    }

    /// Ends the attempt: no byte was sent, and none will be.
    pub fn into_release(self) -> ClaimRelease {
        ClaimRelease::held(self.row, self.claimed_at, self.version)
    }

    /// Ends the attempt with the whole answer: the row to write and the version it replaces.
    pub fn answered(self, answer: StoredAnswer, wall: WallMs) -> (ClaimRow, ExpectedVersion) {
        let row = ClaimRow {
            written_at: wall,
            state: ClaimState::Answered(answer),
            ..self.row
        };
        (row, ExpectedVersion::Version(self.version))
    }
}

/// Whether a row has outlived its use.
///
/// A row whose claimer may still send is kept for [`CLAIMED_RETENTION_MS`]: its claimer asks
/// [`HeldClaim::may_send`] right before it sends and would have to be paused between the two for
/// days.
pub fn is_expired(row: &ClaimRow, now: WallMs) -> bool {
    let keep_ms = match row.state {
        ClaimState::Claimed => CLAIMED_RETENTION_MS,
        ClaimState::Released | ClaimState::Answered(_) => RETENTION_MS,
    };
    now.0.saturating_sub(row.written_at.0) > keep_ms
}
