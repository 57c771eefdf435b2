//! The owner's side: which waiting item is started where, and which items are cut.
//!
//! A grant counts only from the steward that this instance takes for the replica's. It is valid for
//! [`GRANT_MS`] from the moment its question was sent; a grant that was pushed changes the numbers
//! but not how long they are valid, so a late push cannot outlive the steward's own books.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::batch_control::{ASK_GAP_MS, ASK_PERIOD_MS, BatchSlotGrant, BatchSlotRequest, GRANT_MS};
use crate::ids::{BackendId, InstanceId, TargetName};
use crate::time::{MonoMs, WallMs};

/// Replicas asked for places at once, besides those where items are in flight.
pub const MAX_ASKED: usize = 16;
/// Other replicas are asked after this time without a place.
const ROTATE_MS: u64 = 5_000;
/// Most places asked for at one replica.
const MAX_WANTED: u32 = 1_024;

/// Names an item, unique in one process.
pub type ItemKey = u64;

/// An item that waits for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingItem {
    /// The model it is for.
    pub target: TargetName,
    /// When its job must be finished.
    pub deadline: WallMs,
    /// Among items of one deadline, those with the lower number go first.
    pub order: u64,
    /// Replicas that failed it.
    pub avoid: Vec<BackendId>,
}

/// A replica as the owner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerReplica {
    /// The replica.
    pub backend: BackendId,
    /// Models it serves.
    pub targets: Vec<TargetName>,
    /// Its steward; `None` where it takes no new work.
    pub controller: Option<InstanceId>,
}

/// What the owner has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Start or resume the item at the replica.
    Start {
        /// The item.
        item: ItemKey,
        /// The replica.
        backend: BackendId,
    },
    /// Cancel the item's stream; the item has to wait again with what it received.
    Preempt {
        /// The item.
        item: ItemKey,
        /// The replica.
        backend: BackendId,
    },
}

/// The grant followed at one replica.
#[derive(Debug, Clone)]
struct Followed {
    steward: InstanceId,
    order: (u64, u64),
    keep: u32,
    start: u32,
    until: MonoMs,
}

#[derive(Debug, Clone)]
struct Replica {
    entry: SchedulerReplica,
    followed: Option<Followed>,
    /// Items in flight, oldest first.
    running: Vec<ItemKey>,
    asked_at: Option<MonoMs>,
    told: (u32, u32),
}

impl Replica {
    fn limits(&self, now: MonoMs) -> (usize, usize) {
        match &self.followed {
            Some(grant) if grant.until >= now => (grant.keep as usize, grant.start as usize),
            _ => (0, 0),
        }
    }
}

/// The owner's waiting and running items.
#[derive(Debug, Clone)]
pub struct BatchScheduler {
    me: InstanceId,
    replicas: BTreeMap<BackendId, Replica>,
    waiting: BTreeMap<(WallMs, u64, ItemKey), WaitingItem>,
    running: HashMap<ItemKey, BackendId>,
}

impl BatchScheduler {
    /// A desk without items.
    pub fn new(me: InstanceId) -> Self {
        BatchScheduler {
            me,
            replicas: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: HashMap::new(),
        }
    }

    /// Items in flight at a replica.
    pub fn in_use(&self, backend: &BackendId) -> u32 {
        let replica = self.replicas.get(backend);
        replica.map_or(0, |replica| replica.running.len() as u32)
    }

    /// The steward whose grant is followed at a replica, with its term, while the grant is valid.
    pub fn grantor(&self, backend: &BackendId, now: MonoMs) -> Option<(&InstanceId, u64)> {
        let followed = self.replicas.get(backend)?.followed.as_ref()?;
        (followed.until >= now).then_some((&followed.steward, followed.order.0))
    }

    /// Items in flight.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Items that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the replicas and their stewards as they are now. Items at replicas that are gone are
    /// cut.
    pub fn set_replicas(
        &mut self,
        replicas: Vec<SchedulerReplica>,
        now: MonoMs,
    ) -> Vec<SchedulerAction> {
        let mut known = std::mem::take(&mut self.replicas);
        for entry in replicas {
            let replica = match known.remove(&entry.backend) {
                Some(replica) => Replica { entry, ..replica },
                None => Replica {
                    entry,
                    followed: None,
                    running: Vec::new(),
                    asked_at: None,
                    told: (0, 0),
                },
            };
            let backend = replica.entry.backend.clone();
            self.replicas.insert(backend, replica);
        }
        let mut actions = Vec::new();
        for replica in known.into_values() {
            for item in replica.running {
                self.running.remove(&item);
                let backend = replica.entry.backend.clone();
                actions.push(SchedulerAction::Preempt { item, backend });
            }
        }
        actions.extend(self.act(now));
        actions
    }

    /// An item waits for a place, for the first time or after it was cut.
    pub fn wait(
        &mut self,
        item: ItemKey,
        waiting: WaitingItem,
        now: MonoMs,
    ) -> Vec<SchedulerAction> {
        let key = (waiting.deadline, waiting.order, item);
        self.waiting.insert(key, waiting);
        self.act(now)
    }

    /// An item no longer waits or runs: it ended, failed at its replica, or its job was stopped.
    pub fn leave(&mut self, item: ItemKey, now: MonoMs) -> Vec<SchedulerAction> {
        self.waiting.retain(|(_, _, key), _| *key != item);
        if let Some(backend) = self.running.remove(&item)
            && let Some(replica) = self.replicas.get_mut(&backend)
        {
            replica.running.retain(|key| *key != item);
        }
        self.act(now)
    }

    /// Takes the answer to a question sent at `asked_at`.
    pub fn answered(
        &mut self,
        grant: &BatchSlotGrant,
        asked_at: MonoMs,
        now: MonoMs,
    ) -> Vec<SchedulerAction> {
        self.follow(grant, Some(asked_at + GRANT_MS));
        self.act(now)
    }

    /// Takes a grant that was not asked for.
    pub fn pushed(&mut self, grant: &BatchSlotGrant, now: MonoMs) -> Vec<SchedulerAction> {
        self.follow(grant, None);
        self.act(now)
    }

    fn follow(&mut self, grant: &BatchSlotGrant, until: Option<MonoMs>) {
        let Some(replica) = self.replicas.get_mut(&grant.backend) else {
            return;
        };
        if replica.entry.controller.as_ref() != Some(&grant.controller) {
            return;
        }
        let order = (grant.term, grant.number);
        let known = replica.followed.as_ref();
        let known = known.filter(|followed| followed.steward == grant.controller);
        if known.is_some_and(|followed| followed.order >= order) {
            return;
        }
        let Some(until) = until.or(known.map(|followed| followed.until)) else {
            return;
        };
        replica.followed = Some(Followed {
            steward: grant.controller.clone(),
            order,
            keep: grant.cancel_above,
            start: grant.start_below,
            until,
        });
    }

    /// Cuts what is above the grants, newest first, and starts what they leave room for, least
    /// slack first.
    pub fn act(&mut self, now: MonoMs) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            let (keep, _) = replica.limits(now);
            while replica.running.len() > keep {
                let Some(item) = replica.running.pop() else {
                    break;
                };
                self.running.remove(&item);
                let backend = replica.entry.backend.clone();
                actions.push(SchedulerAction::Preempt { item, backend });
            }
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    fn start_waiting(&mut self, now: MonoMs, actions: &mut Vec<SchedulerAction>) {
        let mut started = Vec::new();
        let mut free = self.free_places(now);
        for (key, item) in &self.waiting {
            if free.is_empty() {
                break;
            }
            let usable = |backend: &&BackendId| {
                self.replicas[*backend].entry.targets.contains(&item.target)
                    && !item.avoid.contains(*backend)
            };
            let most = free.iter().filter(|(backend, _)| usable(backend));
            let Some((backend, _)) = most.max_by_key(|(_, places)| **places) else {
                continue;
            };
            let backend = backend.clone();
            started.push((*key, backend.clone()));
            match free.get_mut(&backend) {
                Some(places) if *places > 1 => *places -= 1,
                _ => drop(free.remove(&backend)),
            }
        }
        for (key, backend) in started {
            self.waiting.remove(&key);
            let item = key.2;
            self.running.insert(item, backend.clone());
            if let Some(replica) = self.replicas.get_mut(&backend) {
                replica.running.push(item);
            }
            actions.push(SchedulerAction::Start { item, backend });
        }
    }

    fn free_places(&self, now: MonoMs) -> BTreeMap<BackendId, usize> {
        let mut free = BTreeMap::new();
        for (backend, replica) in &self.replicas {
            let (_, start) = replica.limits(now);
            let places = start.saturating_sub(replica.running.len());
            if places > 0 && replica.entry.controller.is_some() {
                free.insert(backend.clone(), places);
            }
        }
        free
    }

    /// The questions to send now, each with its replica's steward.
    pub fn asks(&mut self, now: MonoMs, wall: WallMs) -> Vec<(InstanceId, BatchSlotRequest)> {
        let mut asks = Vec::new();
        for backend in self.worth_asking(now) {
            let asked_at = self.replicas.get(&backend).and_then(|known| known.asked_at);
            let since_ms = asked_at.map_or(u64::MAX, |at| now.since_ms(at));
            if since_ms < ASK_GAP_MS {
                continue;
            }
            let ask = self.ask(&backend, wall);
            let told = (ask.in_use, ask.wanted);
            let Some(replica) = self.replicas.get_mut(&backend) else {
                continue;
            };
            if since_ms < ASK_PERIOD_MS && !differs(replica.told, told) {
                continue;
            }
            let Some(steward) = replica.entry.controller.clone() else {
                continue;
            };
            replica.asked_at = Some(now);
            replica.told = told;
            asks.push((steward, ask));
        }
        asks
    }

    /// What this owner has and wants at a replica.
    pub fn ask(&self, backend: &BackendId, wall: WallMs) -> BatchSlotRequest {
        let in_use = self.in_use(backend);
        let replica = self.replicas.get(backend);
        let mut wanted = in_use;
        let mut slack_ms = u64::MAX;
        for ((deadline, ..), item) in &self.waiting {
            let serves = |replica: &Replica| replica.entry.targets.contains(&item.target);
            if !replica.is_some_and(serves) || item.avoid.contains(backend) {
                continue;
            }
            slack_ms = slack_ms.min(deadline.0.saturating_sub(wall.0));
            wanted += 1;
            if wanted >= MAX_WANTED {
                break;
            }
        }
        let followed = replica.and_then(|replica| replica.followed.as_ref());
        let steward = replica.and_then(|replica| replica.entry.controller.as_ref());
        let followed = followed.filter(|followed| Some(&followed.steward) == steward);
        BatchSlotRequest {
            owner: self.me.clone(),
            backend: backend.clone(),
            in_use,
            wanted,
            slack_ms,
            follows: followed.map_or((0, 0), |followed| followed.order),
        }
    }

    /// Replicas where items are in flight or a grant is held, and some others if items wait.
    fn worth_asking(&self, now: MonoMs) -> Vec<BackendId> {
        let turn = now.0 / ROTATE_MS;
        let seed = xxh3_64_with_seed(self.me.as_str().as_bytes(), turn);
        let mut asked = Vec::new();
        let mut others = Vec::new();
        for (backend, replica) in &self.replicas {
            let (keep, _) = replica.limits(now);
            if keep > 0 || !replica.running.is_empty() || replica.told.1 > 0 {
                asked.push(backend.clone());
                continue;
            }
            let wanted = |item: &WaitingItem| replica.entry.targets.contains(&item.target);
            if self.waiting.values().any(wanted) {
                let draw = xxh3_64_with_seed(backend.as_str().as_bytes(), seed);
                others.push((draw, backend.clone()));
            }
        }
        others.sort();
        let room = MAX_ASKED.saturating_sub(asked.len());
        asked.extend(others.into_iter().take(room).map(|(_, backend)| backend));
        asked
    }
}

/// Whether the steward must know of the change before the next regular question.
fn differs(told: (u32, u32), now: (u32, u32)) -> bool {
    let step = (told.0 / 8).max(1);
    told.0.abs_diff(now.0) >= step || (told.1 == 0) != (now.1 == 0) || now.1 > told.1 * 2
}
