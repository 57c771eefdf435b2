//! Where the streams of each route can have begun.
//!
//! While there is only one answer, nothing needs to be remembered about single streams. An instance
//! knows the answer once it has followed the tables for longer than streams last. One that has just
//! started knows it from the [`OriginRecord`] in the platform's store, which outlives all instances.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::TargetName;
use crate::stream_origins::{ORIGIN_TTL_MS, StreamOrigin};
use crate::time::MonoMs;

/// Longest time between two answers of the store after which the history counts as unbroken.
pub const MAX_HISTORY_GAP_MS: u64 = 6_000;
/// Time by which the record may have been confirmed earlier than the tables from which the history
/// begins. They are read side by side.
pub const RECORD_LAG_MS: u64 = 1_000;
/// Largest number of origins in the record. From two on, the number makes no difference.
pub const MAX_RECORDED_ORIGINS: usize = 64;

/// All origins that were listed in the last [`ORIGIN_TTL_MS`], as kept in the platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The origins.
    pub origins: BTreeSet<StreamOrigin>,
    /// Whether no stream can have begun elsewhere. A record that was created by an instance which
    /// did not know what had been listed before is not complete at first.
    #[serde(default)]
    pub is_complete: bool,
}

/// Where the streams of one route can have begun.
#[derive(Debug)]
struct RouteHistory {
    /// When this instance first saw the route. Streams of its paths may have begun on another one.
    since: MonoMs,
    /// Possible origins, and when each one stopped to be possible.
    origins: BTreeMap<StreamOrigin, Option<MonoMs>>,
}

/// What this instance knows of the record.
#[derive(Debug)]
struct KnownRecord {
    /// `None` if the store has none.
    record: Option<OriginRecord>,
    /// When it was last known to be the one in the store.
    confirmed: MonoMs,
    /// Recorded origins that are not listed, and since when.
    unlisted: BTreeMap<StreamOrigin, MonoMs>,
}

/// Where the streams of each route can have begun within [`ORIGIN_TTL_MS`], by the route table, the
/// list of backend servers and the record in the store.
#[derive(Debug, Default)]
pub struct OriginHistory {
    /// Since when this instance has followed the tables without a gap.
    followed_since: Option<MonoMs>,
    /// Whether there was a gap.
    was_broken: bool,
    last_confirmed: MonoMs,
    routes: HashMap<String, RouteHistory>,
    /// Origins that are possible now.
    listed: BTreeSet<StreamOrigin>,
    /// `None` until the record has been looked for.
    known_record: Option<KnownRecord>,
}

impl OriginHistory {
    /// Records that the store has answered about the tables. Returns whether that was too late for
    /// the history, which then begins anew.
    pub fn confirm(&mut self, now: MonoMs) -> bool {
        let is_late = now.since_ms(self.last_confirmed) > MAX_HISTORY_GAP_MS;
        let is_broken = is_late && self.followed_since.is_some();
        if is_broken {
            self.followed_since = Some(now);
            self.was_broken = true;
            if let Some(known) = &mut self.known_record {
                known.unlisted.values_mut().for_each(|since| *since = now);
            }
        }
        self.last_confirmed = now;
        is_broken
    }

    /// Sets the possible origins of all routes.
    pub fn set_possible(&mut self, now: MonoMs, routes: HashMap<String, BTreeSet<StreamOrigin>>) {
        if self.followed_since.is_none() {
            self.followed_since = Some(now);
            self.last_confirmed = now;
        }
        for (route, history) in &mut self.routes {
            let possible = routes.get(route);
            for (origin, ended) in &mut history.origins {
                if possible.is_none_or(|possible| !possible.contains(origin)) {
                    ended.get_or_insert(now);
                }
            }
            history.origins.retain(|_, ended| is_within(now, *ended));
        }
        self.routes.retain(|_, history| !history.origins.is_empty());
        self.listed = routes.values().flatten().cloned().collect();
        for (route, possible) in routes {
            let history = self.routes.entry(route).or_insert_with(|| RouteHistory {
                since: now,
                origins: BTreeMap::new(),
            });
            let listed = possible.into_iter().map(|origin| (origin, None));
            history.origins.extend(listed);
        }
        self.note_unlisted(now);
    }

    /// Sets the record as read from the store or written to it; `None` if the store has none.
    pub fn set_record(&mut self, now: MonoMs, record: Option<OriginRecord>) {
        let known = self.known_record.take();
        self.known_record = Some(KnownRecord {
            record,
            confirmed: now,
            unlisted: known.map_or_else(BTreeMap::new, |known| known.unlisted),
        });
        self.note_unlisted(now);
    }

    /// Records that the record is the one in the store at this time.
    pub fn confirm_record(&mut self, now: MonoMs) {
        if let Some(known) = &mut self.known_record {
            known.confirmed = now;
        }
    }

    fn note_unlisted(&mut self, now: MonoMs) {
        let Some(known) = &mut self.known_record else {
            return;
        };
        let recorded = known.record.iter().flat_map(|record| &record.origins);
        let unlisted: BTreeSet<&StreamOrigin> = recorded
            .filter(|origin| !self.listed.contains(*origin))
            .collect();
        known.unlisted.retain(|origin, _| unlisted.contains(origin));
        for origin in unlisted {
            known.unlisted.entry(origin.clone()).or_insert(now);
        }
    }

    /// The record that should be in the store, if it differs from the one that is known to be. While
    /// the store does not answer about the tables, there is none: they may have changed.
    /// `is_first_start`: nothing was served before this instance started.
    pub fn desired_record(&self, now: MonoMs, is_first_start: bool) -> Option<OriginRecord> {
        let known = self.known_record.as_ref()?;
        let followed_since = self.followed_since?;
        if now.since_ms(self.last_confirmed) > MAX_HISTORY_GAP_MS {
            return None;
        }
        let has_followed = now.since_ms(followed_since) >= ORIGIN_TTL_MS;
        let recorded = known.record.iter().flat_map(|record| &record.origins);
        let recent = recorded.filter(|origin| {
            let since = known.unlisted.get(*origin).copied();
            is_within(now, since)
        });
        let recent = recent.chain(self.seen(now));
        let origins: BTreeSet<StreamOrigin> = recent.chain(&self.listed).cloned().collect();
        let was_complete = match &known.record {
            Some(record) => record.is_complete,
            None if self.listed.is_empty() => return None,
            None => is_first_start && !self.was_broken,
        };
        let desired = OriginRecord {
            origins: origins.into_iter().take(MAX_RECORDED_ORIGINS).collect(),
            is_complete: was_complete || has_followed,
        };
        (known.record.as_ref() != Some(&desired)).then_some(desired)
    }

    /// Whether an origin is in the record, or cannot be put there.
    pub fn is_recorded(&self, origin: &StreamOrigin) -> bool {
        let known = self.known_record.as_ref();
        let Some(record) = known.and_then(|known| known.record.as_ref()) else {
            return false;
        };
        record.origins.contains(origin) || record.origins.len() >= MAX_RECORDED_ORIGINS
    }

    fn origins(&self, now: MonoMs, route: &str) -> impl Iterator<Item = &StreamOrigin> {
        let history = self.routes.get(route).into_iter();
        history.flat_map(move |history| recent_origins(now, history))
    }

    /// The only origin that this instance has seen to be possible for a route, which it may not have
    /// followed for long; `None` if there are several or none.
    pub fn only_seen(&self, now: MonoMs, route: &str) -> Option<&StreamOrigin> {
        only(self.origins(now, route))
    }

    /// The only origin that any stream of a route can have; `None` if there are several, or if
    /// neither this instance nor the record knows for long enough.
    pub fn only_origin(&self, now: MonoMs, route: &str) -> Option<&StreamOrigin> {
        let since = self.followed_since?.max(self.routes.get(route)?.since);
        let seen = self.only_seen(now, route)?;
        if now.since_ms(since) >= ORIGIN_TTL_MS {
            return Some(seen);
        }
        let only = self.only_recorded(now)?;
        (only == seen).then_some(seen)
    }

    /// The only origin that any stream can have, by the record and what this instance has seen since
    /// it was confirmed. Routes may have led elsewhere before this instance started.
    fn only_recorded(&self, now: MonoMs) -> Option<&StreamOrigin> {
        let known = self.known_record.as_ref()?;
        let record = known.record.as_ref().filter(|record| record.is_complete)?;
        if known.confirmed + RECORD_LAG_MS < self.followed_since? {
            return None;
        }
        only(record.origins.iter().chain(self.seen(now)))
    }

    /// Like [`OriginHistory::only_origin`], if the record names no recent origin that this instance
    /// has not seen.
    pub fn only_recorded_origin(&self, now: MonoMs, route: &str) -> Option<&StreamOrigin> {
        let only = self.only_origin(now, route)?;
        let known = self.known_record.as_ref()?;
        let recorded = known.record.iter().flat_map(|record| &record.origins);
        let mut recent =
            recorded.filter(|origin| is_within(now, known.unlisted.get(*origin).copied()));
        let is_seen = |origin: &StreamOrigin| self.seen(now).any(|seen| seen == origin);
        recent.all(is_seen).then_some(only)
    }

    /// Services of all routes.
    pub fn services(&self, now: MonoMs) -> BTreeSet<TargetName> {
        let origins = self.seen(now);
        origins.map(|origin| origin.service.clone()).collect()
    }

    /// Whether streams of several origins can be taken up.
    pub fn is_mixed(&self, now: MonoMs) -> bool {
        let record = self.known_record.iter().flat_map(|known| &known.record);
        let mut origins = record
            .flat_map(|record| &record.origins)
            .chain(self.seen(now));
        let first = origins.next();
        origins.any(|origin| Some(origin) != first)
    }

    /// The recent origins of all routes, as far as this instance has followed them.
    fn seen(&self, now: MonoMs) -> impl Iterator<Item = &StreamOrigin> {
        let routes = self.routes.values();
        routes.flat_map(move |history| recent_origins(now, history))
    }

    /// Services of the routes that have no [`OriginHistory::only_origin`].
    pub fn uncertain_services(&self, now: MonoMs) -> BTreeSet<TargetName> {
        let mut services = BTreeSet::new();
        for route in self.routes.keys() {
            if self.only_origin(now, route).is_some() {
                continue;
            }
            let origins = self.origins(now, route);
            services.extend(origins.map(|origin| origin.service.clone()));
        }
        services
    }
}

fn recent_origins(now: MonoMs, history: &RouteHistory) -> impl Iterator<Item = &StreamOrigin> {
    let origins = history.origins.iter();
    let recent = origins.filter(move |(_, ended)| is_within(now, **ended));
    recent.map(|(origin, _)| origin)
}

/// The origin that all of `origins` are; `None` if there are several or none.
fn only<'a>(mut origins: impl Iterator<Item = &'a StreamOrigin>) -> Option<&'a StreamOrigin> {
    let only = origins.next()?;
    origins.all(|origin| origin == only).then_some(only)
}

fn is_within(now: MonoMs, ended: Option<MonoMs>) -> bool {
    ended.is_none_or(|ended| now.since_ms(ended) < ORIGIN_TTL_MS)
}
