//! Engines that fall silent and go on. A sound engine must not lose its slots for a silence that it
//! shares with others, and a silent one must get no new request.

use foxtailhold::ids::{AvailabilityZone, BackendId, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, HeldSlot, SlotDecision, SlotOutcome, SlotRequest, SlotRequestId,
    Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;
use test_case::test_case;

const ONLINE: Urgency = Urgency::Online { priority: 0 };
const SLOTS: u32 = 8;
/// Longer than the time after which an engine counts as silent.
const SILENCE_MS: u64 = 800;

fn pool() -> TargetName {
    TargetName::try_from("writers").unwrap()
}

fn instance() -> InstanceId {
    InstanceId::try_from("entry-1").unwrap()
}

fn engine(number: usize) -> BackendId {
    BackendId::try_from(format!("engine-{number}")).unwrap()
}

fn id(number: u64) -> SlotRequestId {
    SlotRequestId {
        instance: instance(),
        number,
    }
}

fn allocator(engines: usize) -> Allocator {
    let slots = (0..engines).map(|number| BackendSlots {
        backend: engine(number),
        zone: AvailabilityZone::try_from("a").unwrap(),
        slots: SLOTS,
        version: SoftwareVersion::default(),
    });
    let mut allocator = Allocator::default();
    allocator.set_backends(&pool(), &slots.collect::<Vec<_>>());
    allocator
}

fn submit(allocator: &mut Allocator, at_ms: u64, number: u64) -> SlotDecision {
    let request = SlotRequest {
        id: id(number),
        pool: pool(),
        urgency: ONLINE,
        slack_ms: 300,
        late_ms: 0,
        avoid: Vec::new(),
        zone: AvailabilityZone::try_from("a").unwrap(),
        version: None,
    };
    allocator.request_slot(MonoMs(at_ms), request, &mut Vec::new())
}

/// Reports one slot at each engine, with the time since it last sent anything.
fn report(allocator: &mut Allocator, at_ms: u64, quiet_ms: &[u64]) {
    let held = quiet_ms
        .iter()
        .enumerate()
        .map(|(number, quiet_ms)| HeldSlot {
            number: 100 + number as u64,
            pool: pool(),
            backend: engine(number),
            urgency: ONLINE,
            quiet_ms: *quiet_ms,
        });
    allocator.report(MonoMs(at_ms), &instance(), &held.collect::<Vec<_>>());
}

fn release(allocator: &mut Allocator, at_ms: u64, number: u64, outcome: SlotOutcome) {
    allocator.release(
        MonoMs(at_ms),
        &pool(),
        &id(number),
        outcome,
        &mut Vec::new(),
    );
}

fn is_granted(decision: &SlotDecision) -> bool {
    matches!(decision, SlotDecision::Granted(_))
}

#[test]
fn a_silent_engine_gets_no_new_request_until_it_goes_on() {
    let mut allocator = allocator(2);
    report(&mut allocator, 1_000, &[SILENCE_MS, 10]);
    for number in 0..4 {
        assert_eq!(
            submit(&mut allocator, 1_001, number),
            SlotDecision::Granted(engine(1))
        );
    }
    report(&mut allocator, 1_250, &[20, 10]);
    assert_eq!(
        submit(&mut allocator, 1_251, 9),
        SlotDecision::Granted(engine(0))
    );
}

#[test_case(300, 200, true; "less in all")]
#[test_case(300, 300, false; "more in all")]
#[test_case(20, 1_100, true; "a report or two are lost")]
#[test_case(5_000, 1_300, true; "a report too old to tell")]
fn silence_grows_between_two_reports(quiet_ms: u64, since_ms: u64, is_used: bool) {
    let mut allocator = allocator(1);
    report(&mut allocator, 1_000, &[quiet_ms]);
    let decision = submit(&mut allocator, 1_000 + since_ms, 1);
    assert_eq!(is_granted(&decision), is_used);
}

/// A dead engine that is fed all the time with requests that may not be repeated.
#[test]
fn new_requests_do_not_hide_a_silence() {
    let mut allocator = allocator(1);
    assert!(is_granted(&submit(&mut allocator, 1_000, 1)));
    let held = |quiet_ms| HeldSlot {
        number: 1,
        pool: pool(),
        backend: engine(0),
        urgency: ONLINE,
        quiet_ms,
    };
    allocator.report(MonoMs(1_250), &instance(), &[held(250)]);
    assert!(is_granted(&submit(&mut allocator, 1_300, 2)));
    allocator.report(MonoMs(1_500), &instance(), &[held(500)]);
    assert!(!is_granted(&submit(&mut allocator, 1_600, 3)));
}

/// Three of four engines are lost with their machines.
#[test]
fn engines_that_were_silent_together_get_one_request_until_they_answer() {
    let mut allocator = allocator(4);
    report(
        &mut allocator,
        1_000,
        &[SILENCE_MS, SILENCE_MS, SILENCE_MS, 10],
    );
    for number in 100..103 {
        release(&mut allocator, 1_010, number, SlotOutcome::Silent);
    }
    let mut granted = Vec::new();
    for number in 0..10 {
        if let SlotDecision::Granted(backend) = submit(&mut allocator, 1_020, number) {
            granted.push(backend);
        }
    }
    for lost in 0..3 {
        let count = granted.iter().filter(|backend| **backend == engine(lost));
        assert!(count.count() <= 1, "requests at engine-{lost}");
    }
    release(&mut allocator, 1_100, 0, SlotOutcome::Done { held_ms: 80 });
    let first = granted[0].clone();
    let mut again = 0;
    for number in 20..24 {
        let decision = submit(&mut allocator, 1_110, number);
        again += usize::from(decision == SlotDecision::Granted(first.clone()));
    }
    assert!(again > 1, "an engine that answers gets all its slots again");
}

#[test]
fn an_engine_with_one_active_request_is_not_silent() {
    let mut allocator = allocator(1);
    let held = |number, quiet_ms| HeldSlot {
        number,
        pool: pool(),
        backend: engine(0),
        urgency: ONLINE,
        quiet_ms,
    };
    let held = [held(1, 5_000), held(2, 10)];
    allocator.report(MonoMs(6_000), &instance(), &held);
    assert!(is_granted(&submit(&mut allocator, 6_001, 3)));
}

#[test_case(&[SILENCE_MS; 4], true; "all of them")]
#[test_case(&[SILENCE_MS, SILENCE_MS, SILENCE_MS, 10], true; "most of them")]
#[test_case(&[SILENCE_MS, 10, 10, 10], false; "one of them")]
fn only_a_silence_that_others_do_not_share_ejects_an_engine(quiet_ms: &[u64], is_used: bool) {
    let mut allocator = allocator(quiet_ms.len());
    report(&mut allocator, 1_000, quiet_ms);
    release(&mut allocator, 1_010, 100, SlotOutcome::Silent);
    let all_active = vec![10; quiet_ms.len()];
    let others: Vec<u64> = all_active[1..].to_vec();
    let held = others
        .iter()
        .enumerate()
        .map(|(number, quiet_ms)| HeldSlot {
            number: 101 + number as u64,
            pool: pool(),
            backend: engine(number + 1),
            urgency: ONLINE,
            quiet_ms: *quiet_ms,
        });
    allocator.report(MonoMs(1_100), &instance(), &held.collect::<Vec<_>>());
    let decision = submit(&mut allocator, 1_101, 1);
    assert_eq!(decision == SlotDecision::Granted(engine(0)), is_used);
}

/// Its caller leaves before another engine is found.
#[test]
fn an_abandoned_request_at_a_silent_engine_counts_against_it() {
    let mut allocator = allocator(2);
    report(&mut allocator, 1_000, &[SILENCE_MS, 10]);
    release(&mut allocator, 1_010, 100, SlotOutcome::Abandoned);
    for number in 0..4 {
        assert_eq!(
            submit(&mut allocator, 1_011, number),
            SlotDecision::Granted(engine(1))
        );
    }
}
