//! Instances of the system: rows of the platform's store say who they are, messages who lives.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use foxtailhold::ids::{AvailabilityZone, InstanceId};
use foxtailhold::time::MonoMs;
use serde::{Deserialize, Serialize};

/// Pause between two reports to the senior instances.
pub const REPORT_MS: u64 = 250;
/// An instance that is not heard of for this time, three reports and their flight, is down.
pub const HEARD_MS: u64 = 900;
/// A senior instance that does not answer for this time is passed over.
const UNANSWERED_MS: u64 = 600;
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
    told_live: HashMap<InstanceId, (MonoMs, Vec<InstanceId>)>,
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
    pub fn told(&mut self, now: MonoMs, from: &InstanceId, live: Vec<InstanceId>) {
        self.told_live.insert(from.clone(), (now, live));
    }

    /// Notes that an instance did not answer an ask in time.
    pub fn missed(&mut self, now: MonoMs, instance: &InstanceId) {
        self.silent_until.insert(instance.clone(), now + SILENT_MS);
        self.heard.remove(instance);
    }

    fn is_heard(&self, now: MonoMs, instance: &InstanceId) -> bool {
        let heard = self.heard.get(instance);
        heard.is_some_and(|at| now.since_ms(*at) < HEARD_MS)
    }

    fn is_silent(&self, now: MonoMs, instance: &InstanceId) -> bool {
        self.silent_until
            .get(instance)
            .is_some_and(|until| *until > now)
    }

    /// Who grants places, by this instance's view; `None`: this instance itself.
    pub fn allocator(&self, now: MonoMs) -> Option<&Member> {
        for member in self.staying() {
            if member.instance == self.me {
                return None;
            }
            if self.is_heard(now, &member.instance) && !self.is_silent(now, &member.instance) {
                return Some(member);
            }
        }
        None
    }

    fn staying(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().filter(|member| !member.is_leaving)
    }

    /// To whom a report goes now; one that never answers is passed over for a while.
    pub fn report_to(&mut self, now: MonoMs) -> Vec<SocketAddr> {
        let mut chosen = Vec::new();
        let staying: Vec<Member> = self.staying().cloned().collect();
        for member in staying {
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
            if now.since_ms(since) > UNANSWERED_MS {
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
    pub fn reporting(&self, now: MonoMs) -> Vec<InstanceId> {
        let heard = self.heard.keys().filter(|id| self.is_heard(now, id));
        let mut live: Vec<InstanceId> = heard.cloned().collect();
        live.push(self.me.clone());
        live
    }

    fn live_set(&self, now: MonoMs) -> HashSet<&InstanceId> {
        let told = self.told_live.values();
        let fresh = told.filter(|(at, _)| now.since_ms(*at) < HEARD_MS);
        let mut live: HashSet<&InstanceId> = fresh.flat_map(|(_, live)| live).collect();
        live.extend(self.heard.keys().filter(|id| self.is_heard(now, id)));
        live
    }

    /// Instances that are heard of, directly or through a senior instance.
    pub fn heard_or_told(&self, now: MonoMs) -> HashSet<InstanceId> {
        self.live_set(now).into_iter().cloned().collect()
    }

    /// Instances that live and stay, this one included unless it is leaving; all that have a row
    /// where nobody is heard of at all.
    pub fn live(&self, now: MonoMs) -> Vec<&Member> {
        let live = self.live_set(now);
        let knows_nobody = live.is_empty();
        let is_live = |member: &&Member| {
            knows_nobody || member.instance == self.me || live.contains(&member.instance)
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
        if self.live_set(now).contains(instance) || *instance == self.me {
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
