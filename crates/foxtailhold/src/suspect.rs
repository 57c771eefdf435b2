//! What an instance does with a suspect request, given the responses of the coordinator of probes.

use crate::ids::BackendId;
use crate::quarantine::{PROBE_RETRY_MS, ProbeResponse};
use crate::time::MonoMs;

/// A suspect is treated as cleared once the coordinator has reported it as clear for this time,
/// during which notices are sent again and again. Before that, the coordinator may not know
/// of the crash; after it, the notice that cleared the suspect must have been lost.
pub const CLEAR_CONFIRMATION_MS: u64 = 2_000;

/// Action to take on a suspect request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectAction {
    /// Send the request to this backend server as a probe.
    Probe {
        /// The backend server for the probe.
        backend: BackendId,
        /// Whether the probe lasts until the end of the request, not only until its first event.
        strict: bool,
        /// Time in ms to wait before the request is sent.
        quiet_ms: u64,
    },
    /// Send the request like any other.
    Send,
    /// Refuse the request.
    Refuse {
        /// Remaining duration of the conviction in ms.
        left_ms: u64,
    },
    /// Check the status of the request again and request the probe again.
    Retry {
        /// Time in ms after which to retry.
        after_ms: u64,
    },
}

/// The coordinator's responses for one suspect request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbeNegotiation {
    clear_since: Option<MonoMs>,
}

impl ProbeNegotiation {
    /// Handles a response of the coordinator and returns the action to take.
    pub fn handle_response(&mut self, answer: ProbeResponse, now: MonoMs) -> SuspectAction {
        if answer != ProbeResponse::Clear {
            self.clear_since = None;
        }
        match answer {
            ProbeResponse::Granted {
                backend,
                strict,
                quiet_ms,
            } => SuspectAction::Probe {
                backend,
                strict,
                quiet_ms,
            },
            ProbeResponse::Convicted { left_ms } => SuspectAction::Refuse { left_ms },
            ProbeResponse::Wait { after_ms } => SuspectAction::Retry { after_ms },
            ProbeResponse::Clear => {
                let since = *self.clear_since.get_or_insert(now);
                match now.since_ms(since) >= CLEAR_CONFIRMATION_MS {
                    true => SuspectAction::Send,
                    false => SuspectAction::Retry {
                        after_ms: PROBE_RETRY_MS,
                    },
                }
            }
        }
    }
}
