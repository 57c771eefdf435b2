//! Keeps one instance's contracts up to date, and judges whether they are known to be current.
//!
//! After Perlman (1983): the newest number wins, and an instance that restarts asks a neighbour
//! for everything. What differs: the numbers come from the table service, so a change is flooded
//! after it is committed, and a slow read of the head number catches what the flood lost.
//!
//! *Evidence* is the statement "at moment `as_of` no change after `number` was accepted". It comes
//! from a read of the head row, or from a peer's answer that passes such a read on with its age.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::contract_registry::{ContractChange, ContractRegistry, ContractSyncData};
use crate::ids::CustomerId;
use crate::time::MonoMs;

/// The head row is read when the last evidence is older than this.
pub const POLL_AFTER_MS: u64 = 2_000;
/// Most that is added to a wait, so that instances drift apart.
pub const POLL_JITTER_MS: u64 = 200;
/// An instance whose evidence is older than this cannot show that it is current.
pub const CURRENT_BOUND_MS: u64 = 4_500;
/// A step that has not ended after this time is taken as failed.
pub const STEP_LIMIT_MS: u64 = 2_500;
/// Wait after a read of the head row that failed, before jitter.
pub const RETRY_MS: u64 = 500;
/// Log rows replayed over a scan of contract rows; a scan may lag by as many changes.
pub const SNAPSHOT_REPLAY_CHANGES: u64 = 1_000;
/// Changes kept that came before their predecessors.
const EARLY_KEPT: usize = 1_000;

/// What to do next to learn of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncStep {
    /// Read the head row.
    ReadHead,
    /// Ask a peer for everything after a number.
    AskPeer {
        /// The number.
        after: u64,
    },
    /// Read the log rows after a number.
    ReadLog {
        /// The number.
        after: u64,
    },
    /// Read all contract rows and the end of the log.
    ReadSnapshot,
}

/// Whether an instance may be given to callers, the least fit first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListingState {
    /// It has no contracts yet.
    Loading,
    /// It hears neither the store nor most of its peers.
    CutOff,
    /// It knows of a change that it cannot get.
    Behind,
    /// It is current, or the store gives no evidence to anybody it hears.
    Listed,
}

/// What an instance tells peers of its contracts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractStatus {
    /// Number of the last change applied.
    pub number: u64,
    /// Age of its evidence that no later change was accepted; `None` without evidence.
    pub confirmed_age_ms: Option<u32>,
}

/// The contract rows read from the table service.
#[derive(Debug, Clone, PartialEq)]
pub struct ContractStoreSnapshot {
    /// The head number read before the rows.
    pub head: u64,
    /// The number from which the log is replayed over the rows, [`SNAPSHOT_REPLAY_CHANGES`] before the head.
    pub replay_after: u64,
    /// All rows, each at least as new as the replay_after.
    pub entries: Vec<(CustomerId, crate::contract_registry::ContractEntry)>,
    /// The log rows after the replay_after.
    pub replayed: Vec<ContractChange>,
}

#[derive(Debug, Clone, Copy)]
struct Evidence {
    number: u64,
    as_of: MonoMs,
}

/// One instance's contracts with what is known of their currency.
#[derive(Debug, Clone, Default)]
pub struct ContractSync {
    book: ContractRegistry,
    loaded: bool,
    load_until: Option<u64>,
    confirmed_at: Option<MonoMs>,
    unreached: Option<Evidence>,
    head_known: u64,
    behind_since: Option<MonoMs>,
    early: BTreeMap<u64, ContractChange>,
    busy_until: Option<MonoMs>,
    wait_until: MonoMs,
    fetches: u32,
}

impl ContractSync {
    /// Nothing loaded, with a book that keeps `changes_kept` changes for peers.
    pub fn with_log_capacity(changes_kept: usize) -> Self {
        ContractSync {
            book: ContractRegistry::with_log_capacity(changes_kept),
            ..ContractSync::default()
        }
    }

    /// The contracts in force.
    pub fn registry(&self) -> &ContractRegistry {
        &self.book
    }

    /// Whether the contracts were loaded since the start.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// What peers are told.
    pub fn status(&self, now: MonoMs) -> ContractStatus {
        let age = |at: MonoMs| u32::try_from(now.since_ms(at)).unwrap_or(u32::MAX);
        ContractStatus {
            number: self.book.number(),
            confirmed_age_ms: self.confirmed_at.map(age),
        }
    }

    /// Whether the instance may be given to callers; `cut_off` tells that most probes of peers fail.
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

    /// Takes in changes known to be committed, of a push or an answer. Returns whether any was
    /// applied.
    pub fn on_catchup(&mut self, catchup: &ContractSyncData, now: MonoMs) -> bool {
        let before = self.book.number();
        match catchup {
            ContractSyncData::Changes(changes) => {
                for change in changes {
                    self.take(change, now);
                }
            }
            ContractSyncData::Snapshot { number, .. } => {
                self.head_seen(*number, now);
                self.book.apply_update(catchup);
            }
        }
        self.apply_early();
        self.moved(now);
        self.book.number() > before
    }

    /// Takes in a loaded peer's whole answer to [`SyncStep::AskPeer`].
    pub fn on_peer_answer(&mut self, catchup: &ContractSyncData, now: MonoMs) -> bool {
        let applied = self.on_catchup(catchup, now);
        let news = applied || !self.loaded;
        self.loaded |= self.load_until.is_none();
        self.step_done(news, now);
        applied
    }

    /// Takes in the answer to [`SyncStep::ReadLog`].
    pub fn on_log(&mut self, changes: Vec<ContractChange>, now: MonoMs) -> bool {
        let applied = self.on_catchup(&ContractSyncData::Changes(changes), now);
        self.step_done(applied, now);
        applied
    }

    /// Takes in the answer to [`SyncStep::ReadSnapshot`].
    pub fn on_store_snapshot(&mut self, snapshot: ContractStoreSnapshot, now: MonoMs) -> bool {
        let newest = snapshot.entries.iter().map(|(_, entry)| entry.number);
        let head = newest.fold(snapshot.head, u64::max);
        let rows = ContractSyncData::Snapshot {
            number: snapshot.replay_after,
            entries: snapshot.entries,
        };
        self.load_until = self.load_until.max(Some(head));
        self.head_seen(head, now);
        let replaced = self.on_catchup(&rows, now);
        let applied = self.on_catchup(&ContractSyncData::Changes(snapshot.replayed), now);
        self.step_done(replaced || applied, now);
        replaced || applied
    }

    /// Takes in the head number that a read sent at `sent_at` returned, when the instance stood at
    /// `stood_at`. A lower number than that is a read of the past and shows nothing.
    pub fn on_head(&mut self, number: u64, sent_at: MonoMs, stood_at: u64, now: MonoMs) {
        self.step_done(true, now);
        if number < stood_at {
            self.wait_until = now + RETRY_MS;
            return;
        }
        self.evidence(number, sent_at, now);
    }

    /// Takes in what a peer told. `sent_at` is when the message that it answers was sent; a peer's
    /// own message is no evidence, as nothing bounds its time on the way.
    pub fn on_peer_status(&mut self, advert: ContractStatus, sent_at: Option<MonoMs>, now: MonoMs) {
        self.head_seen(advert.number, now);
        let (Some(sent_at), Some(age_ms)) = (sent_at, advert.confirmed_age_ms) else {
            return;
        };
        if advert.number < self.book.number() || sent_at.0 < u64::from(age_ms) {
            return;
        }
        let as_of = MonoMs(sent_at.0 - u64::from(age_ms));
        self.evidence(advert.number, as_of, now);
    }

    /// Notes that a step failed.
    pub fn on_failed(&mut self, step: SyncStep, draw: u64, now: MonoMs) {
        self.busy_until = None;
        let quick = matches!(step, SyncStep::AskPeer { .. });
        if !quick {
            self.wait_until = now + RETRY_MS + draw % RETRY_MS;
        }
    }

    /// The step to take now, if any.
    pub fn next_step(&mut self, draw: u64, now: MonoMs) -> Option<SyncStep> {
        if now < self.wait_until || self.busy_until.is_some_and(|until| now < until) {
            return None;
        }
        let step = self.wanted(draw, now)?;
        if step != SyncStep::ReadHead {
            self.fetches += 1;
        }
        self.busy_until = Some(now + STEP_LIMIT_MS);
        Some(step)
    }

    fn wanted(&self, draw: u64, now: MonoMs) -> Option<SyncStep> {
        let after = self.book.number();
        let of_peer = self.fetches.is_multiple_of(2);
        let behind = self.head_known > after;
        if of_peer && (!self.loaded || behind) {
            return Some(SyncStep::AskPeer { after });
        }
        if !self.loaded && self.load_until.is_none() {
            return Some(SyncStep::ReadSnapshot);
        }
        if self.head_known > after + self.book.changes_kept() as u64 {
            return Some(SyncStep::ReadSnapshot);
        }
        if behind {
            return Some(SyncStep::ReadLog { after });
        }
        let poll_after_ms = POLL_AFTER_MS + draw % POLL_JITTER_MS;
        let due = |at: MonoMs| now.since_ms(at) >= poll_after_ms;
        self.confirmed_at
            .is_none_or(due)
            .then_some(SyncStep::ReadHead)
    }

    fn take(&mut self, change: &ContractChange, now: MonoMs) {
        self.head_seen(change.number, now);
        if change.number <= self.book.number() || self.book.apply(change) {
            return;
        }
        if self.early.len() < EARLY_KEPT {
            self.early.insert(change.number, change.clone());
        }
    }

    fn apply_early(&mut self) {
        while let Some((number, change)) = self.early.pop_first() {
            if number <= self.book.number() || self.book.apply(&change) {
                continue;
            }
            self.early.insert(number, change);
            break;
        }
    }

    fn head_seen(&mut self, number: u64, now: MonoMs) {
        self.head_known = self.head_known.max(number);
        if self.head_known > self.book.number() && self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    fn evidence(&mut self, number: u64, as_of: MonoMs, now: MonoMs) {
        self.head_seen(number, now);
        if number > self.book.number() {
            if self.unreached.is_none_or(|kept| kept.as_of < as_of) {
                self.unreached = Some(Evidence { number, as_of });
            }
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Settles what depends on the number applied.
    fn moved(&mut self, now: MonoMs) {
        let number = self.book.number();
        if self.load_until.is_some_and(|until| number >= until) {
            self.loaded = true;
        }
        if number >= self.head_known {
            self.behind_since = None;
        }
        if let Some(evidence) = self.unreached.take_if(|evidence| number >= evidence.number) {
            self.evidence(evidence.number, evidence.as_of, now);
        }
    }

    fn step_done(&mut self, progress: bool, now: MonoMs) {
        self.busy_until = None;
        if progress {
            self.fetches = 0;
            return;
        }
        if self.fetches > 1 {
            self.wait_until = now + RETRY_MS;
        }
    }
}
