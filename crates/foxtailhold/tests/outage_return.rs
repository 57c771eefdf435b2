//! Replays outages of the store against the times after which callers come back.

use foxtailhold::outage_return::{
    MAX_RETURN_MS, NO_OUTAGE_RETURN_MS, SHORT_OUTAGE_MS, return_after_ms,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

/// How callers arrive during an outage.
#[derive(Debug, Clone, Copy)]
enum Arrivals {
    Steady,
    Step,
    Ramp,
    Bursts,
}

const CALLERS: usize = 2_000;
const CALLER_TIME_MS: u64 = 5_000;

/// Arrival times within an outage of `outage_ms`.
fn arrivals(kind: Arrivals, outage_ms: u64, random: &mut SmallRng) -> Vec<u64> {
    let at = |random: &mut SmallRng| match kind {
        Arrivals::Steady => random.random_range(0..outage_ms),
        Arrivals::Step => random.random_range(outage_ms / 2..outage_ms),
        Arrivals::Ramp => random
            .random_range(0..outage_ms)
            .max(random.random_range(0..outage_ms)),
        Arrivals::Bursts => {
            let burst = random.random_range(0..8) * outage_ms / 8;
            (burst + random.random_range(0..50)).min(outage_ms - 1)
        }
    };
    (0..CALLERS).map(|_| at(random)).collect()
}

/// Share of the callers, each with `retries` further attempts, that are served within their time
/// when the store is back.
fn served(
    arrivals: &[u64],
    outage_ms: u64,
    retries: usize,
    wait_ms: impl Fn(u64, u64) -> u64,
) -> f64 {
    let mut served = 0;
    for arrival in arrivals {
        let mut now = *arrival;
        for _ in 0..retries {
            let left_ms = CALLER_TIME_MS - (now - arrival);
            now += wait_ms(now, left_ms).min(left_ms / 3);
            if now >= outage_ms {
                served += 1;
                break;
            }
        }
    }
    served as f64 / arrivals.len() as f64
}

/// With one more attempt, a caller is served if it arrives within the wait before the end. An
/// instance that has just started knows only its own part of the outage.
#[test_case(Arrivals::Steady, 1_400 ; "steady, all instances lost")]
#[test_case(Arrivals::Steady, 6_000 ; "steady, long")]
#[test_case(Arrivals::Step, 3_000 ; "step")]
#[test_case(Arrivals::Ramp, 3_000 ; "ramp")]
#[test_case(Arrivals::Bursts, 3_000 ; "bursts")]
fn more_callers_are_served_than_with_a_fixed_short_wait(kind: Arrivals, outage_ms: u64) {
    for seed in 0..5 {
        let mut random = SmallRng::seed_from_u64(seed);
        let arrivals = arrivals(kind, outage_ms, &mut random);
        let by_outage = |now: u64, left_ms| return_after_ms(Some(now), Some(left_ms));
        let fixed = |_, _| NO_OUTAGE_RETURN_MS;
        for retries in [1, 2, 3] {
            let adapted = served(&arrivals, outage_ms, retries, by_outage);
            let short = served(&arrivals, outage_ms, retries, fixed);
            println!("{kind:?}, {outage_ms} ms, {retries} retries: {adapted:.3}, fixed {short:.3}");
            assert!(adapted >= short, "{adapted} < {short}");
            let in_reach = SHORT_OUTAGE_MS as f64 / outage_ms as f64;
            assert!(adapted >= 0.8 * in_reach.min(1.0) || matches!(kind, Arrivals::Bursts));
        }
    }
}

#[test_case(None, Some(5_000), NO_OUTAGE_RETURN_MS ; "no outage")]
#[test_case(Some(0), Some(5_000), SHORT_OUTAGE_MS ; "an outage that begins")]
#[test_case(Some(6_000), None, 6_000 ; "as long again")]
#[test_case(Some(6_000), Some(9_000), 3_000 ; "a third of the caller's time")]
#[test_case(Some(90_000), None, MAX_RETURN_MS ; "at most")]
#[test_case(Some(6_000), Some(100), NO_OUTAGE_RETURN_MS ; "at least")]
fn the_wait_follows_the_outage_and_the_time_left(
    outage_ms: Option<u64>,
    left_ms: Option<u64>,
    expected_ms: u64,
) {
    assert_eq!(return_after_ms(outage_ms, left_ms), expected_ms);
}
