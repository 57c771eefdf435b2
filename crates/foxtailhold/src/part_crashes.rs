//! Crash evidence against parts of prompts, merged over all instances.
//!
//! Requests of which no two are alike may crash backend servers because of one part that their
//! prompts share. A [`PartCrash`] holds the requests that were lost with one start of a backend
//! server. It only grows, so the records of several instances and of the store are merged by union:
//! learning of a crash twice, late or in another order changes nothing.
//!
//! A part is suspected after crashes that followed one another ([`MIN_CRASH_SEQUENCE`]): requests
//! that share a part also end together when a rack is lost, and that shows nothing. Several parts
//! may stand in the same crashes. Only requests that hold all of them are refused, so that a part
//! which merely came with the guilty one stays free for the others. A complete response acquits each
//! of its parts of the crashes before it, at the service and software version that made it.
//!
//! A crash with a request that holds a suspected group is explained by it, and says nothing against
//! parts that are acquitted of other crashes.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::crashes::CrashStatus;
use crate::ids::TargetName;
pub use crate::part_crash::{Acquittal, LostRequest, MAX_LOST_REQUESTS, PartCrash};
use crate::part_groups::{GroupFinder, owed_refusal_ms};
pub use crate::part_groups::{
    MIN_CRASH_SEQUENCE, MIN_CRASHES, MIN_OTHER_CRASHES, OWED_REFUSAL_MS, PART_REFUSAL_MS,
    SuspectedGroup,
};
use crate::prompt_parts::{PartId, SharedParts};
use crate::quarantine::{CrashId, Fingerprint, SUSPECT_TTL_MS};
use crate::stream_origins::StreamOrigin;
use crate::time::WallMs;

/// Time after the refusal until a request may run whose crash may have several causes. It says less
/// than a probe of one of them.
const SHARED_PROBE_DELAY_MS: u64 = 3_000;
/// Delay of a probe with a request that was lost in a crash, so that it yields to requests that never
/// were.
const LOST_PROBE_DELAY_MS: u64 = 500;
/// Further delay for each crash in which it was lost more often than the request with the same parts
/// that was lost least often. All of them may have been lost, and none is left to yield to.
const REPEATED_PROBE_DELAY_MS: u64 = 2_000;
/// Longest delay of the probe of a request that is owed whatever happens.
const MAX_OWED_DELAY_MS: u64 = 2_000;
/// Crashes of one request that delay its probe.
const MAX_DELAYING_CRASHES: usize = 3;
/// Records of crashes that are kept.
pub const MAX_PART_CRASHES: usize = 512;
/// Time after which a software version that is no longer listed, while its service has another one,
/// counts as replaced.
pub const VERSION_GONE_MS: u64 = 10_000;

/// What is suspected at a service.
#[derive(Debug, Clone, Default)]
struct Suspects {
    groups: Vec<SuspectedGroup>,
    /// Parts that stand in crashes and were not seen to run.
    unproven: BTreeSet<PartId>,
}

impl Suspects {
    /// Whether the crash of a probe with these parts may have another cause than `group`: it holds
    /// other groups, or parts that were not seen to run beside a group that was.
    fn has_other_cause(&self, parts: &SharedParts, group: &SuspectedGroup) -> bool {
        let held = self.groups.iter();
        let held = held.filter(|group| parts.contains_all(&group.parts));
        let is_unproven = |part: &PartId| self.unproven.contains(part);
        held.count() > 1 || (group.has_run && parts.as_slice().iter().any(is_unproven))
    }
}

/// The crash evidence against parts that is known to one instance.
#[derive(Debug, Clone, Default)]
pub struct PartCrashRegistry {
    crashes: BTreeMap<CrashId, PartCrash>,
    /// When each service and version was listed last.
    listed: HashMap<StreamOrigin, WallMs>,
    /// Suspected groups by service, until the evidence changes.
    groups: HashMap<TargetName, Suspects>,
    /// Whether the evidence has changed since the groups were sought.
    is_changed: bool,
    /// Whether the groups are kept until a refresh.
    keeps_groups: bool,
}

impl PartCrashRegistry {
    /// A registry that keeps its groups until [`PartCrashRegistry::refresh`], so that a burst of
    /// evidence does not have them sought with each record.
    pub fn with_refresh() -> Self {
        PartCrashRegistry {
            keeps_groups: true,
            ..PartCrashRegistry::default()
        }
    }

    /// Lets the groups follow the evidence. Returns whether that has changed.
    pub fn refresh(&mut self) -> bool {
        let is_changed = std::mem::take(&mut self.is_changed);
        if is_changed {
            self.groups.clear();
        }
        is_changed
    }

    fn invalidate(&mut self) {
        self.is_changed = true;
        if !self.keeps_groups {
            self.groups.clear();
        }
    }

    /// Whether there is no evidence against any part.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Merges what is known of a crash. Returns whether it said anything new.
    pub fn join(&mut self, id: &CrashId, crash: &PartCrash) -> bool {
        let is_new = match self.crashes.get_mut(id) {
            Some(known) => known.join(crash),
            None => {
                let mut known = PartCrash::without_requests(crash.at_unix_ms);
                known.join(crash);
                self.crashes.insert(id.clone(), known);
                true
            }
        };
        if is_new {
            self.invalidate();
        }
        while self.crashes.len() > MAX_PART_CRASHES {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, crash)| crash.at_unix_ms);
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.crashes.remove(&oldest);
        }
        is_new
    }

    /// Applies a complete response of `origin` to an attempt that began at `begun`. Returns what has
    /// changed, for the other instances.
    ///
    /// It acquits its parts of the crashes that came before the attempt. It also acquits them of those
    /// during it, unless the part is suspected and has no crash before: then only a later attempt
    /// speaks for it.
    pub fn completed(
        &mut self,
        parts: &SharedParts,
        origin: &StreamOrigin,
        begun: WallMs,
    ) -> Vec<(CrashId, PartCrash)> {
        if self.crashes.is_empty() || parts.is_empty() {
            return Vec::new();
        }
        let suspected: BTreeSet<PartId> = {
            let groups = self.groups(&origin.service).iter();
            groups.flat_map(|group| group.parts.clone()).collect()
        };
        let mut news: BTreeMap<CrashId, PartCrash> = BTreeMap::new();
        for part in parts.as_slice() {
            let held: Vec<(&CrashId, &PartCrash)> = self.held_against(*part, origin).collect();
            let mut all = held.iter();
            let is_later = all.any(|(_, crash)| crash.at_unix_ms <= begun.0);
            if !is_later && suspected.contains(part) {
                continue;
            }
            for (id, crash) in held {
                let news = news
                    .entry(id.clone())
                    .or_insert_with(|| PartCrash::without_requests(crash.at_unix_ms));
                news.acquitted.insert(Acquittal {
                    part: *part,
                    service: origin.service.clone(),
                });
            }
        }
        for (id, news) in &news {
            self.join(id, news);
        }
        news.into_iter().collect()
    }

    /// Crashes that a part is not acquitted of and that a response of `origin` can speak against: those
    /// at its software version, at a replaced one, and at one that ran the part shortly before.
    fn held_against<'a>(
        &'a self,
        part: PartId,
        origin: &'a StreamOrigin,
    ) -> impl Iterator<Item = (&'a CrashId, &'a PartCrash)> {
        self.crashes.iter().filter(move |(_, crash)| {
            let is_valid = match &crash.origin {
                Some(at) if at.service == origin.service && at.version != origin.version => {
                    self.is_replaced(at) || crash.proven.contains(&part)
                }
                _ => true,
            };
            let stands = crash.lost.iter().any(|lost| lost.parts.contains(part));
            is_valid && stands && !crash.is_acquitted(part, &origin.service)
        })
    }

    /// Records that a backend server lived on after what was taken for its crash. Returns what has
    /// changed, for the other instances.
    pub fn refute(&mut self, id: &CrashId) -> Option<PartCrash> {
        let known = self.crashes.get(id).filter(|crash| !crash.is_refuted)?;
        let mut news = PartCrash::without_requests(known.at_unix_ms);
        news.is_refuted = true;
        self.join(id, &news);
        Some(news)
    }

    /// Records the services and versions that are listed now.
    pub fn set_listed(&mut self, origins: impl IntoIterator<Item = StreamOrigin>, now: WallMs) {
        let before: BTreeSet<StreamOrigin> = self.replaced();
        for origin in origins {
            self.listed.insert(origin, now);
        }
        if self.replaced() != before {
            self.invalidate();
        }
    }

    fn replaced(&self) -> BTreeSet<StreamOrigin> {
        let all = self.listed.keys();
        all.filter(|origin| self.is_replaced(origin))
            .cloned()
            .collect()
    }

    /// Whether the service of `origin` has been listed with other versions only for a while.
    fn is_replaced(&self, origin: &StreamOrigin) -> bool {
        let Some(last) = self.listed.get(origin) else {
            return false;
        };
        let others = self.listed.iter().filter(|(other, _)| {
            other.service == origin.service && other.version != origin.version
        });
        let newest = others.map(|(_, at)| at.0).max();
        newest.is_some_and(|newest| newest.saturating_sub(last.0) >= VERSION_GONE_MS)
    }

    /// The status of a request that was never lost in a crash and is about to be sent to `service`, and
    /// the group that decides it.
    pub fn status(
        &mut self,
        parts: &SharedParts,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<&SuspectedGroup>) {
        self.status_after(0, false, parts, service, now)
    }

    /// The status of a request, and the group that decides it. One that was lost in crashes before may
    /// have caused them by itself: it yields to others, and its probes count for such requests only.
    pub fn status_of(
        &mut self,
        request: Fingerprint,
        parts: &SharedParts,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<&SuspectedGroup>) {
        self.status_of_lost(request, false, parts, service, now)
    }

    /// The same for a request that is owed whatever happens: no refusal of it, with the delays of its
    /// probe, lasts longer than the last of [`OWED_REFUSAL_MS`] after the last crash.
    pub fn status_of_owed(
        &mut self,
        request: Fingerprint,
        parts: &SharedParts,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<&SuspectedGroup>) {
        self.status_of_lost(request, true, parts, service, now)
    }

    fn status_of_lost(
        &mut self,
        request: Fingerprint,
        is_owed: bool,
        parts: &SharedParts,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<&SuspectedGroup>) {
        if self.status(parts, service, now).0 == CrashStatus::Allowed {
            return (CrashStatus::Allowed, None);
        }
        let losses = self.losses(request);
        self.status_after(losses, is_owed, parts, service, now)
    }

    /// Whether a request was lost in a crash.
    pub fn has_lost(&self, request: Fingerprint) -> bool {
        self.losses(request) > 0
    }

    /// Number of crashes in which a request was lost, as far as they delay its probe.
    fn losses(&self, request: Fingerprint) -> usize {
        let crashes = self.crashes.values();
        let lost = crashes.filter(|crash| !crash.is_refuted && crash.has_lost_request(request));
        lost.take(MAX_DELAYING_CRASHES).count()
    }

    fn status_after(
        &mut self,
        losses: usize,
        is_owed: bool,
        parts: &SharedParts,
        service: &TargetName,
        now: WallMs,
    ) -> (CrashStatus, Option<&SuspectedGroup>) {
        if parts.is_empty() || self.crashes.is_empty() {
            return (CrashStatus::Allowed, None);
        }
        let refused_until_unix_ms = |group: &SuspectedGroup| {
            let until_unix_ms = match losses {
                0 => group.refused_until_unix_ms,
                _ => group.repeats_refused_until_unix_ms,
            };
            match is_owed {
                true => until_unix_ms.min(group.last_crash_unix_ms + owed_refusal_ms(group.probes)),
                false => until_unix_ms,
            }
        };
        let suspects = self.suspects(service);
        let held = suspects.groups.iter();
        let held = held
            .filter(|group| group.held_from_unix_ms <= now.0 && parts.contains_all(&group.parts));
        let Some(last) = held.max_by_key(|group| refused_until_unix_ms(group)) else {
            return (CrashStatus::Allowed, None);
        };
        let delay_ms = match suspects.has_other_cause(parts, last) {
            true => SHARED_PROBE_DELAY_MS,
            false => 0,
        };
        let further = losses.saturating_sub(last.least_losses) as u64;
        let lost_delay_ms = match losses {
            0 => 0,
            _ => LOST_PROBE_DELAY_MS + further * REPEATED_PROBE_DELAY_MS,
        };
        let refused_until_unix_ms = refused_until_unix_ms(last);
        let delay_ms = delay_ms + lost_delay_ms;
        let end_unix_ms = match is_owed {
            true => {
                let latest_unix_ms = last.last_crash_unix_ms + owed_refusal_ms(usize::MAX);
                let end_unix_ms = refused_until_unix_ms + delay_ms.min(MAX_OWED_DELAY_MS);
                end_unix_ms.min(latest_unix_ms)
            }
            false => refused_until_unix_ms.saturating_add(delay_ms),
        };
        let status = match end_unix_ms.checked_sub(now.0) {
            Some(left_ms) if left_ms > 0 => CrashStatus::Refused { left_ms },
            _ => CrashStatus::ProbeAllowed {
                for_ms: now.0 - end_unix_ms,
            },
        };
        (status, Some(last))
    }

    /// The groups that are suspected at a service.
    pub fn groups(&mut self, service: &TargetName) -> &[SuspectedGroup] {
        &self.suspects(service).groups
    }

    fn suspects(&mut self, service: &TargetName) -> &Suspects {
        if !self.groups.contains_key(service) {
            let finder = GroupFinder {
                crashes: &self.crashes,
                service,
                replaced: self.replaced(),
            };
            let suspects = Suspects {
                groups: finder.find(),
                unproven: finder.unproven(),
            };
            self.groups.insert(service.clone(), suspects);
        }
        &self.groups[service]
    }

    /// Crashes of suspected groups at the service of the backend server.
    pub fn suspected_crashes(&mut self) -> BTreeSet<CrashId> {
        let mut crashes = BTreeSet::new();
        for service in self.services() {
            let groups = self.groups(&service).iter();
            crashes.extend(groups.flat_map(|group| group.crashes.iter().cloned()));
        }
        crashes
    }

    /// Services whose backend servers have crashed.
    pub fn services(&self) -> BTreeSet<TargetName> {
        let origins = self.crashes.values();
        let origins = origins.filter_map(|crash| crash.origin.as_ref());
        origins.map(|origin| origin.service.clone()).collect()
    }

    /// Crashes that were none.
    pub fn refuted(&self) -> BTreeSet<CrashId> {
        let refuted = self.crashes.iter().filter(|(_, crash)| crash.is_refuted);
        refuted.map(|(id, _)| id.clone()).collect()
    }

    /// All records, the newest first.
    pub fn newest_first(&self) -> Vec<(&CrashId, &PartCrash)> {
        let mut all: Vec<_> = self.crashes.iter().collect();
        all.sort_by_key(|(_, crash)| std::cmp::Reverse(crash.at_unix_ms));
        all
    }

    /// What is known of a crash.
    pub fn crash(&self, id: &CrashId) -> Option<&PartCrash> {
        self.crashes.get(id)
    }

    /// Drops expired evidence and returns the crashes concerned.
    pub fn expire(&mut self, now: WallMs) -> Vec<CrashId> {
        let mut kept = BTreeSet::new();
        for service in self.services() {
            for group in self.groups(&service) {
                if group.expires_unix_ms() > now.0 {
                    kept.extend(group.crashes.iter().cloned());
                }
            }
        }
        let is_expired = |(id, crash): &(&CrashId, &PartCrash)| {
            let end = crash.at_unix_ms.saturating_add(SUSPECT_TTL_MS);
            end <= now.0 && !kept.contains(*id)
        };
        let expired = self.crashes.iter().filter(is_expired);
        let expired: Vec<CrashId> = expired.map(|(id, _)| id.clone()).collect();
        self.remove(&expired);
        expired
    }

    /// Removes crashes whose row in the store was deleted.
    pub fn remove(&mut self, ids: &[CrashId]) {
        for id in ids {
            self.crashes.remove(id);
        }
        if !ids.is_empty() {
            self.invalidate();
        }
    }
}
