//! How long batch items run, learnt from those that have finished.

/// First guess of the events of an item, until some have finished.
const FIRST_GUESS_EVENTS: f64 = 200.0;
/// First guess of the time between two events.
const FIRST_GUESS_EVENT_MS: f64 = 20.0;
/// Time to a first event, at each start and continuation.
const START_MS: f64 = 100.0;
/// Weight of the newest item in the running means.
const WEIGHT: f64 = 0.1;
/// An item that has outrun the mean is taken to need this share of it still.
const LEAST_LEFT_SHARE: f64 = 0.1;

/// Running means over batch items.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ItemDurationEstimate {
    events: f64,
    event_ms: f64,
}

impl Default for ItemDurationEstimate {
    fn default() -> Self {
        ItemDurationEstimate {
            events: FIRST_GUESS_EVENTS,
            event_ms: FIRST_GUESS_EVENT_MS,
        }
    }
}

impl ItemDurationEstimate {
    /// Notes that an item finished with so many events.
    pub fn record_finished(&mut self, events: u64) {
        self.events += WEIGHT * (events as f64 - self.events);
    }

    /// Notes a run of so many events.
    pub fn record_attempt(&mut self, events: u64, took_ms: u64) {
        if events == 0 {
            return;
        }
        let event_ms = (took_ms as f64 - START_MS).max(0.0) / events as f64;
        self.event_ms += WEIGHT * (event_ms - self.event_ms);
    }

    /// Time that an item with so many events still needs.
    pub fn remaining_ms(&self, events: u64) -> u64 {
        let left = (self.events - events as f64).max(self.events * LEAST_LEFT_SHARE);
        (START_MS + left * self.event_ms) as u64
    }
}
