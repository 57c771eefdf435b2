//! Releasing a claim whose request was not sent, so that a resend can run.

use crate::idempotency::{
    ClaimRow, ClaimState, ClaimedAt, Expected, Found, RELEASE_WITHIN_MS, Written,
};
use crate::time::{MonoMs, WallMs};

/// What a release does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Read the row, then [`Release::found`].
    Read,
    /// Write [`Release::row`], expecting this, then [`Release::written`].
    Write(Expected),
    /// Nothing is left to do.
    Done,
}

/// The release of one attempt's claim. It only ever replaces that claim, or the place where it
/// could still appear.
#[derive(Debug, Clone)]
pub struct Release {
    row: ClaimRow,
    claimed_at: ClaimedAt,
    /// The claim's version, where it is known to be in the table.
    version: Option<u64>,
    /// What the write of the claim expected.
    expected: Expected,
}

impl Release {
    /// Of a claim known to be in the table with `version`.
    pub(super) fn held(row: ClaimRow, claimed_at: ClaimedAt, version: u64) -> Self {
        Release {
            row,
            claimed_at,
            version: Some(version),
            expected: Expected::Version(version),
        }
    }

    /// Of a claim that may appear later, by a write that expected `expected`.
    pub(super) fn uncertain(row: ClaimRow, claimed_at: ClaimedAt, expected: Expected) -> Self {
        Release {
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
            Some(version) => ReleaseStep::Write(Expected::Version(version)),
            None => ReleaseStep::Read,
        }
    }

    /// Takes the row as it was found.
    pub fn found(&self, found: Option<&Found>) -> ReleaseStep {
        let Some(found) = found else {
            return match self.expected {
                Expected::Absent => ReleaseStep::Write(Expected::Absent),
                Expected::Version(_) => ReleaseStep::Done,
            };
        };
        let here = Expected::Version(found.version);
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
    pub fn written(&self, written: Written) -> ReleaseStep {
        match (written, self.version) {
            (Written::Committed, _) | (Written::Conflict(_), Some(_)) => ReleaseStep::Done,
            (Written::Conflict(found), None) => self.found(found.as_ref()),
            (Written::NoEffect | Written::Unknown, _) => self.start(),
        }
    }
}
