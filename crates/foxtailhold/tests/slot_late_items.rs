//! Order of late batch items. Guards against an item that waits without end because it asks again
//! while others, which became late after it, are served.

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, SlotDecision, SlotNotice, SlotOutcome, SlotRequest, SlotRequestId,
    Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;
use test_case::test_case;

/// Items ask again, under a new number, at this interval.
const ASK_INTERVAL_MS: u64 = 2_000;
/// Time for which an item holds its slot.
const HELD_MS: u64 = 300;
const ITEMS: u64 = 40;

fn pool() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn zone() -> AvailabilityZone {
    AvailabilityZone::try_from("a").unwrap()
}

fn id(number: u64) -> SlotRequestId {
    let instance = InstanceId::try_from("entry-1").unwrap();
    SlotRequestId { instance, number }
}

fn item(number: u64, slack_ms: u64, late_ms: u64) -> SlotRequest {
    SlotRequest {
        id: id(number),
        pool: pool(),
        urgency: Urgency::Batch,
        slack_ms,
        late_ms,
        avoid: Vec::new(),
        zone: zone(),
        version: None,
    }
}

/// One engine with one slot, which is in use by request 0.
fn busy_allocator(at_ms: u64) -> Allocator {
    let mut allocator = Allocator::default();
    let engine = BackendSlots {
        backend: BackendId::try_from("engine-0").unwrap(),
        zone: zone(),
        slots: 1,
        version: SoftwareVersion::try_from("v1").unwrap(),
    };
    allocator.set_backends(&pool(), &[engine]);
    assert_eq!(ask(&mut allocator, at_ms, item(0, 9_000, 0)).len(), 0);
    allocator
}

fn ask(allocator: &mut Allocator, at_ms: u64, request: SlotRequest) -> Vec<SlotNotice> {
    let mut notices = Vec::new();
    allocator.request_slot(MonoMs(at_ms), request, &mut notices);
    notices
}

fn release(allocator: &mut Allocator, at_ms: u64, number: u64) -> Vec<SlotNotice> {
    let mut notices = Vec::new();
    let (at, outcome) = (MonoMs(at_ms), SlotOutcome::Done { held_ms: HELD_MS });
    allocator.release(at, &pool(), &id(number), outcome, &mut notices);
    notices
}

fn granted(notices: &[SlotNotice]) -> Option<u64> {
    let mut granted = notices.iter().filter(|notice| {
        let decision = notice.decision.as_ref();
        decision.is_some_and(|decision| matches!(decision, SlotDecision::Granted(_)))
    });
    granted.next().map(|notice| notice.request.number)
}

/// Items wait for one slot and ask again in turn; item 0 has been late for the shortest time.
#[test]
fn an_item_that_became_late_first_waits_behind_all_others() {
    let start_ms = 1_000;
    let mut allocator = busy_allocator(start_ms);
    let mut numbers: Vec<Option<u64>> = vec![None; ITEMS as usize];
    let mut next_number = 1;
    let mut running = 0;
    let mut order = Vec::new();
    for at_ms in start_ms..start_ms + ITEMS * HELD_MS + ASK_INTERVAL_MS {
        for index in 0..ITEMS {
            let phase_ms = index * ASK_INTERVAL_MS / ITEMS;
            let has_run = order.contains(&index);
            if has_run || at_ms % ASK_INTERVAL_MS != phase_ms {
                continue;
            }
            if let Some(number) = numbers[index as usize].take() {
                release(&mut allocator, at_ms, number);
            }
            numbers[index as usize] = Some(next_number);
            let late_ms = at_ms - start_ms + 1_000 * index;
            assert_eq!(
                granted(&ask(&mut allocator, at_ms, item(next_number, 0, late_ms))),
                None
            );
            next_number += 1;
        }
        let is_warm = at_ms >= start_ms + ASK_INTERVAL_MS;
        if !is_warm || at_ms % HELD_MS != 0 {
            continue;
        }
        let number = granted(&release(&mut allocator, at_ms, running)).unwrap();
        let index = numbers.iter().position(|waiting| *waiting == Some(number));
        order.push(index.unwrap() as u64);
        running = number;
        if order.len() as u64 == ITEMS {
            break;
        }
    }
    let by_lateness: Vec<u64> = (0..ITEMS).rev().collect();
    assert_eq!(order, by_lateness);
}

/// Above capacity, serving late items first would make the next ones late as well.
#[test_case(1 ; "hardly late")]
#[test_case(50_000 ; "late for longer than the allocator runs")]
fn a_late_item_goes_before_one_that_can_meet_its_deadline(late_ms: u64) {
    let mut allocator = busy_allocator(1_000);
    ask(&mut allocator, 1_001, item(1, 0, late_ms));
    ask(&mut allocator, 1_002, item(2, 9_000, 0));
    assert_eq!(granted(&release(&mut allocator, 1_100, 0)), Some(2));
    assert_eq!(granted(&release(&mut allocator, 1_200, 2)), Some(1));
}

/// An allocator that has just started knows the order of items that became late before it.
#[test]
fn items_that_became_late_before_the_allocator_started_have_no_order() {
    let mut allocator = busy_allocator(10);
    ask(&mut allocator, 11, item(1, 0, 20_000));
    ask(&mut allocator, 12, item(2, 0, 40_000));
    ask(&mut allocator, 13, item(3, 0, 30_000));
    assert_eq!(granted(&release(&mut allocator, 100, 0)), Some(2));
    assert_eq!(granted(&release(&mut allocator, 200, 2)), Some(3));
    assert_eq!(granted(&release(&mut allocator, 300, 3)), Some(1));
}
