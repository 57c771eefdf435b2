//! How attempts and streams ended, for metrics and log lines.

use crate::upstream::AttemptFailure;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response was complete.
    Done,
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
    /// The batch item was preempted.
    Preempted,
    /// Another attempt of the stream or request went on first.
    Superseded,
    /// The batch item can never be completed.
    Impossible,
    /// There was no response that could be passed on.
    Failed(AttemptFailure),
}

impl AttemptOutcome {
    /// Value of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Done => "done",
            AttemptOutcome::CallerGone => "caller_gone",
            AttemptOutcome::DeadlinePassed => "time_over",
            AttemptOutcome::Preempted => "cut",
            AttemptOutcome::Superseded => "superseded",
            AttemptOutcome::Impossible => "impossible",
            AttemptOutcome::Failed(failure) => failure.as_str(),
        }
    }
}

/// Why a stream ended before its last event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutReason {
    /// Its deadline passed.
    DeadlinePassed,
    /// Its attempts failed and the route allows no further one.
    NoAttempt,
    /// Its attempts failed and no slot was granted for another one.
    NoSlot,
    /// Its attempts failed and its request crashes backend servers.
    Crashing,
    /// Its attempts failed and no backend server has the software version that began it.
    VersionGone,
}

impl CutReason {
    /// Name in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            CutReason::DeadlinePassed => "time_over",
            CutReason::NoAttempt => "no_attempt",
            CutReason::NoSlot => "no_place",
            CutReason::Crashing => "crashing",
            CutReason::VersionGone => "version_gone",
        }
    }
}
