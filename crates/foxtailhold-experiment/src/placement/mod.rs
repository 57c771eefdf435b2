//! Policies that decide which engine gets which request, and when.

mod allocator;
mod independent;

pub use allocator::Central;
pub use independent::{Alone, Each, InAnswers, Knowledge, Shared};

use crate::arrivals::Kind;
use crate::sheet::Sheet;

/// A request that waits at an instance for a place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Number of the request.
    pub request: usize,
    /// The instance that it waits at.
    pub instance: usize,
    /// Who waits.
    pub kind: Kind,
    /// Online: its first event is due then. Batch: it must run from then on at the latest.
    pub due_us: u64,
    /// An engine that had no room for it.
    pub avoid: Option<usize>,
}

/// How a request's use of an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Its answer is whole.
    Done,
    /// The engine had no room.
    Full,
    /// It was cut to give way.
    Cut,
    /// Its caller has given up, or its instance was lost.
    GivenUp,
}

/// What a policy wants to happen. All of it happens at the time given, or at once where that has
/// passed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action<N> {
    /// The request is sent by its instance at this time.
    Send {
        /// When.
        at_us: u64,
        /// Which.
        request: usize,
        /// Where to.
        engine: usize,
    },
    /// A batch item is cut by its instance, and offered anew.
    Cut {
        /// When.
        at_us: u64,
        /// Which.
        request: usize,
    },
    /// The request is refused.
    Refuse {
        /// When.
        at_us: u64,
        /// Which.
        request: usize,
        /// The caller should come back after this time.
        retry_after_ms: u64,
    },
    /// The policy's own message arrives.
    Note {
        /// When.
        at_us: u64,
        /// What it says.
        note: N,
    },
}

/// Where and how big all is.
#[derive(Debug, Clone, PartialEq)]
pub struct Layout {
    /// Places of each engine.
    pub slots: usize,
    /// Availability zone of each engine.
    pub engines: Vec<usize>,
    /// Availability zone of each instance.
    pub instances: Vec<usize>,
    /// One-way time of messages from instance to instance, in microseconds.
    pub flight_us: Vec<Vec<u64>>,
}

impl From<&Sheet> for Layout {
    fn from(sheet: &Sheet) -> Self {
        let instances = sheet.instances();
        let flight = |a| instances.iter().map(|b| sheet.flight_us(a, *b)).collect();
        Layout {
            slots: sheet.engine.slots,
            engines: sheet.engines().iter().map(|engine| engine.zone).collect(),
            flight_us: instances.iter().map(|a| flight(*a)).collect(),
            instances: instances.iter().map(|instance| instance.zone).collect(),
        }
    }
}

/// A policy.
pub trait Placement {
    /// Messages between its parts.
    type Note: Copy;

    /// A request waits for a place, at first or again.
    fn offer(&mut self, now_us: u64, offer: Offer, actions: &mut Vec<Action<Self::Note>>);

    /// A request has left its engine, or waits no longer. `load` is what the engine told with it.
    fn ended(
        &mut self,
        now_us: u64,
        request: usize,
        end: End,
        load: Option<u32>,
        actions: &mut Vec<Action<Self::Note>>,
    );

    /// The first event of a request came, with the load that the engine told.
    fn told(&mut self, now_us: u64, request: usize, load: u32);

    /// A message of its own has arrived.
    fn noted(&mut self, now_us: u64, note: Self::Note, actions: &mut Vec<Action<Self::Note>>);

    /// Time has passed: once in [`crate::world::TICK_US`].
    fn tick(&mut self, now_us: u64, actions: &mut Vec<Action<Self::Note>>);

    /// All instances are lost and begin anew: whatever was known is forgotten.
    fn restart(&mut self, now_us: u64);
}
