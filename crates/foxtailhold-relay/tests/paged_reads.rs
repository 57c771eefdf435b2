//! A table that is read in pages while it changes, and followed after that.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
use foxtailhold_relay::peers::{Datagram, PeerMessage, Peers};
use foxtailhold_relay::shared_store::SharedStore;
use foxtailhold_relay::tables::{FollowedTable, TableStatus};
use parking_lot::Mutex;
use tokio::net::UdpSocket;

const TABLE: &str = "jobs";
/// Version of the first page, and the changes since then. The row of the second one is on a later page,
/// which has it.
const READ_AT: u64 = 5;
const CHANGES: [(u64, &str); 3] = [(6, "b"), (7, "z"), (9, "c")];

fn row((version, key): (u64, &str)) -> VersionedRow {
    VersionedRow {
        key: RowKey::new(TABLE, key),
        value: None,
        version,
    }
}

/// Does not answer the first call of its feed.
#[derive(Debug, Clone, Default)]
struct PagedStore {
    is_called: Arc<AtomicBool>,
}

fn away<T>() -> Result<T> {
    Err(PlatformError::Unavailable {
        service: "row store",
        detail: "away".into(),
    })
}

impl RowStore for PagedStore {
    async fn commit(&self, _: &Changes) -> Result<Committed> {
        away()
    }

    async fn read(&self, _: &str, _: &str, _: &str, _: &str) -> Result<Snapshot> {
        Ok(Snapshot {
            rows: vec![row((4, "a")), row(CHANGES[1])],
            version: READ_AT,
        })
    }

    async fn follow(&self, _: &str, after: u64, wait_ms: u64) -> Result<Feed> {
        if !self.is_called.swap(true, Ordering::Relaxed) {
            return std::future::pending().await;
        }
        let newer = CHANGES.iter().filter(|(version, _)| *version > after);
        let rows: Vec<VersionedRow> = newer.map(|change| row(*change)).collect();
        if rows.is_empty() {
            tokio::time::sleep(Duration::from_millis(wait_ms.max(10))).await;
        }
        Ok(Feed::Changed { rows, version: 9 })
    }
}

impl ObjectStore for PagedStore {
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
struct Applied(Arc<Mutex<Vec<u64>>>);

impl TableSink for Applied {
    fn replace(&mut self, snapshot: Snapshot) {
        self.change(snapshot.rows);
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        let versions = rows.iter().map(|row| row.version);
        self.0.lock().extend(versions);
    }

    fn call_ended(&mut self, _: bool) {}
}

/// Guards against a copy that lacks a change for good, in calm too, because a newer row was on a later
/// page and another instance announced a further change.
#[tokio::test]
async fn a_change_between_two_pages_is_applied_after_an_announcement() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let me = InstanceId::try_from("edge").unwrap();
    let status = TableStatus::default();
    let zone = "a".try_into().unwrap();
    let peers = Peers::new(me, zone, socket, Clock::default(), status.clone());
    tokio::spawn(peers.clone().run());
    let source = TableSource {
        table: FollowedTable::Jobs,
        name: TABLE,
        timing: FeedTiming::new(6_000),
        status: status.clone(),
    };
    let applied = Applied::default();
    let store = SharedStore::new(PagedStore::default(), peers, RelayMetrics::default());
    tokio::spawn(follow(store, source, applied.clone()));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let other = TableStatus::default();
    other.record_changes(FollowedTable::Jobs, &[row(CHANGES[2])]);
    let heartbeat = PeerMessage::LiveInstances {
        instance: InstanceId::try_from("other").unwrap(),
        live: Vec::new(),
    };
    let datagram = Datagram::encode(&heartbeat, Some(&other.versions())).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.send_to(&datagram, address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let applied = applied.0.lock().clone();
    for (version, _) in CHANGES {
        assert!(applied.contains(&version), "{version}: {applied:?}");
    }
}
