//! Responses of backend servers after what was taken for their crash. A connection may also be reset
//! on the way. A start that goes on responding has not crashed, once it is known that no newer start
//! of it has responded in its place.

use std::collections::HashMap;

use foxtailhold::ids::BackendId;
use foxtailhold::quarantine::CrashId;
use foxtailhold::time::MonoMs;

use crate::fleet::{BackendFate, BackendServer};

/// Time after a response within which the entry of a newer start is read, if the store answers.
const ENTRY_DELAY_MS: u64 = 3_000;
/// Limit of the starts that are remembered.
const MAX_STARTS: usize = 512;

#[derive(Debug, Clone)]
struct LifeSign {
    identity: BackendId,
    at: MonoMs,
}

/// The first response of each start after what was taken for its crash.
#[derive(Debug, Clone, Default)]
pub struct LifeSigns(HashMap<CrashId, LifeSign>);

impl LifeSigns {
    /// Records a response. A start that does not state when it began is the same after a restart, so
    /// its response shows nothing.
    pub fn record(&mut self, backend: &BackendServer, now: MonoMs) {
        if backend.started_unix_ms == 0 || self.0.len() >= MAX_STARTS {
            return;
        }
        self.0.entry(backend.crash_id()).or_insert(LifeSign {
            identity: backend.identity.clone(),
            at: now,
        });
    }

    /// Forgets a start under which more requests were lost: its response came before that.
    pub fn forget(&mut self, start: &CrashId) {
        self.0.remove(start);
    }

    /// Removes and returns the starts that have lived on. `fate` says what became of a start, and
    /// `healthy_since` since when the store has answered.
    pub fn take_proved(
        &mut self,
        now: MonoMs,
        healthy_since: Option<MonoMs>,
        fate: impl Fn(&BackendId, &CrashId) -> BackendFate,
    ) -> Vec<CrashId> {
        let mut proved = Vec::new();
        self.0.retain(|start, sign| {
            if fate(&sign.identity, start) != BackendFate::Unchanged {
                return false;
            }
            // Entries of newer starts may be unread while the store does not answer.
            let Some(healthy_since) = healthy_since else {
                return true;
            };
            let is_proved = now.since_ms(sign.at.max(healthy_since)) >= ENTRY_DELAY_MS;
            if is_proved {
                proved.push(start.clone());
            }
            !is_proved
        });
        proved
    }
}
