//! Fingerprints of requests, the same when a caller repeats a request through any instance.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::CustomerId;

/// Identifies a request by customer and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a customer's request.
    pub fn of(customer: &CustomerId, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        hash.update(customer.as_str().as_bytes());
        hash.update(b"\n");
        hash.update(body);
        Fingerprint(hash.digest128())
    }

    /// The fingerprint of an opaque request, where the host stands for the customer. `target` is
    /// the path, with or without the query.
    pub fn of_opaque(host: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [host, target] {
            hash.update(part.as_bytes());
            hash.update(b"\n");
        }
        hash.update(body);
        Fingerprint(hash.digest128())
    }
}

/// The fingerprints under which evidence against an opaque request is kept. A caller may repeat a
/// request with another query, and another query may be another request; so it is refused if either
/// of them is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprints {
    /// Host, path and body.
    pub path: Fingerprint,
    /// Host, path with query, and body; the same as `path` if there is no query.
    pub target: Fingerprint,
}

impl RequestFingerprints {
    /// The fingerprints of a request to `target`, a path with an optional query.
    pub fn of_opaque(host: &str, target: &str, body: &[u8]) -> Self {
        let path = target.split_once('?').map_or(target, |(path, _)| path);
        let by_path = Fingerprint::of_opaque(host, path, body);
        let by_target = match path.len() == target.len() {
            true => by_path,
            false => Fingerprint::of_opaque(host, target, body),
        };
        RequestFingerprints {
            path: by_path,
            target: by_target,
        }
    }

    /// The fingerprints without repetition.
    pub fn distinct(&self) -> impl Iterator<Item = Fingerprint> + use<> {
        let target = Some(self.target).filter(|target| *target != self.path);
        std::iter::once(self.path).chain(target)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Fingerprint)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
