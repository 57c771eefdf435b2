//! Fair queues of one model's customers.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::admission::{
    MAX_RETRY_AFTER_MS, MAX_WAIT_MS, MIN_RETRY_AFTER_MS, ServiceTime, WAITING_IN_ALL,
    WAITING_PER_CUSTOMER,
};
use crate::contract::Urgency;
use crate::ids::CustomerId;
use crate::time::MonoMs;

/// Virtual time that a request of weight 1 takes.
const STRIDE: u64 = 1 << 16;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// An arriving request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// The customer that sent it.
    pub customer: &'a CustomerId,
    /// Urgency by the customer's contract.
    pub urgency: Urgency,
    /// When its caller gives up; `None` if it did not say.
    pub deadline: Option<MonoMs>,
    /// A random number that spreads the retry times.
    pub draw: u64,
}

/// Outcome of an arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The window has room, and the request is in flight.
    Admitted,
    /// The request is queued.
    Waiting {
        /// Identifies the queued request.
        id: WaiterId,
        /// The request expires at this time.
        give_up_at: MonoMs,
        /// A request of the customer with the longest queue for its weight that was refused to make
        /// room.
        evicted: Option<WaiterId>,
    },
    /// The request is refused.
    Refused {
        /// Time in ms after which the caller should retry.
        after_ms: u64,
    },
}

/// Outcome of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DequeueOutcome {
    /// The request is in flight.
    Admitted(WaiterId),
    /// The request waited too long.
    Expired(WaiterId),
}

#[derive(Debug, Clone, Copy)]
struct Waiter {
    id: WaiterId,
    give_up_at: MonoMs,
}

#[derive(Debug, Clone)]
struct CustomerQueue {
    weight: u64,
    finish_tag: u64,
    waiters: VecDeque<Waiter>,
}

/// The queues of one model on one instance.
#[derive(Debug, Clone)]
pub struct AdmissionQueue {
    window: u32,
    in_flight: u32,
    customers: HashMap<CustomerId, CustomerQueue>,
    order: BTreeSet<(u64, CustomerId)>,
    waiting: usize,
    weights: u64,
    virtual_time: u64,
    service_time: ServiceTime,
    next_id: u64,
}

/// Weight of an urgency in fair queueing.
fn weight(urgency: Urgency) -> u64 {
    match urgency {
        Urgency::Low => 1,
        Urgency::Normal => 4,
        Urgency::High => 16,
    }
}

impl AdmissionQueue {
    /// Creates an empty queue with a window of `window` requests.
    pub fn new(window: u32) -> Self {
        AdmissionQueue {
            window,
            in_flight: 0,
            customers: HashMap::new(),
            order: BTreeSet::new(),
            waiting: 0,
            weights: 0,
            virtual_time: 0,
            service_time: ServiceTime::default(),
            next_id: 1,
        }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Largest number of requests in flight.
    pub fn window(&self) -> u32 {
        self.window
    }

    /// Sets the window; [`AdmissionQueue::next`] then returns the requests that may proceed.
    pub fn set_window(&mut self, window: u32) {
        self.window = window;
    }

    /// Admits, queues or refuses an arriving request.
    pub fn enter(&mut self, arrival: &Arrival<'_>, now: MonoMs) -> EnqueueOutcome {
        if self.waiting == 0 && self.in_flight < self.window {
            self.in_flight += 1;
            return EnqueueOutcome::Admitted;
        }
        let give_up_at = match arrival.deadline {
            Some(at) => MonoMs(at.0.saturating_sub(self.service_ms() as u64)),
            None => now + MAX_WAIT_MS,
        };
        let in_time = self.expected_wait_ms(arrival) <= give_up_at.since_ms(now) as f64;
        let queued = self.customers.get(arrival.customer);
        let queued = queued.map_or(0, |queue| queue.waiters.len());
        if queued >= WAITING_PER_CUSTOMER || give_up_at <= now || !in_time {
            return self.refused(arrival.draw);
        }
        let mut evicted = None;
        if self.waiting >= WAITING_IN_ALL {
            evicted = self.evict(arrival.customer, queued);
            if evicted.is_none() {
                return self.refused(arrival.draw);
            }
        }
        let id = self.push(arrival, give_up_at);
        EnqueueOutcome::Waiting {
            id,
            give_up_at,
            evicted,
        }
    }

    /// Records the end of a request in flight that was admitted at `since`.
    pub fn leave(&mut self, since: MonoMs, now: MonoMs) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.service_time.record(now.since_ms(since));
    }

    /// The next request that need not wait any longer; call until `None`.
    pub fn next(&mut self, now: MonoMs) -> Option<DequeueOutcome> {
        let (tag, customer) = self.order.first()?.clone();
        let queue = self.customers.get_mut(&customer)?;
        let waiter = *queue.waiters.front()?;
        if waiter.give_up_at <= now {
            self.remove(&customer, waiter.id);
            return Some(DequeueOutcome::Expired(waiter.id));
        }
        if self.in_flight >= self.window {
            return None;
        }
        self.virtual_time = tag;
        self.order.remove(&(tag, customer.clone()));
        queue.waiters.pop_front();
        queue.finish_tag = tag + STRIDE / queue.weight;
        let next_tag = queue.finish_tag;
        self.waiting -= 1;
        self.order.insert((next_tag, customer.clone()));
        self.drop_if_empty(&customer);
        self.in_flight += 1;
        Some(DequeueOutcome::Admitted(waiter.id))
    }

    /// Removes a request whose caller is gone. Returns whether it was waiting.
    pub fn cancel(&mut self, customer: &CustomerId, id: WaiterId) -> bool {
        self.remove(customer, id)
    }

    /// Time after which a refused caller should retry: the time until the queue has drained, plus a
    /// random time of up to the same length.
    pub fn retry_after_ms(&self, draw: u64) -> u64 {
        let drain_ms = self.service_ms() / f64::from(self.window.max(1));
        let base_ms = (self.waiting as f64 * drain_ms) as u64;
        let base_ms = base_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS / 2);
        base_ms + draw % (base_ms + 1)
    }

    /// Expected wait of an arrival: the customer's requests ahead of it, each served at the
    /// customer's part of the rate at which requests end (Little's law).
    fn expected_wait_ms(&self, arrival: &Arrival<'_>) -> f64 {
        let queued = self.customers.get(arrival.customer);
        let queued_before = queued.map_or(0, |queue| queue.waiters.len());
        let weight = weight(arrival.urgency);
        let others = self.weights - queued.map_or(0, |queue| queue.weight);
        let rounds = (queued_before + 1) as f64 * (others + weight) as f64 / weight as f64;
        let ahead = rounds.min((self.waiting + 1) as f64);
        ahead * self.service_ms() / f64::from(self.window.max(1))
    }

    /// Time in ms for which a request is likely to be served, 0 if nothing is known.
    fn service_ms(&self) -> f64 {
        self.service_time.mean_ms().unwrap_or(0.0)
    }

    fn refused(&self, draw: u64) -> EnqueueOutcome {
        let after_ms = self.retry_after_ms(draw);
        EnqueueOutcome::Refused { after_ms }
    }

    fn push(&mut self, arrival: &Arrival<'_>, give_up_at: MonoMs) -> WaiterId {
        let id = WaiterId(self.next_id);
        self.next_id += 1;
        self.waiting += 1;
        let waiter = Waiter { id, give_up_at };
        if let Some(queue) = self.customers.get_mut(arrival.customer) {
            queue.waiters.push_back(waiter);
            return id;
        }
        let weight = weight(arrival.urgency);
        let finish_tag = self.virtual_time + STRIDE / weight;
        self.weights += weight;
        self.order.insert((finish_tag, arrival.customer.clone()));
        let queue = CustomerQueue {
            weight,
            finish_tag,
            waiters: VecDeque::from([waiter]),
        };
        self.customers.insert(arrival.customer.clone(), queue);
        id
    }

    /// Makes room by removing the newest request of the customer with the longest queue for its
    /// weight, unless the arriving customer has as many.
    fn evict(&mut self, is_requester: &CustomerId, queued: usize) -> Option<WaiterId> {
        let load = |queue: &CustomerQueue| queue.waiters.len() as u64 * 16 / queue.weight;
        let longest_queue = self
            .customers
            .iter()
            .max_by_key(|(customer, queue)| (load(queue), *customer));
        let (customer, queue) = longest_queue?;
        if customer == is_requester || queue.waiters.len() <= queued + 1 {
            return None;
        }
        let id = queue.waiters.back()?.id;
        let customer = customer.clone();
        self.remove(&customer, id);
        Some(id)
    }

    fn remove(&mut self, customer: &CustomerId, id: WaiterId) -> bool {
        let Some(queue) = self.customers.get_mut(customer) else {
            return false;
        };
        let Some(index) = queue.waiters.iter().position(|waiter| waiter.id == id) else {
            return false;
        };
        queue.waiters.remove(index);
        self.waiting -= 1;
        self.drop_if_empty(customer);
        true
    }

    fn drop_if_empty(&mut self, customer: &CustomerId) {
        let Some(queue) = self.customers.get(customer) else {
            return;
        };
        if !queue.waiters.is_empty() {
            return;
        }
        self.weights -= queue.weight;
        self.order.remove(&(queue.finish_tag, customer.clone()));
        self.customers.remove(customer);
    }
}
