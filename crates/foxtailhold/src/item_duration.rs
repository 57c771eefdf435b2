//! Estimates the remaining duration of batch items from those that have finished.

/// Initial estimate of the events of an item, used until items have finished.
const INITIAL_EVENTS: f64 = 200.0;
/// Initial estimate of the time between two events.
const INITIAL_EVENT_INTERVAL_MS: f64 = 20.0;
/// Assumed time to the first event of each attempt.
const TIME_TO_FIRST_EVENT_MS: f64 = 100.0;
/// Weight of the newest item in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Minimum remaining share of the mean number of events, for items that already exceed the mean.
const MIN_REMAINING_SHARE: f64 = 0.1;

/// Moving averages of the number of events and the time between them, over batch items.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ItemDurationEstimate {
    events: f64,
    event_interval_ms: f64,
}

impl Default for ItemDurationEstimate {
    fn default() -> Self {
        ItemDurationEstimate {
            events: INITIAL_EVENTS,
            event_interval_ms: INITIAL_EVENT_INTERVAL_MS,
        }
    }
}

impl ItemDurationEstimate {
    /// Records that an item finished with `events` events.
    pub fn record_finished(&mut self, events: u64) {
        self.events += NEWEST_WEIGHT * (events as f64 - self.events);
    }

    /// Records an attempt that received `events` events in `elapsed_ms`.
    pub fn record_attempt(&mut self, events: u64, elapsed_ms: u64) {
        if events == 0 {
            return;
        }
        let event_interval_ms =
            (elapsed_ms as f64 - TIME_TO_FIRST_EVENT_MS).max(0.0) / events as f64;
        self.event_interval_ms += NEWEST_WEIGHT * (event_interval_ms - self.event_interval_ms);
    }

    /// Estimated time until an item that has received `events` events finishes.
    pub fn remaining_ms(&self, events: u64) -> u64 {
        let remaining = (self.events - events as f64).max(self.events * MIN_REMAINING_SHARE);
        (TIME_TO_FIRST_EVENT_MS + remaining * self.event_interval_ms) as u64
    }
}
