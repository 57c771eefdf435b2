//! Membership: rows of the platform's store list the instances, messages show which of them are
//! alive.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use foxtailhold::ids::{AvailabilityZone, InstanceId};
use foxtailhold::time::MonoMs;
use serde::{Deserialize, Serialize};

use crate::peers::live_view::LiveView;
use crate::peers::message::InstanceHash;

/// Minimum and maximum interval between reports to the allocator and its standbys.
const REPORT_INTERVAL_MS: (u64, u64) = (250, 400);
/// Number of instances up to which reports are sent at the minimum interval. Each receiver then
/// gets about 100 reports per second, which costs one hundredth of a core.
const MIN_INTERVAL_INSTANCES: u64 = 24;
/// An instance is down if it has not been heard from for this many report intervals, in tenths.
const DOWN_AFTER_TENTHS: u64 = 28;
/// An allocator or standby is skipped if it has not answered for this many report intervals, in
/// tenths.
const SKIP_AFTER_TENTHS: u64 = 24;
/// Time for which an instance that did not answer is skipped.
const SKIP_MS: u64 = 1_500;
/// Least time between two reviews of the starts that count.
const REVIEW_INTERVAL_MS: u64 = 100;
/// Instances that track the slots in use: one allocates, the others are standbys.
pub const ALLOCATOR_GROUP: usize = 3;

/// One start of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier, new at each start.
    pub instance: InstanceId,
    /// Address for datagrams and for calls of other instances.
    pub peer_address: SocketAddr,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: AvailabilityZone,
    /// CPU share, in thousandths of a core.
    pub core_permille: u32,
    /// Whether a planned stop has begun.
    pub is_leaving: bool,
}

/// Membership as known to this instance.
#[derive(Debug)]
pub struct Members {
    me: InstanceId,
    /// Newest row of each start, by version, oldest first. Several starts may have the same address,
    /// because the row of a former one stays until it is deleted, and may be written late.
    rows: BTreeMap<u64, Member>,
    /// The start that counts at each address that is listed with several.
    current: HashMap<SocketAddr, InstanceId>,
    last_heard: HashMap<InstanceId, MonoMs>,
    /// Time of the newest message of any instance.
    newest_message: MonoMs,
    /// When the starts that count were last chosen again.
    reviewed: MonoMs,
    unanswered_since: HashMap<InstanceId, MonoMs>,
    skipped_until: HashMap<InstanceId, MonoMs>,
    live_lists: HashMap<InstanceId, (MonoMs, Vec<InstanceHash>)>,
    down_since: HashMap<InstanceId, MonoMs>,
}

impl Members {
    /// Creates an empty membership for instance `me`.
    pub fn new(me: InstanceId) -> Self {
        Members {
            me,
            rows: BTreeMap::new(),
            current: HashMap::new(),
            last_heard: HashMap::new(),
            newest_message: MonoMs(0),
            reviewed: MonoMs(0),
            unanswered_since: HashMap::new(),
            skipped_until: HashMap::new(),
            live_lists: HashMap::new(),
            down_since: HashMap::new(),
        }
    }

    /// Identifier of this instance.
    pub fn me(&self) -> &InstanceId {
        &self.me
    }

    /// Applies a row. Of each start only the newest row counts, and of several starts at one address
    /// only one does: that which is heard, or else the one with the newest row.
    pub fn put(&mut self, version: u64, member: Member) {
        let mut rows = self.rows.iter();
        let known = rows.find(|(_, other)| other.instance == member.instance);
        if let Some(known_version) = known.map(|(version, _)| *version) {
            if known_version > version {
                return;
            }
            self.rows.remove(&known_version);
        }
        let address = member.peer_address;
        self.rows.insert(version, member);
        self.choose_at(address);
    }

    fn starts_at(&self, address: SocketAddr) -> impl DoubleEndedIterator<Item = &Member> {
        let all = self.rows.values();
        all.filter(move |member| member.peer_address == address)
    }

    /// Chooses the start that counts at an address whose rows have changed.
    fn choose_at(&mut self, address: SocketAddr) {
        if self.starts_at(address).nth(1).is_none() {
            self.current.remove(&address);
            return;
        }
        let live = self.live_set(self.newest_message);
        self.choose_current(&live, address);
    }

    /// Chooses the start that counts at an address. One that counts and is alive stays, because the
    /// row of a former start may be written late.
    fn choose_current(&mut self, live: &HashSet<InstanceHash>, address: SocketAddr) {
        let is_alive = |member: &&Member| {
            member.instance == self.me || live.contains(&InstanceHash::from(&member.instance))
        };
        let before = self.current.get(&address);
        let is_before = |member: &&Member| Some(&member.instance) == before;
        let newest_first = || self.starts_at(address).rev();
        let chosen = newest_first()
            .filter(is_alive)
            .find(is_before)
            .or_else(|| newest_first().find(is_alive))
            .or_else(|| newest_first().next());
        if let Some(chosen) = chosen.map(|member| member.instance.clone()) {
            self.current.insert(address, chosen);
        }
    }

    /// Whether a listed start is the one that counts at its address.
    fn is_current(&self, member: &Member) -> bool {
        let current = self.current.get(&member.peer_address);
        current.is_none_or(|current| *current == member.instance)
    }

    /// The starts that count, one for each address, those with the oldest rows first.
    fn members(&self) -> impl Iterator<Item = &Member> {
        let all = self.rows.values();
        all.filter(|member| self.is_current(member))
    }

    /// Lets a start count at its address, because it is heard.
    fn make_current(&mut self, instance: &InstanceId) {
        let mut rows = self.rows.values();
        let Some(member) = rows.find(|member| member.instance == *instance) else {
            return;
        };
        let address = member.peer_address;
        if let Some(current) = self.current.get_mut(&address) {
            *current = instance.clone();
        }
    }

    /// Whether the row of this instance says `is_leaving` and is the newest one at its address, so
    /// that instances which do not hear it list it too.
    pub fn lists_me(&self, is_leaving: bool) -> bool {
        let mut newest_first = self.rows.values().rev();
        let Some(own) = self.rows.values().find(|row| row.instance == self.me) else {
            return false;
        };
        let at_address = newest_first.find(|row| row.peer_address == own.peer_address);
        own.is_leaving == is_leaving && at_address.is_some_and(|row| row.instance == self.me)
    }

    /// Removes the row of an instance.
    pub fn remove(&mut self, instance: &InstanceId) {
        let mut rows = self.rows.values();
        let Some(row) = rows.find(|member| member.instance == *instance) else {
            return;
        };
        let address = row.peer_address;
        self.rows.retain(|_, member| member.instance != *instance);
        self.choose_at(address);
    }

    /// Removes all rows, before a complete list is applied.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// Number of listed instances that are not leaving.
    pub fn count(&self) -> usize {
        self.not_leaving().count()
    }

    /// All other instances. Leaving instances are included because they serve for some more
    /// seconds.
    pub fn other_members(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.instance != self.me)
    }

    /// Addresses of all other instances.
    pub fn others(&self) -> Vec<SocketAddr> {
        let others = self.other_members();
        others.map(|member| member.peer_address).collect()
    }

    /// Peer address of an instance; `None` if it is not listed.
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let mut all = self.members();
        let member = all.find(|member| member.instance == *instance)?;
        Some(member.peer_address)
    }

    /// Whether the instance at a peer address comes before this one in the order that all share; one
    /// that is not listed does.
    pub fn goes_before_me(&self, address: SocketAddr) -> bool {
        let mut others = self.other_members();
        let other = others.find(|member| member.peer_address == address);
        other.is_none_or(|other| other.instance < self.me)
    }

    /// Records a message from an instance, which proves that it is alive.
    pub fn record_message(&mut self, now: MonoMs, instance: &InstanceId) {
        self.last_heard.insert(instance.clone(), now);
        self.newest_message = self.newest_message.max(now);
        self.unanswered_since.remove(instance);
        self.skipped_until.remove(instance);
        if !self.current.is_empty() && *instance != self.me {
            self.make_current(instance);
        }
    }

    /// Records the list of live instances sent by an allocator or standby.
    pub fn record_live_list(&mut self, now: MonoMs, from: &InstanceId, live: Vec<InstanceHash>) {
        self.live_lists.insert(from.clone(), (now, live));
        self.newest_message = self.newest_message.max(now);
        self.review_current(now);
    }

    /// Chooses again where several starts are listed, because one may have fallen silent. After the
    /// loss of all instances there are as many such addresses.
    fn review_current(&mut self, now: MonoMs) {
        if self.current.is_empty() || now.since_ms(self.reviewed) < REVIEW_INTERVAL_MS {
            return;
        }
        self.reviewed = now;
        let live = self.live_set(now);
        let addresses: Vec<SocketAddr> = self.current.keys().copied().collect();
        for address in addresses {
            self.choose_current(&live, address);
        }
    }

    /// Records that an instance did not answer slot requests in time.
    pub fn record_timeout(&mut self, now: MonoMs, instance: &InstanceId) {
        self.skipped_until.insert(instance.clone(), now + SKIP_MS);
        self.last_heard.remove(instance);
    }

    /// Interval between reports in milliseconds; it grows with the number of instances.
    pub fn report_interval_ms(&self) -> u64 {
        let instances = self.members().count() as u64;
        (REPORT_INTERVAL_MS.0 * instances / MIN_INTERVAL_INSTANCES)
            .clamp(REPORT_INTERVAL_MS.0, REPORT_INTERVAL_MS.1)
    }

    fn down_after_ms(&self) -> u64 {
        self.report_interval_ms() * DOWN_AFTER_TENTHS / 10
    }

    fn is_heard(&self, now: MonoMs, instance: &InstanceId) -> bool {
        let heard_at = self.last_heard.get(instance);
        heard_at.is_some_and(|at| now.since_ms(*at) < self.down_after_ms())
    }

    fn is_skipped(&self, now: MonoMs, instance: &InstanceId) -> bool {
        self.skipped_until
            .get(instance)
            .is_some_and(|until| *until > now)
    }

    /// The instance that allocates slots, as seen here; `None` if it is this one.
    pub fn allocator(&self, now: MonoMs) -> Option<&Member> {
        for member in self.by_allocator_rank() {
            if member.instance == self.me {
                return None;
            }
            if self.is_heard(now, &member.instance) && !self.is_skipped(now, &member.instance) {
                return Some(member);
            }
        }
        None
    }

    /// Instances with a larger CPU share first, then older ones. Allocation costs CPU time, and the
    /// allocator should rarely change.
    fn by_allocator_rank(&self) -> Vec<&Member> {
        let mut ranked: Vec<&Member> = self.not_leaving().collect();
        ranked.sort_by_key(|member| std::cmp::Reverse(member.core_permille));
        ranked
    }

    fn not_leaving(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| !member.is_leaving)
    }

    /// Addresses for the next report. Instances that do not answer are skipped for a while.
    pub fn report_addresses(&mut self, now: MonoMs) -> Vec<SocketAddr> {
        self.review_current(now);
        let mut chosen = Vec::new();
        let ranked: Vec<Member> = self.by_allocator_rank().into_iter().cloned().collect();
        let unanswered_ms = self.report_interval_ms() * SKIP_AFTER_TENTHS / 10;
        for member in ranked {
            if chosen.len() >= ALLOCATOR_GROUP {
                break;
            }
            if member.instance == self.me {
                chosen.push(None);
                continue;
            }
            if self.is_skipped(now, &member.instance) {
                continue;
            }
            let since = self.unanswered_since.entry(member.instance.clone());
            let since = *since.or_insert(now);
            if now.since_ms(since) > unanswered_ms {
                self.unanswered_since.remove(&member.instance);
                self.skipped_until
                    .insert(member.instance.clone(), now + SKIP_MS);
                continue;
            }
            chosen.push(Some(member.peer_address));
        }
        chosen.into_iter().flatten().collect()
    }

    /// Instances heard from recently, for the answer to a report.
    pub fn recently_heard(&self, now: MonoMs) -> Vec<InstanceHash> {
        let heard = self.last_heard.keys().filter(|id| self.is_heard(now, id));
        let mut live: Vec<InstanceHash> = heard.map(InstanceHash::from).collect();
        live.push(InstanceHash::from(&self.me));
        live
    }

    fn live_set(&self, now: MonoMs) -> HashSet<InstanceHash> {
        let lists = self.live_lists.values();
        let fresh = lists.filter(|(at, _)| now.since_ms(*at) < self.down_after_ms());
        let mut live: HashSet<InstanceHash> = fresh.flat_map(|(_, live)| live).copied().collect();
        let heard = self.last_heard.keys().filter(|id| self.is_heard(now, id));
        live.extend(heard.map(InstanceHash::from));
        live
    }

    /// Instances heard from directly, or through an allocator or standby, that have not been
    /// replaced.
    pub fn live_hashes(&self, now: MonoMs) -> HashSet<InstanceHash> {
        self.without_replaced(now, self.live_set(now))
    }

    fn without_replaced(
        &self,
        now: MonoMs,
        mut live: HashSet<InstanceHash>,
    ) -> HashSet<InstanceHash> {
        let replaced = self.rows.values().filter(|member| !self.is_current(member));
        for member in replaced {
            if !self.is_heard(now, &member.instance) {
                live.remove(&InstanceHash::from(&member.instance));
            }
        }
        live
    }

    /// Live instances that are not leaving, including this one. If no other instance is heard from
    /// at all, all listed ones count as live.
    pub fn live(&self, now: MonoMs) -> Vec<&Member> {
        let live = self.live_set(now);
        let is_isolated = live.is_empty();
        let is_live = |member: &&Member| {
            is_isolated
                || member.instance == self.me
                || live.contains(&InstanceHash::from(&member.instance))
        };
        self.not_leaving().filter(is_live).collect()
    }

    /// The live instances now. Its cost grows with the number of instances.
    pub fn live_view(&mut self, now: MonoMs) -> LiveView {
        self.review_current(now);
        let heard = self.live_set(now);
        LiveView {
            now,
            hears_others: !heard.is_empty(),
            live: self.without_replaced(now, heard),
        }
    }

    /// Instances that are not leaving and have not been down for `for_ms`, including this one.
    pub fn not_down(&mut self, now: MonoMs, for_ms: u64) -> Vec<InstanceId> {
        let view = self.live_view(now);
        self.not_down_in(&view, for_ms)
    }

    /// Like [`Members::not_down`], at the moment of a view.
    pub fn not_down_in(&mut self, view: &LiveView, for_ms: u64) -> Vec<InstanceId> {
        let candidates: Vec<InstanceId> = self.not_leaving().map(|m| m.instance.clone()).collect();
        let mut up = Vec::new();
        for instance in candidates {
            if !self.is_down_beside(&view.live, view.now, &instance, for_ms) {
                up.push(instance);
            }
        }
        up
    }

    /// Whether this instance hears from any other.
    pub fn hears_others(&self, now: MonoMs) -> bool {
        !self.live_set(now).is_empty()
    }

    /// Whether an instance has been down for `for_ms`, or its address has been taken over. It must
    /// be called regularly because it notes when an instance goes down.
    pub fn is_down(&mut self, now: MonoMs, instance: &InstanceId, for_ms: u64) -> bool {
        self.review_current(now);
        let live = self.live_hashes(now);
        self.is_down_beside(&live, now, instance, for_ms)
    }

    fn is_down_beside(
        &mut self,
        live: &HashSet<InstanceHash>,
        now: MonoMs,
        instance: &InstanceId,
        for_ms: u64,
    ) -> bool {
        self.down_ms_beside(live, now, instance)
            .is_some_and(|down_ms| down_ms >= for_ms || self.is_replaced(instance))
    }

    /// Whether a newer row lists the address of an instance with another start, which counts. A start
    /// with the newest row may just not be heard yet.
    pub fn is_replaced(&self, instance: &InstanceId) -> bool {
        let mut newest_first = self.rows.values().rev();
        let Some(member) = self.rows.values().find(|row| row.instance == *instance) else {
            return false;
        };
        let newest = newest_first.find(|row| row.peer_address == member.peer_address);
        let is_newest = newest.is_some_and(|newest| newest.instance == *instance);
        !is_newest && !self.is_current(member)
    }

    /// For how long an instance has not been heard from; `None` if it is alive. It must be called
    /// regularly because it notes when an instance goes down.
    pub fn down_ms(&mut self, now: MonoMs, instance: &InstanceId) -> Option<u64> {
        let view = self.live_view(now);
        self.down_ms_in(&view, instance)
    }

    /// Like [`Members::down_ms`], at the moment of a view.
    pub fn down_ms_in(&mut self, view: &LiveView, instance: &InstanceId) -> Option<u64> {
        self.down_ms_beside(&view.live, view.now, instance)
    }

    fn down_ms_beside(
        &mut self,
        live: &HashSet<InstanceHash>,
        now: MonoMs,
        instance: &InstanceId,
    ) -> Option<u64> {
        if *instance == self.me || live.contains(&InstanceHash::from(instance)) {
            self.down_since.remove(instance);
            return None;
        }
        let since = *self.down_since.entry(instance.clone()).or_insert(now);
        Some(now.since_ms(since))
    }

    /// Row versions and identifiers of the instances that have been down for `for_ms`.
    pub fn down_rows(&mut self, now: MonoMs, for_ms: u64) -> Vec<(u64, InstanceId)> {
        self.review_current(now);
        let rows: Vec<(u64, InstanceId)> = self
            .rows
            .iter()
            .map(|(version, member)| (*version, member.instance.clone()))
            .collect();
        let live = self.live_hashes(now);
        let mut down_rows = Vec::new();
        for (version, instance) in rows {
            if self.is_down_beside(&live, now, &instance, for_ms) {
                down_rows.push((version, instance));
            }
        }
        down_rows
    }
}
