//! Who waits for changes of jobs is woken by changes only.

use foxtailhold::ids::{InstanceId, JobId};
use foxtailhold_platform::{RowKey, VersionedRow};
use foxtailhold_relay::jobs::{Job, JobCache};

/// Each wake-up checks the owners of all open jobs and wakes all readers that wait.
#[test]
fn a_row_that_is_known_already_wakes_nobody() {
    let job = Job {
        route: "batch".into(),
        host: "records.example".into(),
        path: "/batch/".into(),
        items: vec![("i0".into(), 1)],
        owner: InstanceId::try_from("edge").unwrap(),
        lost_owners: 0,
        listed: Vec::new(),
        is_ended: false,
        accepted_unix_ms: 1,
        due_unix_ms: 2,
        give_up_unix_ms: 3,
    };
    let row = VersionedRow {
        key: RowKey::new("jobs", "job/j1"),
        value: Some(serde_json::to_vec(&job).unwrap().into()),
        version: 7,
    };
    let cache = JobCache::default();
    cache.put_row(&row);
    assert!(cache.get(&JobId::try_from("j1").unwrap()).is_some());
    let changes = cache.changes();
    cache.put_row(&row);
    assert!(!changes.has_changed().unwrap());
}
