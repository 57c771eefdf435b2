//! A small deterministic world of one replica: two stewards, three owners, the messages between
//! them, online work, and what must always hold.

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
pub const STEWARDS: usize = 2;
pub const LAG_MS: u64 = 250;

fn backend() -> BackendId {
    "engine-0".try_into().unwrap()
}

fn target() -> TargetName {
    "ranger".try_into().unwrap()
}

fn steward_id(index: usize) -> InstanceId {
    format!("steward-{index}").as_str().try_into().unwrap()
}

fn owner_id(index: usize) -> InstanceId {
    format!("owner-{index}").as_str().try_into().unwrap()
}

struct OwnerSide {
    desk: BatchScheduler,
    steward: usize,
    /// Every item that has not ended, with the places it runs at.
    live: BTreeMap<ItemKey, u32>,
}

pub struct World {
    now: MonoMs,
    stewards: Vec<BatchController>,
    owners: Vec<OwnerSide>,
    messages: Vec<Message>,
    online: u32,
    loads: Vec<(MonoMs, u32, u32)>,
    marks: Vec<Vec<(MonoMs, u32)>>,
    disturbed_at: Option<MonoMs>,
    next_item: ItemKey,
    next_term: u64,
    next_notice: u64,
}

fn entry(steward: usize) -> SchedulerReplica {
    SchedulerReplica {
        backend: backend(),
        targets: vec![target()],
        controller: Some(steward_id(steward)),
    }
}

impl World {
    pub fn new() -> Self {
        let now = MonoMs(10_000);
        let mut owners = Vec::new();
        for index in 0..OWNERS {
            let mut desk = BatchScheduler::new(owner_id(index));
            desk.set_replicas(vec![entry(0)], now);
            owners.push(OwnerSide {
                desk,
                steward: 0,
                live: BTreeMap::new(),
            });
        }
        let stewards = (0..STEWARDS)
            .map(|index| BatchController::new(steward_id(index), backend(), 1, 100))
            .collect();
        World {
            now,
            stewards,
            owners,
            messages: Vec::new(),
            online: 0,
            loads: vec![(now, 0, 0)],
            marks: vec![Vec::new(); STEWARDS],
            disturbed_at: None,
            next_item: 1,
            next_term: 2,
            next_notice: 0,
        }
    }

    fn batch(&self) -> u32 {
        self.owners
            .iter()
            .map(|side| side.desk.in_use(&backend()))
            .sum()
    }

    /// Carries out what a desk says; every cut item waits again in the same step.
    fn act(&mut self, owner: usize, actions: Vec<SchedulerAction>) {
        let now = self.now;
        let side = &mut self.owners[owner];
        let mut left = VecDeque::from(actions);
        while let Some(action) = left.pop_front() {
            match action {
                SchedulerAction::Start { item, .. } => {
                    let places = side.live.get_mut(&item).expect("a started item is live");
                    assert_eq!(*places, 0, "an item runs twice at once");
                    *places = 1;
                }
                SchedulerAction::Preempt { item, .. } => {
                    let places = side.live.get_mut(&item).expect("a cut item is live");
                    assert_eq!(*places, 1, "an item that does not run was cut");
                    *places = 0;
                    left.extend(side.desk.wait(item, waiting(600), now));
                }
            }
        }
    }

    fn push(&mut self, steward: usize, grants: Vec<(InstanceId, BatchSlotGrant)>) {
        for (id, grant) in grants {
            let Some(owner) = (0..OWNERS).find(|index| owner_id(*index) == id) else {
                panic!("a grant for an unknown owner");
            };
            self.messages.push(Message::Push {
                owner,
                steward,
                grant,
            });
        }
    }

    /// Runs one input of a steward and checks what must hold of every input.
    fn input<F>(&mut self, steward: usize, input: F)
    where
        F: FnOnce(&mut BatchController, MonoMs) -> Vec<(InstanceId, BatchSlotGrant)>,
    {
        let before: BTreeMap<InstanceId, u32> = self.keeps(steward);
        let grants = input(&mut self.stewards[steward], self.now);
        let machine = &self.stewards[steward];
        let kept: u32 = machine.grants().map(|(_, keep, _)| keep).sum();
        assert!(
            kept <= machine.window().value(),
            "{kept} places stay granted above the mark {}",
            machine.window().value()
        );
        for (id, keep, start) in machine.grants() {
            assert!(start <= keep);
            if machine.window().is_held() {
                assert_eq!(start, 0, "{id} may start batch while pressure holds");
            }
            let told = grants.iter().any(|(owner, _)| owner == id);
            let lower = before.get(id).is_some_and(|old| *old > keep);
            assert!(!lower || told, "{id} was not told of its lower grant");
        }
        self.push(steward, grants);
        let mark = self.stewards[steward].window().value();
        self.marks[steward].push((self.now, mark));
    }

    fn keeps(&self, steward: usize) -> BTreeMap<InstanceId, u32> {
        let grants = self.stewards[steward].grants();
        grants.map(|(id, keep, _)| (id.clone(), keep)).collect()
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Ask {
                steward,
                ask,
                sent_at,
            } => {
                let owner = (0..OWNERS).find(|index| owner_id(*index) == ask.owner);
                let owner = owner.expect("the asker is an owner");
                let mut answer = None;
                self.input(steward, |machine, now| {
                    let (grant, mut others) = machine.asked(ask, now);
                    answer = Some(grant.clone());
                    others.push((owner_id(owner), grant));
                    others
                });
                self.messages.pop();
                let grant = answer.expect("every question has an answer");
                self.messages.push(Message::Answer {
                    owner,
                    grant,
                    asked_at: sent_at,
                });
            }
            Message::Answer {
                owner,
                grant,
                asked_at,
            } => {
                let side = &mut self.owners[owner];
                let actions = side.desk.answered(&grant, asked_at, now);
                self.act(owner, actions);
            }
            Message::Push {
                owner,
                steward,
                grant,
            } => {
                let side = &mut self.owners[owner];
                let actions = side.desk.pushed(&grant, now);
                self.act(owner, actions);
                let ask = self.owners[owner].desk.ask(&backend(), WallMs(0));
                self.messages.push(Message::Told { steward, ask });
            }
            Message::Told { steward, ask } => self.stewards[steward].told(ask, now),
            Message::Notice { steward, notice } => {
                let batch_before = self.stewards[steward].window().value();
                self.input(steward, |machine, now| machine.noticed(&notice, now));
                let mark = self.stewards[steward].window();
                let fell = mark.is_held() && mark.value() <= batch_before;
                assert!(!notice.pressed || fell, "pressure did not hold the mark");
            }
        }
    }

    fn report(&mut self, steward: usize, lag_ms: u64) {
        let at = MonoMs(self.now.0.saturating_sub(lag_ms));
        let made = self.loads.iter().rev().find(|(made, _, _)| *made <= at);
        let (_, batch, online) = made.copied().unwrap_or(self.loads[0]);
        let there = batch + online;
        let report = LoadReport {
            running: there.min(SLOTS),
            waiting: there.saturating_sub(SLOTS),
            slots: SLOTS,
            kv_used: 0.0,
            age_ms: lag_ms,
            ..LoadReport::default()
        };
        self.input(steward, |machine, now| machine.reported(&report, now));
    }

    fn tick(&mut self, owner: usize) {
        let now = self.now;
        let side = &mut self.owners[owner];
        let actions = side.desk.set_replicas(vec![entry(side.steward)], now);
        self.act(owner, actions);
        let side = &mut self.owners[owner];
        for (_, ask) in side.desk.asks(now, WallMs(0)) {
            self.messages.push(Message::Ask {
                steward: side.steward,
                ask,
                sent_at: now,
            });
        }
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Advance { ms } => {
                self.now = self.now + ms;
                for owner in 0..OWNERS {
                    let actions = self.owners[owner].desk.act(self.now);
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
            Step::StewardTick { steward } => self.input(steward, BatchController::tick),
            Step::Report { steward, lag_ms } => self.report(steward, lag_ms),
            Step::Burst {
                requests,
                told,
                pressed,
            } => {
                self.online += u32::from(requests);
                self.next_notice += 1;
                let notice = OnlineLoadNotice {
                    from: owner_id(told),
                    backend: backend(),
                    number: self.next_notice,
                    in_flight: self.online,
                    pressed,
                };
                self.messages.push(Message::Notice {
                    steward: told,
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
            Step::Follow { owner, steward } => {
                self.owners[owner].steward = steward;
            }
            Step::Kill { steward } => {
                let (id, term) = (steward_id(steward), self.next_term);
                self.next_term += 1;
                self.stewards[steward] = BatchController::new(id, backend(), term, 100);
                self.disturbed_at = Some(self.now);
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
            let side = &mut self.owners[owner];
            side.live.insert(item, 0);
            let actions = side.desk.wait(item, waiting(slack_s), self.now);
            self.act(owner, actions);
        }
    }

    fn end(&mut self, owner: usize, nth: usize, running: bool) {
        let side = &mut self.owners[owner];
        let of_kind = |places: u32| (places == 1) == running;
        let items: Vec<ItemKey> = side
            .live
            .iter()
            .filter(|(_, places)| of_kind(**places))
            .map(|(item, _)| *item)
            .collect();
        let Some(item) = items.get(nth % items.len().max(1)).copied() else {
            return;
        };
        side.live.remove(&item);
        let actions = side.desk.leave(item, self.now);
        self.act(owner, actions);
    }

    pub fn check(&self) {
        let most = SLOTS - CongestionWindow::least_headroom(SLOTS);
        for side in &self.owners {
            let running = side.live.values().filter(|places| **places == 1).count();
            assert_eq!(running, side.desk.running(), "places and items differ");
            let known = side.desk.waiting() + side.desk.running();
            assert_eq!(side.live.len(), known, "an item was lost");
        }
        let recent = self.disturbed_at.map(|at| self.now.since_ms(at));
        if recent.is_some_and(|since_ms| since_ms <= GRANT_MS) {
            return;
        }
        assert!(self.batch() <= 2 * most, "{} items in flight", self.batch());
        for steward in 0..STEWARDS {
            self.check_steward(steward, most);
        }
    }

    fn check_steward(&self, steward: usize, most: u32) {
        let id = steward_id(steward);
        let mut followers = BTreeSet::new();
        let mut in_use = 0;
        for (index, side) in self.owners.iter().enumerate() {
            let grantor = side.desk.grantor(&backend(), self.now);
            if grantor.is_some_and(|(grantor, _)| *grantor == id) {
                followers.insert(index);
                in_use += side.desk.in_use(&backend());
            }
        }
        let since = |at: &MonoMs| self.now.since_ms(*at) <= GRANT_MS;
        let marks = &self.marks[steward];
        let first = marks
            .iter()
            .position(|(at, _)| since(at))
            .unwrap_or(marks.len());
        let from = first.saturating_sub(1);
        let largest = marks[from..].iter().map(|(_, mark)| *mark).max();
        assert!(
            in_use <= largest.unwrap_or(0) && in_use <= most,
            "{in_use} items of {followers:?} in flight under the mark {largest:?}"
        );
    }

    /// With all faults over, every item ends.
    pub fn drain(&mut self) {
        self.online = 0;
        self.messages.clear();
        for side in &mut self.owners {
            side.steward = 0;
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
            if self.owners.iter().all(|side| side.live.is_empty()) {
                return;
            }
        }
        let left: Vec<usize> = self.owners.iter().map(|side| side.live.len()).collect();
        panic!("items never got a place: {left:?}");
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
