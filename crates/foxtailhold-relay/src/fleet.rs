//! Backend servers listed by the platform, and how long a missing entry is still used.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhold::ids::{AvailabilityZone, BackendId, TargetName};
use foxtailhold::quarantine::CrashId;
use foxtailhold::routes::Route;
use foxtailhold::slots::BackendSlots;
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::MonoMs;

/// Time after the return of the platform's store within which entries that expired during its
/// outage are written again, if their backend server is alive.
pub const MISSING_ENTRY_TTL_MS: u64 = 2_000;

/// Time for which the newest start of an identity is remembered after its entry is gone. It is
/// longer than any message or entry of an older start can be delayed.
const START_RETENTION_MS: u64 = 600_000;

/// One start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Identifier, different for each start ([`BackendId::for_start`]).
    pub id: BackendId,
    /// Identity, which a backend server may keep across restarts.
    pub identity: BackendId,
    /// Service that it serves.
    pub service: TargetName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the backend server.
    pub zone: AvailabilityZone,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// Whether it has announced that it is leaving.
    pub is_leaving: bool,
    /// Unix milliseconds of its start, 0 if it does not state it.
    pub started_unix_ms: u64,
    /// Version of its software.
    pub version: SoftwareVersion,
}

impl BackendServer {
    /// Origin of the streams that begin here.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin {
            service: self.service.clone(),
            version: self.version.clone(),
        }
    }

    /// Identifies a crash of this start.
    pub fn crash_id(&self) -> CrashId {
        CrashId {
            backend: self.id.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// What became of one start of a backend server, according to the entries of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendFate {
    /// Nothing shows that it has ended, or it was leaving.
    Unchanged,
    /// Its identity or its address has a newer start.
    Restarted,
    /// Its entry is gone.
    Gone,
}

/// Snapshot of the backend servers that accept new work.
#[derive(Debug, Clone, Default)]
pub struct Backends {
    services: HashMap<TargetName, Vec<Arc<BackendServer>>>,
}

impl Backends {
    /// Backend servers of a service that accept new work.
    pub fn for_service(&self, service: &TargetName) -> &[Arc<BackendServer>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// A backend server of a service; `None` if it accepts no new work.
    pub fn find(&self, service: &TargetName, id: &BackendId) -> Option<&Arc<BackendServer>> {
        self.for_service(service)
            .iter()
            .find(|backend| backend.id == *id)
    }

    /// Origins of the streams that begin at a service.
    pub fn origins(&self, service: &TargetName) -> BTreeSet<StreamOrigin> {
        let all = self.for_service(service).iter();
        let versions: BTreeSet<&SoftwareVersion> = all.map(|backend| &backend.version).collect();
        let origins = versions.into_iter().map(|version| StreamOrigin {
            service: service.clone(),
            version: version.clone(),
        });
        origins.collect()
    }

    /// Service and version of all backend servers that accept new work.
    pub fn all_origins(&self) -> BTreeSet<StreamOrigin> {
        let services = self.services.keys();
        services.flat_map(|service| self.origins(service)).collect()
    }

    /// Whether a backend server of a version accepts new work for a service.
    pub fn has_version(&self, service: &TargetName, version: &SoftwareVersion) -> bool {
        let mut all = self.for_service(service).iter();
        all.any(|backend| backend.version == *version)
    }

    /// Whether a route leads to the service of an origin and that has a backend server of the version.
    pub fn serves(&self, route: &Route, origin: &StreamOrigin) -> bool {
        let mut active = route.active_services();
        active.any(|service| *service == origin.service)
            && self.has_version(&origin.service, &origin.version)
    }

    /// Whether a backend server accepts new work for any service.
    pub fn contains(&self, id: &BackendId) -> bool {
        let mut all = self.services.values().flatten();
        all.any(|backend| backend.id == *id)
    }

    /// Whether a newer start accepts new work under the identity or at the address of a backend server.
    /// Its own process has ended then.
    pub fn has_newer_start(&self, backend: &BackendServer) -> bool {
        let mut all = self.services.values().flatten();
        all.any(|other| {
            let is_successor =
                other.identity == backend.identity || other.address == backend.address;
            is_successor && other.started_unix_ms > backend.started_unix_ms
        })
    }

    /// Backend servers of a service that accept new work and run another version than `version`.
    pub fn of_other_versions<'a>(
        &'a self,
        service: &TargetName,
        version: &'a SoftwareVersion,
    ) -> impl Iterator<Item = &'a Arc<BackendServer>> + use<'a> {
        let all = self.for_service(service).iter();
        all.filter(move |backend| backend.version != *version)
    }

    /// Slots of the backend servers of a service.
    pub fn slots(&self, service: &TargetName) -> Vec<BackendSlots> {
        let slots = self
            .for_service(service)
            .iter()
            .map(|backend| BackendSlots {
                backend: backend.id.clone(),
                zone: backend.zone.clone(),
                slots: backend.slots,
                version: backend.version.clone(),
            });
        slots.collect()
    }
}

#[derive(Debug)]
struct FleetEntry {
    backend: Arc<BackendServer>,
    /// Whether the entry was deleted or was missing from a complete list.
    is_missing: bool,
    /// Number of the update with which the identity appeared.
    appeared_in: u64,
}

/// A start whose entry is gone or whose address has a newer one.
#[derive(Debug)]
struct EndedStart {
    fate: BackendFate,
    seen_at: MonoMs,
}

/// Newest known start of one identity.
#[derive(Debug)]
struct NewestStart {
    started_unix_ms: u64,
    first_seen_at: MonoMs,
    seen_at: MonoMs,
}

/// Listed backend servers by identity, including entries that are missing for the moment.
#[derive(Debug, Default)]
pub struct FleetTable {
    entries: BTreeMap<BackendId, FleetEntry>,
    newest_starts: HashMap<BackendId, NewestStart>,
    ended_starts: HashMap<BackendId, EndedStart>,
    updates: u64,
    healthy_since: Option<MonoMs>,
    /// Whether a store call has failed since the start of this process.
    has_failed: bool,
}

impl FleetTable {
    /// Records a failed store call.
    pub fn store_failed(&mut self) {
        self.healthy_since = None;
        self.has_failed = true;
    }

    /// Records an answered store call.
    pub fn store_answered(&mut self, now: MonoMs) {
        self.healthy_since.get_or_insert(now);
    }

    /// Since when the store has answered without an error.
    pub fn healthy_since(&self) -> Option<MonoMs> {
        self.healthy_since
    }

    /// Whether a missing entry is gone. Until a fixed time after the store's return it may have
    /// expired during the outage. A process that has just started and seen no error has no reason to
    /// expect that; waiting would send requests to a backend server that has left.
    fn is_absence_certain(&self, now: MonoMs) -> bool {
        let is_over = |since| now.since_ms(since) >= MISSING_ENTRY_TTL_MS;
        self.healthy_since
            .is_some_and(|since| !self.has_failed || is_over(since))
    }

    /// Applies a new or changed entry. An entry with an older start than the newest known one is
    /// late and is ignored. An entry without a start, of an identity that has stated one, was not
    /// written by the backend server and removes the entry.
    pub fn put(&mut self, now: MonoMs, backend: BackendServer) {
        self.updates += 1;
        self.put_in_update(now, backend);
    }

    fn put_in_update(&mut self, now: MonoMs, backend: BackendServer) {
        let started_unix_ms = backend.started_unix_ms;
        let newest = self.newest_starts.get(&backend.identity);
        let newest_unix_ms = newest.map_or(0, |start| start.started_unix_ms);
        if started_unix_ms < newest_unix_ms {
            if started_unix_ms == 0 {
                self.remove_unreadable(&backend.identity);
            }
            return;
        }
        let same = newest.filter(|newest| newest.started_unix_ms == started_unix_ms);
        let start = NewestStart {
            started_unix_ms,
            first_seen_at: same.map_or(now, |newest| newest.first_seen_at),
            seen_at: now,
        };
        self.newest_starts.insert(backend.identity.clone(), start);
        self.ended_starts.remove(&backend.id);
        let known = self.entries.get(&backend.identity);
        let appeared_in = known.map_or(self.updates, |entry| entry.appeared_in);
        if known.is_none() {
            self.end_former_starts(now, &backend);
        }
        let entry = FleetEntry {
            backend: Arc::new(backend),
            is_missing: false,
            appeared_in,
        };
        self.entries.insert(entry.backend.identity.clone(), entry);
    }

    /// Records that the starts listed earlier at the address of a new identity have ended.
    fn end_former_starts(&mut self, now: MonoMs, new: &BackendServer) {
        for entry in self.entries.values() {
            let former = &entry.backend;
            let is_earlier = entry.appeared_in < self.updates;
            if former.address != new.address || !is_earlier || former.is_leaving {
                continue;
            }
            if new.started_unix_ms < former.started_unix_ms {
                continue;
            }
            let ended = EndedStart {
                fate: BackendFate::Restarted,
                seen_at: now,
            };
            self.ended_starts.insert(former.id.clone(), ended);
        }
    }

    fn drop_entry(&mut self, now: MonoMs, identity: &BackendId) {
        let Some(entry) = self.entries.remove(identity) else {
            return;
        };
        if !entry.backend.is_leaving {
            let ended = self.ended_starts.entry(entry.backend.id.clone());
            ended.or_insert(EndedStart {
                fate: BackendFate::Gone,
                seen_at: now,
            });
        }
    }

    /// What became of the start `crash` of `identity`, as far as that was not known before `since`.
    pub fn fate(&self, identity: &BackendId, crash: &CrashId, since: MonoMs) -> BackendFate {
        let newest = self.newest_starts.get(identity);
        let newer = newest.filter(|start| start.started_unix_ms > crash.started_unix_ms);
        let ended = self.ended_starts.get(&crash.backend);
        let (fate, seen_at) = match (newer, ended) {
            (Some(newer), _) => (BackendFate::Restarted, newer.first_seen_at),
            (None, Some(ended)) => (ended.fate, ended.seen_at),
            (None, None) => return BackendFate::Unchanged,
        };
        match seen_at >= since {
            true => fate,
            false => BackendFate::Unchanged,
        }
    }

    /// Whether a start is listed and has not announced that it is leaving.
    pub fn is_in_service(&self, identity: &BackendId, start: &BackendId) -> bool {
        let entry = self.entries.get(identity);
        entry.is_some_and(|entry| entry.backend.id == *start && !entry.backend.is_leaving)
    }

    /// Unix milliseconds of the newest known start of an identity.
    pub fn newest_start(&self, identity: &BackendId) -> Option<u64> {
        self.newest_starts
            .get(identity)
            .map(|start| start.started_unix_ms)
    }

    /// Removes an entry that cannot be decoded and so names no usable backend server.
    pub fn remove_unreadable(&mut self, identity: &BackendId) {
        self.entries.remove(identity);
    }

    /// Applies a deletion: at once, or when the time after the store's return is over within which
    /// the entry may come back.
    pub fn remove(&mut self, now: MonoMs, identity: &BackendId) {
        if self.is_absence_certain(now) {
            self.drop_entry(now, identity);
            return;
        }
        if let Some(entry) = self.entries.get_mut(identity) {
            entry.is_missing = true;
        }
    }

    /// Applies the complete list.
    pub fn replace(&mut self, now: MonoMs, all: Vec<BackendServer>) {
        let missing: Vec<BackendId> = self
            .entries
            .keys()
            .filter(|identity| all.iter().all(|backend| backend.identity != **identity))
            .cloned()
            .collect();
        for identity in missing {
            self.remove(now, &identity);
        }
        self.updates += 1;
        for backend in all {
            self.put_in_update(now, backend);
        }
    }

    /// Drops missing entries once the time after the store's return is over. Returns whether any was
    /// dropped.
    pub fn expire(&mut self, now: MonoMs) -> bool {
        let entries = &self.entries;
        self.newest_starts.retain(|identity, start| {
            entries.contains_key(identity) || now.since_ms(start.seen_at) < START_RETENTION_MS
        });
        self.ended_starts
            .retain(|_, ended| now.since_ms(ended.seen_at) < START_RETENTION_MS);
        if !self.is_absence_certain(now) {
            return false;
        }
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, entry)| entry.is_missing);
        let expired: Vec<BackendId> = expired.map(|(identity, _)| identity.clone()).collect();
        for identity in &expired {
            self.drop_entry(now, identity);
        }
        !expired.is_empty()
    }

    /// Returns the backend servers that accept new work. A start whose address has a newer one has
    /// ended, though its entry has not expired yet. If some backend servers of a service state
    /// their start, all do; an entry of the service without one has another writer and is skipped.
    pub fn snapshot(&self) -> Backends {
        let all = self.entries.values().map(|entry| &entry.backend);
        let with_start = all.filter(|backend| backend.started_unix_ms > 0);
        let with_start: HashSet<&TargetName> = with_start.map(|backend| &backend.service).collect();
        let mut backends = Backends::default();
        for entry in self.entries.values() {
            let lacks_start = entry.backend.started_unix_ms == 0;
            let has_other_writer = lacks_start && with_start.contains(&entry.backend.service);
            let has_ended = self.ended_starts.contains_key(&entry.backend.id);
            if entry.backend.is_leaving || has_other_writer || has_ended {
                continue;
            }
            let service = entry.backend.service.clone();
            let all = backends.services.entry(service).or_default();
            all.push(Arc::clone(&entry.backend));
        }
        backends
    }
}
