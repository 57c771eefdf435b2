//! Backend servers as the platform lists them, and how long a missing entry is still used.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use foxtailhold::ids::{AvailabilityZone, BackendId, TargetName};
use foxtailhold::quarantine::CrashId;
use foxtailhold::slots::BackendSlots;
use foxtailhold::time::MonoMs;

/// Entries that lapse while the platform's store is away are back within about this time after its
/// return, if the backend server lives.
pub const LAPSED_ENTRY_MS: u64 = 2_000;
/// The store counts as sound after it has answered for this time without a fault.
pub const STORE_SOUND_MS: u64 = 3_000;

/// The newest start of an identity is remembered for this time after its entry has gone: longer than any
/// message or entry of an older one can be late.
const KNOWN_START_MS: u64 = 600_000;

/// One start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Its identifier, another one for each start ([`BackendId::for_start`]).
    pub id: BackendId,
    /// Its identity, which it may keep when it starts again.
    pub identity: BackendId,
    /// The service that it serves.
    pub service: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has said that it is leaving.
    pub is_leaving: bool,
    /// Unix milliseconds of its start, 0 where it does not say.
    pub started_unix_ms: u64,
}

impl BackendServer {
    /// What tells a crash of this start from others.
    pub fn crash_id(&self) -> CrashId {
        CrashId {
            backend: self.id.clone(),
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// The backend servers that may be used, as one moment's snapshot.
#[derive(Debug, Clone, Default)]
pub struct Backends {
    services: HashMap<TargetName, Vec<Arc<BackendServer>>>,
}

impl Backends {
    /// The backend servers of a service that take new work.
    pub fn of(&self, service: &TargetName) -> &[Arc<BackendServer>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// One of them.
    pub fn find(&self, service: &TargetName, id: &BackendId) -> Option<&Arc<BackendServer>> {
        self.of(service).iter().find(|backend| backend.id == *id)
    }

    /// Whether a backend server takes new work, for whatever service.
    pub fn has(&self, id: &BackendId) -> bool {
        let mut all = self.services.values().flatten();
        all.any(|backend| backend.id == *id)
    }

    /// The places of a service.
    pub fn places(&self, service: &TargetName) -> Vec<BackendSlots> {
        let places = self.of(service).iter().map(|backend| BackendSlots {
            backend: backend.id.clone(),
            zone: backend.zone.clone(),
            slots: backend.slots,
        });
        places.collect()
    }
}

#[derive(Debug)]
struct Entry {
    backend: Arc<BackendServer>,
    /// When its entry went missing.
    missing_since: Option<MonoMs>,
}

/// The newest start seen of one identity.
#[derive(Debug)]
struct Start {
    started_unix_ms: u64,
    seen: MonoMs,
}

/// The list of backend servers, by identity, with the entries that have gone missing.
#[derive(Debug, Default)]
pub struct FleetBook {
    entries: BTreeMap<BackendId, Entry>,
    starts: HashMap<BackendId, Start>,
    sound_since: Option<MonoMs>,
    /// Whether the store has failed here since this process began.
    has_failed: bool,
}

impl FleetBook {
    /// Notes that the store does not answer.
    pub fn store_failed(&mut self) {
        self.sound_since = None;
        self.has_failed = true;
    }

    /// Notes that the store answers.
    pub fn store_answered(&mut self, now: MonoMs) {
        self.sound_since.get_or_insert(now);
    }

    /// A process that has just begun and met no fault has no reason to take a deletion for a lapse, and
    /// waiting for one would send to a backend server that has left for too long.
    fn is_store_sound(&self, now: MonoMs) -> bool {
        let is_long = |since| now.since_ms(since) >= STORE_SOUND_MS;
        self.sound_since
            .is_some_and(|since| !self.has_failed || is_long(since))
    }

    /// Takes a new or changed entry. One of an older start than the newest seen is late and changes
    /// nothing; one without a start, where others of the identity had one, is not its own.
    pub fn put(&mut self, now: MonoMs, backend: BackendServer) {
        let started_unix_ms = backend.started_unix_ms;
        let newest = self.starts.get(&backend.identity);
        let newest_unix_ms = newest.map_or(0, |start| start.started_unix_ms);
        if started_unix_ms < newest_unix_ms {
            if started_unix_ms == 0 {
                self.refuse(&backend.identity);
            }
            return;
        }
        let start = Start {
            started_unix_ms,
            seen: now,
        };
        self.starts.insert(backend.identity.clone(), start);
        let entry = Entry {
            backend: Arc::new(backend),
            missing_since: None,
        };
        self.entries.insert(entry.backend.identity.clone(), entry);
    }

    /// Unix milliseconds of the newest start of an identity.
    pub fn newest_start(&self, identity: &BackendId) -> Option<u64> {
        self.starts.get(identity).map(|start| start.started_unix_ms)
    }

    /// Drops an entry that cannot be read: it names no backend server to use.
    pub fn refuse(&mut self, identity: &BackendId) {
        self.entries.remove(identity);
    }

    /// Takes a deleted entry: gone at once while the store is sound, else after a while.
    pub fn remove(&mut self, now: MonoMs, identity: &BackendId) {
        if self.is_store_sound(now) {
            self.entries.remove(identity);
            return;
        }
        if let Some(entry) = self.entries.get_mut(identity) {
            entry.missing_since.get_or_insert(now);
        }
    }

    /// Takes the whole list.
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
        for backend in all {
            self.put(now, backend);
        }
    }

    /// Drops entries that have been missing for too long while the store answers; returns whether
    /// any was dropped.
    pub fn expire(&mut self, now: MonoMs) -> bool {
        let entries = &self.entries;
        self.starts.retain(|identity, start| {
            entries.contains_key(identity) || now.since_ms(start.seen) < KNOWN_START_MS
        });
        let Some(sound_since) = self.sound_since else {
            return false;
        };
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            let since = entry.missing_since.map(|missing| missing.max(sound_since));
            since.is_none_or(|since| now.since_ms(since) < LAPSED_ENTRY_MS)
        });
        self.entries.len() != before
    }

    /// A snapshot of those that take new work. Where some of a service say when they started all do, and
    /// an entry that does not is of another writer.
    pub fn snapshot(&self) -> Backends {
        let all = self.entries.values().map(|entry| &entry.backend);
        let saying = all.filter(|backend| backend.started_unix_ms > 0);
        let saying: HashSet<&TargetName> = saying.map(|backend| &backend.service).collect();
        let mut backends = Backends::default();
        for entry in self.entries.values() {
            let lacks_start = entry.backend.started_unix_ms == 0;
            let is_foreign = lacks_start && saying.contains(&entry.backend.service);
            if entry.backend.is_leaving || is_foreign {
                continue;
            }
            let service = entry.backend.service.clone();
            let all = backends.services.entry(service).or_default();
            all.push(Arc::clone(&entry.backend));
        }
        backends
    }
}
