//! Slots that an allocator knows from reports alone, as one that takes over does. Guards against
//! requests that are refused because of slots that were returned to the allocator before.

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, HeldSlot, SlotDecision, SlotRequest, SlotRequestId, Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;

const ONLINE: Urgency = Urgency::Online { priority: 0 };
const SLOTS: u32 = 8;
/// Interval of reports.
const INTERVAL_MS: u64 = 400;

fn pool() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn backend() -> BackendId {
    BackendId::try_from("engine-0").unwrap()
}

fn instance(name: &str) -> InstanceId {
    InstanceId::try_from(name).unwrap()
}

fn allocator() -> Allocator {
    let mut allocator = Allocator::default();
    let engine = BackendSlots {
        backend: backend(),
        zone: AvailabilityZone::try_from("a").unwrap(),
        slots: SLOTS,
        version: SoftwareVersion::try_from("v1").unwrap(),
    };
    allocator.set_backends(&pool(), &[engine]);
    allocator
}

fn report(allocator: &mut Allocator, at_ms: u64, numbers: std::ops::Range<u64>) {
    let held = numbers.map(|number| HeldSlot {
        number,
        pool: pool(),
        backend: backend(),
        urgency: ONLINE,
        quiet_ms: 5,
    });
    let held: Vec<HeldSlot> = held.collect();
    allocator.report(MonoMs(at_ms), &instance("entry-1"), &held);
}

/// Each report lists other short requests, half as many as there are slots.
#[test]
fn slots_of_requests_that_have_ended_fill_the_engines_of_an_allocator_that_takes_over() {
    let mut allocator = allocator();
    let held = u64::from(SLOTS) / 2;
    for round in 0..3 {
        report(
            &mut allocator,
            round * INTERVAL_MS,
            round * held..(round + 1) * held,
        );
    }
    let request = SlotRequest {
        id: SlotRequestId {
            instance: instance("entry-2"),
            number: 1,
        },
        pool: pool(),
        urgency: ONLINE,
        slack_ms: 300,
        late_ms: 0,
        avoid: Vec::new(),
        zone: AvailabilityZone::try_from("a").unwrap(),
        version: None,
    };
    let at = MonoMs(2 * INTERVAL_MS + 1);
    let decision = allocator.request_slot(at, request, &mut Vec::new());
    assert_eq!(decision, SlotDecision::Granted(backend()));
}
