//! Owner side: which waiting item starts at which backend server, and which items are preempted.
//!
//! A grant counts only if it comes from the controller that this instance takes for the backend
//! server's. It is valid for [`GRANT_MS`] from the moment its slot request was sent. A pushed grant
//! changes the numbers but not the validity period, so a delayed push cannot outlive the
//! controller's own records.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::batch_control::{
    BatchSlotGrant, BatchSlotRequest, GRANT_MS, REQUEST_GAP_MS, REQUEST_PERIOD_MS,
};
use crate::ids::{BackendId, InstanceId, TargetName};
use crate::time::{MonoMs, WallMs};

/// Backend servers that slots are requested from at once, besides those with items in flight.
pub const MAX_REQUESTED_REPLICAS: usize = 16;
/// Period after which slots are requested from other backend servers, while no slot is granted.
const ROTATE_MS: u64 = 5_000;
/// Most slots requested at one backend server.
const MAX_WANTED: u32 = 1_024;

/// Identifies an item, unique within one process.
pub type ItemKey = u64;

/// An item that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingItem {
    /// The model that the item is for.
    pub target: TargetName,
    /// Deadline of the item's job.
    pub deadline: WallMs,
    /// Tie-breaker among items with the same deadline; lower numbers go first.
    pub order: u64,
    /// Backend servers at which the item failed.
    pub avoid: Vec<BackendId>,
}

/// A backend server as seen by the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerReplica {
    /// Identifies the backend server.
    pub backend: BackendId,
    /// Models that it serves.
    pub targets: Vec<TargetName>,
    /// Its batch controller; `None` if it takes no new work.
    pub controller: Option<InstanceId>,
}

/// An action for the owner to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Start or resume the item at the backend server.
    Start {
        /// The item to start.
        item: ItemKey,
        /// The backend server to start it at.
        backend: BackendId,
    },
    /// Cancel the item's stream. The caller then queues it again with the output received so far.
    Preempt {
        /// The item to cancel.
        item: ItemKey,
        /// The backend server that runs it.
        backend: BackendId,
    },
}

/// The grant in effect at one backend server.
#[derive(Debug, Clone)]
struct ActiveGrant {
    controller: InstanceId,
    order: (u64, u64),
    cancel_above: u32,
    start_below: u32,
    until: MonoMs,
}

#[derive(Debug, Clone)]
struct Replica {
    entry: SchedulerReplica,
    active: Option<ActiveGrant>,
    /// Items in flight, oldest first.
    running: Vec<ItemKey>,
    requested_at: Option<MonoMs>,
    last_request: (u32, u32),
}

impl Replica {
    fn limits(&self, now: MonoMs) -> (usize, usize) {
        match &self.active {
            Some(grant) if grant.until >= now => {
                (grant.cancel_above as usize, grant.start_below as usize)
            }
            _ => (0, 0),
        }
    }
}

/// Waiting and running items of one owner.
#[derive(Debug, Clone)]
pub struct BatchScheduler {
    me: InstanceId,
    replicas: BTreeMap<BackendId, Replica>,
    waiting: BTreeMap<(WallMs, u64, ItemKey), WaitingItem>,
    running: HashMap<ItemKey, BackendId>,
}

impl BatchScheduler {
    /// Creates a scheduler without items.
    pub fn new(me: InstanceId) -> Self {
        BatchScheduler {
            me,
            replicas: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: HashMap::new(),
        }
    }

    /// Number of items in flight at a backend server.
    pub fn in_use(&self, backend: &BackendId) -> u32 {
        let replica = self.replicas.get(backend);
        replica.map_or(0, |replica| replica.running.len() as u32)
    }

    /// The controller whose grant is in effect at a backend server, with its term; `None` without a
    /// valid grant.
    pub fn grantor(&self, backend: &BackendId, now: MonoMs) -> Option<(&InstanceId, u64)> {
        let active = self.replicas.get(backend)?.active.as_ref()?;
        (active.until >= now).then_some((&active.controller, active.order.0))
    }

    /// Number of items in flight.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting items.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Sets the backend servers and their controllers. Items at removed backend servers are
    /// preempted.
    pub fn set_replicas(
        &mut self,
        replicas: Vec<SchedulerReplica>,
        now: MonoMs,
    ) -> Vec<SchedulerAction> {
        let mut previous = std::mem::take(&mut self.replicas);
        for entry in replicas {
            let replica = match previous.remove(&entry.backend) {
                Some(replica) => Replica { entry, ..replica },
                None => Replica {
                    entry,
                    active: None,
                    running: Vec::new(),
                    requested_at: None,
                    last_request: (0, 0),
                },
            };
            let backend = replica.entry.backend.clone();
            self.replicas.insert(backend, replica);
        }
        let mut actions = Vec::new();
        for replica in previous.into_values() {
            for item in replica.running {
                self.running.remove(&item);
                let backend = replica.entry.backend.clone();
                actions.push(SchedulerAction::Preempt { item, backend });
            }
        }
        actions.extend(self.act(now));
        actions
    }

    /// Queues an item for a slot, for the first time or after it was preempted.
    pub fn enqueue(
        &mut self,
        item: ItemKey,
        waiting: WaitingItem,
        now: MonoMs,
    ) -> Vec<SchedulerAction> {
        let key = (waiting.deadline, waiting.order, item);
        self.waiting.insert(key, waiting);
        self.act(now)
    }

    /// Removes an item that ended, failed at its backend server, or whose job was stopped.
    pub fn remove(&mut self, item: ItemKey, now: MonoMs) -> Vec<SchedulerAction> {
        self.waiting.retain(|(_, _, key), _| *key != item);
        if let Some(backend) = self.running.remove(&item)
            && let Some(replica) = self.replicas.get_mut(&backend)
        {
            replica.running.retain(|key| *key != item);
        }
        self.act(now)
    }

    /// Applies the response to a slot request sent at `requested_at`.
    pub fn handle_response(
        &mut self,
        grant: &BatchSlotGrant,
        requested_at: MonoMs,
        now: MonoMs,
    ) -> Vec<SchedulerAction> {
        self.apply_grant(grant, Some(requested_at + GRANT_MS));
        self.act(now)
    }

    /// Applies a pushed grant, which was not requested.
    pub fn handle_pushed_grant(
        &mut self,
        grant: &BatchSlotGrant,
        now: MonoMs,
    ) -> Vec<SchedulerAction> {
        self.apply_grant(grant, None);
        self.act(now)
    }

    fn apply_grant(&mut self, grant: &BatchSlotGrant, until: Option<MonoMs>) {
        let Some(replica) = self.replicas.get_mut(&grant.backend) else {
            return;
        };
        if replica.entry.controller.as_ref() != Some(&grant.controller) {
            return;
        }
        let order = (grant.term, grant.number);
        let current = replica.active.as_ref();
        let current = current.filter(|active| active.controller == grant.controller);
        if current.is_some_and(|active| active.order >= order) {
            return;
        }
        let Some(until) = until.or(current.map(|active| active.until)) else {
            return;
        };
        replica.active = Some(ActiveGrant {
            controller: grant.controller.clone(),
            order,
            cancel_above: grant.cancel_above,
            start_below: grant.start_below,
            until,
        });
    }

    /// Preempts items above the grants, newest first, and starts waiting items in the free slots,
    /// earliest deadline first.
    pub fn act(&mut self, now: MonoMs) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            let (cancel_above, _) = replica.limits(now);
            while replica.running.len() > cancel_above {
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
        let mut free = self.free_slots(now);
        for (key, item) in &self.waiting {
            if free.is_empty() {
                break;
            }
            let usable = |backend: &&BackendId| {
                self.replicas[*backend].entry.targets.contains(&item.target)
                    && !item.avoid.contains(*backend)
            };
            let most = free.iter().filter(|(backend, _)| usable(backend));
            let Some((backend, _)) = most.max_by_key(|(_, slots)| **slots) else {
                continue;
            };
            let backend = backend.clone();
            started.push((*key, backend.clone()));
            match free.get_mut(&backend) {
                Some(slots) if *slots > 1 => *slots -= 1,
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

    fn free_slots(&self, now: MonoMs) -> BTreeMap<BackendId, usize> {
        let mut free = BTreeMap::new();
        for (backend, replica) in &self.replicas {
            let (_, start_below) = replica.limits(now);
            let slots = start_below.saturating_sub(replica.running.len());
            if slots > 0 && replica.entry.controller.is_some() {
                free.insert(backend.clone(), slots);
            }
        }
        free
    }

    /// The slot requests that are due, each with the controller to send it to.
    pub fn due_requests(
        &mut self,
        now: MonoMs,
        wall: WallMs,
    ) -> Vec<(InstanceId, BatchSlotRequest)> {
        let mut requests = Vec::new();
        for backend in self.replicas_to_request(now) {
            let requested_at = self
                .replicas
                .get(&backend)
                .and_then(|replica| replica.requested_at);
            let since_ms = requested_at.map_or(u64::MAX, |at| now.since_ms(at));
            if since_ms < REQUEST_GAP_MS {
                continue;
            }
            let request = self.slot_request(&backend, wall);
            let last_request = (request.in_use, request.wanted);
            let Some(replica) = self.replicas.get_mut(&backend) else {
                continue;
            };
            if since_ms < REQUEST_PERIOD_MS
                && !is_significant_change(replica.last_request, last_request)
            {
                continue;
            }
            let Some(controller) = replica.entry.controller.clone() else {
                continue;
            };
            replica.requested_at = Some(now);
            replica.last_request = last_request;
            requests.push((controller, request));
        }
        requests
    }

    /// The slots that this owner uses and wants at a backend server.
    pub fn slot_request(&self, backend: &BackendId, wall: WallMs) -> BatchSlotRequest {
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
        let active = replica.and_then(|replica| replica.active.as_ref());
        let controller = replica.and_then(|replica| replica.entry.controller.as_ref());
        let active = active.filter(|active| Some(&active.controller) == controller);
        BatchSlotRequest {
            owner: self.me.clone(),
            backend: backend.clone(),
            in_use,
            wanted,
            slack_ms,
            follows: active.map_or((0, 0), |active| active.order),
        }
    }

    /// Backend servers with items in flight or a grant, and some others if items wait.
    fn replicas_to_request(&self, now: MonoMs) -> Vec<BackendId> {
        let rotation = now.0 / ROTATE_MS;
        let seed = xxh3_64_with_seed(self.me.as_str().as_bytes(), rotation);
        let mut selected = Vec::new();
        let mut others = Vec::new();
        for (backend, replica) in &self.replicas {
            let (cancel_above, _) = replica.limits(now);
            if cancel_above > 0 || !replica.running.is_empty() || replica.last_request.1 > 0 {
                selected.push(backend.clone());
                continue;
            }
            let wanted = |item: &WaitingItem| replica.entry.targets.contains(&item.target);
            if self.waiting.values().any(wanted) {
                let rank = xxh3_64_with_seed(backend.as_str().as_bytes(), seed);
                others.push((rank, backend.clone()));
            }
        }
        others.sort();
        let available = MAX_REQUESTED_REPLICAS.saturating_sub(selected.len());
        selected.extend(
            others
                .into_iter()
                .take(available)
                .map(|(_, backend)| backend),
        );
        selected
    }
}

/// Whether the change must be sent to the controller before the next regular slot request.
fn is_significant_change(last_request: (u32, u32), now: (u32, u32)) -> bool {
    let step = (last_request.0 / 8).max(1);
    last_request.0.abs_diff(now.0) >= step
        || (last_request.1 == 0) != (now.1 == 0)
        || now.1 > last_request.1 * 2
}
