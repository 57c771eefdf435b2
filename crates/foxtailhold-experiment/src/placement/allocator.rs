//! One instance grants all places: the product's own allocator, with the flight of its messages.

use std::collections::HashMap;

use foxtailhold::ids::{AvailabilityZone, BackendId, IdError, InstanceId, TargetName};
use foxtailhold::slots::{
    Allocator, BackendSlots, SlotDecision, SlotNotice, SlotOutcome, SlotRequest, SlotRequestId,
    Urgency,
};
use foxtailhold::time::MonoMs;

use crate::arrivals::Kind;
use crate::placement::{Action, End, Layout, Offer, Placement};

/// Online requests that wait ask again so often, as the instances do.
const ASK_AGAIN_US: u64 = 100_000;
/// The same for batch items.
const ASK_BATCH_AGAIN_US: u64 = 1_000_000;

/// Messages between instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// An ask arrives at the allocator.
    Ask {
        /// The request.
        request: usize,
        /// The ask's number.
        number: u64,
    },
    /// The end of a use arrives there.
    Release {
        /// The instance.
        instance: usize,
        /// The ask's number.
        number: u64,
        /// How it ended.
        outcome: SlotOutcome,
    },
}

#[derive(Debug, Clone, Copy)]
struct Asking {
    offer: Offer,
    number: u64,
    asked_at_us: u64,
    sent_at_us: Option<u64>,
}

/// The policy. The first instance is the allocator.
#[derive(Debug)]
pub struct Central {
    layout: Layout,
    pool: TargetName,
    zones: Vec<AvailabilityZone>,
    instances: Vec<InstanceId>,
    engines: Vec<BackendId>,
    allocator: Allocator,
    asking: HashMap<usize, Asking>,
    by_number: HashMap<u64, usize>,
    next_number: u64,
}

impl Central {
    /// An allocator of a deployment's engines.
    pub fn new(layout: Layout) -> Result<Self, IdError> {
        let names = |count: usize, name: &str| -> Vec<String> {
            (0..count).map(|index| format!("{name}-{index}")).collect()
        };
        let zone_count = layout.instances.iter().chain(&layout.engines).max();
        let zone_names = names(zone_count.map_or(0, |last| last + 1), "zone");
        let zones = zone_names.iter().map(|name| name.as_str().try_into());
        let instance_names = names(layout.instances.len(), "instance");
        let engine_names = names(layout.engines.len(), "engine");
        let mut central = Central {
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
            asking: HashMap::new(),
            by_number: HashMap::new(),
            next_number: 0,
            layout,
        };
        central.begin();
        Ok(central)
    }

    fn begin(&mut self) {
        let mut places = Vec::new();
        for (backend, zone) in self.engines.iter().zip(&self.layout.engines) {
            places.push(BackendSlots {
                backend: backend.clone(),
                zone: self.zones[*zone].clone(),
                slots: self.layout.slots as u32,
            });
        }
        self.allocator = Allocator::default();
        self.allocator.set_backends(&self.pool, &places);
    }

    fn flight_us(&self, instance: usize) -> u64 {
        match instance {
            0 => 0,
            other => self.layout.flight_us[0][other],
        }
    }

    fn ask_id(&self, instance: usize, number: u64) -> SlotRequestId {
        SlotRequestId {
            instance: self.instances[instance].clone(),
            number,
        }
    }

    fn send_ask(&self, now_us: u64, asking: &Asking, actions: &mut Vec<Action<Note>>) {
        actions.push(Action::Note {
            at_us: now_us + self.flight_us(asking.offer.instance),
            note: Note::Ask {
                request: asking.offer.request,
                number: asking.number,
            },
        });
    }

    fn ask(&mut self, now_us: u64, request: usize, number: u64, actions: &mut Vec<Action<Note>>) {
        let Some(asking) = self.asking.get(&request).filter(|a| a.number == number) else {
            return;
        };
        let offer = asking.offer;
        let zone = self.layout.instances[offer.instance];
        let ask = SlotRequest {
            id: self.ask_id(offer.instance, number),
            pool: self.pool.clone(),
            urgency: match offer.kind {
                Kind::Online => Urgency::Online { priority: 0 },
                Kind::Batch => Urgency::Batch,
            },
            slack_ms: offer.due_us.saturating_sub(now_us) / 1_000,
            avoid: offer
                .avoid
                .iter()
                .map(|engine| self.engines[*engine].clone())
                .collect(),
            zone: self.zones[zone].clone(),
        };
        let mut decisions = Vec::new();
        let id = ask.id.clone();
        let verdict = self
            .allocator
            .request_slot(MonoMs(now_us / 1_000), ask, &mut decisions);
        let own = SlotNotice {
            request: id,
            decision: Some(verdict),
        };
        self.pass_on(now_us, &own, actions);
        for decision in &decisions {
            self.pass_on(now_us, decision, actions);
        }
    }

    fn pass_on(&mut self, now_us: u64, decision: &SlotNotice, actions: &mut Vec<Action<Note>>) {
        let Some(request) = self.by_number.get(&decision.request.number).copied() else {
            return;
        };
        let Some(instance) = self.asking.get(&request).map(|a| a.offer.instance) else {
            return;
        };
        let at_us = now_us + self.flight_us(instance);
        let Some(asking) = self.asking.get_mut(&request) else {
            return;
        };
        match &decision.decision {
            Some(SlotDecision::Granted(backend)) => {
                if asking.sent_at_us.is_some() {
                    return;
                }
                let Some(engine) = self.engines.iter().position(|engine| engine == backend) else {
                    return;
                };
                asking.sent_at_us = Some(at_us);
                actions.push(Action::Send {
                    at_us,
                    request,
                    engine,
                });
            }
            Some(SlotDecision::Queued) => {}
            Some(SlotDecision::Refused { retry_after_ms }) => {
                let retry_after_ms = *retry_after_ms;
                actions.push(Action::Refuse {
                    at_us,
                    request,
                    retry_after_ms,
                });
            }
            None => actions.push(Action::Cut { at_us, request }),
        }
    }

    fn pass_all_on(
        &mut self,
        now_us: u64,
        decisions: &[SlotNotice],
        actions: &mut Vec<Action<Note>>,
    ) {
        for decision in decisions {
            self.pass_on(now_us, decision, actions);
        }
    }
}

impl Placement for Central {
    type Note = Note;

    fn offer(&mut self, now_us: u64, offer: Offer, actions: &mut Vec<Action<Note>>) {
        self.next_number += 1;
        let asking = Asking {
            offer,
            number: self.next_number,
            asked_at_us: now_us,
            sent_at_us: None,
        };
        self.asking.insert(offer.request, asking);
        self.by_number.insert(asking.number, offer.request);
        self.send_ask(now_us, &asking, actions);
    }

    fn ended(
        &mut self,
        now_us: u64,
        request: usize,
        end: End,
        _load: Option<u32>,
        actions: &mut Vec<Action<Note>>,
    ) {
        let Some(asking) = self.asking.remove(&request) else {
            return;
        };
        self.by_number.remove(&asking.number);
        let held_us = asking
            .sent_at_us
            .map_or(0, |at_us| now_us.saturating_sub(at_us));
        let outcome = match end {
            End::Done => SlotOutcome::Done {
                held_ms: held_us / 1_000,
            },
            End::Full => SlotOutcome::Full,
            End::Cut | End::GivenUp => SlotOutcome::Abandoned,
        };
        let instance = asking.offer.instance;
        actions.push(Action::Note {
            at_us: now_us + self.flight_us(instance),
            note: Note::Release {
                instance,
                number: asking.number,
                outcome,
            },
        });
    }

    fn told(&mut self, _now_us: u64, _request: usize, _load: u32) {}

    fn noted(&mut self, now_us: u64, note: Note, actions: &mut Vec<Action<Note>>) {
        match note {
            Note::Ask { request, number } => self.ask(now_us, request, number, actions),
            Note::Release {
                instance,
                number,
                outcome,
            } => {
                let mut decisions = Vec::new();
                let (ask, now) = (self.ask_id(instance, number), MonoMs(now_us / 1_000));
                let pool = self.pool.clone();
                self.allocator
                    .release(now, &pool, &ask, outcome, &mut decisions);
                self.pass_all_on(now_us, &decisions, actions);
            }
        }
    }

    fn tick(&mut self, now_us: u64, actions: &mut Vec<Action<Note>>) {
        let mut decisions = Vec::new();
        self.allocator.tick(MonoMs(now_us / 1_000), &mut decisions);
        self.pass_all_on(now_us, &decisions, actions);
        let mut again = Vec::new();
        for asking in self.asking.values_mut() {
            let after_us = match asking.offer.kind {
                Kind::Online => ASK_AGAIN_US,
                Kind::Batch => ASK_BATCH_AGAIN_US,
            };
            if asking.sent_at_us.is_none() && now_us >= asking.asked_at_us + after_us {
                asking.asked_at_us = now_us;
                again.push(*asking);
            }
        }
        again.sort_by_key(|asking| asking.number);
        for asking in again {
            self.send_ask(now_us, &asking, actions);
        }
    }

    fn restart(&mut self, _now_us: u64) {
        self.asking.clear();
        self.by_number.clear();
        self.begin();
    }
}
