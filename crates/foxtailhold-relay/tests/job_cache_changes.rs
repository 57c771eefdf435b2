//! Rows of jobs reach the cache on several paths and in any order. Who waits for changes is woken by
//! changes only.

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold_platform::{RowKey, Snapshot, VersionedRow};
use foxtailhold_relay::jobs::{Job, JobCache};

fn job_row(version: u64, is_ended: bool) -> VersionedRow {
    let job = Job {
        route: "batch".into(),
        host: "records.example".into(),
        path: "/batch/".into(),
        items: vec![("i0".into(), 1)],
        owner: InstanceId::try_from("edge").unwrap(),
        lost_owners: 0,
        listed: Vec::new(),
        long_results: Vec::new(),
        is_ended,
        accepted_unix_ms: 1,
        due_unix_ms: 2,
        give_up_unix_ms: 3,
        give_up_store_ms: 0,
    };
    VersionedRow {
        key: RowKey::new("jobs", "job/j1"),
        value: Some(serde_json::to_vec(&job).unwrap().into()),
        version,
    }
}

fn tombstone(version: u64) -> VersionedRow {
    VersionedRow {
        value: None,
        ..job_row(version, false)
    }
}

fn known_version(cache: &JobCache) -> Option<u64> {
    let cached = cache.get(&JobId::try_from("j1").unwrap());
    cached.map(|cached| cached.version)
}

/// Each wake-up checks the owners of all open jobs and wakes all readers that wait.
#[test]
fn a_row_that_is_known_already_wakes_nobody() {
    let row = job_row(7, false);
    let cache = JobCache::default();
    cache.put_row(&row);
    assert_eq!(known_version(&cache), Some(7));
    let changes = cache.changes();
    cache.put_row(&row);
    assert!(!changes.has_changed().unwrap());
}

/// Guards against a job that is not found because the deletion of an earlier one arrives late.
#[test]
fn a_late_tombstone_does_not_delete_a_newer_job() {
    let cache = JobCache::default();
    cache.put_row(&job_row(9, false));
    cache.put_row(&tombstone(8));
    assert_eq!(known_version(&cache), Some(9));
    cache.put_rows(&[tombstone(8)]);
    assert_eq!(known_version(&cache), Some(9));
    cache.put_row(&tombstone(10));
    assert_eq!(known_version(&cache), None);
}

/// Guards against a job that goes on because an older row of it arrives after its end.
#[test]
fn a_late_row_does_not_undo_the_end_of_a_job() {
    let cache = JobCache::default();
    cache.put_row(&job_row(9, true));
    cache.put_rows(&[job_row(8, false)]);
    assert!(cache.open().is_empty());
    assert_eq!(known_version(&cache), Some(9));
}

/// Guards against a job that is forgotten because a table was read before its acceptance.
#[test]
fn a_table_read_before_an_acceptance_does_not_remove_the_job() {
    let cache = JobCache::default();
    cache.put_row(&job_row(9, false));
    let snapshot = |version| Snapshot {
        rows: Vec::new(),
        version,
    };
    cache.replace(&snapshot(8));
    assert_eq!(known_version(&cache), Some(9));
    cache.replace(&snapshot(10));
    assert_eq!(known_version(&cache), None);
}

/// Guards against a deleted job that is known again, since a call read its row before the deletion.
#[test]
fn a_row_read_before_a_deletion_does_not_bring_the_job_back() {
    let cache = JobCache::default();
    cache.put_row(&job_row(9, false));
    cache.put_rows(&[tombstone(10)]);
    cache.put_row(&job_row(9, false));
    assert_eq!(known_version(&cache), None);
}

/// Guards against a quota that is forgotten because the deletion of an earlier row arrives late.
#[test]
fn a_late_tombstone_does_not_delete_a_newer_quota() {
    let quota_row = |version, value: Option<&'static [u8]>| VersionedRow {
        key: RowKey::new("jobs", "quota/batch"),
        value: value.map(Into::into),
        version,
    };
    let cache = JobCache::default();
    cache.put_row(&quota_row(9, Some(br#"{"waiting_tokens": 7}"#)));
    cache.put_row(&quota_row(8, None));
    assert_eq!(cache.quota("batch").version, 9);
    cache.put_row(&quota_row(10, None));
    assert_eq!(cache.quota("batch").version, 0);
}
