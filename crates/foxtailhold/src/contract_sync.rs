//! Keeps one instance's contracts up to date, and decides whether they are known to be current.
//!
//! Follows Perlman, "Fault-Tolerant Broadcast of Routing Information" (1983): the highest number
//! wins, and an instance that restarts requests everything from a neighbour. Two things differ. The
//! table service assigns the numbers, so a change is flooded only after it is committed; and a
//! periodic read of the head number finds changes whose flooded messages were lost.
//!
//! A *confirmation* states that at the time `as_of` no change after `number` had been accepted. It
//! comes from a read of the head row, or from a peer's answer that forwards such a read with its
//! age.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::act_lease::ActLease;
use crate::contract_registry::{ContractChange, ContractRegistry, ContractSyncData};
use crate::ids::CustomerId;
use crate::time::MonoMs;

/// Age of the last confirmation at which the head row is read.
pub const POLL_AFTER_MS: u64 = 2_000;
/// Upper bound of the jitter added to [`POLL_AFTER_MS`], which keeps instances from reading in
/// step.
pub const POLL_JITTER_MS: u64 = 200;
/// Age of the last confirmation beyond which an instance cannot prove that it is current.
pub const CURRENT_BOUND_MS: u64 = 4_500;
/// Time after which a step without a result is taken as failed.
pub const STEP_LIMIT_MS: u64 = 2_500;
/// Base wait after a read that failed, was stale or brought nothing new.
pub const RETRY_MS: u64 = 500;
/// Log rows replayed over a scan of contract rows. A scan may lag behind the head by this many
/// changes.
pub const SNAPSHOT_REPLAY_CHANGES: u64 = 1_000;
/// Most changes buffered that arrived before their predecessors.
const MAX_EARLY_CHANGES: usize = 1_000;

/// The next step to learn of changes. The caller performs it and reports the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncStep {
    /// Read the head row, which holds the number of the last accepted change.
    ReadHead,
    /// Request from a peer all changes after a number.
    AskPeer {
        /// Number of the last change that this instance has applied.
        after: u64,
    },
    /// Read the log rows after a number from the table service.
    ReadLog {
        /// Number of the last change that this instance has applied.
        after: u64,
    },
    /// Read all contract rows and the end of the log from the table service.
    ReadSnapshot,
}

/// Whether callers may be sent to an instance. Ordered from the least to the most suitable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListingState {
    /// The instance has not loaded the contracts yet.
    Loading,
    /// The instance reaches neither the table service nor most of its peers.
    CutOff,
    /// The instance has known for [`CURRENT_BOUND_MS`] of a change that it could not obtain.
    Behind,
    /// The instance is current; or it has no recent confirmation, but knows of no missing change
    /// and reaches its peers, which is so while the table service is down for all.
    Listed,
}

/// The state of an instance's contracts as it is sent to peers by gossip.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractStatus {
    /// Number of the last applied change.
    pub number: u64,
    /// Age of the last confirmation that no later change was accepted; `None` if there was none.
    pub confirmed_age_ms: Option<u32>,
}

/// The result of [`SyncStep::ReadSnapshot`].
#[derive(Debug, Clone, PartialEq)]
pub struct ContractStoreSnapshot {
    /// The head number, read before the rows.
    pub head: u64,
    /// Number after which the log is replayed over the rows: [`SNAPSHOT_REPLAY_CHANGES`] before the
    /// head.
    pub replay_after: u64,
    /// All contract rows, each including every change up to that number.
    pub entries: Vec<(CustomerId, crate::contract_registry::ContractEntry)>,
    /// The log rows after that number.
    pub replayed: Vec<ContractChange>,
}

#[derive(Debug, Clone, Copy)]
struct Confirmation {
    number: u64,
    as_of: MonoMs,
}

/// One instance's contracts, with the state that tells whether they are current and what to read
/// next.
#[derive(Debug, Clone, Default)]
pub struct ContractSync {
    registry: ContractRegistry,
    loaded: bool,
    /// Number up to which changes must be applied to complete a load from the table service.
    load_target: Option<u64>,
    confirmed_at: Option<MonoMs>,
    /// Latest confirmation of a number that this instance has not applied yet.
    pending_confirmation: Option<Confirmation>,
    known_head: u64,
    behind_since: Option<MonoMs>,
    /// Changes that arrived before their predecessors, by number.
    early: BTreeMap<u64, ContractChange>,
    step_until: Option<MonoMs>,
    wait_until: MonoMs,
    /// Fetches in a row that brought nothing new. They alternate between a peer and the store.
    fetches: u32,
}

impl ContractSync {
    /// Starts with no contracts loaded; keeps the last `changes_kept` changes for peers.
    pub fn with_log_capacity(changes_kept: usize) -> Self {
        ContractSync {
            registry: ContractRegistry::with_log_capacity(changes_kept),
            ..ContractSync::default()
        }
    }

    /// The contracts in force.
    pub fn registry(&self) -> &ContractRegistry {
        &self.registry
    }

    /// Whether all contracts have been loaded since the process started.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// The status to send to peers.
    pub fn status(&self, now: MonoMs) -> ContractStatus {
        let age = |at: MonoMs| u32::try_from(now.since_ms(at)).unwrap_or(u32::MAX);
        ContractStatus {
            number: self.registry.number(),
            confirmed_age_ms: self.confirmed_at.map(age),
        }
    }

    /// Leave to refuse what the contracts do not allow, for [`CURRENT_BOUND_MS`] after the last
    /// confirmation; `None` if there was none.
    pub fn lease(&self) -> Option<ActLease> {
        let confirmed_at = self.confirmed_at?;
        Some(ActLease::new(confirmed_at, CURRENT_BOUND_MS))
    }

    /// Whether callers may be sent to this instance. `cut_off` means that most probes of peers
    /// fail.
    pub fn listing(&self, cut_off: bool, now: MonoMs) -> ListingState {
        if !self.loaded {
            return ListingState::Loading;
        }
        let older = |at: MonoMs| now.since_ms(at) > CURRENT_BOUND_MS;
        if !self.confirmed_at.is_none_or(older) {
            return ListingState::Listed;
        }
        if cut_off {
            return ListingState::CutOff;
        }
        if self.behind_since.is_some_and(older) {
            return ListingState::Behind;
        }
        ListingState::Listed
    }

    /// Applies committed changes from a push or an answer. Returns whether any was applied.
    pub fn on_data(&mut self, data: &ContractSyncData, now: MonoMs) -> bool {
        let before = self.registry.number();
        match data {
            ContractSyncData::Changes(changes) => {
                for change in changes {
                    self.apply_or_buffer(change, now);
                }
            }
            ContractSyncData::Snapshot { number, .. } => {
                self.observe_head(*number, now);
                self.registry.apply_update(data);
            }
        }
        self.apply_early();
        self.number_advanced(now);
        self.registry.number() > before
    }

    /// Applies the complete answer of a loaded peer to [`SyncStep::AskPeer`].
    pub fn on_peer_answer(&mut self, data: &ContractSyncData, now: MonoMs) -> bool {
        let applied = self.on_data(data, now);
        let progress = applied || !self.loaded;
        self.loaded |= self.load_target.is_none();
        self.step_done(progress, now);
        applied
    }

    /// Applies the result of [`SyncStep::ReadLog`].
    pub fn on_log(&mut self, changes: Vec<ContractChange>, now: MonoMs) -> bool {
        let applied = self.on_data(&ContractSyncData::Changes(changes), now);
        self.step_done(applied, now);
        applied
    }

    /// Applies the result of [`SyncStep::ReadSnapshot`].
    pub fn on_store_snapshot(&mut self, snapshot: ContractStoreSnapshot, now: MonoMs) -> bool {
        let newest = snapshot.entries.iter().map(|(_, entry)| entry.number);
        let head = newest.fold(snapshot.head, u64::max);
        let rows = ContractSyncData::Snapshot {
            number: snapshot.replay_after,
            entries: snapshot.entries,
        };
        self.load_target = self.load_target.max(Some(head));
        self.observe_head(head, now);
        let replaced = self.on_data(&rows, now);
        let applied = self.on_data(&ContractSyncData::Changes(snapshot.replayed), now);
        self.step_done(replaced || applied, now);
        replaced || applied
    }

    /// Handles the head number returned by a read that was sent at `sent_at`, when the last applied
    /// change was `local_number`. A lower head number comes from a stale read and confirms nothing.
    pub fn on_head(&mut self, number: u64, sent_at: MonoMs, local_number: u64, now: MonoMs) {
        self.step_done(true, now);
        if number < local_number {
            self.wait_until = now + RETRY_MS;
            return;
        }
        self.confirm(number, sent_at, now);
    }

    /// Handles a peer's status. `sent_at` is when this instance sent the message that the peer
    /// answers. It is `None` for a message that answers none, which confirms nothing, since nothing
    /// bounds its time in transit.
    pub fn on_peer_status(&mut self, status: ContractStatus, sent_at: Option<MonoMs>, now: MonoMs) {
        self.observe_head(status.number, now);
        let (Some(sent_at), Some(age_ms)) = (sent_at, status.confirmed_age_ms) else {
            return;
        };
        if status.number < self.registry.number() || sent_at.0 < u64::from(age_ms) {
            return;
        }
        let as_of = MonoMs(sent_at.0 - u64::from(age_ms));
        self.confirm(status.number, as_of, now);
    }

    /// Handles a failed step. A failed request to a peer is followed at once by a read of the table
    /// service; other steps wait.
    pub fn on_failed(&mut self, step: SyncStep, random: u64, now: MonoMs) {
        self.step_until = None;
        let from_peer = matches!(step, SyncStep::AskPeer { .. });
        if !from_peer {
            self.wait_until = now + RETRY_MS + random % RETRY_MS;
        }
    }

    /// The step to perform now; `None` while one is in progress or nothing is due.
    pub fn next_step(&mut self, random: u64, now: MonoMs) -> Option<SyncStep> {
        if now < self.wait_until || self.step_until.is_some_and(|until| now < until) {
            return None;
        }
        let step = self.due_step(random, now)?;
        if step != SyncStep::ReadHead {
            self.fetches += 1;
        }
        self.step_until = Some(now + STEP_LIMIT_MS);
        Some(step)
    }

    fn due_step(&self, random: u64, now: MonoMs) -> Option<SyncStep> {
        let after = self.registry.number();
        let from_peer = self.fetches.is_multiple_of(2);
        let behind = self.known_head > after;
        if from_peer && (!self.loaded || behind) {
            return Some(SyncStep::AskPeer { after });
        }
        if !self.loaded && self.load_target.is_none() {
            return Some(SyncStep::ReadSnapshot);
        }
        if self.known_head > after + self.registry.changes_kept() as u64 {
            return Some(SyncStep::ReadSnapshot);
        }
        if behind {
            return Some(SyncStep::ReadLog { after });
        }
        let poll_after_ms = POLL_AFTER_MS + random % POLL_JITTER_MS;
        let due = |at: MonoMs| now.since_ms(at) >= poll_after_ms;
        self.confirmed_at
            .is_none_or(due)
            .then_some(SyncStep::ReadHead)
    }

    fn apply_or_buffer(&mut self, change: &ContractChange, now: MonoMs) {
        self.observe_head(change.number, now);
        if change.number <= self.registry.number() || self.registry.apply(change) {
            return;
        }
        if self.early.len() < MAX_EARLY_CHANGES {
            self.early.insert(change.number, change.clone());
        }
    }

    fn apply_early(&mut self) {
        while let Some((number, change)) = self.early.pop_first() {
            if number <= self.registry.number() || self.registry.apply(&change) {
                continue;
            }
            self.early.insert(number, change);
            break;
        }
    }

    fn observe_head(&mut self, number: u64, now: MonoMs) {
        self.known_head = self.known_head.max(number);
        if self.known_head > self.registry.number() && self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    fn confirm(&mut self, number: u64, as_of: MonoMs, now: MonoMs) {
        self.observe_head(number, now);
        if number > self.registry.number() {
            if self
                .pending_confirmation
                .is_none_or(|kept| kept.as_of < as_of)
            {
                self.pending_confirmation = Some(Confirmation { number, as_of });
            }
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Updates everything that depends on the number of the last applied change.
    fn number_advanced(&mut self, now: MonoMs) {
        let number = self.registry.number();
        if self.load_target.is_some_and(|until| number >= until) {
            self.loaded = true;
        }
        if number >= self.known_head {
            self.behind_since = None;
        }
        if let Some(confirmation) = self
            .pending_confirmation
            .take_if(|confirmation| number >= confirmation.number)
        {
            self.confirm(confirmation.number, confirmation.as_of, now);
        }
    }

    fn step_done(&mut self, progress: bool, now: MonoMs) {
        self.step_until = None;
        if progress {
            self.fetches = 0;
            return;
        }
        if self.fetches > 1 {
            self.wait_until = now + RETRY_MS;
        }
    }
}
