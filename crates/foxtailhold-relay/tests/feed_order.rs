//! What a consumer of a table is told, and when: that it has caught up only after the changes have been
//! applied, and not when the change feed no longer covers them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::ids::InstanceId;
use foxtailhold_http::clock::Clock;
use foxtailhold_platform::{
    Changes, Committed, Feed, ObjectStore, PlatformError, Result, RowKey, RowStore, Snapshot,
    VersionedRow,
};
use foxtailhold_relay::follow::{FeedTiming, TableSink, TableSource, follow};
use foxtailhold_relay::metrics::RelayMetrics;
use foxtailhold_relay::peers::Peers;
use foxtailhold_relay::shared_store::SharedStore;
use foxtailhold_relay::tables::{FollowedTable, TableStatus};
use parking_lot::Mutex;
use tokio::net::UdpSocket;

const TABLE: &str = "instances";

/// Gives prepared answers, and none once they are used up.
#[derive(Debug, Clone, Default)]
struct ScriptedStore {
    snapshots: Arc<Mutex<VecDeque<Snapshot>>>,
    feeds: Arc<Mutex<VecDeque<Feed>>>,
}

fn away<T>() -> Result<T> {
    Err(PlatformError::Unavailable {
        service: "row store",
        detail: "away".into(),
    })
}

impl RowStore for ScriptedStore {
    async fn commit(&self, _: &Changes) -> Result<Committed> {
        away()
    }

    async fn read(&self, _: &str, _: &str, _: &str, _: &str) -> Result<Snapshot> {
        self.snapshots.lock().pop_front().map_or_else(away, Ok)
    }

    async fn follow(&self, _: &str, _: u64, _: u64) -> Result<Feed> {
        self.feeds.lock().pop_front().map_or_else(away, Ok)
    }
}

impl ObjectStore for ScriptedStore {
    async fn put_object(&self, _: &str, _: Bytes) -> Result<()> {
        away()
    }

    async fn get_object(&self, _: &str) -> Result<Option<Bytes>> {
        away()
    }

    async fn delete_object(&self, _: &str) -> Result<()> {
        away()
    }

    async fn list_objects(&self, _: &str, _: &str, _: usize) -> Result<Vec<String>> {
        away()
    }
}

#[derive(Debug, Clone, Default)]
struct Told(Arc<Mutex<Vec<&'static str>>>);

impl TableSink for Told {
    fn replace(&mut self, _: Snapshot) {
        self.0.lock().push("replaced");
    }

    fn change(&mut self, _: Vec<VersionedRow>) {
        self.0.lock().push("changed");
    }

    fn call_ended(&mut self, _: bool) {}

    fn caught_up(&mut self) {
        self.0.lock().push("caught up");
    }
}

fn changed(versions: &[u64]) -> Feed {
    let rows = versions.iter().map(|version| VersionedRow {
        key: RowKey::new(TABLE, "row"),
        value: None,
        version: *version,
    });
    Feed::Changed {
        rows: rows.collect(),
        version: versions.last().copied().unwrap_or(1),
    }
}

async fn told(feeds: &[Feed]) -> Vec<&'static str> {
    let snapshot = Snapshot {
        rows: Vec::new(),
        version: 1,
    };
    follow_scripted(snapshot, feeds).await.0
}

/// What the consumer was told, and the status of the table then.
async fn follow_scripted(snapshot: Snapshot, feeds: &[Feed]) -> (Vec<&'static str>, TableStatus) {
    let store = ScriptedStore::default();
    store.snapshots.lock().push_back(snapshot);
    store.feeds.lock().extend(feeds.iter().cloned());
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let me = InstanceId::try_from("edge").unwrap();
    let status = TableStatus::default();
    let zone = "a".try_into().unwrap();
    let peers = Peers::new(me, zone, socket, Clock::default(), status.clone());
    let source = TableSource {
        table: FollowedTable::Instances,
        name: TABLE,
        timing: FeedTiming::new(1_000),
        status: status.clone(),
    };
    let sink = Told::default();
    let store = SharedStore::new(store, peers, RelayMetrics::default());
    let following = tokio::spawn(follow(store, source, sink.clone()));
    tokio::time::sleep(Duration::from_millis(300)).await;
    following.abort();
    let told = sink.0.lock().clone();
    (told, status)
}

#[tokio::test]
async fn a_consumer_has_caught_up_after_the_changes() {
    let told = told(&[changed(&[]), changed(&[2])]).await;
    let expected = ["replaced", "caught up", "caught up", "changed", "caught up"];
    assert_eq!(told, expected);
}

/// The store answers, but has not said what has changed; the read that follows fails.
#[tokio::test]
async fn a_consumer_has_not_caught_up_when_the_history_is_gone() {
    let told = told(&[changed(&[]), Feed::HistoryGone]).await;
    assert_eq!(told, ["replaced", "caught up", "caught up"]);
}

/// Guards against a change that is never applied, because it was made while the pages of a table were
/// read and a row of a later page is newer.
#[tokio::test]
async fn a_change_between_two_pages_of_a_table_counts_as_missing() {
    let snapshot = Snapshot {
        rows: vec![VersionedRow {
            key: RowKey::new(TABLE, "row of the last page"),
            value: None,
            version: 7,
        }],
        version: 5,
    };
    let (_, status) = follow_scripted(snapshot, &[]).await;
    assert_eq!(status.known_up_to(FollowedTable::Instances), 5);
}
