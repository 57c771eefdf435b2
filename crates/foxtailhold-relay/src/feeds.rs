//! Applies the platform's tables of routes, backend servers and instances.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use foxtailhold::ids::{BackendId, InstanceId, TargetName};
use foxtailhold::quarantine::CrashId;
use foxtailhold::routes::RouteTable;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::MonoMs;
use foxtailhold_http::lock::{Mutex, MutexGuard};
use foxtailhold_platform::{Snapshot, VersionedRow};
use tokio::sync::watch;

use crate::crashes::CRASH_PREFIX;
use crate::dialect::Dialect;
use crate::fleet::{BackendFate, BackendServer, Backends, FleetTable};
use crate::follow::TableSink;
use crate::origin_rows::{ORIGIN_RECORD_KEY, apply_record};
use crate::part_rows::PART_CRASH_PREFIX;
use crate::peers::{Member, Peers};
use crate::platform_tables::PlatformTables;
use crate::relay::Relay;
use crate::tables::FollowedTable;

/// Interval between checks of entries that only expire by time.
const EXPIRY_CHECK_MS: u64 = 200;

/// Applies changes of the route table.
pub(crate) struct RoutesSink<D, R> {
    pub(crate) relay: Arc<Relay<D>>,
    pub(crate) backends_sink: BackendsSink<D, R>,
    pub(crate) tables: R,
}

impl<D: Dialect, R: PlatformTables> RoutesSink<D, R> {
    fn apply_rows(&self, rows: &[VersionedRow]) {
        let key = self.tables.routes_location().1;
        for row in rows {
            if row.key.key != key {
                continue;
            }
            let Some(value) = &row.value else {
                log::warn!("route table deleted from the store, keeping the current one");
                continue;
            };
            match self.tables.read_routes(value) {
                Ok(table) => self.apply_table(table),
                Err(error) => {
                    self.relay.metrics.route_table_rejected();
                    log::error!(row = row.version; "route table rejected, keeping the current one: {error}")
                }
            }
        }
    }

    fn apply_table(&self, table: RouteTable) {
        let current = self.relay.routes.load().version();
        if table.version() <= current {
            return;
        }
        let confirmed = self.relay.metrics.tables().age(FollowedTable::Routes);
        let access = confirmed.map(|(_, access)| access.to_string());
        log::info!(
            version = table.version(), before = current, access = access.as_deref();
            "route table in effect"
        );
        self.relay.routes.store(Arc::new(table));
        self.backends_sink.publish();
    }
}

impl<D: Dialect, R: PlatformTables> TableSink for RoutesSink<D, R> {
    fn replace(&mut self, snapshot: Snapshot) {
        self.apply_rows(&snapshot.rows);
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        self.apply_rows(&rows);
    }

    fn call_ended(&mut self, _is_ok: bool) {}
}

/// Where streams of each route can begin: the versions of the backend servers of its services.
fn possible_origins(
    routes: &RouteTable,
    backends: &Backends,
) -> HashMap<String, BTreeSet<StreamOrigin>> {
    let mut by_service = HashMap::new();
    let mut possible = HashMap::new();
    for route in routes.routes() {
        if !route.kind.is_resumable() {
            continue;
        }
        let mut origins = BTreeSet::new();
        for service in route.active_services() {
            let known = by_service.entry(service);
            origins.extend(known.or_insert_with(|| backends.origins(service)).clone());
        }
        possible.insert(route.name.clone(), origins);
    }
    possible
}

/// Decoded row of a backend server.
enum DecodedRow {
    Backend(BackendServer),
    /// Written by something other than a backend server; names none that can be used.
    Unreadable,
    Deleted,
}

/// Applies changes of the backend servers.
pub(crate) struct BackendsSink<D, R> {
    pub(crate) relay: Arc<Relay<D>>,
    pub(crate) table: Arc<Mutex<FleetTable>>,
    pub(crate) tables: R,
    pub(crate) loaded: watch::Sender<bool>,
}

impl<D, R: Clone> Clone for BackendsSink<D, R> {
    fn clone(&self) -> Self {
        BackendsSink {
            relay: Arc::clone(&self.relay),
            table: Arc::clone(&self.table),
            tables: self.tables.clone(),
            loaded: self.loaded.clone(),
        }
    }
}

impl<D: Dialect, R: PlatformTables> BackendsSink<D, R> {
    fn table(&self) -> MutexGuard<'_, FleetTable> {
        self.table.lock()
    }

    fn decode(&self, row: &VersionedRow) -> DecodedRow {
        let Some(value) = row.value.as_ref() else {
            return DecodedRow::Deleted;
        };
        match self.tables.read_backend(&row.key.key, value) {
            Ok(backend) => DecodedRow::Backend(backend),
            Err(error) => {
                self.relay.metrics.unreadable_row();
                log::warn!(version = row.version; "{error}");
                DecodedRow::Unreadable
            }
        }
    }

    fn apply_row(&self, now: MonoMs, row: &VersionedRow) {
        let identity = match BackendId::try_from(row.key.key.as_str()) {
            Ok(identity) => identity,
            Err(error) => {
                log::warn!("ignoring row {} of a backend server: {error}", row.key.key);
                return;
            }
        };
        match self.decode(row) {
            DecodedRow::Backend(backend) => {
                log::info!(
                    backend = backend.id.as_str(), leaving = backend.is_leaving,
                    software = backend.version.as_str(),
                    version = row.version; "backend server listed"
                );
                self.table().put(now, backend);
            }
            DecodedRow::Unreadable => self.table().remove_unreadable(&identity),
            DecodedRow::Deleted => {
                log::info!(backend = identity.as_str(), version = row.version; "backend server removed");
                self.table().remove(now, &identity);
            }
        }
    }

    /// Records the crashes that only show by what became of the backend server's entry.
    fn report_restart_crashes(&self) {
        let now = self.relay.clock.mono();
        let crashed = {
            let table = self.table();
            let connections = &self.relay.connections;
            let fate = |identity: &BackendId, crash: &CrashId, begun: MonoMs| {
                let fate = table.fate(identity, crash, begun);
                let is_unknown = || {
                    table.is_in_service(identity, &crash.backend)
                        && connections.has_refused(&crash.backend)
                };
                match fate == BackendFate::Unchanged && is_unknown() {
                    true => BackendFate::Gone,
                    false => fate,
                }
            };
            self.relay.pending_attempts.take_crashed(now, fate)
        };
        for attempt in crashed {
            self.relay.peers.record_crash(&attempt);
        }
    }

    /// Drops the evidence of what was taken for a crash of a start that has lived on.
    fn refute_crashes(&self) {
        let table = self.table();
        let fate = |identity: &BackendId, start: &CrashId| table.fate(identity, start, MonoMs(0));
        let peers = &self.relay.peers;
        peers.refute_crashes(table.healthy_since(), fate);
    }

    /// Publishes the backend servers that accept new work.
    fn publish(&self) {
        self.report_restart_crashes();
        let snapshot = self.table().snapshot();
        let routes = self.relay.routes.load();
        // Requests that came under an earlier route table may wait for engines of services that this
        // one leaves out.
        let known = self.relay.peers.pools();
        let engines: HashSet<&TargetName> = routes.engines().chain(&known).collect();
        for engine in engines {
            let slots = snapshot.slots(engine);
            self.relay.peers.set_backends(engine, &slots);
        }
        self.relay.connections.keep_only(|id| snapshot.contains(id));
        self.relay.plain.keep_only(|id| snapshot.contains(id));
        self.relay.metrics.keep_only(|id| snapshot.contains(id));
        if routes.version() > 0 {
            let possible = possible_origins(&routes, &snapshot);
            self.relay.peers.set_possible_origins(possible);
        }
        self.relay.backends.store(Arc::new(snapshot));
    }

    /// Drops entries that have been missing for too long, until aborted.
    pub(crate) async fn expire(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(EXPIRY_CHECK_MS)).await;
            let now = self.relay.clock.mono();
            if self.table().expire(now) {
                self.publish();
            }
            self.report_restart_crashes();
            let crashes = self.relay.peers.crashes();
            if !crashes.is_empty() {
                self.refute_crashes();
                let listed = self.relay.backends.load().all_origins();
                crashes.set_listed(listed, self.relay.clock.wall());
                crashes.review_parts(self.relay.clock.wall());
            }
        }
    }
}

impl<D: Dialect, R: PlatformTables> TableSink for BackendsSink<D, R> {
    fn replace(&mut self, snapshot: Snapshot) {
        let now = self.relay.clock.mono();
        let mut all = Vec::new();
        for row in &snapshot.rows {
            match self.decode(row) {
                DecodedRow::Backend(backend) => all.push(backend),
                DecodedRow::Unreadable | DecodedRow::Deleted => {
                    let identity = BackendId::try_from(row.key.key.as_str());
                    identity
                        .iter()
                        .for_each(|identity| self.table().remove_unreadable(identity));
                }
            }
        }
        log::info!(backends = all.len(), version = snapshot.version; "backend servers read");
        self.table().replace(now, all);
        self.publish();
        self.loaded.send_replace(true);
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        let now = self.relay.clock.mono();
        for row in &rows {
            self.apply_row(now, row);
        }
        self.publish();
    }

    fn call_ended(&mut self, is_ok: bool) {
        let now = self.relay.clock.mono();
        match is_ok {
            true => {
                self.table().store_answered(now);
                self.relay.peers.confirm_origin_history();
            }
            false => {
                self.table().store_failed();
                self.relay.peers.hand_on_unconfirmed();
            }
        }
    }
}

/// Applies changes of the instances and of the crash evidence.
pub(crate) struct MembersSink(pub(crate) Peers);

impl MembersSink {
    /// Applies the rows of instances first, because the others may lead to messages to instances.
    /// No lock is held while a row is applied that can lead to one.
    fn apply_rows(&self, rows: &[VersionedRow]) {
        let (evidence, instances): (Vec<&VersionedRow>, Vec<&VersionedRow>) =
            rows.iter().partition(|row| is_evidence(&row.key.key));
        for row in instances {
            self.apply_member(row);
        }
        for row in evidence {
            self.apply_evidence(row);
        }
        self.0.members_changed();
    }

    fn apply_evidence(&self, row: &VersionedRow) {
        if row.key.key == ORIGIN_RECORD_KEY {
            apply_record(&self.0, Some(row));
            return;
        }
        match row.key.key.strip_prefix(CRASH_PREFIX) {
            Some(key) => self.0.crashes().apply_row(key, row),
            None => self.0.crashes().apply_part_row(row),
        }
    }

    fn apply_member(&self, row: &VersionedRow) {
        let Ok(instance) = InstanceId::try_from(row.key.key.as_str()) else {
            log::warn!(
                "ignoring row {} in the table of instances: unknown key",
                row.key.key
            );
            return;
        };
        let Some(value) = &row.value else {
            self.0.members().remove(&instance);
            return;
        };
        match serde_json::from_slice::<Member>(value) {
            Ok(member) => self.0.members().put(row.version, member),
            Err(error) => log::warn!("cannot decode row of instance {instance}: {error}"),
        }
    }
}

/// Whether a row of the table of instances holds crash evidence or the record of origins.
fn is_evidence(key: &str) -> bool {
    key == ORIGIN_RECORD_KEY || key.starts_with(CRASH_PREFIX) || key.starts_with(PART_CRASH_PREFIX)
}

impl TableSink for MembersSink {
    fn replace(&mut self, snapshot: Snapshot) {
        self.0.members().clear();
        let mut rows = snapshot.rows.iter();
        if !rows.any(|row| row.key.key == ORIGIN_RECORD_KEY) {
            apply_record(&self.0, None);
        }
        self.0.crashes().remove_deleted_rows(&snapshot);
        self.apply_rows(&snapshot.rows);
        self.0.set_table_read();
    }

    fn change(&mut self, rows: Vec<VersionedRow>) {
        self.apply_rows(&rows);
    }

    fn call_ended(&mut self, _is_ok: bool) {}

    fn caught_up(&mut self) {
        self.0.confirm_origin_record();
    }
}
