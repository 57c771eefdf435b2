//! The contracts in force on one instance. Changes are applied in the order of their numbers, and
//! an entry is never replaced by an older one.
//!
//! Every accepted change gets the next number of one log, like the sequence number of a link-state
//! packet in Perlman, "Fault-Tolerant Broadcast of Routing Information" (1983). A transaction of
//! the platform's table service assigns the number, so it neither wraps nor restarts, and the age
//! field of the paper is not needed.

use std::sync::Arc;

use rpds::{HashTrieMapSync, RedBlackTreeMapSync};
use serde::{Deserialize, Serialize};

use crate::contract::{ApiKeyDigest, Contract};
use crate::ids::CustomerId;

/// Changes kept in memory for peers that are behind. A peer that is further behind gets a snapshot.
pub const CHANGES_KEPT: usize = 4_096;

/// One accepted change: the complete new contract of one customer, or its removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractChange {
    /// Position in the log, counted from 1 without gaps.
    pub number: u64,
    /// Identifier chosen by the instance that accepted the change.
    pub change_id: String,
    /// The customer whose contract changed.
    pub customer: CustomerId,
    /// Version of the customer's contract after this change, counted from 1.
    pub version: u64,
    /// The contract in force from this change on; `None` removes the contract.
    pub contract: Option<Arc<Contract>>,
}

/// One customer's contract with its version, or the tombstone of a removed one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ContractEntry {
    /// Version of the customer's contract, counted from 1.
    pub version: u64,
    /// Number of the change that wrote this entry.
    pub number: u64,
    /// The contract; `None` after a removal.
    pub contract: Option<Arc<Contract>>,
}

/// Contract changes as sent between instances: those after the number that the receiver has
/// applied, or a snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ContractSyncData {
    /// The changes after the receiver's number, in ascending order.
    Changes(Vec<ContractChange>),
    /// All entries, for a receiver that lacks changes which are no longer kept.
    Snapshot {
        /// Every change up to this number is included in the entries.
        number: u64,
        /// All entries. An entry read from the table service may already include a later change.
        entries: Vec<(CustomerId, ContractEntry)>,
    },
}

/// The contracts in force, with the most recent changes.
///
/// The maps are persistent and share their nodes, so the cost of a clone does not depend on the
/// number of customers.
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
    /// An empty registry that keeps the last `changes_kept` changes for peers.
    pub fn with_log_capacity(changes_kept: usize) -> Self {
        ContractRegistry {
            changes_kept,
            number: 0,
            entries: HashTrieMapSync::default(),
            by_key: HashTrieMapSync::default(),
            log: RedBlackTreeMapSync::default(),
        }
    }

    /// Most changes kept for peers.
    pub fn changes_kept(&self) -> usize {
        self.changes_kept
    }

    /// Number of the last applied change; 0 before the first one.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// One customer's entry; `None` if the customer never had a contract.
    pub fn get(&self, customer: &CustomerId) -> Option<&ContractEntry> {
        self.entries.get(customer)
    }

    /// All entries, including those of removed contracts, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = (&CustomerId, &ContractEntry)> {
        self.entries.iter()
    }

    /// The contract of the customer that an API key authenticates.
    pub fn by_api_key(&self, key: &str) -> Option<&Arc<Contract>> {
        self.by_key_digest(&ApiKeyDigest::of(key))
    }

    /// The contract of the customer that an API key with this digest authenticates.
    pub fn by_key_digest(&self, key: &ApiKeyDigest) -> Option<&Arc<Contract>> {
        let customer = self.by_key.get(key)?;
        self.entries.get(customer)?.contract.as_ref()
    }

    /// Applies a change if its number is the next one. Returns whether it was applied.
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

    /// Applies the answer of a peer or of the table service. Returns how many changes were applied;
    /// a snapshot counts as one.
    pub fn apply_update(&mut self, data: &ContractSyncData) -> usize {
        match data {
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

    /// The changes that a peer lacks which has applied all up to `number`.
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

    /// Stores an entry and its API keys, unless a snapshot has already brought a later entry.
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

    /// Number of the latest change of the customer that holds a key; 0 if no customer holds it.
    fn key_number(&self, key: &ApiKeyDigest) -> u64 {
        let holder = self.by_key.get(key).and_then(|c| self.entries.get(c));
        holder.map_or(0, |entry| entry.number)
    }
}
