//! Contract changes in the platform's table service.
//!
//! One transaction writes the head number, the log row, the customer's row and the rows that keep
//! API keys unique. After a lost answer the same transaction is sent again: the change id in the
//! log row tells whether the first one took effect.

use std::time::Duration;

use foxtailhold::contract::Contract;
use foxtailhold::contract_registry::{ContractChange, ContractEntry};
use foxtailhold::ids::CustomerId;
use foxtailhold_operator::error::{OperatorError, Result};
use foxtailhold_operator::gateway::ContractUpdate;
use foxtailhold_platform::{Expect, Operation, PlatformError, Row, TableService, Transacted};
use serde::{Deserialize, Serialize};

use crate::contract_store::HeadRow;
use crate::tables;

/// Attempts when other changes commit in between.
const MAX_ATTEMPTS: u32 = 20;
/// Backoff after a lost race, multiplied by the number of races lost so far.
const RACE_BACKOFF_MS: u64 = 25;
/// Upper limit of the backoff after a lost race.
const MAX_RACE_BACKOFF_MS: u64 = 400;
/// Attempts to settle a transaction whose answer was lost.
const MAX_SETTLE_ATTEMPTS: u32 = 5;
/// Backoff before the first of these attempts; doubled for each further one.
const SETTLE_BACKOFF_MS: u64 = 100;

/// Row of an API key; its key in the table is the key's digest.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct KeyRow {
    customer: CustomerId,
}

/// Head and contract rows before a change, each with its row version.
struct CurrentRows {
    head: Option<(HeadRow, u64)>,
    entry: Option<(ContractEntry, u64)>,
}

impl CurrentRows {
    fn version(&self) -> u64 {
        self.entry.as_ref().map_or(0, |(entry, _)| entry.version)
    }

    fn contract(&self) -> Option<&Contract> {
        self.entry.as_ref()?.0.contract.as_deref()
    }
}

fn unavailable(error: &PlatformError) -> OperatorError {
    log::warn!("contract change not made: store call failed: {error}");
    OperatorError::StoreUnavailable
}

fn read_versioned<R: serde::de::DeserializeOwned>(
    row: Option<Row>,
) -> foxtailhold_platform::Result<Option<(R, u64)>> {
    match row {
        None => Ok(None),
        Some(row) => Ok(Some((row.read()?, row.version))),
    }
}

async fn read_current_rows<T: TableService>(
    table: &T,
    customer: &CustomerId,
) -> foxtailhold_platform::Result<CurrentRows> {
    let head = table.get(tables::CONFIG_HEAD, tables::HEAD_KEY).await?;
    let entry = table.get(tables::CONTRACT, customer.as_str()).await?;
    Ok(CurrentRows {
        head: read_versioned(head)?,
        entry: read_versioned(entry)?,
    })
}

fn expect(version: Option<u64>) -> Expect {
    version.map_or(Expect::Absent, Expect::Version)
}

/// Index of the first API key row in the transaction.
const FIRST_KEY_OPERATION: usize = 3;

fn operations(current_rows: &CurrentRows, change: &ContractChange) -> Vec<Operation> {
    let head = HeadRow {
        number: change.number,
    };
    let entry = ContractEntry {
        version: change.version,
        number: change.number,
        contract: change.contract.clone(),
    };
    let head_expect = expect(current_rows.head.map(|(_, version)| version));
    let entry_expect = expect(current_rows.entry.as_ref().map(|(_, version)| *version));
    let customer = &change.customer;
    let log_key = tables::log_key(change.number);
    let mut operations = vec![
        Operation::put(tables::CONFIG_LOG, &log_key, Expect::Absent, change),
        Operation::put(tables::CONTRACT, customer.as_str(), entry_expect, &entry),
        Operation::put(tables::CONFIG_HEAD, tables::HEAD_KEY, head_expect, &head),
    ];
    let old = current_rows.contract().map(|c| c.api_keys.as_slice());
    let old = old.unwrap_or_default();
    let new = change.contract.as_ref().map(|c| c.api_keys.as_slice());
    let new = new.unwrap_or_default();
    for key in new.iter().filter(|key| !old.contains(key)) {
        let row = KeyRow {
            customer: customer.clone(),
        };
        let digest = key.as_str();
        operations.push(Operation::put(
            tables::API_KEY,
            digest,
            Expect::Absent,
            &row,
        ));
    }
    for key in old.iter().filter(|key| !new.contains(key)) {
        let digest = key.as_str();
        operations.push(Operation::delete(tables::API_KEY, digest, Expect::Any));
    }
    operations
}

enum CommitOutcome {
    Committed,
    LostRace,
}

/// Sends the transaction until its outcome is known.
async fn commit<T: TableService>(
    table: &T,
    change: &ContractChange,
    operations: &[Operation],
) -> Result<CommitOutcome> {
    let mut may_have_taken_effect = false;
    for attempt in 0..MAX_SETTLE_ATTEMPTS {
        if attempt > 0 {
            backoff(SETTLE_BACKOFF_MS << (attempt - 1)).await;
        }
        match table.transact(operations).await {
            Ok(Transacted::Committed) => return Ok(CommitOutcome::Committed),
            Ok(Transacted::Conflict { operation, current }) => {
                return settle(change, operation, current);
            }
            Err(error) => {
                log::warn!("no answer to contract change {}: {error}", change.change_id);
                may_have_taken_effect |= error.may_have_taken_effect();
            }
        }
    }
    if may_have_taken_effect {
        let change_id = change.change_id.clone();
        return Err(OperatorError::EffectUnknown { change_id });
    }
    Err(OperatorError::StoreUnavailable)
}

fn settle(
    change: &ContractChange,
    operation: usize,
    current: Option<Row>,
) -> Result<CommitOutcome> {
    if operation >= FIRST_KEY_OPERATION {
        let owner: Option<KeyRow> = current.and_then(|row| row.read().ok());
        let customer = owner.map_or_else(|| "unknown".into(), |row| row.customer.to_string());
        return Err(OperatorError::KeyTaken { customer });
    }
    let logged: Option<ContractChange> = current.and_then(|row| row.read().ok());
    match logged {
        Some(logged) if logged.change_id == change.change_id => Ok(CommitOutcome::Committed),
        _ => Ok(CommitOutcome::LostRace),
    }
}

async fn backoff(wait_ms: u64) {
    let jitter_ms = rand::random::<u64>() % wait_ms.max(1);
    tokio::time::sleep(Duration::from_millis(wait_ms / 2 + jitter_ms)).await;
}

/// Reads the customer's row through a transaction, because a plain read may return an old version.
async fn confirmed_entry<T: TableService>(
    table: &T,
    customer: &CustomerId,
    entry: Option<(ContractEntry, u64)>,
) -> foxtailhold_platform::Result<Option<(ContractEntry, u64)>> {
    let expected = expect(entry.as_ref().map(|(_, version)| *version));
    let check = Operation::check(tables::CONTRACT, customer.as_str(), expected);
    match table.transact(&[check]).await? {
        Transacted::Committed => Ok(entry),
        Transacted::Conflict { current, .. } => read_versioned(current),
    }
}

/// Commits a change and returns it.
///
/// `change_id` must be unique to this call. Refuses with `Conflict` if the contract is not at the
/// expected version, and with `EffectUnknown` if the outcome of the commit stays unknown.
pub async fn accept<T: TableService>(
    table: &T,
    update: &ContractUpdate,
    change_id: &str,
) -> Result<ContractChange> {
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            backoff((RACE_BACKOFF_MS * u64::from(attempt)).min(MAX_RACE_BACKOFF_MS)).await;
        }
        let mut current_rows = read_current_rows(table, &update.customer)
            .await
            .map_err(|error| unavailable(&error))?;
        if current_rows.version() != update.expected_version {
            current_rows.entry = confirmed_entry(table, &update.customer, current_rows.entry)
                .await
                .map_err(|error| unavailable(&error))?;
        }
        if current_rows.version() != update.expected_version {
            return Err(OperatorError::Conflict {
                customer: update.customer.to_string(),
                expected: update.expected_version,
                current: current_rows.version(),
            });
        }
        let change = ContractChange {
            number: current_rows.head.map_or(0, |(head, _)| head.number) + 1,
            change_id: change_id.to_owned(),
            customer: update.customer.clone(),
            version: current_rows.version() + 1,
            contract: update.contract.clone().map(Into::into),
        };
        let operations = operations(&current_rows, &change);
        match commit(table, &change, &operations).await? {
            CommitOutcome::Committed => return Ok(change),
            CommitOutcome::LostRace => continue,
        }
    }
    Err(OperatorError::StoreUnavailable)
}
