//! Releasing a claim whose request was not sent, so that a resend can run.

use crate::idempotency::{
    ClaimRow, ClaimState, ClaimedAt, ExpectedVersion, FoundClaim, RELEASE_WITHIN_MS, WriteOutcome,
};
use crate::time::{MonoMs, WallMs};

/// What a release does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Read the row, then [`ClaimRelease::handle_read`].
    Read,
    /// Write [`ClaimRelease::row`], expecting this, then [`ClaimRelease::handle_write`].
    Write(ExpectedVersion),
    /// Nothing is left to do.
    Done,
}

/// The release of one attempt's claim. It only ever replaces that claim, or the place where it
/// could still appear.
#[derive(Debug, Clone)]
pub struct ClaimRelease {
    row: ClaimRow,
    claimed_at: ClaimedAt,
    /// The claim's version, where it is known to be in the table.
    version: Option<u64>,
    /// What the write of the claim expected.
    expected: ExpectedVersion,
}

impl ClaimRelease {
    /// Of a claim known to be in the table with `version`.
    pub(super) fn held(row: ClaimRow, claimed_at: ClaimedAt, version: u64) -> Self {
        ClaimRelease {
            row,
            claimed_at,
            version: Some(version),
            expected: ExpectedVersion::Version(version),
        }
    }

    /// Of a claim that may appear later, by a write that expected `expected`.
    pub(super) fn uncertain(
        row: ClaimRow,
        claimed_at: ClaimedAt,
        expected: ExpectedVersion,
    ) -> Self {
        ClaimRelease {
            row,
            claimed_at,
            version: None,
            expected,
        }
    }

    /// The row to write right after the clocks were read; `None` once it is too late to write it.
    pub fn row(&self, now: MonoMs, wall: WallMs) -> Option<ClaimRow> {
        if self.claimed_at.elapsed_ms(now, wall) > RELEASE_WITHIN_MS {
            return None;
        }
        Some(ClaimRow {
            written_at: wall,
            state: ClaimState::Released,
            ..self.row.clone()
        })
    }

    /// The first step, and the next one after a failed read.
    pub fn start(&self) -> ReleaseStep {
        match self.version {
            Some(version) => ReleaseStep::Write(ExpectedVersion::Version(version)),
            None => ReleaseStep::Read,
        }
    }

    /// Takes the row as it was found.
    pub fn handle_read(&self, found: Option<&FoundClaim>) -> ReleaseStep {
        let Some(found) = found else {
            return match self.expected {
                ExpectedVersion::Absent => ReleaseStep::Write(ExpectedVersion::Absent),
                ExpectedVersion::Version(_) => ReleaseStep::Done,
            };
        };
        let here = ExpectedVersion::Version(found.version);
        let own = found.row.claim_id == self.row.claim_id;
        if own && found.row.state == ClaimState::Claimed {
            return ReleaseStep::Write(here);
        }
        if !own && here == self.expected {
            // The claim may still replace this version: raise it.
            return ReleaseStep::Write(here);
        }
        ReleaseStep::Done
    }

    /// Takes the result of the write.
    pub fn handle_write(&self, written: WriteOutcome) -> ReleaseStep {
        match (written, self.version) {
            (WriteOutcome::Committed, _) | (WriteOutcome::Conflict(_), Some(_)) => {
                ReleaseStep::Done
            }
            (WriteOutcome::Conflict(found), None) => self.handle_read(found.as_ref()),
            (WriteOutcome::NoEffect | WriteOutcome::Unknown, _) => self.start(),
        }
    }
}
