//! What is known of one crash of a backend server, and of the requests that were lost with it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::TargetName;
use crate::prompt_parts::{PartId, SharedParts};
use crate::quarantine::Fingerprint;
use crate::stream_origins::StreamOrigin;
use crate::time::WallMs;

/// Lost requests that are kept with one crash.
pub const MAX_LOST_REQUESTS: usize = 64;

/// A request that was in flight at a backend server when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LostRequest {
    /// Identifies the request.
    pub request: Fingerprint,
    /// Shared parts of its prompt.
    pub parts: SharedParts,
    /// When it was sent there, in Unix ms.
    pub begun_unix_ms: u64,
    /// Whether it was sent as a probe of a suspected group.
    pub is_probe: bool,
}

/// A part that was seen in a complete response of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Acquittal {
    /// The part.
    pub part: PartId,
    /// The service that responded.
    pub service: TargetName,
}

/// One crash of a backend server, with the requests that held shared parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// Service and software version of the backend server; `None` if only acquittals are known.
    pub origin: Option<StreamOrigin>,
    /// When the first instance saw the crash, in Unix ms.
    pub at_unix_ms: u64,
    /// Requests that were lost.
    pub lost: BTreeSet<LostRequest>,
    /// Parts that are acquitted of this crash.
    pub acquitted: BTreeSet<Acquittal>,
    /// Parts that had been seen in a complete response of the same service and software version
    /// shortly before the crash. Each needs more evidence than others.
    pub proven: BTreeSet<PartId>,
    /// Whether the backend server lived on, so that it was no crash.
    pub is_refuted: bool,
}

impl PartCrash {
    /// A crash of a backend server of `origin` under one request, if it is known.
    pub fn new(origin: StreamOrigin, at: WallMs, lost: Option<LostRequest>) -> Self {
        PartCrash {
            origin: Some(origin),
            at_unix_ms: at.0,
            lost: lost.into_iter().collect(),
            acquitted: BTreeSet::new(),
            proven: BTreeSet::new(),
            is_refuted: false,
        }
    }

    /// States that parts had been seen in a complete response shortly before the crash.
    pub fn with_proven_parts(at_unix_ms: u64, proven: BTreeSet<PartId>) -> Self {
        PartCrash {
            proven,
            ..PartCrash::without_requests(at_unix_ms)
        }
    }

    /// What is known of a crash apart from lost requests.
    pub(crate) fn without_requests(at_unix_ms: u64) -> Self {
        PartCrash {
            origin: None,
            at_unix_ms,
            lost: BTreeSet::new(),
            acquitted: BTreeSet::new(),
            proven: BTreeSet::new(),
            is_refuted: false,
        }
    }

    /// Merges the record of another instance or of the store. Returns whether it said anything new.
    pub(crate) fn join(&mut self, other: &PartCrash) -> bool {
        let mut merged = self.clone();
        let origins = [&self.origin, &other.origin];
        merged.origin = origins.into_iter().flatten().min().cloned();
        merged.at_unix_ms = self.at_unix_ms.min(other.at_unix_ms);
        merged.lost.extend(other.lost.iter().cloned());
        merged.drop_excess_requests();
        merged.acquitted.extend(other.acquitted.iter().cloned());
        merged.proven.extend(other.proven.iter().copied());
        merged.is_refuted |= other.is_refuted;
        let is_new = *self != merged;
        *self = merged;
        is_new
    }

    /// Keeps the probes and the requests sent last, so that every order of merging keeps the same.
    fn drop_excess_requests(&mut self) {
        self.keep_latest(MAX_LOST_REQUESTS);
    }

    fn keep_latest(&mut self, requests: usize) {
        if self.lost.len() <= requests {
            return;
        }
        let mut by_age: Vec<LostRequest> = std::mem::take(&mut self.lost).into_iter().collect();
        by_age.sort_by_key(|lost| std::cmp::Reverse((lost.is_probe, lost.begun_unix_ms)));
        self.lost = by_age.into_iter().take(requests).collect();
    }

    /// The crash with at most `requests` lost requests, the probes and those sent last, and what is
    /// known of their parts.
    pub fn with_latest(mut self, requests: usize) -> Self {
        self.keep_latest(requests);
        let lost = &self.lost;
        let is_lost = |part: PartId| lost.iter().any(|lost| lost.parts.contains(part));
        self.acquitted.retain(|acquittal| is_lost(acquittal.part));
        self.proven.retain(|part| is_lost(*part));
        self
    }

    pub(crate) fn is_acquitted(&self, part: PartId, service: &TargetName) -> bool {
        let acquittal = Acquittal {
            part,
            service: service.clone(),
        };
        self.acquitted.contains(&acquittal)
    }

    pub(crate) fn has_lost_request(&self, request: Fingerprint) -> bool {
        self.lost.iter().any(|lost| lost.request == request)
    }

    pub(crate) fn has_lost(&self, group: &[PartId]) -> bool {
        let mut all = self.lost.iter();
        !self.is_refuted && all.any(|lost| lost.parts.contains_all(group))
    }
}
