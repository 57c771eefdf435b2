//! Reads of contracts from the platform's table service.

use foxtailhold::contract_registry::{ContractChange, ContractEntry};
use foxtailhold::contract_sync::{ContractStoreSnapshot, SNAPSHOT_REPLAY_CHANGES};
use foxtailhold::ids::CustomerId;
use foxtailhold_platform::{PlatformError, Result, TableService};
use serde::{Deserialize, Serialize};

use crate::tables;

/// Rows requested by one scan of the contract tables.
pub const PAGE: usize = 500;

/// The only row of the head table.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct HeadRow {
    /// Number of the last committed contract change.
    pub number: u64,
}

/// Reads the number of the last committed change; 0 if there is none.
pub async fn read_head<T: TableService>(table: &T) -> Result<u64> {
    let row = table.get(tables::CONFIG_HEAD, tables::HEAD_KEY).await?;
    let head: Option<HeadRow> = row.map(|row| row.read()).transpose()?;
    Ok(head.map_or(0, |head| head.number))
}

/// Reads all changes after `number` from the log, in order.
pub async fn read_after<T: TableService>(table: &T, number: u64) -> Result<Vec<ContractChange>> {
    let mut after = tables::log_key(number);
    let mut changes = Vec::new();
    loop {
        let rows = table.scan(tables::CONFIG_LOG, "", &after, PAGE).await?;
        let last = rows.len() < PAGE;
        for entry in rows {
            changes.push(entry.row.read()?);
            after = entry.key;
        }
        if last {
            return Ok(changes);
        }
    }
}

/// Reads all contract rows and the end of the log. A scan may return rows that are older than the
/// head; replaying the last [`SNAPSHOT_REPLAY_CHANGES`] changes brings them up to date.
pub async fn read_snapshot<T: TableService>(table: &T) -> Result<ContractStoreSnapshot> {
    let head = read_head(table).await?;
    let replay_after = head.saturating_sub(SNAPSHOT_REPLAY_CHANGES);
    let entries = match replay_after {
        0 => Vec::new(),
        _ => read_entries(table).await?,
    };
    Ok(ContractStoreSnapshot {
        head,
        replay_after,
        entries,
        replayed: read_after(table, replay_after).await?,
    })
}

async fn read_entries<T: TableService>(table: &T) -> Result<Vec<(CustomerId, ContractEntry)>> {
    let mut after = String::new();
    let mut entries = Vec::new();
    loop {
        let rows = table.scan(tables::CONTRACT, "", &after, PAGE).await?;
        let last = rows.len() < PAGE;
        for entry in rows {
            let customer = CustomerId::try_from(entry.key.as_str()).map_err(|error| {
                PlatformError::Malformed {
                    service: foxtailhold_platform::table::TABLE_SERVICE,
                    detail: error.to_string(),
                }
            })?;
            entries.push((customer, entry.row.read()?));
            after = entry.key;
        }
        if last {
            return Ok(entries);
        }
    }
}
