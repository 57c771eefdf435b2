//! Spread of notices of leaving backend servers. Guards against a notice that does not reach all
//! instances, and against one that late messages keep alive after the last observation.

use foxtailhold::ids::BackendId;
use foxtailhold::leaving::{LeavingBackends, LeavingNotice, NOTICE_TTL_MS};
use foxtailhold::membership::PROBE_PERIOD_MS;
use foxtailhold::time::{MonoMs, WallMs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

/// Longest transit time of a message in these tests.
const MAX_TRANSIT_MS: u64 = 1_000;

/// Time for a notice to reach all instances.
const SPREAD_MS: u64 = 10_000;

struct Instances {
    notices: Vec<LeavingBackends>,
    in_transit: Vec<(u64, usize, Vec<LeavingNotice>)>,
    rng: SmallRng,
    now_ms: u64,
}

impl Instances {
    fn new(count: usize, seed: u64) -> Self {
        Instances {
            notices: vec![LeavingBackends::default(); count],
            in_transit: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 60_000,
        }
    }

    /// Runs one period: each instance sends its notices to up to four others, and all messages
    /// arrive late and out of order.
    fn period(&mut self, observed: Option<&BackendId>) {
        self.now_ms += PROBE_PERIOD_MS;
        let now = MonoMs(self.now_ms);
        if let Some(backend) = observed {
            self.notices[0].observe(backend, WallMs(self.now_ms), now);
        }
        for from in 0..self.notices.len() {
            let outgoing = self.notices[from].outgoing(now);
            for _ in 0..self.rng.random_range(0..5) {
                let to = self.rng.random_range(0..self.notices.len());
                let due_ms = self.now_ms + self.rng.random_range(0..MAX_TRANSIT_MS);
                self.in_transit.push((due_ms, to, outgoing.clone()));
            }
        }
        let (due, later) = self
            .in_transit
            .drain(..)
            .partition(|(due_ms, _, _)| *due_ms <= self.now_ms);
        self.in_transit = later;
        let due: Vec<(u64, usize, Vec<LeavingNotice>)> = due;
        for (_, to, outgoing) in due {
            self.notices[to].merge(&outgoing, now);
        }
        for notices in &mut self.notices {
            notices.tick(now);
        }
    }

    fn informed(&self, backend: &BackendId) -> usize {
        let now = MonoMs(self.now_ms);
        let informed = self.notices.iter().filter(|m| m.is_leaving(backend, now));
        informed.count()
    }
}

#[test_case(11; "eleven instances")]
#[test_case(50; "fifty instances")]
#[test_case(380; "three hundred and eighty instances")]
fn one_observer_informs_all_instances_and_without_it_the_notice_expires(count: usize) {
    let backend = BackendId::try_from("engine-0").unwrap();
    for seed in 0..5 {
        let mut instances = Instances::new(count, seed);
        for _ in 0..SPREAD_MS / PROBE_PERIOD_MS {
            instances.period(Some(&backend));
        }
        assert_eq!(instances.informed(&backend), count, "seed {seed}");
        for _ in 0..120 {
            instances.period(Some(&backend));
            assert_eq!(instances.informed(&backend), count, "seed {seed}");
        }
        let end_periods = (NOTICE_TTL_MS + SPREAD_MS) / PROBE_PERIOD_MS;
        for _ in 0..end_periods {
            instances.period(None);
        }
        assert_eq!(instances.informed(&backend), 0, "seed {seed}");
    }
}

#[test]
fn late_message_revives_no_notice_and_an_observer_on_a_clock_that_went_back_is_accepted() {
    let backend = BackendId::try_from("engine-0").unwrap();
    let mut notices = LeavingBackends::default();
    assert!(notices.observe(&backend, WallMs(9_000), MonoMs(1_000)));
    let late = notices.outgoing(MonoMs(1_000));
    let after = MonoMs(1_000 + NOTICE_TTL_MS);
    assert!(!notices.is_leaving(&backend, after));
    assert!(!notices.merge(&late, after));
    assert!(!notices.is_leaving(&backend, after));
    assert!(notices.observe(&backend, WallMs(100), after));
    assert!(notices.outgoing(after)[0].number > late[0].number);
}
