//! Admission of requests under load. Guards against a flood that delays other customers, against
//! requests queued although they cannot be served in time, and against retry times that coincide.

use std::collections::HashMap;

use foxtailhold::admission::{
    AdmissionQueue, Arrival, Capacity, ConcurrencyWindow, DequeueOutcome, EnqueueOutcome,
    WAITING_PER_CUSTOMER, WaiterId,
};
use foxtailhold::contract::Urgency;
use foxtailhold::ids::CustomerId;
use foxtailhold::time::MonoMs;
use test_case::test_case;

fn id(name: &str) -> CustomerId {
    name.try_into().unwrap()
}

fn arrival(customer: &CustomerId, urgency: Urgency, deadline: Option<MonoMs>) -> Arrival<'_> {
    Arrival {
        customer,
        urgency,
        deadline,
        draw: 7,
    }
}

/// Keeps `count` requests of each customer waiting, serves `served` requests and counts them by
/// customer.
fn serve(customers: &[(&str, Urgency, usize)], served: usize) -> HashMap<CustomerId, usize> {
    let now = MonoMs(0);
    let mut queue = AdmissionQueue::new(1);
    let filler = id("filler");
    let admitted = queue.enter(&arrival(&filler, Urgency::Normal, None), now);
    assert_eq!(admitted, EnqueueOutcome::Admitted);
    let mut owners: HashMap<WaiterId, (CustomerId, Urgency)> = HashMap::new();
    let enter = |queue: &mut AdmissionQueue,
                 owners: &mut HashMap<WaiterId, (CustomerId, Urgency)>,
                 customer: CustomerId,
                 urgency| {
        if let EnqueueOutcome::Waiting { id, .. } =
            queue.enter(&arrival(&customer, urgency, None), now)
        {
            owners.insert(id, (customer, urgency));
        }
    };
    for (name, urgency, count) in customers {
        for _ in 0..*count {
            enter(&mut queue, &mut owners, id(name), *urgency);
        }
    }
    let mut counts = HashMap::new();
    for _ in 0..served {
        queue.leave(now, now);
        let Some(DequeueOutcome::Admitted(waiter)) = queue.next(now) else {
            panic!("no request was served");
        };
        let (customer, urgency) = owners.remove(&waiter).unwrap();
        *counts.entry(customer.clone()).or_insert(0) += 1;
        enter(&mut queue, &mut owners, customer, urgency);
    }
    counts
}

#[test]
fn a_flood_delays_only_its_own_customer() {
    let customers = [
        ("flood", Urgency::Normal, WAITING_PER_CUSTOMER),
        ("other", Urgency::Normal, 1),
    ];
    let counts = serve(&customers, 100);
    assert_eq!(counts[&id("other")], 50);
    assert_eq!(counts[&id("flood")], 50);
}

#[test]
fn urgency_sets_the_weight_and_no_customer_starves() {
    let customers = [
        ("low", Urgency::Low, 20),
        ("normal", Urgency::Normal, 20),
        ("high", Urgency::High, 20),
    ];
    let counts = serve(&customers, 210);
    assert_eq!(counts[&id("low")], 10);
    assert_eq!(counts[&id("normal")], 40);
    assert_eq!(counts[&id("high")], 160);
}

#[test_case(None, true; "no deadline")]
#[test_case(Some(1_000), true; "a deadline that can be met")]
#[test_case(Some(100), false; "a deadline that cannot be met")]
#[test_case(Some(0), false; "a deadline that has passed")]
fn requests_that_cannot_be_served_in_time_are_refused_at_once(
    deadline_ms: Option<u64>,
    waits: bool,
) {
    let mut queue = AdmissionQueue::new(1);
    let customer = id("granite-trail");
    let mut now = MonoMs(0);
    for _ in 0..50 {
        queue.enter(&arrival(&customer, Urgency::Normal, None), now);
        now = now + 200;
        queue.leave(MonoMs(now.0 - 200), now);
    }
    queue.enter(&arrival(&customer, Urgency::Normal, None), now);
    let deadline = deadline_ms.map(|ms| now + ms);
    let entered = queue.enter(&arrival(&customer, Urgency::Normal, deadline), now);
    assert_eq!(
        matches!(entered, EnqueueOutcome::Waiting { .. }),
        waits,
        "{entered:?}"
    );
}

/// Guards against a caller who is refused though he has stated that he waits for as long as it takes.
#[test_case(Some(10_000), true; "a long deadline")]
#[test_case(Some(3_000), false; "a deadline before his turn")]
#[test_case(None, false; "none stated")]
fn a_caller_waits_for_as_long_as_he_states(deadline_ms: Option<u64>, waits: bool) {
    let mut queue = AdmissionQueue::new(1);
    let customer = id("granite-trail");
    queue.enter(&arrival(&customer, Urgency::Normal, None), MonoMs(0));
    let now = MonoMs(400);
    queue.leave(MonoMs(0), now);
    let patient = Some(now + 60_000);
    for _ in 0..10 {
        queue.enter(&arrival(&customer, Urgency::Normal, patient), now);
    }
    // One is in flight and nine wait, for 400 ms each.
    let deadline = deadline_ms.map(|ms| now + ms);
    let entered = queue.enter(&arrival(&customer, Urgency::Normal, deadline), now);
    let is_waiting = matches!(entered, EnqueueOutcome::Waiting { .. });
    assert_eq!(is_waiting, waits, "{entered:?}");
}

#[test]
fn a_full_queue_evicts_from_the_longest_queue_for_a_newcomer() {
    let mut queue = AdmissionQueue::new(0);
    let now = MonoMs(0);
    for index in 0..16 {
        let customer = id(&format!("customer-{index}"));
        for _ in 0..WAITING_PER_CUSTOMER {
            queue.enter(&arrival(&customer, Urgency::High, None), now);
        }
    }
    let newcomer = id("newcomer");
    let entered = queue.enter(&arrival(&newcomer, Urgency::Low, None), now);
    let EnqueueOutcome::Waiting { evicted, .. } = entered else {
        panic!("{entered:?}");
    };
    assert!(evicted.is_some());
}

#[test]
fn retry_times_are_spread() {
    let queue = AdmissionQueue::new(1);
    let mut times: Vec<u64> = (0..100)
        .map(|draw| queue.retry_after_ms(draw * 37))
        .collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 50, "{times:?}");
}

fn reported(waiting: u32) -> Capacity {
    Capacity {
        replicas: 3,
        unreported: 0,
        slots: 48,
        waiting,
    }
}

#[test_case(0, 60; "nothing waits in the engines")]
#[test_case(12, 60; "the reserve waits")]
#[test_case(40, 20; "more than the reserve waits")]
fn the_window_follows_the_requests_waiting_in_the_engines(waiting: u32, converged: u32) {
    let mut window = ConcurrencyWindow::new();
    for second in 0..20 {
        window.update(&reported(waiting), 3, MonoMs(second * 1_000));
    }
    assert_eq!(window.size(), converged);
    for second in 20..40 {
        window.update(&reported(0), 3, MonoMs(second * 1_000));
    }
    assert_eq!(window.size(), 60);
}

#[test]
fn a_report_lowers_the_window_once() {
    let mut window = ConcurrencyWindow::new();
    for step in 0..5 {
        window.update(&reported(40), 3, MonoMs(step * 200));
    }
    assert_eq!(window.size(), 42);
}
