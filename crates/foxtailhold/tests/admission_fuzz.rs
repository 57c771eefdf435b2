//! Compares the admission queue with a simple model under random arrivals, ends, cancellations and
//! window changes. Guards against unbounded queues, lost requests, requests served twice or after
//! they expired, and requests that wait while the window has room.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::fuzz_config;
use foxtailhold::admission::{
    AdmissionQueue, Arrival, DequeueOutcome, EnqueueOutcome, MAX_RETRY_AFTER_MS, MAX_WAIT_MS,
    MIN_RETRY_AFTER_MS, WAITING_IN_ALL, WAITING_PER_CUSTOMER, WaiterId,
};
use foxtailhold::contract::Urgency;
use foxtailhold::ids::CustomerId;
use foxtailhold::time::MonoMs;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const CUSTOMERS: usize = 24;

#[derive(Debug, Clone)]
enum Step {
    Arrive {
        customer: usize,
        count: usize,
        deadline_ms: Option<u64>,
    },
    Leave(usize),
    Cancel(usize),
    Window(u32),
    Advance(u64),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let deadline = prop::option::of(0u64..4_000);
        prop_oneof![
            6 => (0..CUSTOMERS, 1usize..90, deadline).prop_map(|(customer, count, deadline_ms)| {
                Step::Arrive { customer, count, deadline_ms }
            }),
            4 => (1usize..30).prop_map(Step::Leave),
            2 => any::<usize>().prop_map(Step::Cancel),
            1 => (0u32..40).prop_map(Step::Window),
            3 => (0u64..900).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Debug)]
struct Waiting {
    customer: usize,
    give_up_at: MonoMs,
}

#[derive(Debug)]
struct Model {
    queue: AdmissionQueue,
    now: MonoMs,
    window: u32,
    waiting: BTreeMap<WaiterId, Waiting>,
    in_flight: Vec<MonoMs>,
    ended: BTreeSet<WaiterId>,
}

fn customer(index: usize) -> CustomerId {
    format!("customer-{index}").as_str().try_into().unwrap()
}

fn urgency(index: usize) -> Urgency {
    [Urgency::Low, Urgency::Normal, Urgency::High][index % 3]
}

impl Model {
    fn arrive(&mut self, index: usize, deadline_ms: Option<u64>) {
        let deadline = deadline_ms.map(|ms| self.now + ms);
        let arrival = Arrival {
            customer: &customer(index),
            urgency: urgency(index),
            deadline,
            draw: self.now.0,
        };
        let has_room = self.waiting.is_empty() && self.in_flight.len() < self.window as usize;
        match self.queue.enter(&arrival, self.now) {
            EnqueueOutcome::Admitted => {
                assert!(has_room, "admitted without room");
                self.in_flight.push(self.now);
            }
            EnqueueOutcome::Waiting {
                id,
                give_up_at,
                evicted,
            } => {
                assert!(!has_room, "waits while there is room");
                assert!(give_up_at > self.now);
                assert!(give_up_at <= deadline.unwrap_or(self.now + MAX_WAIT_MS));
                if let Some(evicted) = evicted {
                    let evicted = self.waiting.remove(&evicted).expect("evicted twice");
                    assert_ne!(evicted.customer, index);
                }
                let waiting = Waiting {
                    customer: index,
                    give_up_at,
                };
                assert!(self.waiting.insert(id, waiting).is_none());
            }
            EnqueueOutcome::Refused { after_ms } => {
                assert!(!has_room, "refused while there is room");
                assert!((MIN_RETRY_AFTER_MS..=MAX_RETRY_AFTER_MS).contains(&after_ms));
            }
        }
    }

    fn dequeue_all(&mut self) {
        while let Some(released) = self.queue.next(self.now) {
            let (DequeueOutcome::Admitted(id) | DequeueOutcome::Expired(id)) = released;
            let waited = self.waiting.remove(&id).expect("released twice or unknown");
            assert!(self.ended.insert(id));
            match released {
                DequeueOutcome::Expired(_) => assert!(waited.give_up_at <= self.now),
                DequeueOutcome::Admitted(_) => {
                    assert!(waited.give_up_at > self.now, "served too late");
                    self.in_flight.push(self.now);
                }
            }
        }
    }

    fn check(&self) {
        assert_eq!(self.queue.waiting(), self.waiting.len());
        assert_eq!(self.queue.in_flight() as usize, self.in_flight.len());
        assert!(self.waiting.len() <= WAITING_IN_ALL);
        let mut by_customer = BTreeMap::new();
        for waiting in self.waiting.values() {
            *by_customer.entry(waiting.customer).or_insert(0) += 1;
        }
        assert!(
            by_customer
                .values()
                .all(|count| *count <= WAITING_PER_CUSTOMER)
        );
        let idle = self.in_flight.len() < self.window as usize;
        assert!(self.waiting.is_empty() || !idle, "room while requests wait");
    }
}

struct Queue;

impl StateMachineTest for Queue {
    type SystemUnderTest = Model;
    type Reference = Reference;

    fn init_test((): &()) -> Model {
        Model {
            queue: AdmissionQueue::new(8),
            now: MonoMs(1_000),
            window: 8,
            waiting: BTreeMap::new(),
            in_flight: Vec::new(),
            ended: BTreeSet::new(),
        }
    }

    fn apply(mut model: Model, (): &(), step: Step) -> Model {
        match step {
            Step::Arrive {
                customer,
                count,
                deadline_ms,
            } => {
                for _ in 0..count {
                    model.arrive(customer, deadline_ms);
                }
            }
            Step::Leave(count) => {
                for _ in 0..count {
                    let Some(since) = model.in_flight.pop() else {
                        break;
                    };
                    model.queue.leave(since, model.now);
                }
            }
            Step::Cancel(draw) => {
                let nth = draw % model.waiting.len().max(1);
                if let Some((id, waiting)) = model.waiting.iter().nth(nth) {
                    let id = *id;
                    assert!(model.queue.cancel(&customer(waiting.customer), id));
                    assert!(!model.queue.cancel(&customer(waiting.customer), id));
                    model.waiting.remove(&id);
                }
            }
            Step::Window(window) => {
                model.window = window;
                model.queue.set_window(window);
            }
            Step::Advance(ms) => model.now = model.now + ms,
        }
        model.dequeue_all();
        model.check();
        model
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config(200))]

    #[test]
    fn the_queue_is_bounded_and_loses_no_request(sequential 1..150 => Queue);
}
