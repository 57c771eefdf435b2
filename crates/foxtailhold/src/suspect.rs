//! What an instance does with a request that it suspects, as the home of trials answers.

use crate::ids::BackendId;
use crate::quarantine::{ProbeResponse, WAIT_MS};
use crate::time::MonoMs;

/// The home's word that nothing is held against a suspect counts once it has stood for this time, in which
/// notices are offered again and again. Until then the home may not have heard of the crash, and after it
/// the notice that the suspect was cleared has been lost.
pub const CLEAR_STANDS_MS: u64 = 2_000;

/// What to do with a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectAction {
    /// Send it to this backend server, as its trial.
    Probe {
        /// Where.
        backend: BackendId,
        /// Whether the trial lasts until the request's end, not only until its first event.
        strict: bool,
        /// How long to wait before it is sent.
        quiet_ms: u64,
    },
    /// Send it like any other request.
    Send,
    /// Refuse it.
    Refuse {
        /// How long its conviction lasts.
        left_ms: u64,
    },
    /// Look at its standing again after this time, and ask again.
    Retry {
        /// When.
        after_ms: u64,
    },
}

/// The answers of the home to one suspect.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbeNegotiation {
    clear_since: Option<MonoMs>,
}

impl ProbeNegotiation {
    /// Takes an answer of the home.
    pub fn answered(&mut self, answer: ProbeResponse, now: MonoMs) -> SuspectAction {
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
                match now.since_ms(since) >= CLEAR_STANDS_MS {
                    true => SuspectAction::Send,
                    false => SuspectAction::Retry { after_ms: WAIT_MS },
                }
            }
        }
    }
}
