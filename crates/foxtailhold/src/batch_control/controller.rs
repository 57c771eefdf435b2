//! The batch controller of one backend server: divides its congestion window between owners of
//! jobs.
//!
//! Owners with the least slack get slots first; owners whose slack falls in the same minute share
//! evenly. A slot in use is not taken from one owner for another, it changes owner when its item
//! ends. Items are preempted only when the window shrinks.

use std::collections::{BTreeMap, VecDeque};

use crate::batch_control::window::CongestionWindow;
use crate::batch_control::{BatchSlotGrant, BatchSlotRequest, GRANT_MS, OnlineLoadNotice};
use crate::ids::{BackendId, InstanceId};
use crate::replicas::LoadReport;
use crate::time::MonoMs;

/// Owners whose slack falls in the same interval of this length share evenly.
const SLACK_INTERVAL_MS: u64 = 60_000;

/// Slots that an owner does not use are reclaimed after this time. Sooner, items that the owner
/// started since its last report would be preempted.
const RECLAIM_MS: u64 = 1_000;

/// A grant that its owner may still be using.
#[derive(Debug, Clone, Copy)]
struct IssuedGrant {
    number: u64,
    cancel_above: u32,
    start_below: u32,
    until: MonoMs,
}

#[derive(Debug, Clone)]
struct Owner {
    request: BatchSlotRequest,
    /// Items that were in flight when the owner sent its first request.
    adopted: u32,
    /// Items in flight within the last [`RECLAIM_MS`], oldest first.
    recent: VecDeque<(MonoMs, u32)>,
    issued: VecDeque<IssuedGrant>,
}

impl Owner {
    /// The largest number of slots that the owner may be using under its grants.
    fn committed(&self) -> u32 {
        let most = self.issued.iter().map(|issued| issued.cancel_above).max();
        most.unwrap_or(0)
    }

    /// The most items in flight lately that are covered by the last grant or were adopted.
    fn used(&self) -> u32 {
        let recent = self.recent.iter().map(|(_, in_use)| *in_use).max();
        recent.unwrap_or(0).min(self.last().0.max(self.adopted))
    }

    fn drop_old_usage(&mut self, now: MonoMs) {
        while self
            .recent
            .get(1)
            .is_some_and(|(at, _)| now.since_ms(*at) > RECLAIM_MS)
        {
            self.recent.pop_front();
        }
    }

    fn last(&self) -> (u32, u32) {
        let last = self.issued.back();
        last.map_or((0, 0), |issued| (issued.cancel_above, issued.start_below))
    }
}

/// The newly computed slots of one owner.
#[derive(Debug, Clone, Copy, Default)]
struct SlotShare {
    cancel_above: u32,
    start_below: u32,
}

/// The batch controller of one backend server.
#[derive(Debug, Clone)]
pub struct BatchController {
    me: InstanceId,
    backend: BackendId,
    term: u64,
    last_number: u64,
    window: CongestionWindow,
    owners: BTreeMap<InstanceId, Owner>,
}

impl BatchController {
    /// Creates a controller without state; its window is zero until the first load report. Batch
    /// items get at most `share_percent` of the slots.
    pub fn new(me: InstanceId, backend: BackendId, term: u64, share_percent: u64) -> Self {
        BatchController {
            me,
            backend,
            term,
            last_number: 0,
            window: CongestionWindow::new(share_percent),
            owners: BTreeMap::new(),
        }
    }

    /// The congestion window of the backend server.
    pub fn window(&self) -> &CongestionWindow {
        &self.window
    }

    /// Slots that owners may be using.
    pub fn committed(&self) -> u32 {
        self.owners.values().map(Owner::committed).sum()
    }

    /// Batch items in flight, as last reported by the owners.
    pub fn in_use(&self) -> u32 {
        self.owners.values().map(|owner| owner.request.in_use).sum()
    }

    /// The last grant of each owner: owner, `cancel_above` and `start_below`.
    pub fn grants(&self) -> impl Iterator<Item = (&InstanceId, u32, u32)> {
        let last = |(id, owner)| {
            let (cancel_above, start_below) = Owner::last(owner);
            (id, cancel_above, start_below)
        };
        self.owners.iter().map(last)
    }

    /// Whether no owner uses or wants a slot.
    pub fn is_idle(&self) -> bool {
        self.owners.is_empty()
    }

    /// Applies a load report. Returns the grants that must be pushed to owners.
    pub fn apply_load_report(
        &mut self,
        report: &LoadReport,
        now: MonoMs,
    ) -> Vec<(InstanceId, BatchSlotGrant)> {
        self.window.apply_load_report(report, now);
        self.divide(now)
    }

    /// Applies a notice of online load. Returns the grants that must be pushed to owners.
    pub fn apply_online_load(
        &mut self,
        notice: &OnlineLoadNotice,
        now: MonoMs,
    ) -> Vec<(InstanceId, BatchSlotGrant)> {
        self.window.apply_online_load(notice, now);
        self.divide(now)
    }

    /// Moves the window with time. Returns the grants that must be pushed to owners.
    pub fn tick(&mut self, now: MonoMs) -> Vec<(InstanceId, BatchSlotGrant)> {
        self.divide(now)
    }

    /// Handles a slot request. Returns its grant and the grants that must be pushed to other
    /// owners.
    pub fn handle_request(
        &mut self,
        request: BatchSlotRequest,
        now: MonoMs,
    ) -> (BatchSlotGrant, Vec<(InstanceId, BatchSlotGrant)>) {
        let id = request.owner.clone();
        self.record_usage(request, now);
        let mut others = self.divide(now);
        others.retain(|(owner, _)| *owner != id);
        (self.renew(&id, now), others)
    }

    /// Records an owner's slots, from a slot request or from its response to a pushed grant.
    pub fn record_usage(&mut self, request: BatchSlotRequest, now: MonoMs) {
        let follows = request.follows;
        let id = request.owner.clone();
        match self.owners.get_mut(&id) {
            None => {
                self.window.adopt(request.in_use);
                let owner = Owner {
                    adopted: request.in_use,
                    recent: VecDeque::from([(now, request.in_use)]),
                    request,
                    issued: VecDeque::new(),
                };
                self.owners.insert(id, owner);
            }
            Some(owner) => {
                let applied = |issued: &IssuedGrant| issued.number >= follows.1;
                if follows.0 == self.term {
                    owner.issued.retain(applied);
                }
                owner.recent.push_back((now, request.in_use));
                owner.request = request;
            }
        }
        let in_use = self.in_use();
        self.window.batch_in_flight(in_use, now);
    }

    /// Issues the owner's last grant again, for a new validity period.
    fn renew(&mut self, id: &InstanceId, now: MonoMs) -> BatchSlotGrant {
        let (cancel_above, start_below) = self.owners.get(id).map_or((0, 0), Owner::last);
        self.issue(
            id,
            SlotShare {
                cancel_above,
                start_below,
            },
            now,
        )
    }

    fn issue(&mut self, id: &InstanceId, share: SlotShare, now: MonoMs) -> BatchSlotGrant {
        self.last_number += 1;
        let number = self.last_number;
        if let Some(owner) = self.owners.get_mut(id) {
            owner.adopted = 0;
            owner.issued.push_back(IssuedGrant {
                number,
                cancel_above: share.cancel_above,
                start_below: share.start_below,
                until: now + GRANT_MS,
            });
        }
        BatchSlotGrant {
            controller: self.me.clone(),
            backend: self.backend.clone(),
            term: self.term,
            number,
            cancel_above: share.cancel_above,
            start_below: share.start_below,
        }
    }

    fn drop_expired(&mut self, now: MonoMs) {
        self.owners.retain(|_, owner| {
            owner.drop_old_usage(now);
            let held = !owner.issued.is_empty();
            owner.issued.retain(|issued| issued.until >= now);
            !held || !owner.issued.is_empty()
        });
        let in_use = self.in_use();
        self.window.batch_in_flight(in_use, now);
    }

    /// Divides the window again and issues the grants that changed.
    fn divide(&mut self, now: MonoMs) -> Vec<(InstanceId, BatchSlotGrant)> {
        self.drop_expired(now);
        self.window.update(now);
        let shares = self.shares();
        let mut grants = Vec::new();
        for (id, share) in shares {
            let last = self.owners.get(&id).map(Owner::last);
            if last == Some((share.cancel_above, share.start_below)) {
                continue;
            }
            let grant = self.issue(&id, share, now);
            grants.push((id, grant));
        }
        grants
    }

    /// Computes the slots of each owner. Slots in use stay with their owner as far as the window
    /// allows, and the rest goes to the owners with the least slack.
    fn shares(&self) -> BTreeMap<InstanceId, SlotShare> {
        let window = self.window.value();
        let start_limits = self.start_limits(window);
        let order = self.by_slack();
        let mut shares = BTreeMap::new();
        let mut excess = self.used().saturating_sub(window);
        for id in order.iter().rev() {
            let used = self.owners[*id].used();
            let reduction = excess.min(used);
            excess -= reduction;
            let cancel_above = used - reduction;
            let start_below = start_limits.get(*id).copied().unwrap_or(0);
            shares.insert(
                (*id).clone(),
                SlotShare {
                    cancel_above,
                    start_below,
                },
            );
        }
        let mut free = window.saturating_sub(self.used());
        let mut available = window.saturating_sub(self.committed());
        for id in order {
            let (Some(share), Some(owner)) = (shares.get_mut(id), self.owners.get(id)) else {
                continue;
            };
            let raise = share
                .start_below
                .saturating_sub(share.cancel_above)
                .min(free);
            free -= raise;
            let over = (share.cancel_above + raise).saturating_sub(owner.committed());
            let allowed = over.min(available);
            available -= allowed;
            share.cancel_above = share.cancel_above + raise - (over - allowed);
            share.start_below = share.start_below.min(share.cancel_above);
        }
        shares
    }

    fn used(&self) -> u32 {
        self.owners.values().map(Owner::used).sum()
    }

    fn by_slack(&self) -> Vec<&InstanceId> {
        let mut order: Vec<&InstanceId> = self.owners.keys().collect();
        order.sort_by_key(|id| self.owners[*id].request.slack_ms);
        order
    }

    /// Up to how many items each owner may start: least slack first, evenly within one interval,
    /// none while pressure holds the window.
    fn start_limits(&self, window: u32) -> BTreeMap<InstanceId, u32> {
        if self.window.is_held() {
            return BTreeMap::new();
        }
        let mut intervals: BTreeMap<u64, Vec<&InstanceId>> = BTreeMap::new();
        for (id, owner) in &self.owners {
            let interval = owner.request.slack_ms / SLACK_INTERVAL_MS;
            intervals.entry(interval).or_default().push(id);
        }
        let mut remaining = window;
        let mut start_limits = BTreeMap::new();
        for mut interval_owners in intervals.into_values() {
            interval_owners.sort_by_key(|id| self.owners[*id].request.wanted);
            let mut count = interval_owners.len() as u32;
            for id in interval_owners {
                let wanted = self.owners[id].request.wanted;
                let start_below = wanted.min(remaining.div_ceil(count));
                remaining -= start_below;
                count -= 1;
                start_limits.insert(id.clone(), start_below);
            }
        }
        start_limits
    }
}
