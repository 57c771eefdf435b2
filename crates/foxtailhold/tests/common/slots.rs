//! Engines, slot requests and an allocator for the tests of slots.

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, SlotDecision, SlotNotice, SlotOutcome, SlotRequest, SlotRequestId,
    Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;

pub const ONLINE: Urgency = Urgency::Online { priority: 0 };
/// Time for which a caller waits.
pub const PATIENCE_MS: u64 = 300;

pub fn pool() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

pub fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::try_from(name).unwrap()
}

pub fn backend(name: &str) -> BackendId {
    BackendId::try_from(name).unwrap()
}

pub fn instance(name: &str) -> InstanceId {
    InstanceId::try_from(name).unwrap()
}

/// Engines with the given numbers of slots, in the zones `a`, `b` and `c` in turn.
pub fn allocator(slots: &[u32]) -> Allocator {
    let mut allocator = Allocator::default();
    allocator.set_backends(&pool(), &backend_slots(slots));
    allocator
}

pub fn backend_slots(slots: &[u32]) -> Vec<BackendSlots> {
    let zones = ["a", "b", "c"];
    let engines = slots.iter().enumerate().map(|(index, slots)| BackendSlots {
        backend: backend(&format!("engine-{index}")),
        zone: zone(zones[index % zones.len()]),
        slots: *slots,
        version: version("v1"),
    });
    engines.collect()
}

pub fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(text).unwrap()
}

pub fn request_from(
    instance_name: &str,
    number: u64,
    urgency: Urgency,
    slack_ms: u64,
) -> SlotRequest {
    SlotRequest {
        id: SlotRequestId {
            instance: instance(instance_name),
            number,
        },
        pool: pool(),
        urgency,
        slack_ms,
        late_ms: 0,
        avoid: Vec::new(),
        zone: zone("a"),
        version: None,
    }
}

pub fn request(number: u64, urgency: Urgency) -> SlotRequest {
    request_from("entry-1", number, urgency, PATIENCE_MS)
}

pub fn submit(
    allocator: &mut Allocator,
    at_ms: u64,
    slot_request: SlotRequest,
) -> (SlotDecision, Vec<SlotNotice>) {
    let mut decisions = Vec::new();
    let decision = allocator.request_slot(MonoMs(at_ms), slot_request, &mut decisions);
    (decision, decisions)
}

pub fn granted(allocator: &mut Allocator, at_ms: u64, slot_request: SlotRequest) -> BackendId {
    match submit(allocator, at_ms, slot_request).0 {
        SlotDecision::Granted(backend) => backend,
        other => panic!("not granted: {other:?}"),
    }
}

pub fn release(
    allocator: &mut Allocator,
    at_ms: u64,
    number: u64,
    outcome: SlotOutcome,
) -> Vec<SlotNotice> {
    let mut decisions = Vec::new();
    let id = request(number, ONLINE).id;
    allocator.release(MonoMs(at_ms), &pool(), &id, outcome, &mut decisions);
    decisions
}

pub const DONE: SlotOutcome = SlotOutcome::Done { held_ms: 800 };
