//! Persists crash evidence in the platform's store so that it survives a stop of all instances.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use foxtailhold::quarantine::{CrashId, Fingerprint};
use foxtailhold::turns::Turns;
use foxtailhold_platform::{Changes, Committed, PlatformError, RowKey, RowStore};
use tokio::time::Instant;

use crate::crashes::CRASH_PREFIX;
use crate::metrics::RelayMetrics;
use crate::part_rows::StoredPartCrash;
use crate::peers::{INSTANCES_TABLE, Peers};
use crate::retry_delay::RetryDelay;

/// Interval between checks for expired evidence.
const EXPIRY_CHECK_MS: u64 = 10_000;
/// First and longest delay before a write that failed is retried.
const RETRY_DELAY_MS: (u64, u64) = (250, 4_000);
/// Time after which the next instance in order writes a row, if it is not there yet.
const TURN_MS: u64 = 500;
/// Name of the rows in metrics.
const ROWS: &str = "crash_evidence";

/// Result of a write.
type Result<T> = std::result::Result<T, PlatformError>;

/// What has a row of its own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Evidence {
    /// Against a request.
    Request(Fingerprint),
    /// Against the parts of the requests that were lost in a crash.
    Parts(CrashId),
}

impl Evidence {
    fn key(&self) -> RowKey {
        let key = match self {
            Evidence::Request(fingerprint) => format!("{CRASH_PREFIX}{fingerprint}"),
            Evidence::Parts(crash) => StoredPartCrash::key(crash),
        };
        RowKey::new(INSTANCES_TABLE, &key)
    }
}

/// A row that has to be written or deleted.
#[derive(Debug)]
struct PendingRow {
    due_at: Instant,
    delay: RetryDelay,
}

/// How one write ended that the store has answered.
enum WriteEnd {
    /// The row is as it should be.
    Done,
    /// Another instance changed the row first, and its evidence has been merged.
    Merged,
    /// The store refuses the row. Holds its value.
    Refused(Bytes),
}

/// Writes the rows of crash evidence, each on its own: one that cannot be written delays no other.
struct EvidenceWriter<S> {
    store: S,
    peers: Peers,
    metrics: RelayMetrics,
    pending: BTreeMap<Evidence, PendingRow>,
    /// Values that the store has refused. They are not written again as they are.
    refused: HashMap<Evidence, Bytes>,
    expired: Turns<Evidence>,
}

/// Writes and deletes rows of crash evidence until the task is aborted.
pub async fn persist_crashes<S: RowStore>(store: S, peers: Peers, metrics: RelayMetrics) {
    let mut writer = EvidenceWriter {
        store,
        peers,
        metrics,
        pending: BTreeMap::new(),
        refused: HashMap::new(),
        expired: Turns::default(),
    };
    let mut next_sweep = Instant::now() + Duration::from_millis(EXPIRY_CHECK_MS);
    loop {
        let due_at = writer.pending.values().map(|row| row.due_at).min();
        let wake_at = due_at.map_or(next_sweep, |due_at| due_at.min(next_sweep));
        tokio::select! {
            () = writer.peers.crashes().wait_dirty() => {}
            () = tokio::time::sleep_until(wake_at) => {}
        }
        if Instant::now() >= next_sweep {
            next_sweep = Instant::now() + Duration::from_millis(EXPIRY_CHECK_MS);
            writer.sweep();
        }
        writer.take_dirty();
        writer.write_due().await;
    }
}

impl<S: RowStore> EvidenceWriter<S> {
    fn add(&mut self, evidence: Evidence, wait: Duration) {
        let due_at = Instant::now() + wait;
        self.pending.entry(evidence).or_insert(PendingRow {
            due_at,
            delay: RetryDelay::new(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1),
        });
    }

    /// Takes the rows that differ from the evidence. All instances learn of a crash with shared parts
    /// at the same time, and write its row in turn.
    fn take_dirty(&mut self) {
        let crashes = self.peers.crashes().clone();
        for fingerprint in crashes.take_dirty() {
            self.add(Evidence::Request(fingerprint), Duration::ZERO);
        }
        for crash in crashes.take_dirty_parts() {
            let rank = self.peers.rank(StoredPartCrash::key(&crash).as_bytes());
            let wait = Duration::from_millis(TURN_MS * rank as u64);
            self.add(Evidence::Parts(crash), wait);
        }
    }

    /// Takes the rows of expired evidence, in turn with the other instances.
    fn sweep(&mut self) {
        let crashes = self.peers.crashes();
        let requests = crashes.expire(self.peers.wall()).into_iter();
        let parts = crashes.expired_part_rows().into_iter();
        let expired = requests
            .map(Evidence::Request)
            .chain(parts.map(Evidence::Parts));
        let rank = |evidence: &Evidence| self.peers.rank(evidence.key().key.as_bytes());
        let due = self.expired.due(expired, rank);
        crashes.refresh_part_rows();
        for evidence in due {
            self.add(evidence, Duration::ZERO);
        }
    }

    async fn write_due(&mut self) {
        let now = Instant::now();
        let due = self.pending.iter().filter(|(_, row)| row.due_at <= now);
        let due: Vec<Evidence> = due.map(|(evidence, _)| evidence.clone()).collect();
        for evidence in due {
            let is_settled = match self.write(&evidence).await {
                Ok(WriteEnd::Done) => {
                    self.refused.remove(&evidence);
                    true
                }
                Ok(WriteEnd::Merged) => false,
                Ok(WriteEnd::Refused(value)) => {
                    self.refused.insert(evidence.clone(), value);
                    true
                }
                // A write without a response may still take effect; the retry then finds its version.
                Err(error) => {
                    log::warn!(
                        row = evidence.key().key.as_str();
                        "crash evidence not persisted, retrying: {error}"
                    );
                    false
                }
            };
            if is_settled {
                self.pending.remove(&evidence);
                continue;
            }
            if let Some(row) = self.pending.get_mut(&evidence) {
                row.due_at = Instant::now() + row.delay.next_delay();
            }
        }
    }

    async fn write(&self, evidence: &Evidence) -> Result<WriteEnd> {
        match evidence {
            Evidence::Request(fingerprint) => self.write_request(evidence, *fingerprint).await,
            Evidence::Parts(crash) => self.write_parts(evidence, crash).await,
        }
    }

    async fn write_request(
        &self,
        evidence: &Evidence,
        fingerprint: Fingerprint,
    ) -> Result<WriteEnd> {
        let crashes = self.peers.crashes();
        let (desired, version) = crashes.desired_row(fingerprint);
        if desired.is_none() && version == 0 {
            return Ok(WriteEnd::Done);
        }
        let value = desired.as_ref().map(serde_json::to_vec).transpose();
        let value = match value {
            Ok(value) => value.map(Bytes::from),
            Err(error) => {
                log::error!(fingerprint:% = fingerprint; "cannot encode crash evidence: {error}");
                return Ok(WriteEnd::Done);
            }
        };
        match self.commit(evidence, version, value.as_ref()).await? {
            Committed::At(version) => {
                crashes.record_persisted(fingerprint, version, desired);
                Ok(WriteEnd::Done)
            }
            Committed::Conflict(rows) => {
                if rows.is_empty() {
                    crashes.record_persisted(fingerprint, 0, None);
                }
                for row in &rows {
                    if let Some(key) = row.key.key.strip_prefix(CRASH_PREFIX) {
                        crashes.apply_row(key, row);
                    }
                }
                Ok(WriteEnd::Merged)
            }
            Committed::Refused(_) => Ok(WriteEnd::Refused(value.unwrap_or_default())),
        }
    }

    async fn write_parts(&self, evidence: &Evidence, crash: &CrashId) -> Result<WriteEnd> {
        let crashes = self.peers.crashes();
        let Some((stored, version)) = crashes.desired_part_row(crash) else {
            return Ok(WriteEnd::Done);
        };
        let value = match stored.as_ref().map(serde_json::to_vec).transpose() {
            Ok(value) => value.map(Bytes::from),
            Err(error) => {
                log::error!(backend = crash.backend.as_str(); "cannot encode crash evidence: {error}");
                return Ok(WriteEnd::Done);
            }
        };
        let key = evidence.key().key;
        match self.commit(evidence, version, value.as_ref()).await? {
            Committed::At(version) => {
                crashes.record_part_row(&key, version, stored);
                Ok(WriteEnd::Done)
            }
            Committed::Conflict(rows) => {
                if rows.is_empty() {
                    crashes.record_part_row(&key, 0, None);
                }
                for row in &rows {
                    crashes.apply_part_row(row);
                }
                Ok(WriteEnd::Merged)
            }
            Committed::Refused(_) => Ok(WriteEnd::Refused(value.unwrap_or_default())),
        }
    }

    /// Writes a row that has `version`, or deletes it. A value that the store has refused counts as
    /// refused again, without a call.
    async fn commit(
        &self,
        evidence: &Evidence,
        version: u64,
        value: Option<&Bytes>,
    ) -> Result<Committed> {
        let known = self.refused.get(evidence);
        if known.is_some_and(|known| *known == value.cloned().unwrap_or_default()) {
            return Ok(Committed::Refused("refused before".into()));
        }
        let key = evidence.key();
        let mut changes = Changes {
            expected: vec![(key.clone(), version)],
            ..Changes::default()
        };
        match value {
            Some(value) => changes.puts.push((key, value.clone())),
            None => changes.deletes.push(key),
        }
        let committed = self.store.commit(&changes).await?;
        if let Committed::Refused(detail) = &committed {
            self.metrics.row_refused(ROWS);
            log::warn!(
                row = evidence.key().key.as_str(), value_bytes = value.map_or(0, Bytes::len);
                "crash evidence refused, kept in memory only: {detail}"
            );
        }
        Ok(committed)
    }
}
