//! Parts of prompts that were seen in complete responses lately.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::part_crash::PartCrash;
use crate::prompt_parts::PartId;
use crate::recent_table::RecentTable;
use crate::stream_origins::StreamOrigin;
use crate::time::WallMs;

/// Instances that add to the record of a crash which parts they have seen to run before.
pub const PROVING_INSTANCES: usize = 3;

/// When each part was last seen in a complete response of a service and software version.
#[derive(Debug, Default)]
pub struct RecentParts(RecentTable);

/// Hash of a service and software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginHash(u64);

impl From<&StreamOrigin> for OriginHash {
    fn from(origin: &StreamOrigin) -> Self {
        let service = xxh3_64(origin.service.as_str().as_bytes());
        let version = origin.version.as_str().as_bytes();
        OriginHash(xxh3_64_with_seed(version, service))
    }
}

fn hash_at(part: PartId, origin: OriginHash) -> u64 {
    xxh3_64_with_seed(&part.0.to_le_bytes(), origin.0)
}

impl RecentParts {
    /// Records a complete response at `now`.
    pub fn record(&self, parts: &[PartId], origin: OriginHash, now: WallMs) {
        for part in parts {
            self.0.record(hash_at(*part, origin), now);
        }
    }

    /// Whether the last complete response with a part was before `at`, and not long before.
    pub fn was_seen_before(&self, part: PartId, origin: OriginHash, at: WallMs) -> bool {
        self.0.was_seen_before(hash_at(part, origin), at)
    }

    /// Parts of the lost requests of a crash that were seen in complete responses shortly before it,
    /// and that neither `news` nor what is `known` of the crash says so of.
    pub fn proven_parts(&self, news: &PartCrash, known: Option<&PartCrash>) -> BTreeSet<PartId> {
        let Some(origin) = &news.origin else {
            return BTreeSet::new();
        };
        let origin = OriginHash::from(origin);
        let at = WallMs(news.at_unix_ms);
        let is_known = |part: &PartId| {
            news.proven.contains(part) || known.is_some_and(|known| known.proven.contains(part))
        };
        let parts = news.lost.iter().flat_map(|lost| lost.parts.as_slice());
        parts
            .copied()
            .filter(|part| !is_known(part) && self.was_seen_before(*part, origin, at))
            .collect()
    }
}
