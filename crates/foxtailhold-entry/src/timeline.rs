//! Recent events of this process, in a ring buffer and as JSON lines in the log.

use std::collections::VecDeque;
use std::sync::Arc;

use foxtailhold::ids::InstanceId;
use foxtailhold::timeline::{HlcTime, HybridClock, TimelineEntry, TimelineEvent};
use foxtailhold_operator::view::TimelineView;
use foxtailhold_peer::MessageClock;
use parking_lot::Mutex;

use foxtailhold_http::clock::Clock;

/// Capacity of the ring buffer, which `foxtail timeline` reads.
pub const EVENTS_KEPT: usize = 8_192;
/// Log target of events.
pub const TARGET: &str = "timeline";

/// The hybrid logical clock of one process.
#[derive(Debug, Clone)]
pub struct ProcessClock {
    wall: Clock,
    hybrid: Arc<Mutex<HybridClock>>,
}

impl ProcessClock {
    /// Starts a hybrid clock on top of the wall clock.
    pub fn new(wall: Clock) -> Self {
        let hybrid = Arc::default();
        ProcessClock { wall, hybrid }
    }

    /// Timestamp for a local event or a message that is sent.
    pub fn tick(&self) -> HlcTime {
        let wall = self.wall.wall();
        self.hybrid.lock().tick(wall)
    }
}

impl MessageClock for ProcessClock {
    fn stamp(&self) -> Option<HlcTime> {
        Some(self.tick())
    }

    fn receive(&self, at: HlcTime) {
        let wall = self.wall.wall();
        self.hybrid.lock().receive(at, wall);
    }
}

#[derive(Debug, Default)]
struct Ring {
    entries: VecDeque<TimelineEntry>,
    dropped: u64,
}

/// The time line of one process.
#[derive(Debug)]
pub struct Timeline {
    instance: InstanceId,
    clock: ProcessClock,
    ring: Mutex<Ring>,
}

impl Timeline {
    /// Starts with an empty buffer.
    pub fn new(instance: InstanceId, wall: Clock) -> Self {
        Timeline {
            instance,
            clock: ProcessClock::new(wall),
            ring: Mutex::default(),
        }
    }

    /// Records an event, and logs it at debug level.
    pub fn note(&self, event: TimelineEvent) {
        let mut ring = self.ring.lock();
        let entry = TimelineEntry {
            at: self.clock.tick(),
            instance: self.instance.clone(),
            event,
        };
        if log::log_enabled!(target: TARGET, log::Level::Debug)
            && let Ok(line) = serde_json::to_string(&entry)
        {
            log::debug!(target: TARGET, "{line}");
        }
        if ring.entries.len() >= EVENTS_KEPT {
            ring.entries.pop_front();
            ring.dropped += 1;
        }
        ring.entries.push_back(entry);
    }

    /// Clock of the events, which also stamps messages to and from peers.
    pub fn clock(&self) -> &ProcessClock {
        &self.clock
    }

    /// Number of events dropped because the buffer was full.
    pub fn dropped(&self) -> u64 {
        self.ring.lock().dropped
    }

    /// The events in the buffer.
    pub fn view(&self) -> TimelineView {
        let ring = self.ring.lock();
        TimelineView {
            entries: ring.entries.iter().cloned().collect(),
            dropped: ring.dropped,
        }
    }
}
