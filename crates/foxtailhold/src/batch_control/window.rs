//! The mark: batch items that may be in flight at one replica.
//!
//! The mark is what the slots leave after the online requests there and a headroom for those to
//! come. The online requests are those that instances tell of, and besides what a load report shows
//! above all that was known when it was made. It falls at once and rises in small steps, as a sender's window does under additive
//! increase (Chiu and Jain, 1989); the headroom doubles under pressure and shrinks slowly.

use std::collections::{BTreeMap, VecDeque};

use crate::batch_control::{NOTICE_VALID_MS, OnlineLoadNotice, is_queued};
use crate::ids::InstanceId;
use crate::replicas::LoadReport;
use crate::time::MonoMs;

/// Time between two rises of the mark.
pub const RISE_MS: u64 = 25;
/// After pressure no batch is added for at least this long.
pub const HOLD_MS: u64 = 200;
/// The headroom shrinks by one slot this often.
pub const HEADROOM_FALL_MS: u64 = 500;
/// Without a report for this long the mark is zero.
pub const STALE_MS: u64 = 2_000;
/// What all reports of this time show above the known requests counts as there now; what only one
/// shows was under way.
const UNKNOWN_WINDOW_MS: u64 = 300;
/// Uncertainty of when a report was made and when a request reached the replica.
const SLOP_MS: u64 = 50;
/// History kept for comparing late reports.
const HISTORY_MS: u64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct Noticed {
    number: u64,
    in_flight: u32,
    at: MonoMs,
}

/// The mark of one replica.
#[derive(Debug, Clone, Default)]
pub struct CongestionWindow {
    share_percent: u64,
    slots: u32,
    mark: u32,
    headroom: u32,
    batch: u32,
    noticed: BTreeMap<InstanceId, Noticed>,
    /// Known requests there, batch and online, after each change.
    known: VecDeque<(MonoMs, u32)>,
    /// Requests above the known ones by each report, by the time it was made.
    unknown: VecDeque<(MonoMs, u32)>,
    pressed_at: Option<MonoMs>,
    risen_at: MonoMs,
    headroom_fell_at: MonoMs,
}

impl CongestionWindow {
    /// A mark of zero that may rise to `share_percent` of the slots.
    pub fn new(share_percent: u64) -> Self {
        CongestionWindow {
            share_percent,
            ..CongestionWindow::default()
        }
    }

    /// The mark as last updated.
    pub fn value(&self) -> u32 {
        self.mark
    }

    /// Slots of the replica, zero before the first report.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The least headroom: one slot in sixteen.
    pub fn least_headroom(slots: u32) -> u32 {
        (slots / 16).max(1)
    }

    /// Slots kept free for online requests to come.
    pub fn headroom(&self) -> u32 {
        self.headroom
    }

    /// Whether pressure was noticed and has not cleared.
    pub fn is_held(&self) -> bool {
        self.pressed_at.is_some()
    }

    /// Online requests thought to be there.
    pub fn online(&self) -> u32 {
        let unknown = self.unknown.iter().map(|(_, count)| *count).min();
        unknown.unwrap_or(0) + self.noticed_online()
    }

    fn noticed_online(&self) -> u32 {
        let noticed = self.noticed.values();
        noticed.map(|noticed| noticed.in_flight).sum()
    }

    /// Notes how many batch items are in flight.
    pub fn batch_in_flight(&mut self, count: u32, now: MonoMs) {
        self.batch = count;
        self.note_known(now);
    }

    fn note_known(&mut self, now: MonoMs) {
        let known = self.batch + self.noticed_online();
        if self.known.back().is_some_and(|(_, last)| *last == known) {
            return;
        }
        self.known.push_back((now, known));
        while self
            .known
            .get(1)
            .is_some_and(|(at, _)| now.since_ms(*at) > HISTORY_MS)
        {
            self.known.pop_front();
        }
    }

    /// Takes over `count` items that were in flight before this steward knew of them.
    pub fn adopt(&mut self, count: u32) {
        for (_, known) in &mut self.known {
            *known += count;
        }
        for (_, unknown) in &mut self.unknown {
            *unknown = unknown.saturating_sub(count);
        }
        self.mark = (self.mark + count).min(self.room());
    }

    /// Takes a load report in; one made before the last is passed over.
    pub fn reported(&mut self, report: &LoadReport, received_at: MonoMs) {
        let made_at = MonoMs(received_at.0.saturating_sub(report.age_ms));
        if self.unknown.back().is_some_and(|(last, _)| made_at < *last) {
            return;
        }
        if self.slots == 0 {
            self.headroom = Self::least_headroom(report.slots);
        }
        self.slots = report.slots;
        let there = report.running + report.waiting;
        let unknown = there.saturating_sub(self.most_known(made_at));
        self.unknown.push_back((made_at, unknown));
        if is_queued(report) {
            self.press(received_at);
            return;
        }
        let cleared =
            |pressed_at| made_at > pressed_at && received_at.since_ms(pressed_at) >= HOLD_MS;
        if self.pressed_at.is_some_and(cleared) {
            self.pressed_at = None;
        }
    }

    /// Takes a notice of online work in; one older than the last of its instance is passed over.
    /// More than the slots can hold is pressure.
    pub fn noticed(&mut self, notice: &OnlineLoadNotice, now: MonoMs) {
        if notice.pressed {
            self.press(now);
        }
        let last = self.noticed.get(&notice.from);
        if last.is_some_and(|last| last.number >= notice.number) {
            return;
        }
        let noticed = Noticed {
            number: notice.number,
            in_flight: notice.in_flight,
            at: now,
        };
        self.noticed.insert(notice.from.clone(), noticed);
        self.note_known(now);
        if self.slots > 0 && self.batch > 0 && self.online() + self.batch > self.slots {
            self.press(now);
        }
    }

    /// Moves the mark: down at once, up by a step where nothing holds it.
    pub fn update(&mut self, now: MonoMs) {
        let valid = |noticed: &Noticed| now.since_ms(noticed.at) <= NOTICE_VALID_MS;
        self.noticed.retain(|_, noticed| valid(noticed));
        self.note_known(now);
        let Some((last, _)) = self.unknown.back().copied() else {
            return;
        };
        self.shrink_headroom(now);
        self.unknown
            .retain(|(at, _)| last.since_ms(*at) <= UNKNOWN_WINDOW_MS);
        if now.since_ms(last) > STALE_MS {
            self.mark = 0;
            return;
        }
        let room = self.room();
        if room <= self.mark {
            self.mark = room;
            self.risen_at = now;
            return;
        }
        if self.is_held() || now.since_ms(self.risen_at) < RISE_MS {
            return;
        }
        self.risen_at = now;
        self.mark = room.min(self.mark + Self::least_headroom(self.slots));
    }

    fn room(&self) -> u32 {
        let share = u64::from(self.slots) * self.share_percent / 100;
        self.slots
            .saturating_sub(self.online())
            .saturating_sub(self.headroom)
            .min(share as u32)
    }

    fn press(&mut self, now: MonoMs) {
        let most = (self.slots / 4).max(1);
        if self.pressed_at.is_none() {
            self.headroom = (self.headroom * 2).clamp(1, most);
        }
        self.pressed_at = Some(now);
        self.headroom_fell_at = now;
    }

    fn shrink_headroom(&mut self, now: MonoMs) {
        let least = Self::least_headroom(self.slots);
        if self.is_held() || now.since_ms(self.headroom_fell_at) < HEADROOM_FALL_MS {
            return;
        }
        self.headroom_fell_at = now;
        self.headroom = self.headroom.saturating_sub(1).max(least);
    }

    /// The most known requests that can have been there at `at`: a cancelled one stays until the
    /// engine's next step, a started one is there before the steward hears of it.
    fn most_known(&self, at: MonoMs) -> u32 {
        let from = MonoMs(at.0.saturating_sub(SLOP_MS));
        let mut before = 0;
        let mut most = 0;
        for (changed_at, count) in &self.known {
            if *changed_at <= from {
                before = *count;
                continue;
            }
            if *changed_at > at + SLOP_MS {
                break;
            }
            most = most.max(*count);
        }
        most.max(before)
    }
}
