//! A deterministic simulation of one backend server with two batch controllers, three owners, the
//! messages between them and online requests, together with the invariants that always hold.

mod step;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use foxtailhold::batch_control::controller::BatchController;
use foxtailhold::batch_control::scheduler::{
    BatchScheduler, ItemKey, SchedulerAction, SchedulerReplica, WaitingItem,
};
use foxtailhold::batch_control::window::CongestionWindow;
use foxtailhold::batch_control::{BatchSlotGrant, GRANT_MS, OnlineLoadNotice};
use foxtailhold::ids::{BackendId, InstanceId, TargetName};
use foxtailhold::replicas::LoadReport;
use foxtailhold::time::{MonoMs, WallMs};

use self::step::Message;
pub use self::step::Step;

const SLOTS: u32 = 16;
pub const OWNERS: usize = 3;
pub const CONTROLLERS: usize = 2;
pub const LAG_MS: u64 = 250;

fn backend() -> BackendId {
    "engine-0".try_into().unwrap()
}

fn target() -> TargetName {
    "ranger".try_into().unwrap()
}

fn controller_id(index: usize) -> InstanceId {
    format!("steward-{index}").as_str().try_into().unwrap()
}

fn owner_id(index: usize) -> InstanceId {
    format!("owner-{index}").as_str().try_into().unwrap()
}

struct OwnerState {
    scheduler: BatchScheduler,
    controller: usize,
    /// Every item that has not ended, with the number of slots that it runs in.
    live: BTreeMap<ItemKey, u32>,
}

pub struct World {
    now: MonoMs,
    controllers: Vec<BatchController>,
    owners: Vec<OwnerState>,
    messages: Vec<Message>,
    online: u32,
    loads: Vec<(MonoMs, u32, u32)>,
    windows: Vec<Vec<(MonoMs, u32)>>,
    killed_at: Option<MonoMs>,
    next_item: ItemKey,
    next_term: u64,
    next_notice: u64,
}

fn entry(controller: usize) -> SchedulerReplica {
    SchedulerReplica {
        backend: backend(),
        targets: vec![target()],
        controller: Some(controller_id(controller)),
    }
}

impl World {
    pub fn new() -> Self {
        let now = MonoMs(10_000);
        let mut owners = Vec::new();
        for index in 0..OWNERS {
            let mut scheduler = BatchScheduler::new(owner_id(index));
            scheduler.set_replicas(vec![entry(0)], now);
            owners.push(OwnerState {
                scheduler,
                controller: 0,
                live: BTreeMap::new(),
            });
        }
        let controllers = (0..CONTROLLERS)
            .map(|index| BatchController::new(controller_id(index), backend(), 1, 100))
            .collect();
        World {
            now,
            controllers,
            owners,
            messages: Vec::new(),
            online: 0,
            loads: vec![(now, 0, 0)],
            windows: vec![Vec::new(); CONTROLLERS],
            killed_at: None,
            next_item: 1,
            next_term: 2,
            next_notice: 0,
        }
    }

    fn batch(&self) -> u32 {
        self.owners
            .iter()
            .map(|state| state.scheduler.in_use(&backend()))
            .sum()
    }

    /// Carries out the actions of a scheduler. Every preempted item waits again in the same step.
    fn act(&mut self, owner: usize, actions: Vec<SchedulerAction>) {
        let now = self.now;
        let state = &mut self.owners[owner];
        let mut remaining = VecDeque::from(actions);
        while let Some(action) = remaining.pop_front() {
            match action {
                SchedulerAction::Start { item, .. } => {
                    let slots = state.live.get_mut(&item).expect("a started item is live");
                    assert_eq!(*slots, 0, "an item runs twice at once");
                    *slots = 1;
                }
                SchedulerAction::Preempt { item, .. } => {
                    let slots = state.live.get_mut(&item).expect("a preempted item is live");
                    assert_eq!(*slots, 1, "an item that does not run was preempted");
                    *slots = 0;
                    remaining.extend(state.scheduler.enqueue(item, waiting(600), now));
                }
            }
        }
    }

    fn push(&mut self, controller: usize, grants: Vec<(InstanceId, BatchSlotGrant)>) {
        for (id, grant) in grants {
            let Some(owner) = (0..OWNERS).find(|index| owner_id(*index) == id) else {
                panic!("a grant for an unknown owner");
            };
            self.messages.push(Message::PushedGrant {
                owner,
                controller,
                grant,
            });
        }
    }

    /// Runs one input of a controller and checks the invariants of every input.
    fn input<F>(&mut self, controller: usize, input: F)
    where
        F: FnOnce(&mut BatchController, MonoMs) -> Vec<(InstanceId, BatchSlotGrant)>,
    {
        let before: BTreeMap<InstanceId, u32> = self.cancel_limits(controller);
        let grants = input(&mut self.controllers[controller], self.now);
        let machine = &self.controllers[controller];
        let granted: u32 = machine
            .grants()
            .map(|(_, cancel_above, _)| cancel_above)
            .sum();
        assert!(
            granted <= machine.window().value(),
            "{granted} slots stay granted above the window {}",
            machine.window().value()
        );
        for (id, cancel_above, start) in machine.grants() {
            assert!(start <= cancel_above);
            if machine.window().is_held() {
                assert_eq!(start, 0, "{id} may start batch while pressure holds");
            }
            let notified = grants.iter().any(|(owner, _)| owner == id);
            let lower = before.get(id).is_some_and(|old| *old > cancel_above);
            assert!(
                !lower || notified,
                "{id} was not notified of its lower grant"
            );
        }
        self.push(controller, grants);
        let window = self.controllers[controller].window().value();
        self.windows[controller].push((self.now, window));
    }

    fn cancel_limits(&self, controller: usize) -> BTreeMap<InstanceId, u32> {
        let grants = self.controllers[controller].grants();
        grants
            .map(|(id, cancel_above, _)| (id.clone(), cancel_above))
            .collect()
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::SlotRequest {
                controller,
                request,
                sent_at,
            } => {
                let owner = (0..OWNERS).find(|index| owner_id(*index) == request.owner);
                let owner = owner.expect("the requester is an owner");
                let mut response = None;
                self.input(controller, |machine, now| {
                    let (grant, mut others) = machine.handle_request(request, now);
                    response = Some(grant.clone());
                    others.push((owner_id(owner), grant));
                    others
                });
                self.messages.pop();
                let grant = response.expect("every request has a response");
                self.messages.push(Message::Response {
                    owner,
                    grant,
                    requested_at: sent_at,
                });
            }
            Message::Response {
                owner,
                grant,
                requested_at,
            } => {
                let state = &mut self.owners[owner];
                let actions = state.scheduler.handle_response(&grant, requested_at, now);
                self.act(owner, actions);
            }
            Message::PushedGrant {
                owner,
                controller,
                grant,
            } => {
                let state = &mut self.owners[owner];
                let actions = state.scheduler.handle_pushed_grant(&grant, now);
                self.act(owner, actions);
                let request = self.owners[owner]
                    .scheduler
                    .slot_request(&backend(), WallMs(0));
                self.messages.push(Message::Usage {
                    controller,
                    request,
                });
            }
            Message::Usage {
                controller,
                request,
            } => self.controllers[controller].record_usage(request, now),
            Message::Notice { controller, notice } => {
                let batch_before = self.controllers[controller].window().value();
                self.input(controller, |machine, now| {
                    machine.apply_online_load(&notice, now)
                });
                let window = self.controllers[controller].window();
                let shrank = window.is_held() && window.value() <= batch_before;
                assert!(
                    !notice.pressed || shrank,
                    "pressure did not hold the window"
                );
            }
        }
    }

    fn report(&mut self, controller: usize, lag_ms: u64) {
        let at = MonoMs(self.now.0.saturating_sub(lag_ms));
        let made = self.loads.iter().rev().find(|(made, _, _)| *made <= at);
        let (_, batch, online) = made.copied().unwrap_or(self.loads[0]);
        let total = batch + online;
        let report = LoadReport {
            running: total.min(SLOTS),
            waiting: total.saturating_sub(SLOTS),
            slots: SLOTS,
            kv_used: 0.0,
            age_ms: lag_ms,
            ..LoadReport::default()
        };
        self.input(controller, |machine, now| {
            machine.apply_load_report(&report, now)
        });
    }

    fn tick(&mut self, owner: usize) {
        let now = self.now;
        let state = &mut self.owners[owner];
        let actions = state
            .scheduler
            .set_replicas(vec![entry(state.controller)], now);
        self.act(owner, actions);
        let state = &mut self.owners[owner];
        for (_, request) in state.scheduler.due_requests(now, WallMs(0)) {
            self.messages.push(Message::SlotRequest {
                controller: state.controller,
                request,
                sent_at: now,
            });
        }
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Advance { ms } => {
                self.now = self.now + ms;
                for owner in 0..OWNERS {
                    let actions = self.owners[owner].scheduler.act(self.now);
                    self.act(owner, actions);
                }
            }
            Step::Offer {
                owner,
                items,
                slack_s,
            } => self.offer(owner, items, slack_s),
            Step::End { owner, nth } => self.end(owner, nth, true),
            Step::Stop { owner, nth } => self.end(owner, nth, false),
            Step::OwnerTick { owner } => self.tick(owner),
            Step::ControllerTick { controller } => self.input(controller, BatchController::tick),
            Step::Report { controller, lag_ms } => self.report(controller, lag_ms),
            Step::Burst {
                requests,
                notified,
                pressed,
            } => {
                self.online += u32::from(requests);
                self.next_notice += 1;
                let notice = OnlineLoadNotice {
                    from: owner_id(notified),
                    backend: backend(),
                    number: self.next_notice,
                    in_flight: self.online,
                    pressed,
                };
                self.messages.push(Message::Notice {
                    controller: notified,
                    notice,
                });
            }
            Step::OnlineEnds { requests } => {
                self.online = self.online.saturating_sub(u32::from(requests));
            }
            Step::Deliver { nth } => {
                if let Some(message) = self.take(nth) {
                    self.deliver(message);
                }
            }
            Step::Lose { nth } => drop(self.take(nth)),
            Step::Repeat { nth } => {
                if let Some(message) = self.take(nth) {
                    self.messages.push(message.clone());
                    self.messages.push(message);
                }
            }
            Step::SwitchController { owner, controller } => {
                self.owners[owner].controller = controller;
            }
            Step::Kill { controller } => {
                let (id, term) = (controller_id(controller), self.next_term);
                self.next_term += 1;
                self.controllers[controller] = BatchController::new(id, backend(), term, 100);
                self.killed_at = Some(self.now);
            }
        }
        let load = (self.now, self.batch(), self.online);
        self.loads.push(load);
    }

    fn take(&mut self, nth: usize) -> Option<Message> {
        let count = self.messages.len();
        (count > 0).then(|| self.messages.remove(nth % count))
    }

    fn offer(&mut self, owner: usize, items: u8, slack_s: u64) {
        for _ in 0..items {
            let item = self.next_item;
            self.next_item += 1;
            let state = &mut self.owners[owner];
            state.live.insert(item, 0);
            let actions = state.scheduler.enqueue(item, waiting(slack_s), self.now);
            self.act(owner, actions);
        }
    }

    fn end(&mut self, owner: usize, nth: usize, running: bool) {
        let state = &mut self.owners[owner];
        let of_kind = |slots: u32| (slots == 1) == running;
        let items: Vec<ItemKey> = state
            .live
            .iter()
            .filter(|(_, slots)| of_kind(**slots))
            .map(|(item, _)| *item)
            .collect();
        let Some(item) = items.get(nth % items.len().max(1)).copied() else {
            return;
        };
        state.live.remove(&item);
        let actions = state.scheduler.remove(item, self.now);
        self.act(owner, actions);
    }

    pub fn check(&self) {
        let maximum = SLOTS - CongestionWindow::least_headroom(SLOTS);
        for state in &self.owners {
            let running = state.live.values().filter(|slots| **slots == 1).count();
            assert_eq!(running, state.scheduler.running(), "slots and items differ");
            let known = state.scheduler.waiting() + state.scheduler.running();
            assert_eq!(state.live.len(), known, "an item was lost");
        }
        let recent = self.killed_at.map(|at| self.now.since_ms(at));
        if recent.is_some_and(|since_ms| since_ms <= GRANT_MS) {
            return;
        }
        assert!(
            self.batch() <= 2 * maximum,
            "{} items in flight",
            self.batch()
        );
        for controller in 0..CONTROLLERS {
            self.check_controller(controller, maximum);
        }
    }

    fn check_controller(&self, controller: usize, maximum: u32) {
        let id = controller_id(controller);
        let mut followers = BTreeSet::new();
        let mut in_use = 0;
        for (index, state) in self.owners.iter().enumerate() {
            let grantor = state.scheduler.grantor(&backend(), self.now);
            if grantor.is_some_and(|(grantor, _)| *grantor == id) {
                followers.insert(index);
                in_use += state.scheduler.in_use(&backend());
            }
        }
        let since = |at: &MonoMs| self.now.since_ms(*at) <= GRANT_MS;
        let windows = &self.windows[controller];
        let first = windows
            .iter()
            .position(|(at, _)| since(at))
            .unwrap_or(windows.len());
        let from = first.saturating_sub(1);
        let largest = windows[from..].iter().map(|(_, window)| *window).max();
        assert!(
            in_use <= largest.unwrap_or(0) && in_use <= maximum,
            "{in_use} items of {followers:?} in flight under the window {largest:?}"
        );
    }

    /// Checks that every item ends once all faults are over.
    pub fn drain(&mut self) {
        self.online = 0;
        self.messages.clear();
        for state in &mut self.owners {
            state.controller = 0;
        }
        for round in 0..1_000 {
            self.now = self.now + 20;
            for owner in 0..OWNERS {
                self.tick(owner);
            }
            if round % 5 == 0 {
                self.report(0, 20);
            }
            self.input(0, BatchController::tick);
            while let Some(message) = self.take(0) {
                self.deliver(message);
            }
            let load = (self.now, self.batch(), 0);
            self.loads.push(load);
            self.check();
            for owner in 0..OWNERS {
                self.end(owner, 0, true);
            }
            if self.owners.iter().all(|state| state.live.is_empty()) {
                return;
            }
        }
        let remaining: Vec<usize> = self.owners.iter().map(|state| state.live.len()).collect();
        panic!("items never got a slot: {remaining:?}");
    }
}

fn waiting(slack_s: u64) -> WaitingItem {
    WaitingItem {
        target: target(),
        deadline: WallMs(slack_s * 1_000),
        order: 0,
        avoid: Vec::new(),
    }
}
