//! Measures by how much timers fire late, which shows a process that does not get to run.

use std::time::Duration;

use tokio::time::Instant;

use crate::metrics::RelayMetrics;

/// Interval of the measured timer.
const INTERVAL_MS: u64 = 1_000;
/// A delay of this length is logged.
const LOGGED_DELAY_MS: u64 = 300;

/// Measures the delay of a timer, and logs long waits of batch items, until the task is aborted.
pub(crate) async fn watch_timers(metrics: RelayMetrics) {
    loop {
        let due = Instant::now() + Duration::from_millis(INTERVAL_MS);
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed();
        metrics.timer_delayed(delay);
        metrics.item_waits().log_long_waits();
        let delay_ms = delay.as_millis() as u64;
        if delay_ms >= LOGGED_DELAY_MS {
            log::warn!(delay_ms = delay_ms; "timer fired late, the process did not get to run");
        }
    }
}
