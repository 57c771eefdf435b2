//! Asks the platform's store whether this instance knows all versions at which streams can have
//! begun, whenever one is taken up that it does not remember.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold_platform::{Feed, PlatformError, RowStore, VersionedRow};
use tokio::task::JoinSet;

use crate::origin_rows::{ORIGIN_RECORD_KEY, apply_record};
use crate::peers::{CONFIRM_TIMEOUT_MS, INSTANCES_TABLE, Peers};
use crate::platform_tables::PlatformTables;
use crate::tables::{FollowedTable, TableStatus};

/// Shortest interval between the begins of two confirmations.
const MIN_INTERVAL_MS: u64 = 25;

/// Result of calls of the store.
type Result<T> = std::result::Result<T, PlatformError>;

/// The rows that a confirmation covers.
struct Confirmer<S, R> {
    store: S,
    peers: Peers,
    tables: R,
    status: TableStatus,
}

impl<S: RowStore, R: PlatformTables> Confirmer<S, R> {
    async fn row(&self, table: &str, key: &str) -> Result<Option<VersionedRow>> {
        let end = format!("{key}\0");
        let snapshot = self.store.read(table, "", key, &end).await?;
        let mut rows = snapshot.rows.into_iter();
        Ok(rows.find(|row| row.key.key == key))
    }

    /// Version of the newest change of the backend servers that this instance may lack.
    async fn newest_backend_change(&self) -> Result<u64> {
        let table = self.tables.backends_table();
        let known = self.status.known_up_to(FollowedTable::Backends);
        let rows = match self.store.follow(table, known, 0).await? {
            Feed::Changed { rows, .. } => rows,
            Feed::HistoryGone => self.store.read(table, "", "", "").await?.rows,
        };
        let versions = rows.iter().map(|row| row.version);
        Ok(versions.max().unwrap_or(0))
    }

    async fn confirm(&self) -> Result<()> {
        let (table, key) = self.tables.routes_location();
        let (record, routes, newest_backend) = tokio::try_join!(
            self.row(INSTANCES_TABLE, ORIGIN_RECORD_KEY),
            self.row(table, key),
            self.newest_backend_change(),
        )?;
        let known = self.peers.origin_record_version();
        if let Some(record) = record.filter(|record| record.version > known) {
            apply_record(&self.peers, Some(&record));
        }
        let routes = routes.map_or(0, |row| row.version);
        let peers = &self.peers;
        peers.wait_applied(FollowedTable::Routes, routes).await;
        let backends = FollowedTable::Backends;
        peers.wait_applied(backends, newest_backend).await;
        Ok(())
    }

    async fn run(&self, number: u64) {
        let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
        let is_confirmed = match tokio::time::timeout(limit, self.confirm()).await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                log::warn!("origins of streams not confirmed: {error}");
                false
            }
            Err(_) => {
                log::warn!("origins of streams not confirmed in time");
                false
            }
        };
        self.peers.confirmation_ended(number, is_confirmed);
    }
}

/// Confirms what this instance knows whenever a stream is taken up, until the task is aborted.
pub(crate) async fn confirm_origins<S: RowStore, R: PlatformTables>(
    store: S,
    peers: Peers,
    tables: R,
    status: TableStatus,
) {
    let confirmer = Arc::new(Confirmer {
        store,
        peers: peers.clone(),
        tables,
        status,
    });
    let mut running = JoinSet::new();
    loop {
        let number = peers.wait_confirmation_due().await;
        let confirmer = Arc::clone(&confirmer);
        running.spawn(async move { confirmer.run(number).await });
        while running.try_join_next().is_some() {}
        tokio::time::sleep(Duration::from_millis(MIN_INTERVAL_MS)).await;
    }
}
