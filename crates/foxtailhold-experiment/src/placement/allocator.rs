//! Policy in which one instance grants the slots of all engines. It runs the serving system's own
//! allocator and adds the latency of its messages.

use std::collections::HashMap;

use foxtailhold::ids::{AvailabilityZone, BackendId, IdError, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, SlotDecision, SlotNotice, SlotOutcome, SlotRequest, SlotRequestId,
    Urgency,
};
use foxtailhold::software_version::SoftwareVersion;
use foxtailhold::time::MonoMs;

use crate::arrivals::RequestKind;
use crate::placement::{Action, AttemptEnd, PendingRequest, Placement, Topology};

/// Interval after which a waiting online request repeats its slot request, as the instances do.
const ONLINE_RETRY_US: u64 = 100_000;
/// Interval after which a waiting batch item repeats its slot request, as the instances do.
const BATCH_RETRY_US: u64 = 1_000_000;

/// Messages from instances to the allocator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Message {
    /// A slot request arrives at the allocator.
    SlotRequest {
        /// Index of the request.
        request: usize,
        /// Number of the slot request.
        number: u64,
    },
    /// The release of a slot arrives at the allocator.
    Release {
        /// Index of the instance that held the slot.
        instance: usize,
        /// Number of the slot request.
        number: u64,
        /// How the use of the slot ended.
        outcome: SlotOutcome,
    },
}

#[derive(Debug, Clone, Copy)]
struct OpenSlotRequest {
    pending: PendingRequest,
    number: u64,
    requested_at_us: u64,
    sent_at_us: Option<u64>,
}

/// The allocator policy. The first instance is the allocator.
#[derive(Debug)]
pub struct AllocatorPlacement {
    topology: Topology,
    pool: TargetName,
    zones: Vec<AvailabilityZone>,
    instances: Vec<InstanceId>,
    engines: Vec<BackendId>,
    allocator: Allocator,
    open_requests: HashMap<usize, OpenSlotRequest>,
    by_number: HashMap<u64, usize>,
    next_number: u64,
}

impl AllocatorPlacement {
    /// Creates an allocator for the engines of a deployment.
    pub fn new(topology: Topology) -> Result<Self, IdError> {
        let names = |count: usize, name: &str| -> Vec<String> {
            (0..count).map(|index| format!("{name}-{index}")).collect()
        };
        let zone_count = topology.instances.iter().chain(&topology.engines).max();
        let zone_names = names(zone_count.map_or(0, |last| last + 1), "zone");
        let zones = zone_names.iter().map(|name| name.as_str().try_into());
        let instance_names = names(topology.instances.len(), "instance");
        let engine_names = names(topology.engines.len(), "engine");
        let mut placement = AllocatorPlacement {
            pool: TargetName::try_from("engines")?,
            zones: zones.collect::<Result<_, _>>()?,
            instances: instance_names
                .iter()
                .map(|name| name.as_str().try_into())
                .collect::<Result<_, _>>()?,
            engines: engine_names
                .iter()
                .map(|name| name.as_str().try_into())
                .collect::<Result<_, _>>()?,
            allocator: Allocator::default(),
            open_requests: HashMap::new(),
            by_number: HashMap::new(),
            next_number: 0,
            topology,
        };
        placement.reset();
        Ok(placement)
    }

    fn reset(&mut self) {
        let mut backends = Vec::new();
        for (backend, zone) in self.engines.iter().zip(&self.topology.engines) {
            backends.push(BackendSlots {
                backend: backend.clone(),
                zone: self.zones[*zone].clone(),
                slots: self.topology.slots as u32,
                version: SoftwareVersion::default(),
            });
        }
        self.allocator = Allocator::default();
        self.allocator.set_backends(&self.pool, &backends);
    }

    fn latency_us(&self, instance: usize) -> u64 {
        match instance {
            0 => 0,
            other => self.topology.latency_us[0][other],
        }
    }

    fn slot_request_id(&self, instance: usize, number: u64) -> SlotRequestId {
        SlotRequestId {
            instance: self.instances[instance].clone(),
            number,
        }
    }

    fn send_slot_request(
        &self,
        now_us: u64,
        slot_request: &OpenSlotRequest,
        actions: &mut Vec<Action<Message>>,
    ) {
        actions.push(Action::Message {
            at_us: now_us + self.latency_us(slot_request.pending.instance),
            message: Message::SlotRequest {
                request: slot_request.pending.request,
                number: slot_request.number,
            },
        });
    }

    fn handle_slot_request(
        &mut self,
        now_us: u64,
        request: usize,
        number: u64,
        actions: &mut Vec<Action<Message>>,
    ) {
        let Some(slot_request) = self
            .open_requests
            .get(&request)
            .filter(|open| open.number == number)
        else {
            return;
        };
        let pending = slot_request.pending;
        let zone = self.topology.instances[pending.instance];
        let core_request = SlotRequest {
            id: self.slot_request_id(pending.instance, number),
            pool: self.pool.clone(),
            urgency: match pending.kind {
                RequestKind::Online => Urgency::Online { priority: 0 },
                RequestKind::Batch => Urgency::Batch,
            },
            slack_ms: pending.due_us.saturating_sub(now_us) / 1_000,
            late_ms: now_us.saturating_sub(pending.due_us) / 1_000,
            avoid: pending
                .avoid
                .iter()
                .map(|engine| self.engines[*engine].clone())
                .collect(),
            zone: self.zones[zone].clone(),
            version: None,
        };
        let mut notices = Vec::new();
        let id = core_request.id.clone();
        let decision =
            self.allocator
                .request_slot(MonoMs(now_us / 1_000), core_request, &mut notices);
        let own = SlotNotice {
            request: id,
            decision: Some(decision),
        };
        self.deliver(now_us, &own, actions);
        for notice in &notices {
            self.deliver(now_us, notice, actions);
        }
    }

    fn deliver(&mut self, now_us: u64, notice: &SlotNotice, actions: &mut Vec<Action<Message>>) {
        let Some(request) = self.by_number.get(&notice.request.number).copied() else {
            return;
        };
        let Some(instance) = self
            .open_requests
            .get(&request)
            .map(|open| open.pending.instance)
        else {
            return;
        };
        let at_us = now_us + self.latency_us(instance);
        let Some(slot_request) = self.open_requests.get_mut(&request) else {
            return;
        };
        match &notice.decision {
            Some(SlotDecision::Granted(backend)) => {
                if slot_request.sent_at_us.is_some() {
                    return;
                }
                let Some(engine) = self.engines.iter().position(|engine| engine == backend) else {
                    return;
                };
                slot_request.sent_at_us = Some(at_us);
                actions.push(Action::Send {
                    at_us,
                    request,
                    engine,
                });
            }
            Some(SlotDecision::Queued | SlotDecision::VersionGone) => {}
            Some(SlotDecision::Refused { retry_after_ms }) => {
                let retry_after_ms = *retry_after_ms;
                actions.push(Action::Refuse {
                    at_us,
                    request,
                    retry_after_ms,
                });
            }
            None => actions.push(Action::Preempt { at_us, request }),
        }
    }

    fn deliver_all(
        &mut self,
        now_us: u64,
        notices: &[SlotNotice],
        actions: &mut Vec<Action<Message>>,
    ) {
        for notice in notices {
            self.deliver(now_us, notice, actions);
        }
    }
}

impl Placement for AllocatorPlacement {
    type Message = Message;

    fn enqueue(
        &mut self,
        now_us: u64,
        pending: PendingRequest,
        actions: &mut Vec<Action<Message>>,
    ) {
        self.next_number += 1;
        let slot_request = OpenSlotRequest {
            pending,
            number: self.next_number,
            requested_at_us: now_us,
            sent_at_us: None,
        };
        self.open_requests.insert(pending.request, slot_request);
        self.by_number.insert(slot_request.number, pending.request);
        self.send_slot_request(now_us, &slot_request, actions);
    }

    fn on_attempt_end(
        &mut self,
        now_us: u64,
        request: usize,
        end: AttemptEnd,
        _load: Option<u32>,
        actions: &mut Vec<Action<Message>>,
    ) {
        let Some(slot_request) = self.open_requests.remove(&request) else {
            return;
        };
        self.by_number.remove(&slot_request.number);
        let held_us = slot_request
            .sent_at_us
            .map_or(0, |at_us| now_us.saturating_sub(at_us));
        let outcome = match end {
            AttemptEnd::Done => SlotOutcome::Done {
                held_ms: held_us / 1_000,
            },
            AttemptEnd::Full => SlotOutcome::Full,
            AttemptEnd::Preempted | AttemptEnd::GivenUp => SlotOutcome::Abandoned,
        };
        let instance = slot_request.pending.instance;
        actions.push(Action::Message {
            at_us: now_us + self.latency_us(instance),
            message: Message::Release {
                instance,
                number: slot_request.number,
                outcome,
            },
        });
    }

    fn on_load_report(&mut self, _now_us: u64, _request: usize, _load: u32) {}

    fn on_message(&mut self, now_us: u64, message: Message, actions: &mut Vec<Action<Message>>) {
        match message {
            Message::SlotRequest { request, number } => {
                self.handle_slot_request(now_us, request, number, actions)
            }
            Message::Release {
                instance,
                number,
                outcome,
            } => {
                let mut notices = Vec::new();
                let (id, now) = (
                    self.slot_request_id(instance, number),
                    MonoMs(now_us / 1_000),
                );
                let pool = self.pool.clone();
                self.allocator
                    .release(now, &pool, &id, outcome, &mut notices);
                self.deliver_all(now_us, &notices, actions);
            }
        }
    }

    fn tick(&mut self, now_us: u64, actions: &mut Vec<Action<Message>>) {
        let mut notices = Vec::new();
        self.allocator.tick(MonoMs(now_us / 1_000), &mut notices);
        self.deliver_all(now_us, &notices, actions);
        let mut repeated = Vec::new();
        for slot_request in self.open_requests.values_mut() {
            let after_us = match slot_request.pending.kind {
                RequestKind::Online => ONLINE_RETRY_US,
                RequestKind::Batch => BATCH_RETRY_US,
            };
            if slot_request.sent_at_us.is_none()
                && now_us >= slot_request.requested_at_us + after_us
            {
                slot_request.requested_at_us = now_us;
                repeated.push(*slot_request);
            }
        }
        repeated.sort_by_key(|slot_request| slot_request.number);
        for slot_request in repeated {
            self.send_slot_request(now_us, &slot_request, actions);
        }
    }

    fn restart(&mut self, _now_us: u64) {
        self.open_requests.clear();
        self.by_number.clear();
        self.reset();
    }
}
