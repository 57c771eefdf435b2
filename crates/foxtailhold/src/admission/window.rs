//! Number of requests that one instance may have in flight towards a model.

use crate::time::MonoMs;

/// Requests above the slots that keep an engine busy between two of its steps, as a divisor of the
/// slots.
const RESERVE_DIVISOR: u32 = 4;
/// Slots assumed for a backend server that has not reported yet.
const UNREPORTED_SLOTS: u32 = 16;
/// The window is lowered at most this often, since reports take this long to show the last change.
const LOWER_PERIOD_MS: u64 = 1_000;
/// The window is lowered to this percentage.
const LOWER_PERCENT: u32 = 70;

/// Sum of the load reports of a model's live backend servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Backend servers that accept new work.
    pub replicas: u32,
    /// Those backend servers that have no report yet.
    pub unreported: u32,
    /// Slots of the backend servers with a report.
    pub slots: u32,
    /// Requests that wait in the engines.
    pub waiting: u32,
}

impl Capacity {
    /// Requests that the backend servers hold, including the reserve.
    fn total(&self) -> u32 {
        let slots = self.slots + self.unreported * UNREPORTED_SLOTS;
        slots + slots.div_ceil(RESERVE_DIVISOR)
    }
}

/// Window on the requests in flight. It is as large as the capacity of the backend servers while
/// few requests wait in the engines. Otherwise it is lowered step by step, but never below this
/// instance's part. Since it grows additively and shrinks multiplicatively, the instances converge
/// to an even split (Chiu and Jain, 1989).
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyWindow {
    max_in_flight: u32,
    lowered_at: Option<MonoMs>,
}

impl ConcurrencyWindow {
    /// Creates a window without limit, used until the first load report.
    pub fn new() -> Self {
        ConcurrencyWindow {
            max_in_flight: u32::MAX,
            lowered_at: None,
        }
    }

    /// The current window.
    pub fn size(&self) -> u32 {
        self.max_in_flight
    }

    /// Applies load reports and returns the new window. `instances` is the number of instances that
    /// share the backend servers.
    pub fn update(&mut self, capacity: &Capacity, instances: u32, now: MonoMs) -> u32 {
        let total = capacity.total();
        if capacity.replicas == 0 {
            return self.max_in_flight;
        }
        let minimum = total.div_ceil(instances.max(1)).max(1);
        let is_saturated = capacity.waiting > capacity.slots.div_ceil(RESERVE_DIVISOR);
        let since_lowered_ms = self.lowered_at.map(|at| now.since_ms(at));
        let may_lower = since_lowered_ms.is_none_or(|ms| ms >= LOWER_PERIOD_MS);
        let mut size = self.max_in_flight.min(total);
        if is_saturated && may_lower {
            size = (u64::from(size) * u64::from(LOWER_PERCENT) / 100) as u32;
            self.lowered_at = Some(now);
        } else if !is_saturated {
            size += total.div_ceil(instances.max(1) * 4);
        }
        self.max_in_flight = size.clamp(minimum, total.max(minimum));
        self.max_in_flight
    }
}

impl Default for ConcurrencyWindow {
    fn default() -> Self {
        ConcurrencyWindow::new()
    }
}
