//! Slots for probes by batch items. Guards against probes that harm callers, or that are turned away
//! where items are queued.

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, SlotDecision, SlotOutcome, SlotRequest, SlotRequestId, Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;

const CALLER: Urgency = Urgency::Online { priority: 0 };
const PATIENCE_MS: u64 = 300;
const PROBE_SLACK_MS: u64 = 2_000;

fn pool() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn zone() -> AvailabilityZone {
    AvailabilityZone::try_from("a").unwrap()
}

fn allocator(slots: u32) -> Allocator {
    let mut allocator = Allocator::default();
    let backend = BackendSlots {
        backend: BackendId::try_from("engine").unwrap(),
        zone: zone(),
        slots,
        version: SoftwareVersion::try_from("v1").unwrap(),
    };
    allocator.set_backends(&pool(), &[backend]);
    allocator
}

fn id(number: u64) -> SlotRequestId {
    SlotRequestId {
        instance: InstanceId::try_from("i").unwrap(),
        number,
    }
}

fn submit(allocator: &mut Allocator, number: u64, urgency: Urgency, slack_ms: u64) -> SlotDecision {
    let request = SlotRequest {
        id: id(number),
        pool: pool(),
        urgency,
        slack_ms,
        late_ms: 0,
        avoid: Vec::new(),
        zone: zone(),
        version: None,
    };
    allocator.request_slot(MonoMs(0), request, &mut Vec::new())
}

fn release(allocator: &mut Allocator, number: u64, held_ms: u64) {
    let outcome = SlotOutcome::Done { held_ms };
    allocator.release(MonoMs(0), &pool(), &id(number), outcome, &mut Vec::new());
}

/// Slots are full and callers hold them for 20 ms each, so that a new caller can still be on time.
fn full_with_short_requests(probe_held_ms: Option<u64>) -> Allocator {
    let mut allocator = allocator(2);
    for number in 0..200 {
        submit(&mut allocator, number, CALLER, PATIENCE_MS);
        release(&mut allocator, number, 20);
    }
    if let Some(held_ms) = probe_held_ms {
        submit(&mut allocator, 300, Urgency::ITEM_PROBE, PROBE_SLACK_MS);
        release(&mut allocator, 300, held_ms);
    }
    for number in 400..402 {
        submit(&mut allocator, number, CALLER, PATIENCE_MS);
    }
    allocator
}

#[test]
fn callers_are_not_refused_for_the_time_that_a_probe_held_its_slot() {
    for probe_held_ms in [None, Some(15_000)] {
        let mut allocator = full_with_short_requests(probe_held_ms);
        let decision = submit(&mut allocator, 500, CALLER, PATIENCE_MS);
        assert_eq!(decision, SlotDecision::Queued, "{probe_held_ms:?}");
    }
}

#[test]
fn a_probe_is_queued_where_a_caller_would_be_refused() {
    let mut allocator = allocator(1);
    submit(&mut allocator, 0, CALLER, PATIENCE_MS);
    release(&mut allocator, 0, 800);
    submit(&mut allocator, 1, CALLER, PATIENCE_MS);
    for number in 2..20 {
        submit(&mut allocator, number, CALLER, 60_000);
    }
    let caller = submit(&mut allocator, 30, CALLER, PATIENCE_MS);
    assert!(matches!(caller, SlotDecision::Refused { .. }), "{caller:?}");
    let probe = submit(&mut allocator, 31, Urgency::ITEM_PROBE, PATIENCE_MS);
    assert_eq!(probe, SlotDecision::Queued);
}

#[test]
fn a_route_of_the_least_priority_is_no_probe() {
    assert_ne!(Urgency::of_caller(u8::MAX), Urgency::ITEM_PROBE);
    assert_eq!(Urgency::of_caller(3), Urgency::Online { priority: 3 });
}
