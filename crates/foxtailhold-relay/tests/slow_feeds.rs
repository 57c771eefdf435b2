//! A change feed whose answers take longer than the first time limit of a call, as a long one does on a
//! slow link.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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
use test_case::test_case;
use tokio::net::UdpSocket;

const TABLE: &str = "jobs";
/// Changes that the first answer has; the others come one by one.
const BACKLOG: u64 = 1_000;

/// Sends a backlog at a limited rate; a call that is given up has to begin anew.
#[derive(Debug, Clone)]
struct SlowStore {
    backlog_ms: u64,
}

fn away<T>() -> Result<T> {
    Err(PlatformError::Unavailable {
        service: "row store",
        detail: "away".into(),
    })
}

impl RowStore for SlowStore {
    async fn commit(&self, _: &Changes) -> Result<Committed> {
        away()
    }

    async fn read(&self, _: &str, _: &str, _: &str, _: &str) -> Result<Snapshot> {
        Ok(Snapshot {
            rows: Vec::new(),
            version: 1,
        })
    }

    async fn follow(&self, _: &str, after: u64, wait_ms: u64) -> Result<Feed> {
        if after < BACKLOG {
            tokio::time::sleep(Duration::from_millis(self.backlog_ms)).await;
        } else {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
        let row = VersionedRow {
            key: RowKey::new(TABLE, "row"),
            value: None,
            version: BACKLOG,
        };
        Ok(Feed::Changed {
            rows: if after < BACKLOG {
                vec![row]
            } else {
                Vec::new()
            },
            version: BACKLOG,
        })
    }
}

impl ObjectStore for SlowStore {
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
struct Applied(Arc<AtomicU64>);

impl TableSink for Applied {
    fn replace(&mut self, _: Snapshot) {}

    fn change(&mut self, rows: Vec<VersionedRow>) {
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        self.0.fetch_max(newest, Ordering::Relaxed);
    }

    fn call_ended(&mut self, _: bool) {}
}

/// Guards against a copy that stays behind for good, because each call begins anew and ends before
/// its answer has arrived.
#[test_case(100 ; "within the first limit of a call")]
#[test_case(1_300 ; "twice that limit")]
#[test_case(2_500 ; "four times that limit")]
#[tokio::test]
async fn a_backlog_that_takes_longer_than_the_first_limit_arrives(backlog_ms: u64) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let me = InstanceId::try_from("edge").unwrap();
    let status = TableStatus::default();
    let zone = "a".try_into().unwrap();
    let peers = Peers::new(me, zone, socket, Clock::default(), status.clone());
    let source = TableSource {
        table: FollowedTable::Jobs,
        name: TABLE,
        timing: FeedTiming::new(1_000),
        status,
    };
    let store = SharedStore::new(SlowStore { backlog_ms }, peers, RelayMetrics::default());
    let applied = Applied::default();
    let following = tokio::spawn(follow(store, source, applied.clone()));
    tokio::time::sleep(Duration::from_millis(4 * backlog_ms + 3_000)).await;
    following.abort();
    assert_eq!(applied.0.load(Ordering::Relaxed), BACKLOG);
}
