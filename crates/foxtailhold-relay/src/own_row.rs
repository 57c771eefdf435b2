//! Keeps the row of this instance in the table of instances as it should be.

use std::time::Duration;

use bytes::Bytes;
use foxtailhold_platform::{Changes, Committed, Result, RowKey, RowStore};
use tokio_util::sync::CancellationToken;

use crate::peers::{INSTANCES_TABLE, Member, Peers};
use crate::tables::{FollowedTable, TableStatus};

/// Delay before a failed write is retried.
const RETRY_DELAY_MS: u64 = 250;
/// Interval between checks of the table, and the bound of its jitter.
const CHECK_INTERVAL_MS: u64 = 500;
const CHECK_JITTER_MS: u64 = 500;
/// Checks in a row that must miss the row before it is written again.
const MISSING_CHECKS: u32 = 2;

/// The row of this instance.
#[derive(Debug)]
pub(crate) struct OwnRow<S> {
    pub(crate) store: S,
    pub(crate) peers: Peers,
    pub(crate) tables: TableStatus,
    pub(crate) member: Member,
    /// Begins the planned stop, which the row states.
    pub(crate) leaving: CancellationToken,
    /// Ends the writes, before the row is deleted.
    pub(crate) closing: CancellationToken,
}

/// Key of the row of an instance.
pub(crate) fn row_key(member: &Member) -> RowKey {
    RowKey::new(INSTANCES_TABLE, member.instance.as_str())
}

fn encode(member: &Member) -> Bytes {
    let value = serde_json::to_vec(member).unwrap_or_else(|error| {
        log::error!("cannot encode the row of this instance: {error}");
        Vec::new()
    });
    value.into()
}

impl<S: RowStore> OwnRow<S> {
    /// Writes the row until it is closed: at first, when the planned stop begins, and when the table
    /// lists another start at the address or none.
    pub(crate) async fn keep(self) {
        // Version of the row as last known, which each write expects: a late copy of an earlier
        // write then has no effect.
        let mut version = 0;
        let mut confirmed = None;
        let mut missing = 0;
        loop {
            let is_leaving = self.leaving.is_cancelled();
            if confirmed != Some(is_leaving) || missing >= MISSING_CHECKS {
                let written = tokio::select! {
                    written = self.write(is_leaving, &mut version) => written,
                    () = self.leaving.cancelled(), if !is_leaving => continue,
                    () = self.closing.cancelled() => return,
                };
                match written {
                    Ok(true) => {
                        confirmed = Some(is_leaving);
                        missing = 0;
                    }
                    Ok(false) => continue,
                    Err(error) => {
                        log::warn!(leaving = is_leaving; "row of this instance not written: {error}");
                        confirmed = None;
                    }
                }
            }
            let delay_ms = match confirmed {
                Some(_) => CHECK_INTERVAL_MS + rand::random_range(0..CHECK_JITTER_MS),
                None => RETRY_DELAY_MS,
            };
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(delay_ms)) => {}
                () = self.leaving.cancelled(), if !is_leaving => {}
                () = self.closing.cancelled() => return,
            }
            missing = match self.is_missing(is_leaving, version) {
                true => missing + 1,
                false => 0,
            };
            if missing == MISSING_CHECKS {
                log::warn!(leaving = is_leaving; "row of this instance is not listed, writing it again");
            }
        }
    }

    /// Whether the table as known here is newer than the row and does not list it.
    fn is_missing(&self, is_leaving: bool, version: u64) -> bool {
        let is_read = self.tables.newest_change(FollowedTable::Instances) >= version;
        is_read && self.peers.is_table_read() && !self.peers.members().lists_me(is_leaving)
    }

    /// Writes the row where it has `version`. `false`: it had another one, which is known now.
    async fn write(&self, is_leaving: bool, version: &mut u64) -> Result<bool> {
        let key = row_key(&self.member);
        let value = encode(&Member {
            is_leaving,
            ..self.member.clone()
        });
        let changes = Changes {
            expected: vec![(key.clone(), *version)],
            puts: vec![(key.clone(), value.clone())],
            ..Changes::default()
        };
        match self.store.commit(&changes).await? {
            Committed::At(written) => {
                *version = written;
                Ok(true)
            }
            Committed::Conflict(rows) => {
                let row = rows.iter().find(|row| row.key == key);
                *version = row.map_or(0, |row| row.version);
                Ok(row.is_some_and(|row| row.value.as_ref() == Some(&value)))
            }
        }
    }
}
