//! Load of a pool: whether slots are in use by requests that run. Guards against waits of batch
//! items of which nothing tells whether the slots are taken, idle or lost.

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, HeldSlot, PoolLoad, SlotOutcome, SlotRequest, SlotRequestId, Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;

const ONLINE: Urgency = Urgency::Online { priority: 0 };

fn pool() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn zone() -> AvailabilityZone {
    AvailabilityZone::try_from("a").unwrap()
}

fn backend() -> BackendId {
    BackendId::try_from("engine-0").unwrap()
}

fn instance() -> InstanceId {
    InstanceId::try_from("entry-1").unwrap()
}

fn version() -> SoftwareVersion {
    SoftwareVersion::try_from("v1").unwrap()
}

fn allocator(slots: u32) -> Allocator {
    let mut allocator = Allocator::default();
    let engine = BackendSlots {
        backend: backend(),
        zone: zone(),
        slots,
        version: version(),
    };
    allocator.set_backends(&pool(), &[engine]);
    allocator
}

fn id(number: u64) -> SlotRequestId {
    let instance = instance();
    SlotRequestId { instance, number }
}

fn request(number: u64, urgency: Urgency, slack_ms: u64) -> SlotRequest {
    SlotRequest {
        id: id(number),
        pool: pool(),
        urgency,
        slack_ms,
        late_ms: 0,
        avoid: Vec::new(),
        zone: zone(),
        version: None,
    }
}

fn submit(allocator: &mut Allocator, at_ms: u64, request: SlotRequest) {
    allocator.request_slot(MonoMs(at_ms), request, &mut Vec::new());
}

fn report(allocator: &mut Allocator, at_ms: u64, numbers_and_quiet_ms: &[(u64, u64)]) {
    let held = numbers_and_quiet_ms
        .iter()
        .map(|(number, quiet_ms)| HeldSlot {
            number: *number,
            pool: pool(),
            backend: backend(),
            urgency: Urgency::Batch,
            quiet_ms: *quiet_ms,
        });
    let held: Vec<HeldSlot> = held.collect();
    allocator.report(MonoMs(at_ms), &instance(), &held);
}

fn load(allocator: &Allocator, at_ms: u64) -> PoolLoad {
    let mut loads = allocator.pool_loads(MonoMs(at_ms));
    loads.next().unwrap().1
}

/// Items that wait for slots in use are told from items that wait though slots are free.
#[test]
fn waits_for_full_engines_look_like_waits_beside_free_slots() {
    let mut allocator = allocator(8);
    for number in 0..4 {
        submit(&mut allocator, 0, request(number, ONLINE, 300));
    }
    for number in 4..10 {
        submit(&mut allocator, 0, request(number, Urgency::Batch, 9_000));
    }
    submit(&mut allocator, 0, request(10, Urgency::Batch, 0));
    let named = SlotRequest {
        version: Some(version()),
        ..request(11, Urgency::Batch, 9_000)
    };
    submit(&mut allocator, 0, named);
    let expected = PoolLoad {
        slots: 8,
        usable: 8,
        free: 1,
        headroom: 1,
        online: 4,
        batch: 3,
        batch_queued: 4,
        late_queued: 1,
        version_queued: 1,
        ..PoolLoad::default()
    };
    assert_eq!(load(&allocator, 0), expected);
}

/// Grants that their instance does not hold, or holds without data, are told from those that run.
#[test]
fn grants_that_nobody_uses_look_like_requests_that_run() {
    let mut allocator = allocator(8);
    for number in 0..4 {
        submit(&mut allocator, 0, request(number, Urgency::Batch, 9_000));
    }
    assert_eq!(load(&allocator, 300).unreported, 0);
    report(&mut allocator, 800, &[(0, 20), (1, 20), (2, 800)]);
    let load = load(&allocator, 800);
    assert_eq!((load.batch, load.unreported, load.quiet), (4, 1, 1));
}

/// The time of a queue goes on over requests that are sent again, and ends with the last of them.
#[test]
fn a_queue_of_items_that_ask_anew_looks_young() {
    let mut allocator = allocator(1);
    submit(&mut allocator, 0, request(0, ONLINE, 300));
    submit(&mut allocator, 100, request(1, Urgency::Batch, 0));
    submit(&mut allocator, 1_900, request(2, Urgency::Batch, 0));
    let mut release = |at_ms, number| {
        let at = MonoMs(at_ms);
        let outcome = SlotOutcome::Abandoned;
        allocator.release(at, &pool(), &id(number), outcome, &mut Vec::new());
        load(&allocator, at_ms).batch_queued_ms
    };
    assert_eq!(release(2_000, 1), 1_900);
    assert_eq!(release(2_100, 2), 0);
}
