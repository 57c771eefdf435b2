//! Where resumable streams began: service and software version.
//!
//! A stream may only go on at the version that began it. [`StreamOrigins`] remembers where the
//! streams of recent attempts began. [`crate::origin_history`] tells where they can have begun at all.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::TargetName;
use crate::software_version::SoftwareVersion;
use crate::time::MonoMs;

/// Time for which an origin is remembered, and for which an origin that is no longer possible for a
/// route still counts. It is longer than any caller retries a stream.
pub const ORIGIN_TTL_MS: u64 = 60_000;
/// Largest number of origins that are remembered.
pub const MAX_ORIGINS: usize = 65_536;

/// Result of parsing the identifier of an attempt.
pub type Result<T> = std::result::Result<T, AttemptIdError>;

/// Reason why a text does not identify an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AttemptIdError {
    /// The text is empty.
    #[error("the identifier of an attempt may not be empty")]
    Empty,
    /// The text holds a control character.
    #[error("the identifier of an attempt may not hold the control character {character:?}")]
    ControlCharacter {
        /// The first such character.
        character: char,
    },
}

/// Identifier of a caller's attempt, chosen by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptId(Arc<str>);

impl AttemptId {
    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for AttemptId {
    type Error = AttemptIdError;

    fn try_from(text: &str) -> Result<Self> {
        if text.is_empty() {
            return Err(AttemptIdError::Empty);
        }
        if let Some(character) = text.chars().find(|character| character.is_control()) {
            return Err(AttemptIdError::ControlCharacter { character });
        }
        Ok(AttemptId(Arc::from(text)))
    }
}

/// Hash of the identifier of a caller's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptHash(u64);

impl AttemptHash {
    /// The bytes that select the instances which remember the attempt.
    pub fn to_bytes(self) -> [u8; 8] {
        self.0.to_be_bytes()
    }
}

impl From<&str> for AttemptHash {
    fn from(id: &str) -> Self {
        AttemptHash(xxh3_64(id.as_bytes()))
    }
}

impl From<&AttemptId> for AttemptHash {
    fn from(id: &AttemptId) -> Self {
        AttemptHash::from(id.as_str())
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service whose backend server sent the first event.
    pub service: TargetName,
    /// Software version of that backend server.
    pub version: SoftwareVersion,
}

/// The origin of the stream that an attempt began.
pub type AttemptOrigin = (AttemptHash, StreamOrigin);

#[derive(Debug, Clone)]
struct OriginRecord {
    origin: StreamOrigin,
    recorded_at: MonoMs,
}

/// Origins of the streams that recent attempts began. The oldest ones make room for new ones.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<AttemptHash, OriginRecord>,
    by_age: BTreeSet<(MonoMs, AttemptHash)>,
    /// Those that other instances have not been told, by age.
    unshared: BTreeSet<(MonoMs, AttemptHash)>,
    evicted: u64,
}

impl StreamOrigins {
    /// Records an origin that this instance saw and has told no other instance. An attempt keeps its
    /// first origin.
    pub fn record(&mut self, now: MonoMs, attempt: AttemptHash, origin: &StreamOrigin) {
        self.record_shared(now, attempt, origin);
        self.unshared.insert((now, attempt));
    }

    /// Records an origin that other instances know too.
    pub fn record_shared(&mut self, now: MonoMs, attempt: AttemptHash, origin: &StreamOrigin) {
        self.expire(now);
        let mut record = OriginRecord {
            origin: origin.clone(),
            recorded_at: now,
        };
        if let Some(known) = self.records.remove(&attempt) {
            self.by_age.remove(&(known.recorded_at, attempt));
            self.unshared.remove(&(known.recorded_at, attempt));
            record.origin = known.origin;
        }
        if self.records.len() >= MAX_ORIGINS {
            self.evicted += 1;
            self.remove_oldest();
        }
        self.records.insert(attempt, record);
        self.by_age.insert((now, attempt));
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.by_age.pop_first() {
            self.records.remove(&oldest.1);
            self.unshared.remove(&oldest);
        }
    }

    fn expire(&mut self, now: MonoMs) {
        while let Some((recorded_at, _)) = self.by_age.first() {
            if now.since_ms(*recorded_at) < ORIGIN_TTL_MS {
                return;
            }
            self.remove_oldest();
        }
    }

    /// Where the stream of an attempt began; `None` if that is not known.
    pub fn find(&self, now: MonoMs, attempt: AttemptHash) -> Option<&StreamOrigin> {
        let record = self.records.get(&attempt)?;
        (now.since_ms(record.recorded_at) < ORIGIN_TTL_MS).then_some(&record.origin)
    }

    /// Takes the newest origins at `services` that other instances have not been told, at most
    /// `limit`. They count as shared from then on.
    pub fn take_unshared(
        &mut self,
        now: MonoMs,
        services: &BTreeSet<TargetName>,
        limit: usize,
    ) -> Vec<AttemptOrigin> {
        self.expire(now);
        let mut taken = Vec::new();
        let mut keys = Vec::new();
        for key in self.unshared.iter().rev() {
            if taken.len() >= limit {
                break;
            }
            let Some(record) = self.records.get(&key.1) else {
                continue;
            };
            if !services.contains(&record.origin.service) {
                continue;
            }
            keys.push(*key);
            taken.push((key.1, record.origin.clone()));
        }
        for key in keys {
            self.unshared.remove(&key);
        }
        taken
    }

    /// Number of origins that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no origin is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of origins that were dropped before their time.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
