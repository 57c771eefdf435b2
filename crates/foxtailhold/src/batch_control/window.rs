//! Congestion window: the number of batch items that may be in flight at one backend server.
//!
//! The window is what remains of the slots after the online requests there and a headroom for those
//! to come. The online requests are the ones that instances announce, plus the excess of load
//! reports over all requests known at the time of the report. The window shrinks at once and grows
//! in small steps, like a sender's window under additive increase (Chiu and Jain, 1989); the
//! headroom doubles under pressure and shrinks slowly.

use std::collections::{BTreeMap, VecDeque};

use crate::batch_control::{NOTICE_VALID_MS, OnlineLoadNotice, is_queued};
use crate::ids::InstanceId;
use crate::replicas::LoadReport;
use crate::time::MonoMs;

/// Least time between two increases of the window.
pub const GROWTH_PERIOD_MS: u64 = 25;
/// After pressure the window does not grow for at least this long.
pub const PRESSURE_HOLD_MS: u64 = 200;
/// The headroom shrinks by one slot this often.
pub const HEADROOM_SHRINK_PERIOD_MS: u64 = 500;
/// Without a load report for this long the window is zero.
pub const REPORT_TTL_MS: u64 = 2_000;
/// The smallest excess over known requests within this time counts as online load. An excess in
/// only one report was a request in transit.
const EXCESS_WINDOW_MS: u64 = 300;
/// Uncertainty of when a report was made and when a request reached the backend server.
const UNCERTAINTY_MS: u64 = 50;
/// History kept to evaluate delayed reports.
const HISTORY_MS: u64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct OnlineCount {
    number: u64,
    in_flight: u32,
    at: MonoMs,
}

/// The congestion window of one backend server.
#[derive(Debug, Clone, Default)]
pub struct CongestionWindow {
    share_percent: u64,
    slots: u32,
    max_batch_items: u32,
    headroom: u32,
    batch: u32,
    online_counts: BTreeMap<InstanceId, OnlineCount>,
    /// Number of requests at the backend server that the controller knows of, batch and online,
    /// after each change.
    in_flight_history: VecDeque<(MonoMs, u32)>,
    /// Excess over the known requests in each load report, by the time it was made.
    excess: VecDeque<(MonoMs, u32)>,
    pressure_at: Option<MonoMs>,
    increased_at: MonoMs,
    headroom_reduced_at: MonoMs,
}

impl CongestionWindow {
    /// Creates a window of zero that may grow to `share_percent` of the slots.
    pub fn new(share_percent: u64) -> Self {
        CongestionWindow {
            share_percent,
            ..CongestionWindow::default()
        }
    }

    /// The window as of the last update.
    pub fn value(&self) -> u32 {
        self.max_batch_items
    }

    /// Slots of the backend server, zero before the first load report.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The least headroom: one slot in sixteen, at least one.
    pub fn least_headroom(slots: u32) -> u32 {
        (slots / 16).max(1)
    }

    /// Slots kept free for online requests to come.
    pub fn headroom(&self) -> u32 {
        self.headroom
    }

    /// Whether pressure occurred and has not cleared, so that the window does not grow.
    pub fn is_held(&self) -> bool {
        self.pressure_at.is_some()
    }

    /// Estimated number of online requests at the backend server.
    pub fn online(&self) -> u32 {
        let excess = self.excess.iter().map(|(_, count)| *count).min();
        excess.unwrap_or(0) + self.announced_online()
    }

    fn announced_online(&self) -> u32 {
        let counts = self.online_counts.values();
        counts.map(|count| count.in_flight).sum()
    }

    /// Sets the number of batch items in flight.
    pub fn batch_in_flight(&mut self, count: u32, now: MonoMs) {
        self.batch = count;
        self.record_in_flight(now);
    }

    fn record_in_flight(&mut self, now: MonoMs) {
        let in_flight = self.batch + self.announced_online();
        if self
            .in_flight_history
            .back()
            .is_some_and(|(_, last)| *last == in_flight)
        {
            return;
        }
        self.in_flight_history.push_back((now, in_flight));
        while self
            .in_flight_history
            .get(1)
            .is_some_and(|(at, _)| now.since_ms(*at) > HISTORY_MS)
        {
            self.in_flight_history.pop_front();
        }
    }

    /// Adds `count` items that were in flight before this controller knew of them.
    pub fn adopt(&mut self, count: u32) {
        for (_, in_flight) in &mut self.in_flight_history {
            *in_flight += count;
        }
        for (_, excess) in &mut self.excess {
            *excess = excess.saturating_sub(count);
        }
        self.max_batch_items = (self.max_batch_items + count).min(self.available());
    }

    /// Applies a load report; one made before the last is ignored.
    pub fn apply_load_report(&mut self, report: &LoadReport, received_at: MonoMs) {
        let made_at = MonoMs(received_at.0.saturating_sub(report.age_ms));
        if self.excess.back().is_some_and(|(last, _)| made_at < *last) {
            return;
        }
        if self.slots == 0 {
            self.headroom = Self::least_headroom(report.slots);
        }
        self.slots = report.slots;
        let total = report.running + report.waiting;
        let excess = total.saturating_sub(self.max_in_flight(made_at));
        self.excess.push_back((made_at, excess));
        if is_queued(report) {
            self.record_pressure(received_at);
            return;
        }
        let cleared = |pressure_at| {
            made_at > pressure_at && received_at.since_ms(pressure_at) >= PRESSURE_HOLD_MS
        };
        if self.pressure_at.is_some_and(cleared) {
            self.pressure_at = None;
        }
    }

    /// Applies a notice of online load; one older than the last of its instance is ignored. More
    /// requests than slots count as pressure.
    pub fn apply_online_load(&mut self, notice: &OnlineLoadNotice, now: MonoMs) {
        if notice.pressed {
            self.record_pressure(now);
        }
        let last = self.online_counts.get(&notice.from);
        if last.is_some_and(|last| last.number >= notice.number) {
            return;
        }
        let count = OnlineCount {
            number: notice.number,
            in_flight: notice.in_flight,
            at: now,
        };
        self.online_counts.insert(notice.from.clone(), count);
        self.record_in_flight(now);
        if self.slots > 0 && self.batch > 0 && self.online() + self.batch > self.slots {
            self.record_pressure(now);
        }
    }

    /// Updates the window: it shrinks at once and grows by one step if nothing holds it.
    pub fn update(&mut self, now: MonoMs) {
        let valid = |count: &OnlineCount| now.since_ms(count.at) <= NOTICE_VALID_MS;
        self.online_counts.retain(|_, count| valid(count));
        self.record_in_flight(now);
        let Some((last, _)) = self.excess.back().copied() else {
            return;
        };
        self.shrink_headroom(now);
        self.excess
            .retain(|(at, _)| last.since_ms(*at) <= EXCESS_WINDOW_MS);
        if now.since_ms(last) > REPORT_TTL_MS {
            self.max_batch_items = 0;
            return;
        }
        let available = self.available();
        if available <= self.max_batch_items {
            self.max_batch_items = available;
            self.increased_at = now;
            return;
        }
        if self.is_held() || now.since_ms(self.increased_at) < GROWTH_PERIOD_MS {
            return;
        }
        self.increased_at = now;
        self.max_batch_items =
            available.min(self.max_batch_items + Self::least_headroom(self.slots));
    }

    fn available(&self) -> u32 {
        let share = u64::from(self.slots) * self.share_percent / 100;
        self.slots
            .saturating_sub(self.online())
            .saturating_sub(self.headroom)
            .min(share as u32)
    }

    fn record_pressure(&mut self, now: MonoMs) {
        let maximum = (self.slots / 4).max(1);
        if self.pressure_at.is_none() {
            self.headroom = (self.headroom * 2).clamp(1, maximum);
        }
        self.pressure_at = Some(now);
        self.headroom_reduced_at = now;
    }

    fn shrink_headroom(&mut self, now: MonoMs) {
        let least = Self::least_headroom(self.slots);
        if self.is_held() || now.since_ms(self.headroom_reduced_at) < HEADROOM_SHRINK_PERIOD_MS {
            return;
        }
        self.headroom_reduced_at = now;
        self.headroom = self.headroom.saturating_sub(1).max(least);
    }

    /// The largest number of known requests that can have been at the backend server at `at`. A
    /// cancelled request stays until the engine's next step, and a started one is there before the
    /// controller hears of it.
    fn max_in_flight(&self, at: MonoMs) -> u32 {
        let from = MonoMs(at.0.saturating_sub(UNCERTAINTY_MS));
        let mut before = 0;
        let mut maximum = 0;
        for (changed_at, count) in &self.in_flight_history {
            if *changed_at <= from {
                before = *count;
                continue;
            }
            if *changed_at > at + UNCERTAINTY_MS {
                break;
            }
            maximum = maximum.max(*count);
        }
        maximum.max(before)
    }
}
