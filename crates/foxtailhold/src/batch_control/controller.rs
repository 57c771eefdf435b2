//! The steward of one replica: divides the mark between owners of jobs.
//!
//! Owners with the least slack get places first; owners whose slack falls in the same minute share
//! evenly. A place in use is not taken from one owner for another: it goes over when its item ends.
//! Only a falling mark cancels items.

use std::collections::{BTreeMap, VecDeque};

use crate::batch_control::window::CongestionWindow;
use crate::batch_control::{BatchSlotGrant, BatchSlotRequest, GRANT_MS, OnlineLoadNotice};
use crate::ids::{BackendId, InstanceId};
use crate::replicas::LoadReport;
use crate::time::MonoMs;

/// Owners whose slack falls in the same span of this length share evenly.
const SLACK_SPAN_MS: u64 = 60_000;

/// Places that an owner does not use are taken back after this time. Sooner, items that it started
/// since its last word would be cut.
const RECLAIM_MS: u64 = 1_000;

/// A grant that its owner may still be using.
#[derive(Debug, Clone, Copy)]
struct Issued {
    number: u64,
    keep: u32,
    start: u32,
    until: MonoMs,
}

#[derive(Debug, Clone)]
struct Owner {
    ask: BatchSlotRequest,
    /// Items it had in flight when it first asked.
    adopted: u32,
    /// Items it had in flight lately.
    recent: VecDeque<(MonoMs, u32)>,
    issued: VecDeque<Issued>,
}

impl Owner {
    /// The most places it may be using.
    fn committed(&self) -> u32 {
        let most = self.issued.iter().map(|issued| issued.keep).max();
        most.unwrap_or(0)
    }

    /// The most items it had in flight lately that a grant covers, or that were there before this
    /// steward.
    fn used(&self) -> u32 {
        let recent = self.recent.iter().map(|(_, in_use)| *in_use).max();
        recent.unwrap_or(0).min(self.last().0.max(self.adopted))
    }

    fn forget_use(&mut self, now: MonoMs) {
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
        last.map_or((0, 0), |issued| (issued.keep, issued.start))
    }
}

/// A new division for one owner.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    keep: u32,
    start: u32,
}

/// The steward of one replica.
#[derive(Debug, Clone)]
pub struct BatchController {
    me: InstanceId,
    backend: BackendId,
    term: u64,
    last_number: u64,
    mark: CongestionWindow,
    owners: BTreeMap<InstanceId, Owner>,
}

impl BatchController {
    /// A steward that knows nothing yet: its mark is zero until a report comes. Batch gets at most
    /// `share_percent` of the slots.
    pub fn new(me: InstanceId, backend: BackendId, term: u64, share_percent: u64) -> Self {
        BatchController {
            me,
            backend,
            term,
            last_number: 0,
            mark: CongestionWindow::new(share_percent),
            owners: BTreeMap::new(),
        }
    }

    /// The mark.
    pub fn window(&self) -> &CongestionWindow {
        &self.mark
    }

    /// Places that owners may be using.
    pub fn committed(&self) -> u32 {
        self.owners.values().map(Owner::committed).sum()
    }

    /// Batch items in flight by the owners' last word.
    pub fn in_use(&self) -> u32 {
        self.owners.values().map(|owner| owner.ask.in_use).sum()
    }

    /// The grants last issued, as keep and start.
    pub fn grants(&self) -> impl Iterator<Item = (&InstanceId, u32, u32)> {
        let last = |(id, owner)| {
            let (keep, start) = Owner::last(owner);
            (id, keep, start)
        };
        self.owners.iter().map(last)
    }

    /// Whether no owner has or wants a place.
    pub fn is_idle(&self) -> bool {
        self.owners.is_empty()
    }

    /// Takes a load report in. Returns the grants that owners must be told of at once.
    pub fn reported(
        &mut self,
        report: &LoadReport,
        now: MonoMs,
    ) -> Vec<(InstanceId, BatchSlotGrant)> {
        self.mark.reported(report, now);
        self.divide(now)
    }

    /// Takes a notice of online work in. Returns the grants that owners must be told of at once.
    pub fn noticed(
        &mut self,
        notice: &OnlineLoadNotice,
        now: MonoMs,
    ) -> Vec<(InstanceId, BatchSlotGrant)> {
        self.mark.noticed(notice, now);
        self.divide(now)
    }

    /// Moves the mark with time. Returns the grants that owners must be told of at once.
    pub fn tick(&mut self, now: MonoMs) -> Vec<(InstanceId, BatchSlotGrant)> {
        self.divide(now)
    }

    /// Takes an owner's question in. Returns its answer and the grants to tell the others.
    pub fn asked(
        &mut self,
        ask: BatchSlotRequest,
        now: MonoMs,
    ) -> (BatchSlotGrant, Vec<(InstanceId, BatchSlotGrant)>) {
        let id = ask.owner.clone();
        self.told(ask, now);
        let mut others = self.divide(now);
        others.retain(|(owner, _)| *owner != id);
        (self.renew(&id, now), others)
    }

    /// Takes an owner's answer to a grant in.
    pub fn told(&mut self, ask: BatchSlotRequest, now: MonoMs) {
        let follows = ask.follows;
        let id = ask.owner.clone();
        match self.owners.get_mut(&id) {
            None => {
                self.mark.adopt(ask.in_use);
                let owner = Owner {
                    adopted: ask.in_use,
                    recent: VecDeque::from([(now, ask.in_use)]),
                    ask,
                    issued: VecDeque::new(),
                };
                self.owners.insert(id, owner);
            }
            Some(owner) => {
                let applied = |issued: &Issued| issued.number >= follows.1;
                if follows.0 == self.term {
                    owner.issued.retain(applied);
                }
                owner.recent.push_back((now, ask.in_use));
                owner.ask = ask;
            }
        }
        let in_use = self.in_use();
        self.mark.batch_in_flight(in_use, now);
    }

    /// The owner's grant, valid anew.
    fn renew(&mut self, id: &InstanceId, now: MonoMs) -> BatchSlotGrant {
        let (keep, start) = self.owners.get(id).map_or((0, 0), Owner::last);
        self.issue(id, Share { keep, start }, now)
    }

    fn issue(&mut self, id: &InstanceId, share: Share, now: MonoMs) -> BatchSlotGrant {
        self.last_number += 1;
        let number = self.last_number;
        if let Some(owner) = self.owners.get_mut(id) {
            owner.adopted = 0;
            owner.issued.push_back(Issued {
                number,
                keep: share.keep,
                start: share.start,
                until: now + GRANT_MS,
            });
        }
        BatchSlotGrant {
            controller: self.me.clone(),
            backend: self.backend.clone(),
            term: self.term,
            number,
            cancel_above: share.keep,
            start_below: share.start,
        }
    }

    fn drop_expired(&mut self, now: MonoMs) {
        self.owners.retain(|_, owner| {
            owner.forget_use(now);
            let held = !owner.issued.is_empty();
            owner.issued.retain(|issued| issued.until >= now);
            !held || !owner.issued.is_empty()
        });
        let in_use = self.in_use();
        self.mark.batch_in_flight(in_use, now);
    }

    /// Divides the mark anew and issues the grants that changed.
    fn divide(&mut self, now: MonoMs) -> Vec<(InstanceId, BatchSlotGrant)> {
        self.drop_expired(now);
        self.mark.update(now);
        let shares = self.shares();
        let mut grants = Vec::new();
        for (id, share) in shares {
            let last = self.owners.get(&id).map(Owner::last);
            if last == Some((share.keep, share.start)) {
                continue;
            }
            let grant = self.issue(&id, share, now);
            grants.push((id, grant));
        }
        grants
    }

    /// What each owner gets of the mark. Places in use stay where the mark allows it; what is left
    /// goes by least slack.
    fn shares(&self) -> BTreeMap<InstanceId, Share> {
        let mark = self.mark.value();
        let starts = self.starts(mark);
        let order = self.by_slack();
        let mut shares = BTreeMap::new();
        let mut excess = self.used().saturating_sub(mark);
        for id in order.iter().rev() {
            let used = self.owners[*id].used();
            let cut = excess.min(used);
            excess -= cut;
            let keep = used - cut;
            let start = starts.get(*id).copied().unwrap_or(0);
            shares.insert((*id).clone(), Share { keep, start });
        }
        let mut free = mark.saturating_sub(self.used());
        let mut room = mark.saturating_sub(self.committed());
        for id in order {
            let (Some(share), Some(owner)) = (shares.get_mut(id), self.owners.get(id)) else {
                continue;
            };
            let raise = share.start.saturating_sub(share.keep).min(free);
            free -= raise;
            let over = (share.keep + raise).saturating_sub(owner.committed());
            let allowed = over.min(room);
            room -= allowed;
            share.keep = share.keep + raise - (over - allowed);
            share.start = share.start.min(share.keep);
        }
        shares
    }

    fn used(&self) -> u32 {
        self.owners.values().map(Owner::used).sum()
    }

    fn by_slack(&self) -> Vec<&InstanceId> {
        let mut order: Vec<&InstanceId> = self.owners.keys().collect();
        order.sort_by_key(|id| self.owners[*id].ask.slack_ms);
        order
    }

    /// Up to how many items each owner may start: least slack first, evenly within one span, none
    /// while pressure holds the mark.
    fn starts(&self, mark: u32) -> BTreeMap<InstanceId, u32> {
        if self.mark.is_held() {
            return BTreeMap::new();
        }
        let mut spans: BTreeMap<u64, Vec<&InstanceId>> = BTreeMap::new();
        for (id, owner) in &self.owners {
            let span = owner.ask.slack_ms / SLACK_SPAN_MS;
            spans.entry(span).or_default().push(id);
        }
        let mut left = mark;
        let mut starts = BTreeMap::new();
        for mut sharing in spans.into_values() {
            sharing.sort_by_key(|id| self.owners[*id].ask.wanted);
            let mut count = sharing.len() as u32;
            for id in sharing {
                let wanted = self.owners[id].ask.wanted;
                let start = wanted.min(left.div_ceil(count));
                left -= start;
                count -= 1;
                starts.insert(id.clone(), start);
            }
        }
        starts
    }
}
