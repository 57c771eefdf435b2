//! Membership of the system's instances as seen by one of them. The full view is maintained by
//! gossip with incarnation numbers, following SWIM (Das, Gupta and Motivala, 2002): shuffled
//! round-robin probes, indirect probes, suspicion before removal, and refutation by the suspect.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::contract_sync::{ContractStatus, ListingState};
use crate::ids::{AvailabilityZone, InstanceId};
use crate::leaving::LeavingNotice;
use crate::time::MonoMs;

/// One probe is sent in each period.
pub const PROBE_PERIOD_MS: u64 = 500;
/// A suspect that does not refute for this long is declared dead, in a view of two members.
pub const SUSPICION_MS: u64 = 2_000;
/// Added to [`SUSPICION_MS`] for each doubling of the view, since a refutation needs more rounds to
/// spread.
pub const SUSPICION_STEP_MS: u64 = 500;
/// Consecutive responses of peers that know more members, after which the full state is requested.
const MAX_RESPONSES_BEHIND: u32 = 6;
/// A dead member is removed from the view after this time.
pub const FORGET_MS: u64 = 60_000;
/// The full state of a peer is requested this often, to repair what gossip lost.
pub const RESYNC_MS: u64 = 60_000;
/// Number of members that probe a member indirectly that did not respond.
pub const INDIRECT_PROBES: usize = 3;
/// One probe in this many also goes to a dead member, which may only have been isolated.
const DEAD_PROBE_EVERY: u32 = 4;
/// Number of recent probe outcomes that decide whether this instance is isolated.
const PROBE_OUTCOMES_KEPT: usize = 10;
/// Fewest probe outcomes needed for that decision.
const MIN_PROBE_OUTCOMES: usize = 3;
/// Largest number of updates in one message.
pub const UPDATES_PER_MESSAGE: usize = 12;

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Accepts requests.
    Alive,
    /// A probe of the member failed.
    Suspect,
    /// In a planned shutdown: finishes its work and accepts nothing new.
    Leaving,
    /// No longer part of the system.
    Dead,
}

/// The record of one member that gossip spreads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifies the instance.
    pub id: InstanceId,
    /// Version of the record. Raised by the instance itself, to refute a suspicion or after a
    /// restart.
    pub incarnation: u64,
    /// State in this incarnation.
    pub state: MemberState,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address for messages of other instances.
    pub peer_address: SocketAddr,
    /// Address for operator calls.
    pub operator_address: SocketAddr,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Whether callers may be directed to the instance, given the state of its contracts.
    pub listing: ListingState,
}

impl Member {
    fn overrides(&self, other: &Member) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// A gossip message. The response has the same form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sending instance.
    pub from: InstanceId,
    /// Member updates; the sender's own record is always included.
    pub updates: Vec<Member>,
    /// Whether the receiver should respond with its full state.
    pub want_all: bool,
    /// State of the contracts at the sender.
    pub contracts: ContractStatus,
    /// Notices of leaving backend servers.
    pub leaving: Vec<LeavingNotice>,
    /// Number of members known to the sender.
    pub members: u32,
}

/// Contents of a gossip message besides membership.
#[derive(Debug, Clone, Default)]
pub struct GossipPayload {
    /// State of the contracts at the sender.
    pub contracts: ContractStatus,
    /// Notices of leaving backend servers.
    pub leaving: Vec<LeavingNotice>,
}

#[derive(Debug, Clone)]
struct MemberRecord {
    member: Member,
    changed_at: MonoMs,
    transmissions_left: u32,
}

/// The membership view of one instance.
#[derive(Debug, Clone)]
pub struct Membership {
    me: Member,
    records: BTreeMap<InstanceId, MemberRecord>,
    order: Vec<InstanceId>,
    probe_outcomes: VecDeque<bool>,
    probes: u32,
    responses_behind: u32,
    full_state_at: Option<MonoMs>,
    ticked_at: Option<MonoMs>,
    rng: SmallRng,
}

impl Membership {
    /// Creates a view that holds only this instance. `seed` seeds its random choices.
    pub fn new(me: Member, seed: u64) -> Self {
        Membership {
            me,
            records: BTreeMap::new(),
            order: Vec::new(),
            probe_outcomes: VecDeque::new(),
            probes: 0,
            responses_behind: 0,
            full_state_at: None,
            ticked_at: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The record of this instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All known members, this instance first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.records.values().map(|record| &record.member))
    }

    /// Marks this instance as leaving.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
        self.me.incarnation += 1;
    }

    /// Sets whether callers may be sent to this instance.
    pub fn set_listing(&mut self, listing: ListingState) {
        if self.me.listing != listing {
            self.me.listing = listing;
            self.me.incarnation += 1;
        }
    }

    /// Whether most of the recent probes got no response, neither directly nor indirectly.
    pub fn is_isolated(&self) -> bool {
        let answered = self
            .probe_outcomes
            .iter()
            .filter(|answered| **answered)
            .count();
        self.probe_outcomes.len() >= MIN_PROBE_OUTCOMES && answered * 2 < self.probe_outcomes.len()
    }

    /// The next member to probe. Every member that is not dead is probed once per shuffled round.
    pub fn probe_target(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(id) = self.order.pop() {
                let Some(record) = self.records.get(&id) else {
                    continue;
                };
                if record.member.state != MemberState::Dead {
                    return Some(record.member.clone());
                }
            }
            self.order = self.records.keys().cloned().collect();
            self.order.shuffle(&mut self.rng);
        }
        None
    }

    /// Occasionally returns a dead member to probe, which responds if it was only isolated.
    pub fn dead_probe_target(&mut self) -> Option<Member> {
        self.probes = self.probes.wrapping_add(1);
        if !self.probes.is_multiple_of(DEAD_PROBE_EVERY) {
            return None;
        }
        let is_dead = |record: &&MemberRecord| record.member.state == MemberState::Dead;
        let dead: Vec<&MemberRecord> = self.records.values().filter(is_dead).collect();
        Some(dead.choose(&mut self.rng)?.member.clone())
    }

    /// Members that are to probe `target` indirectly, which did not respond.
    pub fn indirect_probers(&mut self, target: &InstanceId) -> Vec<Member> {
        let mut probers = Vec::new();
        for record in self.records.values() {
            if record.member.state == MemberState::Alive && record.member.id != *target {
                probers.push(record.member.clone());
            }
        }
        probers.shuffle(&mut self.rng);
        probers.truncate(INDIRECT_PROBES);
        probers
    }

    /// The message of a probe. A member that is recorded as suspect, leaving or dead receives that
    /// record, so that it can refute it.
    pub fn probe(&mut self, to: Option<&InstanceId>, payload: GossipPayload) -> Gossip {
        let want_all = self.full_state_at.is_none();
        let member = to.and_then(|to| self.records.get(to));
        let member = member.map(|record| record.member.clone());
        let record = member.filter(|member| member.state != MemberState::Alive);
        self.message(want_all, record, payload)
    }

    /// Applies a message and returns the response.
    pub fn on_message(&mut self, gossip: &Gossip, payload: GossipPayload, now: MonoMs) -> Gossip {
        self.merge(&gossip.updates, now);
        if !gossip.want_all {
            let sender = self.outdated_sender(gossip);
            return self.message(false, sender, payload);
        }
        Gossip {
            from: self.me.id.clone(),
            updates: self.members().cloned().collect(),
            want_all: false,
            contracts: payload.contracts,
            leaving: payload.leaving,
            members: self.count(),
        }
    }

    /// Applies the response to a probe. `asked_all` is whether the probe requested the full state.
    pub fn on_probe_response(&mut self, gossip: &Gossip, asked_all: bool, now: MonoMs) {
        if asked_all {
            self.full_state_at = Some(now);
        }
        self.record_outcome(true);
        self.merge(&gossip.updates, now);
        self.responses_behind = match gossip.members > self.count() {
            true => self.responses_behind + 1,
            false => 0,
        };
        if self.responses_behind >= MAX_RESPONSES_BEHIND {
            self.responses_behind = 0;
            self.full_state_at = None;
        }
    }

    /// Records that a member responded to an indirect probe.
    pub fn on_indirect_response(&mut self) {
        self.record_outcome(true);
    }

    /// Records that a probe of `id` got no response, neither directly nor indirectly.
    pub fn on_probe_failure(&mut self, id: &InstanceId, now: MonoMs) {
        self.record_outcome(false);
        let Some(record) = self.records.get(id) else {
            return;
        };
        let state = match record.member.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        let mut member = record.member.clone();
        member.state = state;
        self.merge(&[member], now);
    }

    /// Declares expired suspects dead and removes dead members after [`FORGET_MS`].
    pub fn tick(&mut self, now: MonoMs) {
        let suspicion_ms = self.suspicion_ms();
        let last = self.ticked_at.replace(now);
        if last.is_some_and(|last| now.since_ms(last) > SUSPICION_MS) {
            self.handle_resume(now);
        }
        if self
            .full_state_at
            .is_some_and(|at| now.since_ms(at) > RESYNC_MS)
        {
            self.full_state_at = None;
        }
        let mut dead = Vec::new();
        for record in self.records.values() {
            let waited_ms = now.since_ms(record.changed_at);
            if record.member.state == MemberState::Suspect && waited_ms > suspicion_ms {
                let mut member = record.member.clone();
                member.state = MemberState::Dead;
                dead.push(member);
            }
        }
        self.merge(&dead, now);
        self.records.retain(|_, record| {
            record.member.state != MemberState::Dead || now.since_ms(record.changed_at) < FORGET_MS
        });
        if self.records.is_empty() {
            self.probe_outcomes.clear();
        }
    }

    /// Handles a pause of this process: the time limits of suspects start again, and the instance
    /// counts as isolated until it receives messages from peers.
    fn handle_resume(&mut self, now: MonoMs) {
        for record in self.records.values_mut() {
            if record.member.state == MemberState::Suspect {
                record.changed_at = now;
            }
        }
        self.full_state_at = None;
        self.probe_outcomes = VecDeque::from([false; MIN_PROBE_OUTCOMES]);
    }

    fn record_outcome(&mut self, answered: bool) {
        self.probe_outcomes.push_back(answered);
        while self.probe_outcomes.len() > PROBE_OUTCOMES_KEPT {
            self.probe_outcomes.pop_front();
        }
    }

    fn merge(&mut self, updates: &[Member], now: MonoMs) {
        let transmissions_left = self.transmissions_per_update();
        for update in updates {
            if update.id == self.me.id {
                self.refute(update);
                continue;
            }
            let newer = match self.records.get(&update.id) {
                Some(record) => update.overrides(&record.member),
                None => update.state != MemberState::Dead,
            };
            if !newer {
                continue;
            }
            if !self.records.contains_key(&update.id) {
                let index = self.rng.random_range(0..=self.order.len());
                self.order.insert(index, update.id.clone());
            }
            let new_record = MemberRecord {
                member: update.clone(),
                changed_at: now,
                transmissions_left,
            };
            self.records.insert(update.id.clone(), new_record);
        }
    }

    /// Raises the own incarnation if a record of this instance is not its own: a suspicion, or a
    /// record from before a restart, even if the clock went back.
    fn refute(&mut self, update: &Member) {
        let (theirs, ours) = (update.incarnation, self.me.incarnation);
        if theirs > ours || (theirs == ours && *update != self.me) {
            self.me.incarnation = theirs + 1;
        }
    }

    /// The recorded state of the sender, if it differs from the record in the sender's message.
    fn outdated_sender(&self, gossip: &Gossip) -> Option<Member> {
        let record = gossip
            .updates
            .iter()
            .find(|member| member.id == gossip.from)?;
        let current = &self.records.get(&gossip.from)?.member;
        (current != record).then(|| current.clone())
    }

    fn count(&self) -> u32 {
        self.records.len() as u32 + 1
    }

    fn suspicion_ms(&self) -> u64 {
        SUSPICION_MS + SUSPICION_STEP_MS * u64::from(self.count().ilog2())
    }

    /// An update is sent about 3 log2(n) times, which reaches all members with high probability.
    fn transmissions_per_update(&self) -> u32 {
        3 * (usize::BITS - (self.records.len() + 1).leading_zeros())
    }

    fn message(
        &mut self,
        want_all: bool,
        sender: Option<Member>,
        payload: GossipPayload,
    ) -> Gossip {
        let mut updates = vec![self.me.clone()];
        updates.extend(sender);
        let mut pending = Vec::new();
        for record in self.records.values_mut() {
            if record.transmissions_left > 0 {
                pending.push(record);
            }
        }
        pending.sort_by_key(|record| std::cmp::Reverse(record.transmissions_left));
        pending.truncate(UPDATES_PER_MESSAGE - updates.len());
        for record in pending {
            record.transmissions_left -= 1;
            updates.push(record.member.clone());
        }
        Gossip {
            from: self.me.id.clone(),
            updates,
            want_all,
            contracts: payload.contracts,
            leaving: payload.leaving,
            members: self.count(),
        }
    }
}
