//! Policies that decide which engine gets which request, and when.

mod allocator;
mod independent;

pub use allocator::AllocatorPlacement;
pub use independent::{
    IndependentPlacement, LoadKnowledge, OwnRequests, ReportedLoads, SharedCounts,
};

use crate::arrivals::RequestKind;
use crate::sheet::Sheet;

/// A request that waits at an instance for a place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingRequest {
    /// Number of the request.
    pub request: usize,
    /// The instance that it waits at.
    pub instance: usize,
    /// Who waits.
    pub kind: RequestKind,
    /// Online: its first event is due then. Batch: it must run from then on at the latest.
    pub due_us: u64,
    /// An engine that had no room for it.
    pub avoid: Option<usize>,
}

/// How a request's use of an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its answer is whole.
    Done,
    /// The engine had no room.
    Full,
    /// It was cut to give way.
    Preempted,
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
    Preempt {
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
    Message {
        /// When.
        at_us: u64,
        /// What it says.
        message: N,
    },
}

/// Where and how big all is.
#[derive(Debug, Clone, PartialEq)]
pub struct Topology {
    /// Places of each engine.
    pub slots: usize,
    /// Availability zone of each engine.
    pub engines: Vec<usize>,
    /// Availability zone of each instance.
    pub instances: Vec<usize>,
    /// One-way time of messages from instance to instance, in microseconds.
    pub latency_us: Vec<Vec<u64>>,
}

impl From<&Sheet> for Topology {
    fn from(sheet: &Sheet) -> Self {
        let instances = sheet.instances();
        let latencies = |a| instances.iter().map(|b| sheet.latency_us(a, *b)).collect();
        Topology {
            slots: sheet.engine.slots,
            engines: sheet.engines().iter().map(|engine| engine.zone).collect(),
            latency_us: instances.iter().map(|a| latencies(*a)).collect(),
            instances: instances.iter().map(|instance| instance.zone).collect(),
        }
    }
}

/// A policy.
pub trait Placement {
    /// Messages between its parts.
    type Message: Copy;

    /// A request waits for a place, at first or again.
    fn enqueue(
        &mut self,
        now_us: u64,
        pending: PendingRequest,
        actions: &mut Vec<Action<Self::Message>>,
    );

    /// A request has unplaced its engine, or waits no longer. `load` is what the engine told with it.
    fn on_attempt_end(
        &mut self,
        now_us: u64,
        request: usize,
        end: AttemptEnd,
        load: Option<u32>,
        actions: &mut Vec<Action<Self::Message>>,
    );

    /// The first event of a request came, with the load that the engine told.
    fn on_load_report(&mut self, now_us: u64, request: usize, load: u32);

    /// A message of its own has arrived.
    fn on_message(
        &mut self,
        now_us: u64,
        message: Self::Message,
        actions: &mut Vec<Action<Self::Message>>,
    );

    /// Time has passed: once in [`crate::world::TICK_US`].
    fn tick(&mut self, now_us: u64, actions: &mut Vec<Action<Self::Message>>);

    /// All instances are lost and begin anew: whatever was known is forgotten.
    fn restart(&mut self, now_us: u64);
}
