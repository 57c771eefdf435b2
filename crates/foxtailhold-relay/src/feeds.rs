//! What an instance learns from the platform's tables: routes, backend servers, other instances.

use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::{BackendId, InstanceId};
use foxtailhold::routes::RouteTable;
use foxtailhold::time::MonoMs;
use foxtailhold_platform::{Snapshot, VersionedRow};
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::watch;

use crate::crashes::CRASH_PREFIX;
use crate::dialect::Dialect;
use crate::fleet::{BackendServer, FleetBook};
use crate::follow::Sink;
use crate::peers::{Member, Peers};
use crate::platform_tables::PlatformTables;
use crate::relay::Relay;

/// Pause between two looks at entries that time alone changes.
const LOOK_MS: u64 = 200;

/// Feeds routes.
pub(crate) struct RoutesSink<D, R> {
    pub(crate) relay: Arc<Relay<D>>,
    pub(crate) fleet: Fleet<D, R>,
    pub(crate) sources: R,
}

impl<D: Dialect, R: PlatformTables> RoutesSink<D, R> {
    fn take(&self, rows: &[VersionedRow]) {
        let key = self.sources.routes_location().1;
        for row in rows {
            if row.key.key != key {
                continue;
            }
            let Some(value) = &row.value else {
                log::warn!("the routes were deleted; the last ones stay in force");
                continue;
            };
            match self.sources.read_routes(value) {
                Ok(table) => self.apply(table),
                Err(error) => log::error!(row = row.version; "routes refused: {error}"),
            }
        }
    }

    fn apply(&self, table: RouteTable) {
        let known = self.relay.routes.load().version();
        if table.version() <= known {
            return;
        }
        log::info!(version = table.version(), before = known; "routes in force");
        self.relay.routes.store(Arc::new(table));
        self.fleet.publish();
    }
}

impl<D: Dialect, R: PlatformTables> Sink for RoutesSink<D, R> {
    fn replace(&mut self, snapshot: Snapshot) {
        self.take(&snapshot.rows);
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        self.take(&rows);
    }

    fn answered(&mut self, is_sound: bool) {
        if is_sound {
            self.relay.metrics.config_confirmed();
        }
    }
}

/// What a row says of a backend server.
enum Entry {
    Backend(BackendServer),
    /// Of another writer: it names no backend server to use.
    Unreadable,
    Deleted,
}

/// Feeds backend servers.
pub(crate) struct Fleet<D, R> {
    pub(crate) relay: Arc<Relay<D>>,
    pub(crate) book: Arc<Mutex<FleetBook>>,
    pub(crate) sources: R,
    pub(crate) known: watch::Sender<bool>,
}

impl<D, R: Clone> Clone for Fleet<D, R> {
    fn clone(&self) -> Self {
        Fleet {
            relay: Arc::clone(&self.relay),
            book: Arc::clone(&self.book),
            sources: self.sources.clone(),
            known: self.known.clone(),
        }
    }
}

impl<D: Dialect, R: PlatformTables> Fleet<D, R> {
    fn book(&self) -> MutexGuard<'_, FleetBook> {
        self.book.lock()
    }

    fn read(&self, row: &VersionedRow) -> Entry {
        let Some(value) = row.value.as_ref() else {
            return Entry::Deleted;
        };
        match self.sources.read_backend(&row.key.key, value) {
            Ok(backend) => Entry::Backend(backend),
            Err(error) => {
                self.relay.metrics.unreadable_row();
                log::warn!(version = row.version; "{error}");
                Entry::Unreadable
            }
        }
    }

    fn take(&self, now: MonoMs, row: &VersionedRow) {
        let identity = match BackendId::try_from(row.key.key.as_str()) {
            Ok(identity) => identity,
            Err(error) => {
                log::warn!("row {}: {error}", row.key.key);
                return;
            }
        };
        match self.read(row) {
            Entry::Backend(backend) => {
                log::info!(
                    backend = backend.id.as_str(), leaving = backend.is_leaving,
                    version = row.version; "backend server listed"
                );
                self.book().put(now, backend);
            }
            Entry::Unreadable => self.book().refuse(&identity),
            Entry::Deleted => {
                log::info!(backend = identity.as_str(), version = row.version; "backend server removed");
                self.book().remove(now, &identity);
            }
        }
    }

    /// Notes the crashes that showed by a new start only.
    fn settle_runs(&self) {
        let now = self.relay.clock.mono();
        let crashed = {
            let book = self.book();
            let newest_start = |identity: &BackendId| book.newest_start(identity);
            self.relay.unsettled_runs.take_crashed(now, newest_start)
        };
        for (fingerprint, crash) in crashed {
            self.relay.peers.crashed(fingerprint, crash);
        }
    }

    /// Publishes who takes new work.
    fn publish(&self) {
        self.settle_runs();
        let snapshot = self.book().snapshot();
        let routes = self.relay.routes.load();
        for engine in routes.engines() {
            let places = snapshot.places(engine);
            self.relay.peers.set_backends(engine, &places);
        }
        self.relay.connections.keep_only(|id| snapshot.has(id));
        self.relay.plain.keep_only(|id| snapshot.has(id));
        self.relay.metrics.keep_only(|id| snapshot.has(id));
        self.relay.backends.store(Arc::new(snapshot));
        self.known.send_replace(true);
    }

    /// Drops entries that have been missing for too long.
    pub(crate) async fn expire(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            let now = self.relay.clock.mono();
            if self.book().expire(now) {
                self.publish();
            }
            self.settle_runs();
        }
    }
}

impl<D: Dialect, R: PlatformTables> Sink for Fleet<D, R> {
    fn replace(&mut self, snapshot: Snapshot) {
        let now = self.relay.clock.mono();
        let mut all = Vec::new();
        for row in &snapshot.rows {
            match self.read(row) {
                Entry::Backend(backend) => all.push(backend),
                Entry::Unreadable | Entry::Deleted => {
                    let identity = BackendId::try_from(row.key.key.as_str());
                    identity
                        .iter()
                        .for_each(|identity| self.book().refuse(identity));
                }
            }
        }
        log::info!(backends = all.len(), version = snapshot.version; "backend servers read");
        self.book().replace(now, all);
        self.publish();
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        let now = self.relay.clock.mono();
        for row in &rows {
            self.take(now, row);
        }
        self.publish();
    }

    fn answered(&mut self, is_sound: bool) {
        let now = self.relay.clock.mono();
        match is_sound {
            true => self.book().store_answered(now),
            false => self.book().store_failed(),
        }
    }
}

/// Feeds instances.
pub(crate) struct MembersSink(pub(crate) Peers);

impl MembersSink {
    fn take(&self, rows: &[VersionedRow]) {
        let mut members = self.0.members();
        for row in rows {
            if let Some(key) = row.key.key.strip_prefix(CRASH_PREFIX) {
                self.0.crashes().take_row(key, row);
                continue;
            }
            let Ok(instance) = InstanceId::try_from(row.key.key.as_str()) else {
                log::warn!("row {} is no instance", row.key.key);
                continue;
            };
            let Some(value) = &row.value else {
                members.remove(&instance);
                continue;
            };
            match serde_json::from_slice::<Member>(value) {
                Ok(member) => members.put(row.version, member),
                Err(error) => log::warn!("instance {instance} cannot be read: {error}"),
            }
        }
        drop(members);
        self.0.members_changed();
    }
}

impl Sink for MembersSink {
    fn replace(&mut self, snapshot: Snapshot) {
        self.0.members().clear();
        self.take(&snapshot.rows);
        self.0.table_read();
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        self.take(&rows);
    }

    fn answered(&mut self, _is_sound: bool) {}
}
