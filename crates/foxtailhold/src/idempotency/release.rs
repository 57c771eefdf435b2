//! Release of a claim whose request was not sent, so that a resend can run.

use crate::idempotency::{
    ClaimRow, ClaimState, ClockReading, ExpectedVersion, FoundClaim, MAX_RELEASE_DELAY_MS,
    WriteOutcome,
};
use crate::time::{MonoMs, WallMs};

/// Next step of a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Read the row, then call [`ClaimRelease::handle_read`].
    Read,
    /// Write [`ClaimRelease::row`] on this condition, then call [`ClaimRelease::handle_write`].
    Write(ExpectedVersion),
    /// The release is complete.
    Done,
}

/// Release of the claim of one attempt. It replaces only that claim or the row version that a
/// delayed write of that claim could still replace.
#[derive(Debug, Clone)]
pub struct ClaimRelease {
    row: ClaimRow,
    claimed_at: ClockReading,
    /// Version of the claim if it is known to be in the table.
    version: Option<u64>,
    /// Precondition of the write of the claim.
    expected: ExpectedVersion,
}

impl ClaimRelease {
    /// Releases a claim that is in the table with `version`.
    pub(super) fn held(row: ClaimRow, claimed_at: ClockReading, version: u64) -> Self {
        ClaimRelease {
            row,
            claimed_at,
            version: Some(version),
            expected: ExpectedVersion::Version(version),
        }
    }

    /// Releases a claim that a delayed write with the precondition `expected` may still create.
    pub(super) fn uncertain(
        row: ClaimRow,
        claimed_at: ClockReading,
        expected: ExpectedVersion,
    ) -> Self {
        ClaimRelease {
            row,
            claimed_at,
            version: None,
            expected,
        }
    }

    /// The row to write, or `None` if more than [`MAX_RELEASE_DELAY_MS`] have passed. The clocks
    /// have to be read right before the write.
    pub fn row(&self, now: MonoMs, wall: WallMs) -> Option<ClaimRow> {
        if self.claimed_at.elapsed_ms(now, wall) > MAX_RELEASE_DELAY_MS {
            return None;
        }
        Some(ClaimRow {
            written_at: wall,
            state: ClaimState::Released,
            ..self.row.clone()
        })
    }

    /// The first step, also taken again after a failed read.
    pub fn start(&self) -> ReleaseStep {
        match self.version {
            Some(version) => ReleaseStep::Write(ExpectedVersion::Version(version)),
            None => ReleaseStep::Read,
        }
    }

    /// Processes the row that was read; `None` if there is none.
    pub fn handle_read(&self, found: Option<&FoundClaim>) -> ReleaseStep {
        let Some(found) = found else {
            return match self.expected {
                ExpectedVersion::Absent => ReleaseStep::Write(ExpectedVersion::Absent),
                ExpectedVersion::Version(_) => ReleaseStep::Done,
            };
        };
        let current = ExpectedVersion::Version(found.version);
        let own = found.row.claim_id == self.row.claim_id;
        if own && found.row.state == ClaimState::Claimed {
            return ReleaseStep::Write(current);
        }
        if !own && current == self.expected {
            // The claim may still replace this version, so the version is raised.
            return ReleaseStep::Write(current);
        }
        ReleaseStep::Done
    }

    /// Processes the outcome of the write.
    pub fn handle_write(&self, outcome: WriteOutcome) -> ReleaseStep {
        match (outcome, self.version) {
            (WriteOutcome::Committed, _) | (WriteOutcome::Conflict(_), Some(_)) => {
                ReleaseStep::Done
            }
            (WriteOutcome::Conflict(found), None) => self.handle_read(found.as_ref()),
            (WriteOutcome::NoEffect | WriteOutcome::Unknown, _) => self.start(),
        }
    }
}
