//! Placement policies: which engine gets which request, and when.

mod allocator;
mod independent;

pub use allocator::AllocatorPlacement;
pub use independent::{
    IndependentPlacement, LoadKnowledge, OwnRequests, ReportedLoads, SharedCounts,
};

use crate::arrivals::RequestKind;
use crate::sheet::Sheet;

/// A request that waits at an instance for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingRequest {
    /// Index of the request.
    pub request: usize,
    /// Index of the instance at which it waits.
    pub instance: usize,
    /// Whether it is online or a batch item.
    pub kind: RequestKind,
    /// In microseconds since the start of the run. Online: deadline of the first event. Batch:
    /// latest time at which the item must start.
    pub due_us: u64,
    /// An engine that has just rejected the request because its queue was full.
    pub avoid: Option<usize>,
}

/// How an attempt at an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete.
    Done,
    /// The engine rejected the request because its queue was full.
    Full,
    /// The batch item was preempted for online requests.
    Preempted,
    /// The caller gave up or was refused.
    GivenUp,
}

/// An action that a policy requests. It takes effect at its `at_us`, or at once if that has passed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action<N> {
    /// The request's instance sends it to an engine.
    Send {
        /// Time of the action in microseconds.
        at_us: u64,
        /// Index of the request.
        request: usize,
        /// Index of the engine.
        engine: usize,
    },
    /// The instance of a batch item cancels it at its engine and enqueues it again.
    Preempt {
        /// Time of the action in microseconds.
        at_us: u64,
        /// Index of the request.
        request: usize,
    },
    /// The request is refused.
    Refuse {
        /// Time of the action in microseconds.
        at_us: u64,
        /// Index of the request.
        request: usize,
        /// Time after which the caller is told to retry.
        retry_after_ms: u64,
    },
    /// A message between parts of the policy arrives.
    Message {
        /// Time of arrival in microseconds.
        at_us: u64,
        /// Content of the message.
        message: N,
    },
}

/// Sizes and availability zones of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Topology {
    /// Number of slots of each engine.
    pub slots: usize,
    /// Index of the availability zone of each engine.
    pub engines: Vec<usize>,
    /// Index of the availability zone of each instance.
    pub instances: Vec<usize>,
    /// One-way message latency from instance to instance, in microseconds.
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

/// A placement policy, driven by the simulation.
pub trait Placement {
    /// Messages between the parts of the policy.
    type Message: Copy;

    /// A request begins to wait for a slot, for the first time or again.
    fn enqueue(
        &mut self,
        now_us: u64,
        pending: PendingRequest,
        actions: &mut Vec<Action<Self::Message>>,
    );

    /// A request has left its engine or has stopped waiting. `load` is the load that the engine
    /// reported with it, if any.
    fn on_attempt_end(
        &mut self,
        now_us: u64,
        request: usize,
        end: AttemptEnd,
        load: Option<u32>,
        actions: &mut Vec<Action<Self::Message>>,
    );

    /// The first event of a request arrived, with the load that the engine reported.
    fn on_load_report(&mut self, now_us: u64, request: usize, load: u32);

    /// A message of the policy has arrived.
    fn on_message(
        &mut self,
        now_us: u64,
        message: Self::Message,
        actions: &mut Vec<Action<Self::Message>>,
    );

    /// Called every [`crate::world::TICK_US`].
    fn tick(&mut self, now_us: u64, actions: &mut Vec<Action<Self::Message>>);

    /// All instances failed and start again: the policy loses its state.
    fn restart(&mut self, now_us: u64);
}
