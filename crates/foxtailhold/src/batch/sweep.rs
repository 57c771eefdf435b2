//! Finds orphaned result objects, which no chunk row refers to because their attempt was lost
//! before its commit.
//!
//! The transaction that ends a job also writes its sweep row. No chunk row can be added after it,
//! so an object without a reference stays without one. The sweep is delayed so that object writes
//! still in flight arrive before it.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::batch::rows::ChunkRow;
use crate::ids::JobId;
use crate::time::WallMs;

/// Row of an ended job whose result objects still have to be swept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SweepRow {
    /// Identifier of the job.
    pub job: JobId,
    /// Time at which the job ended.
    pub ended_wall_ms: u64,
}

impl SweepRow {
    /// Whether the job ended at least `after_ms` ago.
    pub fn is_due(&self, after_ms: u64, now: WallMs) -> bool {
        now.0 >= self.ended_wall_ms.saturating_add(after_ms)
    }
}

/// Returns the listed objects that no chunk row refers to.
pub fn orphans<'a>(listed: &'a [String], chunks: &[(u32, ChunkRow)]) -> Vec<&'a str> {
    let named: HashSet<&str> = chunks.iter().map(|(_, row)| row.object.as_str()).collect();
    let mut found = Vec::new();
    for name in listed {
        if !named.contains(name.as_str()) {
            found.push(name.as_str());
        }
    }
    found
}
