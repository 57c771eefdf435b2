//! Admission of online requests in front of the engines, on this instance.

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

/// A request that waits hears by this.
type Wake = oneshot::Sender<Option<Slot>>;

#[derive(Debug)]
struct QueueState {
    queue: AdmissionQueue,
    window: ConcurrencyWindow,
    wakes: HashMap<WaiterId, Wake>,
}

#[derive(Debug)]
struct ModelQueue {
    model: TargetName,
    clock: Clock,
    state: Mutex<QueueState>,
}

/// The queues of all models.
#[derive(Debug)]
pub struct Admission {
    clock: Clock,
    queues: RwLock<HashMap<TargetName, Arc<ModelQueue>>>,
}

/// A place in flight towards a model; dropping it lets the next request go.
#[derive(Debug)]
pub struct Slot {
    queue: Arc<ModelQueue>,
    since: MonoMs,
}

/// Removes a request that waits when its caller is gone.
struct WaitGuard<'a> {
    queue: &'a ModelQueue,
    customer: &'a CustomerId,
    id: WaiterId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state.lock();
        state.wakes.remove(&self.id);
        state.queue.cancel(self.customer, self.id);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.queue.clock.mono();
        self.queue.state.lock().queue.leave(self.since, now);
        self.queue.pump();
    }
}

impl ModelQueue {
    /// Lets all go that need not wait any longer. They are told without the lock, as a place whose
    /// request is gone comes back at once.
    fn pump(self: &Arc<Self>) {
        let now = self.clock.mono();
        let mut told = Vec::new();
        let mut state = self.state.lock();
        while let Some(released) = state.queue.next(now) {
            let (id, slot) = match released {
                DequeueOutcome::Expired(id) => (id, None),
                DequeueOutcome::Admitted(id) => (id, Some(self.slot(now))),
            };
            match state.wakes.remove(&id) {
                Some(wake) => told.push((Some(wake), slot)),
                None => told.push((None, slot)),
            }
        }
        drop(state);
        for (wake, slot) in told {
            if let Some(wake) = wake {
                let _ = wake.send(slot);
            }
        }
    }

    fn slot(self: &Arc<Self>, since: MonoMs) -> Slot {
        Slot {
            queue: self.clone(),
            since,
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
            self.pump();
        }
    }
}

impl Admission {
    /// No queues yet.
    pub fn new(clock: Clock) -> Self {
        Admission {
            clock,
            queues: RwLock::default(),
        }
    }

    /// Takes a place towards `model`, waiting in the customer's queue where there is none.
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
        let (woken, wait_ms, _guard) = {
            let mut state = queue.state.lock();
            match state.queue.enter(&arrival, now) {
                EnqueueOutcome::Admitted => return Ok(queue.slot(now)),
                EnqueueOutcome::Refused { after_ms } => return Err(queue.overloaded(after_ms)),
                EnqueueOutcome::Waiting {
                    id,
                    give_up_at,
                    evicted,
                } => {
                    let evicted = evicted.and_then(|evicted| state.wakes.remove(&evicted));
                    if let Some(evicted) = evicted {
                        let _ = evicted.send(None);
                    }
                    let (wake, woken) = oneshot::channel();
                    state.wakes.insert(id, wake);
                    let queue = &queue;
                    let guard = WaitGuard {
                        queue,
                        customer,
                        id,
                    };
                    (woken, give_up_at.since_ms(now), guard)
                }
            }
        };
        let wait = Duration::from_millis(wait_ms);
        match tokio::time::timeout(wait, woken).await {
            Ok(Ok(Some(slot))) => Ok(slot),
            _ => Err(self.gave_up(&queue, deadline, now)),
        }
    }

    /// Sets the windows to what the replicas report.
    pub fn update(&self, backends: &BackendTable, instances: u32) {
        let queues = self.queues.read();
        let queues: Vec<Arc<ModelQueue>> = queues.values().cloned().collect();
        for queue in queues {
            queue.set_capacity(&capacity(backends, &queue.model), instances);
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        let queues = self.queues.read();
        queues
            .values()
            .map(|queue| queue.state.lock().queue.waiting())
            .sum()
    }

    fn gave_up(&self, queue: &ModelQueue, deadline: Option<MonoMs>, since: MonoMs) -> Refusal {
        let after_ms = queue
            .state
            .lock()
            .queue
            .retry_after_ms(rand::random::<u32>().into());
        match deadline {
            Some(deadline) if deadline <= self.clock.mono() => {
                let deadline_ms = deadline.since_ms(since);
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
                    wakes: HashMap::new(),
                }),
            })
        };
        queues.entry(model.clone()).or_insert_with(new).clone()
    }
}

/// What the replicas that take new work report.
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
