//! Measures by how much timers fire late, which shows a process that does not get to run, and what
//! work it did meanwhile.

use std::time::Duration;

use tokio::time::Instant;

use crate::metrics::RelayMetrics;
use crate::peers::Peers;

/// Interval of the measured timer.
const INTERVAL_MS: u64 = 1_000;
/// A delay of this length is logged.
const LOGGED_DELAY_MS: u64 = 300;

/// Measures the delay of a timer, and logs long waits of batch items, until the task is aborted.
pub(crate) async fn watch_timers(metrics: RelayMetrics, peers: Peers) {
    loop {
        let due = Instant::now() + Duration::from_millis(INTERVAL_MS);
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        metrics.timer_delayed(delay);
        metrics.item_waits().log_long_waits();
        let (work, datagrams) = (metrics.work().take(), peers.take_datagrams());
        let delay_ms = delay.as_millis() as u64;
        if delay_ms >= LOGGED_DELAY_MS {
            log::warn!(
                delay_ms = delay_ms, owner_checks_ms = work.owner_checks_us / 1_000,
                jobs_checked = work.jobs_checked, peer_store_calls = work.peer_store_calls,
                datagrams = datagrams;
                "timer fired late, the process did not get to run"
            );
        }
    }
}
