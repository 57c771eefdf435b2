//! Origins of single streams in rows: what is written when, at which rate, and what is deleted.

use std::collections::{BTreeMap, HashMap};

use foxtailhold::origin_log::{
    LogChanges, MAX_LOG_ROWS, MAX_ORIGINS_PER_ROW, MAX_ROWS_PER_COMMIT, OriginLog, OriginRow,
    StaleRows, commit_interval_ms,
};
use foxtailhold::stream_origins::{AttemptHash, AttemptOrigin, ORIGIN_TTL_MS, StreamOrigin};
use foxtailhold::time::MonoMs;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const START: MonoMs = MonoMs(500_000);

fn origin(number: usize) -> AttemptOrigin {
    let version = if number.is_multiple_of(3) { "v2" } else { "v1" };
    let origin = StreamOrigin {
        service: "writers".try_into().unwrap(),
        version: version.try_into().unwrap(),
    };
    (AttemptHash::from(format!("a{number}").as_str()), origin)
}

/// Rows of the store, as far as the transactions reached it.
#[derive(Default)]
struct Stored(BTreeMap<u64, OriginRow>);

impl Stored {
    fn apply(&mut self, changes: &LogChanges) {
        self.0.extend(changes.puts.iter().cloned());
        for number in &changes.deletes {
            self.0.remove(number);
        }
    }

    fn origins(&self) -> HashMap<AttemptHash, StreamOrigin> {
        let origins = self.0.values().flat_map(OriginRow::origins);
        origins
            .map(|(attempt, origin)| (attempt, origin.clone()))
            .collect()
    }
}

#[test]
fn origins_are_written_once_and_deleted_after_their_time() {
    let (mut log, mut stored) = (OriginLog::default(), Stored::default());
    assert!(log.changes(START).is_empty());
    for number in 0..MAX_ORIGINS_PER_ROW + 1 {
        log.push(START, origin(number));
    }
    let changes = log.changes(START);
    assert_eq!(changes.puts.len(), 2);
    stored.apply(&changes);
    log.committed(&changes);
    assert!(log.changes(START + 1_000).is_empty());
    assert_eq!(stored.origins().len(), MAX_ORIGINS_PER_ROW + 1);

    log.push(START + 1_000, origin(1_000));
    let changes = log.changes(START + 1_000);
    assert_eq!(changes.puts.len(), 1, "only the row that has changed");
    stored.apply(&changes);
    log.committed(&changes);
    let changes = log.changes(START + ORIGIN_TTL_MS);
    assert_eq!(
        (changes.puts.len(), changes.deletes.as_slice()),
        (0, &[0][..])
    );
    stored.apply(&changes);
    log.committed(&changes);
    assert_eq!(
        stored.origins().get(&origin(1_000).0),
        Some(&origin(1_000).1)
    );
    let changes = log.changes(START + 1_000 + ORIGIN_TTL_MS);
    stored.apply(&changes);
    log.committed(&changes);
    assert!(stored.origins().is_empty());
    assert!(log.changes(START + 2 * ORIGIN_TTL_MS).is_empty());
}

#[test]
fn what_was_not_committed_stays_due() {
    let mut log = OriginLog::default();
    log.push(START, origin(1));
    let first = log.changes(START);
    log.push(START, origin(2));
    log.committed(&first);
    let second = log.changes(START);
    assert_eq!(second.puts[0].1.origins().count(), 2);
    assert_eq!(log.changes(START), second);
}

/// The newest streams are the likeliest to be taken up.
#[test]
fn a_transaction_is_bounded_and_begins_with_the_newest_rows() {
    let mut log = OriginLog::default();
    for number in 0..(MAX_LOG_ROWS + 10) * MAX_ORIGINS_PER_ROW {
        log.push(START, origin(number));
    }
    assert_eq!(log.dropped(), 10);
    let changes = log.changes(START);
    assert_eq!(changes.puts.len(), MAX_ROWS_PER_COMMIT);
    assert_eq!(changes.puts[0].0, (MAX_LOG_ROWS + 9) as u64);
    let mut commits = 0;
    loop {
        let changes = log.changes(START);
        if changes.is_empty() {
            break;
        }
        assert!(changes.puts.len() + changes.deletes.len() <= MAX_ROWS_PER_COMMIT);
        log.committed(&changes);
        commits += 1;
    }
    assert_eq!(commits, MAX_LOG_ROWS.div_ceil(MAX_ROWS_PER_COMMIT) + 1);
}

#[test_case(3, 50 ; "few instances")]
#[test_case(10, 100 ; "ten")]
#[test_case(86, 860 ; "eighty-six")]
#[test_case(380, 3_800 ; "the largest deployment")]
fn all_instances_together_make_at_most_a_hundred_transactions_a_second(
    instances: usize,
    interval_ms: u64,
) {
    assert_eq!(commit_interval_ms(instances), interval_ms);
    assert!(instances as u64 * 1_000 / interval_ms <= 100);
}

/// Streams begin at steady, bursting and rising rates while commits fail at times; all instances are
/// lost at a random moment. What is lost with them began within an interval, or since the last commit
/// that succeeded.
#[test_case(|_| 4 ; "steady")]
#[test_case(|tick| if tick % 40 < 4 { 30 } else { 0 } ; "bursts")]
#[test_case(|tick| tick as usize / 10 ; "ramp")]
fn only_the_newest_streams_are_unknown_after_the_loss_of_all_instances(begun_in: fn(u64) -> usize) {
    const TICK_MS: u64 = 100;
    for seed in 0..8 {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut log, mut stored) = (OriginLog::default(), Stored::default());
        let (mut begun, mut committed_up_to) = (Vec::new(), 0);
        let lost_at = random.random_range(50..400);
        for tick in 0..lost_at {
            let now = START + tick * TICK_MS;
            for _ in 0..begun_in(tick) {
                let origin = origin(begun.len());
                log.push(now, origin.clone());
                begun.push(origin);
            }
            let changes = log.changes(now);
            if random.random_bool(0.2) {
                continue;
            }
            stored.apply(&changes);
            log.committed(&changes);
            committed_up_to = begun.len();
        }
        let found = stored.origins();
        for (attempt, origin) in &begun[..committed_up_to] {
            assert_eq!(found.get(attempt), Some(origin), "seed {seed}");
        }
    }
}

#[test]
fn rows_that_nobody_changes_are_stale() {
    let mut rows = StaleRows::default();
    assert!(rows.is_empty());
    assert!(
        rows.observe([("a/0", 5), ("b/0", 6)].into_iter())
            .is_empty()
    );
    assert!(!rows.is_empty());
    let stale = rows.observe([("a/0", 9), ("b/0", 6), ("c/0", 8)].into_iter());
    assert_eq!(stale, ["b/0"]);
    assert!(rows.observe([].into_iter()).is_empty());
    assert!(rows.is_empty());
}

#[test]
fn a_row_is_read_as_it_was_written() {
    let row: OriginRow = (0..10).map(origin).collect();
    let bytes = serde_json::to_vec(&row).unwrap();
    let read: OriginRow = serde_json::from_slice(&bytes).unwrap();
    assert_eq!(read, row);
    assert_eq!(read.origins().count(), 10);
}
