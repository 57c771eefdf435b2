//! The record of listed origins: an instance that has just started is sure with it, and only with it.

use std::collections::{BTreeSet, HashMap};

use foxtailhold::ids::TargetName;
use foxtailhold::origin_history::{
    MAX_HISTORY_GAP_MS, MAX_RECORDED_ORIGINS, OriginHistory, OriginRecord, RECORD_LAG_MS,
};
use foxtailhold::stream_origins::{ORIGIN_TTL_MS, StreamOrigin};
use foxtailhold::time::MonoMs;
use test_case::test_case;

const START: MonoMs = MonoMs(500_000);
const ROUTE: &str = "chat";

fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        service: TargetName::try_from(service).unwrap(),
        version: version.try_into().unwrap(),
    }
}

fn origins(versions: &[&str]) -> BTreeSet<StreamOrigin> {
    let versions = versions.iter();
    versions.map(|version| origin("writers", version)).collect()
}

fn record(versions: &[&str]) -> OriginRecord {
    OriginRecord {
        origins: origins(versions),
        is_complete: true,
    }
}

fn list(history: &mut OriginHistory, now: MonoMs, versions: &[&str]) {
    let routes = HashMap::from([(ROUTE.to_owned(), origins(versions))]);
    history.set_possible(now, routes);
}

fn started(listed: &[&str], recorded: Option<OriginRecord>) -> OriginHistory {
    let mut history = OriginHistory::default();
    list(&mut history, START, listed);
    history.set_record(START, recorded);
    history
}

fn incomplete(record: OriginRecord) -> OriginRecord {
    OriginRecord {
        is_complete: false,
        ..record
    }
}

#[test_case(&["v1"], Some(record(&["v1"])), Some("v1") ; "one version all along")]
#[test_case(&["v2"], Some(record(&["v1"])), None ; "replaced while all instances were down")]
#[test_case(&["v2"], Some(record(&["v1", "v2"])), None ; "the old one left before")]
#[test_case(&["v1", "v2"], Some(record(&["v1", "v2"])), None ; "both serve")]
#[test_case(&["v1", "v2"], Some(record(&["v1"])), None ; "the new one is not recorded yet")]
#[test_case(&["v1"], Some(incomplete(record(&["v1"]))), None ; "the record is not complete")]
#[test_case(&["v1"], None, None ; "no record")]
#[test_case(&[], Some(record(&["v1"])), None ; "nothing is listed")]
fn a_started_instance_is_sure_with_the_record(
    listed: &[&str],
    recorded: Option<OriginRecord>,
    only: Option<&str>,
) {
    let history = started(listed, recorded);
    let expected = only.map(|version| origin("writers", version));
    assert_eq!(history.only_origin(START, ROUTE), expected.as_ref());
    assert_eq!(history.only_origin(START, "other"), None);
}

/// Streams of a route's paths may have begun at the service of another route.
#[test]
fn an_origin_at_another_service_counts_for_every_route() {
    let mut recorded = record(&["v1"]);
    recorded.origins.insert(origin("readers", "v1"));
    let history = started(&["v1"], Some(recorded));
    assert_eq!(history.only_origin(START, ROUTE), None);
}

#[test_case(None, true, Some(record(&["v1"])) ; "created at the first start of all")]
#[test_case(None, false, Some(incomplete(record(&["v1"]))) ; "created later")]
#[test_case(Some(record(&["v1"])), false, None ; "unchanged")]
#[test_case(Some(record(&["v2"])), false, Some(record(&["v1", "v2"])) ; "a version appears")]
#[test_case(Some(OriginRecord::default()), true, Some(incomplete(record(&["v1"]))) ; "unreadable")]
fn the_record_is_written_when_the_listed_versions_change(
    recorded: Option<OriginRecord>,
    is_first_start: bool,
    desired: Option<OriginRecord>,
) {
    let history = started(&["v1"], recorded);
    assert_eq!(history.desired_record(START, is_first_start), desired);
}

#[test]
fn nothing_is_written_before_both_tables_are_read() {
    let mut history = OriginHistory::default();
    list(&mut history, START, &["v1"]);
    assert_eq!(history.desired_record(START, true), None);
    let mut history = OriginHistory::default();
    history.set_record(START, Some(record(&["v1"])));
    assert_eq!(history.desired_record(START, true), None);
    assert_eq!(started(&[], None).desired_record(START, true), None);
}

fn follow(history: &mut OriginHistory, from: MonoMs, seconds: u64) -> MonoMs {
    for second in 1..=seconds {
        history.confirm(from + second * 1_000);
        history.confirm_record(from + second * 1_000);
    }
    from + seconds * 1_000
}

/// An instance that starts meanwhile counts the time anew.
#[test_case(59, false ; "after 59 s")]
#[test_case(60, true ; "after 60 s")]
fn a_version_that_left_stays_in_the_record_for_its_time(seconds: u64, is_removed: bool) {
    let mut history = started(&["v2"], Some(record(&["v1", "v2"])));
    let now = follow(&mut history, START, seconds);
    let expected = is_removed.then(|| record(&["v2"]));
    assert_eq!(history.desired_record(now, false), expected);
}

#[test]
fn a_version_that_comes_back_stays_in_the_record() {
    let mut history = started(&["v2"], Some(record(&["v1", "v2"])));
    let now = follow(&mut history, START, 50);
    list(&mut history, now, &["v1", "v2"]);
    let now = follow(&mut history, now, 5);
    list(&mut history, now, &["v2"]);
    let now = follow(&mut history, now, 59);
    assert_eq!(history.desired_record(now, false), None);
}

#[test]
fn a_gap_counts_the_time_of_a_version_that_left_anew() {
    let mut history = started(&["v2"], Some(record(&["v1", "v2"])));
    let now = follow(&mut history, START, 59) + MAX_HISTORY_GAP_MS + 1;
    assert!(history.confirm(now));
    assert_eq!(history.desired_record(now, false), None);
    let now = follow(&mut history, now, 60);
    assert_eq!(history.desired_record(now, false), Some(record(&["v2"])));
}

/// A version may have come and left between the record as it is known and the list that is followed.
#[test_case(RECORD_LAG_MS, true ; "confirmed side by side with the list")]
#[test_case(RECORD_LAG_MS + 1, false ; "confirmed too early")]
fn an_old_record_makes_nothing_sure(lag_ms: u64, is_sure: bool) {
    let mut history = OriginHistory::default();
    history.set_record(START, Some(record(&["v1"])));
    let now = START + lag_ms;
    list(&mut history, now, &["v1"]);
    assert_eq!(history.only_origin(now, ROUTE).is_some(), is_sure);
    history.confirm_record(now);
    assert!(history.only_origin(now, ROUTE).is_some());
}

#[test]
fn a_record_becomes_complete_when_an_instance_has_followed_for_long_enough() {
    let mut history = started(&["v1"], Some(incomplete(record(&["v1"]))));
    let now = follow(&mut history, START, 59);
    assert_eq!(history.desired_record(now, false), None);
    let now = follow(&mut history, now, 1);
    assert_eq!(history.desired_record(now, false), Some(record(&["v1"])));
    assert_eq!(ORIGIN_TTL_MS, 60_000);
}

#[test]
fn a_full_record_stays_bounded_and_is_never_sure() {
    let names: Vec<String> = (0..200).map(|number| format!("v{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let history = started(&names, Some(record(&[])));
    let desired = history.desired_record(START, false).unwrap();
    assert_eq!(desired.origins.len(), MAX_RECORDED_ORIGINS);
    let history = started(&["v0"], Some(desired));
    assert_eq!(history.only_origin(START, ROUTE), None);
    assert!(history.is_recorded(&origin("writers", "unseen")));
}

/// Rows of another build: fields may be missing or unknown.
#[test_case(r#"{"origins":[{"service":"writers","version":"v1"}]}"#, Some(incomplete(record(&["v1"]))) ; "no flag")]
#[test_case(r#"{"origins":[],"is_complete":true,"later":1}"#, Some(record(&[])) ; "an unknown field")]
#[test_case(r#"{"origins":[{"service":"","version":"v1"}]}"#, None ; "a bad name")]
#[test_case("[]", None ; "another type")]
fn rows_are_read(text: &str, expected: Option<OriginRecord>) {
    assert_eq!(serde_json::from_str::<OriginRecord>(text).ok(), expected);
}

#[test]
fn a_row_is_read_as_it_was_written() {
    let text = serde_json::to_string(&record(&["v1", "v2"])).unwrap();
    let read: OriginRecord = serde_json::from_str(&text).unwrap();
    assert_eq!(read, record(&["v1", "v2"]));
}

/// The row may be deleted or overwritten by another writer; what this instance has seen still counts.
#[test_case(None ; "deleted")]
#[test_case(Some(OriginRecord::default()) ; "unreadable")]
fn a_lost_record_is_restored_with_the_versions_that_left(lost: Option<OriginRecord>) {
    let mut history = started(&["v1", "v2"], Some(record(&["v1", "v2"])));
    let now = follow(&mut history, START, 70);
    list(&mut history, now, &["v2"]);
    let now = follow(&mut history, now, 30);
    history.set_record(now, lost);
    assert_eq!(
        history.desired_record(now, false),
        Some(record(&["v1", "v2"]))
    );
}

/// After a gap, an instance of the first start no longer knows all that was listed.
#[test]
fn a_record_that_is_lost_after_a_gap_is_not_complete() {
    let mut history = started(&["v1"], Some(record(&["v1"])));
    let now = START + MAX_HISTORY_GAP_MS + 1;
    assert!(history.confirm(now));
    history.set_record(now, None);
    let expected = Some(incomplete(record(&["v1"])));
    assert_eq!(history.desired_record(now, true), expected);
}

/// The list may have changed meanwhile.
#[test]
fn nothing_is_removed_while_the_list_is_not_confirmed() {
    let mut history = started(&["v2"], Some(record(&["v1", "v2"])));
    let now = follow(&mut history, START, 50);
    assert_eq!(history.desired_record(now + 11_000, false), None);
}
