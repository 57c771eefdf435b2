//! Marks of leaving backend servers reach all instances and end everywhere.

use foxtailhold::ids::BackendId;
use foxtailhold::leaving::{LeavingBackends, LeavingNotice, NOTICE_TTL_MS};
use foxtailhold::membership::PROBE_PERIOD_MS;
use foxtailhold::time::{MonoMs, WallMs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

/// Longest time a message is on its way in these tests.
const MAX_WAY_MS: u64 = 1_000;

/// Time for a mark to reach all instances.
const SPREAD_MS: u64 = 10_000;

struct Instances {
    marks: Vec<LeavingBackends>,
    on_the_way: Vec<(u64, usize, Vec<LeavingNotice>)>,
    rng: SmallRng,
    now_ms: u64,
}

impl Instances {
    fn new(count: usize, seed: u64) -> Self {
        Instances {
            marks: vec![LeavingBackends::default(); count],
            on_the_way: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 60_000,
        }
    }

    /// One period: each instance tells up to four others; all messages come late, out of order.
    fn period(&mut self, witness: Option<&BackendId>) {
        self.now_ms += PROBE_PERIOD_MS;
        let now = MonoMs(self.now_ms);
        if let Some(backend) = witness {
            self.marks[0].observe(backend, WallMs(self.now_ms), now);
        }
        for from in 0..self.marks.len() {
            let told = self.marks[from].outgoing(now);
            for _ in 0..self.rng.random_range(0..5) {
                let to = self.rng.random_range(0..self.marks.len());
                let due_ms = self.now_ms + self.rng.random_range(0..MAX_WAY_MS);
                self.on_the_way.push((due_ms, to, told.clone()));
            }
        }
        let (due, later) = self
            .on_the_way
            .drain(..)
            .partition(|(due_ms, _, _)| *due_ms <= self.now_ms);
        self.on_the_way = later;
        let due: Vec<(u64, usize, Vec<LeavingNotice>)> = due;
        for (_, to, told) in due {
            self.marks[to].merge(&told, now);
        }
        for marks in &mut self.marks {
            marks.tick(now);
        }
    }

    fn marked(&self, backend: &BackendId) -> usize {
        let now = MonoMs(self.now_ms);
        let marked = self.marks.iter().filter(|m| m.is_leaving(backend, now));
        marked.count()
    }
}

#[test_case(11; "eleven instances")]
#[test_case(50; "fifty instances")]
#[test_case(380; "three hundred and eighty instances")]
fn one_witness_marks_all_and_without_it_the_mark_ends(count: usize) {
    let backend = BackendId::try_from("engine-0").unwrap();
    for seed in 0..5 {
        let mut instances = Instances::new(count, seed);
        for _ in 0..SPREAD_MS / PROBE_PERIOD_MS {
            instances.period(Some(&backend));
        }
        assert_eq!(instances.marked(&backend), count, "seed {seed}");
        for _ in 0..120 {
            instances.period(Some(&backend));
            assert_eq!(instances.marked(&backend), count, "seed {seed}");
        }
        let end_periods = (NOTICE_TTL_MS + SPREAD_MS) / PROBE_PERIOD_MS;
        for _ in 0..end_periods {
            instances.period(None);
        }
        assert_eq!(instances.marked(&backend), 0, "seed {seed}");
    }
}

#[test]
fn late_message_revives_no_mark_and_a_witness_on_a_clock_that_went_back_is_heard() {
    let backend = BackendId::try_from("engine-0").unwrap();
    let mut marks = LeavingBackends::default();
    assert!(marks.observe(&backend, WallMs(9_000), MonoMs(1_000)));
    let late = marks.outgoing(MonoMs(1_000));
    let after = MonoMs(1_000 + NOTICE_TTL_MS);
    assert!(!marks.is_leaving(&backend, after));
    assert!(!marks.merge(&late, after));
    assert!(!marks.is_leaving(&backend, after));
    assert!(marks.observe(&backend, WallMs(100), after));
    assert!(marks.outgoing(after)[0].number > late[0].number);
}
