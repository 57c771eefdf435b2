//! How many requests one instance may have in flight towards a model.

use crate::time::MonoMs;

/// Requests above the slots that keep an engine busy between two of its steps, one in this many.
const RESERVE_DIVISOR: u32 = 4;
/// Slots of a replica that has not reported yet.
const UNREPORTED_SLOTS: u32 = 16;
/// The window is lowered at most this often: reports take this long to show the last change.
const LOWER_PERIOD_MS: u64 = 1_000;
/// The window is lowered to this part of itself, in percent.
const LOWER_PERCENT: u32 = 70;

/// What the live replicas of a model report, added up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Replicas that take new work.
    pub replicas: u32,
    /// Those of them without a report.
    pub unreported: u32,
    /// Slots of the others.
    pub slots: u32,
    /// Requests that wait in the engines.
    pub waiting: u32,
}

impl Capacity {
    /// Requests that the replicas hold with the reserve.
    fn total(&self) -> u32 {
        let slots = self.slots + self.unreported * UNREPORTED_SLOTS;
        slots + slots.div_ceil(RESERVE_DIVISOR)
    }
}

/// The window: all that the replicas hold, as long as little waits in the engines; otherwise
/// lowered step by step, but never below this instance's part. Raised additively and lowered
/// multiplicatively, it comes to an even split (Chiu and Jain, 1989).
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyWindow {
    places: u32,
    lowered_at: Option<MonoMs>,
}

impl ConcurrencyWindow {
    /// A window before any report.
    pub fn new() -> Self {
        ConcurrencyWindow {
            places: u32::MAX,
            lowered_at: None,
        }
    }

    /// The window in force.
    pub fn size(&self) -> u32 {
        self.places
    }

    /// Takes reports in; `instances` share the replicas.
    pub fn update(&mut self, capacity: &Capacity, instances: u32, now: MonoMs) -> u32 {
        let total = capacity.total();
        if capacity.replicas == 0 {
            return self.places;
        }
        let least = total.div_ceil(instances.max(1)).max(1);
        let full = capacity.waiting > capacity.slots.div_ceil(RESERVE_DIVISOR);
        let lowered = self.lowered_at.map(|at| now.since_ms(at));
        let settled = lowered.is_none_or(|ms| ms >= LOWER_PERIOD_MS);
        let mut size = self.places.min(total);
        if full && settled {
            size = (u64::from(size) * u64::from(LOWER_PERCENT) / 100) as u32;
            self.lowered_at = Some(now);
        } else if !full {
            size += total.div_ceil(instances.max(1) * 4);
        }
        self.places = size.clamp(least, total.max(least));
        self.places
    }
}

impl Default for ConcurrencyWindow {
    fn default() -> Self {
        ConcurrencyWindow::new()
    }
}
