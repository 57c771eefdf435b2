//! Whether a request may run, given the crash evidence against it.

/// Crashes after which a request is refused. An innocent request on the same backend servers must
/// be hit three times in a row before it has run, which is rare, and each further crash costs a
/// backend server.
pub const MAX_CRASHES: usize = 3;

/// Status of a request, given its crash evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashStatus {
    /// The request may run.
    Allowed,
    /// The refusal is over. The request may run once, alone, as a probe that shows whether it is
    /// innocent.
    ProbeAllowed {
        /// Time in ms since the end of the refusal.
        for_ms: u64,
    },
    /// The request is refused.
    Refused {
        /// Remaining duration of the refusal in ms.
        left_ms: u64,
    },
}

impl CrashStatus {
    /// The status of a request that this one and `other` hold for: it runs only where both allow it.
    pub fn and(self, other: CrashStatus) -> CrashStatus {
        match (self, other) {
            (CrashStatus::Refused { left_ms }, CrashStatus::Refused { left_ms: other_ms }) => {
                CrashStatus::Refused {
                    left_ms: left_ms.max(other_ms),
                }
            }
            (refused @ CrashStatus::Refused { .. }, _)
            | (_, refused @ CrashStatus::Refused { .. }) => refused,
            (
                CrashStatus::ProbeAllowed { for_ms },
                CrashStatus::ProbeAllowed { for_ms: other_ms },
            ) => CrashStatus::ProbeAllowed {
                for_ms: for_ms.min(other_ms),
            },
            (probe @ CrashStatus::ProbeAllowed { .. }, _)
            | (_, probe @ CrashStatus::ProbeAllowed { .. }) => probe,
            (CrashStatus::Allowed, CrashStatus::Allowed) => CrashStatus::Allowed,
        }
    }
}
