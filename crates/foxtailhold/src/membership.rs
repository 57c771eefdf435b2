//! The instances of the system, as one of them sees them: a full view kept by gossip with
//! incarnation numbers, after SWIM (Das, Gupta and Motivala, 2002): shuffled round-robin probes,
//! indirect probes, suspicion before removal, refutation by the suspect.

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
/// A suspect that does not refute for this long is dead, in a view of two.
pub const SUSPICION_MS: u64 = 2_000;
/// Added to it for each doubling of the view, as a refutation needs more rounds there.
pub const SUSPICION_STEP_MS: u64 = 500;
/// Answers in a row by peers that know more members, after which all is asked for.
const ANSWERS_BEHIND: u32 = 6;
/// A dead or departed member is forgotten after this time.
pub const FORGET_MS: u64 = 60_000;
/// All that a peer knows is asked for this often, to heal what gossip lost.
pub const RESYNC_MS: u64 = 60_000;
/// Members asked to probe one that did not answer.
pub const INDIRECT_PROBES: usize = 3;
/// One probe in this many goes to a dead member too, which may have been cut off.
const DEAD_PROBE_EVERY: u32 = 4;
/// Outcomes of probes that tell whether the instance is cut off.
const OUTCOMES_KEPT: usize = 10;
/// Fewest outcomes that tell it.
const OUTCOMES_NEEDED: usize = 3;
/// Most updates carried by one message.
pub const UPDATES_PER_MESSAGE: usize = 12;

/// How a member is seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Takes requests.
    Alive,
    /// A probe failed.
    Suspect,
    /// In a planned stop: finishes what it has.
    Leaving,
    /// Gone.
    Dead,
}

/// One member as told by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Raised by the instance itself, to refute a suspicion or to start anew.
    pub incarnation: u64,
    /// Its state in this incarnation.
    pub state: MemberState,
    /// Where it takes requests of callers.
    pub caller_address: SocketAddr,
    /// Where it takes messages of peers.
    pub peer_address: SocketAddr,
    /// Where it takes calls of operators.
    pub operator_address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether it may be given to callers, by its contracts.
    pub listing: ListingState,
}

impl Member {
    fn overrides(&self, known: &Member) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}

/// A gossip message; the answer has the same form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: InstanceId,
    /// Updates, the sender's own record always among them.
    pub updates: Vec<Member>,
    /// Whether the receiver should answer with all it knows.
    pub want_all: bool,
    /// What the sender has of the contracts.
    pub contracts: ContractStatus,
    /// Backend servers that are leaving.
    pub leaving: Vec<LeavingNotice>,
    /// Members that the sender knows.
    pub members: u32,
}

/// What a message carries besides membership.
#[derive(Debug, Clone, Default)]
pub struct GossipPayload {
    /// What the sender has of the contracts.
    pub contracts: ContractStatus,
    /// Backend servers that are leaving.
    pub leaving: Vec<LeavingNotice>,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    changed_at: MonoMs,
    sends_left: u32,
}

/// The view of one instance.
#[derive(Debug, Clone)]
pub struct Membership {
    me: Member,
    known: BTreeMap<InstanceId, Known>,
    order: Vec<InstanceId>,
    outcomes: VecDeque<bool>,
    probes: u32,
    behind: u32,
    synced_at: Option<MonoMs>,
    ticked_at: Option<MonoMs>,
    rng: SmallRng,
}

impl Membership {
    /// A view that holds only the instance itself. `seed` feeds its random choices.
    pub fn new(me: Member, seed: u64) -> Self {
        Membership {
            me,
            known: BTreeMap::new(),
            order: Vec::new(),
            outcomes: VecDeque::new(),
            probes: 0,
            behind: 0,
            synced_at: None,
            ticked_at: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The instance itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All members known, the instance itself first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.known.values().map(|known| &known.member))
    }

    /// Marks the instance itself as leaving.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
        self.me.incarnation += 1;
    }

    /// Changes whether the instance itself may be given to callers.
    pub fn set_listing(&mut self, listing: ListingState) {
        if self.me.listing != listing {
            self.me.listing = listing;
            self.me.incarnation += 1;
        }
    }

    /// Whether most of the last probes got no answer, directly or through others.
    pub fn is_isolated(&self) -> bool {
        let answered = self.outcomes.iter().filter(|answered| **answered).count();
        self.outcomes.len() >= OUTCOMES_NEEDED && answered * 2 < self.outcomes.len()
    }

    /// The member to probe next: each of those not dead once in a shuffled round.
    pub fn probe_target(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(id) = self.order.pop() {
                let Some(known) = self.known.get(&id) else {
                    continue;
                };
                if known.member.state != MemberState::Dead {
                    return Some(known.member.clone());
                }
            }
            self.order = self.known.keys().cloned().collect();
            self.order.shuffle(&mut self.rng);
        }
        None
    }

    /// Now and then a dead member, which answers if it was only cut off.
    pub fn dead_probe_target(&mut self) -> Option<Member> {
        self.probes = self.probes.wrapping_add(1);
        if !self.probes.is_multiple_of(DEAD_PROBE_EVERY) {
            return None;
        }
        let is_dead = |known: &&Known| known.member.state == MemberState::Dead;
        let dead: Vec<&Known> = self.known.values().filter(is_dead).collect();
        Some(dead.choose(&mut self.rng)?.member.clone())
    }

    /// Members to ask to probe `target`, which did not answer.
    pub fn indirect_probers(&mut self, target: &InstanceId) -> Vec<Member> {
        let mut helpers = Vec::new();
        for known in self.known.values() {
            if known.member.state == MemberState::Alive && known.member.id != *target {
                helpers.push(known.member.clone());
            }
        }
        helpers.shuffle(&mut self.rng);
        helpers.truncate(INDIRECT_PROBES);
        helpers
    }

    /// The message of a probe. A member thought to be suspect or dead is told so, to refute it.
    pub fn probe(&mut self, to: Option<&InstanceId>, carried: GossipPayload) -> Gossip {
        let want_all = self.synced_at.is_none();
        let known = to.and_then(|to| self.known.get(to));
        let known = known.map(|known| known.member.clone());
        let told = known.filter(|known| known.state != MemberState::Alive);
        self.message(want_all, told, carried)
    }

    /// Takes a message in and returns the answer.
    pub fn on_message(&mut self, gossip: &Gossip, carried: GossipPayload, now: MonoMs) -> Gossip {
        self.merge(&gossip.updates, now);
        if !gossip.want_all {
            let sender = self.outdated_sender(gossip);
            return self.message(false, sender, carried);
        }
        Gossip {
            from: self.me.id.clone(),
            updates: self.members().cloned().collect(),
            want_all: false,
            contracts: carried.contracts,
            leaving: carried.leaving,
            members: self.count(),
        }
    }

    /// Takes the answer to a probe in.
    pub fn on_probe_response(&mut self, gossip: &Gossip, asked_all: bool, now: MonoMs) {
        if asked_all {
            self.synced_at = Some(now);
        }
        self.note_outcome(true);
        self.merge(&gossip.updates, now);
        self.behind = match gossip.members > self.count() {
            true => self.behind + 1,
            false => 0,
        };
        if self.behind >= ANSWERS_BEHIND {
            self.behind = 0;
            self.synced_at = None;
        }
    }

    /// Notes that a member answered others, not this instance.
    pub fn on_indirect_response(&mut self) {
        self.note_outcome(true);
    }

    /// Notes that a probe of `id` got no answer, directly or through others.
    pub fn on_probe_failure(&mut self, id: &InstanceId, now: MonoMs) {
        self.note_outcome(false);
        let Some(known) = self.known.get(id) else {
            return;
        };
        let state = match known.member.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        let mut member = known.member.clone();
        member.state = state;
        self.merge(&[member], now);
    }

    /// Lets time pass: suspects become dead, the dead are forgotten.
    pub fn tick(&mut self, now: MonoMs) {
        let suspicion_ms = self.suspicion_ms();
        let last = self.ticked_at.replace(now);
        if last.is_some_and(|last| now.since_ms(last) > SUSPICION_MS) {
            self.resumed(now);
        }
        if self
            .synced_at
            .is_some_and(|at| now.since_ms(at) > RESYNC_MS)
        {
            self.synced_at = None;
        }
        let mut dead = Vec::new();
        for known in self.known.values() {
            let waited_ms = now.since_ms(known.changed_at);
            if known.member.state == MemberState::Suspect && waited_ms > suspicion_ms {
                let mut member = known.member.clone();
                member.state = MemberState::Dead;
                dead.push(member);
            }
        }
        self.merge(&dead, now);
        self.known.retain(|_, known| {
            known.member.state != MemberState::Dead || now.since_ms(known.changed_at) < FORGET_MS
        });
        if self.known.is_empty() {
            self.outcomes.clear();
        }
    }

    /// After a pause of this process, nothing that it waited for has had its time, and it must
    /// hear peers before it counts as connected.
    fn resumed(&mut self, now: MonoMs) {
        for known in self.known.values_mut() {
            if known.member.state == MemberState::Suspect {
                known.changed_at = now;
            }
        }
        self.synced_at = None;
        self.outcomes = VecDeque::from([false; OUTCOMES_NEEDED]);
    }

    fn note_outcome(&mut self, answered: bool) {
        self.outcomes.push_back(answered);
        while self.outcomes.len() > OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
    }

    fn merge(&mut self, updates: &[Member], now: MonoMs) {
        let sends_left = self.sends_of_update();
        for update in updates {
            if update.id == self.me.id {
                self.refute(update);
                continue;
            }
            let newer = match self.known.get(&update.id) {
                Some(known) => update.overrides(&known.member),
                None => update.state != MemberState::Dead,
            };
            if !newer {
                continue;
            }
            if !self.known.contains_key(&update.id) {
                let index = self.rng.random_range(0..=self.order.len());
                self.order.insert(index, update.id.clone());
            }
            let known = Known {
                member: update.clone(),
                changed_at: now,
                sends_left,
            };
            self.known.insert(update.id.clone(), known);
        }
    }

    /// Raises the own incarnation over a record of this instance that is not its own: a suspicion,
    /// or one from before a restart, also on a clock that went back.
    fn refute(&mut self, update: &Member) {
        let (theirs, ours) = (update.incarnation, self.me.incarnation);
        if theirs > ours || (theirs == ours && *update != self.me) {
            self.me.incarnation = theirs + 1;
        }
    }

    /// What is known of the sender, where it is newer than the sender's own record.
    fn outdated_sender(&self, gossip: &Gossip) -> Option<Member> {
        let told = gossip
            .updates
            .iter()
            .find(|member| member.id == gossip.from)?;
        let known = &self.known.get(&gossip.from)?.member;
        (known != told).then(|| known.clone())
    }

    fn count(&self) -> u32 {
        self.known.len() as u32 + 1
    }

    fn suspicion_ms(&self) -> u64 {
        SUSPICION_MS + SUSPICION_STEP_MS * u64::from(self.count().ilog2())
    }

    /// An update is sent on about 3 log2(n) times, enough to reach all with high probability.
    fn sends_of_update(&self) -> u32 {
        3 * (usize::BITS - (self.known.len() + 1).leading_zeros())
    }

    fn message(
        &mut self,
        want_all: bool,
        sender: Option<Member>,
        carried: GossipPayload,
    ) -> Gossip {
        let mut updates = vec![self.me.clone()];
        updates.extend(sender);
        let mut waiting = Vec::new();
        for known in self.known.values_mut() {
            if known.sends_left > 0 {
                waiting.push(known);
            }
        }
        waiting.sort_by_key(|known| std::cmp::Reverse(known.sends_left));
        waiting.truncate(UPDATES_PER_MESSAGE - updates.len());
        for known in waiting {
            known.sends_left -= 1;
            updates.push(known.member.clone());
        }
        Gossip {
            from: self.me.id.clone(),
            updates,
            want_all,
            contracts: carried.contracts,
            leaving: carried.leaving,
            members: self.count(),
        }
    }
}
