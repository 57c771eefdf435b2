//! Rows of the platform's store with crashes and the shared parts of their requests.

use foxtailhold::part_crashes::PartCrash;
use foxtailhold::quarantine::CrashId;
use foxtailhold_platform::rows::MAX_VALUE_BYTES;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Key prefix of the rows of crashes with shared parts.
pub const PART_CRASH_PREFIX: &str = "part-crash/";

/// A crash as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPartCrash {
    /// The crash.
    pub crash: CrashId,
    /// What is known of it.
    pub record: PartCrash,
}

impl StoredPartCrash {
    /// Key of the row of a crash.
    pub fn key(crash: &CrashId) -> String {
        let text = format!("{}/{}", crash.backend, crash.started_unix_ms);
        format!("{PART_CRASH_PREFIX}{:016x}", xxh3_64(text.as_bytes()))
    }

    /// The crash with as many of its lost requests as fit into a row, the probes and those sent last
    /// first.
    pub fn within_row(mut self) -> Self {
        let mut requests = self.record.lost.len();
        while requests > 1 && self.encoded_bytes() > MAX_VALUE_BYTES {
            requests = requests.div_ceil(2);
            self.record = self.record.with_latest(requests);
        }
        self
    }

    fn encoded_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |value| value.len())
    }
}

/// A row of a crash as last read or written.
#[derive(Debug, Clone)]
pub struct PartRow {
    /// Version of the row.
    pub version: u64,
    /// The crash.
    pub stored: StoredPartCrash,
}
