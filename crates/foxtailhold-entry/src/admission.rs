//! Admission control for online requests: one queue per model on each instance, in front of the
//! backend servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::admission::{
    AdmissionQueue, Arrival, Capacity, ConcurrencyWindow, DequeueOutcome, EnqueueOutcome, WaiterId,
};
use foxtailhold::contract::Contract;
use foxtailhold::ids::{CustomerId, TargetName};
use foxtailhold::refusal::{Refusal, RefusalReason, Result};
use foxtailhold::replicas::{BackendKind, FleetState};
use foxtailhold::time::MonoMs;
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;

use crate::backends::BackendTable;
use foxtailhold_http::clock::Clock;

/// Delivers the slot to a waiting request; `None` means that the wait expired or that the request
/// was evicted.
type SlotSender = oneshot::Sender<Option<Slot>>;

#[derive(Debug)]
struct QueueState {
    queue: AdmissionQueue,
    window: ConcurrencyWindow,
    senders: HashMap<WaiterId, SlotSender>,
}

#[derive(Debug)]
struct ModelQueue {
    model: TargetName,
    clock: Clock,
    state: Mutex<QueueState>,
}

/// Admission queues of this instance, one for each model.
#[derive(Debug)]
pub struct Admission {
    clock: Clock,
    queues: RwLock<HashMap<TargetName, Arc<ModelQueue>>>,
}

/// The right to have one request in flight to a model. Dropping it admits the next waiting request.
#[derive(Debug)]
pub struct Slot {
    queue: Arc<ModelQueue>,
    acquired_at: MonoMs,
}

/// Removes a waiting request from its queue when the caller's future is dropped.
struct WaitGuard<'a> {
    queue: &'a ModelQueue,
    customer: &'a CustomerId,
    id: WaiterId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state.lock();
        state.senders.remove(&self.id);
        state.queue.cancel(self.customer, self.id);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.queue.clock.mono();
        self.queue.state.lock().queue.leave(self.acquired_at, now);
        self.queue.admit_waiting();
    }
}

impl ModelQueue {
    /// Admits or expires all requests that no longer have to wait. They are notified after the lock
    /// is released: a slot whose receiver is gone is dropped at once, and dropping a slot takes the
    /// same lock.
    fn admit_waiting(self: &Arc<Self>) {
        let now = self.clock.mono();
        let mut notifications = Vec::new();
        let mut state = self.state.lock();
        while let Some(released) = state.queue.next(now) {
            let (id, slot) = match released {
                DequeueOutcome::Expired(id) => (id, None),
                DequeueOutcome::Admitted(id) => (id, Some(self.slot(now))),
            };
            match state.senders.remove(&id) {
                Some(sender) => notifications.push((Some(sender), slot)),
                None => notifications.push((None, slot)),
            }
        }
        drop(state);
        for (sender, slot) in notifications {
            if let Some(sender) = sender {
                let _ = sender.send(slot);
            }
        }
    }

    fn slot(self: &Arc<Self>, acquired_at: MonoMs) -> Slot {
        Slot {
            queue: self.clone(),
            acquired_at,
        }
    }

    fn overloaded(&self, after_ms: u64) -> Refusal {
        let target = self.model.clone();
        Refusal::not_run(RefusalReason::Overloaded { target }).retry_after_ms(after_ms)
    }

    fn set_capacity(self: &Arc<Self>, capacity: &Capacity, instances: u32) {
        let now = self.clock.mono();
        let mut state = self.state.lock();
        let window = state.window.update(capacity, instances, now);
        let raised = window > state.queue.window();
        state.queue.set_window(window);
        drop(state);
        if raised {
            self.admit_waiting();
        }
    }
}

impl Admission {
    /// Starts without queues; a queue is created by the first request for its model.
    pub fn new(clock: Clock) -> Self {
        Admission {
            clock,
            queues: RwLock::default(),
        }
    }

    /// Acquires a slot for `model`, waiting in the customer's queue if none is free. Refuses with
    /// `Overloaded` when the queue is full or the wait expires, and with `DeadlinePassed` when the
    /// caller's deadline passes first.
    pub async fn acquire(
        &self,
        model: &TargetName,
        contract: &Contract,
        deadline: Option<MonoMs>,
    ) -> Result<Slot> {
        let queue = self.queue(model);
        let customer = &contract.customer;
        let now = self.clock.mono();
        let arrival = Arrival {
            customer,
            urgency: contract.urgency,
            deadline,
            draw: rand::random::<u32>().into(),
        };
        let (receiver, wait_ms, _guard) = {
            let mut state = queue.state.lock();
            match state.queue.enter(&arrival, now) {
                EnqueueOutcome::Admitted => return Ok(queue.slot(now)),
                EnqueueOutcome::Refused { after_ms } => return Err(queue.overloaded(after_ms)),
                EnqueueOutcome::Waiting {
                    id,
                    give_up_at,
                    evicted,
                } => {
                    let evicted = evicted.and_then(|evicted| state.senders.remove(&evicted));
                    if let Some(evicted) = evicted {
                        let _ = evicted.send(None);
                    }
                    let (sender, receiver) = oneshot::channel();
                    state.senders.insert(id, sender);
                    let queue = &queue;
                    let guard = WaitGuard {
                        queue,
                        customer,
                        id,
                    };
                    (receiver, give_up_at.since_ms(now), guard)
                }
            }
        };
        let wait = Duration::from_millis(wait_ms);
        match tokio::time::timeout(wait, receiver).await {
            Ok(Ok(Some(slot))) => Ok(slot),
            _ => Err(self.timeout_refusal(&queue, deadline, now)),
        }
    }

    /// Recomputes each model's concurrency window from the load reports of its backend servers.
    /// `instances` is the number of instances that share them.
    pub fn update(&self, backends: &BackendTable, instances: u32) {
        let queues = self.queues.read();
        let queues: Vec<Arc<ModelQueue>> = queues.values().cloned().collect();
        for queue in queues {
            queue.set_capacity(&capacity(backends, &queue.model), instances);
        }
    }

    /// Number of requests waiting in the queues of all models.
    pub fn waiting(&self) -> usize {
        let queues = self.queues.read();
        queues
            .values()
            .map(|queue| queue.state.lock().queue.waiting())
            .sum()
    }

    fn timeout_refusal(
        &self,
        queue: &ModelQueue,
        deadline: Option<MonoMs>,
        started_at: MonoMs,
    ) -> Refusal {
        let after_ms = queue
            .state
            .lock()
            .queue
            .retry_after_ms(rand::random::<u32>().into());
        match deadline {
            Some(deadline) if deadline <= self.clock.mono() => {
                let deadline_ms = deadline.since_ms(started_at);
                Refusal::not_run(RefusalReason::DeadlinePassed { deadline_ms })
                    .retry_after_ms(after_ms)
            }
            _ => queue.overloaded(after_ms),
        }
    }

    fn queue(&self, model: &TargetName) -> Arc<ModelQueue> {
        let queues = self.queues.read();
        if let Some(queue) = queues.get(model) {
            return queue.clone();
        }
        drop(queues);
        let mut queues = self.queues.write();
        let new = || {
            let window = ConcurrencyWindow::new();
            Arc::new(ModelQueue {
                model: model.clone(),
                clock: self.clock,
                state: Mutex::new(QueueState {
                    queue: AdmissionQueue::new(window.size()),
                    window,
                    senders: HashMap::new(),
                }),
            })
        };
        queues.entry(model.clone()).or_insert_with(new).clone()
    }
}

/// Sums the load reports of the model's live backend servers. A backend server that has not
/// reported yet is counted in `unreported`.
fn capacity(backends: &BackendTable, model: &TargetName) -> Capacity {
    let mut capacity = Capacity::default();
    for server in backends.serving(BackendKind::Engine, model) {
        if server.state() != FleetState::Live {
            continue;
        }
        let load = server.load();
        capacity.replicas += 1;
        capacity.unreported += u32::from(load.reported_at.is_none());
        capacity.slots += load.report.slots;
        capacity.waiting += load.report.waiting;
    }
    capacity
}
