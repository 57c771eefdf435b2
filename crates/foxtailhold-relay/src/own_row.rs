//! Keeps the row of this instance in the table of instances as it should be.

use std::time::Duration;

use bytes::Bytes;
use foxtailhold_platform::{Changes, Committed, Result, RowKey, RowStore};
use tokio_util::sync::CancellationToken;

use crate::metrics::RelayMetrics;
use crate::peers::{INSTANCES_TABLE, Member, Peers};
use crate::retry_delay::RetryDelay;
use crate::tables::FollowedTable;

/// First and longest delay before a write that failed or met another version is retried.
const RETRY_DELAY_MS: (u64, u64) = (40, 2_000);
/// Delay before a row that the store has refused is written again. Without it no instance knows this
/// one, so it is never given up.
const REFUSED_DELAY_MS: u64 = 15_000;
/// Name of the row in metrics.
const ROWS: &str = "instance";
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
    pub(crate) metrics: RelayMetrics,
    pub(crate) member: Member,
    /// Begins the planned stop, which the row states.
    pub(crate) leaving: CancellationToken,
    /// Ends the writes, before the row is deleted.
    pub(crate) closing: CancellationToken,
}

/// How a write ended that the store has answered.
enum WriteEnd {
    Written,
    /// The row had another version, which is known now.
    OtherVersion,
    /// Holds what the store stated.
    Refused(String),
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
        let mut retry_delay = RetryDelay::new(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
        loop {
            let mut delay = self.check_delay();
            let is_leaving = self.leaving.is_cancelled();
            if confirmed != Some(is_leaving) || missing >= MISSING_CHECKS {
                let written = tokio::select! {
                    written = self.write(is_leaving, &mut version) => written,
                    () = self.leaving.cancelled(), if !is_leaving => continue,
                    () = self.closing.cancelled() => return,
                };
                confirmed = None;
                delay = retry_delay.next_delay();
                match written {
                    Ok(WriteEnd::Written) => {
                        confirmed = Some(is_leaving);
                        missing = 0;
                        retry_delay.reset();
                        delay = self.check_delay();
                    }
                    Ok(WriteEnd::OtherVersion) => {}
                    Ok(WriteEnd::Refused(detail)) => {
                        self.metrics.row_refused(ROWS);
                        log::error!(leaving = is_leaving; "row of this instance refused: {detail}");
                        delay = Duration::from_millis(REFUSED_DELAY_MS);
                    }
                    Err(error) => {
                        log::warn!(leaving = is_leaving; "row of this instance not written: {error}");
                    }
                }
            }
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
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

    fn check_delay(&self) -> Duration {
        let jitter_ms = rand::random_range(0..CHECK_JITTER_MS);
        Duration::from_millis(CHECK_INTERVAL_MS + jitter_ms)
    }

    /// Whether the table as known here is newer than the row and does not list it.
    fn is_missing(&self, is_leaving: bool, version: u64) -> bool {
        let tables = self.metrics.tables();
        let is_read = tables.newest_change(FollowedTable::Instances) >= version;
        is_read && self.peers.is_table_read() && !self.peers.members().lists_me(is_leaving)
    }

    /// Writes the row where it has `version`.
    async fn write(&self, is_leaving: bool, version: &mut u64) -> Result<WriteEnd> {
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
                Ok(WriteEnd::Written)
            }
            Committed::Conflict(rows) => {
                let row = rows.iter().find(|row| row.key == key);
                *version = row.map_or(0, |row| row.version);
                match row.is_some_and(|row| row.value.as_ref() == Some(&value)) {
                    true => Ok(WriteEnd::Written),
                    false => Ok(WriteEnd::OtherVersion),
                }
            }
            Committed::Refused(detail) => Ok(WriteEnd::Refused(detail)),
        }
    }
}
