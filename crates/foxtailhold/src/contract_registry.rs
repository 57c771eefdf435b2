//! The contracts in force on one instance, applied by number only and never backwards.
//!
//! Every accepted change carries the next number of one log, as a link-state packet carries a
//! sequence number in Perlman, "Fault-Tolerant Broadcast of Routing Information" (1983). The
//! number comes from a transaction of the platform's table service, so it neither wraps nor
//! restarts, and the paper's age field is not needed.

use std::sync::Arc;

use rpds::{HashTrieMapSync, RedBlackTreeMapSync};
use serde::{Deserialize, Serialize};

use crate::contract::{ApiKeyDigest, Contract};
use crate::ids::CustomerId;

/// Changes kept for peers that ask for them; a peer further behind gets the whole book.
pub const CHANGES_KEPT: usize = 4_096;

/// One accepted change: the whole new contract of one customer, or its removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractChange {
    /// Position in the log, from 1, without gaps.
    pub number: u64,
    /// Identifier chosen by the instance that wrote it.
    pub change_id: String,
    /// Whose contract.
    pub customer: CustomerId,
    /// The customer's version after this change, from 1.
    pub version: u64,
    /// The contract in force from this number on; `None` removes it.
    pub contract: Option<Arc<Contract>>,
}

/// One customer's contract with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractEntry {
    /// The customer's version.
    pub version: u64,
    /// The number of the change that set it.
    pub number: u64,
    /// The contract; `None` after a removal.
    pub contract: Option<Arc<Contract>>,
}

/// What a peer gets when it asks for everything after a number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ContractSyncData {
    /// The changes after the number, in order.
    Changes(Vec<ContractChange>),
    /// The whole book, for a peer that is too far behind.
    Snapshot {
        /// The number the entries stand at.
        number: u64,
        /// All entries. One read from the platform's rows may stand at a later number already.
        entries: Vec<(CustomerId, ContractEntry)>,
    },
}

/// The contracts in force, with the recent part of the log.
///
/// A clone costs the same whatever the number of customers: the maps share their nodes.
#[derive(Debug, Clone)]
pub struct ContractRegistry {
    changes_kept: usize,
    number: u64,
    entries: HashTrieMapSync<CustomerId, ContractEntry>,
    by_key: HashTrieMapSync<ApiKeyDigest, CustomerId>,
    log: RedBlackTreeMapSync<u64, ContractChange>,
}

impl Default for ContractRegistry {
    fn default() -> Self {
        ContractRegistry::with_log_capacity(CHANGES_KEPT)
    }
}

impl ContractRegistry {
    /// An empty book that keeps the last `changes_kept` changes for peers.
    pub fn with_log_capacity(changes_kept: usize) -> Self {
        ContractRegistry {
            changes_kept,
            number: 0,
            entries: HashTrieMapSync::default(),
            by_key: HashTrieMapSync::default(),
            log: RedBlackTreeMapSync::default(),
        }
    }

    /// Changes kept for peers at most.
    pub fn changes_kept(&self) -> usize {
        self.changes_kept
    }

    /// The number of the last change applied.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// One customer's entry.
    pub fn get(&self, customer: &CustomerId) -> Option<&ContractEntry> {
        self.entries.get(customer)
    }

    /// All entries, in no order.
    pub fn entries(&self) -> impl Iterator<Item = (&CustomerId, &ContractEntry)> {
        self.entries.iter()
    }

    /// The contract that an API key names.
    pub fn by_api_key(&self, key: &str) -> Option<&Arc<Contract>> {
        self.by_key_digest(&ApiKeyDigest::of(key))
    }

    /// The contract that names an API key by its digest.
    pub fn by_key_digest(&self, key: &ApiKeyDigest) -> Option<&Arc<Contract>> {
        let customer = self.by_key.get(key)?;
        self.entries.get(customer)?.contract.as_ref()
    }

    /// Applies one change if it is the next one. Returns whether it was applied.
    pub fn apply(&mut self, change: &ContractChange) -> bool {
        if change.number != self.number + 1 {
            return false;
        }
        self.number = change.number;
        self.store(
            &change.customer,
            ContractEntry {
                version: change.version,
                number: change.number,
                contract: change.contract.clone(),
            },
        );
        self.log.insert_mut(change.number, change.clone());
        while self.log.size() > self.changes_kept {
            let Some(first) = self.log.first().map(|(number, _)| *number) else {
                break;
            };
            self.log.remove_mut(&first);
        }
        true
    }

    /// Applies what a peer or the store answered. Returns how many changes took effect; a snapshot
    /// counts as one.
    pub fn apply_update(&mut self, catchup: &ContractSyncData) -> usize {
        match catchup {
            ContractSyncData::Changes(changes) => {
                let mut applied = 0;
                for change in changes {
                    applied += usize::from(self.apply(change));
                }
                applied
            }
            ContractSyncData::Snapshot { number, entries } => {
                if *number <= self.number {
                    return 0;
                }
                self.replace(*number, entries);
                1
            }
        }
    }

    /// What a peer that stands at `number` is missing.
    pub fn updates_after(&self, number: u64) -> ContractSyncData {
        let first_kept = self.log.first().map_or(self.number + 1, |(n, _)| *n);
        if number + 1 >= first_kept {
            let changes = self.log.range(number + 1..);
            return ContractSyncData::Changes(changes.map(|(_, change)| change.clone()).collect());
        }
        let entries = self.entries.iter().map(|(c, e)| (c.clone(), e.clone()));
        ContractSyncData::Snapshot {
            number: self.number,
            entries: entries.collect(),
        }
    }

    fn replace(&mut self, number: u64, entries: &[(CustomerId, ContractEntry)]) {
        *self = ContractRegistry::with_log_capacity(self.changes_kept);
        self.number = number;
        for (customer, entry) in entries {
            self.store(customer, entry.clone());
        }
    }

    /// Stores an entry unless a later one is there, which a snapshot may have brought.
    fn store(&mut self, customer: &CustomerId, entry: ContractEntry) {
        let old = self.entries.get(customer);
        if old.is_some_and(|old| old.number > entry.number) {
            return;
        }
        if let Some(old) = old.and_then(|old| old.contract.clone()) {
            for key in &old.api_keys {
                if self.by_key.get(key) == Some(customer) {
                    self.by_key.remove_mut(key);
                }
            }
        }
        if let Some(contract) = &entry.contract {
            for key in &contract.api_keys {
                if self.key_number(key) <= entry.number {
                    self.by_key.insert_mut(key.clone(), customer.clone());
                }
            }
        }
        self.entries.insert_mut(customer.clone(), entry);
    }

    /// The number of the change that gave a key to its customer, 0 for a key of nobody.
    fn key_number(&self, key: &ApiKeyDigest) -> u64 {
        let holder = self.by_key.get(key).and_then(|c| self.entries.get(c));
        holder.map_or(0, |entry| entry.number)
    }
}
