//! The slots of one service and the queue of requests for them.

use std::collections::{BTreeMap, VecDeque};

use crate::admission::ServiceTime;
use crate::ids::BackendId;
use crate::slots::backend::{Backend, Grant, MAX_REPORT_INTERVAL_MS, MAX_SILENCE_MS};
use crate::slots::health::FULL_BACKOFF_MS;
use crate::slots::preemption::{self, Candidate};
use crate::slots::queue::{FreeSlots, QueuedRequest};
use crate::slots::returns::ReturnTimes;
use crate::slots::{
    BackendSlots, HeldSlot, PoolLoad, SlotDecision, SlotNotice, SlotOutcome, SlotRequest,
    SlotRequestId, Urgency,
};
use crate::software_version::SoftwareVersion;
use crate::time::MonoMs;

/// A grant that its instance does not report is withdrawn after this time, which covers two reports
/// of many instances and the transfer of the grant.
pub const UNREPORTED_GRANT_TTL_MS: u64 = 900;
/// Queued online requests are repeated every 100 ms. After four missed repetitions a request is
/// dropped.
pub const ONLINE_REQUEST_TTL_MS: u64 = 450;
/// Same limit for batch items, which are repeated every second.
pub const BATCH_REQUEST_TTL_MS: u64 = 2_600;
/// Slots kept free of batch work without online arrivals, so that a single arrival need not preempt
/// a batch item.
const MIN_HEADROOM: u64 = 1;
/// The headroom is at most one slot in this many.
const MIN_SLOTS_PER_HEADROOM: u64 = 4;
/// Period over which arrivals are counted.
const ARRIVAL_PERIOD_MS: u64 = 1_000;
/// The slots and the queue of one service.
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) backends: BTreeMap<BackendId, Backend>,
    pub(super) waiting: Vec<QueuedRequest>,
    arrivals: VecDeque<MonoMs>,
    /// Time for which requests of callers hold a slot.
    pub(super) service_time: ServiceTime,
    /// Time until a preempted batch item has given up its slot.
    preemption_time: ServiceTime,
    /// Time for which granted batch items have waited.
    batch_wait: ServiceTime,
    pub(super) returns: ReturnTimes,
    /// When the waits of queued callers are estimated again.
    pub(super) next_review_at: MonoMs,
    /// Since when a batch item has waited at each moment.
    batch_queued_since: Option<MonoMs>,
}

impl Pool {
    /// Replaces the backend servers; grants at those that stay are kept. One that now runs another
    /// version has started again and is a new one, also if it does not state its start.
    pub fn set_backends(&mut self, all: &[BackendSlots]) {
        let mut old = std::mem::take(&mut self.backends);
        for config in all {
            let backend = match old.remove(&config.backend) {
                Some(mut current) if current.config.version == config.version => {
                    current.config = config.clone();
                    current
                }
                _ => Backend::new(config),
            };
            self.backends.insert(config.backend.clone(), backend);
        }
    }

    /// Handles a new or repeated slot request. A new request of a caller is refused if he would leave
    /// before a slot is free, or make one leave who waits already; any other is queued until the next
    /// [`Pool::decide`].
    pub fn request_slot(&mut self, now: MonoMs, request: SlotRequest) -> SlotDecision {
        if let Some(backend) = self.granted_backend(&request.id) {
            return SlotDecision::Granted(backend);
        }
        if self.is_version_gone(&request) {
            self.waiting.retain(|w| w.request.id != request.id);
            return SlotDecision::VersionGone;
        }
        if let Some(current) = self.waiting.iter_mut().find(|w| w.request.id == request.id) {
            current.last_request_at = now;
            return SlotDecision::Queued;
        }
        if request.urgency.is_of_caller() {
            if request.avoid.is_empty() {
                self.arrivals.push_back(now);
            }
            if let Some(wait) = self.refusal(now, &request) {
                let retry_after_ms = self.assign_return(now, &request, wait);
                return SlotDecision::Refused { retry_after_ms };
            }
        }
        self.waiting.push(QueuedRequest {
            queued_at: now,
            slack_until: now + request.slack_ms,
            last_request_at: now,
            request,
        });
        SlotDecision::Queued
    }

    fn granted_backend(&self, id: &SlotRequestId) -> Option<BackendId> {
        let held = self.backends.values().find(|b| b.grants.contains_key(id));
        held.map(|backend| backend.config.backend.clone())
    }

    /// Whether no backend server of the requested version is listed. An instance that has just
    /// started may be the allocator before it has read any, and cannot tell.
    fn is_version_gone(&self, request: &SlotRequest) -> bool {
        let Some(version) = &request.version else {
            return false;
        };
        let mut backends = self.backends.values();
        !self.backends.is_empty() && backends.all(|b| b.config.version != *version)
    }

    /// Frees the slot of a request, or removes it from the queue.
    pub fn release(&mut self, now: MonoMs, id: &SlotRequestId, outcome: SlotOutcome, draw: u64) {
        self.waiting.retain(|waiting| waiting.request.id != *id);
        let is_herd_silent = self.is_herd_silent(now);
        let held_ms = self.service_time.mean_ms().map(|mean_ms| mean_ms as u64);
        for backend in self.backends.values_mut() {
            let is_silent = backend.is_silent(now) == Some(true);
            let Some(grant) = backend.remove_grant(id) else {
                continue;
            };
            if let Some(since) = grant.preempting_since {
                self.preemption_time.record(now.since_ms(since));
            }
            if matches!(outcome, SlotOutcome::Done { .. }) {
                backend.record_done(now);
            }
            match outcome {
                SlotOutcome::Silent if is_herd_silent => backend.suspect(),
                SlotOutcome::Full => {
                    let slots = u64::from(backend.config.slots.max(1));
                    let for_ms = held_ms.map_or(FULL_BACKOFF_MS, |held_ms| held_ms / slots);
                    backend.health.record_full(now, for_ms);
                }
                SlotOutcome::Abandoned if is_silent && !is_herd_silent => {
                    backend.health.note(now, SlotOutcome::Silent, draw);
                }
                outcome => backend.health.note(now, outcome, draw),
            }
            if let SlotOutcome::Done { held_ms } = outcome
                && grant.urgency.is_of_caller()
            {
                self.service_time.record(held_ms);
            }
        }
    }

    /// Whether most of the backend servers in use are silent at the same time. What they have in
    /// common is the cause then, and their silence says nothing about each of them.
    fn is_herd_silent(&self, now: MonoMs) -> bool {
        let in_use = self.backends.values().filter_map(|b| b.is_silent(now));
        let (mut silent, mut total) = (0, 0);
        for is_silent in in_use {
            total += 1;
            silent += usize::from(is_silent);
        }
        silent > 1 && 2 * silent > total
    }

    /// Reconciles the grants of one instance, selected by `is_own`, with the list that it reports. A
    /// grant that was reported before and is no longer has ended.
    pub fn reconcile(
        &mut self,
        now: MonoMs,
        reported: &[(SlotRequestId, &HeldSlot)],
        is_own: impl Fn(&SlotRequestId) -> bool,
    ) {
        for backend in self.backends.values_mut() {
            let id = &backend.config.backend;
            backend.grants.retain(|request, grant| {
                let is_reported = reported
                    .iter()
                    .any(|(a, held)| a == request && held.backend == *id);
                let may_be_on_the_way = grant.reported_quiet_ms.is_none()
                    && now.since_ms(grant.granted_at) < UNREPORTED_GRANT_TTL_MS;
                !is_own(request) || is_reported || may_be_on_the_way
            });
            backend.forget_quiet_if_idle();
        }
        for (request, held) in reported {
            let Some(backend) = self.backends.get_mut(&held.backend) else {
                continue;
            };
            let grant = backend.grants.entry(request.clone());
            let grant = grant.or_insert_with(|| Grant {
                urgency: held.urgency,
                slack_until: now + 1,
                granted_at: now,
                preempting_since: None,
                reported_quiet_ms: None,
            });
            grant.reported_quiet_ms = Some(held.quiet_ms);
            let granted_at = grant.granted_at;
            backend.record_report(now, granted_at, held.quiet_ms);
        }
    }

    /// Frees the slots held by instances that are gone. Their queued requests are dropped once they
    /// are no longer repeated.
    pub fn forget(&mut self, is_gone: impl Fn(&SlotRequestId) -> bool) {
        for backend in self.backends.values_mut() {
            backend.grants.retain(|request, _| !is_gone(request));
            backend.forget_quiet_if_idle();
        }
    }

    /// Grants free slots to queued requests and preempts batch items for online requests.
    pub fn decide(&mut self, now: MonoMs, decisions: &mut Vec<SlotNotice>) {
        self.waiting.retain(|waiting| {
            let ttl_ms = match waiting.request.urgency {
                Urgency::Online { .. } => ONLINE_REQUEST_TTL_MS,
                Urgency::Batch => BATCH_REQUEST_TTL_MS,
            };
            now.since_ms(waiting.last_request_at) < ttl_ms
        });
        while let Some(first) = self.arrivals.front() {
            if now.since_ms(*first) <= ARRIVAL_PERIOD_MS {
                break;
            }
            self.arrivals.pop_front();
        }
        self.waiting.sort_by_key(|waiting| waiting.key(now));
        let mut free_slots = self.free_slots(now);
        self.drop_gone_versions(&free_slots, decisions);
        let mut still_waiting = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let selected = match free_slots.allows(now, &waiting) {
                true => self.select_backend(now, &waiting.request),
                false => None,
            };
            let Some(backend) = selected else {
                still_waiting.push(waiting);
                continue;
            };
            free_slots.take(&self.grant(now, waiting, backend, decisions));
        }
        self.waiting = still_waiting;
        self.refuse_hopeless(now, decisions);
        let mut waiting = self.waiting.iter();
        self.batch_queued_since = match waiting.any(|w| w.request.urgency == Urgency::Batch) {
            true => Some(self.batch_queued_since.unwrap_or(now)),
            false => None,
        };
        self.preempt_batch(now, decisions);
    }

    /// Drops the queued requests whose version is no longer listed.
    fn drop_gone_versions(&mut self, free_slots: &FreeSlots, decisions: &mut Vec<SlotNotice>) {
        self.waiting.retain(|waiting| {
            let version = waiting.request.version.as_ref();
            if !version.is_some_and(|version| free_slots.is_gone(version)) {
                return true;
            }
            decisions.push(SlotNotice {
                request: waiting.request.id.clone(),
                decision: Some(SlotDecision::VersionGone),
            });
            false
        });
    }

    /// Selects the engine with the fewest slots in use. An engine in another availability zone must
    /// have at least two fewer, since one more request slows an engine's step only a little and
    /// traffic between availability zones is costly.
    fn select_backend(&self, now: MonoMs, request: &SlotRequest) -> Option<BackendId> {
        let mut best: Option<(u32, bool, &BackendId)> = None;
        for (id, backend) in &self.backends {
            let free = backend.free(now);
            let version = request.version.as_ref();
            let has_version = version.is_none_or(|version| *version == backend.config.version);
            if free == 0 || !has_version || request.avoid.contains(id) {
                continue;
            }
            let used = backend.grants.len() as u32;
            let is_far = backend.config.zone != request.zone;
            let rank = (used + u32::from(is_far), is_far, id);
            if best.is_none_or(|current| rank < current) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    /// Counts the free slots once for the whole round: hundreds of items may wait for slots at
    /// dozens of engines, and each slot request and each release starts a round.
    fn free_slots(&self, now: MonoMs) -> FreeSlots {
        let mut waiting = self.waiting.iter();
        let names_version = waiting.any(|waiting| waiting.request.version.is_some());
        let mut free_slots = FreeSlots {
            free: 0,
            headroom: self.headroom(now),
            urgent_slack_ms: self.batch_wait.mean_ms().unwrap_or(0.0) as u64,
            by_version: Vec::new(),
        };
        for backend in self.backends.values() {
            let (version, free) = (&backend.config.version, u64::from(backend.free(now)));
            free_slots.free += free;
            if !names_version {
                continue;
            }
            let mut versions = free_slots.by_version.iter_mut();
            match versions.find(|(listed, _)| listed == version) {
                Some((_, of_version)) => *of_version += free,
                None => free_slots.by_version.push((version.clone(), free)),
            }
        }
        free_slots
    }

    /// Slots kept free of batch work: one, and one more for each caller who arrives while a batch item
    /// is preempted. A small or unhealthy pool keeps none: where engines only
    /// accept single probes, batch items must be able to probe them too.
    fn headroom(&self, now: MonoMs) -> u64 {
        let preemption_ms = self.preemption_time.mean_ms().unwrap_or(0.0);
        let arriving = self.arrivals.len() as f64 * preemption_ms / ARRIVAL_PERIOD_MS as f64;
        let wanted = MIN_HEADROOM + arriving as u64;
        wanted.min(self.usable_slots(now) / MIN_SLOTS_PER_HEADROOM)
    }

    /// Slots that the health of the backend servers allows to be in use.
    fn usable_slots(&self, now: MonoMs) -> u64 {
        let backends = self.backends.values();
        backends.map(|b| u64::from(b.usable(now))).sum()
    }

    /// Grants a slot; returns the version of the backend server.
    fn grant(
        &mut self,
        now: MonoMs,
        waiting: QueuedRequest,
        id: BackendId,
        decisions: &mut Vec<SlotNotice>,
    ) -> SoftwareVersion {
        if waiting.request.urgency == Urgency::Batch {
            self.batch_wait.record(now.since_ms(waiting.queued_at));
        }
        let grant = Grant {
            urgency: waiting.request.urgency,
            slack_until: waiting.slack_until,
            granted_at: now,
            preempting_since: None,
            reported_quiet_ms: None,
        };
        let mut version = SoftwareVersion::default();
        if let Some(backend) = self.backends.get_mut(&id) {
            version = backend.config.version.clone();
            backend.grants.insert(waiting.request.id.clone(), grant);
        }
        decisions.push(SlotNotice {
            request: waiting.request.id,
            decision: Some(SlotDecision::Granted(id)),
        });
        version
    }

    /// Preempts batch items for queued online requests.
    fn preempt_batch(&mut self, now: MonoMs, decisions: &mut Vec<SlotNotice>) {
        let online = self.waiting.iter().map(|waiting| &waiting.request);
        let online = online.filter(|request| request.urgency != Urgency::Batch);
        if online.clone().next().is_none() {
            return;
        }
        let mut candidates = Vec::new();
        for backend in self.backends.values_mut() {
            let frees_slot = backend.usable(now) as usize >= backend.grants.len();
            for (request, grant) in &mut backend.grants {
                if grant.urgency != Urgency::Batch {
                    continue;
                }
                candidates.push(Candidate {
                    request,
                    config: &backend.config,
                    frees_slot,
                    is_late: grant.slack_until <= grant.granted_at,
                    slack_until: grant.slack_until,
                    preempting_since: &mut grant.preempting_since,
                    is_claimed: false,
                });
            }
        }
        preemption::preempt(now, candidates, online, decisions);
    }

    /// How the slots are used, and what waits for them.
    pub fn load_at(&self, now: MonoMs) -> PoolLoad {
        let mut load = PoolLoad {
            headroom: self.headroom(now),
            batch_queued_ms: self.batch_queued_since.map_or(0, |at| now.since_ms(at)),
            ..PoolLoad::default()
        };
        for backend in self.backends.values() {
            load.slots += u64::from(backend.config.slots);
            load.usable += u64::from(backend.usable(now));
            load.free += u64::from(backend.free(now));
            let grants = backend.grants.values();
            let batch = count(grants.clone(), |g| g.urgency == Urgency::Batch);
            load.batch += batch;
            load.online += backend.grants.len() as u64 - batch;
            for grant in grants {
                let held_ms = now.since_ms(grant.granted_at);
                match grant.reported_quiet_ms {
                    Some(quiet_ms) => load.quiet += u64::from(quiet_ms > MAX_SILENCE_MS),
                    None => load.unreported += u64::from(held_ms > MAX_REPORT_INTERVAL_MS),
                }
            }
        }
        for waiting in &self.waiting {
            if waiting.request.urgency != Urgency::Batch {
                load.online_queued += 1;
                continue;
            }
            load.version_queued += u64::from(waiting.request.version.is_some());
            match waiting.slack_until > now {
                true => load.batch_queued += 1,
                false => load.late_queued += 1,
            }
        }
        load
    }

    /// Slots in use and queued requests.
    pub fn load(&self) -> (u64, u64) {
        let used = self.backends.values().map(|b| b.grants.len() as u64).sum();
        (used, self.waiting.len() as u64)
    }
}

pub(super) fn count<T>(items: impl Iterator<Item = T>, matches_item: impl Fn(&T) -> bool) -> u64 {
    items.filter(|item| matches_item(item)).count() as u64
}
