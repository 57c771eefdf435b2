//! Instances of the system: rows of the platform's store say who they are, messages who lives.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use foxtailhold::ids::{AvailabilityZone, InstanceId};
use foxtailhold::time::MonoMs;
use serde::{Deserialize, Serialize};

use crate::peers::message::ShortName;

/// Shortest and longest pause between two reports to the senior instances.
const REPORT_MS: (u64, u64) = (250, 400);
/// Instances up to which reports come at the shortest pause: a senior instance then takes some 100
/// of them a second, in a hundredth of a core.
const REPORT_INSTANCES: u64 = 24;
/// An instance that is not heard of for so many reports, in tenths, is down.
const HEARD_TENTHS: u64 = 28;
/// A senior instance that does not answer for so many reports, in tenths, is passed over.
const UNANSWERED_TENTHS: u64 = 24;
/// It is tried again after this time.
const SILENT_MS: u64 = 1_500;
/// Instances that keep the places in use: one grants, the others stand by.
pub const SENIORS: usize = 3;

/// One incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity, new at each start.
    pub instance: InstanceId,
    /// Where it takes datagrams.
    pub peer_address: SocketAddr,
    /// Where it takes requests of callers.
    pub caller_address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Its share of a core, in thousandths.
    pub core_permille: u32,
    /// Whether it is being stopped.
    pub is_leaving: bool,
}

/// All instances known.
#[derive(Debug)]
pub struct Members {
    me: InstanceId,
    /// By the version of the row, oldest first.
    rows: BTreeMap<u64, Member>,
    heard: HashMap<InstanceId, MonoMs>,
    unanswered_since: HashMap<InstanceId, MonoMs>,
    silent_until: HashMap<InstanceId, MonoMs>,
    told_live: HashMap<InstanceId, (MonoMs, Vec<ShortName>)>,
    down_since: HashMap<InstanceId, MonoMs>,
    /// Instances whose address another one has.
    replaced: HashSet<InstanceId>,
}

impl Members {
    /// A view that knows nobody.
    pub fn new(me: InstanceId) -> Self {
        Members {
            me,
            rows: BTreeMap::new(),
            heard: HashMap::new(),
            unanswered_since: HashMap::new(),
            silent_until: HashMap::new(),
            told_live: HashMap::new(),
            down_since: HashMap::new(),
            replaced: HashSet::new(),
        }
    }

    /// Takes a row: the newest one of an instance, and of an address, counts.
    pub fn put(&mut self, version: u64, member: Member) {
        let stale: Vec<u64> = self
            .rows
            .iter()
            .filter(|(_, known)| {
                known.instance == member.instance || known.peer_address == member.peer_address
            })
            .map(|(version, _)| *version)
            .collect();
        if stale.iter().any(|known| *known > version) {
            return;
        }
        for known in stale {
            let Some(old) = self.rows.remove(&known) else {
                continue;
            };
            if old.instance != member.instance {
                self.replaced.insert(old.instance);
            }
        }
        self.rows.insert(version, member);
    }

    /// Drops a row.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.rows.retain(|_, member| member.instance != *instance);
    }

    /// Drops all rows, before a whole new list.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// How many instances have a row and stay.
    pub fn count(&self) -> usize {
        self.staying().count()
    }

    /// The addresses of all other instances, also of those that leave: they serve for seconds more.
    pub fn others(&self) -> Vec<SocketAddr> {
        let all = self.rows.values();
        let others = all.filter(|member| member.instance != self.me);
        others.map(|member| member.peer_address).collect()
    }

    /// The address of an instance.
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let mut all = self.rows.values();
        let member = all.find(|member| member.instance == *instance)?;
        Some(member.peer_address)
    }

    /// Notes a message of an instance.
    pub fn heard(&mut self, now: MonoMs, instance: &InstanceId) {
        self.heard.insert(instance.clone(), now);
        self.unanswered_since.remove(instance);
        self.silent_until.remove(instance);
    }

    /// Takes a senior's list of who lives.
    pub fn told(&mut self, now: MonoMs, from: &InstanceId, live: Vec<ShortName>) {
        self.told_live.insert(from.clone(), (now, live));
    }

    /// Notes that an instance did not answer an ask in time.
    pub fn missed(&mut self, now: MonoMs, instance: &InstanceId) {
        self.silent_until.insert(instance.clone(), now + SILENT_MS);
        self.heard.remove(instance);
    }

    /// Pause between two reports: the more instances, the longer.
    pub fn report_ms(&self) -> u64 {
        let instances = self.rows.len() as u64;
        (REPORT_MS.0 * instances / REPORT_INSTANCES).clamp(REPORT_MS.0, REPORT_MS.1)
    }

    fn heard_ms(&self) -> u64 {
        self.report_ms() * HEARD_TENTHS / 10
    }

    fn is_heard(&self, now: MonoMs, instance: &InstanceId) -> bool {
        let heard = self.heard.get(instance);
        heard.is_some_and(|at| now.since_ms(*at) < self.heard_ms())
    }

    fn is_silent(&self, now: MonoMs, instance: &InstanceId) -> bool {
        self.silent_until
            .get(instance)
            .is_some_and(|until| *until > now)
    }

    /// Who grants places, by this instance's view; `None`: this instance itself.
    pub fn allocator(&self, now: MonoMs) -> Option<&Member> {
        for member in self.by_seniority() {
            if member.instance == self.me {
                return None;
            }
            if self.is_heard(now, &member.instance) && !self.is_silent(now, &member.instance) {
                return Some(member);
            }
        }
        None
    }

    /// Those with more of a core first, then the older ones: granting places takes time, and should
    /// change hands rarely.
    fn by_seniority(&self) -> Vec<&Member> {
        let mut staying: Vec<&Member> = self.staying().collect();
        staying.sort_by_key(|member| std::cmp::Reverse(member.core_permille));
        staying
    }

    fn staying(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().filter(|member| !member.is_leaving)
    }

    /// To whom a report goes now; one that never answers is passed over for a while.
    pub fn report_to(&mut self, now: MonoMs) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        let senior: Vec<Member> = self.by_seniority().into_iter().cloned().collect();
        let unanswered_ms = self.report_ms() * UNANSWERED_TENTHS / 10;
        for member in senior {
            if chosen.len() >= SENIORS {
                break;
            }
            if member.instance == self.me {
                chosen.push(None);
                continue;
            }
            if self.is_silent(now, &member.instance) {
                continue;
            }
            let since = self.unanswered_since.entry(member.instance.clone());
            let since = *since.or_insert(now);
            if now.since_ms(since) > unanswered_ms {
                self.unanswered_since.remove(&member.instance);
                self.silent_until
                    .insert(member.instance.clone(), now + SILENT_MS);
                continue;
            }
            chosen.push(Some(member.peer_address));
        }
        chosen.into_iter().flatten().collect()
    }

    /// Those heard of lately, for the answer to a report.
    pub fn reporting(&self, now: MonoMs) -> Vec<ShortName> {
        let heard = self.heard.keys().filter(|id| self.is_heard(now, id));
        let mut live: Vec<ShortName> = heard.map(ShortName::from).collect();
        live.push(ShortName::from(&self.me));
        live
    }

    fn live_set(&self, now: MonoMs) -> HashSet<ShortName> {
        let told = self.told_live.values();
        let fresh = told.filter(|(at, _)| now.since_ms(*at) < self.heard_ms());
        let mut live: HashSet<ShortName> = fresh.flat_map(|(_, live)| live).copied().collect();
        let heard = self.heard.keys().filter(|id| self.is_heard(now, id));
        live.extend(heard.map(ShortName::from));
        live
    }

    /// Instances that are heard of, directly or through a senior instance, and not replaced.
    pub fn heard_or_told(&self, now: MonoMs) -> HashSet<ShortName> {
        let mut live = self.live_set(now);
        for replaced in &self.replaced {
            live.remove(&ShortName::from(replaced));
        }
        live
    }

    /// Instances that live and stay, this one included unless it is leaving; all that have a row
    /// where nobody is heard of at all.
    pub fn live(&self, now: MonoMs) -> Vec<&Member> {
        let live = self.live_set(now);
        let knows_nobody = live.is_empty();
        let is_live = |member: &&Member| {
            knows_nobody
                || member.instance == self.me
                || live.contains(&ShortName::from(&member.instance))
        };
        self.staying().filter(is_live).collect()
    }

    /// Instances that stay and have not been down for `for_ms`, this one included.
    pub fn not_down(&mut self, now: MonoMs, for_ms: u64) -> Vec<InstanceId> {
        let staying: Vec<InstanceId> = self.staying().map(|m| m.instance.clone()).collect();
        let mut left = Vec::new();
        for instance in staying {
            if !self.is_down(now, &instance, for_ms) {
                left.push(instance);
            }
        }
        left
    }

    /// Whether this instance hears of others at all.
    pub fn hears_others(&self, now: MonoMs) -> bool {
        !self.live_set(now).is_empty()
    }

    /// Whether an instance has been down for `for_ms`, or another one has its address. Called
    /// regularly.
    pub fn is_down(&mut self, now: MonoMs, instance: &InstanceId, for_ms: u64) -> bool {
        if self.replaced.contains(instance) {
            return true;
        }
        if self.live_set(now).contains(&ShortName::from(instance)) || *instance == self.me {
            self.down_since.remove(instance);
            return false;
        }
        let since = *self.down_since.entry(instance.clone()).or_insert(now);
        now.since_ms(since) >= for_ms
    }

    /// Rows of instances that have been down for `for_ms`.
    pub fn lapsed(&mut self, now: MonoMs, for_ms: u64) -> Vec<(u64, InstanceId)> {
        let rows: Vec<(u64, InstanceId)> = self
            .rows
            .iter()
            .map(|(version, member)| (*version, member.instance.clone()))
            .collect();
        let mut lapsed = Vec::new();
        for (version, instance) in rows {
            if self.is_down(now, &instance, for_ms) {
                lapsed.push((version, instance));
            }
        }
        lapsed
    }
}
