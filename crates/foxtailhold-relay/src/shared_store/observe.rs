//! Measures how long each store call waited, and on which path.

use foxtailhold_platform::PlatformError;
use tokio::time::Instant;

use super::message::StoreCall;
use crate::metrics::RelayMetrics;
use crate::store_access::StoreAccess;

/// A call that took this long, beyond the wait that it requested, is logged.
const SLOW_CALL_MS: u64 = 300;

/// Outcome of a call that was dropped because another one answered first.
const ABANDONED: &str = "abandoned";

/// A store call under way. Its wait is recorded when it ends or is dropped.
pub(super) struct CallTimer<'a> {
    metrics: &'a RelayMetrics,
    call: &'a StoreCall,
    access: StoreAccess,
    started: Instant,
    outcome: &'static str,
}

impl<'a> CallTimer<'a> {
    pub(super) fn start(
        metrics: &'a RelayMetrics,
        call: &'a StoreCall,
        access: StoreAccess,
    ) -> Self {
        CallTimer {
            metrics,
            call,
            access,
            started: Instant::now(),
            outcome: ABANDONED,
        }
    }

    /// Ends the measurement with the outcome of the call.
    pub(super) fn close<T>(mut self, result: &Result<T, PlatformError>) {
        self.outcome = match result {
            Ok(_) => "answered",
            Err(PlatformError::Unavailable { .. }) => "unavailable",
            Err(PlatformError::Rejected { .. }) => "rejected",
            Err(_) => "no_answer",
        };
    }
}

impl Drop for CallTimer<'_> {
    fn drop(&mut self) {
        let (call, outcome) = (self.call.name(), self.outcome);
        let waited = self.started.elapsed();
        self.metrics
            .store_call_waited(call, self.access.as_str(), outcome, waited);
        let waited_ms = waited.as_millis() as u64;
        if waited_ms < SLOW_CALL_MS + self.call.wait_ms() {
            return;
        }
        log::warn!(
            call = call, table = self.call.table(), access:% = self.access, outcome = outcome,
            waited_ms = waited_ms; "slow store call"
        );
    }
}
