//! One backend server of a pool: its grants, its health, and whether it is silent.

use std::collections::HashMap;

use crate::slots::health::BackendHealth;
use crate::slots::{BackendSlots, SlotRequestId, Urgency};
use crate::time::MonoMs;

/// A backend server that sends nothing to any of its requests for this time is silent and gets no
/// new ones until it goes on. It is more than the interval of reports together with the usual time
/// to a first event, and less than the time after which requests look for another server.
pub const MAX_SILENCE_MS: u64 = 550;
/// Longest interval between two reports of an instance.
pub(super) const MAX_REPORT_INTERVAL_MS: u64 = 400;
/// A reported time without data counts until two more reports of its instance are missing.
const REPORT_TTL_MS: u64 = 3 * MAX_REPORT_INTERVAL_MS;
/// A grant reaches its instance, and its request is sent, within this time.
const ANSWER_MARGIN_MS: u64 = 100;

/// A request that has a slot.
#[derive(Debug, Clone)]
pub(super) struct Grant {
    pub(super) urgency: Urgency,
    pub(super) slack_until: MonoMs,
    pub(super) granted_at: MonoMs,
    /// Since when it is being preempted.
    pub(super) preempting_since: Option<MonoMs>,
    /// Time without data as its instance last reported it; `None` before the first report.
    pub(super) reported_quiet_ms: Option<u64>,
}

/// Time without data from a backend server, as of an instant.
#[derive(Debug, Clone, Copy)]
struct Quiet {
    at: MonoMs,
    quiet_ms: u64,
}

impl Quiet {
    /// The time without data by now; `None` if it was reported too long ago to tell. It grows for
    /// one interval of reports only, so that a lost report makes no backend server silent.
    fn ms(self, now: MonoMs) -> Option<u64> {
        let age_ms = now.since_ms(self.at);
        let grown_ms = age_ms.min(MAX_REPORT_INTERVAL_MS);
        (age_ms <= REPORT_TTL_MS).then(|| self.quiet_ms.saturating_add(grown_ms))
    }
}

/// A backend server and the requests that have its slots.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) config: BackendSlots,
    pub(super) grants: HashMap<SlotRequestId, Grant>,
    pub(super) health: BackendHealth,
    /// The least that was reported of its grants; `None` before the first report.
    quiet: Option<Quiet>,
    /// Whether a request of it went on elsewhere while most engines were silent, and nothing has
    /// been heard from it since.
    is_suspect: bool,
}

impl Backend {
    pub(super) fn new(config: &BackendSlots) -> Self {
        Backend {
            config: config.clone(),
            grants: HashMap::new(),
            health: BackendHealth::default(),
            quiet: None,
            is_suspect: false,
        }
    }

    /// Whether it has sent nothing for [`MAX_SILENCE_MS`]; `None` if nothing was reported.
    pub(super) fn is_silent(&self, now: MonoMs) -> Option<bool> {
        let quiet_ms = self.quiet?.ms(now)?;
        Some(quiet_ms > MAX_SILENCE_MS)
    }

    /// Records that data arrived `quiet_ms` ago.
    fn record_quiet(&mut self, now: MonoMs, quiet_ms: u64) {
        let known_ms = self.quiet.and_then(|known| known.ms(now));
        if known_ms.is_none_or(|known_ms| quiet_ms < known_ms) {
            self.quiet = Some(Quiet { at: now, quiet_ms });
        }
    }

    /// Records the report of a grant. Data that arrived since the grant shows that the backend
    /// server goes on.
    pub(super) fn record_report(&mut self, now: MonoMs, granted_at: MonoMs, quiet_ms: u64) {
        self.record_quiet(now, quiet_ms);
        if now.since_ms(granted_at) > quiet_ms + ANSWER_MARGIN_MS {
            self.is_suspect = false;
        }
    }

    /// Records that a request went on elsewhere while most engines were silent.
    pub(super) fn suspect(&mut self) {
        self.is_suspect = true;
    }

    /// Records that a response was complete.
    pub(super) fn record_done(&mut self, now: MonoMs) {
        self.is_suspect = false;
        if self.quiet.is_some() {
            self.record_quiet(now, 0);
        }
    }

    pub(super) fn remove_grant(&mut self, id: &SlotRequestId) -> Option<Grant> {
        let grant = self.grants.remove(id);
        self.forget_quiet_if_idle();
        grant
    }

    pub(super) fn forget_quiet_if_idle(&mut self) {
        if self.grants.is_empty() {
            self.quiet = None;
        }
    }

    /// Number of slots that may be in use now.
    pub(super) fn usable(&self, now: MonoMs) -> u32 {
        let limit = self.health.limit(now, self.config.slots);
        match self.is_silent(now) {
            Some(true) => 0,
            _ if self.is_suspect => limit.min(1),
            _ => limit,
        }
    }

    /// Times in ms after which slots that callers hold are likely to be free, if requests hold them for
    /// `held_ms`. One that is held for longer is likely to be held for half as long again.
    pub(super) fn online_returns_ms(&self, now: MonoMs, held_ms: u64) -> impl Iterator<Item = u64> {
        let online = self.grants.values();
        let online = online.filter(|grant| grant.urgency != Urgency::Batch);
        let left_ms = online.map(|grant| {
            let left_ms = held_ms.saturating_sub(now.since_ms(grant.granted_at));
            if left_ms > 0 { left_ms } else { held_ms / 2 }
        });
        let mut returns_ms: Vec<u64> = left_ms.collect();
        returns_ms.sort_unstable();
        // Slots beyond those that are usable stay unused when they are returned.
        let unused = self.grants.len().saturating_sub(self.usable(now) as usize);
        returns_ms.into_iter().skip(unused)
    }

    /// When one of its slots may be in use, if none may now; `None` if it is silent, as nothing tells
    /// when that ends.
    pub(super) fn usable_at(&self, now: MonoMs) -> Option<MonoMs> {
        match self.is_silent(now) {
            Some(true) => None,
            _ => Some(self.health.usable_at(now)),
        }
    }

    pub(super) fn free(&self, now: MonoMs) -> u32 {
        self.usable(now).saturating_sub(self.grants.len() as u32)
    }
}
