//! Crash evidence against parts of prompts, as known to this instance.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};

use foxtailhold::crashes::CrashStatus;
use foxtailhold::ids::TargetName;
use foxtailhold::part_crashes::{PartCrash, PartCrashRegistry};
use foxtailhold::prompt_parts::{PartId, SharedParts};
use foxtailhold::quarantine::CrashId;
use foxtailhold::recent_parts::{OriginHash, RecentParts};
use foxtailhold::stream_origins::StreamOrigin;
use foxtailhold::time::{MonoMs, WallMs};
use foxtailhold_peer::PartCrashNews;
use parking_lot::Mutex;

use crate::prompt::Prompt;

/// Time after which another probe of a group may begin although the end of the last one is not known.
const PROBE_INTERVAL_MS: u64 = 5_000;
/// Probes of different groups whose start is remembered.
const MAX_PROBES: usize = 1_024;
/// Crashes that an instance which has just started is told.
const MAX_SNAPSHOT: usize = 256;

/// Parts that stand together in crashes.
pub type Group = Vec<PartId>;

#[derive(Debug, Default)]
struct PartState {
    registry: PartCrashRegistry,
    /// At the coordinator: when the last probe of each group was granted.
    probes: HashMap<Group, MonoMs>,
}

/// The evidence. Without any, a request costs one look at a flag, and its complete answer one reading
/// of its prompt.
#[derive(Debug, Default)]
pub struct PartEvidence {
    has_evidence: AtomicBool,
    recent_parts: RecentParts,
    state: Mutex<PartState>,
}

impl PartEvidence {
    /// Whether there is no evidence against any part.
    pub fn is_empty(&self) -> bool {
        !self.has_evidence.load(Ordering::Relaxed)
    }

    /// Whether a request with this prompt may run at `service`, and the group that decides it.
    pub fn status(
        &self,
        prompt: &Prompt,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<Group>) {
        if self.is_empty() {
            return (CrashStatus::Allowed, None);
        }
        let mut state = self.state.lock();
        let (status, group) = state.registry.status(prompt.shared_parts(), service, now);
        (status, group.map(|group| group.parts.clone()))
    }

    /// When a crash was first seen; `None` if it is not known.
    pub fn crashed_at(&self, crash: &CrashId) -> Option<WallMs> {
        let state = self.state.lock();
        let known = state.registry.crash(crash);
        known.map(|crash| WallMs(crash.at_unix_ms))
    }

    /// Merges what is known of a crash. Returns whether it said anything new.
    pub fn merge(&self, (crash, record): &PartCrashNews) -> bool {
        let mut state = self.state.lock();
        let is_new = state.registry.join(crash, record);
        self.has_evidence.store(true, Ordering::Relaxed);
        let service = record.origin.as_ref().map(|origin| &origin.service);
        if let (true, Some(service)) = (is_new, service) {
            for group in state.registry.groups(service) {
                log::info!(
                    "prompts with parts {} are suspected at {} after {} crashes, {} of probes",
                    SharedParts::from(group.parts.as_slice()),
                    service.as_str(),
                    group.crashes.len(),
                    group.probes,
                );
            }
        }
        is_new
    }

    /// Adds to the record of a crash which of its parts this instance has seen to run before. Returns
    /// what has changed.
    pub fn add_proven_parts(&self, news: &PartCrashNews) -> Option<PartCrashNews> {
        let (crash, record) = news;
        let proven = {
            let state = self.state.lock();
            self.recent_parts
                .proven_parts(record, state.registry.crash(crash))
        };
        if proven.is_empty() {
            return None;
        }
        let added = PartCrash::with_proven_parts(record.at_unix_ms, proven);
        let added = (crash.clone(), added);
        self.merge(&added).then_some(added)
    }

    /// Parts of the lost requests of a crash that this instance has seen to run before.
    pub fn proven_parts(&self, record: &PartCrash) -> BTreeSet<PartId> {
        self.recent_parts.proven_parts(record, None)
    }

    /// Records a complete answer, also while there is no evidence.
    pub fn record_parts(&self, prompt: &Prompt, origin: &StreamOrigin, now: WallMs) {
        let parts = prompt.shared_parts().as_slice();
        if !parts.is_empty() {
            self.recent_parts
                .record(parts, OriginHash::from(origin), now);
        }
    }

    /// Acquits the parts of a prompt after a complete answer to an attempt that began at `begun`.
    /// Returns what has changed.
    pub fn completed(
        &self,
        prompt: &Prompt,
        origin: &StreamOrigin,
        begun: WallMs,
    ) -> Vec<PartCrashNews> {
        let mut state = self.state.lock();
        let registry = &mut state.registry;
        registry.completed(prompt.shared_parts(), origin, begun)
    }

    /// At the coordinator: grants a probe of a group, unless one may still run.
    pub fn admit_probe(&self, group: Group, now: MonoMs) -> bool {
        let mut state = self.state.lock();
        let probes = &mut state.probes;
        probes.retain(|_, at| now.since_ms(*at) < PROBE_INTERVAL_MS);
        if probes.contains_key(&group) || probes.len() >= MAX_PROBES {
            return false;
        }
        probes.insert(group, now);
        true
    }

    /// Drops expired evidence.
    pub fn expire(&self, now: WallMs) {
        if self.is_empty() {
            return;
        }
        let mut state = self.state.lock();
        state.registry.expire(now);
        let has_evidence = !state.registry.is_empty();
        self.has_evidence.store(has_evidence, Ordering::Relaxed);
    }

    /// Records which services and versions are listed.
    pub fn set_listed(&self, origins: impl IntoIterator<Item = StreamOrigin>, now: WallMs) {
        self.state.lock().registry.set_listed(origins, now);
    }

    /// What an instance that has just started needs to know, the newest crashes.
    pub fn snapshot(&self) -> Vec<PartCrashNews> {
        let state = self.state.lock();
        let newest = state.registry.newest_first().into_iter();
        newest
            .take(MAX_SNAPSHOT)
            .map(|(id, crash)| (id.clone(), crash.clone()))
            .collect()
    }
}
