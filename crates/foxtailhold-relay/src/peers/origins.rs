//! Where streams began: handed on between instances, and asked for when a caller takes a stream up.
//!
//! An instance that cannot be sure that all streams of a route have one origin hands the origin of
//! each new stream on to a few others, so that it outlives the instance.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use foxtailhold::ids::InstanceId;
use foxtailhold::origin_history::{OriginHistory, OriginRecord};
use foxtailhold::rendezvous;
use foxtailhold::stream_origins::{AttemptHash, AttemptOrigin, StreamOrigin, StreamOrigins};
use foxtailhold::time::MonoMs;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::members::Member;
use super::{FoundOrigin, OnlyOrigin, PeerMessage, Peers};
use crate::tables::FollowedTable;

/// Instances that an origin is handed on to.
const HOLDERS: usize = 4;
/// Number of other instances up to which all of them are asked for an origin.
const ASK_ALL_INSTANCES: usize = 16;
/// Instances that are asked where there are more; the holders are among the first.
const ASKED_INSTANCES: usize = 8;
/// Instances that have not answered are asked again after this time.
const ASK_AGAIN_MS: u64 = 30;
/// Longest time to wait for answers.
const ASK_TIMEOUT_MS: u64 = 80;
/// Largest number of origins that are handed on at once.
const MAX_HANDED_ON: usize = 4_096;
/// Largest number of origins in one datagram.
const MAX_ORIGINS_PER_DATAGRAM: usize = 128;

/// Time for which the store may confirm that there is only one origin before others are asked.
const ASK_DELAY_MS: u64 = 30;
/// Longest time for which the first event of a stream waits until its origin is in the record.
const RECORD_TIMEOUT_MS: u64 = 200;

/// How the origin of a stream was learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// This instance remembers it.
    Own,
    /// Streams of the route can have no other.
    OnlyVersion,
    /// Another instance told it.
    Peer,
    /// It was saved in the platform's store.
    Store,
}

impl OriginSource {
    /// Name in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            OriginSource::Own => "own",
            OriginSource::OnlyVersion => "only_version",
            OriginSource::Peer => "peer",
            OriginSource::Store => "store",
        }
    }
}

/// What a search for the origin of a stream has found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginSearch {
    /// The origin and how it was learnt; `None` if it is unknown.
    pub found: Option<(StreamOrigin, OriginSource)>,
    /// Number of other instances that were asked.
    pub asked: usize,
    /// Whether this instance knows of one origin only, and the store has not confirmed it.
    pub is_unconfirmed: bool,
}

/// Number of origins that were dropped early, and that were handed on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OriginCounts {
    /// Origins that were dropped before their time.
    pub evicted: u64,
    /// Origins that were handed on to other instances.
    pub handed_on: u64,
}

/// What this instance knows about the origins of streams.
#[derive(Debug, Default)]
pub(super) struct OriginState {
    pub(super) origins: StreamOrigins,
    pub(super) history: OriginHistory,
    /// Origins to hand on once more with the next report, because datagrams may be lost.
    repeats: Vec<AttemptOrigin>,
    handed_on: u64,
    lookups: HashMap<u64, mpsc::UnboundedSender<FoundOrigin>>,
    /// Version of the row with the record; 0 if there is none.
    record_version: u64,
    /// Origins that a stream has waited for in vain since the record last changed.
    unrecorded: BTreeSet<StreamOrigin>,
}

/// Notifications about the record of origins.
#[derive(Debug, Default)]
pub(super) struct RecordSignals {
    /// The record in the store may have to change. One task waits for it.
    due: Notify,
    /// The record has changed.
    changed: Notify,
}

/// A lookup at other instances; dropping it ends it.
struct Lookup<'a> {
    peers: &'a Peers,
    number: u64,
}

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.peers.inner.origins.lock().lookups.remove(&self.number);
    }
}

/// What the first of two searches finds, or the other one if that finds nothing.
async fn first_found<T>(
    first: impl Future<Output = Option<T>>,
    second: impl Future<Output = Option<T>>,
) -> Option<T> {
    let (mut first, mut second) = (pin!(first), pin!(second));
    tokio::select! {
        found = &mut first => match found {
            Some(found) => Some(found),
            None => second.await,
        },
        found = &mut second => match found {
            Some(found) => Some(found),
            None => first.await,
        },
    }
}

impl Peers {
    /// Records that the store has answered about the backend servers.
    pub(crate) fn confirm_origin_history(&self) {
        let now = self.now();
        let is_broken = self.inner.origins.lock().history.confirm(now);
        if is_broken {
            self.hand_on_uncertain();
        }
    }

    /// Sets the possible origins of the streams of all routes.
    pub fn set_possible_origins(&self, routes: HashMap<String, BTreeSet<StreamOrigin>>) {
        let now = self.now();
        self.inner.origins.lock().history.set_possible(now, routes);
        self.inner.record_signals.due.notify_one();
        self.hand_on_uncertain();
    }

    /// Records that all changes of the table with the record of origins have been applied.
    pub(crate) fn confirm_origin_record(&self) {
        let now = self.now();
        self.inner.origins.lock().history.confirm_record(now);
    }

    /// Sets the record of origins as read from the store or written to it, with the version of its
    /// row; `None` if the store has none.
    pub fn set_origin_record(&self, version: u64, record: Option<OriginRecord>) {
        let now = self.now();
        {
            let mut state = self.inner.origins.lock();
            if version < state.record_version && record.is_some() {
                return;
            }
            state.record_version = record.as_ref().map_or(0, |_| version);
            state.history.set_record(now, record);
            state.unrecorded.clear();
        }
        self.inner.record_signals.changed.notify_waiters();
        self.inner.record_signals.due.notify_one();
        self.hand_on_uncertain();
    }

    /// The record that should be in the store, with the version of the row to replace, if it is not
    /// there yet.
    pub fn desired_origin_record(&self, is_first_start: bool) -> Option<(OriginRecord, u64)> {
        let state = self.inner.origins.lock();
        let desired = state.history.desired_record(self.now(), is_first_start)?;
        Some((desired, state.record_version))
    }

    /// Waits until the record may have to change.
    pub(crate) async fn wait_origin_record_due(&self) {
        self.inner.record_signals.due.notified().await;
    }

    /// Waits until an origin is in the record, but not for long, and only once: a store that is away
    /// does not delay all streams.
    pub async fn wait_origin_recorded(&self, origin: &StreamOrigin) {
        let until = Instant::now() + Duration::from_millis(RECORD_TIMEOUT_MS);
        loop {
            let changed = self.inner.record_signals.changed.notified();
            {
                let state = self.inner.origins.lock();
                if state.history.is_recorded(origin) || state.unrecorded.contains(origin) {
                    return;
                }
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                let mut state = self.inner.origins.lock();
                state.unrecorded.insert(origin.clone());
                return;
            }
        }
    }

    /// Hands on the origins that can no longer be told from the history of the tables.
    fn hand_on_uncertain(&self) {
        let now = self.now();
        let unshared = {
            let mut state = self.inner.origins.lock();
            let services = state.history.uncertain_services(now);
            state.origins.take_unshared(now, &services, MAX_HANDED_ON)
        };
        self.hand_on(unshared);
    }

    /// Whether the store has not answered the last call about the backend servers. What others have
    /// to know of a stream is then told to them, as the store cannot confirm anything.
    fn is_store_away(&self) -> bool {
        let outage = self.inner.tables.outage(FollowedTable::Backends);
        outage.is_some()
    }

    /// Hands on all origins that no other instance has been told, because the store does not answer.
    pub(crate) fn hand_on_unconfirmed(&self) {
        let now = self.now();
        let unshared = {
            let mut state = self.inner.origins.lock();
            let services = state.history.services(now);
            state.origins.take_unshared(now, &services, MAX_HANDED_ON)
        };
        self.hand_on(unshared);
    }

    /// Records where the stream of an attempt on `route` began.
    pub fn record_origin(&self, attempt: AttemptHash, origin: &StreamOrigin, route: &str) {
        let now = self.now();
        let is_behind = self.is_behind();
        {
            let mut state = self.inner.origins.lock();
            if state.history.only_origin(now, route).is_some() && !self.is_store_away() {
                state.origins.record(now, attempt, origin);
                if !is_behind {
                    return;
                }
            } else {
                state.origins.record_shared(now, attempt, origin);
            }
        }
        self.hand_on(vec![(attempt, origin.clone())]);
    }

    /// Whether streams of several origins can be taken up.
    pub(crate) fn has_mixed_origins(&self) -> bool {
        let now = self.now();
        self.inner.origins.lock().history.is_mixed(now)
    }

    fn hand_on(&self, origins: Vec<AttemptOrigin>) {
        if origins.is_empty() {
            return;
        }
        self.send_origins(&origins);
        if self.has_mixed_origins() {
            self.save_origins(&origins);
        }
        let mut state = self.inner.origins.lock();
        state.handed_on += origins.len() as u64;
        let room = MAX_HANDED_ON.saturating_sub(state.repeats.len());
        state.repeats.extend(origins.into_iter().take(room));
    }

    /// Hands the origins on once more that were handed on since the last report.
    pub(super) fn repeat_origins(&self) {
        let repeats = std::mem::take(&mut self.inner.origins.lock().repeats);
        self.send_origins(&repeats);
    }

    /// Sends each origin to its holders, in as few datagrams as possible.
    fn send_origins(&self, origins: &[AttemptOrigin]) {
        if origins.is_empty() {
            return;
        }
        let mut by_holder: BTreeMap<SocketAddr, Vec<AttemptOrigin>> = BTreeMap::new();
        {
            let members = self.members();
            let mut live = members.live(self.now());
            live.retain(|member| member.instance != *self.me());
            for origin in origins {
                let (key, instances) = (origin.0.to_bytes(), live.iter().map(|m| &m.instance));
                let holders = rendezvous::first(instances, &key, HOLDERS);
                for holder in live
                    .iter()
                    .filter(|member| holders.contains(&&member.instance))
                {
                    let held = by_holder.entry(holder.peer_address).or_default();
                    held.push(origin.clone());
                }
            }
        }
        for (address, held) in by_holder {
            for part in held.chunks(MAX_ORIGINS_PER_DATAGRAM) {
                let origins = part.to_vec();
                self.send(address, &PeerMessage::Origins { origins });
            }
        }
    }

    pub(super) fn record_handed_on(&self, now: MonoMs, origins: &[AttemptOrigin]) {
        let mut state = self.inner.origins.lock();
        for (attempt, origin) in origins {
            state.origins.record_shared(now, *attempt, origin);
        }
    }

    /// Whether another instance has a newer change of the tables that decide where streams begin.
    pub(super) fn is_behind(&self) -> bool {
        let tables = &self.inner.tables;
        let mut decisive = [FollowedTable::Backends, FollowedTable::Routes].into_iter();
        decisive.any(|table| tables.newest_announced(table) > tables.known_up_to(table))
    }

    /// The only origin that a stream of `route` can have.
    pub(crate) fn only_origin(&self, route: &str) -> Option<StreamOrigin> {
        if self.is_behind() {
            return None;
        }
        let state = self.inner.origins.lock();
        state.history.only_origin(self.now(), route).cloned()
    }

    /// Version of the row with the record; 0 if none is known.
    pub(crate) fn origin_record_version(&self) -> u64 {
        self.inner.origins.lock().record_version
    }

    /// The origin of the stream of an attempt, if this instance remembers it.
    fn remembered_origin(&self, attempt: AttemptHash) -> Option<StreamOrigin> {
        let (now, state) = (self.now(), self.inner.origins.lock());
        state.origins.find(now, attempt).cloned()
    }

    /// Answers another instance that asks for an origin. Only what is remembered counts: that there is
    /// one version may have ceased to be true. The table versions tell this answer from those of the
    /// previous version, which also names the only origin that it has seen.
    pub(super) fn answer_origin(&self, to: SocketAddr, number: u64, attempt: AttemptHash) {
        let found = FoundOrigin {
            number,
            instance: self.me().clone(),
            origin: self.remembered_origin(attempt),
        };
        self.send_heartbeat(to, &PeerMessage::FoundOrigin(found));
    }

    pub(super) fn deliver_origin(&self, found: FoundOrigin) {
        let state = self.inner.origins.lock();
        if let Some(lookup) = state.lookups.get(&found.number) {
            // The lookup may have ended since.
            let _ = lookup.send(found);
        }
    }

    /// Finds where the stream of an attempt on `route` began, as [`Peers::search_origin`].
    pub async fn find_origin(
        &self,
        attempt: AttemptHash,
        route: &str,
    ) -> Option<(StreamOrigin, OriginSource)> {
        self.search_origin(attempt, route).await.found
    }

    /// Finds where the stream of an attempt on `route` began: from what this instance remembers, else
    /// from the others that remember it, or because the store confirms that there is only one origin,
    /// else from the saved origins.
    pub async fn search_origin(&self, attempt: AttemptHash, route: &str) -> OriginSearch {
        if let Some(origin) = self.remembered_origin(attempt) {
            return OriginSearch {
                found: Some((origin, OriginSource::Own)),
                ..OriginSearch::default()
            };
        }
        let asked = AtomicUsize::new(0);
        let ask = async {
            if self.only_origin(route).is_some() {
                tokio::time::sleep(Duration::from_millis(ASK_DELAY_MS)).await;
            }
            let holders = self.origin_holders(attempt);
            asked.store(holders.len(), Ordering::Relaxed);
            self.ask_holders(holders, attempt, route).await
        };
        let is_unconfirmed = AtomicBool::new(false);
        let confirm = async {
            match self.confirm_only_origin(route).await {
                OnlyOrigin::Only(origin) => Some((origin, OriginSource::OnlyVersion)),
                OnlyOrigin::Unsure => None,
                OnlyOrigin::Unconfirmed => {
                    is_unconfirmed.store(true, Ordering::Relaxed);
                    None
                }
            }
        };
        let mut found = first_found(ask, confirm).await;
        let is_unconfirmed = is_unconfirmed.into_inner();
        if found.is_none() && !is_unconfirmed {
            let saved = self.find_saved_origin(attempt).await;
            found = saved.map(|origin| (origin, OriginSource::Store));
        }
        OriginSearch {
            found,
            asked: asked.into_inner(),
            is_unconfirmed,
        }
    }

    async fn ask_holders(
        &self,
        mut unanswered: Vec<(InstanceId, SocketAddr)>,
        attempt: AttemptHash,
        route: &str,
    ) -> Option<(StreamOrigin, OriginSource)> {
        let (sender, mut answers) = mpsc::unbounded_channel();
        let number = rand::random();
        self.inner.origins.lock().lookups.insert(number, sender);
        let _lookup = Lookup {
            peers: self,
            number,
        };
        let question = PeerMessage::FindOrigin {
            number,
            attempt,
            route: route.to_owned(),
        };
        let started = Instant::now();
        for until_ms in [ASK_AGAIN_MS, ASK_TIMEOUT_MS] {
            for (_, address) in &unanswered {
                self.send(*address, &question);
            }
            let until = started + Duration::from_millis(until_ms);
            while !unanswered.is_empty() {
                let Ok(Some(found)) = tokio::time::timeout_at(until, answers.recv()).await else {
                    break;
                };
                if let Some(origin) = found.origin {
                    return Some((origin, OriginSource::Peer));
                }
                unanswered.retain(|(instance, _)| *instance != found.instance);
            }
            // The origin may have been handed on to this instance meanwhile.
            if let Some(origin) = self.remembered_origin(attempt) {
                return Some((origin, OriginSource::Own));
            }
        }
        None
    }

    /// The instances to ask for the origin of an attempt.
    fn origin_holders(&self, attempt: AttemptHash) -> Vec<(InstanceId, SocketAddr)> {
        let members = self.members();
        let named = |member: &Member| (member.instance.clone(), member.peer_address);
        let others: Vec<&Member> = members.other_members().collect();
        if others.len() <= ASK_ALL_INSTANCES {
            return others.into_iter().map(named).collect();
        }
        let live = members.live(self.now());
        let live = live.iter().map(|member| &member.instance);
        let others = live.filter(|instance| *instance != self.me());
        let first = rendezvous::first(others, &attempt.to_bytes(), ASKED_INSTANCES);
        let addresses = first.into_iter().filter_map(|instance| {
            let address = members.address(instance)?;
            Some((instance.clone(), address))
        });
        addresses.collect()
    }

    /// Numbers for the metrics.
    pub fn origin_counts(&self) -> OriginCounts {
        let state = self.inner.origins.lock();
        OriginCounts {
            evicted: state.origins.evicted(),
            handed_on: state.handed_on,
        }
    }
}
